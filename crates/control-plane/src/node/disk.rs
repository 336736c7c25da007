//! The interface to the disk, and the positions up to which records are durable and released.

use orchidvalve_protocol::frames::encode;
use orchidvalve_wal::Position;

use crate::disk_records::DiskRecord;

/// The disk as the control node uses it.
pub trait Disk {
    /// Queues a record and returns its position. Positions increase.
    fn append(&mut self, payload: Vec<u8>) -> Position;
    /// Releases the records before `position`, which are no longer needed.
    fn release_before(&mut self, position: Position);
}

/// A disk with two positions that only increase: all records up to `durable_position` are durable, and those before
/// `released_before` were released.
pub(super) struct RecordLog<D> {
    disk: D,
    durable_position: Position,
    released_before: Position,
}

impl<D: Disk> RecordLog<D> {
    pub(super) fn new(disk: D, durable_position: Position) -> RecordLog<D> {
        RecordLog { disk, durable_position, released_before: 0 }
    }

    /// Queues a record and returns its position.
    pub(super) fn append(&mut self, record: &DiskRecord) -> Position {
        self.disk.append(encode(record))
    }

    pub(super) fn durable_position(&self) -> Position {
        self.durable_position
    }

    /// Marks all records up to `position` as durable. Returns whether that is an advance.
    pub(super) fn set_durable(&mut self, position: Position) -> bool {
        let has_advanced = position > self.durable_position;
        self.durable_position = self.durable_position.max(position);
        has_advanced
    }

    pub(super) fn released_before(&self) -> Position {
        self.released_before
    }

    /// Releases the records before `position`.
    pub(super) fn release_before(&mut self, position: Position) {
        self.released_before = position;
        self.disk.release_before(position);
    }
}
