//! Clients with plain requests: open-loop load with deadlines and retries.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::credentials::Credentials;
use crate::directory::Directory;
use crate::effects::{Call, CallTag, Caller, Effects, Outcome};
use crate::http;
use crate::observation::Observation;
use crate::synthetic_text;

/// Status codes with which the system promises that a request was not executed.
pub const NOT_EXECUTED_STATUSES: [u16; 4] = [429, 503, 408, 421];
/// Status codes after which a retry would receive the same response.
const FINAL_STATUSES: [u16; 5] = [400, 401, 404, 413, 431];
/// Backoff before a retry if the response has no `Retry-After`, in milliseconds.
const BACKOFF_MS: u64 = 50;
/// A backoff takes at most the remaining time divided by this number.
const MAX_BACKOFF_DIVISOR: u64 = 3;

/// Settings of a group of clients. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Zone of the clients.
    pub zone: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Path prefix of the requests.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub idempotent: bool,
    /// Mean interval between two requests.
    pub interval_ms: u64,
    /// Latency target: a response within this time earns its full value.
    pub target_latency_ms: u64,
    /// Time after which a response has no value.
    pub deadline_ms: u64,
    /// Maximum number of attempts after the first.
    pub retries: u32,
    /// Size of the request bodies, in bytes.
    pub body_bytes: usize,
    /// Whether connections are reused for further requests.
    pub keep_alive: bool,
    /// Number of requests that are pipelined on one connection.
    pub pipelined: usize,
    /// Whether bodies are sent with chunked transfer coding.
    pub chunked: bool,
    /// Credentials from which each request draws one; if empty, requests have no credentials.
    pub credentials: Vec<Credentials>,
    /// Start of the requests.
    pub from: u64,
    /// Time from which no request starts.
    pub until: u64,
    /// Seed of the intervals and bodies.
    pub seed: u64,
}

/// Counters of a group of clients.
#[derive(Clone, Debug, Default)]
pub struct ClientStats {
    /// Requests that were started.
    pub sent: u64,
    /// Requests that succeeded.
    pub served: u64,
    /// Requests that succeeded within their latency target.
    pub within_target: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Times from the first attempt to the response of successful requests, in milliseconds.
    pub latencies: Vec<u64>,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    target: String,
    body: Vec<u8>,
    /// Credentials of all attempts.
    credentials: Credentials,
    started: u64,
    retries: u32,
    /// Time of the next attempt; `None` while an attempt is in flight.
    retry_at: Option<u64>,
    /// Id of the latest attempt.
    attempt_id: String,
}

impl PendingRequest {
    /// Returns the time until the deadline, in milliseconds.
    fn time_left(&self, now: u64, settings: &ClientSettings) -> u64 {
        (self.started + settings.deadline_ms).saturating_sub(now)
    }
}

/// A group of clients in one zone.
pub struct Clients {
    settings: ClientSettings,
    random: Pcg64Mcg,
    next_at: u64,
    next_tag: CallTag,
    pending: BTreeMap<CallTag, PendingRequest>,
    stats: Rc<RefCell<ClientStats>>,
}

/// Returns an id of 16 hexadecimal digits.
pub fn random_id(random: &mut impl RngCore) -> String {
    format!("{:016x}", random.next_u64())
}

impl Clients {
    /// Returns clients with their counters.
    pub fn new(settings: ClientSettings) -> (Clients, Rc<RefCell<ClientStats>>) {
        let stats: Rc<RefCell<ClientStats>> = Rc::default();
        let clients = Clients {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            next_at: settings.from,
            next_tag: CallTag(1),
            pending: BTreeMap::new(),
            stats: stats.clone(),
            settings,
        };
        (clients, stats)
    }

    /// Starts the requests of one pipeline.
    fn begin_pipelined(&mut self, now: u64, directory: &Directory, out: &mut Effects) {
        let Some(mut first) = self.begin(now, None, directory, out) else { return };
        for _ in 1..self.settings.pipelined {
            first.following.extend(self.begin(now, Some(first.address), directory, out));
        }
        out.calls.push(first);
    }

    /// Starts a request through the given gateway, or through one picked from the directory.
    fn begin(
        &mut self,
        now: u64,
        gateway: Option<SocketAddrV4>,
        directory: &Directory,
        out: &mut Effects,
    ) -> Option<Call> {
        let mut body = vec![0; self.settings.body_bytes];
        self.random.fill_bytes(&mut body);
        let target = format!("{}{:x}", self.settings.path_prefix, self.random.next_u32() & 0xffff);
        let credentials = self.draw_credentials();
        let request = PendingRequest {
            target,
            body,
            credentials,
            started: now,
            retries: 0,
            retry_at: None,
            attempt_id: String::new(),
        };
        let tag = self.next_tag;
        self.next_tag = tag.next();
        self.stats.borrow_mut().sent += 1;
        self.pending.insert(tag, request);
        self.attempt(now, tag, gateway, directory, out)
    }

    fn draw_credentials(&mut self) -> Credentials {
        let all = &self.settings.credentials;
        if all.is_empty() {
            return Credentials::default();
        }
        all[self.random.random_range(0..all.len())].clone()
    }

