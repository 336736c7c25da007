//! A trainer, servers and the invariant checker around a minimal system, in virtual time: a correct system violates
//! no invariant, and the violations of a system with a defect are reported.

mod support {
    pub mod recording;
    pub mod reference;
    pub mod world;
}

use orchidvalve_testbed::invariants::{Invariant, Violation};
use orchidvalve_testbed::trainer::{TrainerSettings, TrainerStats};
use rstest::rstest;
use support::reference::{Defect, Reference};
use support::world::{self, settings};

/// Interval between events, normally and in a system with more work than it can handle, in milliseconds.
const EVENT_MS: u64 = 5;
const BUSY_EVENT_MS: u64 = 60;

/// Runs a simulation in which a stream breaks every half second. Returns the trainer's counters and the violations.
fn simulate(settings: TrainerSettings, reference: Reference) -> (TrainerStats, Vec<Invariant>) {
    let result = world::simulate(settings, reference);
    let invariants = result.violations.iter().map(|violation: &Violation| violation.invariant).collect();
    (result.stats, invariants)
}

#[rstest]
#[case::ahead(2, 3)]
#[case::one_ahead(1, 2)]
#[case::latest_only(0, 1)]
fn a_correct_system_violates_no_invariant(#[case] steps_ahead: u64, #[case] version_lag: u64) {
    let mut settings = settings();
    settings.steps.steps_ahead = steps_ahead;
    settings.batch.version_lag = version_lag;
    let (stats, invariants) = simulate(settings, Reference::new(Defect::None, EVENT_MS, 100));
    assert_eq!(invariants, []);
    assert!(stats.steps_done >= 5 && stats.completed >= 160, "{stats:?}");
    assert_eq!(stats.steps_done, stats.steps_submitted);
    assert_eq!((stats.version, stats.unreadable), (stats.steps_done + 1, 0));
    assert_eq!(stats.reviewed, stats.steps_submitted);
}

#[test]
fn failing_reward_calls_make_items_expire() {
    let (stats, invariants) = simulate(settings(), Reference::new(Defect::None, EVENT_MS, 2_000));
    assert_eq!(invariants, []);
    assert!(stats.expired > 0);
}

#[test]
fn a_rejected_batch_job_is_submitted_again() {
    let mut reference = Reference::new(Defect::None, EVENT_MS, 0);
    reference.refusals = 3;
    let (stats, invariants) = simulate(settings(), reference);
    assert_eq!((invariants, stats.refusals), (Vec::new(), 3));
    assert_eq!(stats.steps_done, stats.steps_submitted);
}

#[test]
fn a_step_rejected_until_its_deadline_does_not_stop_the_next() {
    let mut reference = Reference::new(Defect::None, EVENT_MS, 0);
    reference.refusals = 150;
    let (stats, invariants) = simulate(settings(), reference);
    assert_eq!(invariants, []);
    assert!(stats.steps_done > 0 && stats.steps_done < stats.steps_submitted, "{stats:?}");
}

/// Returns settings with overlapping steps, so that versions change during runs and items are left at the end of a
/// step.
fn busy() -> TrainerSettings {
    let mut settings = settings();
    settings.steps.interval_ms = 1_000;
    settings.batch.required_groups = 5;
    settings
}

fn busy_reference(defect: Defect) -> Reference {
    let mut reference = Reference::new(defect, BUSY_EVENT_MS, 0);
    reference.method = "retain";
    reference
}

#[test]
fn a_correct_system_violates_no_invariant_when_versions_change_during_generations() {
    let (stats, invariants) = simulate(busy(), busy_reference(Defect::None));
    assert_eq!(invariants, []);
    assert!(stats.steps_done >= 10, "{stats:?}");
}

#[rstest]
#[case::correct(Defect::None, &[])]
#[case::dropped_versions(Defect::DropVersions, &[Invariant::Version])]
fn incomplete_groups_may_be_carried_over(#[case] defect: Defect, #[case] expected: &[Invariant]) {
    let mut settings = busy();
    settings.batch.carry_over = true;
    let (stats, mut invariants) = simulate(settings, busy_reference(defect));
    invariants.dedup();
    assert_eq!(invariants, expected);
    assert!(stats.steps_done >= 5, "{stats:?}");
}

#[rstest]
#[case(Defect::ListTwice, Invariant::Twice)]
#[case(Defect::ForgetResults, Invariant::Lost)]
#[case(Defect::ForgetJobs, Invariant::Lost)]
#[case(Defect::SkipEvent, Invariant::Order)]
#[case(Defect::RepeatEvent, Invariant::Order)]
#[case(Defect::DropVersions, Invariant::Version)]
#[case(Defect::IgnoreMinVersion, Invariant::Version)]
#[case(Defect::EarlyReward, Invariant::Mixed)]
#[case(Defect::ChangeBody, Invariant::Mixed)]
#[case(Defect::ShareToken, Invariant::One)]
fn the_violation_of_a_defect_is_reported(#[case] defect: Defect, #[case] invariant: Invariant) {
    let (_, invariants) = simulate(busy(), busy_reference(defect));
    assert!(invariants.contains(&invariant), "{invariants:?}");
}

#[test]
fn execution_after_a_cancellation_is_reported() {
    let slow = Reference::new(Defect::IgnoreEnd, 5 * BUSY_EVENT_MS, 0);
    let (_, invariants) = simulate(busy(), slow);
    assert!(
        !invariants.is_empty() && invariants.iter().all(|invariant| *invariant == Invariant::Unasked),
        "{invariants:?}"
    );
}

#[test]
fn execution_of_a_rejected_batch_job_is_reported() {
    let mut reference = Reference::new(Defect::RunRefused, EVENT_MS, 0);
    reference.refusals = 10_000;
    let (_, invariants) = simulate(settings(), reference);
    assert!(
        !invariants.is_empty() && invariants.iter().all(|invariant| *invariant == Invariant::Refused),
        "{invariants:?}"
    );
}
