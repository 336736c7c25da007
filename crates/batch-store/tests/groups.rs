//! Assignment of groups to gateways.

mod support;

use std::collections::BTreeSet;

use orchidvalve_batch_store::GATEWAY_TIMEOUT_MS;
use orchidvalve_protocol::messages::{GatewayMessage, ItemFailures};
use support::{TARGET_RUN_MS, World, disk, job, member};

fn groups_of(world: &World, gateway: u64) -> Vec<u32> {
    world.gateways[&gateway].assigned.iter().map(|(_, group)| group.index).collect()
}

#[test]
fn no_group_is_assigned_before_its_job_is_committed() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 2, 2, 2));
    world.sync(0);
    assert!(world.gateways[&1].assigned.is_empty());
    world.run();
    assert_eq!(groups_of(&world, 1), [0, 1]);
    let (terms, group) = &world.gateways[&1].assigned[0];
    assert_eq!((terms.job.as_str(), terms.epoch, terms.min_weights_version), ("j", 1, 1));
    assert_eq!(group.items[1].id, "j-0-1");
    assert_eq!(group.items[1].body, b"hello");
}

#[test]
fn a_gateway_gets_no_more_groups_than_its_capacity() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 10, 3, 0));
    world.run();
    assert_eq!(groups_of(&world, 1), [0, 1]);
    world.report(1, 0, "j", &["j-0-0", "j-0-1", "j-0-2"]);
    world.run();
    assert_eq!(groups_of(&world, 1), [0, 1, 2]);
}

#[test]
fn spare_groups_need_an_idle_gateway() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 20, 1, 4));
    world.run();
    // Four required groups and a margin of two. Then nothing, since more than half of the capacity is in use.
    world.advance(TARGET_RUN_MS / 2);
    world.run();
    assert_eq!(groups_of(&world, 1).len(), 6);
    world.report(1, 0, "j", &["j-0-0", "j-1-0", "j-2-0"]);
    world.run();
    assert_eq!(groups_of(&world, 1).len(), 7);
}

#[test]
fn spare_groups_wait_for_half_of_the_run_time() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 20, 1, 1));
    world.run();
    // One required group and a margin of two, although the gateway is idle.
    assert_eq!(groups_of(&world, 1).len(), 3);
    world.advance(TARGET_RUN_MS / 2 - 300);
    world.run();
    assert_eq!(groups_of(&world, 1).len(), 3);
    world.advance(600);
    world.run();
    assert!(groups_of(&world, 1).len() > 3);
}

#[test]
fn the_job_with_the_earliest_deadline_is_dispatched_first() {
    let mut world = World::placed(2, 2);
    world.submit(1, 0, "z-early", job("z-early", 2, 4, 2));
    world.advance(1_000);
    world.submit(1, 0, "a-late", job("a-late", 2, 4, 2));
    world.run();
    world.gateway_connected(1, 1);
    let jobs: Vec<&str> = world.gateways[&1].assigned.iter().map(|(terms, _)| terms.job.as_str()).collect();
    assert_eq!(jobs, ["z-early", "z-early"]);
}

#[test]
fn groups_are_spread_over_gateways() {
    let mut world = World::placed(2, 2);
    for gateway in 1..=4 {
        world.gateway_connected(gateway, 1);
    }
    world.submit(1, 0, "j", job("j", 16, 2, 0));
    world.run();
    for gateway in 1..=4 {
        assert_eq!(groups_of(&world, gateway).len(), 4);
    }
}

