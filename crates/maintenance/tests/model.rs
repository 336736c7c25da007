//! The admission over the replicated log under every order of messages, disk writes, time-outs, crashes and asks, up to a
//! depth, by `stateright`. The group is the code itself: a state is the actions that led to it, played again for each
//! step, and told from others by what the members hold, what is under way and what is durable.
//!
//! A message that is never delivered is one that was lost, so losses need no action of their own.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use orchidvalve_maintenance::Nanos;
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::queue::{Command, Event, MaintenanceQueue, Timing};
use orchidvalve_maintenance::raft_group::{Group, GroupSettings, Inbox, LogUpdate, OutputSink, RecoveredLog};
use stateright::{Checker, Model, Property};

const TICK: Nanos = 1_000_000;
const MEMBERS: usize = 3;
/// Both hold the same shard.
const TWINS: [&str; 2] = ["a", "b"];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// The message at that place of those under way arrives; it may arrive again.
    Arrives(usize),
    /// The first of a member's writes is durable.
    Durable(usize),
    /// So many ticks pass at one member: enough for it to stand for election.
    Elapses(usize),
    /// It dies, and comes back with what was durable.
    Dies(usize),
    /// An operator asks for one of the twins at a member, which takes it only if it leads.
    Asks(usize, usize),
}

#[derive(Default)]
struct World {
    groups: Vec<Option<Group>>,
    disks: Vec<RecoveredLog>,
    saving: Vec<VecDeque<(u64, LogUpdate)>>,
    now: Vec<Nanos>,
    under_way: Vec<(usize, Vec<u8>)>,
}

struct Out<'a> {
    sent: &'a mut Vec<(usize, Vec<u8>)>,
    saving: &'a mut VecDeque<(u64, LogUpdate)>,
}

impl OutputSink for Out<'_> {
    fn send(&mut self, to: u64, message: Vec<u8>) {
        self.sent.push((to as usize - 1, message));
    }
    fn save(&mut self, number: u64, saved: LogUpdate) {
        self.saving.push_back((number, saved));
    }
}

fn look() -> (BTreeMap<String, ObservedMachine>, DisruptionBudget, Timing) {
    let seen =
        |_: &&str| ObservedMachine { cell: 0, zone: "z".into(), health: Health::Healthy, started_ms: 1 };
    let seen = TWINS.iter().map(|m| ((*m).to_owned(), seen(m))).collect();
    let rule = DisruptionBudget { cells: 1, reach: 1, zone_share: 1.0, ..DisruptionBudget::default() };
    (seen, rule, Timing { drain: 1_000 * TICK, look_lasts: 1_000_000 * TICK })
}

impl World {
    fn new() -> World {
        let mut world = World {
            groups: (0..MEMBERS).map(|_| None).collect(),
            disks: vec![RecoveredLog::default(); MEMBERS],
            saving: vec![VecDeque::new(); MEMBERS],
            now: vec![0; MEMBERS],
            under_way: Vec::new(),
        };
        (0..MEMBERS).for_each(|n| world.start(n));
        world
    }

    fn start(&mut self, n: usize) {
        let group =
            Group::new(&GroupSettings::new(n as u64 + 1, vec![1, 2, 3], TICK), &self.disks[n], self.now[n]);
        self.groups[n] = Some(group.expect("what is durable is whole"));
    }

    fn round(&mut self, n: usize, inputs: impl FnOnce(&mut Inbox)) {
        let Some(group) = &mut self.groups[n] else { return };
        let mut out = Out { sent: &mut self.under_way, saving: &mut self.saving[n] };
        let (seen, rule, pace) = look();
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
        let Some((number, saved)) = self.saving[n].pop_front() else { return };
        self.disks[n].apply(&saved);
        self.round(n, |inbox| {
            if number > 0 {
                inbox.durable(number);
            }
        });
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Arrives(k) => {
                // The same one may arrive again only as a copy that was sent again: it is taken out.
                let (to, bytes) = self.under_way.remove(k);
                self.round(to, |inbox| inbox.message(bytes));
            }
            Act::Durable(n) => self.durable(n),
            Act::Elapses(n) => {
                self.now[n] += 17 * TICK;
                self.round(n, |_| {});
            }
            Act::Dies(n) => {
                self.saving[n].clear();
                self.start(n);
            }
            Act::Asks(n, twin) => {
                let machine = TWINS[twin].to_owned();
                let (by, why, nonce) = (String::new(), String::new(), twin as u64 + 1);
                let long = 1_000_000 * TICK;
                let ask = Command::Request { machine, by, why, lasts: long, waits: long, nonce };
                self.round(n, |inbox| inbox.command(ask));
            }
        }
    }

    /// All that is under way arrives and all writes end, at the members of `side`; what goes to others is lost.
    fn settle(&mut self, side: &[usize]) {
        for _ in 0..60 {
            self.under_way.retain(|(to, _)| side.contains(to));
            if self.under_way.is_empty() && side.iter().all(|&n| self.saving[n].is_empty()) {
                return;
            }
            if !self.under_way.is_empty() {
                self.act(Act::Arrives(0));
            }
            for &n in side {
                while !self.saving[n].is_empty() {
                    self.durable(n);
                }
            }
        }
    }

    fn orders(&self) -> impl Iterator<Item = &MaintenanceQueue> {
        self.groups.iter().flatten().map(Group::queue)
    }

    fn print(&self) -> Vec<u8> {
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
        format!("{groups:?} {disks:?} {:?} {:?} {:?}", self.saving, self.under_way, self.now).into_bytes()
    }
}

