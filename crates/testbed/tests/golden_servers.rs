//! Golden traces of all emulated servers: model servers, application servers and the platform's list, under seeded
//! random requests, faults and pauses.

mod support {
    pub mod recording;
}

use std::path::Path;

use orchidvalve_golden::check_hashes;
use orchidvalve_testbed::application_server::{ApplicationServerEmulator, ApplicationServerSettings};
use orchidvalve_testbed::effects::{ConnectionKey, ModelVersion, Service};
use orchidvalve_testbed::http;
use orchidvalve_testbed::model_server::{ModelServerEmulator, ModelServerSettings};
use orchidvalve_testbed::platform::{ListedServer, PlatformSettings, PlatformStub};
use orchidvalve_testbed::server_fault::ServerFault;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use support::recording::RecordedService;

const SEEDS: u64 = 12;
const STEPS: usize = 300;

fn check(file: &str, simulate: impl Fn(u64) -> u64) {
    let hashes: Vec<(String, u64)> =
        (0..SEEDS).map(|seed| (format!("seed-{seed}"), simulate(seed))).collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    check_hashes(&path, &hashes);
}

fn one_of<T: Copy>(random: &mut Pcg64Mcg, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

fn fault(random: &mut Pcg64Mcg) -> ServerFault {
    match random.random_range(0..7) {
        0 => ServerFault::Crash,
        1 => ServerFault::Unresponsive,
        2 => ServerFault::Slowdown(random.random_range(2..5)),
        3 => ServerFault::BreakStream { after_events: random.random_range(0..5) },
        4 => ServerFault::MalformedResponse,
        5 => ServerFault::DuplicateResponses,
        _ => ServerFault::EarlyResponse,
    }
}

/// Closes a connection, or advances the clock.
fn close_or_pass<S: Service>(server: &mut RecordedService<S>, random: &mut Pcg64Mcg) {
    if random.random_bool(0.2) && server.connections > 0 {
        let key = ConnectionKey(random.random_range(1..=server.connections));
        server.close(key);
    } else {
        server.pass(random.random_range(0..200));
    }
}

fn item(random: &mut Pcg64Mcg) -> Vec<u8> {
    let id = format!("a{}", random.random_range(0..1_000));
    let usage = format!("{},{}", random.random_range(0..900), random.random_range(0..900));
    let (after, deadline) = (random.random_range(0..6).to_string(), random.random_range(0..300).to_string());
    let mut fields = vec![("Model", one_of(random, &["alpha", "alpha", "beta", "gamma"]))];
    if !random.random_bool(0.05) {
        fields.push(("Attempt-Id", &id));
    }
    fields.push(("Token-Usage", if random.random_bool(0.05) { "many" } else { &usage }));
    for (name, value, percent) in [
        ("Last-Event-Id", after.as_str(), 20),
        ("Deadline-Ms", &deadline, 20),
        ("Expect-Version", one_of(random, &["1", "2", "3"]), 15),
        ("Expected-Instance", one_of(random, &["i-1", "i-1-1", "i-2"]), 15),
    ] {
        if random.random_ratio(percent, 100) {
            fields.push((name, value));
        }
    }
    http::request("POST", "/lots/1?x=2", "host", &fields, id.as_bytes())
}

fn order(random: &mut Pcg64Mcg) -> Vec<u8> {
    let mut body = json!({
        "operation": one_of(random, &["config-version", "config-version", "config-version", "dance"]),
        "model": one_of(random, &["alpha", "alpha", "beta", "gamma"]),
        "config-version": random.random_range(0..5),
        "method": one_of(random, &["wait", "truncate", "retain", "maybe"]),
        "holder": one_of(random, &["node-1", "node-2"]),
        "fence-token": random.random_range(3..8),
    });
    if random.random_bool(0.3) {
        body["expected-count"] = json!(random.random_range(0..4));
    }
    http::request("POST", "/v1/order", "host", &[], body.to_string().as_bytes())
}

fn model_server(seed: u64) -> RecordedService<ModelServerEmulator> {
    let settings = ModelServerSettings {
        instance: "i-1".to_owned(),
        models: vec![ModelVersion::new("alpha", 1), ModelVersion::new("beta", 2)],
        slots: 2 + seed as usize % 3,
        queue: 3,
        max_connections: 20,
        health_path: "/health".to_owned(),
        event_ms: 10 + seed,
        prefill_tokens_per_ms: 30,
        stride: 40 + seed,
        kv_capacity: 1_400,
        load_ms: 50,
        fencing_enforced: seed.is_multiple_of(2),
    };
    RecordedService::new(ModelServerEmulator::new(seed + 1, settings))
}

fn simulate_model_server(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut server = model_server(seed);
    for _ in 0..STEPS {
        match random.random_range(0..100) {
            0..40 => server.send(&item(&mut random)),
            40..55 => server.send(&order(&mut random)),
            55..58 => server.send(&http::request("GET", "/v1/report", "host", &[], b"")),
            58..60 => server.send(&http::request("GET", "/health", "host", &[], b"")),
            60..65 => {
                let fault = fault(&mut random);
                server.step(|server, _, out| server.inject(fault, out));
            }
            65..70 => server.step(|server, _, _| server.clear_faults()),
            70..73 => server.step(|server, _, out| server.restart(out)),
            73..76 => {
                let version = random.random_range(1..4);
                server.step(|server, _, _| server.announce_version("alpha", version));
            }
            76 if random.random_bool(0.2) => server.step(|server, _, _| server.drain()),
            _ => close_or_pass(&mut server, &mut random),
        }
        for model in ["alpha", "beta", "gamma"] {
            server.trace.add_number(server.service.version(model).unwrap_or(0));
        }
    }
    server.trace.finish()
}

#[test]
fn model_servers_match_the_golden_traces() {
    check("model_servers.txt", simulate_model_server);
}

fn application_server(seed: u64) -> RecordedService<ApplicationServerEmulator> {
    let settings = ApplicationServerSettings {
        instance: "i-9".to_owned(),
        slots: 2,
        queue: 3,
        max_connections: 20,
        health_path: "/health".to_owned(),
        work_ms: 5..=60,
        response_bytes: 100 * seed as usize,
        failures_per_10_000: 500 * seed,
        seed,
    };
    RecordedService::new(ApplicationServerEmulator::new(seed + 1, settings))
}

fn plain(random: &mut Pcg64Mcg) -> Vec<u8> {
    let id = format!("p{}", random.random_range(0..1_000));
    let deadline = random.random_range(0..90).to_string();
    let mut fields = Vec::new();
    if !random.random_bool(0.05) {
        fields.push(("Attempt-Id", id.as_str()));
    }
    if random.random_bool(0.3) {
        fields.push(("Deadline-Ms", &deadline));
    }
    if random.random_bool(0.2) {
        fields.push(("Expected-Instance", one_of(random, &["i-9", "i-9-1", "i-8"])));
    }
    let write = if random.random_bool(0.5) { http::request } else { http::chunked_request };
    write("POST", "/plain/7", "host", &fields, id.as_bytes())
}

fn simulate_application_server(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut server = application_server(seed);
    for _ in 0..STEPS {
        match random.random_range(0..100) {
            0..45 => server.send(&plain(&mut random)),
            45..55 if server.connections > 0 => {
                let key = ConnectionKey(random.random_range(1..=server.connections));
                server.send_in_parts(key, &plain(&mut random));
            }
            55..60 => server.send(&http::request("GET", "/health", "host", &[], b"")),
            60..65 => {
                let fault = fault(&mut random);
                server.step(|server, _, out| server.inject(fault, out));
            }
            65..70 => server.step(|server, _, _| server.clear_faults()),
            70..74 => server.step(|server, _, out| server.restart(out)),
            74 if random.random_bool(0.2) => server.step(|server, _, _| server.drain()),
            _ => close_or_pass(&mut server, &mut random),
        }
    }
    server.trace.finish()
}

#[test]
fn application_servers_match_the_golden_traces() {
    check("application_servers.txt", simulate_application_server);
}

fn entry(random: &mut Pcg64Mcg, number: usize) -> ListedServer {
    let models = [
        Vec::new(),
        vec![ModelVersion::new("alpha", 1)],
        vec![ModelVersion::new("alpha", 2), ModelVersion::new("beta", 1)],
    ];
    ListedServer {
        instance: format!("i-{number}"),
        service: one_of(random, &["apps", "models"]).to_owned(),
        address: format!("127.0.0.{number}:8000"),
        zone: one_of(random, &["north", "south"]).to_owned(),
        slots: random.random_range(1..20),
        draining: random.random_bool(0.1),
        models: models[random.random_range(0..models.len())].clone(),
    }
}

fn simulate_platform(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let settings = PlatformSettings {
        lag_ms: 100 * seed,
        list_calls_per_second: 1.0 + seed as f64,
        page_size: 3 + seed as usize,
        platform_calls_per_second: 5.0,
    };
    let mut platform = RecordedService::new(PlatformStub::new(settings));
    for step in 0..STEPS {
        let instance = format!("i-{}", random.random_range(0..=step));
        match random.random_range(0..100) {
            0..20 => {
                let entry = entry(&mut random, step);
                platform.step(|platform, now, _| platform.add(now, entry));
            }
            20..25 => platform.step(|platform, now, _| platform.mark_draining(now, &instance)),
            25..32 => platform.step(|platform, now, _| platform.remove(now, &instance)),
            32..36 => {
                platform.step(|platform, now, _| platform.rename(now, &instance, &format!("{instance}-1")));
            }
            36..45 => {
                let version = random.random_range(1..9);
                platform.step(|platform, now, _| platform.set_version(now, &instance, "alpha", version));
            }
            45..80 => {
                let zone = one_of(&mut random, &["", "zone=north&", "zone=south&"]);
                let page = one_of(&mut random, &["", "page-token=p-3", "page-token=p-6", "page-token=p-x"]);
                let path = one_of(&mut random, &["/instances", "/instances", "/instances", "/servers"]);
                let target = format!("{path}?{zone}{page}");
                platform.send(&http::request("GET", &target, "host", &[], b""));
            }
            _ => platform.pass(random.random_range(0..900)),
        }
        platform.trace.add_number(platform.service.list_calls);
        platform.trace.add_number(platform.service.refused);
    }
    platform.trace.finish()
}

#[test]
fn platform_pages_match_the_golden_traces() {
    check("platform.txt", simulate_platform);
}
