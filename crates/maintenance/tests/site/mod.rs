#![allow(dead_code)]
//! Front nodes on a network in virtual time: members of the group, and followers. Links lose, delay and are partitioned, disks
//! are slow, and nodes crash and restart with their durable data. Every event of every node's queue is recorded and checked
//! at once.

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
    /// Updates that are not durable yet, with their number and the time when they will be.
    pending_writes: Vec<(Nanos, u64, LogUpdate)>,
    pub disk: RecoveredLog,
}

pub struct Cluster {
    pub nodes: Vec<SimulatedNode>,
    pub members: usize,
    follow_interval: Nanos,
    pub now: Nanos,
    pub seen: BTreeMap<String, ObservedMachine>,
    pub rule: DisruptionBudget,
    pub pace: Timing,
    pub loss: f64,
    pub delay: Nanos,
    pub save_latency: Nanos,
    pub side: Vec<u8>,
    queue: BTreeMap<(Nanos, u64), (usize, usize, Vec<u8>)>,
    count: u64,
    random_state: u64,
    /// Events by version, machine and kind, as first seen at any node.
    pub events: BTreeMap<(u64, String, Event), QueueEvent>,
    pub by_version: BTreeMap<u64, Vec<(String, Event)>>,
    /// Unavailable machines by version of the queue, as first seen at any node.
    unavailable: BTreeMap<u64, BTreeSet<String>>,
    pub max_unavailable: usize,
    nonce: u64,
    /// Trace of everything sent and saved, if recorded.
    pub trace: Option<Trace>,
}

struct Sent<'a> {
    out: &'a mut Vec<(SocketAddrV4, Vec<u8>)>,
    pending_writes: &'a mut Vec<(Nanos, u64, LogUpdate)>,
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
        self.pending_writes.push((self.at, number, saved));
    }
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (n / 250) as u8, (n % 250) as u8 + 1].into(), 7500)
}

/// Returns two machines in each of `cells` cells, in two zones.
pub fn machines(cells: u32) -> BTreeMap<String, ObservedMachine> {
    let machine = |n: u32| {
        let (cell, zone) = (n % cells, if n < cells { "east" } else { "west" });
        let seen = ObservedMachine { cell, zone: zone.to_owned(), health: Health::Healthy, started_ms: 1 };
        (format!("m{cell}{}", if n < cells { 'a' } else { 'b' }), seen)
    };
    (0..2 * cells).map(machine).collect()
}

impl Cluster {
    pub fn new(members: usize, followers: usize, seed: u64) -> Cluster {
        Cluster::following_every(200 * MS, members, followers, seed)
    }

    pub fn following_every(follow_interval: Nanos, members: usize, followers: usize, seed: u64) -> Cluster {
        let rule =
            DisruptionBudget { cells: 4, reach: 1, share: 0.5, least_sound: 1, zone_share: 1.0, most: 8 };
        let mut cluster = Cluster {
            nodes: Vec::new(),
            members,
            follow_interval,
            now: 1_000 * S,
            seen: machines(4),
            rule,
            pace: Timing { drain: 2 * S, look_lasts: 4 * S },
            loss: 0.0,
            delay: 2 * MS,
            save_latency: 3 * MS,
            side: vec![0; members + followers],
            queue: BTreeMap::new(),
            count: 0,
            random_state: seed | 1,
            events: BTreeMap::new(),
            by_version: BTreeMap::new(),
            unavailable: BTreeMap::new(),
            max_unavailable: 0,
            nonce: 1,
            trace: None,
        };
        for n in 0..members + followers {
            cluster.nodes.push(SimulatedNode {
                node: None,
                pending_writes: Vec::new(),
                disk: RecoveredLog::default(),
            });
            cluster.start(n);
        }
        cluster
    }

