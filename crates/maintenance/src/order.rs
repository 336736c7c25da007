//! The order of work: which machine asked to go out, which may, which is, as every node computes it from the same log. No
//! clock is read: each command carries the leader's time, and the order's own time never goes back.
//!
//! A machine passes through: asked, draining (admitted: the front nodes send it nothing new), out, returning (started
//! again, and cold), back. One that is admitted is called back while it drains if the rule no longer holds without it;
//! once out it stays counted until it is seen sound again, however late, as forgetting it would let its twin go.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::rule::{Health, Hindered, Place, Rule, Seen};

/// Ended entries and events kept for those who ask.
const KEPT: usize = 512;
/// Asks that may wait at once.
pub const WAITING_MOST: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A machine is to go out for `lasts`; the ask lapses after `waits` unless it is renewed. `nonce` tells a repetition
    /// of one command from a second one.
    Ask { machine: String, by: String, why: String, lasts: Nanos, waits: Nanos, nonce: u64 },
    /// The ask is taken back, or the machine is declared back by whoever took it out.
    Cancel { machine: String, by: String, nonce: u64 },
    /// What the leader sees of all machines, and the rule it goes by.
    Look { seen: BTreeMap<String, Seen>, rule: Rule, pace: Pace },
}

/// How long the steps take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pace {
    /// From admission until a machine may go: every front node has learned of it and its parts have ended.
    pub drain: Nanos,
    /// A look older than this admits nobody.
    pub look_lasts: Nanos,
}

/// A command in the log: with the time of the leader that proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Logged {
    pub at: Nanos,
    pub command: Command,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Asked,
    Draining,
    Out,
    Returning,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub machine: String,
    pub by: String,
    pub why: String,
    pub stage: Stage,
    /// When the stage began.
    pub since: Nanos,
    pub lasts: Nanos,
    /// While asked: when the ask lapses.
    pub lapses: Nanos,
    /// Its start as last seen before it went out, and where it stood.
    pub started_ms: i64,
    pub stood: Place,
    /// Whether it was seen gone while it was out.
    pub went: bool,
    /// Out for longer than it asked for.
    pub overdue: bool,
    pub nonce: u64,
}

/// What happened, in the order of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Event {
    Asked,
    Admitted,
    /// Called back while it drained, as its shard needs it.
    Recalled,
    WentOut,
    Overdue,
    Returning,
    Back,
    /// Its ask was not renewed, or it was admitted and never went.
    Lapsed,
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Happened {
    pub version: u64,
    pub at: Nanos,
    pub machine: String,
    pub event: Event,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Commands applied: a later order has a greater one.
    pub version: u64,
    pub at: Nanos,
    /// In the order in which they asked.
    pub entries: Vec<Entry>,
    pub seen: BTreeMap<String, Seen>,
    pub rule: Rule,
    pub pace: Option<Pace>,
    pub looked: Option<Nanos>,
    pub events: VecDeque<Happened>,
    /// Nonces of the last commands, so that one that was sent twice is carried out once.
    nonces: VecDeque<u64>,
}

impl Order {
    /// Applies a command. The same commands in the same order give the same state everywhere.
    pub fn apply(&mut self, logged: &Logged) {
        self.version += 1;
        self.at = self.at.max(logged.at);
        match &logged.command {
            Command::Ask { machine, by, why, lasts, waits, nonce } => {
                if self.fresh(*nonce) {
                    self.ask(machine, by, why, (*lasts, *waits), *nonce);
                }
            }
            Command::Cancel { machine, nonce, .. } => {
                if self.fresh(*nonce)
                    && let Some(place) = self.place(machine)
                {
                    self.entries.remove(place);
                    self.happened(machine.clone(), Event::Cancelled);
                }
            }
            Command::Look { seen, rule, pace } => {
                (self.seen, self.rule, self.pace) = (seen.clone(), rule.clone(), Some(*pace));
                self.looked = Some(self.at);
                self.step();
            }
        }
        self.admit();
    }

    fn fresh(&mut self, nonce: u64) -> bool {
        if self.nonces.contains(&nonce) {
            return false;
        }
        self.nonces.push_back(nonce);
        if self.nonces.len() > KEPT {
            self.nonces.pop_front();
        }
        true
    }

