//! The decided membership of a chain.

use musli::{Decode, Encode};
use orchidvalve_protocol::identity::MemberId;

use crate::sequence::Epoch;

/// The membership of a chain in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ChainView {
    /// Number of the view; a higher one replaces a lower one. Zero means that no view is known yet.
    pub epoch: Epoch,
    /// Members in chain order, head first, tail last.
    pub members: Vec<MemberId>,
    /// Future members: the tail fills their logs, and no acknowledgement waits for them.
    pub learners: Vec<MemberId>,
    /// Number of durable copies that an acknowledgement requires. A shorter chain commits nothing.
    pub minimum: usize,
}

impl ChainView {
    /// Returns the first member, which numbers the entries.
    pub fn head(&self) -> Option<MemberId> {
        self.members.first().copied()
    }

    /// Returns the last member; every entry on its disk is on the disks of all members.
    pub fn tail(&self) -> Option<MemberId> {
        self.members.last().copied()
    }

    /// Returns whether `member` is in the chain.
    pub fn is_member(&self, member: MemberId) -> bool {
        self.members.contains(&member)
    }

    /// Returns the member that sends entries to `member`: its neighbour in the chain, or the tail for a learner.
    pub fn predecessor(&self, member: MemberId) -> Option<MemberId> {
        match self.members.iter().position(|&other| other == member) {
            Some(0) => None,
            Some(position) => Some(self.members[position - 1]),
            None if self.learners.contains(&member) => self.tail(),
            None => None,
        }
    }

    /// Returns the neighbour in the chain to which `member` sends entries.
    pub fn successor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.members.iter().position(|&other| other == member)?;
        self.members.get(position + 1).copied()
    }

    /// Returns whether the chain is long enough to commit entries.
    pub fn can_commit(&self) -> bool {
        !self.members.is_empty() && self.members.len() >= self.minimum
    }
}
