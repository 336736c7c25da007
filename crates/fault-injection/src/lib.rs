//! Fault injection on one machine: a scenario describes the fleet, the load, and the faults over time; real front
//! nodes run as processes with stub stores as their back ends; an invariant checker observes one stream of events and
//! reports every violated rule.
//!
//! The modules that decide or keep state have no I/O and no clock: [`scenario`], [`timeline`], [`injector`],
//! [`store_model`], [`discovery`], [`load`], [`invariants`], [`statistics`], and [`emulator`], which runs the same
//! scenarios in virtual time with the front nodes' real decision code. Only [`real`] uses sockets, processes and
//! clocks.

pub mod discovery;
pub mod emulator;
pub mod error;
pub mod experiment;
pub mod injector;
pub mod invariants;
pub mod load;
pub mod policy;
pub mod real;
pub mod replay;
pub mod report;
pub mod scenario;
pub mod settings;
pub mod statistics;
pub mod store_model;
pub mod timeline;

/// A duration, or a time since the run began, in nanoseconds.
pub type Nanos = i64;

/// One millisecond in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000 * MS;

/// Returns the name of store `n`, under which discovery lists its first process.
pub fn store_name(n: usize) -> String {
    format!("s-{n}")
}
