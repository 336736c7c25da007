//! Detection of a disk that hangs or refuses writes.

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_wal::Position;

/// A disk counts as hanging when records have waited for it longer than this, in milliseconds. That is above the time that a
/// disk thirty times slower than usual takes for two consecutive syncs (2 x 150 ms), and far below the time within which an
/// operator's request has to be answered (`ack-ms`, 4,000 and more).
pub const DISK_HANG_MS: Milliseconds = 600;

/// Longest time between two observations that counts, in milliseconds: a process that was suspended does not know whether
/// its disk made progress.
const MAX_STEP_MS: Milliseconds = 150;

/// Measures how long records have waited without progress of the disk.
#[derive(Default, Debug)]
pub struct DiskHangDetector {
    stalled_ms: Milliseconds,
    durable_position: Position,
    observed_at: Milliseconds,
}

impl DiskHangDetector {
    /// Observes at time `now`, in milliseconds, that all records up to `durable_position` are durable, and whether later
    /// records are waiting. Returns whether the disk hangs or refuses writes.
    pub fn observe(&mut self, now: Milliseconds, durable_position: Position, has_pending: bool) -> bool {
        let step = now.saturating_sub(self.observed_at).min(MAX_STEP_MS);
        self.observed_at = now;
        let progressed = durable_position > self.durable_position;
        self.durable_position = durable_position;
        self.stalled_ms = if has_pending && !progressed { self.stalled_ms + step } else { 0 };
        self.stalled_ms >= DISK_HANG_MS
    }
}