/// Only gateways that the control nodes list as workers get groups, whatever role others claim.
#[test]
fn only_gateways_that_run_generations_get_groups() {
    let mut world = World::placed(2, 2);
    (1..=3).for_each(|gateway| world.gateway_connected(gateway, 1));
    let set_workers = |world: &mut World, gateways: &[u8]| {
        let workers: Vec<_> = gateways.iter().map(|gateway| disk(100 + gateway, 0).address).collect();
        world.input(0, |store, now, outputs| store.set_workers(&workers, now, outputs));
    };
    set_workers(&mut world, &[2, 4]);
    world.submit(1, 0, "j", job("j", 8, 2, 0));
    world.run();
    let counts = |world: &World| [1, 2, 3].map(|gateway| groups_of(world, gateway).len());
    assert_eq!(counts(&world), [0, 4, 0]);
    set_workers(&mut world, &[3, 4]);
    assert_eq!(counts(&world), [0, 4, 4]);
    // A gateway that connects later is listed already.
    world.submit(1, 0, "k", job("k", 4, 2, 0));
    world.gateway_connected(4, 1);
    assert_eq!(groups_of(&world, 4).len(), 4);
}

#[test]
fn a_gateway_whose_lease_expires_loses_its_groups() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 2, 2, 2));
    world.run();
    world.gateway_connected(2, 1);
    assert!(groups_of(&world, 2).is_empty());
    for _ in 0..GATEWAY_TIMEOUT_MS / 100 + 3 {
        world.now += 100;
        world.send_to_store(2, 0, GatewayMessage::Heartbeat { generation_capacity: 8 });
        world.input(0, orchidvalve_batch_store::Store::tick);
    }
    assert_eq!(groups_of(&world, 2), [0, 1]);
}

#[test]
fn a_draining_gateway_whose_lease_expires_loses_its_groups_too() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 2, 2, 2));
    world.run();
    world.send_to_store(1, 0, GatewayMessage::Heartbeat { generation_capacity: 0 });
    world.gateway_connected(2, 1);
    for _ in 0..GATEWAY_TIMEOUT_MS / 100 + 3 {
        world.now += 100;
        world.send_to_store(2, 0, GatewayMessage::Heartbeat { generation_capacity: 8 });
        world.input(0, orchidvalve_batch_store::Store::tick);
    }
    assert_eq!(groups_of(&world, 2), [0, 1]);
}

#[test]
fn a_gateway_whose_lease_expired_gets_groups_again_after_its_next_message() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.run();
    for _ in 0..GATEWAY_TIMEOUT_MS / 100 + 3 {
        world.now += 100;
        world.input(0, orchidvalve_batch_store::Store::tick);
    }
    assert_eq!(groups_of(&world, 1), [0]);
    world.send_to_store(1, 0, GatewayMessage::Heartbeat { generation_capacity: 8 });
    assert_eq!(groups_of(&world, 1), [0, 0]);
}

#[test]
fn a_gateway_that_reconnects_gets_its_assignments_again_and_so_does_its_next_incarnation() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 2, 2, 2));
    world.run();
    world.stores[0].store.gateway_disconnected(orchidvalve_batch_store::LinkId(10));
    world.gateway_connected(1, 1);
    assert_eq!(groups_of(&world, 1), [0, 1, 0, 1]);
    world.gateway_connected(1, 2);
    assert_eq!(groups_of(&world, 1), [0, 1, 0, 1, 0, 1]);
}

#[test]
fn a_returned_group_is_assigned_again_after_a_backoff() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.run();
    let returned =
        |epoch| GatewayMessage::ReturnGroups { partition: 0, epoch, job: "j".to_owned(), groups: vec![0] };
    world.send_to_store(1, 0, returned(7));
    world.advance(1_000);
    assert_eq!(groups_of(&world, 1), [0]);
    world.send_to_store(1, 0, returned(1));
    assert_eq!(groups_of(&world, 1), [0]);
    world.advance(1_000);
    assert_eq!(groups_of(&world, 1), [0, 0]);
}

