//! Tests of streamed responses: forwarded as they arrive, aborted if they cannot be completed, and resumed at another
//! server if the route allows it.

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
fn chunks_are_forwarded_as_they_arrive() {
    let mut harness = Harness::new(2);
    harness.begin("stream");
    let attempt = harness.last();
    harness.head(attempt, success());
    assert_eq!((harness.client.status, harness.client.complete), (Some(200), false));
    harness.body(attempt, "id: 1\nda");
    assert_eq!(harness.client.body, "id: 1\nda");
    harness.body(attempt, "ta: e1\n\n");
    harness.complete(attempt);
    assert_eq!(harness.client.body, event(1));
    assert!(harness.client.complete);
}

#[rstest]
#[case::broken(Failure::Broken)]
#[case::stale(Failure::Stale)]
fn a_broken_stream_never_looks_complete(#[case] failure: Failure, #[values(0, 1, 2)] events_passed: u64) {
    let mut harness = Harness::new(3);
    harness.begin("stream");
    let attempt = harness.last();
    harness.head(attempt, success());
    harness.body(attempt, &events(1..=events_passed));
    harness.fail(attempt, failure);
    assert_eq!((harness.client.aborted, harness.client.complete, harness.attempts.len()), (true, false, 1));
}

#[rstest]
#[case::once("stream", 1, Some(502))]
#[case::resumable("resume", 2, None)]
fn a_stream_without_a_signature_is_not_forwarded(
    #[case] kind: &str,
    #[case] attempts: usize,
    #[case] expected_status: Option<u16>,
) {
    let mut harness = Harness::new(2);
    harness.begin(kind);
    harness.respond(harness.last(), head(200, &[]), &events(1..=2));
    assert_eq!((harness.client.status, harness.attempts.len()), (expected_status, attempts));
    assert_eq!(harness.client.body, "");
}

#[test]
fn at_the_deadline_a_stream_is_aborted() {
    let mut harness = Harness::new(3);
    harness.begin("resume");
    let attempt = harness.last();
    harness.head(attempt, success());
    harness.body(attempt, &events(1..=2));
    harness.advance(1_499);
    assert_eq!((harness.client.aborted, harness.client.complete), (true, false));
    assert_eq!(harness.cancelled, [attempt.id]);
}

#[rstest]
#[case::complete_events("", 2)]
#[case::part_of_an_event("id: 3\ndata: e", 2)]
#[case::event_without_its_end("id: 3\ndata: e3\n", 2)]
#[case::first_event_only("", 1)]
fn a_broken_stream_is_resumed_after_the_last_complete_event(
    #[case] rest: &str,
    #[case] complete_events: u64,
) {
    let mut harness = Harness::new(2);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, &events(1..=complete_events));
    harness.body(first, rest);
    assert_eq!(harness.client.body, events(1..=complete_events));
    harness.fail(first, Failure::Broken);
    let second = harness.last();
    assert_ne!(second.server, first.server);
    assert_eq!(second.last_event_id, Some(complete_events));
    harness.head(second, other_success());
    harness.body(second, &events(complete_events + 1..=5));
    assert!(!harness.client.complete);
    harness.complete(second);
    assert_eq!(harness.client.body, events(1..=5));
    assert_eq!((harness.client.signature.as_str(), harness.client.complete), (SIGNATURE, true));
}

#[test]
fn a_stream_broken_at_any_byte_is_completed_by_another_server() {
    let text = format!("weight-versions: 4\r\n{}{}", events(1..=3), "id: 4\ndata: a\ndata: b\n\n");
    for broken_at in 0..=text.len() {
        let mut harness = Harness::new(2);
        harness.begin("resume");
        let first = harness.last();
        harness.head(first, success());
        for byte in 0..broken_at {
            harness.body(first, &text[byte..byte + 1]);
        }
        harness.fail(first, Failure::Broken);
        let second = harness.last();
        harness.head(second, other_success());
        let passed = harness.client.body.len();
        harness.body(second, &text[passed..]);
        harness.complete(second);
        assert_eq!(harness.client.body, text, "{broken_at}");
        assert!(harness.client.complete);
        let started = passed > 0;
        assert_eq!(harness.client.signature == SIGNATURE, started, "{broken_at}");
        assert_eq!(second.last_event_id.is_some(), started, "{broken_at}");
    }
}

/// The server of a stream without framing may have died between two events.
#[test]
fn an_unframed_stream_is_complete_once_a_retry_adds_nothing() {
    let mut harness = Harness::new(3);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, &events(1..=2));
    harness.close(first);
    assert!(!harness.client.complete, "more may follow");
    let second = harness.last();
    assert_eq!(second.last_event_id, Some(2));
    harness.head(second, other_success());
    harness.close(second);
    assert_eq!(harness.client.body, events(1..=2));
    assert_eq!((harness.client.signature.as_str(), harness.client.complete), (SIGNATURE, true));
}

/// After the last attempt, the end of the connection is taken as the end of the response, as for any response without a
/// length.
#[test]
fn an_unframed_stream_is_complete_after_the_last_attempt() {
    let mut harness = Harness::new(3);
    harness.begin("resume");
    while !harness.client.complete {
        let attempt = harness.last();
        harness.head(attempt, success());
        let next = attempt.last_event_id.map_or(1, |id| id + 1);
        harness.body(attempt, &events(next..=next));
        harness.close(attempt);
    }
    assert_eq!(harness.client.body, events(1..=harness.attempts.len() as u64));
    assert!(!harness.client.aborted);
}

