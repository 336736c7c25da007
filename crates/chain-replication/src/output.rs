//! The outputs of a replica.

use derive_more::{Display, Error};
use orchidvalve_protocol::identity::MemberId;

use crate::entry::Entry;
use crate::message::Message;
use crate::sequence::{BarrierId, Epoch, Sequence};

/// An action for the host, or an event. The host applies outputs in order, before the next input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Append the entry to the in-memory log now, write it to disk and call [`crate::Replica::entries_durable`] when
    /// the write is durable.
    Append(Entry),
    /// Discard the last entries of the log. Pending writes of these entries must not be reported as durable.
    Truncate {
        /// Sequence of the last entry that is kept.
        after: Sequence,
    },
    /// Discard the complete log and restart it at `start`. All entries before `start` count as committed.
    Reset {
        /// Sequence of the next entry.
        start: Sequence,
        /// Epoch of the entry before `start`; 0 if unknown.
        previous_epoch: Epoch,
    },
    /// Send the message, or drop it if there is no link to the receiver.
    Send {
        /// The member that the message is for.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// Further entries are committed.
    Committed {
        /// Sequence of the last committed entry.
        through: Sequence,
    },
    /// Everything committed in earlier views is on this member's disk: it may be the head of the next view.
    Synchronized {
        /// Epoch of the current view.
        epoch: Epoch,
    },
    /// At the tail: the learner has acknowledged every entry that is durable at the tail.
    LearnerCaughtUp {
        /// The learner.
        member: MemberId,
        /// Epoch of the current view.
        epoch: Epoch,
    },
    /// The view was current at all members after the barrier began.
    Confirmed {
        /// Number of the barrier, as assigned by the host.
        barrier: BarrierId,
        /// Highest sequence committed here; a read after the barrier must see all entries up to it.
        committed: Sequence,
    },
    /// The replica rejected a message that would violate a guarantee. The host logs it as an error.
    Refused(Violation),
}

/// The guarantee that a message of the predecessor would violate.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Violation {
    /// The predecessor's log contradicts an entry that is known to be committed.
    #[display(
        "chain: entry {sequence} of epoch {epoch} from {from} contradicts a committed entry; take {from} out of \
         service and compare its data directory before it is used again"
    )]
    CommittedEntry {
        /// The predecessor.
        from: MemberId,
        /// Sequence of the entry that it sent.
        sequence: Sequence,
        /// Epoch of the entry that it sent.
        epoch: Epoch,
    },
    /// The predecessor's log contradicts an entry that it sent earlier in this epoch.
    #[display(
        "chain: entry {sequence} of epoch {epoch} from {from} contradicts one sent before; check that no two \
         processes use the data directory of {from}"
    )]
    MatchedEntry {
        /// The predecessor.
        from: MemberId,
        /// Sequence of the entry that it sent.
        sequence: Sequence,
        /// Epoch of the entry that it sent.
        epoch: Epoch,
    },
}
