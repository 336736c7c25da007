//! One front node's part in maintenance: the group's messages among its members, and the queue itself to all others,
//! who ask for it. A node that is no member follows: it asks one member after another for what is newer, and passes
//! commands on until it sees them in the queue.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::Nanos;
use crate::datagrams::{Reassembler, ReceivedMessage, split};
use crate::disruption_budget::{DisruptionBudget, ObservedMachine};
use crate::queue::{Command, MaintenanceQueue, Timing};
use crate::raft_group::{self, Group, LogUpdate};

/// A command that no queue shows for so long is given up.
const COMMAND_TIMEOUT: Nanos = 60_000_000_000;
const COMMAND_RETRY_INTERVAL: Nanos = 250_000_000;
/// Commands on their way from one node at once.
const MAX_COMMANDS: usize = 1024;
/// How often a command is passed on at most: two members that each take the other for the leader must not keep one
/// going.
const MAX_FORWARDS: u8 = 2;

/// What one node sends to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Between members of the group.
    Raft(Vec<u8>),
    /// A command on its way to the leader, and how often it was passed on.
    Forward(Command, u8),
    /// What is newer than that version? And where the answer goes, where that is not whence it came.
    Follow(u64, Option<SocketAddrV4>),
    /// Nothing is: the sender has this version.
    Fresh(u64),
    /// The queue as the sender has it.
    Queue(Box<MaintenanceQueue>),
}

/// Where a node stands, and the pace of it all.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This node's number; a member's is its place in `group`, from 1.
    pub me: u64,
    /// Members of the group by their numbers.
    pub group: BTreeMap<u64, SocketAddrV4>,
    /// Time between two questions of a node that follows.
    pub follow_interval: Nanos,
    /// Where others reach this node, where that is not whence its datagrams come.
    pub reached_at: Option<SocketAddrV4>,
    /// The disruption budget, where this node leads.
    pub rule: DisruptionBudget,
    /// The timing, where this node leads.
    pub pace: Timing,
}

/// A datagram and where it came from.
struct ReceivedDatagram {
    bytes: Vec<u8>,
    from: SocketAddrV4,
}

/// What came in since the last round.
#[derive(Default)]
pub struct Inbox {
    datagrams: Vec<ReceivedDatagram>,
    commands: Vec<Command>,
    durable: Option<u64>,
    seen: Option<BTreeMap<String, ObservedMachine>>,
}

impl Inbox {
    /// A datagram and where it came from.
    pub fn datagram(&mut self, bytes: Vec<u8>, from: SocketAddrV4) {
        self.datagrams.push(ReceivedDatagram { bytes, from });
    }

    /// An operator's, at this node.
    pub fn command(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// What was to be saved up to that number is durable.
    pub fn durable(&mut self, number: u64) {
        self.durable = Some(number);
    }

    /// The machines as this node sees them.
    pub fn seen(&mut self, seen: BTreeMap<String, ObservedMachine>) {
        self.seen = Some(seen);
    }
}

/// Where the output of a round goes.
pub trait OutputSink {
    /// Sends a datagram; it may get lost.
    fn send(&mut self, to: SocketAddrV4, datagram: Vec<u8>);
    /// To be made durable; the host says so with the number once it is.
    fn save(&mut self, number: u64, saved: LogUpdate);
}

/// A command of this node that the queue does not show yet.
struct PendingCommand {
    command: Command,
    /// When it is given up.
    until: Nanos,
    /// When it is sent again.
    next: Nanos,
    /// The member that it goes to next, where this node knows no leader. Each command takes its own turns: where they
    /// were those of the questions for news too, five of these to one of it, every try went to the same one of three
    /// members.
    turn: usize,
}

/// One front node's part in maintenance.
pub struct Node {
    settings: NodeSettings,
    group: Option<Group>,
    /// The queue as this node follows it, where it is no member.
    followed: MaintenanceQueue,
    last_contact: Option<Nanos>,
    next_follow: Nanos,
    turn: usize,
    pending: Vec<PendingCommand>,
    reassembler: Reassembler,
    /// Number of the last message sent.
    last_message: u32,
    /// Commands of this node that no queue showed in time.
    expired: u64,
    /// What was last seen here, told to the group in each round.
    seen: BTreeMap<String, ObservedMachine>,
}

/// Sends messages as datagrams, those of the group to its members' addresses.
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

/// What the messages of a round bring for the group and its leader.
#[derive(Default)]
struct Received {
    raft: Vec<Vec<u8>>,
    forwarded: Vec<ForwardedCommand>,
}

/// A command of another node on its way to the leader.
struct ForwardedCommand {
    command: Command,
    /// How often it was passed on.
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

/// The commands of this node that the queue does not show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandCounts {
    /// Those on their way to the leader.
    pub pending: usize,
    /// Those that no queue showed in time, since the start.
    pub expired: u64,
}

fn nonce(command: &Command) -> u64 {
    match command {
        Command::Request { nonce, .. } | Command::Cancel { nonce, .. } => *nonce,
        Command::Observe { .. } => 0,
    }
}

impl Node {
    /// `group`: where this node is a member of it.
    pub fn new(settings: NodeSettings, group: Option<Group>, now: Nanos) -> Node {
        let turn = settings.me as usize;
        Node {
            settings,
            group,
            followed: MaintenanceQueue::default(),
            last_contact: None,
            next_follow: now,
            turn,
            pending: Vec::new(),
            reassembler: Reassembler::default(),
            last_message: 0,
            expired: 0,
            seen: BTreeMap::new(),
        }
    }

