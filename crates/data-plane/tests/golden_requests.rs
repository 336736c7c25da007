//! Golden tests of client requests: the requests to servers, the responses to clients and the picked servers in random
//! scenarios, compared by hashes.

mod requests_support;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use orchidvalve_data_plane::admission::Admitted;
use orchidvalve_data_plane::attempts::Idempotency;
use orchidvalve_data_plane::authentication::Authenticated;
use orchidvalve_data_plane::balancer::{Balancer, ServerKey, Success};
use orchidvalve_data_plane::exchanges::request_bytes;
use orchidvalve_data_plane::requests::{
    ReceivedRequest, RequestAttemptId, RequestCommand, RequestId, Requests, Response,
};
use orchidvalve_data_plane::response_class::forwarded_headers;
use orchidvalve_data_plane::upstream::Failure;
use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_http::ResponseHead;
use orchidvalve_protocol::messages::ServerEntry;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use requests_support::{SERVICE, Servers, ZONE, entry, head, rejection, request, routes, success};

const KINDS: [&str; 4] = ["repeat", "once", "stream", "resume"];
const SERVERS: usize = 6;
/// The weight of an exchange at its server. As the servers start with different numbers of exchanges, the server with
/// the fewest never depends on a tie, which the iteration order of a hash map would decide.
const WEIGHT: u32 = SERVERS as u32 / 2;
const STEPS: u32 = 800;
/// The sort order of cancelled attempts, which come before the other commands of their request.
const CANCELLED: u64 = 1;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// An attempt in flight: its number among the attempts of its request, its server, and the response received so far.
struct Attempted {
    position: u64,
    server: ServerKey,
    head: Option<ResponseHead>,
    next_event: u64,
}

