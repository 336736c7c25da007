//! The load that gateways and store nodes have reported to the head of the control chain: the latest report of each
//! process, and the sums by service.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServiceLoad;

/// The report of a process without a session is kept for this time, in milliseconds: its requests in flight may still be
/// running, or no other process may have taken over its work yet.
pub const DEAD_PROCESS_RETENTION_MS: Milliseconds = 5_000;
/// A report that was not renewed for this time, in milliseconds, no longer counts as recent: processes renew theirs more
/// often.
pub const MAX_REPORT_AGE_MS: Milliseconds = 12_000;

/// Outstanding work for the servers of a service.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct ServiceDemand {
    /// Requests and generations that are in flight at its servers.
    pub running: u32,
    /// Requests and generations that wait to be sent.
    pub waiting: u32,
}

impl ServiceDemand {
    /// Returns the number of unfinished requests and generations.
    pub fn outstanding(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The latest report of one incarnation of a process.
#[derive(Debug)]
struct LoadReport {
    loads: Vec<ServiceLoad>,
    received_at: Milliseconds,
    /// When this node last saw a session of the process.
    last_alive_at: Milliseconds,
}

/// The latest report of each process, by its incarnation. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct LoadSummaries {
    reports: BTreeMap<u64, LoadReport>,
}

impl LoadSummaries {
    /// Records the report of a process, which replaces its earlier one.
    pub fn record(&mut self, incarnation: u64, loads: Vec<ServiceLoad>, now: Milliseconds) {
        self.reports.insert(incarnation, LoadReport { loads, received_at: now, last_alive_at: now });
    }

    /// Drops the reports of processes that have had no session for too long; `alive` contains those that have one now.
    pub fn expire(&mut self, alive: &BTreeSet<u64>, now: Milliseconds) {
        self.reports.retain(|incarnation, report| {
            if alive.contains(incarnation) {
                report.last_alive_at = now;
            }
            now < report.last_alive_at + DEAD_PROCESS_RETENTION_MS
        });
    }

    /// Returns whether each of these processes has reported recently.
    pub fn has_recent_reports(&self, incarnations: &BTreeSet<u64>, now: Milliseconds) -> bool {
        let is_recent = |report: &LoadReport| now < report.received_at + MAX_REPORT_AGE_MS;
        incarnations.iter().all(|incarnation| self.reports.get(incarnation).is_some_and(is_recent))
    }

    /// Returns the sums of all reports by service. A service without an entry has no work.
    pub fn demand_by_service(&self) -> BTreeMap<String, ServiceDemand> {
        let mut sums: BTreeMap<String, ServiceDemand> = BTreeMap::new();
        for load in self.reports.values().flat_map(|report| &report.loads) {
            let sum = sums.entry(load.service.clone()).or_default();
            sum.running = sum.running.saturating_add(load.running);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
        }
        sums
    }

    /// Drops all reports: another node is the head.
    pub fn clear(&mut self) {
        self.reports.clear();
    }
}
