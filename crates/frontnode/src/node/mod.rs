//! The node's main loop: waits until a source is ready or the next deadline passes, reads all pending input, runs one
//! round of the aggregator and carries out its decisions.

mod decisions;
mod round;
mod shutdown;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use calloop::EventLoop;
use calloop::signals::{Signal, Signals};
use derive_more::{Display, Error, From};
use orchidvalve::Aggregator;
use orchidvalve::interface::{AggregatorSettings, Nanos};
use orchidvalve::state::SampleRing;
use orchidvalve_maintenance::raft_group::RecoveredLog;
use orchidvalve_net::turn::{MayWait, collect_events};

use crate::client_protocol;
use crate::clients::Clients;
use crate::cold_start::{ColdStart, FoundLists};
use crate::config::{self, ConfigError, ConfigSource, NodeConfig};
use crate::context::Context;
use crate::deadlines::{Clock, DeadlineKey, Deadlines};
use crate::discovery::{Discovery, ListOrigin};
use crate::event_loop::{EventLoopHandle, EventSource, ReadyEvents};
use crate::fleet::{FleetError, FleetNode};
use crate::log;
use crate::maintenance::{MaintenanceError, MaintenanceNode, NodeIdentity};
use crate::metrics::Metrics;
use crate::persistence::{PersistenceError, PersistentState, RecoveredState};
use crate::queries::QueryTable;
use crate::recorder::{Recorder, RecorderError};
use crate::store_connections::StoreConnections;
use crate::trace_writer::TraceWriter;

use shutdown::Shutdown;

/// The number of rounds whose durations are kept for metrics: a few seconds on a busy node.
const ROUNDS_KEPT: usize = 1024;

/// An error that prevents the node from starting or ends it.
#[derive(Debug, Display, Error, From)]
pub enum NodeError {
    /// The configuration is invalid.
    #[display("{_0}")]
    Config(ConfigError),
    /// The listener for clients cannot be opened.
    #[display("configuration.listen: cannot listen on {address}: {error}")]
    Listen {
        /// The configured listen address.
        address: SocketAddr,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// The recording of requests cannot be opened.
    #[display("{_0}")]
    Recorder(RecorderError),
    /// The log store cannot be opened.
    #[display("{_0}")]
    Persistence(PersistenceError),
    /// The node cannot join the fleet of front nodes.
    #[display("{_0}")]
    Fleet(FleetError),
    /// The node cannot take part in maintenance.
    #[display("{_0}")]
    Maintenance(MaintenanceError),
    /// The trace file cannot be opened.
    #[display("${}: cannot write {path}: {error}", config::TRACE_VARIABLE)]
    Trace {
        /// The path of the trace file.
        path: String,
        /// The error of the operating system.
        #[error(source)]
        error: io::Error,
    },
    /// Signal handlers cannot be registered.
    #[from(ignore)]
    #[display("cannot register signal handlers: {_0}")]
    Signals(#[error(not(source))] String),
    /// The event loop cannot be created.
    #[from(ignore)]
    #[display("cannot create the event loop: {_0}")]
    EventLoop(#[error(not(source))] String),
    /// The listener's local address cannot be read.
    #[from(ignore)]
    #[display("cannot read the address of the listener: {_0}")]
    Address(io::Error),
    /// Waiting for events failed.
    #[from(ignore)]
    #[display("cannot wait for events: {_0}")]
    Wait(#[error(not(source))] String),
}

/// The state of a node besides its aggregator.
struct NodeState {
    source: ConfigSource,
    config: NodeConfig,
    context: Context,
    queries: QueryTable,
    clients: Clients,
    connections: StoreConnections,
    discovery: Discovery,
    /// This node's member of the fleet of front nodes; `None` if the fleet is disabled.
    fleet: Option<FleetNode>,
    /// The cold start; `None` if it is disabled.
    cold_start: Option<ColdStart>,
    /// This node's part in maintenance; `None` if maintenance is disabled.
    maintenance: Option<MaintenanceNode>,
    /// Ids of replicas that are ejected by this node or by the fleet; input of maintenance.
    failing: BTreeSet<String>,
    trace_writer: Option<TraceWriter>,
    /// The timer of the aggregator's next requested round.
    wake_timer: Option<DeadlineKey>,
    /// Whether the aggregator requested a new endpoint list from discovery.
    discovery_requested: bool,
    shutdown: Shutdown,
}

/// A front node.
pub struct Node {
    events: EventLoop<'static, ReadyEvents>,
    ready: ReadyEvents,
    aggregator: Aggregator,
    state: RefCell<NodeState>,
    tick: Nanos,
    last_round: Nanos,
}

/// Runs a node with the configuration of `source` until a signal stops it.
///
/// # Errors
///
/// Fails if the node cannot start or if waiting for events fails.
pub fn serve(source: ConfigSource) -> Result<(), NodeError> {
    let signals = signals()?;
    let mut node = Node::start(source)?;
    node.handle_signals(signals)?;
    log!("listening on {}", node.address()?);
    node.run()
}

/// Blocks the signals that the node handles and returns their event source. It is called before the node listens, so
/// that a signal received from then on is pending until the node handles it.
///
/// # Errors
///
/// Fails if the operating system does not provide the signal source.
pub fn signals() -> Result<Signals, NodeError> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])
        .map_err(|error| NodeError::Signals(error.to_string()))
}

impl Node {
    /// Reads the configuration, listens for clients, and starts with the last known endpoint list.
    ///
    /// # Errors
    ///
    /// Fails if a file of the configuration cannot be used or if the listen address cannot be bound.
    pub fn start(source: ConfigSource) -> Result<Node, NodeError> {
        let (config, aggregator_settings) = source.read()?;
        let events = EventLoop::try_new().map_err(|error| NodeError::EventLoop(error.to_string()))?;
        let ready = ReadyEvents { clock: Clock::start(), ready: Vec::new() };
        let tick = config.tick;
        let mut aggregator = Aggregator::new(aggregator_settings.clone(), config.seed);
        aggregator.set_tracing(source.trace.is_some());
        let (state, persistent_state) =
            NodeState::open(source, config, &aggregator_settings, ready.clock.now(), &events.handle())?;
        let known_endpoints = state.config.known_endpoints.clone();
        let state = RefCell::new(state);
        let mut node = Node { events, ready, aggregator, state, tick, last_round: Nanos::MIN / 2 };
        node.round(node.ready.clock.now(), |state, aggregator_state| {
            let NodeState { discovery, connections, queries, context, cold_start, .. } = state;
            // If there is a cold start, it selects the first endpoint list.
            if cold_start.is_none() {
                let origin = ListOrigin::Configuration;
                discovery.apply_list(
                    known_endpoints,
                    &origin,
                    connections,
                    queries,
                    aggregator_state,
                    context,
                );
            }
            discovery.start(aggregator_state, context);
        });
        // The persistent state is attached only here: the endpoint list of the configuration was not published by
        // discovery and must not be stored as if it was.
        node.state.get_mut().context.persistent_state = persistent_state;
        Ok(node)
    }

