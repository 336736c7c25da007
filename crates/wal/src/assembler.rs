//! Assembles records from the fragments of all files, in the order in which they were written.

use crate::format::{FragmentHeader, Position};
use crate::recovery::Record;

/// A location in the sequence of records: the position of a record and an offset in that record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Cursor {
    position: Position,
    offset: u32,
}

/// Whether a fragment belongs to the log.
pub(crate) enum FragmentStatus {
    Accepted,
    /// Left over from an earlier use of the file: the valid fragments end before it.
    Stale,
    /// Records that are still needed are missing before it.
    Gap,
}

/// The records assembled so far.
#[derive(Default)]
pub(crate) struct Assembler {
    pub released_before: Position,
    pub durable_through: Position,
    /// Where the next fragment must begin; position 0 before the first.
    expected: Cursor,
    /// The beginning of a record whose end has not been read yet.
    partial: Vec<u8>,
    /// Whether the beginning of the current record was in a file that has been reused.
    start_is_missing: bool,
    records: Vec<Record>,
}

impl Assembler {
    pub fn new(released_before: Position, durable_through: Position) -> Self {
        Self { released_before, durable_through, ..Self::default() }
    }

    /// Returns the position of the record that the next fragment belongs to; 0 before the first.
    pub fn next_position(&self) -> Position {
        self.expected.position
    }

    /// Returns the records that are still needed.
    pub fn into_records(mut self) -> Vec<Record> {
        self.records.retain(|record| record.position >= self.released_before);
        self.records
    }

    /// Adds the next fragment of a file. `after_marker` is set for the first one of a file and after a sync marker.
    pub fn accept(&mut self, header: &FragmentHeader, payload: &[u8], after_marker: bool) -> FragmentStatus {
        let cursor = Cursor { position: header.position, offset: header.offset };
        if self.expected.position == 0 {
            self.restart_at(cursor);
        } else if cursor < self.expected && after_marker {
            self.rewind_to(cursor);
        } else if cursor > self.expected && after_marker {
            let first_needed = cursor.position + u64::from(cursor.offset > 0);
            if first_needed > self.released_before {
                return FragmentStatus::Gap;
            }
            self.restart_at(cursor);
        } else if cursor != self.expected {
            return FragmentStatus::Stale;
        }
        self.append(header, payload);
        FragmentStatus::Accepted
    }

    /// Restarts the sequence at `cursor`, because the records before it are no longer needed.
    fn restart_at(&mut self, cursor: Cursor) {
        self.records.clear();
        self.partial.clear();
        self.start_is_missing = cursor.offset > 0;
    }

    /// Drops everything from `cursor` on, because it was written again.
    fn rewind_to(&mut self, cursor: Cursor) {
        if cursor.position < self.expected.position {
            self.partial.clear();
            self.start_is_missing = cursor.offset > 0;
        }
        while self.records.last().is_some_and(|record| record.position >= cursor.position) {
            let Some(record) = self.records.pop() else { break };
            if record.position == cursor.position {
                self.start_is_missing = false;
                self.partial = record.payload;
            }
        }
        self.partial.truncate(cursor.offset as usize);
        if cursor.offset == 0 {
            self.start_is_missing = false;
        }
    }

    /// Appends a fragment that continues where the previous one ended.
    fn append(&mut self, header: &FragmentHeader, payload: &[u8]) {
        let end = header.offset + header.length;
        if !self.start_is_missing {
            self.partial.extend_from_slice(payload);
        }
        if end < header.total {
            self.expected = Cursor { position: header.position, offset: end };
            return;
        }
        let payload = std::mem::take(&mut self.partial);
        if !self.start_is_missing {
            self.records.push(Record { position: header.position, payload });
        }
        self.start_is_missing = false;
        self.expected = Cursor { position: header.position + 1, offset: 0 };
    }
}
