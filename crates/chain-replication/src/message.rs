//! Messages between the replicas of one chain.

use musli::{Decode, Encode};

use crate::entry::Entry;
use crate::epoch_runs::EpochRun;
use crate::sequence::{Epoch, PositionId, RoundNumber, Sequence};

/// A message between two replicas. The receiver drops it if its epoch differs from that of the receiver's current view.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// To the predecessor (from a learner: to the tail): the position of the sender's log.
    Position {
        /// Epoch of the current view.
        epoch: Epoch,
        /// Distinguishes this position from earlier ones.
        position_id: PositionId,
        /// Lowest sequence held.
        first: Sequence,
        /// Epochs of the entries held.
        runs: Vec<EpochRun>,
        /// Highest sequence held.
        end: Sequence,
    },
    /// To the successor or a learner: requests its position. Sent by a member that enters a view, because it has
    /// dropped any position that arrived earlier.
    Locate {
        /// Epoch of the current view.
        epoch: Epoch,
    },
    /// To the successor or a learner: the entries after `previous_sequence`, all of them on the sender's disk.
    Entries {
        /// Epoch of the current view.
        epoch: Epoch,
        /// The latest position that the sender has handled. Entries sent by an earlier run of the sender carry another
        /// value and therefore do not count as a reply to the receiver's position.
        position_id: PositionId,
        /// Sequence of the entry before the ones sent.
        previous_sequence: Sequence,
        /// Epoch of that entry. The receiver's log must have an entry of this epoch there, too.
        previous_epoch: Epoch,
        /// The entries; empty in a probe.
        entries: Vec<Entry>,
        /// Highest sequence that the sender knows to be committed.
        committed: Sequence,
        /// End of the head's log when the head entered the view, if the sender knows it.
        epoch_base: Option<Sequence>,
    },
    /// To the predecessor (from a learner: to the tail): all members from the sender to the tail have the entries up to
    /// `sequence` on their disks.
    Acknowledge {
        /// Epoch of the current view.
        epoch: Epoch,
        /// Highest acknowledged sequence.
        sequence: Sequence,
    },
    /// To the successor or a learner: the sender no longer holds the entries before `start`; the log starts there.
    Reset {
        /// Epoch of the current view.
        epoch: Epoch,
        /// The position that this message replies to.
        position_id: PositionId,
        /// Lowest sequence held.
        start: Sequence,
        /// Epoch of the entry before `start`; 0 if unknown.
        previous_epoch: Epoch,
    },
    /// To every other member: requests confirmation that this view is current at the receiver.
    Confirm {
        /// Epoch of the current view.
        epoch: Epoch,
        /// Number of the sender's round of confirmations.
        round: RoundNumber,
    },
    /// Reply to `Confirm`, sent only if the view is current at the sender.
    Confirmed {
        /// Epoch of the current view.
        epoch: Epoch,
        /// Round of the `Confirm`.
        round: RoundNumber,
        /// The sequence that must be applied before the read.
        committed: Sequence,
    },
}

impl Message {
    /// Returns the epoch of the view that the message belongs to.
    pub fn epoch(&self) -> Epoch {
        match self {
            Message::Position { epoch, .. }
            | Message::Locate { epoch }
            | Message::Entries { epoch, .. }
            | Message::Acknowledge { epoch, .. }
            | Message::Reset { epoch, .. }
            | Message::Confirm { epoch, .. }
            | Message::Confirmed { epoch, .. } => *epoch,
        }
    }
}
