//! Options shared by all processes with a disk.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use orchidvalve_protocol::identity::NodeAddress;

/// Name, addresses and disk of a node.
#[derive(Clone, Debug)]
pub struct MachineOptions {
    /// Name of the node as chosen by the operator.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Fraction of a CPU core that the process may use.
    pub cpu_share: f32,
    /// Address at which the system's other processes reach this one.
    pub internal_address: SocketAddrV4,
    /// Address at which their connections arrive; differs from `internal_address` only behind a relay.
    pub internal_listener: SocketAddrV4,
    /// Source address of outgoing connections; `None` lets the kernel choose.
    pub source: Option<Ipv4Addr>,
    /// Directory of the ring's files.
    pub data_directory: PathBuf,
    /// Size of the disk in bytes.
    pub disk_bytes: u64,
    /// Time within which the process has to exit after a stop request, in milliseconds.
    pub grace_ms: u64,
}

impl MachineOptions {
    /// Returns the address that identifies this process to the system's other processes.
    pub fn node_address(&self) -> NodeAddress {
        NodeAddress::new(*self.internal_address.ip(), self.internal_address.port())
    }
}
