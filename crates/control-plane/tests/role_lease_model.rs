//! Model check of the lease of the singleton roles: two machines that are the head in turn, with freezes between the
//! proof and the sending of a call, calls that arrive late, and restarts. Whether a machine may act is decided by
//! [`RoleLease`]; the calls are judged as the platform's page states.
//!
//! Time goes on in steps, and it's always the step [`NOW`]: as one passes, all that was moves back by one, so that
//! equal situations at different times are one state. A confirmation of a view is as late as it can be, a term begins
//! and is noted on the disk as early: what is allowed later or not yet is allowed then, too.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_control_plane::role_lease::{LeaseWaits, RoleLease};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};

const THREADS: usize = 3;

/// A quorum has to have confirmed the view within this time before a call is begun, in steps.
const VALIDITY: u64 = 2;
/// A call that isn't written within this time after its beginning is dropped, in steps.
const WRITE_LIMIT: u64 = 1;
/// A call that was written arrives within this time or never, in steps.
const TRANSIT: u64 = 1;
/// A call arrives at most this long after the last confirmation of its sender's view, in steps.
const ARRIVAL: u64 = VALIDITY + WRITE_LIMIT + TRANSIT;
/// Holders may not act in the order A, B, A within this time, in steps (`bounds.lease-ms`).
const LEASE: u64 = 4;
/// Calls that arrive within this time after a thaw of their sender don't count, in steps (`bounds.thaw-slack-ms`).
const THAW_SLACK: u64 = 1;
/// The present, in steps. Nothing that is older than a wait matters, so it's later than the longest.
const NOW: u64 = 40;
/// Calls of a machine that are on their way at once: a late one and one that overtakes it.
const MAX_IN_FLIGHT: usize = 2;

const ONE_HOLDER: &str = "no fencing token has two holders";
const TOKENS_GROW: &str = "fencing tokens never go down";
const NO_TURNS: &str = "holders take no turns within a lease";

/// A fault planted into the model to see that the check finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A new head waits for less than the lease, and not for late calls.
    ShortLease,
    /// A new head doesn't wait at all.
    NoWait,
    /// The entry that begins a term is lost with a restart, and its number given again.
    TokenReused,
    /// A call is written however long ago its beginning is.
    NoCheckBeforeWriting,
    /// A start takes itself for the leader that went before it in every view.
    NoWaitAfterRestart,
    /// A head that missed a view takes itself for the head of that one, too.
    MissedViewIgnored,
    /// A head doesn't wait for calls that it made under its term in the view before.
    NoWaitForOwnTerm,
    /// A start doesn't wait for calls of the process before.
    NoWaitForOwnCalls,
}

/// How often what disturbs happens.
#[derive(Clone, Copy, Debug)]
struct Disturbances {
    /// Views in all; the machines head them in turn, or the same one twice in a row.
    views: u64,
    freezes: u8,
    restarts: u8,
}

struct Roles {
    planted: Planted,
    disturbances: Disturbances,
}

/// Index of a machine.
type Machine = usize;
const MACHINES: [Machine; 2] = [0, 1];

/// A call that its machine has decided to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct BegunCall {
    token: u64,
    begun_at: u64,
}

/// A call on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct SentCall {
    sender: Machine,
    token: u64,
    sent_at: u64,
}

/// A view that a machine entered as its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EnteredView {
    at: u64,
    epoch: u64,
    was_head: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// Latest view that it knows.
    epoch: u64,
    /// Since when it has been the head: each view that it entered as such, oldest first.
    tenure: Vec<EnteredView>,
    /// Last time at which a quorum was in its view.
    confirmed_at: Option<u64>,
    term: Option<u64>,
    /// Its disk says that it acted as the head of this view.
    has_acted: bool,
    begun: Option<BegunCall>,
    is_frozen: bool,
}

/// What the platform has received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Platform {
    holder_of_token: BTreeMap<u64, Machine>,
    highest_token: u64,
    last_call: BTreeMap<Machine, u64>,
    last_holder: Option<Machine>,
    has_two_holders: bool,
    has_lower_token: bool,
    has_turns: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Head of each view, from epoch 1 on.
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
    Pass,
    DecideView {
        head: Machine,
    },
    Learn {
        machine: Machine,
        epoch: u64,
    },
    BeginCall(Machine),
    WriteCall(Machine),
    /// A call that never does is lost.
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

    /// Quorums are in the latest view: machines in that one are confirmed, its head begins a term, and notes on its disk
    /// that it acts.
    fn settle(&mut self, waits: LeaseWaits) {
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

    /// One step of time passes.
    fn pass(&mut self, waits: LeaseWaits) {
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
        self.nodes.iter_mut().for_each(|node| node.pass(waits));
    }

    /// A call arrives at the platform.
    fn receive(&mut self, call: SentCall) {
        if self.thawed_at.contains_key(&call.sender) {
            return;
        }
        let platform = &mut self.platform;
        let known = *platform.holder_of_token.entry(call.token).or_insert(call.sender);
        platform.has_two_holders |= known != call.sender;
        platform.has_lower_token |= call.token < platform.highest_token;
        let acted_before = platform.last_call.contains_key(&call.sender);
        platform.has_turns |= acted_before && platform.last_holder != Some(call.sender);
        platform.highest_token = platform.highest_token.max(call.token);
        platform.last_call.insert(call.sender, NOW);
        platform.last_holder = Some(call.sender);
    }
}

