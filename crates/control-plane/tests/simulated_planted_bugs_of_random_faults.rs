//! Runs under random faults with one planted bug each: the invariant checker must detect every bug.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::random_faults::RandomFault;
use support::scenario::{PlantedBug, Scenario};

const SEEDS: u64 = 40;

fn scenario(planted_bug: Option<PlantedBug>) -> Scenario {
    Scenario {
        faults: vec![RandomFault::Kill, RandomFault::PowerLoss, RandomFault::Freeze],
        fault_interval: 900,
        blackout_after_acknowledgement: 0.1,
        fault_window: (1_000, 8_000),
        back_within: 25_000,
        delay: 4,
        planted_bug,
        ..Scenario::without_faults(3)
    }
}

/// Returns the violation of the first seed for which the invariant checker detects the planted bug.
fn violation(planted_bug: PlantedBug) -> String {
    let run = |seed| Cluster::new(seed, scenario(Some(planted_bug))).run().err();
    (0..SEEDS).find_map(run).expect("the invariant checker detected no violation")
}

#[test]
fn without_a_planted_bug_no_invariant_is_violated() {
    for seed in 0..SEEDS {
        Cluster::new(seed, scenario(None)).run().expect("no violation");
    }
}

#[rstest]
#[case::lying_disks(PlantedBug::LyingDisks, &["reported another change", "are known", "a read saw"])]
#[case::early_answers(PlantedBug::EarlyAnswers, &["is not committed", "is not recorded"])]
#[case::refusals_as_done(PlantedBug::RefusalsAsDone, &["is not committed", "same base"])]
#[case::done_as_refusals(PlantedBug::DoneAsRefusals, &["refused"])]
#[case::local_reads(PlantedBug::LocalReads, &["a read saw"])]
#[case::skipped_changes(PlantedBug::SkippedChanges, &["reported ", "another state"])]
#[case::no_timeouts(PlantedBug::NoTimeouts, &["left a request open"])]
#[case::silent_chain(PlantedBug::SilentChain, &["has not acknowledged"])]
fn a_planted_bug_is_found(#[case] planted_bug: PlantedBug, #[case] expected: &[&str]) {
    let violation = violation(planted_bug);
    println!("{planted_bug:?}: {violation}");
    assert!(expected.iter().any(|part| violation.contains(part)), "{violation}");
}
