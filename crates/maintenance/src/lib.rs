//! Planned maintenance of index servers, coordinated by the front nodes. A replicated queue ensures that at most a
//! configured fraction of each shard's replicas is out of service at a time, and that no shard is left to replicas that
//! are warming up or failing. Every front node knows the queue. The crate does no I/O and reads no clock.
//!
//! [`queue`] is the state machine that the replicated log builds, and [`disruption_budget`] decides which machines it
//! admits. [`raft_group`] is the log, replicated among a few front nodes by the crate `raft`. [`node`] transfers the log's
//! messages, and the queue to all other front nodes, in the form of [`datagrams`].

pub mod datagrams;
pub mod disruption_budget;
pub mod node;
pub mod queue;
pub mod raft_group;

mod log_records;
mod log_storage;

/// A point in time or a duration, in whole nanoseconds. Points in time of the leader are Unix time.
pub type Nanos = i64;
