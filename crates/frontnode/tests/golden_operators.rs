//! The operator API and the trace of a node process, compared with a recording: the name, type and help text of each
//! metric, the health responses, and the rejections.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use orchidvalve_frontnode::metrics::{Gauge, Metrics};
use orchidvalve_golden::check_samples;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(20);

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

struct Node {
    child: Child,
    address: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a node with all features enabled. Its list has `members` servers, on whose addresses nothing listens.
fn start(test_name: &str, members: usize) -> Node {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-node-{test_name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let path = |name: &str| folder.join(name).display().to_string();
    let file = |name: &str, text: String| {
        std::fs::write(path(name), text).unwrap();
        path(name)
    };
    let members: Vec<_> = (0..members)
        .map(|n| json!({"id": format!("s-{n}"), "host_port": "127.0.0.1:1", "cell": 0, "phase": "up"}))
        .collect();
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 64, "sockets": 64},
        "known": {"revision": 1, "complete": true, "members": members},
        "settings": {
            "classes": [{"name": "look", "effect": "pure", "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64}],
            "extra": {"positions": 1, "reach": 1, "slices": 1},
            "limits": {"attemptsCap": 2, "connectTimeoutNs": 100_000_000}
        },
        "logbook": file("logbook.toml", format!("[logbook]\ndir = \"{}\"\nsegment_mb = 1\n", path("book"))),
        "fleet": file("fleet.toml", "[fleet]\nlisten = \"127.0.0.1:0\"\nexpected = 1\n".to_owned()),
        "coldstart": file("coldstart.toml", "[coldstart]\nexpected = 1\npatience_ms = 1\n".to_owned()),
        "maintenance": file(
            "maintenance.toml",
            "[maintenance]\nlisten = \"127.0.0.1:0\"\ngroup = [\"127.0.0.1:1\"]\n".to_owned()
        ),
        "record": file("record.toml", format!("[record]\nfile = \"{}\"\n", path("arrivals")))
    });
    let config = file("node.json", config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidvalved"));
    command.env("NODE_CONFIG", config).env("NODE_TRACE", path("trace")).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let address = loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).unwrap() > 0, "the node ended");
        if let Some(address) = line.trim().strip_prefix("orchidvalved: listening on ") {
            break address.parse().unwrap();
        }
    };
    // The log is read further, so that the node does not block on a full pipe.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    Node { child, address }
}

impl Node {
    fn exchange(&self, request: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let head =
            format!("{request} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Waits until the node has an endpoint list; selecting the first one takes a moment.
    fn wait_until_serving(&self) {
        let end = Instant::now() + TIMEOUT;
        while !self.exchange("GET /_health", "").starts_with("HTTP/1.1 200 ") {
            assert!(Instant::now() < end, "the node does not serve");
        }
    }
}

/// Returns the lines of a metrics text without their values.
fn without_values(text: &str) -> String {
    let line = |line: &str| match line.strip_prefix('#') {
        Some(_) => format!("{line}\n"),
        None => format!("{}\n", line.rsplit_once(' ').unwrap().0),
    };
    text.lines().map(line).collect()
}

#[test]
fn metric_names_and_help_texts_match_the_recording() {
    let node = start("metrics", 1);
    let answer = node.exchange("GET /metrics", "");
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let head: String = head.lines().filter(|line| !line.starts_with("Content-Length: ")).collect();
    let samples = [
        ("head", head),
        ("body", without_values(body)),
        ("counters-alone", without_values(&Metrics::default().text(&[]))),
        ("with-a-gauge", without_values(&Metrics::default().text(&[Gauge::new("name", "help", 7)]))),
    ];
    check_samples(&golden("metrics.txt"), &samples);
}

/// The last log line contains each counter by its name.
#[test]
fn counter_names_in_the_log_match_the_recording() {
    let text = Metrics::default().text(&[]);
    let names: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("# TYPE orchidvalve_")).collect();
    assert_eq!(names.len(), 46, "one of them counts lines of the log");
    let metrics =
        Metrics { queries_accepted: 3, attempts_cancelled: 2, pool_timeouts: 1, ..Metrics::default() };
    check_samples(&golden("counters_line.txt"), &[("three", metrics.line())]);
}

#[test]
fn operator_responses_match_the_recording() {
    let (node, empty) = (start("answers", 1), start("answers-empty", 0));
    node.wait_until_serving();
    let wish = |what: &str, body: &str| node.exchange(&format!("POST /_maintenance/{what}"), body);
    let samples = [
        ("health", node.exchange("GET /_health", "")),
        ("health-without-servers", empty.exchange("GET /_health?x=1", "")),
        ("health-other-method", node.exchange("POST /_health", "")),
        ("metrics-other-method", node.exchange("POST /metrics", "")),
        ("nothing-there", node.exchange("GET /nothing", "")),
        ("order-of-work", node.exchange("GET /_maintenance", "")),
        ("order-of-work-other-method", node.exchange("POST /_maintenance", "")),
        ("wish-no-json", wish("ask", "{")),
        ("wish-no-machine", wish("ask", "{}")),
        ("wish-empty-machine", wish("ask", r#"{"machine":""}"#)),
        ("wish-unknown-key", wish("ask", r#"{"machine":"s-0","colour":1}"#)),
        ("wish-long-word", wish("cancel", &json!({"machine": "s-0", "why": "x".repeat(201)}).to_string())),
        ("wish-other", wish("move", r#"{"machine":"s-0"}"#)),
    ];
    check_samples(&golden("operators.txt"), &samples);
    let taken = wish("ask", r#"{"machine":"s-0","by":"op","why":"disk","lasts_ms":1,"waits_ms":2}"#);
    let nonce = taken.strip_prefix("HTTP/1.1 202 Status\r\n").unwrap().split_once("{\"nonce\":\"").unwrap().1;
    assert!(nonce.len() == 18 && nonce.ends_with("\"}"), "{taken}");
    assert!(nonce[..16].bytes().all(|b| b.is_ascii_hexdigit()), "{taken}");
}

/// `orchidvalve why` reads these lines.
#[test]
fn the_trace_names_replicas_and_queries() {
    let node = start("trace", 1);
    node.wait_until_serving();
    let body = json!({"slices": [{"slice": 0, "mass": 1.0}], "filter": "x"}).to_string();
    let head = "Request-Id: a1\r\nRequest-Class: look\r\nRequest-Timeout: 400m\r\nConnection: close\r\n";
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let length = body.len();
    stream
        .write_all(format!("POST /api HTTP/1.1\r\n{head}Content-Length: {length}\r\n\r\n{body}").as_bytes())
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 50"), "{answer}");
    let trace = Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-node-trace/trace");
    let trace = std::fs::read_to_string(trace).unwrap();
    let named = |line: &&str| {
        let mut words = line.split(' ');
        words.next() == Some("~") && words.next().is_some_and(|at| at.parse::<i64>().is_ok())
    };
    assert!(trace.lines().all(|line| named(&line)), "{trace}");
    let ends = |words: &str| trace.lines().filter(|line| line.ends_with(words)).count();
    assert_eq!((ends(" replica 0 s-0"), ends(" retrieval 0 a1")), (1, 1), "{trace}");
}
