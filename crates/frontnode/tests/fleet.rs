//! Several front nodes as processes, their datagrams through a relay in the test that loses, copies, delays and cuts
//! them as each story says. Stores are stand-ins; no story sleeps to wait: each waits for what must come.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use orchidvalve_search::routes::{Routes, Settled};
use orchidvalve_standin::{Script, Shelf, Store, Trouble};
use serde_json::{Value, json};

const TOO_LONG: Duration = Duration::from_secs(30);
const SLICES: usize = 3;
const ROUTES: &str =
    "[index.jobs]\ngrade = \"look\"\nslices = \"all\"\n[index.jobs.fields]\ncustomer = \"keyword\"\n";

/// What the relay does to datagrams, as a story changes it.
#[derive(Default)]
struct Faults {
    /// Where each node's datagrams really go, once it said.
    real: Vec<Option<SocketAddr>>,
    /// Pairs of nodes, in order, between which nothing passes.
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    copies: f64,
    delay: Duration,
    chance: u64,
    passed: u64,
    lost: u64,
}

impl Faults {
    fn draw(&mut self) -> f64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// One socket for each node, where the others send to it.
struct Relay {
    faults: Arc<Mutex<Faults>>,
    fronts: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
}

impl Relay {
    fn start(nodes: usize) -> Relay {
        let faults = Arc::new(Mutex::new(Faults {
            real: vec![None; nodes],
            chance: 0x9e37_79b9,
            ..Faults::default()
        }));
        let over = Arc::new(AtomicBool::new(false));
        let mut fronts = Vec::new();
        for to in 0..nodes {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
            fronts.push(socket.local_addr().unwrap());
            let (faults, over) = (faults.clone(), over.clone());
            std::thread::spawn(move || {
                let mut late: Vec<(Instant, Vec<u8>)> = Vec::new();
                let mut buffer = [0u8; 2048];
                while !over.load(Relaxed) {
                    let now = Instant::now();
                    let real = faults.lock().unwrap().real[to];
                    if let Some(real) = real {
                        let (due, waiting): (Vec<_>, Vec<_>) = late.drain(..).partition(|(at, _)| *at <= now);
                        late = waiting;
                        for (_, bytes) in due {
                            // One that the system does not take is lost, as on a network.
                            let _ = socket.send_to(&bytes, real);
                        }
                    }
                    let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
                    let mut f = faults.lock().unwrap();
                    let Some(sender) = f.real.iter().position(|r| *r == Some(from)) else { continue };
                    if f.cut.contains(&(sender, to)) || f.draw() < f.loss {
                        f.lost += 1;
                        continue;
                    }
                    f.passed += 1;
                    let copies = if f.draw() < f.copies { 2 } else { 1 };
                    for _ in 0..copies {
                        late.push((Instant::now() + f.delay, buffer[..length].to_vec()));
                    }
                }
            });
        }
        Relay { faults, fronts, over }
    }

