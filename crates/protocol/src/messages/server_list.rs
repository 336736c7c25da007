//! The servers that the platform's list shows, and how changes of the table of them are spread.

use musli::{Decode, Encode};

use crate::identity::NodeAddress;

/// Version of a table that the leader of one role writes: first by the leader's term, then by number. A term is new
/// for every start of a leader, so a number is never used twice under one term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug, Encode, Decode)]
pub struct TableVersion {
    /// Term of the leader that wrote the table.
    pub term: u64,
    /// Number of the table within the term, from 1; 0 before the first one.
    pub number: u64,
}

/// A server as the platform's list shows it.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServerEntry {
    /// The platform's id of the server; unique in a list.
    pub instance: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Where the server takes requests.
    pub address: NodeAddress,
    /// Zone that the server stands in.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// It is being shut down: nothing new is given to it.
    pub draining: bool,
    /// Models it holds and the version of their weights.
    pub models: Vec<(String, u64)>,
}

/// Another version of the weights of one model at one server. While weights are rolled out nearly all changes are of
/// this kind, and a whole entry takes some ten times as many bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
#[musli(packed)]
pub struct ModelVersionChange {
    /// Index of the server in the order of instance ids.
    pub server: u32,
    /// Index of the model in the server's entry.
    pub model: u32,
    /// The version of its weights from now on.
    pub version: u64,
}

/// A new version of the server table, in whole or as the difference from an earlier one.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ServerTableUpdate {
    /// The whole table.
    Snapshot {
        /// Version of the table.
        version: TableVersion,
        /// All servers of it.
        servers: Vec<ServerEntry>,
    },
    /// What changed since one earlier version.
    Delta {
        /// Version that the difference applies to.
        from: TableVersion,
        /// Version that it leads to.
        version: TableVersion,
        /// Servers that are new or differ otherwise than in `versions`.
        changed: Vec<ServerEntry>,
        /// Instances that are gone.
        removed: Vec<String>,
        /// Servers at which nothing but versions of weights differ. Their indices are those in the table that the
        /// difference applies to, in ascending order.
        versions: Vec<ModelVersionChange>,
    },
}
