//! The invariant checker reports no violation for a correct run, and one for each run with a planted violation.

mod support {
    pub mod observed_run;
    pub mod planted_violations;
}

use orchidvalve_testbed::invariants::{Invariant, InvariantBounds, InvariantChecker};
use orchidvalve_testbed::observation::{ItemSent, Observation};
use rstest::rstest;
use support::observed_run::{
    EVENTS, ITEM, ITEM_BODY, JOB, ObservedRun, REWARD, REWARD_BODY, configuration_send_ended,
    configuration_sent, correct_run, event_emitted, execution_started, insert, item, response_sent,
};
use support::planted_violations::*;

fn violations(observed: &ObservedRun) -> Vec<(Invariant, String, u64)> {
    let mut checker = InvariantChecker::new(InvariantBounds::default());
    for (at, observation) in observed {
        checker.observe(*at, observation);
    }
    checker
        .finish()
        .iter()
        .map(|violation| (violation.invariant, violation.subject.clone(), violation.at))
        .collect()
}

#[test]
fn a_correct_run_violates_no_invariant() {
    assert_eq!(violations(&correct_run()), []);
}

#[rstest]
#[case::connection_lost_by_a_stop(connection_lost_by_a_stop, Invariant::Lost, "plain-2", 4_300)]
#[case::execution_at_a_drained_server(execution_at_a_drained_server, Invariant::Drain, ITEM, 5_200)]
#[case::lost_job(lost_job, Invariant::Lost, JOB, 7_000)]
#[case::lost_position(lost_position, Invariant::Lost, JOB, 7_000)]
#[case::unreadable_job(unreadable_job, Invariant::Lost, JOB, 9_500)]
#[case::request_executed_again(request_executed_again, Invariant::Twice, "plain-1", 4_020)]
#[case::item_listed_twice(item_listed_twice, Invariant::Twice, ITEM, 6_000)]
#[case::position_changes(position_changes, Invariant::Twice, JOB, 8_050)]
#[case::no_signature(no_signature, Invariant::Mixed, "plain-1", 4_040)]
#[case::foreign_signature(foreign_signature, Invariant::Mixed, "plain-1", 4_040)]
#[case::other_body(other_body, Invariant::Mixed, "plain-1", 4_040)]
#[case::failure_reported_as_success(failure_reported_as_success, Invariant::Mixed, "plain-1", 4_040)]
#[case::response_of_another_request(response_of_another_request, Invariant::Mixed, "plain-1", 4_040)]
#[case::malformed_response(malformed_response, Invariant::Mixed, "plain-1", 4_045)]
#[case::truncated_text(truncated_text, Invariant::Mixed, ITEM, 5_500)]
#[case::foreign_text(foreign_text, Invariant::Mixed, ITEM, 5_500)]
#[case::changed_text(changed_text, Invariant::Mixed, ITEM, 5_500)]
#[case::wrong_total(wrong_total, Invariant::Mixed, JOB, 5_500)]
#[case::foreign_result(foreign_result, Invariant::Mixed, "item-2", 5_500)]
#[case::early_expiry(early_expiry, Invariant::Mixed, ITEM, 5_500)]
#[case::foreign_score(foreign_score, Invariant::Mixed, ITEM, 5_500)]
#[case::no_score(no_score, Invariant::Mixed, ITEM, 5_500)]
#[case::early_reward(early_reward, Invariant::Mixed, ITEM, 5_500)]
#[case::other_item_body(other_item_body, Invariant::Mixed, ITEM, 8_200)]
#[case::missing_event(missing_event, Invariant::Order, ITEM, 5_500)]
#[case::duplicated_event(duplicated_event, Invariant::Order, ITEM, 5_500)]
#[case::unrequested_continuation(unrequested_continuation, Invariant::Order, ITEM, 5_500)]
#[case::missing_version(missing_version, Invariant::Version, ITEM, 5_500)]
#[case::additional_version(additional_version, Invariant::Version, ITEM, 5_500)]
#[case::old_version(old_version, Invariant::Version, ITEM, 5_500)]
#[case::several_versions(several_versions, Invariant::Version, ITEM, 5_500)]
#[case::unknown_request(unknown_request, Invariant::Unasked, "plain-9", 4_200)]
#[case::other_path(other_path, Invariant::Unasked, "plain-1", 4_010)]
#[case::other_method(other_method, Invariant::Unasked, "plain-1", 4_010)]
#[case::changed_item_body(changed_item_body, Invariant::Unasked, ITEM, 5_100)]
#[case::executed_after_cancellation(executed_after_cancellation, Invariant::Unasked, ITEM, 11_200)]
#[case::executed_after_rejection(executed_after_rejection, Invariant::Refused, "plain-2", 4_100)]
#[case::rejected_after_execution(rejected_after_execution, Invariant::Refused, "plain-2", 4_060)]
#[case::rejected_job_executed(rejected_job_executed, Invariant::Refused, ITEM, 5_420)]
#[case::foreign_service(foreign_service, Invariant::Route, "plain-1", 4_010)]
#[case::moved_route(moved_route, Invariant::Config, "plain-1", 4_010)]
#[case::invalid_acknowledged(invalid_acknowledged, Invariant::Config, "1", 1_010)]
#[case::two_changes_with_the_same_base(two_changes_with_the_same_base, Invariant::Config, "2", 1_020)]
#[case::older_read_back(older_read_back, Invariant::Config, "1", 9_100)]
#[case::rejected_change_read_back(rejected_change_read_back, Invariant::Config, "4", 9_100)]
#[case::changed_read_back(changed_read_back, Invariant::Config, "1", 9_100)]
#[case::nothing_read_back(nothing_read_back, Invariant::Config, "read-back", 9_100)]
#[case::accepted_then_rejected(accepted_then_rejected, Invariant::Config, "2", 6_200)]
#[case::rejected_then_accepted(rejected_then_accepted, Invariant::Config, "2", 6_200)]
#[case::lost_responses_with_the_same_base(lost_responses_with_the_same_base, Invariant::Config, "3", 6_020)]
#[case::two_changes_with_the_same_version(two_changes_with_the_same_version, Invariant::Config, "3", 6_030)]
#[case::rejected_without_reason(rejected_without_reason, Invariant::Config, "2", 6_010)]
#[case::valid_change_gets_404(valid_change_gets_404, Invariant::Config, "2", 6_010)]
#[case::outdated_version_read(outdated_version_read, Invariant::Config, "1", 6_020)]
#[case::other_content_read_back_after_lost_response(
    other_content_read_back_after_lost_response,
    Invariant::Config,
    "2",
    9_100
)]
#[case::never_acknowledged(never_acknowledged, Invariant::Acks, "2", 8_100)]
#[case::remaining_body_with_other_bytes(
    remaining_body_with_other_bytes,
    Invariant::Unasked,
    "plain-2",
    4_055
)]
#[case::malformed_request_at_a_server(malformed_request_at_a_server, Invariant::Unasked, "server", 4_055)]
#[case::shared_token(shared_token, Invariant::One, "m1", 8_900)]
#[case::lower_token(lower_token, Invariant::One, "m1", 9_050)]
#[case::leaders_alternate_within_a_lease(leaders_alternate_within_a_lease, Invariant::One, "m1", 9_020)]
fn a_planted_violation_is_reported(
    #[case] plant_violation: fn(&mut ObservedRun),
    #[case] invariant: Invariant,
    #[case] subject: &str,
    #[case] at: u64,
) {
    let mut observed = correct_run();
    plant_violation(&mut observed);
    let violations = violations(&observed);
    assert_eq!(violations.first(), Some(&(invariant, subject.to_owned(), at)), "all: {violations:?}");
}

