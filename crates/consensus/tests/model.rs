//! Model check of the decision of views: three voters, two proposers, two epochs, a member that loses its disk and
//! a proposer that restarts. Messages are delivered in any order, any number of times or never. The acceptor, the
//! proposer and the rules for views are the ones of the crate.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use orchidvalve_consensus::acceptances::Acceptances;
use orchidvalve_consensus::acceptor::Acceptor;
use orchidvalve_consensus::proposer::Proposal;
use orchidvalve_consensus::quorum::VoterSet;
use orchidvalve_consensus::{Ballot, Message, View};
use orchidvalve_protocol::identity::MemberId;
use rstest::rstest;
use stateright::{Checker, Model, Property};

mod support;

use support::{member, members, view};

/// Positions of the members that propose, and of the one that may lose its disk.
const PROPOSERS: [usize; 2] = [0, 2];
const WIPED: usize = 1;

const THREADS: usize = 3;

/// A fault injected into the model, to verify that the check detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    Nothing,
    /// Acceptors don't remember their promises.
    ForgetsPromise,
    /// The member that lost its disk returns under its old identity.
    KeepsIdentity,
    /// Replies are sent before the state is durable, and a restart loses that state.
    ForgetsAtRestart,
    /// A proposer ignores the accepted view that a promise reports.
    IgnoresAccepted,
}

struct Decisions {
    fault: InjectedFault,
    /// The number of ballots that each proposer may start per epoch.
    ballots: [u8; 2],
    may_restart: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Envelope {
    from: MemberId,
    to: MemberId,
    message: Message,
}

/// A shared value with a precomputed hash: states have many of them in common, so copies and hashes must be cheap.
#[derive(Debug)]
struct Prehashed<T> {
    hash: u64,
    value: Arc<T>,
}

impl<T: Hash> Prehashed<T> {
    fn new(value: T) -> Prehashed<T> {
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        Prehashed { hash: hasher.finish(), value: Arc::new(value) }
    }
}

impl<T> Clone for Prehashed<T> {
    fn clone(&self) -> Prehashed<T> {
        Prehashed { hash: self.hash, value: Arc::clone(&self.value) }
    }
}

impl<T> Deref for Prehashed<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: PartialEq> PartialEq for Prehashed<T> {
    fn eq(&self, other: &Prehashed<T>) -> bool {
        self.hash == other.hash && (Arc::ptr_eq(&self.value, &other.value) || self.value == other.value)
    }
}

impl<T: Eq> Eq for Prehashed<T> {}

impl<T: Ord> PartialOrd for Prehashed<T> {
    fn partial_cmp(&self, other: &Prehashed<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord> Ord for Prehashed<T> {
    fn cmp(&self, other: &Prehashed<T>) -> Ordering {
        self.hash.cmp(&other.hash).then_with(|| self.value.cmp(&other.value))
    }
}

impl<T> Hash for Prehashed<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.hash.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    me: MemberId,
    view: View,
    acceptor: Acceptor,
    proposal: Option<Proposal>,
    /// The proposer's count of phase 2 acceptances.
    acceptances: Option<Acceptances>,
    started: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Prehashed<Node>>,
    network: BTreeSet<Prehashed<Envelope>>,
    wiped: bool,
    restarted: bool,
    decided: BTreeMap<u64, BTreeSet<View>>,
    /// Set once the member with the new disk has voted.
    newcomer_voted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Propose(usize),
    Deliver(Prehashed<Envelope>),
    Wipe,
    Restart(usize),
}

impl Model for Decisions {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            nodes: members(3).into_iter().map(Node::new).map(Prehashed::new).collect(),
            network: BTreeSet::new(),
            wiped: false,
            restarted: false,
            decided: BTreeMap::new(),
            newcomer_voted: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (proposer, ballots) in PROPOSERS.into_iter().zip(self.ballots) {
            let node = &state.nodes[proposer];
            if node.started < ballots && node.view.epoch < 3 {
                actions.push(Action::Propose(proposer));
            }
            if self.may_restart && !state.restarted && node.proposal.is_some() {
                actions.push(Action::Restart(proposer));
            }
        }
        if self.fault == InjectedFault::ForgetsAtRestart && !state.restarted {
            actions.push(Action::Restart(WIPED));
        }
        if !state.wiped {
            actions.push(Action::Wipe);
        }
        actions.extend(state.network.iter().cloned().map(Action::Deliver));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Propose(proposer) => self.propose(&mut state, proposer),
            Action::Deliver(prehashed) => self.deliver(&mut state, &prehashed),
            Action::Wipe => self.wipe(&mut state),
            Action::Restart(index) => self.restart(&mut state, index),
        }
        if self.fault == InjectedFault::Nothing {
            drop_ineffective_messages(&mut state);
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view per epoch", |_, state: &State| {
                state.decided.values().all(|views| views.len() <= 1)
            }),
            Property::always("each view follows the one before", |_, state: &State| {
                let follows = |(epoch, views): (&u64, &BTreeSet<View>)| {
                    let Some(previous) = state.decided.get(&(epoch - 1)) else { return true };
                    views.iter().all(|next| previous.iter().any(|previous| next.follows(previous)))
                };
                state.decided.iter().all(follows)
            }),
            Property::sometimes("the second epoch is decided", |_, state: &State| {
                state.decided.contains_key(&3)
            }),
            Property::sometimes("the member with the new disk votes", |_, state: &State| {
                state.newcomer_voted
            }),
        ]
    }
}

