//! Health checks of replicas, and of the connections to them.

use orchidvalve::interface::{Nanos, ReplicaIndex};
use orchidvalve::state::AttemptOutcome;

use super::connection::HealthCheck;
use super::{HealthReport, StoreConnections};
use crate::connection_pool::HealthCheckPlacement;
use crate::context::Context;
use crate::event_loop::{ConnectionKey, Timer};
use crate::log;
use crate::queries::QueryTable;

/// A connection may stay unresponsive for the connect timeout divided by this number after its replica answered a
/// health check on another connection. That is enough for responses that cross.
const UNRESPONSIVE_TIMEOUT_DIVISOR: Nanos = 10;

impl StoreConnections {
    /// Checks a replica's health. A connection with attempts in flight may be unresponsive although its replica is
    /// healthy. The check therefore uses another connection, a new one if necessary, and the busy connections are
    /// checked as well for comparison.
    pub fn check_health(&mut self, replica: ReplicaIndex, queries: &mut QueryTable, context: &mut Context) {
        context.metrics.health_checks += 1;
        if self.replicas[replica.0].pool.is_some() {
            return self.check_health_pooled(replica, queries, context);
        }
        let connections = self.replicas[replica.0].connections.iter().copied();
        let is_unchecked = |key: &ConnectionKey| self.connections[*key].in_flight.health_check.is_none();
        let unchecked = connections.filter(|&key| self.is_usable(key)).filter(is_unchecked);
        let (busy, free): (Vec<_>, Vec<_>) =
            unchecked.partition(|&key| !self.connections[key].in_flight.attempts.is_empty());
        let first = free.into_iter().min_by_key(|&key| self.connections[key].up_since.is_none());
        let first = first.or_else(|| self.open(replica, context)).or(busy.first().copied());
        if first.is_none() {
            self.report_unanswered(replica);
        }
        let others = busy.into_iter().filter(|&key| Some(key) != first).map(|key| (key, false));
        for (key, for_aggregator) in first.map(|key| (key, true)).into_iter().chain(others) {
            self.write_health_check(key, for_aggregator, queries, context);
        }
    }

    /// Checks the health of a replica with pooled connections. The check needs a connection of its own, as each carries
    /// one request at a time.
    fn check_health_pooled(
        &mut self,
        replica: ReplicaIndex,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let capacity = self.capacity(replica);
        let Some(pool) = &mut self.replicas[replica.0].pool else { return };
        let key = match pool.place_health_check(capacity) {
            HealthCheckPlacement::On(key) => Some(key),
            HealthCheckPlacement::Open => self.open(replica, context).inspect(|&key| {
                if let Some(pool) = &mut self.replicas[replica.0].pool {
                    pool.opening(key, true);
                }
            }),
            HealthCheckPlacement::Unavailable => None,
        };
        match key {
            Some(key) => self.write_health_check(key, true, queries, context),
            None => self.report_unanswered(replica),
        }
    }

    fn write_health_check(
        &mut self,
        key: ConnectionKey,
        for_aggregator: bool,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        self.cancel_idle_timer(key, context);
        let connection = &mut self.connections[key];
        let at = context.now + self.connect_timeout;
        let timer = context.deadlines.schedule(at, Timer::HealthCheck(key));
        connection.in_flight.health_check = Some(HealthCheck { timer, for_aggregator });
        connection.protocol.write_health_check(connection.stream.outbox());
        self.write_pending(key, queries, context);
    }

    pub(super) fn report_unanswered(&mut self, replica: ReplicaIndex) {
        self.health_reports.push(HealthReport { replica, answered: false, load: None });
    }

    /// Handles a health check that was answered on one connection. The replica is healthy, so other connections that
    /// stay unresponsive are broken. These are connections that have attempts in flight, but not so many that the
    /// replica leaves the rest unread, and that have an unanswered health check.
    pub(super) fn detect_unresponsive_connections(&mut self, answered: ConnectionKey, context: &mut Context) {
        let Some(connection) = self.connections.get(answered) else { return };
        for &key in &self.replicas[connection.in_flight.replica.0].connections {
            let other = &mut self.connections[key];
            let limits = self.protocols.connection_limits(other.address.protocol);
            let in_flight = other.in_flight.attempts.len();
            let waits = in_flight > 0 && in_flight < limits.requests_per_connection;
            let is_checked = other.in_flight.health_check.is_some() || other.suspect;
            if key != answered && waits && is_checked && other.unresponsive_timer.is_none() {
                let at = context.now + self.connect_timeout / UNRESPONSIVE_TIMEOUT_DIVISOR;
                let timer = context.deadlines.schedule(at, Timer::UnresponsiveConnection(key));
                other.unresponsive_timer = Some(timer);
            }
        }
    }

    /// Closes a connection that stayed unresponsive while its replica answered on another one.
    pub fn unresponsive_connection_due(
        &mut self,
        key: ConnectionKey,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.unresponsive_timer = None;
        context.metrics.connections_unresponsive += 1;
        let reason = "unresponsive, while its server answers on another connection";
        self.connection_ended(key, &reason, AttemptOutcome::ProtocolError, queries, context);
    }

    /// Handles a health check that was not answered in time. Nothing new uses this connection, and the next health
    /// check opens a new one: the machine at the other end may have vanished without closing the connection.
    pub fn health_check_due(&mut self, key: ConnectionKey, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        let Some(HealthCheck { for_aggregator, .. }) = connection.in_flight.health_check.take() else {
            return;
        };
        connection.suspect = true;
        let replica = connection.in_flight.replica;
        log!("health check of {} timed out: its connection gets no new requests", connection.address.address);
        if for_aggregator {
            self.report_unanswered(replica);
        }
        self.idle_or_close(key, context);
    }
}
