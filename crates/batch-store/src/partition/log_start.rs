//! Records that state from which entry on a partition's log is needed.

use std::collections::VecDeque;

use orchidvalve_wal::Position;

use crate::effect::Sinks;
use crate::partition::Partition;
use crate::record::DiskRecord;
use crate::record_writer::RecordWriter;
use crate::recovery::LogStartRecord;

/// A log start record that keeps older records from being released is rewritten after this many further records.
const REWRITE_AFTER_RECORDS: u64 = 1_000;

/// The log start records: the latest durable one, followed by those that are not durable yet.
#[derive(Debug)]
pub(super) struct LogStartRecords {
    records: VecDeque<LogStartRecord>,
}

impl LogStartRecords {
    /// Starts with the record recovered from disk, if any.
    pub fn new(recovered: Option<LogStartRecord>) -> LogStartRecords {
        LogStartRecords { records: recovered.into_iter().collect() }
    }

    fn push(&mut self, record: LogStartRecord) {
        self.records.push_back(record);
    }

    /// Called when the records up to and including `position` are durable. Forgets log start records that a later
    /// durable one supersedes.
    pub fn durable(&mut self, position: Position) {
        while self.records.get(1).is_some_and(|record| record.position <= position) {
            self.records.pop_front();
        }
    }

    /// Returns the position of the oldest record that is needed on disk; `u64::MAX` if no log start record was written.
    fn oldest_needed(&self) -> Position {
        self.records.front().map_or(u64::MAX, |record| record.oldest_needed)
    }

    /// Returns whether records cannot be released only because the latest log start record is old. `oldest_entry` is
    /// the position of the oldest log entry.
    fn is_outdated(&self, oldest_entry: Position, writer: &RecordWriter) -> bool {
        self.records.back().is_some_and(|record| {
            record.oldest_needed < oldest_entry
                && record.position + REWRITE_AFTER_RECORDS < writer.next_position()
        })
    }
}

impl Partition {
    /// Writes a log start record with the first needed entry and the latest view. Returns the record's position.
    pub(super) fn write_log_start(&mut self, sinks: &mut Sinks<'_>) -> u64 {
        let first = self.replica.first();
        let record = DiskRecord::LogStart {
            partition: self.number,
            first,
            previous_epoch: self.replica.epoch_at(first - 1).unwrap_or(0),
            view_epoch: self.view_epoch,
        };
        let position = sinks.records.append(&record, sinks.outputs);
        let oldest = self.log.oldest_position().unwrap_or(position);
        self.log_starts.push(LogStartRecord { position, oldest_needed: oldest.min(position) });
        position
    }

    /// Drops the jobs and entries that are no longer needed. Returns the position of the oldest record needed on disk.
    pub fn release(&mut self, wall_ms: u64, retention_ms: u64, sinks: &mut Sinks<'_>) -> u64 {
        self.jobs.remove_expired(wall_ms, retention_ms);
        let needed = self.jobs.oldest_needed_sequence().unwrap_or(u64::MAX);
        let first = needed.min(self.replica.committed() + 1);
        let trims = first > self.replica.first();
        if trims {
            self.replica.trimmed(first);
            self.log.trim(first);
        }
        let oldest_entry = self.log.oldest_position().unwrap_or(u64::MAX);
        if trims || self.log_starts.is_outdated(oldest_entry, sinks.records) {
            self.write_log_start(sinks);
        }
        self.log_starts.oldest_needed()
    }
}
