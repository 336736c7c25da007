//! The operator's configuration: reading, checking, changing and writing it.
//!
//! A [`Configuration`] always holds a checked document, together with the [`RouteTable`] compiled from it. Fields
//! that are not known here are kept as they were sent.

mod patch;
pub mod reader;
pub mod route_table;
mod table_builder;
mod tenant_table;

pub use route_table::{Route, RouteTable, RouteType, Scaling};
pub use tenant_table::{Tenant, TenantTable};

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error, From};
use serde_json::Value;

use crate::reader::{ReadError, ValueReader};

pub(crate) const VERSION_FIELD: &str = "config-version";

/// Longest configuration, in bytes of JSON. A checkpoint with it has to fit, with room to spare, into what may wait on
/// a link between control nodes (16 MiB) and, twice, on a disk of 64 MB.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Why a configuration or a change of it is refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum ConfigurationError {
    /// The bytes are not one whole JSON document.
    #[display("the body is not a whole JSON document ({reason}); send it again in full")]
    #[from(skip)]
    NotJson {
        /// What the JSON parser says.
        reason: String,
    },
    /// A value is missing or of the wrong kind.
    #[display("{_0}")]
    Unreadable(ReadError),
    /// A route names a service that the configuration does not have.
    #[display("{path}: there is no service \"{service}\"; add it under services or name one of those")]
    #[from(skip)]
    UnknownService {
        /// Path of the name in the document.
        path: String,
        /// The name.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[display("{path}: host and path-prefix are those of {other} already; change or remove one of them")]
    #[from(skip)]
    DuplicateRoute {
        /// Path of the later route.
        path: String,
        /// Path of the earlier one.
        other: String,
    },
    /// Two items of a list have the same name.
    #[display("{path}: the name \"{name}\" stands twice in the list; rename or remove one of them")]
    #[from(skip)]
    DuplicateName {
        /// Path of the later name.
        path: String,
        /// The name.
        name: String,
    },
    /// No service of a route has a weight.
    #[display("{path}: the weights sum to 0; give at least one service a weight above 0")]
    #[from(skip)]
    ZeroWeights {
        /// Path of the traffic split.
        path: String,
    },
    /// A time-out of zero.
    #[display("{path}: must be above 0; give the milliseconds a request may be held")]
    #[from(skip)]
    ZeroTimeout {
        /// Path of the time-out.
        path: String,
    },
    /// Two tenants share an API key, which isn't named here: it is a secret.
    #[display("{path}: the same key stands at {other} already; give each tenant keys of its own")]
    #[from(skip)]
    SharedKey {
        /// Path of the later key.
        path: String,
        /// Path of the earlier one.
        other: String,
    },
    /// The fewest servers of a service are more than the most.
    #[display("{path}: min-count {min} is above max-count {max}; exchange or change them")]
    #[from(skip)]
    ScalingBounds {
        /// Path of the service's scaling.
        path: String,
        /// Fewest servers in a zone.
        min: u32,
        /// Most servers in a zone.
        max: u32,
    },
    /// The version does not rise.
    #[display("config-version: {sent} is not above the current version {current}; send a higher one")]
    #[from(skip)]
    VersionNotAbove {
        /// Version that was sent.
        sent: u64,
        /// Version of the current configuration; 0 if there is none.
        current: u64,
    },
    /// The document is too long to be kept and passed on.
    #[display(
        "the configuration has {bytes} bytes, {MAX_DOCUMENT_BYTES} at most; leave out what isn't needed"
    )]
    #[from(skip)]
    TooLong {
        /// Length of the document.
        bytes: usize,
    },
    /// Named items are to be changed, but there is no configuration yet.
    #[display("there is no configuration to change; send a whole one with PUT first")]
    #[from(skip)]
    NothingToChange,
}

impl ConfigurationError {
    /// Status code of the response to the operator.
    pub fn status(&self) -> u16 {
        400
    }
}

/// A checked configuration. Cloning copies the document; share it behind an `Arc`.
#[derive(Clone)]
pub struct Configuration {
    version: u64,
    fingerprint: u64,
    document: Value,
    routes: Arc<RouteTable>,
}

