//! Which queries are admitted, which wait, and which are rejected.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn under_overload_the_latest_query_comes_first_and_client_retries_last() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    while !attempts(&host.query(0, &[0]).1).is_empty() {}
    let until = host.now + 3_000 * MS;
    let (mut old, mut again, mut new) = (None, None, None);
    for (slot, asked) in [(&mut old, false), (&mut new, false), (&mut again, true)] {
        host.round(|state| {
            let query = state.query_received(0, 0, until, 0, asked);
            *slot = Some(state.shard_request_received(query, 0, 1.0));
        });
    }
    host.now += 10 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::Answered));
    let order: Vec<ShardRequestIndex> = attempts(&actions).iter().map(|attempt| attempt.0).collect();
    let position = |request: Option<ShardRequestIndex>| order.iter().position(|&p| Some(p) == request);
    assert!(position(new) < position(old) && position(old) < position(again), "{order:?}");
}

#[test]
fn a_query_that_allows_partial_responses_does_not_wait_for_a_full_shard() {
    let mut settings = settings(8);
    settings.classes[0].min_completeness = 0.5;
    let mut host = Host::new(settings);
    host.traffic(80, &[]);
    while !attempts(&host.query(0, &[0]).1).is_empty() {}
    let (_, actions) = host.query(0, &[0, 1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(attempts(&actions).len(), 7, "all except the request for the crowded shard");
}

#[test]
fn a_client_with_a_short_deadline_is_rejected_early() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    while !attempts(&host.query(0, &[0]).1).is_empty() {}
    let (until, mut asked) = (host.now + 60 * MS, None);
    host.round(|state| {
        let query = state.query_received(0, 0, until, 0, true);
        state.shard_request_received(query, 0, 1.0);
        asked = Some(query);
    });
    let actions: Vec<Action> = (0..8).flat_map(|_| host.wait(5 * MS)).collect();
    assert!(actions.contains(&Action::Reject(asked.unwrap())));
}

#[test]
fn shard_requests_wait_for_full_replicas_until_the_query_is_rejected() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    let queries: Vec<(QueryIndex, Vec<Action>)> = (0..60).map(|_| host.query(0, &[0])).collect();
    let sent: usize = queries.iter().map(|(_, actions)| attempts(actions).len()).sum();
    assert!(sent < 40, "{sent} of 60 shard requests sent at once");
    let mut actions = Vec::new();
    for _ in 0..200 {
        actions.extend(host.wait(5 * MS));
    }
    assert!(actions.contains(&Action::Reject(queries[59].0)));
}

#[test]
fn after_an_overload_queries_are_admitted_again() {
    let mut host = Host::new(settings(2));
    host.traffic(40, &[]);
    for _ in 0..200 {
        host.query(0, &[0]);
        host.now += 10 * MS;
    }
    host.end_attempts(|_| Some(AttemptOutcome::Answered));
    host.now += 10_000 * MS;
    host.end_attempts(|_| Some(AttemptOutcome::TimedOut));
    host.wait(5_000 * MS);
    host.end_attempts(|_| Some(AttemptOutcome::Cancelled));
    let (ix, _) = host.query(0, &[0]);
    assert!(host.end_attempts(|_| Some(AttemptOutcome::Answered)).contains(&Action::Answer(ix, true)));
}

#[test]
fn a_query_with_two_steps_is_admitted_only_if_both_fit_its_latency_target() {
    // The backlog of A takes a quarter of the latency target: enough time for one step, but not for a second one.
    for (second_step_requests, admitted) in [(0, 1), (1, 0)] {
        let mut settings = settings(2);
        settings.cells_per_shard = 1;
        settings.classes.push(settings.classes[0].clone());
        settings.classes[1].second_step_requests = second_step_requests;
        let mut host = Host::new(settings);
        for _ in 0..8 {
            host.query(0, &[0]);
            host.now += 150 * MS;
            host.end_attempts(|_| Some(AttemptOutcome::Answered));
            host.now += 100 * MS;
        }
        assert_eq!(attempts(&host.query(0, &[0]).1).len(), 1);
        host.now += 50 * MS;
        assert_eq!(
            attempts(&host.query(1, &[0]).1).len(),
            admitted,
            "{second_step_requests} in the second step"
        );
    }
}

