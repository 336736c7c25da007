//! Limits the rate of compaction with a token bucket. Performs no I/O and reads no clock.

#[cfg(test)]
mod tests;

use crate::compaction_policy::CompactionOptions;

const NANOSECONDS_PER_SECOND: u128 = 1_000_000_000;

/// Bytes that compaction may read and write, refilled over time in integer arithmetic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IoBudget {
    bytes_per_second: u64,
    max_bytes: u64,
    available_bytes: u64,
    as_of_ns: i64,
    /// The part of the refill that does not make up a byte yet, in nanoseconds times bytes per second.
    remainder: u64,
}

impl IoBudget {
    /// Creates a full budget.
    pub fn new(options: &CompactionOptions, now_ns: i64) -> IoBudget {
        IoBudget {
            bytes_per_second: options.bytes_per_second,
            max_bytes: options.burst_bytes,
            available_bytes: options.burst_bytes,
            as_of_ns: now_ns,
            remainder: 0,
        }
    }

    /// Returns the number of bytes that may be spent now. A clock that steps back neither adds nor removes any.
    pub fn available(&mut self, now_ns: i64) -> u64 {
        let passed = now_ns.saturating_sub(self.as_of_ns).max(0) as u128;
        self.as_of_ns = now_ns;
        let earned = passed * u128::from(self.bytes_per_second) + u128::from(self.remainder);
        self.remainder = (earned % NANOSECONDS_PER_SECOND) as u64;
        let whole_bytes = u64::try_from(earned / NANOSECONDS_PER_SECOND).unwrap_or(u64::MAX);
        self.available_bytes = self.available_bytes.saturating_add(whole_bytes).min(self.max_bytes);
        self.available_bytes
    }

    /// Spends bytes. Spending more than is available empties the budget.
    pub fn spend(&mut self, bytes: u64) {
        self.available_bytes = self.available_bytes.saturating_sub(bytes);
    }
}