struct Scenario {
    requests: Requests,
    servers: Servers,
    listed: Vec<ServerEntry>,
    random: Pcg64Mcg,
    attempts: BTreeMap<RequestAttemptId, Attempted>,
    /// The request and the attempt number of every attempt so far.
    known: BTreeMap<RequestAttemptId, (RequestId, u64)>,
    attempt_counts: BTreeMap<RequestId, u64>,
    open: Vec<RequestId>,
    now: u64,
    trace: Trace,
    kinds: BTreeMap<&'static str, usize>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut servers = Servers::default();
        let mut listed = Vec::new();
        for number in 0..SERVERS {
            let mut listing = entry(&format!("i-{number}"));
            if number % 2 == 1 {
                listing.zone = "other".into();
            }
            listed.push(listing);
            let added = servers.list(listed.clone()).changed;
            (0..number / 2).for_each(|_| servers.balancer.begin_exchange(added[0]));
        }
        let (attempts, known, attempt_counts, open, trace, kinds) = Default::default();
        Scenario {
            requests: Requests::new(ZONE, Pcg64Mcg::new(u128::from(seed) << 64 | 3)),
            servers,
            listed,
            random: Pcg64Mcg::new(u128::from(seed) << 64 | 9),
            attempts,
            known,
            attempt_counts,
            open,
            now: 10_000,
            trace,
            kinds,
        }
    }

    fn begin(&mut self) {
        let kind = KINDS[self.random.random_range(0..KINDS.len())];
        let mut lines = String::new();
        if self.random.random_ratio(4, 5) {
            lines += &format!("Deadline-Ms: {}\r\n", self.random.random_range(20..2_500));
        }
        if kind == "resume" && self.random.random_ratio(1, 3) {
            lines += "Last-Event-Id: 0\r\n";
        }
        let id = self.random.random_range(0..1_000_u32);
        let text = format!(
            "POST /{kind}/{id} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {id:016x}\r\n{lines}\
            Content-Length: 4\r\n\r\nbody"
        );
        let routes = routes();
        let request = request(&text);
        let route = routes.lookup("ficu95.example", &request.target).unwrap().index;
        let admitted = Admitted { route, caller: Authenticated::WithoutTenants };
        let first_byte_at = self.now - self.random.random_range(0..30);
        let mut out = Vec::new();
        let received = ReceivedRequest { request, first_byte_at };
        let id = self.requests.begin(self.now, received, &routes, admitted, &self.servers.balancer, &mut out);
        self.open.push(id);
        self.record(out);
    }

    /// Records the commands in the order of their requests, as those of one tick are in arbitrary order.
    fn record(&mut self, commands: Vec<RequestCommand>) {
        let mut encode: Vec<(RequestId, u64, Vec<u64>, Vec<u8>)> = Vec::new();
        for command in commands {
            let (request, order, numbers, bytes) = self.encode(command);
            encode.push((request, order, numbers, bytes));
        }
        encode.sort_by_key(|(request, order, numbers, _)| {
            let position = if *order == CANCELLED { numbers[1] } else { 0 };
            (*request, *order, position)
        });
        for (request, _, numbers, bytes) in encode {
            self.trace.add_number(self.now);
            self.trace.add_number(request.0);
            numbers.into_iter().for_each(|number| self.trace.add_number(number));
            self.trace.add(&bytes);
        }
    }

    /// Returns the request of a command, a sort order within the request, and the encoded command. Attempts of one
    /// request that are cancelled together are in arbitrary order.
    fn encode(&mut self, command: RequestCommand) -> (RequestId, u64, Vec<u64>, Vec<u8>) {
        match command {
            RequestCommand::Attempt { attempt: id, request, server, deadline_ms, last_event_id, permit } => {
                *self.kinds.entry("send").or_default() += 1;
                let position = self.attempt_counts.entry(request).or_default();
                *position += 1;
                let position = *position;
                self.known.insert(id, (request, position));
                (0..WEIGHT).for_each(|_| self.servers.balancer.begin_exchange(server));
                let attempt =
                    Attempted { position, server, head: None, next_event: last_event_id.unwrap_or(0) + 1 };
                self.attempts.insert(id, attempt);
                let original = self.requests.request(request).expect("it is open").clone();
                let instance = &self.servers.balancer.get(server).expect("it is there").entry.instance;
                let once = u64::from(permit.idempotency() == Idempotency::AtMostOnce);
                let numbers = vec![1, position, u64::from(server.0), once];
                (
                    request,
                    2,
                    numbers,
                    request_bytes(
                        &original,
                        &Authenticated::WithoutTenants,
                        instance,
                        deadline_ms,
                        last_event_id,
                    ),
                )
            }
            RequestCommand::Cancel { attempt: id } => {
                *self.kinds.entry("cancel").or_default() += 1;
                let (request, position) = self.known[&id];
                self.end_exchange(id);
                (request, CANCELLED, vec![2, position], Vec::new())
            }
            RequestCommand::Respond { request, response } => {
                *self.kinds.entry("answer").or_default() += 1;
                let (numbers, bytes) = match response {
                    Response::Server { head, body } => {
                        (vec![3, head.status.into()], [head_bytes(&head), body].concat())
                    }
                    Response::NeverExecuted(_) => (vec![4], Vec::new()),
                    Response::OutcomeUnknown { status } => (vec![5, status.into()], Vec::new()),
                };
                self.open.retain(|open| *open != request);
                (request, 3, numbers, bytes)
            }
            RequestCommand::BeginStream { request, head } => {
                (request, 3, vec![6, head.status.into()], head_bytes(&head))
            }
            RequestCommand::StreamChunk { request, bytes } => (request, 3, vec![7], bytes),
            RequestCommand::EndStream { request } => {
                *self.kinds.entry("stream").or_default() += 1;
                self.open.retain(|open| *open != request);
                (request, 3, vec![8], Vec::new())
            }
            RequestCommand::AbortStream { request } => {
                *self.kinds.entry("broken").or_default() += 1;
                self.open.retain(|open| *open != request);
                (request, 3, vec![9], Vec::new())
            }
        }
    }

    fn end_exchange(&mut self, id: RequestAttemptId) -> Option<Attempted> {
        let attempt = self.attempts.remove(&id)?;
        (0..WEIGHT).for_each(|_| self.servers.balancer.end_exchange(attempt.server));
        Some(attempt)
    }

    fn random_attempt(&mut self) -> Option<RequestAttemptId> {
        if self.attempts.is_empty() {
            return None;
        }
        let position = self.random.random_range(0..self.attempts.len());
        self.attempts.keys().nth(position).copied()
    }

    fn random_head(&mut self) -> ResponseHead {
        match self.random.random_range(0..20) {
            0 => rejection(503),
            1 => rejection(421),
            2 => rejection(429),
            3 => head(500, &[]),
            4 => head(503, &[]),
            5 => head(200, &[]),
            6 => head(404, &[("Instance-Load", "2,5,8")]),
            7 => head(400, &[("Not-Executed", "1")]),
            8..12 => {
                let mut head = success();
                head.headers.push("Content-Type", "text/event-stream; charset=utf-8");
                head
            }
            12 => {
                let mut head = success();
                head.headers.push("Keep-Alive", "timeout=2");
                head.headers.push("Instance-Load", "1, 3 ,4");
                head
            }
            _ => success(),
        }
    }

    /// Continues the response of an attempt.
    fn advance(&mut self) {
        let Some(id) = self.random_attempt() else { return };
        let mut out = Vec::new();
        if self.attempts[&id].head.is_none() {
            let head = self.random_head();
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.head = Some(head.clone());
            }
            self.requests.head_received(id, head, &mut out);
        } else if self.random.random_ratio(3, 5) {
            let skips = self.random.random_ratio(1, 15);
            let cut = self.random.random_ratio(1, 8);
            let Some(attempt) = self.attempts.get_mut(&id) else { return };
            attempt.next_event += u64::from(skips);
            let event = format!("id: {}\ndata: piece {}\n\n", attempt.next_event, attempt.position);
            attempt.next_event += 1;
            let bytes = if cut { event.as_bytes()[..event.len() - 3].to_vec() } else { event.into_bytes() };
            self.requests.body_received(self.now, id, bytes, &mut self.servers.balancer, &mut out);
        } else {
            self.end_exchange(id);
            self.requests.attempt_completed(self.now, id, &mut self.servers.balancer, &mut out);
        }
        self.record(out);
    }

    fn fail(&mut self) {
        let Some(id) = self.random_attempt() else { return };
        let failure = match (self.attempts[&id].head.is_some(), self.random.random_range(0..3)) {
            (false, 0) => Failure::Connect,
            (false, 1) => Failure::Stale,
            _ => Failure::Broken,
        };
        self.end_exchange(id);
        let mut out = Vec::new();
        self.requests.attempt_failed(self.now, id, failure, &mut self.servers.balancer, &mut out);
        self.record(out);
    }

    fn disconnect(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let id = self.open.swap_remove(self.random.random_range(0..self.open.len()));
        let mut out = Vec::new();
        self.requests.client_disconnected(id, &mut out);
        self.record(out);
    }

    fn drain(&mut self) {
        let position = self.random.random_range(0..SERVERS);
        self.listed[position].draining ^= true;
        self.servers.list(self.listed.clone());
    }

    /// Advances the time, stopping whenever a timer is due.
    fn pass(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        loop {
            self.now = self.requests.next_wakeup().clamp(self.now, end);
            let mut out = Vec::new();
            self.requests.tick(self.now, &self.servers.balancer, &mut out);
            self.record(out);
            if self.now == end {
                return;
            }
        }
    }

    fn step(&mut self) {
        let waited = self.random.random_range(1..12);
        self.pass(waited);
        match self.random.random_range(0..100) {
            0..20 => self.begin(),
            20..80 => self.advance(),
            80..88 => self.fail(),
            88..90 => self.disconnect(),
            90..92 => self.drain(),
            _ => {
                let waited = self.random.random_range(50..400);
                self.pass(waited);
            }
        }
        self.trace.add_number(self.requests.next_wakeup());
        self.trace.add_number(self.requests.pending() as u64);
        self.trace.add_number(self.requests.oldest_ms(self.now));
    }

    fn end(&mut self) {
        self.requests.reject_beyond(self.now + 500);
        (0..20).for_each(|_| self.step());
        let mut out = Vec::new();
        self.requests.end_all(&mut out);
        self.record(out);
        assert_eq!(self.requests.pending(), 0);
        assert!(self.attempts.is_empty());
    }
}

