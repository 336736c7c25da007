//! Plain requests: retries, hedges, deadlines, and what the client is told.

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
fn a_request_goes_to_a_server_with_what_is_left(#[case] kind: &str, #[case] runs_once: bool) {
    let mut table = Table::new(2);
    table.begin(kind);
    let attempt = table.last();
    assert!((1_400..1_500).contains(&attempt.deadline_ms), "{}", attempt.deadline_ms);
    assert_eq!((attempt.last_event_id, attempt.runs_once), (None, runs_once));
    table.answer(attempt, success(), BODY);
    assert_eq!((table.client.status, table.client.own, table.client.whole), (Some(200), false, true));
    assert_eq!(table.requests.pending(), 0);
}

#[test]
fn a_response_is_forwarded_with_its_head_and_body() {
    let mut table = Table::new(1);
    table.begin("once");
    let attempt = table.last();
    table.head(attempt, success());
    table.body(attempt, "by");
    table.body(attempt, "tes");
    assert_eq!(table.client.status, None);
    table.complete(attempt);
    assert_eq!(table.client.body, "bytes");
    assert_eq!(table.client.signature, SIGNATURE);
}

/// A body that is an event as well.
const BODY: &str = "id: 1\ndata: bytes\n\n";

/// How an attempt fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Status(u16),
    Rejected(u16),
    /// The head of a rejection came, and its end by the framing didn't.
    RejectedThenCut(u16),
    Failure(Failure),
    CutInBody,
    /// A complete success without its server's signature.
    Unsigned,
}

fn inject(table: &mut Table, attempt: Attempted, fault: Fault) {
    match fault {
        Fault::Status(status) => table.answer(attempt, head(status, &[]), "trouble"),
        Fault::Rejected(status) => table.answer(attempt, rejection(status), ""),
        Fault::RejectedThenCut(status) => {
            table.head(attempt, rejection(status));
            table.fail(attempt, Failure::Broken);
        }
        Fault::Failure(failure) => table.fail(attempt, failure),
        Fault::Unsigned => table.answer(attempt, head(200, &[]), BODY),
        Fault::CutInBody => {
            table.head(attempt, success());
            table.body(attempt, "by");
            table.fail(attempt, Failure::Broken);
        }
    }
}

#[rstest]
#[case::full(Fault::Rejected(503))]
#[case::too_many(Fault::Rejected(429))]
#[case::late(Fault::Rejected(408))]
#[case::other_instance(Fault::Rejected(421))]
#[case::cut_rejection(Fault::RejectedThenCut(503))]
#[case::unreachable(Fault::Failure(Failure::Connect))]
fn what_surely_has_not_run_goes_to_another_server(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] fault: Fault,
) {
    let mut table = Table::new(2);
    table.begin(kind);
    let first = table.last();
    inject(&mut table, first, fault);
    assert_eq!(table.attempts.len(), 2);
    let second = table.last();
    assert_ne!(second.server, first.server);
    table.answer(second, success(), BODY);
    assert_eq!((table.client.status, table.client.body.as_str()), (Some(200), BODY));
}

#[rstest]
#[case::broken(Fault::Failure(Failure::Broken))]
#[case::cut(Fault::CutInBody)]
#[case::unsigned(Fault::Unsigned)]
#[case::error(Fault::Status(500))]
#[case::timed_out(Fault::Status(504))]
#[case::unsure_full(Fault::Status(503))]
#[case::unsure_too_many(Fault::Status(429))]
fn what_may_repeat_is_retried_elsewhere(#[case] fault: Fault) {
    let mut table = Table::new(2);
    table.begin("repeat");
    let first = table.last();
    inject(&mut table, first, fault);
    assert_eq!(table.attempts.len(), 2);
    let second = table.last();
    assert_ne!(second.server, first.server);
    table.answer(second, success(), "bytes");
    assert_eq!((table.client.status, table.client.body.as_str()), (Some(200), "bytes"));
}

