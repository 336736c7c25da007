//! The interpretation of client requests under both client protocols, and the bytes of the responses to each outcome,
//! compared with a recording.

use std::path::PathBuf;

use orchidvalve_frontnode::client_protocol::{self, Interpretation};
use orchidvalve_frontnode::config::{self, NodeConfig};
use orchidvalve_frontnode::http;
use orchidvalve_frontnode::reply::{Outcome, Reply};
use orchidvalve_golden::check_samples;
use serde_json::json;

const SLICES: usize = 3;
const SINCE: i64 = 1_750_000_000_123_456_789;

const ROUTES: &str = r#"
[index.jobs]
grade = "look"
create = "hold"
slices = "all"
[index.jobs.fields]
customer = "keyword"
notes = "text"
crew = "long"
[index.vans]
grade = "van-search"
slices = "all"
weights = [0.5, 0.3, 0.2]
[index.vans.fields]
customer = "keyword"
[index.moves]
grade = "look"
slices = "routing"
[index.moves.fields]
customer = "keyword"
[[stores]]
flavor = "os*"
wire = "search"
"#;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn config(test_name: &str, routed: bool, tenants: bool) -> NodeConfig {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64,
               "windowNs": 300_000_000})
    };
    let mut settings = json!({
        "classes": [class("look", "pure"), class("van-search", "pure"), class("hold", "token")],
        "extra": {"positions": SLICES, "reach": 2, "slices": SLICES},
        "limits": {"attemptsCap": 4}
    });
    if tenants {
        settings["projects"] = json!([{"name": "acme"}, {"name": "other"}]);
    }
    let routes = format!("{}/golden-{test_name}.toml", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&routes, ROUTES).unwrap();
    let mut document = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964", "known": {"members": []}, "settings": settings});
    if routed {
        document["search"] = json!(routes);
    }
    config::read(&document.to_string(), config::OperatorFiles::default()).unwrap().0
}

fn bytes(reply: &Reply, keeps_alive: bool) -> Vec<u8> {
    let mut out = Vec::new();
    http::write_response(
        &mut out,
        reply.status,
        reply.content_type,
        &reply.headers,
        &reply.body,
        keeps_alive,
    );
    out
}

/// Records the interpretation of a request and the responses to each outcome of its queries.
fn record(samples: &mut Vec<(String, Vec<u8>)>, config: &NodeConfig, name: &str, message: &[u8]) {
    let protocols = client_protocol::protocols(config);
    let message = http::parse_request(message).unwrap().unwrap();
    let interpretation = protocols.iter().find_map(|protocol| protocol.interpret(&message, SINCE, config));
    let (queries, combine) = match interpretation {
        None => return samples.push((format!("{name}/nobody"), Vec::new())),
        Some(Interpretation::Answered(reply)) => {
            return samples.push((format!("{name}/answered"), bytes(&reply, true)));
        }
        Some(Interpretation::Queries { queries, combine }) => (queries, combine),
    };
    let mut words = Vec::new();
    for one in &queries {
        match one {
            Err(reply) => words.push(format!("refused {}", String::from_utf8(bytes(reply, false)).unwrap())),
            Ok(one) => {
                let shards: Vec<String> =
                    one.shards.iter().map(|shard| format!("{}:{}", shard.shard, shard.weight)).collect();
                words.push(format!(
                    "id {} class {} tenant {} until {} work {} again {} floor {} key {} parts {} text {}",
                    one.id,
                    one.service_class,
                    one.tenant,
                    one.deadline,
                    one.estimated_work,
                    one.is_retry,
                    one.min_weight,
                    one.idempotency_key.as_deref().unwrap_or("none"),
                    shards.join(" "),
                    one.payload
                ));
            }
        }
    }
    samples.push((format!("{name}/asked"), words.join("\n").into_bytes()));
    let hits = |id: &str, score: f64| {
        json!({"total": {"value": 1, "relation": "eq"}, "max_score": score,
               "hits": [{"_index": "jobs", "_id": id, "_score": score, "_source": {"crew": 1}}]})
        .to_string()
    };
    let values = [hits("a", 1.5), hits("b", 0.5), "a\"b\\c\n".to_owned()];
    let whole = [(0, Some(&*values[0])), (1, Some(&*values[1]))];
    let short = [(0, Some(&*values[0])), (1, None)];
    let text = [(0, Some(&*values[2])), (2, Some(""))];
    for (outcome_name, outcome) in [
        ("whole", Outcome::Answered { complete: true, shards: &whole }),
        ("short", Outcome::Answered { complete: false, shards: &short }),
        ("empty", Outcome::Answered { complete: false, shards: &[] }),
        ("text", Outcome::Answered { complete: true, shards: &text }),
        ("dismissed", Outcome::Rejected(0)),
        ("dismissed-for-a-time", Outcome::Rejected(1_500_000_000)),
        ("given-up", Outcome::Expired),
        ("open-already", Outcome::DuplicateId),
        ("over-the-cap", Outcome::Overloaded),
    ] {
        let replies = queries.iter().map(|one| match one {
            Ok(one) => one.reply_format.reply(outcome, 7_654_321),
            Err(reply) => reply.clone(),
        });
        samples.push((format!("{name}/{outcome_name}"), bytes(&combine(replies.collect(), 9_876_543), true)));
    }
}

