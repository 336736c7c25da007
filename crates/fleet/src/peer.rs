//! Identity of a front node among its peers.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

/// Identity of a front node: its address and its incarnation number, which tells it apart from an earlier run at the
/// same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// IPv4 address.
    pub ip: [u8; 4],
    /// UDP port.
    pub port: u16,
    /// Incremented at each start, and when the node was declared down while alive.
    pub incarnation: u16,
}

impl Peer {
    /// Returns the identity of the node at this address.
    pub fn at(address: SocketAddrV4, incarnation: u16) -> Peer {
        Peer { ip: address.ip().octets(), port: address.port(), incarnation }
    }

    /// Returns the UDP address of the node.
    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

impl foca::Identity for Peer {
    type Addr = SocketAddrV4;

    /// Returns the identity with the next incarnation, used when the node was declared down while alive.
    fn renew(&self) -> Option<Peer> {
        Some(Peer { incarnation: self.incarnation.wrapping_add(1), ..*self })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.address()
    }

    fn win_addr_conflict(&self, adversary: &Peer) -> bool {
        self.incarnation.wrapping_sub(adversary.incarnation) < u16::MAX / 2
    }
}
