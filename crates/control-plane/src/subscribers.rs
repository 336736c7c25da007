//! Sessions of gateways and store nodes with this control node, and the feed that they subscribe to.

use std::collections::BTreeMap;
use std::rc::Rc;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::ControlState;
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::frames::{encode, write_frame};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ControlMessage, FeedPosition, Handshake, StoreHealth, TableVersion};
use orchidvalve_protocol::server_table::ServerTable;

use crate::sessions::Session;

/// A session ends when nothing was received from its process for this time, in milliseconds.
pub const SESSION_TIMEOUT_MS: Milliseconds = 650;
/// A subscriber with more bytes waiting for it is sent nothing more of the feed until they are out: other messages
/// share the line, and by then a snapshot may be smaller than what it has missed.
const MAX_QUEUED_BYTES: usize = 128 << 10;
/// While so many bytes wait for all subscribers together, no further one is sent a large update of the server table: they
/// get it one after the other, and meanwhile what is small and urgent isn't held up on the line that they share.
const MAX_TOTAL_QUEUED_BYTES: usize = 512 << 10;
/// An update of more bytes is large.
const LARGE_UPDATE_BYTES: usize = 32 << 10;
/// Changes of at most this many bytes are always sent one by one.
const MIN_SNAPSHOT_BYTES: usize = 64 << 10;

/// Parts of a store's disk in which a change of what is used is told to other control nodes.
const USED_SHARES: u64 = 50;

#[derive(Debug)]
struct Subscriber {
    session: Session,
    /// What it was sent last, or had when it subscribed.
    position: FeedPosition,
    opened_at: Milliseconds,
    last_received_at: Milliseconds,
}

/// What the feed consists of at the moment.
pub struct Feed<'a> {
    /// The committed control state.
    pub state: &'a ControlState,
    /// Last change applied to the state.
    pub applied: u64,
    /// First change that is still in the log.
    pub first_change: u64,
    /// The newest server table.
    pub servers: &'a ServerTable,
}

impl Feed<'_> {
    /// What brings a subscriber at change `position` up to date: the changes since, or a snapshot where some of
    /// them are no longer in the log or the snapshot is smaller.
    pub fn catch_up(&self, position: u64, changes_from: &dyn Fn(u64) -> Vec<Rc<[u8]>>) -> ControlMessage {
        let next = position + 1;
        if position == 0 || next < self.first_change {
            return self.snapshot();
        }
        let changes = changes_from(next);
        let bytes: usize = changes.iter().map(|change| change.len()).sum();
        if bytes > MIN_SNAPSHOT_BYTES {
            let state = encode(&self.state.snapshot());
            if state.len() < bytes {
                return ControlMessage::Snapshot { sequence: self.applied, state };
            }
        }
        ControlMessage::Changes {
            first: next,
            changes: changes.iter().map(|change| change.to_vec()).collect(),
        }
    }

    fn snapshot(&self) -> ControlMessage {
        ControlMessage::Snapshot { sequence: self.applied, state: encode(&self.state.snapshot()) }
    }
}

/// The local sessions and how far each has received the feed.
#[derive(Default, Debug)]
pub struct FeedSubscribers {
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    /// Control nodes that all subscribers have been told of.
    announced_nodes: Vec<NodeAddress>,
}

impl FeedSubscribers {
    /// Opens a session and welcomes the process; the feed follows with [`FeedSubscribers::send_updates`].
    pub fn open(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        handshake: &Handshake,
        position: FeedPosition,
        control_nodes: Vec<NodeAddress>,
        now: Milliseconds,
    ) -> Session {
        let session = Session::new(handshake);
        let subscriber =
            Subscriber { session: session.clone(), position, opened_at: now, last_received_at: now };
        self.subscribers.insert(connection, subscriber);
        send(network, connection, &ControlMessage::Welcome { controls: control_nodes });
        session
    }

    /// The incarnation of the process whose session this connection carries, if it does.
    pub fn incarnation(&self, connection: ConnectionId) -> Option<u64> {
        self.subscribers.get(&connection).map(|subscriber| subscriber.session.incarnation)
    }

    /// A heartbeat was received, and is answered. The session if its facts changed.
    pub fn heartbeat_received(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        health: Option<StoreHealth>,
        now: Milliseconds,
    ) -> Option<Session> {
        let subscriber = self.subscribers.get_mut(&connection)?;
        subscriber.last_received_at = now;
        send(network, connection, &ControlMessage::Heartbeat);
        let before = std::mem::replace(&mut subscriber.session.health, health);
        is_significant_change(before, health).then(|| subscriber.session.clone())
    }

