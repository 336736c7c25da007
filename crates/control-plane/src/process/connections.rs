//! Connections of the system's own processes: links with other control nodes, and sessions of feed subscribers.

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::{Change, ModelUsage};
use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::frames::{FrameError, read_frame};
use orchidvalve_protocol::identity::{MemberId, NO_DISK, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, FeedPosition, Handshake, LinkProtocol, PROTOCOL_VERSION, Role, ServiceLoad,
    SessionMessage,
};

use super::Process;
use crate::peer_messages::PeerMessage;
use crate::session_balance::has_surplus;
use crate::sessions::Session;
use crate::subscribers::{Feed, send};

/// Maximum time between two reports of the local sessions to the other control nodes, in milliseconds.
const SESSION_REPORT_INTERVAL_MS: Milliseconds = 400;
/// Minimum time between two complete lists of sessions, in milliseconds: when many processes open sessions at once, each
/// list covers several of them.
const MIN_SESSION_LIST_INTERVAL_MS: Milliseconds = 30;

/// The state of a connection accepted on the internal listener.
#[derive(Clone, Copy, Debug)]
pub(super) enum Incoming {
    /// A process that has not sent the protocol byte yet.
    Unidentified,
    /// A control node that has not sent its handshake yet.
    NewPeer,
    /// A control node that has introduced itself.
    Peer(MemberId),
    /// A process that has a session or opens one.
    Subscriber,
}

/// Whether a connection is kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Disposition {
    Keep,
    Drop,
}

/// A report of the local sessions to the other control nodes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum SessionReport {
    /// The list of all local sessions.
    List,
    /// A notice that the last list is still valid.
    Unchanged,
}

/// Decides when the local sessions are reported to the other control nodes.
#[derive(Default, Debug)]
pub(super) struct SessionReports {
    last_sent_at: Milliseconds,
    /// Whether sessions have changed since the last list, or a link was opened to a node that has no list yet.
    has_changes: bool,
}

impl SessionReports {
    fn set_changed(&mut self) {
        self.has_changes = true;
    }

    /// Takes the report that is due, if any; the next one is due after an interval.
    fn take_due(&mut self, now: Milliseconds) -> Option<SessionReport> {
        let (report, interval) = if self.has_changes {
            (SessionReport::List, MIN_SESSION_LIST_INTERVAL_MS)
        } else {
            (SessionReport::Unchanged, SESSION_REPORT_INTERVAL_MS)
        };
        if now < self.last_sent_at + interval {
            return None;
        }
        *self = SessionReports { last_sent_at: now, has_changes: false };
        Some(report)
    }
}

impl Process {
    /// Processes a link that this node opened: sends the peer everything that it may have missed.
    pub(super) fn link_opened(&mut self, connection: ConnectionId) {
        let Some(address) = self.links.connected(connection) else { return };
        self.network.send(connection, &[LinkProtocol::ControlPeer.byte()]);
        let handshake = PeerMessage::Handshake { handshake: self.handshake.clone() };
        self.links.send(&mut self.network, address, &handshake);
        self.links.send(&mut self.network, address, &self.node.hello());
        if self.links.is_observer(address) {
            return;
        }
        self.links.send(&mut self.network, address, &PeerMessage::Servers(self.servers.snapshot()));
        let workers = PeerMessage::Workers(self.workers.list().clone());
        self.links.send(&mut self.network, address, &workers);
        self.session_reports.set_changed();
        self.usage_link_opened(address);
        if let Some(member) = self.links.member_at(address) {
            self.node.link_up(member);
        }
    }

    /// Processes data received on a link that this node opened. Members send on links of their own, so the peer is an
    /// observer, which sends the members that it knows, and its votes on the first view.
    pub(super) fn observer_data_received(&mut self, connection: ConnectionId, address: NodeAddress) {
        loop {
            let (message, length) = match read_frame::<ControlMessage>(self.network.inbox(connection)) {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(error) => {
                    malformed(&error);
                    self.connection_closed(connection);
                    return;
                }
            };
            self.network.consume(connection, length);
            match message {
                ControlMessage::Redirect { controls } => {
                    self.links.mark_observer(address);
                    self.links.add_hints(controls, self.now);
                    self.node.exclude_seed(address);
                }
                ControlMessage::FirstViewVote { message } => self.first_view_vote_received(address, &message),
                _ => {}
            }
        }
    }

