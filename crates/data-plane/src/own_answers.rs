//! Counts of the failures that a gateway itself answered clients with, by status, for a log line now and then.

use std::collections::BTreeMap;

/// Time from one line to the next, in milliseconds.
pub const LINE_INTERVAL_MS: u64 = 10_000;
/// Least status that counts.
const FIRST_FAILURE: u16 = 400;

/// Failures since the last line.
#[derive(Debug, Default)]
pub struct OwnAnswers {
    counts: BTreeMap<u16, u64>,
    /// When the first of them was answered.
    since: u64,
}

impl OwnAnswers {
    /// A client was answered with a status.
    pub fn record(&mut self, now: u64, status: u16) {
        if status < FIRST_FAILURE {
            return;
        }
        if self.counts.is_empty() {
            self.since = now;
        }
        *self.counts.entry(status).or_default() += 1;
    }

    /// The counts by status once a line is due, such as `401: 12, 404: 1`; they begin anew. Without failures none is.
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
