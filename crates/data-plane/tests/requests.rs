//! Tests of unstreamed requests: retries, hedges, deadlines, and the responses to clients.

mod requests_support;

use orchidvalve_data_plane::balancer::ServerKey;
use orchidvalve_data_plane::upstream::Failure;
use rand_pcg::Pcg64Mcg;
use requests_support::*;
use rstest::rstest;

#[rstest]
#[case::may_repeat("repeat", false)]
#[case::once("once", true)]
#[case::stream("stream", true)]
#[case::resumable("resume", false)]
fn a_request_is_sent_with_the_remaining_time(#[case] kind: &str, #[case] at_most_once: bool) {
    let mut harness = Harness::new(2);
    harness.begin(kind);
    let attempt = harness.last();
    assert!((1_400..1_500).contains(&attempt.deadline_ms), "{}", attempt.deadline_ms);
    assert_eq!((attempt.last_event_id, attempt.at_most_once), (None, at_most_once));
    harness.respond(attempt, success(), BODY);
    assert_eq!(
        (harness.client.status, harness.client.local, harness.client.complete),
        (Some(200), false, true)
    );
    assert_eq!(harness.requests.pending(), 0);
}

#[test]
fn a_response_is_forwarded_with_its_head_and_body() {
    let mut harness = Harness::new(1);
    harness.begin("once");
    let attempt = harness.last();
    harness.head(attempt, success());
    harness.body(attempt, "by");
    harness.body(attempt, "tes");
    assert_eq!(harness.client.status, None);
    harness.complete(attempt);
    assert_eq!(harness.client.body, "bytes");
    assert_eq!(harness.client.signature, SIGNATURE);
}

/// A response body that is also a complete event.
const BODY: &str = "id: 1\ndata: bytes\n\n";

/// A way in which an attempt fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Status(u16),
    Rejected(u16),
    /// The head of a rejection arrives, and the connection breaks before the end of the response.
    RejectedThenBroken(u16),
    Failure(Failure),
    BrokenInBody,
    /// A complete success without the server's signature.
    Unsigned,
}

fn inject(harness: &mut Harness, attempt: Attempted, fault: Fault) {
    match fault {
        Fault::Status(status) => harness.respond(attempt, head(status, &[]), "trouble"),
        Fault::Rejected(status) => harness.respond(attempt, rejection(status), ""),
        Fault::RejectedThenBroken(status) => {
            harness.head(attempt, rejection(status));
            harness.fail(attempt, Failure::Broken);
        }
        Fault::Failure(failure) => harness.fail(attempt, failure),
        Fault::Unsigned => harness.respond(attempt, head(200, &[]), BODY),
        Fault::BrokenInBody => {
            harness.head(attempt, success());
            harness.body(attempt, "by");
            harness.fail(attempt, Failure::Broken);
        }
    }
}

#[rstest]
#[case::full(Fault::Rejected(503))]
#[case::too_many(Fault::Rejected(429))]
#[case::late(Fault::Rejected(408))]
#[case::other_instance(Fault::Rejected(421))]
#[case::cut_rejection(Fault::RejectedThenBroken(503))]
#[case::unreachable(Fault::Failure(Failure::Connect))]
fn a_request_that_did_not_run_is_retried_at_another_server(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] fault: Fault,
) {
    let mut harness = Harness::new(2);
    harness.begin(kind);
    let first = harness.last();
    inject(&mut harness, first, fault);
    assert_eq!(harness.attempts.len(), 2);
    let second = harness.last();
    assert_ne!(second.server, first.server);
    harness.respond(second, success(), BODY);
    assert_eq!((harness.client.status, harness.client.body.as_str()), (Some(200), BODY));
}

#[rstest]
#[case::broken(Fault::Failure(Failure::Broken))]
#[case::cut(Fault::BrokenInBody)]
#[case::unsigned(Fault::Unsigned)]
#[case::error(Fault::Status(500))]
#[case::timed_out(Fault::Status(504))]
#[case::unsure_full(Fault::Status(503))]
#[case::unsure_too_many(Fault::Status(429))]
fn an_idempotent_request_is_retried_at_another_server(#[case] fault: Fault) {
    let mut harness = Harness::new(2);
    harness.begin("repeat");
    let first = harness.last();
    inject(&mut harness, first, fault);
    assert_eq!(harness.attempts.len(), 2);
    let second = harness.last();
    assert_ne!(second.server, first.server);
    harness.respond(second, success(), "bytes");
    assert_eq!((harness.client.status, harness.client.body.as_str()), (Some(200), "bytes"));
}