#[rstest]
#[case::job(lost_job)]
#[case::position(lost_position)]
fn invariants_with_a_time_bound_are_suspended_after_a_disruption(
    #[case] plant_violation: fn(&mut ObservedRun),
) {
    let mut observed = correct_run();
    plant_violation(&mut observed);
    insert(
        &mut observed,
        6_500,
        Observation::Disruption { description: "a machine is down".to_owned(), planned: false },
    );
    assert_eq!(violations(&observed), []);
}

fn a_retry_that_is_accepted_again(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, response_lost(2, 200));
    insert(observed, 6_200, configuration_send_ended(2, 200));
    insert(observed, 6_300, configuration_observed(6_250, 2));
    read_back(observed, 2);
}

fn a_race_with_one_rejection(observed: &mut ObservedRun) {
    insert(observed, 6_000, change_sent(8, 2, 1));
    insert(observed, 6_001, change_sent(9, 2, 1));
    insert(observed, 6_010, Observation::ConfigurationSendEnded { change: 8, status: Some(412) });
    insert(observed, 6_020, Observation::ConfigurationSendEnded { change: 9, status: Some(200) });
    read_back(observed, 2);
}

/// A read that was requested before the acknowledgement may return either version.
fn a_read_concurrent_with_a_change(observed: &mut ObservedRun) {
    insert(observed, 6_000, configuration_sent(2, 1, true));
    insert(observed, 6_010, configuration_send_ended(2, 200));
    insert(observed, 6_020, configuration_observed(6_010, 1));
    read_back(observed, 2);
}

/// The time for an acknowledgement starts when the control plane is stable again.
fn a_slow_acknowledgement_after_a_disturbance(observed: &mut ObservedRun) {
    insert(observed, 4_020, configuration_sent(2, 1, true));
    insert(observed, 4_500, Observation::ControlPlaneDisturbed);
}

/// Another change superseded the one without a conclusive response.
fn no_conclusive_response_for_a_superseded_change(observed: &mut ObservedRun) {
    insert(observed, 4_020, configuration_sent(2, 1, true));
    insert(observed, 4_021, configuration_sent(3, 1, true));
    insert(observed, 4_030, configuration_send_ended(3, 200));
    read_back(observed, 3);
}

fn the_remaining_body(observed: &mut ObservedRun) {
    insert(observed, 4_055, Observation::RemainingBodyReceived { id: "plain-2".to_owned(), body: 5 });
}

