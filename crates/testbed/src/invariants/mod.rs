//! The invariant checker: compares a series of observations with the guarantees of the system.
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

/// Checks observations in the order of their times.
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
    /// Returns a checker without observations.
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

    /// Checks the next observation, which was made at `now` (in milliseconds).
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
            Observation::ResponseReceived {
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
            Observation::RemainingBodyReceived { id, body } => self.check_remaining_body(id, *body),
            Observation::MalformedRequestReceived { reason } => {
                let detail = format!("got bytes that are no request: {reason}");
                self.context.violate(Invariant::Unasked, "server", detail);
            }
            _ => {}
        }
    }

    /// Checks that a server which responded early still receives the rest of the request body unchanged.
    fn check_remaining_body(&mut self, id: &str, body: u64) {
        let expected = self.requests.expected(id).or_else(|| self.jobs.expected(id));
        if expected.map(|expected| expected.body) != Some(body) {
            let detail = "other bytes came where the rest of its body was due";
            self.context.violate(Invariant::Unasked, id, detail);
        }
    }

    /// Compares the tenant that a server received with the API key that the client sent.
    fn check_caller(&mut self, id: &str, tenant: Option<&str>) {
        if let Some(expected) = self.requests.expected(id).or_else(|| self.jobs.expected(id)) {
            self.configurations.check_caller(&mut self.context, id, &expected, tenant);
        }
    }

    /// Compares an execution with the request that was sent and with the configurations.
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

    /// Runs the checks that need the complete series, and returns all violations.
    pub fn finish(&mut self) -> &[Violation] {
        self.jobs.finish(&mut self.context, &self.server_log);
        self.configurations.finish(&mut self.context);
        self.context.violations()
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> &[Violation] {
        self.context.violations()
    }
}
