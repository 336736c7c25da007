//! The emulated model server: streams, rejections, orders and faults.

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

/// Returns the data of all events of a stream, joined by line feeds.
fn joined(response: &Response) -> String {
    let body = String::from_utf8(response.body.clone()).unwrap();
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
fn a_stream_has_the_complete_text_with_signature_id_and_versions() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.pass(1_000);
    let response = harness.response(key).unwrap();
    assert_eq!(joined(&response), synthetic_text::complete_text("a1", events("a1")));
    assert_eq!(response.headers.get("Attempt-Id"), Some("a1"));
    assert_eq!(response.headers.get("Weight-Versions"), Some("1"));
    assert!(response.headers.get("Server-Signature").is_some());
    assert!(response.headers.get("Instance-Load").is_some());
    assert!(response.body.starts_with(b"id: 1\n"));
}

#[test]
fn a_stream_resumes_after_the_last_known_event() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[("Last-Event-Id", "4")]));
    harness.pass(1_000);
    let response = harness.response(key).unwrap();
    assert!(response.body.starts_with(b"id: 5\n"));
    let whole = synthetic_text::complete_text("a1", 4) + "\n" + &joined(&response);
    assert_eq!(whole, synthetic_text::complete_text("a1", events("a1")));
}

#[rstest]
#[case::wrong_instance(&[("Expected-Instance", "i-2")], 421)]
#[case::wrong_version(&[("Expect-Version", "2")], 421)]
#[case::too_large(&[("Token-Usage", "4000,2000")], 503)]
#[case::no_usage(&[("Token-Usage", "none")], 400)]
#[case::unknown_model(&[("Model", "gamma")], 400)]
fn unsuitable_requests_are_rejected(#[case] change: &[(&str, &str)], #[case] status: u16) {
    let mut fields = vec![("Attempt-Id", "a1"), ("Model", "alpha"), ("Token-Usage", "100,200")];
    fields.retain(|(name, _)| change.iter().all(|(changed, _)| changed != name));
    fields.extend_from_slice(change);
    let mut harness = harness();
    let response = harness.request(&http::request("POST", "/lots/1", "host", &fields, b"prompt"));
    assert_eq!((response.status, response.headers.get("Not-Executed")), (status, Some("1")));
    assert_eq!(response.headers.get("Instance-Id"), Some("i-1"));
    assert!(harness.observations.is_empty(), "nothing is executed");
}

#[test]
fn a_request_for_this_instance_and_version_is_accepted() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[("Expected-Instance", "i-1"), ("Expect-Version", "1")]));
    harness.pass(1_000);
    assert_eq!(harness.response(key).unwrap().status, 200);
}

#[test]
fn requests_beyond_slots_and_queue_are_rejected() {
    let mut harness = harness();
    let keys: Vec<ConnectionKey> = ["a1", "a2", "a3"].iter().map(|id| harness.send(&item(id, &[]))).collect();
    let refused = harness.request(&item("a4", &[]));
    assert_eq!((refused.status, refused.headers.get("Not-Executed")), (503, Some("1")));
    harness.pass(2_000);
    assert!(keys.iter().all(|key| harness.response(*key).unwrap().status == 200));
}

#[test]
fn a_request_without_an_id_is_rejected() {
    let response = harness().request(&http::request("POST", "/lots/1", "host", &[("Model", "alpha")], b""));
    assert_eq!((response.status, response.headers.get("Not-Executed")), (400, Some("1")));
}

#[test]
fn a_deadline_rejects_a_queued_request_and_ends_a_running_one() {
    let mut harness = harness();
    let running = harness.send(&item("a1", &[("Deadline-Ms", "5")]));
    harness.send(&item("a2", &[]));
    let queued = harness.send(&item("a3", &[("Deadline-Ms", "5")]));
    harness.pass(2_000);
    assert_eq!(harness.response(running).unwrap().status, 504);
    let queued = harness.response(queued).unwrap();
    assert_eq!((queued.status, queued.headers.get("Not-Executed")), (503, Some("1")));
}

#[test]
fn a_closed_connection_frees_its_slot() {
    let mut harness = harness();
    let keys: Vec<ConnectionKey> = ["a1", "a2", "a3"].iter().map(|id| harness.send(&item(id, &[]))).collect();
    harness.close(keys[0]);
    harness.pass(1_000);
    assert!(harness.response(keys[2]).is_some());
    assert!(harness.response(keys[0]).is_none());
}

