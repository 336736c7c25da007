//! The maintenance queue: which machines were requested, are draining, or are out of service. Every node computes it from
//! the same log (a replicated state machine, Schneider 1990). It reads no clock: each command carries the leader's time,
//! and the queue's own time never goes back.
//!
//! The stages of a machine are: requested, draining (admitted: the front nodes send it no new requests), out, returning
//! (restarted, and warming up), and back. A machine that drains is recalled if the disruption budget no longer allows it
//! to go. Once out, it counts as unavailable until it is seen healthy again, however late: if it were forgotten, another
//! replica of its shard could be admitted.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::disruption_budget::{BlockedBy, DisruptionBudget, Health, Location, ObservedMachine};

/// The number of events, and of command nonces, that are kept.
const MAX_KEPT: usize = 512;
/// The largest number of entries in the queue.
pub const MAX_WAITING: usize = 4096;

/// A change of the queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Requests that a machine be taken out of service.
    Request {
        /// Id of the machine.
        machine: String,
        /// Name of the requester.
        by: String,
        /// The reason, for operators.
        why: String,
        /// How long the machine will be out.
        lasts: Nanos,
        /// How long the request waits for admission unless it is renewed.
        waits: Nanos,
        /// Identifies the command, so that a repetition is recognized.
        nonce: u64,
    },
    /// Withdraws a request, or declares a machine back in service.
    Cancel {
        /// Id of the machine.
        machine: String,
        /// Name of the requester.
        by: String,
        /// Identifies the command, so that a repetition is recognized.
        nonce: u64,
    },
    /// The leader's observation of all machines.
    Observe {
        /// The machines by id.
        seen: BTreeMap<String, ObservedMachine>,
        /// The disruption budget in the leader's settings.
        rule: DisruptionBudget,
        /// The timing in the leader's settings.
        pace: Timing,
    },
}

/// Durations of the stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// Time from admission until a machine may go out: long enough for every front node to learn of it and for its shard
    /// requests to end.
    pub drain: Nanos,
    /// Nothing is admitted if the latest observation is older than this.
    pub look_lasts: Nanos,
}

/// A command in the log, with the time of the leader that proposed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedCommand {
    /// The leader's time.
    pub at: Nanos,
    /// The command.
    pub command: Command,
}

/// Stage of a machine in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// It waits for admission.
    Requested,
    /// It is admitted: the front nodes send it no new requests.
    Draining,
    /// It is out of service and may be worked on.
    Out,
    /// It has restarted, and is not healthy yet.
    Returning,
}

/// An entry of the queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QueueEntry {
    /// Id of the machine.
    pub machine: String,
    /// Name of the requester.
    pub by: String,
    /// The reason, for operators.
    pub why: String,
    /// Stage of the machine.
    pub stage: Stage,
    /// When the stage began.
    pub since: Nanos,
    /// How long the machine will be out.
    pub lasts: Nanos,
    /// When the request expires, if it is not admitted before.
    pub expires_at: Nanos,
    /// Start time of the machine before it went out, in Unix milliseconds.
    pub started_ms: i64,
    /// Location of the machine before it went out.
    pub location: Location,
    /// Whether the machine was seen absent while it was out, that is, draining or not listed by discovery.
    pub was_absent: bool,
    /// Whether the machine is out for longer than was requested.
    pub overdue: bool,
    /// Nonce of the request.
    pub nonce: u64,
}

/// What happened to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Event {
    /// It was added to the queue.
    Requested,
    /// It was admitted and starts to drain.
    Admitted,
    /// It was recalled while it drained, as its shard needs it.
    Recalled,
    /// It is out of service and may be worked on.
    WentOut,
    /// It is out for longer than was requested.
    Overdue,
    /// It has restarted.
    Returning,
    /// It is healthy again.
    Back,
    /// Its request was not renewed, or it was admitted and never taken out.
    Expired,
    /// It was removed from the queue by a command.
    Cancelled,
}

