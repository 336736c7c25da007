//! Golden traces of the query language for fixed seeds: the meaning of random bodies, what is found, merged and
//! rejected, and the routing. The reasons of errors are not recorded, because they are meant for people and may be
//! reworded.

use std::path::{Path, PathBuf};

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_search::date::{self, Rounding};
use orchidvalve_search::error::{SearchError, error_body};
use orchidvalve_search::evaluate::{Document, score, search};
use orchidvalve_search::glob::glob_matches;
use orchidvalve_search::json::{Cursor, Json};
use orchidvalve_search::mapping::{Mapping, tokenize};
use orchidvalve_search::query::field_usage;
use orchidvalve_search::request::{CreateRequest, SearchRequest, ShardRequest, parse_time};
use orchidvalve_search::response::{MergedResult, ShardResult, UnusableResponse, created_result, merge};
use orchidvalve_search::routes::{RouteClass, Routes, RoutingContext, ShardWeight, StoreProtocol, hash};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

const FIELDS: [(&str, &str); 8] = [
    ("customer", "keyword"),
    ("notes", "text"),
    ("crew", "long"),
    ("cost", "double"),
    ("paid", "boolean"),
    ("start", "date"),
    ("van.plate", "keyword"),
    ("van.seats", "long"),
];
const NOW: i64 = 1_764_600_000_000;
const DAY: i64 = 86_400_000;
const TEXTS: [&str; 16] = [
    "c1",
    "c2",
    "",
    "piano two",
    "Piano UP",
    "now-1M/M",
    "now-7d/d",
    "2025-11-29",
    "2025-11-30T12:30Z",
    "2026-12-01||+1d/d",
    "1e9",
    "*a?\\",
    "c*",
    "İΣ\u{301}",
    "75%",
    "-1",
];
const SEEDS: u64 = 30;
const BODIES: usize = 120;

/// Returns the path of a golden file. `serde_json` objects keep the insertion order if another package of the build
/// enables that feature, as in a build of the whole workspace; otherwise they are sorted by key. Each order has its own
/// files.
fn golden(file: &str) -> PathBuf {
    let keeps_order = json!({"b": 1, "a": 2}).to_string().starts_with("{\"b\"");
    let order = if keeps_order { "order_of_insertion" } else { "order_of_keys" };
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(order).join(file)
}

fn mapping() -> Mapping {
    Mapping::from_names(&FIELDS).unwrap()
}