fn head_bytes(head: &ResponseHead) -> Vec<u8> {
    let lines = forwarded_headers(&head.headers).map(|(name, value)| format!("{name}: {value}\n"));
    lines.collect::<String>().into_bytes()
}

#[test]
fn requests_match_golden_hashes() {
    let mut hashes = Vec::new();
    let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..16 {
        let mut scenario = Scenario::new(seed);
        (0..STEPS).for_each(|_| scenario.step());
        scenario.end();
        scenario.kinds.iter().for_each(|(kind, count)| *kinds.entry(kind).or_default() += count);
        hashes.push((format!("requests-{seed}"), scenario.trace.finish()));
    }
    for kind in ["send", "cancel", "answer", "stream", "broken"] {
        assert!(kinds.get(kind).is_some_and(|count| *count > 50), "{kind}: {kinds:?}");
    }
    check_hashes(&golden("requests.txt"), &hashes);
}

/// A random source that always picks, or never picks, the later one of two equal servers.
struct Constant(u32);

impl rand::RngCore for Constant {
    fn next_u32(&mut self) -> u32 {
        self.0
    }

    fn next_u64(&mut self) -> u64 {
        self.0.into()
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        bytes.fill(self.0 as u8);
    }
}

/// Returns which of two servers, given by their positions, are picked: one, the other, or either of them.
fn picked(balancer: &Balancer, keys: &[ServerKey], pair: (usize, usize), now: u64) -> Vec<u64> {
    let others: Vec<ServerKey> = keys
        .iter()
        .enumerate()
        .filter(|(position, _)| *position != pair.0 && *position != pair.1)
        .map(|(_, k)| *k)
        .collect();
    let mut picked: Vec<u64> = [0, 1]
        .into_iter()
        .filter_map(|draw| balancer.pick(SERVICE, ZONE, &others, now, &mut Constant(draw)))
        .map(|server| u64::from(server.0))
        .collect();
    picked.sort_unstable();
    picked.dedup();
    picked
}

