//! Links between store nodes that share a partition. Each node opens a link to every other one and sends on it.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_net::outgoing_link::{MonitoredLink, ReconnectTiming};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{LinkProtocol, PROTOCOL_VERSION};

use crate::messages::PeerMessage;

/// Time between two heartbeats on a link, in milliseconds.
const HEARTBEAT_MS: u64 = 300;
/// A link is reopened if nothing was received from the peer for this time, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// Timing of reconnection attempts.
const RECONNECT_TIMING: ReconnectTiming = ReconnectTiming { retry_interval_ms: 150, connect_timeout_ms: 300 };

/// A link to another store node. Times are those of the monotonic clock, in milliseconds.
#[derive(Debug)]
struct PeerLink {
    link: MonitoredLink,
    next_heartbeat_at: u64,
}

impl PeerLink {
    fn new() -> PeerLink {
        PeerLink { link: MonitoredLink::new(RECONNECT_TIMING, PEER_TIMEOUT_MS), next_heartbeat_at: 0 }
    }
}

/// The links from this store node to its peers.
#[derive(Debug)]
pub struct PeerLinks {
    me: MemberId,
    links: BTreeMap<MemberId, PeerLink>,
}

impl PeerLinks {
    /// Starts without links; `me` is the identity sent in handshakes.
    pub fn new(me: MemberId) -> PeerLinks {
        PeerLinks { me, links: BTreeMap::new() }
    }

    /// Sets the store nodes to which links are kept. Links to other nodes are closed.
    pub fn set_peers(&mut self, network: &mut Network, peers: &BTreeSet<MemberId>) {
        if self.links.len() == peers.len() && self.links.keys().all(|member| peers.contains(member)) {
            return;
        }
        self.links.retain(|member, peer| {
            let keep = peers.contains(member);
            if !keep {
                peer.link.outgoing.close(network);
            }
            keep
        });
        for peer in peers {
            self.links.entry(*peer).or_insert_with(PeerLink::new);
        }
    }

    /// Records that a message from a peer was received.
    pub fn message_received(&mut self, member: MemberId, now: u64) {
        if let Some(peer) = self.links.get_mut(&member) {
            peer.link.message_received(now);
        }
    }

    /// Opens missing links, resets those that timed out and sends heartbeats. Returns the peers whose link was reset.
    pub fn maintain(&mut self, network: &mut Network, now: u64) -> Vec<MemberId> {
        let mut dropped = Vec::new();
        for (member, peer) in &mut self.links {
            if peer.link.has_failed(now) && peer.link.outgoing.reset(network, now) {
                dropped.push(*member);
            }
            peer.link.outgoing.connect_if_due(network, member.address, now);
            if peer.link.outgoing.is_up() && now >= peer.next_heartbeat_at {
                peer.next_heartbeat_at = now + HEARTBEAT_MS;
                peer.link.outgoing.send(network, &PeerMessage::Heartbeat);
            }
        }
        dropped
    }

    /// Returns the time at which [`PeerLinks::maintain`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        let due = self.links.values().map(|peer| peer.link.outgoing.next_wakeup(peer.next_heartbeat_at));
        due.min().unwrap_or(u64::MAX)
    }

    /// Handles an established connection. Returns the peer if the connection belongs to one of these links.
    pub fn connected(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
    ) -> Option<MemberId> {
        let me = self.me;
        let (member, peer) = self.links.iter_mut().find(|(_, peer)| peer.link.outgoing.owns(connection))?;
        peer.link.outgoing.connected();
        peer.next_heartbeat_at = now + HEARTBEAT_MS;
        network.send(connection, &[LinkProtocol::StorePeer.byte()]);
        peer.link.outgoing.send(network, &PeerMessage::Handshake { version: PROTOCOL_VERSION, member: me });
        Some(*member)
    }

    /// Handles a closed connection. Returns the peer if the connection belonged to one of these links.
    pub fn closed(&mut self, network: &mut Network, connection: ConnectionId, now: u64) -> Option<MemberId> {
        let (member, peer) = self.links.iter_mut().find(|(_, peer)| peer.link.outgoing.owns(connection))?;
        peer.link.outgoing.disconnected(network, now);
        Some(*member)
    }

    /// Sends a message if the link is up, and drops it otherwise.
    pub fn send(&self, network: &mut Network, to: MemberId, message: &PeerMessage) {
        if let Some(peer) = self.links.get(&to) {
            peer.link.outgoing.send(network, message);
        }
    }
}
