//! Failure accrual: which failures eject a server, and for how long (outlier detection as in Envoy).

use crate::backoff::Backoff;

/// How long a server that failed is ejected: 60 ms at first, doubling up to one second.
const EJECTION: Backoff = Backoff { first_ms: 60, max_ms: 1_000 };
/// A server is ejected after this many consecutive error responses of its own.
const CONSECUTIVE_ERRORS: u32 = 3;

/// The failures of one server since its last success.
#[derive(Clone, Default, Debug)]
pub(super) struct FailureAccrual {
    failures: u32,
    consecutive_errors: u32,
    ejected_until: u64,
}

impl FailureAccrual {
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    pub fn succeeded(&mut self) {
        *self = FailureAccrual::default();
    }

    /// Counts an error response of the server. Returns whether the server has to be ejected.
    pub fn returned_error(&mut self) -> bool {
        self.consecutive_errors += 1;
        self.consecutive_errors >= CONSECUTIVE_ERRORS
    }

    /// Ejects the server unless it is already ejected. Returns whether it was ejected now.
    pub fn eject(&mut self, now: u64) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.ejected_until = now + EJECTION.after_ms(self.failures);
        self.failures += 1;
        true
    }
}