fn one_of<T: Copy>(random: &mut Pcg64, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

fn value(random: &mut Pcg64, field: &str) -> Value {
    match (field, random.random_range(0..8)) {
        (_, 0) => json!([one_of(random, &TEXTS), random.random_range(0..9)]),
        (_, 1) => json!(one_of(random, &TEXTS)),
        (_, 2) => Value::Null,
        ("crew" | "van.seats", _) => json!(random.random_range(-2..6)),
        ("cost", _) => json!(f64::from(random.random_range(-4..20)) / 4.0),
        ("paid", _) => json!(random.random::<bool>()),
        ("start", _) => json!(NOW - random.random_range(0..20) * DAY),
        _ => json!(one_of(random, &TEXTS[..5])),
    }
}

fn boosted(random: &mut Pcg64, mut inner: Value) -> Value {
    if random.random_bool(0.3) {
        inner["boost"] = one_of(random, &[json!(2), json!(0.25), json!(0), json!(-1)].each_ref()).clone();
    }
    inner
}

fn leaf(random: &mut Pcg64) -> Value {
    let field = one_of(random, &FIELDS).0;
    let text_field = one_of(random, &["customer", "notes", "van.plate", field]);
    let number_field = one_of(random, &["crew", "cost", "start", field]);
    let (one, other) = (value(random, field), value(random, field));
    let text = one_of(random, &TEXTS);
    match random.random_range(0..12) {
        0 => json!({"match_all": boosted(random, json!({}))}),
        1 => json!({"term": {field: boosted(random, json!({"value": one}))}}),
        2 => json!({"term": {field: one}}),
        3 => json!({"terms": boosted(random, json!({field: [one, other]}))}),
        4 => {
            let (low, high) = (value(random, number_field), value(random, number_field));
            let (from, to) = (one_of(random, &["gt", "gte"]), one_of(random, &["lt", "lte"]));
            json!({"range": {number_field: boosted(random, json!({from: low, to: high}))}})
        }
        5 => {
            let format = one_of(random, &["epoch_second||strict_date", "epoch_millis", "date", "other"]);
            json!({"range": {"start": {"gt": other, "format": format}}})
        }
        6 => {
            let leasts = [json!(1), json!(-1), json!("50%"), json!("-25%"), json!(9)];
            let least = one_of(random, &leasts.each_ref());
            json!({"match": {text_field: {"query": text, "minimum_should_match": least}}})
        }
        7 => {
            json!({"match": {text_field: {"query": text, "operator": one_of(random, &["and", "or", "xor"])}}})
        }
        8 => json!({"prefix": {text_field: {"value": text, "case_insensitive": random.random::<bool>()}}}),
        9 => {
            json!({"wildcard": {text_field: {"wildcard": text, "case_insensitive": random.random::<bool>()}}})
        }
        10 => json!({"exists": {"field": field}}),
        _ => json!({"ids": {"values": [format!("d{}", random.random_range(0..20)), "d7"]}}),
    }
}

fn clause(random: &mut Pcg64, deep: usize) -> Value {
    match random.random_range(0..if deep < 4 { 10 } else { 6 }) {
        0..6 => leaf(random),
        6 => {
            let filter = clause(random, deep + 1);
            json!({"constant_score": boosted(random, json!({"filter": filter}))})
        }
        _ => {
            let mut both = serde_json::Map::new();
            for name in ["must", "filter", "should", "must_not"] {
                if random.random_bool(0.4) {
                    let list = (0..random.random_range(0..3)).map(|_| clause(random, deep + 1)).collect();
                    both.insert(name.to_owned(), list);
                }
            }
            if random.random_bool(0.3) {
                both.insert("minimum_should_match".to_owned(), json!(random.random_range(-1..3)));
            }
            json!({"bool": boosted(random, Value::Object(both))})
        }
    }
}

fn body(random: &mut Pcg64) -> Value {
    let mut body = json!({"query": clause(random, 0)});
    if random.random_bool(0.7) {
        body["size"] = json!(random.random_range(0..12));
    }
    if random.random_bool(0.6) {
        let orders = [
            json!("crew"),
            json!([{"cost": "desc"}, "_score"]),
            json!([{"start": {"order": "asc", "missing": "_first"}}]),
            json!({"paid": {"order": "desc", "missing": "_last"}}),
            json!(["customer", {"van.seats": "desc"}]),
            json!("notes"),
        ];
        body["sort"] = one_of(random, &orders.each_ref()).clone();
    }
    if random.random_bool(0.4) {
        let shown = [
            json!(false),
            json!(["customer", "van"]),
            json!({"excludes": ["*.seats", "notes"]}),
            json!({"includes": ["van.*", "c*"], "excludes": ["cost"]}),
        ];
        body["_source"] = one_of(random, &shown.each_ref()).clone();
    }
    if random.random_bool(0.5) {
        let tracked = [json!(true), json!(false), json!(3), json!(100), json!("some")];
        body["track_total_hits"] = one_of(random, &tracked.each_ref()).clone();
    }
    if random.random_bool(0.2) {
        body["timeout"] = json!(one_of(random, &["480ms", "2s", "5", "1d", "0s", "9micros"]));
    }
    if random.random_bool(0.03) {
        body[one_of(random, &["from", "aggs", "unknown"])] = json!(1);
    }
    body
}

fn document(random: &mut Pcg64, number: usize, mapping: &Mapping) -> Document {
    let notes = ["Piano up", "two stairs", "piano, and a second PIANO", "İΣ\u{301} case"];
    let mut source = json!({
        "customer": format!("c{}", random.random_range(0..4)),
        "notes": one_of(random, &notes),
        "crew": random.random_range(-2..6),
        "van": {"plate": format!("AB{}", random.random_range(0..3)), "seats": [1, random.random_range(0..5)]},
    });
    if random.random_bool(0.7) {
        source["cost"] = json!(f64::from(random.random_range(-4..20)) / 4.0);
    }
    if random.random_bool(0.7) {
        source["paid"] = json!(random.random::<bool>());
    }
    if random.random_bool(0.7) {
        source["start"] = json!(NOW - random.random_range(0..20) * DAY);
    }
    Document::new(&format!("d{number}"), source, mapping).unwrap()
}

fn add_text(trace: &mut Trace, text: &str) {
    trace.add(text.as_bytes());
}

fn add_error(trace: &mut Trace, error: &SearchError) {
    trace.add_number(u64::from(error.status));
    add_text(trace, error.kind);
    add_text(trace, &error.path);
}

fn add_merged(trace: &mut Trace, merged: &MergedResult) {
    add_text(trace, &merged.shards("jobs").to_string());
    add_text(trace, &merged.response("jobs", 7));
    add_text(trace, &merged.count("jobs"));
}

/// Adds the merged results of three shards, one of which may be missing.
fn add_shard_results(trace: &mut Trace, random: &mut Pcg64, request: &SearchRequest, documents: &[Document]) {
    let scores = documents.iter().map(|document| score(&request.query, document));
    scores.for_each(|found| trace.add_number(found.map_or(u64::MAX, f64::to_bits)));
    let texts: Vec<String> =
        (0..3).map(|shard| search(request, documents.iter().skip(shard).step_by(3)).text()).collect();
    texts.iter().for_each(|text| add_text(trace, text));
    let mut results: Vec<(usize, Option<&str>)> =
        texts.iter().enumerate().map(|(shard, text)| (shard, Some(text.as_str()))).collect();
    add_merged(trace, &merge(request, &results));
    results[random.random_range(0..3)].1 = None;
    add_merged(trace, &merge(request, &results));
    let doubled = [(0, Some(texts[0].as_str())), (1, Some(&texts[0])), (2, Some(&texts[1]))];
    add_merged(trace, &merge(request, &doubled));
}

#[test]
fn searches_mean_find_and_merge_as_recorded() {
    let mapping = mapping();
    let (mut hashes, mut accepted) = (Vec::new(), 0);
    for seed in 0..SEEDS {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut trace = Trace::new();
        let documents: Vec<Document> =
            (0..24).map(|number| document(&mut random, number, &mapping)).collect();
        for _ in 0..BODIES {
            let text = body(&mut random).to_string();
            match SearchRequest::read(text.as_bytes(), "jobs", &mapping, NOW) {
                Err(error) => add_error(&mut trace, &error),
                Ok(request) => {
                    accepted += 1;
                    let canonical = request.canonical();
                    add_text(&mut trace, &canonical);
                    add_text(&mut trace, &request.body().to_string());
                    trace.add_number(request.timeout.unwrap_or(0) as u64);
                    field_usage(&request.query).iter().for_each(|(field, count)| {
                        add_text(&mut trace, field);
                        trace.add_number(*count as u64);
                    });
                    let carried = ShardRequest::read(&canonical, |_| Some(&mapping)).unwrap();
                    assert_eq!(carried.canonical(), canonical);
                    add_shard_results(&mut trace, &mut random, &request, &documents);
                }
            }
            match SearchRequest::count(text.as_bytes(), "jobs", &mapping, NOW) {
                Err(error) => add_error(&mut trace, &error),
                Ok(count) => add_text(&mut trace, &count.canonical()),
            }
        }
        hashes.push((format!("seed-{seed}"), trace.finish()));
    }
    assert!(accepted > SEEDS as usize * BODIES / 4, "bodies are accepted: {accepted}");
    check_hashes(&golden("searches.txt"), &hashes);
}

/// Changes some bytes at random.
fn corrupt(random: &mut Pcg64, bytes: &mut Vec<u8>) {
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..bytes.len().max(1)).min(bytes.len().saturating_sub(1));
        match random.random_range(0..3) {
            _ if bytes.is_empty() => {}
            0 => bytes[at] = b"{}[]\",:0-9.eE\\"[random.random_range(0..14)],
            1 => drop(bytes.remove(at)),
            _ => bytes.truncate(bytes.len() - at % 4),
        }
    }
}

