//! The leader of usage reporting: the report of each window is decided once, as a change of the control state, and then
//! sent to the platform until it is known to be accepted.
//!
//! Whoever is the head sends what the committed state says, so no two reports of one window differ, whichever head
//! sends them and however often. A head decides nothing until all processes had time to open their sessions, since
//! counts come from there; it sends nothing without its lease.

use std::collections::BTreeSet;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::{Change, ControlState, MAX_UNDECIDED_WINDOWS, UsageReport, UsageReports};
use orchidvalve_net::Network;
use serde_json::{Value, json};

use super::duty_calls::{Caller, call_bytes, call_target};
use super::{ExchangePurpose, SingletonRoles};
use crate::usage_collection::UsageCollection;

/// Name of this role among the duties that the settings list.
pub const USAGE_REPORTING_DUTY: &str = "usage_reporting";
/// A window is decided so long after its end, in milliseconds: requests count once their responses come, gateways tell
/// their counts at intervals, and one whose control node is lost needs time to open another session.
pub const DECISION_DELAY_MS: Milliseconds = 2_500;
/// Most windows that are decided in one turn: the log isn't to be flooded after a time without a head.
const MAX_DECISIONS_A_TURN: usize = 8;
const REPORT_PATH: &str = "/usage-reports";

/// State of usage reporting, as far as this node leads it.
#[derive(Default, Debug)]
pub(super) struct UsageReporting {
    /// The window that was running when this node first was the head under a configuration with tenants.
    first_window: Option<u64>,
    /// Windows whose reports are on their way; at most one of this tenure.
    in_flight: BTreeSet<u64>,
    /// Windows whose reports the platform has accepted, until the committed state says so.
    accepted: BTreeSet<u64>,
    /// Windows whose reports the platform has refused, which is logged once.
    refused: BTreeSet<u64>,
    /// When the next window is decided, if that depends on the time alone.
    next_decision_at: Option<Milliseconds>,
    /// Reports could be sent as soon as another call is allowed.
    is_waiting_to_send: bool,
}

impl UsageReporting {
    /// Another node is the head. Calls that are in flight still end here.
    pub(super) fn stop(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        *self = UsageReporting { in_flight, ..UsageReporting::default() };
    }

    /// When the next window is decided, or a report may be sent; `next_call_at` is when a call is allowed.
    pub(super) fn next_wakeup(&self, next_call_at: Milliseconds) -> Milliseconds {
        let next_send_at = if self.is_waiting_to_send { next_call_at } else { u64::MAX };
        next_send_at.min(self.next_decision_at.unwrap_or(u64::MAX))
    }

    /// The window to decide next; None as long as no configuration has had tenants.
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

    /// Whether the report of a window has to be sent and isn't on its way.
    fn is_sendable(&self, window: u64) -> bool {
        !self.in_flight.contains(&window) && !self.accepted.contains(&window)
    }
}

impl SingletonRoles {
    /// Whether this deployment reports usage to its platform.
    fn reports_usage(&self) -> bool {
        let has_duty = self.options.duties.iter().any(|duty| duty == USAGE_REPORTING_DUTY);
        has_duty && self.options.platform.is_some() && self.options.usage_window_ms > 0
    }

    /// Changes that decide the reports which are due, and those that note which ones the platform has accepted.
    /// `state` is the tentative state, `wall_ms` the time of day in milliseconds since 1970.
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
        if !self.knows_sessions(now) {
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

    /// Sends the reports that the committed `state` has and that may be sent now.
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
        // All windows are one subject: a call still on its way under a former term could arrive after one of this term.
        if !self.usage.in_flight.is_empty() {
            return;
        }
        if now < self.duty_pacing.next_at() {
            self.usage.is_waiting_to_send =
                reports.unaccepted_windows().any(|window| self.usage.is_sendable(window));
            return;
        }
        let sendable = reports.unaccepted_windows().filter(|window| self.usage.is_sendable(*window));
        let sendable: Vec<u64> = sendable.collect();
        let Some(window) = self.in_order_of_urgency(sendable, wall_ms).into_iter().next() else { return };
        if !self.duty_pacing.take(now) {
            self.usage.is_waiting_to_send = true;
            return;
        }
        self.send_report(network, reports, window, fencing_token, now);
    }

    /// First the reports that can still come in time, then those that are late, each of them oldest first.
    fn in_order_of_urgency(&self, windows: Vec<u64>, wall_ms: Milliseconds) -> Vec<u64> {
        let (window_ms, late_ms) = (self.options.usage_window_ms, self.options.usage_late_ms);
        let is_late = |window: &u64| ends_at(*window, window_ms).saturating_add(late_ms) < wall_ms;
        let (late, mut ordered): (Vec<u64>, Vec<u64>) = windows.into_iter().partition(is_late);
        ordered.extend(late);
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
            Err(_) => self.duty_pacing.failed(now),
        }
    }

    /// The call with the report of a window is over; without a status its outcome is unknown.
    pub(super) fn usage_report_answered(&mut self, window: u64, status: Option<u16>, now: Milliseconds) {
        self.usage.in_flight.remove(&window);
        if status == Some(200) {
            self.duty_pacing.succeeded();
            self.usage.accepted.insert(window);
            return;
        }
        let refusal = status.filter(|status| *status != 429 && *status < 500);
        if let Some(status) = refusal.filter(|_| self.usage.refused.insert(window)) {
            log::error!("usage: the platform refuses the report of window {window} with status {status}");
        }
        self.duty_pacing.failed(now);
    }
}

/// The time of day at which a window ends.
fn ends_at(window: u64, window_ms: Milliseconds) -> Milliseconds {
    window.saturating_add(1).saturating_mul(window_ms)
}

/// The time of day at which a window is decided.
fn decided_at(window: u64, window_ms: Milliseconds) -> Milliseconds {
    ends_at(window, window_ms).saturating_add(DECISION_DELAY_MS)
}

/// The window itself, or a later one where it is so old that no counts of it can be known.
fn oldest_reported(next: u64, current_window: u64) -> u64 {
    let oldest = current_window.saturating_sub(MAX_UNDECIDED_WINDOWS);
    if next < oldest {
        log::error!("usage: windows {next} to {} are too old and never reported", oldest - 1);
    }
    next.max(oldest)
}

/// Notes in the log that the report of a window is decided, where the change says that.
pub fn log_usage_decision(change: &Change) {
    if let Change::DecideUsageReport(UsageReport { window, counts }) = change {
        let requests: u64 = counts.values().sum();
        log::info!("usage: window {window} is decided: {requests} requests of {} tenants", counts.len());
    }
}

/// Decided and unaccepted reports, for operators.
pub fn usage_status(reports: &UsageReports) -> Value {
    let unaccepted: Vec<u64> = reports.unaccepted_windows().collect();
    let mut status = json!({ "unaccepted": unaccepted });
    if let Some(next) = reports.next_window() {
        status["last-decided"] = json!(next.saturating_sub(1));
    }
    status
}
