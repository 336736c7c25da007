//! Model check of changes of the voters: learners that join, leaving members, lost machines, losses of power,
//! proposers lost at every step, two repairs at once. Messages arrive in any order or never; messages that arrive twice
//! are covered by the model of a single decision (`model.rs`). The acceptor, the proposer, the count of acceptances and
//! the membership policy are the ones of the crate.
//!
//! One machine may be lost at any time, and another one once a view without the first is effective. The proposer of
//! that view may be lost as soon as it knows that the view is decided, if two of three voters decided it. In every case
//! the remaining machines must be able to decide another view, and one of them must hold every acknowledged entry.

use rstest::rstest;
use stateright::{Checker, Model};

mod reconfiguration_model;
mod support;

use reconfiguration_model::{
    ACCEPTED_BY_OWN_VOTERS, COPY_SURVIVES, InjectedFault, ONE_VIEW, Reconfiguration, STATE_LIMIT,
    SURVIVORS_DECIDE, Scenario, THREADS,
};

#[rstest]
#[case::replacement(Scenario::Replacement, 2, 2)]
#[case::two_repairs(Scenario::TwoRepairs, 2, 2)]
#[case::handover(Scenario::Handover, 1, 3)]
#[case::handover_end(Scenario::HandoverEnd, 1, 2)]
#[case::leaving_with_copy(Scenario::LeavingWithCopy, 1, 4)]
#[case::growth(Scenario::Growth, 1, 2)]
fn losses_at_any_step_leave_a_system_that_can_decide(
    #[case] scenario: Scenario,
    #[case] ballots: u8,
    #[case] last_epoch: u64,
) {
    let model = Reconfiguration { scenario, fault: InjectedFault::Nothing, ballots, last_epoch };
    let checker = model.checker().threads(THREADS).target_state_count(STATE_LIMIT).spawn_bfs().join();
    println!(
        "{scenario:?}: {} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    for property in [ONE_VIEW, ACCEPTED_BY_OWN_VOTERS, SURVIVORS_DECIDE, COPY_SURVIVES] {
        for action in checker.discovery(property).into_iter().flat_map(stateright::Path::into_actions) {
            println!("    {property}: {action:?}");
        }
    }
    assert!(checker.state_count() < STATE_LIMIT, "the check stopped before it had visited all states");
    checker.assert_properties();
}

#[rstest]
#[case::repaired_when_decided(InjectedFault::RepairedWhenDecided, Scenario::Replacement, 2, SURVIVORS_DECIDE)]
#[case::only_proposer_learns(InjectedFault::OnlyProposerLearns, Scenario::Replacement, 2, SURVIVORS_DECIDE)]
#[case::previous_voters_only(InjectedFault::PreviousVotersOnly, Scenario::Growth, 2, ACCEPTED_BY_OWN_VOTERS)]
#[case::leaves_when_decided(InjectedFault::LeavesWhenDecided, Scenario::HandoverEnd, 2, SURVIVORS_DECIDE)]
#[case::leaves_minority(InjectedFault::LeavesMinority, Scenario::LeavingWithCopy, 4, SURVIVORS_DECIDE)]
#[case::reports_before_durable(
    InjectedFault::ReportsBeforeDurable,
    Scenario::HandoverEnd,
    2,
    SURVIVORS_DECIDE
)]
#[case::claims_copy(InjectedFault::ClaimsCopy, Scenario::LeavingWithCopy, 4, COPY_SURVIVES)]
#[case::shares_ballot(InjectedFault::SharesBallot, Scenario::TwoRepairs, 2, ONE_VIEW)]
fn injected_fault_is_detected(
    #[case] fault: InjectedFault,
    #[case] scenario: Scenario,
    #[case] last_epoch: u64,
    #[case] property: &'static str,
) {
    let ballots = if fault == InjectedFault::SharesBallot { 2 } else { 1 };
    let model = Reconfiguration { scenario, fault, ballots, last_epoch };
    let finish = stateright::HasDiscoveries::AnyOf([property].into());
    let checker = model
        .checker()
        .threads(THREADS)
        .finish_when(finish)
        .target_state_count(STATE_LIMIT)
        .spawn_bfs()
        .join();
    println!(
        "{fault:?} in {scenario:?}: {} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    println!("{:?}", checker.discoveries().keys().collect::<Vec<_>>());
    let path = checker.discovery(property).unwrap_or_else(|| panic!("{fault:?} was not detected"));
    for action in path.into_actions() {
        println!("    {action:?}");
    }
}
