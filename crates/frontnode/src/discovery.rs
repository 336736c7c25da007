//! Discovery: long-polls the discovery agent and maintains the endpoint list with the known replicas.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use derive_more::{Display, Error, From};
use orchidvalve::interface::{Nanos, ReplicaIndex};
use orchidvalve::state::AggregatorState;
use orchidvalve_search::routes::{Routes, StoreProtocol};

use crate::cold_start::{DiscoveryEvent, PendingVerification};
use crate::config::NodeConfig;
use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::event_loop::{EventSource, Timer};
use crate::http;
use crate::log;
use crate::membership::{self, Endpoint, EndpointList, EndpointListError};
use crate::queries::QueryTable;
use crate::store_connections::{ReplicaAddress, StoreConnections};
use crate::store_protocol::ProtocolKind;
use crate::stream::{Stream, connect};

/// How long a watch (a long poll) may wait for a change (`hold_ms`), and how much later its response counts as missed.
/// Changes that an unresponsive watch misses count as published 2 s after that wait: by then another watch needs to
/// have its response. If discovery is queried on request, the aggregator waits for up to a second before it requests a
/// query.
const WATCH_MS: i64 = 20_000;
const WATCH_SLACK_MS: i64 = 800;
/// The same slack for a call without a wait, whose changes count as published 6 s after it became unresponsive.
const CALL_SLACK_MS: i64 = 2_000;
/// With a paced cold start, the slack doubles after each missed response, up to this number of times. Otherwise a
/// discovery agent that serves hundreds of nodes slowly would be abandoned by all of them again and again.
const MAX_SLACK_DOUBLINGS: u32 = 3;
/// A change counts as published whether or not a watch is open, and the grace period for drains runs from then on. A
/// failed call is therefore retried immediately. If that fails too, the backoff is the grace period divided by this
/// number, doubled up to `MAX_BACKOFF_DOUBLINGS` times.
const BACKOFF_GRACE_DIVISOR: Nanos = 32;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Why a call to discovery returned no list.
#[derive(Debug, Display, Error, From)]
enum CallError {
    #[display("{_0}")]
    Io(io::Error),
    #[display("{}", _0.text)]
    Http(http::MessageError),
    #[from(ignore)]
    #[display("status {_0}")]
    Status(#[error(not(source))] u16),
    #[display("{_0}")]
    List(EndpointListError),
    #[display("unexpected response")]
    Unexpected,
    #[display("the response is too long")]
    TooLong,
    #[display("connection closed by the agent")]
    Closed,
    #[display("no response in time")]
    TimedOut,
}

/// The origin of an endpoint list, which decides how far the list is trusted.
pub enum ListOrigin {
    /// Published by discovery.
    Discovery,
    /// Read from the configuration. It is trusted like discovery's list if there is no cold start.
    Configuration,
    /// An older list, with the number of unverified steps of each replica.
    Unverified(Vec<PendingVerification>),
}

impl ListOrigin {
    /// Returns how far the endpoint at `position` of the list is trusted.
    fn trust(&self, position: usize) -> EndpointTrust {
        match self {
            ListOrigin::Discovery => EndpointTrust::Verified,
            ListOrigin::Configuration => EndpointTrust::Unchanged,
            ListOrigin::Unverified(verifications) => match verifications.get(position) {
                Some(PendingVerification { steps: 0, .. }) => EndpointTrust::Verified,
                Some(&verification) => EndpointTrust::Unverified(verification),
                None => EndpointTrust::Unchanged,
            },
        }
    }
}

/// How far one endpoint of a list is trusted.
#[derive(Clone, Copy)]
enum EndpointTrust {
    Verified,
    Unverified(PendingVerification),
    /// The trust of the replica stays as it was.
    Unchanged,
}

/// The replicas that a list names, indexed by their numbers.
struct ListedReplicas(Vec<bool>);

impl ListedReplicas {
    fn add(&mut self, ix: ReplicaIndex) {
        self.0.resize(self.0.len().max(ix.0 + 1), false);
        self.0[ix.0] = true;
    }

    fn contains(&self, ix: ReplicaIndex) -> bool {
        self.0.get(ix.0) == Some(&true)
    }

