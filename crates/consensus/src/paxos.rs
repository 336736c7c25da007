//! The Paxos instance that decides the next view (Lamport 2001). As acceptor, this process replies to ballots; as
//! proposer, it starts ballots when the membership policy returns a next view or an accepted view is not yet decided.

use orchidvalve_protocol::identity::MemberId;

use crate::acceptances::Acceptances;
use crate::acceptor::AcceptedView;
use crate::agreement::Agreement;
use crate::message::{Ballot, Message};
use crate::output::Output;
use crate::proposer::Proposal;
use crate::quorum::VoterSet;
use crate::timing::{PROPOSER_STAGGER, RETRY_STAGGER, RETRY_TIMEOUT};
use crate::view::{Epoch, View};

impl Agreement {
    /// Starts or retries a proposal if one is due. The voters propose at delays that increase with their rank, so that
    /// they don't outbid each other forever (section 2.4, progress).
    pub(crate) fn propose_if_due(&mut self, outputs: &mut Vec<Output>) {
        self.instance.next_attempt_at = None;
        if !self.may_propose() || self.condition.impaired {
            return;
        }
        let Some(view) = self.next_view().or_else(|| self.accepted_view()) else {
            self.instance.abandon();
            return;
        };
        let rank = self.rank();
        let desired_since = *self.instance.desired_since.get_or_insert(self.clock.now());
        let turn_at = desired_since + rank * PROPOSER_STAGGER;
        let retry_at = self.instance.progress_at.map_or(0, |at| at + RETRY_TIMEOUT + rank * RETRY_STAGGER);
        let due_at = turn_at.max(retry_at);
        if self.clock.now() >= due_at {
            self.propose(view, outputs);
        } else {
            self.instance.next_attempt_at = Some(due_at);
        }
    }

    /// Returns a view that was accepted here and may have been decided. Nothing is confirmed for the current epoch
    /// until this is known, so the instance is completed.
    fn accepted_view(&self) -> Option<View> {
        let accepted = self.state.acceptor.accepted.as_ref()?;
        self.is_majority_alive().then(|| accepted.view.clone())
    }

    /// Starts phase 1 with a new ballot. `Prepare` is sent only after this process's own promise is durable, so that
    /// the ballot isn't reused after a loss of power (section 2.5).
    fn propose(&mut self, view: View, outputs: &mut Vec<Output>) {
        let promised = self.state.acceptor.promised.map_or(0, |ballot| ballot.round);
        let Some(round) = self.instance.highest_round.max(promised).checked_add(1) else {
            return;
        };
        let ballot = Ballot { round, proposer: self.me };
        let epoch = view.epoch;
        self.instance.ballot_seen(self.clock.now(), ballot);
        self.instance.proposal = Some(Proposal::new(ballot, self.voter_set(), view));
        if self.state.acceptor.prepare(ballot).is_err() {
            return;
        }
        self.persist(outputs);
        let accepted = self.state.acceptor.accepted.clone();
        self.send_when_durable(self.me, Message::Promise { epoch, ballot, accepted });
        for voter in self.other_voters() {
            self.send_when_durable(voter, Message::Prepare { epoch, ballot });
        }
    }

    /// Phase 1 at the acceptor: replies to `Prepare`.
    pub(crate) fn prepare_received(
        &mut self,
        from: MemberId,
        epoch: Epoch,
        ballot: Ballot,
        outputs: &mut Vec<Output>,
    ) {
        if !self.is_current_instance(from, epoch, ballot, outputs) || !self.may_vote() {
            return;
        }
        let before = self.state.acceptor.promised;
        match self.state.acceptor.prepare(ballot) {
            Ok(()) => {
                self.instance.ballot_seen(self.clock.now(), ballot);
                if before != self.state.acceptor.promised {
                    self.persist(outputs);
                }
                let accepted = self.state.acceptor.accepted.clone();
                self.send_when_durable(from, Message::Promise { epoch, ballot, accepted });
            }
            Err(promised) => {
                outputs.push(Output::Send { to: from, message: Message::Nack { epoch, ballot, promised } });
            }
        }
    }

    /// Phase 2 at the acceptor: accepts a view and sends `Accepted` to the voters before and after it. Each of them
    /// thus learns by itself that the view is decided, even if the proposer is lost.
    pub(crate) fn accept_received(
        &mut self,
        from: MemberId,
        ballot: Ballot,
        view: View,
        outputs: &mut Vec<Output>,
    ) {
        let epoch = view.epoch;
        if !self.is_current_instance(from, epoch, ballot, outputs) || !self.may_accept(&view) {
            return;
        }
        let before = self.state.acceptor.accepted_ballot();
        match self.state.acceptor.accept(ballot, &view) {
            Ok(()) => {
                self.instance.ballot_seen(self.clock.now(), ballot);
                if before != Some(ballot) {
                    self.persist(outputs);
                }
                self.send_when_durable(self.me, Message::Accepted { epoch, ballot });
                for voter in self.others_involved(&view) {
                    self.send_when_durable(voter, Message::Accepted { epoch, ballot });
                }
                self.count_acceptances(ballot, view, outputs);
            }
            Err(promised) => {
                outputs.push(Output::Send { to: from, message: Message::Nack { epoch, ballot, promised } });
            }
        }
    }