impl Node {
    /// A process that has just been started, before it enters its view.
    fn started(epoch: u64, has_acted: bool) -> Node {
        Node {
            epoch,
            tenure: Vec::new(),
            confirmed_at: None,
            term: None,
            has_acted,
            begun: None,
            is_frozen: false,
        }
    }

    /// The token under which it may act now, if it may.
    fn valid_token(&self, waits: LeaseWaits) -> Option<u64> {
        let mut lease = RoleLease::default();
        for view in &self.tenure {
            lease.acquire(view.at, view.epoch, view.was_head, waits);
        }
        lease.valid_epoch(NOW, self.confirmed_at, VALIDITY)?;
        self.term
    }

    /// One step of time passes. What is longer ago than the wait of a new head is all the same.
    fn pass(&mut self, waits: LeaseWaits) {
        for view in &mut self.tenure {
            view.at = (view.at - 1).max(NOW - waits.after_another_head);
        }
        self.confirmed_at = self.confirmed_at.map(|at| at - 1).filter(|at| at + VALIDITY > NOW);
        if let Some(call) = &mut self.begun {
            call.begun_at = (call.begun_at - 1).max(NOW - WRITE_LIMIT);
        }
    }
}

impl Roles {
    /// How long a new head waits, in steps.
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

    /// A machine enters a view, as `process::view_changed` does. `former` is the view that the same process knew before.
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
        let Some(call) = state.nodes[machine].begun.take() else { return };
        let is_in_time = NOW < call.begun_at + WRITE_LIMIT;
        if is_in_time || self.planted == Planted::NoCheckBeforeWriting {
            state.in_flight.insert(SentCall { sender: machine, token: call.token, sent_at: NOW });
        }
    }

    /// Whether a machine begins a call. One at a time under one term is enough: all have the same token, and which of
    /// them arrives first is all the same.
    fn may_begin(&self, state: &State, machine: Machine) -> bool {
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
        if node.begun.is_some() {
            actions.push(Action::WriteCall(machine));
        } else if self.may_begin(state, machine) {
            actions.push(Action::BeginCall(machine));
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
        state.settle(self.waits());
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Pass);
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
            Action::Pass => state.pass(self.waits()),
            Action::DecideView { head } => state.heads.push(head),
            Action::Learn { machine, epoch } => {
                self.enter_view(&mut state, machine, epoch, Some(last.nodes[machine].epoch));
            }
            Action::BeginCall(machine) => {
                let token = state.nodes[machine].valid_token(self.waits())?;
                state.nodes[machine].begun = Some(BegunCall { token, begun_at: NOW });
                // Where no freeze can come in between, it's all the same when in the step it's written.
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
        state.settle(self.waits());
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_HOLDER, |_, state: &State| !state.platform.has_two_holders),
            Property::always(TOKENS_GROW, |_, state: &State| !state.platform.has_lower_token),
            Property::always(NO_TURNS, |_, state: &State| !state.platform.has_turns),
            Property::sometimes("both machines act", |_, state: &State| {
                let holders = &state.platform.holder_of_token;
                MACHINES.iter().all(|machine| holders.values().any(|holder| holder == machine))
            }),
        ]
    }
}

#[rstest]
#[case::freezes(FREEZE)]
#[case::restarts(RESTART)]
fn the_lease_holds(#[case] disturbances: Disturbances) {
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

/// States after which a planted fault counts as not found: far above what each takes.
const STATE_LIMIT: usize = 3_000_000;
const FREEZE: Disturbances = Disturbances { views: 3, freezes: 1, restarts: 0 };
const RESTART: Disturbances = Disturbances { views: 3, freezes: 0, restarts: 1 };
const NEITHER: Disturbances = Disturbances { views: 3, freezes: 0, restarts: 0 };

#[rstest]
#[case::short_lease(Planted::ShortLease, NEITHER, NO_TURNS)]
#[case::no_wait(Planted::NoWait, NEITHER, TOKENS_GROW)]
#[case::token_reused(Planted::TokenReused, RESTART, ONE_HOLDER)]
#[case::no_check_before_writing(Planted::NoCheckBeforeWriting, FREEZE, TOKENS_GROW)]
#[case::no_wait_after_restart(Planted::NoWaitAfterRestart, RESTART, TOKENS_GROW)]
#[case::missed_view_ignored(Planted::MissedViewIgnored, NEITHER, TOKENS_GROW)]
#[case::no_wait_for_own_term(Planted::NoWaitForOwnTerm, NEITHER, TOKENS_GROW)]
#[case::no_wait_for_own_calls(Planted::NoWaitForOwnCalls, RESTART, TOKENS_GROW)]
fn a_planted_fault_is_found(
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
    assert!(checker.discovery(broken).is_some(), "{planted:?} wasn't found");
}
