//! Tests of the encoding of requests to servers, and of the outcomes of their responses for generations and reward
//! calls.

mod requests_support;

use orchidvalve_data_plane::authentication::Authenticated;
use orchidvalve_data_plane::balancer::ServerKey;
use orchidvalve_data_plane::exchanges::{
    Exchanges, Purpose, Stream, closed_stream_outcome, request_bytes, reward_outcome, stream_outcome,
    weight_version,
};
use orchidvalve_data_plane::generations::{AttemptId, AttemptOutcome, RewardCallId, RewardOutcome};
use orchidvalve_data_plane::requests::RequestAttemptId;
use orchidvalve_data_plane::response_class::{is_rejection, promises_no_execution};
use orchidvalve_data_plane::upstream::ExchangeId;
use orchidvalve_http::{EventStreamReader, Headers, MessageLimits, Request, RequestReader, ResponseHead};
use requests_support::{head, rejection, request, success};
use rstest::rstest;

fn sent(text: &str, last_event_id: Option<u64>) -> Request {
    let bytes =
        request_bytes(&request(text), &Authenticated::WithoutTenants, "i-7f3a91c2", 640, last_event_id);
    let limits = MessageLimits { header_bytes: 4_096, body_bytes: 4_096 };
    let read = RequestReader::default().read(&bytes, &limits).unwrap();
    assert_eq!(read.consumed, bytes.len());
    read.request.unwrap()
}

fn all<'a>(headers: &'a Headers, name: &str) -> Vec<&'a str> {
    headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v).collect()
}

#[test]
fn method_target_and_body_are_unchanged() {
    let text = "PATCH /a//b?c=%20d HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: 9c\r\nDeadline-Ms: 800\r\n\
                Expected-Instance: other\r\nX-Any: one\r\nX-Any: two\r\nContent-Length: 3\r\n\r\na\0b";
    let attempt = sent(text, None);
    assert_eq!((attempt.method.as_str(), attempt.target.as_str()), ("PATCH", "/a//b?c=%20d"));
    assert_eq!(attempt.body, b"a\0b");
    assert_eq!(all(&attempt.headers, "host"), ["ficu95.example"]);
    assert_eq!(all(&attempt.headers, "attempt-id"), ["9c"]);
    assert_eq!(all(&attempt.headers, "x-any"), ["one", "two"]);
    assert_eq!(all(&attempt.headers, "deadline-ms"), ["640"]);
    assert_eq!(all(&attempt.headers, "expected-instance"), ["i-7f3a91c2"]);
}

/// The headers that tell a server the model, the size and the shared prefixes of a prompt are those of the client.
#[test]
fn prompt_headers_are_unchanged() {
    let lines = "Model: daka510000\r\nToken-Usage: 540,400\r\nPrompt-Prefix: 9c2e41:300,5d07b8:240\r\n";
    let attempt = sent(&format!("POST /a/1 HTTP/1.1\r\nHost: h\r\n{lines}Content-Length: 0\r\n\r\n"), None);
    let described = |headers: &Headers| {
        ["model", "token-usage", "prompt-prefix"].map(|name| all(headers, name).join("|"))
    };
    assert_eq!(described(&attempt.headers), ["daka510000", "540,400", "9c2e41:300,5d07b8:240"]);
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let text = "POST / HTTP/1.1\r\nHost: h\r\nConnection: X-One, keep-alive\r\nConnection: x-two\r\nX-One: 1\r\n\
                X-Two: 2\r\nX-Three: 3\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nTransfer-Encoding: chunked\r\n\r\n\
                1\r\na\r\n0\r\n\r\n";
    let attempt = sent(text, None);
    for removed in ["connection", "x-one", "x-two", "keep-alive", "te", "transfer-encoding"] {
        assert_eq!(attempt.headers.get(removed), None, "{removed}");
    }
    assert_eq!(
        (attempt.headers.get("x-three"), attempt.headers.get("content-length")),
        (Some("3"), Some("1"))
    );
    assert_eq!(attempt.body, b"a");
}

#[rstest]
#[case::not_resumed(None, "4")]
#[case::resumed(Some(7), "7")]
fn last_event_id_is_replaced_when_resuming(#[case] last_event_id: Option<u64>, #[case] expected: &str) {
    let attempt = sent("POST / HTTP/1.1\r\nHost: h\r\nLast-Event-Id: 4\r\n\r\n", last_event_id);
    assert_eq!(all(&attempt.headers, "last-event-id"), [expected]);
}

#[rstest]
#[case::get("GET", None)]
#[case::delete("DELETE", None)]
#[case::post("POST", Some("0"))]
#[case::put("PUT", Some("0"))]
fn empty_bodies_get_a_length_if_the_method_has_a_body(#[case] method: &str, #[case] length: Option<&str>) {
    let attempt = sent(&format!("{method} / HTTP/1.1\r\nHost: h\r\n\r\n"), None);
    assert_eq!(attempt.headers.get("content-length"), length);
}

