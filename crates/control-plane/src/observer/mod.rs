//! The observer: the control process of a machine without a disk. It stores nothing and redirects all callers to the
//! members.
//!
//! Votes and copies of the control state need a disk that survives a power loss, so such a process cannot be a member. It
//! may still be called: operators choose it from their list, and settings files name it as a seed, even as the only one.
//! So it subscribes to the feed to learn the members, and redirects operators to them with status 307, and gateways, store
//! nodes and control nodes with [`ControlMessage::Redirect`]. Members keep opening links to an observer that they know,
//! since after a restart it knows only its seeds, and these may all be observers.
//!
//! If all seeds are observers at the first start of a system, they vote on its first view ([`Witness`]).

mod member_directory;

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_consensus::Witness;
use orchidvalve_control_client::FeedClient;
use orchidvalve_http::{Request, RequestReader, write_response};
use orchidvalve_net::clock::Clock;
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::frames::{FrameError, read_frame};
use orchidvalve_protocol::identity::{MemberId, NO_DISK, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, Handshake, LinkProtocol, PROTOCOL_VERSION, Role, SessionMessage,
};

pub use self::member_directory::MemberDirectory;
use crate::operator_api::{OPERATOR_LIMITS, OperatorResponse};
use crate::peer_messages::PeerMessage;
use crate::redirector::{Redirection, Redirector};
use crate::subscribers::send;

const OPERATOR_LISTENER: u32 = 1;
const INTERNAL_LISTENER: u32 = 2;
/// Maximum time that the event loop waits, in milliseconds.
const MAX_WAIT_MS: Milliseconds = 1_000;
/// An observer that knows no member logs this after this time, in milliseconds.
const ISOLATION_MS: Milliseconds = 5_000;

/// Settings of an observer.
#[derive(Clone, Debug)]
pub struct ObserverOptions {
    /// Name of the machine.
    pub name: String,
    /// Failure domain of the machine.
    pub zone: String,
    /// Fraction of a CPU core that the process may use.
    pub cpu_share: f32,
    /// Address on which the process listens for operators and trainers.
    pub control_address: SocketAddrV4,
    /// Address at which the system's own processes reach this one.
    pub internal_address: SocketAddrV4,
    /// Address on which the process listens for them; differs from `internal_address` only behind a relay.
    pub internal_listener: SocketAddrV4,
    /// Source address of outgoing connections; `None` lets the kernel choose.
    pub source: Option<Ipv4Addr>,
    /// Control addresses of the control nodes in the settings.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the system: the process votes on the first view if no seed has a disk.
    pub bootstrap: bool,
}

/// The state of an incoming connection.
enum Connection {
    Operator(RequestReader),
    /// A process of the system that has not sent the protocol byte yet.
    Unidentified,
    /// A process that requests a session.
    Subscriber,
    /// A control node that has not sent its handshake yet.
    NewPeer,
    /// A member. Only its proposals of the first view are meant for this process.
    Member(MemberId),
}

struct Observer {
    clock: Clock,
    network: Network,
    feed: FeedClient,
    directory: MemberDirectory,
    /// The votes of this process on the first view; `None` if the system has started before.
    witness: Option<Witness>,
    redirector: Redirector,
    connections: BTreeMap<ConnectionId, Connection>,
    /// When the lack of a known member is logged; `None` once it was logged or a member was known.
    report_isolation_at: Option<Milliseconds>,
}

/// Runs an observer until it receives a termination signal.
///
/// # Errors
///
/// The network cannot be used.
pub fn run(options: &ObserverOptions, incarnation: u64) -> io::Result<()> {
    let mut observer = Observer::start(options, incarnation)?;
    loop {
        let timeout = observer.poll_timeout();
        for event in observer.network.poll(timeout)? {
            if matches!(event, Event::Terminate) {
                observer.feed.say_goodbye(&mut observer.network);
                observer.network.flush();
                return Ok(());
            }
            observer.handle_event(event);
        }
        observer.finish_turn();
    }
}

