//! A node process with emulated index servers, and clients with blocking calls.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicI64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use orchidvalve_search::evaluate::Document;
use orchidvalve_search::routes::{RouteClass, Routes, RoutingContext};
use orchidvalve_test_store::{Documents, Fault, FaultPlan, Store};
use serde_json::{Value, json};

pub const TIMEOUT: Duration = Duration::from_secs(20);
pub const SHARDS: usize = 3;

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
crew = "long"
[index.moves]
grade = "look"
slices = "routing"
[index.moves.fields]
customer = "keyword"
"#;

pub fn routing_context() -> RoutingContext {
    let grade = |name: &str, receipted| RouteClass { name: name.to_owned(), has_idempotency_key: receipted };
    RoutingContext {
        classes: vec![grade("look", false), grade("van-search", false), grade("hold", true)],
        shards: SHARDS,
    }
}

/// Settings with three shards; shard `n` is held by store `n` and the following ones, `reach` stores in total.
fn settings(reach: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64,
               "lateWorth": 0.3, "windowNs": 2_000_000_000})
    };
    let mut hold = class("hold", "token");
    hold["windowNs"] = json!(300_000_000);
    json!({
        "classes": [class("look", "pure"), class("van-search", "pure"), hold],
        "extra": {"positions": SHARDS, "reach": reach, "slices": SHARDS, "bundleMax": 4,
                  "classFloor": [1.0, 0.6, 1.0], "wholeAt": [1.0, 1.0, 1.0], "shortWorth": [0.0, 0.6, 0.0]},
        "limits": {"attemptsCap": 4, "cancel": true, "secondCopies": true, "probes": true, "multiplex": 8,
                   "connIdleNs": 15_000_000_000u64, "connectTimeoutNs": 100_000_000},
        "rules": {"coldShare": 0.25, "coldNs": 1_000_000_000, "fallMultiple": 4.0, "fallNs": 1_000_000_000},
        "resolutionNs": 1_000_000
    })
}

pub struct Harness {
    pub child: Child,
    pub node: SocketAddr,
    pub stores: Vec<Store>,
    pub documents: Arc<Mutex<Documents>>,
    pub agent: TcpListener,
    pub members: Value,
    config: String,
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn member(n: usize, store: &Store, flavor: &str, phase: &str) -> Value {
    json!({"id": format!("s-{n}"), "host_port": store.address.to_string(), "cell": n, "phase": phase,
           "flavor": flavor, "locality": "a", "up_since_ms": 0})
}

/// Starts the node and waits until it listens. Returns the log lines before that as well.
fn spawn(config: &str) -> (Child, SocketAddr, Vec<String>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidvalved"));
    let mut child = command.env("NODE_CONFIG", config).stderr(Stdio::piped()).spawn().unwrap();
    let (mut lines, mut log) = (Vec::new(), BufReader::new(child.stderr.take().unwrap()));
    let node = loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).unwrap() > 0, "the node ended: {lines:?}");
        if line.contains("listening on") {
            break line.trim().rsplit(' ').next().unwrap().parse().expect(&line);
        }
        lines.push(line);
    };
    // The log is read further, so that the node does not block on a full pipe.
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    (child, node, lines)
}

