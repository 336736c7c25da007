//! Tests of attempt tracking: when a call may be attempted again, and when its client may be promised that it has not
//! run.

use orchidvalve_data_plane::attempts::{AttemptTracker, Idempotency, NotExecuted};
use orchidvalve_data_plane::upstream::Failure;
use orchidvalve_http::{Headers, ResponseHead};
use rstest::rstest;

fn head(status: u16, states_not_executed: bool) -> ResponseHead {
    let mut headers = Headers::default();
    if states_not_executed {
        headers.push("Not-Executed", "1");
    }
    ResponseHead { status, headers }
}

fn connect_failed() -> Option<NotExecuted> {
    NotExecuted::from_failure(Failure::Connect)
}

#[rstest]
#[case::connect(Failure::Connect, true)]
#[case::stale(Failure::Stale, false)]
#[case::broken(Failure::Broken, false)]
fn only_a_failed_connection_proves_that_nothing_ran(#[case] failure: Failure, #[case] proves: bool) {
    assert_eq!(NotExecuted::from_failure(failure).is_some(), proves);
}

#[rstest]
#[case::full(503, true, true)]
#[case::too_many(429, true, true)]
#[case::late(408, true, true)]
#[case::other_instance(421, false, true)]
#[case::unsure_full(503, false, false)]
#[case::unsure_too_many(429, false, false)]
#[case::error(500, false, false)]
#[case::timed_out(504, false, false)]
#[case::success(200, true, false)]
fn only_a_rejection_proves_that_the_server_did_not_run_it(
    #[case] status: u16,
    #[case] states_not_executed: bool,
    #[case] proves: bool,
) {
    assert_eq!(NotExecuted::from_response(&head(status, states_not_executed)).is_some(), proves);
}

#[test]
fn at_most_once_calls_have_one_attempt_in_flight() {
    let mut tracker = AttemptTracker::new(Idempotency::AtMostOnce);
    assert!(tracker.begin().is_some());
    assert!(tracker.begin().is_none() && tracker.never_executed().is_none());
    tracker.end(connect_failed());
    assert!(tracker.never_executed().is_some());
    assert!(tracker.begin().is_some(), "it surely did not run");
}

#[test]
fn at_most_once_calls_are_not_retried_after_they_may_have_run() {
    let mut tracker = AttemptTracker::new(Idempotency::AtMostOnce);
    assert!(tracker.begin().is_some());
    tracker.end(None);
    assert!(tracker.begin().is_none() && tracker.never_executed().is_none());
}

#[test]
fn idempotent_calls_may_have_several_attempts_in_flight() {
    let mut tracker = AttemptTracker::new(Idempotency::Idempotent);
    assert!(tracker.begin().is_some() && tracker.begin().is_some());
    tracker.end(None);
    assert!(tracker.begin().is_some());
}

/// Evidence about one attempt says nothing about another one.
#[rstest]
fn a_promise_requires_evidence_for_every_attempt(
    #[values(Idempotency::Idempotent, Idempotency::AtMostOnce)] idempotency: Idempotency,
    #[values(0, 1, 2)] unproven: usize,
) {
    let mut tracker = AttemptTracker::new(idempotency);
    assert!(tracker.never_executed().is_some(), "nothing was sent");
    for attempt in 0..3 {
        let Some(_permit) = tracker.begin() else { break };
        assert!(tracker.never_executed().is_none(), "an attempt is in flight");
        tracker.end(connect_failed().filter(|_| attempt != unproven));
        assert_eq!(tracker.never_executed().is_some(), attempt < unproven);
    }
    assert!(tracker.never_executed().is_none());
}
