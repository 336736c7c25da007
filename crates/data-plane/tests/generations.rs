//! Tests of the runner: texts, failures, stalls, leases, and the end of groups.

mod generations_support;

use std::sync::Arc;

use generations_support::*;
use orchidvalve_data_plane::generations::{
    AttemptOutcome, ItemResult, RouteSettings, ServerInfo, ServerKey, slot_limit,
};
use rstest::rstest;

#[test]
fn a_text_joins_the_data_of_its_events() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    let attempt = gateway.last();
    assert_eq!((attempt.last_event_id, attempt.expect_version), (None, Some(7)));
    gateway.started(&attempt, 7);
    gateway.events(&attempt, 1..=3);
    gateway.ended(&attempt, AttemptOutcome::Complete);
    assert_eq!(gateway.result(), &completed("e1\ne2\ne3", &[7], None));
    assert_eq!((gateway.runner.open_groups(), gateway.runner.in_flight()), (0, 0));
}

#[rstest]
#[case::cut(AttemptOutcome::Broken)]
#[case::rejected(AttemptOutcome::Stalled)]
#[case::failed(status(500))]
fn a_broken_stream_is_resumed_elsewhere(#[case] outcome: AttemptOutcome) {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, outcome);
    let second = gateway.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, Some(2));
    gateway.started(&second, 7);
    gateway.events(&second, 3..=3);
    gateway.ended(&second, AttemptOutcome::Complete);
    assert_eq!(gateway.result(), &completed("e1\ne2\ne3", &[7], None));
}

#[rstest]
#[case::twice(&[1, 2, 2], Some(2))]
#[case::skipped(&[1, 3], Some(1))]
#[case::backwards(&[1, 2, 1], Some(2))]
#[case::late_start(&[2], None)]
fn an_event_out_of_order_ends_the_attempt(#[case] ids: &[u64], #[case] kept: Option<u64>) {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    ids.iter().for_each(|id| gateway.event(&first, *id, "x", None));
    assert_eq!(gateway.cancelled, [first.id]);
    let second = gateway.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, kept);
    // Late events of the cancelled attempt have no effect.
    gateway.events(&first, 3..=4);
    gateway.ended(&first, AttemptOutcome::Complete);
    assert!(gateway.reports.is_empty());
}

#[test]
fn a_response_without_events_gives_no_result() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.ended(&gateway.last(), AttemptOutcome::Complete);
    assert!(gateway.reports.is_empty());
}

#[rstest]
#[case::full(503)]
#[case::too_many(429)]
#[case::wrong_instance(421)]
fn rejections_do_not_count_as_attempts(#[case] code: u16) {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    for _ in 0..20 {
        let attempt = gateway.last();
        gateway.status(&attempt, code);
        (0..2).for_each(|key| gateway.runner.set_server(&server(key, 7)));
        gateway.advance(1_000);
    }
    assert!(gateway.reports.is_empty());
    assert_eq!(gateway.attempts.len(), 21);
}

#[test]
fn rejections_back_off() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    let mut pauses = Vec::new();
    for _ in 0..7 {
        let (attempts, rejected_at) = (gateway.attempts.len(), gateway.now);
        gateway.status(&gateway.last(), 503);
        while gateway.attempts.len() == attempts {
            let wakeup = gateway.runner.next_wakeup().expect("the pause ends");
            gateway.advance(wakeup - gateway.now);
        }
        pauses.push(gateway.now - rejected_at);
    }
    assert_eq!(pauses, [50, 100, 200, 400, 800, 800, 800]);
}

/// Returns how many of `count` new generations are sent to the server at once.
fn attempts_at(gateway: &mut Gateway, key: u32, count: usize) -> usize {
    let (before, ids) =
        (gateway.attempts.len(), (0..count).map(|index| format!("n{index}")).collect::<Vec<_>>());
    gateway.assign(group("load", 0, &ids.iter().map(String::as_str).collect::<Vec<_>>()));
    gateway.attempts[before..].iter().filter(|attempt| attempt.server.0 == key).count()
}

#[test]
fn streams_reset_together_are_one_failure() {
    let mut gateway = Gateway::new(&[]);
    gateway.runner.set_server(&ServerInfo { slots: 4, ..server(0, 7) });
    gateway.assign(group("job", 0, &["a", "b", "c", "d"]));
    gateway.attempts.clone().iter().for_each(|attempt| gateway.ended(attempt, AttemptOutcome::Broken));
    gateway.advance(50);
    assert_eq!(gateway.attempts.len(), 8);
}