impl Harness {
    /// Runs a second node with the same configuration until it ends. Returns its log and exit code.
    pub fn run_second_node(&self) -> (String, Option<i32>) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_orchidvalved"));
        let child = command.env("NODE_CONFIG", &self.config).stderr(Stdio::piped()).output().unwrap();
        (String::from_utf8(child.stderr).unwrap(), child.status.code())
    }

    /// Kills the node as in a power loss and restarts it. Returns the log lines before it listened.
    pub fn restart(&mut self) -> Vec<String> {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        let lines;
        (self.child, self.node, lines) = spawn(&self.config);
        lines
    }

    /// Runs a discovery agent that publishes a new revision at every request until the test ends. Returns the last
    /// published revision.
    pub fn publish_constantly(&self) -> Arc<AtomicI64> {
        let (agent, members) = (self.agent.try_clone().unwrap(), self.members.clone());
        let published = Arc::new(AtomicI64::new(1));
        let count = published.clone();
        std::thread::spawn(move || {
            for mut stream in agent.incoming().flatten() {
                let mut request = [0; 1024];
                while stream.read(&mut request).is_ok_and(|length| length > 0) {
                    let revision = count.fetch_add(1, Relaxed) + 1;
                    let mut members = members.clone();
                    members[(revision % 3) as usize]["locality"] = json!(format!("a{revision}"));
                    let list =
                        json!({"revision": revision, "complete": true, "members": members}).to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    if stream.write_all(format!("{head}{list}").as_bytes()).is_err() {
                        break;
                    }
                }
            }
        });
        published
    }

    /// Returns the current value of a gauge in `/metrics`.
    pub fn gauge(&self, name: &str) -> u64 {
        let (_, _, text) = self.send("GET", "/metrics", "", "").text();
        let line = text.lines().find(|l| l.starts_with(&format!("orchidvalve_{name} "))).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }

    /// Sends this endpoint list to the next client of the discovery agent.
    pub fn send_list(&self, agent: &mut TcpStream, list: &Value) {
        let list = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        let _ = agent.write_all(answer.as_bytes());
    }

    /// Opens a harness with a capacity for many clients and many connections to stores, for benchmarks.
    pub fn open_wide(test_name: &str, flavors: [&str; SHARDS], more: &str) -> Harness {
        Harness::open_with(test_name, 2, flavors, &format!("[pool]\nconnections = 64\n{more}"), 1024)
    }

    /// Opens a harness. `flavors` are those of the stores; stores whose flavor begins with `os` speak the search
    /// protocol.
    pub fn open(test_name: &str, reach: usize, flavors: [&str; SHARDS], more: &str) -> Harness {
        Harness::open_with(test_name, reach, flavors, more, 128)
    }

    fn open_with(
        test_name: &str,
        reach: usize,
        flavors: [&str; SHARDS],
        more: &str,
        sockets: usize,
    ) -> Harness {
        let file = format!("{ROUTES}\n[[stores]]\nflavor = \"os*\"\nwire = \"search\"\n{more}");
        let routes = Arc::new(Routes::read(&file, &routing_context()).unwrap());
        let documents = Arc::new(Mutex::new(Documents::new(routes)));
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let stores: Vec<Store> = (0..SHARDS).map(|_| Store::start(any, documents.clone()).unwrap()).collect();
        let agent = TcpListener::bind(any).unwrap();
        let members = stores.iter().zip(flavors).enumerate();
        let members: Value = members.map(|(n, (store, flavor))| member(n, store, flavor, "up")).collect();
        let path = |kind: &str| format!("{}/search-{test_name}.{kind}", env!("CARGO_TARGET_TMPDIR"));
        let config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": agent.local_addr().unwrap().to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 192, "sockets": sockets}, "search": path("toml"),
            "known": {"revision": 1, "complete": true, "members": members}, "settings": settings(reach)
        });
        let logbook = format!("[logbook]\ndir = \"{}\"\nsoon_ms = 1\n", path("book"));
        let _ = std::fs::remove_dir_all(path("book"));
        std::fs::write(path("book.toml"), logbook).unwrap();
        let mut config = config;
        if more.contains("# logbook") {
            config["logbook"] = json!(path("book.toml"));
        }
        std::fs::write(path("toml"), file).unwrap();
        std::fs::write(path("json"), config.to_string()).unwrap();
        let (child, node, _) = spawn(&path("json"));
        Harness { child, node, stores, documents, agent, members, config: path("json") }
    }

    pub fn documents(&self) -> MutexGuard<'_, Documents> {
        self.documents.lock().unwrap()
    }

    pub fn fill(&self, index: &str, documents: u64) -> Vec<Document> {
        let routes = self.documents().routes.clone();
        let index = routes.index(index).unwrap();
        let made = (0..documents).map(|n| {
            let notes = ["piano up", "two stairs", "piano and stairs", ""][n as usize % 4];
            let mut source = json!({"customer": format!("c{}", n % 7), "crew": n % 5});
            if index.name == "jobs" {
                source["notes"] = json!(notes);
            }
            let document = Document::new(&format!("d{n:03}"), source, &index.mapping).unwrap();
            let shard = index.document_shard(&document.id, None).unwrap();
            self.documents().insert(&index.name, shard, document.clone());
            document
        });
        made.collect()
    }

    pub fn set_faults(&self, store: usize, all: Option<Fault>, rules: &[(&str, Fault)]) {
        let rules = rules.iter().map(|&(words, fault)| (words.to_owned(), fault)).collect();
        self.stores[store].set_faults(FaultPlan { rules, default: all, health_checks: None });
    }

    pub fn send(&self, method: &str, path: &str, more: &str, body: &str) -> Peer {
        let mut stream = TcpStream::connect(self.node).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let head = format!("{method} {path} HTTP/1.1\r\n{more}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
        Peer(stream)
    }

    pub fn ask(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let (status, _, body) = self.send(method, path, "", &body.to_string()).answer();
        (status, body)
    }

    pub fn shard_requests(&self) -> usize {
        self.stores.iter().map(|s| s.observations().payloads.len()).sum()
    }

    pub fn counter(&self, name: &str) -> u64 {
        let (_, _, text) = self.send("GET", "/metrics", "", "").text();
        let line = text.lines().find(|l| l.starts_with(&format!("orchidvalve_{name}_total "))).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }

    pub fn wait_until(&self, what: &str, mut holds: impl FnMut(&Harness) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < end, "{what}");
            std::thread::yield_now();
        }
    }
}

pub struct Peer(pub TcpStream);

impl Peer {
    pub fn text(mut self) -> (u16, String, String) {
        let mut inbox = Vec::new();
        let mut buffer = [0; 16 << 10];
        loop {
            if let Some(end) = inbox.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(inbox[..end].to_vec()).unwrap();
                let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap();
                if inbox.len() >= end + 4 + length.parse::<usize>().unwrap() {
                    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
                    return (status, head, String::from_utf8(inbox[end + 4..].to_vec()).unwrap());
                }
            }
            let length = self.0.read(&mut buffer).unwrap();
            assert!(length > 0, "closed without an answer");
            inbox.extend_from_slice(&buffer[..length]);
        }
    }

    pub fn answer(self) -> (u16, String, Value) {
        let (status, head, body) = self.text();
        (status, head, serde_json::from_str(&body).unwrap_or(Value::Null))
    }
}

pub const OS: [&str; SHARDS] = ["os", "os", "os"];
pub const FRAMES: [&str; SHARDS] = ["m", "m", "m"];
