//! The control process: sockets, disk and timers around the control node.
//!
//! One turn of the event loop handles the events of the network, then does what is due by time. A change of the
//! configuration passes through these steps:
//!
//! 1. `Process::operator_data_received` parses the request and passes it to [`ControlNode::submit`], which decides it
//!    or forwards it to the head.
//! 2. `Process::finish_turn` reports to the node which records are durable and carries out its [`NodeOutput`]s: messages
//!    are sent to other members, and the response follows [`NodeOutput::RequestDecided`].
//! 3. `Process::send_feed_updates` sends the committed change to subscribers.

mod configuration_log;
mod connections;
mod operator_connections;
mod shutdown;
mod usage;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use orchidvalve_bootstrap::{MachineOptions, ProcessError, StartedProcess};
use orchidvalve_chain_replication::{Epoch, Milliseconds};
use orchidvalve_consensus::View;
use orchidvalve_net::clock::Clock;
use orchidvalve_net::{ConnectionId, Event as NetworkEvent, Network};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{Handshake, Role, ServerTableUpdate};
use orchidvalve_protocol::server_table::ServerTable;
use orchidvalve_wal::{Position, Record, Ring};

use self::connections::{Incoming, SessionReports};
use self::operator_connections::OperatorConnections;
use crate::disk_hang::DiskHangDetector;
use crate::disk_records::RecoveredState;
use crate::http_client::CompletedExchange;
use crate::node::{ControlNode, Disk, NodeConfig, NodeOutput};
use crate::operator_api::OperatorResponse;
use crate::peer_links::PeerLinks;
use crate::peer_messages::PeerMessage;
use crate::session_balance::{MoveSchedule, Referrals};
use crate::sessions::SessionTable;
use crate::singleton_roles::{self, ExchangePurpose, SingletonRoleOptions, SingletonRoles};
use crate::subscribers::FeedSubscribers;
use crate::usage_collection::UsageCollection;
use crate::workers::WorkerSelection;

/// Listener tag of connections from operators and trainers.
const OPERATOR_LISTENER: u32 = 1;
/// Listener tag of connections from the system's own processes.
const INTERNAL_LISTENER: u32 = 2;
/// Maximum time that the event loop waits, in milliseconds.
const MAX_WAIT_MS: Milliseconds = 100;
/// Pause before an overdue singleton role is run again, in milliseconds.
const OVERDUE_PAUSE_MS: Milliseconds = 5;
/// Fraction of the disk that the ring of the write-ahead log may use.
const RING_FRACTION: f64 = 0.85;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// The machine with its addresses and its disk.
    pub machine: MachineOptions,
    /// Address on which the process listens for operators and trainers.
    pub control_address: SocketAddrV4,
    /// Control addresses of the control nodes in the settings.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this node may take part in deciding the first view.
    pub bootstrap: bool,
    /// Number of disks that may be lost at once.
    pub tolerance: usize,
    /// Address of the platform's API; `None` if there is no platform.
    pub platform: Option<SocketAddrV4>,
    /// Length of the lease, in milliseconds: after an order, no other node may give orders for this time.
    pub lease_ms: Milliseconds,
    /// Time from the return of a machine until the next one may be lost, in milliseconds.
    pub catch_up_ms: Milliseconds,
    /// Roles that the platform allows the system to act in, by their names in the settings.
    pub enabled_platform_roles: Vec<String>,
    /// Maximum number of platform calls per second that the platform accepts from all nodes together.
    pub platform_calls_per_second: f64,
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: Milliseconds,
    /// Time after the end of a usage window by which its report is due, in milliseconds.
    pub usage_report_deadline_ms: Milliseconds,
}

impl ControlOptions {
    /// Returns the internal addresses of the seeds, which all use the same port.
    fn seed_nodes(&self) -> impl Iterator<Item = NodeAddress> {
        let port = self.machine.internal_address.port();
        self.seeds.iter().map(move |seed| NodeAddress::new(*seed.ip(), port))
    }

    fn node_config(&self, handshake: &Handshake) -> NodeConfig {
        NodeConfig {
            me: handshake.member,
            bootstrap: self.bootstrap,
            seeds: self.seed_nodes().collect(),
            tolerance: self.tolerance,
            catch_up_ms: self.catch_up_ms,
            incarnation: handshake.incarnation,
        }
    }

