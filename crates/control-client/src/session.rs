//! The session with one control node: opened, kept alive, and moved to another node when that one
//! fails or has no quorum.
//!
//! Without a session, several control nodes are asked in overlapping attempts, since one that is cut off or
//! frozen doesn't say so. The first that welcomes this process keeps the session, and the other attempts are dropped.
//! Only the session feeds the replica.

use std::time::Duration;

use derive_more::{Display, From};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::frames::{read_frame, write_frame};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ControlMessage, Handshake, LinkProtocol, SessionMessage, StoreHealth};

use crate::candidates::Candidates;
use crate::replica::{FeedError, FeedReplica, FeedUpdate};

/// Pause between two heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 250;
/// The session ends when nothing is received from its control node for this time, in milliseconds.
const SESSION_TIMEOUT_MS: u64 = 900;
/// An attempt ends when its control node doesn't welcome this process within this time, in milliseconds.
const WELCOME_TIMEOUT_MS: u64 = 350;
/// Pause before the next control node is asked where one has refused, in milliseconds.
const RETRY_MS: u64 = 60;
/// Pause before the next control node is asked where one has said nothing yet, in milliseconds.
const OVERLAP_MS: u64 = 100;
/// How long bytes that were sent may stay unacknowledged by the other machine.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection to a control node that is asked for a session.
#[derive(Debug)]
struct Attempt {
    connection: ConnectionId,
    address: NodeAddress,
    started_at: u64,
}

/// An open session.
#[derive(Debug)]
struct Session {
    connection: ConnectionId,
    address: NodeAddress,
    last_received_at: u64,
    /// When the last whole message came after the welcome.
    last_message_at: Option<u64>,
    next_heartbeat_at: u64,
}

/// Why the connection ends that a message came on.
#[derive(Debug, Display, From)]
enum Disconnect {
    /// The control node refers to others.
    #[display("the control node has no quorum")]
    Redirected,
    /// It fed a process that it hasn't welcomed.
    #[display("the control node hasn't welcomed this process")]
    NotWelcomed,
    /// The replica can't apply the message.
    #[from]
    Feed(FeedError),
}

/// The session and the replica that it feeds. Times are in milliseconds.
#[derive(Debug)]
pub struct FeedClient {
    handshake: Handshake,
    candidates: Candidates,
    session: Option<Session>,
    /// Empty while there is a session.
    attempts: Vec<Attempt>,
    /// When the next control node is asked while there is no session.
    next_attempt_at: u64,
    health: Option<StoreHealth>,
    /// Sessions that this process has opened.
    sessions_opened: u64,
    replica: FeedReplica,
}

impl FeedClient {
    /// `seeds` are control nodes that may be tried first. `spread` is random: it chooses the first one.
    pub fn new(handshake: Handshake, seeds: Vec<NodeAddress>, spread: u64) -> FeedClient {
        FeedClient {
            handshake,
            candidates: Candidates::new(seeds, spread),
            session: None,
            attempts: Vec::new(),
            next_attempt_at: 0,
            health: None,
            sessions_opened: 0,
            replica: FeedReplica::default(),
        }
    }

    /// What the feed has brought so far.
    pub fn replica(&self) -> &FeedReplica {
        &self.replica
    }

    /// Whether a control node that has a quorum keeps a session of this process.
    pub fn has_session(&self) -> bool {
        self.session.is_some()
    }

    /// Control nodes that this process has been told of: those of the last session, or what nodes without a quorum
    /// have named where there was no session yet.
    pub fn known_control_nodes(&self) -> Vec<NodeAddress> {
        self.candidates.known()
    }

    /// Another process has named control nodes: they are asked soon where there is no session.
    pub fn add_hints(&mut self, control_nodes: Vec<NodeAddress>, now: u64) {
        self.candidates.add_hints(control_nodes);
        self.next_attempt_at = self.next_attempt_at.min(now + RETRY_MS);
    }

