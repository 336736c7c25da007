//! The operator's configuration: parsing, validation, changes and serialization.
//!
//! A [`Configuration`] always holds a valid document and the [`RouteTable`] compiled from it. Unknown fields are kept
//! as they were sent.

mod large_integers;
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

use crate::large_integers::LargeInteger;
use crate::reader::{ReadError, ValueReader};

pub(crate) const VERSION_FIELD: &str = "config-version";

/// Maximum size of a configuration in bytes of JSON. A checkpoint that contains it must fit with a margin into the
/// buffer of a link between control nodes (16 MiB) and, twice, on a disk of 64 MB.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// The reason why a configuration or a change to it is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum ConfigurationError {
    /// The body is not a single JSON document.
    #[display("the body is not a whole JSON document ({reason}); send it again in full")]
    #[from(skip)]
    NotJson {
        /// Error message of the JSON parser.
        reason: String,
    },
    /// A value is missing or has the wrong type.
    #[display("{_0}")]
    Unreadable(ReadError),
    /// A route refers to a service that the configuration does not contain.
    #[display("{path}: there is no service \"{service}\"; add it under services or name one of those")]
    #[from(skip)]
    UnknownService {
        /// Path of the reference in the document.
        path: String,
        /// The unknown service name.
        service: String,
    },
    /// Two routes have the same hostname and path prefix.
    #[display("{path}: host and path-prefix are those of {other} already; change or remove one of them")]
    #[from(skip)]
    DuplicateRoute {
        /// Path of the second route.
        path: String,
        /// Path of the first route.
        other: String,
    },
    /// Two items of a list have the same name.
    #[display("{path}: the name \"{name}\" stands twice in the list; rename or remove one of them")]
    #[from(skip)]
    DuplicateName {
        /// Path of the second name.
        path: String,
        /// The duplicate name.
        name: String,
    },
    /// All services of a route have weight 0.
    #[display("{path}: the weights sum to 0; give at least one service a weight above 0")]
    #[from(skip)]
    ZeroWeights {
        /// Path of the traffic split.
        path: String,
    },
    /// A timeout is zero.
    #[display("{path}: must be above 0; give the milliseconds a request may be held")]
    #[from(skip)]
    ZeroTimeout {
        /// Path of the timeout.
        path: String,
    },
    /// Two tenants have the same API key. The error does not contain the key, since it is a secret.
    #[display("{path}: the same key stands at {other} already; give each tenant keys of its own")]
    #[from(skip)]
    SharedKey {
        /// Path of the second occurrence of the key.
        path: String,
        /// Path of the first occurrence.
        other: String,
    },
    /// The minimum number of servers of a service exceeds the maximum.
    #[display("{path}: min-count {min} is above max-count {max}; exchange or change them")]
    #[from(skip)]
    ScalingBounds {
        /// Path of the `scaling` object of the service.
        path: String,
        /// Minimum number of servers in a zone.
        min: u32,
        /// Maximum number of servers in a zone.
        max: u32,
    },
    /// The version is not above the current version.
    #[display("config-version: {sent} is not above the current version {current}; send a higher one")]
    #[from(skip)]
    VersionNotAbove {
        /// The version that was sent.
        sent: u64,
        /// Version of the current configuration; 0 if there is none.
        current: u64,
    },
    /// The document exceeds [`MAX_DOCUMENT_BYTES`].
    #[display(
        "the configuration has {bytes} bytes, {MAX_DOCUMENT_BYTES} at most; leave out what isn't needed"
    )]
    #[from(skip)]
    TooLong {
        /// Size of the document in bytes.
        bytes: usize,
    },
    /// An integer would be read back as another number.
    #[display(
        "{key}: the integer {literal} has more than 64 bits and can't be kept exactly; write it with an exponent, like 1e20"
    )]
    #[from(skip)]
    LargeInteger {
        /// Key of the value that contains the integer.
        key: String,
        /// The integer as it was sent.
        literal: String,
    },
    /// A patch was sent, but there is no configuration to apply it to.
    #[display("there is no configuration to change; send a whole one with PUT first")]
    #[from(skip)]
    NothingToChange,
}

