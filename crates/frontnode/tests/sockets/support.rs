//! A node process; the test itself emulates its replicas, its discovery agent and its clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

pub const TIMEOUT: Duration = Duration::from_secs(20);
/// The request that [`Harness::counter`] sends.
pub const METRICS_REQUEST: &[u8] = b"GET /metrics HTTP/1.1\r\n\r\n";

/// Settings where shard `n` is held by replica `n` alone, so that each test knows the target of a shard request.
pub fn settings(replicas: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64,
               "lateWorth": 0.3, "windowNs": 2_000_000_000})
    };
    json!({
        "classes": [class("look", "pure"), class("hold", "token"), class("pay", "side_effect")],
        "projects": [{"name": "acme", "allowancePerS": 1000.0}],
        "extra": {"positions": replicas, "reach": 1, "slices": replicas, "bundleMax": 4},
        "feedback": {"how": "on_probe", "names": ["waiting", "rps"]},
        "limits": {"attemptsCap": 4, "cancel": true, "secondCopies": true, "probes": true, "multiplex": 8,
                   "openCap": 8, "connIdleNs": 15_000_000_000u64, "connectTimeoutNs": 100_000_000},
        "rules": {"coldShare": 0.25, "coldNs": 1_000_000_000, "fallMultiple": 4.0, "fallNs": 1_000_000_000},
        "resolutionNs": 5_000_000
    })
}

pub struct Harness {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub node: SocketAddr,
    pub replicas: Vec<TcpListener>,
    pub agent: TcpListener,
    pub config: Value,
    pub path: String,
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener).set_read_timeout(Some(TIMEOUT)).unwrap();
    listener
}

pub fn config(settings: Value, members: Value, agent: SocketAddr) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": agent.to_string(), "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
           "known": {"revision": 1, "complete": true, "members": members}, "settings": settings})
}

pub fn member(cell: usize, address: SocketAddr, phase: &str) -> Value {
    json!({"id": format!("s-{cell}"), "host_port": address.to_string(), "cell": cell, "phase": phase,
           "up_since_ms": 0})
}

/// Returns the path of the configuration, which differs for each test.
pub fn path(test_name: &str) -> String {
    format!("{}/{test_name}.json", env!("CARGO_TARGET_TMPDIR"))
}

/// Runs the program with a configuration. `first` contains shell commands that run before it.
pub fn spawn(first: &str, test_name: &str, config: &Value) -> Child {
    let path = path(test_name);
    std::fs::write(&path, config.to_string()).unwrap();
    let run = format!("{first}exec {}", env!("CARGO_BIN_EXE_orchidvalved"));
    let mut command = Command::new("sh");
    command.args(["-c", &run]).env("NODE_CONFIG", path).stderr(Stdio::piped()).spawn().unwrap()
}

impl Harness {
    pub fn open(test_name: &str, replicas: usize) -> Harness {
        Harness::open_with(test_name, replicas, settings(replicas))
    }

    /// Opens a harness where two replicas hold shard 0. They share an address, as the first attempt goes to a random
    /// one.
    pub fn open_pair(test_name: &str) -> Harness {
        let mut settings = settings(2);
        settings["extra"]["reach"] = json!(2);
        let replicas = vec![listener()];
        let known = (0..2).map(|n| member(n, replicas[0].local_addr().unwrap(), "up")).collect();
        Harness::begin("", test_name, replicas, known, settings)
    }

    pub fn open_with(test_name: &str, replicas: usize, settings: Value) -> Harness {
        Harness::open_under("", test_name, replicas, settings)
    }

    pub fn open_limited(test_name: &str, limits: Value) -> Harness {
        let replicas = vec![listener()];
        let known = json!([member(0, replicas[0].local_addr().unwrap(), "up")]);
        Harness::begin_limited("", test_name, replicas, known, settings(1), limits)
    }

    pub fn open_under(first: &str, test_name: &str, replicas: usize, settings: Value) -> Harness {
        let replicas: Vec<_> = (0..replicas).map(|_| listener()).collect();
        let known = replicas.iter().enumerate().map(|(n, r)| member(n, r.local_addr().unwrap(), "up"));
        let known = known.collect();
        Harness::begin(first, test_name, replicas, known, settings)
    }

    pub fn begin(
        first: &str,
        test_name: &str,
        replicas: Vec<TcpListener>,
        known: Value,
        settings: Value,
    ) -> Harness {
        let limits = json!({"cores": 1.0, "memory_mb": 192, "sockets": 64});
        Harness::begin_limited(first, test_name, replicas, known, settings, limits)
    }

