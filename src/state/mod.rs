//! The facts that an aggregator bases its decisions on: what was received, what was attempted, how that ended, and what
//! discovery and the fleet report. Nothing here makes decisions; the caller sets how many samples are kept.

mod membership;
mod queries;
mod recent;
mod replicas;
mod samples;
mod window;

use std::cell::RefCell;
use std::collections::BTreeSet;

pub(crate) use membership::VerificationChange;
pub use queries::{Attempt, AttemptOutcome, Query, ShardRequest};
pub use recent::{RecentTimes, RecentTraffic};
pub use replicas::{AttemptEnd, ConnectFailure, CountedAttempt, LoadReport, Replica};
pub use samples::{Sample, SampleLimits, SampleRing};

use crate::interface::{Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};
use crate::trace::{Trace, TraceEvent, TraceRecord};
use replicas::EndingAttempt;
use window::NumberedWindow;

/// Queries, shard requests, replicas and recent traffic of one aggregator.
#[derive(Clone, Debug)]
pub struct AggregatorState {
    now: Nanos,
    round: u64,
    limits: SampleLimits,
    queries: NumberedWindow<Query>,
    requests: NumberedWindow<ShardRequest>,
    /// Replicas by slot.
    pub replicas: Vec<Replica>,
    /// Replicas removed since the last round.
    pub(crate) removed_replicas: Vec<ReplicaIndex>,
    /// Changes of verification since the last round.
    pub(crate) verification_changes: Vec<VerificationChange>,
    /// Replicas with an attempt that counted as in flight at any time in this round.
    pub(crate) busy: BTreeSet<ReplicaIndex>,
    /// Serving replicas by cell.
    cells: Vec<Vec<ReplicaIndex>>,
    update_is_complete: bool,
    /// Whether the source of membership changes no longer responds.
    pub membership_lost: bool,
    /// When the last membership update was received.
    pub membership_received_at: Option<Nanos>,
    /// Latencies of the last shard requests that were answered.
    pub(crate) latencies: SampleRing<Nanos>,
    /// When connections were lost with an attempt in flight, and to which replica.
    pub(crate) lost_connections: SampleRing<(Nanos, ReplicaIndex)>,
    /// Times of recently received and sent requests.
    pub recent: RecentTraffic,
    /// Quota of each tenant, in queries per second, that the fleet assigns to this front node; empty if front nodes do
    /// not share the tenants' quotas.
    pub fleet_tenant_rates: Vec<f64>,
    /// The number of further attempts that the fleet currently leaves to this front node; `None` if front nodes do not
    /// share a retry budget.
    pub fleet_attempts_left: Option<usize>,
    /// Reasons of the decisions, recorded if the host turned the trace on.
    trace: RefCell<Trace>,
}

impl AggregatorState {
    /// Returns the state before anything was received.
    pub fn new(limits: SampleLimits) -> Self {
        AggregatorState {
            now: 0,
            round: 0,
            limits,
            queries: NumberedWindow::new(),
            requests: NumberedWindow::new(),
            replicas: Vec::new(),
            removed_replicas: Vec::new(),
            verification_changes: Vec::new(),
            busy: BTreeSet::new(),
            cells: Vec::new(),
            update_is_complete: false,
            membership_lost: false,
            membership_received_at: None,
            latencies: SampleRing::new(limits.latencies),
            lost_connections: SampleRing::new(limits.lost_connections),
            recent: RecentTraffic::default(),
            fleet_tenant_rates: Vec::new(),
            fleet_attempts_left: None,
            trace: RefCell::default(),
        }
    }

    /// Begins a round at the given time.
    pub fn begin_round(&mut self, now: Nanos) {
        self.now = now;
        self.round += 1;
    }

    // ---- the trace ----

    /// Turns the recording of events on or off.
    pub fn set_tracing(&mut self, on: bool) {
        self.trace.get_mut().set_enabled(on);
    }

    /// Records an event. `event` is called only while the trace is on.
    pub fn record(&self, event: impl FnOnce() -> TraceEvent) {
        self.trace.borrow_mut().record(self.now, event);
    }

    /// Returns and removes the events recorded since the last call.
    pub fn take_trace(&mut self) -> Vec<TraceRecord> {
        let (query, request) = (self.first_query(), self.first_shard_request());
        self.trace.get_mut().take(query, request)
    }

    // ---- input ----

