//! The outcome of a scenario.

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;

use crate::clients::ClientStats;
use crate::concurrent_operators::ConcurrentOperatorStats;
use crate::invariants::{Invariant, UsageFigures, Violation};
use crate::launch::Usage;
use crate::operator::OperatorStats;
use crate::platform::PlatformCallCounts;
use crate::trainer::TrainerStats;

/// Maximum number of violations of one invariant that are printed.
const MAX_PRINTED_PER_INVARIANT: usize = 15;

/// A process that exited unexpectedly or did not stop in time.
#[derive(Clone, Debug)]
pub struct EndedProcess {
    /// Name of the machine, and the role of the process.
    pub process: String,
    /// How the process ended, with the end of its log.
    pub log: String,
}

/// The outcome of one trainer.
#[derive(Clone, Debug)]
pub struct TrainerReport {
    /// Name of the trainer.
    pub name: String,
    /// Counters of the trainer.
    pub stats: TrainerStats,
}

/// Resource usage of a process since its last start.
#[derive(Clone, Debug)]
pub struct ProcessUsage {
    /// Name of the machine, and the role of the process.
    pub process: String,
    /// CPU time and memory.
    pub usage: Usage,
}

/// Counts of the calls to the platform's server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCallCounts {
    /// Number of calls that received a page.
    pub answered: u64,
    /// Number of calls that were rejected.
    pub refused: u64,
}

/// The outcome of the singleton roles.
#[derive(Clone, Copy, Debug, Default)]
pub struct SingletonRoleReport {
    /// Counts of the platform calls of singleton roles by outcome.
    pub calls: PlatformCallCounts,
    /// Numbers of usage windows by the outcome of their reports.
    pub usage: UsageFigures,
}

/// The outcome of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Counters of each group of clients.
    pub clients: Vec<ClientStats>,
    /// Outcome of each trainer.
    pub trainers: Vec<TrainerReport>,
    /// Counters of the operator.
    pub operator: OperatorStats,
    /// Counters of the operators that change the configuration concurrently; `None` if there were none.
    pub concurrent_operators: Option<ConcurrentOperatorStats>,
    /// Violations of the invariants.
    pub violations: Vec<Violation>,
    /// Processes that exited unexpectedly or did not stop in time.
    pub ended: Vec<EndedProcess>,
    /// Resource usage of the processes since their last start.
    pub usage: Vec<ProcessUsage>,
    /// Counts of the calls to the platform's server list.
    pub list_calls: ListCallCounts,
    /// Outcome of the singleton roles.
    pub singleton_roles: SingletonRoleReport,
    /// Directory in which settings, data and logs were kept; `None` if they were removed.
    pub directory: Option<PathBuf>,
}

/// Returns a percentile of durations; 0 if there are none.
pub fn percentile(times: &[u64], percent: usize) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or(0)
}

fn write_percentiles(f: &mut fmt::Formatter<'_>, times: &[u64]) -> fmt::Result {
    let (median, most) = (percentile(times, 50), percentile(times, 95));
    writeln!(f, "median {median} ms, 95% {most} ms, longest {} ms", percentile(times, 100))
}

impl Report {
    /// Whether no invariant was violated, no process exited unexpectedly, at least one client request was served,
    /// every trainer finished a step, and concurrent operators (if any) got a change acknowledged.
    pub fn is_good(&self) -> bool {
        let served: u64 = self.clients.iter().map(|stats| stats.served).sum();
        let steps_done = self.trainers.iter().all(|trainer| trainer.stats.steps_done > 0);
        let changed = self.concurrent_operators.as_ref().is_none_or(|stats| stats.acknowledged > 0);
        self.violations.is_empty() && self.ended.is_empty() && served > 0 && steps_done && changed
    }

    fn write_clients(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sum = |field: fn(&ClientStats) -> u64| -> u64 { self.clients.iter().map(field).sum() };
        let times: Vec<u64> = self.clients.iter().flat_map(|stats| &stats.latencies).copied().collect();
        let (sent, served) = (sum(|stats| stats.sent), sum(|stats| stats.served));
        let within_target = sum(|stats| stats.within_target);
        writeln!(
            f,
            "requests: {sent} sent, {served} served, {within_target} in time, {} failed",
            sum(|stats| stats.failed)
        )?;
        write!(f, "  latency: ")?;
        write_percentiles(f, &times)
    }

