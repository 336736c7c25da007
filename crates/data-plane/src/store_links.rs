//! Links of this gateway to the store nodes, and the leases that the store nodes hold here.
//!
//! A store node that assigns groups to this gateway holds a lease on them, which each of its messages renews. When the
//! lease expires, the gateway drops the groups, and the store node assigns them elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_net::outgoing_link::{OutgoingLink, ReconnectTiming};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::frames::read_frame;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{GatewayMessage, Handshake, LinkProtocol, StoreMessage};

/// The interval between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 400;
/// The leases of a store node that sends nothing on an established link for this long expire, and the link is opened
/// again. In milliseconds.
pub const LEASE_MS: u64 = 1_400;
/// The leases of a store node whose link is lost expire after this time, in milliseconds. Until then the next head of
/// its partitions may take over the groups. Jobs that the store node ends in the meantime, unknown to this gateway,
/// also stop by then.
pub const DISCONNECTED_LEASE_MS: u64 = 2_300;
/// Retry interval and connect timeout of a link.
const RECONNECT_TIMING: ReconnectTiming = ReconnectTiming { retry_interval_ms: 150, connect_timeout_ms: 300 };

/// A message and the store node that it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    /// The receiver.
    pub store: NodeAddress,
    /// The message.
    pub message: GatewayMessage,
}

#[derive(Debug)]
struct Link {
    outgoing: OutgoingLink,
    last_received_at: u64,
    /// When the store node last renewed its leases by a message, or when its leases began without one. `None` if they
    /// have expired.
    lease_renewed_at: Option<u64>,
    heartbeat_at: u64,
}

impl Link {
    fn new() -> Link {
        Link {
            outgoing: OutgoingLink::new(RECONNECT_TIMING),
            last_received_at: 0,
            lease_renewed_at: None,
            heartbeat_at: 0,
        }
    }

    /// Whether nothing has been received for too long on an established link.
    fn has_timed_out(&self, now: u64) -> bool {
        self.outgoing.is_up() && now >= self.last_received_at + LEASE_MS
    }

    /// Returns when the store node's leases expire unless a message from it arrives, whether or not its link is up.
    fn lease_expires_at(&self) -> Option<u64> {
        self.lease_renewed_at.map(|at| at + DISCONNECTED_LEASE_MS)
    }
}

/// All links to store nodes.
#[derive(Debug)]
pub struct StoreLinks {
    handshake: Handshake,
    links: BTreeMap<NodeAddress, Link>,
    generation_capacity: u32,
}

impl StoreLinks {
    /// Creates the state without links. Every link starts with `handshake`.
    pub fn new(handshake: Handshake) -> StoreLinks {
        StoreLinks { handshake, links: BTreeMap::new(), generation_capacity: 0 }
    }

    /// Keeps links to exactly these store nodes. Returns those whose links were closed: calls in flight there get no
    /// response.
    pub fn set_stores(&mut self, network: &mut Network, stores: &BTreeSet<NodeAddress>) -> Vec<NodeAddress> {
        let mut closed = Vec::new();
        self.links.retain(|address, link| {
            let keep = stores.contains(address);
            if !keep {
                closed.push(*address);
                link.outgoing.close(network);
            }
            keep
        });
        for address in stores {
            self.links.entry(*address).or_insert_with(Link::new);
        }
        closed
    }

    /// Begins the leases of a store node that has become the head of a partition and takes over the groups that the
    /// former head assigned. The leases expire if no message arrives from it.
    pub fn begin_lease(&mut self, store: NodeAddress, now: u64) {
        if let Some(link) = self.links.get_mut(&store) {
            link.lease_renewed_at.get_or_insert(now);
        }
    }

    /// Sets the number of generations that may be in flight or pending at this gateway, and sends it to all store
    /// nodes.
    pub fn set_generation_capacity(&mut self, network: &mut Network, limit: u32) {
        if limit != self.generation_capacity {
            self.generation_capacity = limit;
            for link in self.links.values() {
                link.outgoing.send(network, &GatewayMessage::Heartbeat { generation_capacity: limit });
            }
        }
    }

