//! What a store has acknowledged outlives the loss of as many disks as may be lost at once, while all other machines
//! lose power at the same moment: it lies on one disk more than that, synced, before anything is acknowledged.

mod support;

use orchidvalve_protocol::messages::{ItemState, StoreResponse};
use rstest::rstest;
use support::{Process, World, disk, job, result_items};

const TOLERANCE: usize = 2;
const STORES: u8 = TOLERANCE as u8 + 1;
const GATEWAY: u64 = 1;
const JOB: &str = "j";
const ITEM: &str = "j-0-0";

/// What is acknowledged.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Kind {
    Job,
    /// To the gateway that made the text, and to whoever reads it.
    Result,
    End,
}

/// Calls for what is acknowledged; whether it has been is said by [`acknowledged`].
fn ask(world: &mut World, kind: Kind) -> u64 {
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
        Kind::Job => world.answer(GATEWAY, call) == Some(&StoreResponse::Accepted),
        Kind::Result => {
            let read = matches!(world.answer(GATEWAY, call), Some(StoreResponse::Results { outcomes, .. }) if !outcomes.is_empty());
            read || world.gateways[&GATEWAY].recorded.contains(&ITEM.to_owned())
        }
        Kind::End => world.answer(GATEWAY, call) == Some(&StoreResponse::Ended),
    }
}

fn prepared(kind: Kind) -> World {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    if kind != Kind::Job {
        world.submit(GATEWAY, 0, JOB, job(JOB, 1, 2, 1));
        world.run();
    }
    world
}

/// Delivers all messages between stores; nothing is written to disks by that.
fn deliver(world: &mut World) {
    for (from, to, message) in std::mem::take(&mut world.network) {
        world.deliver(from, to, message);
    }
}

/// Delivers messages and syncs disks, one step after the other, until it is acknowledged; in each step of these, the
/// disk of `slow` is synced only if no other one can be.
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
    panic!("{kind:?} isn't acknowledged");
}

/// At the moment of the acknowledgement all disks but that of `kept` are lost, and its machine loses power.
fn lose_all_but(world: &mut World, kept: usize) {
    world.network.clear();
    for index in 0..usize::from(STORES) {
        if index == kept {
            world.restart(index);
        } else {
            world.stores[index] = Process::start(disk(index as u8 + 1, 2), Vec::new(), TOLERANCE + 1, 70);
        }
    }
}

/// The store that has its disk still copies it to the others, which are new members.
fn repair(world: &mut World, kept: usize) {
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
fn acknowledged_writes_survive_the_loss_of_disks_beside_a_loss_of_power_everywhere(
    #[values(Kind::Job, Kind::Result, Kind::End)] kind: Kind,
    #[values(0, 1, 2)] kept: usize,
    #[values(0, 1, 2)] slow: usize,
) {
    let mut world = prepared(kind);
    let call = ask(&mut world, kind);
    until_acknowledged(&mut world, kind, call, slow);
    lose_all_but(&mut world, kept);
    repair(&mut world, kept);
    let read = world.read(GATEWAY, kept, JOB, 0, 0);
    let body = world.item_body(GATEWAY, kept, JOB, "j-0-1");
    world.run();
    match kind {
        Kind::Job => {
            assert_eq!(world.answer(GATEWAY, body), Some(&StoreResponse::Body(b"hello".to_vec())));
        }
        Kind::Result => assert_eq!(result_items(world.answer(GATEWAY, read)), [ITEM]),
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

/// An item that expired is listed as expired, and that outlives the loss of the same disks.
#[rstest]
fn an_expired_item_stays_expired(#[values(0, 1, 2)] kept: usize) {
    let mut world = prepared(Kind::Result);
    world.advance(support::MAX_QUEUE_MS + 4_000);
    let read = world.read(GATEWAY, 0, JOB, 0, 0);
    world.run();
    assert_eq!(result_items(world.answer(GATEWAY, read)).len(), 2);
    lose_all_but(&mut world, kept);
    repair(&mut world, kept);
    let read = world.read(GATEWAY, kept, JOB, 0, 0);
    world.run();
    match world.answer(GATEWAY, read) {
        Some(StoreResponse::Results { outcomes, .. }) => {
            assert_eq!(outcomes.len(), 2);
            assert!(outcomes.iter().all(|outcome| outcome.state == ItemState::Expired));
        }
        other => panic!("no results but {other:?}"),
    }
}

/// A partition that began anew has forgotten its jobs. A gateway that has an outcome of one of them would send it again
/// for ever.
#[test]
fn outcomes_of_a_job_that_nobody_knows_are_acknowledged() {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    world.report(GATEWAY, 0, "forgotten", &["a", "b"]);
    world.run();
    assert_eq!(world.gateways[&GATEWAY].recorded, ["a", "b"]);
    assert!(world.gateways[&GATEWAY].answers.is_empty(), "no call was made");
}

/// A head that was left behind doesn't know what its successors have accepted.
#[test]
fn outcomes_of_a_job_that_is_not_known_are_kept_where_the_view_cannot_be_confirmed() {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    for index in 1..usize::from(STORES) {
        world.stores[index].running = false;
    }
    world.report(GATEWAY, 0, "unknown", &["a"]);
    world.advance(5_000);
    assert!(world.gateways[&GATEWAY].recorded.is_empty());
    assert!(world.gateways[&GATEWAY].answers.is_empty(), "no call was made");
}

/// Sent to a store that isn't the head, they are sent again to the head.
#[test]
fn outcomes_at_another_member_are_not_acknowledged() {
    let mut world = World::placed(STORES, TOLERANCE + 1);
    world.gateway_connected(GATEWAY, 1);
    world.report(GATEWAY, 1, "unknown", &["a"]);
    world.run();
    assert!(world.gateways[&GATEWAY].recorded.is_empty());
}
