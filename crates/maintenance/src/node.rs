//! A front node's part in maintenance. Members of the Raft group exchange its messages. All other front nodes follow: they
//! query one member after the other for a newer version of the queue, and send commands to members until they see them in
//! the queue.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::datagrams::{Reassembler, ReceivedMessage, split};
use crate::disruption_budget::{DisruptionBudget, ObservedMachine};
use crate::queue::{Command, MaintenanceQueue, Timing};
use crate::raft_group::{self, Group, LogUpdate};

/// A command that does not appear in the queue for this long is abandoned.
const COMMAND_TIMEOUT: Nanos = 60_000_000_000;
const COMMAND_RETRY_INTERVAL: Nanos = 250_000_000;
/// The largest number of pending commands of this node.
const MAX_COMMANDS: usize = 1024;
/// The largest number of times that a command is forwarded. Two members that each take the other for the leader must not
/// forward it forever.
const MAX_FORWARDS: u8 = 2;

/// A message between front nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// A Raft message between members of the group.
    Raft(Vec<u8>),
    /// A command on its way to the leader, and how often it was forwarded.
    Forward(Command, u8),
    /// Queries for a queue newer than this version. The response goes to the given address, or to the sender if `None`.
    Follow(u64, Option<SocketAddrV4>),
    /// The sender has no newer queue than this version.
    Fresh(u64),
    /// The sender's queue.
    Queue(Box<MaintenanceQueue>),
}

/// Identity and timing of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Number of this node. A member's number is its position in `group`, from 1.
    pub me: u64,
    /// Addresses of the group's members by number.
    pub group: BTreeMap<u64, SocketAddrV4>,
    /// Interval between queries of a following node.
    pub follow_interval: Nanos,
    /// Address at which others reach this node, if it differs from the source of its datagrams.
    pub reached_at: Option<SocketAddrV4>,
    /// The disruption budget that this node uses as the leader.
    pub rule: DisruptionBudget,
    /// The timing that this node uses as the leader.
    pub pace: Timing,
}

/// A received datagram with its source address.
struct ReceivedDatagram {
    bytes: Vec<u8>,
    from: SocketAddrV4,
}

/// Inputs of a round.
#[derive(Default)]
pub struct Inbox {
    datagrams: Vec<ReceivedDatagram>,
    commands: Vec<Command>,
    durable: Option<u64>,
    seen: Option<BTreeMap<String, ObservedMachine>>,
}

impl Inbox {
    /// Adds a received datagram with its source address.
    pub fn datagram(&mut self, bytes: Vec<u8>, from: SocketAddrV4) {
        self.datagrams.push(ReceivedDatagram { bytes, from });
    }

    /// Adds a command that an operator sent to this node.
    pub fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Reports that all updates up to this number are durable.
    pub fn durable(&mut self, number: u64) {
        self.durable = Some(number);
    }

    /// Sets the machines as observed by this node.
    pub fn seen(&mut self, seen: BTreeMap<String, ObservedMachine>) {
        self.seen = Some(seen);
    }
}

/// Receives the outputs of a round.
pub trait OutputSink {
    /// Sends a datagram, which may get lost.
    fn send(&mut self, to: SocketAddrV4, datagram: Vec<u8>);
    /// Stores an update. The host reports the number with [`Inbox::durable`] once it is durable.
    fn save(&mut self, number: u64, saved: LogUpdate);
}

/// A command of this node that is not yet in the queue.
struct PendingCommand {
    command: Command,
    /// When it is abandoned.
    until: Nanos,
    /// When it is sent again.
    next: Nanos,
    /// Selects the member that it is sent to next if no leader is known. Each command has its own counter: when commands
    /// shared one with the queries of a following node, five of which are sent per retry of a command, every retry went to
    /// the same of three members.
    next_member: usize,
}

/// A front node's part in maintenance.
pub struct Node {
    settings: NodeSettings,
    group: Option<Group>,
    /// The queue as received from members, if this node is not a member.
    followed: MaintenanceQueue,
    last_contact: Option<Nanos>,
    next_follow: Nanos,
    next_member: usize,
    pending: Vec<PendingCommand>,
    reassembler: Reassembler,
    /// Number of the last message sent.
    last_message: u32,
    /// Commands of this node that did not appear in a queue in time.
    expired: u64,
    /// The machines as last observed by this node. Passed to the group in each round.
    seen: BTreeMap<String, ObservedMachine>,
}

/// Splits messages into datagrams, and looks up the addresses of members.
struct MessageSender<'a> {
    me: u64,
    last_message: &'a mut u32,
    group: &'a BTreeMap<u64, SocketAddrV4>,
    sink: &'a mut dyn OutputSink,
}