#[test]
fn corrupted_bodies_are_rejected_or_parsed_as_recorded() {
    let mapping = mapping();
    let mut hashes = Vec::new();
    for seed in 0..10 {
        let mut random = Pcg64::seed_from_u64(1_000 + seed);
        let mut trace = Trace::new();
        for _ in 0..BODIES {
            let mut bytes = body(&mut random).to_string().into_bytes();
            corrupt(&mut random, &mut bytes);
            match Json::read(&bytes) {
                Err(error) => add_error(&mut trace, &error),
                Ok(json) => {
                    add_text(&mut trace, &json.to_serde().to_string());
                    trace.add_number(Cursor::root(&json).items_or_self().len() as u64);
                }
            }
            match SearchRequest::read(&bytes, "jobs", &mapping, NOW) {
                Err(error) => add_error(&mut trace, &error),
                Ok(request) => add_text(&mut trace, &request.canonical()),
            }
            let carried = ShardRequest::read(&String::from_utf8_lossy(&bytes), |_| Some(&mapping));
            trace.add_number(u64::from(carried.is_ok()));
        }
        hashes.push((format!("seed-{seed}"), trace.finish()));
    }
    check_hashes(&golden("spoilt_bodies.txt"), &hashes);
}

#[test]
fn documents_are_created_as_recorded() {
    let mapping = mapping();
    let documents = [
        r#"{"crew": [1, 2], "van": {"plate": null, "seats": 3}}"#,
        r#"{"van.plate": "x", "start": "2025-11-29", "cost": 2, "paid": false}"#,
        r#"{"notes": ["b", "a"], "customer": "c"}"#,
        r#"{"crew": [1, "2"]}"#,
        r#"{"van": {"wheels": 2}}"#,
        r#"{"start": "soon"}"#,
        r#"[1]"#,
        "",
    ];
    let mut hashes = Vec::new();
    for (number, text) in documents.into_iter().enumerate() {
        let mut trace = Trace::new();
        for routing in [None, Some("c7")] {
            match CreateRequest::read(text.as_bytes(), "jobs", "j1", routing, &mapping) {
                Err(error) => add_error(&mut trace, &error),
                Ok(create) => {
                    let canonical = create.canonical();
                    add_text(&mut trace, &canonical);
                    let carried = ShardRequest::read(&canonical, |_| Some(&mapping)).unwrap();
                    add_text(&mut trace, &carried.canonical());
                }
            }
        }
        hashes.push((format!("document-{number}"), trace.finish()));
    }
    let mut trace = Trace::new();
    add_text(&mut trace, &created_result("a \" b"));
    add_text(&mut trace, &error_body("kind", "why", 418).to_string());
    let error =
        SearchError { kind: "kind", reason: "why".to_owned(), path: "a.b[0]".to_owned(), status: 404 };
    add_text(&mut trace, &error.body().to_string());
    add_text(&mut trace, &SearchError::argument("", "why").body().to_string());
    hashes.push(("errors".to_owned(), trace.finish()));
    check_hashes(&golden("documents.txt"), &hashes);
}

