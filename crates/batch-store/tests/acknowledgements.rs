//! Acknowledged writes survive the loss of as many disks as the tolerance allows while all other nodes lose power at
//! the same moment, because they are synced to one disk more than the tolerance before they are acknowledged.

mod support;

use orchidvalve_protocol::messages::{ItemState, StoreResponse};
use rstest::rstest;
use support::{Process, World, disk, job, result_items};

const TOLERANCE: usize = 2;
const STORES: u8 = TOLERANCE as u8 + 1;
const GATEWAY: u64 = 1;
const JOB: &str = "j";
const ITEM: &str = "j-0-0";

/// The kind of write that is acknowledged.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Kind {
    Job,
    /// Acknowledged to the gateway that reported the result, and to every caller that reads it.
    Result,
    End,
}

/// Makes the calls for a write. [`acknowledged`] returns whether it was acknowledged.
fn make_call(world: &mut World, kind: Kind) -> u64 {
    match kind {
        Kind::Job => world.submit(GATEWAY, 0, JOB, job(JOB, 1, 2, 1)),
        Kind::Result => {
            world.report(GATEWAY, 0, JOB, &[ITEM]);
            world.read(GATEWAY, 0, JOB, 0, 0)
        }
        Kind::End => world.end(GATEWAY, 0, JOB),
    }
}

fn acknowledged(world: &World, kind: Kind, call: u64) -> bool {
    match kind {
        Kind::Job => world.response(GATEWAY, call) == Some(&StoreResponse::Accepted),
        Kind::Result => {
            let read = matches!(world.response(GATEWAY, call), Some(StoreResponse::Results { outcomes, .. }) if !outcomes.is_empty());
            read || world.gateways[&GATEWAY].acknowledged.contains(&ITEM.to_owned())
        }
        Kind::End => world.response(GATEWAY, call) == Some(&StoreResponse::Ended),
    }
}

fn world_with_job(kind: Kind) -> World {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    if kind != Kind::Job {
        world.submit(GATEWAY, 0, JOB, job(JOB, 1, 2, 1));
        world.run();
    }
    world
}

/// Delivers all messages between stores without syncing any disk.
fn deliver(world: &mut World) {
    for (from, to, message) in std::mem::take(&mut world.network) {
        world.deliver(from, to, message);
    }
}

/// Alternately delivers messages and syncs disks until the write is acknowledged. The disk of `slow` is synced only if
/// no other progress is possible.
fn until_acknowledged(world: &mut World, kind: Kind, call: u64, slow: usize) {
    for _ in 0..100 {
        if acknowledged(world, kind, call) {
            return;
        }
        deliver(world);
        if acknowledged(world, kind, call) {
            return;
        }
        let others = (0..usize::from(STORES)).filter(|index| *index != slow);
        let synced = others.fold(false, |synced, index| world.sync(index) | synced);
        if !synced && world.network.is_empty() {
            assert!(!acknowledged(world, kind, call), "{kind:?} was acknowledged without the disk of {slow}");
            world.sync(slow);
        }
    }
    panic!("{kind:?} is not acknowledged");
}

/// Simulates the loss of all disks except that of `kept`, whose node loses power.
fn lose_disks_except(world: &mut World, kept: usize) {
    world.network.clear();
    for index in 0..usize::from(STORES) {
        if index == kept {
            world.restart(index);
        } else {
            world.stores[index] = Process::start(disk(index as u8 + 1, 2), Vec::new(), TOLERANCE + 1, 70);
        }
    }
}

/// Restores the chain: the store with the surviving disk copies it to the others, which are new members.
fn restore_chain(world: &mut World, kept: usize) {
    let survivor = world.stores[kept].me;
    let others: Vec<_> = world.stores.iter().map(|store| store.me).filter(|me| *me != survivor).collect();
    world.place(2, &[survivor], &others);
    world.advance(1_000);
    let all: Vec<_> = std::iter::once(survivor).chain(others).collect();
    world.place(3, &all, &[]);
    world.gateway_connected(GATEWAY, 2);
    world.advance(1_000);
}