    /// One round: handles what came in, and writes what is to be sent and saved.
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
                let (until, turn) = (now + COMMAND_TIMEOUT, self.settings.me as usize);
                self.pending.push(PendingCommand { command, until, next: now, turn });
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
                // Only members speak in the group, each from its own address or a relay's.
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

    /// Sends commands of this node, and those on their way through it, to the leader. Returns those that this node is
    /// to propose as the leader.
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
                pending.turn = pending.turn.wrapping_add(1);
                outgoing.push(members[pending.turn % members.len()], NodeMessage::Forward(command, 0));
            }
        }
        proposals
    }

    /// A node that is no member asks the next member for news, if that is due.
    fn follow(&mut self, now: Nanos, outgoing: &mut Outgoing) {
        let members = self.other_members();
        if self.group.is_some() || now < self.next_follow || members.is_empty() {
            return;
        }
        self.next_follow = now + self.settings.follow_interval;
        self.turn = self.turn.wrapping_add(1);
        let question = NodeMessage::Follow(self.followed.version, self.settings.reached_at);
        outgoing.push(members[self.turn % members.len()], question);
    }

    /// The leader's address, if it is another one.
    fn leader_address(&self) -> Option<SocketAddrV4> {
        let leader = self.group.as_ref().and_then(Group::leader).filter(|id| *id != self.settings.me)?;
        self.settings.group.get(&leader).copied()
    }

    fn other_members(&self) -> Vec<SocketAddrV4> {
        let others = self.settings.group.iter().filter(|(id, _)| **id != self.settings.me);
        others.map(|(_, address)| *address).collect()
    }

    /// The queue as this node knows it.
    pub fn queue(&self) -> &MaintenanceQueue {
        self.group.as_ref().map_or(&self.followed, Group::queue)
    }

    /// Machines that get nothing new from here.
    pub fn closed(&self) -> BTreeSet<&str> {
        self.queue().closed().collect()
    }

    /// Whether this node leads the group.
    pub fn leads(&self) -> bool {
        self.group.as_ref().is_some_and(Group::leads)
    }

    /// The term of the group's log; 0 at a follower.
    pub fn term(&self) -> u64 {
        self.group.as_ref().map_or(0, |group| group.progress().term)
    }

    /// When this node last heard of the group; `None` before it did.
    pub fn last_contact(&self) -> Option<Nanos> {
        self.last_contact
    }

    /// The commands of this node that the queue does not show.
    pub fn commands(&self) -> CommandCounts {
        CommandCounts { pending: self.pending.len(), expired: self.expired }
    }

    /// When the next round is due at the latest.
    pub fn next_due(&self) -> Nanos {
        let group = self.group.as_ref().map(Group::next_due);
        let follow = if self.group.is_none() { self.next_follow } else { Nanos::MAX };
        let commands = self.pending.iter().map(|p| p.next).min();
        follow.min(group.unwrap_or(Nanos::MAX)).min(commands.unwrap_or(Nanos::MAX))
    }
}
