//! Batch store: jobs and results kept on replicated partitions, groups dispatched to gateways.
//!
//! [`Store`] is the store without I/O: links, disk and clocks are its host's, which is [`process`]. Every partition is
//! a chain of replicas ([`orchidvalve_chain_replication`]) over a log of [`entry::EntryRef`]s; jobs and results are
//! built from committed entries only, so they are the same at all members. The head of a partition accepts jobs,
//! records results and dispatches groups of generations to gateways under leases; every member answers reads.

mod active_job;
mod dispatch;
mod effect;
pub mod entry;
mod gateways;
pub mod graceful_shutdown;
mod job_key;
mod jobs;
mod limits;
mod link;
mod memory_log;
mod messages;
pub mod newest_connections;
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

// What `Store::new` takes: hosts needn't depend on the write-ahead log for it.
pub use orchidvalve_wal::Record;

/// Time without a message after which a gateway loses its groups, in milliseconds.
pub const GATEWAY_TIMEOUT_MS: u64 = 1_500;
/// Time between two heartbeats to gateways, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;
