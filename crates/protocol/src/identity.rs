//! Identities of processes: addresses, disks and incarnations.

use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::net::{Ipv4Addr, SocketAddrV4};

use musli::{Decode, Encode};

/// Address at which a process accepts connections from other processes of the system.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct NodeAddress {
    ip: u32,
    port: u16,
}

impl NodeAddress {
    /// Creates the address of a process that listens at `ip` and `port`.
    pub fn new(ip: Ipv4Addr, port: u16) -> NodeAddress {
        NodeAddress { ip: ip.into(), port }
    }

    /// Returns the IP address of the machine.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip.into()
    }

    /// Returns the TCP port.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Returns the address as a socket address.
    pub fn socket(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(), self.port)
    }
}

impl fmt::Display for NodeAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.ip(), self.port)
    }
}

impl fmt::Debug for NodeAddress {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// A process together with the identity of its disk. A machine that lost its disk returns with the same address and
/// another `disk`: it is a new member and is not bound by the promises of the old one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct MemberId {
    /// Address at which the process accepts connections from other processes.
    pub address: NodeAddress,
    /// Random number drawn when the data directory is first used; [`NO_DISK`] for a process without one.
    pub disk: u64,
}

/// [`MemberId::disk`] of a process without a disk. No disk has this number.
pub const NO_DISK: u64 = 0;

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:04x}", self.address, self.disk & 0xffff)
    }
}

impl fmt::Debug for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Returns a random incarnation, which distinguishes this start of the process from others (SWIM, Das et al. 2002). It
/// is drawn from the seed of the standard library's hash maps and never zero.
pub fn random_incarnation() -> u64 {
    RandomState::new().hash_one(0_u64) | 1
}
