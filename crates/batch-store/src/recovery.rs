//! Recovery of partitions from the write-ahead log at the start of the process.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::{Entry, EpochRuns, RecoveredLog};
use orchidvalve_wal::{Position, Record};

use crate::memory_log::MemoryLog;
use crate::record::DiskRecord;

/// The position of a log start record, and that of the oldest record that it requires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogStartRecord {
    pub position: Position,
    pub oldest_needed: Position,
}

/// A partition recovered from the write-ahead log.
#[derive(Debug, Default)]
pub(crate) struct RecoveredPartition {
    pub log: MemoryLog,
    /// The epochs of the log's entries; `None` if no record about the log's beginning was read.
    runs: Option<EpochRuns>,
    /// Epoch of the latest view that was ever accepted.
    pub view_epoch: u64,
    /// The last log start record.
    pub log_start: Option<LogStartRecord>,
}

impl RecoveredPartition {
    /// Returns the state of the log in the form that chain replication needs.
    pub fn state(&self) -> RecoveredLog {
        let Some(runs) = &self.runs else { return RecoveredLog::default() };
        RecoveredLog {
            first: runs.first(),
            end: runs.end(),
            committed: runs.first() - 1,
            runs: runs.runs().to_vec(),
        }
    }

    fn append(&mut self, entry: Entry, position: Position) {
        let runs =
            self.runs.get_or_insert_with(|| EpochRuns::new(entry.sequence, entry.sequence - 1, Vec::new()));
        if runs.end() + 1 != entry.sequence {
            // The records in between were released. A later record states where the log starts.
            *runs = EpochRuns::new(entry.sequence, entry.sequence - 1, Vec::new());
            self.log.clear();
        }
        runs.append(entry.epoch);
        self.log.push(entry, position);
    }

    fn truncate(&mut self, after: u64) {
        let Some(runs) = &mut self.runs else { return };
        if after + 1 < runs.first() {
            self.runs = None;
            self.log.clear();
        } else {
            runs.truncate(after);
            self.log.truncate(after);
        }
    }

    fn reset(&mut self, start: u64, previous_epoch: u64) {
        let mut runs = EpochRuns::new(start, start - 1, Vec::new());
        runs.reset(start, previous_epoch);
        self.runs = Some(runs);
        self.log.clear();
    }

    fn start_at(&mut self, first: u64, previous_epoch: u64, view_epoch: u64, position: Position) {
        self.view_epoch = self.view_epoch.max(view_epoch);
        match &mut self.runs {
            Some(runs) if runs.first() <= first && first <= runs.end() + 1 => {
                runs.trim(first);
                self.log.trim(first);
            }
            _ => self.reset(first, previous_epoch),
        }
        let oldest = self.log.oldest_position().unwrap_or(position);
        self.log_start = Some(LogStartRecord { position, oldest_needed: oldest.min(position) });
    }
}

/// The result of replaying the write-ahead log.
#[derive(Debug, Default)]
pub(crate) struct RecoveredRecords {
    pub partitions: BTreeMap<u16, RecoveredPartition>,
    /// Number of records that cannot be decoded because another version wrote them.
    pub unreadable: usize,
}

/// Replays the records of the write-ahead log, which must be in order.
pub(crate) fn replay(records: impl IntoIterator<Item = Record>) -> RecoveredRecords {
    let mut partitions: BTreeMap<u16, RecoveredPartition> = BTreeMap::new();
    let mut unreadable = 0;
    for Record { position, payload } in records {
        let decoded = orchidvalve_protocol::frames::decode::<DiskRecord>(&payload);
        let Some(record) = decoded.filter(DiskRecord::is_valid) else {
            log::error!("store: record {position} cannot be decoded: another version wrote it");
            unreadable += 1;
            continue;
        };
        match record {
            DiskRecord::Append { partition, entry } => {
                partitions.entry(partition).or_default().append(entry, position);
            }
            DiskRecord::Truncate { partition, after } => {
                partitions.entry(partition).or_default().truncate(after);
            }
            DiskRecord::Reset { partition, start, previous_epoch } => {
                partitions.entry(partition).or_default().reset(start, previous_epoch);
            }
            DiskRecord::LogStart { partition, first, previous_epoch, view_epoch } => {
                let recovered = partitions.entry(partition).or_default();
                recovered.start_at(first, previous_epoch, view_epoch, position);
            }
        }
    }
    RecoveredRecords { partitions, unreadable }
}