#[test]
fn responses_of_index_servers_are_read_as_recorded() {
    let mut trace = Trace::new();
    for (total, successful, failed, timed_out) in
        [(1, 1, 0, false), (1, 0, 1, false), (2, 2, 0, false), (1, 1, 0, true)]
    {
        for relation in ["eq", "gte", "about"] {
            for hits in [
                json!([]),
                json!([{"_id": "a", "_score": 1.5, "_source": {"b":  1}, "sort": [1, null]}]),
                json!(3),
            ] {
                let hits =
                    json!({"total": {"value": 4, "relation": relation}, "max_score": null, "hits": hits});
                let shards =
                    json!({"total": total, "successful": successful, "skipped": 0, "failed": failed});
                let body =
                    json!({"took": 1, "timed_out": timed_out, "_shards": shards, "hits": hits}).to_string();
                match ShardResult::of_response(body.as_bytes()) {
                    Ok(text) => add_text(&mut trace, text),
                    Err(UnusableResponse::Incomplete(_)) => trace.add_number(1),
                    Err(UnusableResponse::Malformed(_)) => trace.add_number(2),
                }
                match ShardResult::read(&hits.to_string()) {
                    Ok(partial) => add_text(&mut trace, &partial.text()),
                    Err(_) => trace.add_number(3),
                }
            }
        }
    }
    for text in ["", "{}", "{\"hits\":[]}", "{\"hits\":[{\"_id\":\"a\"},{\"_id\":\"a\"}]}", "null"] {
        match ShardResult::read(text) {
            Ok(partial) => add_text(&mut trace, &partial.text()),
            Err(_) => trace.add_number(3),
        }
    }
    check_hashes(&golden("responses.txt"), &[("all", trace.finish())]);
}

