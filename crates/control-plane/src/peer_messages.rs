//! Messages between control nodes.

use musli::{Decode, Encode};
use orchidvalve_chain_replication::Epoch;
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{GatewayList, Handshake, ServerTableUpdate, ServiceLoad, WindowUsage};

use crate::sessions::Session;

/// Number of a forwarded request at the node that forwarded it. It differs from the numbers of earlier starts of that node.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Encode, Decode)]
#[musli(transparent)]
pub struct ForwardNumber(pub u64);

/// A message from one control node to another. A link carries messages in one direction only: every control node opens
/// its own links to the others and sends on them.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum PeerMessage {
    /// First message on a link, which introduces the sender.
    Handshake {
        /// Identity of the sender.
        handshake: Handshake,
    },
    /// A message of the agreement on views.
    Agreement(orchidvalve_consensus::Message),
    /// A message of chain replication.
    Chain(orchidvalve_chain_replication::Message),
    /// A request that only the head of the chain can decide, forwarded by another control node.
    Forward {
        /// Number of the request at its sender.
        number: ForwardNumber,
        /// The forwarded request.
        request: HeadRequest,
    },
    /// The outcome of a forwarded request.
    ForwardOutcome {
        /// Number of the request at the receiver of this message.
        number: ForwardNumber,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// All local sessions of the sender.
    Sessions {
        /// The sessions, in no particular order.
        sessions: Vec<Session>,
    },
    /// An update of the server table from its leader, or the complete table at the beginning of a link.
    Servers(ServerTableUpdate),
    /// The gateways that run generations, selected by the leader.
    Workers(GatewayList),
    /// A learner of a partition has copied everything. Sent to the head, which places partitions.
    LearnerCaughtUp {
        /// Number of the partition.
        partition: u16,
        /// Epoch of the partition's placement.
        epoch: Epoch,
        /// The learner, or a member that holds everything that was committed before the placement.
        member: MemberId,
    },
    /// The local sessions of the sender are those of its last [`PeerMessage::Sessions`].
    SessionsUnchanged,
    /// Counts that a gateway has reported to the sender. Sent to the head, which reports usage to the platform.
    Usage {
        /// Random number of the start of the gateway that counted.
        incarnation: u64,
        /// The counts since that start, by window.
        windows: Vec<WindowUsage>,
    },
    /// Load that a process has reported to the sender. Sent to the head, which scales services.
    Load {
        /// Random number of the start of the process.
        incarnation: u64,
        /// Outstanding work by service.
        loads: Vec<ServiceLoad>,
    },
}

/// A request that only the head can decide.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum HeadRequest {
    /// A change of the control state.
    Change {
        /// The encoded change.
        #[musli(bytes)]
        change: Vec<u8>,
    },
    /// The retirement of a store node, if enough others remain.
    Retire {
        /// Name of the store node's machine.
        name: String,
    },
}

/// The outcome of a request.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub enum RequestOutcome {
    /// The change is committed, by this request or an earlier one.
    Done,
    /// The change is based on another version of the configuration than the current one.
    VersionConflict {
        /// Explanation for operators: which version is current.
        reason: String,
    },
    /// The change is invalid.
    Invalid {
        /// Explanation for operators: what is invalid.
        reason: String,
    },
    /// The object of the change does not exist.
    NotFound {
        /// Explanation for operators: what does not exist.
        reason: String,
    },
    /// The change cannot be made now.
    Conflict {
        /// Explanation for operators: what prevents the change.
        reason: String,
    },
    /// It is not known whether the change was or will be made.
    Unknown,
}
