//! The outputs of a control node: what its host has to do, and what it is notified of.

use std::rc::Rc;

use orchidvalve_chain_replication::Sequence;
use orchidvalve_consensus::View;
use orchidvalve_protocol::identity::MemberId;

use super::{RequestNumber, RequestOrigin};
use crate::peer_messages::{PeerMessage, RequestOutcome};

/// The decision of the head's host whether a store node may be retired.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetirementVerdict {
    /// Enough other nodes are left, or the node is retiring already.
    Allowed,
    /// Fewer other nodes would remain than copies are needed.
    TooFewRemain,
    /// Sessions may be missing: this node has not been the head for long enough to know all of them.
    Undetermined,
}

/// An action or notification for the host.
#[derive(Debug)]
pub enum NodeOutput {
    /// Sends a message to another control node.
    Send {
        /// Receiver of the message.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Changes were committed and applied.
    Committed {
        /// Number of the first change.
        first: Sequence,
        /// The encoded changes, in order.
        changes: Vec<Rc<[u8]>>,
    },
    /// This node has entered a view.
    ViewChanged(View),
    /// A request to retire a store node has reached this node as the head. The host has to respond with
    /// [`super::ControlNode::decide_retirement`].
    RetirementRequested {
        /// Receiver of the outcome.
        origin: RequestOrigin,
        /// Name of the store node's machine.
        name: String,
    },
    /// A local request is decided.
    RequestDecided {
        /// Number of the request.
        request: RequestNumber,
        /// Outcome of the request.
        outcome: RequestOutcome,
    },
    /// A read is confirmed: the current state includes everything that was committed before the read began.
    ReadConfirmed {
        /// Number of the read.
        request: RequestNumber,
    },
    /// A read failed: it could not be confirmed that the state is the latest one.
    ReadUnconfirmed {
        /// Number of the read.
        request: RequestNumber,
    },
}
