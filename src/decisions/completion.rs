//! Completion: when a query gets its final response (complete or partial), is rejected, or expires.

use super::Aggregator;
use crate::interface::{ActionSink, Idempotence, QueryIndex};
use crate::state::{AttemptOutcome, Query};
use crate::trace::{QueryEndReason, TraceEvent};

/// Tolerance for rounding: the weights of a step sum to 1 within this.
pub(super) const ROUNDING: f64 = 1e-6;

/// How a query ends in this round.
enum Ending {
    Answered { complete: bool },
    Unanswered(QueryEndReason),
}

/// Completeness of a query's current step, as fractions of its weight.
struct Completeness {
    /// Fraction that is answered.
    in_hand: f64,
    /// Fraction that is answered or may still be.
    within_reach: f64,
}

impl Aggregator {
    /// Ends the queries that are complete, lost, or out of time.
    pub(super) fn finish_queries(&mut self, sink: &mut dyn ActionSink) {
        let open: Vec<QueryIndex> = self.state.open_queries().map(|(ix, _)| ix).collect();
        for ix in open {
            match self.ending(self.state.query(ix)) {
                Some(Ending::Answered { complete }) => self.answer(ix, complete, sink),
                Some(Ending::Unanswered(reason)) => self.end(ix, reason, sink),
                None => {}
            }
        }
    }

    fn ending(&self, query: &Query) -> Option<Ending> {
        let class = &self.settings.classes[query.class];
        // A client may require a higher completeness than its service class. It never lowers that of the class.
        let least = class.min_completeness.max(query.min_completeness);
        let enough = class.full_completeness.max(query.min_completeness);
        let enough = if query.step > 0 { 1.0 } else { enough };
        let Completeness { in_hand, within_reach } = self.completeness(query);
        let may_be_partial = least < class.full_completeness && in_hand >= least;
        let partial_value = class.partial_value * in_hand / class.full_completeness;
        let target_is_over = self.now() >= self.latency_target_end(query) - self.margin();
        let usefulness_is_over = self.now() >= self.useful_until(query);
        if in_hand >= enough {
            Some(Ending::Answered { complete: true })
        } else if may_be_partial
            && (usefulness_is_over
                || target_is_over && partial_value > class.late_value
                || within_reach < enough)
        {
            Some(Ending::Answered { complete: false })
        } else if usefulness_is_over {
            Some(Ending::Unanswered(QueryEndReason::DeadlinePassed))
        } else if within_reach < least.min(enough) {
            Some(Ending::Unanswered(QueryEndReason::ShardsLost))
        } else if self.is_too_late_to_admit(query) {
            Some(Ending::Unanswered(QueryEndReason::NeverAdmitted))
        } else if self.breaks_replicas(query) {
            Some(Ending::Unanswered(QueryEndReason::BreaksReplicas))
        } else {
            None
        }
    }

    /// Returns the completeness of the query's current step.
    fn completeness(&self, query: &Query) -> Completeness {
        let (mut in_hand, mut lost) = (0.0, 0.0);
        for (_, request) in self.state.requests_of(query).filter(|(_, r)| r.step == query.step) {
            if request.answered {
                in_hand += request.weight;
            } else if self.is_lost(request) {
                lost += request.weight;
            }
        }
        Completeness { in_hand: in_hand + ROUNDING, within_reach: 1.0 - lost + ROUNDING }
    }

    fn answer(&mut self, ix: QueryIndex, complete: bool, sink: &mut dyn ActionSink) {
        self.state.record(|| TraceEvent::QueryAnswered { query: ix, complete });
        let query = self.state.query(ix);
        if self.settings.classes[query.class].second_step_requests > 0 && query.step == 0 {
            self.state.advance_step(ix);
        } else {
            self.state.close_query(ix);
        }
        sink.answer(ix, complete);
    }

    /// Ends the query without a response. A rejection promises that a retry is harmless; if a shard request that is not
    /// idempotent may have been executed, the query expires instead.
    fn end(&mut self, ix: QueryIndex, reason: QueryEndReason, sink: &mut dyn ActionSink) {
        let rejected = self.may_run_again(self.state.query(ix));
        self.state.record(|| TraceEvent::QueryEnded { query: ix, reason, rejected });
        self.state.close_query(ix);
        if rejected { sink.reject(ix, self.settings.max_retry_after) } else { sink.expire(ix) }
    }

    fn may_run_again(&self, query: &Query) -> bool {
        let mut attempts = self.state.requests_of(query).flat_map(|(_, request)| &request.attempts);
        self.settings.classes[query.class].idempotence == Idempotence::Idempotent
            || attempts.all(|attempt| attempt.outcome.is_some_and(AttemptOutcome::never_ran))
    }
}
