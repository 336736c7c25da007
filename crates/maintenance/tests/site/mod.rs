#![allow(dead_code)]
//! Front nodes on a network of virtual time: some members of the group, the others following; links that lose and delay, and
//! are cut; disks that are slow; nodes that die and come back with what was durable. Every event of every node's order is
//! recorded and checked as it comes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use orchidvalve_golden::Trace;
use orchidvalve_maintenance::Nanos;
use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::node::{Node, NodeSettings, OutputSink};
use orchidvalve_maintenance::queue::{Command, Event, QueueEvent, Stage, Timing};
use orchidvalve_maintenance::raft_group::{Group, GroupSettings, LogUpdate, RecoveredLog};

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub struct SimulatedNode {
    pub node: Option<Node>,
    /// What was handed over to be saved and is not durable yet, and when it will be.
    saving: Vec<(Nanos, u64, LogUpdate)>,
    pub disk: RecoveredLog,
}

pub struct Site {
    pub nodes: Vec<SimulatedNode>,
    pub members: usize,
    follow_interval: Nanos,
    pub now: Nanos,
    pub seen: BTreeMap<String, ObservedMachine>,
    pub rule: DisruptionBudget,
    pub pace: Timing,
    pub loss: f64,
    pub delay: Nanos,
    pub save_takes: Nanos,
    pub side: Vec<u8>,
    queue: BTreeMap<(Nanos, u64), (usize, usize, Vec<u8>)>,
    count: u64,
    chance: u64,
    /// Events by the order's version and their place in it, as the first node had them.
    pub events: BTreeMap<(u64, String, Event), QueueEvent>,
    pub by_version: BTreeMap<u64, Vec<(String, Event)>>,
    /// Taken machines as each node's order has them, by version.
    taken: BTreeMap<u64, BTreeSet<String>>,
    pub most_out: usize,
    nonce: u64,
    /// Of all that was sent and saved, if it is recorded.
    pub trace: Option<Trace>,
}

struct Sent<'a> {
    out: &'a mut Vec<(SocketAddrV4, Vec<u8>)>,
    saving: &'a mut Vec<(Nanos, u64, LogUpdate)>,
    at: Nanos,
    trace: Option<&'a mut Trace>,
}

impl OutputSink for Sent<'_> {
    fn send(&mut self, to: SocketAddrV4, datagram: Vec<u8>) {
        if let Some(trace) = &mut self.trace {
            trace.add_number(self.at as u64);
            trace.add(to.to_string().as_bytes());
            trace.add(&datagram);
        }
        self.out.push((to, datagram));
    }
    fn save(&mut self, number: u64, saved: LogUpdate) {
        if let Some(trace) = &mut self.trace {
            trace.add_number(number);
            for (key, value) in saved.records() {
                trace.add(&key);
                trace.add_number(u64::from(value.is_some()));
                trace.add(value.unwrap_or_default());
            }
        }
        self.saving.push((self.at, number, saved));
    }
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (n / 250) as u8, (n % 250) as u8 + 1].into(), 7500)
}

/// Two machines in each of `cells`, in two zones.
pub fn machines(cells: u32) -> BTreeMap<String, ObservedMachine> {
    let machine = |n: u32| {
        let (cell, zone) = (n % cells, if n < cells { "east" } else { "west" });
        let seen = ObservedMachine { cell, zone: zone.to_owned(), health: Health::Healthy, started_ms: 1 };
        (format!("m{cell}{}", if n < cells { 'a' } else { 'b' }), seen)
    };
    (0..2 * cells).map(machine).collect()
}

impl Site {
    pub fn new(members: usize, followers: usize, seed: u64) -> Site {
        Site::following_every(200 * MS, members, followers, seed)
    }

    pub fn following_every(follow_interval: Nanos, members: usize, followers: usize, seed: u64) -> Site {
        let rule =
            DisruptionBudget { cells: 4, reach: 1, share: 0.5, least_sound: 1, zone_share: 1.0, most: 8 };
        let mut site = Site {
            nodes: Vec::new(),
            members,
            follow_interval,
            now: 1_000 * S,
            seen: machines(4),
            rule,
            pace: Timing { drain: 2 * S, look_lasts: 4 * S },
            loss: 0.0,
            delay: 2 * MS,
            save_takes: 3 * MS,
            side: vec![0; members + followers],
            queue: BTreeMap::new(),
            count: 0,
            chance: seed | 1,
            events: BTreeMap::new(),
            by_version: BTreeMap::new(),
            taken: BTreeMap::new(),
            most_out: 0,
            nonce: 1,
            trace: None,
        };
        for n in 0..members + followers {
            site.nodes.push(SimulatedNode { node: None, saving: Vec::new(), disk: RecoveredLog::default() });
            site.start(n);
        }
        site
    }

    fn draw(&mut self) -> f64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn start(&mut self, n: usize) {
        let group: BTreeMap<u64, SocketAddrV4> =
            (0..self.members).map(|m| (m as u64 + 1, address(m))).collect();
        let voters: Vec<u64> = group.keys().copied().collect();
        let me = n as u64 + 1;
        let member = (n < self.members).then(|| {
            Group::new(&GroupSettings::new(me, voters.clone(), 50 * MS), &self.nodes[n].disk, self.now)
                .expect("the log is whole")
        });
        let (rule, pace) = (self.rule.clone(), self.pace);
        let orders =
            NodeSettings { me, group, follow_interval: self.follow_interval, reached_at: None, rule, pace };
        self.nodes[n].node = Some(Node::new(orders, member, self.now));
    }