fn add_time(trace: &mut Trace, read: Option<i64>) {
    trace.add_number(u64::from(read.is_some()));
    trace.add_number(read.unwrap_or(0) as u64);
}

#[test]
fn dates_times_and_patterns_are_read_as_recorded() {
    let mut hashes = Vec::new();
    for seed in 0..8 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut trace = Trace::new();
        for _ in 0..800 {
            let (year, month, day) =
                (random.random_range(1970..2100), random.random_range(0..14), random.random_range(0..33));
            let date = format!("{year}-{month:02}-{day:02}");
            let clock =
                one_of(&mut random, &["", "T12", "T07:30", "T23:59:59", "T01:02:03.456", "T25", "T1:2"]);
            let zone = one_of(&mut random, &["", "", "Z", "+02:00", "-11:30", "+19:00", "+1"]);
            let maths =
                one_of(&mut random, &["", "", "||+1d/d", "||-3M", "||/w", "||+2y-1h/h", "||/x", "||+"]);
            let text = match random.random_range(0..4) {
                0 => format!("now{}", maths.trim_start_matches('|')),
                1 => random.random_range(-5_000_000_000_000i64..5_000_000_000_000).to_string(),
                _ => format!("{date}{clock}{zone}{maths}"),
            };
            let format = one_of(
                &mut random,
                &[
                    None,
                    None,
                    Some("strict_date"),
                    Some("epoch_second||date"),
                    Some("epoch_millis"),
                    Some("x"),
                ],
            );
            let rounding = if random.random() { Rounding::Up } else { Rounding::Down };
            add_time(&mut trace, date::read(&text, format, NOW, rounding).ok());
            trace.add_number(u64::from(date::check_format(format.unwrap_or("a||date")).is_ok()));
            let offset = date::parse_offset(zone).map(|offset| i64::from(offset.local_minus_utc()));
            add_time(&mut trace, offset);
            let unit = one_of(&mut random, &["nanos", "micros", "ms", "s", "m", "h", "d", "w", ""]);
            add_time(&mut trace, parse_time(&format!("{}{unit}", random.random_range(0..400_000))).ok());
            let pattern: String = (0..random.random_range(0..7))
                .map(|_| one_of(&mut random, &['a', 'b', '*', '?', '\\', 'İ']))
                .collect();
            let held: String =
                (0..random.random_range(0..7)).map(|_| one_of(&mut random, &['a', 'b', '*', 'İ'])).collect();
            trace.add_number(u64::from(glob_matches(&pattern, &held)));
            tokenize(&format!("{held} Two-{pattern}")).iter().for_each(|word| add_text(&mut trace, word));
        }
        hashes.push((format!("seed-{seed}"), trace.finish()));
    }
    check_hashes(&golden("dates.txt"), &hashes);
}

