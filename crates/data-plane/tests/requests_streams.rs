//! Streamed responses: forwarded as they come, aborted where they can't be completed, resumed at another server where
//! the route allows it.

mod requests_support;

use orchidvalve_data_plane::upstream::Failure;
use orchidvalve_http::ResponseHead;
use requests_support::*;
use rstest::rstest;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn other_success() -> ResponseHead {
    head(200, &[("Server-Signature", "other")])
}

#[test]
fn chunks_are_forwarded_as_they_come() {
    let mut table = Table::new(2);
    table.begin("stream");
    let attempt = table.last();
    table.head(attempt, success());
    assert_eq!((table.client.status, table.client.whole), (Some(200), false));
    table.body(attempt, "id: 1\nda");
    assert_eq!(table.client.body, "id: 1\nda");
    table.body(attempt, "ta: e1\n\n");
    table.complete(attempt);
    assert_eq!(table.client.body, event(1));
    assert!(table.client.whole);
}

#[rstest]
#[case::broken(Failure::Broken)]
#[case::stale(Failure::Stale)]
fn a_broken_stream_never_looks_complete(#[case] failure: Failure, #[values(0, 1, 2)] events_passed: u64) {
    let mut table = Table::new(3);
    table.begin("stream");
    let attempt = table.last();
    table.head(attempt, success());
    table.body(attempt, &events(1..=events_passed));
    table.fail(attempt, failure);
    assert_eq!((table.client.broken, table.client.whole, table.attempts.len()), (true, false, 1));
}

#[rstest]
#[case::once("stream", 1, Some(502))]
#[case::resumable("resume", 2, None)]
fn a_stream_without_a_signature_is_not_forwarded(
    #[case] kind: &str,
    #[case] attempts: usize,
    #[case] expected_status: Option<u16>,
) {
    let mut table = Table::new(2);
    table.begin(kind);
    table.answer(table.last(), head(200, &[]), &events(1..=2));
    assert_eq!((table.client.status, table.attempts.len()), (expected_status, attempts));
    assert_eq!(table.client.body, "");
}

#[test]
fn at_the_deadline_a_stream_is_aborted() {
    let mut table = Table::new(3);
    table.begin("resume");
    let attempt = table.last();
    table.head(attempt, success());
    table.body(attempt, &events(1..=2));
    table.pass(1_499);
    assert_eq!((table.client.broken, table.client.whole), (true, false));
    assert_eq!(table.cancelled, [attempt.id]);
}

#[rstest]
#[case::complete_events("", 2)]
#[case::part_of_an_event("id: 3\ndata: e", 2)]
#[case::event_without_its_end("id: 3\ndata: e3\n", 2)]
#[case::first_event_only("", 1)]
fn a_broken_stream_is_resumed_after_the_last_complete_event(#[case] rest: &str, #[case] whole: u64) {
    let mut table = Table::new(2);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, &events(1..=whole));
    table.body(first, rest);
    assert_eq!(table.client.body, events(1..=whole));
    table.fail(first, Failure::Broken);
    let second = table.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, Some(whole));
    table.head(second, other_success());
    table.body(second, &events(whole + 1..=5));
    assert!(!table.client.whole);
    table.complete(second);
    assert_eq!(table.client.body, events(1..=5));
    assert_eq!((table.client.signature.as_str(), table.client.whole), (SIGNATURE, true));
}

#[test]
fn a_stream_cut_anywhere_comes_out_complete() {
    let text = format!("weight-versions: 4\r\n{}{}", events(1..=3), "id: 4\ndata: a\ndata: b\n\n");
    for cut in 0..=text.len() {
        let mut table = Table::new(2);
        table.begin("resume");
        let first = table.last();
        table.head(first, success());
        for byte in 0..cut {
            table.body(first, &text[byte..byte + 1]);
        }
        table.fail(first, Failure::Broken);
        let second = table.last();
        table.head(second, other_success());
        let passed = table.client.body.len();
        table.body(second, &text[passed..]);
        table.complete(second);
        assert_eq!(table.client.body, text, "{cut}");
        assert!(table.client.whole);
        let begun = passed > 0;
        assert_eq!(table.client.signature == SIGNATURE, begun, "{cut}");
        assert_eq!(second.last_event_id.is_some(), begun, "{cut}");
    }
}

