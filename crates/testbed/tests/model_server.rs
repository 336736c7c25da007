//! A model server by itself: streams, turning away, orders and faults.

mod support;

use orchidvalve_testbed::effects::{ConnectionKey, ModelVersion, Notice, Service};
use orchidvalve_testbed::http::{self, Response};
use orchidvalve_testbed::model_server::{ModelServerEmulator, ModelServerSettings};
use orchidvalve_testbed::observation::Observation;
use orchidvalve_testbed::server_fault::ServerFault;
use orchidvalve_testbed::synthetic_text;
use rstest::rstest;
use serde_json::{Value, json};
use support::ServiceHarness;

const EVENT_MS: u64 = 10;
const LOAD_MS: u64 = 100;

fn harness() -> ServiceHarness<ModelServerEmulator> {
    let settings = ModelServerSettings {
        instance: "i-1".to_owned(),
        models: vec![ModelVersion::new("alpha", 1), ModelVersion::new("beta", 1)],
        slots: 2,
        queue: 1,
        max_connections: 8,
        health_path: "/health".to_owned(),
        event_ms: EVENT_MS,
        prefill_tokens_per_ms: 100,
        stride: 10,
        kv_capacity: 5_000,
        load_ms: LOAD_MS,
        fencing_enforced: false,
    };
    let mut harness = ServiceHarness::new(ModelServerEmulator::new(1, settings));
    harness.service.announce_version("alpha", 3);
    harness
}

fn item(id: &str, extra: &[(&str, &str)]) -> Vec<u8> {
    let mut fields = vec![("Attempt-Id", id), ("Model", "alpha"), ("Token-Usage", "100,200")];
    fields.extend_from_slice(extra);
    http::request("POST", "/lots/1", "host", &fields, b"prompt")
}

fn events(id: &str) -> u64 {
    synthetic_text::event_count(id, 200, 10)
}

/// The data of the events of a stream, joined by line feeds.
fn joined(answer: &Response) -> String {
    let body = String::from_utf8(answer.body.clone()).unwrap();
    body.lines().filter_map(|line| line.strip_prefix("data: ")).collect::<Vec<_>>().join("\n")
}

fn order(change: impl FnOnce(&mut Value)) -> Vec<u8> {
    let mut body = json!({"operation": "config-version", "model": "alpha", "config-version": 2,
                          "method": "wait", "holder": "node-1", "fence-token": 5});
    change(&mut body);
    http::request("POST", "/v1/order", "host", &[], body.to_string().as_bytes())
}

fn method(name: &str) -> Vec<u8> {
    order(|body| body["method"] = json!(name))
}

#[test]
fn a_stream_is_the_whole_text_with_signature_id_and_versions() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.pass(1_000);
    let answer = harness.answer(key).unwrap();
    assert_eq!(joined(&answer), synthetic_text::complete_text("a1", events("a1")));
    assert_eq!(answer.headers.get("Attempt-Id"), Some("a1"));
    assert_eq!(answer.headers.get("Weight-Versions"), Some("1"));
    assert!(answer.headers.get("Server-Signature").is_some());
    assert!(answer.headers.get("Instance-Load").is_some());
    assert!(answer.body.starts_with(b"id: 1\n"));
}

#[test]
fn a_stream_goes_on_after_the_last_event_that_is_known() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[("Last-Event-Id", "4")]));
    harness.pass(1_000);
    let answer = harness.answer(key).unwrap();
    assert!(answer.body.starts_with(b"id: 5\n"));
    let whole = synthetic_text::complete_text("a1", 4) + "\n" + &joined(&answer);
    assert_eq!(whole, synthetic_text::complete_text("a1", events("a1")));
}

#[rstest]
#[case::wrong_instance(&[("Expected-Instance", "i-2")], 421)]
#[case::wrong_version(&[("Expect-Version", "2")], 421)]
#[case::too_large(&[("Token-Usage", "4000,2000")], 503)]
#[case::no_usage(&[("Token-Usage", "none")], 400)]
#[case::unknown_model(&[("Model", "gamma")], 400)]
fn what_does_not_fit_is_rejected(#[case] change: &[(&str, &str)], #[case] status: u16) {
    let mut fields = vec![("Attempt-Id", "a1"), ("Model", "alpha"), ("Token-Usage", "100,200")];
    fields.retain(|(name, _)| change.iter().all(|(changed, _)| changed != name));
    fields.extend_from_slice(change);
    let mut harness = harness();
    let answer = harness.ask(&http::request("POST", "/lots/1", "host", &fields, b"prompt"));
    assert_eq!((answer.status, answer.headers.get("Not-Executed")), (status, Some("1")));
    assert_eq!(answer.headers.get("Instance-Id"), Some("i-1"));
    assert!(harness.observations.is_empty(), "nothing runs");
}

