//! Lookup of routes and choice of services.

use std::sync::Arc;

use orchidvalve_configuration::{Configuration, RouteTable, RouteType};
use orchidvalve_protocol::time_limit::TimeLimit;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};

fn table(routes: Value) -> Arc<RouteTable> {
    let document = json!({
        "config-version": 3, "routes": routes,
        "services": [{"name": "blue", "engine": {"slots": 12, "kv-cache-tokens": 500, "kv-token-bytes": 18432,
            "models": [{"name": "large"}]}, "max-connections": 170}, {"name": "green"}, {"name": "red"}]
    });
    let configuration = Configuration::replace(document.to_string().as_bytes(), None).unwrap();
    RouteTable::compile(&configuration)
}

fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({"name": name, "hostname": host, "path-prefix": prefix, "service": "blue"})
}

fn nested() -> Arc<RouteTable> {
    table(json!([
        route("short", "a.example", "/one/"),
        route("long", "a.example", "/one/two/"),
        route("other", "b.example", "/one/"),
        route("all", "c.example:8080", "/"),
    ]))
}

#[rstest]
#[case("a.example", "/one/x", Some("short"))]
#[case("a.example", "/one/", Some("short"))]
#[case("a.example", "/one", None)]
#[case("a.example", "/onely/x", None)]
#[case("a.example", "/one/two/x", Some("long"))]
#[case("a.example", "/one/two", Some("short"))]
#[case("a.example", "/one/twofold/x", Some("short"))]
#[case("a.example", "/one/two/three/four/five/", Some("long"))]
#[case("a.example", "/one/x?y=/one/two/", Some("short"))]
#[case("a.example", "/one?/", None)]
#[case("a.example", "/two/one/", None)]
#[case("a.example", "", None)]
#[case("a.example", "*", None)]
#[case("A.EXAMPLE", "/one/x", Some("short"))]
#[case("a.example:8144", "/one/x", Some("short"))]
#[case("A.example:1", "/one/two/", Some("long"))]
#[case("a.example:port", "/one/x", None)]
#[case("b.example", "/one/two/x", Some("other"))]
#[case("d.example", "/one/x", None)]
#[case("", "/one/x", None)]
#[case("c.example", "/", Some("all"))]
#[case("c.example", "/anything/at/all", Some("all"))]
fn the_longest_matching_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] target: &str,
    #[case] expected: Option<&str>,
) {
    let table = nested();
    let found = table.lookup(host, target);
    assert_eq!(found.map(|route| route.name.as_str()), expected);
    assert!(found.is_none_or(|route| std::ptr::eq(route, &table.routes()[route.index])));
}

/// The lookup agrees with a linear search of all routes.
#[test]
fn lookups_agree_with_a_linear_search() {
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let segments = ["a", "b", "ab", "c"];
    let path = |random: &mut Pcg64Mcg, max_segments: usize| {
        let mut path = "/".to_owned();
        for _ in 0..random.random_range(0..=max_segments) {
            path.push_str(segments[random.random_range(0..segments.len())]);
            path.push('/');
        }
        path
    };
    let mut prefixes: Vec<String> = (0..25).map(|_| path(&mut random, 4)).collect();
    prefixes.sort();
    prefixes.dedup();
    prefixes.retain(|prefix| prefix != "/");
    let routes: Vec<Value> = prefixes.iter().map(|prefix| route(prefix, "a.example", prefix)).collect();
    let table = table(json!(routes));
    for _ in 0..2000 {
        let mut target = path(&mut random, 6);
        if random.random_bool(0.5) {
            target.pop();
        }
        let expected =
            prefixes.iter().filter(|prefix| target.starts_with(*prefix)).max_by_key(|prefix| prefix.len());
        let found = table.lookup("a.example", &target).map(|route| route.path_prefix.to_string());
        assert_eq!(found.as_ref(), expected, "{target}");
    }
}

