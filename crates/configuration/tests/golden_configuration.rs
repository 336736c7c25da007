//! Fingerprints, which are compared across processes, and the parsing of random documents and patches, by seed.

use std::path::Path;

use orchidvalve_configuration::{Configuration, ConfigurationError, Route, RouteTable, RouteType};
use orchidvalve_configuration::{MAX_DOCUMENT_BYTES, fingerprint};
use orchidvalve_golden::{Trace, check_hashes, check_samples};
use orchidvalve_protocol::time_limit::TimeLimit;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

const SEEDS: u64 = 20;
const DOCUMENTS: u32 = 40;

#[test]
fn fingerprints_are_as_recorded() {
    let number = |value: u64| value.to_le_bytes().to_vec();
    let configuration = |body: &[u8]| Configuration::replace(body, None).expect("a configuration");
    let whole = br#"{"config-version":7,"services":[{"name":"blue"}],"routes":[]}"#;
    let spaced = b"{\"config-version\" : 7.0,\n \"services\": [{\"name\":\"blue\"}], \"routes\": [] }";
    let patch = br#"{"config-version":8,"upsert":{"services":[{"name":"green"}]}}"#;
    let patched = Configuration::patch(patch, Some(&configuration(whole))).expect("a configuration");
    let samples = [
        ("nothing", number(fingerprint(b""))),
        ("text", number(fingerprint(b"config-version"))),
        ("bytes", number(fingerprint(&[0, 0xff, 0x80]))),
        ("whole", number(configuration(whole).fingerprint())),
        ("spaced", number(configuration(spaced).fingerprint())),
        ("patched", number(patched.fingerprint())),
        ("whole-as-json", configuration(whole).to_json()),
        ("spaced-as-json", configuration(spaced).to_json()),
        ("patched-as-json", patched.to_json()),
        ("longest-document", number(MAX_DOCUMENT_BYTES as u64)),
    ];
    check_samples(&Path::new(FOLDER).join("fingerprints.txt"), &samples);
}

fn pick<T: Clone>(random: &mut Pcg64Mcg, choices: &[T]) -> T {
    choices.choose(random).expect("a choice").clone()
}

/// Usually sets a field to one of the valid values; sometimes omits it or sets another value.
fn field(random: &mut Pcg64Mcg, entry: &mut Value, name: &str, values: &[Value]) {
    if random.random_bool(0.4) {
        return;
    }
    let others = [json!(null), json!(-1), json!("odd"), json!(1.5), json!([1]), json!({"a": 1}), json!(0)];
    let value = if random.random_bool(0.985) { pick(random, values) } else { pick(random, &others) };
    entry[name] = value;
}

fn random_route(random: &mut Pcg64Mcg, number: u32) -> Value {
    let host = pick(random, &["a.example", "A.Example:80", "b.example", "c.example"]);
    let prefix = pick(random, &["/", "/one/", "/one/two/", "/three/", "/one/two/three/"]);
    let prefix = if random.random_bool(0.9) { format!("{prefix}{number}/") } else { prefix.to_owned() };
    let mut route = json!({"name": format!("route-{number}"), "hostname": host, "path-prefix": prefix});
    if random.random_bool(0.6) {
        route["service"] = json!(pick(random, &["blue", "green"]));
    } else {
        let weights = [json!(90), json!(10), json!(0.2), json!(0.00001), json!(0), json!(1e9)];
        let part = |random: &mut Pcg64Mcg| json!({"service": pick(random, &["blue", "green"]), "weight": pick(random, &weights)});
        let count = random.random_range(1..4);
        let shares: Vec<Value> = (0..count).map(|_| part(random)).collect();
        route["traffic-split"] = json!(shares);
    }
    let types = ["idempotent", "non_idempotent", "streaming", "rollout_control", "of_tomorrow"];
    field(random, &mut route, "route-type", &types.map(|name| json!(name)));
    field(random, &mut route, "timeout-ms", &[json!(1_500), json!(0.4), json!(20_000.5)]);
    field(random, &mut route, "target-latency-ms", &[json!(150), json!(0), json!(99.1)]);
    field(random, &mut route, "target-run-ms", &[json!(4_000), json!(1e12)]);
    field(random, &mut route, "max-queue-s", &[json!(7.5), json!(0), json!(20)]);
    field(random, &mut route, "priority", &[json!(0), json!(1), json!(4_294_967_295_u64)]);
    field(random, &mut route, "max-attempts", &[json!(0), json!(2), json!(3.0)]);
    for name in ["single-version", "sticky", "resumable"] {
        field(random, &mut route, name, &[json!(true), json!(false)]);
    }
    route
}

