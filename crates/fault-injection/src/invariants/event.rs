//! The events that the invariant checker observes, and the violations that it reports.

use serde::Serialize;

use crate::Nanos;
use crate::store_model::Overload;

/// One observed event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client sent a query to a front node.
    QuerySent {
        /// Request id of the query.
        id: String,
        /// Index of the front node.
        front_node: usize,
        /// Index of the query's service class in the scenario.
        class: usize,
        /// Index of the query's tenant in the scenario; `None` if the scenario has no tenants.
        tenant: Option<usize>,
        /// The shards that the query reads.
        shards: Vec<usize>,
        /// The idempotency key of the query, if its service class has one.
        key: Option<String>,
        /// When the client stops waiting for the response.
        until: Nanos,
    },
    /// A client received the final response of a front node.
    Answered {
        /// Request id of the query.
        id: String,
        /// HTTP status of the response.
        status: u16,
        /// Whether the response is marked complete.
        complete: bool,
        /// The shards in the response, each with its value.
        parts: Vec<(usize, String)>,
    },
    /// A client's connection ended without a response.
    Unanswered {
        /// Request id of the query.
        id: String,
    },
    /// A store received an attempt.
    AttemptReceived {
        /// Request id of the query.
        id: String,
        /// The shard that the attempt reads.
        shard: usize,
        /// Name of the store.
        store: String,
        /// The idempotency key that the attempt carries.
        key: Option<String>,
    },
    /// A store served an attempt.
    Served {
        /// Request id of the query.
        id: String,
        /// The shard that the attempt reads.
        shard: usize,
        /// Name of the store.
        store: String,
        /// The value that the store served.
        value: String,
    },
    /// A store responded to an attempt with an error, after it may have executed the attempt.
    Failed {
        /// Request id of the query.
        id: String,
        /// The shard that the attempt reads.
        shard: usize,
        /// Name of the store.
        store: String,
    },
    /// A store rejected an attempt without executing it.
    Rejected {
        /// Request id of the query.
        id: String,
        /// The shard that the attempt reads.
        shard: usize,
        /// Name of the store.
        store: String,
    },
    /// A store received the cancellation of an attempt.
    Cancelled {
        /// Request id of the query.
        id: String,
        /// The shard that the attempt reads.
        shard: usize,
        /// Name of the store.
        store: String,
    },
    /// A store lost the connections that its attempts arrived on. Attempts in flight there may have been executed.
    ConnectionsLost {
        /// Name of the store.
        store: String,
    },
    /// Discovery published the state of a store to the front nodes.
    Listed {
        /// Name of the store.
        store: String,
        /// Whether the store is draining or gone, so that it must receive no new attempts.
        closed: bool,
        /// When the store's process started, if it is in use.
        started_at: Option<Nanos>,
    },
    /// Discovery stopped responding (`true`) or responds again (`false`).
    DiscoveryUnresponsive(bool),
    /// A store that is warming up was overloaded and failed.
    Overloaded {
        /// Name of the store.
        store: String,
        /// The number of shard requests in the window and its limit.
        overload: Overload,
    },
    /// A front node was killed.
    FrontNodeKilled {
        /// Index of the front node.
        front_node: usize,
    },
    /// A front node was restarted.
    FrontNodeStarted {
        /// Index of the front node.
        front_node: usize,
    },
}

/// A violation of one of the six rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Number of the violated rule, 1 to 6.
    pub rule: u8,
    /// Name of the violated rule.
    pub name: &'static str,
    /// Request id of the query, if the violation concerns one.
    #[serde(rename = "retrieval")]
    pub query: Option<String>,
    /// The shard, if the violation concerns one shard request.
    #[serde(rename = "part")]
    pub shard: Option<usize>,
    /// Name of the store, if the violation concerns one.
    pub store: Option<String>,
    /// When the violation was observed, in milliseconds since the run began.
    pub at_ms: i64,
    /// The events that show the violation, in words.
    pub proof: Vec<String>,
}