const ROUTES: &str = r#"
[index.jobs]
grade = "look"
create = "hold"
slices = "routing"
fields = { customer = "keyword" }
[index.vans]
grade = "look"
slices = "all"
weights = [1.0, 1.0, 2.0, 4.0]
routing_shards = 24
fields = { plate = "keyword" }
[index.some]
grade = "look"
create = "hold"
slices = [2, 0]
fields = { plate = "keyword" }
[index.one]
grade = "look"
create = "hold"
slices = [3]
fields = { plate = "keyword" }
[[stores]]
id = "s-9"
wire = "frames"
[[stores]]
flavor = "os-*"
locality = "a"
wire = "search"
[pool]
connections = 3
"#;

fn routing_context() -> RoutingContext {
    let class = |name: &str, has_idempotency_key| RouteClass { name: name.into(), has_idempotency_key };
    RoutingContext { classes: vec![class("look", false), class("hold", true)], shards: 4 }
}

fn add_shard_weights(trace: &mut Trace, weights: Result<Vec<ShardWeight>, SearchError>) {
    match weights {
        Err(error) => add_error(trace, &error),
        Ok(weights) => weights.iter().for_each(|shard| {
            trace.add_number(shard.shard as u64);
            trace.add_number(shard.weight.to_bits());
        }),
    }
}

#[test]
fn queries_and_documents_are_routed_as_recorded() {
    let routes = Routes::read(ROUTES, &routing_context()).unwrap();
    let mut hashes = Vec::new();
    for seed in 0..8 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut trace = Trace::new();
        for _ in 0..300 {
            let name = one_of(&mut random, &["jobs", "vans", "some", "one", "none"]);
            let value = format!("c{}", random.random_range(0..100));
            trace.add_number(hash(&value) as u32 as u64);
            let routing = match random.random_range(0..5) {
                0 | 1 => None,
                2 => Some(format!("{value},d7")),
                3 => Some(value.clone()),
                _ => Some(format!("{value},")),
            };
            let preference = one_of(
                &mut random,
                &[None, None, Some("_shards:1,3"), Some("_shards:2"), Some("_local"), Some("_shards:9")],
            );
            match routes.index(name) {
                Err(error) => add_error(&mut trace, &error),
                Ok(index) => {
                    trace.add_number(index.shard_of(&value) as u64);
                    trace.add_number(index.class as u64);
                    trace.add_number(index.create.map_or(9, |grade| grade as u64));
                    add_shard_weights(&mut trace, index.shard_weights(routing.as_deref(), preference));
                    match index.document_shard(&value, routing.as_deref()) {
                        Err(error) => add_error(&mut trace, &error),
                        Ok(shard) => trace.add_number(shard as u64),
                    }
                }
            }
            let (id, flavor) = (one_of(&mut random, &["s-9", "s-1"]), one_of(&mut random, &["os-2", "own"]));
            let is_search =
                routes.store_protocol(id, flavor, one_of(&mut random, &["a", "b"])) == StoreProtocol::Search;
            trace.add_number(u64::from(is_search));
        }
        hashes.push((format!("seed-{seed}"), trace.finish()));
    }
    let mut trace = Trace::new();
    let pool = routes.pool;
    for number in [pool.connections as i64, pool.waiting as i64, pool.wait_ms, pool.read_out_ms] {
        trace.add_number(number as u64);
    }
    trace.add_number(u64::from(pool.closes_a_second));
    trace.add_number(u64::from(routes.any_search_store()));
    for class in Routes::classes_named(ROUTES) {
        add_text(&mut trace, &class.name);
        trace.add_number(u64::from(class.has_idempotency_key));
    }
    hashes.push(("pool-and-grades".to_owned(), trace.finish()));
    check_hashes(&golden("routes.txt"), &hashes);
}