    /// Dies: what was not durable is lost.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].node = None;
        self.nodes[n].saving.clear();
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.node.as_ref().is_some_and(Node::leads))
    }

    pub fn ask(&mut self, at: usize, machine: &str) -> u64 {
        self.nonce += 1;
        let (machine, by, why) = (machine.to_owned(), "operator".to_owned(), "patch".to_owned());
        let command = Command::Request { machine, by, why, lasts: 20 * S, waits: 600 * S, nonce: self.nonce };
        self.step_with(0, Some((at, command)));
        self.nonce
    }

    pub fn cancel(&mut self, at: usize, machine: &str) {
        self.nonce += 1;
        let command =
            Command::Cancel { machine: machine.to_owned(), by: "operator".to_owned(), nonce: self.nonce };
        self.step_with(0, Some((at, command)));
    }

    pub fn step(&mut self) {
        self.step_with(10 * MS, None);
    }

    fn step_with(&mut self, by: Nanos, command: Option<(usize, Command)>) {
        self.now += by;
        let now = self.now;
        let mut inboxes: Vec<Vec<(usize, Vec<u8>)>> = vec![Vec::new(); self.nodes.len()];
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let (from, to, bytes) = entry.remove();
            inboxes[to].push((from, bytes));
        }
        let mut sent = Vec::new();
        for (n, simulated) in self.nodes.iter_mut().enumerate() {
            let Some(node) = simulated.node.as_mut() else { continue };
            let mut durable = None;
            let (done, saving): (Vec<_>, Vec<_>) =
                simulated.saving.drain(..).partition(|(at, ..)| *at <= now);
            simulated.saving = saving;
            for (_, number, saved) in done {
                simulated.disk.apply(&saved);
                durable = durable.max((number > 0).then_some(number));
            }
            let mut out = Vec::new();
            let mut w = Sent {
                out: &mut out,
                saving: &mut simulated.saving,
                at: now + self.save_takes,
                trace: self.trace.as_mut(),
            };
            let seen = self.seen.clone();
            node.round(
                now,
                |inbox| {
                    let mine = std::mem::take(&mut inboxes[n]);
                    mine.into_iter().for_each(|(from, bytes)| inbox.datagram(bytes, address(from)));
                    durable.into_iter().for_each(|number| inbox.durable(number));
                    inbox.seen(seen);
                    if let Some((at, command)) = &command
                        && *at == n
                    {
                        inbox.command(command.clone());
                    }
                },
                &mut w,
            );
            sent.extend(out.into_iter().map(|(to, bytes)| (n, to, bytes)));
        }
        for (from, to, bytes) in sent {
            let Some(to) = (0..self.nodes.len()).find(|n| address(*n) == to) else { continue };
            if self.side[from] != self.side[to] || self.draw() < self.loss {
                continue;
            }
            self.count += 1;
            let late = self.delay + (self.draw() * self.delay as f64) as Nanos;
            self.queue.insert((now + late, self.count), (from, to, bytes));
        }
        self.check();
    }

    pub fn until(&mut self, what: &str, within: Nanos, mut holds: impl FnMut(&Site) -> bool) {
        let end = self.now + within;
        while !holds(self) {
            assert!(self.now < end, "{what}: {:#?}", self.by_version);
            self.step();
        }
    }

    pub fn run(&mut self, time: Nanos) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn stage(&self, node: usize, machine: &str) -> Option<Stage> {
        let order = self.nodes[node].node.as_ref()?.queue();
        order.entries.iter().find(|e| e.machine == machine).map(|e| e.stage)
    }

    pub fn record_event(&self, machine: &str, event: Event) -> usize {
        self.events.keys().filter(|(_, m, e)| m == machine && *e == event).count()
    }

    /// What must hold at every node in every round.
    fn check(&mut self) {
        for node in &self.nodes {
            let Some(node) = &node.node else { continue };
            let order = node.queue();
            let mut versions: BTreeMap<u64, Vec<(String, Event)>> = BTreeMap::new();
            for e in &order.events {
                versions.entry(e.version).or_default().push((e.machine.clone(), e.event));
                let key = (e.version, e.machine.clone(), e.event);
                let first = self.events.entry(key).or_insert_with(|| e.clone());
                assert_eq!(first, e, "the same event differs between nodes");
            }
            for (version, events) in versions {
                let first = self.by_version.entry(version).or_insert_with(|| events.clone());
                assert_eq!(*first, events, "version {version} differs between nodes");
            }
            let taken: BTreeSet<String> = order.unavailable().into_keys().collect();
            let first = self.taken.entry(order.version).or_insert_with(|| taken.clone());
            assert_eq!(*first, taken, "what is out at version {} differs", order.version);
            let out: Vec<&String> = taken.iter().collect();
            self.most_out = self.most_out.max(out.len());
            // Never both machines of a cell: each shard has two holders, and one may be missing.
            for cell in 0..4 {
                let of_cell = out.iter().filter(|m| m.starts_with(&format!("m{cell}"))).count();
                assert!(of_cell <= 1, "both holders of shard {cell} are out at version {}", order.version);
            }
            let mut machines: Vec<&String> = order.entries.iter().map(|e| &e.machine).collect();
            machines.sort();
            machines.dedup();
            assert_eq!(machines.len(), order.entries.len(), "a machine stands in the order twice");
        }
    }
}