/// A request that isn't idempotent and may have run is never attempted again, nor is its client promised that it has
/// not run.
#[rstest]
#[case::broken(Fault::Failure(Failure::Broken), 502)]
#[case::stale(Fault::Failure(Failure::Stale), 502)]
#[case::cut(Fault::BrokenInBody, 502)]
#[case::unsigned(Fault::Unsigned, 502)]
#[case::error(Fault::Status(500), 500)]
#[case::timed_out(Fault::Status(504), 504)]
#[case::unsure_full(Fault::Status(503), 502)]
#[case::unsure_too_many(Fault::Status(429), 502)]
#[case::unsure_late(Fault::Status(408), 502)]
fn a_non_idempotent_request_that_may_have_run_is_not_retried(
    #[case] fault: Fault,
    #[case] expected_status: u16,
) {
    let mut harness = Harness::new(3);
    harness.begin("once");
    let first = harness.last();
    inject(&mut harness, first, fault);
    harness.advance(TIMEOUT_MS);
    assert_eq!(harness.attempts.len(), 1);
    assert_eq!((harness.client.status, harness.client.complete), (Some(expected_status), true));
}

#[rstest]
#[case::not_found(404, "once")]
#[case::unprocessable(422, "repeat")]
#[case::bad(400, "stream")]
fn client_error_responses_are_forwarded(#[case] status: u16, #[case] kind: &str) {
    let mut harness = Harness::new(2);
    harness.begin(kind);
    harness.respond(harness.last(), head(status, &[("Not-Executed", "1")]), "why");
    assert_eq!((harness.client.status, harness.client.body.as_str()), (Some(status), "why"));
    assert_eq!(harness.attempts.len(), 1);
}

#[rstest]
#[case::errors("repeat", Fault::Status(500), 500)]
#[case::breaks("repeat", Fault::Failure(Failure::Broken), 502)]
#[case::unfounded_promises("repeat", Fault::Status(503), 502)]
#[case::rejections("repeat", Fault::Rejected(503), 503)]
#[case::rejections_once("once", Fault::Rejected(429), 503)]
#[case::rejections_stream("stream", Fault::Rejected(503), 503)]
#[case::breaks_before_an_event("resume", Fault::Failure(Failure::Broken), 502)]
fn attempts_are_bounded(
    #[values(1, 2, 5)] servers: usize,
    #[case] kind: &str,
    #[case] fault: Fault,
    #[case] expected_status: u16,
) {
    let mut harness = Harness::new(servers);
    harness.begin(kind);
    for number in 1..=MAX_ATTEMPTS {
        assert_eq!(harness.attempts.len() as u32, number);
        assert_eq!(harness.client.status, None);
        let attempt = harness.last();
        inject(&mut harness, attempt, fault);
        if number < MAX_ATTEMPTS && harness.attempts.len() as u32 == number {
            harness.advance(50);
        }
    }
    assert_eq!(harness.client.status, Some(expected_status));
    harness.advance(TIMEOUT_MS);
    assert_eq!(harness.attempts.len() as u32, MAX_ATTEMPTS);
}

/// No attempt gets more time than the client has left, whatever caused the attempt.
#[rstest]
#[case::rejected("once", Fault::Rejected(503))]
#[case::broken("repeat", Fault::Failure(Failure::Broken))]
#[case::unreachable("once", Fault::Failure(Failure::Connect))]
#[case::closed_while_idle("repeat", Fault::Failure(Failure::Stale))]
#[case::resumed("resume", Fault::Failure(Failure::Broken))]
fn retries_get_the_remaining_time(#[case] kind: &str, #[case] fault: Fault) {
    let mut harness = Harness::new(4);
    let began_at = harness.now;
    harness.begin(kind);
    for attempts in 1..=3 {
        let attempt = harness.last();
        assert_eq!(harness.attempts.len(), attempts);
        assert!(harness.now + attempt.deadline_ms <= began_at + 1_500, "{attempt:?}");
        harness.advance(150);
        inject(&mut harness, attempt, fault);
    }
}

#[test]
fn failed_connections_do_not_count_and_are_retried_with_backoff() {
    let mut harness = Harness::new(2);
    harness.begin("once");
    for _ in 0..10 {
        let attempt = harness.last();
        harness.fail(attempt, Failure::Connect);
        if harness.attempts.last() == Some(&attempt) {
            assert!(harness.requests.next_wakeup() > harness.now);
            harness.advance(20);
        }
    }
    assert_eq!(harness.client.status, None);
    harness.respond(harness.last(), success(), "bytes");
    assert_eq!(harness.client.status, Some(200));
}

