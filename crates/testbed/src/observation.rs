//! What emulators saw on their sockets: the input of the invariant checker.
//!
//! Bodies are given by their [`digest`](crate::synthetic_text::digest).

use std::collections::BTreeMap;

use serde_json::Value;

use crate::credentials::Credentials;

/// An observation, and when it was made.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedObservation {
    /// Time in milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub observation: Observation,
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client sends an attempt.
    RequestSent {
        /// Id of the attempt.
        id: String,
        /// Address of the gateway it goes to.
        gateway: String,
        /// Value of `Host`.
        host: String,
        /// Its method.
        method: String,
        /// Path and query.
        target: String,
        /// Digest of its body.
        body: u64,
        /// It may be executed more than once.
        idempotent: bool,
        /// How the client identifies itself.
        credentials: Credentials,
    },
    /// A client got a whole response.
    RequestAnswered {
        /// Id of the attempt.
        id: String,
        /// Status of the response.
        status: u16,
        /// Signature of the server, if there is one.
        signature: Option<String>,
        /// Id in the response, if there is one.
        echoed_id: Option<String>,
        /// Digest of its body.
        body: u64,
    },
    /// A client got bytes that are no response, or more than its response.
    MalformedResponseReceived {
        /// Id of the attempt, or of the batch job that was read.
        id: String,
    },
    /// A client got no whole response.
    RequestUnanswered {
        /// Id of the attempt.
        id: String,
        /// The connection was lost; else it was refused, or nothing came in time.
        connection_lost: bool,
    },
    /// A server started as a new incarnation.
    ServerStarted {
        /// Id of the incarnation.
        server: String,
        /// The service that it belongs to.
        service: String,
    },
    /// A server began to execute a request.
    ExecutionStarted {
        /// Id of the incarnation.
        server: String,
        /// Number of the execution, different at all servers.
        execution: u64,
        /// Id of the request.
        id: String,
        /// Its method.
        method: String,
        /// Path and query.
        target: String,
        /// Digest of its body.
        body: u64,
        /// Event after which a stream goes on; 0 from the start.
        after_event: u64,
        /// Its `Tenant`; several fields are joined by commas (RFC 9110, section 5.3).
        tenant: Option<String>,
    },
    /// A request to a server, whatever its kind, has an `Authorization`. The value is a secret and isn't kept.
    AuthorizationReceived {
        /// Id of the incarnation.
        server: String,
        /// Id of the request; empty if it has none.
        id: String,
    },
    /// A server that had responded to a request before its whole body was in has read the rest.
    LateBodyReceived {
        /// Id of the request.
        id: String,
        /// Digest of the whole body.
        body: u64,
    },
    /// A server got bytes that are no request.
    MalformedRequestReceived {
        /// What is wrong with them.
        reason: String,
    },
    /// A server emitted an event of a stream.
    EventEmitted {
        /// Number of the execution.
        execution: u64,
        /// Id of the request.
        id: String,
        /// Number of the event, from 1.
        event: u64,
        /// Version of the weights under which it was generated.
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
        /// The server's signature.
        signature: String,
        /// Digest of the body.
        body: u64,
    },
    /// A server received an order to load weights.
    OrderReceived {
        /// Id of the incarnation.
        server: String,
        /// The leader that sent it.
        leader: String,
        /// Its fencing token.
        token: u64,
    },

    /// The platform received a call that is the duty of one node at a time.
    DutyCallReceived {
        /// The call.
        call: DutyCall,
        /// The platform took it.
        accepted: bool,
    },
    /// A server began to run a request for a tenant from its beginning.
    TenantRequestStarted {
        /// Id of the request.
        id: String,
        /// The tenant that the request names.
        tenant: String,
        /// It counts as begun with its first event only.
        is_stream: bool,
    },

    /// A trainer sends a batch job, for the first time or again.
    JobSent(JobSent),
    /// The sending of a batch job ended.
    JobAnswered {
        /// Id of the batch job.
        job: String,
        /// Status of the response; `None` if none came.
        status: Option<u16>,
    },
    /// Results of a batch job were read.
    JobRead {
        /// Id of the batch job.
        job: String,
        /// Items of the batch job, as the response states them.
        total: u64,
        /// Position behind which results were asked for.
        after: u64,
        /// Position behind the results.
        next: u64,
        /// The results, in order.
        results: Vec<ItemResult>,
    },
    /// A call for a batch job got 401 or 403.
    JobCallDenied {
        /// Id of the batch job.
        job: String,
        /// Status of the response.
        status: u16,
        /// How the trainer identified itself.
        credentials: Credentials,
        /// When the call was sent.
        sent_at: u64,
    },
    /// A reading of a batch job got 404 or 410.
    JobMissing {
        /// Id of the batch job.
        job: String,
        /// Status of the response.
        status: u16,
    },
    /// A trainer asks for the cancellation of a batch job.
    JobCancelSent {
        /// Id of the batch job.
        job: String,
    },
    /// The cancellation of a batch job was acknowledged.
    JobCancelled {
        /// Id of the batch job.
        job: String,
    },
    /// The body of an item without a result was read.
    ItemBody {
        /// Id of the batch job.
        job: String,
        /// Id of the item.
        item: String,
        /// Digest of the body; `None` for 404.
        body: Option<u64>,
    },
    /// At the end a batch job could not be read whole.
    JobUnreadable {
        /// Id of the batch job.
        job: String,
    },

    /// An operator sends a configuration or a change.
    ConfigurationSent {
        /// Number of the change among all; resends keep it.
        change: u64,
        /// Version that the change makes.
        version: u64,
        /// Version on top of which it is made.
        base: u64,
        /// The configuration with the change.
        document: Value,
        /// The system may accept it.
        valid: bool,
    },
    /// A change was answered.
    ConfigurationAnswered {
        /// Number of the change.
        change: u64,
        /// Status of the response; `None` if there was no conclusive one.
        status: Option<u16>,
    },
    /// A change was answered, and the answer was lost before the operator had it.
    ConfigurationResponseLost {
        /// Number of the change.
        change: u64,
        /// Status of the response.
        status: u16,
    },
    /// An operator read the version in force.
    ConfigurationObserved {
        /// When it asked for it.
        requested_at: u64,
        /// The version.
        version: u64,
    },
    /// The configuration was read back at the end.
    FinalConfigurationRead {
        /// The configuration; `None` if none came.
        document: Option<Value>,
    },

    /// A trainer names a version.
    VersionNamed {
        /// The model.
        model: String,
        /// Its new version.
        version: u64,
    },
    /// The system acknowledged a named version.
    VersionAcknowledged {
        /// The model.
        model: String,
        /// Its new version.
        version: u64,
    },

    /// A gateway was told to stop (SIGTERM).
    GatewayStopping {
        /// Its address.
        gateway: String,
    },
    /// The platform marks a server as draining.
    ServerDraining {
        /// Id of the incarnation.
        server: String,
    },
    /// Machines of the system were thawed, or a link of theirs has healed.
    MachinesThawed {
        /// Their names.
        machines: Vec<String>,
    },
    /// A disruption of the platform's interface begins or ends.
    PlatformDisrupted {
        /// It begins.
        begins: bool,
    },
    /// Something was done to the system's machines or their links, or they are slow: the control plane need not be
    /// stable.
    ControlPlaneDisturbed,
    /// A disruption begins or ends: for a while the system's machines need not be in contact.
    Disruption {
        /// What was done.
        description: String,
        /// It's planned work: a stop with notice, or a machine that is added.
        planned: bool,
    },
}

