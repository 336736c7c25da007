//! Platform calls of singleton roles, and faults of the platform's API.

mod support;

use std::net::{IpAddr, Ipv4Addr};

use orchidvalve_testbed::effects::{ConnectionKey, Service};
use orchidvalve_testbed::http;
use orchidvalve_testbed::observation::{Observation, PlatformCall, PlatformOrder};
use orchidvalve_testbed::platform::{PlatformFault, PlatformSettings, PlatformStub};
use rstest::rstest;
use support::ServiceHarness;

const DELAY_MS: u64 = 400;
const REPORT: &str = r#"{"window":7,"counts":{"acme":3}}"#;
const SCALING: &str = r#"{"service":"apps","zone":"north","desired-count":4}"#;

fn harness() -> ServiceHarness<PlatformStub> {
    let settings = PlatformSettings {
        lag_ms: 0,
        list_calls_per_second: 4.0,
        page_size: 10,
        platform_calls_per_second: 2.0,
    };
    ServiceHarness::new(PlatformStub::new(settings))
}

fn call(path: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    http::request("POST", path, "platform", fields, body.as_bytes())
}

fn leader_call(path: &str, body: &str) -> Vec<u8> {
    call(path, &[("Duty-Holder", "edge-1"), ("Fence-Token", "12")], body)
}

fn received(harness: &ServiceHarness<PlatformStub>) -> Vec<(PlatformCall, bool)> {
    let calls = harness.observations.iter().filter_map(|observation| match observation {
        Observation::PlatformCallReceived { call, accepted } => Some((call.clone(), *accepted)),
        _ => None,
    });
    calls.collect()
}

fn statuses(harness: &ServiceHarness<PlatformStub>, keys: &[ConnectionKey]) -> Vec<Option<u16>> {
    keys.iter().map(|key| harness.response(*key).map(|response| response.status)).collect()
}

#[test]
fn accepted_calls_are_recorded_with_leader_token_and_source() {
    let mut harness = harness();
    let key = harness.connect();
    let (request, _) = http::parse_request(&leader_call("/usage-reports", REPORT)).unwrap().unwrap();
    harness.service.connected_from(key, IpAddr::V4(Ipv4Addr::new(127, 9, 3, 1)));
    harness.step(|platform, now, out| platform.request(now, key, request, out));
    assert_eq!(statuses(&harness, &[key]), [Some(200)]);
    let counts = [("acme".to_owned(), 3)].into();
    let call = PlatformCall {
        leader: "edge-1".to_owned(),
        source: "127.9.3.1".to_owned(),
        token: 12,
        order: PlatformOrder::UsageReport { window: 7, counts },
    };
    assert_eq!(received(&harness), [(call, true)]);
}

#[test]
fn scaling_orders_are_recorded() {
    let mut harness = harness();
    assert_eq!(harness.request(&leader_call("/scaling", SCALING)).status, 200);
    let (service, zone) = ("apps".to_owned(), "north".to_owned());
    assert_eq!(received(&harness)[0].0.order, PlatformOrder::Scaling { service, zone, desired_count: 4 });
    assert_eq!(harness.service.platform_calls.scaling_orders, 1);
}

#[rstest]
#[case::no_leader("/usage-reports", &[("Fence-Token", "12")], REPORT)]
#[case::empty_leader("/usage-reports", &[("Duty-Holder", ""), ("Fence-Token", "12")], REPORT)]
#[case::no_token("/usage-reports", &[("Duty-Holder", "edge-1")], REPORT)]
#[case::token_is_not_a_number("/scaling", &[("Duty-Holder", "edge-1"), ("Fence-Token", "-3")], SCALING)]
#[case::invalid_json("/scaling", &[("Duty-Holder", "edge-1"), ("Fence-Token", "1")], "desired")]
#[case::body_of_another_path("/scaling", &[("Duty-Holder", "edge-1"), ("Fence-Token", "1")], REPORT)]
#[case::negative_count(
    "/usage-reports",
    &[("Duty-Holder", "edge-1"), ("Fence-Token", "1")],
    r#"{"window":7,"counts":{"acme":-3}}"#
)]
fn malformed_calls_get_400(#[case] path: &str, #[case] fields: &[(&str, &str)], #[case] body: &str) {
    let mut harness = harness();
    assert_eq!(harness.request(&call(path, fields, body)).status, 400);
    assert_eq!(received(&harness), []);
    assert_eq!(harness.service.platform_calls.malformed, 1);
}

