//! Golden traces of everything that calls the system: clients, readiness checks, the operator, and concurrent
//! operators, with seeded random outcomes of their calls.

mod support {
    pub mod recording;
}

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;

use orchidvalve_golden::check_hashes;
use orchidvalve_testbed::clients::{ClientSettings, Clients};
use orchidvalve_testbed::concurrent_operators::{
    ConcurrentOperatorSettings, ConcurrentOperators, OperatorPace,
};
use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{Call, Outcome};
use orchidvalve_testbed::http::{Headers, Response, parse_request};
use orchidvalve_testbed::operator::{Action, Operator, ScheduledAction, Script};
use orchidvalve_testbed::readiness_checks::ReadinessChecks;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use support::recording::run_caller;

const SEEDS: u64 = 10;
const UNTIL: u64 = 40_000;

fn check(file: &str, simulate: impl Fn(u64) -> u64) {
    let hashes: Vec<(String, u64)> =
        (0..SEEDS).map(|seed| (format!("seed-{seed}"), simulate(seed))).collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    check_hashes(&path, &hashes);
}

fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, last), port)
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for (last, zone) in [(1, "north"), (2, "south"), (3, "north"), (4, "west")] {
        directory.add_gateway(address(last, 80), address(last, 81), zone);
    }
    directory.control_nodes = (1..=3).map(|last| address(last, 82)).collect();
    directory
}

fn response(status: u16, headers: &[(&str, &str)], body: Vec<u8>) -> Response {
    let headers = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    Response { status, headers: Headers(headers), body }
}

/// Sometimes returns an outcome without a conclusive response.
fn failure(random: &mut Pcg64Mcg) -> Option<Outcome> {
    match random.random_range(0..100) {
        0..4 => Some(Outcome::Refused),
        4..7 => Some(Outcome::Disconnected { partial: random.random_bool(0.5) }),
        7..10 => Some(Outcome::TimedOut),
        10..11 => Some(Outcome::Malformed),
        11..12 => Some(Outcome::TrailingBytes(response(200, &[], Vec::new()))),
        12..20 => {
            const STATUSES: [u16; 9] = [408, 429, 503, 500, 403, 404, 421, 502, 504];
            let status = STATUSES[random.random_range(0..STATUSES.len())];
            let after: &[(&str, &str)] =
                if random.random_bool(0.3) { &[("Retry-After", "0.2")] } else { &[] };
            Some(Outcome::Response(response(status, after, Vec::new())))
        }
        _ => None,
    }
}

fn simulate_clients(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let settings = ClientSettings {
        zone: ["north", "south", "east"][seed as usize % 3].to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/p/".to_owned(),
        idempotent: seed.is_multiple_of(2),
        interval_ms: 90,
        target_latency_ms: 40,
        deadline_ms: 100 + 150 * seed,
        retries: seed as u32 % 3,
        body_bytes: 20 * seed as usize,
        keep_alive: seed.is_multiple_of(3),
        credentials: Vec::new(),
        pipelined: 1,
        chunked: seed % 4 == 1,
        from: 500,
        until: 12_000,
        seed,
    };
    let (mut clients, stats) = Clients::new(settings);
    let mut directory = directory();
    for gateway in 0..seed as usize % 5 {
        directory.record_readiness(gateway, true);
    }
    let trace = run_caller(&mut clients, &mut directory, &mut random, UNTIL, |call, random| {
        let (request, _) = parse_request(&call.bytes).unwrap().unwrap();
        failure(random).unwrap_or_else(|| {
            let id = request.headers.get("Attempt-Id").unwrap_or_default().to_owned();
            let fields = [("Attempt-Id", id.as_str()), ("Server-Signature", "stamp")];
            Outcome::Response(response(200, &fields, request.body))
        })
    });
    let stats = stats.borrow();
    let sums = [stats.sent, stats.served, stats.within_target, stats.failed, stats.latencies.iter().sum()];
    sums.iter().fold(trace, |hash, number| hash.rotate_left(7) ^ number)
}

#[test]
fn clients_match_the_golden_traces() {
    check("clients.txt", simulate_clients);
}

fn simulate_readiness_checks(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut directory = directory();
    let mut checks = ReadinessChecks::default();
    let trace = run_caller(&mut checks, &mut directory, &mut random, UNTIL, |_, random| {
        failure(random).unwrap_or_else(|| Outcome::Response(response(200, &[], Vec::new())))
    });
    trace ^ directory.ready_gateways() as u64
}

#[test]
fn readiness_checks_match_the_golden_traces() {
    check("readiness_checks.txt", simulate_readiness_checks);
}

fn first_configuration() -> Value {
    let route = |name: &str| {
        json!({"name": name, "hostname": "h", "path-prefix": format!("/{name}/"), "service": "s",
               "timeout-ms": 900, "target-latency-ms": 90})
    };
    json!({"routes": [route("r"), route("q")], "services": [{"name": "s"}], "limits": {}})
}

