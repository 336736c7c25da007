//! Counts of the requests that started at servers, by usage window and tenant, for the reports to the control node.
//!
//! Counts are totals since the start of the process, so a lost or duplicated message does no harm: every new session
//! reports all windows that the control nodes may not know. A window is dropped once the replicated state shows that
//! its usage report is decided.

use std::collections::BTreeMap;

use compact_str::CompactString;
use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_protocol::messages::{TenantRequests, WindowUsage};

/// The minimum interval between two messages with counts, in milliseconds; equal to the heartbeat interval.
pub const REPORT_INTERVAL_MS: u64 = 250;

/// The requests of one tenant in one window.
#[derive(Clone, Copy, Default, Debug)]
struct TenantCount {
    requests: u64,
    /// The number of requests already reported in the current session.
    reported: u64,
}

/// The usage counts of this process. Wall-clock times are in milliseconds since 1970.
#[derive(Debug)]
pub struct UsageCounts {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<CompactString, TenantCount>>,
    /// The first window whose report isn't decided yet.
    next_window: u64,
    /// The latest window for which a request started after its report was decided.
    latest_uncounted: Option<u64>,
    /// Number of the session in which counts were last reported.
    session: u64,
    next_report_at: u64,
}

impl UsageCounts {
    /// Creates empty counts for windows of this length, in milliseconds.
    pub fn new(window_ms: u64) -> UsageCounts {
        UsageCounts {
            window_ms: window_ms.max(1),
            windows: BTreeMap::new(),
            next_window: 0,
            latest_uncounted: None,
            session: 0,
            next_report_at: 0,
        }
    }

    /// Counts a request of `tenant` that started at this wall-clock time.
    pub fn record(&mut self, tenant: &CompactString, wall_ms: u64) {
        let window = wall_ms / self.window_ms;
        if window < self.next_window {
            if self.latest_uncounted.is_none_or(|latest| latest < window) {
                self.latest_uncounted = Some(window);
                log::warn!("usage: request not counted: the report of window {window} is already decided");
            }
            return;
        }
        let counts = self.windows.entry(window).or_default();
        counts.entry(tenant.clone()).or_default().requests += 1;
        while self.windows.len() as u64 > MAX_UNDECIDED_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Drops all windows before this one, as their reports are decided.
    pub fn forget_before(&mut self, next_window: u64) {
        if next_window > self.next_window {
            self.next_window = next_window;
            self.windows = self.windows.split_off(&next_window);
        }
    }

    /// Returns the counts to report now, or `None` if nothing is due. They are marked as reported in this session.
    pub fn take_due(&mut self, now: u64, session: u64) -> Option<Vec<WindowUsage>> {
        if session == self.session && now < self.next_report_at {
            return None;
        }
        let windows = self.take_unreported(session)?;
        self.next_report_at = now + REPORT_INTERVAL_MS;
        Some(windows)
    }

    /// Returns all counts not yet reported in this session, and marks them as reported.
    pub fn take_unreported(&mut self, session: u64) -> Option<Vec<WindowUsage>> {
        if session != self.session {
            self.session = session;
            self.windows.values_mut().flat_map(BTreeMap::values_mut).for_each(|count| count.reported = 0);
        }
        let mut unreported = Vec::new();
        for (window, tenants) in &mut self.windows {
            let changed = tenants.iter_mut().filter(|(_, count)| count.reported < count.requests);
            let counts: Vec<TenantRequests> = changed
                .map(|(tenant, count)| {
                    count.reported = count.requests;
                    TenantRequests { tenant: tenant.to_string(), requests: count.requests }
                })
                .collect();
            if !counts.is_empty() {
                unreported.push(WindowUsage { window: *window, counts });
            }
        }
        (!unreported.is_empty()).then_some(unreported)
    }

    /// Whether everything was reported in this session; without a session, whether there is nothing to report.
    pub fn is_all_reported(&self, session: Option<u64>) -> bool {
        match session {
            Some(session) if session == self.session => {
                let mut counts = self.windows.values().flat_map(BTreeMap::values);
                counts.all(|count| count.reported == count.requests)
            }
            _ => self.windows.is_empty(),
        }
    }

    /// Returns when the next report to this session is due.
    pub fn next_wakeup(&self, session: Option<u64>) -> u64 {
        if session.is_none() || self.is_all_reported(session) { u64::MAX } else { self.next_report_at }
    }
}
