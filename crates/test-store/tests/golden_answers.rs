//! The bytes that the stubs send on real connections, compared with recorded ones.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use orchidvalve_golden::check_samples;
use orchidvalve_search::evaluate::Document;
use orchidvalve_search::routes::{RouteClass, Routes, RoutingContext};
use orchidvalve_test_store::discovery::DiscoveryAgent;
use orchidvalve_test_store::{Documents, Fault, FaultPlan, Store};
use serde_json::json;

const TOO_LONG: Duration = Duration::from_secs(20);

const ROUTES: &str = r#"
[index.jobs]
grade = "look"
create = "hold"
slices = "all"
[index.jobs.fields]
customer = "keyword"
crew = "long"
"#;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts a store with three shards and six documents.
fn store() -> Store {
    let class = |name: &str, has_idempotency_key| RouteClass { name: name.to_owned(), has_idempotency_key };
    let context = RoutingContext { classes: vec![class("look", false), class("hold", true)], shards: 3 };
    let routes = Arc::new(Routes::read(ROUTES, &context).unwrap());
    let mut documents = Documents::new(routes.clone());
    let index = routes.index("jobs").unwrap();
    for n in 0..6 {
        let source = json!({"customer": format!("c{}", n % 2), "crew": n});
        let document = Document::new(&format!("d{n}"), source, &index.mapping).unwrap();
        let shard = index.document_shard(&document.id, None).unwrap();
        assert!(documents.insert("jobs", shard, document));
    }
    Store::start(any(), Arc::new(Mutex::new(documents))).unwrap()
}

fn frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

fn shard_request(id: &str, shard: usize, text: &str) -> String {
    format!("{id}.{shard} {shard} d=480 {}\n{text}", text.len())
}

/// Sends bytes on a new connection, and returns all bytes received until the other side closes it.
fn exchange(address: SocketAddr, sent: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TOO_LONG)).unwrap();
    stream.write_all(sent).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    answer
}

const SEARCH: &str = r#"{"search":{"index":"jobs","body":{"query":{"term":{"customer":"c1"}}}}}"#;
const CREATE: &str = r#"{"create":{"index":"jobs","id":"n1","document":{"customer":"c9","crew":4}}}"#;

/// All faults except two: `Held`, which waits for a release, and `Trickled`, which sends byte by byte.
const FAULTS: [(&str, Fault); 10] = [
    ("silent", Fault::Silent),
    ("stall", Fault::Stalled),
    ("slow", Fault::Slow),
    ("full", Fault::Rejected),
    ("error", Fault::Error),
    ("garbled", Fault::Garbled),
    ("short", Fault::Incomplete),
    ("late", Fault::TimedOut),
    ("cut", Fault::Truncated),
    ("dead", Fault::Disconnected),
];

