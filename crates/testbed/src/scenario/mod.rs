//! A small scenario on a single host: the complete system, two trainers, plain clients, and faults.

mod compound_faults;
mod error;
mod execution;
mod fault_steps;
mod faults;
mod key_faults;
mod leader_faults;
mod link_faults;
#[cfg(test)]
mod overlap_tests;
mod platform_faults;
mod report;
mod run;
mod servers;
mod steps;
mod supervision;
mod tenants;
#[cfg(test)]
mod tests;
mod timed_fault;
mod timing;
mod traffic;
mod wiring;
mod workload;

use std::path::PathBuf;

pub use error::ScenarioError;
pub use faults::{Fault, UnknownFault};
pub use report::{
    EndedProcess, ListCallCounts, ProcessUsage, Report, SingletonRoleReport, TrainerReport, percentile,
};
pub use run::run;
pub use timed_fault::{InvalidFault, TimedFault};

/// Options of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// Duration of the traffic, in seconds.
    pub seconds: u64,
    /// Number of edge machines with a disk. Each runs a control node and a gateway.
    pub control_nodes: usize,
    /// Number of all edge machines, including those with a control node.
    pub gateways: usize,
    /// Number of storage machines.
    pub store_nodes: usize,
    /// Seed of the generated names, requests and service times.
    pub seed: u64,
    /// The program with the roles `control`, `door` and `store`.
    pub program: PathBuf,
    /// The faults to inject. Those of the same delay begin at the same time.
    pub faults: Vec<TimedFault>,
    /// Duration of link faults, in seconds.
    pub partition_seconds: u64,
    /// Whether the configuration has no tenants and no client sends an API key.
    pub without_tenants: bool,
    /// Whether to keep settings, data and logs after the scenario.
    pub keep: bool,
}

impl ScenarioOptions {
    /// Whether one of the faults satisfies the predicate.
    fn has_fault(&self, predicate: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|timed| predicate(timed.fault))
    }
}