#[test]
fn a_slow_server_gets_fewer_generations() {
    let mut gateway = Gateway::new(&[]);
    (0..2).for_each(|key| gateway.runner.set_server(&ServerInfo { slots: 4, ..server(key, 7) }));
    for round in 0..6 {
        let job = format!("job{round}");
        gateway.assign(group(&job, 0, &["a", "b"]));
        let mut attempt = gateway.attempts[gateway.attempts.len() - 2..].to_vec();
        attempt.sort_by_key(|attempt| attempt.server);
        for (attempt, gap) in attempt.iter().zip([10, 200]) {
            (1..=4).for_each(|id| {
                gateway.now += gap;
                gateway.event(attempt, id, "x", None);
            });
            gateway.ended(attempt, AttemptOutcome::Complete);
        }
    }
    assert!(attempts_at(&mut gateway, 1, 8) < 4);
}

#[rstest]
#[case::unprocessable(status(422), true)]
#[case::failed(status(500), false)]
#[case::broken(AttemptOutcome::Broken, false)]
#[case::no_connection(AttemptOutcome::ConnectFailed, false)]
#[case::gateway(status(502), false)]
#[case::rejected(status(503), false)]
fn only_an_unprocessable_item_expires_after_one_failure(
    #[case] outcome: AttemptOutcome,
    #[case] expired: bool,
) {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.ended(&gateway.last(), outcome);
    assert_eq!(gateway.reports.len(), usize::from(expired));
}

#[test]
fn an_item_expires_at_the_limit_of_500_responses() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    for count in 1..=MAX_ATTEMPTS {
        assert!(gateway.reports.is_empty());
        gateway.status(&gateway.last(), 500);
        assert_eq!(gateway.reports.len(), usize::from(count == MAX_ATTEMPTS));
        gateway.advance(1_000);
    }
    assert_eq!(gateway.result(), &ItemResult::Expired);
}

/// The store node reports the failures that it knows of to the next gateway. Here five gateways are each lost after one
/// response with status 500.
#[test]
fn the_limit_of_500_responses_applies_across_gateways() {
    let mut known = 0;
    let mut responses = 0;
    for _ in 0..5 {
        let mut gateway = Gateway::new(&[7, 7]);
        gateway.assign(group("job", 0, &["a", "b"]));
        gateway.with_runner(|runner, out| runner.failures_reported("job", "a", known, out));
        if gateway.reports.iter().any(|(item, result)| item == "a" && *result == ItemResult::Expired) {
            break;
        }
        gateway.tick();
        let attempt =
            gateway.attempts.iter().find(|attempt| attempt.item == "a").cloned().expect("it is sent");
        gateway.status(&attempt, 500);
        responses += 1;
        known = gateway.failures.last().expect("the failure is reported").1;
        assert_eq!(known, responses);
    }
    assert_eq!(responses, MAX_ATTEMPTS);
}

#[test]
fn reported_failures_never_lower_the_count() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.status(&gateway.last(), 500);
    gateway.with_runner(|runner, out| {
        runner.failures_reported("job", "a", 0, out);
        runner.failures_reported("job", "unknown", 9, out);
        runner.failures_reported("unknown", "a", 9, out);
    });
    assert!(gateway.reports.is_empty());
    gateway.advance(1_000);
    gateway.status(&gateway.last(), 500);
    assert_eq!(gateway.result(), &ItemResult::Expired);
    assert_eq!(gateway.failures, [("a".to_owned(), 1), ("a".to_owned(), 2)]);
}

#[rstest]
#[case::with_servers(&[7, 7])]
#[case::without_servers(&[])]
fn items_expire_exactly_at_their_deadline(#[case] versions: &[u64]) {
    let mut gateway = Gateway::new(versions);
    gateway.assign(group("job", 0, &["a", "b"]));
    gateway.advance(EXPIRES_AT - 1 - gateway.now);
    assert!(gateway.reports.is_empty());
    gateway.advance(1);
    assert_eq!(
        gateway.reports,
        [("a".to_owned(), ItemResult::Expired), ("b".to_owned(), ItemResult::Expired)]
    );
    assert_eq!((gateway.runner.in_flight(), gateway.runner.open_groups()), (0, 0));
    gateway.advance(10_000);
    assert_eq!(gateway.reports.len(), 2);
}

#[test]
fn a_removed_route_expires_its_groups() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.with_runner(|runner, out| runner.reroute(|_| None, out));
    assert_eq!(gateway.result(), &ItemResult::Expired);
    assert_eq!(gateway.cancelled, [gateway.last().id]);
}