impl ConfigurationError {
    /// Returns the status code of the response to the operator.
    pub fn status(&self) -> u16 {
        400
    }
}

/// A valid configuration. Cloning copies the document, so share it in an `Arc`.
#[derive(Clone)]
pub struct Configuration {
    version: u64,
    fingerprint: u64,
    document: Value,
    routes: Arc<RouteTable>,
}

impl Configuration {
    /// Parses a complete configuration (`PUT`) that replaces `current`.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is invalid or its version is not above the current one.
    pub fn replace(
        body: &[u8],
        current: Option<&Configuration>,
    ) -> Result<Configuration, ConfigurationError> {
        check_length(body.len())?;
        Configuration::replace_document(parse_sent(body)?, fingerprint(body), current)
    }

    /// Parses a patch of named items (`PATCH`) and applies it to `current`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no current configuration, if the patch or its result is invalid, or if the version
    /// is not above the current one.
    pub fn patch(body: &[u8], current: Option<&Configuration>) -> Result<Configuration, ConfigurationError> {
        let change = parse_sent(body)?;
        let base = current.ok_or(ConfigurationError::NothingToChange)?;
        let version = read_version(&change)?;
        check_version(version, current)?;
        let document = patch::apply(base.document.clone(), &change)?;
        let configuration = Configuration::build(document, fingerprint(body))?;
        check_length(configuration.to_json().len())?;
        Ok(configuration)
    }

    /// Restores a configuration from the output of [`Configuration::to_json`]. `fingerprint` is the fingerprint of the
    /// stored configuration.
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid configuration.
    pub fn restore(json: &[u8], fingerprint: u64) -> Result<Configuration, ConfigurationError> {
        Configuration::build(parse(json)?, fingerprint)
    }

    fn replace_document(
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

    /// Returns the version that the operator assigned, which is above 0.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the [`fingerprint`] of the request body that created this configuration.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns whether a request with exactly this body created this configuration. Such a request is a repetition and
    /// gets the same response as the first one.
    pub fn is_from_body(&self, body: &[u8]) -> bool {
        self.fingerprint == fingerprint(body)
    }

    /// Returns the document as sent, with all patches applied.
    pub fn document(&self) -> &Value {
        &self.document
    }

    /// Returns the document as JSON, for the operator and for storage.
    pub fn to_json(&self) -> Vec<u8> {
        self.document.to_string().into_bytes()
    }

    /// Returns the routes compiled from the document.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }
}

/// Omits the document, which contains the API keys of tenants.
impl fmt::Debug for Configuration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("Configuration");
        output.field("version", &self.version).field("fingerprint", &self.fingerprint);
        output.field("routes", &self.routes).finish_non_exhaustive()
    }
}

/// Two configurations are equal if their documents are equal, whatever requests created them.
impl PartialEq for Configuration {
    fn eq(&self, other: &Configuration) -> bool {
        self.document == other.document
    }
}

/// Returns the fingerprint of a request body (64-bit FNV-1a, RFC 9923). It distinguishes a repeated request from
/// another one with the same version.
pub fn fingerprint(body: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    body.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

fn parse(body: &[u8]) -> Result<Value, ConfigurationError> {
    serde_json::from_slice(body).map_err(|error| ConfigurationError::NotJson { reason: error.to_string() })
}

/// Parses a document of the operator, which has to be read back as it was sent.
fn parse_sent(body: &[u8]) -> Result<Value, ConfigurationError> {
    let document = parse(body)?;
    match std::str::from_utf8(body).ok().and_then(large_integers::find) {
        None => Ok(document),
        Some(LargeInteger { key, literal }) => {
            Err(ConfigurationError::LargeInteger { key: key.to_owned(), literal: literal.to_owned() })
        }
    }
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
