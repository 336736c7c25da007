//! A deterministic environment for one aggregator: clients, servers with queues and faults, and membership changes, all
//! in virtual time. The calls of the action sink are hashed as numbers, and the trace records as lines.

pub mod cases;
mod clients;
mod membership;
mod numbers;
mod recorder;
mod servers;

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve::Aggregator;
use orchidvalve::interface::*;
use orchidvalve::state::{AggregatorState, AttemptOutcome};
use orchidvalve_golden::Trace;

use cases::Case;
pub use numbers::Numbers;
use recorder::{Action, Recorder};
pub use servers::Condition;
use servers::Server;

pub const MS: Nanos = 1_000_000;

enum Event {
    QueryArrives,
    Ended(ShardRequestIndex, usize, AttemptOutcome, bool),
    /// An invalid response: all attempts in flight at that server end with it.
    ProtocolError(ReplicaIndex),
    HealthChecked(ReplicaIndex, bool, Option<(f64, f64)>),
    SecondStep(QueryIndex, usize),
    ClientLeft(QueryIndex),
    MembershipUpdate(bool),
    MembershipLost,
    Restart(ReplicaIndex),
    Replace(ReplicaIndex),
    Incident,
    FleetLimits,
}

/// Hashes of one run.
pub struct Outcome {
    pub calls: u64,
    pub records: u64,
    /// The words of the trace lines, to check that all of them occur.
    pub words: BTreeSet<String>,
    pub kinds: BTreeSet<u64>,
}

pub struct World {
    case: Case,
    numbers: Numbers,
    aggregator: Aggregator,
    now: Nanos,
    started_at: Nanos,
    events: BTreeMap<(Nanos, u64), Event>,
    count: u64,
    wake: Option<Nanos>,
    servers: BTreeMap<ReplicaIndex, Server>,
    /// Attempts in flight, by request and attempt number: their replica and start.
    in_flight: BTreeMap<(ShardRequestIndex, usize), (ReplicaIndex, Nanos)>,
    attempts: BTreeMap<ShardRequestIndex, usize>,
    requests_by_index: BTreeMap<ShardRequestIndex, (QueryIndex, usize)>,
    /// Queries that crash every server that executes them.
    crashing_queries: BTreeSet<QueryIndex>,
    second_steps: BTreeMap<QueryIndex, usize>,
}

/// Runs a case. `trace` turns the trace on.
pub fn run(case: Case, seed: u64, trace: bool) -> Outcome {
    World::new(case, seed).run_to_end(trace)
}

impl World {
    fn new(case: Case, seed: u64) -> World {
        let started_at = 1_000_000 * MS + (seed as Nanos) * 977;
        World {
            aggregator: Aggregator::new(case.settings.clone(), seed),
            numbers: Numbers(seed ^ 0x5eed),
            case,
            now: started_at,
            started_at,
            events: BTreeMap::new(),
            count: 0,
            wake: None,
            servers: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            attempts: BTreeMap::new(),
            requests_by_index: BTreeMap::new(),
            crashing_queries: BTreeSet::new(),
            second_steps: BTreeMap::new(),
        }
    }

