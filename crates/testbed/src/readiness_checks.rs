//! The platform's readiness checks of the gateways.

use std::collections::VecDeque;

use crate::directory::Directory;
use crate::effects::{Call, CallTag, Caller, Effects, Outcome};
use crate::http;

const CHECK_INTERVAL_MS: u64 = 1_000;
const CHECK_TIMEOUT_MS: u64 = 900;

/// Checks the readiness of every gateway once per second.
#[derive(Debug, Default)]
pub struct ReadinessChecks {
    next_at: u64,
}

impl Caller for ReadinessChecks {
    fn wake(&mut self, now: u64, directory: &mut Directory, out: &mut Effects) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + CHECK_INTERVAL_MS;
        for (tag, gateway) in (0..).map(CallTag).zip(&directory.gateways) {
            let host = gateway.readiness.to_string();
            out.calls.push(Call {
                tag,
                address: gateway.readiness,
                bytes: http::request("GET", "/v1/readiness", &host, &[], &[]),
                timeout_ms: CHECK_TIMEOUT_MS,
                keep_alive: false,
                following: VecDeque::new(),
            });
        }
    }

    fn call_ended(
        &mut self,
        _now: u64,
        tag: CallTag,
        outcome: Outcome,
        directory: &mut Directory,
        _out: &mut Effects,
    ) {
        let is_ready = matches!(outcome, Outcome::Response(response) if response.status == 200);
        directory.record_readiness(tag.0 as usize, is_ready);
    }

    fn next_wake(&self) -> Option<u64> {
        Some(self.next_at)
    }
}
