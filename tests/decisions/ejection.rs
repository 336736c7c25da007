//! Ejection and readmission of replicas.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_replica_with_fast_errors_does_not_attract_shard_requests() {
    let mut host = Host::new(settings(2));
    host.traffic(30, &[]);
    let mut to_bad = 0;
    for _ in 0..30 {
        let (_, actions) = host.query(0, &[0]);
        to_bad += attempts(&actions).iter().filter(|attempt| attempt.1 == A).count();
        host.now += 2 * MS;
        to_bad += attempts(&host.end_attempts(|r| (r == A).then_some(AttemptOutcome::Failed)))
            .iter()
            .filter(|attempt| attempt.1 == A)
            .count();
        host.now += 50 * MS;
        host.end_attempts(|r| (r == B).then_some(AttemptOutcome::Answered));
    }
    assert!(to_bad <= 4, "{to_bad} shard requests sent to the failing replica");
}

#[test]
fn requests_at_an_unresponsive_replica_are_retried_elsewhere_until_it_is_readmitted() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    let (request, unresponsive) = attempts(&host.query(0, &[0]).1)[0];
    // The other replica always has an attempt in flight, so that no hedge starts.
    let mut actions = Vec::new();
    for _ in 0..8 {
        actions.extend(host.query(0, &[0]).1);
        actions.extend(host.query(0, &[0]).1);
        host.now += 50 * MS;
        let last = host.in_flight.iter().rposition(|attempt| attempt.replica != unresponsive).unwrap();
        let last = host.in_flight.remove(last);
        actions.extend(host.end_attempts(|r| (r != unresponsive).then_some(AttemptOutcome::Answered)));
        host.in_flight.push(last);
    }
    assert!(actions.contains(&Action::CheckHealth(unresponsive)));
    assert!(attempts(&actions).iter().any(|attempt| attempt.0 == request && attempt.1 != unresponsive));
    host.end_attempts(|r| (r != unresponsive).then_some(AttemptOutcome::Answered));
    assert!(
        attempts(&host.traffic(4, &[unresponsive])).iter().all(|attempt| attempt.1 != unresponsive),
        "ejected"
    );
    host.now += 3_000 * MS;
    host.end_attempts(|_| Some(AttemptOutcome::TimedOut));
    for _ in 0..20 {
        host.now += 100 * MS;
        host.round(|state| state.health_check_ended(unresponsive, true, None));
    }
    let trial_attempts =
        attempts(&host.traffic(24, &[])).iter().filter(|attempt| attempt.1 == unresponsive).count();
    assert!(trial_attempts > 0, "a replica that answers health checks gets shard requests again");
}

#[test]
fn a_replica_that_loses_some_shard_requests_is_ejected() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    let mut actions = Vec::new();
    for n in 0..24 {
        actions.extend(host.query(0, &[0]).1);
        host.now += 50 * MS;
        actions.extend(host.end_attempts(|r| (r != A || n % 2 == 0).then_some(AttemptOutcome::Answered)));
        host.now += 200 * MS;
        actions.extend(host.wait(0));
        // What A lost has a second attempt by now; the attempts that were cancelled end as cancelled.
        host.end_attempts(|r| (r == B).then_some(AttemptOutcome::Answered));
        host.end_attempts(|_| Some(AttemptOutcome::Cancelled));
    }
    assert!(actions.contains(&Action::CheckHealth(A)), "ejected, and its health is checked");
    assert!(!actions.contains(&Action::CheckHealth(B)));
}

#[test]
fn a_replica_far_slower_than_the_others_is_ejected() {
    let mut host = Host::new(settings(2));
    host.traffic(60, &[]);
    let mut actions = Vec::new();
    for _ in 0..12 {
        actions.extend(host.query(0, &[0]).1);
        actions.extend(host.query(0, &[0]).1);
        host.now += 50 * MS;
        actions.extend(host.end_attempts(|r| (r == B).then_some(AttemptOutcome::Answered)));
        host.now += 150 * MS;
        actions.extend(host.end_attempts(|_| Some(AttemptOutcome::Answered)));
    }
    assert!(actions.contains(&Action::CheckHealth(A)) && !actions.contains(&Action::CheckHealth(B)));
}

#[test]
fn a_class_that_peers_report_as_failing_at_a_replica_goes_elsewhere() {
    // This front node has no recent outcome at A, so the reports of the others count.
    let mut host = Host::new(settings(2));
    host.round(|state| state.fleet_limits_received(A, 1.0, 1 << 0));
    assert!(attempts(&host.traffic(20, &[])).iter().all(|attempt| attempt.1 == B));
    host.round(|state| state.fleet_limits_received(A, 1.0, 0));
    assert!(
        attempts(&host.traffic(20, &[])).iter().any(|attempt| attempt.1 == A),
        "when no longer reported, it is used again"
    );
}

