//! A proxy for the connections between the system's own processes, which can partition, reset or slow down the link
//! between two machines.
//!
//! The proxy listens at the address that a machine announces. The machine itself listens at another address, from
//! which its own connections originate as well. This tells the proxy which machine a connection comes from, and each
//! direction of the connection is subject to the [`LinkFault`] of its [`Link`].
//!
//! A partition delays bytes and the ends of connections until it is over, like a path on which packets are
//! retransmitted. A connection opened during a partition is accepted, but transfers nothing until the partition ends.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use orchidvalve_net::{ConnectionId, Network};

/// Maximum time for which data of the proxy may stay unacknowledged by the peer (TCP_USER_TIMEOUT, RFC 5482).
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Index of a machine in the topology.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIndex(pub usize);

/// The path from one machine to another. The opposite direction is a separate link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The sending machine.
    pub from: MachineIndex,
    /// The receiving machine.
    pub to: MachineIndex,
}

impl Link {
    /// Returns the link in the opposite direction.
    fn reversed(self) -> Link {
        Link { from: self.to, to: self.from }
    }
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing is delivered until the fault is over; then everything is.
    Partitioned,
    /// Existing connections are reset, and new ones are reset at once.
    Reset,
    /// Data is delayed and limited in rate.
    Slow {
        /// Additional delay, in milliseconds.
        delay_ms: u64,
        /// Maximum rate, in bytes per second.
        bytes_per_s: u64,
    },
}

/// Bytes that have not been forwarded yet.
#[derive(Debug)]
struct PendingBytes {
    /// Time from which they may be forwarded, in milliseconds; 0 for at once.
    due: u64,
    bytes: Vec<u8>,
}

/// One end of a proxied connection, with the bytes received from it that have not been forwarded.
#[derive(Debug, Default)]
struct End {
    connection: Option<ConnectionId>,
    pending: VecDeque<PendingBytes>,
    /// Time until which the pending bytes occupy a slow link, in milliseconds.
    busy_until: u64,
    ended: bool,
}

/// Number of a proxied connection.
type ProxiedId = u64;

/// A connection from a caller through the proxy to a target.
#[derive(Debug)]
struct ProxiedConnection {
    /// The link from the caller to the target.
    link: Link,
    caller_end: End,
    target_end: End,
}

/// One side of a proxied connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Caller,
    Target,
}

#[derive(Clone, Copy, Debug)]
struct Listener {
    target: MachineIndex,
    real: SocketAddrV4,
}

/// All proxied connections, and the faults of their links.
#[derive(Debug, Default)]
pub struct FaultProxy {
    listeners: Vec<Listener>,
    /// Source addresses of the machines' connections.
    sources: BTreeMap<Ipv4Addr, MachineIndex>,
    faults: BTreeMap<Link, LinkFault>,
    connections: BTreeMap<ProxiedId, ProxiedConnection>,
    sides: HashMap<ConnectionId, (ProxiedId, Side)>,
    next_connection: ProxiedId,
}

impl FaultProxy {
    /// Listens at the address that a machine announces, and forwards connections to its real address. Accepted
    /// connections have the tag `first_tag` plus the number of earlier listeners.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not possible to listen at the address; choose a free one.
    pub fn listen(
        &mut self,
        network: &mut Network,
        first_tag: u32,
        target: MachineIndex,
        announced: SocketAddrV4,
        real: SocketAddrV4,
    ) -> io::Result<SocketAddrV4> {
        let local = network.listen(announced, first_tag + self.listeners.len() as u32)?;
        let SocketAddr::V4(announced) = local else { return Err(io::ErrorKind::AddrNotAvailable.into()) };
        self.listeners.push(Listener { target, real });
        Ok(announced)
    }

    /// Assigns connections from this address to a machine.
    pub fn add_source(&mut self, address: Ipv4Addr, machine: MachineIndex) {
        self.sources.insert(address, machine);
    }

