//! A call to the control nodes. It follows redirects, retries failures at another node after a backoff, and can lose
//! responses on purpose.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use rand_pcg::Pcg64Mcg;

use crate::directory::Directory;
use crate::effects::{Call, CallTag, Outcome};
use crate::http::{self, Response};

/// Timeout for a response, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Size from which a body is large and has [`LARGE_BODY_TIMEOUT_MS`], in bytes.
const LARGE_BODY_BYTES: usize = 64 << 10;
const LARGE_BODY_TIMEOUT_MS: u64 = 3_000;
const INITIAL_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 1_000;
/// Time until a request is sent again after its response was lost, in milliseconds.
const RESEND_DELAY_MS: u64 = 20;
const MAX_REDIRECTS: u32 = 2;
/// Number of attempts after which any other 4xx is conclusive.
const MAX_CLIENT_ERRORS: u32 = 3;

/// How the response to an attempt is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseLoss {
    /// The response arrives, but the caller ignores it.
    Dropped,
    /// The caller closes the connection after a time, even if a response is on its way.
    ConnectionClosedAfter {
        /// Time until the close, in milliseconds.
        ms: u64,
    },
}

/// A request to the control nodes.
#[derive(Clone, Debug)]
pub struct ControlRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields in addition to those that every request has.
    pub fields: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

impl ControlRequest {
    /// Returns a `GET` request.
    pub fn get(target: impl Into<String>) -> ControlRequest {
        ControlRequest { method: "GET", target: target.into(), fields: Vec::new(), body: Vec::new() }
    }

    /// Returns a request with a JSON document as its body.
    pub fn json(
        method: &'static str,
        target: impl Into<String>,
        document: &serde_json::Value,
    ) -> ControlRequest {
        let fields = vec![("Content-Type", "application/json".to_owned())];
        ControlRequest { method, target: target.into(), fields, body: document.to_string().into_bytes() }
    }

    /// Makes the request conditional on the given version of the configuration (`If-Match`).
    pub fn based_on(mut self, version: u64) -> ControlRequest {
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

/// A request that is retried until it has a conclusive response.
#[derive(Clone, Debug)]
pub struct ControlCall {
    request: ControlRequest,
    redirects: u32,
    client_errors: u32,
    backoff_ms: u64,
    /// Address from a redirect, for the next attempt.
    redirect: Option<SocketAddrV4>,
    /// Node of the last attempt; the next attempt goes to another one.
    last_node: Option<SocketAddrV4>,
    /// Losses of the responses to the next attempts, in order.
    losses: VecDeque<ResponseLoss>,
    /// Time of the next attempt; `None` while an attempt is in flight.
    next_at: Option<u64>,
    sent_at: u64,
    /// Time after which there are no more attempts.
    deadline: u64,
}

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// A conclusive response was received.
    Response(Response),
    /// The call will be retried.
    Retry,
    /// A response was received and deliberately lost; the call will be retried.
    ResponseLost(Response),
    /// No conclusive response was received before the deadline.
    Expired,
}

impl ControlCall {
    /// Returns a call whose first attempt is due now, and which expires at `deadline`.
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

    /// Loses the responses to the first attempts in the given ways.
    pub fn with_losses(mut self, losses: impl IntoIterator<Item = ResponseLoss>) -> ControlCall {
        self.losses.extend(losses);
        self
    }

    /// Returns the time of the next attempt; `None` while an attempt is in flight.
    pub fn next_at(&self) -> Option<u64> {
        self.next_at
    }

    /// Postpones the next attempt.
    pub fn postpone(&mut self, at: u64) {
        self.next_at = Some(at);
    }

    /// Returns the time of the latest attempt.
    pub fn sent_at(&self) -> u64 {
        self.sent_at
    }

    /// Returns the time after which there are no more attempts.
    pub fn deadline(&self) -> u64 {
        self.deadline
    }

    /// Returns the next attempt if it is due and the directory has a control node.
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

    /// Handles the outcome of the latest attempt.
    pub fn attempt_ended(&mut self, now: u64, outcome: Outcome) -> CallProgress {
        if let Outcome::Response(response) = outcome {
            if response.status == 307 && self.redirects < MAX_REDIRECTS {
                self.redirects += 1;
                self.redirect = response.headers.get("Location").and_then(address_of);
                self.next_at = Some(now);
                return CallProgress::Retry;
            }
            let loss = self.losses.pop_front();
            if loss == Some(ResponseLoss::Dropped) && now < self.deadline {
                self.next_at = Some(now + RESEND_DELAY_MS);
                return CallProgress::ResponseLost(response);
            }
            if self.is_conclusive(response.status) {
                return CallProgress::Response(response);
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

/// Parses the address in a `Location` header.
fn address_of(location: &str) -> Option<SocketAddrV4> {
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
