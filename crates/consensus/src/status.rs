//! The status that a member reports, and the health that others derive from it.

use musli::{Decode, Encode};

use crate::timing::Milliseconds;

/// The status that a member reports in each `Pong`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberStatus {
    /// The member holds every entry acknowledged up to the epoch of the message.
    pub caught_up: bool,
    /// The next view may be decided without this member knowing it: it has accepted one, or the latest view it knows is
    /// not on its disk yet.
    pub unsettled: bool,
    /// Every member of the chain of that epoch has replied to this member's pings in time.
    pub reaches_chain: bool,
    /// The member is about to shut down as planned and needs to be replaced.
    pub leaving: bool,
    /// Writes of this member hang or fail.
    pub impaired: bool,
}

/// The health of a member as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The member replies in time and most recently reported this status.
    Alive(MemberStatus),
    /// The member has not been pinged for long enough to decide.
    Unknown,
    /// No reply for longer than [`FAILURE_TIMEOUT`](crate::timing::FAILURE_TIMEOUT).
    Dead {
        /// Time since the timeout expired, in milliseconds.
        duration: Milliseconds,
    },
}

impl Health {
    /// Returns true if the member replies in time.
    pub fn is_alive(self) -> bool {
        matches!(self, Health::Alive(_))
    }

    /// Returns true if the member has not replied for longer than the timeout.
    pub fn is_dead(self) -> bool {
        matches!(self, Health::Dead { .. })
    }

    /// Returns true if the member replies and can write, so that its vote counts.
    pub fn can_vote(self) -> bool {
        matches!(self, Health::Alive(status) if !status.impaired)
    }

    /// Returns true if the member cannot take part in acknowledgements: it is dead, or its writes hang or fail.
    pub fn is_lost(self) -> bool {
        match self {
            Health::Alive(status) => status.impaired,
            Health::Unknown => false,
            Health::Dead { .. } => true,
        }
    }

    /// Returns true if the member holds every acknowledged entry and can write, so that the chain may rely on it.
    pub fn is_ready(self) -> bool {
        matches!(self, Health::Alive(status) if status.caught_up && !status.impaired)
    }

    /// Returns true if the member is alive and about to shut down as planned.
    pub fn is_leaving(self) -> bool {
        matches!(self, Health::Alive(status) if status.leaving)
    }

    /// Returns true if the member may become a member of the chain, now or once it is ready.
    pub fn may_serve(self) -> bool {
        matches!(self, Health::Alive(status) if !status.impaired && !status.leaving)
    }

    /// Returns true if the member may join the chain now.
    pub fn may_join(self) -> bool {
        self.may_serve() && self.can_join()
    }

    /// Like [`Health::may_join`], but also true for a leaving member.
    pub fn can_join(self) -> bool {
        self.is_ready() && matches!(self, Health::Alive(status) if status.reaches_chain)
    }
}
