//! Final responses of queries.

use crate::host::*;
use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

#[test]
fn a_query_that_cannot_be_answered_ends_in_the_same_round() {
    // If the host held the result until the client's deadline, the client could not retry elsewhere.
    let last = [
        (
            Idempotence::NotIdempotent,
            AttemptOutcome::ConnectionLost,
            Action::Expire as fn(QueryIndex) -> Action,
        ),
        (Idempotence::Deduplicated(8 * MS), AttemptOutcome::TimedOut, Action::Expire),
        (Idempotence::Idempotent, AttemptOutcome::ConnectionLost, Action::Reject),
        (Idempotence::Idempotent, AttemptOutcome::Failed, Action::Reject),
        (Idempotence::NotIdempotent, AttemptOutcome::ConnectFailed, Action::Reject),
    ];
    for (idempotence, outcome, ends) in last {
        let mut settings = settings(2);
        (settings.classes[0].idempotence, settings.max_attempts) = (idempotence, 1);
        let mut host = Host::new(settings);
        let (ix, mut actions) = host.query(0, &[0]);
        while host.aggregator.state().open_queries().next().is_some() {
            assert!(!actions.contains(&ends(ix)), "{idempotence:?} {outcome:?}: ended, and still open");
            host.now += 5 * MS;
            actions =
                if host.in_flight.is_empty() { host.wait(0) } else { host.end_attempts(|_| Some(outcome)) };
        }
        assert!(actions.contains(&ends(ix)), "{idempotence:?} {outcome:?}: {actions:?}");
        assert!(
            host.now < 1_000_000 * MS + 1_000 * MS,
            "{idempotence:?} {outcome:?}: held until the deadline"
        );
    }
}

#[test]
fn a_partial_response_is_sent_at_the_latency_target_if_it_earns_more_than_waiting() {
    let mut settings = settings(5);
    settings.classes[0].min_completeness = 0.5;
    let mut host = Host::new(settings);
    let (ix, actions) = host.query(0, &[0, 2]);
    let slow = attempts(&actions)[0].1;
    host.now += 50 * MS;
    assert!(
        !host
            .end_attempts(|r| (r != slow).then_some(AttemptOutcome::Answered))
            .contains(&Action::Answer(ix, false))
    );
    host.in_flight.clear();
    let actions: Vec<Action> = (0..100).flat_map(|_| host.wait(10 * MS)).collect();
    assert!(actions.contains(&Action::Answer(ix, false)));
}

#[test]
fn the_final_response_waits_for_the_second_step() {
    let mut settings = settings(3);
    settings.classes[0].second_step_requests = 1;
    let mut host = Host::new(settings);
    let (ix, _) = host.query(0, &[0]);
    assert!(host.end_attempts(|_| Some(AttemptOutcome::Answered)).contains(&Action::Answer(ix, true)));
    let actions = host.round(|state| _ = state.shard_request_received(ix, 0, 1.0));
    assert!(attempts(&actions).len() == 1 && !actions.contains(&Action::Answer(ix, true)));
    assert!(host.end_attempts(|_| Some(AttemptOutcome::Answered)).contains(&Action::Answer(ix, true)));
}

#[test]
fn every_query_gets_one_final_response_before_the_client_deadline() {
    let mut host = Host::new(settings(2));
    let (ix, _) = host.query(0, &[0, 1]);
    let until = host.now + 3_000 * MS;
    let mut last = 0;
    while host.now < until + 100 * MS {
        let actions = host.wait(5 * MS);
        if actions.iter().any(|t| [Action::Reject(ix), Action::Expire(ix)].contains(t)) {
            assert_eq!(last, 0, "one final response");
            last = host.now;
        }
        assert!(last == 0 || attempts(&actions).is_empty(), "no attempt starts after the final response");
    }
    assert!(last > 0 && last <= until);
}

#[test]
fn a_client_may_raise_but_not_lower_the_required_completeness() {
    for (least, answered) in [(0.0, true), (0.2, true), (1.0, false)] {
        let mut settings = settings(2);
        (settings.classes[0].min_completeness, settings.classes[0].full_completeness) = (0.4, 0.9);
        let mut host = Host::new(settings);
        host.traffic(40, &[]);
        let (mut ix, until) = (None, host.now + 3_000 * MS);
        host.round(|state| {
            let query = state.query_received(0, 0, until, 0, false);
            state.require_completeness(query, least);
            state.shard_request_received(query, 0, 0.3);
            state.shard_request_received(query, 1, 0.7);
            ix = Some(query);
        });
        let ix = ix.unwrap();
        // The heavier request is answered, the lighter one never is.
        let light = host.in_flight.iter().map(|attempt| attempt.request).min().unwrap();
        let in_flight = std::mem::take(&mut host.in_flight);
        let mut actions = host.round(|state| {
            for InFlight { request, attempt, .. } in
                in_flight.into_iter().filter(|attempt| attempt.request != light)
            {
                state.attempt_ended(request, attempt, AttemptOutcome::Answered, 50 * MS, false);
            }
        });
        for _ in 0..640 {
            actions.extend(host.wait(5 * MS));
        }
        let ends = |t: &&Action| matches!(t, Action::Answer(..) | Action::Reject(_) | Action::Expire(_));
        let ends: Vec<Action> = actions.iter().filter(ends).copied().collect();
        assert_eq!(ends, [if answered { Action::Answer(ix, false) } else { Action::Reject(ix) }], "{least}");
    }
}
