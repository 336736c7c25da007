//! Authentication of clients' requests: the tenant that a request belongs to, by the API key that it carries as
//! bearer token (RFC 6750, section 2.1). Keys are secrets: no value made here holds one.

use compact_str::CompactString;
use orchidvalve_configuration::TenantTable;
use orchidvalve_http::Headers;

/// Header in which clients send their key.
const AUTHORIZATION_HEADER: &str = "authorization";
/// Header in which servers are told the tenant.
pub const TENANT_HEADER: &str = "Tenant";
/// Scheme of the credentials; its case doesn't matter (RFC 9110, section 11.1).
const BEARER_SCHEME: &str = "bearer";

/// Whether a request needs a key where the configuration has tenants.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum KeyRequirement {
    /// It does.
    Required,
    /// It doesn't, but a known key still names its tenant.
    Optional,
}

/// Whose request it is. Fixed when the request begins, whatever happens to the key later.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Authenticated {
    /// The configuration has no tenants: servers get the headers as the client sent them.
    WithoutTenants,
    /// Nobody's in particular: the request carries no known key and needs none.
    Public,
    /// That of the tenant with this name.
    Tenant(CompactString),
}

impl Authenticated {
    /// Name of the tenant, if there is one.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            Authenticated::Tenant(name) => Some(name),
            Authenticated::WithoutTenants | Authenticated::Public => None,
        }
    }

    /// Whether a header of the client is kept from servers: its key, and what it says of its tenant itself.
    pub fn withholds(&self, header: &str) -> bool {
        *self != Authenticated::WithoutTenants && is_credential(header)
    }
}

/// The request carries no known key and needs one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Unauthenticated;

/// Whether a header says whose a request is: only this system may tell servers.
pub fn is_credential(header: &str) -> bool {
    header.eq_ignore_ascii_case(AUTHORIZATION_HEADER) || header.eq_ignore_ascii_case(TENANT_HEADER)
}

/// The tenant of a request with these headers; `tenants` are those of the configuration by which it is routed.
///
/// # Errors
///
/// A key is required, and the headers hold none, several, or one that no tenant has.
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

/// The key of the only `Authorization` header. Several such headers could be understood in several ways.
fn bearer_key(headers: &Headers) -> Option<&str> {
    let mut lines = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(AUTHORIZATION_HEADER));
    let (_, credentials) = lines.next()?;
    if lines.next().is_some() {
        return None;
    }
    let (scheme, key) = credentials.split_once(' ')?;
    scheme.eq_ignore_ascii_case(BEARER_SCHEME).then(|| key.trim_start_matches(' '))
}
