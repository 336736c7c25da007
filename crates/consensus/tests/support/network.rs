//! A few `Agreement`s connected by a network with one millisecond per message, one-way partitions and a configurable
//! delivery of each message.

use std::collections::BTreeMap;

use orchidvalve_consensus::{Agreement, Message, Output, View, Witness};
use orchidvalve_protocol::identity::MemberId;

use super::settle;

/// Decides how a message is delivered: returns the delays after which its copies arrive, in milliseconds.
pub type Delivery = Box<dyn FnMut(&Message) -> Vec<u64>>;

pub struct Network {
    pub now: u64,
    pub nodes: BTreeMap<MemberId, Agreement>,
    /// Running seeds without a disk.
    pub witnesses: BTreeMap<MemberId, Witness>,
    pub changes: Vec<(MemberId, View)>,
    /// Keyed by time of arrival and order of sending.
    in_flight: BTreeMap<(u64, u64), (MemberId, MemberId, Message)>,
    sent: u64,
    delivery: Delivery,
    partitions: Vec<(MemberId, MemberId)>,
}

impl Network {
    pub fn new() -> Network {
        Network {
            now: 1_000,
            nodes: BTreeMap::new(),
            witnesses: BTreeMap::new(),
            changes: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            delivery: Box::new(|_| vec![1]),
            partitions: Vec::new(),
        }
    }

    /// Adds a running member; it and all others exchange `Hello` messages.
    pub fn add(&mut self, me: MemberId, agreement: Agreement) {
        let hello = agreement.hello();
        let greetings: Vec<_> = self.nodes.iter().map(|(other, node)| (*other, node.hello())).collect();
        for (other, greeting) in greetings {
            self.send(me, other, hello.clone());
            self.send(other, me, greeting);
        }
        self.nodes.insert(me, agreement);
    }

    /// Sets how messages are delivered from now on.
    pub fn set_delivery(&mut self, delivery: Delivery) {
        self.delivery = delivery;
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        for delay in (self.delivery)(&message) {
            self.sent += 1;
            self.in_flight.insert((self.now + delay, self.sent), (from, to, message.clone()));
        }
    }

    pub fn remove(&mut self, member: MemberId) {
        self.nodes.remove(&member);
    }

    /// Blocks messages from `from` to `to`.
    pub fn partition(&mut self, from: MemberId, to: MemberId) {
        self.partitions.push((from, to));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn epoch(&self, member: MemberId) -> u64 {
        self.nodes[&member].epoch()
    }

    pub fn view(&self, member: MemberId) -> View {
        self.nodes[&member].view().cloned().expect("no view")
    }

    /// Calls `input` on a member and executes its outputs.
    pub fn drive(&mut self, me: MemberId, input: impl FnOnce(&mut Agreement, u64, &mut Vec<Output>)) {
        let now = self.now;
        let Some(agreement) = self.nodes.get_mut(&me) else { return };
        let mut outputs = Vec::new();
        input(agreement, now, &mut outputs);
        for output in settle(agreement, outputs) {
            match output {
                Output::Send { to, message } => self.send(me, to, message),
                Output::ViewChanged(view) => self.changes.push((me, view)),
                Output::Persist { .. } => unreachable!("settled"),
            }
        }
    }

    /// Runs for `duration` milliseconds.
    pub fn run(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                if self.partitions.contains(&(from, to)) {
                    continue;
                }
                if let Some(witness) = self.witnesses.get_mut(&to) {
                    if let Some(reply) = witness.message_received(from, &message) {
                        self.send(to, from, reply);
                    }
                    continue;
                }
                self.drive(to, |agreement, now, outputs| {
                    agreement.message_received(now, from, message, outputs);
                });
            }
            let due = |(_, node): &(&MemberId, &Agreement)| node.next_tick_at() <= self.now;
            let members: Vec<MemberId> = self.nodes.iter().filter(due).map(|(member, _)| *member).collect();
            for member in members {
                self.drive(member, Agreement::tick);
            }
        }
    }
}