#[rstest]
#[case::retry(a_retry_that_is_accepted_again)]
#[case::race(a_race_with_one_rejection)]
#[case::read(a_read_concurrent_with_a_change)]
#[case::disturbance(a_slow_acknowledgement_after_a_disturbance)]
#[case::superseded(no_conclusive_response_for_a_superseded_change)]
#[case::remaining_body(the_remaining_body)]
fn allowed_observations_violate_no_invariant(#[case] also: fn(&mut ObservedRun)) {
    let mut observed = correct_run();
    also(&mut observed);
    assert_eq!(violations(&observed), []);
}

#[rstest]
#[case::loss_before_the_request_was_read(4_060, 4_040, false)]
#[case::long_after_the_stop(14_000, 4_040, false)]
#[case::unplanned_disruption(4_300, 4_040, true)]
fn an_excusable_connection_loss_violates_no_invariant(
    #[case] at: u64,
    #[case] stopped: u64,
    #[case] unplanned: bool,
) {
    let mut observed = correct_run();
    observed.retain(|(_, seen)| !matches!(seen, Observation::ResponseReceived { id, .. } if id == "plain-2"));
    lost_connection(at, stopped)(&mut observed);
    if unplanned {
        insert(
            &mut observed,
            4_100,
            Observation::Disruption { description: "a kill".to_owned(), planned: false },
        );
    }
    assert_eq!(violations(&observed), []);
}

#[test]
fn an_item_may_expire_once_its_attempts_failed() {
    let mut observed = correct_run();
    early_expiry(&mut observed);
    for run in 300..303 {
        insert(&mut observed, 5_350, execution_started("a1", run, REWARD, "/plain/9", REWARD_BODY, 0));
        insert(&mut observed, 5_351, response_sent(run, REWARD, 500, "stamp-x", 0));
    }
    assert_eq!(violations(&observed), []);
}

#[test]
fn the_second_of_two_executions_may_generate_the_result() {
    let mut observed = correct_run();
    insert(&mut observed, 5_310, execution_started("m1", 205, ITEM, "/lots/1", ITEM_BODY, 0));
    for event in 1..=EVENTS {
        insert(&mut observed, 5_320, event_emitted(205, event, 3));
    }
    edit_result(&mut observed, |result| result.versions = vec![3]);
    assert_eq!(violations(&observed), []);
}

const STEP: &str = "step-1";

fn named(id: &str) -> ItemSent {
    ItemSent { id: id.to_owned(), ..item() }
}

fn cancel_sent(job: &str) -> Observation {
    Observation::JobCancelSent { job: job.to_owned() }
}

/// Returns a run with a step of which one item is finished, while the other one is at no server when the trainer
/// abandons the step at 60 s.
fn run_with_an_idle_item() -> ObservedRun {
    let mut observed = correct_run();
    let job = |status| Observation::JobSendEnded { job: STEP.to_owned(), status };
    observed.extend([
        (40_000, support::observed_run::job(STEP, vec![named("done"), named("idle")])),
        (40_010, job(Some(202))),
        (40_100, execution_started("m1", 300, "done", "/lots/1", ITEM_BODY, 0)),
        (40_900, response_sent(300, "done", 200, "stamp", 9)),
        (60_000, cancel_sent(STEP)),
    ]);
    observed
}

fn starved(observed: &mut ObservedRun) -> Vec<String> {
    observed.sort_by_key(|(at, _)| *at);
    let lost = violations(observed).into_iter().filter(|(invariant, ..)| *invariant == Invariant::Lost);
    lost.map(|(_, subject, _)| subject).collect()
}

#[test]
fn an_item_at_no_server_at_the_deadline_of_its_step_is_lost() {
    assert_eq!(starved(&mut run_with_an_idle_item()), ["idle"]);
}

#[rstest]
#[case::the_trainer_has_enough_results(58_000, cancel_sent(STEP))]
#[case::the_item_is_running(56_000, execution_started("m2", 301, "idle", "/lots/1", ITEM_BODY, 0))]
#[case::a_server_failed_the_item(50_000, response_sent(301, "idle", 500, "stamp", 9))]
#[case::other_items_start(58_000, execution_started("m2", 301, "done", "/lots/1", ITEM_BODY, 0))]
#[case::weights_are_loading(55_000, Observation::VersionAnnounced { model: "m".to_owned(), version: 3 })]
#[case::a_machine_is_down(53_000, Observation::Disruption { description: "down".to_owned(), planned: false })]
fn an_item_with_a_reason_to_wait_is_not_lost(#[case] at: u64, #[case] observation: Observation) {
    let mut observed = run_with_an_idle_item();
    observed.push((at, observation));
    assert_eq!(starved(&mut observed), [""; 0]);
}

#[test]
fn a_step_without_any_execution_reports_no_starved_item() {
    let mut observed = run_with_an_idle_item();
    observed.retain(|(at, _)| !(40_100..=40_900).contains(at));
    assert_eq!(starved(&mut observed), [""; 0]);
}
