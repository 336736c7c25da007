//! Connections that carry one shard request at a time: carries out the decisions of their pools.

use orchidvalve::interface::{ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::AttemptOutcome;

use super::StoreConnections;
use crate::connection_pool::{Cancellation, Capacity, Placement};
use crate::context::Context;
use crate::event_loop::{ConnectionKey, Timer};
use crate::queries::{AttemptId, QueryTable};

impl StoreConnections {
    /// Returns the connection capacity for the pool of one replica.
    pub(super) fn capacity(&self, replica: ReplicaIndex) -> Capacity {
        let mut capacity = Capacity {
            max_connections: self.max_connections,
            open: self.connections.len(),
            serving_replicas: self.replicas.iter().filter(|replica| replica.serving).count(),
            reserved: 0,
        };
        let others = self.replicas.iter().enumerate();
        let others = others.filter(|(ix, other)| *ix != replica.0 && other.serving);
        let pools = others.filter_map(|(_, other)| other.pool.as_ref());
        capacity.reserved = pools.map(|pool| pool.reserved(capacity)).sum();
        capacity
    }

    /// Assigns an attempt to a free connection or queues it.
    pub(super) fn place(
        &mut self,
        replica: ReplicaIndex,
        id: AttemptId,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let Some(pool) = &mut self.replicas[replica.0].pool else { return };
        match pool.place(id) {
            Placement::On(key) => self.assign_pooled(key, id, queries, context),
            Placement::Queued => {
                let at = context.now + pool.settings().queue_timeout;
                let timer = context.deadlines.schedule(at, Timer::PoolWait(id.shard_request, id.number));
                self.pool_waits.insert(id, timer);
                self.pools_to_check.push(replica);
            }
            Placement::QueueFull => {
                context.metrics.pool_rejections += 1;
                queries.end_attempt(id, AttemptOutcome::Rejected, context);
            }
        }
    }

    /// Cancels the timer of an attempt that waits for a connection.
    pub(super) fn cancel_pool_wait(&mut self, id: AttemptId, context: &mut Context) {
        if let Some(timer) = self.pool_waits.remove(&id) {
            context.deadlines.cancel(timer);
        }
    }

    fn assign_pooled(
        &mut self,
        key: ConnectionKey,
        id: AttemptId,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        self.cancel_pool_wait(id, context);
        self.assign(key, vec![id], queries, context);
    }

    /// Opens the connections that a pool needs and may open.
    pub(super) fn open_needed_connections(&mut self, replica: ReplicaIndex, context: &mut Context) {
        loop {
            let capacity = self.capacity(replica);
            let Some(pool) = &mut self.replicas[replica.0].pool else { return };
            self.unreached.extend(pool.take_stranded(capacity));
            if !pool.needs_connection(capacity) {
                return;
            }
            let Some(key) = self.open(replica, context) else {
                // No connection could be opened; queued attempts can still get an open one when it is released.
                let pool = self.replicas[replica.0].pool.as_mut();
                if let Some(pool) = pool.filter(|pool| pool.connections() == 0) {
                    self.unreached.extend(pool.take_queue());
                }
                return;
            };
            if let Some(pool) = &mut self.replicas[replica.0].pool {
                pool.opening(key, false);
            }
        }
    }

    /// Assigns the next queued shard request to a pooled connection that is no longer in use, if it may be reused.
    pub(super) fn release(&mut self, key: ConnectionKey, queries: &mut QueryTable, context: &mut Context) {
        let Some(connection) = self.connections.get(key) else { return };
        let replica = connection.in_flight.replica;
        // The response to a cancelled shard request still arrives, although it no longer counts as in flight.
        if connection.up_since.is_none() || !connection.is_unused() || !connection.protocol.is_idle() {
            return;
        }
        let is_clean = connection.protocol.keeps_alive()
            && connection.stream.inbox().is_empty()
            && connection.stream.is_flushed();
        let may_carry = is_clean && self.is_usable(key) && self.replicas[replica.0].serving;
        let pool = self.replicas[replica.0].pool.as_mut();
        let Some(pool) = pool.filter(|pool| pool.is_busy(key)) else { return };
        if !may_carry {
            self.close(key, context);
            return;
        }
        let next = pool.release(key);
        // The drain timeout no longer applies.
        self.cancel_idle_timer(key, context);
        if let Some(id) = next {
            self.assign_pooled(key, id, queries, context);
        }
    }

    /// Rejects an attempt whose time to wait for a connection is over: other replicas may have a free one.
    pub fn pool_wait_due(
        &mut self,
        shard_request: ShardRequestIndex,
        number: usize,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let id = AttemptId { shard_request, number };
        self.pool_waits.remove(&id);
        let Some(replica) = queries.attempt(id).map(|attempt| attempt.replica) else { return };
        let pool = self.replicas[replica.0].pool.as_mut();
        if pool.is_some_and(|pool| pool.dequeue(id)) {
            context.metrics.pool_timeouts += 1;
            queries.end_attempt(id, AttemptOutcome::Rejected, context);
        }
    }

    /// Releases the connection or the queue position of an attempt that is no longer needed.
    pub(super) fn cancel_pooled(&mut self, replica: ReplicaIndex, id: AttemptId, context: &mut Context) {
        self.cancel_pool_wait(id, context);
        let replica = &mut self.replicas[replica.0];
        let Some(pool) = &mut replica.pool else { return };
        let carries = |key: &&ConnectionKey| {
            self.connections[**key].in_flight.attempts.iter().any(|sent| sent.id == id)
        };
        let has_begun = |key: &ConnectionKey| !self.connections[*key].stream.inbox().is_empty();
        let answer_began = replica.connections.iter().find(carries).is_some_and(has_begun);
        match pool.cancel(context.now, id, answer_began) {
            Cancellation::Dequeued | Cancellation::Unknown => {}
            Cancellation::Close(key) => {
                context.metrics.connections_cut += 1;
                self.close(key, context);
            }
            Cancellation::Drain(key, until) => {
                context.metrics.connections_drained += 1;
                let timer = context.deadlines.schedule(until, Timer::Connection(key));
                self.connections[key].timer = Some(timer);
            }
        }
    }
}