    fn first_view_vote_received(&mut self, address: NodeAddress, message: &[u8]) {
        match orchidvalve_consensus::Message::decode(message) {
            Ok(message) => self.node.agreement_message(MemberId { address, disk: NO_DISK }, message),
            Err(error) => log::warn!("control: a vote of {address} on the first view: {error}"),
        }
    }

    /// Keeps links to all observers that have a session with any member.
    fn refresh_observers(&mut self) {
        let observers = self.sessions.sessions().filter(|session| session.role == Role::Control);
        for address in observers.map(|session| session.member.address) {
            self.links.observer_seen(address, self.now);
        }
    }

    /// Ends the session on this connection, if there is one.
    pub(super) fn end_session(&mut self, connection: ConnectionId) {
        if let Some(session) = self.subscribers.close(connection) {
            log::info!("sessions: session of {} closed", session.name);
            self.sessions.close(&session, self.now);
            self.session_reports.set_changed();
        }
    }

    /// Handles every complete message received on an incoming connection.
    pub(super) fn internal_data_received(&mut self, connection: ConnectionId) {
        loop {
            let state = self.incoming.get(&connection).copied().unwrap_or(Incoming::Unidentified);
            let inbox = self.network.inbox(connection);
            let (consumed, disposition) = match state {
                Incoming::Unidentified => match inbox.first() {
                    Some(byte) => (1, self.identify(connection, LinkProtocol::from_byte(*byte))),
                    None => return,
                },
                Incoming::NewPeer => match read_frame::<PeerMessage>(inbox) {
                    Ok(Some((message, length))) => (length, self.peer_introduced(connection, &message)),
                    Ok(None) => return,
                    Err(error) => (0, malformed(&error)),
                },
                Incoming::Peer(member) => match read_frame::<PeerMessage>(inbox) {
                    Ok(Some((message, length))) => {
                        self.peer_message(member, message);
                        (length, Disposition::Keep)
                    }
                    Ok(None) => return,
                    Err(error) => (0, malformed(&error)),
                },
                Incoming::Subscriber => match read_frame::<SessionMessage>(inbox) {
                    Ok(Some((message, length))) => (length, self.session_message(connection, message)),
                    Ok(None) => return,
                    Err(error) => (0, malformed(&error)),
                },
            };
            if disposition == Disposition::Drop {
                self.drop_connection(connection);
                return;
            }
            self.network.consume(connection, consumed);
        }
    }

    /// Closes an incoming connection and ends the session on it.
    fn drop_connection(&mut self, connection: ConnectionId) {
        self.incoming.remove(&connection);
        self.end_session(connection);
        self.network.finish(connection);
    }

    /// Processes the first byte of an incoming connection, which identifies the protocol.
    fn identify(&mut self, connection: ConnectionId, protocol: Option<LinkProtocol>) -> Disposition {
        let incoming = match protocol {
            Some(LinkProtocol::ControlPeer) => Incoming::NewPeer,
            Some(LinkProtocol::Session) => Incoming::Subscriber,
            _ => {
                log::warn!(
                    "control: connection uses no protocol of control nodes; check the caller's addresses"
                );
                return Disposition::Drop;
            }
        };
        self.incoming.insert(connection, incoming);
        Disposition::Keep
    }

    /// Processes the first message of a control node, its handshake.
    fn peer_introduced(&mut self, connection: ConnectionId, message: &PeerMessage) -> Disposition {
        match message {
            PeerMessage::Handshake { handshake } if handshake.version == PROTOCOL_VERSION => {
                let member = handshake.member;
                self.incoming.insert(connection, Incoming::Peer(member));
                // Bytes still unread on the older link were sent before those that follow on this one.
                if let Some(older) = self.links.peer_introduced(member, connection, self.now) {
                    self.drop_connection(older);
                }
                self.node.link_up(member);
                Disposition::Keep
            }
            _ => {
                log::warn!(
                    "control: a peer uses another protocol version; run the same version on all machines"
                );
                Disposition::Drop
            }
        }
    }

