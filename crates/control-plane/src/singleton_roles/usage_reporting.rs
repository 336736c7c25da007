//! The leader of usage reporting: decides the report of each usage window once, as a change of the control state, and
//! sends it to the platform until the platform has accepted it.
//!
//! A head sends only what the committed state contains, so all reports of one window are equal, no matter which head
//! sends them and how often. A head decides no report until all processes have had time to open their sessions, since
//! counts are received through them, and it sends no report without its lease.

use std::collections::BTreeSet;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::{Change, ControlState, MAX_UNDECIDED_WINDOWS, UsageReport, UsageReports};
use orchidvalve_net::Network;
use serde_json::{Value, json};

use super::platform_calls::{Caller, call_bytes, call_target};
use super::{ExchangePurpose, SingletonRoles};
use crate::usage_collection::UsageCollection;

/// Name of this role in the settings.
pub const USAGE_REPORTING_ROLE: &str = "usage_reporting";
/// Time from the end of a window until its report is decided, in milliseconds. Requests are counted when their responses
/// arrive, gateways report their counts at intervals, and a gateway whose control node fails needs time to open another
/// session.
pub const DECISION_DELAY_MS: Milliseconds = 2_500;
/// Maximum number of windows that are decided in one turn, so that the log is not flooded after a time without a head.
const MAX_DECISIONS_A_TURN: usize = 8;
const REPORT_PATH: &str = "/usage-reports";

/// State of usage reporting while this node leads it.
#[derive(Default, Debug)]
pub(super) struct UsageReporting {
    /// The window in progress when this node first was the head under a configuration with tenants.
    first_window: Option<u64>,
    /// Windows whose reports are in flight. At most one of them was sent in this tenure.
    in_flight: BTreeSet<u64>,
    /// Windows whose reports the platform has accepted, until that is committed to the control state.
    accepted: BTreeSet<u64>,
    /// Windows whose reports the platform has rejected. Each rejection is logged once.
    refused: BTreeSet<u64>,
    /// When the next window is decided, if only time has to pass until then.
    next_decision_at: Option<Milliseconds>,
    /// Whether a report is waiting for the pacing to allow another call.
    is_waiting_to_send: bool,
}

impl UsageReporting {
    /// Clears the state: another node is the head. Calls in flight are kept until they end.
    pub(super) fn stop(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        *self = UsageReporting { in_flight, ..UsageReporting::default() };
    }

    /// Returns when the next window is decided or a report may be sent. `next_call_at` is when the pacing allows a call.
    pub(super) fn next_wakeup(&self, next_call_at: Milliseconds) -> Milliseconds {
        let next_send_at = if self.is_waiting_to_send { next_call_at } else { u64::MAX };
        next_send_at.min(self.next_decision_at.unwrap_or(u64::MAX))
    }

    /// Returns the next window to decide; `None` as long as no configuration has had tenants.
    fn next_window(
        &mut self,
        state: &ControlState,
        collection: &UsageCollection,
        current_window: u64,
    ) -> Option<u64> {
        if let Some(next) = state.usage_reports().next_window() {
            return Some(next);
        }
        let has_tenants =
            state.configuration().is_some_and(|configuration| configuration.routes().tenants().is_some());
        if has_tenants {
            self.first_window.get_or_insert(current_window);
        }
        let first = self.first_window?;
        Some(collection.earliest_window().map_or(first, |earliest| earliest.min(first)))
    }

    /// Returns whether the report of a window has to be sent and is not in flight.
    fn is_sendable(&self, window: u64) -> bool {
        !self.in_flight.contains(&window) && !self.accepted.contains(&window)
    }
}

impl SingletonRoles {
    /// Returns whether this deployment reports usage to its platform.
    fn reports_usage(&self) -> bool {
        let is_enabled = self.options.enabled_platform_roles.iter().any(|role| role == USAGE_REPORTING_ROLE);
        is_enabled && self.options.platform.is_some() && self.options.usage_window_ms > 0
    }

    /// Returns the changes that decide the reports that are due, and those that record which reports the platform has
    /// accepted. `state` is the tentative state, `wall_ms` the time of day in milliseconds since 1970.
    pub fn decide_usage(
        &mut self,
        now: Milliseconds,
        wall_ms: Milliseconds,
        state: &ControlState,
        collection: &UsageCollection,
    ) -> Vec<Change> {
        if !self.reports_usage() {
            return Vec::new();
        }
        let is_unaccepted = |window: &u64| state.usage_reports().unaccepted_counts(*window).is_some();
        let accepted = self.usage.accepted.iter().copied().filter(is_unaccepted);
        let mut changes: Vec<Change> = accepted.map(|window| Change::AcceptUsageReport { window }).collect();
        changes.extend(self.due_decisions(now, wall_ms, state, collection));
        changes
    }

    fn due_decisions(
        &mut self,
        now: Milliseconds,
        wall_ms: Milliseconds,
        state: &ControlState,
        collection: &UsageCollection,
    ) -> Vec<Change> {
        self.usage.next_decision_at = None;
        let window_ms = self.options.usage_window_ms;
        let current_window = wall_ms / window_ms;
        let Some(next) = self.usage.next_window(state, collection, current_window) else {
            return Vec::new();
        };
        if !self.is_session_grace_over(now) {
            return Vec::new();
        }
        let mut window = oldest_reported(next, current_window);
        let mut decisions = Vec::new();
        while decisions.len() < MAX_DECISIONS_A_TURN && wall_ms >= decided_at(window, window_ms) {
            let report = UsageReport { window, counts: collection.total(window) };
            decisions.push(Change::DecideUsageReport(report));
            window += 1;
        }
        self.usage.next_decision_at = Some(now + decided_at(window, window_ms).saturating_sub(wall_ms));
        decisions
    }

