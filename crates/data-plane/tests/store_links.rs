//! Links to stores over loopback: handshake, heartbeats, leases, frames that are damaged, and new links.

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

    fn until(&mut self, mut done: impl FnMut(&mut Gateway) -> bool) {
        for _ in 0..MOST_TURNS {
            if done(self) {
                return;
            }
            self.turn();
        }
        panic!("it doesn't come");
    }

    fn accept(&mut self) -> Peer {
        let mut peer = None;
        self.until(|gateway| {
            peer = gateway.listener.accept().ok().map(|(stream, _)| Peer::new(stream));
            peer.is_some()
        });
        peer.unwrap()
    }

    /// The store can't be reached, until the returned socket is dropped.
    fn refuse_connections(&mut self) -> Socket {
        refuse_connections(std::mem::replace(&mut self.listener, listen().0))
    }

    /// Waits for the next message on the store's end.
    fn next(&mut self, peer: &mut Peer) -> GatewayMessage {
        let mut message = None;
        self.until(|_| {
            peer.look();
            if let Some((read, length)) = read_frame::<GatewayMessage>(&peer.got).unwrap() {
                peer.got.drain(..length);
                message = Some(read);
            }
            message.is_some()
        });
        message.unwrap()
    }

    /// A link that is up, with its first messages read.
    fn linked(&mut self) -> Peer {
        let mut peer = self.accept();
        self.until(|_| {
            peer.look();
            !peer.got.is_empty()
        });
        assert_eq!(peer.got.remove(0), LinkProtocol::StoreClient.byte());
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

fn answer(call: u64) -> StoreMessage {
    StoreMessage::Response { request_id: call, response: StoreResponse::Body(vec![7; 300]) }
}

#[test]
fn a_link_begins_with_a_handshake_and_kept_alive() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    let mut heartbeats = 0;
    for _ in 0..4 {
        send(&mut peer, &StoreMessage::Heartbeat);
        gateway.until(|gateway| !gateway.messages.is_empty());
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
fn a_new_work_limit_is_sent_at_once_and_only_once() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
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
fn messages_come_complete_however_they_are_split() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    let mut bytes = Vec::new();
    (1..=3).for_each(|call| write_frame(&mut bytes, &answer(call)));
    for piece in bytes.chunks(97) {
        peer.send_bytes(piece);
        gateway.turn();
    }
    gateway.until(|gateway| gateway.messages.len() == 3);
    assert_eq!(gateway.messages, [answer(1), answer(2), answer(3)]);
}

#[rstest]
#[case::too_long(&[0xff, 0xff, 0xff, 0x7f, 0])]
#[case::no_message(&[2, 0, 0, 0, 0xee, 0xee])]
fn a_damaged_frame_ends_the_link(#[case] bytes: &[u8]) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    peer.send_bytes(bytes);
    gateway.until(|gateway| !gateway.links.is_up(gateway.store));
    gateway.until(|_| {
        peer.look();
        peer.ended
    });
    assert!(gateway.messages.is_empty());
    gateway.now += 1_000;
    gateway.linked();
}

/// Changes every byte of a message in turn: what is read is a message or nothing, and the link works or is ended.
#[test]
fn changed_bytes_do_no_harm() {
    let mut bytes = Vec::new();
    write_frame(
        &mut bytes,
        &StoreMessage::AcknowledgeOutcomes { partition: 3, job: "7c41".into(), items: vec!["e5b2".into()] },
    );
    for place in 4..bytes.len() {
        let mut gateway = Gateway::new();
        let mut peer = gateway.linked();
        let mut changed = bytes.clone();
        changed[place] ^= 0x40;
        peer.send_bytes(&changed);
        gateway.until(|gateway| !gateway.messages.is_empty() || !gateway.links.is_up(gateway.store));
        assert!(gateway.messages.len() <= 1, "{place}");
    }
}

#[test]
fn a_store_that_sends_nothing_loses_its_leases() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    gateway.now += LEASE_MS - 1;
    gateway.turn();
    assert!(gateway.expired.is_empty());
    gateway.now += 1;
    gateway.turn();
    assert_eq!(gateway.expired, [gateway.store]);
    assert!(!gateway.links.is_up(gateway.store));
    gateway.until(|_| {
        peer.look();
        peer.ended
    });
    gateway.linked();
}

/// What had arrived while this process stood still comes too late: the lease is over before it is read.
#[test]
fn a_lease_is_over_before_late_messages_are_read() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    send(&mut peer, &answer(1));
    gateway.now += LEASE_MS;
    gateway.until(|gateway| !gateway.expired.is_empty());
    (0..5).for_each(|_| gateway.turn());
    assert!(gateway.messages.is_empty());
}

