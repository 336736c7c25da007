//! The targets to which a control node without a disk redirects its callers.

use std::net::{Ipv4Addr, SocketAddrV4};

use orchidvalve_control_plane::redirector::{Redirection, Redirector};
use orchidvalve_http::{Headers, Request};
use orchidvalve_protocol::identity::NodeAddress;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 8080)
}

fn request_for(target: &str) -> Request {
    Request {
        method: "POST".to_owned(),
        target: target.to_owned(),
        headers: Headers::default(),
        body: Vec::new(),
        keep_alive: true,
    }
}

fn to(location: &str) -> Redirection {
    Redirection::To(location.to_owned())
}

fn member(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7_660)
}

#[test]
fn callers_are_redirected_to_each_member_in_turn() {
    let mut redirector = Redirector::new(address(9));
    redirector.set_members(None, &[member(1), member(2)]);
    let request = request_for("/v1/retire/storage-1?x=1");
    let redirections: Vec<Redirection> = (0..3).map(|_| redirector.redirect(&request)).collect();
    let expected = ["10.0.0.1", "10.0.0.2", "10.0.0.1"];
    assert_eq!(redirections, expected.map(|ip| to(&format!("http://{ip}:8080/v1/retire/storage-1?x=1"))));
}

#[test]
fn callers_are_never_redirected_to_the_same_node() {
    let mut redirector = Redirector::new(address(1));
    redirector.set_members(None, &[member(1), member(2)]);
    let request = request_for("/v1/configuration");
    assert_eq!(redirector.redirect(&request), to("http://10.0.0.2:8080/v1/configuration"));
    assert_eq!(redirector.redirect(&request), to("http://10.0.0.2:8080/v1/configuration"));
}

#[test]
fn without_another_node_no_redirection_is_possible() {
    let mut redirector = Redirector::new(address(1));
    assert_eq!(redirector.redirect(&request_for("/v1/status")), Redirection::Unavailable);
    redirector.set_members(None, &[member(1)]);
    assert_eq!(redirector.redirect(&request_for("/v1/status")), Redirection::Unavailable);
}

#[test]
fn callers_are_redirected_to_members_once_they_are_known() {
    let mut redirector = Redirector::new(address(9));
    redirector.set_members(None, &[member(5)]);
    let request = request_for("/v1/status");
    assert_eq!(
        redirector.redirect(&request),
        to("http://10.0.0.5:8080/v1/status"),
        "the control port is used"
    );
    redirector.set_members(None, &[]);
    assert_eq!(
        redirector.redirect(&request),
        to("http://10.0.0.5:8080/v1/status"),
        "the last known members remain"
    );
    redirector.set_members(Some(member(4)), &[member(5), member(4), member(6)]);
    let redirections: Vec<Redirection> = (0..3).map(|_| redirector.redirect(&request)).collect();
    assert_eq!(
        redirections,
        ["10.0.0.4"; 3].map(|ip| to(&format!("http://{ip}:8080/v1/status"))),
        "the member with the session is preferred"
    );
}
