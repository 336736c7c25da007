//! Collects the usage counts that gateways report, until the usage reports of their windows are decided.
//!
//! Every control node keeps the counts that it received on the sessions of gateways, even after a gateway has exited, and
//! forwards them to the head. Counts are totals since the start of a gateway and are merged by their maximum, so they may
//! arrive in any order, more than once and by several routes. All counts are sent again to a new head, which thereby
//! receives everything that the former head knew.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_protocol::messages::{TenantRequests, WindowUsage};

/// Number of decided windows whose counts are kept, to tell a count that the report lacks from one that was received again.
const KEPT_DECIDED_WINDOWS: u64 = 4;
/// The clock of a gateway may be ahead of this node's clock by this many windows; counts of later windows are ignored.
const MAX_WINDOWS_AHEAD: u64 = 2;

/// Requests of each tenant that one gateway counted in one window.
type TenantCounts = BTreeMap<String, u64>;

/// Usage counts by window and by the incarnation of the gateway that counted.
#[derive(Default, Debug)]
pub struct UsageCollection {
    windows: BTreeMap<u64, BTreeMap<u64, TenantCounts>>,
    /// Windows and incarnations whose counts may not have been sent to the head.
    unsent: BTreeSet<(u64, u64)>,
    /// The reports of all windows before this one are decided.
    next_window: u64,
    /// Latest decided window whose report lacks a count.
    latest_missed: Option<u64>,
    /// Latest window whose counts were ignored because it has not begun.
    latest_ahead: Option<u64>,
}

impl UsageCollection {
    /// Adds the counts of a gateway's incarnation, received from the gateway or from another control node.
    /// `current_window` is the window in progress.
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
            self.unsent.insert((window, incarnation));
        }
    }

    fn log_missed(&mut self, window: u64) {
        if self.latest_missed.is_none_or(|latest| latest < window) {
            self.latest_missed = Some(window);
            log::warn!(
                "usage: counts of window {window} arrived after its report was decided and are missing from it"
            );
        }
    }

    fn log_ahead(&mut self, window: u64) {
        if self.latest_ahead.is_none_or(|latest| latest < window) {
            self.latest_ahead = Some(window);
            log::warn!("usage: ignored counts of window {window}, which has not begun: check the clocks");
        }
    }

    /// Drops windows that are too old to be decided.
    fn forget_outdated(&mut self, current_window: u64) {
        let oldest = current_window.saturating_sub(MAX_UNDECIDED_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
        self.unsent = self.unsent.split_off(&(oldest, 0));
    }

    /// Records that the reports of all windows before `next_window` are decided.
    pub fn set_decided_before(&mut self, next_window: u64) {
        if next_window <= self.next_window {
            return;
        }
        self.next_window = next_window;
        self.windows = self.windows.split_off(&next_window.saturating_sub(KEPT_DECIDED_WINDOWS));
        self.unsent = self.unsent.split_off(&(next_window, 0));
    }

    /// Marks the counts of all undecided windows as unsent: another node is the head, or the link to it is new.
    pub fn mark_all_unsent(&mut self) {
        for (window, incarnations) in self.windows.range(self.next_window..) {
            self.unsent.extend(incarnations.keys().map(|incarnation| (*window, *incarnation)));
        }
    }

    /// Takes the counts that may not have been sent to the head, by incarnation. They count as sent from now on.
    pub fn take_unsent(&mut self) -> BTreeMap<u64, Vec<WindowUsage>> {
        let mut unsent_usage: BTreeMap<u64, Vec<WindowUsage>> = BTreeMap::new();
        for (window, incarnation) in std::mem::take(&mut self.unsent) {
            let counts = self.windows.get(&window).and_then(|incarnations| incarnations.get(&incarnation));
            let Some(counts) = counts else { continue };
            let tenants = counts
                .iter()
                .map(|(tenant, requests)| TenantRequests { tenant: tenant.clone(), requests: *requests });
            let usage = WindowUsage { window, counts: tenants.collect() };
            unsent_usage.entry(incarnation).or_default().push(usage);
        }
        unsent_usage
    }

    /// Returns the oldest undecided window with counts.
    pub fn earliest_window(&self) -> Option<u64> {
        self.windows.range(self.next_window..).next().map(|(window, _)| *window)
    }

    /// Returns the requests of each tenant in a window, summed over all gateways.
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
