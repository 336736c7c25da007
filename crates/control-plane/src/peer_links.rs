//! Links between control nodes.
//!
//! Every control node opens a link to each of the others and sends on it; it receives on the links that the others opened.
//! A link is reopened if nothing is received from the peer.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_net::outgoing_link::{MonitoredLink, ReconnectTiming};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};

use crate::peer_messages::PeerMessage;

/// Delay and time limit of reconnection attempts.
const RECONNECT_TIMING: ReconnectTiming = ReconnectTiming { retry_interval_ms: 300, connect_timeout_ms: 250 };
/// A link is reopened if nothing was received from the peer for this time, in milliseconds.
const RECEIVE_TIMEOUT_MS: Milliseconds = 1_000;
/// A peer outside the view from which nothing was received for this time is forgotten, in milliseconds.
const FORGET_PEER_MS: Milliseconds = 10_000;
/// An observer that had no session for this time, in milliseconds, is forgotten.
const FORGET_OBSERVER_MS: Milliseconds = 600_000;
/// A link with more queued bytes than this is reopened.
const MAX_QUEUED_BYTES: usize = 16 << 20;

#[derive(Debug)]
struct PeerLink {
    link: MonitoredLink,
    /// The member at the other end, once it has introduced itself.
    member: Option<MemberId>,
    /// The connection that the peer has opened and sends on.
    incoming: Option<ConnectionId>,
    /// When another node last named this peer, in milliseconds.
    hinted_at: Milliseconds,
    /// Whether the peer is an observer, which is not a member.
    is_observer: bool,
    /// Whether the peer is in the view or a seed: the link is kept even if nothing is received.
    is_permanent: bool,
}

impl PeerLink {
    fn new() -> PeerLink {
        PeerLink {
            link: MonitoredLink::new(RECONNECT_TIMING, RECEIVE_TIMEOUT_MS),
            member: None,
            incoming: None,
            hinted_at: 0,
            is_observer: false,
            is_permanent: false,
        }
    }

    fn has_failed(&self, network: &Network, now: Milliseconds) -> bool {
        let connection = self.link.outgoing.connection();
        let queued = connection.map_or(0, |connection| network.queued_bytes(connection));
        queued > MAX_QUEUED_BYTES || self.link.has_failed(now)
    }
}

/// All links of this node to other control nodes.
#[derive(Debug)]
pub struct PeerLinks {
    me: NodeAddress,
    peers: BTreeMap<NodeAddress, PeerLink>,
    /// Observers, and when each last had a session, in milliseconds.
    observers: BTreeMap<NodeAddress, u64>,
}

impl PeerLinks {
    /// Creates the links of the node at address `me`; there are none yet.
    pub fn new(me: NodeAddress) -> PeerLinks {
        PeerLinks { me, peers: BTreeMap::new(), observers: BTreeMap::new() }
    }

    /// Adds control nodes that an observer has named. Links are opened to them, and dropped if nothing is received.
    pub fn add_hints(&mut self, addresses: Vec<NodeAddress>, now: Milliseconds) {
        for address in addresses.into_iter().filter(|address| *address != self.me) {
            self.peers.entry(address).or_insert_with(PeerLink::new).hinted_at = now;
        }
    }

    /// Notes that the observer at `address` has a session with some member. A link to it is kept while it has one and for
    /// some time after: an observer stores nothing, so after a restart it learns the members only from its own seeds and from
    /// the links that they open.
    pub fn observer_seen(&mut self, address: NodeAddress, now: Milliseconds) {
        if address != self.me {
            self.observers.insert(address, now);
            self.peers.entry(address).or_insert_with(PeerLink::new).is_observer = true;
        }
    }

