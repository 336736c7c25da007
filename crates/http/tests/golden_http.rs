//! Golden tests of HTTP messages: the bytes written for fixed messages, and the results of reading random messages, one
//! hash per seed.

use std::path::Path;

use orchidvalve_golden::{Trace, check_hashes, check_samples};
use orchidvalve_http::{
    EventStreamBoundary, EventStreamReader, Headers, HttpError, MessageLimits, RequestReader, ResponseReader,
    write_chunk, write_head_end, write_header, write_last_chunk, write_number, write_number_header,
    write_request_line, write_response, write_status_line,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

const SEEDS: u64 = 12;
const MESSAGES: u32 = 150;
const LIMITS: MessageLimits = MessageLimits { header_bytes: 600, body_bytes: 200 };
/// Every status with its own reason phrase, and some without.
const STATUSES: [u16; 22] = [
    200, 202, 204, 307, 400, 404, 405, 408, 409, 412, 413, 421, 422, 429, 431, 500, 502, 503, 504, 201, 301,
    599,
];

fn bytes_of(write: impl Fn(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = Vec::new();
    write(&mut bytes);
    bytes
}

#[test]
fn written_messages_match_golden_bytes() {
    let mut samples: Vec<(String, Vec<u8>)> = Vec::new();
    let mut add = |name: &str, bytes: Vec<u8>| samples.push((name.to_owned(), bytes));
    for status in STATUSES {
        add(&format!("status-line-{status}"), bytes_of(|out| write_status_line(out, status)));
    }
    add("request-line", bytes_of(|out| write_request_line(out, "POST", "/a/b?c=d")));
    add("header", bytes_of(|out| write_header(out, "X-Name", "a value")));
    add("empty-header", bytes_of(|out| write_header(out, "X-Empty", "")));
    add("number-header", bytes_of(|out| write_number_header(out, "Content-Length", 1_234_567)));
    add("number-least", bytes_of(|out| write_number(out, 0)));
    add("number-greatest", bytes_of(|out| write_number(out, u64::MAX)));
    add("end-of-head", bytes_of(write_head_end));
    add("chunk", bytes_of(|out| write_chunk(out, &[b'x'; 300])));
    add("empty-chunk", bytes_of(|out| write_chunk(out, b"")));
    add("last-chunk", bytes_of(write_last_chunk));
    let headers = [("Content-Type", "application/json"), ("Retry-After", "1")];
    add("response", bytes_of(|out| write_response(out, 200, &headers, b"{\"a\":1}", false)));
    add("response-that-closes", bytes_of(|out| write_response(out, 503, &headers, b"", true)));
    let request = bytes_of(|out| {
        write_request_line(out, "PUT", "/v1/x");
        write_header(out, "Host", "a.example");
        write_header(out, "Transfer-Encoding", "chunked");
        write_head_end(out);
        write_chunk(out, b"first");
        write_chunk(out, b"second piece");
        write_last_chunk(out);
    });
    add("chunked-request", request);
    let events = bytes_of(|out| {
        write_status_line(out, 200);
        write_header(out, "Content-Type", "text/event-stream");
        write_header(out, "Transfer-Encoding", "chunked");
        write_head_end(out);
        write_chunk(out, b"id: 1\ndata: a\n\n");
        write_chunk(out, b"weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n");
        write_last_chunk(out);
    });
    add("chunked-events", events);
    for error in
        [HttpError::Malformed, HttpError::HeaderTooLong, HttpError::BodyTooLong, HttpError::UnknownCoding]
    {
        let status = error.status();
        add(&format!("status-of-error-{status}"), status.to_le_bytes().to_vec());
    }
    check_samples(&Path::new(FOLDER).join("http_written.txt"), &samples);
}

fn pick<'a>(random: &mut Pcg64Mcg, choices: &[&'a str]) -> &'a str {
    choices.choose(random).expect("a choice")
}

