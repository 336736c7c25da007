//! Calls of the platform's interface that only the leader of the singleton roles makes: how they look on the wire, and
//! when the next one may be sent.
//!
//! The platform takes so many of these calls a second from all nodes together, and may be slow, busy or down. After a
//! failure all calls pause for a time that doubles, so that a platform that comes back isn't met by all of them.

use std::net::SocketAddrV4;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_http::{write_head_end, write_header, write_number_header, write_request_line};
use serde_json::Value;

use crate::http_client::{ConnectionUse, ExchangeTarget};

/// A call without a response within this time has an unknown outcome and is made again, in milliseconds.
const CALL_TIMEOUT_MS: Milliseconds = 3_000;
/// Pause of all calls after the first failure, in milliseconds.
const FIRST_PAUSE_MS: Milliseconds = 100;
/// Longest pause of all calls after failures, in milliseconds.
const MAX_PAUSE_MS: Milliseconds = 1_600;
/// Share of the platform's rate that this node takes: a former leader may have used up the rest a moment ago.
const RATE_SHARE: f64 = 0.5;
/// Calls that may be sent at once after a time without any.
const BURST: f64 = 4.0;
const MS_PER_S: f64 = 1_000.0;

/// Who calls: the leader under its term.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller<'a> {
    /// Name of this machine.
    pub name: &'a str,
    /// The leadership term.
    pub fencing_token: u64,
}

/// Where a call goes. It takes a connection of its own: what isn't handed over and acknowledged within a moment is given
/// up by the system, so no call arrives long after its sender's lease.
pub(super) fn call_target(platform: SocketAddrV4, now: Milliseconds) -> ExchangeTarget {
    ExchangeTarget {
        address: platform,
        connection_use: ConnectionUse::New,
        started_at: now,
        deadline: now + CALL_TIMEOUT_MS,
    }
}

/// A call as the platform gets it.
pub(super) fn call_bytes(caller: Caller<'_>, platform: SocketAddrV4, path: &str, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let mut request = Vec::new();
    write_request_line(&mut request, "POST", path);
    write_header(&mut request, "Host", &platform.to_string());
    write_header(&mut request, "Duty-Holder", caller.name);
    write_number_header(&mut request, "Fence-Token", caller.fencing_token);
    write_header(&mut request, "Content-Type", "application/json");
    write_header(&mut request, "Connection", "close");
    write_number_header(&mut request, "Content-Length", body.len() as u64);
    write_head_end(&mut request);
    request.extend_from_slice(body.as_bytes());
    request
}

/// When the next call may be sent: a token bucket, and a pause that doubles with each failure.
#[derive(Debug)]
pub(super) struct CallPacing {
    rate_per_ms: f64,
    tokens: f64,
    refilled_at: Milliseconds,
    /// Failures since the last success.
    failures: u32,
    paused_until: Milliseconds,
}

impl CallPacing {
    /// Pacing for a platform that takes `rate_per_s` calls a second from all nodes.
    pub(super) fn new(rate_per_s: f64) -> CallPacing {
        CallPacing {
            rate_per_ms: rate_per_s * RATE_SHARE / MS_PER_S,
            tokens: BURST,
            refilled_at: 0,
            failures: 0,
            paused_until: 0,
        }
    }

    /// Takes the permission for one call; false if none may be sent now.
    pub(super) fn take(&mut self, now: Milliseconds) -> bool {
        let waited = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + waited as f64 * self.rate_per_ms).min(BURST);
        if now < self.paused_until || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// When a call may be sent next: the first time at which [`CallPacing::take`] can succeed.
    pub(super) fn next_at(&self) -> Milliseconds {
        let missing = (1.0 - self.tokens).max(0.0);
        let refilled = self.refilled_at.saturating_add((missing / self.rate_per_ms).ceil() as Milliseconds);
        refilled.max(self.paused_until)
    }

    /// The platform has answered a call.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.paused_until = 0;
    }

    /// A call got no answer, or the platform is busy.
    pub(super) fn failed(&mut self, now: Milliseconds) {
        let pause = (FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        self.paused_until = now + pause;
    }
}