#[test]
fn connections_beyond_the_maximum_are_reset() {
    let mut harness = harness();
    let keys: Vec<ConnectionKey> = (0..9).map(|_| harness.connect()).collect();
    assert_eq!(harness.resets, [keys[8]]);
}

#[rstest]
#[case::accepted(order(|_| {}), 202)]
#[case::already_served(order(|body| body["config-version"] = json!(1)), 200)]
#[case::not_announced(order(|body| body["config-version"] = json!(4)), 400)]
#[case::unknown_model(order(|body| body["model"] = json!("gamma")), 400)]
#[case::unknown_operation(order(|body| body["operation"] = json!("dance")), 400)]
#[case::unknown_method(order(|body| body["method"] = json!("maybe")), 400)]
#[case::no_leader(order(|body| body["holder"] = Value::Null), 400)]
#[case::no_token(order(|body| body["fence-token"] = Value::Null), 400)]
#[case::expected_count(order(|body| body["expected-count"] = json!(0)), 202)]
#[case::unexpected_count(order(|body| body["expected-count"] = json!(3)), 409)]
fn orders_are_accepted_or_rejected(#[case] order: Vec<u8>, #[case] status: u16) {
    assert_eq!(harness().request(&order).status, status);
}

#[test]
fn an_order_in_progress_blocks_other_orders() {
    let mut harness = harness();
    assert_eq!(harness.request(&order(|_| {})).status, 202);
    assert_eq!(harness.request(&order(|_| {})).status, 409);
    let rejected = harness.request(&item("a1", &[]));
    assert_eq!((rejected.status, rejected.headers.get("Not-Executed")), (503, Some("1")));
    harness.pass(LOAD_MS);
    assert_eq!(harness.request(&order(|_| {})).status, 200);
    assert_eq!((harness.service.version("alpha"), harness.service.version("beta")), (Some(2), Some(1)));
    let loaded = Notice::WeightsLoaded { instance: "i-1".to_owned(), model: "alpha".to_owned(), version: 2 };
    assert_eq!(harness.notices, [loaded]);
}

#[rstest]
#[case::enforced(true, 412)]
#[case::not_enforced(false, 202)]
fn a_lower_fencing_token_is_rejected_if_fencing_is_enforced(#[case] enforced: bool, #[case] status: u16) {
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
    assert_eq!(harness.request(&order(|body| body["config-version"] = json!(1))).status, 200);
    assert_eq!(harness.request(&order(|body| body["fence-token"] = json!(4))).status, status);
}

#[test]
fn waiting_lets_generations_finish_first() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.request(&method("wait"));
    harness.pass(2_000);
    let response = harness.response(key).unwrap();
    assert_eq!(joined(&response), synthetic_text::complete_text("a1", events("a1")));
    assert!(!String::from_utf8_lossy(&response.body).contains("weight-versions"));
    assert_eq!(harness.service.version("alpha"), Some(2));
}

#[test]
fn truncating_resets_only_the_streams_of_the_model() {
    let mut harness = harness();
    let alpha = harness.send(&item("a1", &[]));
    let fields = [("Attempt-Id", "b1"), ("Model", "beta"), ("Token-Usage", "100,200")];
    let beta = harness.send(&http::request("POST", "/lots/1", "host", &fields, b"prompt"));
    harness.pass(EVENT_MS * 2);
    harness.request(&method("truncate"));
    harness.pass(2_000);
    assert_eq!(harness.resets, [alpha]);
    assert_eq!(harness.response(beta).unwrap().status, 200);
    assert_eq!(harness.service.version("alpha"), Some(2));
}

