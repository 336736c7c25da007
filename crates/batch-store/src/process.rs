//! The process of a store node: provides network, disk and timers to the store.

mod disk_progress;
mod incoming;
mod load_reports;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use orchidvalve_bootstrap::{MachineOptions, ProcessError, StartedProcess};
use orchidvalve_configuration::RouteTable;
use orchidvalve_control_client::{FeedClient, LoadReports};
use orchidvalve_net::clock::Clock;
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::frames::write_frame;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{Role, SessionMessage, StoreHealth};
use orchidvalve_protocol::time_limit::TimeLimit;
use orchidvalve_wal::Ring;

use crate::graceful_shutdown::GracefulShutdown;
use crate::limits::{JobLimits, LimitSource};
use crate::output::Output;
use crate::peer_links::PeerLinks;
use crate::process::disk_progress::DiskProgress;
use crate::process::incoming::IncomingLinks;
use crate::store::{Store, StoreSettings};
use crate::timestamp::Timestamp;

/// Number of the only listener.
const INTERNAL_LISTENER: u32 = 1;
/// Maximum wait of the event loop, in milliseconds.
const MAX_WAIT_MS: u64 = 100;
/// Fraction of the disk that the write-ahead log may use.
const WAL_DISK_FRACTION: f64 = 0.9;
/// Additional time for which results are kept beyond the configured interval, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// In-memory logs may use this fraction of the process's memory; above it, new jobs are rejected.
const LOG_MEMORY_FRACTION: f64 = 0.4;
/// Time by which all results of a job are due if its route does not specify it.
const DEFAULT_TARGET_RUN: TimeLimit = TimeLimit::from_millis(30_000);

/// Options of a store process.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The options shared by all processes with a disk: name, addresses, disk.
    pub machine: MachineOptions,
    /// Control nodes with which a session may be opened.
    pub seeds: Vec<NodeAddress>,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Number of store nodes that may fail at the same time.
    pub tolerance: usize,
    /// How long the results of a job are kept after its submission, in milliseconds.
    pub status_interval_ms: u64,
}

/// Limits of jobs from the current configuration.
struct RouteLimits(Option<Arc<RouteTable>>);

impl LimitSource for RouteLimits {
    fn limits(&self, hostname: &str, route_prefix: &str) -> Option<JobLimits> {
        let route = self.0.as_ref()?.lookup(hostname, route_prefix)?;
        Some(JobLimits {
            target_run: route.target_run.unwrap_or(DEFAULT_TARGET_RUN),
            max_queue: route.max_queue.unwrap_or(TimeLimit::MAX),
        })
    }

    fn has_tenant(&self, name: &str) -> bool {
        let tenants = self.0.as_ref().and_then(|table| table.tenants());
        tenants.is_some_and(|tenants| tenants.by_name(name).is_some())
    }
}

/// The state of the process. Times are those of the monotonic clock, in milliseconds.
struct Process {
    me: MemberId,
    clock: Clock,
    network: Network,
    ring: Ring,
    store: Store,
    feed: FeedClient,
    peers: PeerLinks,
    incoming: IncomingLinks,
    /// Version of the configuration that the store uses.
    configuration_version: u64,
    disk_progress: DiskProgress,
    load_reports: LoadReports,
    grace_ms: u64,
    /// The graceful shutdown; `None` until the process is requested to stop.
    shutdown: Option<GracefulShutdown>,
    /// Time of the events of this turn.
    now: u64,
}

/// Runs a store process until it is requested to stop and its graceful shutdown is complete.
///
/// # Errors
///
/// Returns an error if the disk or the network fails, or if records on the disk cannot be decoded.
pub fn run(options: StoreOptions) -> Result<(), ProcessError> {
    let Some(started) = orchidvalve_bootstrap::start(&options.machine, Role::Store, WAL_DISK_FRACTION)?
    else {
        return Ok(());
    };
    let mut process = Process::new(options, started)?;
    loop {
        let wait = process.wait();
        let events = process.network.poll(wait)?;
        process.now = process.clock.at(process.network.turn_started_at());
        events.into_iter().for_each(|event| process.handle(event));
        process.finish_turn();
        if process.may_exit() {
            process.feed.say_goodbye(&mut process.network);
            process.network.flush();
            return Ok(());
        }
    }
}

impl Process {
    fn new(options: StoreOptions, started: StartedProcess) -> Result<Process, ProcessError> {
        let StartedProcess { clock, mut network, ring, records, handshake, shutdown_requested_at } = started;
        network.listen(options.machine.internal_listener, INTERNAL_LISTENER)?;
        let (me, nonce) = (handshake.member, handshake.incarnation);
        let settings = StoreSettings {
            me,
            minimum_copies: options.tolerance + 1,
            retention_ms: options.status_interval_ms + RETENTION_MARGIN_MS,
            memory_limit_bytes: (options.memory_bytes as f64 * LOG_MEMORY_FRACTION) as usize,
        };
        let store = Store::new(settings, Rc::new(RouteLimits(None)), records, ring.next_position(), nonce);
        if store.unreadable_records() > 0 {
            return Err(ProcessError::UnreadableRecords { count: store.unreadable_records() });
        }
        let feed = FeedClient::new(handshake, options.seeds.clone(), nonce);
        let now = clock.now();
        let mut process = Process {
            me,
            clock,
            network,
            ring,
            store,
            feed,
            peers: PeerLinks::new(me),
            incoming: IncomingLinks::default(),
            configuration_version: 0,
            disk_progress: DiskProgress::new(now),
            load_reports: LoadReports::default(),
            grace_ms: options.machine.grace_ms,
            shutdown: None,
            now,
        };
        if let Some(requested_at) = shutdown_requested_at {
            process.begin_shutdown(requested_at);
        }
        Ok(process)
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp { monotonic_ms: self.now, wall_ms: self.clock.wall_ms_at(self.now) }
    }

