//! The machines of a launch, their addresses and ports.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use derive_more::Display;

use super::error::LaunchError;
use crate::fault_proxy::MachineIndex;

/// Zones of the machines, which are assigned in turn.
pub const ZONES: [&str; 3] = ["north-yard", "south-yard", "west-yard"];
/// Region of all zones.
pub(super) const REGION: &str = "yards";
/// Number of ports for traffic between nodes.
const INTERNAL_PORTS: u16 = 16;
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 31_000;
/// Number of ports of a machine: frontend, readiness, control, and those between nodes.
const PORTS_PER_MACHINE: u16 = INTERNAL_PORTS + 3;
/// First value of the second address octet; each launch uses a different value.
const FIRST_NETWORK: u32 = 20;
const NETWORKS: u32 = 200;
/// Number of port blocks among which the search of a launch starts.
const START_BLOCKS: u32 = 500;
/// Third address octet of the platform; emulated servers use the next value.
const EMULATOR_NET: u8 = 200;
/// Third address octet of edge machines in the first zone.
const FIRST_EDGE_NET: u8 = 1;
const FIRST_STORE_NET: u8 = 101;
/// Offset of the third address octet behind the proxy.
const BEHIND_PROXY: u8 = 20;

/// Number of the next topology in this process.
static NEXT_TOPOLOGY: AtomicU32 = AtomicU32::new(0);

/// Role of a process. The printed name is the role's name on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Role {
    /// A control node.
    #[display("control")]
    Control,
    /// A gateway.
    #[display("door")]
    Gateway,
    /// A store node.
    #[display("store")]
    Store,
}

/// Ports that all machines use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Port at which gateways accept requests.
    pub frontend: u16,
    /// Port at which gateways respond to readiness checks.
    pub readiness: u16,
    /// Port at which control nodes accept calls of operators.
    pub control: u16,
    /// First port for traffic between nodes.
    pub internal_first: u16,
    /// Last port for traffic between nodes.
    pub internal_last: u16,
}

impl Ports {
    fn block(first: u16) -> Ports {
        Ports {
            frontend: first,
            readiness: first + 1,
            control: first + 2,
            internal_first: first + 3,
            internal_last: first + 2 + INTERNAL_PORTS,
        }
    }

    /// Whether every port is free at every address.
    fn are_free(self, addresses: &[Ipv4Addr]) -> bool {
        let free = |address: &Ipv4Addr, port| TcpListener::bind(SocketAddrV4::new(*address, port)).is_ok();
        addresses.iter().all(|address| (self.frontend..=self.internal_last).all(|port| free(address, port)))
    }
}

/// A machine with its processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine (`node-name` in the settings).
    pub name: String,
    /// Zone of the machine.
    pub zone: &'static str,
    /// IP address of the machine.
    pub ip: Ipv4Addr,
    /// Roles of the processes; there is one process per role.
    pub roles: Vec<Role>,
    /// Whether the processes keep data on a disk.
    pub has_disk: bool,
    /// Whether the machine was removed for good.
    pub is_removed: bool,
}

/// All machines of a launch.
#[derive(Clone, Debug)]
pub struct Topology {
    /// The machines, in the order in which they were added.
    pub machines: Vec<Machine>,
    /// The ports that every machine uses.
    pub ports: Ports,
    /// Address of the platform's API.
    pub platform: SocketAddrV4,
    /// Whether connections between machines go through a fault proxy at the announced addresses.
    pub proxied: bool,
    network: u8,
}

