//! The report of a run, as JSON, as a Markdown page with tables, and as a chart.

mod chart;
mod page;

use std::path::Path;

use serde::Serialize;

use crate::error::RunError;
use crate::invariants::Violation;
use crate::scenario::Scenario;
use crate::statistics::{OutcomeCounts, OutcomeStatistics};
use crate::timeline::FaultEvent;
use crate::{MS, SECOND, store_name};

/// The verdict of a run on the front nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The service reached the target of the scenario.
    Held,
    /// The service fell short of the target.
    FellShort,
    /// A rule was violated, or a front node ended by itself.
    RuleBroken,
    /// The run says nothing about the front nodes: it was stopped, or this machine could not sustain the load.
    CouldNotRun,
}

impl Verdict {
    /// Returns the exit status of the command line for this verdict.
    pub fn exit(self) -> u8 {
        match self {
            Verdict::Held => 0,
            Verdict::FellShort => 1,
            Verdict::RuleBroken => 2,
            Verdict::CouldNotRun => 3,
        }
    }
}

/// The results of a run. The names in JSON are published in `docs/rehearsal-operators.md`.
#[derive(Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// The seed that arrivals and affected stores were drawn from.
    pub seed: u64,
    /// The verdict on the front nodes.
    pub verdict: Verdict,
    /// The reason for the verdict, in words.
    pub why: String,
    /// The target of the scenario: the fraction of queries to be answered before their deadline, 0 to 1.
    #[serde(rename = "aim")]
    pub service_target: f64,
    /// The fraction of queries that were answered before their deadline, 0 to 1.
    pub service: f64,
    /// Outcomes of all queries.
    pub all: OutcomeCounts,
    /// Outcomes by name of the service class.
    #[serde(rename = "grades")]
    pub classes: Vec<(String, OutcomeCounts)>,
    /// Outcomes by name of the tenant.
    pub tenants: Vec<(String, OutcomeCounts)>,
    /// Outcomes by the second in which the query was planned.
    pub seconds: Vec<OutcomeCounts>,
    /// Latency from the planned time of a query to its response, in milliseconds, at the quantiles 0.5, 0.9, 0.99 and
    /// 0.999.
    pub latency_ms: [f64; 4],
    /// Delay of the load generator itself at the quantile 0.99, in milliseconds.
    #[serde(rename = "load_late_ms")]
    pub load_delay_ms: f64,
    /// The number of attempts that reached a store.
    #[serde(rename = "launches")]
    pub attempts: u64,
    /// The number of shard requests of all queries, including those of retries.
    #[serde(rename = "parts")]
    pub shard_requests: u64,
    /// The number of events that the invariant checker observed.
    pub events: u64,
    /// Indices of front nodes that ended by themselves.
    pub crashed: Vec<usize>,
    /// The faults, with the stores that were drawn for them.
    #[serde(rename = "troubles")]
    pub faults: Vec<DrawnFault>,
    /// The violations of rules.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// A fault of the scenario, with the stores that were drawn for it.
#[derive(Serialize)]
pub struct DrawnFault {
    /// Start of the fault, in seconds since the run began.
    pub from_s: f64,
    /// End of the fault, in seconds since the run began.
    pub to_s: f64,
    /// Kind of the fault in its `Debug` form: the name in scenarios in another case, with its parameters.
    pub what: String,
    /// Names of the affected stores.
    pub stores: Vec<String>,
}

/// The maximum delay of the load generator at the quantile 0.99, in milliseconds. A run whose load was sent later
/// than this says nothing about the front nodes.
pub const MAX_LOAD_DELAY_MS: f64 = 100.0;

