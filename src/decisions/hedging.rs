//! Hedges: second attempts near a query's end while the first is in flight (Dean and Barroso 2013), and the end of
//! attempts that are not needed any more.

use super::Aggregator;
use super::latency::{FIRST_DELAY, scaled};
use crate::interface::{ActionSink, Nanos, ReplicaIndex, ShardRequestIndex};
use crate::state::ShardRequest;
use crate::trace::{AttemptReason, ExclusionReason};

/// Hedges stay under this share of the recent shard requests.
const HEDGE_SHARE: f64 = 0.1;

/// A shard request whose only attempt is in flight for longer than the hedge delay; the oldest attempt comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LateRequest {
    /// When the attempt started.
    sent_at: Nanos,
    request: ShardRequestIndex,
}

impl Aggregator {
    /// Near a query's end idle replicas get a hedge of a pending shard request, oldest first, after the delay.
    pub(super) fn start_hedges(&mut self, sink: &mut dyn ActionSink) {
        let late = self.late_requests();
        let mut candidates = self.candidates(late.iter().map(|late| late.request));
        for LateRequest { request: ix, .. } in late {
            let may_hedge = self.settings.may_hedge && self.hedges_left();
            if !may_hedge || !self.may_retry(self.state.request(ix)) || !self.within_retry_budget() {
                continue;
            }
            let class = self.state.query(self.state.request(ix).query).class;
            let mut idle = self.choices(ix, &candidates);
            idle.retain(|&replica| {
                let candidate = &candidates[replica];
                // Where no other is left, a retry may go to one that fails the class; a hedge there is only wasted.
                let fails = self.fails_class(replica, class).then_some(ExclusionReason::ClassFails);
                candidate.sound
                    && candidate.has_quota
                    && candidate.calls == 0
                    && self.passes(ix, replica, fails)
            });
            if let Some(replica) = self.any_of(&idle) {
                self.start_attempt(ix, replica, AttemptReason::Hedge, sink);
                candidates.update(replica, self.candidate(replica));
            }
        }
    }

    /// Shard requests that are in flight at one replica for longer than the delay, of queries that have few left; by
    /// the time of that attempt.
    fn late_requests(&self) -> Vec<LateRequest> {
        let mut late = Vec::new();
        for (_, query) in self.state.open_queries() {
            let pending: Vec<(ShardRequestIndex, &ShardRequest)> =
                self.state.requests_of(query).filter(|(_, request)| request.is_pending()).collect();
            let target = self.settings.classes[query.class].latency_target;
            let due = self.now() - self.latency.hedge_delay.unwrap_or(scaled(target, FIRST_DELAY));
            let sent_before = |&(ix, request): &(ShardRequestIndex, &ShardRequest)| {
                let mut in_flight = request.in_flight();
                let sent_at = in_flight.next()?.1.sent_at;
                (sent_at <= due && in_flight.next().is_none()).then_some(LateRequest { sent_at, request: ix })
            };
            let due_requests: Vec<LateRequest> = pending.iter().filter_map(sent_before).collect();
            if !due_requests.is_empty() && self.are_few(&pending) {
                late.extend(due_requests);
            }
        }
        late.sort_unstable();
        late
    }

    /// Whether there are fewer of them than replicas of their shards.
    fn are_few(&self, requests: &[(ShardRequestIndex, &ShardRequest)]) -> bool {
        let mut replicas: Vec<ReplicaIndex> =
            requests.iter().flat_map(|(_, request)| self.replicas_of(request.shard)).collect();
        replicas.sort_unstable();
        replicas.dedup();
        requests.len() < replicas.len()
    }

    fn hedges_left(&self) -> bool {
        let since = self.now() - self.recent_window();
        let recent = &self.state.recent;
        let (hedges, requests) = (recent.hedges.count_after(since), recent.shard_requests.count_after(since));
        ((hedges + 1) as f64) < HEDGE_SHARE * requests as f64
    }

    /// When one of two attempts was answered, or its query is over, those still in flight are cancelled.
    pub(super) fn cancel_losers(&mut self, sink: &mut dyn ActionSink) {
        if !self.settings.may_cancel {
            return;
        }
        let mut losers: Vec<(ShardRequestIndex, usize)> = self.state.superfluous_attempts().collect();
        let giving_way = self.state.pending_requests().filter(|(_, request)| self.gives_way(request));
        losers.extend(
            giving_way
                .filter_map(|(ix, request)| request.in_flight().next().map(|(attempt, _)| (ix, attempt))),
        );
        for (request, attempt) in losers {
            self.state.attempt_cancelled(request, attempt);
            sink.cancel_attempt(request, attempt);
        }
    }
}