/// Where a search begins: what has happened before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Began {
    /// The first member leads, and all know it.
    Led,
    /// It leads, has taken an ask for one twin and told nobody yet.
    Asked,
    /// It has, is cut off, and the second member was elected by the others.
    Deposed,
    /// One twin was admitted, the leader then died before the others learned that it was.
    Dead,
}

fn begun(began: Began) -> World {
    let mut world = World::new();
    world.act(Act::Elapses(0));
    world.settle(&[0, 1, 2]);
    assert!(world.groups[0].as_ref().is_some_and(Group::leads), "the first member leads");
    // A round more, so that the look is proposed and agreed.
    world.act(Act::Elapses(0));
    world.settle(&[0, 1, 2]);
    match began {
        Began::Led => {}
        Began::Asked => world.act(Act::Asks(0, 0)),
        Began::Deposed => {
            world.act(Act::Asks(0, 0));
            world.under_way.clear();
            // The third has noticed the silence as well, and its own try is lost.
            world.act(Act::Elapses(2));
            world.settle(&[2]);
            world.under_way.clear();
            world.act(Act::Elapses(1));
            world.settle(&[1, 2]);
            assert!(world.groups[1].as_ref().is_some_and(Group::leads), "the second member leads");
        }
        Began::Dead => {
            world.act(Act::Asks(0, 0));
            world.settle(&[0, 1]);
            world.act(Act::Dies(0));
            world.under_way.clear();
        }
    }
    world
}

#[derive(Clone, Debug)]
struct State {
    began: Began,
    acts: Vec<Act>,
    /// Of what the world is after them.
    print: Vec<u8>,
    broken: Option<String>,
    options: Vec<Act>,
    admitted: bool,
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.print == other.print
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.print.hash(hasher);
    }
}

/// What must hold of all members' orders.
fn broken(world: &World) -> Option<String> {
    let mut events = BTreeMap::new();
    for order in world.orders() {
        if order.unavailable().len() > 1 {
            return Some(format!("both twins are out: {:?}", order.events));
        }
        for twin in TWINS {
            let asked = order.events.iter().filter(|e| e.machine == twin && e.event == Event::Requested);
            if asked.count() > 1 {
                return Some(format!("{twin} was taken twice: {:?}", order.events));
            }
        }
        for e in &order.events {
            let first = events.entry((e.version, e.machine.clone(), e.event)).or_insert(e.at);
            if *first != e.at {
                return Some(format!("{e:?} is at {first} elsewhere"));
            }
        }
    }
    // Members whose orders have come as far hold the same.
    for a in world.orders() {
        for b in world.orders().filter(|b| b.version == a.version) {
            if a.events != b.events {
                return Some(format!("version {}: {:?} and {:?}", a.version, a.events, b.events));
            }
        }
    }
    None
}

fn state(began: Began, acts: Vec<Act>) -> State {
    let mut world = begun(began);
    acts.iter().for_each(|&act| world.act(act));
    let count = |of: fn(&Act) -> bool| acts.iter().filter(|a| of(a)).count();
    let mut options: Vec<Act> = (0..world.under_way.len()).map(Act::Arrives).collect();
    options.extend((0..MEMBERS).filter(|&n| !world.saving[n].is_empty()).map(Act::Durable));
    if count(|a| matches!(a, Act::Elapses(_))) < 2 {
        options.extend((0..MEMBERS).map(Act::Elapses));
    }
    if count(|a| matches!(a, Act::Dies(_))) < 1 {
        options.extend((0..MEMBERS).map(Act::Dies));
    }
    for twin in 0..TWINS.len() {
        let asks = (0..MEMBERS).filter(|&n| world.groups[n].as_ref().is_some_and(Group::leads));
        options.extend(asks.map(|n| Act::Asks(n, twin)).filter(|a| !acts.contains(a)));
    }
    let admitted = world.orders().any(|o| !o.unavailable().is_empty());
    State { began, print: world.print(), broken: broken(&world), options, admitted, acts }
}

struct Admissions;

impl Model for Admissions {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        [Began::Led, Began::Asked, Began::Deposed, Began::Dead].map(|began| state(began, Vec::new())).to_vec()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        actions.extend(&state.options);
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut acts = last.acts.clone();
        acts.push(act);
        Some(state(last.began, acts))
    }

    fn properties(&self) -> Vec<Property<Admissions>> {
        vec![
            Property::always("one order, and never both twins", |_, s: &State| s.broken.is_none()),
            Property::sometimes("a twin goes out", |_, s: &State| s.admitted),
        ]
    }
}

#[test]
fn no_order_of_messages_writes_crashes_and_asks_lets_both_twins_out() {
    // A longer look: MODEL_DEPTH=7.
    let depth = std::env::var("MODEL_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(3);
    let checker = Admissions.checker().target_max_depth(depth + 1).threads(2).spawn_bfs().join();
    println!(
        "{} states, {} of them unlike, to {depth} steps",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}