    /// Sends a report of the committed `state` if one may be sent now.
    pub fn report_usage(
        &mut self,
        network: &mut Network,
        state: &ControlState,
        confirmed_at: Option<Milliseconds>,
        now: Milliseconds,
        wall_ms: Milliseconds,
    ) {
        self.usage.is_waiting_to_send = false;
        if !self.reports_usage() {
            return;
        }
        let reports = state.usage_reports();
        let is_unaccepted = |window: &u64| reports.unaccepted_counts(*window).is_some();
        self.usage.accepted.retain(is_unaccepted);
        self.usage.refused.retain(is_unaccepted);
        let Some(fencing_token) = self.fencing_token(now, confirmed_at) else { return };
        // The reports of all windows form one series: a call still in flight from a former term could arrive after a
        // call of this term.
        if !self.usage.in_flight.is_empty() {
            return;
        }
        if now < self.platform_call_pacing.next_at() {
            self.usage.is_waiting_to_send =
                reports.unaccepted_windows().any(|window| self.usage.is_sendable(window));
            return;
        }
        let sendable = reports.unaccepted_windows().filter(|window| self.usage.is_sendable(*window));
        let sendable: Vec<u64> = sendable.collect();
        let Some(window) = self.in_order_of_urgency(sendable, wall_ms).into_iter().next() else { return };
        if !self.platform_call_pacing.try_take(now) {
            self.usage.is_waiting_to_send = true;
            return;
        }
        self.send_report(network, reports, window, fencing_token, now);
    }

    /// Orders windows by urgency: first the reports that can still arrive in time, then the overdue ones, each oldest
    /// first.
    fn in_order_of_urgency(&self, windows: Vec<u64>, wall_ms: Milliseconds) -> Vec<u64> {
        let (window_ms, deadline_ms) = (self.options.usage_window_ms, self.options.usage_report_deadline_ms);
        let is_overdue = |window: &u64| ends_at(*window, window_ms).saturating_add(deadline_ms) < wall_ms;
        let (overdue, mut ordered): (Vec<u64>, Vec<u64>) = windows.into_iter().partition(is_overdue);
        ordered.extend(overdue);
        ordered
    }

    fn send_report(
        &mut self,
        network: &mut Network,
        reports: &UsageReports,
        window: u64,
        fencing_token: u64,
        now: Milliseconds,
    ) {
        let (Some(platform), Some(counts)) = (self.options.platform, reports.unaccepted_counts(window))
        else {
            return;
        };
        let caller = Caller { name: &self.options.name, fencing_token };
        let body = json!({ "window": window, "counts": counts });
        let request = call_bytes(caller, platform, REPORT_PATH, &body);
        let purpose = ExchangePurpose::UsageReport { window };
        match self.client.start(network, call_target(platform, now), "POST", &request, purpose) {
            Ok(()) => {
                self.usage.in_flight.insert(window);
            }
            Err(_) => self.platform_call_pacing.failed(now),
        }
    }

    /// Processes the end of the call with the report of `window`; without a status its outcome is unknown.
    pub(super) fn usage_report_completed(&mut self, window: u64, status: Option<u16>, now: Milliseconds) {
        self.usage.in_flight.remove(&window);
        if status == Some(200) {
            self.platform_call_pacing.succeeded();
            self.usage.accepted.insert(window);
            return;
        }
        let refusal = status.filter(|status| *status != 429 && *status < 500);
        if let Some(status) = refusal.filter(|_| self.usage.refused.insert(window)) {
            log::error!("usage: the platform rejects the report of window {window} with status {status}");
        }
        self.platform_call_pacing.failed(now);
    }
}

/// Returns the time of day at which a window ends, in milliseconds since 1970.
fn ends_at(window: u64, window_ms: Milliseconds) -> Milliseconds {
    window.saturating_add(1).saturating_mul(window_ms)
}

/// Returns the time of day at which the report of a window is decided, in milliseconds since 1970.
fn decided_at(window: u64, window_ms: Milliseconds) -> Milliseconds {
    ends_at(window, window_ms).saturating_add(DECISION_DELAY_MS)
}

/// Returns `next`, or a later window if `next` is so old that its counts are no longer kept.
fn oldest_reported(next: u64, current_window: u64) -> u64 {
    let oldest = current_window.saturating_sub(MAX_UNDECIDED_WINDOWS);
    if next < oldest {
        log::error!("usage: windows {next} to {} are too old and will never be reported", oldest - 1);
    }
    next.max(oldest)
}

/// Logs a change that decides the report of a window; other changes are ignored.
pub fn log_usage_decision(change: &Change) {
    if let Change::DecideUsageReport(UsageReport { window, counts }) = change {
        let requests: u64 = counts.values().sum();
        log::info!("usage: window {window} is decided: {requests} requests of {} tenants", counts.len());
    }
}

/// Returns the last decided window and the unaccepted reports, for operators.
pub fn usage_status(reports: &UsageReports) -> Value {
    let unaccepted: Vec<u64> = reports.unaccepted_windows().collect();
    let mut status = json!({ "unaccepted": unaccepted });
    if let Some(next) = reports.next_window() {
        status["last-decided"] = json!(next.saturating_sub(1));
    }
    status
}
