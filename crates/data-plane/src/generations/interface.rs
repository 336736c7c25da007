//! What goes into the runner and what comes out of it.

use std::sync::Arc;

use compact_str::CompactString;

pub use crate::balancer::ServerKey;

/// One attempt of an item at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// One attempt of a reward call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RewardCallId(pub u64);

/// The group a report belongs to, as the store knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupId {
    /// The partition that keeps the batch job.
    pub partition: u16,
    /// The epoch under which the store assigned the group.
    pub epoch: u64,
    /// The batch job.
    pub job: CompactString,
    /// The group's place in the batch job, from 0.
    pub group: u32,
}

/// What is needed of the route of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteFacts {
    /// Names the route.
    pub id: CompactString,
    /// Goes into the `Host` header.
    pub host: CompactString,
    /// Whose servers run the items.
    pub service: CompactString,
    /// The time within which all results are due, in milliseconds.
    pub target_run_ms: u64,
    /// Responses of 500 after which an item expires.
    pub max_attempts: u32,
    /// All events of a text must be made under one version of the weights.
    pub single_version: bool,
}

/// A group of generations assigned to this gateway.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Where reports go.
    pub id: GroupId,
    /// The route of the batch job.
    pub route: Arc<RouteFacts>,
    /// The model, if the batch job names one.
    pub model: Option<CompactString>,
    /// The oldest version of the weights allowed to make its tokens; `None` if the batch job names none.
    pub min_weights_version: Option<u64>,
    /// When its results are due.
    pub due_at: u64,
    /// When its items expire.
    pub expires_at: u64,
    /// The items still without a result.
    pub items: Vec<Item>,
}

/// One item of a batch job.
#[derive(Clone, Debug)]
pub struct Item {
    /// The item's id, sent as `Attempt-Id`.
    pub id: CompactString,
    /// The path to post to.
    pub path: CompactString,
    /// Names and values of its headers.
    pub headers: Vec<(CompactString, CompactString)>,
    /// The decoded body.
    pub body: Arc<[u8]>,
    /// The sum of the prompt's tokens and the most out.
    pub token_usage: u64,
    /// The reward call, if it has one.
    pub scorer: Option<Scorer>,
}

/// The reward call of an item.
#[derive(Clone, Debug)]
pub struct Scorer {
    /// The call's id, sent as `Attempt-Id`.
    pub id: CompactString,
    /// Picks the route, with the path.
    pub hostname: CompactString,
    /// The path to post to.
    pub path: CompactString,
    /// The decoded body.
    pub body: Arc<[u8]>,
}

/// What is needed of the route of a reward call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RewardRoute {
    /// Whose servers take the call.
    pub service: CompactString,
    /// The time within which a response earns its full value, in milliseconds.
    pub target_latency_ms: u64,
    /// Responses of 500 after which the item may expire.
    pub max_attempts: u32,
}

/// Finds the routes of reward calls in the configuration in force.
pub trait Routes {
    /// The route of this host and path; `None` if there is none now. Where it is split among services, `random` draws
    /// one by their weights.
    fn reward_route(&self, hostname: &str, path: &str, random: u64) -> Option<RewardRoute>;
}

/// A model that a server serves, and the version of its weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: CompactString,
    /// Version of its weights.
    pub version: u64,
}

/// What the server table says of one server.
#[derive(Clone, Debug)]
pub struct ServerInfo {
    /// The server.
    pub key: ServerKey,
    /// Its service.
    pub service: CompactString,
    /// It is in this gateway's zone.
    pub same_zone: bool,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Requests that wait there, by its latest report.
    pub queued: u32,
    /// The most this gateway may have in flight there; `None` follows the gateway's share of the slots.
    pub limit: Option<u32>,
    /// Models it serves, with the versions of their weights.
    pub models: Vec<ModelVersion>,
    /// It is draining: nothing new is sent there.
    pub draining: bool,
}

/// How an attempt of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A 2xx that ended as its framing says.
    Complete,
    /// Another status.
    Status {
        /// The status.
        code: u16,
        /// The server said that it didn't run it.
        not_executed: bool,
        /// The server's `Retry-After`, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The version of the weights, if the response names it.
        version: Option<u64>,
    },
    /// The response broke off or is no response.
    Broken,
    /// No connection came up.
    ConnectFailed,
    /// No event came for too long.
    Stalled,
}

/// How a reward call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RewardOutcome {
    /// A complete response.
    Response {
        /// The status.
        code: u16,
        /// The server's signature, if the response has one.
        signature: Option<CompactString>,
        /// The server's `Retry-After`, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The response broke off, is no response or didn't come.
    Broken,
    /// No connection came up.
    ConnectFailed,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemResult {
    /// The text is complete and scored.
    Completed {
        /// The data of all its events in order, joined by line feeds.
        message: Vec<u8>,
        /// Every version that made an event of it, ascending.
        weight_versions: Vec<u64>,
        /// The signature of its reward call, if it has one.
        score: Option<CompactString>,
    },
    /// The item was given up at its deadline or after too many failures.
    Expired,
}

/// What the runner asks of the host.
#[derive(Clone, Debug)]
pub enum RunnerCommand {
    /// Post the item to the server.
    Attempt {
        /// Names the attempt in what follows.
        attempt: AttemptId,
        /// Where to.
        server: ServerKey,
        /// What to send.
        item: Arc<Item>,
        /// The route of its batch job.
        route: Arc<RouteFacts>,
        /// Goes into `Last-Event-Id`.
        last_event_id: Option<u64>,
        /// Goes into `Expect-Version`.
        expect_version: Option<u64>,
        /// The time left until the item expires, in milliseconds.
        deadline_ms: u64,
    },
    /// Drop the connection of this attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close idle connections to the server, which doesn't respond: on a new one it is soonest seen whether it is back.
    CloseIdleConnections {
        /// The server.
        server: ServerKey,
    },
    /// Post the item's reward call to the server.
    CallReward {
        /// Names the call in what follows.
        call: RewardCallId,
        /// Where to.
        server: ServerKey,
        /// The item whose scorer is called.
        item: Arc<Item>,
        /// Goes into `Deadline-Ms`.
        deadline_ms: u64,
    },
    /// Drop the connection of this call.
    CancelReward {
        /// The call.
        call: RewardCallId,
    },
    /// Report a result to the store.
    Report {
        /// Which group.
        group: GroupId,
        /// Which item.
        item: CompactString,
        /// Its result.
        result: ItemResult,
    },
}
