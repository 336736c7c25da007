//! What gateways and stores have to do at servers, as the head of the control chain knows it: the newest report of each
//! process, and their sums by service.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServiceLoad;

/// The report of a process without a session is forgotten after this time, in milliseconds: until then what it had in
/// flight may run on, or another process may not have taken it over yet.
pub const DEAD_PROCESS_RETENTION_MS: Milliseconds = 5_000;
/// A report that wasn't renewed for this time says nothing any more, in milliseconds: processes repeat theirs more often.
pub const MAX_REPORT_AGE_MS: Milliseconds = 12_000;

/// Work for the servers of a service.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct ServiceDemand {
    /// Requests and generations in flight at its servers.
    pub running: u32,
    /// Those that wait to be sent.
    pub waiting: u32,
}

impl ServiceDemand {
    /// All that isn't done.
    pub fn outstanding(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The newest report of one start of a process.
#[derive(Debug)]
struct LoadReport {
    loads: Vec<ServiceLoad>,
    received_at: Milliseconds,
    /// When the process last had a session, as far as this node has looked.
    last_alive_at: Milliseconds,
}

/// The newest report of each process, by the incarnation of the process. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct LoadSummaries {
    reports: BTreeMap<u64, LoadReport>,
}

impl LoadSummaries {
    /// A process has reported; the report replaces its earlier one.
    pub fn record(&mut self, incarnation: u64, loads: Vec<ServiceLoad>, now: Milliseconds) {
        self.reports.insert(incarnation, LoadReport { loads, received_at: now, last_alive_at: now });
    }

    /// Forgets the reports of processes that have been without a session for too long; `alive` have one.
    pub fn expire(&mut self, alive: &BTreeSet<u64>, now: Milliseconds) {
        self.reports.retain(|incarnation, report| {
            if alive.contains(incarnation) {
                report.last_alive_at = now;
            }
            now < report.last_alive_at + DEAD_PROCESS_RETENTION_MS
        });
    }

    /// Whether each of these processes has reported lately.
    pub fn cover(&self, incarnations: &BTreeSet<u64>, now: Milliseconds) -> bool {
        let is_recent = |report: &LoadReport| now < report.received_at + MAX_REPORT_AGE_MS;
        incarnations.iter().all(|incarnation| self.reports.get(incarnation).is_some_and(is_recent))
    }

    /// The sums of all reports by service. A service that isn't here has no work.
    pub fn demand_by_service(&self) -> BTreeMap<String, ServiceDemand> {
        let mut sums: BTreeMap<String, ServiceDemand> = BTreeMap::new();
        for load in self.reports.values().flat_map(|report| &report.loads) {
            let sum = sums.entry(load.service.clone()).or_default();
            sum.running = sum.running.saturating_add(load.running);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
        }
        sums
    }

    /// Forgets all reports: another node is the head.
    pub fn clear(&mut self) {
        self.reports.clear();
    }
}