impl MessageSender<'_> {
    fn send_message(&mut self, to: SocketAddrV4, message: &NodeMessage) {
        *self.last_message = self.last_message.wrapping_add(1);
        for datagram in split(self.me, *self.last_message, message) {
            self.sink.send(to, datagram);
        }
    }
}

impl raft_group::OutputSink for MessageSender<'_> {
    fn send(&mut self, to: u64, message: Vec<u8>) {
        if let Some(&address) = self.group.get(&to) {
            self.send_message(address, &NodeMessage::Raft(message));
        }
    }

    fn save(&mut self, number: u64, saved: LogUpdate) {
        self.sink.save(number, saved);
    }
}

/// Received messages for the group and its leader.
#[derive(Default)]
struct Received {
    raft: Vec<Vec<u8>>,
    forwarded: Vec<ForwardedCommand>,
}

/// A command of another node on its way to the leader.
struct ForwardedCommand {
    command: Command,
    /// How often it was forwarded.
    hops: u8,
}

/// Messages to be sent at the end of a round.
#[derive(Default)]
struct Outgoing(Vec<OutgoingMessage>);

struct OutgoingMessage {
    to: SocketAddrV4,
    message: NodeMessage,
}

impl Outgoing {
    fn push(&mut self, to: SocketAddrV4, message: NodeMessage) {
        self.0.push(OutgoingMessage { to, message });
    }
}

/// Commands of this node that are not in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandCounts {
    /// Commands on their way to the leader.
    pub pending: usize,
    /// Commands that did not appear in the queue in time, since the start.
    pub expired: u64,
}

fn nonce(command: &Command) -> u64 {
    match command {
        Command::Request { nonce, .. } | Command::Cancel { nonce, .. } => *nonce,
        Command::Observe { .. } => 0,
    }
}

impl Node {
    /// Returns a node. `group` is `None` if the node is not a member.
    pub fn new(settings: NodeSettings, group: Option<Group>, now: Nanos) -> Node {
        let next_member = settings.me as usize;
        Node {
            settings,
            group,
            followed: MaintenanceQueue::default(),
            last_contact: None,
            next_follow: now,
            next_member,
            pending: Vec::new(),
            reassembler: Reassembler::default(),
            last_message: 0,
            expired: 0,
            seen: BTreeMap::new(),
        }
    }

    /// Runs one round: handles the inputs, and passes the datagrams and updates to the sink.
    pub fn round(&mut self, now: Nanos, inputs: impl FnOnce(&mut Inbox), sink: &mut dyn OutputSink) {
        let mut inbox = Inbox::default();
        inputs(&mut inbox);
        if let Some(seen) = inbox.seen {
            self.seen = seen;
        }
        self.add_commands(inbox.commands, now);
        let mut outgoing = Outgoing::default();
        let received = self.receive(inbox.datagrams, now, &mut outgoing);
        let proposals = self.route_commands(received.forwarded, now, &mut outgoing);
        self.follow(now, &mut outgoing);
        let Node { settings, group, last_message, .. } = self;
        let mut sender = MessageSender { me: settings.me, last_message, group: &settings.group, sink };
        for OutgoingMessage { to, message } in outgoing.0 {
            sender.send_message(to, &message);
        }
        if let Some(group) = group {
            let inputs = |inbox_of_group: &mut raft_group::Inbox| {
                received.raft.into_iter().for_each(|message| inbox_of_group.message(message));
                proposals.into_iter().for_each(|command| inbox_of_group.command(command));
                inbox.durable.into_iter().for_each(|number| inbox_of_group.durable(number));
                inbox_of_group.observation(self.seen.clone(), settings.rule.clone(), settings.pace);
            };
            group.round(now, inputs, &mut sender);
            self.last_contact = group.leader().map(|_| now).or(self.last_contact);
        }
    }

    fn add_commands(&mut self, commands: Vec<Command>, now: Nanos) {
        for command in commands {
            if self.pending.len() < MAX_COMMANDS {
                let (until, next_member) = (now + COMMAND_TIMEOUT, self.settings.me as usize);
                self.pending.push(PendingCommand { command, until, next: now, next_member });
            } else {
                self.expired += 1;
            }
        }
    }

