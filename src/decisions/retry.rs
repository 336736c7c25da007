//! Further attempts: whether they are allowed, and those that start while another attempt is in flight at an ejected
//! replica.

use super::Aggregator;
use crate::interface::{Idempotence, Nanos, ReplicaIndex};
use crate::state::{Attempt, AttemptOutcome, ShardRequest};

impl Aggregator {
    /// Returns the time until which the service class allows another attempt: without limit if no earlier attempt may
    /// have been executed.
    pub(super) fn may_be_sent_until(&self, request: &ShardRequest) -> Nanos {
        let may_have_run = |attempt: &&Attempt| !attempt.outcome.is_some_and(AttemptOutcome::never_ran);
        let first = request.attempts.iter().find(may_have_run).map(|attempt| attempt.sent_at);
        let class = &self.settings.classes[self.state.query(request.query).class];
        match (class.idempotence, first) {
            (_, None) | (Idempotence::Idempotent, _) => Nanos::MAX,
            (Idempotence::Deduplicated(window), Some(sent_at)) => sent_at + window - self.settings.tick,
            (Idempotence::NotIdempotent, Some(_)) => Nanos::MIN,
        }
    }

    /// Whether the limit of attempts and the service class allow another attempt.
    pub(super) fn may_retry(&self, request: &ShardRequest) -> bool {
        self.now() < self.may_be_sent_until(request) && request.attempts.len() < self.settings.max_attempts
    }

    /// Whether the shard request will never be answered: it is closed, or no attempt is in flight and none may follow.
    pub(super) fn is_lost(&self, request: &ShardRequest) -> bool {
        let attempted = !request.attempts.is_empty() && !request.is_in_flight();
        request.closed || attempted && !self.may_retry(request)
    }

    /// Whether one more further attempt is within this front node's own retry budget and, where front nodes share one,
    /// within what the fleet leaves it. With separate budgets, hundreds of front nodes would retry at a failing server
    /// hundreds of times as often as one does.
    pub(super) fn within_retry_budget(&self) -> bool {
        let fleet_allows = self.state.fleet_attempts_left != Some(0);
        fleet_allows
            && self.settings.retry_budget.is_none_or(|budget| {
                let since = self.now() - budget.window;
                let further_attempts = self.state.recent.further_attempts.count_after(since) + 1;
                let received = self.state.recent.received.count_after(since);
                further_attempts as f64 <= budget.reserve + budget.ratio * received as f64
            })
    }

    /// Whether the shard request may get a further attempt while its only one is in flight: that one is at an ejected
    /// replica, for longer than usual. Unlike hedges, this has no hedge budget. A replica that is only slow still
    /// answers, so its new requests get no second attempt: that would double the load that made it slow.
    pub(super) fn is_stuck_at_ejected(&self, request: &ShardRequest) -> bool {
        request.in_flight().count() == 1
            && request.in_flight().all(|(_, attempt)| self.is_overdue_at_ejected(attempt))
            && self.settings.may_hedge
    }

    /// Whether the attempt is at an ejected replica and has been in flight for longer than usual.
    fn is_overdue_at_ejected(&self, attempt: &Attempt) -> bool {
        self.health[attempt.replica.0].is_ejected()
            && self.now() - attempt.sent_at >= self.latency.longest.unwrap_or(0)
    }

    /// Whether the older of two attempts should be cancelled to make way for a third one. That is so if both are at
    /// ejected replicas that answer nothing (as when several machines become unresponsive together), and a healthy
    /// replica can respond in time. A replica that is only slow will answer soon.
    pub(super) fn should_replace_oldest(&self, request: &ShardRequest) -> bool {
        let longest = self.latency.longest.unwrap_or(0);
        let time_left = self.latency_target_end(self.state.query(request.query)) - self.now() - longest;
        let is_unresponsive = |attempt: &Attempt| {
            !attempt.cancelled && self.state.replicas[attempt.replica.0].last_answer_at < attempt.sent_at
        };
        let can_respond_in_time =
            |ix: ReplicaIndex| self.is_healthy(ix) && !request.has_tried(ix) && self.backlog(ix) <= time_left;
        request.in_flight().count() == 2
            && request
                .in_flight()
                .all(|(_, attempt)| is_unresponsive(attempt) && self.is_overdue_at_ejected(attempt))
            && self.may_retry(request)
            && self.replicas_of(request.shard).any(can_respond_in_time)
    }
}
