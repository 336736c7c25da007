//! The proposer of one instance: phase 1 with one ballot (Lamport 2001, section 2.2). Phase 2 is counted by
//! [`crate::acceptances`].

use orchidvalve_protocol::identity::MemberId;

use crate::acceptor::AcceptedView;
use crate::message::Ballot;
use crate::quorum::{VoterSet, Votes};
use crate::view::{Epoch, View};

/// One attempt to decide an instance, under one ballot. A retry is a new `Proposal` with a higher ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    ballot: Ballot,
    promises: Votes,
    /// Highest ballot among the accepted views that the promises reported.
    highest_accepted: Option<Ballot>,
    /// The view of the proposer, replaced by the accepted view of the highest ballot that a promise reports.
    view: View,
    is_prepared: bool,
}

impl Proposal {
    /// Starts phase 1 for `view`. `voters` are the acceptors of the instance.
    pub fn new(ballot: Ballot, voters: VoterSet, view: View) -> Proposal {
        Proposal { ballot, promises: Votes::new(voters), highest_accepted: None, view, is_prepared: false }
    }

    /// Returns the ballot of this proposal.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the epoch of the instance.
    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Counts the promise of `from`. Returns the view to send in `Accept` when this promise completes a majority,
    /// `None` before and after. If promises reported accepted views, it is the one with the highest ballot, so that a
    /// view that may already be decided stays the only one (condition P2c).
    pub fn promise(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        accepted: Option<AcceptedView>,
    ) -> Option<&View> {
        if ballot != self.ballot || self.is_prepared || !self.promises.add(from) {
            return None;
        }
        if let Some(accepted) = accepted
            && self.highest_accepted.is_none_or(|highest| accepted.ballot > highest)
        {
            self.highest_accepted = Some(accepted.ballot);
            self.view = accepted.view;
        }
        if !self.promises.has_majority() {
            return None;
        }
        self.is_prepared = true;
        Some(&self.view)
    }
}