#[test]
fn a_tenant_over_its_quota_is_admitted_last() {
    let mut settings = settings(2);
    settings.tenant_rates = vec![1.0, 100.0];
    let mut host = Host::new(settings);
    host.traffic(40, &[]);
    while !attempts(&host.query(0, &[0]).1).is_empty() {}
    let (until, mut requests, mut actions) = (host.now + 3_000 * MS, Vec::new(), Vec::new());
    for tenant in [1, 0] {
        actions.extend(host.round(|state| {
            let query = state.query_received(0, tenant, until, 0, false);
            requests.push(state.shard_request_received(query, 0, 1.0));
        }));
    }
    host.now += 10 * MS;
    actions.extend(host.end_attempts(|_| Some(AttemptOutcome::Answered)));
    let order = attempts(&actions);
    let position = |request: ShardRequestIndex| {
        order.iter().position(|attempt| attempt.0 == request).unwrap_or(usize::MAX)
    };
    assert!(position(requests[0]) < position(requests[1]), "{order:?}");
}

#[test]
fn a_tenant_over_its_fleet_quota_is_admitted_last() {
    // By this front node's own count the tenant is within its quota over all front nodes. The fleet assigns one query
    // per second of it to this front node.
    let mut settings = settings(2);
    settings.tenant_rates = vec![100.0, 100.0];
    let mut host = Host::new(settings);
    host.round(|state| state.fleet_tenant_rates = vec![1.0, 100.0]);
    host.traffic(40, &[]);
    while !attempts(&host.query(0, &[0]).1).is_empty() {}
    let (until, mut requests, mut actions) = (host.now + 3_000 * MS, Vec::new(), Vec::new());
    for tenant in [1, 0] {
        actions.extend(host.round(|state| {
            let query = state.query_received(0, tenant, until, 0, false);
            requests.push(state.shard_request_received(query, 0, 1.0));
        }));
    }
    host.now += 10 * MS;
    actions.extend(host.end_attempts(|_| Some(AttemptOutcome::Answered)));
    let order = attempts(&actions);
    let position = |request: ShardRequestIndex| {
        order.iter().position(|attempt| attempt.0 == request).unwrap_or(usize::MAX)
    };
    assert!(position(requests[0]) < position(requests[1]), "{order:?}");
}

#[test]
fn a_query_that_breaks_connections_at_several_replicas_is_rejected() {
    let mut host = Host::new(settings(12));
    host.traffic(40, &[]);
    let (ix, actions) = host.query(0, &[0, 2, 4, 6]);
    assert_eq!(attempts(&actions).len(), 4);
    host.now += 20 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::ConnectionLost));
    assert!(actions.contains(&Action::Reject(ix)) && attempts(&actions).is_empty(), "{actions:?}");
}

#[test]
fn error_responses_from_several_replicas_cause_no_canary_requests() {
    let mut settings = settings(12);
    settings.cells_per_shard = 3;
    let mut host = Host::new(settings);
    host.traffic(40, &[]);
    let (ix, _) = host.query(0, &[0, 3, 6, 9]);
    host.now += 2 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::Failed));
    assert!(attempts(&actions).len() == 4 && !actions.contains(&Action::Reject(ix)), "{actions:?}");
    assert_eq!(attempts(&host.query(0, &[1, 4, 7]).1).len(), 3);
    host.now += 20 * MS;
    assert!(host.end_attempts(|_| Some(AttemptOutcome::Answered)).contains(&Action::Answer(ix, true)));
}

#[test]
fn while_connections_break_a_query_sends_a_canary_request_first() {
    let mut host = Host::new(settings(12));
    host.traffic(40, &[]);
    host.query(0, &[0, 2, 4, 6]);
    host.now += 20 * MS;
    host.end_attempts(|_| Some(AttemptOutcome::ConnectionLost));
    let (ix, actions) = host.query(0, &[1, 5, 9]);
    assert_eq!(attempts(&actions).len(), 1);
    host.now += 50 * MS;
    let actions = host.end_attempts(|_| Some(AttemptOutcome::Answered));
    assert_eq!(attempts(&actions).len(), 2, "the canary request crashed no replica, so the others follow");
    host.now += 50 * MS;
    assert!(host.end_attempts(|_| Some(AttemptOutcome::Answered)).contains(&Action::Answer(ix, true)));
}
