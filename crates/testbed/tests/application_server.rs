//! A plain application server by itself.

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
fn a_response_bears_signature_and_id() {
    let mut harness = harness(0);
    let key = harness.send(&post("a1", &[]));
    assert!(harness.answer(key).is_none(), "work takes time");
    harness.pass(20);
    let answer = harness.answer(key).unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers.get("Attempt-Id"), Some("a1"));
    assert_eq!(answer.body, ApplicationServerEmulator::response_body("a1", 300));
    let stamp = answer.headers.get("Server-Signature").unwrap();
    let seen = harness.observations.iter().any(
        |seen| matches!(seen, Observation::ResponseSent { signature, status: 200, .. } if signature == stamp),
    );
    assert!(seen);
}

#[test]
fn equal_seeds_work_equally_long() {
    let times = |mut harness: ServiceHarness<ApplicationServerEmulator>| {
        let key = harness.send(&post("a1", &[]));
        (0..20).find(|_| {
            harness.pass(1);
            harness.answer(key).is_some()
        })
    };
    assert_eq!(times(harness(0)), times(harness(0)));
}

#[test]
fn a_share_of_the_requests_fails() {
    let mut all = harness(10_000);
    let key = all.send(&post("a1", &[]));
    all.pass(20);
    assert_eq!(all.answer(key).unwrap().status, 500);
}

#[test]
fn requests_beyond_slot_and_queue_are_rejected() {
    let mut harness = harness(0);
    harness.send(&post("a1", &[]));
    harness.send(&post("a2", &[]));
    let answer = harness.ask(&post("a3", &[]));
    assert_eq!((answer.status, answer.headers.get("Not-Executed")), (503, Some("1")));
}

#[test]
fn deadlines_end_work() {
    let mut harness = harness(0);
    let key = harness.send(&post("a1", &[("Deadline-Ms", "3")]));
    let queued = harness.send(&post("a2", &[("Deadline-Ms", "4")]));
    harness.pass(50);
    assert_eq!(harness.answer(key).unwrap().status, 504);
    assert_eq!(harness.answer(queued).unwrap().headers.get("Not-Executed"), Some("1"));
}

#[test]
fn another_instance_is_not_answered_for() {
    let answer = harness(0).ask(&post("a1", &[("Expected-Instance", "i-8")]));
    assert_eq!((answer.status, answer.headers.get("Not-Executed")), (421, Some("1")));
}

#[test]
fn after_a_restart_it_is_another_incarnation() {
    let mut harness = harness(0);
    let key = harness.send(&post("a1", &[]));
    harness.step(|server, _, out| server.restart(out));
    assert_eq!(harness.resets, [key]);
    let health = harness.ask(&http::request("GET", "/health", "host", &[], b""));
    assert_eq!((health.status, health.headers.get("Instance-Id")), (200, Some("i-9-1")));
}

#[test]
fn a_response_comes_twice_until_the_faults_are_cleared() {
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
fn a_request_that_begins_is_shown_with_the_tenant_that_it_names() {
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