    fn role_options(&self) -> SingletonRoleOptions {
        SingletonRoleOptions {
            name: self.machine.name.clone(),
            platform: self.platform,
            lease_ms: self.lease_ms,
            tolerance: self.tolerance,
            enabled_platform_roles: self.enabled_platform_roles.clone(),
            platform_calls_per_second: self.platform_calls_per_second,
            usage_window_ms: self.usage_window_ms,
            usage_report_deadline_ms: self.usage_report_deadline_ms,
        }
    }
}

/// The write-ahead log as the node's disk.
struct RingDisk(Rc<Ring>);

impl Disk for RingDisk {
    fn append(&mut self, payload: Vec<u8>) -> Position {
        self.0.append(payload)
    }

    fn release_before(&mut self, position: Position) {
        self.0.release_before(position);
    }
}

/// The head of the latest view that this node has entered.
#[derive(Clone, Copy, Debug)]
struct KnownHead {
    epoch: Epoch,
    member: MemberId,
}

/// A control process: the state machine of the node, and its connections to everything outside.
struct Process {
    options: ControlOptions,
    clock: Clock,
    /// Time at which the current turn began.
    now: Milliseconds,
    network: Network,
    ring: Rc<Ring>,
    disk_hang: DiskHangDetector,
    /// Version of the configuration that was last logged.
    logged_configuration: u64,
    /// Agreement, replicated log and control state.
    node: ControlNode<RingDisk>,
    /// The handshake that introduces this process on new connections.
    handshake: Handshake,
    head: Option<KnownHead>,
    /// Outgoing links to the other control nodes.
    links: PeerLinks,
    /// Connections accepted on the internal listener.
    incoming: BTreeMap<ConnectionId, Incoming>,
    /// Processes with a session at this node; the feed is sent to them.
    subscribers: FeedSubscribers,
    /// Sessions at all control nodes.
    sessions: SessionTable,
    session_reports: SessionReports,
    session_moves: MoveSchedule,
    referrals: Referrals,
    /// The server table as the leader of discovery has published it.
    servers: ServerTable,
    /// The gateways that run generations.
    workers: WorkerSelection,
    /// The singleton roles, in which only the head acts.
    roles: SingletonRoles,
    /// Usage counts of gateways in windows whose reports are not decided.
    usage: UsageCollection,
    operators: OperatorConnections,
    /// Latest time at which this process exits, once it is shutting down.
    shutdown_deadline: Option<Milliseconds>,
}

/// Runs a control process until it receives a termination signal and has shut down.
///
/// # Errors
///
/// The disk or the network cannot be used.
pub fn run(options: ControlOptions) -> Result<(), ProcessError> {
    let Some(started) = orchidvalve_bootstrap::start(&options.machine, Role::Control, RING_FRACTION)? else {
        return Ok(());
    };
    let mut process = Process::new(options, started)?;
    loop {
        let timeout = process.poll_timeout();
        let events = process.network.poll(timeout)?;
        process.now = process.clock.at(process.network.turn_started_at());
        process.node.advance_clock(process.now);
        for event in events {
            process.handle_event(event);
        }
        process.finish_turn();
        if process.may_exit() {
            // The response to the last request may have been queued in this very turn.
            process.network.flush();
            return Ok(());
        }
    }
}

impl Process {
    fn new(options: ControlOptions, started: StartedProcess) -> Result<Process, ProcessError> {
        let StartedProcess { clock, mut network, ring, records, handshake, shutdown_requested_at } = started;
        let ring = Rc::new(ring);
        network.listen(options.control_address, OPERATOR_LISTENER)?;
        network.listen(options.machine.internal_listener, INTERNAL_LISTENER)?;
        let now = clock.now();
        let disk = RingDisk(ring.clone());
        let node = ControlNode::new(options.node_config(&handshake), recover(&records)?, disk, now);
        let mut links = PeerLinks::new(handshake.member.address);
        links.set_permanent_peers(options.seed_nodes());
        let mut process = Process {
            clock,
            now,
            network,
            ring,
            disk_hang: DiskHangDetector::default(),
            logged_configuration: 0,
            node,
            handshake,
            head: None,
            links,
            incoming: BTreeMap::new(),
            subscribers: FeedSubscribers::default(),
            sessions: SessionTable::default(),
            session_reports: SessionReports::default(),
            session_moves: MoveSchedule::default(),
            referrals: Referrals::default(),
            servers: ServerTable::default(),
            workers: WorkerSelection::default(),
            roles: SingletonRoles::new(options.role_options()),
            usage: UsageCollection::default(),
            operators: OperatorConnections::default(),
            shutdown_deadline: None,
            options,
        };
        if let Some(requested_at) = shutdown_requested_at {
            process.begin_shutdown(requested_at);
        }
        Ok(process)
    }

