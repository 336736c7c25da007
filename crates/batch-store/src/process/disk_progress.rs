//! Tracks the progress of writes to disk and detects an unresponsive disk.

use orchidvalve_wal::Position;

/// A write that takes longer than this counts as a disk failure, in milliseconds.
const SLOW_WRITE_MS: u64 = 1_000;

/// The progress of the write-ahead log. Times are those of the monotonic clock, in milliseconds.
pub(super) struct DiskProgress {
    durable_through: u64,
    /// The later of the time at which the durable position last rose and that of the first write after an idle period.
    since: u64,
}

impl DiskProgress {
    /// Starts with nothing durable.
    pub fn new(now: u64) -> DiskProgress {
        DiskProgress { durable_through: 0, since: now }
    }

    /// Records that a record is about to be written at `next_position`.
    pub fn before_write(&mut self, next_position: Position, now: u64) {
        if next_position == self.durable_through + 1 {
            self.since = now;
        }
    }

    /// Records that the log is durable up to and including `durable_through`. Returns whether this position has risen.
    pub fn advance(&mut self, durable_through: u64, now: u64) -> bool {
        let has_risen = durable_through > self.durable_through;
        if has_risen {
            self.durable_through = durable_through;
            self.since = now;
        }
        has_risen
    }

    /// Returns whether a write takes too long; `next_position` is the position of the next record.
    pub fn is_unresponsive(&self, next_position: Position, now: u64) -> bool {
        let is_writing = next_position > self.durable_through + 1;
        is_writing && now > self.since + SLOW_WRITE_MS
    }
}
