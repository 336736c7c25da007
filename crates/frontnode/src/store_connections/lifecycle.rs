//! The life cycle of connections, and the handling of received messages.

use std::collections::VecDeque;
use std::fmt::Display;

use orchidvalve::interface::{Nanos, ReplicaIndex};
use orchidvalve::state::AttemptOutcome;

use super::connection::{Connection, HealthAnswer, InFlight, SentAttempt};
use super::{HealthReport, StoreConnections};
use crate::context::Context;
use crate::event_loop::{ConnectionKey, EventSource, Timer};
use crate::log;
use crate::queries::QueryTable;
use crate::store_protocol::{ParsedMessage, ProtocolError};
use crate::stream::{Stream, connect};

/// The timeout of a partially received message, as a multiple of the connect timeout.
const MESSAGE_TIMEOUT_FACTOR: Nanos = 2;

/// What was received on a connection in one round.
struct Received {
    /// The number of valid messages.
    messages: usize,
    /// Responses to health checks.
    health: Vec<HealthAnswer>,
    /// Why the next message is invalid.
    error: Option<ProtocolError>,
}

impl StoreConnections {
    /// Returns whether a connection leads to the process that the endpoint list names, as far as that is known.
    pub(super) fn is_usable(&self, key: ConnectionKey) -> bool {
        let connection = &self.connections[key];
        let replica = &self.replicas[connection.in_flight.replica.0];
        let is_older = |started| connection.up_since.is_some_and(|up_since| up_since < started);
        let is_stale = replica.started.is_some_and(is_older);
        !connection.suspect && !is_stale && connection.address == replica.address
    }

    /// Opens a connection. Returns `None` if there are too many or the operating system cannot open one.
    pub(super) fn open(&mut self, replica: ReplicaIndex, context: &mut Context) -> Option<ConnectionKey> {
        if self.connections.len() >= self.max_connections {
            log!("cannot connect to a replica: all {} connections are in use", self.connections.len());
            return None;
        }
        let address = self.replicas[replica.0].address;
        let opened = connect(address.address).and_then(|socket| {
            self.connections.try_insert_with_key(|key| {
                let stream = Stream::new(&context.events, socket, EventSource::Connection(key))?;
                let at = context.now + self.connect_timeout;
                Ok(Connection {
                    address,
                    stream,
                    protocol: self.protocols.new_connection(address.protocol, address.address),
                    up_since: None,
                    timer: Some(context.deadlines.schedule(at, Timer::Connection(key))),
                    pending: VecDeque::new(),
                    in_flight: InFlight::new(replica),
                    suspect: false,
                    message_timer: None,
                    unresponsive_timer: None,
                })
            })
        });
        match opened {
            Ok(key) => {
                context.metrics.connections_opened += 1;
                self.replicas[replica.0].connections.push(key);
                Some(key)
            }
            Err(error) => {
                context.metrics.connections_failed += 1;
                log!("cannot connect to {}: {error}", address.address);
                None
            }
        }
    }

    /// Handles a ready connection: it was established, failed, or received data.
    pub fn ready(&mut self, key: ConnectionKey, queries: &mut QueryTable, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.up_since.is_none() {
            match connection.stream.connect_result() {
                None => return,
                Some(Err(error)) => return self.connection_broken(key, &error, queries, context),
                Some(Ok(())) => {
                    connection.up_since = Some(context.now);
                    if let Some(timer) = connection.timer.take() {
                        context.deadlines.cancel(timer);
                    }
                }
            }
        }
        let before = connection.stream.bytes_read;
        let was_checked = connection.in_flight.health_check.is_some();
        let limits = self.protocols.connection_limits(connection.address.protocol);
        let filled = connection.stream.fill(limits.max_message_bytes);
        context.metrics.bytes_in += connection.stream.bytes_read - before;
        let received = receive(connection, queries, context);
        let replica = connection.in_flight.replica;
        for HealthAnswer { answered, load } in received.health {
            let load = load.and_then(|load| self.replicas[replica.0].load_rates(load, context.now));
            self.health_reports.push(HealthReport { replica, answered, load });
        }
        match (received.error, filled) {
            (Some(error), _) => self.message_unusable(key, &error, queries, context),
            (None, Ok(true)) => {
                self.update_message_timers(key, received.messages, context);
                if was_checked && self.connections[key].in_flight.health_check.is_none() {
                    self.detect_unresponsive_connections(key, context);
                }
                self.write_pending(key, queries, context);
                self.release(key, queries, context);
                self.idle_or_close(key, context);
            }
            (None, Ok(false)) => self.connection_broken(key, &"closed by its server", queries, context),
            (None, Err(error)) => self.connection_broken(key, &error, queries, context),
        }
    }

    /// Updates the timers of a connection after it received data.
    fn update_message_timers(&mut self, key: ConnectionKey, messages: usize, context: &mut Context) {
        let connection = &mut self.connections[key];
        if connection.stream.unread {
            context.ready_again.push(EventSource::Connection(key));
        }
        if messages > 0
            && let Some(timer) = connection.unresponsive_timer.take()
        {
            context.deadlines.cancel(timer);
        }
        let is_partial = !connection.stream.inbox().is_empty();
        if (messages > 0 || !is_partial)
            && let Some(timer) = connection.message_timer.take()
        {
            context.deadlines.cancel(timer);
        }
        if connection.message_timer.is_none() && is_partial {
            let at = context.now + MESSAGE_TIMEOUT_FACTOR * self.connect_timeout;
            connection.message_timer = Some(context.deadlines.schedule(at, Timer::PartialMessage(key)));
        }
    }

