//! Subscribers of the feed: each has a [`FeedReplica`] and a session that moves between control nodes. Both sides follow
//! the rules of `control_client::FeedClient` and of `subscribers` and `process` in the control process, without sockets.

use std::collections::BTreeMap;

use orchidvalve_control_client::{FeedReplica, FeedUpdate};
use orchidvalve_control_plane::node::ControlNode;
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ControlMessage, TableVersion};

use super::cluster::{Cluster, Event};
use super::scenario::PlantedBug;
use super::server_tables::list_of;

const HEARTBEAT_MS: u64 = 250;
const SILENCE_MS: u64 = 900;
const WELCOME_TIMEOUT_MS: u64 = 350;
const RETRY_MS: u64 = 60;
/// Time in ms after which the control node closes an idle session.
const HOST_SILENCE_MS: u64 = 650;
/// Delay in ms of every message; it is constant, so a session keeps the order of its messages.
const DELAY_MS: u64 = 2;
const MAINTAIN_MS: u64 = 25;

/// Unique number of a session.
pub type SessionNumber = u64;

#[derive(Debug)]
struct Session {
    number: SessionNumber,
    machine: usize,
    start: u32,
    welcomed: bool,
    begun_at: u64,
    last_heard_at: u64,
    heartbeat_at: u64,
}

pub struct Subscriber {
    replica: FeedReplica,
    session: Option<Session>,
    controls: Vec<NodeAddress>,
    next: usize,
    retry_at: u64,
    /// Machines that the subscriber cannot reach.
    pub unreachable: Vec<usize>,
    /// The highest sequence number that this process has shown.
    shown: u64,
}

/// A session on the side of its control node.
#[derive(Debug)]
pub struct HostedSession {
    pub subscriber: usize,
    position: u64,
    pub table: TableVersion,
    last_heard_at: u64,
}

#[derive(Debug)]
pub enum ToMachine {
    Handshake { position: u64, table: TableVersion },
    Heartbeat,
}

#[derive(Debug)]
pub enum FeedEvent {
    Maintain { subscriber: usize },
    ToMachine { subscriber: usize, number: SessionNumber, machine: usize, start: u32, message: ToMachine },
    ToSubscriber { subscriber: usize, number: SessionNumber, machine: usize, message: ControlMessage },
}

impl Cluster {
    pub fn add_subscribers(&mut self) {
        for index in 0..self.scenario.subscribers {
            self.subscribers.push(Subscriber {
                replica: FeedReplica::default(),
                session: None,
                controls: Vec::new(),
                next: index,
                retry_at: 0,
                unreachable: Vec::new(),
                shown: 0,
            });
            self.schedule(500 + index as u64, Event::Feed(FeedEvent::Maintain { subscriber: index }));
        }
    }

    pub fn feed_event(&mut self, event: FeedEvent) {
        match event {
            FeedEvent::Maintain { subscriber } => self.maintain_subscriber(subscriber),
            FeedEvent::ToMachine { subscriber, number, machine, start, message } => {
                self.session_message(subscriber, number, machine, start, message);
            }
            FeedEvent::ToSubscriber { subscriber, number, machine, message } => {
                self.feed_message_received(subscriber, number, machine, message);
            }
        }
    }

    fn maintain_subscriber(&mut self, index: usize) {
        self.schedule(MAINTAIN_MS, Event::Feed(FeedEvent::Maintain { subscriber: index }));
        let now = self.now;
        let subscriber = &mut self.subscribers[index];
        if let Some(session) = &mut subscriber.session {
            let is_unresponsive = session.welcomed && now >= session.last_heard_at + SILENCE_MS;
            let is_welcome_overdue = !session.welcomed && now >= session.begun_at + WELCOME_TIMEOUT_MS;
            if is_unresponsive || is_welcome_overdue {
                self.leave_session(index);
            } else if session.welcomed && now >= session.heartbeat_at {
                session.heartbeat_at = now + HEARTBEAT_MS;
                self.send_to_machine(index, ToMachine::Heartbeat);
            }
        }
        let subscriber = &self.subscribers[index];
        if subscriber.session.is_none() && now >= subscriber.retry_at {
            self.open_session(index);
        }
    }

