//! Drops, duplicates, truncates or replays a single message of a run: no invariant is violated, and the cluster
//! recovers.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::random_faults::RandomFault;
use support::scenario::{Mutation, MutationKind, Scenario};

use MutationKind::{Drop, Duplicate, Replay, Truncate};

/// The number of message kinds that the state machine processes, by `kind_of`.
const KINDS: usize = 18;

fn scenario(kind: usize, number: u32, how: MutationKind) -> Scenario {
    Scenario {
        faults: vec![RandomFault::Kill],
        fault_window: (1_200, 3_500),
        back_within: 25_000,
        mutation: Some(Mutation { kind, number, how }),
        ..Scenario::without_faults(3)
    }
}

#[rstest]
fn no_invariant_is_violated_if_one_message_is_mutated(
    #[values(Drop, Duplicate, Truncate, Replay)] how: MutationKind,
    #[values(0, 1, 5, 30)] number: u32,
) {
    let mut seen = 0;
    for kind in 0..KINDS {
        let mut cluster = Cluster::new(kind as u64, scenario(kind, number, how));
        if let Err(violation) = cluster.run() {
            panic!("{how:?} of message {number} of kind {kind}: {violation}");
        }
        seen += usize::from(cluster.mutated());
    }
    // Some kinds are rare: there is no thirtieth promise in a short run.
    assert!(seen >= if number <= 1 { 13 } else { 5 }, "only {seen} kinds were changed");
}

/// All numbers of `kind_of` occur in a run; a new message type breaks the build of `kind_of`.
#[test]
fn every_message_kind_occurs() {
    // Rejections of ballots are rare.
    let mut missing: Vec<usize> = (0..KINDS).filter(|kind| *kind != 7).collect();
    for seed in 0..6 {
        let fault_window = Scenario {
            faults: vec![RandomFault::Kill, RandomFault::Wipe, RandomFault::PowerLossOfAll],
            fault_interval: 800,
            fault_window: (1_000, 6_000),
            back_within: 25_000,
            filling: 150_000,
            ..Scenario::without_faults(3)
        };
        let mut cluster = Cluster::new(seed, fault_window);
        cluster.run().expect("no violation");
        missing.retain(|kind| !cluster.kinds().any(|occurred| occurred == *kind));
        if missing.is_empty() {
            return;
        }
    }
    panic!("{missing:?} never occurred");
}