    fn write_trainer(&self, f: &mut fmt::Formatter<'_>, name: &str, stats: &TrainerStats) -> fmt::Result {
        let (submitted, done, in_time) = (stats.steps_submitted, stats.steps_done, stats.steps_within_target);
        writeln!(
            f,
            "trainer {name}: {submitted} steps asked, {done} done, {in_time} in time, version {}",
            stats.version
        )?;
        let (accept, step) = (percentile(&stats.acceptance_ms, 50), percentile(&stats.step_ms, 50));
        writeln!(f, "  median of accepting {accept} ms, of a step {step} ms; {} refusals", stats.refusals)?;
        let (completed, expired) = (stats.completed, stats.expired);
        let (reviewed, unreadable) = (stats.reviewed, stats.unreadable);
        writeln!(
            f,
            "  results: {completed} completed, {expired} expired; {reviewed} jobs read again, {unreadable} not"
        )
    }

    fn write_concurrent_operators(
        &self,
        f: &mut fmt::Formatter<'_>,
        stats: &ConcurrentOperatorStats,
    ) -> fmt::Result {
        let (acknowledged, refused, unclear) = (stats.acknowledged, stats.refused, stats.unclear);
        let lost = stats.lost_responses;
        write!(f, "concurrent operators: {acknowledged} acknowledged, {refused} refused, ")?;
        writeln!(f, "{unclear} unclear, {lost} answers lost")?;
        write!(f, "  to the acknowledgement: ")?;
        write_percentiles(f, &stats.ack_ms)
    }

    fn write_singleton_roles(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SingletonRoleReport { calls, usage } = self.singleton_roles;
        let (reports, scaling) = (calls.usage_reports, calls.scaling_orders);
        write!(f, "duties: {reports} usage reports and {scaling} scaling orders taken, ")?;
        writeln!(f, "{} refused, {} malformed", calls.refused, calls.malformed)?;
        let (due, missing, inaccurate) = (usage.due, usage.missing, usage.inaccurate);
        writeln!(f, "  windows of usage: {due} due, {missing} missing, {inaccurate} off")
    }

    fn write_violations(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "rules broken: {}", self.violations.len())?;
        let mut by_invariant: BTreeMap<Invariant, Vec<&Violation>> = BTreeMap::new();
        for violation in &self.violations {
            by_invariant.entry(violation.invariant).or_default().push(violation);
        }
        for (invariant, violations) in by_invariant {
            writeln!(f, "  {invariant}: {}, the first of them:", violations.len())?;
            for violation in violations.into_iter().take(MAX_PRINTED_PER_INVARIANT) {
                writeln!(f, "    {violation}")?;
            }
        }
        for EndedProcess { process, log } in &self.ended {
            writeln!(f, "{process} ended by itself; its log ends so:\n{log}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_clients(f)?;
        for TrainerReport { name, stats } in &self.trainers {
            self.write_trainer(f, name, stats)?;
        }
        let operator = &self.operator;
        let (acknowledged, refused, unclear) = (operator.acknowledged, operator.refused, operator.unclear);
        writeln!(f, "configurations: {acknowledged} acknowledged, {refused} refused, {unclear} unclear")?;
        if let Some(concurrent_operators) = &self.concurrent_operators {
            self.write_concurrent_operators(f, concurrent_operators)?;
        }
        let ListCallCounts { answered, refused } = self.list_calls;
        writeln!(f, "platform: {answered} calls answered, {refused} refused")?;
        self.write_singleton_roles(f)?;
        if !operator.retired.is_empty() {
            writeln!(f, "emptied and taken away: {}", operator.retired.join(", "))?;
        }
        for ProcessUsage { process, usage } in &self.usage {
            writeln!(f, "  {process}: {} ms of processor, {} kB at most", usage.cpu_ms, usage.peak_kb)?;
        }
        self.write_violations(f)?;
        match &self.directory {
            Some(directory) => writeln!(f, "settings, data and logs: {}", directory.display()),
            None => Ok(()),
        }
    }
}
