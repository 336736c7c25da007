//! Selection of a replica for each shard request, and the start of attempts.

use std::collections::VecDeque;

use rand::Rng;

use super::Aggregator;
use super::candidates::Candidates;
use super::latency::scaled;
use super::load::FULL_BACKLOG;
use crate::interface::{ActionSink, ReplicaIndex, ShardRequestIndex};
use crate::trace::{AttemptReason, ExclusionReason, TraceEvent, WithholdReason};

/// A replica is lightly loaded if its backlog is at most this fraction of the backlog at which it is full. Only lightly
/// loaded replicas are preferred for sharing calls.
const LIGHT_BACKLOG: f64 = 0.5;

impl Aggregator {
    /// Returns the serving replicas that hold a shard.
    pub(super) fn replicas_of(&self, shard: usize) -> impl Iterator<Item = ReplicaIndex> {
        let cells = self.settings.cells.max(1);
        let steps = 0..self.settings.cells_per_shard.min(cells);
        steps.flat_map(move |step| self.state.replicas_in_cell((shard + step) % cells))
    }

    /// Returns the replicas that may get an attempt of the shard request: healthy ones and, among these, ones that
    /// were not tried yet, if there are any. If all look unhealthy, the evidence is probably wrong, and all are
    /// allowed. A replica is tried again only after the earlier attempt stopped counting as in flight, so that a
    /// shard request does not use up its attempts on full replicas.
    pub(super) fn choices(
        &self,
        request_index: ShardRequestIndex,
        candidates: &Candidates,
    ) -> Vec<ReplicaIndex> {
        let request = self.state.request(request_index);
        let mut all: Vec<ReplicaIndex> = self.replicas_of(request.shard).collect();
        all.retain(|&ix| request.in_flight().all(|(_, attempt)| attempt.replica != ix));
        // A replica that only an outdated list names gets no attempt, even if all others look unhealthy.
        let unverified = |ix: ReplicaIndex| self.state.replicas[ix.0].unverified;
        all.retain(|&ix| {
            self.passes(request_index, ix, unverified(ix).then_some(ExclusionReason::Unverified))
        });
        let class = self.state.query(request.query).class;
        self.retain_preferred(request_index, &mut all, |ix| {
            match (candidates[ix].healthy, self.health[ix.0].is_ejected()) {
                (true, _) => self.fails_class(ix, class).then_some(ExclusionReason::ClassFails),
                (false, false) => Some(ExclusionReason::OnTrial),
                (false, true) => Some(ExclusionReason::Ejected),
            }
        });
        // If all look unhealthy, a reported queue is the only reliable evidence.
        let most = scaled(self.shortest_latency_target(), FULL_BACKLOG);
        let has_long_queue = |ix: ReplicaIndex| self.reported_wait(&self.state.replicas[ix.0]) > most;
        self.retain_preferred(request_index, &mut all, |ix| {
            has_long_queue(ix).then_some(ExclusionReason::LongQueue)
        });
        let tried = |ix: ReplicaIndex| request.has_tried(ix);
        self.retain_preferred(request_index, &mut all, |ix| {
            tried(ix).then_some(ExclusionReason::AlreadyTried)
        });
        all.retain(|&ix| {
            let counts = tried(ix) && self.state.counts_attempt_of(ix, request_index);
            self.passes(request_index, ix, counts.then_some(ExclusionReason::AttemptCounts))
        });
        all
    }

    /// Keeps the replicas without a reason for exclusion if there are any; otherwise keeps all.
    fn retain_preferred(
        &self,
        request: ShardRequestIndex,
        replicas: &mut Vec<ReplicaIndex>,
        exclusion: impl Fn(ReplicaIndex) -> Option<ExclusionReason>,
    ) {
        if replicas.iter().any(|&ix| exclusion(ix).is_none()) {
            replicas.retain(|&ix| self.passes(request, ix, exclusion(ix)));
        }
    }

    /// Whether there is no reason to exclude the replica. A reason is recorded in the trace.
    pub(super) fn passes(
        &self,
        request: ShardRequestIndex,
        replica: ReplicaIndex,
        exclusion: Option<ExclusionReason>,
    ) -> bool {
        if let Some(reason) = exclusion {
            self.state.record(|| TraceEvent::ReplicaExcluded { request, replica, reason });
        }
        exclusion.is_none()
    }

