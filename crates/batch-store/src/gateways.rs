//! The gateways to which groups are assigned, and their leases.
//!
//! A gateway holds a lease on its groups that each of its messages renews (Gray and Cheriton 1989). The lease expires
//! [`GATEWAY_TIMEOUT_MS`] after the last message.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::Handshake;

use crate::GATEWAY_TIMEOUT_MS;
use crate::link::LinkId;

/// Identifies one run of a gateway process, whatever links it uses. Ids are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GatewayId(u32);

/// A run of a gateway process.
#[derive(Debug)]
pub(crate) struct Gateway {
    address: NodeAddress,
    incarnation: u64,
    link: Option<LinkId>,
    /// The latest link that the gateway has opened. Links are numbered in the order in which they are accepted.
    latest_link: LinkId,
    last_message_ms: u64,
    /// Whether the lease has expired, so that the groups may be assigned to other gateways.
    timed_out: bool,
    /// Whether the control node lists this gateway among those that run generations.
    runs_generations: bool,
    /// Fraction of a CPU core that the gateway may use.
    cpu_share: f32,
    /// Number of generations that the gateway can have in flight or queued.
    capacity: u32,
    items_in_flight: u32,
}

impl Gateway {
    /// Minimum weight; lets gateways without a CPU share be ranked.
    const MIN_WEIGHT: f32 = 0.01;

    /// Returns the address, which identifies the gateway across restarts.
    pub fn address(&self) -> NodeAddress {
        self.address
    }

    /// Returns the current link; `None` if the gateway is not connected.
    pub fn link(&self) -> Option<LinkId> {
        self.link
    }

    /// Returns whether a further group of `items` items fits. An idle gateway accepts a group that exceeds its
    /// capacity.
    pub fn has_capacity(&self, items: u32) -> bool {
        self.link.is_some()
            && !self.timed_out
            && self.runs_generations
            && self.capacity > 0
            && (self.items_in_flight == 0 || self.items_in_flight + items <= self.capacity)
    }

    /// Returns whether less than half of the capacity is in use.
    pub fn is_idle(&self) -> bool {
        self.items_in_flight * 2 < self.capacity
    }

    /// Returns the number of generations in flight divided by the weight.
    pub fn load(&self) -> f32 {
        self.items_in_flight as f32 / self.weight()
    }

    /// Returns the gateway's weight in the distribution of groups.
    pub fn weight(&self) -> f32 {
        self.cpu_share.max(Gateway::MIN_WEIGHT)
    }
}

/// The gateway from which a message was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub id: GatewayId,
    /// Whether its lease had expired before this message. From now on the gateway may get groups again.
    pub had_timed_out: bool,
}

/// The meaning of a new link from a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkStatus {
    /// The first link of a gateway that is not in the table.
    New,
    /// A new link of the same run of the process, which may have missed messages.
    Reconnected(GatewayId),
    /// The first link of a new run of the process. The given earlier run has ended, and its groups are lost.
    Replaces(GatewayId),
    /// The gateway has opened a later link. Messages on this one were sent earlier and are ignored.
    Outdated,
}

/// The gateways from which messages were received recently.
#[derive(Debug, Default)]
pub(crate) struct GatewayTable {
    gateways: BTreeMap<GatewayId, Gateway>,
    links: BTreeMap<LinkId, GatewayId>,
    next_id: GatewayId,
    /// Addresses of the gateways that run generations; `None` until a control node has sent the list.
    workers: Option<BTreeSet<NodeAddress>>,
}

impl GatewayTable {
    /// Adds a link. It supersedes earlier links of the same gateway, whose messages are ignored from now on.
    pub fn link_up(&mut self, link: LinkId, handshake: &Handshake, now_ms: u64) -> LinkStatus {
        let address = handshake.member.address;
        let known = self.gateways.iter_mut().find(|(_, gateway)| gateway.address == address);
        if known.as_ref().is_some_and(|(_, gateway)| gateway.latest_link > link) {
            return LinkStatus::Outdated;
        }
        if let Some((id, _)) = &known {
            self.links.retain(|_, of| of != *id);
        }
        let mut status = LinkStatus::New;
        match known {
            Some((&id, gateway)) if gateway.incarnation == handshake.incarnation => {
                gateway.link = Some(link);
                gateway.latest_link = link;
                gateway.last_message_ms = now_ms;
                gateway.timed_out = false;
                gateway.cpu_share = handshake.cpu_share;
                self.links.insert(link, id);
                return LinkStatus::Reconnected(id);
            }
            Some((&id, _)) => status = LinkStatus::Replaces(id),
            None => {}
        }
        let gateway = Gateway {
            address,
            incarnation: handshake.incarnation,
            link: Some(link),
            latest_link: link,
            last_message_ms: now_ms,
            timed_out: false,
            runs_generations: self.is_worker(address),
            cpu_share: handshake.cpu_share,
            capacity: 0,
            items_in_flight: 0,
        };
        self.gateways.insert(self.next_id, gateway);
        self.links.insert(link, self.next_id);
        self.next_id.0 += 1;
        status
    }

