//! Stores with the search API whose responses are broken, against a real node process: they count as broken, the query is
//! tried at another replica, and their connections carry no other request. No test sleeps: each waits for expected events.

mod search_node;

use orchidvalve_frontnode::http::{MessageError, parse_response};
use orchidvalve_test_store::{Fault, ReplacedResponse};
use rstest::rstest;
use search_node::*;
use serde_json::json;

/// A complete shard result without hits, which a client must not receive: the stores have documents.
const RESULT: &str = r#"{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}}"#;
const INTERIM_HEAD: &str = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n";

/// The blanks and control bytes, which no field name contains (RFC 9110, section 5.6.2).
fn blanks_and_controls() -> impl Iterator<Item = char> {
    (0..=b' ').chain([0x7f]).map(char::from)
}

/// Returns field lines whose name has a blank, a control byte or a line end as its first byte, within it, or as its last
/// byte.
fn invalid_field_lines() -> impl Iterator<Item = String> {
    blanks_and_controls().flat_map(|byte| {
        [format!("{byte}Name: v\r\n"), format!("Na{byte}me: v\r\n"), format!("Name{byte}: v\r\n")]
    })
}

fn with_length(status: &str, lines: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{lines}\r\n{RESULT}", RESULT.len())
}

fn with_trailers(lines: &str) -> String {
    let length = RESULT.len();
    format!("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{RESULT}\r\n0\r\n{lines}\r\n")
}

fn invalid_statuses() -> Vec<String> {
    ["000", "001", "099", "600", "999"].map(|status| with_length(status, "")).to_vec()
}

fn invalid_heads() -> Vec<String> {
    let heads = invalid_field_lines().map(|line| with_length("200", &line));
    heads.chain(invalid_field_lines().map(|line| format!("{INTERIM_HEAD}{line}\r\n"))).collect()
}

fn invalid_trailers() -> Vec<String> {
    invalid_field_lines().map(|line| with_trailers(&line)).collect()
}

/// Returns a response whose head ends with a bare line feed, before a field whose name is a shard result.
fn result_as_field_name() -> String {
    format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\n{RESULT}: v\r\n\r\n{RESULT}", RESULT.len())
}

#[test]
fn the_responses_are_valid_without_their_invalid_parts() {
    let interim = format!("{INTERIM_HEAD}\r\n");
    for text in
        [with_length("200", ""), with_length("200", "A: b\r\n"), with_trailers(""), with_trailers("A: b\r\n")]
    {
        let response = parse_response(text.as_bytes()).unwrap().unwrap();
        assert_eq!((response.status, &*response.body), (200, RESULT.as_bytes()));
    }
    assert!(parse_response(interim.as_bytes()).unwrap().is_some());
}

#[rstest]
#[case::status(invalid_statuses())]
#[case::head(invalid_heads())]
#[case::trailer(invalid_trailers())]
fn broken_responses_are_malformed(#[case] broken: Vec<String>) {
    for text in broken {
        let parsed = parse_response(text.as_bytes());
        let is_malformed = matches!(parsed, Err(MessageError { status: 400, .. }));
        assert!(is_malformed, "{}: {parsed:?}", text.escape_default());
    }
}

/// One of two stores sends the broken response to every shard request; the other one has all documents, too.
#[rstest]
#[case::status("broken-status", with_length("000", ""))]
#[case::head("broken-head", result_as_field_name())]
#[case::trailer("broken-trailer", with_trailers("Na me: v\r\n"))]
fn a_broken_response_ends_its_connection_and_another_replica_is_tried(
    #[case] test_name: &str,
    #[case] broken: String,
) {
    const QUERIES: usize = 4;
    let harness = Harness::open(test_name, 2, OS, "");
    let documents = harness.fill("jobs", 30);
    let replaced = ReplacedResponse(String::leak(broken).as_bytes());
    harness.set_faults(1, Some(Fault::Replaced(replaced)), &[]);
    for _ in 0..QUERIES {
        let (status, reply) = harness.ask("POST", "/jobs/_search", &json!({"size": 50}));
        assert_eq!((status, &reply["timed_out"]), (200, &json!(false)), "{reply}");
        assert_eq!(reply["hits"]["hits"].as_array().unwrap().len(), documents.len(), "{reply}");
    }
    let broken = harness.stores[1].observations();
    let (spoilt, faulty) = (harness.counter("launches_spoilt"), harness.counter("launches_faulty"));
    assert!(spoilt > 0, "the store was tried");
    assert_eq!((spoilt as usize, faulty), (broken.payloads.len(), 0), "each attempt ended as broken");
    assert!(broken.connections >= broken.payloads.len(), "one request on each connection: {broken:?}");
}
