//! Counts of usage that gateways have told, until the reports of their windows are decided.
//!
//! Every control node keeps what the sessions of gateways have told it, also after a gateway has gone, and tells it to
//! the head. Counts are those since the start of a gateway and are merged by their maximum, so they may come in any
//! order, more than once and on several ways. A new head is told all of them again and thereby knows what the former
//! one knew.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_protocol::messages::{TenantRequests, WindowUsage};

/// Decided windows whose counts are still kept, to tell a count that is missing in the report from one that came again.
const KEPT_DECIDED_WINDOWS: u64 = 4;
/// The clock of a gateway may be ahead of this node's by so many windows; counts of later ones are ignored.
const MAX_WINDOWS_AHEAD: u64 = 2;

/// Counts of one gateway in one window, by tenant.
type TenantCounts = BTreeMap<String, u64>;

/// The counts by window and by the incarnation of the gateway that counted.
#[derive(Default, Debug)]
pub struct UsageCollection {
    windows: BTreeMap<u64, BTreeMap<u64, TenantCounts>>,
    /// Windows and incarnations whose counts the head may not know.
    untold: BTreeSet<(u64, u64)>,
    /// The reports of windows before this one are decided.
    next_window: u64,
    /// Newest decided window for which a count was missing.
    latest_missed: Option<u64>,
    /// Newest window whose counts were ignored since it hasn't begun.
    latest_ahead: Option<u64>,
}

impl UsageCollection {
    /// A gateway or another control node has told the counts of a gateway's incarnation; `current_window` is the
    /// window that is running.
    pub fn add(&mut self, incarnation: u64, windows: Vec<WindowUsage>, current_window: u64) {
        for WindowUsage { window, counts } in windows {
            if window > current_window + MAX_WINDOWS_AHEAD {
                self.log_ahead(window);
            } else if window + MAX_UNDECIDED_WINDOWS >= current_window {
                self.add_window(incarnation, window, counts);
            }
        }
        self.forget_outdated(current_window);
    }

    fn add_window(&mut self, incarnation: u64, window: u64, counts: Vec<TenantRequests>) {
        if window + KEPT_DECIDED_WINDOWS < self.next_window {
            return;
        }
        let known = self.windows.entry(window).or_default().entry(incarnation).or_default();
        let mut has_changed = false;
        for TenantRequests { tenant, requests } in counts {
            let before = known.entry(tenant).or_insert(0);
            has_changed |= *before < requests;
            *before = requests.max(*before);
        }
        if has_changed && window < self.next_window {
            self.log_missed(window);
        } else if has_changed {
            self.untold.insert((window, incarnation));
        }
    }

    fn log_missed(&mut self, window: u64) {
        if self.latest_missed.is_none_or(|latest| latest < window) {
            self.latest_missed = Some(window);
            log::warn!("usage: counts of window {window} came after its report was decided and aren't in it");
        }
    }

    fn log_ahead(&mut self, window: u64) {
        if self.latest_ahead.is_none_or(|latest| latest < window) {
            self.latest_ahead = Some(window);
            log::warn!("usage: counts of window {window}, which hasn't begun, are ignored: check the clocks");
        }
    }

    /// Windows that are too old to be ever decided are forgotten.
    fn forget_outdated(&mut self, current_window: u64) {
        let oldest = current_window.saturating_sub(MAX_UNDECIDED_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
        self.untold = self.untold.split_off(&(oldest, 0));
    }

    /// The reports of all windows before this one are decided.
    pub fn decided_before(&mut self, next_window: u64) {
        if next_window <= self.next_window {
            return;
        }
        self.next_window = next_window;
        self.windows = self.windows.split_off(&next_window.saturating_sub(KEPT_DECIDED_WINDOWS));
        self.untold = self.untold.split_off(&(next_window, 0));
    }

    /// The head knows nothing for certain any more: it is another one, or the link to it is new.
    pub fn tell_all_again(&mut self) {
        for (window, incarnations) in self.windows.range(self.next_window..) {
            self.untold.extend(incarnations.keys().map(|incarnation| (*window, *incarnation)));
        }
    }

    /// What the head may not know, by incarnation; it counts as told from now on.
    pub fn take_untold(&mut self) -> BTreeMap<u64, Vec<WindowUsage>> {
        let mut told: BTreeMap<u64, Vec<WindowUsage>> = BTreeMap::new();
        for (window, incarnation) in std::mem::take(&mut self.untold) {
            let counts = self.windows.get(&window).and_then(|incarnations| incarnations.get(&incarnation));
            let Some(counts) = counts else { continue };
            let tenants = counts
                .iter()
                .map(|(tenant, requests)| TenantRequests { tenant: tenant.clone(), requests: *requests });
            let usage = WindowUsage { window, counts: tenants.collect() };
            told.entry(incarnation).or_default().push(usage);
        }
        told
    }

    /// The oldest window with counts that isn't decided.
    pub fn earliest_window(&self) -> Option<u64> {
        self.windows.range(self.next_window..).next().map(|(window, _)| *window)
    }

    /// The requests of each tenant in a window, at all gateways together.
    pub fn total(&self, window: u64) -> BTreeMap<String, u64> {
        let mut total = BTreeMap::new();
        for counts in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (tenant, requests) in counts {
                *total.entry(tenant.clone()).or_insert(0) += requests;
            }
        }
        total
    }
}