/// A non-idempotent request that may have run is never attempted again, nor answered with a promise.
#[rstest]
#[case::broken(Fault::Failure(Failure::Broken), 502)]
#[case::stale(Fault::Failure(Failure::Stale), 502)]
#[case::cut(Fault::CutInBody, 502)]
#[case::unsigned(Fault::Unsigned, 502)]
#[case::error(Fault::Status(500), 500)]
#[case::timed_out(Fault::Status(504), 504)]
#[case::unsure_full(Fault::Status(503), 502)]
#[case::unsure_too_many(Fault::Status(429), 502)]
#[case::unsure_late(Fault::Status(408), 502)]
fn what_may_have_run_once_is_not_attempted_again(#[case] fault: Fault, #[case] expected_status: u16) {
    let mut table = Table::new(3);
    table.begin("once");
    let first = table.last();
    inject(&mut table, first, fault);
    table.pass(TIMEOUT_MS);
    assert_eq!(table.attempts.len(), 1);
    assert_eq!((table.client.status, table.client.whole), (Some(expected_status), true));
}

#[rstest]
#[case::not_found(404, "once")]
#[case::unprocessable(422, "repeat")]
#[case::bad(400, "stream")]
fn a_servers_word_on_the_request_is_forwarded(#[case] status: u16, #[case] kind: &str) {
    let mut table = Table::new(2);
    table.begin(kind);
    table.answer(table.last(), head(status, &[("Not-Executed", "1")]), "why");
    assert_eq!((table.client.status, table.client.body.as_str()), (Some(status), "why"));
    assert_eq!(table.attempts.len(), 1);
}

#[rstest]
#[case::errors("repeat", Fault::Status(500), 500)]
#[case::breaks("repeat", Fault::Failure(Failure::Broken), 502)]
#[case::promises_without_ground("repeat", Fault::Status(503), 502)]
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
    let mut table = Table::new(servers);
    table.begin(kind);
    for number in 1..=MAX_ATTEMPTS {
        assert_eq!(table.attempts.len() as u32, number);
        assert_eq!(table.client.status, None);
        let attempt = table.last();
        inject(&mut table, attempt, fault);
        if number < MAX_ATTEMPTS && table.attempts.len() as u32 == number {
            table.pass(50);
        }
    }
    assert_eq!(table.client.status, Some(expected_status));
    table.pass(TIMEOUT_MS);
    assert_eq!(table.attempts.len() as u32, MAX_ATTEMPTS);
}

/// No server is given more time than the client has left, whichever attempt it is and whatever the cause.
#[rstest]
#[case::rejected("once", Fault::Rejected(503))]
#[case::broken("repeat", Fault::Failure(Failure::Broken))]
#[case::unreachable("once", Fault::Failure(Failure::Connect))]
#[case::closed_while_idle("repeat", Fault::Failure(Failure::Stale))]
#[case::resumed("resume", Fault::Failure(Failure::Broken))]
fn a_further_attempt_is_given_what_is_left(#[case] kind: &str, #[case] fault: Fault) {
    let mut table = Table::new(4);
    let began_at = table.now;
    table.begin(kind);
    for attempts in 1..=3 {
        let attempt = table.last();
        assert_eq!(table.attempts.len(), attempts);
        assert!(table.now + attempt.deadline_ms <= began_at + 1_500, "{attempt:?}");
        table.pass(150);
        inject(&mut table, attempt, fault);
    }
}

#[test]
fn connections_that_fail_are_no_attempts_and_are_retried_with_a_pause() {
    let mut table = Table::new(2);
    table.begin("once");
    for _ in 0..10 {
        let attempt = table.last();
        table.fail(attempt, Failure::Connect);
        if table.attempts.last() == Some(&attempt) {
            assert!(table.requests.next_wakeup() > table.now);
            table.pass(20);
        }
    }
    assert_eq!(table.client.status, None);
    table.answer(table.last(), success(), "bytes");
    assert_eq!(table.client.status, Some(200));
}

