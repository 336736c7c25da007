//! The servers in the platform's list, and the updates that distribute the table of them.

use musli::{Decode, Encode};

use crate::identity::NodeAddress;

/// Version of a table that the leader of one role writes, ordered by the leader's term, then by number. Every start of
/// a leader has a new term, so a number is never used twice under one term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug, Encode, Decode)]
pub struct TableVersion {
    /// Term of the leader that wrote the table.
    pub term: u64,
    /// Number of the table within the term, from 1; 0 before the first one.
    pub number: u64,
}

/// A server in the platform's list.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ServerEntry {
    /// The platform's id of the server; unique in a list.
    pub instance: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address at which the server accepts requests.
    pub address: NodeAddress,
    /// Zone in which the server is located.
    pub zone: String,
    /// Number of requests that the server processes at a time.
    pub slots: u32,
    /// Set while the server is being shut down: it receives no new requests.
    pub draining: bool,
    /// Names of the models that the server holds, each with the version of its weights.
    pub models: Vec<(String, u64)>,
}

/// A new version of the weights of one model on one server. During a weight roll-out nearly all changes are of this
/// kind, and a complete entry takes some ten times as many bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
#[musli(packed)]
pub struct ModelVersionChange {
    /// Index of the server, ordered by instance id.
    pub server: u32,
    /// Index of the model in the server's entry.
    pub model: u32,
    /// The new version of the weights.
    pub version: u64,
}

/// A new version of the server table, complete or as the difference from an earlier version.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum ServerTableUpdate {
    /// The complete table.
    Snapshot {
        /// Version of the table.
        version: TableVersion,
        /// All servers in the table.
        servers: Vec<ServerEntry>,
    },
    /// The changes since one earlier version.
    Delta {
        /// Version that the delta applies to.
        from: TableVersion,
        /// Version that results.
        version: TableVersion,
        /// Servers that are new, or whose changes are more than those in `versions`.
        changed: Vec<ServerEntry>,
        /// Instance ids of servers that were removed.
        removed: Vec<String>,
        /// Servers on which only versions of weights differ. Indices refer to the table that the delta applies to and
        /// are in ascending order.
        versions: Vec<ModelVersionChange>,
    },
}