/// The server of a stream without framing may have died between two events.
#[test]
fn an_unframed_stream_is_complete_once_a_retry_adds_nothing() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.ended(&first, AttemptOutcome::Closed);
    assert!(gateway.reports.is_empty(), "more may follow");
    let second = gateway.last();
    assert_eq!(second.last_event_id, Some(2));
    gateway.started(&second, 7);
    gateway.events(&second, 3..=3);
    gateway.ended(&second, AttemptOutcome::Closed);
    assert!(gateway.reports.is_empty(), "the previous attempt was incomplete, and this one may be too");
    let third = gateway.last();
    assert_eq!(third.last_event_id, Some(3));
    gateway.started(&third, 7);
    gateway.ended(&third, AttemptOutcome::Closed);
    let ItemResult::Completed { message, .. } = gateway.result() else { panic!("it has a text") };
    assert_eq!(message, b"e1\ne2\ne3");
}

#[test]
fn an_unframed_stream_without_events_gives_no_result() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.ended(&gateway.last(), AttemptOutcome::Closed);
    assert!(gateway.reports.is_empty());
}

#[test]
fn a_route_that_moves_to_another_service_cancels_its_attempts() {
    let mut gateway = Gateway::new(&[7]);
    gateway.runner.set_server(&ServerInfo { service: "other".into(), ..server(9, 7) });
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=1);
    let mut moved = (*route_settings(false)).clone();
    moved.service = "other".into();
    let moved = std::sync::Arc::new(moved);
    gateway.with_runner(|runner, out| runner.reroute(|_| Some(moved.clone()), out));
    assert_eq!(gateway.cancelled, [first.id]);
    gateway.tick();
    assert_eq!((gateway.last().server.0, gateway.last().last_event_id), (9, None));
}

/// Guards against a text that two services have generated: its route was moved before the group was assigned again.
#[test]
fn a_kept_text_is_not_resumed_at_another_service() {
    let mut gateway = Gateway::new(&[7]);
    gateway.runner.set_server(&ServerInfo { service: "other".into(), ..server(9, 7) });
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=1);
    let mut again = group("job", 0, &["a"]);
    again.id.epoch += 1;
    again.route = Arc::new(RouteSettings { service: "other".into(), ..(*route_settings(false)).clone() });
    gateway.assign(again);
    assert_eq!(gateway.cancelled, [first.id]);
    assert_eq!((gateway.last().server.0, gateway.last().last_event_id), (9, None));
}

#[test]
fn a_stalled_stream_is_resumed_elsewhere() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=5);
    gateway.advance(599);
    assert!(gateway.cancelled.is_empty(), "the gaps were 10 ms, and at least 600 ms are allowed");
    gateway.advance(1);
    assert_eq!(gateway.cancelled, [first.id]);
    let second = gateway.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, Some(5));
}

/// A new connection shows soonest whether an unresponsive server is reachable again.
#[rstest]
#[case::no_connection(AttemptOutcome::ConnectFailed, &[ServerKey(0)])]
#[case::stall(AttemptOutcome::Stalled, &[ServerKey(0)])]
#[case::a_cut_stream(AttemptOutcome::Broken, &[])]
fn idle_connections_to_an_unresponsive_server_are_closed(
    #[case] outcome: AttemptOutcome,
    #[case] idle_closed: &[ServerKey],
) {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.ended(&gateway.last(), outcome);
    assert_eq!(gateway.idle_closed, idle_closed);
}

#[test]
fn a_stream_stalls_after_six_times_the_usual_gap() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    for id in 1..=4 {
        gateway.now += 490;
        gateway.event(&first, id, "x", None);
    }
    gateway.advance(2_999);
    assert!(gateway.cancelled.is_empty());
    gateway.advance(1);
    assert_eq!(gateway.cancelled, [first.id]);
}

#[test]
fn cancelling_a_batch_job_stops_it_at_once() {
    let mut gateway = Gateway::new(&[7, 7, 7]);
    gateway.assign(group("job", 0, &["a", "b"]));
    gateway.assign(group("other", 0, &["c", "d"]));
    let attempt = gateway.attempts.clone();
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    assert_eq!(gateway.cancelled, [attempt[0].id, attempt[1].id]);
    for attempt in &attempt[..2] {
        gateway.events(attempt, 1..=1);
        gateway.ended(attempt, AttemptOutcome::Complete);
    }
    gateway.advance(EXPIRES_AT);
    assert!(gateway.reports.iter().all(|(item, _)| item == "c" || item == "d"));
    assert!(gateway.attempts[3..].iter().all(|attempt| attempt.item == "c" || attempt.item == "d"));
}

