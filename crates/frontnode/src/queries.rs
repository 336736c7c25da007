//! The accepted queries with their shard requests and attempts, indexed by the aggregator's numbers. They are kept
//! until the aggregator forgets them.

use std::borrow::Cow;
use std::collections::{HashMap, VecDeque};

use orchidvalve::interface::{Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::{AggregatorState, AttemptOutcome};
use orchidvalve_search::routes::ShardWeight;

use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::event_loop::{ClientKey, ConnectionKey, Timer};
use crate::recorder::RecordedQuery;
use crate::reply::{Outcome, Reply, ReplyFormat};

/// A table whose slots are assigned in order and removed from the front.
struct Window<T> {
    first: usize,
    items: VecDeque<T>,
}

impl<T> Window<T> {
    fn new() -> Self {
        Window { first: 0, items: VecDeque::new() }
    }

    fn get(&self, ix: usize) -> Option<&T> {
        self.items.get(ix.checked_sub(self.first)?)
    }

    fn get_mut(&mut self, ix: usize) -> Option<&mut T> {
        self.items.get_mut(ix.checked_sub(self.first)?)
    }

    fn drop_before(&mut self, first: usize) {
        let count = first.saturating_sub(self.first).min(self.items.len());
        self.items.drain(..count);
        self.first += count;
    }
}

/// The position of a query in a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueryOrigin {
    /// The client connection that received the request.
    pub client: ClientKey,
    /// The position of the query in the request.
    pub position: usize,
}

/// An accepted query.
pub struct Query {
    /// The connection and position that its response goes to.
    pub origin: QueryOrigin,
    reply_format: Box<dyn ReplyFormat>,
    accepted_at: Nanos,
    /// The id chosen by the client or by its protocol.
    pub id: Box<str>,
    /// The idempotency key, in service classes that require one: it makes repeated attempts safe.
    pub idempotency_key: Option<Box<str>>,
    /// The payload that is sent to each shard.
    pub payload: Box<str>,
    /// Its shard requests.
    pub shard_requests: Vec<ShardRequestIndex>,
    /// Whether it has no final response yet.
    pub pending: bool,
}

impl Query {
    fn final_answer(&self, outcome: Outcome, now: Nanos) -> FinalAnswer {
        let reply = self.reply_format.reply(outcome, now - self.accepted_at);
        FinalAnswer { origin: self.origin, reply }
    }
}

/// The final response to one query of a client's request.
pub struct FinalAnswer {
    /// The client connection and the position of the query in the request.
    pub origin: QueryOrigin,
    /// The response.
    pub reply: Reply,
}

/// The part of a query that goes to one shard.
pub struct ShardRequest {
    /// The query that it belongs to.
    pub query: QueryIndex,
    /// The shard that is queried.
    pub shard: usize,
    /// The value of the first attempt that succeeded.
    pub value: Option<Box<str>>,
    attempts: Vec<Attempt>,
    /// The time after which no further attempt may be sent.
    send_deadline: Nanos,
}

/// One attempt: a shard request sent to one replica.
pub struct Attempt {
    /// The replica that the attempt is sent to.
    pub replica: ReplicaIndex,
    started_at: Nanos,
    /// When it times out.
    pub deadline: Nanos,
    timer: DeadlineKey,
    /// The connection on which it is pending or in flight.
    pub connection: Option<ConnectionKey>,
    /// Whether it was written to its connection.
    pub written: bool,
    ended: bool,
}

/// Identifies an attempt by the aggregator's numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The shard request.
    pub shard_request: ShardRequestIndex,
    /// The number of the attempt among those of the shard request, from 0.
    pub number: usize,
}

/// An attempt that ended since the last round.
pub struct EndedAttempt {
    /// The attempt that ended.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The time from its start to its end, in nanoseconds.
    pub duration: Nanos,
}

/// The time limits of an attempt, in nanoseconds from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The time until it times out.
    pub timeout: Nanos,
    /// The time until no attempt of its shard request may be sent any more.
    pub send_within: Nanos,
}

