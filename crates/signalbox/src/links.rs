//! Links between control machines.
//!
//! Every control machine opens a link to each of the others and sends on it; what it receives comes on links
//! that the others opened. A link on which nothing is heard from the other side is opened anew.

use std::collections::BTreeMap;

use orchidvalve_track::identity::{MemberId, NodeAddress};
use orchidvalve_track::network::{ConnectionId, Network};
use orchidvalve_track::outgoing_link::{LinkPace, OutgoingLink};

use crate::peer::PeerMessage;

/// Times of a link.
const PACE: LinkPace = LinkPace { retry_ms: 300, connect_timeout_ms: 250 };
/// A link is opened anew if the peer wasn't heard for this time.
const SILENCE_MS: u64 = 1_000;
/// A peer outside the view that wasn't heard for this time is forgotten.
const FORGET_MS: u64 = 10_000;
/// Most bytes that may wait on a link.
const MOST_QUEUED_BYTES: usize = 16 << 20;

#[derive(Debug)]
struct Peer {
    outgoing: OutgoingLink,
    member: Option<MemberId>,
    incoming: Option<ConnectionId>,
    heard_at: u64,
    /// In the view or a seed: kept though it is silent.
    lasting: bool,
}

impl Peer {
    fn new() -> Peer {
        Peer { outgoing: OutgoingLink::new(PACE), member: None, incoming: None, heard_at: 0, lasting: false }
    }

    fn is_lost(&self, network: &Network, now: u64) -> bool {
        let queued = self.outgoing.connection().map_or(0, |connection| network.queued_bytes(connection));
        let quiet_since = self.heard_at.max(self.outgoing.opened_at());
        queued > MOST_QUEUED_BYTES || self.outgoing.hangs(now) || now > quiet_since + SILENCE_MS
    }
}

/// All links of this machine to other control machines.
#[derive(Debug)]
pub struct PeerLinks {
    me: NodeAddress,
    peers: BTreeMap<NodeAddress, Peer>,
}

impl PeerLinks {
    pub fn new(me: NodeAddress) -> PeerLinks {
        PeerLinks { me, peers: BTreeMap::new() }
    }

    /// Machines that have to be linked as long as they are in this list.
    pub fn set_lasting(&mut self, addresses: impl Iterator<Item = NodeAddress>) {
        for peer in self.peers.values_mut() {
            peer.lasting = false;
        }
        for address in addresses.filter(|a| *a != self.me) {
            self.peers.entry(address).or_insert_with(Peer::new).lasting = true;
        }
    }

    /// Members that were heard lately.
    pub fn heard_members(&self, now: u64) -> Vec<MemberId> {
        let heard = self.peers.values().filter(|p| p.heard_at > 0 && now < p.heard_at + SILENCE_MS);
        heard.filter_map(|p| p.member).collect()
    }

    /// A peer introduced itself on a connection that it opened. Returns the older connection from the same address
    /// that this one takes the place of.
    pub fn introduced(
        &mut self,
        member: MemberId,
        connection: ConnectionId,
        now: u64,
    ) -> Option<ConnectionId> {
        if member.address == self.me {
            return None;
        }
        let peer = self.peers.entry(member.address).or_insert_with(Peer::new);
        peer.member = Some(member);
        let older = peer.incoming.replace(connection).filter(|older| *older != connection);
        peer.heard_at = now;
        // Its machine is up: a link to it that hangs is begun anew at once.
        peer.outgoing.hurry(now);
        older
    }

    /// Something arrived from a peer.
    pub fn heard(&mut self, member: MemberId, now: u64) {
        if let Some(peer) = self.peers.get_mut(&member.address) {
            peer.heard_at = now;
        }
    }

    /// Opens missing links and drops silent ones. Returns members whose link was dropped.
    pub fn maintain(&mut self, network: &mut Network, now: u64) -> Vec<MemberId> {
        let mut dropped = Vec::new();
        self.peers.retain(|_, p| p.lasting || p.heard_at == 0 || now < p.heard_at + FORGET_MS);
        for (address, peer) in &mut self.peers {
            if peer.is_lost(network, now) && peer.outgoing.abandon(network, now) {
                dropped.extend(peer.member);
            }
            peer.outgoing.open_if_due(network, *address, now);
        }
        dropped
    }

    /// A connection that this machine began is up; the address of its peer if it is one of these links.
    pub fn connected(&mut self, connection: ConnectionId) -> Option<NodeAddress> {
        let (address, peer) = self.peers.iter_mut().find(|(_, p)| p.outgoing.owns(connection))?;
        peer.outgoing.came_up();
        Some(*address)
    }

    /// The member at the other end of a link, where it is known.
    pub fn member_at(&self, address: NodeAddress) -> Option<MemberId> {
        self.peers.get(&address).and_then(|p| p.member)
    }

    /// A connection ended; the member if it was the link to it.
    pub fn closed(&mut self, network: &mut Network, connection: ConnectionId, now: u64) -> Option<MemberId> {
        for peer in self.peers.values_mut() {
            if peer.outgoing.owns(connection) {
                peer.outgoing.ended(network, now);
                return peer.member;
            }
            if peer.incoming == Some(connection) {
                peer.incoming = None;
            }
        }
        None
    }

    /// Sends a message if the link is up; it is lost otherwise.
    pub fn send(&self, network: &mut Network, to: NodeAddress, message: &PeerMessage) {
        if let Some(peer) = self.peers.get(&to) {
            peer.outgoing.send(network, message);
        }
    }

    /// Sends a message on every link that is up.
    pub fn broadcast(&self, network: &mut Network, message: &PeerMessage) {
        for address in self.peers.keys() {
            self.send(network, *address, message);
        }
    }
}
