//! Texts, failures, versions of weights, hedges and the end of groups.

mod generations_support;

use generations_support::*;
use orchidvalve_data_plane::generations::{AttemptOutcome, ItemResult, ServerInfo, ServerKey, slot_limit};
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
    // What still comes from the dropped connection changes nothing.
    gateway.events(&first, 3..=4);
    gateway.ended(&first, AttemptOutcome::Complete);
    assert!(gateway.reports.is_empty());
}

#[test]
fn a_response_without_events_is_no_text() {
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
        gateway.pass(1_000);
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
        let (attempts, refused_at) = (gateway.attempts.len(), gateway.now);
        gateway.status(&gateway.last(), 503);
        while gateway.attempts.len() == attempts {
            let wakeup = gateway.runner.next_wakeup().expect("the pause ends");
            gateway.pass(wakeup - gateway.now);
        }
        pauses.push(gateway.now - refused_at);
    }
    assert_eq!(pauses, [50, 100, 200, 400, 800, 800, 800]);
}

/// How many of `count` new generations go to the server at once.
fn load_at(gateway: &mut Gateway, key: u32, count: usize) -> usize {
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
    gateway.pass(50);
    assert_eq!(gateway.attempts.len(), 8);
}

#[test]
fn a_server_slower_than_the_others_gets_fewer() {
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
    assert!(load_at(&mut gateway, 1, 8) < 4);
}

#[rstest]
#[case::never_run(status(422), true)]
#[case::failed(status(500), false)]
#[case::broken(AttemptOutcome::Broken, false)]
#[case::no_connection(AttemptOutcome::ConnectFailed, false)]
#[case::gateway(status(502), false)]
#[case::rejected(status(503), false)]
fn one_failure_expires_only_what_can_never_run(#[case] outcome: AttemptOutcome, #[case] expired: bool) {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.ended(&gateway.last(), outcome);
    assert_eq!(gateway.reports.len(), usize::from(expired));
}

#[test]
fn responses_of_500_expire_an_item_at_their_limit() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    for count in 1..=MAX_ATTEMPTS {
        assert!(gateway.reports.is_empty());
        gateway.status(&gateway.last(), 500);
        assert_eq!(gateway.reports.len(), usize::from(count == MAX_ATTEMPTS));
        gateway.pass(1_000);
    }
    assert_eq!(gateway.result(), &ItemResult::Expired);
}

/// The store tells the next gateway what it was told. Five gateways, each lost after one answer of 500.
#[test]
fn responses_of_500_expire_an_item_at_their_limit_wherever_its_group_goes() {
    let mut known = 0;
    let mut answers = 0;
    for _ in 0..5 {
        let mut gateway = Gateway::new(&[7, 7]);
        gateway.assign(group("job", 0, &["a", "b"]));
        gateway.direct(|runner, out| runner.failures_reported("job", "a", known, out));
        if gateway.reports.iter().any(|(item, result)| item == "a" && *result == ItemResult::Expired) {
            break;
        }
        gateway.tick();
        let attempt =
            gateway.attempts.iter().find(|attempt| attempt.item == "a").cloned().expect("it is sent");
        gateway.status(&attempt, 500);
        answers += 1;
        known = gateway.failures.last().expect("the store is told").1;
        assert_eq!(known, answers);
    }
    assert_eq!(answers, MAX_ATTEMPTS);
}

#[test]
fn failures_known_elsewhere_take_nothing_back() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.status(&gateway.last(), 500);
    gateway.direct(|runner, out| {
        runner.failures_reported("job", "a", 0, out);
        runner.failures_reported("job", "unknown", 9, out);
        runner.failures_reported("unknown", "a", 9, out);
    });
    assert!(gateway.reports.is_empty());
    gateway.pass(1_000);
    gateway.status(&gateway.last(), 500);
    assert_eq!(gateway.result(), &ItemResult::Expired);
    assert_eq!(gateway.failures, [("a".to_owned(), 1), ("a".to_owned(), 2)]);
}

#[rstest]
#[case::with_servers(&[7, 7])]
#[case::without_servers(&[])]
fn items_expire_at_their_time_and_not_before(#[case] versions: &[u64]) {
    let mut gateway = Gateway::new(versions);
    gateway.assign(group("job", 0, &["a", "b"]));
    gateway.pass(EXPIRES_AT - 1 - gateway.now);
    assert!(gateway.reports.is_empty());
    gateway.pass(1);
    assert_eq!(
        gateway.reports,
        [("a".to_owned(), ItemResult::Expired), ("b".to_owned(), ItemResult::Expired)]
    );
    assert_eq!((gateway.runner.in_flight(), gateway.runner.open_groups()), (0, 0));
    gateway.pass(10_000);
    assert_eq!(gateway.reports.len(), 2);
}