    /// Starts counting the acceptances of a view. The proposer's own is counted at once: it is durable before `Accept`
    /// is sent.
    fn count_acceptances(&mut self, ballot: Ballot, view: View, outputs: &mut Vec<Output>) {
        let epoch = view.epoch;
        if self.instance.acceptances.as_ref().is_none_or(|acceptances| acceptances.ballot() != ballot) {
            self.instance.acceptances = Some(Acceptances::new(ballot, view, self.voter_set()));
        }
        if ballot.proposer != self.me {
            self.accepted_received(ballot.proposer, epoch, ballot, outputs);
        }
    }

    /// Phase 1 at the proposer: counts a promise; the one that completes a majority starts phase 2.
    pub(crate) fn promise_received(
        &mut self,
        from: MemberId,
        epoch: Epoch,
        ballot: Ballot,
        accepted: Option<AcceptedView>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(proposal) = self.instance.proposal.as_mut().filter(|proposal| proposal.epoch() == epoch)
        else {
            return;
        };
        let Some(view) = proposal.promise(from, ballot, accepted).cloned() else {
            return;
        };
        self.instance.progress_at = Some(self.clock.now());
        if self.has_witnesses() && !view.is_voter(self.me) {
            self.count_acceptances(ballot, view.clone(), outputs);
        } else {
            self.accept_received(self.me, ballot, view.clone(), outputs);
            if self.state.acceptor.accepted_ballot() != Some(ballot) {
                return;
            }
        }
        for voter in self.others_involved(&view) {
            self.send_when_durable(voter, Message::Accept { ballot, view: view.clone() });
        }
    }

    /// Counts an acceptance; the one that decides the view ends the instance.
    pub(crate) fn accepted_received(
        &mut self,
        from: MemberId,
        epoch: Epoch,
        ballot: Ballot,
        outputs: &mut Vec<Output>,
    ) {
        let Some(acceptances) = &mut self.instance.acceptances else { return };
        if acceptances.epoch() != epoch || acceptances.ballot() != ballot {
            return;
        }
        let Some(view) = acceptances.accepted(from).cloned() else {
            return;
        };
        let members_to_notify = self.others_involved(&view);
        self.adopt(view, outputs);
        for member in members_to_notify {
            self.send_decided(member, outputs);
        }
    }

    /// Returns true if `ballot` is from a process that may propose and for the instance after the current view. Sends
    /// the current view to a sender that is behind, and a `Hello`, which requests the latest view, to a sender that is
    /// ahead.
    fn is_current_instance(
        &self,
        from: MemberId,
        epoch: Epoch,
        ballot: Ballot,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let next = self.epoch() + 1;
        if epoch < next {
            self.send_decided(from, outputs);
        } else if epoch > next {
            outputs.push(Output::Send { to: from, message: self.hello() });
        }
        let may_propose = self.has_witnesses() || self.voter_set().contains(from);
        epoch == next && ballot.proposer == from && may_propose
    }

    /// Returns whether this process may accept `view`: it votes on it, or becomes a voter by it, and `view` may follow
    /// the current view.
    fn may_accept(&self, view: &View) -> bool {
        match &self.state.view {
            None => {
                let votes = if self.has_witnesses() { view.is_voter(self.me) } else { self.may_vote() };
                view.epoch == 1 && view.is_well_formed() && votes && self.may_propose()
            }
            Some(current) => view.follows(current) && (self.may_vote() || view.is_voter(self.me)),
        }
    }

    fn voter_set(&self) -> VoterSet {
        match &self.state.view {
            None => VoterSet::Seeds(self.seeds.voting_seeds()),
            Some(view) => VoterSet::after(view),
        }
    }

    /// Returns the other acceptors of the next instance, as far as they are known.
    fn other_voters(&self) -> Vec<MemberId> {
        let me = self.me;
        match &self.state.view {
            None => self.seeds.voters().into_iter().filter(|member| *member != me).collect(),
            Some(view) => view.voters.iter().copied().filter(|voter| *voter != me).collect(),
        }
    }

    /// Returns the voters before and after a decision for `view`, except this process.
    fn others_involved(&self, view: &View) -> Vec<MemberId> {
        let mut members = self.other_voters();
        for voter in &view.voters {
            if *voter != self.me && !members.contains(voter) {
                members.push(*voter);
            }
        }
        members
    }
}
