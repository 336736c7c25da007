//! Phase 2 of one instance from a learner's point of view: counts who has accepted the view and detects when it is
//! decided (Lamport 2001, section 2.3).

use orchidvalve_protocol::identity::MemberId;

use crate::message::Ballot;
use crate::quorum::{VoterSet, Votes};
use crate::view::{Epoch, View};

/// The acceptances of one view under one ballot.
///
/// A view is decided when a majority of the voters of the view before it and a majority of its own voters have
/// accepted it under one ballot (a joint quorum, Ongaro 2014, section 4.3). The first majority makes the decision
/// unique, because every later ballot needs promises from a majority of the same voters. The second ensures that the
/// view is on the disks of the members that vote from then on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptances {
    ballot: Ballot,
    view: View,
    votes: Votes,
    /// Votes of the voters of `view` itself.
    successor_votes: Votes,
    is_decided: bool,
}

impl Acceptances {
    /// Creates a count without acceptances. `voters` are the voters of the view before `view`.
    pub fn new(ballot: Ballot, view: View, voters: VoterSet) -> Acceptances {
        let successor_votes = Votes::new(VoterSet::after(&view));
        Acceptances { ballot, view, votes: Votes::new(voters), successor_votes, is_decided: false }
    }

    /// Returns the ballot under which the view was accepted.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the epoch of the instance.
    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Counts the acceptance of `from`. Returns the view if this acceptance decides it, `None` before and after.
    pub fn accepted(&mut self, from: MemberId) -> Option<&View> {
        self.votes.add(from);
        self.successor_votes.add(from);
        let is_decided = self.votes.has_majority() && self.successor_votes.has_majority();
        let is_new = is_decided && !self.is_decided;
        self.is_decided |= is_decided;
        is_new.then_some(&self.view)
    }
}
