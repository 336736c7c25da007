//! Feed subscribers: announcement of control nodes, superseded sessions, snapshots and large updates.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_control_client::FeedReplica;
use orchidvalve_control_plane::sessions::SessionTable;
use orchidvalve_control_plane::subscribers::{Feed, FeedSubscribers};
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::frames::{encode, read_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, FeedPosition, Handshake, PROTOCOL_VERSION, Role, ServerEntry, StoreHealth,
};
use orchidvalve_protocol::server_table::ServerTable;
use rstest::rstest;
use sockets_support::*;

fn controls(numbers: &[u8]) -> Vec<NodeAddress> {
    numbers.iter().map(|n| NodeAddress::new(Ipv4Addr::new(10, 0, 0, *n), 8_000)).collect()
}

fn handshake() -> Handshake {
    Handshake {
        version: PROTOCOL_VERSION,
        role: Role::Gateway,
        name: "edge-1".into(),
        zone: "upper-hill".into(),
        member: MemberId { address: controls(&[9])[0], disk: 0 },
        incarnation: 5,
        cpu_share: 0.5,
    }
}

/// Reads the next message at the subscriber's end.
fn next(network: &mut Network, peer: &mut Peer) -> ControlMessage {
    for _ in 0..MAX_TURNS {
        network.poll(TURN).unwrap();
        peer.receive();
        if let Some((message, length)) = read_frame::<ControlMessage>(&peer.inbox).unwrap() {
            peer.inbox.drain(..length);
            return message;
        }
    }
    panic!("no message was received");
}

/// Accepts a connection that a peer has opened, and returns both ends.
fn accept(network: &mut Network, address: std::net::SocketAddrV4) -> (ConnectionId, Peer) {
    let peer = Peer::connect(address);
    let accepted = |event| match event {
        Event::Accepted { connection, .. } => Some(connection),
        _ => None,
    };
    for _ in 0..MAX_TURNS {
        if let Some(connection) = network.poll(TURN).unwrap().into_iter().find_map(accepted) {
            return (connection, peer);
        }
    }
    panic!("no connection was accepted");
}

/// A process gave up its session and opened another one at the same node, which notices the end of the first one last.
#[test]
fn the_end_of_a_superseded_connection_does_not_end_the_newer_session() {
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let (first, _first_peer) = accept(&mut network, address);
    let (second, _second_peer) = accept(&mut network, address);
    let (mut subscribers, mut sessions) = (FeedSubscribers::default(), SessionTable::default());
    let (handshake, position) = (handshake(), FeedPosition::default());
    assert_eq!(subscribers.supersede(&handshake), []);
    sessions.open(subscribers.open(&mut network, first, &handshake, position, controls(&[1]), 1_000), 1_000);
    assert_eq!(subscribers.supersede(&handshake), [first]);
    sessions.open(subscribers.open(&mut network, second, &handshake, position, controls(&[1]), 1_900), 1_900);
    assert_eq!(subscribers.close(first), None);
    sessions.expire(60_000);
    assert_eq!(sessions.local(1_900).len(), 1);
    let another = Handshake { role: Role::Store, ..handshake };
    assert_eq!(subscribers.supersede(&another), [], "another process of the same machine");
}

#[test]
fn a_changed_list_of_control_nodes_is_announced_once_to_all() {
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let (connection, mut peer) = accept(&mut network, address);
    let mut subscribers = FeedSubscribers::default();
    let (first, later) = (controls(&[1, 2, 3]), controls(&[1, 2, 4]));
    subscribers.announce_control_nodes(&mut network, first.clone());
    let position = FeedPosition::default();
    subscribers.open(&mut network, connection, &handshake(), position, first.clone(), 1_000);
    assert_eq!(next(&mut network, &mut peer), ControlMessage::Welcome { controls: first.clone() });
    subscribers.announce_control_nodes(&mut network, first);
    subscribers.announce_control_nodes(&mut network, later.clone());
    subscribers.announce_control_nodes(&mut network, later.clone());
    subscribers.heartbeat_received(&mut network, connection, None, 1_100);
    assert_eq!(next(&mut network, &mut peer), ControlMessage::Welcome { controls: later });
    assert_eq!(next(&mut network, &mut peer), ControlMessage::Heartbeat, "once, and only if it changed");
}

/// Applies this many configurations with bodies of about `bytes` bytes. Returns the state and the changes.
fn configured(count: u64, bytes: usize) -> (ControlState, Vec<Rc<[u8]>>) {
    let mut state = ControlState::default();
    let mut changes = Vec::new();
    for version in 0..count {
        let padding = "x".repeat(bytes);
        let document = serde_json::json!({
            "config-version": version + 1, "routes": [], "services": [{"name": "blue", "note": padding}],
        });
        let change = Change::Replace { base: version, body: document.to_string().into_bytes() };
        state.apply(&change).unwrap();
        changes.push(Rc::from(encode(&change)));
    }
    (state, changes)
}