    /// Shuts down gracefully on SIGTERM and SIGINT, and reloads the configuration on SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if the event loop cannot register the signals.
    pub fn handle_signals(&self, signals: Signals) -> Result<(), NodeError> {
        let on_signal =
            |event: calloop::signals::Event, _: &mut _, ready: &mut ReadyEvents| match event.signal() {
                Signal::SIGHUP => ready.add(EventSource::Reload),
                _ => ready.add(EventSource::Stop),
            };
        let registered = self.events.handle().insert_source(signals, on_signal);
        registered.map_err(|error| NodeError::Signals(error.to_string()))?;
        Ok(())
    }

    /// Returns the address on which the node accepts clients.
    ///
    /// # Errors
    ///
    /// Fails if the local address of the listener cannot be read.
    pub fn address(&self) -> Result<SocketAddr, NodeError> {
        self.state.borrow().clients.address().map_err(NodeError::Address)
    }

    /// Returns the address that receives datagrams of other front nodes, or `None` if the fleet is disabled.
    pub fn fleet_address(&self) -> Option<SocketAddr> {
        self.state.borrow().fleet.as_ref().and_then(FleetNode::address)
    }

    /// Runs rounds until a signal stops the node and all accepted queries are answered.
    ///
    /// # Errors
    ///
    /// Fails if waiting for events fails.
    pub fn run(&mut self) -> Result<(), NodeError> {
        while !self.state.borrow().shutdown.is_complete {
            let now = self.ready.clock.now();
            let next_due = || self.state.borrow().context.deadlines.next_due();
            let due = if self.has_work() { Some(now) } else { next_due() };
            let due = due.map(|due| due.max(self.last_round + self.tick));
            let wait = due.map(|due| Duration::from_nanos((due - now).max(0) as u64));
            let now = self.collect_events(due, wait)?;
            let next_due = self.state.get_mut().context.deadlines.next_due();
            let is_due = next_due.is_some_and(|at| at <= now);
            if now - self.last_round >= self.tick && (is_due || self.has_work()) {
                if due.is_some_and(|due| now > due + self.tick) {
                    self.state.get_mut().context.metrics.rounds_late += 1;
                }
                let ready = std::mem::take(&mut self.ready.ready);
                self.round(now, |state, aggregator_state| state.handle_events(ready, aggregator_state));
            }
        }
        let context = &mut self.state.get_mut().context;
        if let Some(persistent_state) = context.persistent_state.take() {
            persistent_state.stop();
        }
        context.recorder = None;
        log!("stopped; {}", context.metrics.line());
        Ok(())
    }

