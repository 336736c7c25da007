//! The exchanges of a gateway with its servers, each on its own connection.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use compact_str::CompactString;
use orchidvalve_http::{ResponseHead, ResponseReader};
use orchidvalve_net::{ConnectionId, Network};

use super::exchange::{ExchangeId, Failure, OutboundRequest, UpstreamEvent};
use super::idle_pool::{IdlePool, ReturnedConnection, stated_keep_alive_ms};
use super::recent_ids::RecentIds;

/// The maximum length of a response head, in bytes.
const HEADER_LIMIT: usize = 64 << 10;
/// The time within which a connection must be established, in milliseconds.
pub const CONNECT_TIMEOUT_MS: u64 = 400;
/// How long sent bytes may remain unacknowledged by the server's host (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// A request that was sent and whose response is incomplete.
#[derive(Debug)]
struct Exchange {
    id: ExchangeId,
    server: SocketAddrV4,
    reader: ResponseReader,
    attempt_id: Option<CompactString>,
    /// Whether any bytes of the response have been consumed.
    received_any: bool,
    head_reported: bool,
    /// Whether the connection has carried an earlier exchange.
    reused: bool,
    connect_by: Option<u64>,
    recent_ids: RecentIds,
}

/// A connection that must be established by a point in time.
#[derive(Clone, Copy, Debug)]
struct Connecting {
    by: u64,
    connection: ConnectionId,
}

/// All exchanges in flight and idle connections of a gateway.
#[derive(Default, Debug)]
pub struct UpstreamConnections {
    exchanges: HashMap<ConnectionId, Exchange>,
    connections: HashMap<ExchangeId, ConnectionId>,
    idle: IdlePool,
    next: u64,
    connecting: Vec<Connecting>,
}

impl UpstreamConnections {
    /// Returns the number of connections to `server`, whether idle or busy.
    pub fn connections_to(&self, server: &SocketAddrV4) -> usize {
        let busy = self.exchanges.values().filter(|exchange| exchange.server == *server).count();
        busy + self.idle.count(server)
    }

    /// Sends a request. Returns `None` if no connection could be started.
    pub fn send(
        &mut self,
        network: &mut Network,
        server: SocketAddrV4,
        outbound: &OutboundRequest<'_>,
        now: u64,
    ) -> Option<ExchangeId> {
        let idle = self.idle.take(network, &server, now, outbound);
        let reused = idle.is_some();
        let (connection, mut recent_ids, connect_by) = match idle {
            Some(idle) => (idle.connection, idle.recent_ids, None),
            None => {
                let connection = network.connect(server, USER_TIMEOUT).ok()?;
                let by = now + CONNECT_TIMEOUT_MS;
                self.connecting.push(Connecting { by, connection });
                (connection, RecentIds::default(), Some(by))
            }
        };
        network.send(connection, outbound.bytes);
        recent_ids.push(outbound.attempt_id);
        self.next += 1;
        let id = ExchangeId(self.next);
        let exchange = Exchange {
            id,
            server,
            reader: ResponseReader::new(outbound.method),
            attempt_id: outbound.attempt_id.map(CompactString::from),
            received_any: false,
            head_reported: false,
            reused,
            connect_by,
            recent_ids,
        };
        self.exchanges.insert(connection, exchange);
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Whether the connection leads to a server.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.exchanges.contains_key(&connection) || self.idle.contains(connection)
    }

    /// Records that a new connection is established.
    pub fn connected(&mut self, connection: ConnectionId) {
        if let Some(exchange) = self.exchanges.get_mut(&connection) {
            exchange.connect_by = None;
        }
    }

    /// Closes the idle connections to `server`.
    pub fn close_idle(&mut self, network: &mut Network, server: SocketAddrV4) {
        self.idle.close_all(network, &server);
    }

    /// Cancels an exchange and closes its connection, upon which most servers drop the request.
    pub fn cancel(&mut self, network: &mut Network, exchange: ExchangeId) {
        if let Some(connection) = self.connections.remove(&exchange) {
            self.exchanges.remove(&connection);
            network.abort(connection);
        }
    }

