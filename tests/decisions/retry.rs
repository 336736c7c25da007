//! Further attempts of a shard request.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_expires() {
    let mut settings = settings(2);
    settings.classes[0].idempotence = Idempotence::NotIdempotent;
    let mut host = Host::new(settings);
    let (ix, _) = host.query(0, &[0]);
    host.now += 5 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::ConnectFailed));
    assert_eq!(attempts(&actions).len(), 1, "an attempt that was certainly not executed may be repeated");
    host.now += 5 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::Failed));
    assert_eq!(actions.iter().filter(|t| **t == Action::Expire(ix)).count(), 1);
    assert!(attempts(&actions).is_empty() && !actions.contains(&Action::Reject(ix)));
}

#[test]
fn a_deduplicated_shard_request_is_not_sent_again_after_its_window() {
    let mut settings = settings(2);
    settings.classes[0].idempotence = Idempotence::Deduplicated(300 * MS);
    let mut host = Host::new(settings);
    let (ix, _) = host.query(0, &[0]);
    host.now += 310 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::Failed));
    assert!(attempts(&actions).is_empty());
    assert!(actions.contains(&Action::Expire(ix)));
}

#[test]
fn a_retry_of_a_deduplicated_request_is_not_sent_after_its_window() {
    let mut settings = settings(2);
    settings.classes[0].idempotence = Idempotence::Deduplicated(300 * MS);
    let mut host = Host::new(settings);
    host.query(0, &[0]);
    assert!(host.send_within > 300 * MS, "the first attempt may wait for as long as it may take");
    host.now += 200 * MS;
    assert_eq!(attempts(&host.end_attempts(|_| Some(AttemptOutcome::Failed))).len(), 1);
    assert_eq!(host.send_within, 95 * MS);
}

#[test]
fn further_attempts_stay_within_the_retry_budget() {
    let mut settings = settings(24);
    settings.retry_budget = Some(RetryBudget { reserve: 1.0, ratio: 0.1, window: 10_000 * MS });
    let mut host = Host::new(settings);
    let mut further = 0;
    for pair in 0..12 {
        host.query(0, &[2 * pair]);
        host.now += 5 * MS;
        further += attempts(&host.end_attempts(|_| Some(AttemptOutcome::Failed))).len();
    }
    assert!((1..=3).contains(&further), "{further} further attempts for 24 queries and shard requests");
}

#[test]
fn a_shard_request_in_flight_at_two_unresponsive_replicas_reaches_the_third_in_time() {
    let mut settings = settings(3);
    settings.cells_per_shard = 3;
    let mut host = Host::new(settings);
    host.traffic(40, &[]);
    let (ix, actions) = host.query(0, &[0]);
    let (mut on, begun) = (attempts(&actions), host.now);
    while on.len() < 3 && host.now < begun + 900 * MS {
        let mut actions = host.wait(5 * MS);
        if actions.iter().any(|t| matches!(t, Action::CancelAttempt(..))) {
            let first = on[0].1;
            actions.extend(host.end_attempts(|r| (r == first).then_some(AttemptOutcome::Cancelled)));
        }
        on.extend(attempts(&actions));
        assert!(host.in_flight.len() <= 2);
    }
    assert!(on.len() == 3 && on[2].1 != on[0].1 && on[2].1 != on[1].1, "{on:?}");
    let third = on[2].1;
    assert!(
        host.end_attempts(|r| (r == third).then_some(AttemptOutcome::Answered))
            .contains(&Action::Answer(ix, true))
    );
}

#[test]
fn without_fleet_retry_budget_a_failed_shard_request_waits() {
    let mut host = Host::new(settings(4));
    host.round(|state| state.fleet_attempts_left = Some(1));
    let first = attempts(&host.query(0, &[0, 1, 2]).1);
    assert_eq!(first.len(), 3, "first attempts are not counted");
    host.now += 5 * MS;
    let again = attempts(&host.end_attempts(|_| Some(AttemptOutcome::Failed)));
    assert_eq!(again.len(), 1, "one of three shard requests is retried: {again:?}");
    let again = attempts(&host.round(|state| state.fleet_attempts_left = Some(2)));
    assert_eq!(again.len(), 2, "{again:?}");
}
