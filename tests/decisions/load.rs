//! Load estimates where few shard requests were sent.

use crate::host::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_late_response_counts_until_the_next_request_to_the_replica_is_due() {
    let mut host = Host::new(settings(40));
    host.traffic(80, &[]);
    // One attempt at A takes far longer than the response time-out. Afterwards nothing is in flight anywhere.
    let mut late = None;
    while late.is_none() {
        late = attempts(&host.query(0, &[39]).1).into_iter().find(|attempt| attempt.1 == A);
        host.now += if late.is_some() { 900 * MS } else { 50 * MS };
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
        host.end_attempts(|_| Some(AttemptOutcome::Cancelled));
    }
    let actions = host.query(0, &[39, 39]).1;
    assert!(
        attempts(&actions).iter().all(|attempt| attempt.1 != A),
        "the neighbour gets both; otherwise the second would go to A"
    );
}

#[test]
fn a_replica_that_rejected_the_last_shard_request_has_no_capacity() {
    let mut host = Host::new(settings(40));
    host.traffic(80, &[]);
    let (first, _) = host.query(0, &[0]);
    host.end_attempts(|_| Some(AttemptOutcome::Rejected));
    host.end_attempts(|_| Some(AttemptOutcome::Rejected));
    host.now += 100 * MS;
    let (next, actions) = host.query(0, &[0]);
    assert!(attempts(&actions).is_empty(), "both replicas reported that they are full: {actions:?}");
    assert_ne!(first, next);
}
