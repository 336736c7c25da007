//! Golden samples of formatted HTTP messages, and golden traces of parsed messages and of the settings files of
//! processes.

mod support {
    pub mod recording;
}

use std::borrow::Cow;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use orchidvalve_golden::{Trace, check_hashes, check_samples};
use orchidvalve_testbed::http::{self, Headers, Request};
use orchidvalve_testbed::launch::{Ports, Topology, settings_text};
use orchidvalve_testbed::synthetic_text::{self, TokenUsage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn golden(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

fn fields() -> [(&'static str, Cow<'static, str>); 2] {
    [("Attempt-Id", Cow::from("a1")), ("Instance-Load", Cow::from("1,2,3"))]
}

fn formatted_messages() -> Vec<(String, Vec<u8>)> {
    let request_fields = [("Attempt-Id", "a1"), ("Deadline-Ms", "250")];
    let mut chunks = http::chunked_head(200, &fields());
    http::write_chunk(&mut chunks, b"first, and more than sixteen bytes");
    http::write_chunk(&mut chunks, b"");
    let headers = Headers(vec![("Host".to_owned(), "h".to_owned()), ("Via".to_owned(), "x, y".to_owned())]);
    let request =
        Request { method: "PATCH".to_owned(), target: "/a?b=c".to_owned(), headers, body: b"body".to_vec() };
    let mut samples = vec![
        ("request-with-body", http::request("POST", "/a/1", "h.example", &request_fields, b"body")),
        ("request-without-body", http::request("GET", "/a/1?x=2", "h.example", &request_fields, b"")),
        ("request-of-a-deletion", http::request("DELETE", "/a/1", "h.example", &[], b"")),
        ("request-in-chunks", http::chunked_request("POST", "/a/1", "h.example", &request_fields, b"odd")),
        ("request-in-no-chunk", http::chunked_request("POST", "/a/1", "h.example", &[], b"")),
        ("request-from-its-parts", request.to_bytes()),
        ("answer-in-chunks", chunks),
    ]
    .into_iter()
    .map(|(name, bytes)| (name.to_owned(), bytes))
    .collect::<Vec<_>>();
    for status in [200, 202, 400, 404, 409, 412, 418, 421, 429, 500, 503, 504] {
        samples.push((format!("answer-{status}"), http::response(status, &fields(), b"body")));
    }
    samples
}

#[test]
fn formatted_messages_match_the_golden_samples() {
    check_samples(&golden("messages_written.txt"), &formatted_messages());
}

fn add_headers(trace: &mut Trace, headers: &Headers) {
    trace.add_number(headers.0.len() as u64);
    for (name, value) in &headers.0 {
        trace.add(name.as_bytes());
        trace.add(value.as_bytes());
    }
}

/// Adds the results of parsing bytes as a request and as a response.
fn add_parsed(trace: &mut Trace, bytes: &[u8]) {
    match http::parse_request(bytes) {
        Ok(Some((request, length))) => {
            trace.add(request.method.as_bytes());
            trace.add(request.target.as_bytes());
            trace.add(request.path().as_bytes());
            trace.add(request.query("x").unwrap_or("none").as_bytes());
            add_headers(trace, &request.headers);
            trace.add(&request.body);
            trace.add_number(length as u64);
        }
        Ok(None) => trace.add_number(1),
        Err(_) => trace.add_number(2),
    }
    match http::parse_request_head(bytes) {
        Ok(Some(head)) => {
            add_headers(trace, &head.headers);
            trace.add(&head.body);
        }
        Ok(None) => trace.add_number(1),
        Err(_) => trace.add_number(2),
    }
    for ended in [false, true] {
        match http::parse_response(bytes, ended) {
            Ok(Some((response, length))) => {
                trace.add_number(u64::from(response.status));
                add_headers(trace, &response.headers);
                trace.add(&response.body);
                trace.add_number(length as u64);
                trace.add_number(u64::from(response.is_success()));
            }
            Ok(None) => trace.add_number(1),
            Err(_) => trace.add_number(2),
        }
    }
}

/// Messages that other programs may send.
const FOREIGN: [(&str, &[u8]); 12] = [
    ("answer-without-length", b"HTTP/1.1 200 OK\r\nX: \t padded \r\n\r\nthe body"),
    ("answer-without-content", b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200"),
    ("answer-not-modified", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"),
    ("answer-without-reason", b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab"),
    ("answer-of-an-old-version", b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nab"),
    ("answer-with-other-length", b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nab"),
    (
        "answer-with-trailers",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nA: b\r\n\r\nmore",
    ),
    (
        "answer-with-a-wrong-chunk",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n",
    ),
    ("answer-with-a-wrong-size", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"),
    ("request-with-more-behind", b"GET /a?y=1&x=2 HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
    (
        "request-with-doubled-field",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 3\r\nX: \xff\r\n\r\nabc",
    ),
    ("no-message", b"\x16\x03\x01 these bytes are no message\r\n\r\n"),
];

#[test]
fn parsed_messages_match_the_golden_traces() {
    let mut hashes = Vec::new();
    let foreign = FOREIGN.iter().map(|(name, bytes)| ((*name).to_owned(), bytes.to_vec()));
    for (number, (name, bytes)) in formatted_messages().into_iter().chain(foreign).enumerate() {
        let mut trace = Trace::new();
        (0..=bytes.len()).for_each(|end| add_parsed(&mut trace, &bytes[..end]));
        let mut random = Pcg64Mcg::seed_from_u64(number as u64);
        for _ in 0..100 {
            let mut changed = bytes.clone();
            let position = random.random_range(0..changed.len());
            changed[position] = random.random_range(0..=255);
            add_parsed(&mut trace, &changed);
        }
        hashes.push((name, trace.finish()));
    }
    check_hashes(&golden("messages_read.txt"), &hashes);
}

fn topology() -> Topology {
    let mut topology = Topology::new(2, 4, 3).unwrap();
    topology.add_control();
    topology.add_store();
    topology.ports =
        Ports { frontend: 100, readiness: 101, control: 102, internal_first: 103, internal_last: 118 };
    topology.platform = SocketAddrV4::new(Ipv4Addr::new(127, 9, 200, 1), 102);
    for machine in &mut topology.machines {
        let [first, _, net, number] = machine.ip.octets();
        machine.ip = Ipv4Addr::new(first, 9, net, number);
    }
    topology
}

#[test]
fn settings_files_match_the_golden_traces() {
    let mut topology = topology();
    let mut hashes = Vec::new();
    for proxied in [false, true] {
        topology.proxied = proxied;
        for machine in &topology.machines {
            for role in &machine.roles {
                let mut trace = Trace::new();
                for bootstrap in [false, true] {
                    let data = Path::new("data/of/it");
                    trace.add(settings_text(&topology, machine, *role, data, bootstrap).as_bytes());
                }
                hashes.push((format!("{}-{role}-{proxied}", machine.name), trace.finish()));
            }
        }
        topology.machines[1].is_removed = true;
    }
    check_hashes(&golden("settings.txt"), &hashes);
}

#[test]
fn synthetic_texts_match_the_golden_traces() {
    let mut trace = Trace::new();
    for (number, id) in ["", "a", "i-9", "0123456789abcdef"].into_iter().enumerate() {
        for most_out in [0, 1, 7, 500, 12_345] {
            let events = synthetic_text::event_count(id, most_out, 53 * number as u64);
            trace.add_number(events);
            let whole = synthetic_text::complete_text(id, events);
            trace.add(whole.as_bytes());
            trace.add_number(synthetic_text::digest(whole.as_bytes()));
            for line in whole.split('\n') {
                trace.add_number(synthetic_text::event_number(id, line).unwrap_or(0));
            }
        }
    }
    for field in ["1,2", " 3 , 4 ", "5", "x,1", ""] {
        let none = TokenUsage { prompt: 99, max_output: 99 };
        let usage = TokenUsage::parse(field).unwrap_or(none);
        trace.add_number(usage.prompt);
        trace.add_number(usage.max_output);
    }
    check_hashes(&golden("texts.txt"), &[("all", trace.finish())]);
}