    fn me(&self) -> MemberId {
        self.handshake.member
    }

    /// Returns how long the event loop may wait for events: until something is due by time.
    fn poll_timeout(&self) -> Duration {
        let now = self.clock.now();
        // A role that is overdue waits for something else, such as a quorum.
        let roles = self.roles.next_wakeup().max(now + OVERDUE_PAUSE_MS);
        let next = self.node.next_tick_at().min(roles).min(now + MAX_WAIT_MS);
        Duration::from_millis(next.saturating_sub(now))
    }

    fn handle_event(&mut self, event: NetworkEvent) {
        match event {
            NetworkEvent::Accepted { listener: OPERATOR_LISTENER, connection } => {
                self.operators.accepted(connection, self.now);
            }
            NetworkEvent::Accepted { connection, .. } => {
                self.incoming.insert(connection, Incoming::Unidentified);
            }
            NetworkEvent::Connected(connection) => self.link_opened(connection),
            NetworkEvent::Data(connection) => self.data_received(connection),
            NetworkEvent::Closed { connection, .. } => self.connection_closed(connection),
            NetworkEvent::Terminate => self.begin_shutdown(self.now),
            NetworkEvent::Reload | NetworkEvent::Woken => {}
        }
    }

    /// Passes received bytes to the part of the process that the connection belongs to.
    fn data_received(&mut self, connection: ConnectionId) {
        if self.operators.contains(connection) {
            self.operator_data_received(connection);
        } else if self.incoming.contains_key(&connection) {
            self.internal_data_received(connection);
        } else if self.roles.owns(connection) {
            let completed = self.roles.client().data(&mut self.network, connection);
            self.role_exchange_completed(completed);
        } else if let Some(address) = self.links.address_of(connection) {
            self.observer_data_received(connection, address);
        }
    }

    /// Ends a connection that was closed or has failed, and notifies the part of the process that it belongs to.
    fn connection_closed(&mut self, connection: ConnectionId) {
        if self.roles.owns(connection) {
            let completed = self.roles.client().closed(&mut self.network, connection);
            self.role_exchange_completed(completed);
            return;
        }
        if self.operators.closed(connection) {
            self.network.abort(connection);
            return;
        }
        if let Some(member) = self.links.closed(&mut self.network, connection, self.now) {
            self.node.link_down(member);
        }
        self.incoming.remove(&connection);
        self.end_session(connection);
        self.network.abort(connection);
    }

    fn role_exchange_completed(&mut self, completed: Option<CompletedExchange<ExchangePurpose>>) {
        let Some(completed) = completed else { return };
        self.roles.set_term(self.node.leadership_term());
        let (network, table) = (&mut self.network, &mut self.servers);
        let update = self.roles.exchange_completed(network, completed, table, self.now);
        self.broadcast_server_update(update);
    }

    fn broadcast_server_update(&mut self, update: Option<ServerTableUpdate>) {
        if let Some(update) = update {
            self.links.broadcast(&mut self.network, &PeerMessage::Servers(update));
        }
    }

    /// Runs the second half of a turn, after all events were handled: what is due by time and what follows from the events.
    /// Outputs are carried out twice, since the singleton roles need the latest state and propose changes.
    fn finish_turn(&mut self) {
        self.check_disk();
        let candidates = self.links.live_members(self.now);
        self.node.set_candidates(&candidates);
        self.node.tick(self.now);
        for member in self.links.maintain(&mut self.network, self.now) {
            self.node.link_down(member);
        }
        self.handle_outputs();
        self.forward_usage();
        self.run_singleton_roles();
        self.handle_outputs();
        self.maintain_sessions();
        self.send_feed_updates();
        self.operators.expire(&mut self.network, self.now);
    }

