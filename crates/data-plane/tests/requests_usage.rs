//! Which requests count as begun at a server, once each, and as of when.

mod requests_support;

use orchidvalve_data_plane::requests::RequestId;
use orchidvalve_data_plane::upstream::Failure;
use requests_support::*;
use rstest::rstest;

const TENANTS: usize = 84;
const EVENT: &str = "id: 1\ndata: a\n\n";

fn table(servers: usize) -> Table {
    Table::with_routes(servers, routes_with_tenants(TENANTS))
}

fn begin(table: &mut Table, kind: &str) -> RequestId {
    table.begin_with(kind, "Deadline-Ms: 1500\r\nAuthorization: Bearer key-7\r\n")
}

/// Requests of the one tenant that have begun, by their times.
fn begun(table: &mut Table) -> Vec<u64> {
    let begun = table.requests.take_started();
    assert!(begun.iter().all(|request| request.tenant == "tenant-7"));
    begun.into_iter().map(|request| request.at).collect()
}

#[rstest]
fn a_request_counts_at_the_time_at_which_it_was_sent(#[values("repeat", "once")] kind: &str) {
    let mut table = table(1);
    let sent_at = table.now;
    begin(&mut table, kind);
    let attempt = table.last();
    table.now += 80;
    assert!(begun(&mut table).is_empty());
    table.answer(attempt, success(), "bytes");
    assert_eq!(begun(&mut table), [sent_at]);
}

// Guards against a stream that counts in the window in which it was sent, while its first token comes in the next one.
#[rstest]
fn a_stream_counts_with_its_first_event(#[values("stream", "resume")] kind: &str) {
    let mut table = table(1);
    begin(&mut table, kind);
    let attempt = table.last();
    table.now += 80;
    table.head(attempt, success());
    assert!(begun(&mut table).is_empty());
    table.now += 40;
    let first_at = table.now;
    table.body(attempt, EVENT);
    table.now += 40;
    table.body(attempt, "id: 2\ndata: b\n\n");
    table.complete(attempt);
    assert_eq!(begun(&mut table), [first_at]);
}

// Guards against a stream that counts by a part of an event, of which nobody knows the end.
#[test]
fn a_part_of_an_event_is_no_first_event() {
    let mut table = table(1);
    begin(&mut table, "resume");
    let attempt = table.last();
    table.head(attempt, success());
    table.body(attempt, "id: 1\nda");
    assert!(begun(&mut table).is_empty());
    table.now += 5;
    let first_at = table.now;
    table.body(attempt, "ta: a\n\n");
    assert_eq!(begun(&mut table), [first_at]);
}

// Guards against a stream that counts once more where another server resumes it.
#[test]
fn a_resumed_stream_counts_once() {
    let mut table = table(2);
    begin(&mut table, "resume");
    let first = table.last();
    let first_at = table.now;
    table.head(first, success());
    table.body(first, EVENT);
    table.now += 50;
    table.fail(first, Failure::Broken);
    let second = table.last();
    assert_ne!(second, first);
    table.head(second, success());
    table.body(second, "id: 2\ndata: b\n\n");
    table.complete(second);
    assert_eq!(begun(&mut table), [first_at]);
}

// Guards against requests that count although they were rejected, and against the time of an attempt that didn't run.
#[rstest]
#[case::busy(Some(503))]
#[case::other_instance(Some(421))]
#[case::unreachable(None)]
fn an_attempt_that_did_not_run_does_not_count(
    #[values("repeat", "once")] kind: &str,
    #[case] rejected: Option<u16>,
) {
    let mut table = table(2);
    begin(&mut table, kind);
    let first = table.last();
    table.now += 30;
    match rejected {
        Some(status) => table.answer(first, rejection(status), ""),
        None => table.fail(first, Failure::Connect),
    }
    assert!(begun(&mut table).is_empty());
    let second = table.last();
    assert_ne!(second, first);
    let sent_at = table.now;
    table.now += 30;
    table.answer(second, success(), "bytes");
    assert_eq!(begun(&mut table), [sent_at]);
}

