//! Counts of the requests that began at servers, by window of usage and tenant, as this process tells them to its
//! control node.
//!
//! Counts are those since the start of the process, so a message that is lost or comes twice does no harm: with each
//! new session all windows that the control nodes may not know are told again. A window is forgotten once the
//! replicated state says that its report is decided.

use std::collections::BTreeMap;

use compact_str::CompactString;
use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_protocol::messages::{TenantRequests, WindowUsage};

/// Least time between two messages with counts, in milliseconds: that between two heartbeats.
pub const REPORT_INTERVAL_MS: u64 = 250;

/// Requests of one tenant in one window.
#[derive(Clone, Copy, Default, Debug)]
struct TenantCount {
    requests: u64,
    /// How many of them the session that is open was told.
    told: u64,
}

/// The counts of this process. Times of day are in milliseconds since 1970.
#[derive(Debug)]
pub struct UsageCounts {
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<CompactString, TenantCount>>,
    /// Windows before this one are decided.
    next_window: u64,
    /// Newest window that a request was counted in too late.
    latest_missed: Option<u64>,
    /// Number of the session to which `told` refers.
    session: u64,
    next_report_at: u64,
}

impl UsageCounts {
    /// No requests yet; windows have this length, in milliseconds.
    pub fn new(window_ms: u64) -> UsageCounts {
        UsageCounts {
            window_ms: window_ms.max(1),
            windows: BTreeMap::new(),
            next_window: 0,
            latest_missed: None,
            session: 0,
            next_report_at: 0,
        }
    }

    /// A request of `tenant` began at this time of day.
    pub fn record(&mut self, tenant: &CompactString, wall_ms: u64) {
        let window = wall_ms / self.window_ms;
        if window < self.next_window {
            if self.latest_missed.is_none_or(|latest| latest < window) {
                self.latest_missed = Some(window);
                log::warn!(
                    "usage: a request of window {window} is missing in its report, which was decided before"
                );
            }
            return;
        }
        let counts = self.windows.entry(window).or_default();
        counts.entry(tenant.clone()).or_default().requests += 1;
        while self.windows.len() as u64 > MAX_UNDECIDED_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// The reports of all windows before this one are decided.
    pub fn forget_before(&mut self, next_window: u64) {
        if next_window > self.next_window {
            self.next_window = next_window;
            self.windows = self.windows.split_off(&next_window);
        }
    }

    /// What is to be told now, if that is due; it counts as told to the session with this number.
    pub fn take_due(&mut self, now: u64, session: u64) -> Option<Vec<WindowUsage>> {
        if session == self.session && now < self.next_report_at {
            return None;
        }
        let windows = self.take_untold(session)?;
        self.next_report_at = now + REPORT_INTERVAL_MS;
        Some(windows)
    }

    /// All that the session with this number hasn't been told; it counts as told from now on.
    pub fn take_untold(&mut self, session: u64) -> Option<Vec<WindowUsage>> {
        if session != self.session {
            self.session = session;
            self.windows.values_mut().flat_map(BTreeMap::values_mut).for_each(|count| count.told = 0);
        }
        let mut untold = Vec::new();
        for (window, tenants) in &mut self.windows {
            let changed = tenants.iter_mut().filter(|(_, count)| count.told < count.requests);
            let counts: Vec<TenantRequests> = changed
                .map(|(tenant, count)| {
                    count.told = count.requests;
                    TenantRequests { tenant: tenant.to_string(), requests: count.requests }
                })
                .collect();
            if !counts.is_empty() {
                untold.push(WindowUsage { window: *window, counts });
            }
        }
        (!untold.is_empty()).then_some(untold)
    }

    /// Whether the session with this number was told everything; without a session, whether there is nothing to tell.
    pub fn is_told(&self, session: Option<u64>) -> bool {
        match session {
            Some(session) if session == self.session => {
                let mut counts = self.windows.values().flat_map(BTreeMap::values);
                counts.all(|count| count.told == count.requests)
            }
            _ => self.windows.is_empty(),
        }
    }

    /// When something has to be told next, at the latest by the session with this number.
    pub fn next_wakeup(&self, session: Option<u64>) -> u64 {
        if session.is_none() || self.is_told(session) { u64::MAX } else { self.next_report_at }
    }
}
