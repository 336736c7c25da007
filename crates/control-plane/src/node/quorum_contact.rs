//! The last time at which this node was certain that a quorum is in its view.
//!
//! Only responses to pings give this certainty. A view learned from other nodes may be an old one that arrives late, so it
//! says nothing about a quorum.

use orchidvalve_chain_replication::Milliseconds;

/// A quorum counts as lost when its last confirmation is older than this, in milliseconds.
pub const QUORUM_TIMEOUT_MS: Milliseconds = 1_200;

/// The last confirmation of a quorum, which is kept across changes of views; the agreement itself forgets it with each
/// view.
#[derive(Default, Debug)]
pub(super) struct QuorumContact {
    /// When a quorum was last confirmed, in the current view or an earlier one.
    last_confirmed_at: Option<Milliseconds>,
}

impl QuorumContact {
    /// Notes the last confirmation in the agreement's current view.
    pub(super) fn note_confirmed(&mut self, confirmed_at: Option<Milliseconds>) {
        self.last_confirmed_at = self.last_confirmed_at.max(confirmed_at);
    }

    /// Returns whether a quorum was confirmed recently; `confirmed_at` is the agreement's last confirmation.
    ///
    /// A confirmation in an earlier view counts until pings of the new epoch are answered. Nothing is confirmed while a view
    /// is being decided, because acceptors of the next view do not confirm the former one. Subscribers are not redirected
    /// meanwhile.
    pub(super) fn is_recent(&self, confirmed_at: Option<Milliseconds>, now: Milliseconds) -> bool {
        let latest = confirmed_at.max(self.last_confirmed_at);
        latest.is_some_and(|at| now < at + QUORUM_TIMEOUT_MS)
    }
}