    /// Returns the call that sends a pending request with a new attempt id, through the given gateway or one picked
    /// from the directory.
    fn attempt(
        &mut self,
        now: u64,
        tag: CallTag,
        gateway: Option<SocketAddrV4>,
        directory: &Directory,
        out: &mut Effects,
    ) -> Option<Call> {
        let attempt_id = random_id(&mut self.random);
        let gateway = gateway.or_else(|| directory.pick_gateway(&self.settings.zone, &mut self.random));
        let request = self.pending.get_mut(&tag)?;
        let timeout_ms = request.time_left(now, &self.settings);
        let Some(address) = gateway.filter(|_| timeout_ms > 0) else {
            self.fail(tag);
            return None;
        };
        request.retry_at = None;
        request.attempt_id.clone_from(&attempt_id);
        out.observations.push(Observation::RequestSent {
            id: attempt_id.clone(),
            gateway: address.to_string(),
            host: self.settings.host.clone(),
            method: "POST".to_owned(),
            target: request.target.clone(),
            body: synthetic_text::digest(&request.body),
            idempotent: self.settings.idempotent,
            credentials: request.credentials.clone(),
        });
        let deadline = timeout_ms.to_string();
        let mut fields = vec![("Attempt-Id", attempt_id.as_str()), ("Deadline-Ms", &deadline)];
        fields.extend(request.credentials.fields());
        let write = if self.settings.chunked { http::chunked_request } else { http::request };
        let bytes = write("POST", &request.target, &self.settings.host, &fields, &request.body);
        let keep_alive = self.settings.keep_alive;
        Some(Call { tag, address, bytes, timeout_ms, keep_alive, following: VecDeque::new() })
    }

    fn fail(&mut self, tag: CallTag) {
        self.pending.remove(&tag);
        self.stats.borrow_mut().failed += 1;
    }

    fn succeed(&mut self, now: u64, tag: CallTag) {
        let Some(request) = self.pending.remove(&tag) else { return };
        let latency = now - request.started;
        let mut stats = self.stats.borrow_mut();
        stats.served += 1;
        stats.within_target += u64::from(latency <= self.settings.target_latency_ms);
        stats.latencies.push(latency);
    }

    fn retry_or_fail(&mut self, now: u64, tag: CallTag, backoff_ms: u64, may_retry: bool) {
        match self.pending.get_mut(&tag) {
            Some(request) if may_retry && request.retries < self.settings.retries => {
                request.retries += 1;
                let time_left = request.time_left(now, &self.settings);
                request.retry_at = Some(now + backoff_ms.min(time_left / MAX_BACKOFF_DIVISOR));
            }
            _ => self.fail(tag),
        }
    }
}

/// Returns the observation of an attempt's end.
fn observed(id: String, outcome: &Outcome) -> Observation {
    match outcome {
        Outcome::Response(response) => Observation::ResponseReceived {
            id,
            status: response.status,
            signature: response.headers.get("Server-Signature").map(str::to_owned),
            echoed_id: response.headers.get("Attempt-Id").map(str::to_owned),
            body: synthetic_text::digest(&response.body),
        },
        Outcome::TrailingBytes(_) | Outcome::Malformed => Observation::MalformedResponseReceived { id },
        Outcome::Disconnected { .. } => Observation::RequestFailed { id, connection_lost: true },
        Outcome::Refused | Outcome::TimedOut => Observation::RequestFailed { id, connection_lost: false },
    }
}

impl Caller for Clients {
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects) {
        let due: Vec<CallTag> = self
            .pending
            .iter()
            .filter(|(_, request)| request.retry_at.is_some_and(|at| at <= now))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in due {
            let call = self.attempt(now, tag, None, directory, out);
            out.calls.extend(call);
        }
        while self.next_at <= now && self.next_at < self.settings.until {
            self.begin_pipelined(now, directory, out);
            self.next_at += self.random.random_range(1..=self.settings.interval_ms.max(1) * 2);
        }
    }

    fn call_ended(
        &mut self,
        now: u64,
        tag: CallTag,
        outcome: Outcome,
        _directory: &mut Directory,
        out: &mut Effects,
    ) {
        let Some(request) = self.pending.get(&tag) else { return };
        out.observations.push(observed(request.attempt_id.clone(), &outcome));
        match outcome {
            Outcome::Response(response) if response.is_success() => self.succeed(now, tag),
            Outcome::Response(response) => {
                let not_executed = NOT_EXECUTED_STATUSES.contains(&response.status);
                let is_final = FINAL_STATUSES.contains(&response.status);
                let retry_after_s =
                    response.headers.get("Retry-After").and_then(|value| value.parse::<f64>().ok());
                let backoff_ms = retry_after_s.map_or(BACKOFF_MS, |seconds| (seconds * 1_000.0) as u64);
                let may_retry = not_executed || (self.settings.idempotent && !is_final);
                self.retry_or_fail(now, tag, backoff_ms, may_retry);
            }
            Outcome::Refused => self.retry_or_fail(now, tag, BACKOFF_MS, true),
            _ => self.retry_or_fail(now, tag, BACKOFF_MS, self.settings.idempotent),
        }
    }

    fn next_wake(&self) -> Option<u64> {
        let next_request = (self.next_at < self.settings.until).then_some(self.next_at);
        self.pending.values().filter_map(|request| request.retry_at).chain(next_request).min()
    }
}
