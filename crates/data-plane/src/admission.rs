//! Admission of clients' requests: route and tenant of each, both by one configuration.
//!
//! To clients, "there is no such route" and "the key isn't known" are final. A gateway that may have missed a newer
//! configuration, which may have the route or the key, therefore tells them to try again instead.

use orchidvalve_configuration::{RouteTable, RouteType};
use orchidvalve_http::Request;

use crate::authentication::{Authenticated, KeyRequirement, Unauthenticated, authenticate};
use crate::requests::RETRY_AFTER;

/// Silence of the control plane after which the configuration may be outdated, in milliseconds: more than two of its
/// heartbeats.
const FEED_SILENCE_MS: u64 = 600;

/// How the configuration of this gateway stands to the newest one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConfigurationAge {
    /// A control node would have sent a newer one by now.
    Current,
    /// There may be a newer one.
    MayBeOutdated,
}

impl ConfigurationAge {
    /// The age at `now`; `last_message_at` is when a message last came from the control node that keeps the session, None
    /// without one. Both in milliseconds of the steady clock.
    pub fn of_feed(last_message_at: Option<u64>, now: u64) -> ConfigurationAge {
        match last_message_at {
            Some(at) if now <= at.saturating_add(FEED_SILENCE_MS) => ConfigurationAge::Current,
            _ => ConfigurationAge::MayBeOutdated,
        }
    }
}

/// A request that may run: by which route, and whose it is.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Admitted {
    /// Index of its route in the table by which it was admitted.
    pub route: usize,
    /// Whose it is.
    pub caller: Authenticated,
}

/// Why a request isn't admitted. It has not run and never will.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The configuration has no route for its host and path.
    NoRoute,
    /// It carries no known key and needs one.
    Unauthenticated,
    /// One of these, by a configuration that may be outdated.
    TryAgain,
}

impl Refusal {
    /// Status code of the response (RFC 9110, section 15).
    pub fn status(self) -> u16 {
        match self {
            Refusal::NoRoute => 404,
            Refusal::Unauthenticated => 401,
            Refusal::TryAgain => 503,
        }
    }

    /// Headers of the response.
    pub fn headers(self) -> &'static [(&'static str, &'static str)] {
        match self {
            Refusal::NoRoute => &[],
            Refusal::Unauthenticated => &[("WWW-Authenticate", "Bearer")],
            Refusal::TryAgain => &[("Retry-After", RETRY_AFTER)],
        }
    }

    /// Body of the response.
    pub fn body(self) -> &'static [u8] {
        match self {
            Refusal::NoRoute => b"no route for this host and path",
            Refusal::Unauthenticated => b"Authorization: send one header with Bearer and a key of a tenant",
            Refusal::TryAgain => b"",
        }
    }

    fn by(self, age: ConfigurationAge) -> Refusal {
        match age {
            ConfigurationAge::Current => self,
            ConfigurationAge::MayBeOutdated => Refusal::TryAgain,
        }
    }
}

/// Admits a request to its route.
///
/// # Errors
///
/// There is no route for it, or no tenant has its key.
pub fn admit_request(
    request: &Request,
    table: &RouteTable,
    age: ConfigurationAge,
) -> Result<Admitted, Refusal> {
    let route = table.lookup(host(request), &request.target).ok_or(Refusal::NoRoute.by(age))?;
    let requirement = if route.public { KeyRequirement::Optional } else { KeyRequirement::Required };
    let caller = authenticate(&request.headers, table.tenants(), requirement);
    let caller = caller.map_err(|Unauthenticated| Refusal::Unauthenticated.by(age))?;
    Ok(Admitted { route: route.index, caller })
}

/// Admits a call on a batch job. Its path has no route: the routes of its host say whether it needs a key.
///
/// # Errors
///
/// No tenant has its key.
pub fn admit_job_call(
    request: &Request,
    table: &RouteTable,
    age: ConfigurationAge,
) -> Result<Authenticated, Refusal> {
    let is_public = table
        .routes_of_host(host(request))
        .any(|route| route.public && route.route_type == RouteType::RolloutControl);
    let requirement = if is_public { KeyRequirement::Optional } else { KeyRequirement::Required };
    authenticate(&request.headers, table.tenants(), requirement)
        .map_err(|Unauthenticated| Refusal::Unauthenticated.by(age))
}

fn host(request: &Request) -> &str {
    request.headers.get("host").unwrap_or_default()
}
