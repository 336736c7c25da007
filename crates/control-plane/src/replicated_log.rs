//! This node's copy of the replicated log in memory, with the positions of its entries on the disk.

use std::collections::VecDeque;
use std::rc::Rc;

use orchidvalve_chain_replication::{Entry, Epoch, EpochRun, LogReader, RecoveredLog, Sequence};
use orchidvalve_wal::Position;

/// An entry and its position on the disk.
#[derive(Debug)]
struct StoredEntry {
    entry: Entry,
    /// Position of the entry's record on the disk.
    disk_position: Position,
}

/// The entries held in memory: a contiguous run of sequence numbers, which begins with the latest checkpoint once there is
/// one.
#[derive(Debug)]
pub struct ReplicatedLog {
    first: Sequence,
    previous_epoch: Epoch,
    entries: VecDeque<StoredEntry>,
    payload_bytes: usize,
}

impl Default for ReplicatedLog {
    fn default() -> ReplicatedLog {
        ReplicatedLog { first: 1, previous_epoch: 0, entries: VecDeque::new(), payload_bytes: 0 }
    }
}

impl ReplicatedLog {
    /// Returns the lowest sequence number held, or that of the next entry if the log is empty.
    pub fn first(&self) -> Sequence {
        self.first
    }

    /// Returns the highest sequence number held, or the one before [`ReplicatedLog::first`] if the log is empty.
    pub fn end(&self) -> Sequence {
        self.first + self.entries.len() as u64 - 1
    }

    /// Returns whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Appends the next entry, whose record is at `disk_position`.
    pub fn append(&mut self, entry: Entry, disk_position: Position) {
        debug_assert_eq!(entry.sequence, self.end() + 1);
        self.payload_bytes += entry.payload.len();
        self.entries.push_back(StoredEntry { entry, disk_position });
    }

    /// Removes the entries after `after`.
    pub fn truncate(&mut self, after: Sequence) {
        let kept = (after + 1).saturating_sub(self.first) as usize;
        for removed in self.entries.drain(kept.min(self.entries.len())..) {
            self.payload_bytes -= removed.entry.payload.len();
        }
    }

    /// Removes all entries: the next one is `start`, and the one before it belongs to `previous_epoch`.
    pub fn reset(&mut self, start: Sequence, previous_epoch: Epoch) {
        self.entries.clear();
        self.payload_bytes = 0;
        self.first = start;
        self.previous_epoch = previous_epoch;
    }

    /// Removes the entries before `first`, but remembers the epoch of the last one removed.
    pub fn compact(&mut self, first: Sequence) {
        while self.first < first {
            let Some(StoredEntry { entry, .. }) = self.entries.pop_front() else { return };
            self.payload_bytes -= entry.payload.len();
            self.previous_epoch = entry.epoch;
            self.first += 1;
        }
    }

    /// Makes the log begin at `first`, after an entry of `previous_epoch`, even if entries before `first` are missing.
    pub(crate) fn compact_or_reset(&mut self, first: Sequence, previous_epoch: Epoch) {
        if self.end() + 1 < first || self.is_empty() {
            self.reset(first, previous_epoch);
        } else {
            self.compact(first);
        }
        if self.first == first {
            self.previous_epoch = previous_epoch;
        }
    }

    /// Returns the entry with this sequence number, if it is held.
    pub fn get(&self, sequence: Sequence) -> Option<&Entry> {
        let index = sequence.checked_sub(self.first)? as usize;
        self.entries.get(index).map(|stored| &stored.entry)
    }

    /// Returns the position on the disk of the oldest entry held.
    pub fn oldest_disk_position(&self) -> Option<Position> {
        self.entries.front().map(|oldest| oldest.disk_position)
    }

    /// Returns the position on the disk of the entry with this sequence number.
    pub fn disk_position(&self, sequence: Sequence) -> Option<Position> {
        let index = sequence.checked_sub(self.first)? as usize;
        self.entries.get(index).map(|stored| stored.disk_position)
    }

    /// Returns the highest sequence number whose record is at or before `durable_position`.
    pub fn durable_through(&self, durable_position: Position) -> Sequence {
        let durable = self.entries.partition_point(|stored| stored.disk_position <= durable_position);
        self.first + durable as u64 - 1
    }

    /// Returns the payload bytes of all entries held.
    pub fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    /// Returns the payload bytes of the checkpoint that the log begins with; 0 before the first checkpoint.
    pub fn checkpoint_bytes(&self) -> usize {
        let first = self.entries.front().filter(|_| self.first > 1);
        first.map_or(0, |checkpoint| checkpoint.entry.payload.len())
    }

    /// Returns the payload bytes of all entries except that checkpoint.
    pub fn bytes_after_checkpoint(&self) -> usize {
        self.payload_bytes - self.checkpoint_bytes()
    }

    /// Returns the epoch of the entry before the first one held; 0 if unknown.
    pub fn previous_epoch(&self) -> Epoch {
        self.previous_epoch
    }

    /// Returns the state of the log with which chain replication starts.
    pub fn state(&self) -> RecoveredLog {
        let mut runs: Vec<EpochRun> = Vec::new();
        if self.first > 1 && self.previous_epoch > 0 {
            runs.push(EpochRun { epoch: self.previous_epoch, first: self.first - 1 });
        }
        for StoredEntry { entry, .. } in &self.entries {
            if runs.last().is_none_or(|run| run.epoch != entry.epoch) {
                runs.push(EpochRun { epoch: entry.epoch, first: entry.sequence });
            }
        }
        RecoveredLog { first: self.first, end: self.end(), committed: self.first - 1, runs }
    }
}

impl LogReader for ReplicatedLog {
    fn read(&self, from: Sequence, through: Sequence, max_bytes: usize, entries: &mut Vec<Entry>) {
        let mut bytes = 0;
        for sequence in from..=through {
            let Some(entry) = self.get(sequence) else { return };
            if bytes > 0 && bytes + entry.payload.len() > max_bytes {
                return;
            }
            bytes += entry.payload.len();
            entries.push(Entry { payload: Rc::clone(&entry.payload), ..entry.clone() });
        }
    }
}