/// A query as parsed by a client protocol.
pub struct QueryRequest<'a> {
    /// Its id.
    pub id: Cow<'a, str>,
    /// The index of its service class.
    pub service_class: usize,
    /// The index of its tenant.
    pub tenant: usize,
    /// The time after which a response is useless to the client.
    pub deadline: Nanos,
    /// The client's estimate of the work in nanoseconds; 0 if it gave none.
    pub estimated_work: Nanos,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// The minimum fraction of the shards' weight that a response must cover, if it exceeds the one of the service
    /// class.
    pub min_weight: f64,
    /// The idempotency key, in service classes that require one: it makes repeated attempts safe.
    pub idempotency_key: Option<Cow<'a, str>>,
    /// The payload that is sent to each shard.
    pub payload: Cow<'a, str>,
    /// The format of the response in the client's protocol.
    pub reply_format: Box<dyn ReplyFormat>,
    /// The shards to query, each with its weight.
    pub shards: Vec<ShardWeight>,
}

/// All queries that the aggregator has not forgotten.
pub struct QueryTable {
    queries: Window<Query>,
    shard_requests: Window<ShardRequest>,
    by_id: HashMap<Box<str>, QueryIndex>,
    /// The number of queries without a final response plus that of their shard requests without a value.
    pub pending: usize,
    /// Attempts that ended since the last round.
    pub ended: Vec<EndedAttempt>,
}

