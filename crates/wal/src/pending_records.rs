//! Records that were appended and are not durable, and how much of them is written.

use std::collections::VecDeque;

use crate::format::Position;
use crate::recovery::Record;

/// The next bytes to write: those of `record` from `offset` on.
pub(crate) struct Unwritten<'a> {
    pub record: &'a Record,
    pub offset: usize,
}

/// The queue of a writer, oldest record first.
#[derive(Debug, Default)]
pub(crate) struct PendingRecords {
    records: VecDeque<Record>,
    /// Number of records in the queue that are completely written.
    written: usize,
    /// Number of bytes written of the record after those.
    written_offset: usize,
    /// Number of bytes synced of the oldest record.
    synced_offset: usize,
}

impl PendingRecords {
    pub fn push(&mut self, record: Record) {
        self.records.push_back(record);
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the next bytes to write, or `None` if everything is written.
    pub fn next_unwritten(&self) -> Option<Unwritten<'_>> {
        let record = self.records.get(self.written)?;
        Some(Unwritten { record, offset: self.written_offset })
    }

    /// Records that the record of [`Self::next_unwritten`] is written up to `end` of its `total` bytes.
    pub fn advance(&mut self, end: usize, total: usize) {
        if end == total {
            self.written += 1;
            self.written_offset = 0;
        } else {
            self.written_offset = end;
        }
    }

    /// Marks everything written as synced. Returns the position of the last record that is completely durable.
    pub fn mark_synced(&mut self) -> Option<Position> {
        let last = self.records.drain(..self.written).next_back();
        self.written = 0;
        self.synced_offset = self.written_offset;
        last.map(|record| record.position)
    }

    /// Marks everything written but not synced as unwritten, so that it is written again.
    pub fn rewind(&mut self) {
        self.written = 0;
        self.written_offset = self.synced_offset;
    }
}
