//! Connections of a caller whose messages are read after those of its later connection.

mod support;

use std::net::Ipv4Addr;

use orchidvalve_batch_store::LinkId;
use orchidvalve_batch_store::latest_connections::{ConnectionStatus, LatestConnections};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{GatewayMessage, Handshake, Role};
use support::{World, disk, job, outcome};

fn store(number: u8, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk }
}

#[test]
fn a_newer_connection_of_a_store_supersedes_the_older_one() {
    let mut connections = LatestConnections::default();
    assert_eq!(connections.introduced(1, 'a', store(1, 1)), ConnectionStatus::Latest { superseded: None });
    assert_eq!(connections.introduced(2, 'b', store(2, 1)), ConnectionStatus::Latest { superseded: None });
    assert_eq!(
        connections.introduced(3, 'c', store(1, 1)),
        ConnectionStatus::Latest { superseded: Some('a') }
    );
}

#[test]
fn an_older_connection_that_is_read_later_is_outdated() {
    let mut connections = LatestConnections::default();
    connections.introduced(5, 'b', store(1, 1));
    assert_eq!(connections.introduced(4, 'a', store(1, 1)), ConnectionStatus::Outdated);
    assert_eq!(connections.introduced(4, 'a', store(1, 9)), ConnectionStatus::Outdated, "of an earlier disk");
}

#[test]
fn a_connection_that_has_ended_supersedes_nothing() {
    let mut connections = LatestConnections::default();
    connections.introduced(1, 'a', store(1, 1));
    connections.closed('a');
    assert_eq!(connections.introduced(2, 'b', store(1, 1)), ConnectionStatus::Latest { superseded: None });
    connections.closed('x');
    assert_eq!(connections.introduced(1, 'a', store(1, 1)), ConnectionStatus::Outdated);
}

const OLD_LINK: LinkId = LinkId(10);
const NEW_LINK: LinkId = LinkId(15);

fn handshake(incarnation: u64) -> GatewayMessage {
    GatewayMessage::Handshake(Handshake {
        version: 1,
        role: Role::Gateway,
        name: "door-1".to_owned(),
        zone: "zone".to_owned(),
        member: disk(101, 0),
        incarnation,
        cpu_share: 1.0,
    })
}

fn send(world: &mut World, link: LinkId, message: GatewayMessage) {
    world.input(0, |store, now, outputs| store.gateway_message(link, message, now, outputs));
    world.run();
}

/// Group 0 of the job was assigned to gateway 1 on its old link, and the gateway has opened a new link since.
fn reconnected_world(incarnation: u64) -> World {
    let mut world = World::placed(2, 2);
    world.connect_gateway_to(1, 1, 0);
    world.submit(1, 0, "j", job("j", 1, 1, 1));
    world.run();
    assert_eq!(world.gateways[&1].assigned.len(), 1);
    send(&mut world, NEW_LINK, handshake(incarnation));
    send(&mut world, NEW_LINK, GatewayMessage::Heartbeat { generation_capacity: 8 });
    world
}

#[test]
fn a_group_returned_on_an_old_link_stays_assigned() {
    let mut world = reconnected_world(1);
    assert_eq!(world.gateways[&1].assigned.len(), 2, "the group is assigned again on the new link");
    world.gateway_connected(2, 1);
    let returned =
        GatewayMessage::ReturnGroups { partition: 0, epoch: 1, job: "j".to_owned(), groups: vec![0] };
    send(&mut world, OLD_LINK, returned);
    world.now += 400;
    world.input(0, orchidvalve_batch_store::Store::tick);
    assert!(world.gateways[&2].assigned.is_empty(), "two gateways work on one group");
}

#[test]
fn a_handshake_on_an_old_link_does_not_replace_the_new_one() {
    let mut world = reconnected_world(1);
    send(&mut world, OLD_LINK, handshake(1));
    world.input(0, |store, _, _| store.gateway_disconnected(OLD_LINK));
    let before = world.gateways[&1].assigned.len();
    world.submit(1, 0, "k", job("k", 1, 1, 1));
    world.run();
    assert_eq!(world.gateways[&1].assigned.len(), before + 1, "the gateway gets groups on its new link");
}

#[test]
fn an_earlier_incarnation_of_a_gateway_does_not_replace_the_later_one() {
    let mut world = reconnected_world(2);
    world.gateway_connected(2, 1);
    let before = world.gateways[&1].assigned.len();
    send(&mut world, OLD_LINK, handshake(1));
    world.submit(2, 0, "k", job("k", 4, 2, 4));
    world.run();
    assert!(world.gateways[&1].assigned.len() > before, "the later incarnation gets groups");
}

#[test]
fn a_heartbeat_on_an_old_link_renews_no_lease() {
    let mut world = reconnected_world(1);
    world.gateway_connected(2, 1);
    for _ in 0..20 {
        world.now += 100;
        send(&mut world, OLD_LINK, GatewayMessage::Heartbeat { generation_capacity: 8 });
        world.send_to_store(2, 0, GatewayMessage::Heartbeat { generation_capacity: 8 });
        world.input(0, orchidvalve_batch_store::Store::tick);
    }
    assert_eq!(
        world.gateways[&2].assigned.len(),
        1,
        "the group of the gateway that timed out goes to another"
    );
}

/// Outcomes are recorded whichever link carries them: they report completed work and claim no assignment.
#[test]
fn a_result_on_an_old_link_is_recorded_once() {
    let mut world = reconnected_world(1);
    let outcomes = || GatewayMessage::ReportOutcomes {
        partition: 0,
        job: "j".to_owned(),
        outcomes: vec![outcome("j-0-0")],
    };
    send(&mut world, NEW_LINK, outcomes());
    send(&mut world, OLD_LINK, outcomes());
    let call = world.read(1, 0, "j", 0, 0);
    world.run();
    assert_eq!(support::result_items(world.response(1, call)), ["j-0-0"]);
}
