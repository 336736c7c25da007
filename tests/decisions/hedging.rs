//! Hedges near a query's end, and the cancellation of the slower attempt.

use crate::host::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_query_near_its_end_is_hedged_once_and_the_slower_attempt_is_cancelled() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    let (ix, actions) = host.query(0, &[0]);
    let (request, slow) = attempts(&actions)[0];
    assert!(attempts(&host.wait(20 * MS)).is_empty(), "a hedge waits for the hedge delay");
    let hedge = attempts(&host.wait(60 * MS));
    assert_eq!(hedge, vec![(request, if slow == A { B } else { A })]);
    assert!(attempts(&host.wait(60 * MS)).is_empty(), "a request is in flight at two replicas at most");
    let actions = host.end_attempts(|r| (r != slow).then_some(AttemptOutcome::Answered));
    assert!(
        actions.contains(&Action::Answer(ix, true)) && actions.contains(&Action::CancelAttempt(request, 0))
    );
}

#[test]
fn hedges_stay_under_a_tenth_of_the_shard_requests() {
    let mut host = Host::new(settings(24));
    host.traffic(60, &[]);
    for pair in 0..12 {
        host.query(0, &[2 * pair]);
    }
    let hedges = attempts(&host.wait(90 * MS)).len();
    assert!(
        (1..=7).contains(&hedges),
        "{hedges} hedges for 72 shard requests, with an idle replica for each of 12"
    );
}

#[test]
fn no_hedge_goes_to_a_replica_that_fails_the_service_class() {
    let mut settings = settings(2);
    settings.classes.push(settings.classes[0].clone());
    let mut host = Host::new(settings);
    host.traffic(40, &[]);
    // Replica A answers the second class with an error; B then serves the shard request.
    let failed_at_a = (0..40).any(|_| {
        let (_, actions) = host.query(1, &[0]);
        host.now += 5 * MS;
        host.end_attempts(|r| (r == A).then_some(AttemptOutcome::Failed));
        host.now += 5 * MS;
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
        attempts(&actions)[0].1 == A
    });
    assert!(failed_at_a);
    host.traffic(15, &[]);
    let (_, actions) = host.query(1, &[0]);
    assert_eq!(attempts(&actions)[0].1, B);
    assert!(attempts(&host.wait(120 * MS)).is_empty(), "a hedge at A would be wasted");
    host.end_attempts(|_| Some(AttemptOutcome::Answered));
    // The other class is hedged at A.
    let is_hedged_at_a = (0..20).any(|_| {
        let (_, actions) = host.query(0, &[0]);
        let hedges = attempts(&host.wait(120 * MS));
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
        attempts(&actions)[0].1 == B && hedges.iter().any(|attempt| attempt.1 == A)
    });
    assert!(is_hedged_at_a);
}