/// A control node that accepts changes based on its version and serves the current configuration.
struct ControlNodeStub {
    current: Value,
}

impl ControlNodeStub {
    fn respond(&mut self, call: &Call, random: &mut Pcg64Mcg) -> Outcome {
        if let Some(outcome) = failure(random) {
            return outcome;
        }
        if random.random_bool(0.05) {
            let location = format!("http://{}/v1/configuration", address(random.random_range(1..6), 82));
            return Outcome::Response(response(307, &[("Location", &location)], Vec::new()));
        }
        let (request, _) = parse_request(&call.bytes).unwrap().unwrap();
        let given = serde_json::from_slice::<Value>(&request.body).unwrap_or_default();
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("GET", "/v1/configuration") => (200, self.current.clone()),
            ("GET", _) => {
                (200, json!({"state": if random.random_bool(0.4) { "completed" } else { "begun" }}))
            }
            ("POST", _) => (200, Value::Null),
            (method, _) => (self.change(method, request.headers.get("If-Match"), given, random), Value::Null),
        };
        Outcome::Response(response(status, &[], body.to_string().into_bytes()))
    }

    fn change(&mut self, method: &str, base: Option<&str>, given: Value, random: &mut Pcg64Mcg) -> u16 {
        let version = self.current["config-version"].as_u64().unwrap_or(0);
        let routes = given["routes"].to_string();
        if routes.contains("unknown-service") {
            return 400;
        }
        if base != Some(version.to_string().as_str()) {
            return if random.random_bool(0.5) { 412 } else { 409 };
        }
        match method {
            "PUT" => self.current = given,
            _ => self.current["config-version"] = given["config-version"].clone(),
        }
        200
    }
}

fn script(random: &mut Pcg64Mcg) -> VecDeque<ScheduledAction> {
    let mut script =
        VecDeque::from([ScheduledAction { at_ms: 10, action: Action::PutFirst(first_configuration()) }]);
    let mut at = 100;
    let (route, field) = ("r".to_owned(), "timeout-ms".to_owned());
    for number in 0..12 {
        at += random.random_range(0..2_500);
        let action = match random.random_range(0..7) {
            0 => Action::Patch {
                upsert: json!({"routes": [{"name": format!("n{number}"), "service": "s"}]}),
                remove: json!({"routes": ["q"]}),
            },
            1 => Action::PutWith { route: route.clone(), field: field.clone(), value: json!(number) },
            2 => {
                let (first, second) = (json!(700 + number), json!(600 + number));
                Action::Race { route: route.clone(), field: field.clone(), first, second }
            }
            3 => Action::Invalid { route: route.clone() },
            4 => Action::Retire { node: format!("storage-{number}"), duration_s: 8 },
            _ => Action::Patch { upsert: json!({"services": [{"name": "t"}]}), remove: json!({}) },
        };
        script.push_back(ScheduledAction { at_ms: at, action });
    }
    script.push_back(ScheduledAction { at_ms: at + 500, action: Action::ReadBack });
    script
}

fn simulate_operator(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let script: Script = Rc::new(RefCell::new(script(&mut random)));
    let (mut operator, stats) = Operator::new(script, seed);
    let mut control = ControlNodeStub { current: json!({}) };
    let trace = run_caller(&mut operator, &mut directory(), &mut random, UNTIL, |call, random| {
        control.respond(call, random)
    });
    let stats = stats.borrow();
    let sums = [
        stats.version,
        stats.acknowledged,
        stats.refused,
        stats.unclear,
        stats.ready_at.unwrap_or(0),
        u64::from(stats.read_back),
        stats.retired.len() as u64,
    ];
    sums.iter().fold(trace, |hash, number| hash.rotate_left(7) ^ number)
}

#[test]
fn the_operator_matches_the_golden_traces() {
    check("operator.txt", simulate_operator);
}

fn simulate_concurrent_operators(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut current = first_configuration();
    current["config-version"] = json!(4);
    let routes = current["routes"].as_array().unwrap().clone();
    let pace =
        OperatorPace { operators: 8, pause_ms: 20 + 50 * seed, response_loss_percent: 10 * seed as u32 };
    let settings = ConcurrentOperatorSettings { pace, routes, from: 10, until: 12_000, seed };
    let (mut concurrent_operators, stats) = ConcurrentOperators::new(settings);
    let mut control = ControlNodeStub { current };
    let trace =
        run_caller(&mut concurrent_operators, &mut directory(), &mut random, UNTIL, |call, random| {
            control.respond(call, random)
        });
    let stats = stats.borrow();
    let sums =
        [stats.acknowledged, stats.refused, stats.unclear, stats.lost_responses, stats.ack_ms.iter().sum()];
    sums.iter().fold(trace, |hash, number| hash.rotate_left(7) ^ number)
}

#[test]
fn concurrent_operators_match_the_golden_traces() {
    check("operators_at_the_same_time.txt", simulate_concurrent_operators);
}