    /// Handles the loss of a link.
    pub fn link_down(&mut self, link: LinkId) {
        if let Some(id) = self.links.remove(&link)
            && let Some(gateway) = self.gateways.get_mut(&id)
            && gateway.link == Some(link)
        {
            gateway.link = None;
        }
    }

    /// Records that a message was received. Returns its sender, or `None` if a later link has superseded this one.
    pub fn message_received(&mut self, link: LinkId, now_ms: u64) -> Option<Sender> {
        let id = *self.links.get(&link)?;
        let gateway = self.gateways.get_mut(&id)?;
        gateway.last_message_ms = now_ms;
        Some(Sender { id, had_timed_out: std::mem::take(&mut gateway.timed_out) })
    }

    /// Sets the gateways that run generations; no others get groups. A gateway that the control nodes do not reach may
    /// not know that it was removed from the list, nor which servers could run its groups.
    pub fn set_workers(&mut self, workers: &[NodeAddress]) {
        self.workers = Some(workers.iter().copied().collect());
        let is_listed = |address: &NodeAddress| workers.contains(address);
        self.gateways.values_mut().for_each(|gateway| gateway.runs_generations = is_listed(&gateway.address));
    }

    fn is_worker(&self, address: NodeAddress) -> bool {
        self.workers.as_ref().is_none_or(|workers| workers.contains(&address))
    }

    /// Records the capacity from a heartbeat. Returns whether the capacity has risen.
    pub fn set_capacity(&mut self, link: LinkId, capacity: u32) -> bool {
        let Some(gateway) = self.links.get(&link).and_then(|id| self.gateways.get_mut(id)) else {
            return false;
        };
        let is_higher = capacity > gateway.capacity;
        gateway.capacity = capacity;
        is_higher
    }

    /// Returns the gateway with this id.
    pub fn get(&self, id: GatewayId) -> Option<&Gateway> {
        self.gateways.get(&id)
    }

    /// Iterates over all gateways in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (GatewayId, &Gateway)> {
        self.gateways.iter().map(|(&id, gateway)| (id, gateway))
    }

    /// Removes a gateway and its link.
    pub fn remove(&mut self, id: GatewayId) {
        if let Some(gateway) = self.gateways.remove(&id)
            && let Some(link) = gateway.link
            && self.links.get(&link) == Some(&id)
        {
            self.links.remove(&link);
        }
    }

    /// Iterates over the links of all connected gateways.
    pub fn links(&self) -> impl Iterator<Item = LinkId> {
        self.gateways.values().filter_map(|gateway| gateway.link)
    }

    /// Adds to the number of items in flight at a gateway.
    pub fn add_items(&mut self, id: GatewayId, items: u32) {
        if let Some(gateway) = self.gateways.get_mut(&id) {
            gateway.items_in_flight += items;
        }
    }

    /// Subtracts from the number of items in flight at a gateway.
    pub fn release_items(&mut self, id: GatewayId, items: u32) {
        if let Some(gateway) = self.gateways.get_mut(&id) {
            gateway.items_in_flight = gateway.items_in_flight.saturating_sub(items);
        }
    }

    /// Marks the gateways whose lease has expired and returns them. The caller revokes their groups and removes those
    /// without a link. A gateway with a link gets no groups until its next message.
    pub fn take_timed_out(&mut self, now_ms: u64) -> Vec<GatewayId> {
        let mut timed_out = Vec::new();
        for (&id, gateway) in &mut self.gateways {
            let has_expired = now_ms.saturating_sub(gateway.last_message_ms) >= GATEWAY_TIMEOUT_MS;
            if has_expired && (!gateway.timed_out || gateway.link.is_none()) {
                gateway.timed_out = true;
                timed_out.push(id);
            }
        }
        timed_out
    }
}
