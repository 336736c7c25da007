//! When this node was last sure that a quorum is in its view.
//!
//! Only answers to pings make it sure: a view that is learned from others may be an old one that comes late, so learning
//! it says nothing of the quorum.

use orchidvalve_chain_replication::Milliseconds;

/// A quorum that was confirmed longer ago than this is no longer relied on, in milliseconds.
pub const QUORUM_TIMEOUT_MS: Milliseconds = 1_200;

/// The latest time that counts as a confirmation beside those of the agreement itself, which forgets them with each
/// view.
#[derive(Default, Debug)]
pub(super) struct QuorumContact {
    /// When a quorum was last confirmed, in the view in force or an earlier one.
    last_confirmed_at: Option<Milliseconds>,
}

impl QuorumContact {
    /// Notes what the agreement says of the view that it is in.
    pub(super) fn note_confirmed(&mut self, confirmed_at: Option<Milliseconds>) {
        self.last_confirmed_at = self.last_confirmed_at.max(confirmed_at);
    }

    /// Whether a quorum was confirmed a moment ago; `confirmed_at` is what the agreement says now.
    ///
    /// What was confirmed in the view before counts while a view is decided, when nothing is confirmed by those that
    /// have accepted the next, and until pings of the new epoch are answered: subscribers aren't redirected meanwhile.
    pub(super) fn is_recent(&self, confirmed_at: Option<Milliseconds>, now: Milliseconds) -> bool {
        let latest = confirmed_at.max(self.last_confirmed_at);
        latest.is_some_and(|at| now < at + QUORUM_TIMEOUT_MS)
    }
}
