//! The platform's server list.

mod support;

use orchidvalve_testbed::effects::ModelVersion;
use orchidvalve_testbed::http;
use orchidvalve_testbed::platform::{ListedServer, PlatformSettings, PlatformStub};
use rstest::rstest;
use serde_json::Value;
use support::ServiceHarness;

fn entry(instance: &str, zone: &str) -> ListedServer {
    ListedServer {
        instance: instance.to_owned(),
        service: "svc".to_owned(),
        address: "127.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        slots: 4,
        draining: false,
        models: vec![ModelVersion::new("alpha", 1)],
    }
}

fn harness(lag_ms: u64, page_size: usize) -> ServiceHarness<PlatformStub> {
    let settings =
        PlatformSettings { lag_ms, list_calls_per_second: 4.0, page_size, platform_calls_per_second: 2.0 };
    let mut harness = ServiceHarness::new(PlatformStub::new(settings));
    for (instance, zone) in [("i-1", "north"), ("i-2", "south"), ("i-3", "north")] {
        harness.service.add(0, entry(instance, zone));
    }
    harness
}

fn get(harness: &mut ServiceHarness<PlatformStub>, target: &str) -> Value {
    let response = harness.request(&http::request("GET", target, "host", &[], b""));
    assert_eq!(response.status, 200);
    serde_json::from_slice(&response.body).unwrap()
}

fn instances(page: &Value) -> Vec<&str> {
    page["instances"].as_array().unwrap().iter().map(|entry| entry["instance-id"].as_str().unwrap()).collect()
}

#[rstest]
#[case("/instances", &["i-1", "i-2", "i-3"])]
#[case("/instances?zone=north", &["i-1", "i-3"])]
#[case("/instances?zone=west", &[])]
fn the_list_is_filtered_by_zone(#[case] target: &str, #[case] expected: &[&str]) {
    let mut harness = harness(0, 10);
    let page = get(&mut harness, target);
    assert_eq!(instances(&page), expected);
    assert_eq!(page["next-token"], Value::Null);
}

#[test]
fn the_list_is_paginated() {
    let mut harness = harness(0, 2);
    let first = get(&mut harness, "/instances");
    assert_eq!((instances(&first), first["next-token"].as_str()), (vec!["i-1", "i-2"], Some("p-2")));
    let second = get(&mut harness, "/instances?page-token=p-2");
    assert_eq!((instances(&second), second["next-token"].as_str()), (vec!["i-3"], None));
}

#[test]
fn calls_over_the_rate_get_429() {
    let mut harness = harness(0, 10);
    let request = http::request("GET", "/instances", "host", &[], b"");
    let statuses: Vec<u16> = (0..5).map(|_| harness.request(&request).status).collect();
    assert_eq!(statuses, [200, 200, 200, 200, 429]);
    harness.pass(250);
    assert_eq!([harness.request(&request).status, harness.request(&request).status], [200, 429]);
}

#[test]
fn changes_are_visible_after_the_lag() {
    let mut harness = harness(500, 10);
    let now = harness.now;
    harness.service.mark_draining(now, "i-1");
    harness.service.remove(now, "i-2");
    harness.service.set_version(now, "i-3", "alpha", 7);
    let before = get(&mut harness, "/instances");
    assert_eq!(instances(&before), ["i-1", "i-2", "i-3"]);
    assert_eq!(before["instances"][0]["state"], "available");
    harness.pass(500);
    let after = get(&mut harness, "/instances");
    assert_eq!(instances(&after), ["i-1", "i-3"]);
    assert_eq!(after["instances"][0]["state"], "draining");
    assert_eq!(after["instances"][1]["models"][0]["config-version"], 7);
}

#[test]
fn a_new_incarnation_replaces_the_old_one() {
    let mut harness = harness(0, 10);
    let now = harness.now;
    harness.service.rename(now, "i-2", "i-2-1");
    assert_eq!(instances(&get(&mut harness, "/instances")), ["i-1", "i-2-1", "i-3"]);
}

#[test]
fn unknown_paths_get_404() {
    assert_eq!(harness(0, 10).request(&http::request("GET", "/other", "host", &[], b"")).status, 404);
}