#[test]
fn a_reused_connection_that_had_ended_is_no_fault_of_the_server() {
    let mut table = Table::new(3);
    table.begin("repeat");
    let first = table.last();
    table.fail(first, Failure::Stale);
    assert_eq!(table.last().server, first.server);
    let others: Vec<_> = (1..=3).map(ServerKey).filter(|key| *key != first.server).collect();
    others.iter().for_each(|key| table.servers.balancer.begin_exchange(*key));
    let choice = table.servers.balancer.pick(SERVICE, ZONE, &[], table.now, &mut Pcg64Mcg::new(1));
    assert_eq!(choice, Some(first.server), "it isn't paused");
    table.fail(table.last(), Failure::Stale);
    assert_eq!(table.attempts.len(), 3);
    assert_ne!(table.last().server, first.server);
}

#[test]
fn without_servers_the_client_is_told_at_once() {
    let mut table = Table::new(0);
    table.begin("once");
    assert_eq!((table.client.status, table.client.own), (Some(503), true));
}

#[test]
fn a_server_that_has_left_is_not_retried() {
    let mut table = Table::new(1);
    table.begin("once");
    table.answer(table.last(), rejection(503), "");
    table.servers.list(Vec::new());
    table.pass(50);
    assert_eq!((table.client.status, table.attempts.len()), (Some(503), 1));
}

#[rstest]
#[case::stated("Deadline-Ms: 300\r\n", 300)]
#[case::by_the_route("Deadline-Ms: 60000\r\n", TIMEOUT_MS)]
#[case::not_stated("", TIMEOUT_MS)]
fn at_the_deadline_nothing_is_promised_of_what_was_sent(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] lines: &str,
    #[case] allowed: u64,
) {
    let mut table = Table::new(1);
    table.begin_with(kind, lines);
    let attempt = table.last();
    table.pass(allowed - 30);
    assert_eq!(table.client.status, None);
    assert!(table.requests.next_wakeup() < table.now + 30);
    table.pass(29);
    assert_eq!((table.client.status, table.client.own), (Some(504), true));
    assert_eq!(table.cancelled, [attempt.id]);
}

#[test]
fn at_the_deadline_what_was_rejected_is_promised_not_to_run() {
    let mut table = Table::new(1);
    table.begin_with("once", "Deadline-Ms: 25\r\n");
    table.answer(table.last(), rejection(503), "");
    table.pass(13);
    assert_eq!(table.client.status, Some(503));
    assert_eq!(table.attempts.len(), 1);
}

#[test]
fn a_client_that_has_disconnected_is_forgotten() {
    let mut table = Table::new(2);
    let id = table.begin("repeat");
    let attempt = table.last();
    table.leave(id);
    assert_eq!((table.cancelled.as_slice(), table.requests.pending()), (&[attempt.id][..], 0));
    table.answer(attempt, success(), "bytes");
    assert_eq!(table.client.status, None);
}

#[test]
fn a_client_that_has_disconnected_ends_both_attempts_of_its_request() {
    let mut table = Table::new(2);
    warm(&mut table);
    let id = table.begin("repeat");
    table.pass(50);
    let attempts: Vec<_> = table.attempts.iter().map(|attempt| attempt.id).collect();
    assert_eq!(attempts.len(), 2);
    table.leave(id);
    table.cancelled.sort_unstable();
    assert_eq!((table.cancelled.as_slice(), table.requests.pending()), (attempts.as_slice(), 0));
    table.pass(5_000);
    assert_eq!(table.attempts.len(), 2, "nothing is sent any more");
}

/// Requests that allow hedges by their number.
fn warm(table: &mut Table) {
    for _ in 0..30 {
        table.begin("repeat");
        let attempt = table.last();
        table.now += 30;
        table.answer(attempt, success(), "");
        table.client = Client::default();
    }
    table.attempts.clear();
}

