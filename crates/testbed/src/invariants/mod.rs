//! The invariant checker: compares one series of observations with the rules that the system promises to keep.
//!
//! Invariants with a time bound hold only while nothing was disrupted for [`InvariantBounds::contact_ms`].

mod configurations;
mod context;
mod fencing;
mod invariant;
mod job_record;
mod jobs;
mod key_use;
mod lease_history;
mod outputs;
mod platform_calls;
mod requests;
mod server_log;
mod starved_items;
mod usage_accounts;

use crate::observation::Observation;
use configurations::Configurations;
use context::CheckContext;
use fencing::FencingTokens;
use jobs::Jobs;
use platform_calls::PlatformCalls;
use requests::Requests;
use server_log::ServerLog;
use starved_items::StarvedItems;

pub use invariant::{Invariant, InvariantBounds, Violation};
pub use usage_accounts::{UsageAccounts, UsageBounds, UsageFigures};

/// Checks observations as they come.
pub struct InvariantChecker {
    context: CheckContext,
    server_log: ServerLog,
    requests: Requests,
    jobs: Jobs,
    configurations: Configurations,
    fencing_tokens: FencingTokens,
    platform_calls: PlatformCalls,
    starved_items: StarvedItems,
}

impl InvariantChecker {
    /// A checker that has observed nothing.
    pub fn new(bounds: InvariantBounds) -> InvariantChecker {
        InvariantChecker {
            context: CheckContext::new(bounds),
            server_log: ServerLog::default(),
            requests: Requests::default(),
            jobs: Jobs::default(),
            configurations: Configurations::default(),
            fencing_tokens: FencingTokens::default(),
            platform_calls: PlatformCalls::default(),
            starved_items: StarvedItems::default(),
        }
    }

    /// Takes the next observation, seen at `now` in milliseconds.
    pub fn observe(&mut self, now: u64, observation: &Observation) {
        self.context.begin_observation(now, observation);
        self.server_log.observe(&self.context, observation);
        self.requests.observe(&mut self.context, &self.server_log, observation);
        self.jobs.observe(&mut self.context, &self.server_log, observation);
        self.configurations.observe(&mut self.context, observation);
        self.fencing_tokens.observe(&mut self.context, observation);
        self.platform_calls.observe(&mut self.context, observation);
        self.starved_items.observe(&mut self.context, observation);
        match observation {
            Observation::ExecutionStarted { server, id, method, target, body, tenant, .. } => {
                self.check_execution(server, id, method, target, *body);
                self.check_caller(id, tenant.as_deref());
            }
            Observation::RequestAnswered {
                id, status: status @ (401 | 403 | 404), signature: None, ..
            } => {
                if let Some(expected) = self.requests.expected(id) {
                    self.configurations.check_denial(&mut self.context, id, &expected, *status);
                }
            }
            Observation::JobCallDenied { job, status, credentials, sent_at } => {
                let call = (credentials, *sent_at);
                self.configurations.check_job_call_denial(&mut self.context, job, call, *status);
            }
            Observation::AuthorizationReceived { server, id } => {
                self.configurations.check_authorization(&mut self.context, server, id);
            }
            Observation::LateBodyReceived { id, body } => self.check_late_body(id, *body),
            Observation::MalformedRequestReceived { reason } => {
                let detail = format!("got bytes that are no request: {reason}");
                self.context.violate(Invariant::Unasked, "server", detail);
            }
            _ => {}
        }
    }

    /// A server that responds early still gets the rest of the body, and no other bytes in its place.
    fn check_late_body(&mut self, id: &str, body: u64) {
        let expected = self.requests.expected(id).or_else(|| self.jobs.expected(id));
        if expected.map(|expected| expected.body) != Some(body) {
            let detail = "other bytes came where the rest of its body was due";
            self.context.violate(Invariant::Unasked, id, detail);
        }
    }

    /// Compares the tenant that a server is told with the key that was sent.
    fn check_caller(&mut self, id: &str, tenant: Option<&str>) {
        if let Some(expected) = self.requests.expected(id).or_else(|| self.jobs.expected(id)) {
            self.configurations.check_caller(&mut self.context, id, &expected, tenant);
        }
    }

    /// Compares an execution with what was asked for and with the configurations.
    fn check_execution(&mut self, server: &str, id: &str, method: &str, target: &str, body: u64) {
        let Some(expected) = self.requests.expected(id).or_else(|| self.jobs.expected(id)) else {
            let detail = format!("{server} executes an id that nobody sent");
            return self.context.violate(Invariant::Unasked, id, detail);
        };
        if (expected.method, expected.target, expected.body) != (method, target, body) {
            let sent = format!("{} {}", expected.method, expected.target);
            let detail = format!("{server} executes {method} {target}, sent was {sent}");
            self.context.violate(Invariant::Unasked, id, detail);
        }
        self.server_log.check_draining(&mut self.context, server, id);
        if let Some(service) = self.server_log.service_of(server) {
            self.configurations.check_execution(&mut self.context, id, service, &expected);
        }
    }

    /// Checks what can only be checked at the end, and returns all violations.
    pub fn finish(&mut self) -> &[Violation] {
        self.jobs.finish(&mut self.context, &self.server_log);
        self.configurations.finish(&mut self.context);
        self.context.violations()
    }

    /// The violations so far.
    pub fn violations(&self) -> &[Violation] {
        self.context.violations()
    }
}