#[test]
fn a_fitting_instance_and_version_are_let_in() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[("Expected-Instance", "i-1"), ("Expect-Version", "1")]));
    harness.pass(1_000);
    assert_eq!(harness.answer(key).unwrap().status, 200);
}

#[test]
fn requests_beyond_slots_and_queue_are_rejected() {
    let mut harness = harness();
    let keys: Vec<ConnectionKey> = ["a1", "a2", "a3"].iter().map(|id| harness.send(&item(id, &[]))).collect();
    let refused = harness.ask(&item("a4", &[]));
    assert_eq!((refused.status, refused.headers.get("Not-Executed")), (503, Some("1")));
    harness.pass(2_000);
    assert!(keys.iter().all(|key| harness.answer(*key).unwrap().status == 200));
}

#[test]
fn a_request_without_an_id_is_rejected() {
    let answer = harness().ask(&http::request("POST", "/lots/1", "host", &[("Model", "alpha")], b""));
    assert_eq!((answer.status, answer.headers.get("Not-Executed")), (400, Some("1")));
}

#[test]
fn a_deadline_in_the_queue_is_a_promise_and_during_work_an_end() {
    let mut harness = harness();
    let running = harness.send(&item("a1", &[("Deadline-Ms", "5")]));
    harness.send(&item("a2", &[]));
    let queued = harness.send(&item("a3", &[("Deadline-Ms", "5")]));
    harness.pass(2_000);
    assert_eq!(harness.answer(running).unwrap().status, 504);
    let queued = harness.answer(queued).unwrap();
    assert_eq!((queued.status, queued.headers.get("Not-Executed")), (503, Some("1")));
}

#[test]
fn a_closed_connection_frees_its_slot() {
    let mut harness = harness();
    let keys: Vec<ConnectionKey> = ["a1", "a2", "a3"].iter().map(|id| harness.send(&item(id, &[]))).collect();
    harness.close(keys[0]);
    harness.pass(1_000);
    assert!(harness.answer(keys[2]).is_some());
    assert!(harness.answer(keys[0]).is_none());
}

#[test]
fn connections_beyond_the_most_are_reset() {
    let mut harness = harness();
    let keys: Vec<ConnectionKey> = (0..9).map(|_| harness.connect()).collect();
    assert_eq!(harness.resets, [keys[8]]);
}

#[rstest]
#[case::taken(order(|_| {}), 202)]
#[case::holds_already(order(|body| body["config-version"] = json!(1)), 200)]
#[case::not_named(order(|body| body["config-version"] = json!(4)), 400)]
#[case::unknown_model(order(|body| body["model"] = json!("gamma")), 400)]
#[case::unknown_operation(order(|body| body["operation"] = json!("dance")), 400)]
#[case::unknown_method(order(|body| body["method"] = json!("maybe")), 400)]
#[case::no_holder(order(|body| body["holder"] = Value::Null), 400)]
#[case::no_token(order(|body| body["fence-token"] = Value::Null), 400)]
#[case::right_count(order(|body| body["expected-count"] = json!(0)), 202)]
#[case::wrong_count(order(|body| body["expected-count"] = json!(3)), 409)]
fn orders_are_accepted_or_refused(#[case] order: Vec<u8>, #[case] status: u16) {
    assert_eq!(harness().ask(&order).status, status);
}

#[test]
fn an_order_under_way_holds_off_others_until_it_is_done() {
    let mut harness = harness();
    assert_eq!(harness.ask(&order(|_| {})).status, 202);
    assert_eq!(harness.ask(&order(|_| {})).status, 409);
    let rejected = harness.ask(&item("a1", &[]));
    assert_eq!((rejected.status, rejected.headers.get("Not-Executed")), (503, Some("1")));
    harness.pass(LOAD_MS);
    assert_eq!(harness.ask(&order(|_| {})).status, 200);
    assert_eq!((harness.service.version("alpha"), harness.service.version("beta")), (Some(2), Some(1)));
    let loaded = Notice::WeightsLoaded { instance: "i-1".to_owned(), model: "alpha".to_owned(), version: 2 };
    assert_eq!(harness.notices, [loaded]);
}

