//! The operator with scripted responses.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{Call, Caller, Effects, Outcome};
use orchidvalve_testbed::http::{Headers, Request, Response, parse_request};
use orchidvalve_testbed::observation::Observation;
use orchidvalve_testbed::operator::{Action, Operator, OperatorStats, ScheduledAction, Script};
use rstest::rstest;
use serde_json::{Value, json};

struct Harness {
    operator: Operator,
    directory: Directory,
    now: u64,
    calls: VecDeque<Call>,
    observations: Vec<Observation>,
    script: Script,
    stats: std::rc::Rc<std::cell::RefCell<OperatorStats>>,
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, last), 80)
}

fn document() -> Value {
    json!({
        "routes": [{"name": "r", "hostname": "h", "path-prefix": "/r/", "service": "s", "timeout-ms": 900}],
        "services": [{"name": "s"}],
    })
}

impl Harness {
    fn new(actions: Vec<Action>) -> Harness {
        let script = Script::default();
        script.borrow_mut().extend(actions.into_iter().map(|action| ScheduledAction { at_ms: 0, action }));
        let (operator, stats) = Operator::new(script.clone(), 1);
        let directory = Directory { gateways: Vec::new(), control_nodes: vec![address(1), address(2)] };
        let (calls, observations) = Default::default();
        let mut harness = Harness { operator, directory, now: 10, calls, observations, script, stats };
        harness.pass(0);
        harness
    }

    fn take(&mut self, out: Effects) {
        self.calls.extend(out.calls);
        self.observations.extend(out.observations);
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        let mut out = Effects::default();
        self.operator.wake(self.now, &mut self.directory, &mut out);
        self.take(out);
    }

    fn next(&mut self) -> (Call, Request) {
        let call = self.calls.pop_front().expect("the operator calls");
        let (request, _) = parse_request(&call.bytes).unwrap().unwrap();
        (call, request)
    }

    fn end(&mut self, call: &Call, outcome: Outcome) {
        let mut out = Effects::default();
        self.operator.call_ended(self.now, call.tag, outcome, &mut self.directory, &mut out);
        self.take(out);
    }

    /// Responds to the next call.
    fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &Value) -> Request {
        let (call, request) = self.next();
        let headers = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
        let body = body.to_string().into_bytes();
        self.end(&call, Outcome::Response(Response { status, headers: Headers(headers), body }));
        request
    }

    fn add(&mut self, action: Action) {
        self.script.borrow_mut().push_back(ScheduledAction { at_ms: 0, action });
        self.pass(0);
    }
}

fn body(request: &Request) -> Value {
    serde_json::from_slice(&request.body).unwrap()
}

/// Returns a harness whose first configuration was accepted, and the version of that configuration.
fn begun() -> (Harness, u64) {
    let mut harness = Harness::new(vec![Action::PutFirst(document())]);
    let request = harness.respond(200, &[], &Value::Null);
    assert_eq!((request.method.as_str(), request.headers.get("If-Match")), ("PUT", Some("0")));
    let version = body(&request)["config-version"].as_u64().unwrap();
    assert_eq!(harness.stats.borrow().ready_at, Some(10));
    (harness, version)
}

#[rstest]
#[case::timeout(Outcome::TimedOut)]
#[case::refused(Outcome::Refused)]
#[case::disconnected(Outcome::Disconnected { partial: true })]
#[case::unavailable(Outcome::Response(Response { status: 503, headers: Headers::default(), body: Vec::new() }))]
#[case::too_many_requests(Outcome::Response(Response { status: 429, headers: Headers::default(), body: Vec::new() }))]
fn the_first_configuration_is_sent_unchanged_until_it_is_accepted(#[case] outcome: Outcome) {
    let mut harness = Harness::new(vec![Action::PutFirst(document())]);
    let (call, first) = harness.next();
    let first_node = call.address;
    harness.end(&call, outcome);
    assert!(harness.calls.is_empty(), "there is a pause");
    harness.pass(1_000);
    assert_ne!(harness.calls[0].address, first_node, "the retry goes to another node");
    let again = harness.respond(200, &[], &Value::Null);
    assert_eq!((again.method, again.body), (first.method, first.body));
    assert!(harness.stats.borrow().ready_at.is_some());
}

#[test]
fn two_redirects_are_followed() {
    let mut harness = Harness::new(vec![Action::PutFirst(document())]);
    for last in [7, 8] {
        let location = format!("http://{}/v1/configuration", address(last));
        harness.respond(307, &[("Location", &location)], &Value::Null);
        assert_eq!(harness.calls[0].address, address(last));
    }
    let location = format!("http://{}/v1/configuration", address(9));
    harness.respond(307, &[("Location", &location)], &Value::Null);
    assert!(harness.calls.is_empty(), "the third redirect is a failure");
}

