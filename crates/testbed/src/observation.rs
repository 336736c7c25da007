//! Events that the emulators observe on their sockets: the input of the invariant checker.
//!
//! A body is represented by its [`digest`](crate::synthetic_text::digest).

use std::collections::BTreeMap;

use serde_json::Value;

use crate::credentials::Credentials;

/// An observation with the time at which it was made.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedObservation {
    /// Time since the start of the host's clock, in milliseconds.
    pub at_ms: u64,
    /// The observed event.
    pub observation: Observation,
}

/// An event at an emulator, or a step of the scenario that the checks must know about.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client sends an attempt.
    RequestSent {
        /// Id of the attempt.
        id: String,
        /// Address of the gateway that receives the attempt.
        gateway: String,
        /// Value of the `Host` header.
        host: String,
        /// HTTP method.
        method: String,
        /// Path and query.
        target: String,
        /// Digest of the request body.
        body: u64,
        /// Whether the request may be executed more than once.
        idempotent: bool,
        /// The credentials that the client sends.
        credentials: Credentials,
    },
    /// A client received a complete response.
    ResponseReceived {
        /// Id of the attempt.
        id: String,
        /// Status of the response.
        status: u16,
        /// The server's signature; `None` if the response has none.
        signature: Option<String>,
        /// Request id that the response repeats; `None` if the response has none.
        echoed_id: Option<String>,
        /// Digest of the response body.
        body: u64,
    },
    /// A client received bytes that are not a valid response, or bytes after the end of its response.
    MalformedResponseReceived {
        /// Id of the attempt, or of the batch job whose results were read.
        id: String,
    },
    /// A client received no complete response.
    RequestFailed {
        /// Id of the attempt.
        id: String,
        /// Whether the connection was lost; otherwise it was refused, or the attempt timed out.
        connection_lost: bool,
    },
    /// A server started as a new incarnation.
    ServerStarted {
        /// Id of the incarnation.
        server: String,
        /// The service that the server belongs to.
        service: String,
    },
    /// A server began to execute a request.
    ExecutionStarted {
        /// Id of the incarnation.
        server: String,
        /// Number of the execution, unique among all servers.
        execution: u64,
        /// Id of the request.
        id: String,
        /// HTTP method.
        method: String,
        /// Path and query.
        target: String,
        /// Digest of the request body.
        body: u64,
        /// The event after which a resumed stream continues; 0 for a stream from its beginning.
        after_event: u64,
        /// Value of the `Tenant` header; several fields are joined by commas (RFC 9110, section 5.3).
        tenant: Option<String>,
    },
    /// A server received a request of any kind with an `Authorization` header. Its value is a secret and is not
    /// recorded.
    AuthorizationReceived {
        /// Id of the incarnation.
        server: String,
        /// Id of the request; empty if the request has none.
        id: String,
    },
    /// A server that responded before it had received the complete request body has read the rest of the body.
    RemainingBodyReceived {
        /// Id of the request.
        id: String,
        /// Digest of the complete body.
        body: u64,
    },
    /// A server received bytes that are not a valid request.
    MalformedRequestReceived {
        /// What is wrong with the bytes.
        reason: String,
    },
    /// A server emitted an event of a stream.
    EventEmitted {
        /// Number of the execution.
        execution: u64,
        /// Id of the request.
        id: String,
        /// Number of the event in its stream, from 1.
        event: u64,
        /// Version of the weights that generated the event.
        version: u64,
    },
    /// A server responded to a request that it executed.
    ResponseSent {
        /// Number of the execution.
        execution: u64,
        /// Id of the request.
        id: String,
        /// Status of the response.
        status: u16,
        /// Signature of the server.
        signature: String,
        /// Digest of the response body.
        body: u64,
    },
    /// A server received an order of the leader to load weights.
    OrderReceived {
        /// Id of the incarnation.
        server: String,
        /// The leader that sent the order.
        leader: String,
        /// The fencing token of the order.
        token: u64,
    },

    /// The platform received a call that only the leader of a singleton role may make.
    PlatformCallReceived {
        /// The received call.
        call: PlatformCall,
        /// Whether the platform accepted the call.
        accepted: bool,
    },
    /// A server began to run a tenant's request from the beginning.
    TenantRequestStarted {
        /// Id of the request.
        id: String,
        /// The tenant that the request names.
        tenant: String,
        /// Whether the request is a stream, which counts as started only with its first event.
        is_stream: bool,
    },

    /// A trainer submits a batch job, for the first time or again.
    JobSent(JobSent),
    /// A submission of a batch job ended, with or without a response.
    JobSendEnded {
        /// Id of the batch job.
        job: String,
        /// Status of the response; `None` if no response was received.
        status: Option<u16>,
    },
    /// A trainer read a page of results of a batch job.
    ResultsRead {
        /// Id of the batch job.
        job: String,
        /// Number of items in the batch job, as the response states it.
        total: u64,
        /// Number of results before the requested page.
        after: u64,
        /// Number of results up to the end of the page.
        next: u64,
        /// The results of the page, in order.
        results: Vec<ItemResult>,
    },
    /// A call for a batch job received status 401 or 403.
    JobCallDenied {
        /// Id of the batch job.
        job: String,
        /// Status of the response.
        status: u16,
        /// The credentials that the trainer sent.
        credentials: Credentials,
        /// Time at which the call was sent, in milliseconds.
        sent_at: u64,
    },
    /// A request for the results of a batch job received status 404 or 410.
    JobMissing {
        /// Id of the batch job.
        job: String,
        /// Status of the response.
        status: u16,
    },
    /// A trainer requests the cancellation of a batch job.
    JobCancelSent {
        /// Id of the batch job.
        job: String,
    },
    /// The system acknowledged the cancellation of a batch job.
    JobCancelled {
        /// Id of the batch job.
        job: String,
    },
    /// A trainer read the request body of an item that has no result.
    ItemBody {
        /// Id of the batch job.
        job: String,
        /// Id of the item.
        item: String,
        /// Digest of the body; `None` if the status was 404.
        body: Option<u64>,
    },
    /// The results of a batch job could not be read completely at the end of the scenario.
    JobUnreadable {
        /// Id of the batch job.
        job: String,
    },

    /// An operator sends a configuration or a change to one.
    ConfigurationSent {
        /// Number of the change among all changes; a retry keeps the number.
        change: u64,
        /// Version that the change creates.
        version: u64,
        /// Version that the change is based on.
        base: u64,
        /// The complete configuration with the change.
        document: Value,
        /// Whether the configuration is valid, so that the system may accept it.
        valid: bool,
    },
    /// A send of a configuration change ended, with or without a conclusive response.
    ConfigurationSendEnded {
        /// Number of the change.
        change: u64,
        /// Status of the response; `None` if there was no conclusive response.
        status: Option<u16>,
    },
    /// The system responded to a configuration change, but the response was lost before the operator received it.
    ConfigurationResponseLost {
        /// Number of the change.
        change: u64,
        /// Status of the response.
        status: u16,
    },
    /// An operator read the version of the active configuration.
    ConfigurationObserved {
        /// Time at which the read was requested, in milliseconds.
        requested_at: u64,
        /// The version in the response.
        version: u64,
    },
    /// The configuration was read back at the end of the scenario.
    FinalConfigurationRead {
        /// The configuration; `None` if it could not be read.
        document: Option<Value>,
    },

    /// A trainer announces a new version of a model's weights.
    VersionAnnounced {
        /// The model.
        model: String,
        /// The new version.
        version: u64,
    },
    /// The system acknowledged a new version of a model's weights.
    VersionAcknowledged {
        /// The model.
        model: String,
        /// The new version.
        version: u64,
    },

    /// A gateway was ordered to stop (SIGTERM).
    GatewayStopping {
        /// Address of the gateway.
        gateway: String,
    },
    /// The platform marks a server as draining.
    ServerDraining {
        /// Id of the incarnation.
        server: String,
    },
    /// The processes of some machines were resumed after a pause, or a link of the machines was restored.
    MachinesResumed {
        /// Names of the machines.
        machines: Vec<String>,
    },
    /// A disruption of the platform's API begins or ends.
    PlatformDisrupted {
        /// Whether the disruption begins; otherwise it ends.
        begins: bool,
    },
    /// A fault or a change affects the system's machines or their links, or they are slow. The control plane need not
    /// be stable.
    ControlPlaneDisturbed,
    /// A disruption begins or ends: for a while the system's machines need not reach each other.
    Disruption {
        /// What was done.
        description: String,
        /// Whether the disruption is planned work: an announced stop, or an added machine.
        planned: bool,
    },
}

