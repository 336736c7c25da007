//! Queries over a whole state: which views are decided, which machines remain and what they hold.

use std::collections::BTreeSet;

use orchidvalve_consensus::quorum::majority;
use orchidvalve_consensus::{Ballot, Message, View};
use orchidvalve_protocol::identity::MemberId;

use super::{Gone, Node, State};

impl State {
    pub fn node(&mut self, me: MemberId) -> &mut Node {
        self.nodes.get_mut(&me).expect("only nodes that run act")
    }

    pub fn remove(&mut self, me: MemberId, how: Gone) {
        self.nodes.remove(&me);
        self.copies.remove(&me);
        self.gone.insert(me, how);
    }

    /// Records a decided view. Members that join the chain may lack entries acknowledged since they caught up, and
    /// members outside miss the entries acknowledged from now on.
    pub fn record_decided(&mut self, view: &View) {
        let views = self.decided.entry(view.epoch).or_default();
        if views.insert(view.clone()) && views.len() == 1 {
            let previous = self.decided[&(view.epoch - 1)].first().expect("decided in order").clone();
            self.copies.retain(|member| view.in_chain(*member) && previous.in_chain(*member));
        }
    }

    pub fn latest(&self) -> Option<&View> {
        self.decided.last_key_value()?.1.first()
    }

    /// Returns the latest view that a majority of its voters has on disk.
    pub fn effective(&self) -> Option<&View> {
        let is_effective = |view: &&View| {
            let stores = |voter: &&MemberId| {
                self.nodes.get(*voter).is_some_and(|node| node.stored.epoch >= view.epoch)
            };
            view.voters.iter().filter(stores).count() >= majority(view.voters.len())
        };
        self.decided.values().rev().filter_map(BTreeSet::first).find(is_effective)
    }

    /// Returns whether no voter of `view` is gone.
    pub fn has_no_gone_voter(&self, view: &View) -> bool {
        !view.voters.iter().any(|voter| self.gone.contains_key(voter))
    }

    /// Returns whether `me` may copy the log: it is a member of the chain of the latest view and lacks entries.
    pub fn may_copy(&self, me: MemberId) -> bool {
        !self.copies.contains(&me)
            && self.nodes[&me].view().in_chain(me)
            && self.latest().is_some_and(|view| view.epoch == self.nodes[&me].epoch())
    }

    pub fn is_accepted_by_own_voters(&self) -> bool {
        let Some(view) = self.latest().filter(|view| view.epoch > 1) else { return true };
        let has = |voter: &&MemberId| {
            // A member that is gone may have had it.
            self.nodes.get(*voter).is_none_or(|node| {
                let accepted = node.acceptor.accepted.as_ref().is_some_and(|accepted| accepted.view == *view);
                accepted || node.epoch() >= view.epoch
            })
        };
        view.voters.iter().filter(has).count() >= majority(view.voters.len())
    }

    /// Removes messages that can no longer have an effect, which reduces the number of states; also the messages of a
    /// phase that the proposer has left.
    pub fn drop_ineffective_messages(&mut self) {
        let nodes = &self.nodes;
        self.network.retain(|envelope| {
            let Some(node) = nodes.get(&envelope.to) else { return false };
            let next = node.epoch() + 1;
            let above = |ballot: &Ballot| node.acceptor.promised.is_none_or(|promised| *ballot >= promised);
            let counts = |ballot: &Ballot| {
                node.acceptances.as_ref().is_none_or(|acceptances| acceptances.ballot() <= *ballot)
            };
            let is_passed = |ballot: &Ballot| {
                let proposer = nodes.get(&ballot.proposer);
                let acceptances = proposer.and_then(|proposer| proposer.acceptances.as_ref());
                acceptances.is_some_and(|acceptances| acceptances.ballot() >= *ballot)
            };
            match &envelope.message {
                Message::Prepare { ballot, .. } if is_passed(ballot) => false,
                Message::Prepare { epoch, ballot } => *epoch > next || (*epoch == next && above(ballot)),
                Message::Accept { ballot, view } => {
                    view.epoch > next || (view.epoch == next && above(ballot))
                }
                Message::Promise { epoch, ballot, .. } => {
                    let own = node.proposal.as_ref().is_some_and(|own| own.ballot() == *ballot);
                    *epoch == next && own && !is_passed(ballot)
                }
                Message::Accepted { epoch, ballot } => *epoch > next || (*epoch == next && counts(ballot)),
                _ => false,
            }
        });
    }
}
