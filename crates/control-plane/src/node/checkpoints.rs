//! Decides when the head writes a checkpoint, and to which checkpoint the log may be compacted.

use orchidvalve_chain_replication::Sequence;

use crate::replicated_log::ReplicatedLog;

/// The head writes a checkpoint when the payload bytes after the latest one exceed this or, if larger, the size of that
/// checkpoint. So checkpoints make up at most half of what is written, and the log takes at most four times the size of the
/// state, apart from uncommitted entries.
const CHECKPOINT_BYTES: usize = 2 << 20;
/// The head writes a checkpoint when the log has more entries than this.
const CHECKPOINT_ENTRIES: u64 = 4_096;

/// The latest checkpoints. At most one checkpoint is proposed and uncommitted at a time.
#[derive(Default, Debug)]
pub(super) struct Checkpoints {
    /// Latest checkpoint that was applied and to which the log was not compacted yet.
    applied: Option<Sequence>,
    /// Latest checkpoint that this node proposed as the head of the current view; 0 for none.
    proposed: Sequence,
}

impl Checkpoints {
    /// Returns whether the head has to write a checkpoint now.
    pub(super) fn is_due(&self, log: &ReplicatedLog, applied: Sequence) -> bool {
        let entries = log.end() + 1 - log.first();
        let max_bytes = CHECKPOINT_BYTES.max(log.checkpoint_bytes());
        let is_long = log.bytes_after_checkpoint() > max_bytes || entries > CHECKPOINT_ENTRIES;
        let is_uncommitted = applied < self.proposed;
        is_long && !is_uncommitted
    }

    /// Records that this node has proposed a checkpoint.
    pub(super) fn set_proposed(&mut self, sequence: Sequence) {
        self.proposed = sequence;
    }

    /// Forgets the proposed checkpoint, which may be lost in the new view.
    pub(super) fn view_changed(&mut self) {
        self.proposed = 0;
    }

    /// Records that a committed checkpoint was applied.
    pub(super) fn set_applied(&mut self, sequence: Sequence) {
        self.applied = Some(sequence);
    }

    /// Takes the checkpoint to which the log has to be compacted, if there is one.
    pub(super) fn take_compaction_point(&mut self, log: &ReplicatedLog) -> Option<Sequence> {
        self.applied.take().filter(|sequence| *sequence > log.first())
    }
}