fn random_service(random: &mut Pcg64Mcg, name: &str) -> Value {
    let mut service = json!({"name": name});
    field(random, &mut service, "health-path", &[json!("/alive"), json!("")]);
    field(random, &mut service, "max-connections", &[json!(170), json!(0)]);
    if random.random_bool(0.5) {
        let mut engine = json!({"stride": 53});
        field(random, &mut engine, "slots", &[json!(12), json!(0), json!(1_u64 << 40)]);
        field(random, &mut engine, "kv-cache-tokens", &[json!(39_294)]);
        field(random, &mut engine, "kv-token-bytes", &[json!(18_432)]);
        field(random, &mut engine, "models", &[json!([{"name": "large"}, {"name": "small"}]), json!([])]);
        service["engine"] = engine;
    }
    service
}

fn random_document(random: &mut Pcg64Mcg) -> Value {
    let routes: Vec<Value> =
        (0..random.random_range(0..6)).map(|number| random_route(random, number)).collect();
    let services = [random_service(random, "blue"), random_service(random, "green")];
    let mut document = json!({
        "config-version": random.random_range(0..9), "note": {"z": 1, "a": [2.50, null]}, "routes": routes,
        "services": services,
    });
    if random.random_bool(0.5) {
        let mut limits = json!({});
        for name in ["max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms"] {
            field(random, &mut limits, name, &[json!(1_000), json!(0), json!(20.5)]);
        }
        document["limits"] = limits;
    }
    document
}

fn random_patch(random: &mut Pcg64Mcg) -> Value {
    let mut patch = json!({"config-version": random.random_range(0..30)});
    if random.random_bool(0.6) {
        let routes: Vec<Value> = (0..random.random_range(0..3))
            .map(|_| {
                let number = random.random_range(0..8);
                random_route(random, number)
            })
            .collect();
        patch["upsert"]["routes"] = json!(routes);
    }
    if random.random_bool(0.2) {
        let name = pick(random, &["blue", "red"]);
        patch["upsert"]["services"] = json!([random_service(random, name)]);
    }
    if random.random_bool(0.2) {
        patch["upsert"]["limits"] = json!({"max-body-bytes": 77});
    }
    if random.random_bool(0.2) {
        patch["upsert"]["labels"] = json!([{"name": "first", "text": random.random_range(0..3)}]);
    }
    if random.random_bool(0.4) {
        let name = format!("route-{}", random.random_range(0..6));
        patch["remove"]["routes"] = json!([name, "never-there"]);
    }
    if random.random_bool(0.2) {
        patch["note"] = pick(random, &[json!(null), json!("another"), json!([])]);
    }
    patch
}

/// Adds the number of an error and its values, but not its text.
fn add_error(trace: &mut Trace, error: &ConfigurationError) {
    let (number, path) = match error {
        ConfigurationError::NotJson { .. } => (1, ""),
        ConfigurationError::Unreadable(read) => (2, read.path.as_str()),
        ConfigurationError::UnknownService { path, service } => {
            trace.add(service.as_bytes());
            (3, path.as_str())
        }
        ConfigurationError::DuplicateRoute { path, other } => {
            trace.add(other.as_bytes());
            (4, path.as_str())
        }
        ConfigurationError::DuplicateName { path, name } => {
            trace.add(name.as_bytes());
            (5, path.as_str())
        }
        ConfigurationError::ZeroWeights { path } => (6, path.as_str()),
        ConfigurationError::ZeroTimeout { path } => (7, path.as_str()),
        ConfigurationError::VersionNotAbove { sent, current } => {
            trace.add_number(*sent);
            trace.add_number(*current);
            (8, "")
        }
        ConfigurationError::TooLong { .. } => (9, ""),
        ConfigurationError::NothingToChange => (10, ""),
        ConfigurationError::SharedKey { path, other } => {
            trace.add(other.as_bytes());
            (11, path.as_str())
        }
        ConfigurationError::ScalingBounds { path, .. } => (12, path.as_str()),
        ConfigurationError::LargeInteger { key, .. } => (13, key.as_str()),
    };
    trace.add_number(number);
    trace.add_number(u64::from(error.status()));
    trace.add(path.as_bytes());
}

