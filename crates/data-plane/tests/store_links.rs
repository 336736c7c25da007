//! Tests of links to store nodes over loopback: handshake, heartbeats, leases, corrupted frames, and reconnection.

mod sockets_support;

use std::collections::BTreeSet;
use std::net::{SocketAddrV4, TcpListener};

use orchidvalve_data_plane::store_links::{DISCONNECTED_LEASE_MS, LEASE_MS, StoreLinks};
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::frames::{read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    GatewayMessage, Handshake, LinkProtocol, PROTOCOL_VERSION, Role, StoreMessage, StoreResponse,
};
use rstest::rstest;
use socket2::Socket;
use sockets_support::*;

struct Gateway {
    network: Network,
    links: StoreLinks,
    listener: TcpListener,
    store: NodeAddress,
    up: usize,
    lost: Vec<NodeAddress>,
    expired: Vec<NodeAddress>,
    messages: Vec<StoreMessage>,
    now: u64,
}

fn node(address: SocketAddrV4) -> NodeAddress {
    NodeAddress::new(*address.ip(), address.port())
}

fn handshake() -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        role: Role::Gateway,
        name: "edge-1".into(),
        zone: "upper-hill".into(),
        member: MemberId { address: node(loopback()), disk: 0 },
        incarnation: 5,
        cpu_share: 0.5,
    }
}

impl Gateway {
    fn new() -> Gateway {
        let (listener, address) = listen();
        let store = node(address);
        let mut network = Network::new().unwrap();
        let mut links = StoreLinks::new(handshake());
        links.set_stores(&mut network, &BTreeSet::from([store]));
        let (lost, expired, messages) = Default::default();
        Gateway { network, links, listener, store, up: 0, lost, expired, messages, now: 10_000 }
    }

    fn turn(&mut self) {
        let events = self.network.poll(TURN).unwrap();
        self.expired.extend(self.links.expire_leases(&mut self.network, self.now));
        for event in events {
            match event {
                Event::Connected(id) => {
                    let store = self.links.connected(&mut self.network, id, self.now);
                    assert_eq!(store, Some(self.store));
                    self.up += 1;
                }
                Event::Data(id) => {
                    let read = self.links.read(&mut self.network, id, self.now);
                    self.messages.extend(read.into_iter().flat_map(|(_, messages)| messages));
                }
                Event::Closed { connection, .. } => {
                    self.lost.extend(self.links.closed(&mut self.network, connection, self.now));
                }
                other => unreachable!("{other:?}"),
            }
        }
        self.links.maintain(&mut self.network, self.now);
    }

    fn run_until(&mut self, mut done: impl FnMut(&mut Gateway) -> bool) {
        for _ in 0..MAX_TURNS {
            if done(self) {
                return;
            }
            self.turn();
        }
        panic!("the awaited event did not happen");
    }

    fn accept(&mut self) -> Peer {
        let mut peer = None;
        self.run_until(|gateway| {
            peer = gateway.listener.accept().ok().map(|(stream, _)| Peer::new(stream));
            peer.is_some()
        });
        peer.unwrap()
    }

    /// Makes the store node unreachable until the returned socket is dropped.
    fn refuse_connections(&mut self) -> Socket {
        refuse_connections(std::mem::replace(&mut self.listener, listen().0))
    }

    /// Waits for the next message at the store node's end.
    fn next(&mut self, peer: &mut Peer) -> GatewayMessage {
        let mut message = None;
        self.run_until(|_| {
            peer.receive();
            if let Some((read, length)) = read_frame::<GatewayMessage>(&peer.inbox).unwrap() {
                peer.inbox.drain(..length);
                message = Some(read);
            }
            message.is_some()
        });
        message.unwrap()
    }

    /// Returns the store node's end of an established link whose first messages were read.
    fn accept_link(&mut self) -> Peer {
        let mut peer = self.accept();
        self.run_until(|_| {
            peer.receive();
            !peer.inbox.is_empty()
        });
        assert_eq!(peer.inbox.remove(0), LinkProtocol::StoreClient.byte());
        assert_eq!(self.next(&mut peer), GatewayMessage::Handshake(handshake()));
        assert!(matches!(self.next(&mut peer), GatewayMessage::Heartbeat { .. }));
        assert!(self.links.is_up(self.store));
        peer
    }
}

fn send(peer: &mut Peer, message: &StoreMessage) {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, message);
    peer.send_bytes(&bytes);
}

fn body_response(call: u64) -> StoreMessage {
    StoreMessage::Response { request_id: call, response: StoreResponse::Body(vec![7; 300]) }
}