    /// Processes a message of a control node that has introduced itself.
    fn peer_message(&mut self, from: MemberId, message: PeerMessage) {
        self.links.message_received(from, self.now);
        match message {
            PeerMessage::Handshake { .. } => {}
            PeerMessage::Agreement(message) => self.node.agreement_message(from, message),
            PeerMessage::Chain(message) => self.node.chain_message(from, message),
            PeerMessage::Forward { number, request } => self.node.forwarded_request(from, number, request),
            PeerMessage::ForwardOutcome { number, outcome } => self.node.forwarded_outcome(number, outcome),
            PeerMessage::Sessions { sessions } => self.sessions.apply_report(from, sessions, self.now),
            PeerMessage::SessionsUnchanged => self.sessions.renew_report(from, self.now),
            PeerMessage::Workers(list) => {
                if self.workers.adopt(list) {
                    self.broadcast_workers();
                }
            }
            PeerMessage::Servers(update) => {
                self.servers.apply(&update);
            }
            PeerMessage::LearnerCaughtUp { partition, epoch, member } => {
                self.roles.learner_caught_up(partition, epoch, member);
            }
            PeerMessage::Usage { incarnation, windows } => self.usage_forwarded(incarnation, windows),
            PeerMessage::Load { incarnation, loads } => {
                self.roles.record_load(incarnation, loads, self.now);
            }
        }
    }

    /// Returns the addresses of the voters, which are announced to subscribers.
    fn control_nodes(&self) -> Vec<NodeAddress> {
        let voters = self.node.view().map_or(&[][..], |view| &view.voters);
        voters.iter().map(|voter| voter.address).collect()
    }

    /// Processes a message of a gateway, a store node or an observer.
    fn session_message(&mut self, connection: ConnectionId, message: SessionMessage) -> Disposition {
        match message {
            SessionMessage::Handshake { handshake, position } => {
                return self.open_session(connection, &handshake, position);
            }
            SessionMessage::Heartbeat { health, .. } => {
                let (network, now) = (&mut self.network, self.now);
                let changed = self.subscribers.heartbeat_received(network, connection, health, now);
                if let Some(session) = changed {
                    self.sessions.open(session, now);
                    self.session_reports.set_changed();
                }
                if !self.subscribers.contains(connection) {
                    return Disposition::Drop;
                }
            }
            SessionMessage::LearnerCaughtUp { partition, epoch, member } => {
                self.roles.learner_caught_up(partition, epoch, member);
                let message = PeerMessage::LearnerCaughtUp { partition, epoch, member };
                if let Some(head) = self.head.filter(|head| head.member != self.me()) {
                    self.links.send(&mut self.network, head.member.address, &message);
                }
            }
            SessionMessage::ReportModelUsage { model, single_version, lag } => {
                let usage = ModelUsage { single_version, lag };
                // No outcome is needed: gateways report the usage again with the next job.
                self.submit_unattended(&Change::RecordModelUsage { model, usage });
            }
            SessionMessage::ReportUsage { windows } => self.usage_reported(connection, windows),
            SessionMessage::ReportLoad { loads } => self.load_reported(connection, loads),
            SessionMessage::Goodbye => return Disposition::Drop,
        }
        Disposition::Keep
    }

    /// Processes the load report of a process: records it at the head, or forwards it to the head.
    fn load_reported(&mut self, connection: ConnectionId, loads: Vec<ServiceLoad>) {
        let Some(incarnation) = self.subscribers.incarnation(connection) else { return };
        match self.head {
            Some(head) if head.member != self.me() => {
                let message = PeerMessage::Load { incarnation, loads };
                self.links.send(&mut self.network, head.member.address, &message);
            }
            _ => self.roles.record_load(incarnation, loads, self.now),
        }
    }

    /// Opens a session, or redirects the process to the other control nodes if this one has no quorum or too many sessions.
    fn open_session(
        &mut self,
        connection: ConnectionId,
        handshake: &Handshake,
        position: FeedPosition,
    ) -> Disposition {
        if handshake.version != PROTOCOL_VERSION {
            return Disposition::Drop;
        }
        let controls = self.control_nodes();
        if !self.node.has_quorum() || self.is_referred(handshake, position) {
            send(&mut self.network, connection, &ControlMessage::Redirect { controls });
            return Disposition::Drop;
        }
        for older in self.subscribers.supersede(handshake) {
            self.drop_connection(older);
        }
        log::info!("sessions: session of {} opened", handshake.name);
        let (network, now) = (&mut self.network, self.now);
        let session = self.subscribers.open(network, connection, handshake, position, controls, now);
        self.sessions.open(session, now);
        self.session_reports.set_changed();
        let workers = ControlMessage::Gateways(self.workers.list().clone());
        send(&mut self.network, connection, &workers);
        Disposition::Keep
    }