    /// Waits for events until something is due and returns the time of the round. All events that arrived by then are
    /// collected, so that no attempt times out while its response is unread.
    fn collect_events(&mut self, due: Option<Nanos>, wait: Option<Duration>) -> Result<Nanos, NodeError> {
        let (clock, events, ready) = (self.ready.clock, &mut self.events, &mut self.ready);
        let time = collect_events(
            due,
            || clock.now(),
            |may_wait| {
                let wait = if may_wait == MayWait::UntilDue { wait } else { Some(Duration::ZERO) };
                events.dispatch(wait, ready)
            },
        );
        time.map_err(|error| NodeError::Wait(error.to_string()))
    }
}

impl NodeState {
    /// Opens everything that the configuration enables. The persistent state is returned separately because it is
    /// attached only after the first round.
    fn open(
        source: ConfigSource,
        config: NodeConfig,
        aggregator_settings: &AggregatorSettings,
        now: Nanos,
        events: &EventLoopHandle,
    ) -> Result<(NodeState, Option<PersistentState>), NodeError> {
        let clients = Clients::listen(&config, client_protocol::protocols(&config), events)
            .map_err(|error| NodeError::Listen { address: config.listen, error })?;
        let mut context = new_context(now, events);
        if let Some(recording) = &config.recording {
            context.recorder = Some(Recorder::open(recording, &config.recording_head(now), now)?);
        }
        let fleet = open_fleet(&config, aggregator_settings, &context)?;
        let persistence = config.persistence.as_ref();
        let mut persistent_state =
            persistence.map(|settings| PersistentState::open(settings, now)).transpose()?;
        let mut recovered = persistent_state.as_mut().and_then(PersistentState::take_recovered);
        let maintenance_log = recovered.as_mut().map(|state| std::mem::take(&mut state.maintenance_log));
        let maintenance = open_maintenance(&config, aggregator_settings, maintenance_log, &mut context)?;
        let cold_start = open_cold_start(&config, recovered, now);
        let trace_writer = open_trace(&source)?;
        let state = NodeState {
            source,
            context,
            queries: QueryTable::new(),
            clients,
            connections: StoreConnections::new(&config),
            discovery: Discovery::new(&config),
            fleet,
            cold_start,
            maintenance,
            failing: BTreeSet::new(),
            trace_writer,
            wake_timer: None,
            discovery_requested: false,
            shutdown: Shutdown::default(),
            config,
        };
        Ok((state, persistent_state))
    }
}

fn new_context(now: Nanos, events: &EventLoopHandle) -> Context {
    Context {
        now,
        events: events.clone(),
        deadlines: Deadlines::default(),
        metrics: Metrics::default(),
        round_durations: SampleRing::new(ROUNDS_KEPT),
        ready_again: Vec::new(),
        persistent_state: None,
        fleet_gauges: Vec::new(),
        cold_start_gauges: Vec::new(),
        maintenance_gauges: Vec::new(),
        maintenance_requests: None,
        recorder: None,
    }
}

fn open_fleet(
    config: &NodeConfig,
    aggregator_settings: &AggregatorSettings,
    context: &Context,
) -> Result<Option<FleetNode>, FleetError> {
    let Some(settings) = &config.fleet else { return Ok(None) };
    let tenant_rates = aggregator_settings.tenant_rates.clone();
    FleetNode::open(settings, aggregator_settings.slow_start, tenant_rates, config.seed, context).map(Some)
}

fn open_maintenance(
    config: &NodeConfig,
    aggregator_settings: &AggregatorSettings,
    log: Option<RecoveredLog>,
    context: &mut Context,
) -> Result<Option<MaintenanceNode>, MaintenanceError> {
    let Some(settings) = &config.maintenance else { return Ok(None) };
    let slow_start = aggregator_settings.slow_start;
    let identity = NodeIdentity { name: &config.name, seed: config.seed };
    MaintenanceNode::open(settings, config.ring, slow_start, identity, log, context).map(Some)
}

fn open_trace(source: &ConfigSource) -> Result<Option<TraceWriter>, NodeError> {
    let Some(path) = &source.trace else { return Ok(None) };
    let writer = TraceWriter::open(path).map_err(|error| NodeError::Trace { path: path.clone(), error })?;
    Ok(Some(writer))
}

fn open_cold_start(config: &NodeConfig, recovered: Option<RecoveredState>, now: Nanos) -> Option<ColdStart> {
    let settings = config.cold_start.as_ref()?;
    let since = now - settings.restart_window;
    let starts = recovered.iter().flat_map(|state| &state.starts);
    let found = FoundLists {
        configured: &config.known_endpoints,
        configured_at: config.modified_at.unwrap_or(now),
        recent_starts: starts.filter(|at| **at >= since).count() as u32,
        recovered,
    };
    Some(ColdStart::open(settings, config.discovery, found, config.seed, now))
}
