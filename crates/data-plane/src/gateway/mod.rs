//! The gateway process: connects requests, batch jobs and generations to sockets and timers.

mod batch_calls;
mod client_requests;
mod control_updates;
mod generation_work;
mod load_reports;
mod partition_heads;
pub mod shutdown;
mod status_log;
mod upstream_io;
mod usage_counts;

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use orchidvalve_configuration::RouteTable;
use orchidvalve_control_client::{FeedClient, LoadReports};
use orchidvalve_net::clock::Clock;
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::identity::{MemberId, NO_DISK, NodeAddress, random_incarnation};
use orchidvalve_protocol::messages::{Handshake, PROTOCOL_VERSION, Role};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::partition_heads::PartitionHeads;
use crate::balancer::Balancer;
use crate::batch_calls::BatchCalls;
use crate::clients::Clients;
use crate::exchanges::Exchanges;
use crate::generations::Runner;
use crate::local_responses::LocalResponses;
use crate::requests::Requests;
use crate::startup_queue::StartupQueue;
use crate::store_links::StoreLinks;
use crate::upstream::UpstreamConnections;
use crate::usage::UsageCounts;
use crate::work::{RewardRoutes, Work};

/// Ids of the process's listeners in the network.
const FRONTEND_LISTENER: u32 = 1;
const READINESS_LISTENER: u32 = 2;
/// The maximum time that one turn of the event loop waits, in milliseconds.
const MAX_POLL_MS: u64 = 250;

/// The options of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The name of the machine, as known to the operator.
    pub name: String,
    /// The zone of the machine.
    pub zone: String,
    /// The fraction of a CPU core that the process may use.
    pub share: f32,
    /// The address on which clients connect.
    pub frontend: SocketAddrV4,
    /// The address on which the platform checks readiness.
    pub readiness: SocketAddrV4,
    /// The source address of outgoing connections; the kernel selects one if it is `None`.
    pub source: Option<Ipv4Addr>,
    /// Control nodes from which a session may be requested.
    pub seeds: Vec<NodeAddress>,
    /// The time from SIGTERM to SIGKILL, in milliseconds.
    pub grace_ms: u64,
    /// The length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
}

/// The reason why a gateway process fails.
#[derive(Debug, Display, Error, From)]
pub enum GatewayError {
    /// The network cannot be used.
    #[display(
        "door: network error: {_0}; check that the listen addresses belong to this machine and are free"
    )]
    Network(io::Error),
}

/// Connections of clients and of the platform's readiness checks.
#[derive(Default)]
struct Frontend {
    clients: Clients,
    readiness: Clients,
    /// Connections to which a response was sent, and on which the next request may already have arrived.
    responded: Vec<ConnectionId>,
}

/// The servers, the connections to them, and the exchanges on these.
#[derive(Default)]
struct Servers {
    balancer: Balancer,
    connections: UpstreamConnections,
    exchanges: Exchanges,
}

/// The links to store nodes, and the positions of the store nodes.
struct Stores {
    links: StoreLinks,
    same_zone: BTreeSet<NodeAddress>,
    heads: PartitionHeads,
}

/// The state of a gateway process.
struct Gateway {
    options: GatewayOptions,
    clock: Clock,
    network: Network,
    feed: FeedClient,
    /// The current configuration, once there is one.
    routes: Option<Arc<RouteTable>>,
    frontend: Frontend,
    servers: Servers,
    stores: Stores,
    startup_queue: StartupQueue,
    requests: Requests,
    usage: UsageCounts,
    calls: BatchCalls,
    runner: Runner,
    work: Work,
    local_responses: LocalResponses,
    load_reports: LoadReports,
    shutdown_since: Option<u64>,
    /// Since when there has been no session with a control node.
    session_lost_since: Option<u64>,
    /// The time of the current turn of the event loop, in milliseconds of the clock.
    now: u64,
}

/// Returns the address that identifies a gateway to other processes; nothing listens on it.
fn gateway_address(options: &GatewayOptions) -> NodeAddress {
    NodeAddress::new(*options.frontend.ip(), 0)
}

/// Runs a gateway process until it receives SIGTERM and has responded to all accepted requests.
///
/// # Errors
///
/// Returns an error if the network cannot be used.
pub fn run(options: GatewayOptions) -> Result<(), GatewayError> {
    let mut gateway = Gateway::start(options)?;
    loop {
        let timeout = gateway.poll_timeout();
        let events = gateway.network.poll(timeout)?;
        gateway.now = gateway.clock.at(gateway.network.turn_started_at());
        gateway.drop_expired_leases();
        for event in events {
            gateway.handle(event);
        }
        gateway.tick();
        if gateway.is_finished() {
            gateway.network.flush();
            log::info!("door: stopped");
            return Ok(());
        }
    }
}

