//! Messages among control nodes.

use musli::{Decode, Encode};
use orchidvalve_chain_replication::Epoch;
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{GatewayList, Handshake, ServerTableUpdate, ServiceLoad, WindowUsage};

use crate::sessions::Session;

/// Number of a forwarded request at the node that forwarded it, unlike those of its earlier starts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
#[musli(transparent)]
pub struct ForwardNumber(pub u64);

/// A message from one control node to another. The link carries messages one way only: every control
/// node opens its own links to the others and sends on them.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum PeerMessage {
    /// First message on a link: who is sending.
    Handshake {
        /// The sender.
        handshake: Handshake,
    },
    /// Part of the agreement on views.
    Agreement(orchidvalve_consensus::Message),
    /// Part of the replication of the log.
    Chain(orchidvalve_chain_replication::Message),
    /// A request for the head of the chain, received by another control node.
    Forward {
        /// Number of the request at its sender.
        number: ForwardNumber,
        /// What is asked for.
        request: HeadRequest,
    },
    /// Outcome of a forwarded request.
    ForwardOutcome {
        /// Number of the request at the receiver.
        number: ForwardNumber,
        /// What became of it.
        outcome: RequestOutcome,
    },
    /// All local sessions of the sender.
    Sessions {
        /// In no particular order.
        sessions: Vec<Session>,
    },
    /// Update of the server table by its leader, or the whole table at the beginning of a link.
    Servers(ServerTableUpdate),
    /// The gateways that run generations, chosen by the leader.
    Workers(GatewayList),
    /// A learner of a partition has copied everything; for the head, which places partitions.
    LearnerCaughtUp {
        /// The partition.
        partition: u16,
        /// Epoch of its placement.
        epoch: Epoch,
        /// The learner, or a member that holds everything that was committed before.
        member: MemberId,
    },
    /// The local sessions of the sender are those of its last [`PeerMessage::Sessions`].
    SessionsUnchanged,
    /// Counts that a gateway has told the sender; for the head, which reports usage.
    Usage {
        /// Random number of the start of the gateway that counted.
        incarnation: u64,
        /// The counts since that start.
        windows: Vec<WindowUsage>,
    },
    /// Work that a process has told the sender; for the head, which scales services.
    Load {
        /// Random number of the start of the process.
        incarnation: u64,
        /// Its work by service.
        loads: Vec<ServiceLoad>,
    },
}

/// A request that only the head can decide.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum HeadRequest {
    /// A change of the control state.
    Change {
        /// The change, encoded.
        #[musli(bytes)]
        change: Vec<u8>,
    },
    /// A store node is to be retired, if enough others stay.
    Retire {
        /// Name of its machine.
        name: String,
    },
}

/// How a request ended.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum RequestOutcome {
    /// The change is committed, by this request or an earlier one.
    Done,
    /// The change builds on another version of the configuration than the current one.
    VersionConflict {
        /// For people: which version is current.
        reason: String,
    },
    /// The change is invalid.
    Invalid {
        /// For people: what is wrong.
        reason: String,
    },
    /// What the change is about isn't known.
    NotFound {
        /// For people: what isn't known.
        reason: String,
    },
    /// The change can't be made now.
    Conflict {
        /// For people: what stands in the way.
        reason: String,
    },
    /// It isn't known whether the change is or will be made.
    Unknown,
}