#[test]
fn calls_of_all_nodes_share_the_rate_limit() {
    let mut harness = harness();
    let other = call("/scaling", &[("Duty-Holder", "edge-2"), ("Fence-Token", "13")], SCALING);
    let calls = [leader_call("/usage-reports", REPORT), other.clone(), other];
    let seen: Vec<u16> = calls.iter().map(|bytes| harness.request(bytes).status).collect();
    assert_eq!(seen, [200, 200, 429]);
    assert_eq!(harness.request(&http::request("GET", "/instances", "host", &[], b"")).status, 200);
    harness.pass(500);
    assert_eq!(harness.request(&calls[0]).status, 200);
    let accepted: Vec<bool> = received(&harness).into_iter().map(|(_, accepted)| accepted).collect();
    assert_eq!(accepted, [true, true, false, true]);
}

#[test]
fn a_slow_platform_accepts_at_once_and_responds_later() {
    let mut harness = harness();
    harness.service.set_fault(Some(PlatformFault::Slow { delay_ms: DELAY_MS }));
    let report = harness.send(&leader_call("/usage-reports", REPORT));
    let list = harness.send(&http::request("GET", "/instances", "host", &[], b""));
    assert_eq!(received(&harness).len(), 1);
    harness.pass(DELAY_MS - 1);
    assert_eq!(statuses(&harness, &[report, list]), [None, None]);
    harness.pass(1);
    assert_eq!(statuses(&harness, &[report, list]), [Some(200), Some(200)]);
}

#[test]
fn a_delayed_response_to_a_closed_connection_is_dropped() {
    let mut harness = harness();
    harness.service.set_fault(Some(PlatformFault::Slow { delay_ms: DELAY_MS }));
    let key = harness.send(&leader_call("/usage-reports", REPORT));
    harness.close(key);
    harness.pass(2 * DELAY_MS);
    assert_eq!(statuses(&harness, &[key]), [None]);
}

#[rstest]
#[case::unresponsive(PlatformFault::Unresponsive, 1, 0)]
#[case::reset(PlatformFault::Reset, 1, 1)]
#[case::partitioned(PlatformFault::Partitioned, 0, 0)]
fn calls_receive_no_response(#[case] fault: PlatformFault, #[case] taken: usize, #[case] resets: usize) {
    let mut harness = harness();
    harness.service.set_fault(Some(fault));
    let report = harness.send(&leader_call("/usage-reports", REPORT));
    harness.pass(10_000);
    assert_eq!(statuses(&harness, &[report]), [None]);
    assert_eq!(received(&harness).into_iter().filter(|(_, accepted)| *accepted).count(), taken);
    assert_eq!(harness.resets.len(), resets);
    harness.service.set_fault(None);
    assert_eq!(harness.request(&leader_call("/usage-reports", REPORT)).status, 200);
}

#[test]
fn a_busy_platform_rejects_with_429_and_503_alternately() {
    let mut harness = harness();
    harness.service.set_fault(Some(PlatformFault::Busy));
    let list = http::request("GET", "/instances", "host", &[], b"");
    let calls = [leader_call("/scaling", SCALING), leader_call("/usage-reports", REPORT), list];
    let seen: Vec<u16> = calls.iter().map(|bytes| harness.request(bytes).status).collect();
    assert_eq!(seen, [429, 503, 429]);
    assert!(received(&harness).iter().all(|(_, accepted)| !accepted));
    assert_eq!(harness.service.platform_calls.refused, 2);
}