    /// Closes a connection on which a message was not completed in time. Its length may be corrupted, and later
    /// messages would then be read as the rest of it.
    pub fn partial_message_due(
        &mut self,
        key: ConnectionKey,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.message_timer = None;
            self.message_unusable(key, &"a message was not completed in time", queries, context);
        }
    }

    fn message_unusable(
        &mut self,
        key: ConnectionKey,
        reason: &dyn Display,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        context.metrics.bad_store_messages += 1;
        self.connection_ended(key, reason, AttemptOutcome::ProtocolError, queries, context);
    }

    pub(super) fn connection_broken(
        &mut self,
        key: ConnectionKey,
        reason: &dyn Display,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        self.connection_ended(key, reason, AttemptOutcome::ConnectionLost, queries, context);
    }

    /// Handles the connect timeout, the idle timeout or the drain timeout of a connection.
    pub fn connection_due(&mut self, key: ConnectionKey, queries: &mut QueryTable, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.timer = None;
        if connection.up_since.is_none() {
            return self.connection_broken(key, &"the connect timeout expired", queries, context);
        }
        if self.is_draining(key) {
            context.metrics.connections_cut += 1;
        } else {
            context.metrics.connections_idle += 1;
        }
        self.close(key, context);
    }

    /// Returns whether the connection still reads the response to a cancelled shard request.
    fn is_draining(&self, key: ConnectionKey) -> bool {
        let replica = self.connections[key].in_flight.replica;
        self.replicas[replica.0].pool.as_ref().is_some_and(|pool| pool.is_draining(key))
    }

    /// Closes a connection and ends its attempts. An attempt that was not completely written cannot have been executed.
    pub(super) fn connection_ended(
        &mut self,
        key: ConnectionKey,
        reason: &dyn Display,
        outcome: AttemptOutcome,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let Some(mut connection) = self.close(key, context) else { return };
        let was_unused = connection.is_unused();
        if connection.up_since.is_none() {
            context.metrics.connections_failed += 1;
        } else {
            context.metrics.connections_broken += u64::from(!was_unused);
        }
        if !was_unused {
            log!(
                "connection to {} lost with {} attempts: {reason}",
                connection.address.address,
                connection.load()
            );
        }
        for SentAttempt { id, ends_at } in connection.in_flight.attempts.drain(..) {
            let written = ends_at <= connection.stream.bytes_written;
            queries.end_attempt(id, if written { outcome } else { AttemptOutcome::ConnectFailed }, context);
        }
        for id in connection.pending.drain(..).flatten() {
            queries.end_attempt(id, AttemptOutcome::ConnectFailed, context);
        }
        if connection.in_flight.health_check.is_some_and(|check| check.for_aggregator) {
            self.report_unanswered(connection.in_flight.replica);
        }
    }

    /// Closes a connection and cancels its timers. Every connection is closed here.
    pub(super) fn close(&mut self, key: ConnectionKey, context: &mut Context) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        let health_check_timer = connection.in_flight.health_check.map(|check| check.timer);
        let timers =
            [connection.timer, health_check_timer, connection.message_timer, connection.unresponsive_timer];
        timers.into_iter().flatten().for_each(|timer| context.deadlines.cancel(timer));
        let ix = connection.in_flight.replica;
        let replica = &mut self.replicas[ix.0];
        replica.connections.retain(|&other| other != key);
        if let Some(pool) = &mut replica.pool {
            self.unreached.extend(pool.remove(key));
            self.pools_to_check.push(ix);
        }
        Some(connection)
    }

    /// Cancels the idle or drain timer of a connection that is used again.
    pub(super) fn cancel_idle_timer(&mut self, key: ConnectionKey, context: &mut Context) {
        let connection = &mut self.connections[key];
        if connection.up_since.is_some()
            && let Some(timer) = connection.timer.take()
        {
            context.deadlines.cancel(timer);
        }
    }

    /// Closes an unused connection if it may not be used again, else starts its idle timer.
    pub(super) fn idle_or_close(&mut self, key: ConnectionKey, context: &mut Context) {
        let Some(connection) = self.connections.get(key) else { return };
        if connection.up_since.is_none() || !connection.is_unused() || self.is_draining(key) {
            return;
        }
        // Leftover bytes with nothing in flight would be read as the beginning of the next response.
        let has_leftover = !connection.stream.inbox().is_empty();
        let is_serving = self.replicas[connection.in_flight.replica.0].serving;
        if has_leftover || !self.is_usable(key) || !is_serving {
            self.close(key, context);
        } else if connection.timer.is_none() {
            let timer = context.deadlines.schedule(context.now + self.idle_timeout, Timer::Connection(key));
            self.connections[key].timer = Some(timer);
        }
    }
}

/// Handles all messages that have arrived completely.
fn receive(connection: &mut Connection, queries: &mut QueryTable, context: &mut Context) -> Received {
    let bytes_written = connection.stream.bytes_written;
    let mut received = Received { messages: 0, health: Vec::new(), error: None };
    loop {
        let next = connection.protocol.next_message(connection.stream.inbox());
        let ParsedMessage { message, length } = match next {
            Ok(None) => return received,
            Ok(Some(parsed)) => parsed,
            Err(error) => {
                received.error = Some(error);
                return received;
            }
        };
        let health = connection.in_flight.receive(message, bytes_written, queries, context);
        connection.stream.consume(length);
        received.messages += 1;
        match health {
            Ok(health) => received.health.extend(health),
            Err(error) => {
                received.error = Some(error);
                return received;
            }
        }
    }
}
