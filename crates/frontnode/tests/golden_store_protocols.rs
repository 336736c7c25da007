//! The bytes of calls to replicas and the interpretation of their messages, under both store protocols, compared with a
//! recording.

use std::path::PathBuf;

use orchidvalve::state::AttemptOutcome;
use orchidvalve_frontnode::connection_pool::PoolSettings;
use orchidvalve_frontnode::store_protocol::{
    CallRequest, Load, ParsedMessage, ProtocolKind, StoreMessage, StoreProtocol, StoreProtocolSettings,
};
use orchidvalve_golden::check_samples;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn settings(request_load: bool) -> StoreProtocolSettings {
    let pool = PoolSettings {
        max_connections: 4,
        max_queued: 8,
        queue_timeout: 5,
        close_cost: 1,
        close_budget: 1,
        drain_timeout: 9,
    };
    StoreProtocolSettings { requests_per_call: 4, requests_per_connection: 8, request_load, pool }
}

fn connection(kind: ProtocolKind, request_load: bool) -> Box<dyn StoreProtocol> {
    settings(request_load).new_connection(kind, "127.0.0.1:9001".parse().unwrap())
}

const SEARCH: &str = r#"{"search":{"body":{"query":{"term":{"customer":"c 1"}},"size":1},"index":"jobs"}}"#;
const CREATE: &str = r#"{"create":{"document":{"crew":1},"id":"k 1","index":"jobs","routing":"c/7"}}"#;
const CREATE_UNROUTED: &str = r#"{"create":{"document":{"crew":1},"id":"k1","index":"jobs"}}"#;

fn shard_request<'a>(
    query_id: &'a str,
    shard: usize,
    key: Option<&'a str>,
    payload: &'a str,
) -> CallRequest<'a> {
    CallRequest { query_id, shard, timeout_ms: 480, idempotency_key: key, payload }
}

#[test]
fn calls_to_stores_match_the_recording() {
    let mut samples = Vec::new();
    let mut call = |name: &str, kind: ProtocolKind, shard_requests: &[CallRequest], accepted: bool| {
        let mut out = Vec::new();
        assert_eq!(connection(kind, false).write_call(&mut out, shard_requests), accepted, "{name}");
        samples.push((name.to_owned(), out));
    };
    let one = shard_request("r1", 3, None, "c41e77d0");
    let keyed = shard_request("r-2", 0, Some("k-2"), "two\nlines");
    let empty = shard_request("r3", 11, None, "");
    call("frames-one-part", ProtocolKind::Frames, &[shard_request("r1", 3, None, "c41e77d0")], true);
    call("frames-key", ProtocolKind::Frames, &[shard_request("r-2", 0, Some("k-2"), "two\nlines")], true);
    call("frames-three-parts", ProtocolKind::Frames, &[one, keyed, empty], true);
    call("search-search", ProtocolKind::Search, &[shard_request("r1", 3, None, SEARCH)], true);
    call("search-create", ProtocolKind::Search, &[shard_request("r1", 3, Some("k 1"), CREATE)], true);
    call("search-create-without-key", ProtocolKind::Search, &[shard_request("r1", 3, None, CREATE)], true);
    call(
        "search-create-unrouted",
        ProtocolKind::Search,
        &[shard_request("r1", 3, Some("k1"), CREATE_UNROUTED)],
        true,
    );
    call("search-other-text", ProtocolKind::Search, &[shard_request("r1", 3, None, "c41e77d0")], false);
    call(
        "search-two-parts",
        ProtocolKind::Search,
        &[shard_request("r1", 3, None, SEARCH), shard_request("r1", 4, None, SEARCH)],
        false,
    );
    for (name, kind, request_load) in [
        ("frames-probe", ProtocolKind::Frames, false),
        ("frames-probe-of-load", ProtocolKind::Frames, true),
        ("search-probe", ProtocolKind::Search, true),
    ] {
        let mut out = Vec::new();
        connection(kind, request_load).write_health_check(&mut out);
        samples.push((name.to_owned(), out));
    }
    for (name, kind, is_written) in
        [("frames-cancel", ProtocolKind::Frames, true), ("search-cancel", ProtocolKind::Search, false)]
    {
        let mut out = Vec::new();
        assert_eq!(connection(kind, false).write_cancel(&mut out, "r1", 3), is_written);
        samples.push((name.to_owned(), out));
    }
    check_samples(&golden("to_stores.txt"), &samples);
}

