//! Quorums: the voters of an instance and the size of a majority.

use orchidvalve_protocol::identity::{MemberId, NodeAddress};

use crate::view::View;

/// Returns the smallest group size for which any two groups among `members` overlap.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// The acceptors of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum VoterSet {
    /// Instance 1: the seeds, known by address only.
    Seeds(Vec<NodeAddress>),
    /// Later instances: the voters of the previous view.
    Members(Vec<MemberId>),
}

impl VoterSet {
    /// Returns the voters that decide the view after `view`.
    pub fn after(view: &View) -> VoterSet {
        VoterSet::Members(view.voters.clone())
    }

    /// Returns true if `member` has a vote.
    pub fn contains(&self, member: MemberId) -> bool {
        self.position(member).is_some()
    }

    fn position(&self, member: MemberId) -> Option<usize> {
        match self {
            VoterSet::Seeds(seeds) => seeds.iter().position(|seed| *seed == member.address),
            VoterSet::Members(members) => members.iter().position(|voter| *voter == member),
        }
    }

    fn len(&self) -> usize {
        match self {
            VoterSet::Seeds(seeds) => seeds.len(),
            VoterSet::Members(members) => members.len(),
        }
    }
}

/// The votes received from one [`VoterSet`]. Each voter counts once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Votes {
    voters: VoterSet,
    /// One bit per position in `voters`.
    voted: u64,
}

impl Votes {
    /// Creates an empty count.
    pub fn new(voters: VoterSet) -> Votes {
        Votes { voters, voted: 0 }
    }

    /// Counts the vote of `member`; returns false if it is not a voter.
    pub fn add(&mut self, member: MemberId) -> bool {
        let position = self.voters.position(member);
        if let Some(position) = position {
            self.voted |= 1 << position;
        }
        position.is_some()
    }

    /// Returns true if a majority has voted.
    pub fn has_majority(&self) -> bool {
        self.voted.count_ones() as usize >= majority(self.voters.len())
    }
}
