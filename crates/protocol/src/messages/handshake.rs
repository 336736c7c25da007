//! What a link begins with: a byte that names its protocol, then the caller's handshake.

use derive_more::Display;
use musli::{Decode, Encode};

use crate::identity::MemberId;

/// Version of the messages between processes; a peer that speaks another one is refused.
pub const PROTOCOL_VERSION: u16 = 6;

/// The first byte on every connection between two processes: which messages follow.
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
    /// The byte that names the protocol on the wire.
    pub fn byte(self) -> u8 {
        self as u8
    }

    /// The protocol that `byte` names, if there is one.
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

/// What a process does. Displayed by the published word that starts it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Display, Encode, Decode)]
pub enum Role {
    /// Keeps the control state.
    #[display("control")]
    Control,
    /// Takes clients' requests and runs generations; `door` on the command line, in settings and on the wire.
    #[display("door")]
    Gateway,
    /// Keeps batch jobs and their results.
    #[display("store")]
    Store,
}

/// First message on every link: who is calling.
#[derive(Clone, PartialEq, Debug, Encode, Decode)]
pub struct Handshake {
    /// [`PROTOCOL_VERSION`] of the caller.
    pub version: u16,
    /// What the caller does.
    pub role: Role,
    /// Name of the machine, as the operator knows it.
    pub name: String,
    /// Zone that the machine stands in.
    pub zone: String,
    /// Address for traffic between processes, and the disk; `disk` is zero where there is none.
    pub member: MemberId,
    /// Number drawn at random at every start of the process (SWIM, Das et al. 2002).
    pub incarnation: u64,
    /// Share of a core that the process may use.
    pub cpu_share: f32,
}
