//! A deterministic, seeded simulation of control nodes in virtual time, with a checker of the invariants they guarantee.
#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod disk;
pub mod fault_script;
pub mod golden;
pub mod history;
pub mod invariant_checker;
pub mod links;
pub mod mixed_faults;
pub mod named_scenarios;
pub mod network_partitions;
pub mod operators;
pub mod order_roles;
pub mod placements;
pub mod random_faults;
pub mod recovery;
pub mod retirements;
pub mod scenario;
pub mod server_tables;
pub mod shutdown;
pub mod subscribers;