/// The server of a stream without framing may have died between two events.
#[test]
fn a_stream_that_ends_without_framing_is_complete_once_nothing_follows() {
    let mut table = Table::new(3);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, &events(1..=2));
    table.close(first);
    assert!(!table.client.whole, "more may follow");
    let second = table.last();
    assert_eq!(second.last_event_id, Some(2));
    table.head(second, other_success());
    table.close(second);
    assert_eq!(table.client.body, events(1..=2));
    assert_eq!((table.client.signature.as_str(), table.client.whole), (SIGNATURE, true));
}

/// With its last attempt the end of the connection has to do, as for any response without a length.
#[test]
fn a_stream_without_framing_is_complete_after_the_last_attempt() {
    let mut table = Table::new(3);
    table.begin("resume");
    while !table.client.whole {
        let attempt = table.last();
        table.head(attempt, success());
        let next = attempt.last_event_id.map_or(1, |id| id + 1);
        table.body(attempt, &events(next..=next));
        table.close(attempt);
    }
    assert_eq!(table.client.body, events(1..=table.attempts.len() as u64));
    assert!(!table.client.broken);
}

#[rstest]
#[case::not_resumable("stream")]
#[case::repeatable("repeat")]
fn any_other_response_without_a_length_ends_with_its_connection(#[case] kind: &str) {
    let mut table = Table::new(3);
    table.begin(kind);
    let attempt = table.last();
    table.head(attempt, success());
    table.body(attempt, &events(1..=2));
    table.close(attempt);
    assert_eq!((table.client.status, table.client.whole), (Some(200), true));
}

#[test]
fn a_stream_that_ends_within_an_event_is_resumed() {
    let mut table = Table::new(2);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, "id: 1\ndata: e1\n\nid: 2\ndata:");
    table.complete(first);
    assert!(!table.client.whole);
    assert_eq!(table.last().last_event_id, Some(1));
}

#[test]
fn an_event_without_an_id_does_not_change_where_a_stream_goes_on() {
    let mut table = Table::new(2);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, "id: 1\ndata: e1\n\ndata: note\n\n");
    table.fail(first, Failure::Broken);
    assert_eq!(table.last().last_event_id, Some(1));
    assert_eq!(table.client.body, "id: 1\ndata: e1\n\ndata: note\n\n");
}

#[rstest]
#[case::repeats(&[2])]
#[case::skips(&[4])]
#[case::skips_later(&[3, 5])]
#[case::from_the_start(&[1])]
fn an_attempt_that_does_not_go_on_where_it_was_asked_is_dropped(#[case] ids: &[u64]) {
    let mut table = Table::new(3);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, &events(1..=2));
    table.fail(first, Failure::Broken);
    let second = table.last();
    table.head(second, other_success());
    ids.iter().for_each(|id| table.body(second, &event(*id)));
    assert_eq!(table.cancelled, [second.id]);
    table.body(second, &event(6));
    table.complete(second);
    let third = table.last();
    let next = third.last_event_id.unwrap() + 1;
    table.head(third, other_success());
    table.body(third, &events(next..=6));
    table.complete(third);
    assert_eq!(table.client.body, events(1..=6));
    assert!(table.client.whole);
}

