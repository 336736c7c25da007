//! The records that a control node keeps on its disk, and the state that it recovers from them at its start.

use musli::{Decode, Encode};
use orchidvalve_bootstrap::ProcessError;
use orchidvalve_chain_replication::{Entry, Epoch, Sequence};
use orchidvalve_consensus::DurableState;
use orchidvalve_protocol::frames::decode;
use orchidvalve_wal::Position;

use crate::replicated_log::ReplicatedLog;

/// A record on the disk.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum DiskRecord {
    /// An entry of the replicated log.
    Entry(Entry),
    /// Entries after `after` are void.
    Truncate {
        /// Sequence number of the last entry that remains.
        after: Sequence,
    },
    /// The log restarts empty.
    Reset {
        /// Sequence number of its first entry.
        start: Sequence,
        /// Epoch of the entry before it; 0 if unknown.
        previous_epoch: Epoch,
    },
    /// State of the agreement on views. The latest record counts.
    Agreement(DurableState),
    /// This node gives orders to servers as the head of the view of this epoch.
    LeadershipEpoch {
        /// Epoch of the view.
        epoch: Epoch,
    },
    /// Entries before `first` are no longer needed.
    Compacted {
        /// Sequence number of the checkpoint that the log begins with.
        first: Sequence,
        /// Epoch of the entry before it.
        previous_epoch: Epoch,
    },
}

/// The state recovered from the records of a disk.
#[derive(Default, Debug)]
pub struct RecoveredState {
    /// The replicated log.
    pub log: ReplicatedLog,
    /// Latest state of the agreement on views.
    pub agreement: Option<DurableState>,
    /// Latest epoch in which this node gave orders.
    pub leadership_epoch: Option<Epoch>,
    /// Position of the latest record of the agreement.
    pub agreement_position: Option<Position>,
    /// Number of records that could not be decoded.
    pub unreadable: usize,
}

impl RecoveredState {
    /// Applies the next record. Records have to be applied in the order in which they were written.
    pub fn apply_record(&mut self, position: Position, payload: &[u8]) {
        match decode::<DiskRecord>(payload) {
            Some(DiskRecord::Entry(entry)) => self.apply_entry(entry, position),
            Some(DiskRecord::LeadershipEpoch { epoch }) => self.leadership_epoch = Some(epoch),
            Some(DiskRecord::Truncate { after }) => self.log.truncate(after),
            Some(DiskRecord::Reset { start, previous_epoch }) => self.log.reset(start, previous_epoch),
            Some(DiskRecord::Agreement(state)) => {
                self.agreement = Some(state);
                self.agreement_position = Some(position);
            }
            Some(DiskRecord::Compacted { first, previous_epoch }) => {
                self.log.compact_or_reset(first, previous_epoch);
            }
            None => self.unreadable += 1,
        }
    }

    /// Checks that all records could be decoded. The contents of an unreadable record may have been acknowledged or
    /// promised, so a node that ignored it could lose a change, or break a promise that it gave as an acceptor.
    ///
    /// # Errors
    ///
    /// Returns the number of unreadable records, which another version has written.
    pub fn require_readable(&self) -> Result<(), ProcessError> {
        match self.unreadable {
            0 => Ok(()),
            count => Err(ProcessError::UnreadableRecords { count }),
        }
    }

    fn apply_entry(&mut self, entry: Entry, position: Position) {
        if self.log.is_empty() && entry.sequence != self.log.first() {
            // The records before this one were released, so no earlier entry is needed.
            self.log.reset(entry.sequence, 0);
        }
        if entry.sequence == self.log.end() + 1 {
            self.log.append(entry, position);
        }
    }
}