    pub fn begin_limited(
        first: &str,
        test_name: &str,
        replicas: Vec<TcpListener>,
        known: Value,
        settings: Value,
        limits: Value,
    ) -> Harness {
        let agent = listener();
        let mut config = config(settings, known, agent.local_addr().unwrap());
        config["limits"] = limits;
        let mut child = spawn(first, test_name, &config);
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let node = line.trim().rsplit(' ').next().unwrap().parse().expect(&line);
        Harness { child, log, node, replicas, agent, config, path: path(test_name) }
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits until an event has woken the node.
    pub fn wait_for_wakeup(&self) {
        let status = format!("/proc/{}/status", self.child.id());
        let wakeups = || {
            let text = std::fs::read_to_string(&status).unwrap();
            text.lines().find(|line| line.starts_with("voluntary_ctxt_switches")).map(str::to_owned).unwrap()
        };
        let before = wakeups();
        while wakeups() == before {
            std::thread::yield_now();
        }
    }

    /// Pauses the node until [`Harness::resume`]. It is stopped when this function returns.
    ///
    /// The node is paused while it waits for events: paused within a round, it would continue with the events collected
    /// before, at a later time. The signal alone is not sufficient: on a busy machine the node, woken by the signal,
    /// may still collect arriving events before it stops.
    pub fn pause(&self) {
        let pid = Pid::from_child(&self.child);
        let stat = format!("/proc/{pid}/stat");
        loop {
            let text = std::fs::read_to_string(&stat).unwrap();
            // The name before the state, in brackets, may contain any character.
            let (_, state) = text.rsplit_once(") ").unwrap();
            if state.starts_with('S') {
                break;
            }
            std::thread::yield_now();
        }
        kill_process(pid, Signal::STOP).unwrap();
        let status = waitpid(Some(pid), WaitOptions::UNTRACED).unwrap();
        assert!(status.is_some_and(|(_, status)| status.stopped()), "the node ended");
    }

    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Closes a client's connection and waits until the node's system has received the end of the stream. A child
    /// process that another test starts holds a copy of the connection until it executes its program.
    pub fn disconnect(&self, client: Peer) {
        let client_port = client.stream.local_addr().unwrap().port();
        drop(client);
        while !self.has_end_of(client_port) {
            std::thread::yield_now();
        }
    }

    /// Returns whether the node's end of a connection has received everything from its client, including the end.
    fn has_end_of(&self, client_port: u16) -> bool {
        const CLOSE_WAIT: &str = "08";
        let port_of = |address: &str| u16::from_str_radix(address.rsplit_once(':').unwrap().1, 16).unwrap();
        let connections = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let state = connections.lines().skip(1).find_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let (local, peer) = (fields.next()?, fields.next()?);
            (port_of(local) == self.node.port() && port_of(peer) == client_port).then(|| fields.next())?
        });
        state.is_none_or(|state| state == CLOSE_WAIT)
    }

    /// Refuses connections to a replica until the returned socket, which keeps its port reserved, is dropped. The
    /// listener is shut down first, as a child process that another test starts holds a copy of it until it executes
    /// its program.
    pub fn refuse_connections(&mut self, n: usize) -> Socket {
        let listener = self.replicas.remove(n);
        let address = listener.local_addr().unwrap();
        SockRef::from(&listener).shutdown(Shutdown::Both).unwrap();
        drop(listener);
        let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        reserved.set_reuse_address(true).unwrap();
        reserved.bind(&address.into()).unwrap();
        reserved
    }

    pub fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.node).unwrap())
    }

    pub fn replica(&self, n: usize) -> Peer {
        Peer::new(self.replicas[n].accept().unwrap().0)
    }

    pub fn health(&self) -> u16 {
        let mut client = self.client();
        client.send(b"GET /_health HTTP/1.1\r\n\r\n");
        client.response().0
    }

    pub fn counter(&self, name: &str) -> u64 {
        let mut client = self.client();
        client.send(METRICS_REQUEST);
        let text = client.response().2;
        let line = text.lines().find(|l| l.starts_with(&format!("orchidvalve_{name}_total "))).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    }

    /// Returns the rest of the log and the exit code.
    pub fn end(mut self) -> (String, Option<i32>) {
        let mut log = String::new();
        self.log.read_to_string(&mut log).unwrap();
        (log, self.child.wait().unwrap().code())
    }
}