#[test]
fn a_stale_reused_connection_does_not_eject_the_server() {
    let mut harness = Harness::new(3);
    harness.begin("repeat");
    let first = harness.last();
    harness.fail(first, Failure::Stale);
    assert_eq!(harness.last().server, first.server);
    let others: Vec<_> = (1..=3).map(ServerKey).filter(|key| *key != first.server).collect();
    others.iter().for_each(|key| harness.servers.balancer.begin_exchange(*key));
    let choice = harness.servers.balancer.pick(SERVICE, ZONE, &[], harness.now, &mut Pcg64Mcg::new(1));
    assert_eq!(choice, Some(first.server), "the server is not ejected");
    harness.fail(harness.last(), Failure::Stale);
    assert_eq!(harness.attempts.len(), 3);
    assert_ne!(harness.last().server, first.server);
}

#[test]
fn without_servers_the_request_is_rejected_at_once() {
    let mut harness = Harness::new(0);
    harness.begin("once");
    assert_eq!((harness.client.status, harness.client.local), (Some(503), true));
}

#[test]
fn a_removed_server_is_not_retried() {
    let mut harness = Harness::new(1);
    harness.begin("once");
    harness.respond(harness.last(), rejection(503), "");
    harness.servers.list(Vec::new());
    harness.advance(50);
    assert_eq!((harness.client.status, harness.attempts.len()), (Some(503), 1));
}

#[rstest]
#[case::stated("Deadline-Ms: 300\r\n", 300)]
#[case::by_the_route("Deadline-Ms: 60000\r\n", TIMEOUT_MS)]
#[case::not_stated("", TIMEOUT_MS)]
fn at_the_deadline_a_sent_request_gets_no_promise(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] lines: &str,
    #[case] allowed: u64,
) {
    let mut harness = Harness::new(1);
    harness.begin_with(kind, lines);
    let attempt = harness.last();
    harness.advance(allowed - 30);
    assert_eq!(harness.client.status, None);
    assert!(harness.requests.next_wakeup() < harness.now + 30);
    harness.advance(29);
    assert_eq!((harness.client.status, harness.client.local), (Some(504), true));
    assert_eq!(harness.cancelled, [attempt.id]);
}

#[test]
fn at_the_deadline_a_rejected_request_is_promised_not_to_run() {
    let mut harness = Harness::new(1);
    harness.begin_with("once", "Deadline-Ms: 25\r\n");
    harness.respond(harness.last(), rejection(503), "");
    harness.advance(13);
    assert_eq!(harness.client.status, Some(503));
    assert_eq!(harness.attempts.len(), 1);
}

#[test]
fn a_disconnected_clients_request_is_dropped() {
    let mut harness = Harness::new(2);
    let id = harness.begin("repeat");
    let attempt = harness.last();
    harness.disconnect(id);
    assert_eq!((harness.cancelled.as_slice(), harness.requests.pending()), (&[attempt.id][..], 0));
    harness.respond(attempt, success(), "bytes");
    assert_eq!(harness.client.status, None);
}

#[test]
fn a_disconnect_cancels_both_attempts_of_a_hedged_request() {
    let mut harness = Harness::new(2);
    complete_many_requests(&mut harness);
    let id = harness.begin("repeat");
    harness.advance(50);
    let attempts: Vec<_> = harness.attempts.iter().map(|attempt| attempt.id).collect();
    assert_eq!(attempts.len(), 2);
    harness.disconnect(id);
    harness.cancelled.sort_unstable();
    assert_eq!((harness.cancelled.as_slice(), harness.requests.pending()), (attempts.as_slice(), 0));
    harness.advance(5_000);
    assert_eq!(harness.attempts.len(), 2, "nothing more is sent");
}

/// Completes enough requests for the hedge budget to allow hedges, and for their latencies to determine the delay.
fn complete_many_requests(harness: &mut Harness) {
    complete_requests(harness, 30);
}

fn complete_requests(harness: &mut Harness, count: usize) {
    for _ in 0..count {
        harness.begin("repeat");
        let attempt = harness.last();
        harness.now += 30;
        harness.respond(attempt, success(), "");
        harness.client = Client::default();
    }
    harness.attempts.clear();
}