    /// Returns whether the node at this address is known to be an observer.
    pub fn is_observer(&self, address: NodeAddress) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.is_observer)
    }

    /// Marks the node at the other end of a link as an observer.
    pub fn mark_observer(&mut self, address: NodeAddress) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.is_observer = true;
        }
    }

    /// Returns the address of the node to which this connection is an outgoing link.
    pub fn address_of(&self, connection: ConnectionId) -> Option<NodeAddress> {
        self.peers.iter().find(|(_, peer)| peer.link.outgoing.owns(connection)).map(|(address, _)| *address)
    }

    /// Sets the nodes to which links are kept even if nothing is received from them.
    pub fn set_permanent_peers(&mut self, addresses: impl Iterator<Item = NodeAddress>) {
        for peer in self.peers.values_mut() {
            peer.is_permanent = false;
        }
        for address in addresses.filter(|address| *address != self.me) {
            self.peers.entry(address).or_insert_with(PeerLink::new).is_permanent = true;
        }
    }

    /// Returns the members from which something was received recently.
    pub fn live_members(&self, now: Milliseconds) -> Vec<MemberId> {
        let is_live = |peer: &&PeerLink| {
            let last_received_at = peer.link.last_received_at();
            last_received_at > 0 && now < last_received_at + RECEIVE_TIMEOUT_MS
        };
        self.peers.values().filter(is_live).filter_map(|peer| peer.member).collect()
    }

    /// Records that a peer introduced itself on a connection that it opened. Returns the older connection from the same
    /// address, which this one supersedes.
    pub fn peer_introduced(
        &mut self,
        member: MemberId,
        connection: ConnectionId,
        now: Milliseconds,
    ) -> Option<ConnectionId> {
        if member.address == self.me {
            return None;
        }
        let peer = self.peers.entry(member.address).or_insert_with(PeerLink::new);
        peer.member = Some(member);
        peer.is_observer = false;
        self.observers.remove(&member.address);
        let superseded = peer.incoming.replace(connection).filter(|older| *older != connection);
        peer.link.message_received(now);
        // The peer's machine is reachable, so a stalled link to it is reopened at once.
        peer.link.outgoing.peer_reachable(now);
        superseded
    }

    /// Records that a message was received from a member.
    pub fn message_received(&mut self, member: MemberId, now: Milliseconds) {
        if let Some(peer) = self.peers.get_mut(&member.address) {
            peer.link.message_received(now);
        }
    }

    /// Opens missing links and drops failed ones. Returns the members whose links were dropped.
    pub fn maintain(&mut self, network: &mut Network, now: Milliseconds) -> Vec<MemberId> {
        let mut dropped = Vec::new();
        self.observers.retain(|_, seen_at| now < *seen_at + FORGET_OBSERVER_MS);
        let observers = &self.observers;
        self.peers.retain(|address, peer| {
            let is_recent = now < peer.link.last_received_at().max(peer.hinted_at) + FORGET_PEER_MS;
            let stays = peer.is_permanent || is_recent || observers.contains_key(address);
            if !stays {
                peer.link.outgoing.close(network);
            }
            stays
        });
        for (address, peer) in &mut self.peers {
            if peer.has_failed(network, now) && peer.link.outgoing.reset(network, now) {
                dropped.extend(peer.member);
            }
            peer.link.outgoing.connect_if_due(network, *address, now);
        }
        dropped
    }

    /// Records that a connection is established. Returns the address of the peer if it is one of these links.
    pub fn connected(&mut self, connection: ConnectionId) -> Option<NodeAddress> {
        let (address, peer) = self.peers.iter_mut().find(|(_, peer)| peer.link.outgoing.owns(connection))?;
        peer.link.outgoing.connected();
        Some(*address)
    }

    /// Returns the member at the other end of a link, if it is known.
    pub fn member_at(&self, address: NodeAddress) -> Option<MemberId> {
        self.peers.get(&address).and_then(|peer| peer.member)
    }

    /// Processes the end of a connection. Returns the member if the connection was the link to it.
    pub fn closed(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: Milliseconds,
    ) -> Option<MemberId> {
        for peer in self.peers.values_mut() {
            if peer.link.outgoing.owns(connection) {
                peer.link.outgoing.disconnected(network, now);
                return peer.member;
            }
            if peer.incoming == Some(connection) {
                peer.incoming = None;
            }
        }
        None
    }

    /// Sends a message if the link is established; otherwise the message is lost.
    pub fn send(&self, network: &mut Network, to: NodeAddress, message: &PeerMessage) {
        if let Some(peer) = self.peers.get(&to) {
            peer.link.outgoing.send(network, message);
        }
    }

    /// Sends a message to every member whose link is established.
    pub fn broadcast(&self, network: &mut Network, message: &PeerMessage) {
        for address in self.peers.iter().filter(|(_, peer)| !peer.is_observer).map(|(address, _)| address) {
            self.send(network, *address, message);
        }
    }
}