impl Observer {
    fn start(options: &ObserverOptions, incarnation: u64) -> io::Result<Observer> {
        let clock = Clock::start();
        let mut network = Network::new()?;
        network.set_source_address(options.source);
        network.listen(options.control_address, OPERATOR_LISTENER)?;
        network.listen(options.internal_listener, INTERNAL_LISTENER)?;
        log::info!("control: this machine has no disk: callers are redirected to machines with a disk");
        let port = options.internal_address.port();
        let seeds = options.seeds.iter().map(|seed| NodeAddress::new(*seed.ip(), port)).collect();
        let handshake = Handshake {
            version: PROTOCOL_VERSION,
            role: Role::Control,
            name: options.name.clone(),
            zone: options.zone.clone(),
            member: MemberId {
                address: NodeAddress::new(*options.internal_address.ip(), port),
                disk: NO_DISK,
            },
            incarnation,
            cpu_share: options.cpu_share,
        };
        Ok(Observer {
            report_isolation_at: Some(clock.now() + ISOLATION_MS),
            clock,
            network,
            feed: FeedClient::new(handshake, seeds, incarnation),
            directory: MemberDirectory::default(),
            witness: options.bootstrap.then(Witness::default),
            redirector: Redirector::new(options.control_address),
            connections: BTreeMap::new(),
        })
    }