impl Observation {
    /// The machine that acted as the leader, if this shows one that did.
    pub fn leader(&self) -> Option<&str> {
        match self {
            Observation::OrderReceived { leader, .. } => Some(leader),
            Observation::DutyCallReceived { call, .. } => Some(&call.holder),
            _ => None,
        }
    }
}

/// A call of the platform's interface that is the duty of one node at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCall {
    /// The node that holds the duty, by its own words: the name of its machine.
    pub holder: String,
    /// Address of the machine that the call came from; empty if it isn't known.
    pub source: String,
    /// Its fencing token.
    pub token: u64,
    /// What it asks for.
    pub order: DutyOrder,
}

/// What a call asks the platform for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyOrder {
    /// It reports how many requests of each tenant began to run in a window.
    UsageReport {
        /// Number of the window.
        window: u64,
        /// Requests by tenant.
        counts: BTreeMap<String, u64>,
    },
    /// It orders how many servers a service has in a zone.
    Scaling {
        /// The service.
        service: String,
        /// The zone.
        zone: String,
        /// How many.
        desired_count: u64,
    },
}

/// A batch job as it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSent {
    /// Id of the batch job.
    pub job: String,
    /// Value of `Host` for its items.
    pub host: String,
    /// How its trainer identifies itself with this send; a later one may bring another key.
    pub credentials: Credentials,
    /// Oldest version under which items may be generated.
    pub min_version: u64,
    /// Each item may be generated under one version only.
    pub single_version: bool,
    /// Attempts that may fail before an item is given up.
    pub max_attempts: u64,
    /// Time after the first send at which items may be given up, in milliseconds.
    pub max_queue_ms: u64,
    /// Time after the first send at which its trainer gives it up, in milliseconds.
    pub deadline_ms: u64,
    /// Its items, in order.
    pub items: Vec<ItemSent>,
}

/// An item of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemSent {
    /// Id of the item and its request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Digest of the request's body.
    pub body: u64,
    /// Events of its whole text.
    pub events: u64,
    /// The call that scores it.
    pub reward: RewardSent,
}

/// The reward call of an item.
#[derive(Clone, Debug, PartialEq)]
pub struct RewardSent {
    /// Id of the request.
    pub id: String,
    /// Value of `Host`.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Digest of the request's body.
    pub body: u64,
}

/// The result of an item as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemResult {
    /// Id of the item.
    pub item: String,
    /// `completed` or `expired`.
    pub state: String,
    /// The text.
    pub message: String,
    /// Versions under which the text was generated.
    pub versions: Vec<u64>,
    /// Signature of the reward call's response.
    pub score: Option<String>,
}