    /// Whether a command of that nonce was carried out, lately.
    pub fn knows(&self, nonce: u64) -> bool {
        self.nonces.contains(&nonce)
    }

    /// Nonces of the commands carried out lately.
    pub fn done(&self) -> impl Iterator<Item = u64> {
        self.nonces.iter().copied()
    }

    fn place(&self, machine: &str) -> Option<usize> {
        self.entries.iter().position(|e| e.machine == machine)
    }

    fn happened(&mut self, machine: String, event: Event) {
        self.events.push_back(Happened { version: self.version, at: self.at, machine, event });
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// A second ask of a machine in the order renews the first: its operator is still there.
    fn ask(&mut self, machine: &str, by: &str, why: &str, (lasts, waits): (Nanos, Nanos), nonce: u64) {
        let lapses = self.at.saturating_add(waits);
        if let Some(place) = self.place(machine) {
            let entry = &mut self.entries[place];
            (entry.lapses, entry.lasts) = (lapses, lasts);
            entry.overdue &= self.at > entry.since.saturating_add(lasts);
            return;
        }
        if self.entries.len() >= WAITING_MOST {
            return;
        }
        self.entries.push(Entry {
            machine: machine.to_owned(),
            by: by.to_owned(),
            why: why.to_owned(),
            stage: Stage::Asked,
            since: self.at,
            lasts,
            lapses,
            started_ms: 0,
            stood: Place::default(),
            went: false,
            overdue: false,
            nonce,
        });
        self.happened(machine.to_owned(), Event::Asked);
    }

    /// Machines taken out of use: those that drain, are out, or are not warm again.
    pub fn taken(&self) -> BTreeMap<String, Place> {
        let taken = self.entries.iter().filter(|e| e.stage != Stage::Asked);
        taken.map(|e| (e.machine.clone(), e.stood.clone())).collect()
    }

    /// Machines that the front nodes send nothing new: one that returns gets what a cold one may.
    pub fn closed(&self) -> impl Iterator<Item = &str> {
        let closed = |e: &&Entry| matches!(e.stage, Stage::Draining | Stage::Out);
        self.entries.iter().filter(closed).map(|e| e.machine.as_str())
    }

    /// Stages that end by what was seen, or by the time.
    fn step(&mut self) {
        let (at, drain) = (self.at, self.pace.map_or(0, |p| p.drain));
        let mut ended: Vec<(usize, Event)> = Vec::new();
        let mut events: Vec<(String, Event)> = Vec::new();
        for place in 0..self.entries.len() {
            // As it stands by now: of several that a shard needs back, one may be enough.
            let mut others = self.taken();
            let e = &self.entries[place];
            let seen = self.seen.get(&e.machine);
            let over = at > e.since.saturating_add(e.lasts);
            // What it was called to leave may no longer hold without it.
            others.remove(&e.machine);
            let needed = || match self.rule.hinders(&e.machine, &self.seen, &others) {
                None | Some(Hindered::Unknown | Hindered::Zone { .. } | Hindered::Most { .. }) => false,
                Some(_) => true,
            };
            let (stage, event) = match e.stage {
                Stage::Asked if at > e.lapses => {
                    ended.push((place, Event::Lapsed));
                    continue;
                }
                Stage::Draining if seen.is_some_and(|s| s.health == Health::Sound) && needed() => {
                    (Stage::Asked, Event::Recalled)
                }
                Stage::Draining if at >= e.since.saturating_add(drain) => (Stage::Out, Event::WentOut),
                Stage::Out => match seen {
                    Some(s) if s.started_ms > e.started_ms => (Stage::Returning, Event::Returning),
                    // It was away, and is back without having started again: its process ran on, or the roster lagged.
                    Some(s) if e.went && s.health == Health::Sound => (Stage::Returning, Event::Returning),
                    // Nobody took it out within its time: its operator has gone.
                    Some(s) if over && !e.went && s.health != Health::Draining => {
                        ended.push((place, Event::Lapsed));
                        continue;
                    }
                    _ if over && !e.overdue => (Stage::Out, Event::Overdue),
                    _ => {
                        self.entries[place].went |= seen.is_none_or(|s| s.health == Health::Draining);
                        continue;
                    }
                },
                Stage::Returning if seen.is_some_and(|s| s.health == Health::Sound) => {
                    ended.push((place, Event::Back));
                    continue;
                }
                // Gone again before it was warm.
                Stage::Returning if seen.is_none() => (Stage::Out, Event::WentOut),
                _ => continue,
            };
            let e = &mut self.entries[place];
            events.push((e.machine.clone(), event));
            match event {
                Event::Overdue => e.overdue = true,
                Event::Recalled => {
                    // It keeps its place, and its ask is as fresh as at first: not its operator gave it up.
                    e.lapses = at.saturating_add((e.lapses - e.since).max(0));
                    (e.stage, e.since) = (stage, at);
                }
                _ => (e.stage, e.since, e.went) = (stage, at, e.went && stage == Stage::Out),
            }
        }
        for (machine, event) in events {
            self.happened(machine, event);
        }
        for (place, event) in ended.into_iter().rev() {
            let entry = self.entries.remove(place);
            self.happened(entry.machine, event);
        }
    }

    /// What hinders the machine of an entry from being admitted now.
    fn hindered(&self, place: usize) -> Option<Hindered> {
        let fresh = |p: Pace| self.looked.is_some_and(|looked| self.at - looked <= p.look_lasts);
        if !self.pace.is_some_and(fresh) {
            return Some(Hindered::Stale);
        }
        let entry = &self.entries[place];
        let hinders = self.rule.hinders(&entry.machine, &self.seen, &self.taken());
        // One that waits before it for the same shard goes first, or later ones could keep it out for good.
        let before = || {
            let of = self.seen.get(&entry.machine)?;
            let waits = self.entries[..place].iter().filter(|e| e.stage == Stage::Asked);
            let mut rivals =
                waits.filter(|e| self.seen.get(&e.machine).is_some_and(|s| self.rule.share_shard(s, of)));
            rivals.next().map(|e| Hindered::Before { machine: e.machine.clone() })
        };
        hinders.or_else(before)
    }

    fn admit(&mut self) {
        for place in 0..self.entries.len() {
            if self.entries[place].stage == Stage::Asked && self.hindered(place).is_none() {
                let (at, seen) = (self.at, self.seen.get(&self.entries[place].machine));
                let started_ms = seen.map_or(0, |s| s.started_ms);
                let stood = seen.map(|s| Place { cell: s.cell, zone: s.zone.clone() }).unwrap_or_default();
                let e = &mut self.entries[place];
                (e.stage, e.since, e.started_ms, e.went) = (Stage::Draining, at, started_ms, false);
                e.stood = stood;
                let machine = e.machine.clone();
                self.happened(machine, Event::Admitted);
            }
        }
    }

    /// Why a machine is where it is, in words; none where it is not in the order.
    pub fn explain(&self, machine: &str) -> Option<String> {
        let place = self.place(machine)?;
        let e = &self.entries[place];
        let since = (self.at - e.since).max(0) / 1_000_000;
        Some(match e.stage {
            Stage::Asked => match self.hindered(place) {
                Some(hindered) => format!("asked {since} ms ago, place {}: {hindered}", place + 1),
                None => format!("asked {since} ms ago, place {}: goes next", place + 1),
            },
            Stage::Draining => format!("admitted {since} ms ago: the front nodes send it nothing new"),
            Stage::Out if e.overdue => {
                format!(
                    "out for {since} ms, longer than it asked for: counted as missing until it is seen sound"
                )
            }
            Stage::Out => format!("may be worked on since {since} ms"),
            Stage::Returning => format!("back since {since} ms, and not warm yet"),
        })
    }

    /// Whether a look would change anything: what was seen differs, or a stage falls due by the time.
    pub fn wants_look(&self, seen: &BTreeMap<String, Seen>, rule: &Rule, pace: Pace, now: Nanos) -> bool {
        let due = |e: &Entry| match e.stage {
            Stage::Asked => now > e.lapses,
            Stage::Draining => now >= e.since.saturating_add(pace.drain),
            Stage::Out => !e.overdue && now > e.since.saturating_add(e.lasts),
            Stage::Returning => false,
        };
        let stale = self.looked.is_none_or(|at| now - at > pace.look_lasts / 2);
        self.seen != *seen
            || self.rule != *rule
            || self.pace != Some(pace)
            || self.entries.iter().any(due)
            || !self.entries.is_empty() && stale
    }
}