fn own(headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let headers: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("POST /api HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

const HEADERS: [(&str, &str); 5] = [
    ("Request-Id", "r1"),
    ("Request-Class", "look"),
    ("Request-Timeout", "480m"),
    ("Tenant", "other"),
    ("Idempotency-Key", "k-1"),
];

/// Returns the headers with another value for one of them, or without it if the value is empty.
fn headers_with<'a>(name: &str, value: &'a str) -> Vec<(&'a str, &'a str)> {
    let changed = HEADERS.iter().map(|&(n, v)| if n == name { (n, value) } else { (n, v) });
    changed.filter(|(_, value)| !value.is_empty()).collect()
}

const BODY: &str =
    r#"{"slices":[{"slice":0,"mass":0.33333},{"slice":2,"mass":0.66666,"micros":1500.5}],"filter":"c41"}"#;

#[test]
fn the_own_protocol_matches_the_recording() {
    let config = config("own", false, true);
    let mut samples = Vec::new();
    let mut message = |name: &str, message: Vec<u8>| record(&mut samples, &config, name, &message);
    message("two-parts", own(&HEADERS, BODY));
    message("receipted", own(&headers_with("Request-Class", "hold"), BODY));
    message("asked-again", own(&[&HEADERS[..], &[("Client-Retry", "1")]].concat(), BODY));
    message("microseconds", own(&headers_with("Request-Timeout", "250000u"), BODY));
    for (name, header, value) in [
        ("no-id", "Request-Id", ""),
        ("id-with-comma", "Request-Id", "a,b"),
        ("no-class", "Request-Class", ""),
        ("unknown-class", "Request-Class", "lock"),
        ("no-timeout", "Request-Timeout", ""),
        ("timeout-without-unit", "Request-Timeout", "480"),
        ("timeout-of-nothing", "Request-Timeout", "0m"),
        ("timeout-too-long", "Request-Timeout", "99999999999999999999m"),
        ("no-tenant", "Tenant", ""),
        ("unknown-tenant", "Tenant", "nobody"),
    ] {
        message(name, own(&headers_with(header, value), BODY));
    }
    let receipted =
        [("Request-Id", "r1"), ("Request-Class", "hold"), ("Request-Timeout", "1m"), ("Tenant", "acme")];
    message("no-key", own(&receipted, BODY));
    message("id-twice", own(&[&HEADERS[..], &[("Request-Id", "r2")]].concat(), BODY));
    for (name, body) in [
        ("no-json", "{"),
        ("no-object", "[]"),
        ("no-slices", r#"{"filter":"x"}"#),
        ("no-part", r#"{"slices":[],"filter":"x"}"#),
        ("no-filter", r#"{"slices":[{"slice":0,"mass":1}]}"#),
        ("no-slice", r#"{"slices":[{"mass":1}],"filter":"x"}"#),
        ("no-mass", r#"{"slices":[{"slice":0}],"filter":"x"}"#),
        ("no-such-shard", r#"{"slices":[{"slice":3,"mass":1}],"filter":"x"}"#),
        ("shard-twice", r#"{"slices":[{"slice":0,"mass":0.5},{"slice":0,"mass":0.5}],"filter":"x"}"#),
        ("no-weight", r#"{"slices":[{"slice":0,"mass":0}],"filter":"x"}"#),
        ("weight-too-large", r#"{"slices":[{"slice":0,"mass":1.1}],"filter":"x"}"#),
        ("weights-do-not-add-up", r#"{"slices":[{"slice":0,"mass":0.5}],"filter":"x"}"#),
        ("bad-hint", r#"{"slices":[{"slice":0,"mass":1,"micros":"x"}],"filter":"x"}"#),
    ] {
        message(name, own(&HEADERS, body));
    }
    message("other-method", b"GET /api HTTP/1.1\r\n\r\n".to_vec());
    message("other-path", b"POST /apis HTTP/1.1\r\n\r\n".to_vec());
    check_samples(&golden("own_protocol.txt"), &samples);
}

#[test]
fn the_own_protocol_in_front_of_search_stores_matches_the_recording() {
    let config = config("own-routed", true, false);
    let mut samples = Vec::new();
    let mut filter = |name: &str, class: &str, filter: &str| {
        let body = json!({"slices": [{"slice": 0, "mass": 1}], "filter": filter}).to_string();
        record(&mut samples, &config, name, &own(&headers_with("Request-Class", class), &body));
    };
    filter("search", "look", r#"{"search":{"index":"jobs","body":{"size":1}}}"#);
    filter("create", "hold", r#"{"create":{"index":"jobs","id":"k-1","document":{"crew":1}}}"#);
    filter("create-other-key", "hold", r#"{"create":{"index":"jobs","id":"k-2","document":{"crew":1}}}"#);
    filter("unread", "look", "c41e77d0");
    check_samples(&golden("own_protocol_routed.txt"), &samples);
}

fn search(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

#[test]
fn the_search_protocol_matches_the_recording() {
    let config = config("search", true, false);
    let mut samples = Vec::new();
    let mut message = |name: &str, message: Vec<u8>| record(&mut samples, &config, name, &message);
    let query = r#"{"query":{"term":{"customer":"c 1"}},"size":3}"#;
    let document = r#"{"customer":"c1","crew":3}"#;
    let marked = "X-Opaque-Id: m7\r\n";
    message("search", search("POST", "/jobs/_search", marked, query));
    message("search-get", search("GET", "/jobs/_search", "Client-Retry: 1\r\n", ""));
    message("search-weights", search("POST", "/vans/_search?timeout=900ms", "", "{}"));
    message("search-routed", search("POST", "/moves/_search?routing=c1", "", "{}"));
    message("search-unrouted", search("POST", "/moves/_search", "", "{}"));
    message("search-preference", search("POST", "/jobs/_search?preference=_shards:1", "", "{}"));
    message(
        "search-all-or-nothing",
        search("POST", "/jobs/_search?allow_partial_search_results=false", "", "{}"),
    );
    message("search-partial", search("POST", "/jobs/_search?allow_partial_search_results", "", "{}"));
    message("search-two-timeouts", search("POST", "/jobs/_search?timeout=1s", "", r#"{"timeout":"2s"}"#));
    message("search-parameter-twice", search("POST", "/jobs/_search?routing=a&routing=b", "", "{}"));
    message("search-unknown-parameter", search("POST", "/jobs/_search?filter_path=hits", "", "{}"));
    message("search-bad-flag", search("POST", "/jobs/_search?allow_partial_search_results=maybe", "", "{}"));
    message("search-bad-timeout", search("POST", "/jobs/_search?timeout=5", "", "{}"));
    message("search-bad-escape", search("POST", "/jobs/_search?timeout=%zz", "", "{}"));
    message(
        "search-bad-query",
        search("POST", "/jobs/_search", marked, r#"{"query":{"fuzzy":{"customer":"c"}}}"#),
    );
    message("search-bad-mark", search("POST", "/jobs/_search", "X-Opaque-Id: a b\r\n", "{}"));
    message("search-unknown-index", search("POST", "/jibs/_search", "", "{}"));
    message("count", search("GET", "/jobs/_count", marked, r#"{"query":{"term":{"crew":3}}}"#));
    message("count-size", search("GET", "/jobs/_count", "", r#"{"size":1}"#));
    message("create", search("PUT", "/jobs/_create/j1?timeout=1200ms", marked, document));
    message("create-routed", search("POST", "/jobs/_create/j%2F1?routing=c%2F7", "", document));
    message("create-bad-id", search("PUT", "/jobs/_create/a,b", "", document));
    message("create-bad-document", search("PUT", "/jobs/_create/j1", "", r#"{"crew":"four"}"#));
    message("create-nowhere", search("PUT", "/vans/_create/j1", "", document));
    let lines =
        ["{}", query, r#"{"index":"vans"}"#, r#"{"query":{"trem":{}}}"#, "", "{}\r"].join("\n") + "\n";
    message("several", search("POST", "/jobs/_msearch", marked, &lines));
    message("several-without-index", search("POST", "/_msearch", "", &lines));
    message("several-unknown-header", search("POST", "/jobs/_msearch", "", "{\"x\":1}\n{}\n"));
    message("several-two-indices", search("POST", "/_msearch", "", "{\"index\":[\"jobs\",\"vans\"]}\n{}\n"));
    message("several-odd", search("POST", "/jobs/_msearch", "", "{}\n"));
    message("several-open-end", search("POST", "/jobs/_msearch", "", "{}\n{}"));
    message("several-too-many", search("POST", "/jobs/_msearch", "", &"{}\n{}\n".repeat(65)));
    message(
        "several-no-text",
        [&b"POST /jobs/_msearch HTTP/1.1\r\nContent-Length: 2\r\n\r\n"[..], b"\xff\n"].concat(),
    );
    message("greeting", search("GET", "/", "", ""));
    message("greeting-head", search("HEAD", "/", "", ""));
    message("index-there", search("HEAD", "/jobs", "", ""));
    message("index-not-there", search("HEAD", "/jibs", "", ""));
    message("other-method", search("DELETE", "/jobs/_search", "", ""));
    message("other-action", search("POST", "/jobs/_update/j1", "", "{}"));
    message("other-path", search("POST", "/jobs", "", "{}"));
    check_samples(&golden("search_protocol.txt"), &samples);
}

#[test]
fn tenants_of_the_search_protocol_match_the_recording() {
    let config = config("search-tenants", true, true);
    let mut samples = Vec::new();
    for (name, headers) in [("none", ""), ("second", "Tenant: other\r\n"), ("unknown", "Tenant: nobody\r\n")]
    {
        record(&mut samples, &config, name, &search("POST", "/jobs/_search", headers, "{}"));
    }
    check_samples(&golden("search_protocol_tenants.txt"), &samples);
}

/// Heads, bodies and errors of HTTP messages, and responses.
#[test]
fn http_messages_match_the_recording() {
    let mut samples = Vec::new();
    let coded = "POST /a?b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let long = "x".repeat(17 << 10);
    let cases = [
        ("plain", "GET /a HTTP/1.1\r\nA: 1\r\n\r\nrest".to_owned()),
        ("older", "GET /a HTTP/1.0\r\n\r\n".to_owned()),
        ("older-kept", "GET /a HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n".to_owned()),
        ("closes", "GET /a HTTP/1.1\r\nConnection: x, close\r\n\r\n".to_owned()),
        ("body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcd".to_owned()),
        ("half-body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab".to_owned()),
        ("half-head", "POST /a HTTP/1.1\r\nContent-L".to_owned()),
        ("two-lengths", "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc".to_owned()),
        ("signed-length", "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc".to_owned()),
        ("long-length", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n".to_owned()),
        ("length-and-coding", format!("{}abc", coded.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\n"))),
        ("chunks", format!("{coded}3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\nrest")),
        ("one-chunk", format!("{coded}3\r\nabc\r\n0\r\n\r\n")),
        ("half-chunk", format!("{coded}3\r\nab")),
        ("bad-chunk", format!("{coded}3\r\nabcde")),
        ("long-chunk", format!("{coded}10001\r\n")),
        ("garbled", "\u{1}what\r\n\r\n".to_owned()),
        ("long-head", format!("GET /a HTTP/1.1\r\nA: {long}\r\n\r\n")),
        ("many-headers", format!("GET /a HTTP/1.1\r\n{}\r\n", "A: 1\r\n".repeat(65))),
    ];
    for (name, text) in cases {
        let words = match http::parse_request(text.as_bytes()) {
            Ok(None) => "more is needed".to_owned(),
            Err(http::MessageError { status, text }) => format!("fault {status} {text}"),
            Ok(Some(m)) => format!(
                "{} {} '{}' stays {} length {} header {:?}",
                m.method,
                m.path,
                String::from_utf8_lossy(&m.body),
                m.keeps_alive,
                m.length,
                m.header("a")
            ),
        };
        samples.push((format!("request/{name}"), words.into_bytes()));
    }
    for status in [200u16, 201, 202, 400, 404, 405, 408, 409, 413, 429, 431, 500, 503, 504] {
        let mut out = Vec::new();
        http::write_response(&mut out, status, "text/plain", "A: 1\r\n", b"body", status % 2 == 0);
        samples.push((format!("answer/{status}"), out));
    }
    for (name, text) in [("plain", "aZ9-._~"), ("other", "a b/ü%+&")] {
        samples.push((format!("encoded/{name}"), http::percent_encode(text).into_bytes()));
    }
    for (name, text) in [("plus", "a+b%2Fc"), ("broken", "a%2"), ("no-text", "%ff"), ("no-digit", "%zz")] {
        for plus in [false, true] {
            let found = http::percent_decode(text, plus).unwrap_or_else(|| "nothing".to_owned());
            samples.push((format!("decoded/{name}/{plus}"), found.into_bytes()));
        }
    }
    check_samples(&golden("http.txt"), &samples);
}