impl Gateway {
    fn start(options: GatewayOptions) -> Result<Gateway, GatewayError> {
        let clock = Clock::start();
        let mut network = Network::new()?;
        network.set_source_address(options.source);
        network.listen(options.frontend, FRONTEND_LISTENER)?;
        network.listen(options.readiness, READINESS_LISTENER)?;
        let seed = random_incarnation();
        let handshake = Handshake {
            version: PROTOCOL_VERSION,
            role: Role::Gateway,
            name: options.name.clone(),
            zone: options.zone.clone(),
            member: MemberId { address: gateway_address(&options), disk: NO_DISK },
            incarnation: seed,
            cpu_share: options.share,
        };
        let feed = FeedClient::new(handshake.clone(), options.seeds.clone(), seed);
        let runner = Runner::new(Pcg64Mcg::seed_from_u64(seed), 1.0, Arc::new(RewardRoutes(None)));
        let now = clock.now();
        Ok(Gateway {
            clock,
            network,
            feed,
            routes: None,
            frontend: Frontend::default(),
            servers: Servers::default(),
            stores: Stores {
                links: StoreLinks::new(handshake),
                same_zone: BTreeSet::new(),
                heads: PartitionHeads::default(),
            },
            startup_queue: StartupQueue::default(),
            requests: Requests::new(&options.zone, Pcg64Mcg::seed_from_u64(seed ^ 1)),
            usage: UsageCounts::new(options.usage_window_ms),
            calls: BatchCalls::default(),
            runner,
            work: Work::default(),
            local_responses: LocalResponses::default(),
            load_reports: LoadReports::default(),
            shutdown_since: None,
            session_lost_since: None,
            now,
            options,
        })
    }

    /// Returns the time until the next action is due, at most [`MAX_POLL_MS`].
    fn poll_timeout(&self) -> Duration {
        let now = self.clock.now();
        let next = [
            self.feed.next_wakeup(),
            self.stores.links.next_wakeup(),
            self.startup_queue.next_wakeup(),
            self.requests.next_wakeup(),
            self.usage.next_wakeup(self.feed.session_number()),
            self.calls.next_wakeup(),
            self.work.next_wakeup(),
            self.runner.next_wakeup().unwrap_or(u64::MAX),
            self.servers.connections.next_deadline().unwrap_or(u64::MAX),
            now + MAX_POLL_MS,
        ];
        let next = next.into_iter().min().unwrap_or(now);
        Duration::from_millis(next.saturating_sub(now))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { listener: FRONTEND_LISTENER, connection } => {
                self.frontend.clients.accepted(connection, self.now);
            }
            Event::Accepted { connection, .. } => self.frontend.readiness.accepted(connection, self.now),
            Event::Connected(connection) => self.connected(connection),
            Event::Data(connection) => self.data(connection),
            Event::Closed { connection, .. } => self.closed(connection),
            Event::Terminate => self.begin_shutdown(),
            Event::Reload | Event::Woken => {}
        }
    }

    fn connected(&mut self, connection: ConnectionId) {
        if self.servers.connections.owns(connection) {
            self.servers.connections.connected(connection);
        } else if self.feed.owns(connection) {
            self.feed.connected(&mut self.network, connection);
        } else if self.stores.links.connected(&mut self.network, connection, self.now).is_some() {
            self.work.resend_outcomes();
        }
    }

    /// Dispatches the data that has arrived on a connection to the owner of the connection.
    fn data(&mut self, connection: ConnectionId) {
        if self.servers.connections.owns(connection) {
            let mut events = Vec::new();
            self.servers.connections.data(&mut self.network, connection, self.now, &mut events);
            self.upstream_events(events);
        } else if self.frontend.clients.contains(connection) {
            self.client_data(connection);
        } else if self.stores.links.owns(connection) {
            self.store_data(connection);
        } else if self.feed.owns(connection) {
            let update = self.feed.data(&mut self.network, connection, self.now);
            self.feed_changed(update);
        } else if self.frontend.readiness.contains(connection) {
            self.readiness_data(connection);
        }
    }

    fn closed(&mut self, connection: ConnectionId) {
        if self.servers.connections.owns(connection) {
            let mut events = Vec::new();
            self.servers.connections.closed(&mut self.network, connection, &mut events);
            self.upstream_events(events);
        } else if self.frontend.clients.contains(connection) {
            self.client_disconnected(connection);
        } else if self.stores.links.owns(connection) {
            if let Some(store) = self.stores.links.closed(&mut self.network, connection, self.now) {
                self.calls.store_lost(self.now, store);
            }
        } else if self.feed.owns(connection) {
            self.feed.closed(&mut self.network, connection, self.now);
        } else {
            self.frontend.readiness.closed(connection);
            self.network.abort(connection);
        }
    }

    /// Performs all time-dependent actions.
    fn tick(&mut self) {
        self.reject_late_requests();
        self.feed.maintain(&mut self.network, self.now);
        self.serve_startup_queue();
        self.stores.links.maintain(&mut self.network, self.now);
        let mut events = Vec::new();
        self.servers.connections.expire(&mut self.network, self.now, &mut events);
        self.upstream_events(events);
        let mut commands = Vec::new();
        self.requests.tick(self.now, &self.servers.balancer, &mut commands);
        self.run_request_commands(commands);
        let mut work = Vec::new();
        self.runner.tick(self.now, &mut work);
        self.run_generation_commands(work);
        self.tick_calls();
        while let Some(connection) = self.frontend.responded.pop() {
            self.client_data(connection);
        }
        self.return_unservable();
        self.send_outcomes();
        self.report_load();
        self.close_expired_clients();
        self.count_usage();
        self.report_usage();
        self.log_local_responses();
    }
}
