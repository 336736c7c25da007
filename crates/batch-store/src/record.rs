//! Records on the disk of a store node. All partitions of a process share one write-ahead log.

use musli::{Decode, Encode};
use orchidvalve_chain_replication::Entry;

/// A record of the write-ahead log.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum DiskRecord {
    /// An entry was appended to the log of a partition.
    Append {
        /// Number of the partition.
        partition: u16,
        /// The entry.
        entry: Entry,
    },
    /// The last entries of a partition's log were removed.
    Truncate {
        /// Number of the partition.
        partition: u16,
        /// Sequence number of the last entry that remains.
        after: u64,
    },
    /// The log of a partition was reset and continues empty at `start`.
    Reset {
        /// Number of the partition.
        partition: u16,
        /// Sequence number of the first entry to be appended.
        start: u64,
        /// Epoch of the entry before `start`; 0 if unknown.
        previous_epoch: u64,
    },
    /// Entries before `first` are no longer needed; their records may have been released.
    LogStart {
        /// Number of the partition.
        partition: u16,
        /// Sequence number of the first entry that is needed.
        first: u64,
        /// Epoch of the entry before `first`; 0 if unknown.
        previous_epoch: u64,
        /// Epoch of the latest view that this store accepted; after a restart, earlier views are ignored.
        view_epoch: u64,
    },
}

impl DiskRecord {
    /// Returns whether the sequence numbers are possible: logs begin at 1.
    pub(crate) fn is_valid(&self) -> bool {
        match self {
            DiskRecord::Append { entry, .. } => entry.sequence > 0,
            DiskRecord::Truncate { after, .. } => *after < u64::MAX,
            DiskRecord::Reset { start, .. } => *start > 0,
            DiskRecord::LogStart { first, .. } => *first > 0,
        }
    }
}