fn describe_outcome(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "done",
        AttemptOutcome::Rejected => "full",
        AttemptOutcome::Failed => "faulty",
        _ => "other",
    }
}

fn describe_load(load: Option<Load>) -> String {
    match load {
        None => "none".to_owned(),
        Some(Load::Rate { queued, completed_per_second }) => {
            format!("rate {queued} {completed_per_second}")
        }
        Some(Load::Counts { queued, rejected, completed }) => {
            format!("counts {queued} {rejected} {completed}")
        }
    }
}

/// Describes all messages in the bytes.
fn read(connection: &mut dyn StoreProtocol, mut bytes: &[u8]) -> String {
    let mut words = Vec::new();
    loop {
        match connection.next_message(bytes) {
            Ok(None) => {
                words.push(format!("{} left", bytes.len()));
                break;
            }
            Err(fault) => {
                words.push(format!("fault: {fault}"));
                break;
            }
            Ok(Some(ParsedMessage {
                message: StoreMessage::Answer { query_id, shard, outcome, value },
                length,
            })) => {
                words.push(format!(
                    "answer {query_id} {shard} {} '{value}' {length}",
                    describe_outcome(outcome)
                ));
                bytes = &bytes[length..];
            }
            Ok(Some(ParsedMessage { message: StoreMessage::Health { answered, load }, length })) => {
                words.push(format!("probe {answered} {} {length}", describe_load(load)));
                bytes = &bytes[length..];
            }
        }
    }
    words.push(format!("idle {} stays {}", connection.is_idle(), connection.keeps_alive()));
    words.join("; ")
}

fn frame(text: &[u8]) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes()[..], text].concat()
}

#[test]
fn parsed_frames_match_the_recording() {
    let answers = [frame(b"5r1.3 S 7 -\nvalue"), frame(b"5r2.0 B 0 -\n"), frame(b"5r.2.1 E 0 a=b c\nwhy")];
    let samples = [
        ("answers", answers.concat()),
        ("report-unread", frame(b"5r1.3 S 7 \xff what=\nvalue")),
        ("probe-answered", frame(b"3S")),
        ("probe-refused", frame(b"3E")),
        ("probe-load", frame(b"4avg_ms=13.1,rps=76.3,waiting=2")),
        ("probe-load-one-of-two", frame(b"4rps=76.3")),
        ("probe-load-no-number", frame(b"4rps=76.3,waiting=nan")),
        ("probe-load-below-zero", frame(b"4rps=76.3,waiting=-1")),
        ("probe-load-too-large", frame(b"4rps=1000001,waiting=1")),
        ("probe-load-no-text", frame(b"4\xff")),
        ("unusable", frame(b"Xwhat \xff")),
        ("unknown-letter", frame(b"7what")),
        ("empty-frame", frame(b"")),
        ("long-frame", 70_000u32.to_be_bytes().to_vec()),
        ("half-a-frame", frame(b"5r1.3 S 7 -\nvalue")[..9].to_vec()),
        ("half-a-length", vec![0, 0]),
        ("no-line-end", frame(b"5r1.3 S 7 -")),
        ("short-line", frame(b"5r1.3 S\nvalue")),
        ("no-shard", frame(b"5r1 S 7 -\nvalue")),
        ("shard-no-number", frame(b"5r1.x S 7 -\nvalue")),
        ("unknown-ending", frame(b"5r1.3 Q 7 -\nvalue")),
        ("value-no-text", frame(b"5r1.3 S 7 -\n\xff")),
        ("id-no-text", frame(b"5\xff.3 S 7 -\nvalue")),
    ];
    let read = |bytes: &Vec<u8>| read(&mut *connection(ProtocolKind::Frames, true), bytes);
    let samples: Vec<(&str, String)> = samples.iter().map(|(name, bytes)| (*name, read(bytes))).collect();
    check_samples(&golden("frames_of_stores.txt"), &samples);
}

