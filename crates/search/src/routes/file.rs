//! The TOML format of the operator's routes file. Field names are its keys.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::mapping::Mapping;

/// The root of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RoutesFile {
    #[serde(default)]
    pub index: BTreeMap<String, IndexEntry>,
    #[serde(default)]
    pub stores: Vec<StoreEntry>,
    #[serde(default)]
    pub pool: PoolSettings,
}

/// An index.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct IndexEntry {
    /// Service class of searches.
    #[serde(rename = "grade")]
    pub class: String,
    /// Service class of creations; if absent, the index accepts no documents.
    #[serde(rename = "create")]
    pub create_class: Option<String>,
    #[serde(rename = "slices")]
    pub shards: ShardsEntry,
    pub routing_shards: Option<u32>,
    pub weights: Option<Vec<f64>>,
    pub fields: Mapping,
}

/// The shards of an index.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum ShardsEntry {
    Word(String),
    List(Vec<usize>),
}

/// A rule that sets the protocol of index servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct StoreEntry {
    pub id: Option<String>,
    pub flavor: Option<String>,
    pub locality: Option<String>,
    #[serde(rename = "wire")]
    pub protocol: StoreProtocol,
}

/// The protocol that an index server speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum StoreProtocol {
    /// The project's own frame protocol.
    #[default]
    Frames,
    /// OpenSearch's API.
    Search,
}

/// Settings of the connection pool of an index server whose connections carry one exchange at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolSettings {
    /// The maximum number of open connections to one index server.
    pub connections: usize,
    /// The maximum number of shard requests that wait for a connection.
    pub waiting: usize,
    /// The maximum time that a shard request waits for a connection, in milliseconds.
    pub wait_ms: i64,
    /// The maximum number of connections closed per second because their shard request was cancelled. Responses beyond
    /// that are read to their end.
    pub closes_a_second: u32,
    /// The maximum time for reading the response of a cancelled shard request to its end, in milliseconds.
    pub read_out_ms: i64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings { connections: 16, waiting: 64, wait_ms: 250, closes_a_second: 20, read_out_ms: 500 }
    }
}