    fn wait(&self) -> Duration {
        let now = self.clock.now();
        let next = self.feed.next_wakeup().min(self.peers.next_wakeup()).min(now + MAX_WAIT_MS);
        Duration::from_millis(next.saturating_sub(now))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { connection, .. } => self.accepted(connection),
            Event::Connected(connection) => {
                if self.feed.owns(connection) {
                    self.feed.connected(&mut self.network, connection);
                } else if let Some(member) = self.peers.connected(&mut self.network, connection, self.now) {
                    self.input(|store, now, outputs| store.peer_connected(member, now, outputs));
                }
            }
            Event::Data(connection) if self.feed.owns(connection) => {
                let update = self.feed.data(&mut self.network, connection, self.now);
                if update.state {
                    self.state_changed();
                }
                if update.workers {
                    self.workers_changed();
                }
            }
            Event::Data(connection) => self.internal_data(connection),
            Event::Closed { connection, .. } => self.closed(connection),
            Event::Terminate => self.begin_shutdown(self.now),
            Event::Reload | Event::Woken => {}
        }
    }

    fn closed(&mut self, connection: ConnectionId) {
        if self.feed.owns(connection) {
            self.feed.closed(&mut self.network, connection, self.now);
            return;
        }
        if let Some(member) = self.peers.closed(&mut self.network, connection, self.now) {
            self.store.peer_disconnected(member);
            return;
        }
        self.drop_incoming(connection);
        self.network.abort(connection);
    }

    fn workers_changed(&mut self) {
        let mut outputs = Vec::new();
        self.store.set_workers(self.feed.replica().workers(), self.timestamp(), &mut outputs);
        self.execute(outputs);
    }

    fn state_changed(&mut self) {
        let state = self.feed.replica().state();
        let version = state.configuration_version();
        let placements = state.partitions().to_vec();
        if version != self.configuration_version {
            self.configuration_version = version;
            let table = state.configuration().map(|c| c.routes().clone());
            self.store.set_limits(Rc::new(RouteLimits(table)));
        }
        self.input(|store, now, outputs| store.update_placements(&placements, now, outputs));
        self.peers.set_peers(&mut self.network, &self.store.peers());
    }

    /// Passes one input to the store and executes its outputs.
    fn input(&mut self, input: impl FnOnce(&mut Store, Timestamp, &mut Vec<Output>)) {
        let (now, mut outputs) = (self.timestamp(), Vec::new());
        input(&mut self.store, now, &mut outputs);
        self.execute(outputs);
    }

    fn execute(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Write(record) => {
                    self.disk_progress.before_write(self.ring.next_position(), self.now);
                    self.ring.append(record);
                }
                Output::ReleaseBefore(position) => self.ring.release_before(position),
                Output::ToGateway { link, message } => {
                    let connection = self.incoming.gateway(link);
                    if let Some(outbox) = connection.and_then(|connection| self.network.outbox(connection)) {
                        write_frame(outbox, &message);
                    }
                }
                Output::ToPeer { to, message } => self.peers.send(&mut self.network, to, &message),
                Output::ToControl(message) => self.feed.send(&mut self.network, &message),
            }
        }
    }

    /// Performs the work at the end of each turn of the event loop.
    fn finish_turn(&mut self) {
        self.advance_disk();
        self.feed.maintain(&mut self.network, self.now);
        for member in self.peers.maintain(&mut self.network, self.now) {
            self.store.peer_disconnected(member);
        }
        self.input(Store::tick);
        self.report_load();
    }

    fn advance_disk(&mut self) {
        let durable = self.ring.durable_through();
        if self.disk_progress.advance(durable, self.now) {
            self.input(|store, now, outputs| store.durable(durable, now, outputs));
        }
        let health = self.health();
        self.feed.set_health(health);
        self.store.set_health(health);
    }

    fn health(&self) -> StoreHealth {
        let usage = self.ring.usage();
        let unresponsive = self.disk_progress.is_unresponsive(self.ring.next_position(), self.now);
        StoreHealth {
            disk_failing: usage.disk_error.is_some() || unresponsive,
            used_bytes: usage.used_bytes,
            capacity_bytes: usage.capacity,
            draining: self.shutdown.is_some(),
        }
    }

    /// Starts the graceful shutdown that was requested at `requested_at`. Reports to the control node at once, and with
    /// every later heartbeat, that this node is draining.
    fn begin_shutdown(&mut self, requested_at: u64) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!("store: stopping");
        self.shutdown =
            Some(GracefulShutdown::new(self.now, (requested_at + self.grace_ms).saturating_sub(self.now)));
        if self.feed.has_session() {
            let position = self.feed.replica().position();
            let heartbeat = SessionMessage::Heartbeat { position, health: Some(self.health()) };
            self.feed.send(&mut self.network, &heartbeat);
        }
    }

    fn may_exit(&self) -> bool {
        let (replica, has_session) = (self.feed.replica(), self.feed.has_session());
        self.shutdown
            .is_some_and(|shutdown| shutdown.is_complete(self.now, self.me, replica.state(), has_session))
    }
}
