//! Model check of the lease of the singleton roles: two nodes are the head in turn, and are frozen between the confirmation
//! of the view and the sending of a call, restart, and send calls that arrive late. [`RoleLease`] decides whether a node may
//! act; the calls are checked against the rules of the platform.
//!
//! Time passes in steps, and the current step is always [`NOW`]: with each step all earlier times move back by one, so that
//! equal situations at different times are one state. Confirmations of a view are as late as possible, and a term begins
//! and is recorded on the disk as early as possible. Every action
//! that is possible with another timing is possible with this one, too.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_control_plane::role_lease::{LeaseWaits, RoleLease};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const THREADS: usize = 3;

/// A call is started only if a quorum has confirmed the view within this time, in steps.
const VALIDITY: u64 = 2;
/// A call that is not written within this time after its start is dropped, in steps.
const WRITE_LIMIT: u64 = 1;
/// A written call arrives within this time or never, in steps.
const TRANSIT: u64 = 1;
/// A call arrives at most this long after the last confirmation of its sender's view, in steps.
const ARRIVAL: u64 = VALIDITY + WRITE_LIMIT + TRANSIT;
/// Leaders must not act in the order A, B, A within this time, in steps (`bounds.lease-ms`).
const LEASE: u64 = 4;
/// Calls that arrive within this time after their sender was thawed do not count, in steps (`bounds.thaw-slack-ms`).
const THAW_SLACK: u64 = 1;
/// The current step. Nothing older than a wait matters, so it is later than the longest wait.
const NOW: u64 = 40;
/// Calls of one node in flight at the same time: a late one and one that overtakes it.
const MAX_IN_FLIGHT: usize = 2;

const ONE_LEADER: &str = "no fencing token belongs to two leaders";
const TOKENS_INCREASE: &str = "fencing tokens never decrease";
const NO_ALTERNATION: &str = "leaders do not alternate within a lease";

/// A fault planted into the model to check that the model finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A new head waits for less than the lease, and not for late calls.
    ShortLease,
    /// A new head does not wait at all.
    NoWait,
    /// The entry that begins a term is lost in a restart, and its number is used again.
    TokenReused,
    /// A call is written no matter how long ago it was started.
    NoCheckBeforeWriting,
    /// A restarted process assumes that it was the head in every view before.
    NoWaitAfterRestart,
    /// A head that missed a view assumes that it was the head of that view, too.
    MissedViewIgnored,
    /// A head does not wait for the calls that it sent under its term in the view before.
    NoWaitForOwnTerm,
    /// A restarted process does not wait for the calls of the process before.
    NoWaitForOwnCalls,
}

/// The maximum number of disturbances of each kind.
#[derive(Clone, Copy, Debug)]
struct Disturbances {
    /// Total number of views. The nodes are their heads in turn, or one node twice in a row.
    views: u64,
    freezes: u8,
    restarts: u8,
}

struct Roles {
    planted: Planted,
    disturbances: Disturbances,
}

/// Index of a node.
type Machine = usize;
const MACHINES: [Machine; 2] = [0, 1];

/// A call that its node has decided to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct StartedCall {
    token: u64,
    started_at: u64,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentCall {
    sender: Machine,
    token: u64,
    sent_at: u64,
}

/// A view that a node entered as its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EnteredView {
    at: u64,
    epoch: u64,
    was_head: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// Epoch of the latest view that the node knows.
    epoch: u64,
    /// The views that the node entered as the head, oldest first, since it last became the head.
    tenure: Vec<EnteredView>,
    /// Last time at which a quorum was in the node's view.
    confirmed_at: Option<u64>,
    term: Option<u64>,
    /// Whether the node's disk records that it acted as the head of this view.
    has_acted: bool,
    started_call: Option<StartedCall>,
    is_frozen: bool,
}

