//! A link to another process: opened, reset, and opened again after its delay.

use std::net::{Ipv4Addr, TcpListener};

use orchidvalve_net::Network;
use orchidvalve_net::outgoing_link::{MonitoredLink, OutgoingLink, ReconnectTiming};
use orchidvalve_protocol::identity::NodeAddress;

const TIMING: ReconnectTiming = ReconnectTiming { retry_interval_ms: 150, connect_timeout_ms: 300 };
const START: u64 = 100_000;

/// Returns a peer that accepts connections, and a link to it that was opened at [`START`].
fn opened_link() -> (TcpListener, NodeAddress, Network, OutgoingLink) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = NodeAddress::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port());
    let mut network = Network::new().unwrap();
    let mut link = OutgoingLink::new(TIMING);
    link.connect_if_due(&mut network, address, START);
    assert!(link.connection().is_some());
    (listener, address, network, link)
}

#[test]
fn link_that_is_not_established_times_out_and_is_opened_again_at_once() {
    let (_listener, address, mut network, mut link) = opened_link();
    let first = link.connection().unwrap();
    assert_eq!(link.next_wakeup(0), START + 300);
    assert!(!link.connect_timed_out(START + 299));
    assert!(link.connect_timed_out(START + 300));
    assert!(link.reset(&mut network, START + 300));
    assert!(!link.reset(&mut network, START + 300), "the connection was already dropped");
    link.connect_if_due(&mut network, address, START + 300);
    assert!(link.connection().is_some_and(|connection| connection != first));
    assert_eq!(link.connect_started_at(), START + 300);
}

#[test]
fn link_that_ended_is_opened_again_after_the_delay() {
    let (_listener, address, mut network, mut link) = opened_link();
    link.connected();
    assert!(link.is_up() && !link.connect_timed_out(START + 10_000));
    assert_eq!(link.next_wakeup(START + 77), START + 77);
    let first = link.connection().unwrap();
    link.disconnected(&mut network, START + 1_000);
    assert!(!link.is_up() && !link.owns(first));
    assert_eq!(link.next_wakeup(START + 77), START + 1_150);
    link.connect_if_due(&mut network, address, START + 1_149);
    assert!(link.connection().is_none());
    link.connect_if_due(&mut network, address, START + 1_150);
    assert!(link.connection().is_some());
}

#[test]
fn link_to_a_reachable_peer_is_opened_again_at_once() {
    let (_listener, _address, mut network, mut link) = opened_link();
    link.peer_reachable(START + 10);
    assert!(link.connect_timed_out(START + 10));
    link.disconnected(&mut network, START + 20);
    link.peer_reachable(START + 30);
    assert_eq!(link.next_wakeup(0), START + 30);
    let (_listener, _address, _network, mut up) = opened_link();
    up.connected();
    up.peer_reachable(START + 10);
    assert!(!up.connect_timed_out(START + 10));
    assert_eq!(up.connect_started_at(), START);
}

#[test]
fn only_a_link_that_is_up_sends() {
    let (_listener, _address, mut network, mut link) = opened_link();
    assert!(!link.send(&mut network, &7_u64));
    link.connected();
    assert!(link.send(&mut network, &7_u64));
    assert!(network.queued_bytes(link.connection().unwrap()) > 0);
}

#[test]
fn link_that_is_reset_is_opened_again_without_a_delay() {
    let (_listener, address, mut network, mut link) = opened_link();
    link.connected();
    assert!(link.reset(&mut network, START + 10));
    assert_eq!(link.next_wakeup(0), START + 10);
    link.connect_if_due(&mut network, address, START + 10);
    assert!(link.connection().is_some() && !link.is_up());
}

#[test]
fn monitored_link_fails_if_it_is_not_established_or_its_peer_is_unresponsive() {
    let (_listener, address, mut network, _) = opened_link();
    let mut link = MonitoredLink::new(TIMING, 1_000);
    link.outgoing.connect_if_due(&mut network, address, START);
    assert!(!link.has_failed(START + 299));
    assert!(link.has_failed(START + 300), "the connection was not established in time");
    link.outgoing.connected();
    assert!(!link.has_failed(START + 1_000));
    assert!(link.has_failed(START + 1_001), "nothing was received from the peer");
    link.message_received(START + 500);
    assert_eq!(link.last_received_at(), START + 500);
    assert!(!link.has_failed(START + 1_500));
    assert!(link.has_failed(START + 1_501));
    assert!(link.outgoing.reset(&mut network, START + 5_000));
    link.outgoing.connect_if_due(&mut network, address, START + 5_000);
    link.outgoing.connected();
    assert!(!link.has_failed(START + 6_000), "a new connection must be allowed the full timeout");
    assert!(link.has_failed(START + 6_001));
}
