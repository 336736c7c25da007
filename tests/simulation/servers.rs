//! Servers: their queues, their faults, and the outcomes of attempts.

use orchidvalve::interface::*;
use orchidvalve::state::AttemptOutcome;

use super::{Event, MS, World, cases};

/// Fault state of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    Healthy,
    Slow(Nanos),
    /// Answers nothing, not even health checks.
    Unresponsive,
    /// Answers health checks and nothing else.
    Stuck,
    /// Loses half of the attempts.
    Lossy,
    /// Answers one class with errors immediately.
    FailsClass(usize),
    Rejects,
    /// Breaks connections.
    BreaksConnections,
    /// Accepts no connection.
    Down,
}

#[derive(Clone, Debug)]
pub struct Server {
    pub cell: usize,
    pub started: Option<Nanos>,
    pub serving: bool,
    pub condition: Condition,
    pub until: Nanos,
    /// When its queued work is done.
    pub free_at: Nanos,
}

impl World {
    pub(super) fn incident(&mut self) {
        let every = self.case.incident_interval;
        let next = self.numbers.between(every / 2, every * 3 / 2);
        self.at(next, Event::Incident);
        let all: Vec<ReplicaIndex> = self.servers.keys().copied().collect();
        if all.is_empty() {
            return;
        }
        let replica = all[self.numbers.below(all.len())];
        let duration = self.numbers.between(20 * MS, self.case.max_incident_duration);
        let kind = self.case.incidents[self.numbers.below(self.case.incidents.len())];
        match kind {
            cases::Incident::Fault(condition) => {
                let until = self.now + duration;
                if let Some(server) = self.servers.get_mut(&replica) {
                    (server.condition, server.until) = (condition, until);
                }
                if condition == Condition::Down {
                    self.break_connections(replica, duration);
                }
            }
            cases::Incident::ProtocolError => self.at(MS, Event::ProtocolError(replica)),
            cases::Incident::Draining => {
                if let Some(server) = self.servers.get_mut(&replica) {
                    server.serving = !server.serving;
                }
                self.at(MS, Event::MembershipUpdate(false));
            }
            cases::Incident::Replaced => self.at(MS, Event::Replace(replica)),
            cases::Incident::MembershipLost => {
                self.at(MS, Event::MembershipLost);
            }
            cases::Incident::MembershipUpdate => {
                let complete = self.numbers.happens(0.7);
                self.at(MS, Event::MembershipUpdate(complete));
            }
        }
    }

    pub(super) fn break_connections(&mut self, replica: ReplicaIndex, duration: Nanos) {
        let lost: Vec<(ShardRequestIndex, usize)> = self
            .in_flight
            .iter()
            .filter(|(_, (at, _))| *at == replica)
            .map(|(attempt, _)| *attempt)
            .collect();
        for (request, attempt) in lost {
            self.at(MS, Event::Ended(request, attempt, AttemptOutcome::ConnectionLost, false));
        }
        self.at(duration, Event::Restart(replica));
    }

    fn condition(&self, replica: ReplicaIndex) -> Condition {
        match self.servers.get(&replica) {
            Some(server) if server.condition == Condition::Down || self.now < server.until => {
                server.condition
            }
            Some(_) => Condition::Healthy,
            None => Condition::Down,
        }
    }

    pub(super) fn check_health(&mut self, replica: ReplicaIndex) {
        let answers = !matches!(self.condition(replica), Condition::Unresponsive | Condition::Down);
        let delay = if answers { 2 * MS } else { 100 * MS };
        let reported = self.case.settings.queues_reported && answers;
        let rate = 1e9 / self.case.work as f64;
        let waiting =
            self.servers.get(&replica).map_or(0, |s| (s.free_at - self.now).max(0) / self.case.work);
        self.at(delay, Event::HealthChecked(replica, answers, reported.then_some((waiting as f64, rate))));
    }

    pub(super) fn start_attempt(
        &mut self,
        request: ShardRequestIndex,
        replica: ReplicaIndex,
        limit: Nanos,
        send_within: Nanos,
    ) {
        let attempt = self.attempts.entry(request).or_default();
        let number = *attempt;
        *attempt += 1;
        self.in_flight.insert((request, number), (replica, self.now));
        if self.numbers.happens(self.case.not_sent_probability) {
            return self
                .at(send_within.min(50 * MS), Event::Ended(request, number, AttemptOutcome::NotSent, false));
        }
        self.at(limit, Event::Ended(request, number, AttemptOutcome::TimedOut, false));
        let over = self.numbers.happens(self.case.request_over_probability);
        let (query, class) = self.requests_by_index[&request];
        let network = self.numbers.between(MS / 5, MS);
        if self.crashing_queries.contains(&query) && self.condition(replica) != Condition::Down {
            let duration = self.numbers.between(50 * MS, 300 * MS);
            let until = self.now + duration;
            if let Some(server) = self.servers.get_mut(&replica) {
                (server.condition, server.until) = (Condition::Down, until);
            }
            return self.break_connections(replica, duration);
        }
        let work = (self.case.work as f64 * (0.5 + self.numbers.fraction())) as Nanos;
        let (now, queue) = (self.now, self.case.queue);
        let condition = self.condition(replica);
        let lost = self.numbers.happens(0.5);
        let slow_connection = self.numbers.happens(0.2);
        let ended = match condition {
            Condition::Unresponsive | Condition::Stuck => None,
            Condition::Lossy if lost => None,
            Condition::FailsClass(bad) if bad == class => Some((2 * network, AttemptOutcome::Failed)),
            Condition::Rejects => Some((2 * network, AttemptOutcome::Rejected)),
            Condition::BreaksConnections => Some((3 * network, AttemptOutcome::ConnectionLost)),
            Condition::Down if slow_connection => Some((250 * MS, AttemptOutcome::ConnectFailed)),
            Condition::Down => Some((network, AttemptOutcome::ConnectFailed)),
            Condition::Slow(more) => Some((more + self.enqueue(replica, work), AttemptOutcome::Answered)),
            _ => match self.servers.get(&replica).map_or(0, |s| (s.free_at - now).max(0) / self.case.work) {
                waiting if waiting >= queue => Some((2 * network, AttemptOutcome::Rejected)),
                _ => Some((network + self.enqueue(replica, work), AttemptOutcome::Answered)),
            },
        };
        if let Some((after, ending)) = ended {
            self.at(after, Event::Ended(request, number, ending, over));
        }
    }

    /// Returns the latency of a request that joins a server's queue.
    fn enqueue(&mut self, replica: ReplicaIndex, work: Nanos) -> Nanos {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&replica) else { return work };
        server.free_at = server.free_at.max(now) + work;
        server.free_at - now
    }
}