/// The calls that the platform has received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Platform {
    leader_of_token: BTreeMap<u64, Machine>,
    highest_token: u64,
    last_call: BTreeMap<Machine, u64>,
    last_leader: Option<Machine>,
    has_two_leaders: bool,
    has_lower_token: bool,
    has_alternation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Head of each view, starting with epoch 1.
    heads: Vec<Machine>,
    nodes: [Node; 2],
    in_flight: BTreeSet<SentCall>,
    thawed_at: BTreeMap<Machine, u64>,
    /// Number of the latest entry that begins a term.
    latest_term: u64,
    platform: Platform,
    freezes: u8,
    restarts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Advance,
    DecideView {
        head: Machine,
    },
    Learn {
        machine: Machine,
        epoch: u64,
    },
    StartCall(Machine),
    WriteCall(Machine),
    /// A call in flight arrives. A call that never does is lost.
    Arrive(SentCall),
    Freeze(Machine),
    Thaw(Machine),
    Restart(Machine),
}

impl State {
    fn latest_epoch(&self) -> u64 {
        self.heads.len() as u64
    }

    fn head_of(&self, epoch: u64) -> Machine {
        self.heads[epoch as usize - 1]
    }

    fn is_head(&self, machine: Machine) -> bool {
        self.head_of(self.nodes[machine].epoch) == machine
    }

    /// Confirms the latest view: nodes in it are confirmed by a quorum; its head begins a term and records on its disk that
    /// it acts.
    fn confirm_views(&mut self, waits: LeaseWaits) {
        let latest = self.latest_epoch();
        for machine in MACHINES {
            let is_head = self.is_head(machine);
            let node = &mut self.nodes[machine];
            if node.is_frozen || node.epoch != latest || !is_head {
                continue;
            }
            node.confirmed_at = Some(NOW);
            if node.term.is_none() {
                self.latest_term += 1;
                node.term = Some(self.latest_term);
            }
            node.has_acted |= node.valid_token(waits).is_some();
        }
    }

    /// Advances the time by one step.
    fn advance(&mut self, waits: LeaseWaits) {
        self.platform.last_call.values_mut().for_each(|at| *at -= 1);
        self.platform.last_call.retain(|_, at| *at + LEASE > NOW);
        self.thawed_at.values_mut().for_each(|at| *at -= 1);
        self.thawed_at.retain(|_, at| *at + THAW_SLACK >= NOW);
        self.in_flight = self
            .in_flight
            .iter()
            .map(|call| SentCall { sent_at: call.sent_at - 1, ..*call })
            .filter(|call| call.sent_at + TRANSIT >= NOW)
            .collect();
        self.nodes.iter_mut().for_each(|node| node.advance(waits));
    }

    /// Processes a call that arrives at the platform.
    fn receive(&mut self, call: SentCall) {
        if self.thawed_at.contains_key(&call.sender) {
            return;
        }
        let platform = &mut self.platform;
        let known = *platform.leader_of_token.entry(call.token).or_insert(call.sender);
        platform.has_two_leaders |= known != call.sender;
        platform.has_lower_token |= call.token < platform.highest_token;
        let acted_before = platform.last_call.contains_key(&call.sender);
        platform.has_alternation |= acted_before && platform.last_leader != Some(call.sender);
        platform.highest_token = platform.highest_token.max(call.token);
        platform.last_call.insert(call.sender, NOW);
        platform.last_leader = Some(call.sender);
    }
}

impl Node {
    /// Returns a process that was just started and has not entered its view yet.
    fn started(epoch: u64, has_acted: bool) -> Node {
        Node {
            epoch,
            tenure: Vec::new(),
            confirmed_at: None,
            term: None,
            has_acted,
            started_call: None,
            is_frozen: false,
        }
    }

    /// Returns the token under which the node may act now, if it may.
    fn valid_token(&self, waits: LeaseWaits) -> Option<u64> {
        let mut lease = RoleLease::default();
        for view in &self.tenure {
            lease.acquire(view.at, view.epoch, view.was_head, waits);
        }
        lease.valid_epoch(NOW, self.confirmed_at, VALIDITY)?;
        self.term
    }

    /// Advances the time by one step. Times before the longest wait of a new head are equivalent.
    fn advance(&mut self, waits: LeaseWaits) {
        for view in &mut self.tenure {
            view.at = (view.at - 1).max(NOW - waits.after_another_head);
        }
        self.confirmed_at = self.confirmed_at.map(|at| at - 1).filter(|at| at + VALIDITY > NOW);
        if let Some(call) = &mut self.started_call {
            call.started_at = (call.started_at - 1).max(NOW - WRITE_LIMIT);
        }
    }
}