impl Observation {
    /// The machine that acted as leader in this observation; `None` if the observation shows no act of a leader.
    pub fn leader(&self) -> Option<&str> {
        match self {
            Observation::OrderReceived { leader, .. } => Some(leader),
            Observation::PlatformCallReceived { call, .. } => Some(&call.leader),
            _ => None,
        }
    }
}

/// A call to the platform's API that only the leader of a singleton role may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformCall {
    /// Name of the leader's machine, as the call states it.
    pub leader: String,
    /// Address of the machine that the call came from; empty if it is unknown.
    pub source: String,
    /// The fencing token of the call.
    pub token: u64,
    /// The order that the call carries.
    pub order: PlatformOrder,
}

/// An order to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformOrder {
    /// Reports the number of requests of each tenant that started in a usage window.
    UsageReport {
        /// Number of the usage window since the start of 1970.
        window: u64,
        /// Number of started requests by tenant.
        counts: BTreeMap<String, u64>,
    },
    /// Sets the desired count of servers of a service in a zone.
    Scaling {
        /// The service.
        service: String,
        /// The zone.
        zone: String,
        /// The desired count of servers.
        desired_count: u64,
    },
}

/// A batch job as the trainer sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSent {
    /// Id of the batch job.
    pub job: String,
    /// Value of the `Host` header of the items' requests.
    pub host: String,
    /// The credentials of this submission; a retry may use another API key.
    pub credentials: Credentials,
    /// Oldest version of the weights that may generate items.
    pub min_version: u64,
    /// Whether all events of an item must be generated by a single version.
    pub single_version: bool,
    /// Number of failed attempts after which an item may expire.
    pub max_attempts: u64,
    /// Time after the first submission at which items may expire, in milliseconds.
    pub max_queue_ms: u64,
    /// Time after the first submission at which the trainer abandons the batch job, in milliseconds.
    pub deadline_ms: u64,
    /// The items of the batch job, in order.
    pub items: Vec<ItemSent>,
}

/// An item of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemSent {
    /// Id of the item and of its request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Digest of the request's body.
    pub body: u64,
    /// Number of events in the complete text.
    pub events: u64,
    /// The reward call that scores the item's text.
    pub reward: RewardSent,
}

/// The reward call of an item.
#[derive(Clone, Debug, PartialEq)]
pub struct RewardSent {
    /// Id of the reward request.
    pub id: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Digest of the request's body.
    pub body: u64,
}

/// The result of an item as it was read by a trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemResult {
    /// Id of the item.
    pub item: String,
    /// `completed` or `expired`.
    pub state: String,
    /// The generated text.
    pub message: String,
    /// Versions under which the text was generated.
    pub versions: Vec<u64>,
    /// Signature of the response to the reward call.
    pub score: Option<String>,
}