    fn open_session(&mut self, index: usize) {
        let now = self.now;
        let subscriber = &mut self.subscribers[index];
        subscriber.retry_at = now + RETRY_MS;
        let addresses: Vec<NodeAddress> = subscriber.controls.iter().chain(&self.seeds).copied().collect();
        let address = addresses[subscriber.next % addresses.len()];
        subscriber.next = (subscriber.next + 1) % addresses.len();
        let Some(machine) = self.machines.iter().position(|m| m.address == address && !m.removed) else {
            return;
        };
        if self.machines[machine].control_node.is_none() {
            return;
        }
        let start = self.machines[machine].start;
        self.sessions_opened += 1;
        let number = self.sessions_opened;
        let session = Session {
            number,
            machine,
            start,
            welcomed: false,
            begun_at: now,
            last_heard_at: now,
            heartbeat_at: now,
        };
        let (position, table) = (subscriber.replica.sequence(), subscriber.replica.servers().version());
        subscriber.session = Some(session);
        self.send_to_machine(index, ToMachine::Handshake { position, table });
    }

    fn leave_session(&mut self, index: usize) {
        let retry_at = self.now + RETRY_MS;
        let subscriber = &mut self.subscribers[index];
        if let Some(session) = subscriber.session.take() {
            subscriber.retry_at = retry_at;
            let (machine, number) = (session.machine, session.number);
            // The end of the connection is noticed only if the machine can be reached.
            if !self.subscribers[index].unreachable.contains(&machine) {
                self.machines[machine].sessions.remove(&number);
            }
        }
    }

    pub fn leave_all_sessions(&mut self) {
        for subscriber in 0..self.subscribers.len() {
            self.leave_session(subscriber);
        }
    }

    /// Restarts the processes of all subscribers, with empty replicas.
    pub fn restart_subscribers(&mut self) {
        self.leave_all_sessions();
        for subscriber in &mut self.subscribers {
            subscriber.replica = FeedReplica::default();
            subscriber.controls.clear();
            subscriber.shown = 0;
        }
    }

    /// Returns the subscribers whose session is with this machine.
    pub fn subscribers_at(&self, machine: usize) -> Vec<usize> {
        let is_there = |f: &Subscriber| f.session.as_ref().is_some_and(|s| s.machine == machine);
        (0..self.subscribers.len()).filter(|f| is_there(&self.subscribers[*f])).collect()
    }

    fn send_to_machine(&mut self, subscriber: usize, message: ToMachine) {
        let Some(Session { number, machine, start, .. }) = self.subscribers[subscriber].session else {
            return;
        };
        let event = FeedEvent::ToMachine { subscriber, number, machine, start, message };
        self.schedule(DELAY_MS, Event::Feed(event));
    }

    fn session_message(
        &mut self,
        subscriber: usize,
        number: SessionNumber,
        machine: usize,
        start: u32,
        message: ToMachine,
    ) {
        let host = &mut self.machines[machine];
        if self.subscribers[subscriber].unreachable.contains(&machine) {
            return;
        }
        if host.start != start || host.control_node.is_none() {
            if self.subscribers[subscriber].session.as_ref().is_some_and(|s| s.number == number) {
                self.leave_session(subscriber);
            }
            return;
        }
        if host.frozen {
            host.session_inbox.push(FeedEvent::ToMachine { subscriber, number, machine, start, message });
            return;
        }
        match message {
            ToMachine::Handshake { position, table } => {
                let hosted = HostedSession { subscriber, position, table, last_heard_at: self.now };
                self.introduce_subscriber(number, machine, hosted);
            }
            ToMachine::Heartbeat => {
                let now = self.now;
                if let Some(hosted) = self.machines[machine].sessions.get_mut(&number) {
                    hosted.last_heard_at = now;
                    self.send_to_subscriber(machine, subscriber, number, ControlMessage::Heartbeat);
                } else if self.subscribers[subscriber].session.as_ref().is_some_and(|s| s.number == number) {
                    self.leave_session(subscriber);
                }
            }
        }
    }

