//! Platform calls: requests to the platform's API that only the leader of the singleton roles sends. This module builds
//! their bytes and decides when the next one may be sent.
//!
//! The platform accepts a limited number of these calls per second from all nodes together, and may be slow, overloaded or
//! down. After a failure all calls pause for a time that doubles with each further failure, so that a recovering platform
//! does not receive them all at once.

use std::net::SocketAddrV4;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_http::{write_head_end, write_header, write_number_header, write_request_line};
use serde_json::Value;

use crate::http_client::{ConnectionUse, ExchangeTarget};

/// A call without a response within this time, in milliseconds, has an unknown outcome and is sent again.
const CALL_TIMEOUT_MS: Milliseconds = 3_000;
/// Pause of all platform calls after the first failure, in milliseconds.
const FIRST_PAUSE_MS: Milliseconds = 100;
/// Upper bound of the pause of all platform calls after repeated failures, in milliseconds.
const MAX_PAUSE_MS: Milliseconds = 1_600;
/// Fraction of the platform's rate limit that this node uses: a former leader may have used up the rest a moment ago.
const RATE_FRACTION: f64 = 0.5;
/// Maximum number of calls that may be sent at once after a time without any (size of the token bucket).
const BURST: f64 = 4.0;
const MS_PER_S: f64 = 1_000.0;

/// Identifies the sender of a call: the leader and its term.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller<'a> {
    /// Name of the machine that this node runs on.
    pub name: &'a str,
    /// The leadership term, sent as fencing token.
    pub fencing_token: u64,
}

/// Returns the exchange target of a platform call. Each call opens a connection of its own, with a short user timeout: the
/// operating system drops bytes that are not handed over and acknowledged in time, so no call arrives long after the
/// lease of its sender has ended.
pub(super) fn call_target(platform: SocketAddrV4, now: Milliseconds) -> ExchangeTarget {
    ExchangeTarget {
        address: platform,
        connection_use: ConnectionUse::New,
        started_at: now,
        deadline: now + CALL_TIMEOUT_MS,
    }
}

/// Encodes a platform call as a complete HTTP request with a JSON body.
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

/// Paces platform calls with a token bucket, and with a pause that doubles with each failure.
#[derive(Debug)]
pub(super) struct CallPacing {
    rate_per_ms: f64,
    tokens: f64,
    refilled_at: Milliseconds,
    /// Number of failures since the last success.
    failures: u32,
    paused_until: Milliseconds,
}

impl CallPacing {
    /// Creates the pacing for a platform that accepts `rate_per_s` calls per second from all nodes together.
    pub(super) fn new(rate_per_s: f64) -> CallPacing {
        CallPacing {
            rate_per_ms: rate_per_s * RATE_FRACTION / MS_PER_S,
            tokens: BURST,
            refilled_at: 0,
            failures: 0,
            paused_until: 0,
        }
    }

    /// Takes a token for one call. Returns false if no call may be sent now.
    pub(super) fn try_take(&mut self, now: Milliseconds) -> bool {
        let waited = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.tokens = (self.tokens + waited as f64 * self.rate_per_ms).min(BURST);
        if now < self.paused_until || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the first time at which [`CallPacing::try_take`] can succeed.
    pub(super) fn next_at(&self) -> Milliseconds {
        let missing = (1.0 - self.tokens).max(0.0);
        let refilled = self.refilled_at.saturating_add((missing / self.rate_per_ms).ceil() as Milliseconds);
        refilled.max(self.paused_until)
    }

    /// Resets the pause after the platform has responded to a call.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.paused_until = 0;
    }

    /// Starts the next, longer pause after a call without a response, or one that the platform rejected as overloaded.
    pub(super) fn failed(&mut self, now: Milliseconds) {
        let pause = (FIRST_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        self.paused_until = now + pause;
    }
}