#[test]
fn fields_of_routes_and_services_are_parsed() {
    let table = table(json!([{
        "name": "batch", "hostname": "A.example", "path-prefix": "/b/", "route-type": "rollout_control",
        "timeout-ms": 8000, "target-latency-ms": 500, "target-run-ms": 4000, "max-queue-s": 7.5, "priority": 1,
        "max-attempts": 3, "single-version": true, "sticky": true, "resumable": true, "service": "green"
    }]));
    assert_eq!(table.version(), 3);
    let route = &table.routes()[0];
    assert_eq!(route.hostname, "a.example");
    assert_eq!(route.route_type, RouteType::RolloutControl);
    assert_eq!(route.timeout, Some(TimeLimit::from_millis(8_000)));
    assert_eq!(route.target_latency, Some(TimeLimit::from_millis(500)));
    assert_eq!(route.target_run, Some(TimeLimit::from_millis(4_000)));
    assert_eq!(route.max_queue, Some(TimeLimit::from_millis(7_500)));
    assert_eq!((route.priority, route.max_attempts), (1, 3));
    assert!(route.single_version && route.sticky && route.resumable);
    assert_eq!(route.split.services().collect::<Vec<_>>(), [1]);
    let service = &table.services()[0];
    assert_eq!(service.health_path, "/health");
    assert_eq!(service.max_connections, Some(170));
    let engine = service.engine.as_ref().unwrap();
    assert_eq!((engine.slots, engine.kv_cache_tokens, engine.kv_token_bytes), (12, 500, 18432));
    assert_eq!(engine.models, ["large"]);
    assert_eq!(table.service_index("red"), Some(2));
    assert_eq!(table.service_index("grey"), None);
}

/// Guards against times that overflow when they are added to a clock reading: the largest numbers mean "no limit".
#[rstest]
#[case::largest_signed_number(json!(i64::MAX))]
#[case::largest_unsigned_number(json!(u64::MAX))]
#[case::largest_float(json!(f64::MAX))]
fn times_above_the_longest_limit_count_as_the_longest_limit(#[case] time: Value) {
    let mut batch = route("batch", "a.example", "/b/");
    for field in ["timeout-ms", "target-latency-ms", "target-run-ms", "max-queue-s"] {
        batch[field] = time.clone();
    }
    let limits = json!({"header-timeout-ms": time.clone(), "idle-timeout-ms": time.clone()});
    let scaling = json!({"min-count": 1, "max-count": 2, "boot-s": time});
    let document = json!({"config-version": 1, "routes": [batch], "limits": limits,
        "services": [{"name": "blue", "scaling": scaling}]});
    let configuration = Configuration::replace(document.to_string().as_bytes(), None).unwrap();
    let table = configuration.routes();
    let route = &table.routes()[0];
    for limit in [route.timeout, route.target_latency, route.target_run, route.max_queue] {
        assert_eq!(limit, Some(TimeLimit::MAX));
    }
    assert_eq!([table.limits().header_timeout, table.limits().idle_timeout], [TimeLimit::MAX; 2]);
    assert_eq!(table.services()[0].scaling.as_ref().map(|scaling| scaling.boot), Some(TimeLimit::MAX));
}

#[rstest]
#[case(json!("idempotent"), RouteType::Idempotent, true)]
#[case(json!("non_idempotent"), RouteType::NonIdempotent, false)]
#[case(json!("streaming"), RouteType::Streaming, false)]
#[case(json!("rollout_control"), RouteType::RolloutControl, true)]
#[case(json!("of_tomorrow"), RouteType::NonIdempotent, false)]
#[case(Value::Null, RouteType::NonIdempotent, false)]
fn unknown_route_types_count_as_non_idempotent(
    #[case] name: Value,
    #[case] expected: RouteType,
    #[case] repeatable: bool,
) {
    let mut entry = route("r", "a.example", "/r/");
    entry["route-type"] = name;
    let table = table(json!([entry]));
    assert_eq!(table.routes()[0].route_type, expected);
    assert_eq!(table.routes()[0].is_repeatable(), repeatable);
    assert_eq!(table.routes()[0].max_attempts, 1);
}

fn split(weights: Value) -> Arc<RouteTable> {
    let mut entry = route("r", "a.example", "/r/");
    entry["traffic-split"] = weights;
    table(json!([entry]))
}

