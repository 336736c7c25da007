//! Parsing of the numbered lists of index servers.

use orchidvalve_aggregator_settings::Section;
use serde_json::Value;

use crate::AdapterError;

/// An index server in a numbered list.
pub struct ListedServer {
    pub name: String,
    pub cell: usize,
    pub serving: bool,
    pub started_at: Option<i64>,
}

/// Returns the servers of a `census` event.
pub fn servers(census: &Section) -> Result<Vec<ListedServer>, AdapterError> {
    let hosts = census.get("hosts").and_then(Value::as_array);
    let hosts = hosts.ok_or_else(|| AdapterError::field(census.error("hosts", "should be a list")))?;
    hosts.iter().map(server).collect()
}

/// Parses one server. The path in errors omits the server's position in the list: lists are long and frequent, and the
/// path would be formatted for each of them.
fn server(host: &Value) -> Result<ListedServer, AdapterError> {
    let host = Section::of("census.hosts", host).map_err(AdapterError::field)?;
    Ok(ListedServer {
        name: host.text("server").map_err(AdapterError::field)?.to_owned(),
        cell: host.or("position", 0, Section::index).map_err(AdapterError::field)?,
        serving: host.text("readiness").map_err(AdapterError::field)? == "SERVING",
        started_at: Some(host.or("launchedNs", 0, Section::integer).map_err(AdapterError::field)?)
            .filter(|&at| at != 0),
    })
}
