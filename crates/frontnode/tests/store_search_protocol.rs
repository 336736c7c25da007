//! Requests to replicas through the search API, and the outcomes of their responses.

use orchidvalve::state::AttemptOutcome;
use orchidvalve_frontnode::store_protocol::search::Search;
use orchidvalve_frontnode::store_protocol::{
    CallRequest, Load, ParsedMessage, ProtocolError, StoreMessage, StoreProtocol,
};

fn sent(payload: &str) -> Search {
    let mut protocol = Search::new("s".to_owned());
    let part =
        CallRequest { query_id: "r1", shard: 3, timeout_ms: 480, idempotency_key: Some("k 1"), payload };
    let mut out = Vec::new();
    assert!(protocol.write_call(&mut out, &[part]));
    let out = String::from_utf8(out).unwrap();
    match payload.contains("create") {
        true => {
            assert!(out.starts_with("PUT /jobs/_create/k%201?timeout=480ms&routing=c%2F7 HTTP/1.1"), "{out}");
        }
        false => {
            assert!(out.starts_with("POST /jobs/_search?preference=_shards:3&timeout=480ms"), "{out}");
        }
    }
    protocol
}

const SEARCH: &str = r#"{"search":{"body":{"size":1},"index":"jobs"}}"#;
const CREATE: &str = r#"{"create":{"document":{"crew":1},"id":"k 1","index":"jobs","routing":"c/7"}}"#;

fn response(status: u16, more: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn outcome(payload: &str, status: u16, body: &str) -> Result<AttemptOutcome, ProtocolError> {
    match sent(payload).next_message(&response(status, "", body))? {
        Some(ParsedMessage { message: StoreMessage::Answer { outcome, .. }, .. }) => Ok(outcome),
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_response_ends_an_attempt_with_its_known_outcome() {
    let body = |failed: u32, late: bool| {
        let shards = format!(r#"{{"total":1,"successful":{},"failed":{failed}}}"#, 1 - failed);
        format!(r#"{{"took":1,"timed_out":{late},"_shards":{shards},"hits":{{"max_score":null,"hits":[]}}}}"#)
    };
    assert_eq!(outcome(SEARCH, 200, &body(0, false)).unwrap(), AttemptOutcome::Answered);
    assert_eq!(outcome(SEARCH, 200, &body(1, false)).unwrap(), AttemptOutcome::Failed);
    assert_eq!(outcome(SEARCH, 200, &body(0, true)).unwrap(), AttemptOutcome::Failed);
    assert!(outcome(SEARCH, 200, "{\"took\":1").unwrap_err().to_string().contains("cannot be read"));
    for (status, end) in [
        (429, AttemptOutcome::Rejected),
        (503, AttemptOutcome::Failed),
        (400, AttemptOutcome::Failed),
        (500, AttemptOutcome::Failed),
    ] {
        assert_eq!(outcome(SEARCH, status, "{}").unwrap(), end);
        assert_eq!(outcome(CREATE, status, "{}").unwrap(), end);
    }
    for status in [201, 409] {
        assert_eq!(outcome(CREATE, status, "{}").unwrap(), AttemptOutcome::Answered);
    }
    assert_eq!(outcome(SEARCH, 409, "{}").unwrap(), AttemptOutcome::Failed);
}

#[test]
fn a_response_to_another_request_or_to_no_request_is_an_error() {
    let mut protocol = sent(SEARCH);
    let other = response(200, "X-Opaque-Id: r2.3\r\n", "{}");
    assert!(protocol.next_message(&other).unwrap_err().to_string().contains("'r2.3'"));
    assert!(protocol.next_message(&response(200, "", "{}")).unwrap_err().to_string().contains("to nothing"));
}

#[test]
fn a_health_check_succeeds_by_its_status_and_its_load_is_read_if_valid() {
    let stats = r#"{"nodes":{"n":{"thread_pool":{"search":{"threads":4,"queue":7,"active":4,"rejected":2,"completed":90}}}}}"#;
    for (status, body, answered, load) in [
        (200, stats, true, Some(Load::Counts { queued: 7, rejected: 2, completed: 90 })),
        (200, "{}", true, None),
        (503, stats, false, Some(Load::Counts { queued: 7, rejected: 2, completed: 90 })),
    ] {
        let (mut protocol, mut out) = (Search::new("s".to_owned()), Vec::new());
        protocol.write_health_check(&mut out);
        let message = protocol.next_message(&response(status, "", body)).unwrap().unwrap().message;
        assert_eq!(message, StoreMessage::Health { answered, load });
    }
}

/// Guards against a replica that counts as healthy by a broken response. The error closes the connection.
#[test]
fn a_broken_response_to_a_health_check_is_an_error() {
    for broken in [
        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\n{}: v\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nNa me: v\r\n\r\n",
    ] {
        let (mut protocol, mut out) = (Search::new("s".to_owned()), Vec::new());
        protocol.write_health_check(&mut out);
        let read = protocol.next_message(broken.as_bytes());
        assert!(matches!(read, Err(ProtocolError::Http(_))), "{}: {read:?}", broken.escape_default());
    }
}