fn request(method: &str, path: &str, body: &str) -> Vec<u8> {
    let head = format!("{method} {path} HTTP/1.1\r\nHost: s\r\nX-Opaque-Id: r1.0\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[test]
fn a_store_sends_the_recorded_frames() {
    let store = store();
    let mut samples = Vec::new();
    let mut record = |name: String, sent: Vec<u8>| samples.push((name, exchange(store.address, &sent)));
    record("probe".to_owned(), frame("3"));
    record("probe-of-load".to_owned(), frame("4"));
    record("unknown-frame".to_owned(), frame("9what"));
    record("cancel".to_owned(), frame("2r1.0"));
    let call: String = (0..3).map(|shard| shard_request("r1", shard, SEARCH)).collect();
    record("call-of-three-parts".to_owned(), frame(&format!("1{call}")));
    record("call-that-cannot-be-run".to_owned(), frame(&format!("1{}", shard_request("r2", 0, "{}"))));
    record("create".to_owned(), frame(&format!("1{}", shard_request("r3", 1, CREATE))));
    record("create-again".to_owned(), frame(&format!("1{}", shard_request("r4", 1, CREATE))));
    for (name, fault) in FAULTS {
        store.set_faults(FaultPlan { default: Some(fault), ..FaultPlan::default() });
        record(format!("call-{name}"), frame(&format!("1{}", shard_request("r5", 0, SEARCH))));
    }
    store.set_faults(FaultPlan { health_checks: Some(Fault::Error), ..FaultPlan::default() });
    record("probe-error".to_owned(), frame("3"));
    record("probe-of-load-error".to_owned(), frame("4"));
    check_samples(&golden("frames.txt"), &samples);
    let observed = store.observations();
    assert_eq!((observed.payloads.len(), observed.cancelled, observed.health_checks), (16, 1, 4));
}

#[test]
fn a_store_sends_the_recorded_http_responses() {
    let store = store();
    let mut samples = Vec::new();
    let mut record = |name: String, sent: Vec<u8>| samples.push((name, exchange(store.address, &sent)));
    let search = "/jobs/_search?preference=_shards:1&timeout=480ms&allow_partial_search_results=false";
    let body = r#"{"query":{"term":{"customer":"c1"}}}"#;
    let document = r#"{"customer":"c9","crew":4}"#;
    let probe = "/_nodes/_local/stats/thread_pool";
    record("probe".to_owned(), request("GET", probe, ""));
    record("search".to_owned(), request("POST", search, body));
    record("search-that-cannot-be-read".to_owned(), request("POST", search, r#"{"query":{"fuzzy":{}}}"#));
    record("create".to_owned(), request("PUT", "/jobs/_create/n1?timeout=480ms", document));
    record("create-again".to_owned(), request("PUT", "/jobs/_create/n1?timeout=480ms", document));
    record(
        "create-routed".to_owned(),
        request("PUT", "/jobs/_create/n%202?timeout=480ms&routing=c%2F7", document),
    );
    record("no-such-path".to_owned(), request("GET", "/nothing", ""));
    for (name, fault) in FAULTS {
        store.set_faults(FaultPlan {
            default: Some(fault),
            health_checks: Some(fault),
            ..FaultPlan::default()
        });
        record(format!("search-{name}"), request("POST", search, body));
        record(format!("create-{name}"), request("PUT", &format!("/jobs/_create/{name}"), document));
        record(format!("probe-{name}"), request("GET", probe, ""));
    }
    check_samples(&golden("requests.txt"), &samples);
}

#[test]
fn the_first_rule_whose_text_occurs_in_a_payload_decides() {
    let store = store();
    let rules = vec![("c1".to_owned(), Fault::Rejected), ("jobs".to_owned(), Fault::Error)];
    store.set_faults(FaultPlan { rules, default: Some(Fault::Truncated), health_checks: None });
    let other = SEARCH.replace("c1", "c2");
    let call = [shard_request("r1", 0, SEARCH), shard_request("r1", 1, &other)].concat();
    check_samples(&golden("rules.txt"), &[("call", exchange(store.address, &frame(&format!("1{call}"))))]);
}

#[test]
fn the_discovery_agent_sends_the_recorded_responses() {
    let agent = DiscoveryAgent::start(any(), json!([{"id": "s-0", "cell": 0}])).unwrap();
    // The agent keeps connections open, so the response is read up to the length stated in its head.
    let request_list = |path: &str| {
        let mut stream = TcpStream::connect(agent.address).unwrap();
        stream.set_read_timeout(Some(TOO_LONG)).unwrap();
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).unwrap();
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            answer.extend_from_slice(&byte);
        }
        let head = String::from_utf8(answer.clone()).unwrap();
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        stream.read_exact(&mut body).unwrap();
        answer.extend_from_slice(&body);
        answer
    };
    let mut samples = vec![
        ("whole-list", request_list("/catalog/members")),
        ("watch-with-news", request_list("/catalog/members?from=0&hold_ms=20000")),
        ("watch-without-news", request_list("/catalog/members?from=1&hold_ms=0")),
    ];
    agent.publish(json!([{"id": "s-1", "cell": 1}]));
    samples.push(("watch-after-a-change", request_list("/catalog/members?from=1&hold_ms=20000")));
    check_samples(&golden("agent.txt"), &samples);
    assert_eq!(
        agent.requests().iter().map(|request| request.from).collect::<Vec<_>>(),
        [None, Some(0), Some(1), Some(1)]
    );
}

/// Scenarios refer to faults by these names.
#[test]
fn faults_are_deserialized_from_their_names() {
    for (name, fault) in FAULTS.into_iter().chain([("held", Fault::Held), ("trickle", Fault::Trickled)]) {
        assert_eq!(serde_json::from_value::<Fault>(json!(name)).unwrap(), fault);
    }
}