#[rstest]
#[case::first_wins(0)]
#[case::hedge_wins(1)]
fn an_overdue_request_is_hedged_and_the_loser_cancelled(#[case] winner: usize) {
    let mut harness = Harness::new(2);
    complete_many_requests(&mut harness);
    harness.begin("repeat");
    harness.advance(19);
    assert_eq!(harness.attempts.len(), 1);
    harness.advance(20);
    assert_eq!(harness.attempts.len(), 2);
    let attempts = harness.attempts.clone();
    assert_ne!(attempts[0].server, attempts[1].server);
    harness.respond(attempts[winner], success(), "bytes");
    assert_eq!(harness.client.body, "bytes");
    assert_eq!(harness.cancelled, [attempts[1 - winner].id]);
    harness.respond(attempts[1 - winner], success(), "other");
    assert_eq!(harness.client.body, "bytes");
}

#[rstest]
#[case::error(Fault::Status(500))]
#[case::broken(Fault::Failure(Failure::Broken))]
#[case::rejected(Fault::Rejected(503))]
fn a_hedged_request_survives_the_failure_of_one_attempt(#[case] fault: Fault, #[values(0, 1)] loser: usize) {
    let mut harness = Harness::new(2);
    complete_many_requests(&mut harness);
    harness.begin("repeat");
    harness.advance(50);
    let attempts = harness.attempts.clone();
    inject(&mut harness, attempts[loser], fault);
    assert_eq!((harness.client.status, harness.attempts.len()), (None, 2));
    harness.respond(attempts[1 - loser], success(), "bytes");
    assert_eq!(harness.client.body, "bytes");
}

#[rstest]
#[case::once("once")]
#[case::stream("stream")]
#[case::resumable("resume")]
fn streams_and_non_idempotent_requests_are_not_hedged(#[case] kind: &str) {
    let mut harness = Harness::new(3);
    complete_many_requests(&mut harness);
    harness.begin(kind);
    harness.advance(1_000);
    assert_eq!(harness.attempts.len(), 1);
}

/// Guards against hedges by the target that the service's route had when the gateway first saw it.
#[test]
fn the_hedge_delay_follows_a_change_of_the_target_latency() {
    let mut harness = Harness::new(2);
    // Enough for the budget, too few for the delay to use their latencies.
    complete_requests(&mut harness, 12);
    harness.routes = routes_with_target(3 * TARGET_MS);
    harness.begin("repeat");
    harness.advance(3 * TARGET_MS / 4 - 1);
    assert_eq!(harness.attempts.len(), 1, "the delay is a quarter of the new target");
    harness.advance(1);
    assert_eq!(harness.attempts.len(), 2);
}

/// For a gateway with few requests, the hedge budget as a fraction of the requests would allow no hedge at all.
#[test]
fn reserved_hedges_are_allowed_with_few_requests() {
    let mut harness = Harness::new(6);
    let mut hedges = Vec::new();
    for _ in 0..5 {
        harness.attempts.clear();
        let id = harness.begin("repeat");
        harness.advance(TARGET_MS / 2 - 1);
        assert_eq!(harness.attempts.len(), 1);
        harness.advance(1);
        hedges.push(harness.attempts.len() - 1);
        harness.disconnect(id);
    }
    assert_eq!(hedges, [1, 1, 1, 0, 0]);
    harness.now += orchidvalve_scheduler::BUDGET_WINDOW_MS;
    harness.attempts.clear();
    harness.begin("repeat");
    harness.advance(TARGET_MS / 2);
    assert_eq!(harness.attempts.len(), 2);
}

#[test]
fn hedges_stay_within_the_budget() {
    let mut harness = Harness::new(3);
    complete_many_requests(&mut harness);
    let mut hedges = 0;
    for _ in 0..30 {
        harness.attempts.clear();
        let id = harness.begin("repeat");
        harness.advance(50);
        hedges += harness.attempts.len() - 1;
        harness.disconnect(id);
    }
    assert!((1..=6).contains(&hedges), "{hedges}");
}

#[rstest]
#[case::idempotent("repeat", Some(504))]
#[case::once("once", Some(504))]
#[case::resumable("resume", Some(504))]
fn shutdown_gives_pending_requests_a_final_response(
    #[case] kind: &str,
    #[case] expected_status: Option<u16>,
) {
    let mut harness = Harness::new(2);
    harness.begin(kind);
    let attempt = harness.last();
    harness.end_all();
    assert_eq!(
        (harness.client.status, harness.client.local, harness.client.complete),
        (expected_status, true, true)
    );
    assert_eq!((harness.requests.pending(), harness.cancelled.as_slice()), (0, [attempt.id].as_slice()));
}

