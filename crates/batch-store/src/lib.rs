//! Batch store: keeps jobs and results on replicated partitions and dispatches groups of items to gateways.
//!
//! [`Store`] performs no I/O: its host, [`process`], provides links, disk and clocks. Every partition is a chain of
//! replicas ([`orchidvalve_chain_replication`]) over a log of [`entry::EntryRef`]s. Jobs and results are built from
//! committed entries only, so they are the same at all members. The head of a partition accepts jobs, records results
//! and dispatches groups to gateways under leases; every member serves reads.

mod active_job;
mod dispatch;
mod effect;
pub mod entry;
mod gateways;
pub mod graceful_shutdown;
mod job_key;
mod jobs;
pub mod latest_connections;
mod limits;
mod link;
mod memory_log;
mod messages;
mod output;
mod partition;
mod peer_links;
mod pending_calls;
pub mod process;
mod record;
mod record_writer;
mod recovery;
mod store;
mod timestamp;
mod uncommitted;

pub use limits::{JobLimits, LimitSource};
pub use link::LinkId;
pub use messages::PeerMessage;
pub use output::Output;
pub use record::DiskRecord;
pub use store::{Store, StoreSettings, UndispatchedItems};
pub use timestamp::Timestamp;

// Lets hosts call `Store::new` without depending on the write-ahead log.
pub use orchidvalve_wal::Record;

/// Time without a message after which the lease of a gateway expires, in milliseconds.
pub const GATEWAY_TIMEOUT_MS: u64 = 1_500;
/// Time between two heartbeats to gateways, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;
