//! Tests of hedged generations: two independent attempts of one item, one report.

mod generations_support;

use std::sync::Arc;

use generations_support::*;
use orchidvalve_data_plane::generations::{
    Assignment, AttemptOutcome, ItemResult, RouteSettings, ServerInfo,
};
use rstest::rstest;

/// The number of generations for which the hedge budget allows one hedge.
const GENERATIONS: usize = 12;

/// Two attempts of the same item, each with the id of its next event.
struct HedgedGeneration {
    gateway: Gateway,
    slow: (Attempted, u64),
    hedge: (Attempted, u64),
}

/// Returns a gateway where one of twelve generations is still running and has been hedged.
fn hedged_generation() -> HedgedGeneration {
    hedged_generation_on(route_settings(false), 7)
}

/// The same on this route, with hedges at servers that serve this version.
fn hedged_generation_on(route: Arc<RouteSettings>, version: u64) -> HedgedGeneration {
    let mut gateway = Gateway::new(&[7; GENERATIONS]);
    let ids: Vec<String> = (0..GENERATIONS).map(|index| format!("i{index}")).collect();
    let mut assignment = group("job", 0, &ids.iter().map(String::as_str).collect::<Vec<_>>());
    assignment.route = route;
    gateway.assign(assignment);
    let (slow, others) = (gateway.attempts[0].clone(), gateway.attempts[1..].to_vec());
    for attempt in others {
        gateway.events(&attempt, 1..=1);
        gateway.ended(&attempt, AttemptOutcome::Complete);
    }
    assert_eq!(gateway.reports.len(), GENERATIONS - 1);
    gateway.reports.clear();
    (0..=GENERATIONS as u32).filter(|key| *key != slow.server.0).for_each(|key| {
        gateway.runner.set_server(&server(key, version));
    });
    let mut next = 1;
    while gateway.attempts.len() == GENERATIONS {
        gateway.event(&slow, next, "s", None);
        next += 1;
        gateway.advance(500);
    }
    let hedge = gateway.last();
    let hedge_next = hedge.last_event_id.map_or(1, |last| last + 1);
    HedgedGeneration { gateway, slow: (slow, next), hedge: (hedge, hedge_next) }
}

/// Servers of the service to which the route is moved.
const NEW_SERVERS: std::ops::Range<u32> = 20..20 + GENERATIONS as u32;
/// Stall timeout and hedge delay of a route at a service where nothing was measured yet.
const UNMEASURED_MS: u64 = TARGET_MS / 4;

/// Returns a group of twelve items.
fn group_of_twelve(job: &str, route: Arc<RouteSettings>) -> Assignment {
    let ids: Vec<String> = (0..GENERATIONS).map(|index| format!("i{index}")).collect();
    Assignment { route, ..group(job, 0, &ids.iter().map(String::as_str).collect::<Vec<_>>()) }
}

/// Returns a gateway where the items of two jobs have completed quickly, and the settings of their route after it was
/// moved to another service.
fn quick_route_that_was_moved() -> (Gateway, Arc<RouteSettings>) {
    let mut gateway = Gateway::new(&[7; GENERATIONS]);
    for key in NEW_SERVERS {
        gateway.runner.set_server(&ServerInfo { service: "other".into(), ..server(key, 7) });
    }
    for job in ["first", "second"] {
        let started = gateway.attempts.len();
        gateway.assign(group_of_twelve(job, route_settings(false)));
        for attempt in gateway.attempts.split_off(started) {
            gateway.events(&attempt, 1..=3);
            gateway.ended(&attempt, AttemptOutcome::Complete);
        }
    }
    assert_eq!(gateway.reports.len(), 2 * GENERATIONS);
    // The last items of the second job were hedged.
    gateway.attempts.clear();
    gateway.cancelled.clear();
    (gateway, Arc::new(RouteSettings { service: "other".into(), ..(*route_settings(false)).clone() }))
}

/// Guards against hedges that run at the service from which the route was moved, as long as the process lives.
#[test]
fn hedges_run_at_the_service_to_which_the_route_was_moved() {
    let mut gateway = Gateway::new(&[7; GENERATIONS]);
    for key in NEW_SERVERS {
        gateway.runner.set_server(&ServerInfo { service: "other".into(), ..server(key, 7) });
    }
    let moved = Arc::new(RouteSettings { service: "other".into(), ..(*route_settings(false)).clone() });
    for (job, route, left) in [("before", route_settings(false), 0), ("after", moved, 1)] {
        let started = gateway.attempts.len();
        gateway.assign(group_of_twelve(job, route));
        let finished = gateway.attempts.split_off(started + left);
        for attempt in &finished {
            gateway.events(attempt, 1..=1);
            gateway.ended(attempt, AttemptOutcome::Complete);
        }
        gateway.attempts.extend(finished);
    }
    assert_eq!(gateway.reports.len(), 2 * GENERATIONS - 1);
    let slow = gateway.attempts[GENERATIONS].clone();
    let mut next = 1;
    while gateway.attempts.len() == 2 * GENERATIONS {
        gateway.event(&slow, next, "s", None);
        next += 1;
        gateway.advance(100);
    }
    let hedge = gateway.last();
    assert_eq!((&hedge.item, &gateway.cancelled), (&slow.item, &vec![]), "both attempts are in flight");
    assert!(NEW_SERVERS.contains(&slow.server.0), "{slow:?}");
    assert!(NEW_SERVERS.contains(&hedge.server.0), "{hedge:?}");
}