impl Topology {
    /// Returns machines at addresses that only this launch uses: edge machines with a disk, each with a control node
    /// and a gateway; further edge machines up to the number of gateways; and storage machines.
    ///
    /// # Errors
    ///
    /// Returns an error if no block of ports is free; end the processes that use them.
    pub fn new(control_nodes: usize, gateways: usize, store_nodes: usize) -> Result<Topology, LaunchError> {
        let number = std::process::id().wrapping_add(NEXT_TOPOLOGY.fetch_add(1, Ordering::Relaxed));
        let network = (FIRST_NETWORK + number % NETWORKS) as u8;
        let edges = gateways.max(control_nodes);
        let mut machines: Vec<Machine> =
            (0..edges).map(|index| edge_machine(network, index, index < control_nodes)).collect();
        machines.extend((0..store_nodes).map(|index| store_machine(network, index)));
        let addresses: Vec<Ipv4Addr> =
            machines.iter().flat_map(|machine| [machine.ip, behind_proxy(machine.ip)]).collect();
        let start = FIRST_PORT + (number % START_BLOCKS) as u16 * PORTS_PER_MACHINE;
        let mut blocks = (start..LAST_PORT).step_by(usize::from(PORTS_PER_MACHINE)).map(Ports::block);
        let ports = blocks.find(|ports| ports.are_free(&addresses)).ok_or(LaunchError::NoFreePorts)?;
        let platform = SocketAddrV4::new(Ipv4Addr::new(127, network, EMULATOR_NET, 1), ports.control);
        Ok(Topology { machines, ports, platform, proxied: false, network })
    }

    /// Returns the address of an emulated server; `index` starts at 0.
    pub fn emulator_address(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, EMULATOR_NET + 1, index + 1)
    }

    /// Adds an empty edge machine with a control node and a gateway.
    pub fn add_control(&mut self) -> MachineIndex {
        let index = self.count_with_role(Role::Gateway);
        self.add(edge_machine(self.network, index, true))
    }

    /// Adds an empty storage machine.
    pub fn add_store(&mut self) -> MachineIndex {
        let index = self.count_with_role(Role::Store);
        self.add(store_machine(self.network, index))
    }

    fn add(&mut self, machine: Machine) -> MachineIndex {
        self.machines.push(machine);
        MachineIndex(self.machines.len() - 1)
    }

    /// Returns all machines with their indices.
    pub fn indexed_machines(&self) -> impl Iterator<Item = (MachineIndex, &Machine)> {
        (0..).map(MachineIndex).zip(&self.machines)
    }

    fn count_with_role(&self, role: Role) -> usize {
        self.machines.iter().filter(|machine| machine.roles.contains(&role)).count()
    }

    /// Returns the address at which other machines of the system connect to a machine.
    pub fn internal_address(&self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(machine.ip, self.ports.internal_first)
    }

    /// Returns the address at which a machine listens behind the proxy, and from which its connections originate.
    pub fn internal_listener(&self, machine: &Machine) -> SocketAddrV4 {
        SocketAddrV4::new(behind_proxy(machine.ip), self.ports.internal_first)
    }

    /// Returns the addresses of the control nodes.
    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        let serves = |machine: &&Machine| !machine.is_removed && machine.roles.contains(&Role::Control);
        let controls = self.machines.iter().filter(serves);
        controls.map(|machine| SocketAddrV4::new(machine.ip, self.ports.control)).collect()
    }
}

/// Returns the address of a machine behind the proxy, which is in another subnet of the launch.
fn behind_proxy(ip: Ipv4Addr) -> Ipv4Addr {
    let [first, network, net, number] = ip.octets();
    Ipv4Addr::new(first, network, net + BEHIND_PROXY, number)
}

/// Returns the index of a machine's zone, and the number of the machine within the zone.
fn zone_and_number(index: usize) -> (usize, usize) {
    (index % ZONES.len(), index / ZONES.len() + 1)
}

fn edge_machine(network: u8, index: usize, is_control: bool) -> Machine {
    let (zone, number) = zone_and_number(index);
    Machine {
        name: format!("edge-{}-{number}", ZONES[zone]),
        zone: ZONES[zone],
        ip: Ipv4Addr::new(127, network, FIRST_EDGE_NET + zone as u8, number as u8),
        roles: if is_control { vec![Role::Control, Role::Gateway] } else { vec![Role::Gateway] },
        has_disk: is_control,
        is_removed: false,
    }
}

fn store_machine(network: u8, index: usize) -> Machine {
    let (zone, number) = zone_and_number(index);
    Machine {
        name: format!("storage-{}-{number}", ZONES[zone]),
        zone: ZONES[zone],
        ip: Ipv4Addr::new(127, network, FIRST_STORE_NET + zone as u8, number as u8),
        roles: vec![Role::Store],
        has_disk: true,
        is_removed: false,
    }
}
