//! The emulated application server.

mod support;

use orchidvalve_testbed::application_server::{ApplicationServerEmulator, ApplicationServerSettings};
use orchidvalve_testbed::http;
use orchidvalve_testbed::observation::Observation;
use orchidvalve_testbed::server_fault::ServerFault;
use support::ServiceHarness;

fn harness(failures_per_10_000: u64) -> ServiceHarness<ApplicationServerEmulator> {
    let settings = ApplicationServerSettings {
        instance: "i-9".to_owned(),
        slots: 1,
        queue: 1,
        max_connections: 4,
        health_path: "/health".to_owned(),
        work_ms: 10..=20,
        response_bytes: 300,
        failures_per_10_000,
        seed: 7,
    };
    ServiceHarness::new(ApplicationServerEmulator::new(3, settings))
}

fn post(id: &str, extra: &[(&str, &str)]) -> Vec<u8> {
    let mut fields = vec![("Attempt-Id", id)];
    fields.extend_from_slice(extra);
    http::request("POST", "/a/1", "host", &fields, b"body")
}

#[test]
fn a_response_has_signature_and_attempt_id() {
    let mut harness = harness(0);
    let key = harness.send(&post("a1", &[]));
    assert!(harness.response(key).is_none(), "the work takes time");
    harness.pass(20);
    let response = harness.response(key).unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.headers.get("Attempt-Id"), Some("a1"));
    assert_eq!(response.body, ApplicationServerEmulator::response_body("a1", 300));
    let stamp = response.headers.get("Server-Signature").unwrap();
    let seen = harness.observations.iter().any(
        |seen| matches!(seen, Observation::ResponseSent { signature, status: 200, .. } if signature == stamp),
    );
    assert!(seen);
}

#[test]
fn equal_seeds_give_equal_service_times() {
    let times = |mut harness: ServiceHarness<ApplicationServerEmulator>| {
        let key = harness.send(&post("a1", &[]));
        (0..20).find(|_| {
            harness.pass(1);
            harness.response(key).is_some()
        })
    };
    assert_eq!(times(harness(0)), times(harness(0)));
}

#[test]
fn the_configured_fraction_of_requests_fails() {
    let mut all = harness(10_000);
    let key = all.send(&post("a1", &[]));
    all.pass(20);
    assert_eq!(all.response(key).unwrap().status, 500);
}

#[test]
fn requests_beyond_slot_and_queue_are_rejected() {
    let mut harness = harness(0);
    harness.send(&post("a1", &[]));
    harness.send(&post("a2", &[]));
    let response = harness.request(&post("a3", &[]));
    assert_eq!((response.status, response.headers.get("Not-Executed")), (503, Some("1")));
}

#[test]
fn requests_end_at_their_deadline() {
    let mut harness = harness(0);
    let key = harness.send(&post("a1", &[("Deadline-Ms", "3")]));
    let queued = harness.send(&post("a2", &[("Deadline-Ms", "4")]));
    harness.pass(50);
    assert_eq!(harness.response(key).unwrap().status, 504);
    assert_eq!(harness.response(queued).unwrap().headers.get("Not-Executed"), Some("1"));
}

#[test]
fn a_request_for_another_instance_is_rejected() {
    let response = harness(0).request(&post("a1", &[("Expected-Instance", "i-8")]));
    assert_eq!((response.status, response.headers.get("Not-Executed")), (421, Some("1")));
}

#[test]
fn a_restart_begins_a_new_incarnation() {
    let mut harness = harness(0);
    let key = harness.send(&post("a1", &[]));
    harness.step(|server, _, out| server.restart(out));
    assert_eq!(harness.resets, [key]);
    let health = harness.request(&http::request("GET", "/health", "host", &[], b""));
    assert_eq!((health.status, health.headers.get("Instance-Id")), (200, Some("i-9-1")));
}

#[test]
fn a_response_is_sent_twice_until_the_faults_are_cleared() {
    let mut harness = harness(0);
    harness.step(|server, _, out| server.inject(ServerFault::DuplicateResponses, out));
    let key = harness.send(&post("a1", &[]));
    harness.pass(20);
    let (first, length) = http::parse_response(&harness.received[&key], false).unwrap().unwrap();
    let (second, _) = http::parse_response(&harness.received[&key][length..], false).unwrap().unwrap();
    assert_eq!((first.status, &first), (200, &second));
    harness.step(|server, _, _| server.clear_faults());
    let key = harness.send(&post("a2", &[]));
    harness.pass(20);
    let (_, length) = http::parse_response(&harness.received[&key], false).unwrap().unwrap();
    assert_eq!(length, harness.received[&key].len());
}

#[test]
fn a_started_request_is_observed_with_its_tenant() {
    let mut harness = harness(0);
    harness.send(&post("a1", &[("Tenant", "acme")]));
    harness.pass(20);
    harness.send(&post("a2", &[]));
    let started: Vec<&Observation> = harness
        .observations
        .iter()
        .filter(|seen| matches!(seen, Observation::TenantRequestStarted { .. }))
        .collect();
    let (id, tenant) = ("a1".to_owned(), "acme".to_owned());
    assert_eq!(started, [&Observation::TenantRequestStarted { id, tenant, is_stream: false }]);
}