impl Roles {
    /// Returns how long a new head waits, in steps.
    fn waits(&self) -> LeaseWaits {
        let after_another_head = match self.planted {
            Planted::ShortLease => LEASE - 1,
            Planted::NoWait => 0,
            _ => LEASE + ARRIVAL,
        };
        let after_own_process = if self.planted == Planted::NoWaitForOwnCalls { 0 } else { TRANSIT + 1 };
        let after_own_term = if self.planted == Planted::NoWaitForOwnTerm { 0 } else { TRANSIT + 1 };
        LeaseWaits { after_another_head, after_own_process, after_own_term }
    }

    /// Makes a node enter a view, as `process::view_changed` does. `former` is the view that the same process knew before.
    fn enter_view(&self, state: &mut State, machine: Machine, epoch: u64, former: Option<u64>) {
        let was_head = match former {
            Some(former) => {
                let is_next = former + 1 == epoch || self.planted == Planted::MissedViewIgnored;
                state.head_of(former) == state.head_of(epoch) && is_next
            }
            None => {
                let acted = state.nodes[machine].has_acted;
                epoch == 1 || acted || self.planted == Planted::NoWaitAfterRestart
            }
        };
        let is_head = state.head_of(epoch) == machine;
        let node = &mut state.nodes[machine];
        node.epoch = epoch;
        node.term = None;
        node.confirmed_at = None;
        node.has_acted &= former.is_none();
        if is_head {
            node.tenure.push(EnteredView { at: NOW, epoch, was_head });
        } else {
            node.tenure.clear();
        }
    }

    fn restart(&self, state: &mut State, machine: Machine) {
        let Node { epoch, has_acted, term, .. } = state.nodes[machine].clone();
        if self.planted == Planted::TokenReused && term == Some(state.latest_term) {
            state.latest_term -= 1;
        }
        state.restarts += 1;
        state.nodes[machine] = Node::started(epoch, has_acted);
        self.enter_view(state, machine, epoch, None);
    }

    fn write(&self, state: &mut State, machine: Machine) {
        let Some(call) = state.nodes[machine].started_call.take() else { return };
        let is_in_time = NOW < call.started_at + WRITE_LIMIT;
        if is_in_time || self.planted == Planted::NoCheckBeforeWriting {
            state.in_flight.insert(SentCall { sender: machine, token: call.token, sent_at: NOW });
        }
    }

    /// Returns whether a node may start a call. One call at a time under one term is enough: all have the same token, so the
    /// order in which they arrive does not matter.
    fn may_start_call(&self, state: &State, machine: Machine) -> bool {
        let Some(token) = state.nodes[machine].valid_token(self.waits()) else { return false };
        let own = || state.in_flight.iter().filter(|call| call.sender == machine);
        own().all(|call| call.token != token) && own().count() < MAX_IN_FLIGHT
    }

    fn actions_of_machine(&self, state: &State, machine: Machine, actions: &mut Vec<Action>) {
        let node = &state.nodes[machine];
        if node.is_frozen {
            return actions.push(Action::Thaw(machine));
        }
        let latest = state.latest_epoch();
        actions.extend((node.epoch + 1..=latest).map(|epoch| Action::Learn { machine, epoch }));
        if node.started_call.is_some() {
            actions.push(Action::WriteCall(machine));
        } else if self.may_start_call(state, machine) {
            actions.push(Action::StartCall(machine));
        }
        if state.freezes < self.disturbances.freezes {
            actions.push(Action::Freeze(machine));
        }
        if state.restarts < self.disturbances.restarts {
            actions.push(Action::Restart(machine));
        }
    }
}