#[test]
fn services_are_picked_by_weight() {
    let table = split(json!([
        {"service": "blue", "weight": 90}, {"service": "red", "weight": 0}, {"service": "green", "weight": 10}
    ]));
    let route = &table.routes()[0];
    let mut counts = [0; 3];
    let mut random = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..10_000 {
        counts[table.pick(route, random.random())] += 1;
    }
    assert_eq!(counts[2], 0, "a service without weight gets nothing");
    assert!((8_800..9_200).contains(&counts[0]), "{counts:?}");
    assert_eq!(route.split.main_service(), 0);
    assert_eq!(route.split.services().collect::<Vec<_>>(), [0, 1]);
}

#[test]
fn fractions_and_repeated_services_count() {
    let table = split(json!([
        {"service": "blue", "weight": 0.2}, {"service": "green", "weight": 0.00001}, {"service": "blue", "weight": 0.3}
    ]));
    let route = &table.routes()[0];
    assert_eq!(route.split.services().collect::<Vec<_>>(), [0, 1, 0]);
    let scale = f64::from(1 << 20) * f64::from(1 << 20) / 0.3;
    let ends = [0.2, 0.20001, 0.50001].map(|sum| (sum * scale).round() as u64);
    for (end, service, next) in [(ends[0], 0, 1), (ends[1], 1, 0), (ends[2], 0, 0)] {
        assert_eq!((table.pick(route, end - 3), table.pick(route, end + 3)), (service, next), "{ends:?}");
    }
}

/// Guards against shares of traffic that are not those of the weights, because weights were rounded or bounded.
#[rstest]
#[case::thousandths(json!(0.0009), json!(0.0001))]
#[case::tiny(json!(9e-300), json!(1e-300))]
#[case::large(json!(9e12), json!(1e12))]
#[case::largest(json!(1.79e308), json!(1.79e308 / 9.0))]
#[case::beyond_the_integers(json!(8_301_034_833_169_298_227_u64), json!(922_337_203_685_477_581_u64))]
fn weights_of_any_size_keep_their_ratio(#[case] blue: Value, #[case] green: Value) {
    let table = split(json!([{"service": "blue", "weight": blue}, {"service": "green", "weight": green}]));
    let route = &table.routes()[0];
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let picks_of_green = (0..10_000).filter(|_| table.pick(route, random.random()) == 1).count();
    assert!((900..1_100).contains(&picks_of_green), "{picks_of_green}");
}

/// Guards against a configuration that is refused because a limit is the largest number, for "no limit".
#[rstest]
#[case::largest_signed_number(json!(i64::MAX))]
#[case::largest_unsigned_number(json!(u64::MAX))]
#[case::largest_float(json!(f64::MAX))]
fn the_largest_numbers_are_accepted_as_limits(#[case] largest: Value) {
    let mut entry = route("r", "a.example", "/r/");
    for name in
        ["max-attempts", "priority", "timeout-ms", "target-latency-ms", "target-run-ms", "max-queue-s"]
    {
        entry[name] = largest.clone();
    }
    let scaling = json!({"min-count": 1, "max-count": largest, "boot-s": largest});
    let document = json!({"config-version": 1, "routes": [entry],
        "services": [{"name": "blue", "max-connections": largest, "scaling": scaling}],
        "tenants": [{"name": "t", "priority": largest}],
        "limits": {"max-header-bytes": largest, "max-body-bytes": largest, "idle-timeout-ms": largest}});
    let configuration = Configuration::replace(document.to_string().as_bytes(), None).unwrap();
    let table = configuration.routes();
    assert_eq!(table.routes()[0].max_attempts, u32::MAX);
    assert!(table.limits().max_body_bytes >= i64::MAX as u64);
    assert_eq!(table.services()[0].scaling.as_ref().map(|scaling| scaling.max_count), Some(u32::MAX));
}

#[test]
fn a_single_service_is_always_picked() {
    let table = nested();
    for random in [0, 1, u64::MAX] {
        assert_eq!(table.pick(&table.routes()[1], random), 0);
    }
}