    fn receive(&mut self, datagrams: Vec<ReceivedDatagram>, now: Nanos, outgoing: &mut Outgoing) -> Received {
        let mut received = Received::default();
        for ReceivedDatagram { bytes, from } in datagrams {
            let Some(ReceivedMessage { from: sender, message }) = self.reassembler.take(&bytes) else {
                continue;
            };
            match message {
                // Raft messages are accepted from members only. The address may be that of a relay.
                NodeMessage::Raft(bytes) if self.settings.group.contains_key(&sender) => {
                    received.raft.push(bytes);
                }
                NodeMessage::Raft(_) => {}
                NodeMessage::Forward(command, hops) => {
                    received.forwarded.push(ForwardedCommand { command, hops });
                }
                NodeMessage::Follow(known, reached_at) => {
                    if let Some(queue) = self.group.as_ref().map(Group::queue) {
                        let is_newer = queue.version > known;
                        let fresh = NodeMessage::Fresh(queue.version);
                        let answer =
                            if is_newer { NodeMessage::Queue(Box::new(queue.clone())) } else { fresh };
                        outgoing.push(reached_at.unwrap_or(from), answer);
                    }
                }
                NodeMessage::Fresh(version) if version >= self.followed.version => {
                    self.last_contact = Some(now);
                }
                NodeMessage::Fresh(_) => {}
                NodeMessage::Queue(queue) => {
                    if self.group.is_none() && queue.version >= self.followed.version {
                        (self.followed, self.last_contact) = (*queue, Some(now));
                    }
                }
            }
        }
        received
    }

    /// Sends the commands of this node, and forwarded ones, to the leader. Returns those that this node must propose as the
    /// leader.
    fn route_commands(
        &mut self,
        forwarded: Vec<ForwardedCommand>,
        now: Nanos,
        outgoing: &mut Outgoing,
    ) -> Vec<Command> {
        let mut proposals = Vec::new();
        let leads = self.leads();
        let leader = self.leader_address();
        for ForwardedCommand { command, hops } in forwarded {
            match leader {
                _ if leads => proposals.push(command),
                Some(to) if hops < MAX_FORWARDS => {
                    outgoing.push(to, NodeMessage::Forward(command, hops + 1));
                }
                _ => {}
            }
        }
        let queue = self.group.as_ref().map_or(&self.followed, Group::queue);
        self.pending.retain(|pending| !queue.has_applied(nonce(&pending.command)));
        self.expired += self.pending.iter().filter(|pending| pending.until <= now).count() as u64;
        self.pending.retain(|pending| pending.until > now);
        let members = self.other_members();
        for pending in self.pending.iter_mut().filter(|pending| pending.next <= now) {
            pending.next = now + COMMAND_RETRY_INTERVAL;
            let command = pending.command.clone();
            if leads {
                proposals.push(command);
            } else if let Some(to) = leader {
                outgoing.push(to, NodeMessage::Forward(command, 0));
            } else if !members.is_empty() {
                pending.next_member = pending.next_member.wrapping_add(1);
                outgoing.push(members[pending.next_member % members.len()], NodeMessage::Forward(command, 0));
            }
        }
        proposals
    }

    /// Queries the next member for a newer queue, if this node is not a member and a query is due.
    fn follow(&mut self, now: Nanos, outgoing: &mut Outgoing) {
        let members = self.other_members();
        if self.group.is_some() || now < self.next_follow || members.is_empty() {
            return;
        }
        self.next_follow = now + self.settings.follow_interval;
        self.next_member = self.next_member.wrapping_add(1);
        let query = NodeMessage::Follow(self.followed.version, self.settings.reached_at);
        outgoing.push(members[self.next_member % members.len()], query);
    }

    /// Returns the leader's address, unless this node leads.
    fn leader_address(&self) -> Option<SocketAddrV4> {
        let leader = self.group.as_ref().and_then(Group::leader).filter(|id| *id != self.settings.me)?;
        self.settings.group.get(&leader).copied()
    }

    fn other_members(&self) -> Vec<SocketAddrV4> {
        let others = self.settings.group.iter().filter(|(id, _)| **id != self.settings.me);
        others.map(|(_, address)| *address).collect()
    }

    /// Returns the queue as known to this node.
    pub fn queue(&self) -> &MaintenanceQueue {
        self.group.as_ref().map_or(&self.followed, Group::queue)
    }

    /// Returns the machines that get no new requests.
    pub fn closed(&self) -> BTreeSet<&str> {
        self.queue().closed().collect()
    }

    /// Whether this node leads the group.
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(Group::leads)
    }

    /// Returns the term of the group's log, or 0 at a node that is not a member.
    pub fn term(&self) -> u64 {
        self.group.as_ref().map_or(0, |group| group.progress().term)
    }

    /// Returns when this node last had contact with the group, or `None` before the first time.
    pub fn last_contact(&self) -> Option<Nanos> {
        self.last_contact
    }

    /// Returns the number of commands of this node that are not in the queue.
    pub fn commands(&self) -> CommandCounts {
        CommandCounts { pending: self.pending.len(), expired: self.expired }
    }

    /// Returns the latest time of the next round.
    pub fn next_due(&self) -> Nanos {
        let group = self.group.as_ref().map(Group::next_due);
        let follow = if self.group.is_none() { self.next_follow } else { Nanos::MAX };
        let commands = self.pending.iter().map(|p| p.next).min();
        follow.min(group.unwrap_or(Nanos::MAX)).min(commands.unwrap_or(Nanos::MAX))
    }
}