    /// Ends sessions that have timed out, or all sessions if there is no quorum, and reports the remaining ones.
    pub(super) fn maintain_sessions(&mut self) {
        for connection in self.subscribers.timed_out(self.now) {
            self.drop_connection(connection);
        }
        if !self.node.has_quorum() && !self.subscribers.connections().is_empty() {
            log::warn!("control: no contact with a majority; subscribers are redirected");
            let redirect = ControlMessage::Redirect { controls: self.control_nodes() };
            for connection in self.subscribers.connections() {
                send(&mut self.network, connection, &redirect);
                self.drop_connection(connection);
            }
        }
        self.move_surplus_session();
        let control_nodes = self.control_nodes();
        self.subscribers.announce_control_nodes(&mut self.network, control_nodes);
        self.sessions.expire(self.now);
        self.refresh_observers();
        if let Some(report) = self.session_reports.take_due(self.now) {
            let message = match report {
                SessionReport::List => PeerMessage::Sessions { sessions: self.sessions.local(self.now) },
                SessionReport::Unchanged => PeerMessage::SessionsUnchanged,
            };
            self.links.broadcast(&mut self.network, &message);
        }
    }

    /// Returns whether a process is redirected to nodes with fewer sessions. A process that has had a session before is
    /// accepted, so that it is not delayed.
    fn is_referred(&mut self, handshake: &Handshake, position: FeedPosition) -> bool {
        position == FeedPosition::default()
            && self.has_session_surplus()
            && self.referrals.refer(handshake.incarnation, self.now)
    }

    /// Returns whether this node has many more sessions than the other members of the chain.
    fn has_session_surplus(&self) -> bool {
        let chain = self.node.view().map_or(&[][..], |view| &view.chain);
        let others = chain.iter().filter(|member| **member != self.me());
        let counts: Option<Vec<usize>> =
            others.map(|member| self.sessions.reported_count(*member, self.now)).collect();
        counts.is_some_and(|others| has_surplus(self.subscribers.len(), &others))
    }

    /// If this node has too many sessions, redirects the gateway with the youngest session among those that run no
    /// generations.
    fn move_surplus_session(&mut self) {
        if !self.node.has_quorum() || !self.has_session_surplus() || !self.session_moves.take_due(self.now) {
            return;
        }
        let workers = &self.workers.list().gateways;
        let is_movable =
            |session: &Session| session.role == Role::Gateway && !workers.contains(&session.member.address);
        if let Some(connection) = self.subscribers.youngest(is_movable) {
            let controls = self.control_nodes();
            send(&mut self.network, connection, &ControlMessage::Redirect { controls });
            self.drop_connection(connection);
        }
    }

    /// As the leader, selects the gateways that run generations, and announces the selection if it has changed.
    pub(super) fn select_workers(&mut self, term: u64) {
        let presumed = !self.roles.is_session_grace_over(self.now);
        if self.workers.select(term, &self.sessions, presumed, &self.servers) {
            let list = PeerMessage::Workers(self.workers.list().clone());
            self.links.broadcast(&mut self.network, &list);
            self.broadcast_workers();
        }
    }

    fn broadcast_workers(&mut self) {
        let list = ControlMessage::Gateways(self.workers.list().clone());
        self.subscribers.broadcast(&mut self.network, &list);
    }

    /// Sends each subscriber the committed changes and the updates of the server table that it does not have yet.
    pub(super) fn send_feed_updates(&mut self) {
        let feed = Feed {
            state: self.node.state(),
            applied: self.node.applied(),
            first_change: self.node.first_change(),
            servers: &self.servers,
        };
        let changes_from = |first| self.node.changes_from(first);
        self.subscribers.send_updates(&mut self.network, &feed, &changes_from);
    }
}

fn malformed(error: &FrameError) -> Disposition {
    log::warn!("control: {error}");
    Disposition::Drop
}
