//! The model: machines, messages in flight, losses, and the properties that must hold.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_consensus::acceptances::Acceptances;
use orchidvalve_consensus::acceptor::Acceptor;
use orchidvalve_consensus::membership_policy::MembershipPolicy;
use orchidvalve_consensus::proposer::Proposal;
use orchidvalve_consensus::quorum::VoterSet;
use orchidvalve_consensus::quorum::majority;
use orchidvalve_consensus::status::Health;
use orchidvalve_consensus::{Ballot, MemberStatus, Message, Timing, View};
use orchidvalve_protocol::identity::MemberId;
use stateright::{Model, Property};

use crate::support::{member, members, view};

mod node;
mod state;

pub const THREADS: usize = 3;

/// A check that needs more states than this fails, long before memory runs out.
pub const STATE_LIMIT: usize = 4_000_000;

pub const ONE_VIEW: &str = "one view per epoch";
pub const ACCEPTED_BY_OWN_VOTERS: &str = "a decided view is on the disks of a majority of its voters";
pub const SURVIVORS_DECIDE: &str = "the remaining machines can decide another view";
pub const COPY_SURVIVES: &str = "a complete copy remains";

/// A fault injected into the model, to verify that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    Nothing,
    /// A repair counts as complete once any machine knows that the view is decided.
    RepairedWhenDecided,
    /// Only the proposer counts acceptances, and the others learn a decision only from its message.
    OnlyProposerLearns,
    /// A view is decided by the voters before it alone.
    PreviousVotersOnly,
    /// A leaving member ends as soon as it knows a view without itself.
    LeavesWhenDecided,
    /// A leaving voter outside the chain ends although the other voters are no majority.
    LeavesMinority,
    /// Members report the epoch of a view that isn't on their disk yet.
    ReportsBeforeDurable,
    /// A member that was just appended reports that it is complete.
    ClaimsCopy,
    /// Two proposers use the same ballot.
    SharesBallot,
}

/// The initial state of a check. Machines 1 to 3 are the voters of the first view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Machine 3 is lost, 1 and 2 are the chain and 4 is a standby.
    Replacement,
    /// Like `Replacement`, but 4 and 5 are standbys, and the proposers prefer different ones.
    TwoRepairs,
    /// Machine 3 leaves and 4 is a standby.
    Handover,
    /// The second step of a handover: 4 is a voter and has its copy, 3 is removed.
    HandoverEnd,
    /// Machine 2 is lost, 1 and 3 are the chain, 3 leaves and 4 is a standby.
    LeavingWithCopy,
    /// Machines 4 and 5 are standbys and five voters are required.
    Growth,
}

