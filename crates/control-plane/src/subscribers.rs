//! Sessions of gateways, store nodes and observers with this control node, and the feed that they subscribe to.

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
/// A subscriber with more queued bytes than this gets no feed updates until they are sent: other messages share the
/// network link, and by then a snapshot may be smaller than the missed changes.
const MAX_QUEUED_BYTES: usize = 128 << 10;
/// While more bytes than this are queued for all subscribers together, no further subscriber gets a large update of the
/// server table. The subscribers get large updates one after the other, so that small and urgent messages are not delayed on
/// the network link that they share.
const MAX_TOTAL_QUEUED_BYTES: usize = 512 << 10;
/// An update of the server table with more bytes than this is large.
const LARGE_UPDATE_BYTES: usize = 32 << 10;
/// Changes of at most this many bytes in total are always sent individually instead of as a snapshot.
const MIN_SNAPSHOT_BYTES: usize = 64 << 10;

/// Number of steps into which the capacity of a store node's disk is divided. Disk use is reported to other control nodes
/// when it reaches another step.
const USAGE_STEPS: u64 = 50;

#[derive(Debug)]
struct Subscriber {
    session: Session,
    /// The position up to which the subscriber was sent the feed, or that it had when it subscribed.
    position: FeedPosition,
    opened_at: Milliseconds,
    last_received_at: Milliseconds,
}

/// The current contents of the feed.
pub struct Feed<'a> {
    /// The committed control state.
    pub state: &'a ControlState,
    /// Number of the last change applied to the state.
    pub applied: u64,
    /// Number of the first change that is still in the log.
    pub first_change: u64,
    /// The latest server table.
    pub servers: &'a ServerTable,
}

impl Feed<'_> {
    /// Returns the message that brings a subscriber at change `position` up to date: the changes since then, or a snapshot if
    /// some of them are no longer in the log or the snapshot is smaller.
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

/// The local sessions, and how much of the feed each was sent.
#[derive(Default, Debug)]
pub struct FeedSubscribers {
    subscribers: BTreeMap<ConnectionId, Subscriber>,
    /// Control nodes that were announced to all subscribers.
    announced_nodes: Vec<NodeAddress>,
}

impl FeedSubscribers {
    /// Opens a session and welcomes the process. The feed follows with [`FeedSubscribers::send_updates`].
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

    /// Returns the incarnation of the process whose session uses this connection.
    pub fn incarnation(&self, connection: ConnectionId) -> Option<u64> {
        self.subscribers.get(&connection).map(|subscriber| subscriber.session.incarnation)
    }

    /// Processes a heartbeat and responds to it. Returns the session if its health has changed significantly.
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

    /// Returns whether a session is open on this connection.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.subscribers.contains_key(&connection)
    }

    /// Removes the older sessions of a process that introduces itself on a new connection, and returns their connections.
    /// The end of these must not end the newer session, and data that still arrives on them is older than the handshake.
    pub fn supersede(&mut self, handshake: &Handshake) -> Vec<ConnectionId> {
        let same_process =
            |session: &Session| session.role == handshake.role && session.name == handshake.name;
        let older = self.subscribers.iter().filter(|(_, subscriber)| same_process(&subscriber.session));
        let older: Vec<ConnectionId> = older.map(|(connection, _)| *connection).collect();
        self.subscribers.retain(|connection, _| !older.contains(connection));
        older
    }

    /// Removes the session on a connection that has ended, and returns it if there was one.
    pub fn close(&mut self, connection: ConnectionId) -> Option<Session> {
        self.subscribers.remove(&connection).map(|subscriber| subscriber.session)
    }

    /// Returns the connections whose sessions have timed out.
    pub fn timed_out(&self, now: Milliseconds) -> Vec<ConnectionId> {
        let has_timed_out = |subscriber: &Subscriber| now > subscriber.last_received_at + SESSION_TIMEOUT_MS;
        let timed_out = self.subscribers.iter().filter(|(_, subscriber)| has_timed_out(subscriber));
        timed_out.map(|(connection, _)| *connection).collect()
    }

    /// Returns the number of sessions.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Returns whether there are no sessions.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Returns the connection of the session that was opened last among those that match.
    pub fn youngest(&self, is_match: impl Fn(&Session) -> bool) -> Option<ConnectionId> {
        let matching = self.subscribers.iter().filter(|(_, subscriber)| is_match(&subscriber.session));
        matching.max_by_key(|(_, subscriber)| subscriber.opened_at).map(|(connection, _)| *connection)
    }

    /// Returns the connections of all sessions.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.subscribers.keys().copied().collect()
    }

    /// Sends a message to all subscribers.
    pub fn broadcast(&self, network: &mut Network, message: &ControlMessage) {
        for connection in self.subscribers.keys() {
            send(network, *connection, message);
        }
    }

    /// Announces the control nodes to all subscribers if they have changed. Subscribers need another control node when this
    /// one fails, and those in their settings may all be gone.
    pub fn announce_control_nodes(&mut self, network: &mut Network, control_nodes: Vec<NodeAddress>) {
        if control_nodes != self.announced_nodes {
            self.announced_nodes.clone_from(&control_nodes);
            self.broadcast(network, &ControlMessage::Welcome { controls: control_nodes });
        }
    }

    /// Sends every subscriber the updates that it does not have yet. `changes_from` returns the committed changes from a
    /// number on.
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

/// Updates for subscribers, each encoded once for all subscribers at the same position.
#[derive(Default)]
struct EncodedFeed {
    /// Updates of the control state, by the last change that the subscriber has.
    states: BTreeMap<u64, Vec<u8>>,
    /// Updates of the server table, by the version that the subscriber has.
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

/// Returns whether a change of a process's health has to be reported to other control nodes. A store node that writes uses a
/// few bytes more with each heartbeat, which is not significant.
fn is_significant_change(before: Option<StoreHealth>, after: Option<StoreHealth>) -> bool {
    let (Some(before), Some(after)) = (before, after) else { return before != after };
    let step = |health: &StoreHealth| health.used_bytes * USAGE_STEPS / health.capacity_bytes.max(1);
    let rounded = |health: &StoreHealth| StoreHealth { used_bytes: step(health), ..*health };
    rounded(&before) != rounded(&after)
}

/// Sends a message of the feed; it is lost if the connection has ended.
pub fn send(network: &mut Network, connection: ConnectionId, message: &ControlMessage) {
    if let Some(outbox) = network.outbox(connection) {
        write_frame(outbox, message);
    }
}