/// Appends random headers, mostly valid, that decide the body framing and connection persistence, and then the body.
fn append_headers_and_body(random: &mut Pcg64Mcg, text: &mut Vec<u8>, body: &[u8]) {
    let names = ["Host", "hOsT", "X-A", "Accept", "X_Odd!"];
    let values = ["a.example", "  spaced\t", "", "one, two", "caf\u{e9}", "\u{a0}kept\u{a0}"];
    for _ in 0..random.random_range(0..4) {
        let line = format!("{}:{}\r\n", pick(random, &names), pick(random, &values));
        text.extend_from_slice(line.as_bytes());
    }
    if random.random_bool(0.4) {
        let connection = pick(random, &["close", "keep-alive", "Close, x", "upgrade", "x , KEEP-ALIVE"]);
        text.extend_from_slice(format!("Connection: {connection}\r\n").as_bytes());
    }
    let chunked = random.random_bool(0.4);
    if chunked || random.random_bool(0.05) {
        let coding = if random.random_bool(0.9) { "chunked" } else { pick(random, &["Chunked", "gzip", ""]) };
        text.extend_from_slice(format!("Transfer-Encoding: {coding}\r\n").as_bytes());
    }
    if !chunked && random.random_bool(0.8) {
        let length = if random.random_bool(0.93) {
            body.len().to_string()
        } else {
            pick(random, &["", "+3", "-1", "1e2", "99999", "18446744073709551616", "0 ", "0x1"]).to_owned()
        };
        text.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        if random.random_bool(0.03) {
            text.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
    }
    text.extend_from_slice(b"\r\n");
    if chunked {
        append_chunks(random, text, body);
    } else {
        text.extend_from_slice(body);
    }
}

fn append_chunks(random: &mut Pcg64Mcg, text: &mut Vec<u8>, body: &[u8]) {
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, more) = rest.split_at(random.random_range(1..=rest.len()));
        let extension = if random.random_bool(0.1) { " ;a=b" } else { "" };
        text.extend_from_slice(format!("{:X}{extension}\r\n", chunk.len()).as_bytes());
        text.extend_from_slice(chunk);
        text.extend_from_slice(if random.random_bool(0.98) { b"\r\n" } else { b"\n" });
        rest = more;
    }
    text.extend_from_slice(b"0\r\n");
    if random.random_bool(0.1) {
        text.extend_from_slice(b"Trailer: value\r\n");
    }
    text.extend_from_slice(b"\r\n");
}

fn body(random: &mut Pcg64Mcg) -> Vec<u8> {
    let length = if random.random_bool(0.05) { 250 } else { random.random_range(0..60) };
    (0..length).map(|_| random.random()).collect()
}

/// Overwrites one byte in some of the messages.
fn corrupt_a_byte(random: &mut Pcg64Mcg, text: &mut [u8]) {
    if random.random_bool(0.15) {
        let position = random.random_range(0..text.len().min(80));
        text[position] = random.random();
    }
}

fn trace_headers(trace: &mut Trace, headers: &Headers) {
    for (name, value) in headers.iter() {
        trace.add(name.as_bytes());
        trace.add(value.as_bytes());
    }
    trace.add_number(headers.number("content-length").unwrap_or(u64::MAX));
}

/// Passes the bytes to a reader in random pieces. `read` returns how many bytes it consumed, or `None` once it is done.
fn read_in_pieces(random: &mut Pcg64Mcg, text: &[u8], mut read: impl FnMut(&[u8]) -> Option<usize>) {
    let (mut start, mut end) = (0, 0);
    while end < text.len() {
        end = (end + random.random_range(1..200)).min(text.len());
        let Some(consumed) = read(&text[start..end]) else { return };
        start += consumed;
    }
}

