//! Counts of the error responses that a gateway produced itself, by status, for a periodic log line.

use std::collections::BTreeMap;

/// The interval between two log lines, in milliseconds.
pub const LINE_INTERVAL_MS: u64 = 10_000;
/// The lowest status that is counted.
const FIRST_FAILURE: u16 = 400;

/// The error responses since the last log line.
#[derive(Debug, Default)]
pub struct LocalResponses {
    counts: BTreeMap<u16, u64>,
    /// When the first of them was sent, in milliseconds of the steady clock.
    since: u64,
}

impl LocalResponses {
    /// Counts a local response with this status.
    pub fn record(&mut self, now: u64, status: u16) {
        if status < FIRST_FAILURE {
            return;
        }
        if self.counts.is_empty() {
            self.since = now;
        }
        *self.counts.entry(status).or_default() += 1;
    }

    /// Returns the counts by status, such as `401: 12, 404: 1`, and resets them, if a log line is due. No line is due
    /// without error responses.
    pub fn take_due(&mut self, now: u64) -> Option<String> {
        let is_due = !self.counts.is_empty() && now >= self.since + LINE_INTERVAL_MS;
        is_due.then(|| {
            let counts = std::mem::take(&mut self.counts);
            let counts: Vec<String> =
                counts.into_iter().map(|(status, count)| format!("{status}: {count}")).collect();
            counts.join(", ")
        })
    }
}