#[test]
fn a_link_starts_with_a_handshake_and_is_kept_alive() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    let mut heartbeats = 0;
    for _ in 0..4 {
        send(&mut peer, &StoreMessage::Heartbeat);
        gateway.run_until(|gateway| !gateway.messages.is_empty());
        gateway.messages.clear();
        assert!(gateway.links.next_wakeup() <= gateway.now + LEASE_MS);
        gateway.now = gateway.links.next_wakeup();
        heartbeats += usize::from(matches!(
            gateway.next(&mut peer),
            GatewayMessage::Heartbeat { generation_capacity: 0 }
        ));
    }
    assert_eq!((heartbeats, gateway.expired.len(), gateway.up), (4, 0, 1));
}

#[test]
fn a_new_generation_capacity_is_sent_once() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    gateway.links.set_generation_capacity(&mut gateway.network, 12);
    assert_eq!(gateway.next(&mut peer), GatewayMessage::Heartbeat { generation_capacity: 12 });
    gateway.links.set_generation_capacity(&mut gateway.network, 12);
    assert!(gateway.links.send(
        &mut gateway.network,
        gateway.store,
        &GatewayMessage::Heartbeat { generation_capacity: 99 }
    ));
    assert_eq!(gateway.next(&mut peer), GatewayMessage::Heartbeat { generation_capacity: 99 });
}

#[test]
fn messages_are_read_at_any_split() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    let mut bytes = Vec::new();
    (1..=3).for_each(|call| write_frame(&mut bytes, &body_response(call)));
    for piece in bytes.chunks(97) {
        peer.send_bytes(piece);
        gateway.turn();
    }
    gateway.run_until(|gateway| gateway.messages.len() == 3);
    assert_eq!(gateway.messages, [body_response(1), body_response(2), body_response(3)]);
}

#[rstest]
#[case::too_long(&[0xff, 0xff, 0xff, 0x7f, 0])]
#[case::no_message(&[2, 0, 0, 0, 0xee, 0xee])]
fn a_corrupted_frame_closes_the_link(#[case] bytes: &[u8]) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    peer.send_bytes(bytes);
    gateway.run_until(|gateway| !gateway.links.is_up(gateway.store));
    gateway.run_until(|_| {
        peer.receive();
        peer.ended
    });
    assert!(gateway.messages.is_empty());
    gateway.now += 1_000;
    gateway.accept_link();
}

/// Changes each byte of a message in turn. Either at most one message is read or the link is closed.
#[test]
fn changed_bytes_give_at_most_one_message() {
    let mut bytes = Vec::new();
    write_frame(
        &mut bytes,
        &StoreMessage::AcknowledgeOutcomes { partition: 3, job: "7c41".into(), items: vec!["e5b2".into()] },
    );
    for position in 4..bytes.len() {
        let mut gateway = Gateway::new();
        let mut peer = gateway.accept_link();
        let mut changed = bytes.clone();
        changed[position] ^= 0x40;
        peer.send_bytes(&changed);
        gateway.run_until(|gateway| !gateway.messages.is_empty() || !gateway.links.is_up(gateway.store));
        assert!(gateway.messages.len() <= 1, "{position}");
    }
}

#[test]
fn an_unresponsive_store_loses_its_leases() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    gateway.now += LEASE_MS - 1;
    gateway.turn();
    assert!(gateway.expired.is_empty());
    gateway.now += 1;
    gateway.turn();
    assert_eq!(gateway.expired, [gateway.store]);
    assert!(!gateway.links.is_up(gateway.store));
    gateway.run_until(|_| {
        peer.receive();
        peer.ended
    });
    gateway.accept_link();
}

/// Messages that arrived while this process was suspended are too late: the lease expires before they are read.
#[test]
fn a_lease_expires_before_late_messages_are_read() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    send(&mut peer, &body_response(1));
    gateway.now += LEASE_MS;
    gateway.run_until(|gateway| !gateway.expired.is_empty());
    (0..5).for_each(|_| gateway.turn());
    assert!(gateway.messages.is_empty());
}

#[test]
fn a_broken_link_is_reopened_after_a_delay() {
    let mut gateway = Gateway::new();
    drop(gateway.accept_link());
    gateway.run_until(|gateway| !gateway.lost.is_empty());
    assert_eq!(gateway.lost, [gateway.store]);
    assert!(!gateway.links.is_up(gateway.store));
    assert!(!gateway.links.send(
        &mut gateway.network,
        gateway.store,
        &GatewayMessage::Heartbeat { generation_capacity: 1 }
    ));
    assert!(gateway.links.next_wakeup() > gateway.now);
    (0..5).for_each(|_| gateway.turn());
    assert!(gateway.listener.accept().is_err());
    gateway.now = gateway.links.next_wakeup();
    gateway.accept_link();
    assert_eq!(gateway.up, 2);
}

