//! Load of the replicas by this front node: attempts and calls in flight, and the time that they will take.

use super::Aggregator;
use super::latency::{percentile, scaled};
use crate::interface::{Nanos, ReplicaIndex};
use crate::state::{AttemptEnd, AttemptOutcome};

/// A replica has no capacity for a shard request if its backlog of this front node's requests exceeds this fraction
/// of a latency target.
pub(super) const FULL_BACKLOG: f64 = 0.38;
/// The window, in latency targets, over which a replica's responses are counted to measure its rate.
pub(super) const RATE_WINDOW: f64 = 2.0;
/// The number of shard requests, answered or in flight, from which on a rate is meaningful.
const MIN_RATE_REQUESTS: usize = 3;
/// The number of recent responses whose median latency bounds the backlog, and the multiple of it that the backlog may
/// reach.
const RECENT_ANSWERS: usize = 5;
const RECENT_MULTIPLE: f64 = 2.0;

impl Aggregator {
    /// Removes ended attempts that no longer count as in flight. Unresponsive replicas and replicas with fast errors
    /// would otherwise empty first and attract all shard requests. So an attempt that ended without a response counts
    /// until the replica answers a later one, or for the response time-out. In a large fleet a replica gets a shard
    /// request only every few seconds and most counts are zero; there such an attempt, or a late response, counts
    /// until the next shard request to the replica is due.
    pub(super) fn release_counts(&mut self) {
        let (now, response_timeout) = (self.now(), self.latency.response_timeout);
        let revisit_interval = self.latency.revisit_interval;
        for &ix in &self.state.busy {
            let replica = &mut self.state.replicas[ix.0];
            let answered = replica.last_answered_sent_at;
            replica.counted.retain(|counted| match counted.ended {
                None => true,
                Some(AttemptEnd { outcome: AttemptOutcome::NotSent, .. }) => false,
                Some(AttemptEnd { outcome: AttemptOutcome::Answered, at }) => {
                    at - counted.sent_at >= response_timeout
                        && answered <= counted.sent_at
                        && now < at + revisit_interval
                }
                Some(AttemptEnd { at, .. }) => {
                    answered < counted.sent_at && now < at + response_timeout.max(revisit_interval)
                }
            });
        }
    }

    /// The number of calls in flight at the replica. Each shard request is a call of its own if calls are not shared.
    pub(super) fn calls_in_flight(&self, ix: ReplicaIndex) -> usize {
        let counted = &self.state.replicas[ix.0].counted;
        let calls = counted.chunk_by(|a, b| a.round == b.round);
        calls.map(|call| call.len().div_ceil(self.settings.requests_per_call)).sum()
    }

    /// Whether a shard request sent now would join a call that is being written in this round.
    pub(super) fn joins_call(&self, ix: ReplicaIndex) -> bool {
        let counted = self.state.replicas[ix.0].counted.iter().rev();
        let of_this_round = counted.take_while(|counted| counted.round == self.state.round());
        !of_this_round.count().is_multiple_of(self.settings.requests_per_call)
    }

    /// Estimates how long the replica needs for what this front node sent it: the number of attempts divided by the
    /// rate of responses (Little's law, 1961). The rate is also low where this front node sends little, so the
    /// estimate is lowered, down to a third, if the recent responses and the oldest attempt in flight took less.
    pub(super) fn backlog(&self, ix: ReplicaIndex) -> Nanos {
        let replica = &self.state.replicas[ix.0];
        let span = scaled(self.shortest_latency_target(), RATE_WINDOW);
        let since = self.now() - span;
        let known_since = since.min(self.now() - self.latency.revisit_interval);
        // A rejection for lack of capacity tells more about the queue than any rate measured here.
        let last = replica.samples.iter().last();
        if last.is_some_and(|s| s.outcome == AttemptOutcome::Rejected && s.at >= known_since) {
            return span;
        }
        let response_timeout = self.latency.response_timeout;
        let counts =
            |ended: Option<AttemptEnd>| ended.is_none_or(|end| self.now() < end.at + response_timeout);
        let counted = replica.counted.iter().filter(|counted| counts(counted.ended)).count();
        let in_flight = replica.counted.iter().filter(|counted| counted.ended.is_none());
        let oldest = in_flight.map(|counted| self.now() - counted.sent_at).max().unwrap_or(0);
        let recent = replica
            .samples
            .iter()
            .rev()
            .take_while(|sample| sample.at >= known_since)
            .filter(|sample| sample.outcome == AttemptOutcome::Answered)
            .take(RECENT_ANSWERS)
            .map(|sample| sample.took);
        let took: Vec<Nanos> = recent.collect();
        let recent_latency = if took.is_empty() { oldest } else { oldest.max(percentile(took, 0.5)) };
        let answered = replica.answered_since(since);
        let time_at_rate = span / answered.max(1) as Nanos * counted as Nanos;
        // With so few shard requests there is no rate, and only the latency of the last ones is known. Where replicas
        // report their queues, it counts as the backlog, next to the reported wait. Elsewhere it may be due to the
        // network link and counts only from the response time-out on.
        match answered + counted < MIN_RATE_REQUESTS {
            false => time_at_rate.min(scaled(recent_latency, RECENT_MULTIPLE).max(time_at_rate / 3)),
            true if !self.settings.queues_reported && recent_latency < response_timeout => 0,
            true => recent_latency.max(self.reported_wait(replica)),
        }
    }
}
