//! Model check of admission over the replicated log, under every order of messages, disk writes, time-outs, crashes and
//! requests, with `stateright` up to a given depth. It runs the code itself: a state is the sequence of actions that led to
//! it, replayed for each step, and is identified by the members' state, the messages in flight and the durable data.
//!
//! A message that is never delivered was lost, so losses need no action of their own.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use orchidvalve_maintenance::Nanos;
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::queue::{Command, Event, MaintenanceQueue, Timing};
use orchidvalve_maintenance::raft_group::{Group, GroupSettings, Inbox, LogUpdate, OutputSink, RecoveredLog};
use stateright::{Checker, Model, Property};

const TICK: Nanos = 1_000_000;
const MEMBERS: usize = 3;
/// Two machines that hold the same shard.
const REPLICAS: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// The message in flight at this position is delivered.
    Deliver(usize),
    /// The first pending write of a member becomes durable.
    WriteCompletes(usize),
    /// Time passes at one member: enough ticks for it to start an election.
    TimePasses(usize),
    /// A member crashes and restarts with its durable data.
    Crash(usize),
    /// An operator requests one of the replicas at a member, which accepts it only if it leads.
    Request(usize, usize),
}

#[derive(Default)]
struct World {
    groups: Vec<Option<Group>>,
    disks: Vec<RecoveredLog>,
    pending_writes: Vec<VecDeque<(u64, LogUpdate)>>,
    now: Vec<Nanos>,
    in_flight: Vec<(usize, Vec<u8>)>,
}

struct Out<'a> {
    sent: &'a mut Vec<(usize, Vec<u8>)>,
    pending_writes: &'a mut VecDeque<(u64, LogUpdate)>,
}

impl OutputSink for Out<'_> {
    fn send(&mut self, to: u64, message: Vec<u8>) {
        self.sent.push((to as usize - 1, message));
    }
    fn save(&mut self, number: u64, saved: LogUpdate) {
        self.pending_writes.push_back((number, saved));
    }
}

fn observation() -> (BTreeMap<String, ObservedMachine>, DisruptionBudget, Timing) {
    let seen =
        |_: &&str| ObservedMachine { cell: 0, zone: "z".into(), health: Health::Healthy, started_ms: 1 };
    let seen = REPLICAS.iter().map(|m| ((*m).to_owned(), seen(m))).collect();
    let rule = DisruptionBudget { cells: 1, reach: 1, zone_share: 1.0, ..DisruptionBudget::default() };
    (seen, rule, Timing { drain: 1_000 * TICK, look_lasts: 1_000_000 * TICK })
}

impl World {
    fn new() -> World {
        let mut world = World {
            groups: (0..MEMBERS).map(|_| None).collect(),
            disks: vec![RecoveredLog::default(); MEMBERS],
            pending_writes: vec![VecDeque::new(); MEMBERS],
            now: vec![0; MEMBERS],
            in_flight: Vec::new(),
        };
        (0..MEMBERS).for_each(|n| world.start(n));
        world
    }

    fn start(&mut self, n: usize) {
        let group =
            Group::new(&GroupSettings::new(n as u64 + 1, vec![1, 2, 3], TICK), &self.disks[n], self.now[n]);
        self.groups[n] = Some(group.expect("the durable log is complete"));
    }

    fn round(&mut self, n: usize, inputs: impl FnOnce(&mut Inbox)) {
        let Some(group) = &mut self.groups[n] else { return };
        let mut out = Out { sent: &mut self.in_flight, pending_writes: &mut self.pending_writes[n] };
        let (seen, rule, pace) = observation();
        group.round(
            self.now[n],
            |inbox| {
                inbox.observation(seen, rule, pace);
                inputs(inbox);
            },
            &mut out,
        );
    }

    fn durable(&mut self, n: usize) {
        let Some((number, saved)) = self.pending_writes[n].pop_front() else { return };
        self.disks[n].apply(&saved);
        self.round(n, |inbox| {
            if number > 0 {
                inbox.durable(number);
            }
        });
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Deliver(k) => {
                // The message is removed: it arrives again only if it is sent again.
                let (to, bytes) = self.in_flight.remove(k);
                self.round(to, |inbox| inbox.message(bytes));
            }
            Action::WriteCompletes(n) => self.durable(n),
            Action::TimePasses(n) => {
                self.now[n] += 17 * TICK;
                self.round(n, |_| {});
            }
            Action::Crash(n) => {
                self.pending_writes[n].clear();
                self.start(n);
            }
            Action::Request(n, replica) => {
                let machine = REPLICAS[replica].to_owned();
                let (by, why, nonce) = (String::new(), String::new(), replica as u64 + 1);
                let long = 1_000_000 * TICK;
                let request = Command::Request { machine, by, why, lasts: long, waits: long, nonce };
                self.round(n, |inbox| inbox.command(request));
            }
        }
    }

    /// Delivers all messages and completes all writes at the members of `side`. Messages to others are lost.
    fn settle(&mut self, side: &[usize]) {
        for _ in 0..60 {
            self.in_flight.retain(|(to, _)| side.contains(to));
            if self.in_flight.is_empty() && side.iter().all(|&n| self.pending_writes[n].is_empty()) {
                return;
            }
            if !self.in_flight.is_empty() {
                self.apply(Action::Deliver(0));
            }
            for &n in side {
                while !self.pending_writes[n].is_empty() {
                    self.durable(n);
                }
            }
        }
    }

    fn queues(&self) -> impl Iterator<Item = &MaintenanceQueue> {
        self.groups.iter().flatten().map(Group::queue)
    }

    fn fingerprint(&self) -> Vec<u8> {
        let groups: Vec<String> = self
            .groups
            .iter()
            .flatten()
            .map(|g| {
                format!(
                    "{:?} {:?} {} {:?} {:?}",
                    g.progress(),
                    g.leader(),
                    g.leads(),
                    g.queue().events,
                    g.queue().version
                )
            })
            .collect();
        let disks: Vec<_> = self.disks.iter().map(|d| (&d.hard, &d.entries)).collect();
        format!("{groups:?} {disks:?} {:?} {:?} {:?}", self.pending_writes, self.in_flight, self.now)
            .into_bytes()
    }
}

