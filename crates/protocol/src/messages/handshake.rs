//! The start of a link: a byte that identifies its protocol, then the caller's handshake.

use derive_more::Display;
use musli::{Decode, Encode};

use crate::identity::MemberId;

/// Version of the messages between processes; a peer with another version is refused.
pub const PROTOCOL_VERSION: u16 = 6;

/// The first byte on every connection between two processes, which identifies the messages that follow.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LinkProtocol {
    /// Between two control nodes.
    ControlPeer = 1,
    /// [`SessionMessage`](super::SessionMessage) from a gateway or a store node to a control node.
    Session = 2,
    /// [`GatewayMessage`](super::GatewayMessage) from a gateway to a store node.
    StoreClient = 3,
    /// Between two store nodes.
    StorePeer = 4,
}

impl LinkProtocol {
    /// Returns the byte that identifies the protocol on the wire.
    pub fn byte(self) -> u8 {
        self as u8
    }

    /// Returns the protocol that `byte` identifies, or `None` if there is none.
    pub fn from_byte(byte: u8) -> Option<LinkProtocol> {
        match byte {
            1 => Some(LinkProtocol::ControlPeer),
            2 => Some(LinkProtocol::Session),
            3 => Some(LinkProtocol::StoreClient),
            4 => Some(LinkProtocol::StorePeer),
            _ => None,
        }
    }
}

/// Role of a process. Displayed as the command-line word that starts it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Encode, Decode)]
pub enum Role {
    /// Control node: replicates the control state.
    #[display("control")]
    Control,
    /// Gateway: serves clients' requests and runs generations; `door` on the command line, in settings and on the wire.
    #[display("door")]
    Gateway,
    /// Store node: stores batch jobs and their results.
    #[display("store")]
    Store,
}

/// First message on every link: identifies the caller.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Handshake {
    /// [`PROTOCOL_VERSION`] of the caller.
    pub version: u16,
    /// Role of the caller.
    pub role: Role,
    /// Name of the machine in the operator's settings.
    pub name: String,
    /// Zone in which the machine is located.
    pub zone: String,
    /// Address for traffic between processes, and the identity of the disk; `disk` is zero if there is none.
    pub member: MemberId,
    /// Random number drawn at each start of the process (SWIM, Das et al. 2002).
    pub incarnation: u64,
    /// Fraction of a CPU core that the process may use.
    pub cpu_share: f32,
}
