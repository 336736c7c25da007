//! The state of the agreement on views and its records on the disk.

use std::collections::VecDeque;

use orchidvalve_consensus::{DurableState, WriteNumber};
use orchidvalve_wal::Position;

use crate::disk_records::DiskRecord;

/// A record that is not durable yet.
#[derive(Debug)]
struct PendingWrite {
    position: Position,
    /// The write number that the agreement waits for; `None` for a repeated record.
    write_number: Option<WriteNumber>,
}

/// The latest state of the agreement, and the positions of its records. Pending writes are in the order of their
/// positions, and the durable record lies before all of them.
#[derive(Debug)]
pub(super) struct AgreementRecord {
    latest: Option<DurableState>,
    pending: VecDeque<PendingWrite>,
    /// Position of the latest durable record; 0 if there is none.
    durable_position: Position,
}

impl AgreementRecord {
    pub(super) fn recovered(state: Option<DurableState>, position: Option<Position>) -> AgreementRecord {
        AgreementRecord { latest: state, pending: VecDeque::new(), durable_position: position.unwrap_or(0) }
    }

    /// Sets a new state of the agreement, which has to be written next.
    pub(super) fn set_state(&mut self, state: DurableState) {
        self.latest = Some(state);
    }

    /// Returns the record of the latest state; `None` if there is no state yet.
    pub(super) fn record(&self) -> Option<DiskRecord> {
        self.latest.clone().map(DiskRecord::Agreement)
    }

    /// Notes that the latest state was written at `position`. The agreement waits for `write_number`, which is `None` for a
    /// repeated record.
    pub(super) fn written(&mut self, position: Position, write_number: Option<WriteNumber>) {
        self.pending.push_back(PendingWrite { position, write_number });
    }

    /// Marks all records up to `position` as durable. Returns the write numbers that the agreement waits for, in order.
    pub(super) fn set_durable(&mut self, position: Position) -> Vec<WriteNumber> {
        let mut write_numbers = Vec::new();
        while let Some(write) = self.pending.pop_front_if(|write| write.position <= position) {
            self.durable_position = write.position;
            write_numbers.extend(write.write_number);
        }
        write_numbers
    }

    /// Returns the position of the latest durable record.
    pub(super) fn durable_position(&self) -> Position {
        self.durable_position
    }

    /// Returns whether a record is not durable yet.
    pub(super) fn is_being_written(&self) -> bool {
        !self.pending.is_empty()
    }
}
