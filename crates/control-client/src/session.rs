//! The session with one control node: opened, kept alive, and moved to another node if that one fails or has no quorum.
//!
//! Without a session, several control nodes are contacted in overlapping attempts, because a node that is partitioned
//! or frozen doesn't reply. The first one that welcomes this process keeps the session, and the other attempts are
//! dropped. Only the session updates the replica.

use std::time::Duration;

use derive_more::{Display, From};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::frames::{read_frame, write_frame};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ControlMessage, Handshake, LinkProtocol, SessionMessage, StoreHealth};

use crate::candidates::Candidates;
use crate::replica::{FeedError, FeedReplica, FeedUpdate};

/// Interval between two heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 250;
/// The session ends if nothing is received from its control node for this time, in milliseconds.
const SESSION_TIMEOUT_MS: u64 = 900;
/// An attempt ends if its control node doesn't welcome this process within this time, in milliseconds.
const WELCOME_TIMEOUT_MS: u64 = 350;
/// Delay before the next control node is contacted after one has refused, in milliseconds.
const RETRY_MS: u64 = 60;
/// Delay before the next control node is contacted while one hasn't replied yet, in milliseconds.
const OVERLAP_MS: u64 = 100;
/// TCP user timeout: how long sent bytes may stay unacknowledged by the other machine.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection to a control node on which a session is requested.
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
    /// When the last complete message after the welcome was received.
    last_message_at: Option<u64>,
    next_heartbeat_at: u64,
}

/// The reason why a message causes its connection to be closed.
#[derive(Debug, Display, From)]
enum Disconnect {
    /// The control node refers this process to other control nodes.
    #[display("the control node has no quorum")]
    Redirected,
    /// The control node sent data before welcoming this process.
    #[display("the control node has not welcomed this process")]
    NotWelcomed,
    /// The replica cannot apply the message.
    #[from]
    Feed(FeedError),
}

/// The session and the replica that it updates. Times are in milliseconds.
#[derive(Debug)]
pub struct FeedClient {
    handshake: Handshake,
    candidates: Candidates,
    session: Option<Session>,
    /// Open attempts; empty while there is a session.
    attempts: Vec<Attempt>,
    /// When the next control node is contacted while there is no session.
    next_attempt_at: u64,
    health: Option<StoreHealth>,
    /// Number of sessions opened by this process.
    sessions_opened: u64,
    replica: FeedReplica,
}

impl FeedClient {
    /// Creates a client without a session. `seeds` are the control nodes to contact first. `spread` is random: it
    /// selects the first one.
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

    /// Returns the replica as updated by the feed so far.
    pub fn replica(&self) -> &FeedReplica {
        &self.replica
    }

    /// Returns whether this process has a session with a control node that has a quorum.
    pub fn has_session(&self) -> bool {
        self.session.is_some()
    }

    /// Returns the control nodes known to this process: the list of the last session, or before the first session the
    /// ones listed by nodes without a quorum.
    pub fn known_control_nodes(&self) -> Vec<NodeAddress> {
        self.candidates.known()
    }

    /// Adds control nodes listed by another process. Without a session, they are contacted soon.
    pub fn add_hints(&mut self, control_nodes: Vec<NodeAddress>, now: u64) {
        self.candidates.add_hints(control_nodes);
        self.next_attempt_at = self.next_attempt_at.min(now + RETRY_MS);
    }

    /// Returns the number of the open session, which differs from that of every earlier one. Messages sent in earlier
    /// sessions may be lost.
    pub fn session_number(&self) -> Option<u64> {
        self.session.as_ref().map(|_| self.sessions_opened)
    }

    /// Returns the control node of the session, which has a quorum.
    pub fn session_node(&self) -> Option<NodeAddress> {
        self.session.as_ref().map(|session| session.address)
    }

    /// Returns when bytes were last received from the control node in this session.
    pub fn last_received_at(&self) -> Option<u64> {
        self.session.as_ref().map(|session| session.last_received_at)
    }

    /// Returns when a complete message other than the welcome was last received from the control node in this session.
    /// Every change of the control state that the control node knew before it sent that message is in the replica,
    /// because changes are sent first.
    pub fn last_message_at(&self) -> Option<u64> {
        self.session.as_ref().and_then(|session| session.last_message_at)
    }

    /// Sets the health that heartbeats report from now on.
    pub fn set_health(&mut self, health: StoreHealth) {
        self.health = Some(health);
    }

    /// Returns whether this is the connection of the session or of an attempt.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.is_session(connection) || self.attempts.iter().any(|attempt| attempt.connection == connection)
    }

    fn is_session(&self, connection: ConnectionId) -> bool {
        self.session.as_ref().is_some_and(|session| session.connection == connection)
    }

    /// Returns when [`FeedClient::maintain`] must be called next.
    pub fn next_wakeup(&self) -> u64 {
        match &self.session {
            Some(session) => session.next_heartbeat_at.min(session.last_received_at + SESSION_TIMEOUT_MS),
            None => {
                let timeouts = self.attempts.iter().map(|attempt| attempt.started_at + WELCOME_TIMEOUT_MS);
                timeouts.min().unwrap_or(u64::MAX).min(self.next_attempt_at)
            }
        }
    }

    /// Opens sessions, sends heartbeats and handles timeouts.
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

    /// Drops a connection; the next control node is contacted soon.
    fn disconnect(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        network.abort(connection);
        if let Some(session) = self.session.take_if(|session| session.connection == connection) {
            self.candidates.session_ended(session.address, now);
            self.next_attempt_at = now + RETRY_MS;
        }
        self.attempts.retain(|attempt| attempt.connection != connection);
        self.next_attempt_at = self.next_attempt_at.min(now + RETRY_MS);
    }

    /// Handles an established connection: if it belongs to an attempt, requests the session.
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

    /// Handles received bytes. Returns which parts of the replica have changed.
    pub fn data(&mut self, network: &mut Network, connection: ConnectionId, now: u64) -> FeedUpdate {
        let mut update = FeedUpdate::default();
        // Part of a message also shows that the node is alive: a complete table takes long on a slow link.
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
            // Only a control node that has a quorum, and has welcomed this process, may send anything else.
            _ if !self.is_session(connection) => Err(Disconnect::NotWelcomed),
            ControlMessage::Heartbeat | ControlMessage::FirstViewVote { .. } => Ok(FeedUpdate::default()),
            ControlMessage::Snapshot { sequence, state } => {
                Ok(self.replica.apply_snapshot(sequence, &state)?)
            }
            ControlMessage::Changes { first, changes } => Ok(self.replica.apply_changes(first, &changes)?),
            ControlMessage::Servers(update) => Ok(self.replica.apply_server_update(&update)?),
            ControlMessage::Gateways(list) => Ok(self.replica.apply_workers(list)),
        }
    }

    /// Turns the attempt into the session and drops the other attempts.
    fn welcomed(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        let is_same = |attempt: &Attempt| attempt.connection == connection;
        let Some(index) = self.attempts.iter().position(is_same) else { return };
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

    /// Handles the end of a connection.
    pub fn closed(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        self.disconnect(network, connection, now);
    }

    /// Notifies the control node that this process shuts down.
    pub fn say_goodbye(&mut self, network: &mut Network) {
        self.send(network, &SessionMessage::Goodbye);
    }
}

fn write(network: &mut Network, connection: ConnectionId, message: &SessionMessage) {
    if let Some(outbox) = network.outbox(connection) {
        write_frame(outbox, message);
    }
}
