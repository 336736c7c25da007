//! Delivery of messages between machines: messages are lost, duplicated, delayed or mutated.

use orchidvalve_chain_replication::Message as ChainMessage;
use orchidvalve_consensus::Message as AgreementMessage;
use orchidvalve_control_plane::peer_messages::{HeadRequest, PeerMessage};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use rand::Rng;

use super::{Cluster, Event, Packet};
use crate::support::scenario::{MutationKind, PlantedBug, kind_of};

/// The acknowledgement that a member with a planted bug sends before the received entries are durable.
fn early_acknowledgement(message: &ChainMessage) -> Option<ChainMessage> {
    let ChainMessage::Entries { epoch, entries, .. } = message else { return None };
    let last = entries.last()?;
    Some(ChainMessage::Acknowledge { epoch: *epoch, sequence: last.sequence })
}

fn carries_entries(packet: &Packet) -> bool {
    let Packet::Message(PeerMessage::Chain(ChainMessage::Entries { entries, .. })) = packet else {
        return false;
    };
    !entries.is_empty()
}

/// Returns the number of bytes of a message that count on a narrow line: a header and the payloads.
fn size_in_bytes(packet: &Packet) -> usize {
    const HEADER: usize = 60;
    let payload = match packet {
        Packet::Message(PeerMessage::Chain(ChainMessage::Entries { entries, .. })) => {
            entries.iter().map(|entry| entry.payload.len()).sum()
        }
        Packet::Message(PeerMessage::Forward { request: HeadRequest::Change { change }, .. }) => change.len(),
        _ => 0,
    };
    HEADER + payload
}

