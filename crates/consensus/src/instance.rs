//! The in-memory state of one Paxos instance, in addition to the durable [`crate::acceptor`].

use crate::acceptances::Acceptances;
use crate::message::Ballot;
use crate::proposer::Proposal;
use crate::timing::Milliseconds;

/// The state of this process in the instance after its current view. It does not survive a restart.
#[derive(Clone, Debug, Default)]
pub struct Instance {
    pub proposal: Option<Proposal>,
    /// Acceptances of the view that was most recently accepted here.
    pub acceptances: Option<Acceptances>,
    /// The highest round seen in the instance.
    pub highest_round: u32,
    /// Time at which a next view became desired.
    pub desired_since: Option<Milliseconds>,
    /// Time of the latest step by this process or another proposer.
    pub progress_at: Option<Milliseconds>,
    /// Time at which a proposal is due, as computed by the last tick.
    pub next_attempt_at: Option<Milliseconds>,
}

impl Instance {
    /// Abandons the proposal. Its ballot is never used again.
    pub fn abandon(&mut self) {
        self.proposal = None;
        self.desired_since = None;
        self.next_attempt_at = None;
    }

    /// Records the higher ballot that a voter had promised; the next attempt exceeds it.
    pub fn ballot_rejected(&mut self, ballot: Ballot, promised: Ballot) {
        if self.proposal.as_ref().is_some_and(|proposal| proposal.ballot() == ballot) {
            self.highest_round = self.highest_round.max(promised.round);
        }
    }

    /// Records that the proposer of `ballot` is active.
    pub fn ballot_seen(&mut self, now: Milliseconds, ballot: Ballot) {
        self.highest_round = self.highest_round.max(ballot.round);
        self.progress_at = Some(now);
    }
}
