//! The record of what servers did, by request id, and the invariant DRAIN.

use std::collections::HashMap;

use super::context::CheckContext;
use super::invariant::Invariant;
use crate::observation::Observation;

/// An event that a server emitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventRecord {
    pub event: u64,
    pub version: u64,
    /// Number of the observation in the series.
    pub sequence: u64,
}

/// A server's response to a request that it executed.
#[derive(Clone, Debug)]
pub(super) struct ResponseRecord {
    pub status: u16,
    pub signature: String,
    /// Digest of the response body.
    pub body: u64,
}

impl ResponseRecord {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// One execution of a request at a server.
#[derive(Clone, Debug)]
pub(super) struct ExecutionRecord {
    pub execution: u64,
    /// Number of the observation in the series.
    pub sequence: u64,
    /// The event after which a resumed stream continues; 0 for a stream from its beginning.
    pub after_event: u64,
    pub events: Vec<EventRecord>,
    pub response: Option<ResponseRecord>,
}

/// All executions, with the service and the draining time of each server.
#[derive(Debug, Default)]
pub(super) struct ServerLog {
    executions: HashMap<String, Vec<ExecutionRecord>>,
    service_of: HashMap<String, String>,
    /// Times at which servers were marked as draining.
    draining_since: HashMap<String, u64>,
}

impl ServerLog {
    pub fn observe(&mut self, context: &CheckContext, observation: &Observation) {
        match observation {
            Observation::ServerStarted { server, service } => {
                self.service_of.insert(server.clone(), service.clone());
            }
            Observation::ServerDraining { server } => {
                self.draining_since.insert(server.clone(), context.now);
            }
            Observation::ExecutionStarted { execution, id, after_event, .. } => {
                self.executions.entry(id.clone()).or_default().push(ExecutionRecord {
                    execution: *execution,
                    sequence: context.sequence,
                    after_event: *after_event,
                    events: Vec::new(),
                    response: None,
                });
            }
            Observation::EventEmitted { execution, id, event, version } => {
                let event = EventRecord { event: *event, version: *version, sequence: context.sequence };
                if let Some(record) = self.execution_mut(id, *execution) {
                    record.events.push(event);
                }
            }
            Observation::ResponseSent { execution, id, status, signature, body } => {
                let response = ResponseRecord { status: *status, signature: signature.clone(), body: *body };
                if let Some(record) = self.execution_mut(id, *execution) {
                    record.response = Some(response);
                }
            }
            _ => {}
        }
    }

    fn execution_mut(&mut self, id: &str, execution: u64) -> Option<&mut ExecutionRecord> {
        self.executions.get_mut(id)?.iter_mut().find(|record| record.execution == execution)
    }

    /// Returns the executions of a request, in the order of their starts.
    pub fn executions(&self, id: &str) -> &[ExecutionRecord] {
        self.executions.get(id).map_or(&[], Vec::as_slice)
    }

    /// Checks that a draining server receives no requests after the time bound.
    pub fn check_draining(&self, context: &mut CheckContext, server: &str, id: &str) {
        let allowed_ms = context.bounds.drain_ms + context.bounds.list_lag_ms;
        let is_overdue = self.draining_since.get(server).is_some_and(|at| at + allowed_ms < context.now);
        if is_overdue && context.is_undisrupted_since(context.now) {
            let detail = format!("is executed at {server}, which has been draining for long");
            context.violate(Invariant::Drain, id, detail);
        }
    }

    /// Returns the service of a server; `None` if the server is unknown.
    pub fn service_of(&self, server: &str) -> Option<&str> {
        self.service_of.get(server).map(String::as_str)
    }

    /// Returns the number of responses with the given status that servers sent for a request.
    pub fn count_responses(&self, id: &str, status: u16) -> u64 {
        let responses = self.executions(id).iter().filter_map(|record| record.response.as_ref());
        responses.filter(|response| response.status == status).count() as u64
    }
}
