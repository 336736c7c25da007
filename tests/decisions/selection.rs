//! Selection of a replica for each shard request.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_front_node_partitioned_from_most_replicas_uses_the_rest() {
    let mut settings = settings(3);
    settings.cells_per_shard = 3;
    let mut host = Host::new(settings);
    host.traffic(60, &[]);
    let actions = host.traffic(60, &[A, B]);
    let late = attempts(&actions[actions.len() / 2..]);
    assert!(
        late.iter().filter(|attempt| attempt.1 != A && attempt.1 != B).count() * 10 > late.len() * 9,
        "{late:?}"
    );
}

#[test]
fn a_shard_request_does_not_use_up_its_attempts_on_full_replicas() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    let (_, actions) = host.query(0, &[0]);
    let mut sent = attempts(&actions).len();
    for _ in 0..10 {
        host.now += 5 * MS;
        sent += attempts(&host.end_attempts(|_| Some(AttemptOutcome::Rejected))).len();
    }
    assert_eq!(sent, 2, "each replica is tried once within 50 ms");
}

#[test]
fn all_replicas_are_tried_if_all_look_unhealthy() {
    let mut host = Host::new(settings(2));
    for _ in 0..6 {
        host.query(0, &[0]);
        host.now += 5 * MS;
        host.end_attempts(|_| Some(AttemptOutcome::ConnectFailed));
        host.end_attempts(|_| Some(AttemptOutcome::ConnectFailed));
        host.now += 400 * MS;
    }
    let (ix, mut actions) = host.query(0, &[0]);
    let request = host.aggregator.state().query(ix).requests[0];
    for _ in 0..16 {
        actions.extend(host.end_attempts(|_| Some(AttemptOutcome::ConnectFailed)));
        host.now += 60 * MS;
    }
    assert!(attempts(&actions).iter().any(|attempt| attempt.0 == request));
}

#[test]
fn shard_requests_of_a_round_share_calls() {
    let mut settings = settings(3);
    (settings.requests_per_call, settings.cells_per_shard) = (4, 3);
    let mut host = Host::new(settings);
    host.traffic(60, &[]);
    let (_, actions) = host.query(0, &[0, 1, 2]);
    let first = attempts(&actions)[0].1;
    assert!(
        attempts(&actions).iter().all(|attempt| attempt.1 == first),
        "every replica holds all three shards, so one call is enough"
    );
}

#[test]
fn the_last_replica_of_a_shard_does_not_attract_requests_of_neighbouring_shards() {
    let mut settings = settings(3);
    settings.requests_per_call = 4;
    let mut host = Host::new(settings);
    for _ in 0..40 {
        host.query(0, &[0, 1, 2]);
        host.now += 50 * MS;
        host.end_attempts(|_| Some(AttemptOutcome::Answered));
    }
    // Shard 0 has only B left, which also holds shard 1 together with C. B has a backlog, C has none.
    host.round(|state| {
        state.membership_update_begins(false);
        state.member_listed(A, 0, false, None);
        state.membership_update_ends();
    });
    host.query(0, &[2]);
    host.query(0, &[0, 0, 0, 0]);
    host.now += 120 * MS;
    let (ix, actions) = host.query(0, &[0, 1]);
    let shared = host.aggregator.state().query(ix).requests[1];
    assert!(attempts(&actions).contains(&(shared, ReplicaIndex(2))), "{actions:?}");
}