/// The results of a run apart from its statistics.
pub struct RunFacts {
    /// The seed that arrivals and affected stores were drawn from.
    pub seed: u64,
    /// The number of attempts that reached a store.
    pub attempts: u64,
    /// The number of shard requests of all queries, including those of retries.
    pub shard_requests: u64,
    /// The number of events that the invariant checker observed.
    pub events: u64,
    /// Indices of front nodes that ended by themselves.
    pub crashed: Vec<usize>,
    /// The violations of rules.
    pub violations: Vec<Violation>,
    /// Why the run ended early; `None` if it was completed.
    pub broken_off: Option<String>,
}

/// Builds the report of a run and decides its verdict.
pub fn report(
    scenario: &Scenario,
    events: &[FaultEvent],
    statistics: &OutcomeStatistics,
    facts: RunFacts,
) -> Report {
    let load_delay_ms = statistics.load_delay(0.99) as f64 / MS as f64;
    let service = statistics.all.service();
    let (verdict, why) = decide_verdict(scenario, service, load_delay_ms, &facts);
    Report {
        scenario: scenario.name.clone(),
        seed: facts.seed,
        verdict,
        why,
        service_target: scenario.service_target,
        service,
        all: statistics.all.clone(),
        classes: statistics.classes.clone().into_iter().collect(),
        tenants: statistics.tenants.clone().into_iter().collect(),
        seconds: statistics.seconds.clone(),
        latency_ms: [0.5, 0.9, 0.99, 0.999].map(|q| statistics.latency(q)),
        load_delay_ms,
        attempts: facts.attempts,
        shard_requests: facts.shard_requests,
        events: facts.events,
        crashed: facts.crashed,
        faults: drawn_faults(scenario, events),
        violations: facts.violations,
    }
}

fn decide_verdict(
    scenario: &Scenario,
    service: f64,
    load_delay_ms: f64,
    facts: &RunFacts,
) -> (Verdict, String) {
    let against_target = || format!("service {service:.3}, {:.3} was the aim", scenario.service_target);
    if let Some(reason) = &facts.broken_off {
        (Verdict::CouldNotRun, reason.clone())
    } else if load_delay_ms > MAX_LOAD_DELAY_MS {
        let why =
            format!("the load itself went out {load_delay_ms:.0} ms late: this machine is too slow for it");
        (Verdict::CouldNotRun, why)
    } else if !facts.crashed.is_empty() {
        (Verdict::RuleBroken, format!("front nodes {:?} ended by themselves", facts.crashed))
    } else if let Some(first) = facts.violations.first() {
        let count = facts.violations.len();
        (Verdict::RuleBroken, format!("rule {} ({}), {count} times in all", first.rule, first.name))
    } else if service < scenario.service_target {
        (Verdict::FellShort, against_target())
    } else {
        (Verdict::Held, against_target())
    }
}

fn drawn_faults(scenario: &Scenario, events: &[FaultEvent]) -> Vec<DrawnFault> {
    let s = |at: i64| at as f64 / SECOND as f64;
    let drawn = |(n, fault): (usize, &crate::scenario::Fault)| {
        let starts = events.iter().filter(|event| event.fault == n && event.begins);
        let stores = starts.filter_map(|event| event.store).map(store_name).collect();
        let what = format!("{:?}", fault.kind);
        DrawnFault { from_s: s(fault.at()), to_s: s(fault.until(scenario.duration())), what, stores }
    };
    scenario.faults.iter().enumerate().map(drawn).collect()
}

impl Report {
    /// Writes `report.json`, `report.md` and `service.svg` to `dir`, which is created if it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the chart cannot be drawn.
    pub fn write(&self, dir: &Path) -> Result<(), RunError> {
        std::fs::create_dir_all(dir).map_err(RunError::file(dir))?;
        let json = serde_json::to_string_pretty(self)?;
        std::fs::write(dir.join("report.json"), json).map_err(RunError::file(dir))?;
        std::fs::write(dir.join("report.md"), self.page()).map_err(RunError::file(dir))?;
        let chart = self.chart(&dir.join("service.svg"));
        chart.map_err(|e| RunError::Chart { path: dir.to_owned(), reason: e.to_string() })
    }
}