#[rstest]
#[case::first_wins(0)]
#[case::hedge_wins(1)]
fn a_late_request_is_hedged_and_the_loser_cancelled(#[case] winner: usize) {
    let mut table = Table::new(2);
    warm(&mut table);
    table.begin("repeat");
    table.pass(19);
    assert_eq!(table.attempts.len(), 1);
    table.pass(20);
    assert_eq!(table.attempts.len(), 2);
    let attempts = table.attempts.clone();
    assert_ne!(attempts[0].server, attempts[1].server);
    table.answer(attempts[winner], success(), "bytes");
    assert_eq!(table.client.body, "bytes");
    assert_eq!(table.cancelled, [attempts[1 - winner].id]);
    table.answer(attempts[1 - winner], success(), "other");
    assert_eq!(table.client.body, "bytes");
}

#[rstest]
#[case::error(Fault::Status(500))]
#[case::broken(Fault::Failure(Failure::Broken))]
#[case::rejected(Fault::Rejected(503))]
fn of_two_attempts_one_may_fail(#[case] fault: Fault, #[values(0, 1)] loser: usize) {
    let mut table = Table::new(2);
    warm(&mut table);
    table.begin("repeat");
    table.pass(50);
    let attempts = table.attempts.clone();
    inject(&mut table, attempts[loser], fault);
    assert_eq!((table.client.status, table.attempts.len()), (None, 2));
    table.answer(attempts[1 - loser], success(), "bytes");
    assert_eq!(table.client.body, "bytes");
}

#[rstest]
#[case::once("once")]
#[case::stream("stream")]
#[case::resumable("resume")]
fn only_what_is_cheap_to_repeat_is_hedged(#[case] kind: &str) {
    let mut table = Table::new(3);
    warm(&mut table);
    table.begin(kind);
    table.pass(1_000);
    assert_eq!(table.attempts.len(), 1);
}

/// Target latency of the routes, in milliseconds.
const TARGET_MS: u64 = 400;

/// A gateway that takes few requests: a share of them would be no hedge at all.
#[test]
fn a_few_hedges_are_allowed_however_few_requests_there_are() {
    let mut table = Table::new(6);
    let mut copied = Vec::new();
    for _ in 0..5 {
        table.attempts.clear();
        let id = table.begin("repeat");
        table.pass(TARGET_MS / 2 - 1);
        assert_eq!(table.attempts.len(), 1);
        table.pass(1);
        copied.push(table.attempts.len() - 1);
        table.leave(id);
    }
    assert_eq!(copied, [1, 1, 1, 0, 0]);
    table.now += orchidvalve_scheduler::BUDGET_WINDOW_MS;
    table.attempts.clear();
    table.begin("repeat");
    table.pass(TARGET_MS / 2);
    assert_eq!(table.attempts.len(), 2);
}

#[test]
fn hedges_stay_within_their_budget() {
    let mut table = Table::new(3);
    warm(&mut table);
    let mut copies = 0;
    for _ in 0..30 {
        table.attempts.clear();
        let id = table.begin("repeat");
        table.pass(50);
        copies += table.attempts.len() - 1;
        table.leave(id);
    }
    assert!((1..=6).contains(&copies), "{copies}");
}

#[rstest]
#[case::idempotent("repeat", Some(504))]
#[case::once("once", Some(504))]
#[case::resumable("resume", Some(504))]
fn a_process_that_ends_gives_pending_requests_a_final_response(
    #[case] kind: &str,
    #[case] expected_status: Option<u16>,
) {
    let mut table = Table::new(2);
    table.begin(kind);
    let attempt = table.last();
    table.end_all();
    assert_eq!((table.client.status, table.client.own, table.client.whole), (expected_status, true, true));
    assert_eq!((table.requests.pending(), table.cancelled.as_slice()), (0, [attempt.id].as_slice()));
}

#[test]
fn a_process_that_ends_forwards_the_failure_that_it_has() {
    let mut table = Table::new(1);
    table.begin("repeat");
    table.answer(table.last(), head(500, &[]), "trouble");
    table.end_all();
    assert_eq!((table.client.status, table.client.own), (Some(500), false));
}

