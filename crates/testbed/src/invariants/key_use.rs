//! Invariants for API keys: UNASKED, ROUTE and CONFIG where they concern who may ask for a request.

use std::collections::HashMap;

use serde_json::Value;

use super::configurations::{ChangeRecord, Configurations, route_of};
use super::context::{CheckContext, ExpectedRequest, RequestPurpose};
use super::invariant::Invariant;
use crate::credentials::Credentials;

/// Name of the tenant that holds each key; `None` where a configuration has no tenants, and nobody needs a key.
#[derive(Debug)]
pub(super) struct KeyHolders(Option<HashMap<String, String>>);

impl KeyHolders {
    pub fn of(document: &Value) -> KeyHolders {
        let Some(tenants) = document["tenants"].as_array() else { return KeyHolders(None) };
        let mut holders = HashMap::new();
        for tenant in tenants {
            let name = tenant["name"].as_str().unwrap_or_default();
            let keys = tenant["api-keys"].as_array().into_iter().flatten().filter_map(Value::as_str);
            holders.extend(keys.map(|key| (key.to_owned(), name.to_owned())));
        }
        KeyHolders(Some(holders))
    }

    fn are_needed(&self) -> bool {
        self.0.is_some()
    }

    fn holder(&self, key: &str) -> Option<&str> {
        self.0.as_ref()?.get(key).map(String::as_str)
    }

    fn hold_any(&self, credentials: &Credentials) -> bool {
        credentials.keys().any(|key| self.holder(key).is_some())
    }

    /// Whether a tenant is that of a key that was sent.
    fn name(&self, credentials: &Credentials, tenant: Option<&str>) -> bool {
        tenant.is_some() && credentials.keys().any(|key| self.holder(key) == tenant)
    }
}

impl ChangeRecord {
    /// Whether this configuration asks for a key with a request.
    fn needs_key(&self, expected: &ExpectedRequest<'_>) -> bool {
        let is_public = || route_of(&self.document, expected).is_some_and(|route| route["public"] == true);
        self.key_holders.are_needed() && !is_public()
    }

    /// Whether this configuration takes a request with the keys that it has.
    fn admits(&self, expected: &ExpectedRequest<'_>) -> bool {
        self.key_holders.hold_any(expected.credentials) || !self.needs_key(expected)
    }

    /// Whether this configuration lets a request be executed in the name of a tenant.
    fn allows_tenant(&self, expected: &ExpectedRequest<'_>, tenant: Option<&str>) -> bool {
        self.key_holders.name(expected.credentials, tenant)
            || (!self.needs_key(expected) && (tenant.is_none() || !self.key_holders.are_needed()))
    }

    /// Whether this configuration lets a proper request be executed.
    fn allows_request(&self, expected: &ExpectedRequest<'_>) -> bool {
        let has_key =
            || expected.credentials.proper_key().and_then(|key| self.key_holders.holder(key)).is_some();
        route_of(&self.document, expected).is_some() && (!self.needs_key(expected) || has_key())
    }
}

impl Configurations {
    /// A server executes a request only with a key, and in the name of the tenant that holds it.
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
            self.check_caller_in_force(context, id, expected, tenant);
        }
    }

    /// A dropped key may be used until the configuration without it is in force. It ends no batch job: the items go on.
    fn check_caller_in_force(
        &self,
        context: &mut CheckContext,
        id: &str,
        expected: &ExpectedRequest<'_>,
        tenant: Option<&str>,
    ) {
        let in_force = || self.maybe_in_force(context, expected.since);
        let is_dropped = !in_force().any(|change| change.admits(expected));
        let is_former_holder = || {
            let allows = |change: &ChangeRecord| change.allows_tenant(expected, tenant);
            self.sent.iter().any(allows) && !in_force().any(allows)
        };
        let detail = match is_dropped {
            true => "is executed by a key that was taken away",
            false if is_former_holder() => {
                "is executed in the name of a tenant that lost its key to another one"
            }
            false => return,
        };
        if context.is_undisrupted_since(expected.since) {
            context.violate(Invariant::Config, id, detail);
        }
    }

    /// A request isn't denied while every configuration that may be in force has its route and its key.
    pub fn check_denial(
        &self,
        context: &mut CheckContext,
        id: &str,
        expected: &ExpectedRequest<'_>,
        status: u16,
    ) {
        let is_wrong = self.all_in_force(context, expected.since, |change| change.allows_request(expected));
        if is_wrong && context.is_undisrupted_since(expected.since) {
            let detail = format!("got {status} though its route and its key are in force");
            context.violate(Invariant::Config, id, detail);
        }
    }

    /// A call for a batch job isn't denied while every configuration that may be in force has its key.
    pub fn check_job_call_denial(
        &self,
        context: &mut CheckContext,
        job: &str,
        (credentials, sent_at): (&Credentials, u64),
        status: u16,
    ) {
        let holds = |change: &ChangeRecord| {
            !change.key_holders.are_needed() || change.key_holders.hold_any(credentials)
        };
        if self.all_in_force(context, sent_at, holds) && context.is_undisrupted_since(sent_at) {
            let detail = format!("a call got {status} though a tenant holds its key");
            context.violate(Invariant::Config, job, detail);
        }
    }

    /// No server is shown a key where configurations have tenants.
    pub fn check_authorization(&self, context: &mut CheckContext, server: &str, id: &str) {
        let mut sent = self.sent.iter().peekable();
        if sent.peek().is_some() && sent.all(|change| change.key_holders.are_needed()) {
            let detail = format!("{server} is shown the client's Authorization");
            context.violate(Invariant::Unasked, id, detail);
        }
    }

    /// Whether something holds for each configuration that may have been in force since a time, and there is one.
    fn all_in_force(
        &self,
        context: &CheckContext,
        since: u64,
        holds: impl Fn(&ChangeRecord) -> bool,
    ) -> bool {
        let applied_at = since.saturating_sub(context.bounds.config_apply_ms);
        let is_applied =
            self.sent.iter().any(|change| change.acknowledged_at.is_some_and(|at| at <= applied_at));
        is_applied && self.maybe_in_force(context, since).all(holds)
    }
}
