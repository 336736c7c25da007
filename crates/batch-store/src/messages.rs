//! Messages between store nodes.

use musli::{Decode, Encode};
use orchidvalve_chain_replication::Message;
use orchidvalve_protocol::identity::MemberId;

/// A message from one store node to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum PeerMessage {
    /// The first message on every link: identifies the caller.
    Handshake {
        /// Protocol version of the caller.
        version: u16,
        /// Identity of the caller.
        member: MemberId,
    },
    /// Shows that the link is alive.
    Heartbeat,
    /// A chain replication message of a partition.
    Chain {
        /// Number of the partition.
        partition: u16,
        /// The message.
        message: Message,
    },
}