#[rstest]
#[case::full(rejection(503), true)]
#[case::too_many(rejection(429), true)]
#[case::late(rejection(408), true)]
#[case::other_instance(rejection(421), true)]
#[case::bad_request(head(400, &[("Not-Executed", "1")]), false)]
#[case::unsure(head(503, &[]), false)]
#[case::success(success(), false)]
#[case::error(head(500, &[]), false)]
fn rejections_are_distinguished_from_failures(#[case] head: ResponseHead, #[case] expected: bool) {
    assert_eq!(is_rejection(&head), expected);
    assert!(!expected || promises_no_execution(head.status));
}

fn stream(head: Option<ResponseHead>, text: &str) -> Stream {
    let mut events = EventStreamReader::default();
    events.read(text.as_bytes(), |_, _| {});
    Stream { attempt: AttemptId(1), head, events }
}

#[rstest]
#[case::complete(Some(success()), "id: 1\ndata: a\n\n", AttemptOutcome::Complete)]
#[case::within_an_event(Some(success()), "id: 1\ndata: a\n", AttemptOutcome::Broken)]
#[case::no_head(None, "", AttemptOutcome::Broken)]
#[case::unsigned(Some(head(200, &[])), "id: 1\ndata: a\n\n", AttemptOutcome::Broken)]
#[case::rejected(
    Some(head(503, &[("Not-Executed", "1"), ("Retry-After", "0.25"), ("Weight-Versions", "6,7")])),
    "",
    AttemptOutcome::Status { code: 503, not_executed: true, retry_after_ms: Some(250), version: Some(7) }
)]
#[case::error(
    Some(head(500, &[("Retry-After", "soon")])),
    "",
    AttemptOutcome::Status { code: 500, not_executed: false, retry_after_ms: None, version: None }
)]
fn framed_stream_outcomes_follow_head_and_events(
    #[case] head: Option<ResponseHead>,
    #[case] text: &str,
    #[case] expected: AttemptOutcome,
) {
    assert_eq!(stream_outcome(&stream(head, text)), expected);
}

#[rstest]
#[case::between_two_events(success(), "id: 1\ndata: a\n\n", AttemptOutcome::Closed)]
#[case::within_an_event(success(), "id: 1\ndata: a\n", AttemptOutcome::Broken)]
#[case::unsigned(head(200, &[]), "id: 1\ndata: a\n\n", AttemptOutcome::Broken)]
#[case::error(
    head(500, &[]),
    "",
    AttemptOutcome::Status { code: 500, not_executed: false, retry_after_ms: None, version: None }
)]
fn unframed_stream_outcomes_follow_head_and_events(
    #[case] head: ResponseHead,
    #[case] text: &str,
    #[case] expected: AttemptOutcome,
) {
    assert_eq!(closed_stream_outcome(&stream(Some(head), text)), expected);
}

#[test]
fn reward_outcomes_carry_the_signature() {
    let expected = RewardOutcome::Response {
        code: 200,
        signature: Some(requests_support::SIGNATURE.into()),
        retry_after_ms: None,
    };
    assert_eq!(reward_outcome(Some(&success())), expected);
    assert_eq!(reward_outcome(None), RewardOutcome::Broken);
}

#[rstest]
#[case::one("7", Some(7))]
#[case::several("6, 7", Some(7))]
#[case::none("", None)]
fn versions_of_weights_are_read(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(weight_version(&head(200, &[("Weight-Versions", text)])), expected);
}

#[test]
fn exchanges_are_found_by_their_purpose_until_they_end() {
    let mut exchanges = Exchanges::default();
    exchanges.insert(ExchangeId(1), ServerKey(10), Purpose::Request(RequestAttemptId(5)));
    exchanges.insert(ExchangeId(2), ServerKey(11), Purpose::Generation(stream(None, "")));
    exchanges.insert(ExchangeId(3), ServerKey(12), Purpose::Reward { call: RewardCallId(5), head: None });
    assert_eq!(exchanges.of_request(RequestAttemptId(5)), Some(ExchangeId(1)));
    assert_eq!(exchanges.of_generation(AttemptId(1)), Some(ExchangeId(2)));
    assert_eq!(exchanges.of_reward(RewardCallId(5)), Some(ExchangeId(3)));
    assert_eq!(exchanges.remove(ExchangeId(1)).map(|e| e.server), Some(ServerKey(10)));
    assert_eq!(exchanges.remove(ExchangeId(2)).map(|e| e.server), Some(ServerKey(11)));
    assert_eq!(exchanges.remove(ExchangeId(3)).map(|e| e.server), Some(ServerKey(12)));
    assert_eq!(
        (
            exchanges.of_request(RequestAttemptId(5)),
            exchanges.of_generation(AttemptId(1)),
            exchanges.of_reward(RewardCallId(5))
        ),
        (None, None, None)
    );
    assert!(exchanges.remove(ExchangeId(1)).is_none());
}
