//! Invariants for single requests: MIXED, TWICE, REFUSED, and LOST while a gateway stops.

use std::collections::HashMap;

use super::context::{CheckContext, ExpectedRequest, RequestPurpose};
use super::invariant::Invariant;
use super::server_log::ServerLog;
use crate::clients::NOT_EXECUTED_STATUSES;
use crate::credentials::Credentials;
use crate::observation::Observation;

/// Time after the graceful shutdown that still counts as planned work, in milliseconds.
const SLACK_AFTER_GRACE_MS: u64 = 1_000;

#[derive(Debug)]
struct RequestRecord {
    gateway: String,
    host: String,
    method: String,
    target: String,
    body: u64,
    idempotent: bool,
    credentials: Credentials,
    sent_at: u64,
    rejected: bool,
}

/// Requests of clients by id.
#[derive(Debug, Default)]
pub(super) struct Requests {
    sent: HashMap<String, RequestRecord>,
    /// Times at which gateways were ordered to stop, by address.
    stopping_since: HashMap<String, u64>,
}

impl Requests {
    /// Returns a request as its client sent it.
    pub fn expected(&self, id: &str) -> Option<ExpectedRequest<'_>> {
        self.sent.get(id).map(|request| ExpectedRequest {
            method: &request.method,
            host: &request.host,
            target: &request.target,
            body: request.body,
            purpose: RequestPurpose::Client,
            credentials: &request.credentials,
            since: request.sent_at,
        })
    }

    pub fn observe(&mut self, context: &mut CheckContext, server_log: &ServerLog, observation: &Observation) {
        match observation {
            Observation::RequestSent { id, gateway, host, method, target, body, idempotent, credentials } => {
                let request = RequestRecord {
                    gateway: gateway.clone(),
                    host: host.clone(),
                    method: method.clone(),
                    target: target.clone(),
                    body: *body,
                    idempotent: *idempotent,
                    credentials: credentials.clone(),
                    sent_at: context.now,
                    rejected: false,
                };
                self.sent.insert(id.clone(), request);
            }
            Observation::ExecutionStarted { id, .. } => self.check_execution(context, server_log, id),
            Observation::ResponseReceived { id, status, signature, echoed_id, body } => {
                if echoed_id.as_ref().is_some_and(|echoed| echoed != id) {
                    let detail = format!("got the response of request {echoed_id:?}");
                    context.violate(Invariant::Mixed, id, detail);
                }
                match status {
                    200..=299 => check_success(context, server_log, id, signature.as_deref(), *body),
                    status if NOT_EXECUTED_STATUSES.contains(status) => {
                        self.check_rejection(context, server_log, id, *status);
                    }
                    _ => {}
                }
            }
            Observation::GatewayStopping { gateway } => {
                self.stopping_since.insert(gateway.clone(), context.now);
            }
            Observation::RequestFailed { id, connection_lost: true } => {
                self.check_connection_loss(context, server_log, id);
            }
            Observation::MalformedResponseReceived { id } => {
                let detail = "got bytes that are no response, or more than its response";
                context.violate(Invariant::Mixed, id, detail);
            }
            _ => {}
        }
    }

    /// Checks that a stopping gateway completes the responses to all requests that it has read.
    fn check_connection_loss(&self, context: &mut CheckContext, server_log: &ServerLog, id: &str) {
        let Some(request) = self.sent.get(id) else { return };
        let Some(&stopped) = self.stopping_since.get(&request.gateway) else { return };
        let stop_until = stopped + context.bounds.grace_ms + SLACK_AFTER_GRACE_MS;
        let is_stopping = (stopped..=stop_until).contains(&context.now);
        let was_read = !server_log.executions(id).is_empty()
            || context.now > request.sent_at + context.bounds.loss_slack_ms;
        if is_stopping && was_read && context.is_at_most_planned_since(request.sent_at) {
            let detail = format!("its connection was lost by {}, which was stopping", request.gateway);
            context.violate(Invariant::Lost, id, detail);
        }
    }

    fn check_execution(&mut self, context: &mut CheckContext, server_log: &ServerLog, id: &str) {
        let Some(request) = self.sent.get(id).filter(|request| !request.idempotent) else { return };
        if server_log.executions(id).len() > 1 {
            let detail = "a request that isn't idempotent is executed again";
            context.violate(Invariant::Twice, id, detail);
        }
        if request.rejected {
            context.violate(Invariant::Refused, id, "is executed after its refusal");
        }
    }

    fn check_rejection(&mut self, context: &mut CheckContext, server_log: &ServerLog, id: &str, status: u16) {
        let Some(request) = self.sent.get_mut(id).filter(|request| !request.idempotent) else { return };
        request.rejected = true;
        if !server_log.executions(id).is_empty() {
            let detail = format!("got {status} though it has been executed");
            context.violate(Invariant::Refused, id, detail);
        }
    }
}

/// Checks that a successful response has the signature and the body of a successful response of a server.
fn check_success(
    context: &mut CheckContext,
    server_log: &ServerLog,
    id: &str,
    signature: Option<&str>,
    body: u64,
) {
    let Some(signature) = signature else {
        let detail = "got a success without the signature of a server";
        return context.violate(Invariant::Mixed, id, detail);
    };
    let responses = server_log.executions(id).iter().filter_map(|execution| execution.response.as_ref());
    let Some(response) = responses.into_iter().find(|response| response.signature == signature) else {
        let detail = "got a success with a signature that no server gave to it";
        return context.violate(Invariant::Mixed, id, detail);
    };
    if !response.is_success() {
        let detail = format!("got a success where the server had responded with {}", response.status);
        context.violate(Invariant::Mixed, id, detail);
    } else if response.body != body {
        context.violate(Invariant::Mixed, id, "got a body other than the server's");
    }
}