fn response(status: u16, more: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[test]
fn parsed_responses_match_the_recording() {
    let hits = r#"{"max_score":null,"hits":[]}"#;
    let whole = |failed: u32, late: bool| {
        let shards = format!(r#"{{"total":1,"successful":{},"failed":{failed}}}"#, 1 - failed);
        format!(r#"{{"took":1,"timed_out":{late},"_shards":{shards},"hits":{hits}}}"#)
    };
    let stats = |threads: u64| {
        let pool = format!(r#"{{"threads":{threads},"queue":7,"active":9,"rejected":2,"completed":90}}"#);
        format!(r#"{{"nodes":{{"n":{{"thread_pool":{{"search":{pool}}}}}}}}}"#)
    };
    let garbled = "HTTP/1.1 what\r\n\r\n".as_bytes().to_vec();
    let cases = [
        ("search-whole", Some(SEARCH), response(200, "X-Opaque-Id: r1.3\r\n", &whole(0, false))),
        ("search-closes", Some(SEARCH), response(200, "Connection: close\r\n", &whole(0, false))),
        ("search-failed", Some(SEARCH), response(200, "", &whole(1, false))),
        ("search-late", Some(SEARCH), response(200, "", &whole(0, true))),
        ("search-unread", Some(SEARCH), response(200, "", "{}")),
        ("search-full", Some(SEARCH), response(429, "", "{}")),
        ("search-error", Some(SEARCH), response(503, "", "{}")),
        ("search-conflict", Some(SEARCH), response(409, "", "{}")),
        ("search-other-id", Some(SEARCH), response(200, "X-Opaque-Id: r2.3\r\n", &whole(0, false))),
        ("search-garbled", Some(SEARCH), garbled),
        ("search-half", Some(SEARCH), response(200, "", &whole(0, false))[..40].to_vec()),
        ("create-created", Some(CREATE), response(201, "", "{}")),
        ("create-there", Some(CREATE), response(409, "", "{}")),
        ("create-ok", Some(CREATE), response(200, "", "{}")),
        ("create-error", Some(CREATE), response(400, "", "{}")),
        ("create-full", Some(CREATE), response(429, "", "{}")),
        ("probe-load", None, response(200, "", &stats(4))),
        ("probe-load-no-threads", None, response(200, "", &stats(0))),
        ("probe-no-load", None, response(200, "", "{}")),
        ("probe-error", None, response(503, "", &stats(4))),
    ];
    let mut samples = Vec::new();
    for (name, text, bytes) in cases {
        let mut connection = connection(ProtocolKind::Search, false);
        let mut out = Vec::new();
        match text {
            Some(text) => {
                assert!(connection.write_call(&mut out, &[shard_request("r1", 3, Some("k 1"), text)]));
            }
            None => connection.write_health_check(&mut out),
        }
        samples.push((name, read(&mut *connection, &bytes)));
    }
    samples.push((
        "nothing-asked",
        read(&mut *connection(ProtocolKind::Search, false), &response(200, "", "{}")),
    ));
    check_samples(&golden("responses_of_stores.txt"), &samples);
}

#[test]
fn connection_limits_match_the_recording() {
    let settings = settings(true);
    let describe = |kind| {
        let limits = settings.connection_limits(kind);
        format!(
            "{} {} {} {}",
            limits.requests_per_call, limits.requests_per_connection, limits.pooled, limits.max_message_bytes
        )
    };
    assert_eq!(describe(ProtocolKind::Frames), "4 8 false 66564");
    assert_eq!(describe(ProtocolKind::Search), "1 1 true 147456");
}
