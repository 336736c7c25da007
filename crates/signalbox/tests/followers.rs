//! Followers are told which control machines there are, also while their sessions stand.

#[path = "../../turnstile/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::Ipv4Addr;

use orchidvalve_signalbox::followers::Followers;
use orchidvalve_track::frames::read_frame;
use orchidvalve_track::identity::{MemberId, NodeAddress};
use orchidvalve_track::messages::{FeedPosition, FromControl, Introduction, PROTOCOL_VERSION, Role};
use orchidvalve_track::network::{Event, Network};
use sockets_support::*;

fn controls(numbers: &[u8]) -> Vec<NodeAddress> {
    numbers.iter().map(|n| NodeAddress::new(Ipv4Addr::new(10, 0, 0, *n), 8_000)).collect()
}

fn introduction() -> Introduction {
    Introduction {
        version: PROTOCOL_VERSION,
        role: Role::Door,
        name: "edge-1".into(),
        zone: "upper-hill".into(),
        member: MemberId { address: controls(&[9])[0], disk: 0 },
        incarnation: 5,
        share: 0.5,
    }
}

/// The next message at the follower's end.
fn next(network: &mut Network, peer: &mut Peer) -> FromControl {
    for _ in 0..MOST_TURNS {
        network.poll(TURN).unwrap();
        peer.look();
        if let Some((message, length)) = read_frame::<FromControl>(&peer.got).unwrap() {
            peer.got.drain(..length);
            return message;
        }
    }
    panic!("no message comes");
}

#[test]
fn a_changed_list_of_control_machines_is_told_once_to_all() {
    let mut network = Network::new().unwrap();
    let address = v4(network.listen(loopback(), 1).unwrap());
    let mut peer = Peer::connect(address);
    let mut connection = None;
    while connection.is_none() {
        let accepted = |event| match event {
            Event::Accepted { connection, .. } => Some(connection),
            _ => None,
        };
        connection = network.poll(TURN).unwrap().into_iter().find_map(accepted);
    }
    let mut followers = Followers::default();
    let (first, later) = (controls(&[1, 2, 3]), controls(&[1, 2, 4]));
    followers.tell_controls(&mut network, first.clone());
    let position = FeedPosition::default();
    followers.open(&mut network, connection.unwrap(), &introduction(), position, first.clone(), 1_000);
    assert_eq!(next(&mut network, &mut peer), FromControl::Welcome { controls: first.clone() });
    followers.tell_controls(&mut network, first);
    followers.tell_controls(&mut network, later.clone());
    followers.tell_controls(&mut network, later.clone());
    followers.heard(&mut network, connection.unwrap(), None, 1_100);
    assert_eq!(next(&mut network, &mut peer), FromControl::Welcome { controls: later });
    assert_eq!(next(&mut network, &mut peer), FromControl::Heartbeat, "once, and only if it changed");
}
