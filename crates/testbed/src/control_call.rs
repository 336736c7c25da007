//! A call to the control nodes: redirections are followed, a failure is retried at another node after a backoff, and
//! responses can be lost on purpose.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use rand_pcg::Pcg64Mcg;

use crate::directory::Directory;
use crate::effects::{Call, CallTag, Outcome};
use crate::http::{self, Response};

/// Time for a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Bodies from this size on have longer.
const LARGE_BODY_BYTES: usize = 64 << 10;
const LARGE_BODY_TIMEOUT_MS: u64 = 3_000;
const INITIAL_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_000;
/// Time after which a request whose response was lost is sent again, in milliseconds.
const RESEND_DELAY_MS: u64 = 20;
const MAX_REDIRECTS: u32 = 2;
/// Attempts after which any other 4xx is conclusive.
const MAX_CLIENT_ERRORS: u32 = 3;

/// How a response is lost on its way to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseLoss {
    /// It comes, and the caller doesn't get it.
    Dropped,
    /// The caller closes the connection after a time, whether or not a response is on its way.
    ConnectionClosedAfter {
        /// The time, in milliseconds.
        ms: u64,
    },
}

/// What is asked of the control nodes.
#[derive(Clone, Debug)]
pub struct ControlRequest {
    /// Its method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields beside those that every request has.
    pub fields: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl ControlRequest {
    /// A request to read something.
    pub fn get(target: impl Into<String>) -> ControlRequest {
        ControlRequest { method: "GET", target: target.into(), fields: Vec::new(), body: Vec::new() }
    }

    /// A request with a JSON document as its body.
    pub fn json(
        method: &'static str,
        target: impl Into<String>,
        document: &serde_json::Value,
    ) -> ControlRequest {
        let fields = vec![("Content-Type", "application/json".to_owned())];
        ControlRequest { method, target: target.into(), fields, body: document.to_string().into_bytes() }
    }

    /// The request holds only on top of this version of the configuration.
    pub fn on_top_of(mut self, version: u64) -> ControlRequest {
        self.fields.push(("If-Match", version.to_string()));
        self
    }

    fn to_bytes(&self, address: SocketAddrV4) -> Vec<u8> {
        let fields: Vec<(&str, &str)> =
            self.fields.iter().map(|(name, value)| (*name, value.as_str())).collect();
        http::request(self.method, &self.target, &address.to_string(), &fields, &self.body)
    }

    fn timeout_ms(&self) -> u64 {
        if self.body.len() >= LARGE_BODY_BYTES { LARGE_BODY_TIMEOUT_MS } else { RESPONSE_TIMEOUT_MS }
    }
}

/// A request that is sent until it has a conclusive response.
#[derive(Clone, Debug)]
pub struct ControlCall {
    request: ControlRequest,
    redirects: u32,
    client_errors: u32,
    backoff_ms: u64,
    /// Address that a redirection named.
    redirect: Option<SocketAddrV4>,
    /// Where it was last sent; the next attempt goes to another node.
    last_node: Option<SocketAddrV4>,
    /// Losses of the responses to the next attempts, in order.
    losses: VecDeque<ResponseLoss>,
    /// When the next attempt is due; `None` while one is in flight.
    next_at: Option<u64>,
    sent_at: u64,
    /// No more attempts after this time.
    deadline: u64,
}

/// What follows from the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// A conclusive response came.
    Response(Response),
    /// There will be another attempt.
    Retry,
    /// A response came and was lost; there will be another attempt.
    ResponseLost(Response),
    /// No conclusive response came by the deadline.
    Expired,
}

impl ControlCall {
    /// A call whose first attempt is due now, and whose last one at `deadline`.
    pub fn new(request: ControlRequest, now: u64, deadline: u64) -> ControlCall {
        ControlCall {
            request,
            redirects: 0,
            client_errors: 0,
            backoff_ms: INITIAL_BACKOFF_MS,
            redirect: None,
            last_node: None,
            losses: VecDeque::new(),
            next_at: Some(now),
            sent_at: now,
            deadline,
        }
    }

    /// The responses to the first attempts are lost in these ways.
    pub fn with_losses(mut self, losses: impl IntoIterator<Item = ResponseLoss>) -> ControlCall {
        self.losses.extend(losses);
        self
    }

    /// When the next attempt is due; `None` while one is in flight.
    pub fn next_at(&self) -> Option<u64> {
        self.next_at
    }

    /// Puts the next attempt off.
    pub fn postpone(&mut self, at: u64) {
        self.next_at = Some(at);
    }

    /// When the last attempt was sent.
    pub fn sent_at(&self) -> u64 {
        self.sent_at
    }

    /// Time after which there are no more attempts.
    pub fn deadline(&self) -> u64 {
        self.deadline
    }

    /// The attempt that is due, if any.
    pub fn attempt(
        &mut self,
        now: u64,
        tag: CallTag,
        directory: &Directory,
        random: &mut Pcg64Mcg,
    ) -> Option<Call> {
        if self.next_at.is_none_or(|at| at > now) {
            return None;
        }
        let redirect = self.redirect.take();
        let Some(address) = redirect.or_else(|| directory.pick_other_control_node(self.last_node, random))
        else {
            self.next_at = Some(now + self.backoff_ms);
            return None;
        };
        self.next_at = None;
        self.last_node = Some(address);
        self.sent_at = now;
        let timeout_ms = match self.losses.front() {
            Some(ResponseLoss::ConnectionClosedAfter { ms }) => *ms,
            _ => self.request.timeout_ms(),
        };
        Some(Call {
            tag,
            address,
            bytes: self.request.to_bytes(address),
            timeout_ms,
            keep_alive: false,
            following: VecDeque::new(),
        })
    }

    /// Takes the outcome of the last attempt.
    pub fn attempt_ended(&mut self, now: u64, outcome: Outcome) -> CallProgress {
        if let Outcome::Response(answer) = outcome {
            if answer.status == 307 && self.redirects < MAX_REDIRECTS {
                self.redirects += 1;
                self.redirect = answer.headers.get("Location").and_then(address_of);
                self.next_at = Some(now);
                return CallProgress::Retry;
            }
            let loss = self.losses.pop_front();
            if loss == Some(ResponseLoss::Dropped) && now < self.deadline {
                self.next_at = Some(now + RESEND_DELAY_MS);
                return CallProgress::ResponseLost(answer);
            }
            if self.is_conclusive(answer.status) {
                return CallProgress::Response(answer);
            }
        } else if matches!(self.losses.pop_front(), Some(ResponseLoss::ConnectionClosedAfter { .. })) {
            self.next_at = Some(now + RESEND_DELAY_MS);
            return CallProgress::Retry;
        }
        if now >= self.deadline {
            return CallProgress::Expired;
        }
        self.redirects = 0;
        self.next_at = Some(now + self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
        CallProgress::Retry
    }

    fn is_conclusive(&mut self, status: u16) -> bool {
        match status {
            200..=299 | 400 | 409 | 412 | 413 | 422 => true,
            408 | 429 => false,
            401..=499 => {
                self.client_errors += 1;
                self.client_errors >= MAX_CLIENT_ERRORS
            }
            _ => false,
        }
    }
}

/// The address in a `Location`.
fn address_of(location: &str) -> Option<SocketAddrV4> {
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
