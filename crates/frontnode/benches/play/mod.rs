//! Clients that send one request after the other, and their measured results.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::search_node::{Harness, SHARDS};
use hdrhistogram::Histogram;
use serde_json::json;

pub const CLIENTS: usize = 24;
const TURN: Duration = Duration::from_millis(1500);

pub struct Measurement {
    pub name: &'static str,
    pub harness: Harness,
    /// The request that each client sends; requests of the own protocol also get an id.
    own: bool,
    body: String,
    pub latencies: Histogram<u64>,
    pub done: u64,
    pub seconds: f64,
    pub processor_seconds: f64,
    /// The values of each turn.
    pub rates: Vec<f64>,
}

/// Returns the processor time that a process has used, in seconds: fields 14 and 15 of its stat, 100 per second on
/// Linux.
fn processor_seconds(harness: &Harness) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", harness.child.id())).unwrap();
    let after = stat.rsplit_once(") ").unwrap().1;
    let ticks: u64 = after.split(' ').skip(11).take(2).map(|t| t.parse::<u64>().unwrap()).sum();
    ticks as f64 / 100.0
}

pub fn resident_kb(harness: &Harness) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", harness.child.id())).unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

impl Measurement {
    pub fn new(name: &'static str, own: bool, flavors: [&str; SHARDS], more: &str) -> Measurement {
        let harness = Harness::open_wide(&name.replace([' ', ','], "-"), flavors, more);
        harness.fill("jobs", 90);
        let asked = json!({"query": {"bool": {"must": {"match": {"notes": "piano"}},
                                              "filter": {"range": {"crew": {"gte": 1}}}}}, "size": 10});
        let body = if own {
            let routes = harness.documents().routes.clone();
            let mapping = routes.mapping("jobs").unwrap();
            let search = orchidvalve_search::request::SearchRequest::read(
                asked.to_string().as_bytes(),
                "jobs",
                mapping,
                0,
            )
            .unwrap();
            let slices: Vec<_> =
                (0..SHARDS).map(|s| json!({"slice": s, "mass": 1.0 / SHARDS as f64})).collect();
            json!({"slices": slices, "filter": search.canonical()}).to_string()
        } else {
            asked.to_string()
        };
        let latencies = Histogram::new(3).unwrap();
        Measurement {
            name,
            harness,
            own,
            body,
            latencies,
            done: 0,
            seconds: 0.0,
            processor_seconds: 0.0,
            rates: Vec::new(),
        }
    }

    fn request(&self, id: &str) -> String {
        let length = self.body.len();
        let head = if self.own {
            format!(
                "POST /api HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Class: look\r\nRequest-Timeout: 3000m\r\n"
            )
        } else {
            "POST /jobs/_search HTTP/1.1\r\n".to_owned()
        };
        format!("{head}Content-Length: {length}\r\n\r\n{}", self.body)
    }

    pub fn run_turn(&mut self, turn: usize) {
        let (started, before) = (Instant::now(), processor_seconds(&self.harness));
        let this = &*self;
        let latencies: Vec<Vec<u64>> = std::thread::scope(|scope| {
            let client = |n: usize| move || this.client(n, turn, started + TURN);
            let clients: Vec<_> = (0..CLIENTS).map(|n| scope.spawn(client(n))).collect();
            clients.into_iter().map(|client| client.join().unwrap()).collect()
        });
        let (seconds, used) = (started.elapsed().as_secs_f64(), processor_seconds(&self.harness) - before);
        let done = latencies.iter().map(Vec::len).sum::<usize>();
        latencies.into_iter().flatten().for_each(|micros| self.latencies.record(micros).unwrap());
        self.done += done as u64;
        self.seconds += seconds;
        self.processor_seconds += used;
        self.rates.push(done as f64 / used);
    }

    /// Sends requests one after the other until `end`. Returns the duration of each in microseconds.
    fn client(&self, n: usize, turn: usize, end: Instant) -> Vec<u64> {
        let mut stream = TcpStream::connect(self.harness.node).unwrap();
        stream.set_nodelay(true).unwrap();
        let (mut latencies, mut inbox, mut buffer) = (Vec::new(), Vec::new(), vec![0; 64 << 10]);
        while Instant::now() < end {
            let request = self.request(&format!("{turn}-{n}-{}", latencies.len()));
            let started = Instant::now();
            stream.write_all(request.as_bytes()).unwrap();
            loop {
                let length = stream.read(&mut buffer).unwrap();
                assert!(length > 0, "closed");
                inbox.extend_from_slice(&buffer[..length]);
                let Some(head) = inbox.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
                let text = std::str::from_utf8(&inbox[..head]).unwrap();
                let body = text.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap();
                let whole = head + 4 + body.parse::<usize>().unwrap();
                if inbox.len() >= whole {
                    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
                    inbox.drain(..whole);
                    break;
                }
            }
            latencies.push(started.elapsed().as_micros() as u64);
        }
        latencies
    }
}