/// Of every two servers the better one is picked; of two equal ones, either may be picked.
#[test]
fn picked_servers_match_golden_hashes() {
    let mut hashes = Vec::new();
    let mut ties = 0;
    for seed in 0..8_u64 {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 64 | 5);
        let mut servers = Servers::default();
        let mut listed: Vec<ServerEntry> = Vec::new();
        let mut keys = Vec::new();
        for number in 0..5 {
            let mut listing = entry(&format!("i-{number}"));
            if number % 2 == 1 {
                listing.zone = "other".into();
            }
            listed.push(listing);
            keys.extend(servers.list(listed.clone()).changed);
        }
        let mut trace = Trace::new();
        let mut now = 1_000;
        for _ in 0..400 {
            now += random.random_range(0..200);
            let position = random.random_range(0..keys.len());
            let key = keys[position];
            match random.random_range(0..20) {
                0..4 => servers.balancer.begin_exchange(key),
                4..9 => servers.balancer.end_exchange(key),
                9..13 => {
                    let (latency_ms, keep_alive_ms) =
                        (random.random_range(5..90), random.random_range(0..3_000));
                    servers.balancer.succeeded(key, Success { at: now, latency_ms, keep_alive_ms });
                }
                13..15 => servers.balancer.failed(key, now),
                15..18 => servers.balancer.returned_error(key, now),
                18 => servers.balancer.record_load(key, &format!("1,{},4", random.random_range(0..9))),
                _ => {
                    listed[position].draining ^= true;
                    servers.list(listed.clone());
                }
            }
            for first in 0..keys.len() {
                for second in first + 1..keys.len() {
                    let picked = picked(&servers.balancer, &keys, (first, second), now);
                    ties += usize::from(picked.len() == 2);
                    trace.add_number(picked.len() as u64);
                    picked.into_iter().for_each(|key| trace.add_number(key));
                }
            }
            let server = servers.balancer.get(key).expect("it is listed");
            trace.add_number(server.in_flight.into());
            trace.add_number(server.queued.into());
        }
        hashes.push((format!("choice-{seed}"), trace.finish()));
    }
    assert!(ties > 100, "{ties}");
    check_hashes(&golden("choice.txt"), &hashes);
}