impl Cluster {
    pub(super) fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked_links.contains(&(from, to))
    }

    pub(super) fn deliver(
        &mut self,
        from: usize,
        sender: MemberId,
        to: usize,
        to_start: u32,
        packet: Packet,
    ) {
        if self.is_blocked(from, to) {
            return;
        }
        let address = self.machines[to].address;
        if self.machines[to].control_node.is_none() || self.machines[to].start != to_start {
            // The process that the link led to is gone: the receiving machine resets the connection.
            self.link_closed(from, address);
            return;
        }
        if self.machines[to].frozen {
            self.machines[to].inbox.push((from, sender, packet));
            return;
        }
        self.handle_packet(to, from, sender, packet);
        self.turn(to);
    }

    pub fn link_closed(&mut self, machine: usize, address: NodeAddress) {
        let host = &mut self.machines[machine];
        if let (Some(control_node), Some(member)) =
            (&mut host.control_node, host.links.closed(address, self.now))
        {
            control_node.link_down(member);
        }
    }

    pub(super) fn handle_packet(&mut self, machine: usize, from: usize, sender: MemberId, packet: Packet) {
        let (from_address, now) = (self.machines[from].address, self.now);
        let mut early = None;
        let host = &mut self.machines[machine];
        let Some(control_node) = &mut host.control_node else { return };
        control_node.advance_clock(now);
        match packet {
            Packet::Handshake(member) => {
                host.links.handshake_received(member, now);
                control_node.link_up(member);
            }
            Packet::Message(message) => {
                host.links.message_received(from_address, now);
                match message {
                    PeerMessage::Agreement(message) => control_node.agreement_message(sender, message),
                    PeerMessage::Chain(message) => {
                        early = early_acknowledgement(&message);
                        control_node.chain_message(sender, message);
                    }
                    PeerMessage::Forward { number, request } => {
                        control_node.forwarded_request(sender, number, request);
                    }
                    PeerMessage::ForwardOutcome { number, outcome } => {
                        control_node.forwarded_outcome(number, outcome);
                    }
                    _ => {}
                }
            }
        }
        if self.scenario.planted_bug == Some(PlantedBug::EarlyAcknowledgements)
            && let Some(message) = early
        {
            self.send(machine, sender, PeerMessage::Chain(message));
        }
    }

    pub(super) fn open_link(&mut self, machine: usize, address: NodeAddress) {
        let other =
            self.machines.iter().position(|m| m.address == address && !m.removed && m.control_node.is_some());
        let Some(other) = other.filter(|o| !self.is_blocked(machine, *o) && !self.is_blocked(*o, machine))
        else {
            return;
        };
        let start = self.machines[other].start;
        let host = &mut self.machines[machine];
        let (me, member) = (host.member(), host.links.opened(address, start, self.now));
        let Some(control_node) = &mut host.control_node else { return };
        let hello = control_node.hello();
        if let Some(member) = member {
            control_node.link_up(member);
        }
        self.transmit(machine, other, start, Packet::Handshake(me));
        self.transmit(machine, other, start, Packet::Message(hello));
        self.send_full_table(machine, other, start);
    }

    pub(super) fn send(&mut self, machine: usize, to: MemberId, message: PeerMessage) {
        let drops_chain_messages = self.scenario.planted_bug == Some(PlantedBug::SilentChain) && self.quiet;
        if drops_chain_messages && matches!(message, PeerMessage::Chain(_)) {
            return;
        }
        if let Some(start) = self.machines[machine].links.start_at(to.address)
            && let Some(other) = self.machines.iter().position(|m| m.address == to.address && !m.removed)
        {
            self.transmit(machine, other, start, Packet::Message(message));
        }
    }

    /// Whether a packet may be duplicated. With operators, a forwarded request may not: a connection duplicates
    /// nothing, and an operator may receive only one outcome.
    fn may_be_duplicated(&self, packet: &Packet) -> bool {
        let is_call = matches!(packet, Packet::Message(PeerMessage::Forward { .. }));
        !is_call || self.scenario.operators == 0
    }

    /// Whether entries sent to a process are lost because it started recently within the fault window.
    fn loses_copies(&self, machine: usize) -> bool {
        let started_at = self.machines[machine].started_at;
        started_at >= self.scenario.fault_window.0 && self.now < started_at + self.scenario.slow_copies
    }

    /// Whether the mutation of the scenario has been applied.
    pub fn mutated(&self) -> bool {
        self.mutated
    }

    /// Returns the kinds of messages that were sent.
    pub fn kinds(&self) -> impl Iterator<Item = usize> {
        self.sent.keys().copied()
    }

    /// Returns the mutation to apply to this message, if the scenario selects it.
    fn mutation(&mut self, packet: &Packet) -> Option<MutationKind> {
        let Packet::Message(message) = packet else { return None };
        let kind = kind_of(message)?;
        let number = self.sent.entry(kind).or_default();
        *number += 1;
        let mutation = self.scenario.mutation.filter(|m| m.kind == kind && m.number + 1 == *number)?;
        self.mutated = true;
        Some(mutation.how)
    }

    fn transmit(&mut self, from: usize, to: usize, to_start: u32, mut packet: Packet) {
        if self.scenario.planted_bug == Some(PlantedBug::HastyLearners)
            && let Packet::Message(PeerMessage::Agreement(AgreementMessage::Pong { status, .. })) =
                &mut packet
        {
            status.caught_up = true;
        }
        // A link is established by the handshake, so a handshake is never lost.
        let faults_active = !self.quiet && self.now >= self.scenario.fault_window.0;
        let may_be_lost = faults_active && !matches!(packet, Packet::Handshake(_));
        if may_be_lost && self.random.random_bool(self.scenario.loss) {
            return;
        }
        if carries_entries(&packet) && self.loses_copies(to) {
            return;
        }
        let duplicated = faults_active
            && self.random.random_bool(self.scenario.duplication)
            && self.may_be_duplicated(&packet);
        let mut copies = if duplicated { 2 } else { 1 };
        let sender = self.machines[from].member();
        match self.mutation(&packet) {
            None => {}
            Some(MutationKind::Drop) => return,
            Some(MutationKind::Duplicate) => copies = 2,
            Some(MutationKind::Truncate) => {
                let address = self.machines[to].address;
                return self.link_closed(from, address);
            }
            Some(MutationKind::Replay) => {
                let packet = packet.clone();
                self.schedule(4_000, Event::Deliver { from, sender, to, to_start, packet });
            }
        }
        let slowness = self.machines[from].slowness.max(self.machines[to].slowness);
        for _ in 0..copies {
            let longest = if self.quiet { 3 } else { self.scenario.delay };
            let delay = match self.scenario.bandwidth {
                None => self.random.random_range(1..=longest),
                // Messages on a narrow line keep their order.
                Some(_) => 1 + self.line_delay(from, size_in_bytes(&packet)),
            };
            let packet = packet.clone();
            let delay = self.in_order(from, to, delay * slowness);
            self.schedule(delay, Event::Deliver { from, sender, to, to_start, packet });
        }
    }

    /// Returns the delay in ms until a message arrives; on links that keep order, it arrives after all earlier messages.
    fn in_order(&mut self, from: usize, to: usize, delay: u64) -> u64 {
        if !self.scenario.keeps_order {
            return delay;
        }
        let latest = self.last_arrivals.entry((from, to)).or_default();
        *latest = (*latest).max(self.now + delay);
        *latest - self.now
    }

    /// Returns the time in ms until the given number of bytes has left a machine, behind all bytes already queued.
    pub fn line_delay(&mut self, machine: usize, bytes: usize) -> u64 {
        let Some(bytes_per_ms) = self.scenario.bandwidth else { return 0 };
        let host = &mut self.machines[machine];
        let free_at = host.line_free_at.max(self.now * 1_000);
        // In microseconds, since a small message takes less than one millisecond.
        host.line_free_at = free_at + bytes as u64 * 1_000 / bytes_per_ms;
        host.line_free_at.div_ceil(1_000) - self.now
    }
}
