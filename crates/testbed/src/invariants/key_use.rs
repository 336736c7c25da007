//! Invariants for API keys: UNASKED, ROUTE and CONFIG where they concern who may send a request.

use std::collections::HashMap;

use serde_json::Value;

use super::configurations::{ChangeRecord, Configurations, route_of};
use super::context::{CheckContext, ExpectedRequest, RequestPurpose};
use super::invariant::Invariant;
use crate::credentials::Credentials;

/// The tenant that owns each API key; `None` if the configuration has no tenants, so that no request needs a key.
#[derive(Debug)]
pub(super) struct TenantKeys(Option<HashMap<String, String>>);

impl TenantKeys {
    pub fn of(document: &Value) -> TenantKeys {
        let Some(tenants) = document["tenants"].as_array() else { return TenantKeys(None) };
        let mut owners = HashMap::new();
        for tenant in tenants {
            let name = tenant["name"].as_str().unwrap_or_default();
            let keys = tenant["api-keys"].as_array().into_iter().flatten().filter_map(Value::as_str);
            owners.extend(keys.map(|key| (key.to_owned(), name.to_owned())));
        }
        TenantKeys(Some(owners))
    }

    fn are_required(&self) -> bool {
        self.0.is_some()
    }

    fn owner(&self, key: &str) -> Option<&str> {
        self.0.as_ref()?.get(key).map(String::as_str)
    }

    fn contain_any(&self, credentials: &Credentials) -> bool {
        credentials.keys().any(|key| self.owner(key).is_some())
    }

    /// Whether one of the sent API keys is owned by the given tenant.
    fn include(&self, credentials: &Credentials, tenant: Option<&str>) -> bool {
        tenant.is_some() && credentials.keys().any(|key| self.owner(key) == tenant)
    }
}

impl ChangeRecord {
    /// Whether this configuration requires an API key for a request.
    fn requires_key(&self, expected: &ExpectedRequest<'_>) -> bool {
        let is_public = || route_of(&self.document, expected).is_some_and(|route| route["public"] == true);
        self.tenant_keys.are_required() && !is_public()
    }

    /// Whether this configuration accepts a request with the keys that it was sent with.
    fn admits(&self, expected: &ExpectedRequest<'_>) -> bool {
        self.tenant_keys.contain_any(expected.credentials) || !self.requires_key(expected)
    }

    /// Whether this configuration allows the execution of a request in the name of a tenant.
    fn allows_tenant(&self, expected: &ExpectedRequest<'_>, tenant: Option<&str>) -> bool {
        self.tenant_keys.include(expected.credentials, tenant)
            || (!self.requires_key(expected) && (tenant.is_none() || !self.tenant_keys.are_required()))
    }

    /// Whether this configuration allows a request with a proper key to be executed.
    fn allows_request(&self, expected: &ExpectedRequest<'_>) -> bool {
        let has_key =
            || expected.credentials.proper_key().and_then(|key| self.tenant_keys.owner(key)).is_some();
        route_of(&self.document, expected).is_some() && (!self.requires_key(expected) || has_key())
    }
}

impl Configurations {
    /// Checks that a server executes a request only with a valid key, and in the name of the tenant that owns it.
    pub fn check_caller(
        &self,
        context: &mut CheckContext,
        id: &str,
        expected: &ExpectedRequest<'_>,
        tenant: Option<&str>,
    ) {
        if self.sent.is_empty() {
            return;
        }
        let has_key = expected.credentials.keys().next().is_some();
        if has_key && !self.sent.iter().any(|change| change.admits(expected)) {
            let detail = "is executed with a key that no configuration has ever held";
            return context.violate(Invariant::Route, id, detail);
        }
        if !self.sent.iter().any(|change| change.allows_tenant(expected, tenant)) {
            let detail = match tenant {
                _ if !has_key => "is executed though it has no key and every configuration asks for one",
                Some(_) => "is executed in the name of a tenant that has never held its key",
                None => "is executed without the name of the tenant that holds its key",
            };
            context.violate(Invariant::Unasked, id, detail);
        }
        if has_key && expected.purpose == RequestPurpose::Client {
            self.check_active_caller(context, id, expected, tenant);
        }
    }

    /// Checks that a client uses a removed key only until the configuration without it is active. The removal of a
    /// key does not end batch jobs: their items are still executed.
    fn check_active_caller(
        &self,
        context: &mut CheckContext,
        id: &str,
        expected: &ExpectedRequest<'_>,
        tenant: Option<&str>,
    ) {
        let active = || self.possibly_active(context, expected.since);
        let is_dropped = !active().any(|change| change.admits(expected));
        let is_former_owner = || {
            let allows = |change: &ChangeRecord| change.allows_tenant(expected, tenant);
            self.sent.iter().any(allows) && !active().any(allows)
        };
        let detail = match is_dropped {
            true => "is executed by a key that was taken away",
            false if is_former_owner() => {
                "is executed in the name of a tenant that lost its key to another one"
            }
            false => return,
        };
        if context.is_undisrupted_since(expected.since) {
            context.violate(Invariant::Config, id, detail);
        }
    }

    /// Checks that a request is not denied while every possibly active configuration has its route and its key.
    pub fn check_denial(
        &self,
        context: &mut CheckContext,
        id: &str,
        expected: &ExpectedRequest<'_>,
        status: u16,
    ) {
        let is_wrong = self.all_active(context, expected.since, |change| change.allows_request(expected));
        if is_wrong && context.is_undisrupted_since(expected.since) {
            let detail = format!("got {status} though its route and its key are in force");
            context.violate(Invariant::Config, id, detail);
        }
    }

    /// Checks that a call for a batch job is not denied while every possibly active configuration has its key.
    pub fn check_job_call_denial(
        &self,
        context: &mut CheckContext,
        job: &str,
        (credentials, sent_at): (&Credentials, u64),
        status: u16,
    ) {
        let holds = |change: &ChangeRecord| {
            !change.tenant_keys.are_required() || change.tenant_keys.contain_any(credentials)
        };
        if self.all_active(context, sent_at, holds) && context.is_undisrupted_since(sent_at) {
            let detail = format!("a call got {status} though a tenant holds its key");
            context.violate(Invariant::Config, job, detail);
        }
    }

    /// Checks that no server receives an API key if all configurations have tenants.
    pub fn check_authorization(&self, context: &mut CheckContext, server: &str, id: &str) {
        let mut sent = self.sent.iter().peekable();
        if sent.peek().is_some() && sent.all(|change| change.tenant_keys.are_required()) {
            let detail = format!("{server} is shown the client's Authorization");
            context.violate(Invariant::Unasked, id, detail);
        }
    }

    /// Whether a condition holds for all configurations possibly active since a time, and one is surely applied by
    /// then.
    fn all_active(&self, context: &CheckContext, since: u64, holds: impl Fn(&ChangeRecord) -> bool) -> bool {
        let applied_at = since.saturating_sub(context.bounds.config_apply_ms);
        let is_applied =
            self.sent.iter().any(|change| change.acknowledged_at.is_some_and(|at| at <= applied_at));
        is_applied && self.possibly_active(context, since).all(holds)
    }
}
