//! What reports of usage should hold, and how far those that came are from it. No rule is broken by a report that is
//! missing or off: it's a figure of the scenario.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::observation::{DutyOrder, Observation};

const MS_PER_S: u64 = 1_000;

/// How usage is reported.
#[derive(Clone, Copy, Debug)]
pub struct UsageBounds {
    /// Milliseconds from the start of 1970 to the beginning of the observations' clock.
    pub wall_ms_at_start: u64,
    /// Length of a window, in seconds.
    pub window_s: u64,
    /// How long after its end a window is due, in seconds.
    pub late_s: u64,
    /// How far a count may be off, as a share of the true one.
    pub tolerance: f64,
}

/// Windows of usage by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageFigures {
    /// Windows that had to be reported.
    pub due: u64,
    /// Those of which no report was accepted in time.
    pub missing: u64,
    /// Those whose report was beyond the tolerance for a tenant.
    pub off: u64,
}

/// A request that a server began to run.
#[derive(Debug)]
struct StartedRequest {
    /// When it began; `None` while a stream has no event.
    at: Option<u64>,
    tenant: String,
}

/// A report that was accepted.
#[derive(Debug)]
struct AcceptedReport {
    at: u64,
    counts: BTreeMap<String, u64>,
}

/// Requests by tenant, and the reports about them.
#[derive(Debug)]
pub struct UsageAccounts {
    bounds: UsageBounds,
    requests: HashMap<String, StartedRequest>,
    /// Ids of items of batch jobs and of their reward calls.
    excluded: HashSet<String>,
    reports: BTreeMap<u64, AcceptedReport>,
}

impl UsageAccounts {
    /// Accounts without requests.
    pub fn new(bounds: UsageBounds) -> UsageAccounts {
        UsageAccounts { bounds, requests: HashMap::new(), excluded: HashSet::new(), reports: BTreeMap::new() }
    }

    /// Takes the next observation.
    pub fn observe(&mut self, now: u64, observation: &Observation) {
        match observation {
            Observation::TenantRequestStarted { id, tenant, is_stream } => {
                let at = (!is_stream).then_some(now);
                let started = StartedRequest { at, tenant: tenant.clone() };
                self.requests.entry(id.clone()).or_insert(started);
            }
            Observation::EventEmitted { id, event: 1, .. } => {
                if let Some(request) = self.requests.get_mut(id) {
                    request.at.get_or_insert(now);
                }
            }
            // Items of batch jobs and their reward calls are outside of reports of usage.
            Observation::JobSent(job) => {
                let items = job.items.iter();
                self.excluded.extend(items.flat_map(|item| [item.id.clone(), item.reward.id.clone()]));
            }
            Observation::DutyCallReceived { call, accepted: true } => {
                if let DutyOrder::UsageReport { window, counts } = &call.order {
                    let report = AcceptedReport { at: now, counts: counts.clone() };
                    self.reports.entry(*window).or_insert(report);
                }
            }
            _ => {}
        }
    }

    /// What became of the windows that lie between two times and were due by the second.
    pub fn figures(&self, from: u64, until: u64) -> UsageFigures {
        let truth = self.truth();
        let mut figures = UsageFigures::default();
        for window in self.due_windows(from, until) {
            figures.due += 1;
            let empty = BTreeMap::new();
            let expected = truth.get(&window).unwrap_or(&empty);
            match self.reports.get(&window).filter(|report| report.at <= self.due_at(window)) {
                None => figures.missing += 1,
                Some(report) if !self.is_within_tolerance(expected, &report.counts) => figures.off += 1,
                Some(_) => {}
            }
        }
        figures
    }

    fn window_ms(&self) -> u64 {
        self.bounds.window_s * MS_PER_S
    }

    fn window_of(&self, at: u64) -> u64 {
        (self.bounds.wall_ms_at_start + at) / self.window_ms()
    }

    /// When a window is due, on the observations' clock.
    fn due_at(&self, window: u64) -> u64 {
        let due = (window + 1) * self.window_ms() + self.bounds.late_s * MS_PER_S;
        due.saturating_sub(self.bounds.wall_ms_at_start)
    }

    /// Whole windows after `from` that are due by `until`.
    fn due_windows(&self, from: u64, until: u64) -> impl Iterator<Item = u64> {
        let first = self.window_of(from) + 1;
        let end = self.window_of(until) + 1;
        (first..end).filter(move |window| self.due_at(*window) <= until)
    }

    /// Requests that began, by window and tenant.
    fn truth(&self) -> BTreeMap<u64, BTreeMap<String, u64>> {
        let mut truth: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
        for (id, request) in &self.requests {
            let Some(at) = request.at.filter(|_| !self.excluded.contains(id)) else { continue };
            *truth.entry(self.window_of(at)).or_default().entry(request.tenant.clone()).or_default() += 1;
        }
        truth
    }

    fn is_within_tolerance(&self, expected: &BTreeMap<String, u64>, counts: &BTreeMap<String, u64>) -> bool {
        let tenants = expected.keys().chain(counts.keys());
        let count_in = |of: &BTreeMap<String, u64>, tenant| of.get(tenant).copied().unwrap_or(0);
        tenants.into_iter().all(|tenant| {
            let (expected, counted) = (count_in(expected, tenant), count_in(counts, tenant));
            expected.abs_diff(counted) as f64 <= expected as f64 * self.bounds.tolerance
        })
    }
}