#[test]
fn the_end_of_its_route_expires_a_group() {
    let mut gateway = Gateway::new(&[7]);
    gateway.assign(group("job", 0, &["a"]));
    gateway.direct(|runner, out| runner.reroute(|_| None, out));
    assert_eq!(gateway.result(), &ItemResult::Expired);
    assert_eq!(gateway.cancelled, [gateway.last().id]);
}

/// The server of a stream without framing may have died between two events.
#[test]
fn a_stream_that_ends_without_framing_is_complete_once_nothing_follows() {
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
    assert!(gateway.reports.is_empty(), "it was not the end, and may not be now");
    let third = gateway.last();
    assert_eq!(third.last_event_id, Some(3));
    gateway.started(&third, 7);
    gateway.ended(&third, AttemptOutcome::Closed);
    let ItemResult::Completed { message, .. } = gateway.result() else { panic!("it has a text") };
    assert_eq!(message, b"e1\ne2\ne3");
}

#[test]
fn a_stream_without_framing_and_events_is_no_text() {
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
    let mut moved = (*facts(false)).clone();
    moved.service = "other".into();
    let moved = std::sync::Arc::new(moved);
    gateway.direct(|runner, out| runner.reroute(|_| Some(moved.clone()), out));
    assert_eq!(gateway.cancelled, [first.id]);
    gateway.tick();
    assert_eq!((gateway.last().server.0, gateway.last().last_event_id), (9, None));
}

#[test]
fn a_stalled_stream_is_resumed_elsewhere() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=5);
    gateway.pass(599);
    assert!(gateway.cancelled.is_empty(), "the gaps were 10 ms, and 600 ms are allowed at least");
    gateway.pass(1);
    assert_eq!(gateway.cancelled, [first.id]);
    let second = gateway.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, Some(5));
}

/// On a new connection it is soonest seen whether a server that became unresponsive is back.
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
fn six_times_the_usual_gap_is_allowed() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    for id in 1..=4 {
        gateway.now += 490;
        gateway.event(&first, id, "x", None);
    }
    gateway.pass(2_999);
    assert!(gateway.cancelled.is_empty());
    gateway.pass(1);
    assert_eq!(gateway.cancelled, [first.id]);
}

#[test]
fn a_cancelled_batch_job_stops_within_the_step() {
    let mut gateway = Gateway::new(&[7, 7, 7]);
    gateway.assign(group("job", 0, &["a", "b"]));
    gateway.assign(group("other", 0, &["c", "d"]));
    let attempt = gateway.attempts.clone();
    gateway.direct(|runner, out| runner.cancel("job", out));
    assert_eq!(gateway.cancelled, [attempt[0].id, attempt[1].id]);
    for attempt in &attempt[..2] {
        gateway.events(attempt, 1..=1);
        gateway.ended(attempt, AttemptOutcome::Complete);
    }
    gateway.pass(EXPIRES_AT);
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
    gateway.direct(|runner, out| runner.lease_expired(partition, epoch, out));
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
fn a_new_store_takes_a_running_group_over() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let attempt = gateway.last();
    let mut again = group("job", 0, &["a"]);
    again.id.epoch = 2;
    again.expires_at += 500;
    gateway.assign(again.clone());
    assert_eq!(gateway.attempts.len(), 1);
    gateway.started(&attempt, 7);
    gateway.pass(EXPIRES_AT - gateway.now + 1);
    assert!(gateway.reports.is_empty());
    gateway.pass(500);
    assert_eq!(gateway.report_groups, [again.id]);
}

#[test]
fn texts_go_over_to_a_later_batch_job_with_the_same_items() {
    let mut gateway = Gateway::new(&[7, 7]);
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.direct(|runner, out| runner.cancel("job", out));
    gateway.assign(group("later", 0, &["a"]));
    assert_eq!(gateway.last().last_event_id, Some(2));
}

#[rstest]
#[case::newer_minimum(8, b"prompt")]
#[case::other_body(MINIMUM, b"different")]
fn texts_that_do_not_fit_are_made_anew(#[case] minimum: u64, #[case] body: &[u8]) {
    let mut gateway = Gateway::new(&[7, 8]);
    gateway.runner.set_server(&ServerInfo { draining: true, ..server(1, 8) });
    gateway.assign(group("job", 0, &["a"]));
    let first = gateway.last();
    gateway.started(&first, 7);
    gateway.events(&first, 1..=2);
    gateway.direct(|runner, out| runner.cancel("job", out));
    gateway.runner.set_server(&server(1, 8));
    let mut later = group("later", 0, &["a"]);
    later.min_weights_version = Some(minimum);
    later.items[0].body = body.into();
    gateway.assign(later);
    assert_eq!(gateway.last().last_event_id, None);
}

#[test]
fn groups_go_by_due_time_then_by_place() {
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
fn a_gateway_has_its_share_of_the_slots(#[case] slots: u32, #[case] fraction: f64, #[case] limit: u32) {
    assert_eq!(slot_limit(slots, fraction), limit);
}

#[test]
fn attempts_are_bounded_by_the_share_of_slots() {
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
fn generations_that_find_no_server_wait_for_its_service() {
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