#[test]
fn a_change_contains_its_base_and_its_items() {
    let (mut harness, version) = begun();
    let route =
        json!({"name": "r", "hostname": "h", "path-prefix": "/r/", "service": "s", "timeout-ms": 800});
    harness.add(Action::Patch { upsert: json!({"routes": [route]}), remove: json!({}) });
    let request = harness.respond(200, &[], &Value::Null);
    assert_eq!(request.method, "PATCH");
    assert_eq!(request.headers.get("If-Match"), Some(version.to_string().as_str()));
    assert_eq!(body(&request)["upsert"]["routes"][0], route);
    assert!(body(&request)["config-version"].as_u64() > Some(version));
    let Some(Observation::ConfigurationSent { document, valid: true, .. }) =
        harness.observations.iter().rfind(|seen| matches!(seen, Observation::ConfigurationSent { .. }))
    else {
        panic!("the change is observed");
    };
    assert_eq!(document["routes"], json!([route]));
}

#[test]
fn a_race_sends_two_versions_with_the_same_base() {
    let (mut harness, version) = begun();
    let (route, field) = ("r".to_owned(), "timeout-ms".to_owned());
    harness.add(Action::Race { route, field, first: json!(700), second: json!(600) });
    let first = harness.respond(200, &[], &Value::Null);
    let second = harness.respond(412, &[], &Value::Null);
    assert_eq!(first.headers.get("If-Match"), second.headers.get("If-Match"));
    assert_ne!(body(&first)["config-version"], body(&second)["config-version"]);
    assert_eq!(body(&second)["routes"][0]["timeout-ms"], 600);
    let stats = harness.stats.borrow().clone();
    assert_eq!((stats.acknowledged, stats.refused), (2, 1));
    assert_eq!(Some(stats.version), body(&first)["config-version"].as_u64().filter(|taken| *taken > version));
}

#[test]
fn an_invalid_configuration_is_marked_and_not_retried_after_a_rejection() {
    let (mut harness, _) = begun();
    harness.add(Action::Invalid { route: "r".to_owned() });
    harness.respond(400, &[], &Value::Null);
    assert!(harness.calls.is_empty());
    let sent = harness
        .observations
        .iter()
        .filter(|seen| matches!(seen, Observation::ConfigurationSent { valid: false, .. }));
    assert_eq!(sent.count(), 1);
}

#[test]
fn another_client_error_is_conclusive_at_the_third_attempt() {
    let (mut harness, _) = begun();
    harness.add(Action::Invalid { route: "r".to_owned() });
    for _ in 0..3 {
        harness.pass(1_000);
        harness.respond(403, &[], &Value::Null);
    }
    assert_eq!(harness.stats.borrow().refused, 1);
}

#[test]
fn a_retirement_is_polled_until_it_is_completed() {
    let (mut harness, _) = begun();
    harness.add(Action::Retire { node: "storage-1".to_owned(), duration_s: 8 });
    let request = harness.respond(200, &[], &Value::Null);
    assert_eq!((request.method.as_str(), request.target.as_str()), ("POST", "/v1/retire/storage-1"));
    assert_eq!(body(&request), json!({"duration-s": 8}));
    harness.respond(200, &[], &json!({"state": "in_progress"}));
    harness.pass(500);
    let request = harness.respond(200, &[], &json!({"state": "completed"}));
    assert_eq!(request.method, "GET");
    assert_eq!(harness.stats.borrow().retired, ["storage-1"]);
}

#[test]
fn the_version_read_after_a_rejection_is_observed() {
    let (mut harness, _) = begun();
    let route = json!({"name": "r"});
    harness.add(Action::Patch { upsert: json!({"routes": [route]}), remove: json!({}) });
    harness.respond(412, &[], &Value::Null);
    harness.pass(0);
    harness.respond(200, &[], &json!({"config-version": 9}));
    assert_eq!(
        harness.observations.last(),
        Some(&Observation::ConfigurationObserved { requested_at: 10, version: 9 })
    );
}

#[test]
fn the_configuration_is_read_back() {
    let (mut harness, _) = begun();
    harness.add(Action::ReadBack);
    let current = json!({"config-version": 5});
    harness.respond(200, &[], &current);
    assert!(harness.stats.borrow().read_back);
    assert_eq!(
        harness.observations.last(),
        Some(&Observation::FinalConfigurationRead { document: Some(current) })
    );
}