    fn controls_of(&self, machine: usize) -> Vec<NodeAddress> {
        let view = self.machines[machine].control_node.as_ref().and_then(|control_node| control_node.view());
        view.map_or(Vec::new(), |view| view.voters.iter().map(|m| m.address).collect())
    }

    fn has_quorum(&self, machine: usize) -> bool {
        self.machines[machine].control_node.as_ref().is_some_and(ControlNode::has_quorum)
    }

    fn introduce_subscriber(&mut self, number: SessionNumber, machine: usize, hosted: HostedSession) {
        let HostedSession { subscriber, position, .. } = hosted;
        let controls = self.controls_of(machine);
        if !self.has_quorum(machine) {
            return self.send_to_subscriber(
                machine,
                subscriber,
                number,
                ControlMessage::Redirect { controls },
            );
        }
        let remembered = self.machines[machine].remembered_positions.get(&subscriber).copied();
        let position = match self.scenario.planted_bug {
            Some(PlantedBug::StaleFeedPositions) => remembered.unwrap_or(position),
            Some(PlantedBug::BackwardFeed) => 0,
            _ => position,
        };
        let hosted = HostedSession { position, ..hosted };
        self.machines[machine].sessions.insert(number, hosted);
        self.send_to_subscriber(machine, subscriber, number, ControlMessage::Welcome { controls });
        self.advance_subscribers(machine);
    }

    pub fn send_to_subscriber(
        &mut self,
        machine: usize,
        subscriber: usize,
        number: SessionNumber,
        message: ControlMessage,
    ) {
        if let Some(outputs) = &mut self.outputs {
            outputs.add_feed_message(self.now, machine, subscriber, &message);
        }
        let delay = DELAY_MS + self.transmission(machine, &message);
        let event = FeedEvent::ToSubscriber { subscriber, number, machine, message };
        self.schedule(delay, Event::Feed(event));
    }

    /// Returns the transmission time in ms of a large message, if the line of the machine is narrow.
    fn transmission(&mut self, machine: usize, message: &ControlMessage) -> u64 {
        let bytes = match message {
            ControlMessage::Snapshot { state, .. } => state.len(),
            ControlMessage::Changes { changes, .. } => changes.iter().map(Vec::len).sum(),
            _ => 0,
        };
        self.line_delay(machine, bytes)
    }

    /// Serves the subscribers of a machine, as the control process does after each input.
    pub fn serve_subscribers(&mut self, machine: usize) {
        if self.machines[machine].sessions.is_empty() {
            return;
        }
        let now = self.now;
        self.machines[machine].sessions.retain(|_, hosted| now <= hosted.last_heard_at + HOST_SILENCE_MS);
        if !self.has_quorum(machine) && self.scenario.planted_bug != Some(PlantedBug::KeptSubscribers) {
            let controls = self.controls_of(machine);
            let sessions = std::mem::take(&mut self.machines[machine].sessions);
            for (number, hosted) in sessions {
                let elsewhere = ControlMessage::Redirect { controls: controls.clone() };
                self.send_to_subscriber(machine, hosted.subscriber, number, elsewhere);
            }
        }
        self.advance_subscribers(machine);
    }