#[test]
fn a_request_that_no_server_ran_never_counts() {
    let mut table = table(1);
    begin(&mut table, "once");
    let attempt = table.last();
    table.fail(attempt, Failure::Connect);
    table.pass(2_000);
    assert!(table.client.whole);
    assert!(begun(&mut table).is_empty());
}

// Guards against a request that counts twice where it was hedged or retried.
#[test]
fn a_hedged_request_counts_once() {
    let mut table = table(2);
    let sent_at = table.now;
    begin(&mut table, "repeat");
    let first = table.last();
    table.pass(420);
    let second = table.last();
    assert_ne!(second, first, "it was hedged");
    table.now += 10;
    table.answer(first, success(), "bytes");
    assert_eq!(begun(&mut table), [sent_at]);
    table.pass(2_000);
    assert!(begun(&mut table).is_empty());
}

// Guards against a request that counts twice where its first server failed, and by the time of a server that was dead.
#[test]
fn a_retried_request_counts_once_by_the_attempt_that_surely_ran() {
    let mut table = table(2);
    begin(&mut table, "repeat");
    let first = table.last();
    table.now += 60;
    table.fail(first, Failure::Broken);
    let second = table.last();
    let sent_at = table.now;
    table.answer(second, success(), "bytes");
    assert_eq!(begun(&mut table), [sent_at]);
}

// Guards against requests that ran and are missing since nobody learnt how they ended.
#[test]
fn a_request_that_may_have_run_counts_when_it_ends() {
    let mut table = table(1);
    let sent_at = table.now;
    begin(&mut table, "once");
    let attempt = table.last();
    table.now += 60;
    table.fail(attempt, Failure::Broken);
    assert!(table.client.own);
    assert_eq!(begun(&mut table), [sent_at]);
}

// Guards against requests that run while their client leaves or their deadline passes.
#[rstest]
fn a_request_that_is_given_up_in_flight_counts(#[values(true, false)] client_leaves: bool) {
    let mut table = table(1);
    let sent_at = table.now;
    let id = begin(&mut table, "once");
    table.now += 60;
    if client_leaves {
        table.leave(id);
    } else {
        table.pass(2_000);
    }
    assert_eq!(begun(&mut table), [sent_at]);
}

// Guards against a connection that the server closed as it was idle being taken for a request that ran.
#[test]
fn a_request_on_a_stale_connection_counts_by_its_second_attempt() {
    let mut table = table(1);
    begin(&mut table, "repeat");
    let first = table.last();
    table.now += 3;
    table.fail(first, Failure::Stale);
    let second = table.last();
    let sent_at = table.now;
    table.answer(second, success(), "bytes");
    assert_eq!(begun(&mut table), [sent_at]);
}

#[rstest]
#[case::no_key("")]
#[case::unknown_key("Authorization: Bearer key-84\r\n")]
#[case::other_scheme("Authorization: Basic key-7\r\n")]
fn requests_without_a_tenant_do_not_count(#[case] lines: &str) {
    let mut table = table(1);
    table.begin_with("repeat", lines);
    let attempt = table.last();
    table.answer(attempt, success(), "bytes");
    assert!(begun(&mut table).is_empty());
}

// Guards against tenants that are taken for one another where there are many.
#[test]
fn each_of_many_tenants_counts_for_itself() {
    let mut tenants = Vec::new();
    for number in 0..TENANTS {
        let mut table = table(1);
        table.begin_with("repeat", &format!("Authorization: Bearer key-{number}\r\n"));
        let attempt = table.last();
        table.answer(attempt, success(), "bytes");
        tenants.extend(table.requests.take_started().into_iter().map(|request| request.tenant.to_string()));
    }
    let expected: Vec<String> = (0..TENANTS).map(|number| format!("tenant-{number}")).collect();
    assert_eq!(tenants, expected);
}