    /// Returns the known replicas that the list does not name.
    fn unlisted(&self) -> impl Iterator<Item = ReplicaIndex> {
        let numbers = self.0.iter().enumerate();
        numbers.filter(|(_, listed)| !**listed).map(|(ix, _)| ReplicaIndex(ix))
    }
}

/// The connection to discovery and the endpoint list.
pub struct Discovery {
    routes: Option<Rc<Routes>>,
    address: SocketAddr,
    /// Whether the aggregator decides when discovery is queried.
    on_request: bool,
    replicas: HashMap<String, ReplicaIndex>,
    /// Replicas added since the last round.
    new_replicas: Vec<ReplicaIndex>,
    /// The revision of the list, counted by discovery; `None` until a complete list was received.
    revision: Option<i64>,
    stream: Option<Stream>,
    /// Whether a call is in flight.
    in_flight: bool,
    /// The timeout of the call in flight, or the time of the next call.
    timer: Option<DeadlineKey>,
    misses: u32,
    connect_timeout: Nanos,
    backoff: Nanos,
    /// Whether the cold start decides when discovery is queried.
    paced: bool,
    /// Events of the watch that the cold start has not handled yet.
    events: Vec<DiscoveryEvent>,
    /// Whether the list is kept for peers and for maintenance.
    keeps_list: bool,
    list: BTreeMap<String, Endpoint>,
    /// Machines that maintenance has closed: they get no new attempts, regardless of what discovery publishes.
    closed: BTreeSet<String>,
}

impl Discovery {
    /// Returns a discovery without a list and without an open watch.
    pub fn new(config: &NodeConfig) -> Self {
        Discovery {
            routes: config.routes.clone(),
            address: config.discovery,
            on_request: config.discovery_on_request,
            replicas: HashMap::new(),
            new_replicas: Vec::new(),
            revision: None,
            stream: None,
            in_flight: false,
            timer: None,
            misses: 0,
            connect_timeout: config.connect_timeout,
            backoff: (config.drain_grace / BACKOFF_GRACE_DIVISOR).max(config.tick),
            paced: config.cold_start.is_some() && !config.discovery_on_request,
            events: Vec::new(),
            keeps_list: config.cold_start.is_some() || config.maintenance.is_some(),
            list: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    /// Returns the protocol of a replica according to the operator's routes.
    fn protocol(&self, endpoint: &Endpoint) -> ProtocolKind {
        let Endpoint { id, flavor, locality, .. } = endpoint;
        let protocol = self.routes.as_ref().map(|routes| routes.store_protocol(id, flavor, locality));
        match protocol.unwrap_or(StoreProtocol::Frames) {
            StoreProtocol::Frames => ProtocolKind::Frames,
            StoreProtocol::Search => ProtocolKind::Search,
        }
    }

    /// Returns whether any replica is known.
    pub fn has_replicas(&self) -> bool {
        !self.replicas.is_empty()
    }

    /// Applies a complete endpoint list or a list of changes.
    pub fn apply_list(
        &mut self,
        list: EndpointList,
        origin: &ListOrigin,
        connections: &mut StoreConnections,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        let published = matches!(origin, ListOrigin::Discovery);
        aggregator_state.membership_update_begins(list.complete);
        if list.complete {
            self.list.clear();
        }
        let mut listed = ListedReplicas(vec![false; self.replicas.len()]);
        for (position, endpoint) in list.endpoints.into_iter().enumerate() {
            let trust = origin.trust(position);
            self.keep_endpoint(&endpoint, published, context);
            let ix = self.apply_endpoint(endpoint, trust, connections, queries, aggregator_state, context);
            listed.add(ix);
        }
        aggregator_state.membership_update_ends();
        if list.complete {
            self.retire_unlisted(&listed, published, connections, queries, aggregator_state, context);
        }
        self.revision = Some(list.revision);
        if let Some(state) = context.persistent_state.as_mut().filter(|_| published) {
            state.write_revision(list.revision, context.now);
            if list.complete {
                let is_listed = |ix: &ReplicaIndex| listed.contains(*ix);
                state.remove_unlisted(|id| self.replicas.get(id).is_some_and(is_listed));
            }
        }
    }

    /// Keeps an endpoint for peers and for maintenance, and stores it on disk if discovery published it.
    fn keep_endpoint(&mut self, endpoint: &Endpoint, published: bool, context: &mut Context) {
        if let Some(state) = context.persistent_state.as_mut().filter(|_| published) {
            state.write_endpoint(endpoint);
        }
        if self.keeps_list && endpoint.removed {
            self.list.remove(&endpoint.id);
        } else if self.keeps_list {
            self.list.insert(endpoint.id.clone(), endpoint.clone());
        }
    }

    /// Updates one replica's connections and its state in the aggregator.
    fn apply_endpoint(
        &mut self,
        endpoint: Endpoint,
        trust: EndpointTrust,
        connections: &mut StoreConnections,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) -> ReplicaIndex {
        let serving = endpoint.serving && !self.closed.contains(&endpoint.id);
        let address = ReplicaAddress { address: endpoint.address, protocol: self.protocol(&endpoint) };
        let known = self.replicas.get(&endpoint.id).copied();
        let Endpoint { id, cell, removed, started, .. } = endpoint;
        let ix = known.unwrap_or_else(|| self.add_replica(id, cell, connections, aggregator_state, context));
        connections.update_replica(ix, address, serving, started, queries, context);
        aggregator_state.member_listed(ix, cell, serving, started);
        match trust {
            EndpointTrust::Verified => aggregator_state.replica_verified(ix),
            // A replica from an older list already has its unverified steps, or has answered since.
            EndpointTrust::Unverified(PendingVerification { steps, check_from }) if known.is_none() => {
                aggregator_state.replica_unverified(ix, steps, check_from);
            }
            EndpointTrust::Unverified(_) | EndpointTrust::Unchanged => {}
        }
        if removed {
            aggregator_state.replica_removed(ix);
        }
        ix
    }

    /// Adds a new replica.
    fn add_replica(
        &mut self,
        id: String,
        cell: usize,
        connections: &mut StoreConnections,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) -> ReplicaIndex {
        let ix = aggregator_state.replica_discovered(cell);
        // It may reuse the slot of a removed replica; all state of that replica is reset.
        self.replicas.retain(|_, other| *other != ix);
        if let Some(state) = &mut context.persistent_state {
            state.reset_slot(ix);
        }
        connections.reset_slot(ix, context);
        self.new_replicas.push(ix);
        self.replicas.insert(id, ix);
        ix
    }

    /// Removes the replicas that a complete list does not name.
    fn retire_unlisted(
        &mut self,
        listed: &ListedReplicas,
        published: bool,
        connections: &mut StoreConnections,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        for ix in listed.unlisted() {
            connections.set_serving(ix, false, queries, context);
            aggregator_state.replica_removed(ix);
            let id = self.replicas.iter().find(|(_, other)| **other == ix).map(|(id, _)| id);
            if let (Some(state), Some(id)) = (context.persistent_state.as_mut().filter(|_| published), id) {
                state.remove_endpoint(id);
            }
        }
    }

    /// Sets the machines that maintenance closes: they get no new attempts. Machines no longer in the set get them
    /// again.
    pub fn close_machines(
        &mut self,
        closed: BTreeSet<String>,
        connections: &mut StoreConnections,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        let before = std::mem::replace(&mut self.closed, closed);
        let changed: Vec<String> = before.symmetric_difference(&self.closed).cloned().collect();
        // The times of the last publication stay, as this update does not come from discovery.
        let published = (aggregator_state.membership_lost, aggregator_state.membership_received_at);
        aggregator_state.membership_update_begins(false);
        for id in changed {
            let (Some(endpoint), Some(&ix)) = (self.list.get(&id), self.replicas.get(&id)) else { continue };
            let serving = endpoint.serving && !self.closed.contains(&id);
            connections.set_serving(ix, serving, queries, context);
            aggregator_state.member_listed(ix, endpoint.cell, serving, endpoint.started);
        }
        aggregator_state.membership_update_ends();
        (aggregator_state.membership_lost, aggregator_state.membership_received_at) = published;
    }

    /// Returns the events of the watch since the last call; always empty without a paced cold start.
    pub fn take_events(&mut self) -> Vec<DiscoveryEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the current list, which is empty unless it is kept, and its revision.
    pub fn list(&self) -> (&BTreeMap<String, Endpoint>, i64) {
        (&self.list, self.revision.unwrap_or(0))
    }

    /// Requests the complete list or the changes since the current one.
    pub fn fetch(&mut self, full_list: bool, aggregator_state: &mut AggregatorState, context: &mut Context) {
        if full_list {
            self.revision = None;
        }
        self.request_list(aggregator_state, context);
    }

    /// Returns the replicas added since the last round.
    pub fn new_replicas(&self) -> impl Iterator<Item = (&str, ReplicaIndex)> {
        self.replicas().filter(|(_, ix)| self.new_replicas.contains(ix))
    }

    /// Ends the round: no replica counts as new any longer.
    pub fn end_round(&mut self) {
        self.new_replicas.clear();
    }

    /// Returns all replicas by their ids, with the aggregator's numbers.
    pub fn replicas(&self) -> impl Iterator<Item = (&str, ReplicaIndex)> {
        self.replicas.iter().map(|(id, ix)| (&**id, *ix))
    }

    /// Switches to another discovery agent and requests the complete list from it: its revisions may not continue those
    /// of the previous agent.
    pub fn change_address(
        &mut self,
        address: SocketAddr,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        if address == self.address {
            return;
        }
        (self.address, self.revision, self.misses) = (address, None, 0);
        (self.stream, self.in_flight) = (None, false);
        if self.paced {
            // A new configuration reaches hundreds of nodes at once, so the cold start paces the calls.
            self.cancel_timer(context);
            self.events.push(DiscoveryEvent::AddressChanged(address));
            return;
        }
        self.request_list(aggregator_state, context);
    }

    /// Starts the watch, unless the aggregator or the cold start decides when discovery is queried.
    pub fn start(&mut self, aggregator_state: &mut AggregatorState, context: &mut Context) {
        if !self.on_request && !self.paced {
            self.request_list(aggregator_state, context);
        }
    }

    /// Sends a request to discovery, unless a call is in flight.
    pub fn request_list(&mut self, aggregator_state: &mut AggregatorState, context: &mut Context) {
        if self.in_flight {
            return;
        }
        if self.stream.is_none() {
            let stream = connect(self.address)
                .and_then(|socket| Stream::new(&context.events, socket, EventSource::Discovery));
            match stream {
                Ok(stream) => self.stream = Some(stream),
                Err(error) => return self.call_failed(&error.into(), aggregator_state, context),
            }
        }
        if let Some(stream) = &mut self.stream {
            let (address, from) = (self.address, self.revision);
            let watch = from.map(|from| format!("?from={from}&hold_ms={WATCH_MS}")).unwrap_or_default();
            let path = format!("/catalog/members{watch}");
            let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
            stream.outbox().extend_from_slice(head.as_bytes());
        }
        self.in_flight = true;
        // The connect timeout; `flush` replaces it by the timeout of the response once the request is written.
        self.set_timer(context.now + self.connect_timeout, context);
        self.flush(aggregator_state, context);
    }

    fn cancel_timer(&mut self, context: &mut Context) {
        if let Some(timer) = self.timer.take() {
            context.deadlines.cancel(timer);
        }
    }

    fn set_timer(&mut self, at: Nanos, context: &mut Context) {
        self.cancel_timer(context);
        self.timer = Some(context.deadlines.schedule(at, Timer::Discovery));
    }

    fn flush(&mut self, aggregator_state: &mut AggregatorState, context: &mut Context) {
        let Some(stream) = &mut self.stream else { return };
        let was_waiting = !stream.is_flushed();
        let flushed = match stream.connect_result() {
            None => return,
            Some(connected) => connected.and_then(|()| stream.flush()),
        };
        match flushed {
            Ok(()) if was_waiting => {
                let doublings = if self.paced { self.misses.min(MAX_SLACK_DOUBLINGS) } else { 0 };
                let timeout_ms = match self.revision {
                    Some(_) if !self.paced => WATCH_MS + WATCH_SLACK_MS,
                    Some(_) => WATCH_MS + (CALL_SLACK_MS << doublings),
                    None => CALL_SLACK_MS << doublings,
                };
                self.set_timer(context.now + timeout_ms * 1_000_000, context);
            }
            Ok(()) => {}
            Err(error) => self.call_failed(&error.into(), aggregator_state, context),
        }
    }

    /// Handles the ready connection to discovery.
    pub fn ready(
        &mut self,
        connections: &mut StoreConnections,
        queries: &mut QueryTable,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        self.flush(aggregator_state, context);
        let is_up = |stream: &&mut Stream| matches!(stream.connect_result(), Some(Ok(())));
        let Some(stream) = self.stream.as_mut().filter(is_up) else { return };
        let filled = stream.fill(http::MAX_MESSAGE_BYTES);
        match read_list(stream.inbox()) {
            Err(error) => {
                context.metrics.bad_endpoint_lists += 1;
                self.call_failed(&error, aggregator_state, context);
            }
            Ok(Some(response)) if self.in_flight => {
                stream.consume(response.length);
                if !response.keeps_alive || !matches!(filled, Ok(true)) {
                    self.stream = None;
                }
                (self.in_flight, self.misses) = (false, 0);
                context.metrics.endpoint_lists += 1;
                let revision = response.list.revision;
                self.apply_list(
                    response.list,
                    &ListOrigin::Discovery,
                    connections,
                    queries,
                    aggregator_state,
                    context,
                );
                if self.paced {
                    self.events.push(DiscoveryEvent::Received(revision));
                }
                self.request_list(aggregator_state, context);
            }
            Ok(Some(_)) => self.call_failed(&CallError::Unexpected, aggregator_state, context),
            Ok(None) => match filled {
                Ok(true) if stream.unread => self.call_failed(&CallError::TooLong, aggregator_state, context),
                Ok(true) => {}
                Ok(false) => self.call_failed(&CallError::Closed, aggregator_state, context),
                Err(error) => self.call_failed(&error.into(), aggregator_state, context),
            },
        }
    }

    /// Handles the timeout of a call, or sends the next one.
    pub fn timer_due(&mut self, aggregator_state: &mut AggregatorState, context: &mut Context) {
        self.timer = None;
        if self.in_flight {
            self.retry_later(&CallError::TimedOut, true, aggregator_state, context);
        } else {
            self.request_list(aggregator_state, context);
        }
    }

    /// Handles a failed call: the current list stays in use, and discovery is queried again.
    fn call_failed(
        &mut self,
        error: &CallError,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        self.retry_later(error, false, aggregator_state, context);
    }

    fn retry_later(
        &mut self,
        error: &CallError,
        timed_out: bool,
        aggregator_state: &mut AggregatorState,
        context: &mut Context,
    ) {
        (self.stream, self.in_flight) = (None, false);
        context.metrics.endpoint_list_misses += 1;
        log!("no endpoint list from {}: {}", self.address, error.to_string().escape_default());
        if self.paced {
            self.cancel_timer(context);
            self.misses += 1;
            self.events.push(DiscoveryEvent::Missed);
        } else if self.on_request {
            self.cancel_timer(context);
            aggregator_state.membership_lost();
        } else {
            // After a timeout the node has already waited.
            let at_once = timed_out || self.misses == 0;
            let doublings = self.misses.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
            let wait = if at_once { 0 } else { self.backoff << doublings };
            self.set_timer(context.now + wait, context);
            self.misses += 1;
        }
    }
}

/// A parsed response of discovery.
struct ListResponse {
    list: EndpointList,
    /// The length of the response in the buffer, in bytes.
    length: usize,
    keeps_alive: bool,
}

/// Parses the first response of a buffer. Returns `None` while more bytes are needed.
fn read_list(buffer: &[u8]) -> Result<Option<ListResponse>, CallError> {
    let Some(message) = http::parse_response(buffer)? else { return Ok(None) };
    if message.status != 200 {
        return Err(CallError::Status(message.status));
    }
    let list = membership::read(&message.body)?;
    Ok(Some(ListResponse { list, length: message.length, keeps_alive: message.keeps_alive }))
}