#[test]
fn shutdown_forwards_the_last_failure_response() {
    let mut harness = Harness::new(1);
    harness.begin("repeat");
    harness.respond(harness.last(), head(500, &[]), "trouble");
    harness.end_all();
    assert_eq!((harness.client.status, harness.client.local), (Some(500), false));
}

#[test]
fn shutdown_promises_only_what_has_not_run() {
    let mut harness = Harness::new(1);
    harness.begin("once");
    harness.respond(harness.last(), rejection(503), "");
    harness.end_all();
    assert_eq!((harness.client.status, harness.client.local), (Some(503), true));
}

#[test]
fn shutdown_aborts_started_streams() {
    let mut harness = Harness::new(1);
    harness.begin("stream");
    harness.head(harness.last(), success());
    harness.end_all();
    assert_eq!((harness.client.aborted, harness.client.complete), (true, false));
}

/// The client's deadline is 1,500 ms.
#[rstest]
#[case::in_time(1_500, true)]
#[case::too_late(1_400, false)]
fn requests_beyond_the_last_response_are_rejected_at_shutdown(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] left_ms: u64,
    #[case] accepted: bool,
) {
    let mut harness = Harness::new(2);
    harness.requests.reject_beyond(harness.now + left_ms);
    harness.begin(kind);
    assert_eq!(harness.attempts.len(), usize::from(accepted));
    let rejected = (Some(503), true, true);
    let client = (harness.client.status, harness.client.local, harness.client.complete);
    assert_eq!(client == rejected, !accepted, "{client:?}");
}

#[test]
fn requests_accepted_before_shutdown_keep_their_deadline() {
    let mut harness = Harness::new(2);
    harness.begin("repeat");
    harness.requests.reject_beyond(harness.now + 1_000);
    harness.fail(harness.last(), Failure::Broken);
    harness.respond(harness.last(), success(), BODY);
    assert_eq!((harness.client.status, harness.attempts.len()), (Some(200), 2));
}

/// The client's deadline runs from the first byte of its request. It states 1,500 ms; the route allows 2,000 ms.
#[rstest]
#[case::stated("Deadline-Ms: 1500\r\n", 1_500)]
#[case::by_the_route("", TIMEOUT_MS)]
fn time_to_receive_a_request_counts_towards_its_deadline(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] lines: &str,
    #[case] allowed_ms: u64,
) {
    let mut harness = Harness::new(1);
    harness.begin_slowly(kind, lines, 900);
    let left_ms = allowed_ms - 900;
    let given_ms = harness.last().deadline_ms;
    assert!((left_ms - 50..=left_ms).contains(&given_ms), "{given_ms}");
    harness.advance(left_ms);
    assert_eq!((harness.client.status, harness.client.local), (Some(504), true));
}

#[rstest]
fn a_request_past_its_deadline_is_sent_to_no_server(#[values("repeat", "once", "resume")] kind: &str) {
    let mut harness = Harness::new(1);
    harness.begin_slowly(kind, "Deadline-Ms: 1500\r\n", 1_500);
    assert_eq!((harness.attempts.len(), harness.client.status, harness.client.local), (0, Some(503), true));
}

/// The transparent retry on a closed connection doesn't count as an attempt, so its failure must not give one back.
#[rstest]
fn a_failed_transparent_retry_gives_no_attempt_back(#[values("repeat", "resume")] kind: &str) {
    let mut harness = Harness::new(MAX_ATTEMPTS as usize + 2);
    harness.begin(kind);
    let first = harness.last();
    harness.fail(first, Failure::Stale);
    let retry = harness.last();
    assert_eq!(retry.server, first.server);
    harness.fail(retry, Failure::Connect);
    while harness.client.status.is_none() {
        harness.fail(harness.last(), Failure::Broken);
    }
    let servers_tried: std::collections::BTreeSet<_> =
        harness.attempts.iter().map(|attempt| attempt.server).collect();
    assert_eq!(servers_tried.len(), MAX_ATTEMPTS as usize, "{:?}", harness.attempts);
}

#[test]
fn a_request_without_an_attempt_in_flight_waits_for_its_service() {
    let mut harness = Harness::new(1);
    harness.begin("repeat");
    assert_eq!(harness.requests.waiting(SERVICE), 0);
    let attempt = harness.last();
    harness.respond(attempt, rejection(503), "");
    assert_eq!((harness.requests.waiting(SERVICE), harness.requests.waiting("other")), (1, 0));
    harness.advance(100);
    assert_eq!(harness.requests.waiting(SERVICE), 0);
}
