//! Encodes records and predicts the positions that the write-ahead log will assign to them.

use orchidvalve_wal::Position;

use crate::output::Output;
use crate::record::DiskRecord;

/// Numbers records in the same way as the write-ahead log.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    next_position: Position,
}

impl RecordWriter {
    /// Creates a writer that assigns `next_position` to its first record.
    pub fn new(next_position: Position) -> RecordWriter {
        RecordWriter { next_position }
    }

    /// Requests that the host append a record. Returns the record's position.
    pub fn append(&mut self, record: &DiskRecord, outputs: &mut Vec<Output>) -> Position {
        outputs.push(Output::Write(orchidvalve_protocol::frames::encode(record)));
        self.next_position += 1;
        self.next_position - 1
    }

    /// Returns the position of the next record.
    pub fn next_position(&self) -> Position {
        self.next_position
    }
}