    /// A query was received. `expected_work` is the expected work of all its shard requests, or 0 if unknown.
    pub fn query_received(
        &mut self,
        class: usize,
        tenant: usize,
        client_deadline: Nanos,
        expected_work: Nanos,
        is_retry: bool,
    ) -> QueryIndex {
        self.recent.query_received(self.now, tenant);
        let query = QueryIndex(self.queries.next());
        self.queries.push(Query {
            class,
            tenant,
            received_at: self.now,
            client_deadline,
            expected_work,
            is_retry,
            min_completeness: 0.0,
            requests: Vec::new(),
            step: 0,
            closed: false,
        });
        self.record(|| TraceEvent::QueryReceived { query, class, is_retry });
        query
    }

    /// The client requires a completeness of at least `min_completeness`.
    pub fn require_completeness(&mut self, query: QueryIndex, min_completeness: f64) {
        if let Some(query) = self.queries.get_mut(query.0) {
            query.min_completeness = min_completeness;
        }
    }

    /// A shard request of a query was received. `weight` is its fraction of the weight of its step.
    pub fn shard_request_received(
        &mut self,
        query: QueryIndex,
        shard: usize,
        weight: f64,
    ) -> ShardRequestIndex {
        self.recent.shard_request_received(self.now);
        let request = ShardRequestIndex(self.requests.next());
        self.record(|| TraceEvent::ShardRequestReceived { request, query, shard });
        let (step, closed) = match self.queries.get_mut(query.0) {
            Some(query) => {
                query.requests.push(request);
                (query.step, query.closed)
            }
            None => (0, true),
        };
        let attempts = Vec::new();
        self.requests.push(ShardRequest { query, shard, weight, step, attempts, answered: false, closed });
        request
    }

    /// An attempt ended. If `request_over`, the host will report no other result of its shard request.
    pub fn attempt_ended(
        &mut self,
        request_index: ShardRequestIndex,
        attempt_number: usize,
        outcome: AttemptOutcome,
        took: Nanos,
        request_over: bool,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(request_index.0) else { return };
        request.closed |= request_over && outcome != AttemptOutcome::Answered;
        let Some(attempt) = request.attempts.get_mut(attempt_number) else { return };
        attempt.outcome = Some(outcome);
        let (sent_at, replica, query) = (attempt.sent_at, attempt.replica, request.query);
        if outcome == AttemptOutcome::Answered {
            request.answered |= !request.closed;
            self.latencies.push(took);
        }
        if outcome == AttemptOutcome::ConnectionLost {
            self.lost_connections.push((now, replica));
        }
        let class = self.queries.get_mut(query.0).map_or(0, |query| query.class);
        let sample = Sample { at: now, took, outcome, class };
        let ending = EndingAttempt { request: request_index, attempt: attempt_number, sent_at };
        self.replicas[replica.0].attempt_ended(ending, sample);
    }

    /// The fleet reports its limits for a replica: the number of attempts per window while the replica warms up, and
    /// a bit set of the service classes that other front nodes found it failing.
    pub fn fleet_limits_received(&mut self, replica: ReplicaIndex, warm_up_quota: f64, failing_classes: u64) {
        let replica = &mut self.replicas[replica.0];
        replica.warm_up_quota = Some(warm_up_quota.max(0.0));
        replica.failing_classes = failing_classes;
    }

    /// The client disconnected, or its deadline passed.
    pub fn client_left(&mut self, query: QueryIndex) {
        self.close_query(query);
    }

    /// A health check ended. `report` holds the number of waiting shard requests and the number completed per second,
    /// if the response has both.
    pub fn health_check_ended(&mut self, replica: ReplicaIndex, answered: bool, report: Option<(f64, f64)>) {
        let at = self.now;
        let replica = &mut self.replicas[replica.0];
        if let (Some(sent_at), true) = (replica.health_check_sent_at.take(), answered) {
            replica.answered_health_checks.push(sent_at);
        }
        let report = report.map(|(waiting, rate)| LoadReport { at, waiting, rate });
        replica.load_report = report.or(replica.load_report);
    }

    // ---- decisions ----