#[rstest]
#[case::enforced(true, 412)]
#[case::not_enforced(false, 202)]
fn a_lower_fence_is_refused_where_fencing_is_enforced(#[case] enforced: bool, #[case] status: u16) {
    let settings = ModelServerSettings {
        instance: "i-1".to_owned(),
        models: vec![ModelVersion::new("alpha", 1)],
        slots: 1,
        queue: 1,
        max_connections: 8,
        health_path: "/health".to_owned(),
        event_ms: 1,
        prefill_tokens_per_ms: 1,
        stride: 1,
        kv_capacity: 1,
        load_ms: 0,
        fencing_enforced: enforced,
    };
    let mut harness = ServiceHarness::new(ModelServerEmulator::new(1, settings));
    harness.service.announce_version("alpha", 3);
    assert_eq!(harness.ask(&order(|body| body["config-version"] = json!(1))).status, 200);
    assert_eq!(harness.ask(&order(|body| body["fence-token"] = json!(4))).status, status);
}

#[test]
fn waiting_lets_runs_end_first() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.ask(&method("wait"));
    harness.pass(2_000);
    let answer = harness.answer(key).unwrap();
    assert_eq!(joined(&answer), synthetic_text::complete_text("a1", events("a1")));
    assert!(!String::from_utf8_lossy(&answer.body).contains("weight-versions"));
    assert_eq!(harness.service.version("alpha"), Some(2));
}

#[test]
fn truncating_resets_the_streams_of_that_model_alone() {
    let mut harness = harness();
    let alpha = harness.send(&item("a1", &[]));
    let fields = [("Attempt-Id", "b1"), ("Model", "beta"), ("Token-Usage", "100,200")];
    let beta = harness.send(&http::request("POST", "/lots/1", "host", &fields, b"prompt"));
    harness.pass(EVENT_MS * 2);
    harness.ask(&method("truncate"));
    harness.pass(2_000);
    assert_eq!(harness.resets, [alpha]);
    assert_eq!(harness.answer(beta).unwrap().status, 200);
    assert_eq!(harness.service.version("alpha"), Some(2));
}

#[test]
fn retaining_goes_on_under_the_new_version_and_says_so() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.pass(EVENT_MS * 3);
    harness.ask(&method("retain"));
    harness.pass(2_000);
    let answer = harness.answer(key).unwrap();
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(joined(&answer), synthetic_text::complete_text("a1", events("a1")));
    assert_eq!(answer.headers.get("Weight-Versions"), Some("1"));
    assert_eq!(body.matches("\n\nweight-versions: 2\nid: ").count(), 1, "first line of the event: {body}");
    let versions: Vec<u64> = harness
        .observations
        .iter()
        .filter_map(|seen| match seen {
            Observation::EventEmitted { version, .. } => Some(*version),
            _ => None,
        })
        .collect();
    assert!(versions.is_sorted() && versions.contains(&1) && versions.contains(&2));
}

#[test]
fn queued_requests_are_rejected_when_an_order_comes() {
    let mut harness = harness();
    harness.send(&item("a1", &[]));
    harness.send(&item("a2", &[]));
    let waiting = harness.send(&item("a3", &[]));
    harness.ask(&method("retain"));
    let answer = harness.answer(waiting).unwrap();
    assert_eq!((answer.status, answer.headers.get("Not-Executed")), (503, Some("1")));
}

#[test]
fn the_report_tells_of_work_and_orders() {
    let mut harness = harness();
    for id in ["a1", "a2", "a3"] {
        harness.send(&item(id, &[]));
    }
    harness.ask(&method("retain"));
    let answer = harness.ask(&http::request("GET", "/v1/report", "host", &[], b""));
    let report: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(report["models"][0], json!({"name": "alpha", "config-version": 1, "adapters": []}));
    assert_eq!((&report["sequence"], &report["utilization"]), (&json!(1), &json!(true)));
    assert_eq!((&report["running-count"], &report["queued-count"]), (&json!(2), &json!(0)));
    assert_eq!(report["kv-capacity"], json!(5_000));
}

#[test]
fn health_fails_while_draining() {
    let mut harness = harness();
    let health = http::request("GET", "/health", "host", &[], b"");
    let answer = harness.ask(&health);
    assert_eq!((answer.status, answer.headers.get("Instance-Id")), (200, Some("i-1")));
    harness.service.drain();
    assert_eq!(harness.ask(&health).status, 503);
}

#[test]
fn a_crash_resets_everything_until_the_restart_as_a_new_incarnation() {
    let mut harness = harness();
    harness.ask(&order(|_| {}));
    harness.pass(LOAD_MS);
    let key = harness.send(&item("a1", &[]));
    harness.step(|server, _, out| server.inject(ServerFault::Crash, out));
    assert!(harness.resets.contains(&key));
    let refused = harness.connect();
    assert!(harness.resets.contains(&refused));
    harness.step(|server, _, out| server.restart(out));
    let answer = harness.ask(&item("a2", &[("Expected-Instance", "i-1")]));
    assert_eq!((answer.status, answer.headers.get("Instance-Id")), (421, Some("i-1-1")));
    assert_eq!(harness.service.version("alpha"), Some(2), "it keeps the weights it had");
    assert_eq!(
        harness.ask(&order(|body| body["expected-count"] = json!(0))).status,
        200,
        "orders are forgotten"
    );
}

