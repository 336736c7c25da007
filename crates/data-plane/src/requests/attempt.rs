//! Attempts of a request: the first one, retries, and hedges.

use orchidvalve_scheduler::LatencyWindow;

use super::Requests;
use super::forwarded_stream::ForwardedStream;
use super::messages::{RequestAttemptId, RequestCommand, RequestId};
use super::pending::AttemptKind;
use crate::attempts::NotExecuted;
use crate::balancer::{Balancer, ServerKey};
use crate::upstream::Failure;

/// Backoff before a request is attempted again at servers that have already rejected it, in milliseconds.
const REJECTED_BACKOFF_MS: u64 = 15;
/// A request is overdue once the latency target divided by this has passed: a hedge may then still meet the target.
const OVERDUE_DIVISOR: u64 = 2;
/// The number of hedges within [`orchidvalve_scheduler::BUDGET_WINDOW_MS`] that overdue requests may use beyond the
/// hedge budget, which is a small fraction of the requests. Without them, a gateway with few requests could never
/// hedge a request to an unresponsive server.
const RESERVED_HEDGES: u64 = 3;
/// A request may be hedged once it takes longer than this percentile of its service's latencies.
const HEDGE_PERCENTILE: usize = 90;
/// The minimum delay before a hedge, in milliseconds.
const MIN_HEDGE_DELAY_MS: u64 = 20;

impl Requests {
    /// Attempts the request at another server. Fails the request if that is impossible and no attempt is in flight.
    pub(super) fn attempt_next(
        &mut self,
        now: u64,
        id: RequestId,
        balancer: &Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.retry_at = None;
        let in_flight = pending.servers_in_flight();
        let service = pending.service();
        let random = &mut self.random;
        let untried = balancer.pick(service, &self.zone, &pending.attempted_servers, now, random);
        let server = untried.or_else(|| balancer.pick(service, &self.zone, &in_flight, now, random));
        match server.filter(|_| pending.has_attempts_left()) {
            Some(server) => self.attempt_at(now, id, server, AttemptKind::Counted, out),
            None if in_flight.is_empty() => self.fail(id, out),
            None => {}
        }
    }

    /// Attempts the request at `server`, or fails it if it isn't idempotent and may have run.
    fn attempt_at(
        &mut self,
        now: u64,
        id: RequestId,
        server: ServerKey,
        kind: AttemptKind,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let attempt = RequestAttemptId(self.last_attempt + 1);
        let Some(permit) = pending.begin_attempt(attempt, server, kind, now) else {
            return self.fail(id, out);
        };
        self.last_attempt = attempt.0;
        self.attempts.insert(attempt, id);
        out.push(RequestCommand::Attempt {
            attempt,
            request: id,
            server,
            deadline_ms: pending.deadline.saturating_sub(now).max(1),
            last_event_id: pending.stream.as_ref().and_then(ForwardedStream::resume_from),
            permit,
        });
        self.schedule_hedge(now, id);
    }

    /// Schedules the hedge of the request, if its route allows one.
    fn schedule_hedge(&mut self, now: u64, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id).filter(|pending| pending.may_be_hedged()) else {
            return;
        };
        let target_ms = pending.latency_target_ms();
        let service = pending.service();
        if !self.latencies.contains_key(service) {
            self.latencies.insert(service.to_owned(), LatencyWindow::new(target_ms, HEDGE_PERCENTILE));
        }
        let Some(latencies) = self.latencies.get_mut(service) else { return };
        // The target is that of the request's own route and configuration, not of the first request to the service.
        latencies.set_target_run_ms(target_ms);
        pending.hedge_at = Some(now + latencies.hedge_delay_ms().max(MIN_HEDGE_DELAY_MS));
    }

    /// Sends an overdue request to a second server as well, if the hedge budget allows it.
    pub(super) fn hedge(
        &mut self,
        now: u64,
        id: RequestId,
        balancer: &Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if pending.attempts_in_flight() != 1 || !pending.has_attempts_left() {
            return;
        }
        if !self.hedge_budget.allows_hedge(now) {
            let overdue_at = pending.received_at + pending.latency_target_ms() / OVERDUE_DIVISOR;
            if now < overdue_at {
                pending.hedge_at = Some(overdue_at);
                return;
            }
            if !self.hedge_budget.allows_reserved_hedge(now, RESERVED_HEDGES) {
                return;
            }
        }
        let (service, attempted) = (pending.service(), &pending.attempted_servers);
        if balancer.pick(service, &self.zone, attempted, now, &mut self.random).is_some() {
            self.hedge_budget.record_hedge(now);
            self.attempt_next(now, id, balancer, out);
        }
    }

    /// Retries a request whose last attempt did not execute: at another server, or at the same servers after a backoff.
    pub(super) fn retry_rejected(
        &mut self,
        now: u64,
        id: RequestId,
        balancer: &Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        if pending.attempts_in_flight() > 0 {
            return;
        }
        let (service, attempted) = (pending.service(), &pending.attempted_servers);
        let other = balancer.pick(service, &self.zone, attempted, now, &mut self.random);
        let any = balancer.pick(service, &self.zone, &[], now, &mut self.random);
        match (pending.has_attempts_left(), other, any) {
            (false, ..) | (true, None, None) => self.fail(id, out),
            (true, Some(_), _) => self.attempt_next(now, id, balancer, out),
            (true, None, Some(_)) => pending.retry_at = Some(now + REJECTED_BACKOFF_MS),
        }
    }

    /// Handles an attempt that ended without a complete response.
    pub fn attempt_failed(
        &mut self,
        now: u64,
        attempt: RequestAttemptId,
        failure: Failure,
        balancer: &mut Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some((id, pending)) = self.find(attempt) else { return };
        let head = pending.attempt(attempt).and_then(|attempt| attempt.head.as_ref());
        let proof = NotExecuted::from_failure(failure).or_else(|| head.and_then(NotExecuted::from_response));
        let not_executed = proof.is_some();
        let Some(ended) = pending.end_attempt(attempt, proof) else { return };
        if failure == Failure::Connect {
            pending.uncount(&ended);
        }
        // A connection that the server closed while it was idle most likely carried no request.
        if !not_executed && failure != Failure::Stale {
            pending.record_possible_start(ended.started_at);
        }
        let none_in_flight = pending.attempts_in_flight() == 0;
        let stale = failure == Failure::Stale;
        let retry_transparently =
            stale && none_in_flight && pending.is_idempotent() && !pending.transparently_retried;
        pending.transparently_retried |= retry_transparently;
        self.attempts.remove(&attempt);
        if !stale && failure != Failure::Unfinished {
            balancer.failed(ended.server, now);
        }
        if !none_in_flight {
            return;
        }
        if retry_transparently && balancer.get(ended.server).is_some_and(|server| !server.entry.draining) {
            self.attempt_at(now, id, ended.server, AttemptKind::TransparentRetry, out);
        } else if not_executed {
            self.retry_rejected(now, id, balancer, out);
        } else {
            self.attempt_next(now, id, balancer, out);
        }
    }
}