/// Start of a search: the actions before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Start {
    /// The first member leads, and all members know it.
    LeaderElected,
    /// The first member leads and has accepted a request for one replica, which it has not sent to anybody yet.
    RequestAccepted,
    /// As before, but the first member is partitioned and the others have elected the second one.
    LeaderDeposed,
    /// One replica was admitted, and the leader crashed before the others learned of it.
    LeaderCrashed,
}

fn start_world(start: Start) -> World {
    let mut world = World::new();
    world.apply(Action::TimePasses(0));
    world.settle(&[0, 1, 2]);
    assert!(world.groups[0].as_ref().is_some_and(Group::leads), "the first member leads");
    // One more round, so that the observation is proposed and committed.
    world.apply(Action::TimePasses(0));
    world.settle(&[0, 1, 2]);
    match start {
        Start::LeaderElected => {}
        Start::RequestAccepted => world.apply(Action::Request(0, 0)),
        Start::LeaderDeposed => {
            world.apply(Action::Request(0, 0));
            world.in_flight.clear();
            // The third member has also noticed that the leader is unresponsive. Its own candidacy is lost.
            world.apply(Action::TimePasses(2));
            world.settle(&[2]);
            world.in_flight.clear();
            world.apply(Action::TimePasses(1));
            world.settle(&[1, 2]);
            assert!(world.groups[1].as_ref().is_some_and(Group::leads), "the second member leads");
        }
        Start::LeaderCrashed => {
            world.apply(Action::Request(0, 0));
            world.settle(&[0, 1]);
            world.apply(Action::Crash(0));
            world.in_flight.clear();
        }
    }
    world
}

#[derive(Clone, Debug)]
struct State {
    start: Start,
    actions: Vec<Action>,
    /// Fingerprint of the world after the actions.
    fingerprint: Vec<u8>,
    violation: Option<String>,
    possible_actions: Vec<Action>,
    admitted: bool,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint.hash(hasher);
    }
}

/// Returns a violated invariant, if any.
fn violation(world: &World) -> Option<String> {
    let mut events = BTreeMap::new();
    for queue in world.queues() {
        if queue.unavailable().len() > 1 {
            return Some(format!("both replicas are unavailable: {:?}", queue.events));
        }
        for replica in REPLICAS {
            let requested =
                queue.events.iter().filter(|e| e.machine == replica && e.event == Event::Requested);
            if requested.count() > 1 {
                return Some(format!("{replica} was requested twice: {:?}", queue.events));
            }
        }
        for e in &queue.events {
            let first = events.entry((e.version, e.machine.clone(), e.event)).or_insert(e.at);
            if *first != e.at {
                return Some(format!("{e:?} is at {first} elsewhere"));
            }
        }
    }
    // Members with the same version of the queue have the same events.
    for a in world.queues() {
        for b in world.queues().filter(|b| b.version == a.version) {
            if a.events != b.events {
                return Some(format!("version {}: {:?} and {:?}", a.version, a.events, b.events));
            }
        }
    }
    None
}

fn state(start: Start, actions: Vec<Action>) -> State {
    let mut world = start_world(start);
    actions.iter().for_each(|&action| world.apply(action));
    let count = |of: fn(&Action) -> bool| actions.iter().filter(|a| of(a)).count();
    let mut possible_actions: Vec<Action> = (0..world.in_flight.len()).map(Action::Deliver).collect();
    possible_actions
        .extend((0..MEMBERS).filter(|&n| !world.pending_writes[n].is_empty()).map(Action::WriteCompletes));
    if count(|a| matches!(a, Action::TimePasses(_))) < 2 {
        possible_actions.extend((0..MEMBERS).map(Action::TimePasses));
    }
    if count(|a| matches!(a, Action::Crash(_))) < 1 {
        possible_actions.extend((0..MEMBERS).map(Action::Crash));
    }
    for replica in 0..REPLICAS.len() {
        let requests = (0..MEMBERS).filter(|&n| world.groups[n].as_ref().is_some_and(Group::leads));
        possible_actions
            .extend(requests.map(|n| Action::Request(n, replica)).filter(|a| !actions.contains(a)));
    }
    let admitted = world.queues().any(|o| !o.unavailable().is_empty());
    State {
        start,
        fingerprint: world.fingerprint(),
        violation: violation(&world),
        possible_actions,
        admitted,
        actions,
    }
}

struct Admissions;

impl Model for Admissions {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        [Start::LeaderElected, Start::RequestAccepted, Start::LeaderDeposed, Start::LeaderCrashed]
            .map(|start| state(start, Vec::new()))
            .to_vec()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend(&state.possible_actions);
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut actions = last.actions.clone();
        actions.push(action);
        Some(state(last.start, actions))
    }

    fn properties(&self) -> Vec<Property<Admissions>> {
        vec![
            Property::always("one queue, and never both replicas unavailable", |_, s: &State| {
                s.violation.is_none()
            }),
            Property::sometimes("a replica goes out", |_, s: &State| s.admitted),
        ]
    }
}

#[test]
fn both_replicas_are_never_out_at_the_same_time() {
    // For a deeper search: MODEL_DEPTH=7.
    let depth = std::env::var("MODEL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(3);
    let checker = Admissions.checker().target_max_depth(depth + 1).threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them unlike, to {depth} steps",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}