    fn draw(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn start(&mut self, n: usize) {
        let group: BTreeMap<u64, SocketAddrV4> =
            (0..self.members).map(|m| (m as u64 + 1, address(m))).collect();
        let voters: Vec<u64> = group.keys().copied().collect();
        let me = n as u64 + 1;
        let member = (n < self.members).then(|| {
            Group::new(&GroupSettings::new(me, voters.clone(), 50 * MS), &self.nodes[n].disk, self.now)
                .expect("the log is complete")
        });
        let (rule, pace) = (self.rule.clone(), self.pace);
        let settings =
            NodeSettings { me, group, follow_interval: self.follow_interval, reached_at: None, rule, pace };
        self.nodes[n].node = Some(Node::new(settings, member, self.now));
    }

    /// Crashes a node. Updates that are not durable are lost.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].node = None;
        self.nodes[n].pending_writes.clear();
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.node.as_ref().is_some_and(Node::leads))
    }

    pub fn request(&mut self, at: usize, machine: &str) -> u64 {
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
            let (done, pending_writes): (Vec<_>, Vec<_>) =
                simulated.pending_writes.drain(..).partition(|(at, ..)| *at <= now);
            simulated.pending_writes = pending_writes;
            for (_, number, saved) in done {
                simulated.disk.apply(&saved);
                durable = durable.max((number > 0).then_some(number));
            }
            let mut out = Vec::new();
            let mut sink = Sent {
                out: &mut out,
                pending_writes: &mut simulated.pending_writes,
                at: now + self.save_latency,
                trace: self.trace.as_mut(),
            };
            let seen = self.seen.clone();
            node.round(
                now,
                |inbox| {
                    let received = std::mem::take(&mut inboxes[n]);
                    received.into_iter().for_each(|(from, bytes)| inbox.datagram(bytes, address(from)));
                    durable.into_iter().for_each(|number| inbox.durable(number));
                    inbox.seen(seen);
                    if let Some((at, command)) = &command
                        && *at == n
                    {
                        inbox.command(command.clone());
                    }
                },
                &mut sink,
            );
            sent.extend(out.into_iter().map(|(to, bytes)| (n, to, bytes)));
        }
        for (from, to, bytes) in sent {
            let Some(to) = (0..self.nodes.len()).find(|n| address(*n) == to) else { continue };
            if self.side[from] != self.side[to] || self.draw() < self.loss {
                continue;
            }
            self.count += 1;
            let delay = self.delay + (self.draw() * self.delay as f64) as Nanos;
            self.queue.insert((now + delay, self.count), (from, to, bytes));
        }
        self.check();
    }

    pub fn until(&mut self, what: &str, within: Nanos, mut holds: impl FnMut(&Cluster) -> bool) {
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
        let queue = self.nodes[node].node.as_ref()?.queue();
        queue.entries.iter().find(|e| e.machine == machine).map(|e| e.stage)
    }

    pub fn event_count(&self, machine: &str, event: Event) -> usize {
        self.events.keys().filter(|(_, m, e)| m == machine && *e == event).count()
    }

    /// Checks the invariants that hold at every node in every round.
    fn check(&mut self) {
        for node in &self.nodes {
            let Some(node) = &node.node else { continue };
            let queue = node.queue();
            let mut versions: BTreeMap<u64, Vec<(String, Event)>> = BTreeMap::new();
            for e in &queue.events {
                versions.entry(e.version).or_default().push((e.machine.clone(), e.event));
                let key = (e.version, e.machine.clone(), e.event);
                let first = self.events.entry(key).or_insert_with(|| e.clone());
                assert_eq!(first, e, "the same event differs between nodes");
            }
            for (version, events) in versions {
                let first = self.by_version.entry(version).or_insert_with(|| events.clone());
                assert_eq!(*first, events, "version {version} differs between nodes");
            }
            let unavailable: BTreeSet<String> = queue.unavailable().into_keys().collect();
            let first = self.unavailable.entry(queue.version).or_insert_with(|| unavailable.clone());
            assert_eq!(*first, unavailable, "what is out at version {} differs", queue.version);
            let out: Vec<&String> = unavailable.iter().collect();
            self.max_unavailable = self.max_unavailable.max(out.len());
            // Each shard has two replicas and one may be missing, so never both machines of a cell.
            for cell in 0..4 {
                let of_cell = out.iter().filter(|m| m.starts_with(&format!("m{cell}"))).count();
                assert!(of_cell <= 1, "both replicas of shard {cell} are out at version {}", queue.version);
            }
            let mut machines: Vec<&String> = queue.entries.iter().map(|e| &e.machine).collect();
            machines.sort();
            machines.dedup();
            assert_eq!(machines.len(), queue.entries.len(), "a machine is in the queue twice");
        }
    }
}