#[rstest]
#[case::this_lease(3, 1, true)]
#[case::later_epoch(3, 2, true)]
#[case::other_partition(4, 1, false)]
#[case::older_epoch(3, 0, false)]
fn an_expired_lease_drops_the_groups_under_it(
    #[case] partition: u16,
    #[case] epoch: u64,
    #[case] dropped: bool,
) {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.with_runner(|runner, out| runner.lease_expired(partition, epoch, out));
    assert_eq!(gateway.cancelled.len(), usize::from(dropped));
    assert_eq!(gateway.runner.open_groups(), usize::from(!dropped));
    assert!(gateway.reports.is_empty());
}

#[test]
fn a_repeated_assignment_changes_nothing() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.assign(group("job", 0, &["a"]));
    assert_eq!((gateway.attempts.len(), gateway.runner.open_groups()), (1, 1));
}

#[test]
fn a_new_head_takes_over_a_running_group() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let attempt = gateway.last();
    let mut next_assignment = group("job", 0, &["a"]);
    next_assignment.id.epoch = 2;
    next_assignment.expires_at += 500;
    gateway.assign(next_assignment.clone());
    assert_eq!(gateway.attempts.len(), 1);
    gateway.started(&attempt, 7);
    gateway.advance(EXPIRES_AT - gateway.now + 1);
    assert!(gateway.reports.is_empty());
    gateway.advance(500);
    assert_eq!(gateway.report_groups, [next_assignment.id]);
}

#[test]
fn texts_are_reused_by_a_later_batch_job_with_the_same_items() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    gateway.assign(group("later", 0, &["a"]));
    assert_eq!(gateway.last().last_event_id, Some(2));
}

#[rstest]
#[case::newer_minimum(8, b"prompt")]
#[case::other_body(MINIMUM, b"different")]
fn unsuitable_archived_texts_are_discarded(#[case] minimum: u64, #[case] body: &[u8]) {
    let mut gateway = Gateway::new(&[7, 8]);
    gateway.runner.set_server(&ServerInfo { draining: true, ..server(1, 8) });
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.with_runner(|runner, out| runner.cancel("job", out));
    gateway.runner.set_server(&server(1, 8));
    let mut later = group("later", 0, &["a"]);
    later.min_weights_version = Some(minimum);
    later.items[0].body = body.into();
    gateway.assign(later);
    assert_eq!(gateway.last().last_event_id, None);
}

#[test]
fn groups_are_ordered_by_due_time_then_index() {
    let mut gateway = Gateway::new(&[]);
    let mut late = group("late", 0, &["c"]);
    late.due_at += 1;
    gateway.assign(late);
    gateway.assign(group("job", 1, &["b"]));
    gateway.assign(group("job", 0, &["a1", "a2"]));
    (0..4).for_each(|key| gateway.runner.set_server(&server(key, 7)));
    gateway.tick();
    assert_eq!(
        gateway.attempts.iter().map(|attempt| attempt.item.as_str()).collect::<Vec<_>>(),
        ["a1", "a2", "b", "c"]
    );
}

#[rstest]
#[case(8, 0.25, 2)]
#[case(8, 0.3, 3)]
#[case(1, 0.1, 1)]
#[case(0, 0.5, 1)]
fn slot_limit_is_rounded_up_and_at_least_one(#[case] slots: u32, #[case] fraction: f64, #[case] limit: u32) {
    assert_eq!(slot_limit(slots, fraction), limit);
}

#[test]
fn attempts_are_bounded_by_the_slot_fraction() {
    let mut gateway = Gateway::new(&[]);
    gateway.runner.set_slot_fraction(0.5);
    gateway.runner.set_server(&ServerInfo { slots: 4, ..server(0, 7) });
    gateway.runner.set_server(&ServerInfo { slots: 4, draining: true, ..server(1, 7) });
    gateway.runner.set_server(&ServerInfo { slots: 4, limit: Some(1), ..server(2, 7) });
    gateway.assign(group("job", 0, &["a", "b", "c", "d", "e", "f"]));
    let at = |key| gateway.attempts.iter().filter(|attempt| attempt.server.0 == key).count();
    assert_eq!([at(0), at(1), at(2)], [2, 0, 1]);
}

#[test]
fn generations_without_a_server_wait_for_their_service() {
    let mut gateway = Gateway::new(&[7]);
    let names: Vec<String> = (0..100).map(|number| format!("item-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    assert_eq!(gateway.runner.waiting_generations("tokens"), 0);
    gateway.assign(group("job", 0, &names));
    let in_flight = gateway.runner.in_flight();
    assert!(in_flight > 0 && in_flight < 100);
    assert_eq!(gateway.runner.waiting_generations("tokens"), 100 - in_flight);
    assert_eq!(gateway.runner.waiting_generations("other"), 0);
}