#[test]
fn a_new_head_assigns_unfinished_groups_mostly_to_the_same_gateways() {
    let mut world = World::placed(3, 2);
    for gateway in 1..=3 {
        world.gateway_connected(gateway, 1);
    }
    world.submit(1, 0, "j", job("j", 6, 2, 0));
    world.run();
    let before: Vec<BTreeSet<u32>> =
        (1..=3).map(|gateway| groups_of(&world, gateway).into_iter().collect()).collect();
    world.report(1, 0, "j", &["j-0-0"]);
    world.run();
    world.gateways.values_mut().for_each(|gateway| gateway.assigned.clear());
    world.stores[0].running = false;
    world.place(2, &[member(2), member(3)], &[]);
    world.advance(500);
    let after: Vec<BTreeSet<u32>> =
        (1..=3).map(|gateway| groups_of(&world, gateway).into_iter().collect()).collect();
    assert_eq!(after.iter().map(BTreeSet::len).sum::<usize>(), 6);
    let same: usize = before.iter().zip(&after).map(|(one, other)| one.intersection(other).count()).sum();
    assert!(same >= 4, "only {same} groups stayed at their gateway");
    let assigned = world.gateways.values().flat_map(|gateway| &gateway.assigned);
    let items: Vec<&str> =
        assigned.flat_map(|(_, group)| &group.items).map(|item| item.id.as_str()).collect();
    assert_eq!(items.len(), 11);
    assert!(!items.contains(&"j-0-0"));
}

#[test]
fn a_head_that_stays_resends_its_assignments_under_the_new_epoch() {
    let mut world = World::placed(3, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.run();
    world.place(2, &[member(1), member(2)], &[]);
    let epochs: Vec<u64> = world.gateways[&1].assigned.iter().map(|(terms, _)| terms.epoch).collect();
    assert_eq!(epochs, [1, 2]);
}

/// The next gateway continues counting failures where the previous one stopped.
#[test]
fn failures_of_items_are_sent_to_the_next_gateway_of_their_group() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 1, 2, 1));
    world.run();
    let failed = |item: &str, count| {
        let failures = vec![ItemFailures { item: item.to_owned(), count }];
        GatewayMessage::ReportFailures { partition: 0, job: "j".to_owned(), failures }
    };
    for message in [failed("j-0-0", 1), failed("j-0-0", 3), failed("j-0-0", 2), failed("elsewhere", 1)] {
        world.send_to_store(1, 0, message);
    }
    world.run();
    assert!(world.gateways[&1].known_failures.is_empty(), "the gateway reported them itself");
    let groups = vec![0];
    let returned = GatewayMessage::ReturnGroups { partition: 0, epoch: 1, job: "j".to_owned(), groups };
    world.send_to_store(1, 0, returned);
    world.advance(1_000);
    let known = vec![ItemFailures { item: "j-0-0".to_owned(), count: 3 }];
    assert_eq!(world.gateways[&1].known_failures, known);
}

/// Returns the number of required items that wait at the first store, by route.
fn undispatched_items(world: &World) -> Vec<(String, String, u32)> {
    let items = world.stores[0].store.undispatched_items().into_iter();
    items.map(|items| (items.hostname, items.route_prefix, items.count)).collect()
}

#[test]
fn required_items_that_wait_for_a_gateway_are_counted_by_route() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    assert_eq!(undispatched_items(&world), []);
    world.submit(1, 0, "j", job("j", 10, 3, 0));
    world.run();
    assert_eq!(groups_of(&world, 1), [0, 1]);
    assert_eq!(undispatched_items(&world), [("host".to_owned(), "/jobs".to_owned(), 24)]);
    world.report(1, 0, "j", &["j-0-0", "j-0-1", "j-0-2"]);
    world.run();
    assert_eq!(undispatched_items(&world), [("host".to_owned(), "/jobs".to_owned(), 21)]);
    assert_eq!(world.stores[1].store.undispatched_items(), [], "only the head dispatches");
}

#[test]
fn spare_groups_are_not_counted_as_waiting() {
    let mut world = World::placed(2, 2);
    world.gateway_connected(1, 1);
    world.submit(1, 0, "j", job("j", 20, 1, 4));
    world.run();
    assert_eq!(groups_of(&world, 1).len(), 6);
    assert_eq!(undispatched_items(&world), []);
}
