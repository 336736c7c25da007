//! Reports of usage to the platform: what each says is decided once, before it is sent for the first time.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use crate::change::Applied;

/// Windows whose counts are kept until their reports are decided. Older ones are never reported.
pub const MAX_UNDECIDED_WINDOWS: u64 = 120;

/// Reports that are kept until the platform accepts them; beyond that the oldest are dropped. A platform that refuses them
/// for ever must not fill the state, which every process holds.
pub const MAX_UNACCEPTED_REPORTS: usize = 720;

/// The requests of each tenant that began within one window.
#[derive(Clone, PartialEq, Eq, Default, Debug, Encode, Decode)]
pub struct UsageReport {
    /// Number of the window: it starts `window` times its length after the beginning of 1970.
    pub window: u64,
    /// Requests by tenant.
    pub counts: BTreeMap<String, u64>,
}

/// Which windows are decided, and the reports that the platform hasn't accepted yet.
#[derive(Clone, PartialEq, Default, Debug, Encode, Decode)]
pub struct UsageReports {
    /// The window that is decided next; None before the first decision.
    next_window: Option<u64>,
    /// Decided reports that the platform isn't known to have accepted, by window.
    unaccepted: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageReports {
    /// The window that is decided next; counts of earlier ones come too late. None before the first decision.
    pub fn next_window(&self) -> Option<u64> {
        self.next_window
    }

    /// Reports that have to be sent, oldest first.
    pub fn unaccepted(&self) -> impl Iterator<Item = UsageReport> {
        self.unaccepted.iter().map(|(window, counts)| UsageReport { window: *window, counts: counts.clone() })
    }

    /// Windows whose reports have to be sent, oldest first.
    pub fn unaccepted_windows(&self) -> impl Iterator<Item = u64> {
        self.unaccepted.keys().copied()
    }

    /// What the report of a window says; None unless it has to be sent.
    pub fn unaccepted_counts(&self, window: u64) -> Option<&BTreeMap<String, u64>> {
        self.unaccepted.get(&window)
    }

    /// Decides the report of a window, unless that window or a later one is decided.
    pub(crate) fn decide(&mut self, report: &UsageReport) -> Applied {
        let is_decided = self.next_window.is_some_and(|next| report.window < next);
        // The last number has no next one: no window has it.
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

    /// The platform has accepted the report of a window.
    pub(crate) fn accept(&mut self, window: u64) -> Applied {
        match self.unaccepted.remove(&window) {
            Some(_) => Applied::Changed,
            None => Applied::Unchanged,
        }
    }
}
