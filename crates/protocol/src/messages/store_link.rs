//! Links of gateways to store nodes: clients' requests about batch jobs, and dispatched generations.

use musli::{Decode, Encode};

use super::Handshake;

/// A request to the scorer with the text that an item generated; its response is the item's score.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ScorerRequest {
    /// Id of the request, sent in the header `Attempt-Id`.
    pub id: String,
    /// Host name of the scorer's route.
    pub hostname: String,
    /// Path that the request is sent to.
    pub path: String,
    /// Body of the request.
    #[musli(bytes)]
    pub body: Vec<u8>,
}

/// One generation of a group.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AssignedItem {
    /// Id of the item, sent in the header `Attempt-Id`.
    pub id: String,
    /// Path that the request is sent to.
    pub path: String,
    /// Names and values of the request headers.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[musli(bytes)]
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum number of tokens to generate.
    pub token_usage: u32,
    /// The request that scores the text, if the item is scored.
    pub scorer: Option<ScorerRequest>,
}

/// A group of generations that is dispatched to a gateway.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AssignedGroup {
    /// Index of the group in its job; groups with lower indices are started first.
    pub index: u32,
    /// The items of the group that have no committed result.
    pub items: Vec<AssignedItem>,
}

/// The job of dispatched groups: the properties that its generations have in common.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AssignedJob {
    /// Store partition that holds the job.
    pub partition: u16,
    /// Epoch of the partition's view under which the groups are dispatched.
    pub epoch: u64,
    /// Id of the job.
    pub job: String,
    /// Host name of the route through which the job was submitted; the route determines service and limits.
    pub hostname: String,
    /// Path prefix of that route.
    pub path: String,
    /// Model that generates the tokens.
    pub model: Option<String>,
    /// Oldest permitted version of the weights; 0 permits every version.
    pub min_weights_version: u64,
    /// Time since the job was first received, in milliseconds at the time of sending.
    pub age_ms: u64,
    /// Tenant that submitted the job, reported to the servers. `None` if the configuration had no tenants at that time.
    pub tenant: Option<String>,
}

/// The final state of an item.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Encode, Decode)]
pub enum ItemState {
    /// The complete text was generated and, if required, scored.
    Completed,
    /// The item was not completed by its deadline.
    Expired,
}

impl ItemState {
    /// Returns the name of the state in responses to clients.
    pub fn as_str(self) -> &'static str {
        match self {
            ItemState::Completed => "completed",
            ItemState::Expired => "expired",
        }
    }
}

/// Outcome of one generation, returned to the client once it is committed.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ItemOutcome {
    /// Id of the item.
    pub item: String,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events in order, joined by line feeds, compressed by the gateway; empty if there is no text.
    #[musli(bytes)]
    pub message: Vec<u8>,
    /// Versions of the weights that generated the events of the text, in ascending order.
    pub weight_versions: Vec<u64>,
    /// Signature in the scorer's response (`Server-Signature`), if the text was scored.
    pub score: Option<String>,
}

/// The number of responses with status 500 that an item has received from servers.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct ItemFailures {
    /// Id of the item.
    pub item: String,
    /// The number of these responses, at all gateways that ran the item.
    pub count: u32,
}

/// Message from a gateway to a store node.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum GatewayMessage {
    /// The first message: identifies the caller.
    Handshake(Handshake),
    /// Sent regularly to show that the gateway is alive.
    Heartbeat {
        /// The number of generations that the gateway can have in flight or queued.
        generation_capacity: u32,
    },
    /// A client submits a batch job.
    SubmitJob {
        /// Number of this request on the link; the response carries it, too.
        request_id: u64,
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// The encoded job document (`orchidvalve-batch`).
        job: Vec<u8>,
        /// When the gateway received the job, in milliseconds since 1970-01-01.
        received_at_ms: u64,
    },
    /// A client reads results of a job.
    ReadResults {
        /// Number of this request on the link.
        request_id: u64,
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// Position in the list of results after which to start.
        after: u64,
        /// The maximum time to wait for further results, in milliseconds.
        wait_ms: u32,
        /// Tenant of the API key in the client's request; `None` if no key is required.
        tenant: Option<String>,
    },
    /// A client reads the body of an item.
    ReadItemBody {
        /// Number of this request on the link.
        request_id: u64,
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// Id of the item.
        item: String,
        /// Tenant of the API key in the client's request; `None` if no key is required.
        tenant: Option<String>,
    },
    /// A client ends a job: none of its items run from then on.
    EndJob {
        /// Number of this request on the link.
        request_id: u64,
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// Tenant of the API key in the client's request; `None` if no key is required.
        tenant: Option<String>,
    },
    /// Outcomes of generations that were dispatched to this gateway. They are sent repeatedly until
    /// [`StoreMessage::AcknowledgeOutcomes`] is received.
    ReportOutcomes {
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// Unfinished groups that this gateway returns.
    ReturnGroups {
        /// Store partition that holds the job.
        partition: u16,
        /// Epoch of the partition's view under which the groups were dispatched.
        epoch: u64,
        /// Id of the job.
        job: String,
        /// Indices of the groups in the job.
        groups: Vec<u32>,
    },
    /// Items to which servers responded with status 500, so that the next gateway knows them if the group moves. Not
    /// acknowledged.
    ReportFailures {
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// The items, each with all failures known to the gateway.
        failures: Vec<ItemFailures>,
    },
}

/// Message from a store node to a gateway.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum StoreMessage {
    /// Sent regularly to show that the store node is alive.
    Heartbeat,
    /// Response to a request of the gateway.
    Response {
        /// Number of the request on this link.
        request_id: u64,
        /// The result of the request.
        response: StoreResponse,
    },
    /// Groups that are dispatched to this gateway.
    AssignGroups {
        /// The job of the groups.
        job: AssignedJob,
        /// The groups.
        groups: Vec<AssignedGroup>,
    },
    /// The job has ended: none of its requests may be sent any more.
    CancelJob {
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        job: String,
    },
    /// These outcomes are committed or no longer needed.
    AcknowledgeOutcomes {
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// Ids of the items.
        items: Vec<String>,
    },
    /// Follows `AssignGroups`: failures that some items of the groups had at other gateways.
    KnownFailures {
        /// Store partition that holds the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// The items with failures.
        failures: Vec<ItemFailures>,
    },
}

/// Response of a store node to a request of a gateway.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum StoreResponse {
    /// The job is committed and therefore stored.
    Accepted,
    /// The job was rejected, and this request will not cause it to be accepted later.
    Rejected {
        /// Delay after which the client may retry, in milliseconds.
        retry_after_ms: u32,
    },
    /// It is unknown whether the job was accepted.
    OutcomeUnknown,
    /// The job or the item does not exist.
    NotFound,
    /// This store node cannot guarantee a correct response. Another member of the partition may, or this one later.
    Unavailable,
    /// Results after the requested position.
    Results {
        /// The number of items in the job.
        total: u32,
        /// Position after the last of these results.
        next: u64,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// Body of an item.
    Body(#[musli(bytes)] Vec<u8>),
    /// The job has ended.
    Ended,
    /// The job belongs to a tenant other than the caller's.
    OtherTenant,
}