/// Guards against hedges that are sent after the latency of the service from which their route was moved.
#[test]
fn hedges_of_a_moved_route_do_not_use_the_latencies_of_the_former_service() {
    let (mut gateway, moved) = quick_route_that_was_moved();
    let started_at = gateway.now;
    gateway.assign(group_of_twelve("after", moved));
    let slow = gateway.attempts[0].clone();
    let others: Vec<Attempted> = gateway.attempts.iter().skip(1).cloned().collect();
    for attempt in &others {
        gateway.events(attempt, 1..=1);
        gateway.ended(attempt, AttemptOutcome::Complete);
    }
    let mut next = 1;
    while gateway.attempts.len() == GENERATIONS {
        gateway.event(&slow, next, "s", None);
        next += 1;
        gateway.advance(100);
    }
    let waited_ms = gateway.now - started_at;
    assert_eq!(gateway.last().item, slow.item);
    assert!(waited_ms >= UNMEASURED_MS, "hedged after {waited_ms} ms");
}

/// Guards against streams that are cancelled as stalled at the pace of the service from which their route was moved.
#[rstest]
#[case::assigned_after_the_move(false)]
#[case::open_while_the_route_is_moved(true)]
fn streams_of_a_moved_route_do_not_stall_at_the_pace_of_the_former_service(#[case] is_open: bool) {
    let (mut gateway, moved) = quick_route_that_was_moved();
    let route = if is_open { route_settings(false) } else { moved.clone() };
    gateway.assign(Assignment { route, ..group("job", 0, &["slow"]) });
    if is_open {
        gateway.with_runner(|runner, out| runner.reroute(|_| Some(moved.clone()), out));
        assert_eq!(gateway.cancelled, [gateway.last().id]);
        gateway.cancelled.clear();
        gateway.tick();
    }
    let attempt = gateway.last();
    assert!(NEW_SERVERS.contains(&attempt.server.0), "{attempt:?}");
    gateway.advance(UNMEASURED_MS - 1);
    assert_eq!(gateway.cancelled, []);
    gateway.advance(1);
    assert_eq!(gateway.cancelled, [attempt.id]);
}

#[rstest]
#[case::first_wins(true)]
#[case::hedge_wins(false)]
fn the_slower_attempt_is_cancelled_when_one_completes(#[case] first_wins: bool) {
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation();
    assert_eq!(hedge.0.item, slow.0.item);
    assert_ne!(hedge.0.server, slow.0.server);
    let (winner, loser) = if first_wins { (slow, hedge) } else { (hedge, slow) };
    gateway.event(&winner.0, winner.1, "end", None);
    gateway.ended(&winner.0, AttemptOutcome::Complete);
    assert!(
        matches!(gateway.result(), ItemResult::Completed { weight_versions, .. } if *weight_versions == [7])
    );
    assert_eq!(gateway.cancelled, [loser.0.id]);
    gateway.ended(&loser.0, AttemptOutcome::Complete);
    assert_eq!((gateway.reports.len(), gateway.runner.in_flight()), (1, 0));
}

#[test]
fn a_hedge_resumes_from_what_the_first_attempt_had_when_it_began() {
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation();
    assert!(hedge.1 > 1, "the first attempt had events");
    gateway.event(&slow.0, slow.1, "from the first attempt", None);
    gateway.event(&hedge.0, hedge.1, "from the hedge", None);
    gateway.ended(&hedge.0, AttemptOutcome::Complete);
    let expected = format!("{}from the hedge", "s\n".repeat(hedge.1 as usize - 1));
    assert_eq!(gateway.result(), &completed(&expected, &[7], None));
}

#[test]
fn a_broken_attempt_does_not_affect_the_other() {
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation();
    gateway.ended(&slow.0, AttemptOutcome::Broken);
    assert!(gateway.cancelled.is_empty());
    gateway.event(&hedge.0, hedge.1, "end", None);
    gateway.ended(&hedge.0, AttemptOutcome::Complete);
    assert!(matches!(gateway.result(), ItemResult::Completed { .. }));
}

#[test]
fn an_item_expires_only_after_the_last_attempt_has_ended() {
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation();
    gateway.status(&slow.0, 500);
    assert!(gateway.reports.is_empty());
    gateway.status(&hedge.0, 500);
    assert_eq!(gateway.result(), &ItemResult::Expired);
}

#[test]
fn an_attempt_in_flight_can_complete_an_item_at_its_failure_limit() {
    let once = RouteSettings { max_attempts: 1, ..(*route_settings(false)).clone() };
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation_on(once.into(), 7);
    gateway.status(&slow.0, 500);
    assert!(gateway.reports.is_empty());
    gateway.event(&hedge.0, hedge.1, "end", None);
    gateway.ended(&hedge.0, AttemptOutcome::Complete);
    assert!(matches!(gateway.result(), ItemResult::Completed { .. }));
}

#[test]
fn cancelling_the_batch_job_cancels_both_attempts() {
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation();
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    assert_eq!(gateway.cancelled, [slow.0.id, hedge.0.id]);
    assert!(gateway.reports.is_empty());
}

#[test]
fn a_hedge_under_another_version_restarts_on_a_single_version_route() {
    let HedgedGeneration { mut gateway, slow, hedge } = hedged_generation_on(route_settings(true), 8);
    assert!(slow.1 > 1, "the first attempt had events");
    assert_eq!((hedge.0.last_event_id, hedge.0.expect_version), (None, Some(8)));
    gateway.started(&hedge.0, 8);
    gateway.events(&hedge.0, 1..=3);
    gateway.ended(&hedge.0, AttemptOutcome::Complete);
    assert_eq!(gateway.result(), &completed("e1\ne2\ne3", &[8], None));
}