#[test]
fn a_process_that_ends_promises_only_what_surely_has_not_run() {
    let mut table = Table::new(1);
    table.begin("once");
    table.answer(table.last(), rejection(503), "");
    table.end_all();
    assert_eq!((table.client.status, table.client.own), (Some(503), true));
}

#[test]
fn a_process_that_ends_aborts_a_stream_that_has_begun() {
    let mut table = Table::new(1);
    table.begin("stream");
    table.head(table.last(), success());
    table.end_all();
    assert_eq!((table.client.broken, table.client.whole), (true, false));
}

/// The client states 1,500 ms.
#[rstest]
#[case::in_time(1_500, true)]
#[case::too_late(1_400, false)]
fn what_a_process_that_shuts_down_might_not_answer_is_rejected(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] left_ms: u64,
    #[case] taken: bool,
) {
    let mut table = Table::new(2);
    table.requests.reject_beyond(table.now + left_ms);
    table.begin(kind);
    assert_eq!(table.attempts.len(), usize::from(taken));
    let rejected = (Some(503), true, true);
    let client = (table.client.status, table.client.own, table.client.whole);
    assert_eq!(client == rejected, !taken, "{client:?}");
}

#[test]
fn what_a_process_that_shuts_down_took_before_keeps_its_time() {
    let mut table = Table::new(2);
    table.begin("repeat");
    table.requests.reject_beyond(table.now + 1_000);
    table.fail(table.last(), Failure::Broken);
    table.answer(table.last(), success(), BODY);
    assert_eq!((table.client.status, table.attempts.len()), (Some(200), 2));
}

/// The client's time runs from its first byte; it states 1,500 ms, and the route allows 2,000.
#[rstest]
#[case::stated("Deadline-Ms: 1500\r\n", 1_500)]
#[case::by_the_route("", TIMEOUT_MS)]
fn the_time_that_a_request_took_to_arrive_is_gone(
    #[values("repeat", "once", "stream", "resume")] kind: &str,
    #[case] lines: &str,
    #[case] allowed_ms: u64,
) {
    let mut table = Table::new(1);
    table.begin_slowly(kind, lines, 900);
    let left_ms = allowed_ms - 900;
    let given_ms = table.last().deadline_ms;
    assert!((left_ms - 50..=left_ms).contains(&given_ms), "{given_ms}");
    table.pass(left_ms);
    assert_eq!((table.client.status, table.client.own), (Some(504), true));
}

#[rstest]
fn what_arrives_after_its_time_is_sent_to_no_server(#[values("repeat", "once", "resume")] kind: &str) {
    let mut table = Table::new(1);
    table.begin_slowly(kind, "Deadline-Ms: 1500\r\n", 1_500);
    assert_eq!((table.attempts.len(), table.client.status, table.client.own), (0, Some(503), true));
}

/// The transparent retry on a connection that had ended isn't counted, so neither is its failure refunded.
#[rstest]
fn a_transparent_retry_that_reaches_nobody_leaves_no_attempt_over(#[values("repeat", "resume")] kind: &str) {
    let mut table = Table::new(MAX_ATTEMPTS as usize + 2);
    table.begin(kind);
    let first = table.last();
    table.fail(first, Failure::Stale);
    let anew = table.last();
    assert_eq!(anew.server, first.server);
    table.fail(anew, Failure::Connect);
    while table.client.status.is_none() {
        table.fail(table.last(), Failure::Broken);
    }
    let asked: std::collections::BTreeSet<_> = table.attempts.iter().map(|attempt| attempt.server).collect();
    assert_eq!(asked.len(), MAX_ATTEMPTS as usize, "{:?}", table.attempts);
}

#[test]
fn a_request_without_an_attempt_in_flight_waits_for_its_service() {
    let mut table = Table::new(1);
    table.begin("repeat");
    assert_eq!(table.requests.waiting(SERVICE), 0);
    let attempt = table.last();
    table.answer(attempt, rejection(503), "");
    assert_eq!((table.requests.waiting(SERVICE), table.requests.waiting("other")), (1, 0));
    table.pass(100);
    assert_eq!(table.requests.waiting(SERVICE), 0);
}