    /// Sends every subscriber the changes that it lacks.
    fn advance_subscribers(&mut self, machine: usize) {
        self.advance_tables(machine);
        let Some(control_node) = &self.machines[machine].control_node else { return };
        let (state, applied) = (control_node.state(), control_node.applied());
        let behind = |hosted: &&HostedSession| hosted.position < applied;
        if !self.machines[machine].sessions.values().any(|hosted| behind(&hosted)) {
            return;
        }
        let mut messages = Vec::new();
        for (number, hosted) in &self.machines[machine].sessions {
            if hosted.position >= applied {
                continue;
            }
            let next = hosted.position + 1;
            let message = if hosted.position == 0 || next < control_node.first_change() {
                ControlMessage::Snapshot { sequence: applied, state: encode(&state.snapshot()) }
            } else {
                let changes = control_node.changes_from(next).iter().map(|change| change.to_vec()).collect();
                ControlMessage::Changes { first: next, changes }
            };
            messages.push((*number, hosted.subscriber, message));
        }
        for (number, subscriber, message) in messages {
            let host = &mut self.machines[machine];
            if let Some(hosted) = host.sessions.get_mut(&number) {
                hosted.position = applied;
            }
            host.remembered_positions.insert(subscriber, applied);
            self.send_to_subscriber(machine, subscriber, number, message);
        }
    }

    fn feed_message_received(
        &mut self,
        index: usize,
        number: SessionNumber,
        machine: usize,
        message: ControlMessage,
    ) {
        let now = self.now;
        let subscriber = &mut self.subscribers[index];
        if subscriber.unreachable.contains(&machine) {
            return;
        }
        let Some(session) = subscriber.session.as_mut().filter(|session| session.number == number) else {
            return;
        };
        session.last_heard_at = now;
        if self.scenario.planted_bug == Some(PlantedBug::BackwardFeed)
            && matches!(message, ControlMessage::Snapshot { .. })
        {
            subscriber.replica = FeedReplica::default();
        }
        let update = match message {
            ControlMessage::Welcome { controls } => {
                session.welcomed = true;
                session.heartbeat_at = now + HEARTBEAT_MS;
                subscriber.controls = controls;
                Some(FeedUpdate::default())
            }
            ControlMessage::Redirect { controls } => {
                if !controls.is_empty() {
                    subscriber.controls = controls;
                }
                None
            }
            ControlMessage::Heartbeat | ControlMessage::FirstViewVote { .. } => Some(FeedUpdate::default()),
            ControlMessage::Snapshot { sequence, state } => {
                subscriber.replica.apply_snapshot(sequence, &state).ok()
            }
            ControlMessage::Changes { first, changes } => {
                subscriber.replica.apply_changes(first, &changes).ok()
            }
            ControlMessage::Servers(update) => subscriber.replica.apply_server_update(&update).ok(),
            ControlMessage::Gateways(list) => Some(subscriber.replica.apply_workers(list)),
        };
        match update {
            None => self.leave_session(index),
            Some(update) if update.state => self.check_subscriber(index),
            Some(_) => {}
        }
    }

    /// Checks that a subscriber shows the expected state for its sequence number, and never goes back to an older one.
    fn check_subscriber(&mut self, index: usize) {
        let subscriber = &mut self.subscribers[index];
        let sequence = subscriber.replica.sequence();
        if sequence < subscriber.shown {
            let message =
                format!("subscriber {index} went back from change {} to {sequence}", subscriber.shown);
            return self.checker.fail(message);
        }
        subscriber.shown = sequence;
        self.checker.check_subscriber(index, self.subscribers[index].replica.state(), sequence);
    }

    /// Whether all subscribers that are not partitioned have everything up to `end`.
    pub fn reachable_subscribers_have(&self, end: u64) -> bool {
        let reachable = self.subscribers.iter().filter(|subscriber| subscriber.unreachable.is_empty());
        reachable.clone().all(|subscriber| subscriber.replica.sequence() >= end)
    }

    /// Returns the numbers of the platform's lists shown by the subscribers that are not partitioned.
    pub fn lists_of_reachable_subscribers(&self) -> impl Iterator<Item = u32> {
        let reachable = self.subscribers.iter().filter(|subscriber| subscriber.unreachable.is_empty());
        reachable.map(|subscriber| list_of(subscriber.replica.servers()))
    }

    pub fn subscribers_have(&self, end: u64) -> bool {
        self.subscribers.iter().all(|subscriber| subscriber.replica.sequence() >= end)
    }
}

/// Positions that a control process with a planted bug keeps after the end of a session, by subscriber.
pub type RememberedPositions = BTreeMap<usize, u64>;