    fn poll_timeout(&self) -> Duration {
        let now = self.clock.now();
        let next = self.feed.next_wakeup().min(now + MAX_WAIT_MS);
        Duration::from_millis(next.saturating_sub(now))
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener: OPERATOR_LISTENER, connection } => {
                self.connections.insert(connection, Connection::Operator(RequestReader::default()));
            }
            Event::Accepted { connection, .. } => {
                self.connections.insert(connection, Connection::Unidentified);
            }
            Event::Connected(connection) => self.feed.connected(&mut self.network, connection),
            Event::Data(connection) if self.feed.owns(connection) => {
                let now = self.clock.now();
                self.feed.data(&mut self.network, connection, now);
            }
            Event::Data(connection) => self.handle_data(connection),
            Event::Closed { connection, .. } if self.feed.owns(connection) => {
                let now = self.clock.now();
                self.feed.closed(&mut self.network, connection, now);
            }
            Event::Closed { connection, .. } => self.abort_connection(connection),
            Event::Terminate | Event::Reload | Event::Woken => {}
        }
    }

    /// Does what is due by time and what follows from the events of the turn.
    fn finish_turn(&mut self) {
        let now = self.clock.now();
        self.feed.maintain(&mut self.network, now);
        for connection in self.directory.expire(now) {
            self.abort_connection(connection);
        }
        let members = self.members();
        self.redirector.set_members(self.feed.session_node(), &members);
        if !members.is_empty() {
            self.report_isolation_at = None;
        } else if self.report_isolation_at.is_some_and(|at| now >= at) {
            self.report_isolation_at = None;
            log::error!(
                "control: no control machine with a disk is known; add one to seed-nodes on at least one machine"
            );
        }
    }

    fn members(&self) -> Vec<NodeAddress> {
        self.directory.members(self.feed.known_control_nodes())
    }

    /// Handles every complete message received on a connection.
    fn handle_data(&mut self, connection: ConnectionId) {
        while let Some(kind) = self.connections.get(&connection) {
            let progress = match kind {
                Connection::Operator(_) => self.operator_data_received(connection),
                Connection::Unidentified => self.identify(connection),
                Connection::Subscriber => self.subscriber_data_received(connection),
                Connection::NewPeer => self.peer_data_received(connection),
                Connection::Member(member) => self.member_data_received(connection, *member),
            };
            match progress {
                Progress::Consumed => {}
                Progress::Incomplete => return,
                Progress::Close => {
                    self.close_gracefully(connection);
                    return;
                }
            }
        }
    }

    fn identify(&mut self, connection: ConnectionId) -> Progress {
        let Some(byte) = self.network.inbox(connection).first() else { return Progress::Incomplete };
        let kind = match LinkProtocol::from_byte(*byte) {
            Some(LinkProtocol::ControlPeer) => Connection::NewPeer,
            Some(LinkProtocol::Session) => Connection::Subscriber,
            _ => return Progress::Close,
        };
        self.network.consume(connection, 1);
        self.connections.insert(connection, kind);
        Progress::Consumed
    }

    /// Redirects a process that requests a session to the members.
    fn subscriber_data_received(&mut self, connection: ConnectionId) -> Progress {
        match read_frame::<SessionMessage>(self.network.inbox(connection)) {
            Ok(None) => Progress::Incomplete,
            Ok(Some((_, length))) => {
                self.network.consume(connection, length);
                self.redirect_process(connection);
                Progress::Close
            }
            Err(error) => malformed(&error),
        }
    }

    /// Processes a link that a control node has opened: redirects it to the other members, and adds it to those known.
    fn peer_data_received(&mut self, connection: ConnectionId) -> Progress {
        let (message, length) = match read_frame::<PeerMessage>(self.network.inbox(connection)) {
            Ok(None) => return Progress::Incomplete,
            Ok(Some(frame)) => frame,
            Err(error) => return malformed(&error),
        };
        self.network.consume(connection, length);
        let PeerMessage::Handshake { handshake } = message else { return Progress::Close };
        if handshake.version != PROTOCOL_VERSION {
            log::warn!("control: a peer uses another protocol version; run the same version on all machines");
            return Progress::Close;
        }
        let address = handshake.member.address;
        self.redirect_process(connection);
        self.connections.insert(connection, Connection::Member(handshake.member));
        let now = self.clock.now();
        if let Some(older) = self.directory.link_opened(connection, address, now) {
            self.abort_connection(older);
        }
        self.feed.add_hints(vec![address], now);
        Progress::Consumed
    }

    /// Processes a message of a member: votes on a first view that it proposes. All others are meant for members.
    fn member_data_received(&mut self, connection: ConnectionId, member: MemberId) -> Progress {
        let (message, length) = match read_frame::<PeerMessage>(self.network.inbox(connection)) {
            Ok(None) => return Progress::Incomplete,
            Ok(Some(frame)) => frame,
            Err(error) => return malformed(&error),
        };
        self.network.consume(connection, length);
        if let (PeerMessage::Agreement(message), Some(witness)) = (message, &mut self.witness)
            && let Some(vote) = witness.message_received(member, &message)
        {
            self.send_vote(connection, &vote);
        }
        Progress::Consumed
    }

    fn send_vote(&mut self, connection: ConnectionId, vote: &orchidvalve_consensus::Message) {
        let mut message = Vec::new();
        match vote.encode(&mut message) {
            Ok(()) => send(&mut self.network, connection, &ControlMessage::FirstViewVote { message }),
            Err(error) => log::error!("control: a vote on the first view cannot be encoded: {error}"),
        }
    }

    fn redirect_process(&mut self, connection: ConnectionId) {
        let redirect = ControlMessage::Redirect { controls: self.members() };
        send(&mut self.network, connection, &redirect);
    }

    fn operator_data_received(&mut self, connection: ConnectionId) -> Progress {
        let Some(Connection::Operator(reader)) = self.connections.get_mut(&connection) else {
            return Progress::Close;
        };
        let Ok(progress) = reader.read(self.network.inbox(connection), &OPERATOR_LIMITS) else {
            return Progress::Close;
        };
        self.network.consume(connection, progress.consumed);
        let Some(request) = progress.request else { return Progress::Incomplete };
        self.respond(connection, &request);
        if request.keep_alive { Progress::Consumed } else { Progress::Close }
    }

    fn respond(&mut self, connection: ConnectionId, request: &Request) {
        let redirection = self.redirector.redirect(request);
        let Some(outbox) = self.network.outbox(connection) else { return };
        let close = !request.keep_alive;
        match redirection {
            Redirection::To(location) => {
                write_response(outbox, 307, &[("Location", &location)], b"", close);
            }
            Redirection::Unavailable => {
                let response = OperatorResponse::outcome_unknown();
                let headers = [("Content-Type", "application/json")];
                write_response(outbox, response.status, &headers, &response.body, close);
            }
        }
    }

    fn abort_connection(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.network.abort(connection);
    }

    fn close_gracefully(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.network.finish(connection);
    }
}

/// The result of handling the bytes received on a connection.
enum Progress {
    /// A message was consumed; there may be more.
    Consumed,
    /// There is no complete message yet.
    Incomplete,
    /// The connection has to be closed.
    Close,
}

fn malformed(error: &FrameError) -> Progress {
    log::warn!("control: {error}");
    Progress::Close
}