#[test]
fn a_client_that_goes_on_itself_gets_what_follows() {
    let mut table = Table::new(2);
    table.begin_with("resume", "Last-Event-Id: 4\r\n");
    let first = table.last();
    assert_eq!(first.last_event_id, None);
    table.head(first, success());
    table.fail(first, Failure::Broken);
    assert_eq!(table.last().last_event_id, None);
    let second = table.last();
    table.head(second, other_success());
    table.body(second, &events(5..=6));
    table.fail(second, Failure::Broken);
    assert_eq!(table.last().last_event_id, Some(6));
    assert_eq!(table.client.body, events(5..=6));
}

#[rstest]
#[case::rejected(rejection(503))]
#[case::other_instance(rejection(421))]
#[case::error(head(500, &[]))]
fn taking_up_may_need_several_servers(#[case] answer: ResponseHead) {
    let mut table = Table::new(3);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, &events(1..=2));
    table.fail(first, Failure::Broken);
    table.answer(table.last(), answer, "trouble");
    let third = table.last();
    assert_eq!((table.attempts.len(), third.last_event_id), (3, Some(2)));
    table.head(third, other_success());
    table.body(third, &events(3..=3));
    table.complete(third);
    assert_eq!(table.client.body, events(1..=3));
    assert!(table.client.whole);
}

#[rstest]
#[case::no_attempts_left(head(500, &[]), 3)]
#[case::can_never_be_done(head(422, &[]), 2)]
fn a_stream_that_no_server_resumes_is_aborted(#[case] answer: ResponseHead, #[case] attempts: usize) {
    let mut table = Table::new(5);
    table.begin("resume");
    let first = table.last();
    table.head(first, success());
    table.body(first, &events(1..=2));
    table.fail(first, Failure::Broken);
    for _ in 1..attempts {
        assert!(!table.client.broken);
        table.answer(table.last(), answer.clone(), "trouble");
    }
    assert_eq!((table.client.broken, table.client.whole, table.attempts.len()), (true, false, attempts));
    assert_eq!(table.client.body, events(1..=2));
}

#[test]
fn a_rejected_stream_that_may_not_repeat_is_promised_not_to_run() {
    let mut table = Table::new(1);
    table.begin("stream");
    for _ in 0..MAX_ATTEMPTS {
        let attempt = table.last();
        table.answer(attempt, rejection(503), "");
        table.pass(50);
    }
    assert_eq!((table.client.status, table.client.own), (Some(503), true));
}

/// The head of a stream of events, as its server sends it.
fn event_stream() -> ResponseHead {
    head(200, &[("Content-Type", "text/event-stream"), ("Server-Signature", SIGNATURE)])
}

#[rstest]
#[case::field("id: 3\ndata: e", false)]
#[case::line("id: 3\ndata: e3\n", false)]
#[case::line_with_return("id: 3\r\ndata: e3\r\n", false)]
#[case::first_byte("i", false)]
#[case::complete_event("id: 3\ndata: e3\n\n", true)]
#[case::complete_event_with_returns("id: 3\r\ndata: e3\r\n\r\n", true)]
#[case::more_empty_lines("\n\r\n", true)]
#[case::nothing("", true)]
fn a_stream_that_ends_in_an_event_never_looks_complete(
    #[values("stream", "resume")] kind: &str,
    #[case] rest: &str,
    #[case] whole: bool,
) {
    for split in 0..=rest.len() {
        let mut table = Table::new(1);
        table.begin(kind);
        let attempt = table.last();
        table.head(attempt, event_stream());
        table.body(attempt, &events(1..=2));
        table.body(attempt, &rest[..split]);
        table.body(attempt, &rest[split..]);
        // A server without a length that dies ends its connection as one that is done does.
        table.complete(attempt);
        assert_eq!(table.client.whole, whole, "{split}");
        assert_eq!(table.client.status, Some(200));
    }
}

#[test]
fn what_is_no_stream_of_events_is_complete_by_its_framing() {
    let mut table = Table::new(1);
    table.begin("stream");
    table.answer(table.last(), success(), "bytes");
    assert_eq!((table.client.body.as_str(), table.client.whole), ("bytes", true));
}