#[test]
fn retained_generations_continue_under_the_new_version() {
    let mut harness = harness();
    let key = harness.send(&item("a1", &[]));
    harness.pass(EVENT_MS * 3);
    harness.request(&method("retain"));
    harness.pass(2_000);
    let response = harness.response(key).unwrap();
    let body = String::from_utf8_lossy(&response.body).into_owned();
    assert_eq!(joined(&response), synthetic_text::complete_text("a1", events("a1")));
    assert_eq!(response.headers.get("Weight-Versions"), Some("1"));
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
fn queued_requests_are_rejected_by_an_order() {
    let mut harness = harness();
    harness.send(&item("a1", &[]));
    harness.send(&item("a2", &[]));
    let waiting = harness.send(&item("a3", &[]));
    harness.request(&method("retain"));
    let response = harness.response(waiting).unwrap();
    assert_eq!((response.status, response.headers.get("Not-Executed")), (503, Some("1")));
}

#[test]
fn the_report_contains_load_and_orders() {
    let mut harness = harness();
    for id in ["a1", "a2", "a3"] {
        harness.send(&item(id, &[]));
    }
    harness.request(&method("retain"));
    let response = harness.request(&http::request("GET", "/v1/report", "host", &[], b""));
    let report: Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(report["models"][0], json!({"name": "alpha", "config-version": 1, "adapters": []}));
    assert_eq!((&report["sequence"], &report["utilization"]), (&json!(1), &json!(true)));
    assert_eq!((&report["running-count"], &report["queued-count"]), (&json!(2), &json!(0)));
    assert_eq!(report["kv-capacity"], json!(5_000));
}

#[test]
fn health_fails_while_draining() {
    let mut harness = harness();
    let health = http::request("GET", "/health", "host", &[], b"");
    let response = harness.request(&health);
    assert_eq!((response.status, response.headers.get("Instance-Id")), (200, Some("i-1")));
    harness.service.drain();
    assert_eq!(harness.request(&health).status, 503);
}

#[test]
fn a_crash_resets_everything_until_the_restart_as_a_new_incarnation() {
    let mut harness = harness();
    harness.request(&order(|_| {}));
    harness.pass(LOAD_MS);
    let key = harness.send(&item("a1", &[]));
    harness.step(|server, _, out| server.inject(ServerFault::Crash, out));
    assert!(harness.resets.contains(&key));
    let refused = harness.connect();
    assert!(harness.resets.contains(&refused));
    harness.step(|server, _, out| server.restart(out));
    let response = harness.request(&item("a2", &[("Expected-Instance", "i-1")]));
    assert_eq!((response.status, response.headers.get("Instance-Id")), (421, Some("i-1-1")));
    assert_eq!(harness.service.version("alpha"), Some(2), "the weights are kept");
    assert_eq!(
        harness.request(&order(|body| body["expected-count"] = json!(0))).status,
        200,
        "the count of orders is reset"
    );
}

#[test]
fn an_unresponsive_server_sends_nothing() {
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
    assert!(harness.response(key).is_some());
}

#[test]
fn one_stream_breaks_after_the_given_events() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::BreakStream { after_events: 2 }, out));
    let broken = harness.send(&item("a1", &[]));
    harness.pass(1_000);
    assert_eq!(harness.resets, [broken]);
    assert_eq!(harness.text(broken).matches("data: ").count(), 2);
    let whole = harness.send(&item("a2", &[]));
    harness.pass(1_000);
    assert!(harness.response(whole).is_some());
}

#[test]
fn a_malformed_response_is_sent_once() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::MalformedResponse, out));
    let wrong = harness.send(&item("a1", &[]));
    assert!(http::parse_response(&harness.received[&wrong], true).is_err());
    let right = harness.send(&item("a2", &[]));
    harness.pass(1_000);
    assert!(harness.response(right).is_some());
}

fn get(target: &str) -> Vec<u8> {
    http::request("GET", target, "host", &[], &[])
}

/// Returns the responses on a connection, in order.
fn responses(harness: &ServiceHarness<ModelServerEmulator>, key: ConnectionKey) -> Vec<http::Response> {
    let (mut bytes, mut responses) = (&harness.received[&key][..], Vec::new());
    while let Some((response, length)) = http::parse_response(bytes, false).unwrap() {
        responses.push(response);
        bytes = &bytes[length..];
    }
    responses
}

#[test]
fn every_response_is_sent_twice_until_the_faults_are_cleared() {
    let mut harness = harness();
    harness.step(|server, _, out| server.inject(ServerFault::DuplicateResponses, out));
    let (stream, health) = (harness.send(&item("a1", &[])), harness.send(&get("/health")));
    harness.pass(1_000);
    for key in [stream, health] {
        let responses = responses(&harness, key);
        assert_eq!((responses.len(), responses[0].status), (2, 200));
        assert_eq!(responses[0].body, responses[1].body);
        assert_eq!(
            responses[0].headers.get("Server-Signature"),
            responses[1].headers.get("Server-Signature")
        );
    }
    harness.step(|server, _, _| server.clear_faults());
    let once = harness.send(&get("/health"));
    assert_eq!(responses(&harness, once).len(), 1);
}

#[test]
fn a_complete_stream_is_observed_as_execution_events_and_response() {
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
    let signature = harness.response(key).unwrap().headers.get("Server-Signature").unwrap().to_owned();
    let last = harness.observations.last().unwrap();
    assert!(matches!(last, Observation::ResponseSent { signature: seen, .. } if *seen == signature));
}

#[test]
fn only_streams_from_the_beginning_are_observed_with_their_tenant() {
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
