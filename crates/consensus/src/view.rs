//! The view: voters and chain of one epoch.

use musli::{Decode, Encode};
use orchidvalve_protocol::identity::MemberId;

/// The maximum number of voters in a view.
pub const MAX_VOTERS: usize = 7;

/// Number of a view. The first view has number 1; zero means that there is no view.
pub type Epoch = u64;

/// The voters and the chain of one epoch. At most one view is decided per epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct View {
    /// Number of the view.
    pub epoch: Epoch,
    /// Members whose majority decides the next view.
    pub voters: Vec<MemberId>,
    /// Members that replicate the control state, head first; a subset of `voters`.
    pub chain: Vec<MemberId>,
}

impl View {
    /// Returns true if the sizes are within bounds, no member is listed twice and the chain is a non-empty subset of
    /// the voters.
    pub fn is_well_formed(&self) -> bool {
        self.epoch > 0
            && self.voters.len() <= MAX_VOTERS
            && !self.chain.is_empty()
            && is_distinct(&self.voters)
            && is_distinct(&self.chain)
            && self.chain.iter().all(|member| self.is_voter(*member))
    }

    /// Returns true if `self` may follow `previous`: it has the next epoch, and its chain keeps at least one member, so
    /// that acknowledged entries survive.
    pub fn follows(&self, previous: &View) -> bool {
        self.is_well_formed()
            && self.epoch == previous.epoch + 1
            && self.chain.iter().any(|member| previous.in_chain(*member))
    }

    /// Returns true if `member` votes on the next view.
    pub fn is_voter(&self, member: MemberId) -> bool {
        self.voters.contains(&member)
    }

    /// Returns true if `member` replicates the control state.
    pub fn in_chain(&self, member: MemberId) -> bool {
        self.chain.contains(&member)
    }

    /// Returns the first member of the chain, which receives the writes.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// Returns the last member of the chain, which acknowledges the writes.
    pub fn tail(&self) -> Option<MemberId> {
        self.chain.last().copied()
    }
}

fn is_distinct(members: &[MemberId]) -> bool {
    members.iter().enumerate().all(|(index, member)| !members[..index].contains(member))
}