    /// Starts an attempt of each shard request at the replica of its shard with the fewest calls in flight. Among
    /// equal ones a lightly loaded replica where more of these requests share a call is preferred, as each call costs
    /// work; the rest is random. A replica with a backlog is not preferred: the last replica of a shard would
    /// otherwise attract the requests of neighbouring shards as well.
    pub(super) fn place_together(
        &mut self,
        requests: &[ShardRequestIndex],
        candidates: &mut Candidates,
        sink: &mut dyn ActionSink,
    ) {
        let choices = |&ix: &ShardRequestIndex| (ix, self.choices(ix, candidates));
        let mut waiting: VecDeque<(ShardRequestIndex, Vec<ReplicaIndex>)> =
            requests.iter().map(choices).collect();
        while let Some((request_index, choices)) = waiting.pop_front() {
            let mut fewest = choices.clone();
            fewest.retain(|&ix| candidates.has_fewest_calls(ix, &choices));
            if let Some(reason) = self.reason_to_withhold(request_index, &fewest) {
                self.state.record(|| TraceEvent::AttemptWithheld { request: request_index, reason });
                continue;
            }
            let tied = self.best_for_shared_calls(&fewest, &waiting, candidates);
            if let Some(replica) = self.pick_random(&tied) {
                let request = self.state.request(request_index);
                let reason = match (request.attempts.is_empty(), request.is_in_flight()) {
                    (true, _) => AttemptReason::First,
                    (false, true) => AttemptReason::ReplicaEjected,
                    (false, false) => AttemptReason::Retry,
                };
                self.start_attempt(request_index, replica, reason, sink);
                candidates.update(replica, self.candidate(replica));
            }
        }
    }

    /// Returns why the shard request gets no attempt, or `None` if it may get one.
    fn reason_to_withhold(
        &self,
        request: ShardRequestIndex,
        choices: &[ReplicaIndex],
    ) -> Option<WithholdReason> {
        if choices.is_empty() {
            Some(WithholdReason::NoReplica)
        } else {
            let withheld = self.is_attempted(request) && !self.within_retry_budget();
            withheld.then_some(WithholdReason::RetryBudgetSpent)
        }
    }

    /// Returns the replicas at which this shard request shares a call with the most of the waiting ones.
    fn best_for_shared_calls(
        &self,
        fewest: &[ReplicaIndex],
        waiting: &VecDeque<(ShardRequestIndex, Vec<ReplicaIndex>)>,
        candidates: &Candidates,
    ) -> Vec<ReplicaIndex> {
        let light_backlog = scaled(self.shortest_latency_target(), FULL_BACKLOG * LIGHT_BACKLOG);
        let sharing_rank = |ix: ReplicaIndex| {
            let others = waiting
                .iter()
                .filter(|(_, choices)| choices.contains(&ix) && candidates.has_fewest_calls(ix, choices));
            let shared = others.take(self.settings.requests_per_call - 1).count();
            (candidates[ix].backlog <= light_backlog, candidates[ix].joins_call, shared)
        };
        let most = fewest.iter().map(|&ix| sharing_rank(ix)).max();
        fewest.iter().copied().filter(|&ix| Some(sharing_rank(ix)) == most).collect()
    }

    /// Returns a random one, or `None` if there are none.
    pub(super) fn pick_random(&mut self, replicas: &[ReplicaIndex]) -> Option<ReplicaIndex> {
        (!replicas.is_empty()).then(|| replicas[self.rng.random_range(0..replicas.len())])
    }

    /// Records an attempt and sends it.
    pub(super) fn start_attempt(
        &mut self,
        ix: ShardRequestIndex,
        replica: ReplicaIndex,
        reason: AttemptReason,
        sink: &mut dyn ActionSink,
    ) {
        self.state.record(|| TraceEvent::AttemptStarted { request: ix, replica, reason });
        let request = self.state.request(ix);
        let limit = self.useful_until(self.state.query(request.query)) - self.now();
        let limit = limit.max(self.settings.tick);
        // The attempt may wait for a connection, but only as long as it may still follow an earlier one.
        let send_within = self.may_be_sent_until(request).saturating_sub(self.now()).min(limit);
        self.state.attempt_started(ix, replica, reason == AttemptReason::Hedge);
        sink.start_attempt(ix, replica, limit, send_within);
    }
}
