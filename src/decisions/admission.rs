//! Admission: when the first attempts of a query start, and which queries are rejected.
//!
//! Admission control prevents standing queues that outlast the latency target: every response would be late, and the
//! retries would keep the queues full. A query is admitted when all of its shard requests, or the smallest number of
//! them that may be answered from, find replicas that can respond in time. Until then the query waits here, where it
//! costs no capacity; so does any shard request that found none. The latest query is admitted first, as it has the
//! most time left, and low-priority queries come last.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::Aggregator;
use super::candidates::Candidates;
use super::completion::ROUNDING;
use super::latency::scaled;
use super::load::FULL_BACKLOG;
use crate::interface::{ActionSink, Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};
use crate::state::{AttemptOutcome, Query, ShardRequest};
use crate::trace::{ExclusionReason, TraceEvent};

/// Fraction of the capacity that low-priority queries may use; the rest is reserved for the others.
const LOW_PRIORITY_CAPACITY: f64 = 0.25;
/// The number of replicas with recently lost connections from which on each query first sends a canary request.
const MIN_BREAKING_REPLICAS: usize = 3;
/// A query that lost connections at this many replicas is ended.
const MAX_REPLICAS_BROKEN: usize = 2;

impl Aggregator {
    /// Starts the attempts that are due: first for queries that have started, then for queries that are admitted now.
    pub(super) fn place_requests(&mut self, sink: &mut dyn ActionSink) {
        let needs_attempt = |(_, request): &(ShardRequestIndex, &ShardRequest)| {
            !request.is_in_flight() || self.is_stuck_at_ejected(request)
        };
        let mut candidates =
            self.candidates(self.state.pending_requests().filter(needs_attempt).map(|(ix, _)| ix));
        let canaries_only = self.connections_break_often();
        let waiting = self.waiting_requests(canaries_only, &candidates);
        self.place_together(&waiting, &mut candidates, sink);
        self.admit_queries(canaries_only, &mut candidates, sink);
    }

    /// Returns the shard requests of started queries that need an attempt.
    fn waiting_requests(&self, canaries_only: bool, candidates: &Candidates) -> Vec<ShardRequestIndex> {
        let max_backlog = scaled(self.shortest_latency_target(), FULL_BACKLOG);
        let mut waiting: Vec<ShardRequestIndex> = Vec::new();
        for (_, query) in self.state.open_queries() {
            let canary_only = !self.is_under_way(query) || canaries_only && self.awaits_canary(query);
            let waits = |&(ix, request): &(ShardRequestIndex, &ShardRequest)| match (
                request.attempts.is_empty(),
                request.is_in_flight(),
            ) {
                (true, _) => !canary_only && self.finds_capacity(ix, max_backlog, candidates),
                (false, false) => self.may_retry(request),
                (false, true) => self.may_retry(request) && self.is_stuck_at_ejected(request),
            };
            let pending = self.state.requests_of(query).filter(|(_, request)| request.is_pending());
            waiting.extend(pending.filter(waits).map(|(ix, _)| ix));
        }
        waiting
    }

    fn admit_queries(&mut self, canaries_only: bool, candidates: &mut Candidates, sink: &mut dyn ActionSink) {
        let rank = |(ix, query): (QueryIndex, &Query)| (self.is_low_priority(query), Reverse(ix));
        let mut open: Vec<(bool, Reverse<QueryIndex>)> = self.state.open_queries().map(rank).collect();
        open.sort_unstable();
        for (_, Reverse(ix)) in open {
            let query = self.state.query(ix);
            if self.is_under_way(query) {
                continue;
            }
            let max_backlog = self.max_backlog_for(query);
            let mut requests: Vec<ShardRequestIndex> = query.requests.clone();
            requests.retain(|&request| self.finds_capacity(request, max_backlog, candidates));
            let weight: f64 = requests.iter().map(|&request| self.state.request(request).weight).sum();
            let class = &self.settings.classes[query.class];
            if weight + ROUNDING >= class.full_completeness.min((class.min_completeness + 1.0) / 2.0) {
                requests.truncate(if canaries_only { 1 } else { requests.len() });
                self.place_together(&requests, candidates, sink);
            } else {
                let full = self.state.requests_of(query).filter(|(request, _)| !requests.contains(request));
                let backlogs = full
                    .flat_map(|(_, request)| self.replicas_of(request.shard))
                    .map(|replica| candidates[replica].backlog);
                let least_backlog = backlogs.min().unwrap_or(0);
                let with_capacity = requests.len();
                self.state.record(|| TraceEvent::NotAdmitted { query: ix, with_capacity, least_backlog });
            }
        }
    }