    /// Whether the link to the store node is up.
    pub fn is_up(&self, store: NodeAddress) -> bool {
        self.links.get(&store).is_some_and(|link| link.outgoing.is_up())
    }

    /// Sends a message. Returns false if the link isn't up.
    pub fn send(&self, network: &mut Network, store: NodeAddress, message: &GatewayMessage) -> bool {
        self.links.get(&store).is_some_and(|link| link.outgoing.send(network, message))
    }

    /// Whether the connection belongs to a link.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.links.values().any(|link| link.outgoing.owns(connection))
    }

    /// Closes links on which nothing was received for too long, before any unread messages on them are processed.
    /// Returns the store nodes whose leases have expired.
    pub fn expire_leases(&mut self, network: &mut Network, now: u64) -> Vec<NodeAddress> {
        let mut expired = Vec::new();
        for (address, link) in &mut self.links {
            let timed_out = link.has_timed_out(now);
            if timed_out || link.outgoing.connect_timed_out(now) {
                link.outgoing.reset(network, now);
            }
            if timed_out || link.lease_expires_at().is_some_and(|at| now >= at) {
                link.lease_renewed_at = None;
                expired.push(*address);
            }
        }
        expired
    }

    /// Opens missing links and sends heartbeats.
    pub fn maintain(&mut self, network: &mut Network, now: u64) {
        for (address, link) in &mut self.links {
            link.outgoing.connect_if_due(network, *address, now);
            if link.outgoing.is_up() && now >= link.heartbeat_at {
                link.heartbeat_at = now + HEARTBEAT_MS;
                link.outgoing.send(
                    network,
                    &GatewayMessage::Heartbeat { generation_capacity: self.generation_capacity },
                );
            }
        }
    }

    /// Returns when [`StoreLinks::maintain`] or [`StoreLinks::expire_leases`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        let due = |link: &Link| {
            let due = link.outgoing.next_wakeup(link.heartbeat_at.min(link.last_received_at + LEASE_MS));
            due.min(link.lease_expires_at().unwrap_or(u64::MAX))
        };
        self.links.values().map(due).min().unwrap_or(u64::MAX)
    }

    /// Handles an established connection. Returns the store node if it is the connection of a link.
    pub fn connected(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<NodeAddress> {
        let limit = self.generation_capacity;
        let (address, link) = self.links.iter_mut().find(|(_, link)| link.outgoing.owns(connection))?;
        link.outgoing.connected();
        link.last_received_at = now;
        link.heartbeat_at = now + HEARTBEAT_MS;
        network.send(connection, &[LinkProtocol::StoreClient.byte()]);
        link.outgoing.send(network, &GatewayMessage::Handshake(self.handshake.clone()));
        link.outgoing.send(network, &GatewayMessage::Heartbeat { generation_capacity: limit });
        Some(*address)
    }

    /// Handles the end of a connection. Returns the store node if it was the connection of a link.
    pub fn closed(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<NodeAddress> {
        let (address, link) = self.links.iter_mut().find(|(_, link)| link.outgoing.owns(connection))?;
        link.outgoing.disconnected(network, now);
        Some(*address)
    }

    /// Returns the messages that have arrived on a link, and the store node that sent them.
    pub fn read(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<(NodeAddress, Vec<StoreMessage>)> {
        let (address, link) = self.links.iter_mut().find(|(_, link)| link.outgoing.owns(connection))?;
        link.last_received_at = now;
        link.lease_renewed_at = Some(now);
        let mut messages = Vec::new();
        loop {
            match read_frame::<StoreMessage>(network.inbox(connection)) {
                Ok(Some((message, length))) => {
                    network.consume(connection, length);
                    messages.push(message);
                }
                Ok(None) => break,
                Err(error) => {
                    log::warn!("stores: link closed after an invalid frame: {error}");
                    link.outgoing.disconnected(network, now);
                    break;
                }
            }
        }
        Some((*address, messages))
    }
}
