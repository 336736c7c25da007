//! Usage reports to the platform. The contents of each report are decided once, before it is first sent.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use crate::change::Applied;

/// The number of windows whose counts are kept until their reports are decided. Older windows are never reported.
pub const MAX_UNDECIDED_WINDOWS: u64 = 120;

/// The maximum number of reports kept until the platform accepts them; beyond that the oldest are dropped. A platform
/// that never accepts reports must not fill the state, which every process holds in memory.
pub const MAX_UNACCEPTED_REPORTS: usize = 720;

/// The number of requests of each tenant that started within one window.
#[derive(Clone, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct UsageReport {
    /// Number of the window: it starts `window` times its length after 1970-01-01.
    pub window: u64,
    /// Number of requests by tenant.
    pub counts: BTreeMap<String, u64>,
}

/// The progress of the decisions, and the decided reports that the platform has not accepted yet.
#[derive(Clone, PartialEq, Default, Debug, Encode, Decode)]
pub struct UsageReports {
    /// The next window to decide; `None` before the first decision.
    next_window: Option<u64>,
    /// Decided reports that are not known to be accepted by the platform, by window.
    unaccepted: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageReports {
    /// Returns the next window to decide, or `None` before the first decision. Counts of earlier windows arrive too
    /// late.
    pub fn next_window(&self) -> Option<u64> {
        self.next_window
    }

    /// Returns the reports that must be sent, oldest first.
    pub fn unaccepted(&self) -> impl Iterator<Item = UsageReport> {
        self.unaccepted.iter().map(|(window, counts)| UsageReport { window: *window, counts: counts.clone() })
    }

    /// Returns the windows whose reports must be sent, oldest first.
    pub fn unaccepted_windows(&self) -> impl Iterator<Item = u64> {
        self.unaccepted.keys().copied()
    }

    /// Returns the counts of a report, or `None` unless the report must be sent.
    pub fn unaccepted_counts(&self, window: u64) -> Option<&BTreeMap<String, u64>> {
        self.unaccepted.get(&window)
    }

    /// Decides the report of a window, unless that window or a later one is already decided.
    pub(crate) fn decide(&mut self, report: &UsageReport) -> Applied {
        let is_decided = self.next_window.is_some_and(|next| report.window < next);
        // The highest number has no successor, so it is not used for a window.
        let Some(next_window) = report.window.checked_add(1).filter(|_| !is_decided) else {
            return Applied::Unchanged;
        };
        self.next_window = Some(next_window);
        self.unaccepted.insert(report.window, report.counts.clone());
        while self.unaccepted.len() > MAX_UNACCEPTED_REPORTS {
            self.unaccepted.pop_first();
        }
        Applied::Changed
    }

    /// Records that the platform has accepted the report of a window.
    pub(crate) fn accept(&mut self, window: u64) -> Applied {
        match self.unaccepted.remove(&window) {
            Some(_) => Applied::Changed,
            None => Applied::Unchanged,
        }
    }
}
