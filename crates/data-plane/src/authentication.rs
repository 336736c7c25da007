//! Authentication of clients' requests: finds the tenant of a request by the API key that the request carries as a
//! bearer token (RFC 6750, section 2.1). Keys are secrets, so no value of this module contains one.

use compact_str::CompactString;
use orchidvalve_configuration::TenantTable;
use orchidvalve_http::Headers;

/// The header in which clients send their API key.
const AUTHORIZATION_HEADER: &str = "authorization";
/// The header that names the tenant to servers.
pub const TENANT_HEADER: &str = "Tenant";
/// The authentication scheme, compared case-insensitively (RFC 9110, section 11.1).
const BEARER_SCHEME: &str = "bearer";

/// Whether a request needs an API key if the configuration has tenants.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum KeyRequirement {
    /// A known key is required.
    Required,
    /// No key is required, but a known one still identifies the tenant.
    Optional,
}

/// The caller of a request. It is determined when the request begins; later changes of the key have no effect on it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Authenticated {
    /// The configuration has no tenants: servers receive the headers as the client sent them.
    WithoutTenants,
    /// The request belongs to no tenant: it carries no known key and needs none.
    Public,
    /// The request belongs to the tenant with this name.
    Tenant(CompactString),
}

impl Authenticated {
    /// Returns the name of the tenant, if the request belongs to one.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Authenticated::Tenant(name) => Some(name),
            Authenticated::WithoutTenants | Authenticated::Public => None,
        }
    }

    /// Whether a header of the client must not be forwarded to servers because it carries its key or claims a tenant.
    pub fn withholds(&self, header: &str) -> bool {
        *self != Authenticated::WithoutTenants && is_credential(header)
    }
}

/// The error that a request needs a key and carries no known one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Unauthenticated;

/// Whether a header identifies the caller of a request. Only the gateway may send such headers to servers.
pub fn is_credential(header: &str) -> bool {
    header.eq_ignore_ascii_case(AUTHORIZATION_HEADER) || header.eq_ignore_ascii_case(TENANT_HEADER)
}

/// Returns the caller of a request with these headers. `tenants` are those of the configuration that routes the
/// request.
///
/// # Errors
///
/// Returns an error if a key is required and the headers hold no key, several, or an unknown one.
pub fn authenticate(
    headers: &Headers,
    tenants: Option<&TenantTable>,
    requirement: KeyRequirement,
) -> Result<Authenticated, Unauthenticated> {
    let Some(tenants) = tenants else { return Ok(Authenticated::WithoutTenants) };
    match (bearer_key(headers).and_then(|key| tenants.by_key(key)), requirement) {
        (Some(tenant), _) => Ok(Authenticated::Tenant(tenant.name.clone())),
        (None, KeyRequirement::Optional) => Ok(Authenticated::Public),
        (None, KeyRequirement::Required) => Err(Unauthenticated),
    }
}

/// Returns the key in the only `Authorization` header. Several such headers would be ambiguous and yield `None`.
fn bearer_key(headers: &Headers) -> Option<&str> {
    let mut lines = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(AUTHORIZATION_HEADER));
    let (_, credentials) = lines.next()?;
    if lines.next().is_some() {
        return None;
    }
    let (scheme, key) = credentials.split_once(' ')?;
    scheme.eq_ignore_ascii_case(BEARER_SCHEME).then(|| key.trim_start_matches(' '))
}
