#![allow(dead_code)]
//! Many fleet nodes in one process, on a network in virtual time that loses, delays, duplicates and partitions
//! datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use orchidvalve_fleet::{DatagramSink, Fleet, FleetSettings, Inbox, Nanos};
use orchidvalve_golden::Trace;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000_000_000;

/// Network faults. They are drawn from the seed, so that a scenario runs the same each time.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Fraction of datagrams duplicated.
    pub duplicates: f64,
    /// Fixed delay, and the largest random addition to it, which reorders datagrams.
    pub delay: Nanos,
    pub jitter: Nanos,
}

pub struct Node {
    pub fleet: Option<Fleet>,
    pub address: SocketAddrV4,
    /// Added to the time passed to this node, as after a clock step.
    pub skew: Nanos,
}

pub struct Net {
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Side of a network partition for each node. Datagrams between nodes of different sides are lost.
    pub side: Vec<u8>,
    pub now: Nanos,
    queue: BTreeMap<(Nanos, u64), (usize, Vec<u8>)>,
    sequence: u64,
    random_state: u64,
    pub delivered: u64,
    /// Trace of all datagrams sent, if recorded.
    pub trace: Option<Trace>,
}

struct Sent<'a> {
    from: usize,
    net: &'a mut Vec<(usize, SocketAddrV4, Vec<u8>)>,
}

impl DatagramSink for Sent<'_> {
    fn send(&mut self, to: SocketAddrV4, datagram: &[u8]) {
        self.net.push((self.from, to, datagram.to_vec()));
    }
}

pub fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (n / 250) as u8, (n % 250) as u8 + 1].into(), 7000)
}

impl Net {
    /// Returns `n` nodes, each configured with the first three as peers and with the expected size `expected`.
    pub fn new(
        n: usize,
        expected: usize,
        seed: u64,
        configure: impl Fn(FleetSettings) -> FleetSettings,
    ) -> Net {
        let seeds: Vec<SocketAddrV4> = (0..n.min(3)).map(address).collect();
        let nodes = (0..n)
            .map(|i| {
                let settings = configure(FleetSettings::new(address(i), seeds.clone(), expected));
                Node {
                    fleet: Some(Fleet::new(settings, seed.wrapping_mul(1000).wrapping_add(i as u64), 0)),
                    address: address(i),
                    skew: 0,
                }
            })
            .collect();
        Net {
            nodes,
            faults: Faults::default(),
            side: vec![0; n],
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random_state: seed | 1,
            delivered: 0,
            trace: None,
        }
    }

    fn draw(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Advances time by `step` and runs a round of every node; `before` may add to each node's inbox.
    pub fn tick(&mut self, step: Nanos, mut before: impl FnMut(usize, &mut Inbox)) {
        self.now += step;
        let mut inboxes: Vec<Vec<Vec<u8>>> = vec![Vec::new(); self.nodes.len()];
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, bytes) = entry.remove();
            inboxes[to].push(bytes);
        }
        let mut out = Vec::new();
        for (i, node) in self.nodes.iter_mut().enumerate() {
            let Some(fleet) = node.fleet.as_mut() else { continue };
            let mine = std::mem::take(&mut inboxes[i]);
            self.delivered += mine.len() as u64;
            let mut sent = Sent { from: i, net: &mut out };
            fleet.round(
                self.now + node.skew,
                |inbox| {
                    mine.iter().for_each(|d| inbox.datagram(d));
                    before(i, inbox);
                },
                &mut sent,
            );
        }
        for (from, to, bytes) in out {
            if let Some(trace) = &mut self.trace {
                trace.add_number(self.now as u64);
                trace.add_number(from as u64);
                trace.add(&bytes);
                trace.add(to.to_string().as_bytes());
            }
            let Some(to) = self.nodes.iter().position(|n| n.address == to) else { continue };
            if self.side[from] != self.side[to] || self.draw() < self.faults.loss {
                continue;
            }
            let count = if self.draw() < self.faults.duplicates { 2 } else { 1 };
            for _ in 0..count {
                let delay = self.faults.delay + (self.draw() * self.faults.jitter as f64) as Nanos;
                self.sequence += 1;
                self.queue.insert((self.now + delay.max(1), self.sequence), (to, bytes.clone()));
            }
        }
    }

    pub fn run(&mut self, until: Nanos, step: Nanos, mut each: impl FnMut(&mut Net)) {
        while self.now < until {
            self.tick(step, |_, _| {});
            each(self);
        }
    }

    pub fn alive(&self) -> impl Iterator<Item = &Fleet> {
        self.nodes.iter().filter_map(|n| n.fleet.as_ref())
    }
}