    /// An attempt starts now.
    pub fn attempt_started(&mut self, request: ShardRequestIndex, replica: ReplicaIndex, is_hedge: bool) {
        let (now, round) = (self.now, self.round);
        let attempts = &mut self.requests[request.0].attempts;
        let attempt = attempts.len();
        attempts.push(Attempt { replica, sent_at: now, outcome: None, cancelled: false });
        if attempt > 0 {
            self.recent.further_attempts.push(now);
            self.fleet_attempts_left = self.fleet_attempts_left.map(|left| left.saturating_sub(1));
        }
        if is_hedge {
            self.recent.hedges.push(now);
        }
        self.busy.insert(replica);
        let replica = &mut self.replicas[replica.0];
        replica.attempt_times.push(now);
        replica.counted.push(CountedAttempt { request, attempt, sent_at: now, round, ended: None });
    }

    /// The cancellation of an attempt was requested.
    pub fn attempt_cancelled(&mut self, request: ShardRequestIndex, attempt: usize) {
        self.requests[request.0].attempts[attempt].cancelled = true;
    }

    /// A health check starts now.
    pub fn health_check_started(&mut self, replica: ReplicaIndex) {
        self.replicas[replica.0].health_check_sent_at = Some(self.now);
    }

    /// The first step of the query was answered.
    pub fn advance_step(&mut self, query: QueryIndex) {
        if let Some(query) = self.queries.get_mut(query.0) {
            query.step += 1;
        }
    }

    /// The query has its final response; its shard requests are no longer needed.
    pub fn close_query(&mut self, query: QueryIndex) {
        let Some(query) = self.queries.get_mut(query.0) else { return };
        query.closed = true;
        for request in &query.requests {
            self.requests[request.0].closed = true;
        }
    }

    /// Drops queries and shard requests that no outcome can refer to any more, and recent times before the given one.
    pub fn prune(&mut self, before: Nanos) {
        while self.queries.front().is_some_and(|query| {
            query.closed && query.requests.iter().all(|request| !self.requests[request.0].is_in_flight())
        }) {
            self.queries.drop_front();
        }
        while self.requests.front().is_some_and(|request| request.query.0 < self.queries.first()) {
            self.requests.drop_front();
        }
        self.busy.retain(|ix| !self.replicas[ix.0].counted.is_empty());
        self.recent.forget_before(before);
    }

    // ---- queries ----

    /// Returns when the current round began.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the number of the current round.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Returns the first query that is kept.
    pub fn first_query(&self) -> QueryIndex {
        QueryIndex(self.queries.first())
    }

    /// Returns the first shard request that is kept.
    pub fn first_shard_request(&self) -> ShardRequestIndex {
        ShardRequestIndex(self.requests.first())
    }

    /// Returns the queries without a final response, oldest first.
    pub fn open_queries(&self) -> impl Iterator<Item = (QueryIndex, &Query)> {
        let numbered = self.queries.iter().filter(|(_, query)| !query.closed);
        numbered.map(|(number, query)| (QueryIndex(number), query))
    }

    /// Returns the shard requests that still need a result, oldest first.
    pub fn pending_requests(&self) -> impl Iterator<Item = (ShardRequestIndex, &ShardRequest)> {
        let numbered = self.requests.iter().filter(|(_, request)| request.is_pending());
        numbered.map(|(number, request)| (ShardRequestIndex(number), request))
    }

    /// Returns the attempts in flight whose shard requests no longer need them and whose cancellation was not requested
    /// yet.
    pub fn superfluous_attempts(&self) -> impl Iterator<Item = (ShardRequestIndex, usize)> {
        let over = self.requests.iter().filter(|(_, request)| !request.is_pending());
        over.flat_map(|(number, request)| {
            let in_flight = request.in_flight().filter(|(_, attempt)| !attempt.cancelled);
            in_flight.map(move |(attempt, _)| (ShardRequestIndex(number), attempt))
        })
    }

    /// Returns a query that is kept. Panics if it was dropped.
    pub fn query(&self, ix: QueryIndex) -> &Query {
        &self.queries[ix.0]
    }

    /// Returns the shard requests of a query with their numbers.
    pub fn requests_of<'a>(
        &'a self,
        query: &'a Query,
    ) -> impl Iterator<Item = (ShardRequestIndex, &'a ShardRequest)> + Clone {
        query.requests.iter().map(|&ix| (ix, self.request(ix)))
    }

    /// Returns a shard request that is kept. Panics if it was dropped.
    pub fn request(&self, ix: ShardRequestIndex) -> &ShardRequest {
        &self.requests[ix.0]
    }
}
