//! The end of a request: a server's response, the end of a stream, or a local response of the gateway.

use orchidvalve_http::ResponseHead;

use super::Requests;
use super::messages::{RequestAttemptId, RequestCommand, RequestId, Response};
use super::pending::{Attempt, ServerResponse};
use crate::attempts::NotExecuted;
use crate::balancer::{Balancer, Success};
use crate::response_class::{is_failure, is_signed, is_success, promises_no_execution};
use crate::upstream::{Failure, keep_alive_ms};

impl Requests {
    /// Handles an attempt whose response is complete by its framing.
    ///
    /// A success without the server's signature, and a stream that ends within an event, count as broken responses. A
    /// rejected request is retried, and so is an idempotent one after a failure status.
    pub fn attempt_completed(
        &mut self,
        now: u64,
        attempt: RequestAttemptId,
        balancer: &mut Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some((id, pending)) = self.find(attempt) else { return };
        let forwarded = pending.stream.as_ref().filter(|stream| stream.attempt == attempt);
        let head = pending.attempt(attempt).and_then(|attempt| attempt.head.as_ref());
        let unsigned = head.is_some_and(|head| is_success(head) && !is_signed(head));
        if unsigned || forwarded.is_some_and(|stream| !stream.ends_between_events()) {
            return self.attempt_failed(now, attempt, Failure::Broken, balancer, out);
        }
        let is_forwarded = forwarded.is_some();
        let proof = head.and_then(NotExecuted::from_response);
        let is_rejected = proof.is_some();
        let Some(mut ended) = pending.end_attempt(attempt, proof) else { return };
        self.attempts.remove(&attempt);
        let Some(head) = ended.head.take() else { return };
        if let Some(load) = head.headers.get("instance-load") {
            balancer.record_load(ended.server, load);
        }
        if is_rejected {
            balancer.failed(ended.server, now);
            return self.retry_rejected(now, id, balancer, out);
        }
        match head.status {
            500.. => balancer.returned_error(ended.server, now),
            _ => balancer.succeeded(
                ended.server,
                Success {
                    at: now,
                    latency_ms: now.saturating_sub(ended.started_at),
                    keep_alive_ms: keep_alive_ms(&head),
                },
            ),
        }
        if is_forwarded {
            self.end_stream(id, out);
        } else {
            self.responded(now, id, head, ended, balancer, out);
        }
    }

    /// Handles an attempt whose response has no framing and whose connection was closed in order.
    ///
    /// The server of a resumable stream may have died at this point, so the stream is resumed after its last event;
    /// it is complete once an attempt adds no events. Any other response is complete.
    pub fn attempt_closed(
        &mut self,
        now: u64,
        attempt: RequestAttemptId,
        balancer: &mut Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        if self.find(attempt).is_some_and(|(_, pending)| pending.may_be_unfinished(attempt)) {
            self.attempt_failed(now, attempt, Failure::Unfinished, balancer, out);
        } else {
            self.attempt_completed(now, attempt, balancer, out);
        }
    }

    fn end_stream(&mut self, id: RequestId, out: &mut Vec<RequestCommand>) {
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let stream = pending.stream.take();
        self.cancel_attempts(pending, out);
        if let Some(mut stream) = stream {
            stream.end(out);
        }
    }

    /// Handles a complete, unstreamed response of a server that ran the request.
    fn responded(
        &mut self,
        now: u64,
        id: RequestId,
        head: ResponseHead,
        ended: Attempt,
        balancer: &Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let promises = promises_no_execution(head.status);
        if pending.is_idempotent() && is_failure(head.status) {
            // A status that promises that nothing ran is not forwarded if the server did not state so (`Not-Executed`).
            if !promises {
                pending.last_failure = Some(ServerResponse { head, body: ended.body });
            }
            if pending.attempts_in_flight() == 0 {
                self.attempt_next(now, id, balancer, out);
            }
        } else if pending.response_started() || promises {
            // A started stream cannot continue with this response either.
            self.fail(id, out);
        } else {
            self.finish(now, id, head, ended, out);
        }
    }

    fn finish(
        &mut self,
        now: u64,
        id: RequestId,
        head: ResponseHead,
        ended: Attempt,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some(pending) = self.pending.remove(&id) else { return };
        if let Some(latencies) = self.latencies.get_mut(pending.service()).filter(|_| is_signed(&head)) {
            latencies.record(now.saturating_sub(ended.started_at));
        }
        self.cancel_attempts(pending, out);
        let response = Response::Server { head, body: ended.body };
        out.push(RequestCommand::Respond { request: id, response });
    }

    /// Ends the request because no server can respond; the status is 502 if the request may have run.
    pub(super) fn fail(&mut self, id: RequestId, out: &mut Vec<RequestCommand>) {
        self.end(id, 502, out);
    }

    /// Ends a request without a successful response. `indeterminate` is the status sent if the request may have run and
    /// no failure response can be forwarded.
    pub(super) fn end(&mut self, id: RequestId, indeterminate: u16, out: &mut Vec<RequestCommand>) {
        let Some(mut pending) = self.pending.remove(&id) else { return };
        let (never_executed, response_started) = (pending.never_executed(), pending.response_started());
        let failure = pending.last_failure.take();
        self.cancel_attempts(pending, out);
        if response_started {
            out.push(RequestCommand::AbortStream { request: id });
            return;
        }
        let response = match (failure, never_executed) {
            (Some(ServerResponse { head, body }), _) => Response::Server { head, body },
            (None, Some(never_executed)) => Response::NeverExecuted(never_executed),
            (None, None) => Response::OutcomeUnknown { status: indeterminate },
        };
        out.push(RequestCommand::Respond { request: id, response });
    }
}
