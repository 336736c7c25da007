//! Statistics of a run: which queries were answered within their latency target and their deadline, by service class,
//! tenant and second. Latencies count from the planned time of a query, so that delays of a slow front node are not
//! hidden by a slower load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::PlannedQuery;
use crate::scenario::{Scenario, ms};
use crate::{MS, Nanos, SECOND};

/// The final outcome of a query, after all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The response was marked complete.
    Complete,
    /// The response was not marked complete.
    Partial,
    /// The query was rejected.
    Rejected,
    /// The query expired at the front node.
    Expired,
    /// The connection ended without a response.
    Lost,
    /// There was no response before the client's deadline.
    Late,
}

/// The numbers of queries by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// All queries.
    #[serde(rename = "asked")]
    pub queries: u64,
    /// Queries with a complete or partial response before their deadline.
    pub answered: u64,
    /// Queries with a complete response within the latency target.
    #[serde(rename = "in_soft_limit")]
    pub within_target: u64,
    /// Queries with a response that was not marked complete.
    #[serde(rename = "short")]
    pub partial: u64,
    /// Queries that were rejected.
    #[serde(rename = "dismissed")]
    pub rejected: u64,
    /// Queries that expired at the front node.
    #[serde(rename = "given_up")]
    pub expired: u64,
    /// Queries whose connection ended without a response.
    pub lost: u64,
    /// Queries without a response before the client's deadline.
    pub late: u64,
    /// Tries of the clients for all these queries.
    pub tries: u64,
}

impl OutcomeCounts {
    /// Returns the fraction of queries that were answered before their deadline; 1 if there were none.
    pub fn service(&self) -> f64 {
        if self.queries == 0 { 1.0 } else { self.answered as f64 / self.queries as f64 }
    }

    fn record(&mut self, outcome: QueryOutcome, in_target: bool, tries: u32) {
        self.queries += 1;
        self.tries += u64::from(tries);
        self.answered += u64::from(matches!(outcome, QueryOutcome::Complete | QueryOutcome::Partial));
        self.within_target += u64::from(in_target);
        match outcome {
            QueryOutcome::Complete => {}
            QueryOutcome::Partial => self.partial += 1,
            QueryOutcome::Rejected => self.rejected += 1,
            QueryOutcome::Expired => self.expired += 1,
            QueryOutcome::Lost => self.lost += 1,
            QueryOutcome::Late => self.late += 1,
        }
    }
}

/// Outcomes and latencies of a run.
pub struct OutcomeStatistics {
    /// Outcomes of all queries.
    pub all: OutcomeCounts,
    /// Outcomes by name of the service class.
    pub classes: BTreeMap<String, OutcomeCounts>,
    /// Outcomes by name of the tenant.
    pub tenants: BTreeMap<String, OutcomeCounts>,
    /// Outcomes by the second in which the query was planned.
    pub seconds: Vec<OutcomeCounts>,
    latency: Histogram<u64>,
    /// Delays of the load generator itself, which show whether this machine could sustain the load.
    load_delay: Histogram<u64>,
    targets: Vec<(String, Nanos)>,
    tenant_names: Vec<String>,
}

/// Returns a histogram of microseconds up to two minutes, with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are good"))
}

fn micros(n: Nanos) -> u64 {
    (n / 1000).clamp(1, 120_000_000) as u64
}

impl OutcomeStatistics {
    /// Returns statistics without any query.
    pub fn new(scenario: &Scenario) -> OutcomeStatistics {
        let targets = scenario.classes.iter().map(|g| (g.name.clone(), ms(g.latency_target_ms))).collect();
        OutcomeStatistics {
            all: OutcomeCounts::default(),
            classes: BTreeMap::new(),
            tenants: BTreeMap::new(),
            seconds: vec![OutcomeCounts::default(); (scenario.duration() / SECOND + 1) as usize],
            latency: histogram(),
            load_delay: histogram(),
            targets,
            tenant_names: scenario.tenants.iter().map(|t| t.name.clone()).collect(),
        }
    }

    /// Records a query that ended after all its tries; `ended` has the same origin as the query's planned time.
    pub fn record(&mut self, query: &PlannedQuery, ended: Nanos, outcome: QueryOutcome, tries: u32) {
        let took = ended - query.at;
        let (name, target) = self.targets[query.class].clone();
        let in_target = outcome == QueryOutcome::Complete && took <= target;
        self.all.record(outcome, in_target, tries);
        self.classes.entry(name).or_default().record(outcome, in_target, tries);
        if let Some(name) = query.tenant.and_then(|tenant| self.tenant_names.get(tenant)) {
            self.tenants.entry(name.clone()).or_default().record(outcome, in_target, tries);
        }
        if let Some(second) = self.seconds.get_mut((query.at / SECOND) as usize) {
            second.record(outcome, in_target, tries);
        }
        if matches!(outcome, QueryOutcome::Complete | QueryOutcome::Partial) {
            self.latency.saturating_record(micros(took));
        }
    }

    /// Records that a try was sent `by` nanoseconds after it was due.
    pub fn record_delay(&mut self, by: Nanos) {
        self.load_delay.saturating_record(micros(by.max(1)));
    }

    /// Returns the latency at a quantile, in milliseconds.
    pub fn latency(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the delay of the load generator at a quantile, in nanoseconds.
    pub fn load_delay(&self, quantile: f64) -> Nanos {
        self.load_delay.value_at_quantile(quantile) as Nanos * (MS / 1000)
    }
}