/// A connection that is read with blocking calls.
pub struct Peer {
    pub stream: TcpStream,
    pub inbox: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer { stream, inbox: Vec::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Reads more bytes into the inbox. Returns false at the end of the stream.
    pub fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(length) => {
                self.inbox.extend_from_slice(&buffer[..length]);
                length > 0
            }
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => false,
            // The read was interrupted because this process was stopped and continued.
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => self.read_more(),
            Err(e) => panic!("nothing was received: {e}"),
        }
    }

    pub fn take(&mut self, length: usize) -> Vec<u8> {
        while self.inbox.len() < length {
            assert!(self.read_more(), "the connection ended");
        }
        self.inbox.drain(..length).collect()
    }

    /// Returns the letter and the payload of the next frame.
    pub fn frame(&mut self) -> (char, String) {
        let length = u32::from_be_bytes(self.take(4).try_into().unwrap());
        let frame = String::from_utf8(self.take(length as usize)).unwrap();
        (frame.chars().next().unwrap(), frame[1..].to_owned())
    }

    /// Returns the lines of the next call, one for each shard request, without their payloads.
    pub fn call(&mut self) -> Vec<String> {
        let (letter, rest) = self.frame();
        assert_eq!(letter, '1', "{rest}");
        lines(&rest)
    }

    /// Answers health checks until a call is received, and returns the call.
    pub fn answer_health_checks_until_call(&mut self) -> String {
        loop {
            match self.frame() {
                ('4', _) => self.send_frame("4waiting=0,rps=9"),
                (letter, rest) => {
                    assert_eq!(letter, '1', "{rest}");
                    return rest;
                }
            }
        }
    }

    pub fn send_frame(&mut self, frame: &str) {
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(frame.as_bytes());
        self.send(&bytes);
    }

    /// Answers the shard request in a line of a call.
    pub fn answer(&mut self, line: &str, end: &str, value: &str) {
        let id = line.split(' ').next().unwrap();
        self.send_frame(&format!("5{id} {end} 7 -\n{value}"));
    }

    /// Returns the status, head and body of the next response.
    pub fn response(&mut self) -> (u16, String, String) {
        loop {
            if let Some(end) = self.inbox.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8(self.take(end + 4)).unwrap();
                let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap();
                let body = self.take(length.parse().unwrap());
                let status = head.split(' ').nth(1).unwrap().parse().unwrap();
                return (status, head, String::from_utf8(body).unwrap());
            }
            assert!(self.read_more(), "the connection ended");
        }
    }

    pub fn query(&mut self, id: &str, class: &str, shards: &[usize], timeout: &str) {
        let request = request(id, class, shards, timeout);
        self.send(request.as_bytes());
    }
}

/// Returns the lines of a call, one for each shard request, without their payloads.
pub fn lines(mut call: &str) -> Vec<String> {
    let mut lines = Vec::new();
    while let Some((line, after)) = call.split_once('\n') {
        lines.push(line.to_owned());
        call = &after[line.rsplit(' ').next().unwrap().parse::<usize>().unwrap()..];
    }
    lines
}

/// Returns the body of a query. Its weights are rounded down to a few digits, so they sum to less than 1.
pub fn body(shards: &[usize]) -> String {
    let share = (1e5 / shards.len() as f64).floor() / 1e5;
    let slices: Vec<Value> = shards.iter().map(|s| json!({"slice": s, "mass": share})).collect();
    json!({"slices": slices, "filter": "c41e77d0"}).to_string()
}

pub fn request(id: &str, class: &str, shards: &[usize], timeout: &str) -> String {
    let body = body(shards);
    let head = head(id, class, timeout);
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub fn head(id: &str, class: &str, timeout: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nTenant: acme\r\n\
         Request-Timeout: {timeout}\r\nIdempotency-Key: k-{id}\r\n"
    )
}

impl Harness {
    pub fn move_replica(&self, agent: &mut Peer, from: u64, address: SocketAddr, phase: &str) {
        let list = json!({"revision": from + 1, "complete": false, "members": [member(0, address, phase)]});
        send_list(agent, from, &list);
        assert!(agent.read_more());
    }
}

/// Answers the node's watch, which requests changes from the revision `from`.
pub fn send_list(agent: &mut Peer, from: u64, list: &Value) {
    send_list_at(agent, &format!("?from={from}&hold_ms="), list);
}

pub fn send_list_at(agent: &mut Peer, path: &str, list: &Value) {
    let mut received = String::new();
    while !received.ends_with("\r\n\r\n") {
        received.push(agent.take(1)[0] as char);
    }
    assert!(received.starts_with(&format!("GET /catalog/members{path}")), "{received}");
    let list = list.to_string();
    agent.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).as_bytes());
}

/// Settings with a connect timeout longer than any test.
pub fn settings_with_long_timeouts() -> Value {
    let mut settings = settings(1);
    settings["limits"]["connectTimeoutNs"] = json!(60_000_000_000u64);
    settings["rules"]["stopSendingWithinNs"] = json!(100_000_000);
    settings
}

/// Opens a harness with one replica that holds many shards, long latency targets, and capacity for hundreds of clients
/// and shard requests.
pub fn open_wide(test_name: &str, sockets: usize) -> Harness {
    let mut settings = settings(1);
    settings["limits"]["connIdleNs"] = json!(60_000_000_000u64);
    settings["classes"][0]["objectiveNs"] = json!(60_000_000_000u64);
    settings["classes"][0]["deadlineNs"] = json!(90_000_000_000u64);
    settings["extra"]["slices"] = json!(64);
    for limit in ["multiplex", "openCap"] {
        settings["limits"][limit] = json!(1_000);
    }
    settings["limits"]["probes"] = json!(false);
    let replicas = vec![listener()];
    let known = json!([member(0, replicas[0].local_addr().unwrap(), "up")]);
    let limits = json!({"cores": 1.0, "memory_mb": 512, "sockets": sockets});
    Harness::begin_limited("", test_name, replicas, known, settings, limits)
}