    /// Sets or ends the fault of a link.
    pub fn set_fault(&mut self, network: &mut Network, link: Link, fault: Option<LinkFault>) {
        match fault {
            Some(fault) => self.faults.insert(link, fault),
            None => self.faults.remove(&link),
        };
        if fault == Some(LinkFault::Reset) {
            let is_over = |proxied: &ProxiedConnection| [link, link.reversed()].contains(&proxied.link);
            let reset: Vec<ProxiedId> =
                self.connections.iter().filter(|(_, proxied)| is_over(proxied)).map(|(id, _)| *id).collect();
            for id in reset {
                self.drop_connection(network, id);
            }
        }
    }

    /// Whether a connection belongs to the proxy.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.sides.contains_key(&connection)
    }

    /// Handles a connection accepted at a listener. It is closed if its source address belongs to no machine.
    pub fn accepted(&mut self, network: &mut Network, now: u64, listener: usize, connection: ConnectionId) {
        let source = network.peer_address(connection).and_then(|peer| match peer {
            SocketAddr::V4(peer) => self.sources.get(peer.ip()).copied(),
            SocketAddr::V6(_) => None,
        });
        let Some(caller) = source else { return network.abort(connection) };
        let target = self.listeners[listener].target;
        let id = self.next_connection;
        self.next_connection += 1;
        let caller_end = End { connection: Some(connection), ..End::default() };
        let link = Link { from: caller, to: target };
        self.connections.insert(id, ProxiedConnection { link, caller_end, target_end: End::default() });
        self.sides.insert(connection, (id, Side::Caller));
        self.advance(network, now, id);
    }

    /// Handles bytes received on a connection.
    pub fn data(&mut self, network: &mut Network, now: u64, connection: ConnectionId) {
        let Some((id, side)) = self.sides.get(&connection).copied() else { return };
        self.receive(network, now, id, side);
        self.advance(network, now, id);
    }

    /// Handles the end of a connection.
    pub fn closed(&mut self, network: &mut Network, now: u64, connection: ConnectionId) {
        let Some((id, side)) = self.sides.get(&connection).copied() else { return };
        self.receive(network, now, id, side);
        self.sides.remove(&connection);
        network.abort(connection);
        if let Some(proxied) = self.connections.get_mut(&id) {
            let end = proxied.end_mut(side);
            (end.connection, end.ended) = (None, true);
        }
        self.advance(network, now, id);
    }

    /// Forwards all bytes that are due, on all connections.
    pub fn advance_all(&mut self, network: &mut Network, now: u64) {
        for id in self.connections.keys().copied().collect::<Vec<ProxiedId>>() {
            self.advance(network, now, id);
        }
    }

    /// Returns the time at which delayed bytes are due next, if any.
    pub fn next_wake(&self) -> Option<u64> {
        self.connections.values().flat_map(|proxied| self.due_on(proxied)).min()
    }

    /// Returns the due times of delayed bytes in the directions of a connection that are not partitioned.
    fn due_on(&self, proxied: &ProxiedConnection) -> impl Iterator<Item = u64> {
        let due = |side: Side, end: &End| {
            let is_partitioned = self.fault(proxied, side) == Some(LinkFault::Partitioned);
            let may_pass = proxied.target_end.connection.is_some() && !is_partitioned;
            end.pending.front().map(|pending| pending.due).filter(|due| *due > 0 && may_pass)
        };
        let caller = due(Side::Caller, &proxied.caller_end);
        caller.into_iter().chain(due(Side::Target, &proxied.target_end))
    }

    /// Returns the fault of the link from one side.
    fn fault(&self, proxied: &ProxiedConnection, from: Side) -> Option<LinkFault> {
        let link = match from {
            Side::Caller => proxied.link,
            Side::Target => proxied.link.reversed(),
        };
        self.faults.get(&link).copied()
    }

    /// Moves bytes received from one side to its pending bytes.
    fn receive(&mut self, network: &mut Network, now: u64, id: ProxiedId, side: Side) {
        let Some(proxied) = self.connections.get(&id) else { return };
        let fault = self.fault(proxied, side);
        let Some(proxied) = self.connections.get_mut(&id) else { return };
        let end = proxied.end_mut(side);
        let Some(connection) = end.connection else { return };
        let bytes = network.inbox(connection).to_vec();
        network.consume(connection, bytes.len());
        if !bytes.is_empty() {
            let due = end.due(now, bytes.len() as u64, fault);
            end.pending.push_back(PendingBytes { due, bytes });
        }
    }

    /// Forwards due bytes of a connection, and opens or ends its connection to the target.
    fn advance(&mut self, network: &mut Network, now: u64, id: ProxiedId) {
        let Some(proxied) = self.connections.get(&id) else { return };
        if proxied.caller_end.ended && proxied.target_end.ended {
            return self.drop_connection(network, id);
        }
        let forward_fault = self.fault(proxied, Side::Caller);
        let backward_fault = self.fault(proxied, Side::Target);
        if [forward_fault, backward_fault].contains(&Some(LinkFault::Reset)) {
            return self.drop_connection(network, id);
        }
        if proxied.target_end.connection.is_none() && !proxied.target_end.ended {
            let is_partitioned = [forward_fault, backward_fault].contains(&Some(LinkFault::Partitioned));
            self.connect_target(network, id, is_partitioned);
        }
        let is_over = self.forward(network, now, id, Side::Caller, forward_fault)
            || self.forward(network, now, id, Side::Target, backward_fault);
        if is_over {
            self.finish_connection(network, id);
        }
    }

    /// Opens the connection to the target, unless a link is partitioned.
    fn connect_target(&mut self, network: &mut Network, id: ProxiedId, is_partitioned: bool) {
        let Some(proxied) = self.connections.get_mut(&id) else { return };
        if proxied.caller_end.ended {
            return self.drop_connection(network, id);
        }
        if is_partitioned {
            return;
        }
        let target = proxied.link.to;
        let real = self.listeners.iter().find(|listener| listener.target == target).map(|found| found.real);
        match real.and_then(|real| network.connect(real, USER_TIMEOUT).ok()) {
            Some(connection) => {
                proxied.target_end.connection = Some(connection);
                self.sides.insert(connection, (id, Side::Target));
            }
            None => self.drop_connection(network, id),
        }
    }

    /// Forwards due bytes of one side. Returns whether that side has ended and all its bytes were forwarded.
    fn forward(
        &mut self,
        network: &mut Network,
        now: u64,
        id: ProxiedId,
        from: Side,
        fault: Option<LinkFault>,
    ) -> bool {
        if fault == Some(LinkFault::Partitioned) {
            return false;
        }
        let Some(proxied) = self.connections.get_mut(&id) else { return false };
        let Some(other) = proxied.end_mut(from.other()).connection else { return false };
        let end = proxied.end_mut(from);
        while let Some(pending) = end.pending.pop_front_if(|pending| pending.due <= now) {
            network.send(other, &pending.bytes);
        }
        end.ended && end.pending.is_empty()
    }

    /// Closes a connection after all forwarded bytes have been written.
    fn finish_connection(&mut self, network: &mut Network, id: ProxiedId) {
        for connection in self.remove_connection(id) {
            network.finish(connection);
        }
    }

    fn drop_connection(&mut self, network: &mut Network, id: ProxiedId) {
        for connection in self.remove_connection(id) {
            network.abort(connection);
        }
    }

    fn remove_connection(&mut self, id: ProxiedId) -> Vec<ConnectionId> {
        let Some(proxied) = self.connections.remove(&id) else { return Vec::new() };
        let ends = [proxied.caller_end.connection, proxied.target_end.connection];
        let connections: Vec<ConnectionId> = ends.into_iter().flatten().collect();
        for connection in &connections {
            self.sides.remove(connection);
        }
        connections
    }
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Caller => Side::Target,
            Side::Target => Side::Caller,
        }
    }
}

impl ProxiedConnection {
    fn end_mut(&mut self, side: Side) -> &mut End {
        match side {
            Side::Caller => &mut self.caller_end,
            Side::Target => &mut self.target_end,
        }
    }
}

impl End {
    /// Returns the time from which bytes received now may be forwarded; 0 for at once.
    fn due(&mut self, now: u64, length: u64, fault: Option<LinkFault>) -> u64 {
        let after_others = self.pending.back().map_or(0, |pending| pending.due);
        let Some(LinkFault::Slow { delay_ms, bytes_per_s }) = fault else { return after_others };
        self.busy_until = self.busy_until.max(now) + length * 1_000 / bytes_per_s.max(1);
        after_others.max(self.busy_until + delay_ms)
    }
}
