//! Concurrent operators with scripted responses.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use orchidvalve_testbed::concurrent_operators::{
    ConcurrentOperatorSettings, ConcurrentOperatorStats, ConcurrentOperators, OperatorPace,
};
use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{Call, Caller, Effects, Outcome};
use orchidvalve_testbed::http::{Headers, Request, Response, parse_request};
use orchidvalve_testbed::observation::Observation;
use serde_json::{Value, json};

const UNTIL: u64 = 1_000_000;

struct Harness {
    operators: ConcurrentOperators,
    directory: Directory,
    now: u64,
    calls: VecDeque<Call>,
    observations: Vec<Observation>,
    stats: Rc<RefCell<ConcurrentOperatorStats>>,
}

fn address(last: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, last), 80)
}

fn route() -> Value {
    json!({"name": "r", "hostname": "h", "path-prefix": "/r/", "service": "s", "timeout-ms": 900,
           "target-latency-ms": 90})
}

fn current() -> Value {
    json!({"config-version": 5, "routes": [route()], "services": [{"name": "s"}]})
}

impl Harness {
    fn new(operators: usize, response_loss_percent: u32) -> Harness {
        let pace = OperatorPace { operators, pause_ms: 100, response_loss_percent };
        let settings =
            ConcurrentOperatorSettings { pace, routes: vec![route()], from: 10, until: UNTIL, seed: 1 };
        let (operators, stats) = ConcurrentOperators::new(settings);
        let directory =
            Directory { gateways: Vec::new(), control_nodes: vec![address(1), address(2), address(3)] };
        let (calls, observations) = Default::default();
        let mut harness = Harness { operators, directory, now: 10, calls, observations, stats };
        harness.pass(0);
        harness
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        let mut out = Effects::default();
        self.operators.wake(self.now, &mut self.directory, &mut out);
        self.take(out);
    }

    fn take(&mut self, out: Effects) {
        self.calls.extend(out.calls);
        self.observations.extend(out.observations);
    }

    fn next(&mut self) -> (Call, Request) {
        let call = self.calls.pop_front().expect("an operator calls");
        let (request, _) = parse_request(&call.bytes).unwrap().unwrap();
        (call, request)
    }

    fn end(&mut self, call: &Call, outcome: Outcome) {
        let mut out = Effects::default();
        self.operators.call_ended(self.now, call.tag, outcome, &mut self.directory, &mut out);
        self.take(out);
    }

    fn respond(&mut self, call: &Call, status: u16, body: &Value) {
        let body = body.to_string().into_bytes();
        self.end(call, Outcome::Response(Response { status, headers: Headers::default(), body }));
    }

    /// Responds to the reads in flight, and returns the changes that follow.
    fn respond_to_reads(&mut self) -> Vec<(Call, Request)> {
        for _ in 0..self.calls.len() {
            let (call, request) = self.next();
            assert_eq!(request.method, "GET");
            self.respond(&call, 200, &current());
        }
        let count = self.calls.len();
        (0..count).map(|_| self.next()).collect()
    }
}

#[test]
fn concurrent_changes_have_one_base_colliding_versions_and_different_bodies() {
    let mut harness = Harness::new(8, 0);
    let changes = harness.respond_to_reads();
    assert_eq!(changes.len(), 8);
    assert!(changes.iter().all(|(_, request)| request.headers.get("If-Match") == Some("5")));
    let sent: Vec<(u64, u64, Value)> = harness
        .observations
        .iter()
        .filter_map(|seen| match seen {
            Observation::ConfigurationSent { change, version, base: 5, document, valid: true } => {
                Some((*change, *version, document.clone()))
            }
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), 8);
    let meet = |(change, version, document): &(u64, u64, Value)| {
        sent.iter().any(|other| other.0 != *change && other.1 == *version && other.2 != *document)
    };
    assert!(sent.iter().all(meet), "eight operators choose among two versions");
    let alike = |(change, _, document): &(u64, u64, Value)| {
        sent.iter().any(|other| other.0 != *change && other.2["routes"] == document["routes"])
    };
    assert!(!sent.iter().any(alike), "no two changes have the same routes");
}

#[test]
fn bodies_stay_different_over_hundreds_of_changes() {
    const CHANGES: usize = 250;
    let mut harness = Harness::new(1, 0);
    let mut bodies = BTreeSet::new();
    for number in 1..=CHANGES {
        let (call, request) = harness.respond_to_reads().remove(0);
        let body: Value = serde_json::from_slice(&request.body).unwrap();
        let routes = if body["upsert"].is_null() { &body["routes"] } else { &body["upsert"]["routes"] };
        bodies.insert(routes.to_string());
        assert_eq!(bodies.len(), number);
        harness.respond(&call, 412, &Value::Null);
        harness.pass(100);
    }
}

#[test]
fn a_read_version_is_observed_with_the_time_of_the_request() {
    let mut harness = Harness::new(1, 0);
    let (call, _) = harness.next();
    harness.now += 40;
    harness.respond(&call, 200, &current());
    assert_eq!(harness.observations[0], Observation::ConfigurationObserved { requested_at: 10, version: 5 });
}

#[test]
fn a_change_with_a_lost_response_is_retried_unchanged_at_another_node() {
    let mut harness = Harness::new(1, 100);
    let (call, request) = harness.respond_to_reads().remove(0);
    let is_dropped = call.timeout_ms >= 1_000;
    if is_dropped {
        harness.respond(&call, 200, &Value::Null);
        assert!(matches!(
            harness.observations.last(),
            Some(Observation::ConfigurationResponseLost { status: 200, .. })
        ));
    } else {
        harness.end(&call, Outcome::TimedOut);
    }
    assert_eq!((harness.stats.borrow().acknowledged, harness.calls.len()), (0, 0));
    harness.pass(20);
    let (again, resent) = harness.next();
    assert_ne!(again.address, call.address);
    assert_eq!((resent.method, resent.body), (request.method, request.body));
    assert_eq!(resent.headers.get("If-Match"), request.headers.get("If-Match"));
}

#[test]
fn a_limited_number_of_responses_is_lost_per_change() {
    let mut harness = Harness::new(1, 100);
    let (mut call, _) = harness.respond_to_reads().remove(0);
    for _ in 0..2 {
        harness.respond(&call, 200, &Value::Null);
        harness.pass(20);
        match harness.calls.pop_front() {
            Some(next) => call = next,
            None => break,
        }
    }
    if harness.stats.borrow().acknowledged == 0 {
        harness.respond(&call, 200, &Value::Null);
    }
    assert_eq!(harness.stats.borrow().acknowledged, 1);
    let answered = harness
        .observations
        .iter()
        .filter(|seen| matches!(seen, Observation::ConfigurationSendEnded { status: Some(200), .. }));
    assert_eq!(answered.count(), 1);
}

#[test]
fn an_operator_pauses_and_reads_again_after_a_rejection() {
    let mut harness = Harness::new(1, 0);
    let (call, _) = harness.respond_to_reads().remove(0);
    harness.respond(&call, 412, &Value::Null);
    assert_eq!((harness.stats.borrow().refused, harness.calls.len()), (1, 0));
    harness.pass(100);
    assert_eq!(harness.next().1.method, "GET");
}

#[test]
fn no_change_starts_after_the_end() {
    let mut harness = Harness::new(1, 0);
    let (call, _) = harness.respond_to_reads().remove(0);
    harness.now = UNTIL;
    harness.respond(&call, 200, &Value::Null);
    harness.pass(10_000);
    assert!(harness.calls.is_empty());
    assert_eq!(harness.operators.next_wake(), None);
}
