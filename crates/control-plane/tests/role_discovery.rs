//! The role of reading the platform's list, against a platform over loopback that responds late.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::TcpListener;

use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::messages::ServerTableUpdate;
use orchidvalve_protocol::server_table::ServerTable;
use serde_json::json;
use sockets_support::*;

/// Time at which this node became the head, in milliseconds.
const SINCE: u64 = 1_000;
const TERM: u64 = 5;

struct Head {
    network: Network,
    roles: SingletonRoles,
    table: ServerTable,
    platform: TcpListener,
    /// Number of completed exchanges.
    completed: usize,
    now: u64,
}

impl Head {
    /// A head whose term has begun.
    fn new() -> Head {
        let (platform, address) = listen();
        let options = SingletonRoleOptions {
            name: "control".to_owned(),
            platform: Some(address),
            lease_ms: 1_000,
            tolerance: 1,
            ..SingletonRoleOptions::default()
        };
        let mut roles = SingletonRoles::new(options);
        roles.view_changed(SINCE, 1, true, false);
        roles.set_term(Some(TERM));
        let network = Network::new().unwrap();
        Head { network, roles, table: ServerTable::default(), platform, completed: 0, now: SINCE }
    }

    /// Processes the received data and returns the resulting updates of the table.
    fn turn(&mut self) -> Vec<ServerTableUpdate> {
        let mut updates = Vec::new();
        for event in self.network.poll(TURN).unwrap() {
            if let Event::Data(id) = event
                && let Some(completed) = self.roles.client().data(&mut self.network, id)
            {
                self.completed += 1;
                updates.extend(self.roles.exchange_completed(
                    &mut self.network,
                    completed,
                    &mut self.table,
                    self.now,
                ));
            }
        }
        updates
    }

    /// Starts the next reading and returns the platform's end of its connection.
    fn next_reading(&mut self) -> Peer {
        self.roles.poll_list(&mut self.network, self.now);
        for _ in 0..MAX_TURNS {
            if let Ok((stream, _)) = self.platform.accept() {
                let mut peer = Peer::new(stream);
                self.request(&mut peer);
                return peer;
            }
            assert!(self.turn().is_empty());
        }
        panic!("the list was not requested");
    }

    fn request(&mut self, peer: &mut Peer) {
        for _ in 0..MAX_TURNS {
            peer.receive();
            if peer.text().ends_with("\r\n\r\n") {
                return;
            }
            assert!(self.turn().is_empty());
        }
        panic!("the list was not requested");
    }

    /// Sends a page as the platform and waits until the head has processed it.
    fn respond(&mut self, peer: &mut Peer, instances: &[&str]) -> Vec<ServerTableUpdate> {
        self.respond_with(peer, &page(instances))
    }

    fn respond_with(&mut self, peer: &mut Peer, response: &str) -> Vec<ServerTableUpdate> {
        peer.send(response);
        let completed = self.completed;
        for _ in 0..MAX_TURNS {
            let updates = self.turn();
            if self.completed > completed {
                return updates;
            }
        }
        panic!("the response was not processed");
    }

    fn servers(&self) -> Vec<&str> {
        self.table.servers().map(|server| server.instance.as_str()).collect()
    }
}

/// A list of a single page.
fn page(instances: &[&str]) -> String {
    page_with_next(instances, None)
}

fn page_with_next(instances: &[&str], next: Option<&str>) -> String {
    let entry = |id: &&str| {
        json!({
            "instance-id": id, "service": "text", "address": "10.0.0.1:80", "zone": "north", "slots": 4,
            "state": "available", "models": [],
        })
    };
    let instances: Vec<_> = instances.iter().map(entry).collect();
    let body = json!({ "instances": instances, "next-token": next }).to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn the_list_is_read_and_published() {
    let mut head = Head::new();
    let mut peer = head.next_reading();
    assert_eq!(head.respond(&mut peer, &["one", "two"]).len(), 1);
    assert_eq!(head.servers(), ["one", "two"]);
}

/// The role passed to another node and returned while the platform was slow to respond.
#[test]
fn a_late_page_of_an_earlier_reading_is_ignored() {
    let mut head = Head::new();
    let mut former = head.next_reading();
    head.roles.view_changed(SINCE + 500, 2, false, false);
    head.roles.view_changed(SINCE + 1_000, 4, true, false);
    head.roles.set_term(Some(TERM + 1));
    head.now = SINCE + 1_000;
    let mut next = head.next_reading();
    assert!(head.respond(&mut former, &["long gone"]).is_empty());
    assert!(head.servers().is_empty());
    assert_eq!(head.respond(&mut next, &["one", "two"]).len(), 1);
    assert_eq!(head.servers(), ["one", "two"]);
}

/// While a view changes, the head has no term for a moment.
#[test]
fn a_list_completed_between_two_terms_is_read_again_at_once() {
    let mut head = Head::new();
    let mut peer = head.next_reading();
    head.roles.set_term(None);
    assert!(head.respond(&mut peer, &["one"]).is_empty());
    head.roles.set_term(Some(TERM + 1));
    assert!(head.roles.next_wakeup() <= head.now);
    head.roles.poll_list(&mut head.network, head.now);
    peer.inbox.clear();
    head.request(&mut peer);
    assert_eq!(head.respond(&mut peer, &["one"]).len(), 1);
    assert_eq!(head.servers(), ["one"]);
}

const TOO_MANY: &str = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";

/// Reads the next request on the connection.
fn next_request(head: &mut Head, peer: &mut Peer) -> String {
    head.roles.poll_list(&mut head.network, head.now);
    peer.inbox.clear();
    head.request(peer);
    peer.text().lines().next().unwrap_or_default().to_owned()
}

/// The platform accepts few requests per second from all nodes together, so a long list could never be read if one rejected
/// request restarted the reading.
#[test]
fn only_the_rejected_page_is_requested_again() {
    let mut head = Head::new();
    let mut peer = head.next_reading();
    assert!(head.respond_with(&mut peer, &page_with_next(&["one"], Some("p-1"))).is_empty());
    let mut line = next_request(&mut head, &mut peer);
    for _ in 0..4 {
        assert!(line.contains("page-token=p-1"), "{line}");
        assert!(head.respond_with(&mut peer, TOO_MANY).is_empty());
        assert!(head.roles.next_wakeup() > head.now, "the retry has to pause");
        head.now = head.roles.next_wakeup();
        line = next_request(&mut head, &mut peer);
    }
    assert!(line.contains("page-token=p-1"), "{line}");
    assert_eq!(head.respond(&mut peer, &["two"]).len(), 1);
    assert_eq!(head.servers(), ["one", "two"]);
}

#[test]
fn a_page_that_is_always_rejected_restarts_the_reading() {
    let mut head = Head::new();
    let mut peer = head.next_reading();
    assert!(head.respond_with(&mut peer, &page_with_next(&["one"], Some("p-1"))).is_empty());
    let mut lines = Vec::new();
    for _ in 0..7 {
        lines.push(next_request(&mut head, &mut peer).contains("page-token"));
        assert!(head.respond_with(&mut peer, TOO_MANY).is_empty());
        head.now = head.roles.next_wakeup();
    }
    assert_eq!(lines, [true, true, true, true, true, false, false]);
}