    /// Reports to the node which records are durable, and whether the disk hangs.
    fn check_disk(&mut self) {
        let durable = self.ring.durable_through();
        let has_pending = self.ring.next_position() > durable + 1;
        let is_hanging = self.disk_hang.observe(self.now, durable, has_pending);
        self.node.set_impaired(is_hanging);
        self.node.durable(durable);
    }

    /// Carries out the outputs of the node, and those that result from them, until there are none.
    fn handle_outputs(&mut self) {
        loop {
            let outputs = self.node.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.handle_output(output);
            }
        }
    }

    fn handle_output(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Send { to, message } => self.links.send(&mut self.network, to.address, &message),
            NodeOutput::Committed { .. } => self.log_configuration(),
            NodeOutput::ViewChanged(view) => self.view_changed(&view),
            NodeOutput::RetirementRequested { origin, name } => self.retirement_requested(origin, &name),
            NodeOutput::RequestDecided { request, outcome } => self.request_decided(request, &outcome),
            NodeOutput::ReadConfirmed { request } => self.read_confirmed(request),
            NodeOutput::ReadUnconfirmed { request } => {
                self.respond_to(request, &OperatorResponse::outcome_unknown());
            }
        }
    }

    /// Processes a new view: its head leads the singleton roles, and links are kept to its voters.
    fn view_changed(&mut self, view: &View) {
        let head = view.head();
        let was_head = match self.head {
            Some(former) => Some(former.member) == head && former.epoch + 1 == view.epoch,
            // A process that restarts within the same epoch continues the leadership recorded on its disk.
            None => view.epoch == 1 || self.node.leadership_epoch() == Some(view.epoch),
        };
        self.roles.view_changed(self.now, view.epoch, head == Some(self.me()), was_head);
        self.head = head.map(|member| KnownHead { epoch: view.epoch, member });
        self.session_moves.view_changed(self.now);
        self.usage.mark_all_unsent();
        let voters = view.voters.iter().map(|voter| voter.address);
        self.links.set_permanent_peers(voters.chain(self.options.seed_nodes()));
    }

    /// Expires exchanges of the singleton roles. The leader also selects workers, reads the platform's list, places
    /// partitions, orders weights, reports usage and scales services; the resulting changes are proposed to the log.
    fn run_singleton_roles(&mut self) {
        for completed in self.roles.client().expire(&mut self.network, self.now) {
            self.role_exchange_completed(Some(completed));
        }
        self.roles.set_has_quorum(self.now, self.node.has_quorum());
        let term = self.node.leadership_term();
        self.roles.set_term(term);
        let Some(term) = term else { return };
        self.select_workers(term);
        self.roles.poll_list(&mut self.network, self.now);
        let confirmed_at = self.node.quorum_confirmed_at();
        let state = self.node.tentative_state();
        let registrations = singleton_roles::registrations(state, &self.sessions);
        let placement = self.roles.place(self.now, state, &self.sessions);
        let state = self.node.state();
        let (network, table) = (&mut self.network, &mut self.servers);
        let update = self.roles.order_weights(network, state, confirmed_at, table, self.now);
        let update = update.or_else(|| self.roles.publish_if_due(table, self.now));
        if self.roles.may_act(self.now, confirmed_at) {
            self.node.persist_leadership();
        }
        self.broadcast_server_update(update);
        for change in registrations.into_iter().chain(placement) {
            self.node.propose(change);
        }
        self.report_usage(confirmed_at);
        // Scaling calls the platform last, since the other calls are more urgent.
        let state = self.node.state();
        self.roles.scale_services(&mut self.network, state, &self.sessions, confirmed_at, self.now);
    }
}

/// Rebuilds the state of the node from the records of the ring.
fn recover(records: &[Record]) -> Result<RecoveredState, ProcessError> {
    let mut recovered = RecoveredState::default();
    for record in records {
        recovered.apply_record(record.position, &record.payload);
    }
    recovered.require_readable()?;
    Ok(recovered)
}
