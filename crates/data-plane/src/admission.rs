//! Admission of clients' requests: finds the route and the tenant of each request in one version of the configuration.
//!
//! The responses "no such route" (404) and "unknown key" (401) are final for a client. A gateway whose configuration
//! may be outdated cannot know that: a newer configuration may have the route or the key. It responds with 503
//! instead, so that the client tries again.

use orchidvalve_configuration::{RouteTable, RouteType};
use orchidvalve_http::Request;

use crate::authentication::{Authenticated, KeyRequirement, Unauthenticated, authenticate};
use crate::requests::RETRY_AFTER;

/// The configuration may be outdated after this long without a message from the control plane, in milliseconds. More
/// than two of its heartbeats.
const FEED_TIMEOUT_MS: u64 = 600;

/// Whether the configuration of this gateway is up to date.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConfigurationAge {
    /// The control node is in touch and would have sent a newer configuration by now.
    Current,
    /// There may be a newer configuration that this gateway hasn't received.
    MayBeOutdated,
}

impl ConfigurationAge {
    /// Returns the age at `now`. `last_message_at` is when the last message arrived from the control node of the
    /// session, or `None` without a session. Both are in milliseconds of the steady clock.
    pub fn of_feed(last_message_at: Option<u64>, now: u64) -> ConfigurationAge {
        match last_message_at {
            Some(at) if now <= at.saturating_add(FEED_TIMEOUT_MS) => ConfigurationAge::Current,
            _ => ConfigurationAge::MayBeOutdated,
        }
    }
}

/// An admitted request: its route and its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Admitted {
    /// Index of the request's route in the table by which it was admitted.
    pub route: usize,
    /// The tenant that the request belongs to, if any.
    pub caller: Authenticated,
}

/// The reason why a request is not admitted. The request has not run and never will.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionError {
    /// The configuration has no route for the request's host and path.
    NoRoute,
    /// The route requires a key, and the request carries no known one.
    Unauthenticated,
    /// Either of the other reasons, found in a configuration that may be outdated.
    RetryLater,
}

impl AdmissionError {
    /// Status code of the response (RFC 9110, section 15).
    pub fn status(self) -> u16 {
        match self {
            AdmissionError::NoRoute => 404,
            AdmissionError::Unauthenticated => 401,
            AdmissionError::RetryLater => 503,
        }
    }

    /// Headers of the response.
    pub fn headers(self) -> &'static [(&'static str, &'static str)] {
        match self {
            AdmissionError::NoRoute => &[],
            AdmissionError::Unauthenticated => &[("WWW-Authenticate", "Bearer")],
            AdmissionError::RetryLater => &[("Retry-After", RETRY_AFTER)],
        }
    }

    /// Body of the response.
    pub fn body(self) -> &'static [u8] {
        match self {
            AdmissionError::NoRoute => b"no route for this host and path",
            AdmissionError::Unauthenticated => {
                b"Authorization: send one header with Bearer and a key of a tenant"
            }
            AdmissionError::RetryLater => b"",
        }
    }

    fn unless_outdated(self, age: ConfigurationAge) -> AdmissionError {
        match age {
            ConfigurationAge::Current => self,
            ConfigurationAge::MayBeOutdated => AdmissionError::RetryLater,
        }
    }
}

/// Looks up the route of a request and authenticates its caller.
///
/// # Errors
///
/// Returns an error if no route matches, or if the route requires a key and the request carries no known one.
pub fn admit_request(
    request: &Request,
    table: &RouteTable,
    age: ConfigurationAge,
) -> Result<Admitted, AdmissionError> {
    let route =
        table.lookup(host(request), &request.target).ok_or(AdmissionError::NoRoute.unless_outdated(age))?;
    let requirement = if route.public { KeyRequirement::Optional } else { KeyRequirement::Required };
    let caller = authenticate(&request.headers, table.tenants(), requirement);
    let caller = caller.map_err(|Unauthenticated| AdmissionError::Unauthenticated.unless_outdated(age))?;
    Ok(Admitted { route: route.index, caller })
}

/// Authenticates a call about a batch job. The path of such a call has no route, so the routes of its host decide
/// whether it needs a key.
///
/// # Errors
///
/// Returns an error if a key is required and the request carries no known one.
pub fn admit_job_call(
    request: &Request,
    table: &RouteTable,
    age: ConfigurationAge,
) -> Result<Authenticated, AdmissionError> {
    let is_public = table
        .routes_of_host(host(request))
        .any(|route| route.public && route.route_type == RouteType::RolloutControl);
    let requirement = if is_public { KeyRequirement::Optional } else { KeyRequirement::Required };
    authenticate(&request.headers, table.tenants(), requirement)
        .map_err(|Unauthenticated| AdmissionError::Unauthenticated.unless_outdated(age))
}

fn host(request: &Request) -> &str {
    request.headers.get("host").unwrap_or_default()
}
