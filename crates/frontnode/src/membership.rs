//! Parses and checks the endpoint list that discovery publishes.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use orchidvalve::interface::Nanos;
use orchidvalve_aggregator_settings::{Section, SettingsError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// An endpoint list, or the changes of one, at a revision.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The revision, counted by discovery.
    pub revision: i64,
    /// Whether it is the complete list; otherwise it contains the changes since an earlier revision.
    pub complete: bool,
    /// The endpoints, in discovery's order.
    pub endpoints: Vec<Endpoint>,
}

/// One replica as discovery publishes it. The serialized form is stored on disk and sent in the lists that front nodes
/// exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name of the replica.
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its kind, used by the operator's routes; empty if discovery does not publish one.
    pub flavor: String,
    /// Its location, used by the operator's routes; empty if discovery does not publish one.
    pub locality: String,
    /// Its cell of the ring.
    pub cell: usize,
    /// Whether it accepts new attempts.
    pub serving: bool,
    /// Whether it is removed permanently.
    pub removed: bool,
    /// When it started, in nanoseconds since the Unix epoch.
    pub started: Option<Nanos>,
}

/// Why a response of discovery is invalid.
#[derive(Debug, Display, Error, From)]
pub enum EndpointListError {
    /// It is not valid JSON.
    #[display("no JSON: {_0}")]
    Json(serde_json::Error),
    /// A field is missing or invalid.
    #[display("{_0}")]
    Field(SettingsError),
}

/// Parses the endpoint list in a section.
///
/// # Errors
///
/// Fails if a required field is missing or a field is invalid.
pub fn read_section(list: &Section) -> Result<EndpointList, SettingsError> {
    let revision = list.or("revision", 0, Section::integer)?;
    let complete = list.or("complete", false, Section::flag)?;
    let endpoints = list.list("members")?.ok_or_else(|| list.missing("members"))?;
    Ok(EndpointList {
        revision,
        complete,
        endpoints: endpoints.iter().map(endpoint).collect::<Result<_, _>>()?,
    })
}

fn endpoint(section: &Section) -> Result<Endpoint, SettingsError> {
    let address = section.text("host_port")?;
    let address = address.parse();
    let address = address.map_err(|_| section.error("host_port", "should be an address and a port"))?;
    let (serving, removed) = match section.text("phase")? {
        "up" => (true, false),
        "draining" => (false, false),
        "removed" => (false, true),
        other => return Err(section.error("phase", format!("unknown phase '{other}'"))),
    };
    let started = section.or("up_since_ms", 0, Section::integer)?;
    // Only the operator's routes use these fields. A list with an invalid one is still usable.
    let optional_text = |name| section.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    Ok(Endpoint {
        id: section.text("id")?.to_owned(),
        address,
        flavor: optional_text("flavor"),
        locality: optional_text("locality"),
        cell: section.index("cell")?,
        serving,
        removed,
        started: (started > 0).then(|| started.saturating_mul(1_000_000)),
    })
}

/// Parses the body of a response of discovery.
///
/// # Errors
///
/// Fails if the body is not valid JSON or a field is invalid.
pub fn read(body: &[u8]) -> Result<EndpointList, EndpointListError> {
    let list: Value = serde_json::from_slice(body)?;
    // Operators' documentation calls the list a roster.
    Ok(read_section(&Section::of("roster", &list)?)?)
}