/// An event of the queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QueueEvent {
    /// Version of the queue after the event.
    pub version: u64,
    /// Time of the queue at the event.
    pub at: Nanos,
    /// Id of the machine.
    pub machine: String,
    /// What happened.
    pub event: Event,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceQueue {
    /// The number of commands applied. A later state has a higher version.
    pub version: u64,
    /// The latest time of any command.
    pub at: Nanos,
    /// The entries, in the order of their requests.
    pub entries: Vec<QueueEntry>,
    /// The machines as last observed.
    pub seen: BTreeMap<String, ObservedMachine>,
    /// The disruption budget of the last observation.
    pub rule: DisruptionBudget,
    /// The timing of the last observation.
    pub pace: Option<Timing>,
    /// Time of the last observation.
    pub observed_at: Option<Nanos>,
    /// The latest events, oldest first.
    pub events: VecDeque<QueueEvent>,
    /// Nonces of the latest commands, so that a command that was sent twice is applied once.
    nonces: VecDeque<u64>,
}

/// The fields of [`Command::Request`].
struct MaintenanceRequest<'a> {
    machine: &'a str,
    by: &'a str,
    why: &'a str,
    lasts: Nanos,
    waits: Nanos,
    nonce: u64,
}

/// The effect of an observation and of time on an entry.
enum Transition {
    /// The stage does not change. `is_absent` if the machine is out and was seen absent.
    Stays {
        is_absent: bool,
    },
    Moves {
        stage: Stage,
        event: Event,
    },
    Ends {
        event: Event,
    },
}

impl MaintenanceQueue {
    /// Applies a command. The same commands in the same order give the same state on every node.
    pub fn apply(&mut self, logged: &LoggedCommand) {
        self.version += 1;
        self.at = self.at.max(logged.at);
        match &logged.command {
            Command::Request { machine, by, why, lasts, waits, nonce } => {
                if self.is_new_nonce(*nonce) {
                    let request =
                        MaintenanceRequest { machine, by, why, lasts: *lasts, waits: *waits, nonce: *nonce };
                    self.request(&request);
                }
            }
            Command::Cancel { machine, nonce, .. } => {
                if self.is_new_nonce(*nonce)
                    && let Some(position) = self.position(machine)
                {
                    self.entries.remove(position);
                    self.record_event(machine.clone(), Event::Cancelled);
                }
            }
            Command::Observe { seen, rule, pace } => {
                (self.seen, self.rule, self.pace) = (seen.clone(), rule.clone(), Some(*pace));
                self.observed_at = Some(self.at);
                self.step();
            }
        }
        self.admit();
    }

    fn is_new_nonce(&mut self, nonce: u64) -> bool {
        if self.nonces.contains(&nonce) {
            return false;
        }
        self.nonces.push_back(nonce);
        if self.nonces.len() > MAX_KEPT {
            self.nonces.pop_front();
        }
        true
    }

    /// Whether a command with that nonce was applied recently.
    pub fn has_applied(&self, nonce: u64) -> bool {
        self.nonces.contains(&nonce)
    }

    /// Returns the nonces of the commands applied recently.
    pub fn recent_nonces(&self) -> impl Iterator<Item = u64> {
        self.nonces.iter().copied()
    }

    fn position(&self, machine: &str) -> Option<usize> {
        self.entries.iter().position(|e| e.machine == machine)
    }

    fn record_event(&mut self, machine: String, event: Event) {
        self.events.push_back(QueueEvent { version: self.version, at: self.at, machine, event });
        if self.events.len() > MAX_KEPT {
            self.events.pop_front();
        }
    }

    /// Adds a request. A second request for a machine in the queue renews the first one.
    fn request(&mut self, request: &MaintenanceRequest) {
        let MaintenanceRequest { machine, by, why, lasts, waits, nonce } = *request;
        let expires_at = self.at.saturating_add(waits);
        if let Some(position) = self.position(machine) {
            let entry = &mut self.entries[position];
            (entry.expires_at, entry.lasts) = (expires_at, lasts);
            entry.overdue &= self.at > entry.since.saturating_add(lasts);
            return;
        }
        if self.entries.len() >= MAX_WAITING {
            return;
        }
        self.entries.push(QueueEntry {
            machine: machine.to_owned(),
            by: by.to_owned(),
            why: why.to_owned(),
            stage: Stage::Requested,
            since: self.at,
            lasts,
            expires_at,
            started_ms: 0,
            location: Location::default(),
            was_absent: false,
            overdue: false,
            nonce,
        });
        self.record_event(machine.to_owned(), Event::Requested);
    }