impl Decisions {
    fn propose(&self, state: &mut State, proposer: usize) {
        let next_view = next_view(state, proposer);
        let mut node = Node::clone(&state.nodes[proposer]);
        let round = node.acceptor.promised.map_or(0, |ballot| ballot.round) + 1;
        let ballot = Ballot { round, proposer: node.me };
        let epoch = next_view.epoch;
        node.started += 1;
        node.proposal = Some(Proposal::new(ballot, VoterSet::after(&node.view), next_view));
        let (me, voters) = (node.me, node.view.voters.clone());
        state.nodes[proposer] = Prehashed::new(node);
        // The proposer's own promise is durable before `Prepare` is sent.
        for to in voters {
            self.send(state, me, to, Message::Prepare { epoch, ballot });
        }
    }

    fn wipe(&self, state: &mut State) {
        state.wiped = true;
        let me = if self.fault == InjectedFault::KeepsIdentity { member(2, 1) } else { member(2, 2) };
        state.nodes[WIPED] = Prehashed::new(Node::new(me));
    }

    fn restart(&self, state: &mut State, restarted: usize) {
        state.restarted = true;
        let mut node = Node::clone(&state.nodes[restarted]);
        node.proposal = None;
        node.acceptances = None;
        if self.fault == InjectedFault::ForgetsAtRestart {
            node.acceptor = Acceptor::default();
        }
        state.nodes[restarted] = Prehashed::new(node);
    }

    fn deliver(&self, state: &mut State, envelope: &Envelope) {
        let Some(index) = state.nodes.iter().position(|node| node.me == envelope.to) else { return };
        let mut node = Node::clone(&state.nodes[index]);
        let mut replies = Vec::new();
        let decided = node.receive(self.fault, envelope.from, &envelope.message, &mut replies);
        if node != *state.nodes[index] {
            state.nodes[index] = Prehashed::new(node);
        }
        if let Some(view) = decided {
            state.decided.entry(view.epoch).or_default().insert(view);
        }
        for (to, message) in replies {
            state.newcomer_voted |= envelope.to == member(2, 2) && matches!(message, Message::Promise { .. });
            self.send(state, envelope.to, to, message);
        }
    }

    /// Sends a message. Messages from a node to itself are delivered at once.
    fn send(&self, state: &mut State, from: MemberId, to: MemberId, message: Message) {
        let envelope = Envelope { from, to, message };
        if from == to {
            self.deliver(state, &envelope);
        } else {
            state.network.insert(Prehashed::new(envelope));
        }
    }
}

impl Node {
    fn new(me: MemberId) -> Node {
        let view = view(1, &members(3), &members(3));
        Node { me, view, acceptor: Acceptor::default(), proposal: None, acceptances: None, started: 0 }
    }

    /// Handles a message; returns the view that it decides, if any.
    fn receive(
        &mut self,
        fault: InjectedFault,
        from: MemberId,
        message: &Message,
        replies: &mut Vec<(MemberId, Message)>,
    ) -> Option<View> {
        match message {
            Message::Prepare { epoch, ballot } if self.votes(*epoch) => {
                let (epoch, ballot, before) = (*epoch, *ballot, self.acceptor.promised);
                if self.acceptor.prepare(ballot).is_ok() {
                    if fault == InjectedFault::ForgetsPromise {
                        self.acceptor.promised = before;
                    }
                    let accepted = self.acceptor.accepted.clone();
                    replies.push((from, Message::Promise { epoch, ballot, accepted }));
                }
            }
            Message::Accept { ballot, view } if self.votes(view.epoch) && view.follows(&self.view) => {
                let accepted = Message::Accepted { epoch: view.epoch, ballot: *ballot };
                replies.extend(self.acceptor.accept(*ballot, view).ok().map(|()| (from, accepted)));
            }
            Message::Promise { epoch, ballot, accepted } => {
                let accepted = accepted.clone().filter(|_| fault != InjectedFault::IgnoresAccepted);
                let proposal = self.proposal.as_mut().filter(|proposal| proposal.epoch() == *epoch)?;
                let view = proposal.promise(from, *ballot, accepted)?.clone();
                let voter_set = VoterSet::after(&self.view);
                self.acceptances = Some(Acceptances::new(*ballot, view.clone(), voter_set));
                let accept = Message::Accept { ballot: *ballot, view };
                replies.extend(self.view.voters.iter().map(|voter| (*voter, accept.clone())));
            }
            Message::Accepted { epoch, ballot } => {
                let counts = |acceptances: &&mut Acceptances| {
                    acceptances.epoch() == *epoch && acceptances.ballot() == *ballot
                };
                let view = self.acceptances.as_mut().filter(counts)?.accepted(from)?.clone();
                let receivers = members(3).into_iter().chain([member(2, 2)]);
                replies.extend(receivers.map(|to| (to, Message::Decided { view: view.clone() })));
                return Some(view);
            }
            Message::Decided { view } if view.epoch > self.view.epoch => {
                *self = Node { view: view.clone(), ..Node::new(self.me) };
            }
            _ => {}
        }
        None
    }