fn add_route(trace: &mut Trace, table: &RouteTable, route: &Route) {
    trace.add_number(route.index as u64);
    for text in [&route.name, &route.hostname, &route.path_prefix] {
        trace.add(text.as_bytes());
    }
    trace.add_number(match route.route_type {
        RouteType::Idempotent => 0,
        RouteType::NonIdempotent => 1,
        RouteType::Streaming => 2,
        RouteType::RolloutControl => 3,
    });
    for time in [route.timeout, route.target_latency, route.target_run] {
        trace.add_number(time.map_or(u64::MAX, TimeLimit::as_millis));
    }
    let max_queue_s = route.max_queue.map(|limit| limit.as_millis() as f64 / 1_000.0);
    trace.add_number(max_queue_s.map_or(u64::MAX, f64::to_bits));
    trace.add_number(u64::from(route.priority));
    trace.add_number(u64::from(route.max_attempts));
    for flag in [route.resumable, route.single_version, route.sticky, route.is_repeatable()] {
        trace.add_number(u64::from(flag));
    }
    route.split.services().for_each(|service| trace.add_number(service as u64));
    trace.add_number(route.split.main_service() as u64);
    for random in [0, 1, 99, 1_000, 12_345_678_901, u64::MAX / 3, u64::MAX] {
        trace.add_number(table.pick(route, random) as u64);
    }
}

fn add_configuration(trace: &mut Trace, configuration: &Configuration) {
    trace.add_number(configuration.version());
    trace.add_number(configuration.fingerprint());
    trace.add(&configuration.to_json());
    let table = RouteTable::compile(configuration);
    trace.add_number(table.version());
    table.routes().iter().for_each(|route| add_route(trace, &table, route));
    for service in table.services() {
        trace.add(service.name.as_bytes());
        trace.add(service.health_path.as_bytes());
        trace.add_number(service.max_connections.map_or(u64::MAX, u64::from));
        trace.add_number(table.service_index(&service.name).map_or(u64::MAX, |index| index as u64));
        let Some(engine) = &service.engine else { continue };
        trace.add_number(u64::from(engine.slots));
        trace.add_number(engine.kv_cache_tokens);
        trace.add_number(engine.kv_token_bytes);
        engine.models.iter().for_each(|model| trace.add(model.as_bytes()));
    }
    let limits = table.limits();
    let bytes = [limits.max_header_bytes, limits.max_body_bytes];
    let times = [limits.header_timeout, limits.idle_timeout].map(TimeLimit::as_millis);
    bytes.into_iter().chain(times).for_each(|limit| trace.add_number(limit));
    for host in ["a.example", "A.EXAMPLE:8144", "b.example", "d.example", ""] {
        for target in ["/", "/one/x", "/one/two/3/x?y=/", "/0/", "/one/two/three/1/2", "/three/2", "*", ""] {
            trace.add_number(table.lookup(host, target).map_or(u64::MAX, |route| route.index as u64));
        }
    }
}

fn trace_hash(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    let mut current: Option<Configuration> = None;
    for _ in 0..DOCUMENTS {
        let is_complete = random.random_bool(0.4);
        let document = if is_complete { random_document(&mut random) } else { random_patch(&mut random) };
        let mut body = document.to_string().into_bytes();
        if random.random_bool(0.05) {
            body.truncate(random.random_range(0..body.len()));
        }
        let base = current.as_ref().filter(|_| random.random_bool(0.5));
        let read = if is_complete {
            Configuration::replace(&body, base)
        } else {
            Configuration::patch(&body, current.as_ref())
        };
        match read {
            Ok(configuration) => {
                add_configuration(&mut trace, &configuration);
                let (json, fingerprint) = (configuration.to_json(), configuration.fingerprint());
                let restored = Configuration::restore(&json, fingerprint).expect("a configuration");
                trace.add(&restored.to_json());
                current = Some(configuration);
            }
            Err(error) => add_error(&mut trace, &error),
        }
    }
    trace.finish()
}

#[test]
fn random_documents_and_patches_are_parsed_as_recorded() {
    let hashes: Vec<(String, u64)> =
        (1..=SEEDS).map(|seed| (format!("seed-{seed}"), trace_hash(seed))).collect();
    check_hashes(&Path::new(FOLDER).join("configurations.txt"), &hashes);
}