    /// Nothing passes between `side` and all others, both ways.
    fn cut_off(&self, side: &[usize], nodes: usize) {
        let mut f = self.faults.lock().unwrap();
        for &a in side {
            for b in (0..nodes).filter(|b| !side.contains(b)) {
                f.cut.insert((a, b));
                f.cut.insert((b, a));
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.over.store(true, Relaxed);
    }
}

struct Front {
    child: Child,
    address: SocketAddr,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Fleet {
    fronts: Vec<Front>,
    stores: Vec<Store>,
    relay: Relay,
    _agent: TcpListener,
}

fn settings() -> Value {
    let class =
        json!({"name": "look", "effect": "pure", "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64});
    json!({
        "classes": [class],
        "extra": {"positions": SLICES, "reach": 2, "slices": SLICES, "bundleMax": 4},
        "limits": {"attemptsCap": 4, "cancel": true, "secondCopies": true, "probes": true, "multiplex": 8,
                   "connIdleNs": 15_000_000_000u64, "connectTimeoutNs": 100_000_000},
        "rules": {"coldShare": 0.25, "coldNs": 1_000_000_000, "fallMultiple": 4.0, "fallNs": 1_000_000_000},
        "resolutionNs": 1_000_000
    })
}

impl Fleet {
    /// `nodes` front nodes, each told of the first as its peer; `fleet`: whether the fleet is on.
    fn open(story: &str, nodes: usize) -> Fleet {
        let settled = Settled { grades: vec![("look".to_owned(), false)], slices: SLICES };
        let routes = Arc::new(Routes::read(ROUTES, &settled).unwrap());
        let shelf = Arc::new(Mutex::new(Shelf::new(routes)));
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let stores: Vec<Store> = (0..SLICES).map(|_| Store::start(any, shelf.clone()).unwrap()).collect();
        let agent = TcpListener::bind(any).unwrap();
        let members: Value = stores
            .iter()
            .enumerate()
            .map(|(n, s)| {
                json!({"id": format!("s-{n}"), "host_port": s.address.to_string(), "cell": n, "phase": "up",
                       "up_since_ms": 0})
            })
            .collect();
        let relay = Relay::start(nodes);
        let mut fronts = Vec::new();
        for n in 0..nodes {
            let path = |kind: &str| format!("{}/fleet-{story}-{n}.{kind}", env!("CARGO_TARGET_TMPDIR"));
            let peers: Vec<String> = relay.fronts.iter().take(1).map(|a| format!("\"{a}\"")).collect();
            let file = format!(
                "[fleet]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\npeers = [{}]\nexpected = {nodes}\n\
                 probe_ms = 200\nsuspect_ms = 1000\ngossip_ms = 50\nbad_for_ms = 20000\n",
                relay.fronts[n],
                peers.join(", ")
            );
            std::fs::write(path("toml"), file).unwrap();
            let config = json!({
                "name": format!("n{n}"), "listen": "127.0.0.1:0", "discovery": agent.local_addr().unwrap().to_string(),
                "seed": format!("{:x}", 0x8c1f_30d2_7a5b_e964u64 + n as u64),
                "limits": {"memory_mb": 192, "sockets": 128}, "fleet": path("toml"),
                "known": {"revision": 1, "complete": true, "members": members.clone()}, "settings": settings()
            });
            std::fs::write(path("json"), config.to_string()).unwrap();
            let (front, real) = spawn(&path("json"));
            relay.faults.lock().unwrap().real[n] = Some(real);
            fronts.push(front);
        }
        Fleet { fronts, stores, relay, _agent: agent }
    }

    fn gauge(&self, node: usize, name: &str) -> u64 {
        let mut stream = TcpStream::connect(self.fronts[node].address).unwrap();
        stream.set_read_timeout(Some(TOO_LONG)).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        let line = text.lines().find(|l| l.starts_with(&format!("orchidvalve_{name} ")));
        line.and_then(|l| l.rsplit(' ').next()).and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    fn until(&self, what: &str, mut holds: impl FnMut(&Fleet) -> bool) {
        let end = Instant::now() + TOO_LONG;
        while !holds(self) {
            assert!(Instant::now() < end, "{what}");
            std::thread::yield_now();
        }
    }

    /// A retrieval of all slices at a node, whose text names `customer`; its status.
    fn ask(&self, node: usize, id: &str, customer: &str) -> u16 {
        let slices: Vec<Value> =
            (0..SLICES).map(|s| json!({"slice": s, "mass": 1.0 / SLICES as f64})).collect();
        let filter =
            json!({"search": {"index": "jobs", "body": {"query": {"term": {"customer": customer}}}}});
        let body = json!({"slices": slices, "filter": filter.to_string()}).to_string();
        let mut stream = TcpStream::connect(self.fronts[node].address).unwrap();
        stream.set_read_timeout(Some(TOO_LONG)).unwrap();
        let head = format!(
            "POST /api HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: look\r\nRequest-Timeout: 2000m\r\n\
             Connection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Parts that store `n` saw whose text names `customer`.
    fn seen(&self, n: usize, customer: &str) -> usize {
        self.stores[n].seen().parts.iter().filter(|t| t.contains(customer)).count()
    }
}

/// Runs a node until it listens: the address for clients, and where its datagrams come in.
fn spawn(config: &str) -> (Front, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_orchidvalved"));
    let mut child = command.env("NODE_CONFIG", config).stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let (mut real, mut lines) = (None, Vec::new());
    let address = loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).unwrap() > 0, "it ended: {lines:?}");
        if let Some(rest) = line.split("fleet: datagrams at ").nth(1) {
            real = rest.split(',').next().and_then(|a| a.parse::<SocketAddr>().ok());
        }
        if line.contains("listening on") {
            break line.trim().rsplit(' ').next().unwrap().parse().expect(&line);
        }
        lines.push(line);
    };
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    (Front { child, address }, real.unwrap_or_else(|| panic!("no fleet line: {lines:?}")))
}

/// Node 0 meets a store that fails the grade; the others learn of it and keep that grade's parts away from it
/// before they ever meet it; and a node cut off from the others does not learn it, and meets the store itself.
#[test]
fn a_store_that_one_node_finds_failing_a_grade_is_avoided_by_the_others_unless_they_are_cut_off() {
    let fleet = Fleet::open("failing", 4);
    fleet.until("all know each other", |f| (0..4).all(|n| f.gauge(n, "fleet_peers") == 3));
    {
        let mut faults = fleet.relay.faults.lock().unwrap();
        (faults.loss, faults.copies, faults.delay) = (0.2, 0.2, Duration::from_millis(3));
    }
    fleet.relay.cut_off(&[3], 4);
    fleet.stores[0]
        .script(Script { rules: vec![("marker".to_owned(), Trouble::Error)], ..Script::default() });
    let mut n = 0;
    while fleet.gauge(0, "fleet_verdicts") == 0 {
        n += 1;
        fleet.ask(0, &format!("a{n}"), "marker-a");
        assert!(n < 50, "node 0 never found store 0 failing");
    }
    fleet.until("the verdict reaches nodes 1 and 2", |f| (1..3).all(|n| f.gauge(n, "fleet_verdicts") > 0));
    assert_eq!(fleet.gauge(3, "fleet_verdicts"), 0, "node 3 is cut off");
    for (node, customer) in [(1, "marker-b"), (2, "marker-c"), (3, "marker-d")] {
        for n in 0..12 {
            fleet.ask(node, &format!("{customer}-{n}"), customer);
        }
    }
    assert_eq!(fleet.seen(0, "marker-b") + fleet.seen(0, "marker-c"), 0, "nodes 1 and 2 sent there");
    assert!(fleet.seen(0, "marker-d") > 0, "node 3, which heard nothing, met store 0 itself");
    assert!(fleet.seen(1, "marker-b") + fleet.seen(2, "marker-b") >= 12, "node 1 served its parts elsewhere");
    let faults = fleet.relay.faults.lock().unwrap();
    assert!(
        faults.lost > 0 && faults.passed > 0,
        "the relay lost {} and passed {}",
        faults.lost,
        faults.passed
    );
}