    /// Returns whether this node votes on the view of `epoch`.
    fn votes(&self, epoch: u64) -> bool {
        epoch == self.view.epoch + 1 && self.view.is_voter(self.me)
    }
}

/// The view that a proposer proposes. It differs between the two: the first one adds the member with the new disk.
fn next_view(state: &State, proposer: usize) -> View {
    let current = &state.nodes[proposer].view;
    let epoch = current.epoch + 1;
    let first = proposer == PROPOSERS[0];
    if epoch == 2 && first && state.wiped {
        let voters = [member(1, 1), member(3, 1), member(2, 2)];
        return view(epoch, &voters, &voters);
    }
    let end = if first { current.head() } else { current.tail() };
    view(epoch, &current.voters, &[end.expect("not empty")])
}

/// Removes messages that can no longer have an effect, which reduces the number of states: messages to absent nodes,
/// messages for epochs that the receiver has left, and messages whose ballot is below the receiver's.
fn drop_ineffective_messages(state: &mut State) {
    let nodes = &state.nodes;
    state.network.retain(|prehashed| {
        let envelope: &Envelope = prehashed;
        let Some(node) = nodes.iter().find(|node| node.me == envelope.to) else {
            return envelope.to == member(2, 2) && matches!(envelope.message, Message::Decided { .. });
        };
        let next = node.view.epoch + 1;
        let above = |ballot: &Ballot| node.acceptor.promised.is_none_or(|promised| *ballot >= promised);
        let own =
            |ballot: &Ballot| node.proposal.as_ref().is_some_and(|proposal| proposal.ballot() == *ballot);
        match &envelope.message {
            Message::Prepare { epoch, ballot } => *epoch > next || (*epoch == next && above(ballot)),
            Message::Accept { ballot, view } => view.epoch > next || (view.epoch == next && above(ballot)),
            Message::Promise { epoch, ballot, .. } | Message::Accepted { epoch, ballot } => {
                *epoch == next && own(ballot)
            }
            Message::Decided { view } => view.epoch >= next,
            _ => false,
        }
    });
}

/// Ballots of the two proposers per epoch. Two and one take minutes; INTERLOCKING_BALLOTS=21 selects them.
fn ballots() -> [u8; 2] {
    match std::env::var("INTERLOCKING_BALLOTS").as_deref() {
        Ok("21") => [2, 1],
        _ => [1, 1],
    }
}

#[test]
fn one_view_per_epoch() {
    let model = Decisions { fault: InjectedFault::Nothing, ballots: ballots(), may_restart: true };
    let checker = model.checker().threads(THREADS).spawn_bfs().join();
    println!(
        "ballots {:?}: {} states, {} of them different, depth {}",
        ballots(),
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

#[rstest]
#[case::forgets_promise(InjectedFault::ForgetsPromise, false)]
#[case::keeps_identity(InjectedFault::KeepsIdentity, false)]
#[case::forgets_at_restart(InjectedFault::ForgetsAtRestart, true)]
#[case::ignores_accepted(InjectedFault::IgnoresAccepted, false)]
fn injected_fault_is_detected(#[case] fault: InjectedFault, #[case] may_restart: bool) {
    let model = Decisions { fault, ballots: [1, 1], may_restart };
    let finish = stateright::HasDiscoveries::AnyOf(["one view per epoch"].into());
    // Far above the number that each case needs: a fault that isn't detected fails the test before memory runs out.
    let limit = 2_000_000;
    let checker =
        model.checker().threads(THREADS).finish_when(finish).target_state_count(limit).spawn_bfs().join();
    println!(
        "{fault:?}: {} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    assert!(checker.discovery("one view per epoch").is_some(), "{fault:?} was not detected");
}