#[rstest]
#[case::not_resumable("stream")]
#[case::repeatable("repeat")]
fn other_unframed_responses_end_with_the_connection(#[case] kind: &str) {
    let mut harness = Harness::new(3);
    harness.begin(kind);
    let attempt = harness.last();
    harness.head(attempt, success());
    harness.body(attempt, &events(1..=2));
    harness.close(attempt);
    assert_eq!((harness.client.status, harness.client.complete), (Some(200), true));
}

#[test]
fn a_stream_that_ends_within_an_event_is_resumed() {
    let mut harness = Harness::new(2);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, "id: 1\ndata: e1\n\nid: 2\ndata:");
    harness.complete(first);
    assert!(!harness.client.complete);
    assert_eq!(harness.last().last_event_id, Some(1));
}

#[test]
fn events_without_id_do_not_change_the_resume_position() {
    let mut harness = Harness::new(2);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, "id: 1\ndata: e1\n\ndata: note\n\n");
    harness.fail(first, Failure::Broken);
    assert_eq!(harness.last().last_event_id, Some(1));
    assert_eq!(harness.client.body, "id: 1\ndata: e1\n\ndata: note\n\n");
}

#[rstest]
#[case::repeats(&[2])]
#[case::skips(&[4])]
#[case::skips_later(&[3, 5])]
#[case::from_the_start(&[1])]
fn an_attempt_that_resumes_at_the_wrong_event_is_cancelled(#[case] ids: &[u64]) {
    let mut harness = Harness::new(3);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, &events(1..=2));
    harness.fail(first, Failure::Broken);
    let second = harness.last();
    harness.head(second, other_success());
    ids.iter().for_each(|id| harness.body(second, &event(*id)));
    assert_eq!(harness.cancelled, [second.id]);
    harness.body(second, &event(6));
    harness.complete(second);
    let third = harness.last();
    let next = third.last_event_id.unwrap() + 1;
    harness.head(third, other_success());
    harness.body(third, &events(next..=6));
    harness.complete(third);
    assert_eq!(harness.client.body, events(1..=6));
    assert!(harness.client.complete);
}

#[test]
fn a_clients_own_last_event_id_is_respected() {
    let mut harness = Harness::new(2);
    harness.begin_with("resume", "Last-Event-Id: 4\r\n");
    let first = harness.last();
    assert_eq!(first.last_event_id, None);
    harness.head(first, success());
    harness.fail(first, Failure::Broken);
    assert_eq!(harness.last().last_event_id, None);
    let second = harness.last();
    harness.head(second, other_success());
    harness.body(second, &events(5..=6));
    harness.fail(second, Failure::Broken);
    assert_eq!(harness.last().last_event_id, Some(6));
    assert_eq!(harness.client.body, events(5..=6));
}

#[rstest]
#[case::rejected(rejection(503))]
#[case::other_instance(rejection(421))]
#[case::error(head(500, &[]))]
fn resuming_may_take_several_servers(#[case] response: ResponseHead) {
    let mut harness = Harness::new(3);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, &events(1..=2));
    harness.fail(first, Failure::Broken);
    harness.respond(harness.last(), response, "trouble");
    let third = harness.last();
    assert_eq!((harness.attempts.len(), third.last_event_id), (3, Some(2)));
    harness.head(third, other_success());
    harness.body(third, &events(3..=3));
    harness.complete(third);
    assert_eq!(harness.client.body, events(1..=3));
    assert!(harness.client.complete);
}

#[rstest]
#[case::no_attempts_left(head(500, &[]), 3)]
#[case::can_never_be_done(head(422, &[]), 2)]
fn a_stream_that_no_server_resumes_is_aborted(#[case] response: ResponseHead, #[case] attempts: usize) {
    let mut harness = Harness::new(5);
    harness.begin("resume");
    let first = harness.last();
    harness.head(first, success());
    harness.body(first, &events(1..=2));
    harness.fail(first, Failure::Broken);
    for _ in 1..attempts {
        assert!(!harness.client.aborted);
        harness.respond(harness.last(), response.clone(), "trouble");
    }
    assert_eq!(
        (harness.client.aborted, harness.client.complete, harness.attempts.len()),
        (true, false, attempts)
    );
    assert_eq!(harness.client.body, events(1..=2));
}

#[test]
fn a_rejected_unresumable_stream_is_promised_not_to_run() {
    let mut harness = Harness::new(1);
    harness.begin("stream");
    for _ in 0..MAX_ATTEMPTS {
        let attempt = harness.last();
        harness.respond(attempt, rejection(503), "");
        harness.advance(50);
    }
    assert_eq!((harness.client.status, harness.client.local), (Some(503), true));
}

/// Returns the head of an event stream as its server sends it.
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
fn a_stream_that_ends_within_an_event_never_looks_complete(
    #[values("stream", "resume")] kind: &str,
    #[case] rest: &str,
    #[case] complete: bool,
) {
    for split in 0..=rest.len() {
        let mut harness = Harness::new(1);
        harness.begin(kind);
        let attempt = harness.last();
        harness.head(attempt, event_stream());
        harness.body(attempt, &events(1..=2));
        harness.body(attempt, &rest[..split]);
        harness.body(attempt, &rest[split..]);
        // The connection of a server that dies during a response without a length may end like that of a complete one.
        harness.complete(attempt);
        assert_eq!(harness.client.complete, complete, "{split}");
        assert_eq!(harness.client.status, Some(200));
    }
}

#[test]
fn a_response_that_is_no_event_stream_is_complete_by_its_framing() {
    let mut harness = Harness::new(1);
    harness.begin("stream");
    harness.respond(harness.last(), success(), "bytes");
    assert_eq!((harness.client.body.as_str(), harness.client.complete), ("bytes", true));
}
