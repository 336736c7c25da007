//! Attempts on connections: groups them into calls, writes the calls, and ends attempts that are cancelled or expire.

use orchidvalve::interface::{QueryIndex, ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::AttemptOutcome;

use super::StoreConnections;
use super::connection::{Call, Connection, SentAttempt};
use crate::context::Context;
use crate::event_loop::ConnectionKey;
use crate::log;
use crate::queries::{AttemptId, QueryTable};
use crate::store_protocol::CallRequest;

impl StoreConnections {
    /// Queues an attempt that the aggregator started. It is sent at the end of the round.
    pub fn queue_attempt(&mut self, id: AttemptId, replica_ix: ReplicaIndex) {
        let replica = &mut self.replicas[replica_ix.0];
        if replica.queued.is_empty() {
            self.with_queued.push(replica_ix);
        }
        replica.queued.push(id);
    }

    /// Sends the attempts of the round. Attempts for the same replica are batched into calls.
    pub fn send_queued(&mut self, queries: &mut QueryTable, context: &mut Context) {
        for replica in std::mem::take(&mut self.with_queued) {
            let mut attempts = std::mem::take(&mut self.replicas[replica.0].queued);
            attempts.retain(|&id| queries.attempt(id).is_some());
            if self.replicas[replica.0].pool.is_some() {
                for id in attempts {
                    self.place(replica, id, queries, context);
                }
                continue;
            }
            for call in attempts.chunks(self.connection_limits(replica).requests_per_call) {
                let Some(key) = self.choose_connection(replica, call.len(), context) else {
                    call.iter()
                        .for_each(|&id| queries.end_attempt(id, AttemptOutcome::ConnectFailed, context));
                    continue;
                };
                self.assign(key, call.to_vec(), queries, context);
            }
        }
        for replica in std::mem::take(&mut self.pools_to_check) {
            self.open_needed_connections(replica, context);
        }
        for id in std::mem::take(&mut self.unreached) {
            self.cancel_pool_wait(id, context);
            queries.end_attempt(id, AttemptOutcome::ConnectFailed, context);
        }
    }

    /// Assigns a call to a connection and writes it as soon as possible.
    pub(super) fn assign(
        &mut self,
        key: ConnectionKey,
        call: Call,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        for &id in &call {
            if let Some(attempt) = queries.attempt(id) {
                attempt.connection = Some(key);
            }
        }
        self.connections[key].pending.push_back(call);
        self.cancel_idle_timer(key, context);
        self.write_pending(key, queries, context);
    }

    /// Chooses a connection with free capacity, or opens one: connections and handshakes have a cost.
    fn choose_connection(
        &mut self,
        replica: ReplicaIndex,
        requests: usize,
        context: &mut Context,
    ) -> Option<ConnectionKey> {
        let capacity = self.connection_limits(replica).requests_per_connection;
        let has_capacity = |&key: &ConnectionKey| {
            let load = self.connections[key].load();
            load == 0 || load + requests <= capacity
        };
        let connections = self.replicas[replica.0].connections.iter().copied();
        let usable = connections.filter(|&key| self.is_usable(key)).filter(has_capacity);
        // A connection with an unanswered health check ranks lower, as it may be unresponsive.
        let rank = |connection: &Connection| {
            (connection.up_since.is_none(), connection.in_flight.health_check.is_some(), connection.load())
        };
        let best = usable.min_by_key(|&key| rank(&self.connections[key]));
        best.or_else(|| self.open(replica, context))
    }

    /// Writes the pending calls one at a time, so that a call that has not been started can still be dropped.
    pub(super) fn write_pending(
        &mut self,
        key: ConnectionKey,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let before = connection.stream.bytes_written;
        let mut flushed = if connection.up_since.is_some() { connection.stream.flush() } else { return };
        while flushed.is_ok() && connection.stream.is_flushed() {
            let Some(mut call) = connection.pending.pop_front() else { break };
            call.retain(|&id| {
                let may_send = queries.may_send(id.shard_request, context.now);
                if !may_send {
                    queries.end_attempt(id, AttemptOutcome::NotSent, context);
                }
                may_send
            });
            if call.is_empty() {
                continue;
            }
            if write_call(connection, &call, queries, context) {
                flushed = connection.stream.flush();
            }
        }
        context.metrics.bytes_out += connection.stream.bytes_written - before;
        if let Err(error) = flushed {
            self.connection_broken(key, &error, queries, context);
        }
    }

    /// Cancels an attempt for the aggregator: its replica is notified if it was written, otherwise it is never sent.
    pub fn cancel(&mut self, id: AttemptId, queries: &mut QueryTable, context: &mut Context) {
        self.end_attempt(id, AttemptOutcome::Cancelled, AttemptOutcome::NotSent, queries, context);
    }

    /// Handles the timer of an attempt: the response is overdue, or the time in which it may be sent is over.
    pub fn attempt_due(
        &mut self,
        shard_request: ShardRequestIndex,
        number: usize,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let id = AttemptId { shard_request, number };
        if queries.extend_timeout(id, context) {
            return;
        }
        let timed_out = queries.attempt(id).is_none_or(|attempt| context.now >= attempt.deadline);
        let if_unwritten = if timed_out { AttemptOutcome::ConnectFailed } else { AttemptOutcome::NotSent };
        self.end_attempt(id, AttemptOutcome::TimedOut, if_unwritten, queries, context);
    }

    /// Cancels the unwritten attempts of a query that has ended.
    pub fn abandon(&mut self, query: QueryIndex, queries: &mut QueryTable, context: &mut Context) {
        for id in queries.unwritten_attempts(query) {
            self.cancel(id, queries, context);
        }
    }

    /// Ends an attempt with the outcome for a written or for an unwritten one.
    fn end_attempt(
        &mut self,
        id: AttemptId,
        if_written: AttemptOutcome,
        if_unwritten: AttemptOutcome,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let Some(attempt) = queries.attempt(id) else { return };
        let (key, replica, written) = (attempt.connection, attempt.replica, attempt.written);
        queries.end_attempt(id, if written { if_written } else { if_unwritten }, context);
        if written || key.is_none_or(|key| !self.connections.contains_key(key)) {
            self.cancel_pooled(replica, id, context);
        }
        let Some(key) = key else { return };
        let Some(connection) = self.connections.get_mut(key) else { return };
        if written {
            connection.in_flight.attempts.retain(|sent| sent.id != id);
            if let Some((request, query)) = queries.shard_request_and_query(id.shard_request) {
                connection.protocol.write_cancel(connection.stream.outbox(), &query.id, request.shard);
                connection.in_flight.remember_ended(&query.id, request.shard);
            }
        } else {
            connection.pending.iter_mut().for_each(|call| call.retain(|&other| other != id));
            connection.pending.retain(|call| !call.is_empty());
        }
        self.write_pending(key, queries, context);
        self.release(key, queries, context);
        self.idle_or_close(key, context);
    }
}

/// Writes a call to a connection's outbox. Returns false and ends the attempts if the protocol cannot express the call.
fn write_call(
    connection: &mut Connection,
    call: &[AttemptId],
    queries: &mut QueryTable,
    context: &mut Context,
) -> bool {
    let mut timeouts = Vec::with_capacity(call.len());
    for &id in call {
        let Some(attempt) = queries.attempt(id) else { continue };
        attempt.written = true;
        timeouts.push((id.shard_request, ((attempt.deadline - context.now) / 1_000_000).max(1)));
    }
    let requests = timeouts.iter().filter_map(|&(shard_request, timeout_ms)| {
        let (request, query) = queries.shard_request_and_query(shard_request)?;
        Some(CallRequest {
            query_id: &query.id,
            shard: request.shard,
            timeout_ms,
            idempotency_key: query.idempotency_key.as_deref(),
            payload: &query.payload,
        })
    });
    let requests: Vec<CallRequest> = requests.collect();
    if !connection.protocol.write_call(connection.stream.outbox(), &requests) {
        log!("the protocol of {} cannot express a shard request: not sent", connection.address.address);
        call.iter().for_each(|&id| queries.end_attempt(id, AttemptOutcome::ConnectFailed, context));
        return false;
    }
    let ends_at = connection.stream.queued_until();
    connection.in_flight.attempts.extend(call.iter().map(|&id| SentAttempt { id, ends_at }));
    context.metrics.calls += 1;
    context.metrics.attempts_written += call.len() as u64;
    true
}
