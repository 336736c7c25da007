//! Bugs planted in the host or in the state machine, observed by operators and subscribers: each must be detected by a
//! check of the fault scenarios.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::fault_script::{Fault, FaultStep, Target};
use support::named_scenarios::{self, NamedScenario};
use support::scenario::{PlantedBug, Scenario};

const SEEDS: u64 = 200;

/// Returns the scenario, adapted if necessary so that the planted bug takes effect.
fn scenario_for(planted_bug: PlantedBug, named: NamedScenario, seed: u64) -> Scenario {
    let platform = matches!(
        planted_bug,
        PlantedBug::ViewNumberedTables | PlantedBug::NoLease | PlantedBug::LocalNotFound
    );
    let scenario = Scenario { platform, ..named_scenarios::scenario(named, seed, 3) };
    if planted_bug != PlantedBug::HastyLearners {
        return scenario;
    }
    // The member is down for long enough to be removed from the chain, and its copy takes long, as on a narrow line.
    let kill = Fault::Kill { target: Target::Tail, down: 2_000 };
    let script = vec![FaultStep { at: 2_000, fault: kill }];
    Scenario { slow_copies: 9_000, script, fault_window: (2_000, 14_000), ..scenario }
}

/// Returns the first violation that a scenario shows with a planted bug, and the number of runs that it took.
fn first_violation(planted_bug: PlantedBug, named: NamedScenario) -> Option<(u64, String)> {
    let run = |seed| {
        let scenario = Scenario { planted_bug: Some(planted_bug), ..scenario_for(planted_bug, named, seed) };
        Cluster::new(seed, scenario).run().err().map(|violation| (seed + 1, violation))
    };
    (0..SEEDS).find_map(run)
}

#[rstest]
#[case::acknowledged_before_commit(PlantedBug::EarlyAnswers, NamedScenario::Kill, &["is not committed", "is not recorded"])]
#[case::lying_disks(PlantedBug::LyingDisks, NamedScenario::HerdPowerLoss, &["reported another change", "are known", "no_order", "a read saw"])]
#[case::reads_without_barrier(PlantedBug::LocalReads, NamedScenario::LongPartition, &["a read saw"])]
#[case::reads_without_barrier_in_halves(PlantedBug::LocalReads, NamedScenario::SplitInHalves, &["a read saw"])]
#[case::refusals_without_barrier(PlantedBug::LocalRefusals, NamedScenario::LongPartition, &["NoOrder", "refused but took effect"])]
#[case::refusals_acknowledged(PlantedBug::RefusalsAsDone, NamedScenario::Kill, &["is not committed", "same base"])]
#[case::resends_refused(PlantedBug::DoneAsRefusals, NamedScenario::Kill, &["a proper request"])]
#[case::entries_forgotten(PlantedBug::ForgottenEntries, NamedScenario::HerdKill, &["a read saw", "reported another change", "are known"])]
#[case::votes_forgotten(PlantedBug::ForgottenVotes, NamedScenario::EverythingInTurn, &["a subscriber lacks", "not recovered", "reported ", "has no response", "holds term"])]
#[case::acknowledged_before_the_disk(PlantedBug::EarlyAcknowledgements, NamedScenario::HerdWipe, &["reported ", "a read saw"])]
#[case::learners_added_too_early(PlantedBug::HastyLearners, NamedScenario::Kill, &["a subscriber lacks", "has no response"])]
#[case::exits_without_handing_over(PlantedBug::HastyShutdowns, NamedScenario::GracefulRestarts, &["exits while the others need it"])]
#[case::stale_feed_positions(PlantedBug::StaleFeedPositions, NamedScenario::SubscriberRestarts, &["subscriber "])]
#[case::feed_goes_back(PlantedBug::BackwardFeed, NamedScenario::PartitionAndReset, &["went back"])]
#[case::subscribers_kept_without_quorum(PlantedBug::KeptSubscribers, NamedScenario::LongPartition, &["subscriber "])]
#[case::tables_numbered_by_epoch(PlantedBug::ViewNumberedTables, NamedScenario::HerdKill, &["older ones"])]
#[case::orders_without_lease(PlantedBug::NoLease, NamedScenario::Kill, &["gives orders"])]
#[case::not_found_without_barrier(PlantedBug::LocalNotFound, NamedScenario::LongPartition, &["was not found"])]
#[case::request_numbers_reused(PlantedBug::SameIncarnation, NamedScenario::QuickRestarts, &["is not recorded", "is not committed", "same base", "NoOrder"])]
fn a_planted_bug_is_found_in_a_named_scenario(
    #[case] planted_bug: PlantedBug,
    #[case] named: NamedScenario,
    #[case] expected: &[&str],
) {
    let Some((runs, violation)) = first_violation(planted_bug, named) else {
        panic!("{planted_bug:?} was not detected in {SEEDS} runs of {named:?}");
    };
    println!("{planted_bug:?}, {named:?}: found by run {runs}: {violation}");
    let without_bug = Cluster::new(runs - 1, scenario_for(planted_bug, named, runs - 1)).run();
    without_bug.expect("the same run has no violation without the planted bug");
    assert!(expected.iter().any(|part| violation.contains(part)), "{violation}");
}
