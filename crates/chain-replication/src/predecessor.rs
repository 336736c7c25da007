//! The state of a replica towards its predecessor.

use crate::limits::{Milliseconds, RESEND_MS};
use crate::sequence::{PositionId, Sequence};

/// State of the replication from the predecessor in the current view.
#[derive(Debug, Default)]
pub(crate) struct Predecessor {
    /// Highest sequence up to which the log is known to equal the head's.
    pub matched: Sequence,
    /// End of the head's log when it entered the view: every entry committed in earlier views is at or below it.
    pub epoch_base: Option<Sequence>,
    /// Whether everything up to `epoch_base` is durable here, and was reported as such.
    pub synchronized: bool,
    /// Id of the last position sent.
    pub position_id: PositionId,
    /// When the last position was sent.
    pub sent_at: Milliseconds,
    /// Whether a reply to the last position is awaited.
    pub awaiting: bool,
    /// Highest sequence acknowledged in this view.
    pub acknowledged: Option<Sequence>,
    /// Highest sequence that is committed at the predecessor. It is committed here once the entries are durable.
    pub committed: Sequence,
}

impl Predecessor {
    pub fn new(matched: Sequence, epoch_base: Option<Sequence>, position_id: PositionId) -> Predecessor {
        Predecessor { matched, epoch_base, position_id, ..Predecessor::default() }
    }

    /// Updates `epoch_base` with the value that the predecessor knows; returns whether it changed. A head that
    /// restarted in its epoch may know a lower one. The lower value is kept: each is an upper bound of the entries
    /// committed in earlier views.
    pub fn learn_epoch_base(&mut self, epoch_base: Option<Sequence>) -> bool {
        let learned = match (self.epoch_base, epoch_base) {
            (Some(known), Some(received)) => Some(known.min(received)),
            (known, received) => known.or(received),
        };
        std::mem::replace(&mut self.epoch_base, learned) != learned
    }

    /// Returns whether the position must be sent again.
    pub fn is_overdue(&self, now: Milliseconds) -> bool {
        (self.awaiting || self.epoch_base.is_none()) && now.saturating_sub(self.sent_at) >= RESEND_MS
    }
}