pub struct Reconfiguration {
    pub scenario: Scenario,
    pub fault: InjectedFault,
    /// The number of proposals per epoch, each by another member.
    pub ballots: u8,
    /// No view after this epoch is proposed.
    pub last_epoch: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Envelope {
    from: MemberId,
    to: MemberId,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    me: MemberId,
    /// The view on disk. An acceptor replies only after its state is durable, so the model keeps no state that is not.
    stored: View,
    acceptor: Acceptor,
    /// A later view that isn't on disk yet. Until it is, the node takes no part in the next instance.
    adopted: Option<View>,
    proposal: Option<Proposal>,
    acceptances: Option<Acceptances>,
    /// Members that reported that they have the view of this node on disk. Kept only at the leaving member, which
    /// needs it.
    durable_reports: BTreeSet<MemberId>,
    /// Set if this node, as the proposer, has learnt that its view is decided, by three voters. The one remaining other
    /// voter then knows it, too; with more voters, that is so only once the view is effective.
    has_decided: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Gone {
    Lost,
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    nodes: BTreeMap<MemberId, Node>,
    gone: BTreeMap<MemberId, Gone>,
    network: BTreeSet<Envelope>,
    decided: BTreeMap<u64, BTreeSet<View>>,
    /// Members that hold every acknowledged entry.
    copies: BTreeSet<MemberId>,
    /// The number of proposals started per epoch.
    started: BTreeMap<u64, u8>,
    may_lose: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Propose(MemberId),
    Deliver(Envelope),
    /// The adopted view becomes durable.
    Store(MemberId),
    /// The first member reports to the second which view it has on disk; the second learns a later view from that.
    Report(MemberId, MemberId),
    /// A member of the chain catches up with the others.
    Copy(MemberId),
    /// A leaving member ends.
    Leave(MemberId),
    Lose(MemberId),
    /// All machines lose power, and one of them loses its disk, too.
    Blackout(MemberId),
}

impl Scenario {
    pub fn timing(self) -> Timing {
        let copies = if self == Scenario::Growth { 3 } else { 2 };
        Timing::new(6_000, copies)
    }

    pub fn leaving(self) -> Option<MemberId> {
        let leaves = [Scenario::Handover, Scenario::HandoverEnd, Scenario::LeavingWithCopy].contains(&self);
        leaves.then(|| member(3, 1))
    }

    pub fn first_view(self) -> View {
        let (three, four) = (members(3), members(4));
        match self {
            Scenario::Replacement | Scenario::TwoRepairs => view(1, &three, &three[..2]),
            Scenario::LeavingWithCopy => view(1, &three, &[three[0], three[2]]),
            Scenario::HandoverEnd => view(1, &four, &four),
            _ => view(1, &three, &three),
        }
    }

    pub fn standbys(self) -> Vec<MemberId> {
        match self {
            Scenario::TwoRepairs | Scenario::Growth => vec![member(4, 1), member(5, 1)],
            Scenario::HandoverEnd => vec![],
            _ => vec![member(4, 1)],
        }
    }

    pub fn lost(self) -> Option<MemberId> {
        match self {
            Scenario::Replacement | Scenario::TwoRepairs => Some(member(3, 1)),
            Scenario::LeavingWithCopy => Some(member(2, 1)),
            _ => None,
        }
    }

    /// The members that propose. The others would propose the same views.
    pub fn proposers(self) -> [MemberId; 2] {
        let second = if self.leaving().is_some() { 3 } else { 2 };
        [member(1, 1), member(second, 1)]
    }

    /// Returns whether `view` completes the scenario if there are no further losses.
    pub fn is_end(self, view: &View) -> bool {
        match self {
            Scenario::Growth => view.voters.len() == 5,
            Scenario::LeavingWithCopy => view.in_chain(member(4, 1)) && !view.in_chain(member(3, 1)),
            _ => !view.is_voter(member(3, 1)),
        }
    }
}

impl Model for Reconfiguration {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let first = self.scenario.first_view();
        let lost = self.scenario.lost();
        let mut nodes = BTreeMap::new();
        for me in first.voters.iter().copied().chain(self.scenario.standbys()) {
            if Some(me) != lost {
                nodes.insert(me, Node::new(me, first.clone()));
            }
        }
        vec![State {
            copies: first.chain.iter().copied().filter(|member| Some(*member) != lost).collect(),
            decided: BTreeMap::from([(1, BTreeSet::from([first]))]),
            nodes,
            gone: lost.into_iter().map(|member| (member, Gone::Lost)).collect(),
            network: BTreeSet::new(),
            started: BTreeMap::new(),
            may_lose: true,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let leaving = state.nodes.values().filter(|node| self.may_leave(state, node));
        actions.extend(leaving.map(|node| Action::Leave(node.me)));
        if !state.may_lose {
            return;
        }
        for (me, node) in &state.nodes {
            if node.adopted.is_some() {
                actions.push(Action::Store(*me));
            } else if self.may_propose(state, node) {
                actions.push(Action::Propose(*me));
            }
            if state.may_copy(*me) {
                actions.push(Action::Copy(*me));
            }
            actions.extend(state.nodes.keys().filter(|to| *to != me).map(|to| Action::Report(*me, *to)));
        }
        actions.extend(state.network.iter().cloned().map(Action::Deliver));
        let is_repaired = self.is_repaired(state);
        for (me, node) in &state.nodes {
            if is_repaired {
                actions.push(Action::Blackout(*me));
            }
            if is_repaired || node.has_replaced(state) {
                actions.push(Action::Lose(*me));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Propose(me) => self.propose(&mut state, me),
            Action::Deliver(envelope) => {
                state.network.remove(&envelope);
                self.deliver(&mut state, &envelope);
            }
            Action::Store(me) => state.node(me).store(),
            Action::Report(from, to) => self.report(&mut state, from, to),
            Action::Copy(me) => {
                state.copies.insert(me);
            }
            Action::Leave(me) => state.remove(me, Gone::Left),
            Action::Lose(me) => {
                state.may_lose = false;
                state.remove(me, Gone::Lost);
            }
            Action::Blackout(me) => {
                state.may_lose = false;
                state.remove(me, Gone::Lost);
                for node in state.nodes.values_mut() {
                    node.restart();
                }
            }
        }
        state.drop_ineffective_messages();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_VIEW, |_, state: &State| {
                state.decided.values().all(|views| views.len() <= 1)
            }),
            Property::always(ACCEPTED_BY_OWN_VOTERS, |_, state: &State| state.is_accepted_by_own_voters()),
            Property::always(SURVIVORS_DECIDE, |model: &Reconfiguration, state: &State| {
                model.survivors_decide(state)
            }),
            Property::always(COPY_SURVIVES, |_, state: &State| !state.copies.is_empty()),
            Property::sometimes(
                "the change completes and the leaving member ends",
                |model: &Reconfiguration, state: &State| {
                    let left =
                        model.scenario.leaving().is_none_or(|me| state.gone.get(&me) == Some(&Gone::Left));
                    left && state.effective().is_some_and(|view| model.scenario.is_end(view))
                },
            ),
            Property::sometimes(
                "a machine is lost after the change",
                |model: &Reconfiguration, state: &State| {
                    let is_end = state.latest().is_some_and(|view| model.scenario.is_end(view));
                    is_end
                        && !state.may_lose
                        && state.latest().is_some_and(|view| !state.has_no_gone_voter(view))
                },
            ),
        ]
    }
}

impl Reconfiguration {
    fn may_propose(&self, state: &State, node: &Node) -> bool {
        let epoch = node.stored.epoch + 1;
        epoch <= self.last_epoch
            && self.scenario.proposers().contains(&node.me)
            && node.proposal.is_none()
            && node.stored.is_voter(node.me)
            && state.started.get(&epoch).is_none_or(|started| *started < self.ballots)
            && self.next_view(state, node).is_some()
    }

    /// Returns the next view by the membership policy, with the information that the proposer has.
    fn next_view(&self, state: &State, node: &Node) -> Option<View> {
        let mut learners = self.scenario.standbys();
        if node.me == member(2, 1) {
            learners.reverse();
        }
        let policy = MembershipPolicy {
            view: &node.stored,
            me: node.me,
            learners: &learners,
            timing: &self.scenario.timing(),
            health: |member| self.health(state, node, member),
        };
        policy.next_view()
    }

    fn health(&self, state: &State, node: &Node, member: MemberId) -> Health {
        if state.gone.contains_key(&member) {
            return Health::Dead { duration: 60_000 };
        }
        let is_learner = !node.stored.in_chain(member);
        let claims = self.fault == InjectedFault::ClaimsCopy;
        Health::Alive(MemberStatus {
            caught_up: is_learner || claims || state.copies.contains(&member),
            reaches_chain: true,
            leaving: self.scenario.leaving() == Some(member),
            ..MemberStatus::default()
        })
    }

    /// Like `Agreement::may_leave`, for the case of a member that is no longer needed.
    fn may_leave(&self, state: &State, node: &Node) -> bool {
        let view = node.adopted.as_ref().unwrap_or(&node.stored);
        if self.scenario.leaving() != Some(node.me) || view.in_chain(node.me) {
            return false;
        }
        let successors = self.scenario.standbys();
        let has_successor =
            successors.iter().any(|member| !view.is_voter(*member) && state.nodes.contains_key(member));
        let own = node.adopted.is_none() && view.is_voter(node.me);
        let is_effective = node.durable_reports.len() + usize::from(own) >= majority(view.voters.len());
        let others = view.voters.iter().filter(|voter| **voter != node.me && state.nodes.contains_key(voter));
        let may_stay_voter = self.fault == InjectedFault::LeavesMinority
            || (!has_successor && others.count() >= majority(view.voters.len()));
        (is_effective || self.fault == InjectedFault::LeavesWhenDecided)
            && (!view.is_voter(node.me) || may_stay_voter)
    }

    /// Returns whether no voter is missing, so that the next loss must be tolerated: the latest effective view has no
    /// lost voter, and no member that has left is still a voter.
    fn is_repaired(&self, state: &State) -> bool {
        let repaired =
            if self.fault == InjectedFault::RepairedWhenDecided { state.latest() } else { state.effective() };
        let is_gone = |voter: &MemberId, how: Gone| state.gone.get(voter) == Some(&how);
        repaired.is_some_and(|view| !view.voters.iter().any(|voter| is_gone(voter, Gone::Lost)))
            && state.latest().is_some_and(|view| !view.voters.iter().any(|voter| is_gone(voter, Gone::Left)))
    }

    fn propose(&self, state: &mut State, me: MemberId) {
        let Some(next_view) = self.next_view(state, &state.nodes[&me]) else { return };
        let node = state.node(me);
        let round = node.acceptor.promised.map_or(0, |ballot| ballot.round) + 1;
        let shared = self.fault == InjectedFault::SharesBallot;
        let ballot =
            if shared { Ballot { round: 1, proposer: member(1, 1) } } else { Ballot { round, proposer: me } };
        let epoch = next_view.epoch;
        let voters = node.stored.voters.clone();
        node.proposal = Some(Proposal::new(ballot, VoterSet::after(&node.stored), next_view));
        *state.started.entry(epoch).or_default() += 1;
        self.send_all(state, me, &voters, &Message::Prepare { epoch, ballot });
    }

    fn report(&self, state: &mut State, from: MemberId, to: MemberId) {
        let sender = state.nodes[&from].clone();
        let receiver = state.node(to);
        let known = receiver.epoch();
        let is_waiting = self.scenario.leaving() == Some(to);
        let reports_before_durable = self.fault == InjectedFault::ReportsBeforeDurable;
        let reported = if reports_before_durable { sender.epoch() } else { sender.stored.epoch };
        if is_waiting && reported == known && receiver.view().is_voter(from) {
            receiver.durable_reports.insert(from);
        }
        if sender.epoch() > known {
            receiver.adopt(sender.view().clone());
        }
    }

    fn deliver(&self, state: &mut State, envelope: &Envelope) {
        let Some(node) = state.nodes.get_mut(&envelope.to) else { return };
        let mut replies = Vec::new();
        let decided = node.receive(self.fault, envelope.from, &envelope.message, &mut replies);
        for (to, message) in replies {
            self.send_all(state, envelope.to, &[to], &message);
        }
        if let Some(view) = decided {
            state.record_decided(&view);
            if let Some(node) = state.nodes.get_mut(&envelope.to) {
                let is_own = node.acceptances.as_ref().is_some_and(|own| own.ballot().proposer == node.me);
                node.adopt(view);
                node.has_decided = is_own && node.stored.voters.len() == 3;
            }
        }
    }

    /// Sends a message. Messages from a node to itself are delivered at once. With a single ballot, messages of phase 1
    /// are delivered at once, too, because there is nothing they could race with, and acceptances reach only the
    /// proposer, which is the worst case for the other nodes.
    fn send_all(&self, state: &mut State, from: MemberId, receivers: &[MemberId], message: &Message) {
        for to in receivers {
            let envelope = Envelope { from, to: *to, message: message.clone() };
            let is_first_phase = matches!(message, Message::Prepare { .. } | Message::Promise { .. });
            if let Message::Accepted { ballot, .. } = message
                && self.ballots == 1
                && from != *to
                && *to != ballot.proposer
            {
                continue;
            }
            if from == *to || (is_first_phase && self.ballots == 1) {
                self.deliver(state, &envelope);
            } else {
                state.network.insert(envelope);
            }
        }
    }

    /// Lets the remaining machines exchange messages without further faults, and returns whether they decide a view.
    /// Messages in flight are lost.
    fn survivors_decide(&self, state: &State) -> bool {
        let Some(latest) = state.nodes.values().map(|node| node.view().clone()).max() else { return false };
        let mut nodes = state.nodes.clone();
        for node in nodes.values_mut() {
            if node.epoch() < latest.epoch {
                node.adopt(latest.clone());
            }
            if node.adopted.is_some() {
                node.store();
            }
        }
        let Some(proposer) = latest.voters.iter().copied().find(|voter| nodes.contains_key(voter)) else {
            return false;
        };
        let voter_set = VoterSet::after(&latest);
        let ballot = Ballot { round: 1_000, proposer };
        let next_view = View { epoch: latest.epoch + 1, ..latest.clone() };
        let mut proposal = Proposal::new(ballot, voter_set.clone(), next_view);
        let mut chosen = None;
        for node in nodes.values_mut().filter(|node| latest.is_voter(node.me)) {
            node.acceptor.prepare(ballot).expect("highest ballot");
            let prepared = proposal.promise(node.me, ballot, node.acceptor.accepted.clone()).cloned();
            chosen = chosen.or(prepared);
        }
        let Some(chosen) = chosen else { return false };
        let mut acceptances = Acceptances::new(ballot, chosen, voter_set);
        nodes.keys().any(|me| acceptances.accepted(*me).is_some())
    }
}
