//! Connects a machine to the callers and to the fault proxy.

use std::io;
use std::net::SocketAddrV4;

use crate::fault_proxy::MachineIndex;
use crate::host::Host;
use crate::launch::{Machine, Ports, Topology};

/// Routes the connections to and from a machine through the fault proxy.
pub(super) fn add_to_proxy(
    host: &mut Host,
    topology: &Topology,
    index: MachineIndex,
    machine: &Machine,
) -> io::Result<()> {
    let listener = topology.internal_listener(machine);
    host.proxy_from(index, *listener.ip());
    host.proxy_to(index, topology.internal_address(machine), listener)?;
    Ok(())
}

/// Adds the gateway of a machine to the directory, so that clients use it as soon as it is ready.
pub(super) fn add_gateway(host: &mut Host, ports: Ports, machine: &Machine) {
    let address = |port| SocketAddrV4::new(machine.ip, port);
    host.directory.add_gateway(address(ports.frontend), address(ports.readiness), machine.zone);
}