#[test]
fn an_unresponsive_server_says_nothing() {
    let mut harness = harness();
    let before = harness.send(&item("a1", &[]));
    harness.step(|server, _, out| server.inject(ServerFault::Unresponsive, out));
    let after = harness.send(&item("a2", &[]));
    harness.pass(5_000);
    assert!(!harness.received.contains_key(&before) && !harness.received.contains_key(&after));
    assert!(harness.resets.is_empty() && harness.service.next_wake().is_none());
}

#[test]
fn a_slow_server_takes_longer_until_its_faults_are_cleared() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::Slowdown(10), out));
    let key = harness.send(&item("a1", &[]));
    harness.pass(EVENT_MS * 5);
    assert_eq!(harness.text(key), "");
    harness.service.clear_faults();
    harness.pass(2_000);
    assert!(harness.answer(key).is_some());
}

#[test]
fn one_stream_breaks_after_its_events() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::BreakStream { after_events: 2 }, out));
    let broken = harness.send(&item("a1", &[]));
    harness.pass(1_000);
    assert_eq!(harness.resets, [broken]);
    assert_eq!(harness.text(broken).matches("data: ").count(), 2);
    let whole = harness.send(&item("a2", &[]));
    harness.pass(1_000);
    assert!(harness.answer(whole).is_some());
}

#[test]
fn wrong_bytes_come_once() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::MalformedResponse, out));
    let wrong = harness.send(&item("a1", &[]));
    assert!(http::parse_response(&harness.received[&wrong], true).is_err());
    let right = harness.send(&item("a2", &[]));
    harness.pass(1_000);
    assert!(harness.answer(right).is_some());
}

fn get(target: &str) -> Vec<u8> {
    http::request("GET", target, "host", &[], &[])
}

/// The answers on a connection, one after the other.
fn answers(harness: &ServiceHarness<ModelServerEmulator>, key: ConnectionKey) -> Vec<http::Response> {
    let (mut bytes, mut answers) = (&harness.received[&key][..], Vec::new());
    while let Some((answer, length)) = http::parse_response(bytes, false).unwrap() {
        answers.push(answer);
        bytes = &bytes[length..];
    }
    answers
}

#[test]
fn every_response_comes_twice_until_the_faults_are_cleared() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::DuplicateResponses, out));
    let (stream, health) = (harness.send(&item("a1", &[])), harness.send(&get("/health")));
    harness.pass(1_000);
    for key in [stream, health] {
        let answers = answers(&harness, key);
        assert_eq!((answers.len(), answers[0].status), (2, 200));
        assert_eq!(answers[0].body, answers[1].body);
        assert_eq!(answers[0].headers.get("Server-Signature"), answers[1].headers.get("Server-Signature"));
    }
    harness.step(|server, _, _| server.clear_faults());
    let once = harness.send(&get("/health"));
    assert_eq!(answers(&harness, once).len(), 1);
}

#[test]
fn a_whole_stream_is_seen_as_run_events_and_answer() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.pass(1_000);
    let made =
        harness.observations.iter().filter(|seen| matches!(seen, Observation::EventEmitted { .. })).count()
            as u64;
    assert_eq!(made, events("a1"));
    assert!(
        matches!(&harness.observations[0], Observation::ExecutionStarted { id, after_event: 0, .. } if id == "a1")
    );
    let signature = harness.answer(key).unwrap().headers.get("Server-Signature").unwrap().to_owned();
    let last = harness.observations.last().unwrap();
    assert!(matches!(last, Observation::ResponseSent { signature: seen, .. } if *seen == signature));
}

#[test]
fn a_stream_that_begins_is_shown_with_its_tenant_and_one_that_goes_on_is_not() {
    let mut harness = harness();
    harness.send(&item("a1", &[("Tenant", "acme")]));
    harness.send(&item("a2", &[("Tenant", "acme"), ("Last-Event-Id", "1")]));
    harness.pass(1_000);
    harness.send(&item("a3", &[]));
    let started: Vec<&Observation> = harness
        .observations
        .iter()
        .filter(|seen| matches!(seen, Observation::TenantRequestStarted { .. }))
        .collect();
    let (id, tenant) = ("a1".to_owned(), "acme".to_owned());
    assert_eq!(started, [&Observation::TenantRequestStarted { id, tenant, is_stream: true }]);
}