/// A gateway that can no longer reach a store node doesn't learn when jobs end.
#[rstest]
#[case::link_stays_down(false)]
#[case::link_comes_up_without_a_message(true)]
fn an_unreachable_store_loses_its_leases(#[case] comes_up: bool) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.run_until(|gateway| !gateway.messages.is_empty());
    let received_at = gateway.now;
    drop(peer);
    gateway.run_until(|gateway| !gateway.lost.is_empty());
    let (_peer, _refuses) = if comes_up {
        gateway.now = received_at + 1_200;
        (Some(gateway.accept_link()), None)
    } else {
        (None, Some(gateway.refuse_connections()))
    };
    gateway.now = received_at + DISCONNECTED_LEASE_MS - 1;
    gateway.turn();
    assert!(gateway.expired.is_empty());
    assert!(gateway.links.next_wakeup() <= received_at + DISCONNECTED_LEASE_MS);
    gateway.now = received_at + DISCONNECTED_LEASE_MS;
    gateway.turn();
    assert_eq!(gateway.expired, [gateway.store]);
    gateway.now += 1;
    gateway.turn();
    assert_eq!(gateway.expired.len(), 1, "reported once");
}

#[test]
fn a_store_that_responds_in_time_keeps_its_leases() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.run_until(|gateway| !gateway.messages.is_empty());
    drop(peer);
    gateway.run_until(|gateway| !gateway.lost.is_empty());
    gateway.now += 1_200;
    let mut peer = gateway.accept_link();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.run_until(|gateway| gateway.messages.len() == 2);
    gateway.now += 1_200;
    gateway.turn();
    assert!(gateway.expired.is_empty());
}

#[test]
fn a_link_that_times_out_is_reopened() {
    let mut gateway = Gateway::new();
    gateway.links.maintain(&mut gateway.network, gateway.now);
    let due = gateway.links.next_wakeup();
    assert!(due > gateway.now);
    assert!(gateway.links.expire_leases(&mut gateway.network, due).is_empty());
    assert!(!gateway.links.is_up(gateway.store));
    assert!(gateway.links.next_wakeup() <= due);
    gateway.now = due;
    // The closed connection, and then the new one.
    gateway.accept();
    gateway.accept_link();
}

#[test]
fn links_to_removed_stores_are_closed() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    gateway.links.set_stores(&mut gateway.network, &BTreeSet::new());
    gateway.run_until(|_| {
        peer.receive();
        peer.ended
    });
    assert!(!gateway.links.is_up(gateway.store));
    assert_eq!(gateway.links.next_wakeup(), u64::MAX);
}

/// Groups pass to a new head of their partition that this gateway cannot reach. The former head is no longer linked,
/// and the new one may end jobs unknown to this gateway.
#[rstest]
#[case::never_received(false)]
#[case::lost_before(true)]
fn an_unreachable_new_head_loses_its_leases(#[case] was_received: bool) {
    let mut gateway = Gateway::new();
    if was_received {
        let mut peer = gateway.accept_link();
        send(&mut peer, &StoreMessage::Heartbeat);
        gateway.run_until(|gateway| !gateway.messages.is_empty());
        drop(peer);
        gateway.run_until(|gateway| !gateway.lost.is_empty());
    }
    let _refuses = gateway.refuse_connections();
    gateway.now += 10 * DISCONNECTED_LEASE_MS;
    (0..5).for_each(|_| gateway.turn());
    gateway.expired.clear();
    let head_since = gateway.now;
    gateway.links.begin_lease(gateway.store, head_since);
    gateway.now = head_since + DISCONNECTED_LEASE_MS - 1;
    gateway.turn();
    assert!(gateway.expired.is_empty());
    assert!(gateway.links.next_wakeup() <= head_since + DISCONNECTED_LEASE_MS);
    gateway.now = head_since + DISCONNECTED_LEASE_MS;
    gateway.turn();
    assert_eq!(gateway.expired, [gateway.store]);
    gateway.now += 1;
    gateway.turn();
    assert_eq!(gateway.expired.len(), 1, "reported once");
}

#[test]
fn a_new_head_does_not_extend_an_existing_lease() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.accept_link();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.run_until(|gateway| !gateway.messages.is_empty());
    let received_at = gateway.now;
    drop(peer);
    gateway.run_until(|gateway| !gateway.lost.is_empty());
    let _refuses = gateway.refuse_connections();
    gateway.now = received_at + 2_000;
    gateway.links.begin_lease(gateway.store, gateway.now);
    gateway.now = received_at + DISCONNECTED_LEASE_MS;
    gateway.turn();
    assert_eq!(gateway.expired, [gateway.store]);
}

/// Calls in flight at a store node have to be retried elsewhere at once when its link is closed, as when it breaks.
#[rstest]
fn removed_stores_are_returned(#[values(false, true)] up: bool) {
    let mut gateway = Gateway::new();
    if up {
        let _peer = gateway.accept();
        gateway.run_until(|gateway| gateway.up == 1);
    }
    let others = BTreeSet::from([NodeAddress::new(std::net::Ipv4Addr::LOCALHOST, 9)]);
    assert_eq!(gateway.links.set_stores(&mut gateway.network, &others), [gateway.store]);
    assert!(!gateway.links.is_up(gateway.store));
    assert_eq!(gateway.links.set_stores(&mut gateway.network, &others), []);
}
