//! Compares usage reports with the requests that servers actually started. A missing or inaccurate report violates no
//! invariant; it is a figure of the scenario.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::observation::{Observation, PlatformOrder};

const MS_PER_S: u64 = 1_000;

/// Parameters of usage reporting.
#[derive(Clone, Copy, Debug)]
pub struct UsageBounds {
    /// Wall-clock time at which the observations' clock starts, in milliseconds since the start of 1970.
    pub wall_ms_at_start: u64,
    /// Length of a usage window, in seconds.
    pub window_s: u64,
    /// Time after the end of a window until its report is due, in seconds.
    pub report_deadline_s: u64,
    /// Allowed deviation of a count, as a fraction of the true count.
    pub tolerance: f64,
}

/// Numbers of usage windows by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageFigures {
    /// Windows for which a report was due.
    pub due: u64,
    /// Windows without a report that was accepted in time.
    pub missing: u64,
    /// Windows whose report exceeded the tolerance for at least one tenant.
    pub inaccurate: u64,
}

/// A request that a server started to run.
#[derive(Debug)]
struct StartedRequest {
    /// Time of the start; `None` while a stream has no event.
    at: Option<u64>,
    tenant: String,
}

/// A usage report that the platform accepted.
#[derive(Debug)]
struct AcceptedReport {
    at: u64,
    counts: BTreeMap<String, u64>,
}

/// Started requests by tenant, and the accepted reports.
#[derive(Debug)]
pub struct UsageAccounts {
    bounds: UsageBounds,
    requests: HashMap<String, StartedRequest>,
    /// Ids of the items of batch jobs and of their reward calls.
    excluded: HashSet<String>,
    reports: BTreeMap<u64, AcceptedReport>,
}

impl UsageAccounts {
    /// Returns accounts without requests.
    pub fn new(bounds: UsageBounds) -> UsageAccounts {
        UsageAccounts { bounds, requests: HashMap::new(), excluded: HashSet::new(), reports: BTreeMap::new() }
    }

    /// Records an observation made at `now` (in milliseconds).
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
            // Usage reports do not count items of batch jobs and their reward calls.
            Observation::JobSent(job) => {
                let items = job.items.iter();
                self.excluded.extend(items.flat_map(|item| [item.id.clone(), item.reward.id.clone()]));
            }
            Observation::PlatformCallReceived { call, accepted: true } => {
                if let PlatformOrder::UsageReport { window, counts } = &call.order {
                    let report = AcceptedReport { at: now, counts: counts.clone() };
                    self.reports.entry(*window).or_insert(report);
                }
            }
            _ => {}
        }
    }

    /// Classifies the windows that lie after `from` and whose reports were due by `until` (both in milliseconds).
    pub fn figures(&self, from: u64, until: u64) -> UsageFigures {
        let truth = self.truth();
        let mut figures = UsageFigures::default();
        for window in self.due_windows(from, until) {
            figures.due += 1;
            let empty = BTreeMap::new();
            let expected = truth.get(&window).unwrap_or(&empty);
            match self.reports.get(&window).filter(|report| report.at <= self.due_at(window)) {
                None => figures.missing += 1,
                Some(report) if !self.is_within_tolerance(expected, &report.counts) => {
                    figures.inaccurate += 1;
                }
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

    /// Time at which the report of a window is due, on the observations' clock in milliseconds.
    fn due_at(&self, window: u64) -> u64 {
        let due = (window + 1) * self.window_ms() + self.bounds.report_deadline_s * MS_PER_S;
        due.saturating_sub(self.bounds.wall_ms_at_start)
    }

    /// Returns the complete windows after `from` whose reports are due by `until`.
    fn due_windows(&self, from: u64, until: u64) -> impl Iterator<Item = u64> {
        let first = self.window_of(from) + 1;
        let end = self.window_of(until) + 1;
        (first..end).filter(move |window| self.due_at(*window) <= until)
    }

    /// Counts the started requests by window and tenant.
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