#[rstest]
fn acknowledged_writes_survive_disk_losses_during_a_power_failure(
    #[values(Kind::Job, Kind::Result, Kind::End)] kind: Kind,
    #[values(0, 1, 2)] kept: usize,
    #[values(0, 1, 2)] slow: usize,
) {
    let mut world = world_with_job(kind);
    let call = make_call(&mut world, kind);
    until_acknowledged(&mut world, kind, call, slow);
    lose_disks_except(&mut world, kept);
    restore_chain(&mut world, kept);
    let read = world.read(GATEWAY, kept, JOB, 0, 0);
    let body = world.item_body(GATEWAY, kept, JOB, "j-0-1");
    world.run();
    match kind {
        Kind::Job => {
            assert_eq!(world.response(GATEWAY, body), Some(&StoreResponse::Body(b"hello".to_vec())));
        }
        Kind::Result => assert_eq!(result_items(world.response(GATEWAY, read)), [ITEM]),
        Kind::End => {
            let assigned = world.gateways[&GATEWAY].assigned.len();
            world.gateway_connected(2, 1);
            world.advance(1_000);
            assert!(world.gateways[&2].assigned.is_empty(), "an ended job is dispatched");
            assert_eq!(world.gateways[&GATEWAY].assigned.len(), assigned);
            assert!(world.gateways[&2].cancelled.contains(&JOB.to_owned()));
        }
    }
}

/// An item that expired remains expired after the loss of disks.
#[rstest]
fn an_expired_item_stays_expired(#[values(0, 1, 2)] kept: usize) {
    let mut world = world_with_job(Kind::Result);
    world.advance(support::MAX_QUEUE_MS + 4_000);
    let read = world.read(GATEWAY, 0, JOB, 0, 0);
    world.run();
    assert_eq!(result_items(world.response(GATEWAY, read)).len(), 2);
    lose_disks_except(&mut world, kept);
    restore_chain(&mut world, kept);
    let read = world.read(GATEWAY, kept, JOB, 0, 0);
    world.run();
    match world.response(GATEWAY, read) {
        Some(StoreResponse::Results { outcomes, .. }) => {
            assert_eq!(outcomes.len(), 2);
            assert!(outcomes.iter().all(|outcome| outcome.state == ItemState::Expired));
        }
        other => panic!("no results but {other:?}"),
    }
}

/// A partition whose log was restarted has lost its jobs. Without an acknowledgement, a gateway with an outcome for one
/// of them would send it forever.
#[test]
fn outcomes_of_an_unknown_job_are_acknowledged() {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    world.report(GATEWAY, 0, "forgotten", &["a", "b"]);
    world.run();
    assert_eq!(world.gateways[&GATEWAY].acknowledged, ["a", "b"]);
    assert!(world.gateways[&GATEWAY].responses.is_empty(), "no call was made");
}

/// A former head that was partitioned does not know which jobs its successors have accepted.
#[test]
fn outcomes_of_an_unknown_job_are_not_acknowledged_in_an_unconfirmed_view() {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    for index in 1..usize::from(STORES) {
        world.stores[index].running = false;
    }
    world.report(GATEWAY, 0, "unknown", &["a"]);
    world.advance(5_000);
    assert!(world.gateways[&GATEWAY].acknowledged.is_empty());
    assert!(world.gateways[&GATEWAY].responses.is_empty(), "no call was made");
}

/// Outcomes that reach a store other than the head are not acknowledged, so the gateway sends them to the head.
#[test]
fn outcomes_at_another_member_are_not_acknowledged() {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    world.report(GATEWAY, 1, "unknown", &["a"]);
    world.run();
    assert!(world.gateways[&GATEWAY].acknowledged.is_empty());
}