    /// Reads the bytes that have arrived on a connection. What precedes invalid bytes is reported, as if the connection
    /// had ended there.
    pub fn data(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&connection) else {
            self.idle.close(network, connection);
            return;
        };
        let id = exchange.id;
        let mut bytes = Vec::new();
        let read = exchange.reader.read(network.inbox(connection), HEADER_LIMIT, &mut bytes);
        if let Ok(progress) = read {
            network.consume(connection, progress.consumed);
            exchange.received_any |= progress.consumed > 0;
        }
        if let Some(head) = exchange.reader.head().filter(|_| !exchange.head_reported) {
            exchange.head_reported = true;
            if !matches_request(head, exchange.attempt_id.as_deref(), exchange.reused) {
                log::warn!("servers: {} sent the response to another request", exchange.server);
                self.fail(network, connection, Failure::Broken, events);
                return;
            }
            events.push(UpstreamEvent::Head { exchange: id, head: head.clone() });
        }
        if !bytes.is_empty() {
            events.push(UpstreamEvent::Body { exchange: id, bytes });
        }
        match read {
            Ok(progress) if progress.complete => {
                events.push(UpstreamEvent::Complete { exchange: id });
                self.return_to_pool(network, connection, now);
            }
            Ok(_) => {}
            Err(_) => self.fail(network, connection, Failure::Broken, events),
        }
    }

    /// Returns the connection of a complete response to the idle pool, or closes it if it isn't reusable.
    fn return_to_pool(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        let Some(exchange) = self.exchanges.remove(&connection) else { return };
        self.connections.remove(&exchange.id);
        if !exchange.reader.is_reusable() {
            network.abort(connection);
            return;
        }
        let stated_keep_alive_ms = exchange.reader.head().and_then(stated_keep_alive_ms);
        let (server, recent_ids) = (exchange.server, exchange.recent_ids);
        let returned = ReturnedConnection { connection, server, recent_ids, stated_keep_alive_ms };
        self.idle.put(network, returned, now);
    }

    /// Handles the end of a connection. It completes a response without a length if the server closed the connection in
    /// order.
    pub fn closed(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(exchange) = self.exchanges.get(&connection) else {
            self.idle.close(network, connection);
            return;
        };
        if exchange.head_reported && exchange.reader.complete_at_close() && network.closed_cleanly(connection)
        {
            events.push(UpstreamEvent::Closed { exchange: exchange.id });
            self.remove_exchange(network, connection);
            return;
        }
        let no_response_bytes = !exchange.received_any && network.inbox(connection).is_empty();
        let failure = match exchange.connect_by {
            Some(_) => Failure::Connect,
            None if exchange.reused && no_response_bytes => Failure::Stale,
            None => Failure::Broken,
        };
        self.fail(network, connection, failure, events);
    }

    fn fail(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        failure: Failure,
        events: &mut Vec<UpstreamEvent>,
    ) {
        if let Some(exchange) = self.remove_exchange(network, connection) {
            events.push(UpstreamEvent::Failed { exchange, failure });
        }
    }

    fn remove_exchange(&mut self, network: &mut Network, connection: ConnectionId) -> Option<ExchangeId> {
        network.abort(connection);
        let exchange = self.exchanges.remove(&connection)?;
        self.connections.remove(&exchange.id);
        Some(exchange.id)
    }

    /// Fails connections that weren't established in time, and closes idle connections that are too old.
    pub fn expire(&mut self, network: &mut Network, now: u64, events: &mut Vec<UpstreamEvent>) {
        let (expired, pending): (Vec<_>, Vec<_>) =
            self.connecting.drain(..).partition(|connecting| connecting.by <= now);
        self.connecting = pending;
        for Connecting { connection, .. } in expired {
            if self.exchanges.get(&connection).is_some_and(|exchange| exchange.connect_by.is_some()) {
                self.fail(network, connection, Failure::Connect, events);
            }
        }
        self.idle.close_expired(network, now);
    }

    /// Returns the earliest time by which a connection must be established.
    pub fn next_deadline(&self) -> Option<u64> {
        self.connecting.iter().map(|connecting| connecting.by).min()
    }
}

/// Whether a response can belong to the request with `attempt_id`. Servers echo the id, except in rejections. A
/// response without an id is therefore accepted only if it isn't a success and no earlier request on the connection
/// can have caused it.
fn matches_request(head: &ResponseHead, attempt_id: Option<&str>, reused: bool) -> bool {
    match (head.headers.get("attempt-id"), attempt_id) {
        (Some(echoed), Some(id)) => echoed == id,
        (None, Some(_)) => !reused && !(200..300).contains(&head.status),
        (Some(_), None) => false,
        (None, None) => true,
    }
}
