//! Links between simulated machines, opened, closed and reopened by the rules of the control process.

use std::collections::BTreeMap;

use orchidvalve_protocol::identity::{MemberId, NodeAddress};

const RETRY_MS: u64 = 300;
const UNRESPONSIVE_MS: u64 = 1_000;
const FORGET_MS: u64 = 10_000;

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub member: Option<MemberId>,
    pub up: bool,
    /// Start number of the process at the other end of the link.
    start: u32,
    pub last_heard_at: u64,
    opened_at: u64,
    retry_at: u64,
    lasting: bool,
}

/// The links that one process has opened.
#[derive(Clone, Debug, Default)]
pub struct Links {
    peers: BTreeMap<NodeAddress, Peer>,
}

/// Work for the host after [`Links::maintain`].
#[derive(Debug, Default)]
pub struct LinkChanges {
    pub dropped: Vec<MemberId>,
    /// Addresses to which a link is to be opened.
    pub to_open: Vec<NodeAddress>,
}

impl Links {
    pub fn set_lasting(&mut self, me: NodeAddress, addresses: impl Iterator<Item = NodeAddress>) {
        for peer in self.peers.values_mut() {
            peer.lasting = false;
        }
        for address in addresses.filter(|a| *a != me) {
            self.peers.entry(address).or_default().lasting = true;
        }
    }

    pub fn responsive_members(&self, now: u64) -> Vec<MemberId> {
        let responsive =
            self.peers.values().filter(|p| p.last_heard_at > 0 && now < p.last_heard_at + UNRESPONSIVE_MS);
        responsive.filter_map(|p| p.member).collect()
    }

    pub fn handshake_received(&mut self, member: MemberId, now: u64) {
        let peer = self.peers.entry(member.address).or_default();
        peer.member = Some(member);
        peer.last_heard_at = now;
        if !peer.up {
            peer.retry_at = now;
        }
    }

    pub fn message_received(&mut self, address: NodeAddress, now: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_heard_at = now;
        }
    }

    pub fn maintain(&mut self, now: u64) -> LinkChanges {
        let mut changes = LinkChanges::default();
        self.peers.retain(|_, p| p.lasting || p.last_heard_at == 0 || now < p.last_heard_at + FORGET_MS);
        for (address, peer) in &mut self.peers {
            if peer.up && now > peer.last_heard_at.max(peer.opened_at) + UNRESPONSIVE_MS {
                peer.up = false;
                peer.retry_at = now;
                changes.dropped.extend(peer.member);
            }
            if !peer.up && now >= peer.retry_at {
                peer.retry_at = now + RETRY_MS;
                changes.to_open.push(*address);
            }
        }
        changes
    }

    /// Records that the link is open, and returns the member at its other end if that is known.
    pub fn opened(&mut self, address: NodeAddress, start: u32, now: u64) -> Option<MemberId> {
        let peer = self.peers.entry(address).or_default();
        peer.up = true;
        peer.start = start;
        peer.opened_at = now;
        peer.member
    }

    /// Records that the other end closed the link, and returns its member if the link was open.
    pub fn closed(&mut self, address: NodeAddress, now: u64) -> Option<MemberId> {
        let peer = self.peers.get_mut(&address).filter(|p| p.up)?;
        peer.up = false;
        peer.retry_at = now + RETRY_MS;
        peer.member
    }

    /// Returns the start number of the process that the link to this address leads to, or `None` if it is not open.
    pub fn start_at(&self, address: NodeAddress) -> Option<u32> {
        self.peers.get(&address).filter(|p| p.up).map(|p| p.start)
    }
}
