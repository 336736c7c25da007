//! A small scenario on one machine: the whole system, two trainers, plain clients, and faults.

mod compound_faults;
mod error;
mod execution;
mod fault_steps;
mod faults;
mod key_faults;
mod leader_faults;
mod link_faults;
mod platform_faults;
mod report;
mod run;
mod servers;
mod steps;
mod supervision;
mod tenants;
#[cfg(test)]
mod tests;
mod timing;
mod traffic;
mod wiring;
mod workload;

use std::path::PathBuf;

pub use error::ScenarioError;
pub use faults::{Fault, UnknownFault};
pub use report::{
    EndedProcess, PlatformCalls, ProcessUsage, Report, SingletonRoleReport, TrainerReport, percentile,
};
pub use run::run;

/// What is run.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// How long traffic lasts, in seconds.
    pub seconds: u64,
    /// Edge machines with a disk, each with a control node and a gateway.
    pub control_nodes: usize,
    /// Edge machines in all; those with a control node among them.
    pub gateways: usize,
    /// Storage machines.
    pub store_nodes: usize,
    /// Seed of names, requests and work.
    pub seed: u64,
    /// The program with the roles `control`, `door` and `store`.
    pub program: PathBuf,
    /// All of them begin at the same time.
    pub faults: Vec<Fault>,
    /// How long links are partitioned, in seconds.
    pub partition_seconds: u64,
    /// The configuration has no tenants, and nobody sends a key.
    pub without_tenants: bool,
    /// Settings, data and logs stay behind.
    pub keep: bool,
}