#[rstest]
#[case::no_position(0, 5, 100, 1, true)]
#[case::a_little_behind(3, 5, 100, 1, false)]
#[case::no_longer_held(3, 9, 100, 6, true)]
#[case::small_changes(10, 200, 100, 1, false)]
#[case::many_small_changes(10, 2_000, 100, 1, true)]
#[case::one_large_change(39, 40, 200_000, 1, false)]
#[case::many_large_changes(3, 40, 200_000, 1, true)]
fn subscribers_get_a_snapshot_if_it_is_smaller_than_the_changes(
    #[case] position: u64,
    #[case] count: u64,
    #[case] bytes: usize,
    #[case] first_change: u64,
    #[case] expects_snapshot: bool,
) {
    let (state, changes) = configured(count, bytes);
    let servers = ServerTable::default();
    let feed = Feed { state: &state, applied: count, first_change, servers: &servers };
    let changes_from = |first: u64| changes[first as usize - 1..].to_vec();
    let mut copy = FeedReplica::default();
    if position > 0 {
        let known: Vec<Vec<u8>> = changes[..position as usize].iter().map(|change| change.to_vec()).collect();
        copy.apply_changes(1, &known).unwrap();
    }
    match feed.catch_up(position, &changes_from) {
        ControlMessage::Snapshot { sequence, state } => {
            assert!(expects_snapshot);
            copy.apply_snapshot(sequence, &state).unwrap();
        }
        ControlMessage::Changes { first, changes } => {
            assert!(!expects_snapshot);
            copy.apply_changes(first, &changes).unwrap();
        }
        other => panic!("{other:?} is not an update of the state"),
    }
    assert_eq!(copy.sequence(), count);
    assert_eq!(copy.state().snapshot(), state.snapshot());
}

fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number:08}"),
        service: "a-service-with-a-long-name-that-takes-some-bytes".repeat(4),
        address: controls(&[1])[0],
        zone: "upper-hill".to_owned(),
        slots: 6,
        draining: false,
        models: vec![("large".to_owned(), 1)],
    }
}

/// Many subscribers open sessions at once while the server table is large. They do not all get it at the same time, so that
/// small messages are not delayed behind all of it.
#[test]
fn large_updates_of_the_server_table_are_sent_to_a_few_at_a_time() {
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let mut table = ServerTable::default();
    table.replace(1, (0..1_500).map(entry).collect());
    let snapshot_bytes = encode(&ControlMessage::Servers(table.snapshot())).len();
    assert!(snapshot_bytes > 300_000, "{snapshot_bytes}");
    let (mut subscribers, state) = (FeedSubscribers::default(), ControlState::default());
    let mut peers = Vec::new();
    for number in 0..12 {
        let (connection, peer) = accept(&mut network, address);
        let handshake = Handshake { name: format!("edge-{number}"), ..handshake() };
        let position = FeedPosition::default();
        subscribers.open(&mut network, connection, &handshake, position, controls(&[1]), 1_000);
        peers.push((connection, peer));
    }
    let feed = Feed { state: &state, applied: 0, first_change: 1, servers: &table };
    let mut most_queued = 0;
    let mut received: Vec<FeedReplica> = peers.iter().map(|_| FeedReplica::default()).collect();
    for _ in 0..MAX_TURNS {
        subscribers.send_updates(&mut network, &feed, &|_| Vec::new());
        let queued: usize = peers.iter().map(|(connection, _)| network.queued_bytes(*connection)).sum();
        most_queued = most_queued.max(queued);
        network.poll(std::time::Duration::ZERO).unwrap();
        for ((_, peer), replica) in peers.iter_mut().zip(&mut received) {
            peer.receive();
            while let Some((message, length)) = read_frame::<ControlMessage>(&peer.inbox).unwrap() {
                peer.inbox.drain(..length);
                if let ControlMessage::Servers(update) = message {
                    replica.apply_server_update(&update).unwrap();
                }
            }
        }
        if received.iter().all(|replica| replica.servers().version() == table.version()) {
            break;
        }
    }
    assert!(
        received.iter().all(|replica| replica.servers().servers().count() == 1_500),
        "all subscribers get the table"
    );
    assert!(most_queued < 4 * snapshot_bytes, "{most_queued} bytes waited, {snapshot_bytes} a snapshot");
}

/// A store node that writes reports slightly more used bytes with each heartbeat.
#[test]
fn small_changes_of_disk_use_are_not_reported() {
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let (connection, _peer) = accept(&mut network, address);
    let mut subscribers = FeedSubscribers::default();
    subscribers.open(&mut network, connection, &handshake(), FeedPosition::default(), controls(&[1]), 1_000);
    let health = |used_bytes, draining| {
        Some(StoreHealth { disk_failing: false, used_bytes, capacity_bytes: 10_000, draining })
    };
    let mut is_reported =
        |health| subscribers.heartbeat_received(&mut network, connection, health, 1_100).is_some();
    assert!(is_reported(health(100, false)), "the first report");
    let reports = (100..10_000).step_by(10).filter(|used| is_reported(health(*used, false))).count();
    assert_eq!(reports, 49, "one report for each fiftieth of the disk");
    assert!(is_reported(health(9_990, true)), "the shutdown is reported");
    assert!(!is_reported(health(9_991, true)));
}

#[test]
fn the_incarnation_of_a_session_is_known_by_its_connection() {
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let (connection, _peer) = accept(&mut network, address);
    let mut subscribers = FeedSubscribers::default();
    assert_eq!(subscribers.incarnation(connection), None);
    subscribers.open(&mut network, connection, &handshake(), FeedPosition::default(), controls(&[1]), 1_000);
    assert_eq!(subscribers.incarnation(connection), Some(5));
    subscribers.close(connection);
    assert_eq!(subscribers.incarnation(connection), None);
}
