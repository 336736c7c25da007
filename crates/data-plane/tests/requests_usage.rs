//! Tests of usage counting: which requests count as started at a server, once each, and with which time.

mod requests_support;

use orchidvalve_data_plane::requests::RequestId;
use orchidvalve_data_plane::upstream::Failure;
use requests_support::*;
use rstest::rstest;

const TENANTS: usize = 84;
const EVENT: &str = "id: 1\ndata: a\n\n";

fn harness(servers: usize) -> Harness {
    Harness::with_routes(servers, routes_with_tenants(TENANTS))
}

fn begin(harness: &mut Harness, kind: &str) -> RequestId {
    harness.begin_with(kind, "Deadline-Ms: 1500\r\nAuthorization: Bearer key-7\r\n")
}

/// Returns the start times of the only tenant's requests.
fn start_times(harness: &mut Harness) -> Vec<u64> {
    let started = harness.requests.take_started();
    assert!(started.iter().all(|request| request.tenant == "tenant-7"));
    started.into_iter().map(|request| request.at).collect()
}

#[rstest]
fn a_request_counts_with_its_send_time(#[values("repeat", "once")] kind: &str) {
    let mut harness = harness(1);
    let sent_at = harness.now;
    begin(&mut harness, kind);
    let attempt = harness.last();
    harness.now += 80;
    assert!(start_times(&mut harness).is_empty());
    harness.respond(attempt, success(), "bytes");
    assert_eq!(start_times(&mut harness), [sent_at]);
}

// Guards against counting a stream in the window in which it was sent although its first event arrives in the next one.
#[rstest]
fn a_stream_counts_with_its_first_event(#[values("stream", "resume")] kind: &str) {
    let mut harness = harness(1);
    begin(&mut harness, kind);
    let attempt = harness.last();
    harness.now += 80;
    harness.head(attempt, success());
    assert!(start_times(&mut harness).is_empty());
    harness.now += 40;
    let first_at = harness.now;
    harness.body(attempt, EVENT);
    harness.now += 40;
    harness.body(attempt, "id: 2\ndata: b\n\n");
    harness.complete(attempt);
    assert_eq!(start_times(&mut harness), [first_at]);
}

// Guards against counting a stream by an incomplete event, whose end may never arrive.
#[test]
fn an_incomplete_event_does_not_start_a_stream() {
    let mut harness = harness(1);
    begin(&mut harness, "resume");
    let attempt = harness.last();
    harness.head(attempt, success());
    harness.body(attempt, "id: 1\nda");
    assert!(start_times(&mut harness).is_empty());
    harness.now += 5;
    let first_at = harness.now;
    harness.body(attempt, "ta: a\n\n");
    assert_eq!(start_times(&mut harness), [first_at]);
}

// Guards against counting a stream again when another server resumes it.
#[test]
fn a_resumed_stream_counts_once() {
    let mut harness = harness(2);
    begin(&mut harness, "resume");
    let first = harness.last();
    let first_at = harness.now;
    harness.head(first, success());
    harness.body(first, EVENT);
    harness.now += 50;
    harness.fail(first, Failure::Broken);
    let second = harness.last();
    assert_ne!(second, first);
    harness.head(second, success());
    harness.body(second, "id: 2\ndata: b\n\n");
    harness.complete(second);
    assert_eq!(start_times(&mut harness), [first_at]);
}

// Guards against counting rejected requests, and against the time of an attempt that did not run.
#[rstest]
#[case::busy(Some(503))]
#[case::other_instance(Some(421))]
#[case::unreachable(None)]
fn an_attempt_that_did_not_run_does_not_count(
    #[values("repeat", "once")] kind: &str,
    #[case] rejected: Option<u16>,
) {
    let mut harness = harness(2);
    begin(&mut harness, kind);
    let first = harness.last();
    harness.now += 30;
    match rejected {
        Some(status) => harness.respond(first, rejection(status), ""),
        None => harness.fail(first, Failure::Connect),
    }
    assert!(start_times(&mut harness).is_empty());
    let second = harness.last();
    assert_ne!(second, first);
    let sent_at = harness.now;
    harness.now += 30;
    harness.respond(second, success(), "bytes");
    assert_eq!(start_times(&mut harness), [sent_at]);
}