    /// Returns the largest backlog a replica may have so that a shard request of this query is answered in time.
    fn max_backlog_for(&self, query: &Query) -> Nanos {
        let max_backlog = scaled(self.shortest_latency_target(), FULL_BACKLOG);
        let fraction = if self.is_low_priority(query) { LOW_PRIORITY_CAPACITY } else { 1.0 };
        // An admitted query must also complete its second step.
        let remaining_steps = 1 + i64::from(self.settings.classes[query.class].second_step_requests > 0);
        let time_left = self.latency_target_end(query) - self.now();
        scaled(max_backlog.min(scaled(time_left, FULL_BACKLOG) / remaining_steps), fraction)
    }

    /// Whether connections broke at several replicas recently, whatever the cause. While they do, each query sends
    /// one canary request, and the other shard requests follow once it is answered or has been in flight for longer
    /// than the response time-out. This protects against queries that crash every server that executes one of their
    /// shard requests. Cost: a query then takes the time of one shard request longer.
    fn connections_break_often(&self) -> bool {
        let since = self.now() - self.recent_window();
        let recent = self.state.lost_connections.iter().filter(|(at, _)| *at > since);
        recent.map(|(_, replica)| replica).collect::<BTreeSet<_>>().len() >= MIN_BREAKING_REPLICAS
    }

    /// Whether the query waits for its canary request: no shard request is answered yet, and no attempt has been in
    /// flight for longer than the response time-out.
    fn awaits_canary(&self, query: &Query) -> bool {
        let requests = || self.state.requests_of(query).map(|(_, request)| request);
        let since = self.now() - self.latency.response_timeout;
        !requests().any(|request| request.answered)
            && requests().flat_map(|request| &request.attempts).all(|attempt| attempt.sent_at > since)
    }

    /// Whether the query lost connections at several replicas and none of its shard requests was ever answered. The
    /// next replica might crash too, and the client retries anyway.
    pub(super) fn breaks_replicas(&self, query: &Query) -> bool {
        let requests = || self.state.requests_of(query).map(|(_, request)| request);
        let lost = requests()
            .flat_map(|request| &request.attempts)
            .filter(|attempt| attempt.outcome == Some(AttemptOutcome::ConnectionLost));
        lost.map(|attempt| attempt.replica).collect::<BTreeSet<_>>().len() >= MAX_REPLICAS_BROKEN
            && !requests().any(|request| request.answered)
    }

    /// Whether the query has low priority: it is a client's retry, whose useful time began with an earlier try, or this
    /// front node alone receives more queries of the tenant than the tenant's quota over all front nodes (or than the
    /// part of the quota that the fleet assigns to this front node, where the fleet shares it).
    fn is_low_priority(&self, query: &Query) -> bool {
        let window = self.recent_window();
        let is_beyond = |rate: &f64| {
            let queries = self.state.recent.queries_of(query.tenant, self.now() - window);
            queries as f64 > rate * window as f64 / 1e9
        };
        let left_by_fleet = self.state.fleet_tenant_rates.get(query.tenant);
        query.is_retry
            || left_by_fleet.or(self.settings.tenant_rates.get(query.tenant)).is_some_and(is_beyond)
    }

    /// Whether any attempt of the query was started.
    pub(super) fn is_under_way(&self, query: &Query) -> bool {
        query.requests.iter().any(|&request| self.is_attempted(request))
    }

    /// Whether any attempt of the shard request was started.
    pub(super) fn is_attempted(&self, request: ShardRequestIndex) -> bool {
        !self.state.request(request).attempts.is_empty()
    }

    /// Whether a replica of its shard has quota and a backlog of at most `max_backlog`.
    fn finds_capacity(
        &self,
        request: ShardRequestIndex,
        max_backlog: Nanos,
        candidates: &Candidates,
    ) -> bool {
        let exclusion =
            |ix: ReplicaIndex| match (candidates[ix].has_quota, candidates[ix].backlog <= max_backlog) {
                (true, true) => None,
                (false, _) => Some(ExclusionReason::WarmingUp),
                (true, false) => Some(ExclusionReason::Backlog),
            };
        self.choices(request, candidates).iter().any(|&ix| self.passes(request, ix, exclusion(ix)))
    }

    /// Whether the query was not admitted, and a response of usual latency would now arrive after the latency target
    /// or the client's deadline. A query may always wait for half of its time, whatever the usual latency: after an
    /// overload the measured latencies are outdated.
    pub(super) fn is_too_late_to_admit(&self, query: &Query) -> bool {
        let longest = self.latency.longest.unwrap_or(0);
        let end = self.latency_target_end(query).min(query.client_deadline);
        self.now() >= end - longest.min((end - query.received_at) / 2) && !self.is_under_way(query)
    }
}