    /// Whether a session is open on this connection.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.subscribers.contains_key(&connection)
    }

    /// Forgets the older sessions of the process that introduces itself on a new connection, and returns their
    /// connections. Their end must not end the newer session, and what still arrives on them is older than what it
    /// brought.
    pub fn supersede(&mut self, handshake: &Handshake) -> Vec<ConnectionId> {
        let same_process =
            |session: &Session| session.role == handshake.role && session.name == handshake.name;
        let older = self.subscribers.iter().filter(|(_, subscriber)| same_process(&subscriber.session));
        let older: Vec<ConnectionId> = older.map(|(connection, _)| *connection).collect();
        self.subscribers.retain(|connection, _| !older.contains(connection));
        older
    }

    /// A connection has ended: its session, if it had one.
    pub fn close(&mut self, connection: ConnectionId) -> Option<Session> {
        self.subscribers.remove(&connection).map(|subscriber| subscriber.session)
    }

    /// Connections whose sessions have timed out.
    pub fn timed_out(&self, now: Milliseconds) -> Vec<ConnectionId> {
        let has_timed_out = |subscriber: &Subscriber| now > subscriber.last_received_at + SESSION_TIMEOUT_MS;
        let timed_out = self.subscribers.iter().filter(|(_, subscriber)| has_timed_out(subscriber));
        timed_out.map(|(connection, _)| *connection).collect()
    }

    /// The number of sessions.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Connection of the session that was opened last, of those that may be meant.
    pub fn youngest(&self, is_meant: impl Fn(&Session) -> bool) -> Option<ConnectionId> {
        let meant = self.subscribers.iter().filter(|(_, subscriber)| is_meant(&subscriber.session));
        meant.max_by_key(|(_, subscriber)| subscriber.opened_at).map(|(connection, _)| *connection)
    }

    /// Connections of all sessions.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.subscribers.keys().copied().collect()
    }

    /// Sends all subscribers the same message.
    pub fn broadcast(&self, network: &mut Network, message: &ControlMessage) {
        for connection in self.subscribers.keys() {
            send(network, *connection, message);
        }
    }

    /// Tells all subscribers which control nodes there are, once that has changed: they need one to go to when this
    /// node fails, and those of their settings may all have gone.
    pub fn announce_control_nodes(&mut self, network: &mut Network, control_nodes: Vec<NodeAddress>) {
        if control_nodes != self.announced_nodes {
            self.announced_nodes.clone_from(&control_nodes);
            self.broadcast(network, &ControlMessage::Welcome { controls: control_nodes });
        }
    }

    /// Sends every subscriber what it doesn't have yet. `changes_from` gives the committed changes from a number on.
    pub fn send_updates(
        &mut self,
        network: &mut Network,
        feed: &Feed,
        changes_from: &dyn Fn(u64) -> Vec<Rc<[u8]>>,
    ) {
        let connections = self.subscribers.keys();
        let mut queued_bytes: usize = connections.map(|connection| network.queued_bytes(*connection)).sum();
        let mut encoded = EncodedFeed::default();
        for (connection, subscriber) in &mut self.subscribers {
            if network.queued_bytes(*connection) > MAX_QUEUED_BYTES {
                continue;
            }
            let position = &mut subscriber.position;
            if position.applied < feed.applied {
                let state = encoded.state_since(position.applied, feed, changes_from);
                network.send(*connection, state);
                queued_bytes += state.len();
                position.applied = feed.applied;
            }
            if position.servers < feed.servers.version() {
                let table = encoded.table_since(position.servers, feed);
                if table.len() > LARGE_UPDATE_BYTES && queued_bytes > MAX_TOTAL_QUEUED_BYTES {
                    continue;
                }
                network.send(*connection, table);
                queued_bytes += table.len();
                position.servers = feed.servers.version();
            }
        }
    }
}

/// What brings subscribers at some position up to date, encoded once for all of them.
#[derive(Default)]
struct EncodedFeed {
    /// By the last change that they have.
    states: BTreeMap<u64, Vec<u8>>,
    /// By the version of the table that they have.
    tables: BTreeMap<TableVersion, Vec<u8>>,
}

impl EncodedFeed {
    fn state_since(
        &mut self,
        applied: u64,
        feed: &Feed,
        changes_from: &dyn Fn(u64) -> Vec<Rc<[u8]>>,
    ) -> &[u8] {
        self.states.entry(applied).or_insert_with(|| {
            let mut frames = Vec::new();
            write_frame(&mut frames, &feed.catch_up(applied, changes_from));
            frames
        })
    }

    fn table_since(&mut self, version: TableVersion, feed: &Feed) -> &[u8] {
        self.tables.entry(version).or_insert_with(|| {
            let mut frames = Vec::new();
            for update in feed.servers.updates_since(version) {
                write_frame(&mut frames, &ControlMessage::Servers(update));
            }
            frames
        })
    }
}

/// Whether others have to be told of a process's health: a store that writes uses a few bytes more with each heartbeat,
/// which says nothing to them.
fn is_significant_change(before: Option<StoreHealth>, after: Option<StoreHealth>) -> bool {
    let (Some(before), Some(after)) = (before, after) else { return before != after };
    let share = |health: &StoreHealth| health.used_bytes * USED_SHARES / health.capacity_bytes.max(1);
    let rounded = |health: &StoreHealth| StoreHealth { used_bytes: share(health), ..*health };
    rounded(&before) != rounded(&after)
}

/// Sends a message of the feed; it is lost if the connection has ended.
pub fn send(network: &mut Network, connection: ConnectionId, message: &ControlMessage) {
    if let Some(outbox) = network.outbox(connection) {
        write_frame(outbox, message);
    }
}
