//! Links between control nodes: superseded connections, hints and observers.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::Ipv4Addr;

use orchidvalve_control_plane::peer_links::PeerLinks;
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use sockets_support::*;

fn member(number: u8, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk }
}

/// Returns this many accepted connections with their other ends.
fn connections(network: &mut Network, count: usize) -> (Vec<ConnectionId>, Vec<Peer>) {
    let address = v4(network.listen(loopback(), 1).unwrap());
    let peers: Vec<Peer> = (0..count).map(|_| Peer::connect(address)).collect();
    let mut accepted = Vec::new();
    for _ in 0..MAX_TURNS {
        let events = network.poll(TURN).unwrap().into_iter();
        accepted.extend(events.filter_map(|event| match event {
            Event::Accepted { connection, .. } => Some(connection),
            _ => None,
        }));
        if accepted.len() == count {
            return (accepted, peers);
        }
    }
    panic!("no connection was accepted");
}

#[test]
fn a_newer_connection_of_a_node_supersedes_the_older_one() {
    let mut network = Network::new().unwrap();
    let (accepted, _peers) = connections(&mut network, 3);
    let mut links = PeerLinks::new(member(1, 1).address);
    assert_eq!(links.peer_introduced(member(2, 2), accepted[0], 1_000), None);
    assert_eq!(links.peer_introduced(member(3, 3), accepted[1], 1_000), None, "another node");
    // With another disk it is the same node, whose former process is gone.
    assert_eq!(links.peer_introduced(member(2, 9), accepted[2], 1_500), Some(accepted[0]));
    assert_eq!(links.peer_introduced(member(2, 9), accepted[2], 1_600), None, "the same connection");
}

fn open_links(links: &mut PeerLinks, network: &mut Network, now: u64) -> usize {
    links.maintain(network, now);
    network.connection_count()
}

#[test]
fn hinted_nodes_are_connected_to_and_forgotten_in_time() {
    let mut network = Network::new().unwrap();
    let (_listener, address) = listen();
    let named = NodeAddress::new(*address.ip(), address.port());
    let mut links = PeerLinks::new(member(1, 1).address);
    links.add_hints(vec![named, member(1, 1).address], 200_000);
    assert_eq!(open_links(&mut links, &mut network, 200_000), 1, "not this node itself");
    assert_eq!(open_links(&mut links, &mut network, 209_999), 1);
    assert_eq!(open_links(&mut links, &mut network, 210_000), 0, "nothing was received from it");
}

/// After a restart a node without a disk knows no member if its seeds have no disk either, so members keep a link to it.
#[test]
fn links_to_observers_are_kept_long_after_their_session() {
    let mut network = Network::new().unwrap();
    let (_listener, address) = listen();
    let observer = NodeAddress::new(*address.ip(), address.port());
    let mut links = PeerLinks::new(member(1, 1).address);
    links.observer_seen(observer, 200_000);
    assert_eq!(open_links(&mut links, &mut network, 500_000), 1);
    assert!(links.is_observer(observer));
    assert_eq!(open_links(&mut links, &mut network, 800_000), 0, "it has gone for good");
}

#[test]
fn a_node_that_introduces_itself_as_a_member_is_not_an_observer() {
    let mut network = Network::new().unwrap();
    let (accepted, _peers) = connections(&mut network, 1);
    let mut links = PeerLinks::new(member(1, 1).address);
    links.observer_seen(member(2, 2).address, 200_000);
    links.peer_introduced(member(2, 2), accepted[0], 200_100);
    assert!(!links.is_observer(member(2, 2).address));
    assert_eq!(links.live_members(200_200), vec![member(2, 2)]);
}