impl Model for Roles {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            heads: vec![MACHINES[0]],
            nodes: [Node::started(1, false), Node::started(1, false)],
            in_flight: BTreeSet::new(),
            thawed_at: BTreeMap::new(),
            latest_term: 0,
            platform: Platform::default(),
            freezes: 0,
            restarts: 0,
        };
        for machine in MACHINES {
            self.enter_view(&mut state, machine, 1, None);
        }
        state.confirm_views(self.waits());
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Advance);
        if state.latest_epoch() < self.disturbances.views {
            actions.extend(MACHINES.map(|head| Action::DecideView { head }));
        }
        for machine in MACHINES {
            self.actions_of_machine(state, machine, actions);
        }
        actions.extend(state.in_flight.iter().copied().map(Action::Arrive));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Advance => state.advance(self.waits()),
            Action::DecideView { head } => state.heads.push(head),
            Action::Learn { machine, epoch } => {
                self.enter_view(&mut state, machine, epoch, Some(last.nodes[machine].epoch));
            }
            Action::StartCall(machine) => {
                let token = state.nodes[machine].valid_token(self.waits())?;
                state.nodes[machine].started_call = Some(StartedCall { token, started_at: NOW });
                // If no freeze can follow, the moment within the step at which the call is written does not matter.
                if state.freezes == self.disturbances.freezes {
                    self.write(&mut state, machine);
                }
            }
            Action::WriteCall(machine) => self.write(&mut state, machine),
            Action::Arrive(call) => {
                state.in_flight.remove(&call);
                state.receive(call);
            }
            Action::Freeze(machine) => {
                state.freezes += 1;
                state.nodes[machine].is_frozen = true;
            }
            Action::Thaw(machine) => {
                state.nodes[machine].is_frozen = false;
                state.thawed_at.insert(machine, NOW);
            }
            Action::Restart(machine) => self.restart(&mut state, machine),
        }
        state.confirm_views(self.waits());
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_LEADER, |_, state: &State| !state.platform.has_two_leaders),
            Property::always(TOKENS_INCREASE, |_, state: &State| !state.platform.has_lower_token),
            Property::always(NO_ALTERNATION, |_, state: &State| !state.platform.has_alternation),
            Property::sometimes("both machines act", |_, state: &State| {
                let leaders = &state.platform.leader_of_token;
                MACHINES.iter().all(|machine| leaders.values().any(|leader| leader == machine))
            }),
        ]
    }
}

#[rstest]
#[case::freezes(FREEZE)]
#[case::restarts(RESTART)]
fn the_lease_keeps_its_guarantees(#[case] disturbances: Disturbances) {
    let model = Roles { planted: Planted::Nothing, disturbances };
    let checker =
        model.checker().threads(THREADS).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    println!(
        "{disturbances:?}: {} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}

/// Number of states after which a planted fault counts as not found; each fault is found after far fewer.
const STATE_LIMIT: usize = 3_000_000;
const FREEZE: Disturbances = Disturbances { views: 3, freezes: 1, restarts: 0 };
const RESTART: Disturbances = Disturbances { views: 3, freezes: 0, restarts: 1 };
const NEITHER: Disturbances = Disturbances { views: 3, freezes: 0, restarts: 0 };

#[rstest]
#[case::short_lease(Planted::ShortLease, NEITHER, NO_ALTERNATION)]
#[case::no_wait(Planted::NoWait, NEITHER, TOKENS_INCREASE)]
#[case::token_reused(Planted::TokenReused, RESTART, ONE_LEADER)]
#[case::no_check_before_writing(Planted::NoCheckBeforeWriting, FREEZE, TOKENS_INCREASE)]
#[case::no_wait_after_restart(Planted::NoWaitAfterRestart, RESTART, TOKENS_INCREASE)]
#[case::missed_view_ignored(Planted::MissedViewIgnored, NEITHER, TOKENS_INCREASE)]
#[case::no_wait_for_own_term(Planted::NoWaitForOwnTerm, NEITHER, TOKENS_INCREASE)]
#[case::no_wait_for_own_calls(Planted::NoWaitForOwnCalls, RESTART, TOKENS_INCREASE)]
fn each_planted_fault_is_found(
    #[case] planted: Planted,
    #[case] disturbances: Disturbances,
    #[case] broken: &'static str,
) {
    let model = Roles { planted, disturbances };
    let finish = HasDiscoveries::AnyOf([broken].into());
    let checker = model
        .checker()
        .threads(THREADS)
        .finish_when(finish)
        .target_state_count(STATE_LIMIT)
        .spawn_bfs()
        .join();
    println!(
        "{planted:?}: {} states, {} of them different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    assert!(checker.discovery(broken).is_some(), "{planted:?} was not found");
}
