//! Invariants for configurations: CONFIG, ACKS and ROUTE.

use serde_json::Value;

use super::context::{CheckContext, ExpectedRequest};
use super::invariant::Invariant;
use super::key_use::TenantKeys;
use crate::configuration_document::{routes_of, services_of_route, version_of};
use crate::observation::Observation;

/// Additional time for an acknowledgement per route of the configuration, in milliseconds.
const ACK_MS_PER_ROUTE: u64 = 3;

/// A configuration or a change that an operator sent; retries belong to the same change.
#[derive(Debug)]
pub(super) struct ChangeRecord {
    number: u64,
    version: u64,
    base: u64,
    pub document: Value,
    pub tenant_keys: TenantKeys,
    valid: bool,
    sent_at: u64,
    /// When the system first accepted the change, even if that response was lost.
    accepted_at: Option<u64>,
    /// When the operator first received a response of acceptance.
    pub acknowledged_at: Option<u64>,
    rejected: bool,
}

impl ChangeRecord {
    /// Maximum time in which a stable control plane acknowledges the change, in milliseconds.
    fn ack_ms(&self, context: &CheckContext) -> u64 {
        context.bounds.ack_ms + routes_of(&self.document).count() as u64 * ACK_MS_PER_ROUTE
    }

    fn is_accepted(&self) -> bool {
        self.accepted_at.is_some()
    }
}

/// All changes of the operators, in the order of their first sends.
#[derive(Debug, Default)]
pub(super) struct Configurations {
    pub sent: Vec<ChangeRecord>,
    /// Indices of the changes without a conclusive response.
    open: Vec<usize>,
}

impl Configurations {
    pub fn observe(&mut self, context: &mut CheckContext, observation: &Observation) {
        self.check_open(context);
        match observation {
            Observation::ConfigurationSent { change, version, base, document, valid } => {
                self.open.push(self.sent.len());
                self.sent.push(ChangeRecord {
                    number: *change,
                    version: *version,
                    base: *base,
                    document: document.clone(),
                    tenant_keys: TenantKeys::of(document),
                    valid: *valid,
                    sent_at: context.now,
                    accepted_at: None,
                    acknowledged_at: None,
                    rejected: false,
                });
            }
            Observation::ConfigurationSendEnded { change, status } => {
                let Some(index) = self.index_of(*change) else { return };
                self.close(index);
                if let Some(status) = *status {
                    self.check_response(context, index, status);
                    let acknowledged_at = &mut self.sent[index].acknowledged_at;
                    *acknowledged_at = acknowledged_at.or(is_success(status).then_some(context.now));
                }
            }
            Observation::ConfigurationResponseLost { change, status } => {
                let Some(index) = self.index_of(*change) else { return };
                if is_success(*status) || is_rejection(*status) {
                    self.close(index);
                }
                self.check_response(context, index, *status);
            }
            Observation::ConfigurationObserved { requested_at, version } => {
                self.check_observed(context, *requested_at, *version);
            }
            Observation::FinalConfigurationRead { document } => {
                self.check_final(context, document.as_ref());
            }
            _ => {}
        }
    }

    fn index_of(&self, change: u64) -> Option<usize> {
        self.sent.iter().rposition(|sent| sent.number == change)
    }

    fn close(&mut self, index: usize) {
        self.open.retain(|open| *open != index);
    }

    /// Checks that a stable control plane acknowledges a valid change in time, unless another change superseded it.
    fn check_open(&mut self, context: &mut CheckContext) {
        let latest = self.latest_accepted().unwrap_or(0);
        let sent = &self.sent;
        self.open.retain(|index| {
            let change = &sent[*index];
            let ack_ms = change.ack_ms(context);
            let begun = context.stable_since().max(change.sent_at);
            let is_overdue = change.valid && change.base == latest && context.now > begun + ack_ms;
            if is_overdue {
                let detail = format!("got no conclusive response in {ack_ms} ms of a stable control plane");
                context.violate(Invariant::Acks, &change.version.to_string(), detail);
            }
            !is_overdue
        });
    }

    fn check_response(&mut self, context: &mut CheckContext, index: usize, status: u16) {
        if is_rejection(status) {
            self.check_rejection(context, index, status);
            self.sent[index].rejected = true;
        }
        if is_success(status) {
            self.check_acceptance(context, index);
            let accepted_at = &mut self.sent[index].accepted_at;
            *accepted_at = accepted_at.or(Some(context.now));
        }
    }

    /// Checks that an accepted change is valid, was not rejected before, and is the only one with its base and its
    /// version.
    fn check_acceptance(&self, context: &mut CheckContext, index: usize) {
        let change = &self.sent[index];
        let (subject, base) = (change.version.to_string(), change.base);
        if !change.valid {
            context.violate(Invariant::Config, &subject, "an invalid configuration was acknowledged");
        }
        if change.rejected {
            context.violate(Invariant::Config, &subject, "was acknowledged after it had been refused");
        }
        let accepted =
            || self.sent.iter().filter(|other| other.is_accepted() && other.number != change.number);
        if let Some(other) = accepted().find(|other| other.base == base) {
            let detail = format!("{} was acknowledged too, on top of the same version {base}", other.version);
            context.violate(Invariant::Config, &subject, detail);
        } else if accepted().any(|other| other.version == change.version) {
            context.violate(Invariant::Config, &subject, "two changes were acknowledged under this version");
        }
    }

