//! Carries out the aggregator's decisions of a round.

use std::cell::RefCell;

use orchidvalve::interface::{ActionSink, Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};

use super::NodeState;
use crate::event_loop::Timer;
use crate::metrics::Metrics;
use crate::queries::{AttemptId, AttemptLimits, FinalAnswer, QueryTable};
use crate::reply::Outcome;

/// Applies each decision of the aggregator to the state of the node.
pub(super) struct DecisionWriter<'a>(pub &'a RefCell<NodeState>);

impl ActionSink for DecisionWriter<'_> {
    fn start_attempt(
        &mut self,
        shard_request: ShardRequestIndex,
        replica: ReplicaIndex,
        timeout: Nanos,
        send_within: Nanos,
    ) {
        let NodeState { queries, connections, context, fleet, .. } = &mut *self.0.borrow_mut();
        let limits = AttemptLimits { timeout, send_within };
        let mut is_retry = false;
        if let Some(id) = queries.start_attempt(shard_request, replica, limits, context) {
            connections.queue_attempt(id, replica);
            is_retry = id.number > 0;
        }
        if let Some(fleet) = fleet {
            fleet.attempt_started(replica, is_retry);
        }
    }

    fn cancel_attempt(&mut self, shard_request: ShardRequestIndex, number: usize) {
        let NodeState { queries, connections, context, .. } = &mut *self.0.borrow_mut();
        connections.cancel(AttemptId { shard_request, number }, queries, context);
    }

    fn answer(&mut self, query: QueryIndex, complete: bool) {
        let count = |metrics: &mut Metrics| match complete {
            true => metrics.answers_complete += 1,
            false => metrics.answers_partial += 1,
        };
        self.0.borrow_mut().end_query(query, count, |queries, now| queries.answer(query, complete, now));
    }

    fn reject(&mut self, query: QueryIndex, retry_after: Nanos) {
        let outcome = Outcome::Rejected(retry_after);
        let answer = |queries: &QueryTable, now| queries.answer_without_values(query, outcome, now);
        self.0.borrow_mut().end_query(query, |metrics| metrics.rejected += 1, answer);
    }

    fn expire(&mut self, query: QueryIndex) {
        let answer = |queries: &QueryTable, now| queries.answer_without_values(query, Outcome::Expired, now);
        self.0.borrow_mut().end_query(query, |metrics| metrics.expired += 1, answer);
    }

    fn check_health(&mut self, replica: ReplicaIndex) {
        let NodeState { queries, connections, context, .. } = &mut *self.0.borrow_mut();
        connections.check_health(replica, queries, context);
    }

    fn wake_at(&mut self, at: Nanos) {
        let NodeState { context, wake_timer, .. } = &mut *self.0.borrow_mut();
        if let Some(timer) = wake_timer.take() {
            context.deadlines.cancel(timer);
        }
        *wake_timer = Some(context.deadlines.schedule(at, Timer::Wake));
    }

    fn request_membership(&mut self) {
        self.0.borrow_mut().discovery_requested = true;
    }
}

impl NodeState {
    /// Ends a query: sends its final response and cancels its unsent attempts. Does nothing if it has already ended.
    fn end_query(
        &mut self,
        query: QueryIndex,
        count: impl FnOnce(&mut Metrics),
        answer: impl FnOnce(&QueryTable, Nanos) -> Option<FinalAnswer>,
    ) {
        if self.queries.close(query) {
            count(&mut self.context.metrics);
            if let Some(answer) = answer(&self.queries, self.context.now) {
                self.clients.query_answered(answer, &mut self.context);
            }
            self.connections.abandon(query, &mut self.queries, &mut self.context);
        }
    }
}