fn hash_of_requests(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    for _ in 0..MESSAGES {
        let body = body(&mut random);
        let method = pick(&mut random, &["GET", "POST", "PUT", "DELETE", "HEAD", "ODD"]);
        let target = pick(&mut random, &["/", "/a/b?c=d&e=f", "/a?after-seq=7", "*", "http://a/b", ""]);
        let version = pick(&mut random, &["1.1", "1.1", "1.1", "1.0", "2.0"]);
        let mut text = format!("{method} {target} HTTP/{version}\r\n").into_bytes();
        append_headers_and_body(&mut random, &mut text, &body);
        corrupt_a_byte(&mut random, &mut text);
        let mut reader = RequestReader::default();
        read_in_pieces(&mut random, &text, |bytes| match reader.read(bytes, &LIMITS) {
            Err(error) => {
                trace.add_number(u64::from(error.status()));
                None
            }
            Ok(read) => {
                trace.add_number(read.consumed as u64);
                trace.add_number(u64::from(reader.is_mid_request()));
                let Some(request) = read.request else { return Some(read.consumed) };
                trace.add(request.method.as_bytes());
                trace.add(request.target.as_bytes());
                trace.add(request.path().as_bytes());
                trace.add(request.query("after-seq").unwrap_or("none").as_bytes());
                trace_headers(&mut trace, &request.headers);
                trace.add(&request.body);
                trace.add_number(u64::from(request.keep_alive));
                None
            }
        });
    }
    trace.finish()
}

fn hash_of_responses(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    for _ in 0..MESSAGES {
        let body = body(&mut random);
        let method = if random.random_bool(0.9) { "GET" } else { "HEAD" };
        let version = if random.random_bool(0.9) { "1.1" } else { "1.0" };
        let status =
            [100, 101, 200, 200, 200, 200, 204, 304, 429, 503].choose(&mut random).expect("a status");
        let mut text = format!("HTTP/{version} {status} Reason\r\n").into_bytes();
        if *status == 100 {
            text.extend_from_slice(b"\r\nHTTP/1.1 200 OK\r\n");
        }
        append_headers_and_body(&mut random, &mut text, &body);
        corrupt_a_byte(&mut random, &mut text);
        let mut reader = ResponseReader::new(method);
        let mut out = Vec::new();
        read_in_pieces(&mut random, &text, |bytes| match reader.read(bytes, LIMITS.header_bytes, &mut out) {
            Err(error) => {
                trace.add_number(u64::from(error.status()));
                None
            }
            Ok(progress) => {
                trace.add_number(progress.consumed as u64);
                trace.add_number(u64::from(progress.head));
                trace.add_number(u64::from(progress.complete));
                (!progress.complete).then_some(progress.consumed)
            }
        });
        trace.add(&out);
        trace.add_number(u64::from(reader.is_reusable()));
        trace.add_number(u64::from(reader.complete_at_close()));
        if let Some(head) = reader.head() {
            trace.add_number(u64::from(head.status));
            trace_headers(&mut trace, &head.headers);
        }
    }
    trace.finish()
}

fn hash_of_events(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    let lines = [
        "id: 7",
        "id:8",
        "id: x",
        "data: text",
        "data:",
        "data:  two",
        "weight-versions: 6",
        "retry: 5",
        ": note",
        "",
        "",
        "data: a:b",
        "odd",
    ];
    for _ in 0..MESSAGES {
        let mut text = Vec::new();
        for _ in 0..random.random_range(0..20) {
            text.extend_from_slice(pick(&mut random, &lines).as_bytes());
            text.extend_from_slice(if random.random_bool(0.5) { b"\n" } else { b"\r\n" });
        }
        let (mut reader, mut boundary) = (EventStreamReader::default(), EventStreamBoundary::default());
        let mut start = 0;
        while start < text.len() {
            let end = (start + random.random_range(1..40)).min(text.len());
            reader.read(&text[start..end], |event, raw| {
                trace.add_number(event.id.unwrap_or(u64::MAX));
                trace.add_number(event.weight_version.unwrap_or(u64::MAX));
                trace.add(&event.data);
                trace.add_number(u64::from(event.has_data));
                trace.add(raw);
            });
            boundary.read(&text[start..end]);
            trace.add_number(u64::from(reader.has_partial_event()));
            trace.add_number(u64::from(boundary.is_inside_event()));
            start = end;
        }
    }
    trace.finish()
}

#[test]
fn read_messages_match_golden_hashes() {
    let mut hashes = Vec::new();
    for seed in 1..=SEEDS {
        hashes.push((format!("requests-seed-{seed}"), hash_of_requests(seed)));
        hashes.push((format!("responses-seed-{seed}"), hash_of_responses(seed)));
        hashes.push((format!("events-seed-{seed}"), hash_of_events(seed)));
    }
    check_hashes(&Path::new(FOLDER).join("http_read.txt"), &hashes);
}
