//! Discovery: parses the platform's list of servers page by page, and says how often it is read.

use std::net::{Ipv4Addr, SocketAddrV4};

use derive_more::{Display, Error};
use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::ServerEntry;
use serde_json::Value;

/// Pause after the list was read, in milliseconds.
pub const POLL_INTERVAL_MS: Milliseconds = 1_000;
/// Pause after a failed reading, in milliseconds.
pub const RETRY_INTERVAL_MS: Milliseconds = 500;
/// A request to the platform that takes longer than this, in milliseconds, is abandoned.
pub const REQUEST_TIMEOUT_MS: Milliseconds = 1_500;
/// Maximum number of pages of one list, as a guard against lists whose pages never end.
const MAX_PAGES: usize = 1_000;

/// The reason why a page of the list cannot be used. The list is read again then.
#[derive(Debug, PartialEq, Eq, Display, Error)]
pub enum ListError {
    /// The body is not JSON.
    #[display("the platform's list is not JSON: read it again")]
    NotJson,
    /// The body has no array of instances.
    #[display("the platform's list has no instances: read it again")]
    NoInstances,
    /// An instance lacks a required field.
    #[display("instances[{index}].{key} of the platform's list is missing or malformed: read it again")]
    Malformed {
        /// Index of the instance on its page.
        index: usize,
        /// Name of the missing or malformed field.
        key: &'static str,
    },
    /// The list has too many pages.
    #[display("the platform's list has over {MAX_PAGES} pages: read it again")]
    TooLong,
}

/// Reads one list of servers page by page.
#[derive(Default, Debug)]
pub struct ListReader {
    servers: Vec<ServerEntry>,
    pages: usize,
}

/// What follows a page of the list.
#[derive(Debug, PartialEq)]
pub enum PageOutcome {
    /// Another page follows.
    NextPage {
        /// Token with which the next page is requested.
        token: String,
    },
    /// The page was the last one; contains all servers of the list.
    Complete(Vec<ServerEntry>),
}

impl ListReader {
    /// Adds the next page.
    ///
    /// # Errors
    ///
    /// Returns an error if the page cannot be used; the list then has to be read again from its first page.
    pub fn add_page(&mut self, body: &[u8]) -> Result<PageOutcome, ListError> {
        let page: Value = serde_json::from_slice(body).map_err(|_| ListError::NotJson)?;
        let instances = page.get("instances").and_then(Value::as_array).ok_or(ListError::NoInstances)?;
        for (index, entry) in instances.iter().enumerate() {
            self.servers.push(server(index, entry)?);
        }
        self.pages += 1;
        match page.get("next-token").and_then(Value::as_str) {
            Some(_) if self.pages >= MAX_PAGES => Err(ListError::TooLong),
            Some(token) => Ok(PageOutcome::NextPage { token: token.to_owned() }),
            None => Ok(PageOutcome::Complete(std::mem::take(&mut self.servers))),
        }
    }
}

fn server(index: usize, entry: &Value) -> Result<ServerEntry, ListError> {
    let text =
        |key: &'static str| entry.get(key).and_then(Value::as_str).ok_or(ListError::Malformed { index, key });
    let address: SocketAddrV4 =
        text("address")?.parse().map_err(|_| ListError::Malformed { index, key: "address" })?;
    let slots = entry.get("slots").and_then(Value::as_u64);
    Ok(ServerEntry {
        instance: text("instance-id")?.to_owned(),
        service: text("service")?.to_owned(),
        address: node_address(address),
        zone: entry.get("zone").and_then(Value::as_str).unwrap_or_default().to_owned(),
        slots: slots.map_or(1, |slots| slots.try_into().unwrap_or(u32::MAX)),
        draining: entry.get("state").and_then(Value::as_str) != Some("available"),
        models: models(entry),
    })
}

fn models(entry: &Value) -> Vec<(String, u64)> {
    let model = |model: &Value| {
        let name = model.get("name")?.as_str()?.to_owned();
        Some((name, model.get("config-version").and_then(Value::as_u64).unwrap_or(1)))
    };
    let models = entry.get("models").and_then(Value::as_array);
    models.map_or(Vec::new(), |models| models.iter().filter_map(model).collect())
}

fn node_address(address: SocketAddrV4) -> NodeAddress {
    let ip: Ipv4Addr = *address.ip();
    NodeAddress::new(ip, address.port())
}
