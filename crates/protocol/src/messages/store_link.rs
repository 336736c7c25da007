//! Links of gateways to store nodes: requests of clients for batch jobs, and generations that are dispatched.

use musli::{Decode, Encode};

use super::Handshake;

/// A request to the scorer, with the text that an item gave; it yields the item's reward.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ScorerRequest {
    /// Id of the request, sent as `Attempt-Id`.
    pub id: String,
    /// Host of its route.
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
    /// Id of the item, sent as `Attempt-Id`.
    pub id: String,
    /// Path that the request is sent to.
    pub path: String,
    /// Names and values of the request's headers.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[musli(bytes)]
    pub body: Vec<u8>,
    /// Tokens of the prompt and the most out together.
    pub token_usage: u32,
    /// The request that scores the text, if there is one.
    pub scorer: Option<ScorerRequest>,
}

/// A group of generations that is dispatched to a gateway.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AssignedGroup {
    /// Index of the group in its job; lower ones go first.
    pub index: u32,
    /// Its items that have no committed result.
    pub items: Vec<AssignedItem>,
}

/// The job that dispatched groups belong to: what their generations have in common.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct AssignedJob {
    /// Partition of the store that keeps the job.
    pub partition: u16,
    /// Epoch of the partition's view under which the groups are dispatched.
    pub epoch: u64,
    /// Id of the job.
    pub job: String,
    /// Host of the route by which the job was submitted; the route gives service and limits.
    pub hostname: String,
    /// Path prefix of that route.
    pub path: String,
    /// Model that makes the tokens.
    pub model: Option<String>,
    /// Oldest version of the weights that may make the tokens; 0 allows all.
    pub min_weights_version: u64,
    /// Milliseconds since the job was first received, at the time of sending.
    pub age_ms: u64,
    /// Tenant that submitted the job; servers are told it. None where the configuration had no tenants then.
    pub tenant: Option<String>,
}

/// How an item ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Encode, Decode)]
pub enum ItemState {
    /// The whole text is there, and its score.
    Completed,
    /// It was given up at its deadline.
    Expired,
}

impl ItemState {
    /// The word that stands for the state in responses to clients.
    pub fn as_str(self) -> &'static str {
        match self {
            ItemState::Completed => "completed",
            ItemState::Expired => "expired",
        }
    }
}

/// Outcome of one generation, as the trainer reads it once it is committed.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct ItemOutcome {
    /// Id of the item.
    pub item: String,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events in order, joined by line feeds; compressed by the gateway, empty where there is no text.
    #[musli(bytes)]
    pub message: Vec<u8>,
    /// Versions of the weights that made an event of the text, in rising order.
    pub weight_versions: Vec<u64>,
    /// Signature of the scorer's response (`Server-Signature`), if the text was scored.
    pub score: Option<String>,
}

/// How often servers answered an item with status 500.
#[derive(Clone, PartialEq, Eq, Debug, Encode, Decode)]
pub struct ItemFailures {
    /// Id of the item.
    pub item: String,
    /// Number of these responses, at all gateways that ran it.
    pub count: u32,
}

/// From a gateway to a store node.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum GatewayMessage {
    /// The first message: who is calling.
    Handshake(Handshake),
    /// The gateway is alive.
    Heartbeat {
        /// Generations that the gateway can have in flight or queued.
        generation_capacity: u32,
    },
    /// A client submits a batch job.
    SubmitJob {
        /// Number of this request on the link; it comes back in the response.
        request_id: u64,
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// The encoded job document (`orchidvalve-batch`).
        job: Vec<u8>,
        /// When the gateway received it, in milliseconds since 1970.
        received_at_ms: u64,
    },
    /// A client reads results of a job.
    ReadResults {
        /// Number of this request on the link.
        request_id: u64,
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// Position in the list of results behind which to begin.
        after: u64,
        /// Longest wait for a further result, in milliseconds.
        wait_ms: u32,
        /// Tenant whose key the call carries; None where it needs none.
        tenant: Option<String>,
    },
    /// A client reads the body of an item.
    ReadItemBody {
        /// Number of this request on the link.
        request_id: u64,
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// Id of the item.
        item: String,
        /// Tenant whose key the call carries; None where it needs none.
        tenant: Option<String>,
    },
    /// A client ends a job: nothing of it runs from then on.
    EndJob {
        /// Number of this request on the link.
        request_id: u64,
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        id: String,
        /// Tenant whose key the call carries; None where it needs none.
        tenant: Option<String>,
    },
    /// Outcomes of generations that were dispatched to this gateway. They are sent again until
    /// [`StoreMessage::AcknowledgeOutcomes`].
    ReportOutcomes {
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// The outcomes.
        outcomes: Vec<ItemOutcome>,
    },
    /// Groups that this gateway gives back unfinished.
    ReturnGroups {
        /// Partition that keeps the job.
        partition: u16,
        /// Epoch under which they were dispatched.
        epoch: u64,
        /// Id of the job.
        job: String,
        /// Indices of the groups in the job.
        groups: Vec<u32>,
    },
    /// Items that servers answered with 500, so that the next gateway knows if their group moves. Not acknowledged.
    ReportFailures {
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// The items, with all failures known to the gateway.
        failures: Vec<ItemFailures>,
    },
}

/// From a store node to a gateway.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum StoreMessage {
    /// The store node is alive.
    Heartbeat,
    /// Response to a request of the gateway.
    Response {
        /// Number of the request on this link.
        request_id: u64,
        /// What came of it.
        response: StoreResponse,
    },
    /// Groups that this gateway is to run.
    AssignGroups {
        /// The job that they belong to.
        job: AssignedJob,
        /// The groups.
        groups: Vec<AssignedGroup>,
    },
    /// The job has ended: nothing of it may be sent any more.
    CancelJob {
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        job: String,
    },
    /// These outcomes are committed or not wanted any more.
    AcknowledgeOutcomes {
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// Ids of the items.
        items: Vec<String>,
    },
    /// Follows groups that were assigned: failures that some of their items had at other gateways.
    KnownFailures {
        /// Partition that keeps the job.
        partition: u16,
        /// Id of the job.
        job: String,
        /// The items.
        failures: Vec<ItemFailures>,
    },
}

/// Response to a request of a gateway.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum StoreResponse {
    /// The job is committed: it is kept from now on.
    Accepted,
    /// The job was not taken and never will be by this request.
    Rejected {
        /// When the client may try again, in milliseconds from now.
        retry_after_ms: u32,
    },
    /// It is not known whether the job was taken.
    OutcomeUnknown,
    /// There is no such job or item.
    NotFound,
    /// This store node can't be sure; the request may be tried at another member of the partition or later.
    Unavailable,
    /// Results from the position that was asked for.
    Results {
        /// Items of the job.
        total: u32,
        /// Position behind the last of these results.
        next: u64,
        /// The results.
        outcomes: Vec<ItemOutcome>,
    },
    /// Body of an item.
    Body(#[musli(bytes)] Vec<u8>),
    /// The job is ended.
    Ended,
    /// The job belongs to another tenant than the caller.
    OtherTenant,
}
