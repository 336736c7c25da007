//! In-memory copy of a partition's log.

use std::collections::VecDeque;

use orchidvalve_chain_replication::{Entry, LogReader};
use orchidvalve_wal::Position;

/// An entry and the position of its record on disk.
#[derive(Debug)]
struct StoredEntry {
    entry: Entry,
    /// Position of the entry's record.
    position: Position,
}

/// A contiguous range of log entries.
#[derive(Debug, Default)]
pub(crate) struct MemoryLog {
    entries: VecDeque<StoredEntry>,
    bytes: usize,
}

impl MemoryLog {
    /// Appends an entry; `position` is that of its record.
    pub fn push(&mut self, entry: Entry, position: Position) {
        self.bytes += entry.payload.len();
        self.entries.push_back(StoredEntry { entry, position });
    }

    /// Removes the entries after sequence number `after`.
    pub fn truncate(&mut self, after: u64) {
        while let Some(dropped) = self.entries.pop_back_if(|last| last.entry.sequence > after) {
            self.bytes -= dropped.entry.payload.len();
        }
    }

    /// Removes the entries before sequence number `first`.
    pub fn trim(&mut self, first: u64) {
        while let Some(dropped) = self.entries.pop_front_if(|oldest| oldest.entry.sequence < first) {
            self.bytes -= dropped.entry.payload.len();
        }
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns the total size of all payloads in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the disk position of the oldest entry's record.
    pub fn oldest_position(&self) -> Option<Position> {
        self.entries.front().map(|oldest| oldest.position)
    }

    /// Returns the entry with this sequence number.
    pub fn get(&self, sequence: u64) -> Option<&Entry> {
        let index = sequence.checked_sub(self.entries.front()?.entry.sequence)?;
        self.entries.get(index as usize).map(|stored| &stored.entry)
    }

    /// Iterates over all entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().map(|stored| &stored.entry)
    }
}

impl LogReader for MemoryLog {
    fn read(&self, from: u64, through: u64, max_bytes: usize, entries: &mut Vec<Entry>) {
        let mut bytes = 0;
        for sequence in from..=through {
            let Some(entry) = self.get(sequence) else { return };
            bytes += entry.payload.len();
            if bytes > max_bytes && !entries.is_empty() {
                return;
            }
            entries.push(entry.clone());
        }
    }
}