#[test]
fn a_request_that_no_server_ran_never_counts() {
    let mut harness = harness(1);
    begin(&mut harness, "once");
    let attempt = harness.last();
    harness.fail(attempt, Failure::Connect);
    harness.advance(2_000);
    assert!(harness.client.complete);
    assert!(start_times(&mut harness).is_empty());
}

// Guards against counting a request twice when it is hedged or retried.
#[test]
fn a_hedged_request_counts_once() {
    let mut harness = harness(2);
    let sent_at = harness.now;
    begin(&mut harness, "repeat");
    let first = harness.last();
    harness.advance(420);
    let second = harness.last();
    assert_ne!(second, first, "the request was hedged");
    harness.now += 10;
    harness.respond(first, success(), "bytes");
    assert_eq!(start_times(&mut harness), [sent_at]);
    harness.advance(2_000);
    assert!(start_times(&mut harness).is_empty());
}

// Guards against counting a request twice when its first server fails, and against the time of the failed attempt.
#[test]
fn a_retried_request_counts_once_with_the_attempt_that_ran() {
    let mut harness = harness(2);
    begin(&mut harness, "repeat");
    let first = harness.last();
    harness.now += 60;
    harness.fail(first, Failure::Broken);
    let second = harness.last();
    let sent_at = harness.now;
    harness.respond(second, success(), "bytes");
    assert_eq!(start_times(&mut harness), [sent_at]);
}

// Guards against omitting requests that ran but whose outcome is unknown.
#[test]
fn a_request_that_may_have_run_counts_when_it_ends() {
    let mut harness = harness(1);
    let sent_at = harness.now;
    begin(&mut harness, "once");
    let attempt = harness.last();
    harness.now += 60;
    harness.fail(attempt, Failure::Broken);
    assert!(harness.client.local);
    assert_eq!(start_times(&mut harness), [sent_at]);
}

// Guards against omitting requests that run while their clients disconnect or their deadlines pass.
#[rstest]
fn an_abandoned_request_in_flight_counts(#[values(true, false)] client_disconnects: bool) {
    let mut harness = harness(1);
    let sent_at = harness.now;
    let id = begin(&mut harness, "once");
    harness.now += 60;
    if client_disconnects {
        harness.disconnect(id);
    } else {
        harness.advance(2_000);
    }
    assert_eq!(start_times(&mut harness), [sent_at]);
}

// Guards against taking a connection that the server closed while idle for a request that ran.
#[test]
fn a_request_on_a_stale_connection_counts_with_its_second_attempt() {
    let mut harness = harness(1);
    begin(&mut harness, "repeat");
    let first = harness.last();
    harness.now += 3;
    harness.fail(first, Failure::Stale);
    let second = harness.last();
    let sent_at = harness.now;
    harness.respond(second, success(), "bytes");
    assert_eq!(start_times(&mut harness), [sent_at]);
}

#[rstest]
#[case::no_key("")]
#[case::unknown_key("Authorization: Bearer key-84\r\n")]
#[case::other_scheme("Authorization: Basic key-7\r\n")]
fn requests_without_a_tenant_do_not_count(#[case] lines: &str) {
    let mut harness = harness(1);
    harness.begin_with("repeat", lines);
    let attempt = harness.last();
    harness.respond(attempt, success(), "bytes");
    assert!(start_times(&mut harness).is_empty());
}

// Guards against confusing tenants when there are many.
#[test]
fn many_tenants_are_counted_separately() {
    let mut tenants = Vec::new();
    for number in 0..TENANTS {
        let mut harness = harness(1);
        harness.begin_with("repeat", &format!("Authorization: Bearer key-{number}\r\n"));
        let attempt = harness.last();
        harness.respond(attempt, success(), "bytes");
        tenants.extend(harness.requests.take_started().into_iter().map(|request| request.tenant.to_string()));
    }
    let expected: Vec<String> = (0..TENANTS).map(|number| format!("tenant-{number}")).collect();
    assert_eq!(tenants, expected);
}
