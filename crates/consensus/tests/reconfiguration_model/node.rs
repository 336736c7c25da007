//! One machine: its roles in Paxos, and its knowledge of the others.

use std::collections::BTreeSet;

use orchidvalve_consensus::acceptances::Acceptances;
use orchidvalve_consensus::acceptor::Acceptor;
use orchidvalve_consensus::quorum::{VoterSet, majority};
use orchidvalve_consensus::{Ballot, Message, View};
use orchidvalve_protocol::identity::MemberId;

use super::{InjectedFault, Node, State};

impl Node {
    pub fn new(me: MemberId, stored: View) -> Node {
        Node {
            me,
            stored,
            acceptor: Acceptor::default(),
            adopted: None,
            proposal: None,
            acceptances: None,
            durable_reports: BTreeSet::new(),
            has_decided: false,
        }
    }

    pub fn view(&self) -> &View {
        self.adopted.as_ref().unwrap_or(&self.stored)
    }

    pub fn epoch(&self) -> u64 {
        self.view().epoch
    }

    /// Returns whether this node proposed a view that replaces all lost voters, and knows that it is decided.
    pub fn has_replaced(&self, state: &State) -> bool {
        self.has_decided && state.has_no_gone_voter(self.view())
    }

    pub fn adopt(&mut self, view: View) {
        self.has_decided = false;
        self.adopted = Some(view);
        self.proposal = None;
        self.acceptances = None;
        self.durable_reports.clear();
    }

    pub fn store(&mut self) {
        if let Some(view) = self.adopted.take() {
            self.stored = view;
            self.acceptor = Acceptor::default();
        }
    }

    pub fn restart(&mut self) {
        self.adopted = None;
        self.proposal = None;
        self.acceptances = None;
        self.durable_reports.clear();
    }

    /// Handles a message; returns the view that it decides, if any. A node whose view is not durable yet does nothing.
    pub fn receive(
        &mut self,
        fault: InjectedFault,
        from: MemberId,
        message: &Message,
        replies: &mut Vec<(MemberId, Message)>,
    ) -> Option<View> {
        let next = self.stored.epoch + 1;
        if self.adopted.is_some() {
            return None;
        }
        match message {
            Message::Prepare { epoch, ballot } if *epoch == next && self.stored.is_voter(self.me) => {
                let (epoch, ballot) = (*epoch, *ballot);
                if self.acceptor.prepare(ballot).is_ok() {
                    let accepted = self.acceptor.accepted.clone();
                    replies.push((from, Message::Promise { epoch, ballot, accepted }));
                }
                None
            }
            Message::Promise { epoch, ballot, accepted } => {
                let proposal = self.proposal.as_mut().filter(|proposal| proposal.epoch() == *epoch)?;
                let view = proposal.promise(from, *ballot, accepted.clone())?.clone();
                self.accept(fault, *ballot, &view, replies)?;
                let accept = Message::Accept { ballot: *ballot, view: view.clone() };
                replies.extend(self.others_involved(&view).map(|to| (to, accept.clone())));
                None
            }
            Message::Accept { ballot, view } if view.epoch == next && view.follows(&self.stored) => {
                let concerned = self.stored.is_voter(self.me) || view.is_voter(self.me);
                concerned.then(|| self.accept(fault, *ballot, view, replies))??;
                self.count(fault, ballot.proposer, *ballot)
            }
            Message::Accepted { epoch, ballot } if *epoch == next => self.count(fault, from, *ballot),
            _ => None,
        }
    }

    /// Accepts a view and notifies itself and the others; returns `None` if a higher ballot was promised.
    pub fn accept(
        &mut self,
        fault: InjectedFault,
        ballot: Ballot,
        view: &View,
        replies: &mut Vec<(MemberId, Message)>,
    ) -> Option<()> {
        self.acceptor.accept(ballot, view).ok()?;
        if self.acceptances.as_ref().is_none_or(|acceptances| acceptances.ballot() != ballot) {
            self.acceptances = Some(Acceptances::new(ballot, view.clone(), VoterSet::after(&self.stored)));
        }
        let accepted = Message::Accepted { epoch: view.epoch, ballot };
        let receivers = self.others_involved(view).chain([self.me]);
        let only_proposer = fault == InjectedFault::OnlyProposerLearns;
        replies.extend(
            receivers.filter(|to| !only_proposer || *to == ballot.proposer).map(|to| (to, accepted.clone())),
        );
        Some(())
    }

    /// Counts an acceptance; returns the view if this acceptance decides it.
    pub fn count(&mut self, fault: InjectedFault, from: MemberId, ballot: Ballot) -> Option<View> {
        let acceptances = self.acceptances.as_mut().filter(|acceptances| acceptances.ballot() == ballot)?;
        if fault == InjectedFault::OnlyProposerLearns && ballot.proposer != self.me {
            return None;
        }
        if let Some(view) = acceptances.accepted(from) {
            return Some(view.clone());
        }
        if fault == InjectedFault::PreviousVotersOnly && from != self.me {
            let view = &self.acceptor.accepted.as_ref()?.view;
            let voters = [self.me, from];
            let votes = voters.iter().filter(|voter| self.stored.is_voter(**voter)).count();
            return (votes >= majority(self.stored.voters.len())).then(|| view.clone());
        }
        None
    }

    /// The voters before and after a decision for `view`, except this node.
    pub fn others_involved(&self, view: &View) -> impl Iterator<Item = MemberId> + use<> {
        let members: BTreeSet<MemberId> = self.stored.voters.iter().chain(&view.voters).copied().collect();
        let me = self.me;
        members.into_iter().filter(move |member| *member != me)
    }
}