    /// Checks that a valid change is rejected only if another one may have superseded it, and never after its
    /// acceptance.
    fn check_rejection(&self, context: &mut CheckContext, index: usize, status: u16) {
        let change = &self.sent[index];
        let subject = change.version.to_string();
        if change.is_accepted() {
            let detail = format!("was acknowledged, and refused with {status} when it was sent again");
            return context.violate(Invariant::Config, &subject, detail);
        }
        if !change.valid {
            return;
        }
        let is_conflict = matches!(status, 409 | 412);
        if !is_conflict {
            let detail = format!("a valid change was refused with {status}");
            return context.violate(Invariant::Config, &subject, detail);
        }
        let mut others = self.sent.iter().filter(|other| other.number != change.number && other.valid);
        let may_supersede = |other: &ChangeRecord| {
            (other.base == change.base && !other.rejected)
                || (other.is_accepted() && other.version > change.base)
        };
        if !others.any(may_supersede) {
            let detail = format!("was refused with {status} though nothing can have taken its place");
            context.violate(Invariant::Config, &subject, detail);
        }
    }

    fn latest_accepted(&self) -> Option<u64> {
        self.sent.iter().filter(|change| change.is_accepted()).map(|change| change.version).max()
    }

    /// Checks that a read at any node returns the changes that were accepted before the read was requested.
    fn check_observed(&self, context: &mut CheckContext, requested_at: u64, version: u64) {
        let before = self.sent.iter().filter(|change| change.accepted_at.is_some_and(|at| at < requested_at));
        let latest = before.map(|change| change.version).max().unwrap_or(0);
        if version < latest {
            let detail = format!("was read though {latest} had been acknowledged before the reading began");
            context.violate(Invariant::Config, &version.to_string(), detail);
        }
    }

    /// Checks that the configuration at the end is the latest accepted one, with the content that was sent.
    fn check_final(&self, context: &mut CheckContext, document: Option<&Value>) {
        let Some(document) = document else {
            let detail = "the configuration doesn't come at the end";
            return context.violate(Invariant::Config, "read-back", detail);
        };
        let version = version_of(document);
        let subject = version.to_string();
        if let Some(latest) = self.latest_accepted().filter(|latest| version < *latest) {
            let detail = format!("was read back though {latest} was acknowledged");
            context.violate(Invariant::Config, &subject, detail);
        }
        let of_version: Vec<&ChangeRecord> =
            self.sent.iter().filter(|change| change.version == version).collect();
        let accepted: Vec<&ChangeRecord> =
            of_version.iter().copied().filter(|change| change.is_accepted()).collect();
        let candidates = if accepted.is_empty() { &of_version } else { &accepted };
        let same = candidates.iter().filter(|change| change.document == *document);
        match same.min_by_key(|change| change.rejected) {
            Some(change) if change.rejected => {
                context.violate(Invariant::Config, &subject, "is in force though it was refused");
            }
            Some(_) => {}
            None if of_version.is_empty() => {
                context.violate(Invariant::Config, &subject, "was read back though nobody sent it");
            }
            None => {
                let detail = "was read back with another content than was sent";
                context.violate(Invariant::Config, &subject, detail);
            }
        }
    }

    /// Checks that a configuration that may be active routes the request to the service that executes it.
    pub fn check_execution(
        &self,
        context: &mut CheckContext,
        id: &str,
        service: &str,
        expected: &ExpectedRequest<'_>,
    ) {
        if self.sent.is_empty() {
            return;
        }
        if !self.sent.iter().any(|change| routes_to(&change.document, service, expected)) {
            let detail = format!("no configuration ever sends it to {service}");
            return context.violate(Invariant::Route, id, detail);
        }
        let is_allowed = self
            .possibly_active(context, expected.since)
            .any(|change| routes_to(&change.document, service, expected));
        if !is_allowed && context.is_undisrupted_since(expected.since) {
            let detail = format!("{service} executes it, as only an older configuration allows");
            context.violate(Invariant::Config, id, detail);
        }
    }

    /// Returns the configurations that a connected machine may apply to a request sent at `since`.
    pub fn possibly_active(&self, context: &CheckContext, since: u64) -> impl Iterator<Item = &ChangeRecord> {
        let applied_at = since.saturating_sub(context.bounds.config_apply_ms);
        let acknowledged =
            self.sent.iter().filter(|change| change.acknowledged_at.is_some_and(|at| at <= applied_at));
        let oldest = acknowledged.map(|change| change.version).max().unwrap_or(0);
        self.sent.iter().filter(move |change| change.version >= oldest && !change.rejected)
    }

    /// Checks the changes that are still open at the end.
    pub fn finish(&mut self, context: &mut CheckContext) {
        self.check_open(context);
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Whether a status rejects a change for good; 408, 421 and 429 only defer it.
fn is_rejection(status: u16) -> bool {
    (400..500).contains(&status) && !matches!(status, 408 | 421 | 429)
}

/// Returns the route with the longest matching prefix in a configuration.
pub(super) fn route_of<'a>(document: &'a Value, expected: &ExpectedRequest<'_>) -> Option<&'a Value> {
    let path = expected.target.split('?').next().unwrap_or_default();
    let matching = routes_of(document).filter_map(|route| {
        let prefix = route["path-prefix"].as_str()?;
        (route["hostname"] == expected.host && path.starts_with(prefix)).then_some((prefix.len(), route))
    });
    matching.max_by_key(|(length, _)| *length).map(|(_, route)| route)
}

/// Whether the route with the longest matching prefix sends a request to a service.
fn routes_to(document: &Value, service: &str, expected: &ExpectedRequest<'_>) -> bool {
    let route = route_of(document, expected);
    route.is_some_and(|route| services_of_route(route).iter().any(|name| name == service))
}