    /// Returns the machines that are draining, out, or not yet back, with their locations.
    pub fn unavailable(&self) -> BTreeMap<String, Location> {
        let unavailable = self.entries.iter().filter(|e| e.stage != Stage::Requested);
        unavailable.map(|e| (e.machine.clone(), e.location.clone())).collect()
    }

    /// Returns the machines that get no new requests: those that are draining or out. Returning ones are in slow start.
    pub fn closed(&self) -> impl Iterator<Item = &str> {
        let closed = |e: &&QueueEntry| matches!(e.stage, Stage::Draining | Stage::Out);
        self.entries.iter().filter(closed).map(|e| e.machine.as_str())
    }

    /// Applies the transitions due to the latest observation and to time.
    fn step(&mut self) {
        let mut ended: Vec<(usize, Event)> = Vec::new();
        let mut moved: Vec<(String, Event)> = Vec::new();
        for position in 0..self.entries.len() {
            match self.transition(position) {
                Transition::Stays { is_absent } => self.entries[position].was_absent |= is_absent,
                Transition::Ends { event } => ended.push((position, event)),
                Transition::Moves { stage, event } => {
                    moved.push((self.entries[position].machine.clone(), event));
                    self.move_entry(position, stage, event);
                }
            }
        }
        for (machine, event) in moved {
            self.record_event(machine, event);
        }
        for (position, event) in ended.into_iter().rev() {
            let entry = self.entries.remove(position);
            self.record_event(entry.machine, event);
        }
    }

    fn transition(&self, position: usize) -> Transition {
        let entry = &self.entries[position];
        let seen = self.seen.get(&entry.machine);
        let is_healthy = seen.is_some_and(|seen| seen.health == Health::Healthy);
        let drain = self.pace.map_or(0, |pace| pace.drain);
        match entry.stage {
            Stage::Requested if self.at > entry.expires_at => Transition::Ends { event: Event::Expired },
            Stage::Draining if is_healthy && self.is_needed_back(&entry.machine) => {
                Transition::Moves { stage: Stage::Requested, event: Event::Recalled }
            }
            Stage::Draining if self.at >= entry.since.saturating_add(drain) => {
                Transition::Moves { stage: Stage::Out, event: Event::WentOut }
            }
            Stage::Out => self.transition_from_out(entry, seen),
            Stage::Returning if is_healthy => Transition::Ends { event: Event::Back },
            // It disappeared again before it had warmed up.
            Stage::Returning if seen.is_none() => {
                Transition::Moves { stage: Stage::Out, event: Event::WentOut }
            }
            _ => Transition::Stays { is_absent: false },
        }
    }

    fn transition_from_out(&self, entry: &QueueEntry, seen: Option<&ObservedMachine>) -> Transition {
        let is_over = self.at > entry.since.saturating_add(entry.lasts);
        let returns = Transition::Moves { stage: Stage::Returning, event: Event::Returning };
        match seen {
            Some(seen) if seen.started_ms > entry.started_ms => returns,
            // It was absent, and is back without a restart: its process kept running, or discovery lagged.
            Some(seen) if entry.was_absent && seen.health == Health::Healthy => returns,
            // It was not taken out within the requested time: the operator has given up.
            Some(seen) if is_over && !entry.was_absent && seen.health != Health::Draining => {
                Transition::Ends { event: Event::Expired }
            }
            _ if is_over && !entry.overdue => Transition::Moves { stage: Stage::Out, event: Event::Overdue },
            _ => Transition::Stays { is_absent: seen.is_none_or(|seen| seen.health == Health::Draining) },
        }
    }

    /// Whether a draining machine must be recalled because the conditions of its admission no longer hold for one of its
    /// shards. Uses the current state of the queue, as recalling one of several machines may be enough.
    fn is_needed_back(&self, machine: &str) -> bool {
        let mut others = self.unavailable();
        others.remove(machine);
        match self.rule.blocked_by(machine, &self.seen, &others) {
            None | Some(BlockedBy::Unknown | BlockedBy::Zone { .. } | BlockedBy::Most { .. }) => false,
            Some(_) => true,
        }
    }