#[test]
fn a_link_that_broke_is_opened_again_after_a_pause() {
    let mut gateway = Gateway::new();
    drop(gateway.linked());
    gateway.until(|gateway| !gateway.lost.is_empty());
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
    gateway.linked();
    assert_eq!(gateway.up, 2);
}

/// A gateway that can't reach a store any more doesn't hear that jobs end.
#[rstest]
#[case::link_stays_down(false)]
#[case::link_comes_up_without_a_word(true)]
fn a_store_that_cannot_be_reached_loses_its_leases(#[case] comes_up: bool) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.until(|gateway| !gateway.messages.is_empty());
    let received_at = gateway.now;
    drop(peer);
    gateway.until(|gateway| !gateway.lost.is_empty());
    let (_peer, _refuses) = if comes_up {
        gateway.now = received_at + 1_200;
        (Some(gateway.linked()), None)
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
    assert_eq!(gateway.expired.len(), 1, "told once");
}

#[test]
fn a_store_that_is_heard_again_in_time_keeps_its_leases() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.until(|gateway| !gateway.messages.is_empty());
    drop(peer);
    gateway.until(|gateway| !gateway.lost.is_empty());
    gateway.now += 1_200;
    let mut peer = gateway.linked();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.until(|gateway| gateway.messages.len() == 2);
    gateway.now += 1_200;
    gateway.turn();
    assert!(gateway.expired.is_empty());
}

#[test]
fn a_link_that_does_not_come_up_is_opened_anew() {
    let mut gateway = Gateway::new();
    gateway.links.maintain(&mut gateway.network, gateway.now);
    let due = gateway.links.next_wakeup();
    assert!(due > gateway.now);
    assert!(gateway.links.expire_leases(&mut gateway.network, due).is_empty());
    assert!(!gateway.links.is_up(gateway.store));
    assert!(gateway.links.next_wakeup() <= due);
    gateway.now = due;
    // The connection that was closed, and the new one.
    gateway.accept();
    gateway.linked();
}

#[test]
fn links_to_stores_that_are_not_needed_end() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    gateway.links.set_stores(&mut gateway.network, &BTreeSet::new());
    gateway.until(|_| {
        peer.look();
        peer.ended
    });
    assert!(!gateway.links.is_up(gateway.store));
    assert_eq!(gateway.links.next_wakeup(), u64::MAX);
}

/// Groups pass to a new head of their partition, which this gateway can't reach: the former one is heard on no link any
/// more, and the new one may end jobs without this gateway knowing.
#[rstest]
#[case::never_heard(false)]
#[case::lost_before(true)]
fn a_new_head_that_cannot_be_reached_loses_its_leases(#[case] was_received: bool) {
    let mut gateway = Gateway::new();
    if was_received {
        let mut peer = gateway.linked();
        send(&mut peer, &StoreMessage::Heartbeat);
        gateway.until(|gateway| !gateway.messages.is_empty());
        drop(peer);
        gateway.until(|gateway| !gateway.lost.is_empty());
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
    assert_eq!(gateway.expired.len(), 1, "told once");
}

#[test]
fn a_new_head_that_was_heard_lately_has_no_more_time() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.linked();
    send(&mut peer, &StoreMessage::Heartbeat);
    gateway.until(|gateway| !gateway.messages.is_empty());
    let received_at = gateway.now;
    drop(peer);
    gateway.until(|gateway| !gateway.lost.is_empty());
    let _refuses = gateway.refuse_connections();
    gateway.now = received_at + 2_000;
    gateway.links.begin_lease(gateway.store, gateway.now);
    gateway.now = received_at + DISCONNECTED_LEASE_MS;
    gateway.turn();
    assert_eq!(gateway.expired, [gateway.store]);
}

/// Calls that wait for a store have to go elsewhere at once when its link is closed, as when it breaks.
#[rstest]
fn stores_that_hold_nothing_any_more_are_named(#[values(false, true)] up: bool) {
    let mut gateway = Gateway::new();
    if up {
        let _peer = gateway.accept();
        gateway.until(|gateway| gateway.up == 1);
    }
    let others = BTreeSet::from([NodeAddress::new(std::net::Ipv4Addr::LOCALHOST, 9)]);
    assert_eq!(gateway.links.set_stores(&mut gateway.network, &others), [gateway.store]);
    assert!(!gateway.links.is_up(gateway.store));
    assert_eq!(gateway.links.set_stores(&mut gateway.network, &others), []);
}
