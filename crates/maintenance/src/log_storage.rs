//! The log in memory, as read by the crate `raft`.

use std::collections::VecDeque;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::{RaftState, Storage};
use raft::{GetEntriesContext, StorageError};

/// The log in memory.
#[derive(Default)]
pub(crate) struct LogStorage {
    pub hard: HardState,
    pub conf: ConfState,
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without gaps.
    pub entries: VecDeque<Entry>,
}

impl LogStorage {
    /// Returns the index of the last entry that is included in the snapshot.
    pub fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Returns the index of the last entry.
    pub fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    /// Appends entries, which replace those from the index of the first one on. Returns the indices that no longer exist.
    pub fn append(&mut self, entries: &[Entry]) -> Vec<u64> {
        let Some(first) = entries.first().map(|e| e.index) else { return Vec::new() };
        let (keep, last) = (first.saturating_sub(self.base() + 1) as usize, self.last());
        self.entries.truncate(keep);
        self.entries.extend(entries.iter().cloned());
        (self.last() + 1..=last).collect()
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.base() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let from = (low - self.base() - 1) as usize;
        let count = high.saturating_sub(low) as usize;
        let mut found: Vec<Entry> = self.entries.iter().skip(from).take(count).cloned().collect();
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let fits = found.iter().position(|e| {
            size += u64::from(e.compute_size());
            size > most
        });
        found.truncate(fits.unwrap_or(found.len()).max(1));
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.base() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        let position = (index - self.base() - 1) as usize;
        self.entries.get(position).map(|e| e.term).ok_or(raft::Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, wanted: u64, _: u64) -> raft::Result<Snapshot> {
        if self.base() < wanted {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
