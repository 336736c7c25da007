//! Hedging: second attempts near a query's end while the first is in flight (Dean and Barroso, The Tail at Scale,
//! 2013), and the cancellation of attempts that are no longer needed.

use super::Aggregator;
use super::latency::{ASSUMED_LATENCY, scaled};
use crate::interface::{ActionSink, Nanos, ReplicaIndex, ShardRequestIndex};
use crate::state::ShardRequest;
use crate::trace::{AttemptReason, ExclusionReason};

/// The number of hedges stays below this fraction of the recent shard requests.
const MAX_HEDGE_FRACTION: f64 = 0.1;

/// A shard request whose only attempt has been in flight for longer than the hedge delay. Sorts by start of the
/// attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct OverdueRequest {
    /// When the attempt started.
    sent_at: Nanos,
    request: ShardRequestIndex,
}

impl Aggregator {
    /// Hedges overdue shard requests at idle replicas, oldest first, if few shard requests of their query are left.
    pub(super) fn start_hedges(&mut self, sink: &mut dyn ActionSink) {
        let late = self.overdue_requests();
        let mut candidates = self.candidates(late.iter().map(|late| late.request));
        for OverdueRequest { request: ix, .. } in late {
            let may_hedge = self.settings.may_hedge && self.within_hedge_budget();
            if !may_hedge || !self.may_retry(self.state.request(ix)) || !self.within_retry_budget() {
                continue;
            }
            let class = self.state.query(self.state.request(ix).query).class;
            let mut idle = self.choices(ix, &candidates);
            idle.retain(|&replica| {
                let candidate = &candidates[replica];
                // Without another replica, a retry may go to one that fails the class. A hedge there would be wasted.
                let fails = self.fails_class(replica, class).then_some(ExclusionReason::ClassFails);
                candidate.healthy
                    && candidate.has_quota
                    && candidate.calls == 0
                    && self.passes(ix, replica, fails)
            });
            if let Some(replica) = self.pick_random(&idle) {
                self.start_attempt(ix, replica, AttemptReason::Hedge, sink);
                candidates.update(replica, self.candidate(replica));
            }
        }
    }

    /// Returns the shard requests that have been in flight at one replica for longer than the hedge delay and whose
    /// query has few pending ones, ordered by the start of the attempt.
    fn overdue_requests(&self) -> Vec<OverdueRequest> {
        let mut late = Vec::new();
        for (_, query) in self.state.open_queries() {
            let pending: Vec<(ShardRequestIndex, &ShardRequest)> =
                self.state.requests_of(query).filter(|(_, request)| request.is_pending()).collect();
            let target = self.settings.classes[query.class].latency_target;
            let due = self.now() - self.latency.hedge_delay.unwrap_or(scaled(target, ASSUMED_LATENCY));
            let sent_before = |&(ix, request): &(ShardRequestIndex, &ShardRequest)| {
                let mut in_flight = request.in_flight();
                let sent_at = in_flight.next()?.1.sent_at;
                (sent_at <= due && in_flight.next().is_none())
                    .then_some(OverdueRequest { sent_at, request: ix })
            };
            let due_requests: Vec<OverdueRequest> = pending.iter().filter_map(sent_before).collect();
            if !due_requests.is_empty() && self.are_fewer_than_replicas(&pending) {
                late.extend(due_requests);
            }
        }
        late.sort_unstable();
        late
    }

    /// Whether there are fewer shard requests than replicas of their shards.
    fn are_fewer_than_replicas(&self, requests: &[(ShardRequestIndex, &ShardRequest)]) -> bool {
        let mut replicas: Vec<ReplicaIndex> =
            requests.iter().flat_map(|(_, request)| self.replicas_of(request.shard)).collect();
        replicas.sort_unstable();
        replicas.dedup();
        requests.len() < replicas.len()
    }

    /// Whether one more hedge stays within the hedge budget.
    fn within_hedge_budget(&self) -> bool {
        let since = self.now() - self.recent_window();
        let recent = &self.state.recent;
        let (hedges, requests) = (recent.hedges.count_after(since), recent.shard_requests.count_after(since));
        ((hedges + 1) as f64) < MAX_HEDGE_FRACTION * requests as f64
    }

    /// Cancels the attempts in flight that are no longer needed, because another attempt was answered or the query is
    /// over, and those that make way for a healthy replica.
    pub(super) fn cancel_superfluous(&mut self, sink: &mut dyn ActionSink) {
        if !self.settings.may_cancel {
            return;
        }
        let mut superfluous: Vec<(ShardRequestIndex, usize)> = self.state.superfluous_attempts().collect();
        let to_replace =
            self.state.pending_requests().filter(|(_, request)| self.should_replace_oldest(request));
        superfluous.extend(
            to_replace
                .filter_map(|(ix, request)| request.in_flight().next().map(|(attempt, _)| (ix, attempt))),
        );
        for (request, attempt) in superfluous {
            self.state.attempt_cancelled(request, attempt);
            sink.cancel_attempt(request, attempt);
        }
    }
}
