//! The control state after all committed changes, and after all changes in the log.

use orchidvalve_chain_replication::Sequence;
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_protocol::frames::decode;

use crate::replicated_log::ReplicatedLog;

/// The committed state and, at the head, the tentative state: the committed one with all entries of the log applied.
///
/// The committed state includes the changes up to `committed_through`. That is less than `applied` only until the
/// checkpoint that the log begins with is applied.
#[derive(Debug)]
pub(super) struct StateMachine {
    committed: ControlState,
    committed_through: Sequence,
    /// Committed changes up to this one are applied, or lie before the checkpoint that the log begins with.
    applied: Sequence,
    tentative: Option<ControlState>,
}

impl StateMachine {
    /// Creates an empty state machine for a log that begins at `first`.
    pub(super) fn starting_at(first: Sequence) -> StateMachine {
        StateMachine {
            committed: ControlState::default(),
            committed_through: 0,
            applied: first - 1,
            tentative: None,
        }
    }

    /// Returns the committed state.
    pub(super) fn committed(&self) -> &ControlState {
        &self.committed
    }

    /// Returns the number of the last change that the committed state includes.
    pub(super) fn committed_through(&self) -> Sequence {
        self.committed_through
    }

    /// Returns the number up to which committed changes are applied, or lie before the checkpoint that the log begins with.
    pub(super) fn applied(&self) -> Sequence {
        self.applied
    }

    /// Applies the next committed change. Returns whether it was a checkpoint.
    pub(super) fn apply_committed(&mut self, payload: &[u8]) -> bool {
        self.applied += 1;
        let is_checkpoint = apply(&mut self.committed, payload, self.applied);
        self.committed_through = self.applied;
        is_checkpoint
    }

    /// Prepares for a log that restarts at `start` with a checkpoint.
    pub(super) fn reset(&mut self, start: Sequence) {
        self.applied = start - 1;
        self.tentative = None;
    }

    /// Discards the tentative state, because entries of the log may have been replaced.
    pub(super) fn discard_tentative(&mut self) {
        self.tentative = None;
    }

    /// Returns the state with all entries of the log applied.
    pub(super) fn tentative(&mut self, log: &ReplicatedLog) -> &mut ControlState {
        let (committed, applied) = (&self.committed, self.applied);
        self.tentative.get_or_insert_with(|| {
            let mut tentative = committed.clone();
            for sequence in applied + 1..=log.end() {
                if let Some(entry) = log.get(sequence) {
                    apply(&mut tentative, &entry.payload, sequence);
                }
            }
            tentative
        })
    }
}

/// Applies an encoded change. Returns whether it was a checkpoint.
fn apply(state: &mut ControlState, payload: &[u8], sequence: Sequence) -> bool {
    let Some(change) = decode::<Change>(payload) else {
        log::error!("control: cannot decode change {sequence}; run the same version on all machines");
        return false;
    };
    if let Err(error) = state.apply(&change) {
        // Cannot happen, since the head checked the change against the same state. The state is unchanged.
        log::error!("control: change {sequence} is invalid: {error}");
    }
    matches!(change, Change::Checkpoint(_))
}
