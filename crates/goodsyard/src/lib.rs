//! Batch store: jobs and results kept on replicated partitions, groups handed to doors.
//!
//! [`Store`] is the whole store without I/O: links, disk and clocks are its host's. Every partition is a chain of
//! replicas ([`orchidvalve_coupling`]) over a journal of [`entry::EntryRef`]s; jobs and results are built from
//! committed entries only, so they are the same at all members. The head of a partition accepts jobs, records
//! results and hands groups of generations to doors; every member answers reads.

pub mod arrivals;
mod calls;
pub mod departure;
mod disk;
mod doors;
pub mod entry;
mod handout;
mod jobs;
mod journal;
mod partition;
mod partition_entries;
mod peer;
mod peer_links;
pub mod process;
mod store;

pub use disk::DiskRecord;
pub use peer::{Output, PeerMessage};
pub use store::{JobLimits, LimitSource, Moment, Store, StoreSettings};

/// Time without a heartbeat after which a door loses its groups, in milliseconds.
pub const DOOR_TIMEOUT_MS: u64 = 1_500;
/// Time between two heartbeats to doors, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;