    fn move_entry(&mut self, position: usize, stage: Stage, event: Event) {
        let (at, entry) = (self.at, &mut self.entries[position]);
        match event {
            Event::Overdue => entry.overdue = true,
            Event::Recalled => {
                // It keeps its position and gets its full waiting time again, as its operator has not given up.
                entry.expires_at = at.saturating_add((entry.expires_at - entry.since).max(0));
                (entry.stage, entry.since) = (stage, at);
            }
            _ => {
                (entry.stage, entry.since, entry.was_absent) =
                    (stage, at, entry.was_absent && stage == Stage::Out);
            }
        }
    }

    /// Returns why the machine of an entry cannot be admitted now, or `None` if it can.
    fn blocked_by(&self, position: usize) -> Option<BlockedBy> {
        let is_fresh =
            |p: Timing| self.observed_at.is_some_and(|observed_at| self.at - observed_at <= p.look_lasts);
        if !self.pace.is_some_and(is_fresh) {
            return Some(BlockedBy::Stale);
        }
        let entry = &self.entries[position];
        let blocked_by = self.rule.blocked_by(&entry.machine, &self.seen, &self.unavailable());
        // An earlier request for a machine with a common shard goes first; otherwise later ones could delay it indefinitely.
        let earlier = || {
            let of = self.seen.get(&entry.machine)?;
            let waits = self.entries[..position].iter().filter(|e| e.stage == Stage::Requested);
            let mut rivals =
                waits.filter(|e| self.seen.get(&e.machine).is_some_and(|s| self.rule.share_shard(s, of)));
            rivals.next().map(|e| BlockedBy::Earlier { machine: e.machine.clone() })
        };
        blocked_by.or_else(earlier)
    }

    /// Admits the machines that the disruption budget allows, in the order of the queue.
    fn admit(&mut self) {
        for position in 0..self.entries.len() {
            if self.entries[position].stage == Stage::Requested && self.blocked_by(position).is_none() {
                let (at, seen) = (self.at, self.seen.get(&self.entries[position].machine));
                let started_ms = seen.map_or(0, |s| s.started_ms);
                let location =
                    seen.map(|s| Location { cell: s.cell, zone: s.zone.clone() }).unwrap_or_default();
                let e = &mut self.entries[position];
                (e.stage, e.since, e.started_ms, e.was_absent) = (Stage::Draining, at, started_ms, false);
                e.location = location;
                let machine = e.machine.clone();
                self.record_event(machine, Event::Admitted);
            }
        }
    }

    /// Describes the state of a machine, or returns `None` if it is not in the queue.
    pub fn explain(&self, machine: &str) -> Option<String> {
        let position = self.position(machine)?;
        let e = &self.entries[position];
        let since = (self.at - e.since).max(0) / 1_000_000;
        Some(match e.stage {
            Stage::Requested => match self.blocked_by(position) {
                Some(blocked_by) => format!("asked {since} ms ago, place {}: {blocked_by}", position + 1),
                None => format!("asked {since} ms ago, place {}: goes next", position + 1),
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

    /// Whether an observation would change the queue, because it differs from the last one or a transition is due.
    pub fn needs_observation(
        &self,
        seen: &BTreeMap<String, ObservedMachine>,
        rule: &DisruptionBudget,
        pace: Timing,
        now: Nanos,
    ) -> bool {
        let due = |e: &QueueEntry| match e.stage {
            Stage::Requested => now > e.expires_at,
            Stage::Draining => now >= e.since.saturating_add(pace.drain),
            Stage::Out => !e.overdue && now > e.since.saturating_add(e.lasts),
            Stage::Returning => false,
        };
        let stale = self.observed_at.is_none_or(|at| now - at > pace.look_lasts / 2);
        self.seen != *seen
            || self.rule != *rule
            || self.pace != Some(pace)
            || self.entries.iter().any(due)
            || !self.entries.is_empty() && stale
    }
}