impl QueryTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        let (queries, shard_requests) = (Window::new(), Window::new());
        QueryTable { queries, shard_requests, by_id: HashMap::new(), pending: 0, ended: Vec::new() }
    }

    /// Returns whether a query with this id has no final response yet.
    pub fn is_pending(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the number of queries without a final response.
    pub fn pending_queries(&self) -> usize {
        self.by_id.len()
    }

    /// Adds a query and passes it on to the aggregator.
    pub fn accept(
        &mut self,
        request: QueryRequest,
        origin: QueryOrigin,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) -> QueryIndex {
        let QueryRequest { service_class, tenant, deadline, estimated_work, is_retry, min_weight, .. } =
            request;
        if let Some(recorder) = &mut context.recorder {
            let shards = &request.shards;
            let query =
                RecordedQuery { service_class, tenant: Some(tenant), is_retry, estimated_work, shards };
            recorder.record(context.now, &query);
        }
        let ix = aggregator_state.query_received(service_class, tenant, deadline, estimated_work, is_retry);
        aggregator_state.require_completeness(ix, min_weight);
        let mut shard_requests = Vec::with_capacity(request.shards.len());
        for &ShardWeight { shard, weight } in &request.shards {
            shard_requests.push(aggregator_state.shard_request_received(ix, shard, weight));
            self.shard_requests.items.push_back(ShardRequest {
                query: ix,
                shard,
                value: None,
                attempts: Vec::new(),
                send_deadline: Nanos::MAX,
            });
        }
        context.metrics.queries_accepted += 1;
        context.metrics.shard_requests_accepted += shard_requests.len() as u64;
        self.pending += 1 + shard_requests.len();
        let id: Box<str> = request.id.into();
        self.by_id.insert(id.clone(), ix);
        self.queries.items.push_back(Query {
            origin,
            reply_format: request.reply_format,
            accepted_at: context.now,
            id,
            idempotency_key: request.idempotency_key.map(Into::into),
            payload: request.payload.into(),
            shard_requests,
            pending: true,
        });
        ix
    }

    /// Returns a query, or `None` if the aggregator has forgotten it.
    pub fn query(&self, ix: QueryIndex) -> Option<&Query> {
        self.queries.get(ix.0)
    }

    /// Returns the final response with the values that were received from shards.
    pub fn answer(&self, ix: QueryIndex, complete: bool, now: Nanos) -> Option<FinalAnswer> {
        let query = self.query(ix)?;
        let shard_requests = query.shard_requests.iter().filter_map(|&ix| self.shard_request(ix));
        let shards: Vec<_> =
            shard_requests.map(|request| (request.shard, request.value.as_deref())).collect();
        Some(query.final_answer(Outcome::Answered { complete, shards: &shards }, now))
    }

    /// Returns the final response to a query that ends without values.
    pub fn answer_without_values(&self, ix: QueryIndex, outcome: Outcome, now: Nanos) -> Option<FinalAnswer> {
        Some(self.query(ix)?.final_answer(outcome, now))
    }

    /// Returns a shard request, or `None` if the aggregator has forgotten it.
    pub fn shard_request(&self, ix: ShardRequestIndex) -> Option<&ShardRequest> {
        self.shard_requests.get(ix.0)
    }

    /// Returns a shard request with its query.
    pub fn shard_request_and_query(&self, ix: ShardRequestIndex) -> Option<(&ShardRequest, &Query)> {
        let request = self.shard_request(ix)?;
        Some((request, self.query(request.query)?))
    }

    /// Returns an attempt, or `None` if it has ended.
    pub fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let request = self.shard_requests.get_mut(id.shard_request.0)?;
        request.attempts.get_mut(id.number).filter(|attempt| !attempt.ended)
    }

    /// Adds an attempt that the aggregator started, and schedules its timer.
    pub fn start_attempt(
        &mut self,
        shard_request: ShardRequestIndex,
        replica: ReplicaIndex,
        AttemptLimits { timeout, send_within }: AttemptLimits,
        context: &mut Context,
    ) -> Option<AttemptId> {
        let request = self.shard_requests.get_mut(shard_request.0)?;
        let (started_at, deadline, number) = (context.now, context.now + timeout, request.attempts.len());
        request.send_deadline = request.send_deadline.min(context.now + send_within);
        let due = deadline.min(request.send_deadline);
        let timer = context.deadlines.schedule(due, Timer::Attempt(shard_request, number));
        request.attempts.push(Attempt {
            replica,
            started_at,
            deadline,
            timer,
            connection: None,
            written: false,
            ended: false,
        });
        context.metrics.attempts += 1;
        Some(AttemptId { shard_request, number })
    }

    /// Schedules a new timer for an attempt whose timer fell due: a written attempt may run until its own deadline,
    /// which is later than the deadline for sending. Returns false if it has timed out.
    pub fn extend_timeout(&mut self, id: AttemptId, context: &mut Context) -> bool {
        let waits = |attempt: &&mut Attempt| attempt.written && context.now < attempt.deadline;
        let Some(attempt) = self.attempt(id).filter(waits) else { return false };
        attempt.timer =
            context.deadlines.schedule(attempt.deadline, Timer::Attempt(id.shard_request, id.number));
        true
    }

    /// Returns whether a shard request may still be sent.
    pub fn may_send(&self, shard_request: ShardRequestIndex, now: Nanos) -> bool {
        self.shard_request(shard_request).is_some_and(|request| now <= request.send_deadline)
    }

    /// Ends an attempt, unless it has already ended. Every attempt ends here.
    pub fn end_attempt(&mut self, id: AttemptId, outcome: AttemptOutcome, context: &mut Context) {
        let Some(attempt) = self.attempt(id) else { return };
        attempt.ended = true;
        let (timer, duration) = (attempt.timer, context.now - attempt.started_at);
        context.deadlines.cancel(timer);
        context.metrics.attempt_ended(outcome);
        self.ended.push(EndedAttempt { id, outcome, duration });
    }

    /// Stores the value of a shard, if its query is still pending and has no value for that shard.
    pub fn store_value(&mut self, shard_request: ShardRequestIndex, value: &str) {
        let Some(request) = self.shard_requests.get_mut(shard_request.0) else { return };
        let query = self.queries.get(request.query.0);
        if request.value.is_none() && query.is_some_and(|query| query.pending) {
            request.value = Some(value.into());
            self.pending -= 1;
        }
    }

    /// Closes a query. Returns false if it was already closed. Every query is closed here.
    pub fn close(&mut self, ix: QueryIndex) -> bool {
        let Some(query) = self.queries.get_mut(ix.0).filter(|query| query.pending) else { return false };
        query.pending = false;
        self.by_id.remove(&query.id);
        let waits = |ix: &&ShardRequestIndex| {
            self.shard_requests.get(ix.0).is_some_and(|request| request.value.is_none())
        };
        self.pending -= 1 + query.shard_requests.iter().filter(waits).count();
        true
    }
    /// Returns the attempts of a query that are not written yet.
    /// Attempts of a query that wait for a connection.
    pub fn unwritten_attempts(&self, ix: QueryIndex) -> Vec<AttemptId> {
        let mut unwritten = Vec::new();
        for &shard_request in self.query(ix).into_iter().flat_map(|query| &query.shard_requests) {
            let attempts =
                self.shard_request(shard_request).into_iter().flat_map(|request| &request.attempts);
            for (number, attempt) in attempts.enumerate() {
                if !attempt.ended && !attempt.written {
                    unwritten.push(AttemptId { shard_request, number });
                }
            }
        }
        unwritten
    }

    /// Drops the queries and shard requests that the aggregator has forgotten.
    pub fn forget(&mut self, aggregator_state: &AggregatorState) {
        self.queries.drop_before(aggregator_state.first_query().0);
        self.shard_requests.drop_before(aggregator_state.first_shard_request().0);
    }
}

impl Default for QueryTable {
    fn default() -> Self {
        QueryTable::new()
    }
}