    fn at(&mut self, delay: Nanos, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay.max(1), self.count), event);
    }

    fn run_to_end(mut self, trace: bool) -> Outcome {
        self.aggregator.set_tracing(trace);
        let (mut calls, mut records) = (Trace::new(), Trace::new());
        let (mut words, mut kinds) = (BTreeSet::new(), BTreeSet::new());
        self.at(1, Event::MembershipUpdate(true));
        self.at(2 * MS, Event::QueryArrives);
        self.at(self.case.incident_interval, Event::Incident);
        if self.case.fleet {
            self.at(3 * MS, Event::FleetLimits);
        }
        let end = self.started_at + self.case.duration;
        let tick = self.case.settings.tick;
        while self.now < end {
            let next = self.events.keys().next().map_or(end, |(at, _)| *at);
            let next = self.wake.map_or(next, |wake| next.min(wake)).max(self.now + tick);
            self.now = next;
            if self.wake.is_some_and(|wake| wake <= next) {
                self.wake = None;
            }
            let mut due = Vec::new();
            while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= next) {
                due.push(entry.remove());
            }
            calls.add_number((self.now - self.started_at) as u64);
            let new_actions = self.round(due, &mut calls, &mut kinds);
            for ix in 0..self.aggregator.state().replicas.len() {
                let record =
                    self.aggregator.ejection_record(ReplicaIndex(ix)).expect("the round has seen it");
                calls.add_number(record.ejected_at.map_or(0, |at| (at - self.started_at) as u64 + 1));
                calls.add_number(u64::from(record.relapses));
            }
            for record in self.aggregator.take_trace() {
                let line = record.line();
                records.add(line.as_bytes());
                words.extend(
                    line.split(' ')
                        .filter(|w| !w.starts_with(|c: char| c.is_ascii_digit()))
                        .map(str::to_owned),
                );
            }
            new_actions.into_iter().for_each(|call| self.execute(call));
        }
        let state = self.aggregator.state();
        for number in [
            state.first_query().0,
            state.first_shard_request().0,
            state.open_queries().count(),
            state.pending_requests().count(),
        ] {
            calls.add_number(number as u64);
        }
        Outcome { calls: calls.finish(), records: records.finish(), words, kinds }
    }

    fn round(&mut self, due: Vec<Event>, trace: &mut Trace, kinds: &mut BTreeSet<u64>) -> Vec<Action> {
        let mut recorder = Recorder { trace, kinds, calls: Vec::new() };
        let now = self.now;
        // The aggregator is moved out while the world records the events of the round.
        let placeholder = Aggregator::new(self.case.settings.clone(), 0);
        let mut aggregator = std::mem::replace(&mut self.aggregator, placeholder);
        aggregator.round(
            now,
            |state| due.into_iter().for_each(|event| self.record(event, state)),
            &mut recorder,
        );
        self.aggregator = aggregator;
        recorder.calls
    }

    fn record(&mut self, event: Event, state: &mut AggregatorState) {
        match event {
            Event::QueryArrives => self.receive_query(state),
            Event::Ended(request, attempt, ending, over) => {
                if let Some((_, sent)) = self.in_flight.remove(&(request, attempt)) {
                    state.attempt_ended(request, attempt, ending, self.now - sent, over);
                }
            }
            Event::ProtocolError(replica) => {
                let affected: Vec<(ShardRequestIndex, usize)> = self
                    .in_flight
                    .iter()
                    .filter(|(_, (at, _))| *at == replica)
                    .map(|(attempt, _)| *attempt)
                    .collect();
                for (request, attempt) in affected {
                    let (_, sent) = self.in_flight.remove(&(request, attempt)).expect("it was found there");
                    state.attempt_ended(
                        request,
                        attempt,
                        AttemptOutcome::ProtocolError,
                        self.now - sent,
                        false,
                    );
                }
            }
            Event::HealthChecked(replica, answered, report) => {
                state.health_check_ended(replica, answered, report);
            }
            Event::SecondStep(query, requests) => {
                for _ in 0..requests {
                    self.receive_request(state, query, 1.0 / requests as f64);
                }
            }
            Event::ClientLeft(query) => state.client_left(query),
            Event::MembershipUpdate(complete) => self.update_membership(state, complete),
            Event::MembershipLost => state.membership_lost(),
            Event::Restart(replica) => {
                let reported = !self.numbers.happens(self.case.unreported_restart_probability);
                let now = self.now;
                if let Some(server) = self.servers.get_mut(&replica) {
                    (server.condition, server.until, server.free_at) = (Condition::Healthy, now, now);
                    if reported {
                        server.started = Some(now);
                        state.membership_update_begins(false);
                        state.member_listed(replica, server.cell, server.serving, server.started);
                        state.membership_update_ends();
                    }
                }
            }
            Event::Replace(replica) => self.replace(state, replica),
            Event::Incident => self.incident(),
            Event::FleetLimits => self.fleet_limits(state),
        }
    }

    fn execute(&mut self, call: Action) {
        match call {
            Action::StartAttempt(request, replica, limit, send_within) => {
                self.start_attempt(request, replica, limit, send_within);
            }
            Action::CancelAttempt(request, attempt) => {
                let delay = self.numbers.between(MS / 10, 2 * MS);
                self.at(delay, Event::Ended(request, attempt, AttemptOutcome::Cancelled, false));
            }
            Action::Answer(query) => {
                if let Some(requests) = self.second_steps.remove(&query) {
                    self.at(MS, Event::SecondStep(query, requests));
                }
            }
            Action::CheckHealth(replica) => self.check_health(replica),
            Action::WakeAt(at) => self.wake = Some(at),
            Action::RequestMembership => {
                let (delay, answered) = (self.numbers.between(MS, 300 * MS), !self.numbers.happens(0.5));
                self.at(delay, if answered { Event::MembershipUpdate(true) } else { Event::MembershipLost });
            }
        }
    }
}
