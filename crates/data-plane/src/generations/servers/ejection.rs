//! Ejection of model servers: failures and rejections of each server, and when it becomes available again.

use std::collections::BTreeSet;

use crate::backoff::Backoff;
use crate::generations::interface::ServerKey;

/// How long a server that rejected a request or failed is ejected: 50 ms at first, doubling up to 800 ms.
const EJECTION: Backoff = Backoff { first_ms: 50, max_ms: 800 };
/// The maximum `Retry-After` of a server that is respected, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

/// The failures and rejections of one server since its last success.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct FailureAccrual {
    rejections: u32,
    failures: u32,
    ejected_until: u64,
}

impl FailureAccrual {
    pub fn is_ejected(&self, now: u64) -> bool {
        self.ejected_until > now
    }

    /// Records that the server accepted a request.
    pub fn accepted(&mut self) {
        self.rejections = 0;
    }

    /// Records that the server completed a request successfully.
    pub fn succeeded(&mut self) {
        (self.rejections, self.failures) = (0, 0);
    }

    /// Records that the server rejected a request. Returns the duration of the ejection in milliseconds.
    fn rejected(&mut self, retry_after_ms: Option<u64>) -> u64 {
        let backoff_ms = EJECTION.after_ms(self.rejections);
        self.rejections = self.rejections.saturating_add(1);
        backoff_ms.max(retry_after_ms.unwrap_or(0).min(MAX_RETRY_AFTER_MS))
    }

    /// Records that an attempt at the server failed. Returns the duration of the ejection in milliseconds.
    fn failed(&mut self) -> u64 {
        let backoff_ms = EJECTION.after_ms(self.failures);
        self.failures = self.failures.saturating_add(1);
        backoff_ms
    }
}

/// The end of a server's ejection, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct EjectionEnd {
    at: u64,
    server: ServerKey,
}

/// All ejected servers, ordered by the end of their ejections.
#[derive(Default, Debug)]
pub(super) struct Ejections {
    ends: BTreeSet<EjectionEnd>,
}

impl Ejections {
    /// Ejects a server that rejected a request. Further rejections during the ejection are attributed to the same
    /// cause.
    pub fn rejected(
        &mut self,
        server: ServerKey,
        accrual: &mut FailureAccrual,
        now: u64,
        retry_after_ms: Option<u64>,
    ) {
        if !accrual.is_ejected(now) {
            let until = now + accrual.rejected(retry_after_ms);
            self.eject(server, accrual, until);
        }
    }

    /// Ejects a server at which an attempt failed. Further failures during the ejection are attributed to the same
    /// cause, such as a reset of all streams of the server.
    pub fn failed(&mut self, server: ServerKey, accrual: &mut FailureAccrual, now: u64) {
        if !accrual.is_ejected(now) {
            let until = now + accrual.failed();
            self.eject(server, accrual, until);
        }
    }

    /// Removes a server that is no longer listed.
    pub fn remove(&mut self, server: ServerKey, accrual: &FailureAccrual) {
        self.ends.remove(&EjectionEnd { at: accrual.ejected_until, server });
    }

    /// Removes the ejections that are over. Returns whether there were any.
    pub fn end_due(&mut self, now: u64) -> bool {
        let before = self.ends.len();
        while self.ends.first().is_some_and(|end| end.at <= now) {
            self.ends.pop_first();
        }
        self.ends.len() < before
    }

    /// Returns when the next ejection ends.
    pub fn next_end(&self) -> Option<u64> {
        self.ends.first().map(|end| end.at)
    }

    fn eject(&mut self, server: ServerKey, accrual: &mut FailureAccrual, until: u64) {
        self.remove(server, accrual);
        accrual.ejected_until = until;
        self.ends.insert(EjectionEnd { at: until, server });
    }
}