#[test]
fn a_replica_that_reports_a_long_queue_stays_ejected() {
    let attempts_with_waiting = |waiting: f64| {
        let mut settings = settings(2);
        settings.queues_reported = true;
        let mut host = Host::new(settings);
        host.traffic(40, &[]);
        host.traffic(30, &[A]);
        let mut actions = Vec::new();
        for _ in 0..20 {
            host.now += 100 * MS;
            host.end_attempts(|r| (r == A).then_some(AttemptOutcome::Cancelled));
            host.round(|state| state.health_check_ended(A, true, Some((waiting, 10.0))));
            actions.extend(host.traffic(2, &[A]));
        }
        attempts(&actions).iter().filter(|attempt| attempt.1 == A).count()
    };
    assert_eq!(attempts_with_waiting(40.0), 0, "four seconds of work wait there");
    assert!(attempts_with_waiting(0.0) > 0, "with an empty queue it is tried again");
}

#[test]
fn the_response_timeout_does_not_exceed_the_latency_target() {
    let mut host = Host::new(settings(2));
    host.traffic(4, &[]);
    for _ in 0..30 {
        host.query(0, &[0]);
        host.now += 900 * MS;
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
    }
    let actions: Vec<Action> = host.query(0, &[0]).1;
    let unresponsive = attempts(&actions)[0].1;
    let actions: Vec<Action> = (0..24).flat_map(|_| host.wait(50 * MS)).collect();
    assert!(actions.contains(&Action::CheckHealth(unresponsive)), "unresponsive for a whole latency target");
}

#[test]
fn one_protocol_error_neither_ejects_a_replica_nor_causes_canary_requests() {
    let mut host = Host::new(settings(3));
    host.traffic(30, &[]);
    host.query(0, &[0, 1, 2]);
    host.query(0, &[0, 1, 2]);
    assert!(
        (0..3)
            .all(|n| host.in_flight.iter().filter(|attempt| attempt.replica == ReplicaIndex(n)).count() == 2)
    );
    let actions = host.end_attempts(|_| Some(AttemptOutcome::ProtocolError));
    assert!(!actions.iter().any(|t| matches!(t, Action::CheckHealth(_))), "{actions:?}");
    host.end_attempts(|_| Some(AttemptOutcome::Answered));
    host.now += 50 * MS;
    assert_eq!(attempts(&host.query(0, &[0, 1, 2]).1).len(), 3);
    // A replica with one protocol error after the other is detected.
    let bad = ReplicaIndex(0);
    let outcomes = |r| Some(if r == bad { AttemptOutcome::ProtocolError } else { AttemptOutcome::Answered });
    let mut actions = Vec::new();
    for n in 0..60 {
        actions.extend(host.query(0, &[n % 3]).1);
        host.now += 50 * MS;
        actions.extend(host.end_attempts(outcomes));
    }
    assert!(actions.contains(&Action::CheckHealth(bad)), "{actions:?}");
}

#[test]
fn a_replica_that_fails_one_class_keeps_the_others() {
    let mut settings = settings(2);
    settings.classes.push(settings.classes[0].clone());
    let mut host = Host::new(settings);
    host.traffic(30, &[]);
    // Replica A answers the second class with errors immediately.
    let mut to_a = [0, 0];
    let mut checked = false;
    for n in 0..40 {
        let class = n % 2;
        let (_, mut actions) = host.query(class, &[0]);
        to_a[class] += attempts(&actions).iter().filter(|attempt| attempt.1 == A).count();
        host.now += 2 * MS;
        if class == 1 {
            actions.extend(host.end_attempts(|r| (r == A).then_some(AttemptOutcome::Failed)));
        }
        host.now += 20 * MS;
        actions.extend(host.end_attempts(|_| Some(AttemptOutcome::Answered)));
        checked |= actions.iter().any(|t| matches!(t, Action::CheckHealth(_)));
    }
    assert!(to_a[0] >= 5 && (1..=2).contains(&to_a[1]) && !checked, "{to_a:?} {checked}");
    host.now += 3_000 * MS;
    let again = (0..40).any(|_| {
        let (_, actions) = host.query(1, &[0]);
        host.now += 20 * MS;
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
        attempts(&actions)[0].1 == A
    });
    assert!(again);
}