impl Configuration {
    /// Reads a whole configuration (`PUT`) that is to replace `current`.
    ///
    /// # Errors
    ///
    /// It is invalid, or its version isn't above the current one.
    pub fn replace(
        body: &[u8],
        current: Option<&Configuration>,
    ) -> Result<Configuration, ConfigurationError> {
        check_length(body.len())?;
        Configuration::above(parse(body)?, fingerprint(body), current)
    }

    /// Reads a change of named items (`PATCH`) and applies it to `current`.
    ///
    /// # Errors
    ///
    /// There is no current configuration, the change or what it leads to is invalid, or its version isn't above.
    pub fn patch(body: &[u8], current: Option<&Configuration>) -> Result<Configuration, ConfigurationError> {
        let change = parse(body)?;
        let base = current.ok_or(ConfigurationError::NothingToChange)?;
        let version = read_version(&change)?;
        check_version(version, current)?;
        let document = patch::apply(base.document.clone(), &change)?;
        let configuration = Configuration::build(document, fingerprint(body))?;
        check_length(configuration.to_json().len())?;
        Ok(configuration)
    }

    /// Reads a configuration written with [`Configuration::to_json`]; `fingerprint` is that of the original.
    ///
    /// # Errors
    ///
    /// The bytes are no valid configuration.
    pub fn restore(json: &[u8], fingerprint: u64) -> Result<Configuration, ConfigurationError> {
        Configuration::build(parse(json)?, fingerprint)
    }

    fn above(
        document: Value,
        fingerprint: u64,
        current: Option<&Configuration>,
    ) -> Result<Configuration, ConfigurationError> {
        check_version(read_version(&document)?, current)?;
        Configuration::build(document, fingerprint)
    }

    fn build(document: Value, fingerprint: u64) -> Result<Configuration, ConfigurationError> {
        let version = read_version(&document)?;
        let routes = Arc::new(table_builder::build(&document)?);
        Ok(Configuration { version, fingerprint, document, routes })
    }

    /// The operator's number of this configuration, above 0.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Fingerprint of the body that brought this configuration, see [`fingerprint`].
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Whether this configuration was made by a request with exactly this body: that request is a repeat, to be
    /// answered as it was the first time.
    pub fn is_from_body(&self, body: &[u8]) -> bool {
        self.fingerprint == fingerprint(body)
    }

    /// The document as it was sent, with all changes applied.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// The whole document as JSON, for the operator and for storing.
    pub fn to_json(&self) -> Vec<u8> {
        self.document.to_string().into_bytes()
    }

    /// The routes compiled from the document.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }
}

/// The document holds the tenants' keys, and is left out.
impl fmt::Debug for Configuration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("Configuration");
        shown.field("version", &self.version).field("fingerprint", &self.fingerprint);
        shown.field("routes", &self.routes).finish_non_exhaustive()
    }
}

/// Two configurations are equal if their documents are; how they came about does not matter.
impl PartialEq for Configuration {
    fn eq(&self, other: &Configuration) -> bool {
        self.document == other.document
    }
}

/// Fingerprint of a request's body (64-bit FNV-1a, RFC 9923): tells a repeated request from another one with the same
/// version.
pub fn fingerprint(body: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    body.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

fn parse(body: &[u8]) -> Result<Value, ConfigurationError> {
    serde_json::from_slice(body).map_err(|error| ConfigurationError::NotJson { reason: error.to_string() })
}

fn read_version(document: &Value) -> Result<u64, ConfigurationError> {
    Ok(ValueReader::root(document).field(VERSION_FIELD)?.unsigned()?)
}

fn check_length(bytes: usize) -> Result<(), ConfigurationError> {
    if bytes > MAX_DOCUMENT_BYTES {
        return Err(ConfigurationError::TooLong { bytes });
    }
    Ok(())
}

fn check_version(sent: u64, current: Option<&Configuration>) -> Result<(), ConfigurationError> {
    let current = current.map_or(0, Configuration::version);
    if sent > current { Ok(()) } else { Err(ConfigurationError::VersionNotAbove { sent, current }) }
}