    /// Number of the session that is open, unlike that of every one before: what was sent in those may be lost.
    pub fn session_number(&self) -> Option<u64> {
        self.session.as_ref().map(|_| self.sessions_opened)
    }

    /// The control node that keeps the session: it has a quorum.
    pub fn session_node(&self) -> Option<NodeAddress> {
        self.session.as_ref().map(|session| session.address)
    }

    /// When something was last received from the control node in this session.
    pub fn last_received_at(&self) -> Option<u64> {
        self.session.as_ref().map(|session| session.last_received_at)
    }

    /// When a whole message last came from the control node in this session, its welcome aside. Whatever the control node
    /// knew of the control state before it sent that message is in the replica: changes are sent first.
    pub fn last_message_at(&self) -> Option<u64> {
        self.session.as_ref().and_then(|session| session.last_message_at)
    }

    /// What the heartbeats say of this process from now on.
    pub fn set_health(&mut self, health: StoreHealth) {
        self.health = Some(health);
    }

    /// Whether this is the connection of the session or of an attempt.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.is_session(connection) || self.attempts.iter().any(|attempt| attempt.connection == connection)
    }

    fn is_session(&self, connection: ConnectionId) -> bool {
        self.session.as_ref().is_some_and(|session| session.connection == connection)
    }

    /// When [`FeedClient::maintain`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        match &self.session {
            Some(session) => session.next_heartbeat_at.min(session.last_received_at + SESSION_TIMEOUT_MS),
            None => {
                let timeouts = self.attempts.iter().map(|attempt| attempt.started_at + WELCOME_TIMEOUT_MS);
                timeouts.min().unwrap_or(u64::MAX).min(self.next_attempt_at)
            }
        }
    }

    /// Opens, keeps and ends sessions as time passes.
    pub fn maintain(&mut self, network: &mut Network, now: u64) {
        match &mut self.session {
            Some(session) if now >= session.last_received_at + SESSION_TIMEOUT_MS => {
                let connection = session.connection;
                self.disconnect(network, connection, now);
            }
            Some(session) if now >= session.next_heartbeat_at => {
                session.next_heartbeat_at = now + HEARTBEAT_MS;
                let heartbeat =
                    SessionMessage::Heartbeat { position: self.replica.position(), health: self.health };
                self.send(network, &heartbeat);
            }
            _ => {}
        }
        self.attempts.retain(|attempt| {
            let is_pending = now < attempt.started_at + WELCOME_TIMEOUT_MS;
            if !is_pending {
                network.abort(attempt.connection);
            }
            is_pending
        });
        while self.session.is_none() && now >= self.next_attempt_at {
            self.start_attempt(network, now);
        }
    }

    fn start_attempt(&mut self, network: &mut Network, now: u64) {
        let Some(address) = self.candidates.next(now) else {
            self.next_attempt_at = self.candidates.next_at().unwrap_or(u64::MAX).max(now + 1);
            return;
        };
        match network.connect(address.socket(), USER_TIMEOUT) {
            Ok(connection) => {
                self.attempts.push(Attempt { connection, address, started_at: now });
                self.next_attempt_at = now + OVERLAP_MS;
            }
            Err(_) => self.next_attempt_at = now + RETRY_MS,
        }
    }

    /// Drops a connection; the next control node is asked soon.
    fn disconnect(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        network.abort(connection);
        if let Some(session) = self.session.take_if(|session| session.connection == connection) {
            self.candidates.session_ended(session.address, now);
            self.next_attempt_at = now + RETRY_MS;
        }
        self.attempts.retain(|attempt| attempt.connection != connection);
        self.next_attempt_at = self.next_attempt_at.min(now + RETRY_MS);
    }

    /// A connection is up: if it is of an attempt, the session is asked for.
    pub fn connected(&mut self, network: &mut Network, connection: ConnectionId) {
        if !self.attempts.iter().any(|attempt| attempt.connection == connection) {
            return;
        }
        let position = self.replica.position();
        let handshake = SessionMessage::Handshake { handshake: self.handshake.clone(), position };
        network.send(connection, &[LinkProtocol::Session.byte()]);
        write(network, connection, &handshake);
    }

    /// Sends a message if there is a session.
    pub fn send(&self, network: &mut Network, message: &SessionMessage) {
        if let Some(session) = &self.session {
            write(network, session.connection, message);
        }
    }

    /// Bytes have arrived. Returns what they have changed in the replica.
    pub fn data(&mut self, network: &mut Network, connection: ConnectionId, now: u64) -> FeedUpdate {
        let mut update = FeedUpdate::default();
        // Part of a message is a sign of life, too: a whole table takes long on a narrow link.
        if let Some(session) = self.session.as_mut().filter(|session| session.connection == connection) {
            session.last_received_at = now;
        }
        while self.owns(connection) {
            match read_frame::<ControlMessage>(network.inbox(connection)) {
                Ok(None) => break,
                Ok(Some((message, length))) => {
                    network.consume(connection, length);
                    let is_welcome = matches!(message, ControlMessage::Welcome { .. });
                    match self.apply(network, connection, message, now) {
                        Ok(changed) => {
                            update |= changed;
                            if let Some(session) = self.session.as_mut().filter(|_| !is_welcome) {
                                session.last_message_at = Some(now);
                            }
                        }
                        Err(reason) => {
                            log::debug!("feed: a connection to a control node ends: {reason}");
                            self.disconnect(network, connection, now);
                        }
                    }
                }
                Err(error) => {
                    log::warn!("feed: {error}");
                    self.disconnect(network, connection, now);
                }
            }
        }
        update
    }

    fn apply(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        message: ControlMessage,
        now: u64,
    ) -> Result<FeedUpdate, Disconnect> {
        match message {
            ControlMessage::Welcome { controls } => {
                self.welcomed(network, connection, now);
                if let Some(session) = &self.session {
                    self.candidates.set_listed(session.address, controls);
                }
                Ok(FeedUpdate::default())
            }
            ControlMessage::Redirect { controls } => {
                self.candidates.add_hints(controls);
                Err(Disconnect::Redirected)
            }
            // Only a control node that has a quorum, and has said so, may send anything else.
            _ if !self.is_session(connection) => Err(Disconnect::NotWelcomed),
            ControlMessage::Heartbeat => Ok(FeedUpdate::default()),
            ControlMessage::Snapshot { sequence, state } => {
                Ok(self.replica.apply_snapshot(sequence, &state)?)
            }
            ControlMessage::Changes { first, changes } => Ok(self.replica.apply_changes(first, &changes)?),
            ControlMessage::Servers(update) => Ok(self.replica.apply_server_update(&update)?),
            ControlMessage::Gateways(list) => Ok(self.replica.apply_workers(list)),
        }
    }

    /// The attempt becomes the session, and the others are dropped.
    fn welcomed(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        let is_meant = |attempt: &Attempt| attempt.connection == connection;
        let Some(index) = self.attempts.iter().position(is_meant) else { return };
        let Attempt { address, .. } = self.attempts.remove(index);
        let next_heartbeat_at = now + HEARTBEAT_MS;
        self.sessions_opened += 1;
        self.session = Some(Session {
            connection,
            address,
            last_received_at: now,
            last_message_at: None,
            next_heartbeat_at,
        });
        for attempt in self.attempts.drain(..) {
            network.abort(attempt.connection);
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        self.disconnect(network, connection, now);
    }

    /// Tells the control node that this process shuts down.
    pub fn say_goodbye(&mut self, network: &mut Network) {
        self.send(network, &SessionMessage::Goodbye);
    }
}

fn write(network: &mut Network, connection: ConnectionId, message: &SessionMessage) {
    if let Some(outbox) = network.outbox(connection) {
        write_frame(outbox, message);
    }
}
