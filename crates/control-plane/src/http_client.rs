//! HTTP exchanges of this node with the platform and with servers.
//!
//! A response is matched to its request by the connection alone, since these requests carry no id that the response
//! repeats. Servers may send a second response late, so each order opens a connection of its own. Only the probes after an
//! order reuse its connection, because their responses cannot be mistaken for one to the order. Readings of the platform's
//! list reuse another connection. A connection is reused only while nothing is outstanding on it in either direction.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_http::{ResponseHead, ResponseReader};
use orchidvalve_net::{ConnectionId, Network};

const MAX_HEADER_BYTES: usize = 64 << 10;
/// Bytes sent on a reused connection may stay unacknowledged by the peer's machine for this time.
const REUSED_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes sent on a new connection may stay unacknowledged for this time, in milliseconds. The operating system does not
/// retransmit a lost request for longer, so an order reaches its server soon after it was sent or not at all.
pub const NEW_USER_TIMEOUT_MS: Milliseconds = 300;

/// A request that is not handed to the operating system within this time, in milliseconds, because its connection is not
/// established or this process was suspended, is never sent. Otherwise an order could reach its server after the lease of
/// its sender has ended.
pub const CONNECT_TIMEOUT_MS: Milliseconds = 300;

/// The choice of the connection that carries an exchange.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionUse {
    /// A new connection, kept open after the response for later exchanges. No response to an earlier request can arrive on it.
    New,
    /// An idle connection, or a new one if there is none. Only for requests that may be repeated, and whose responses cannot
    /// be mistaken for a second one to an earlier request.
    Reused,
}

impl ConnectionUse {
    /// Returns how long sent bytes may stay unacknowledged.
    pub fn user_timeout(self) -> Duration {
        match self {
            ConnectionUse::New => Duration::from_millis(NEW_USER_TIMEOUT_MS),
            ConnectionUse::Reused => REUSED_USER_TIMEOUT,
        }
    }
}

/// The receiver and the deadline of a request. Times are on the monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTarget {
    /// Address of the server.
    pub address: SocketAddrV4,
    /// Which connection carries the exchange.
    pub connection_use: ConnectionUse,
    /// Time at which the exchange starts.
    pub started_at: Milliseconds,
    /// Time at which the exchange is abandoned.
    pub deadline: Milliseconds,
}

/// An exchange in flight; `P` is the type of its purpose.
#[derive(Debug)]
struct Exchange<P> {
    purpose: P,
    target: ExchangeTarget,
    reader: ResponseReader,
    body: Vec<u8>,
    /// Time by which the request on a new connection has to be handed to the operating system; `None` once that was
    /// checked.
    send_deadline: Option<Milliseconds>,
}

impl<P> Exchange<P> {
    fn next_deadline(&self) -> Milliseconds {
        self.target.deadline.min(self.send_deadline.unwrap_or(u64::MAX))
    }
}

/// A completed exchange, without a response if the connection failed or the deadline has passed.
#[derive(Debug)]
pub struct CompletedExchange<P> {
    /// Purpose of the exchange.
    pub purpose: P,
    /// The response; `None` if there was none.
    pub response: Option<HttpResponse>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body, after its transfer coding was decoded.
    pub body: Vec<u8>,
}

/// The exchanges in flight and the idle connections, at most one idle connection for each address.
#[derive(Debug)]
pub struct HttpClient<P> {
    exchanges: BTreeMap<ConnectionId, Exchange<P>>,
    idle: BTreeMap<SocketAddrV4, ConnectionId>,
}

impl<P> Default for HttpClient<P> {
    fn default() -> HttpClient<P> {
        HttpClient { exchanges: BTreeMap::new(), idle: BTreeMap::new() }
    }
}

impl<P> HttpClient<P> {
    /// Starts an exchange by sending `request`, a complete HTTP message.
    ///
    /// # Errors
    ///
    /// Returns the purpose if no connection can be opened; nothing was sent then.
    pub fn start(
        &mut self,
        network: &mut Network,
        target: ExchangeTarget,
        method: &str,
        request: &[u8],
        purpose: P,
    ) -> Result<(), P> {
        let reused = match target.connection_use {
            ConnectionUse::Reused => self.take_idle(network, target.address),
            ConnectionUse::New => None,
        };
        let connection = match reused {
            Some(connection) => connection,
            None => match network.connect(target.address, target.connection_use.user_timeout()) {
                Ok(connection) => connection,
                Err(_) => return Err(purpose),
            },
        };
        if reused.is_none() {
            network.set_write_deadline(connection, Duration::from_millis(CONNECT_TIMEOUT_MS));
        }
        network.send(connection, request);
        let reader = ResponseReader::new(method);
        let send_deadline = reused.is_none().then_some(target.started_at + CONNECT_TIMEOUT_MS);
        let exchange = Exchange { purpose, target, reader, body: Vec::new(), send_deadline };
        self.exchanges.insert(connection, exchange);
        Ok(())
    }

    /// Closes the idle connection to `address`, because no more requests follow.
    pub fn close_idle(&mut self, network: &mut Network, address: SocketAddrV4) {
        if let Some(connection) = self.idle.remove(&address) {
            network.abort(connection);
        }
    }

    /// Takes the idle connection to `address`, unless it has ended or has received unexpected bytes.
    fn take_idle(&mut self, network: &mut Network, address: SocketAddrV4) -> Option<ConnectionId> {
        let connection = self.idle.remove(&address)?;
        if is_quiescent(network, connection) {
            return Some(connection);
        }
        network.abort(connection);
        None
    }

    /// Returns whether this client uses the connection.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.exchanges.contains_key(&connection) || self.idle.values().any(|idle| *idle == connection)
    }

    /// Processes received bytes. Returns the exchange if they complete its response.
    pub fn data(&mut self, network: &mut Network, connection: ConnectionId) -> Option<CompletedExchange<P>> {
        let Some(exchange) = self.exchanges.get_mut(&connection) else {
            // No bytes are expected on an idle connection.
            self.idle.retain(|_, idle| *idle != connection);
            network.abort(connection);
            return None;
        };
        let read = exchange.reader.read(network.inbox(connection), MAX_HEADER_BYTES, &mut exchange.body);
        let Ok(progress) = read else { return self.fail(network, connection) };
        network.consume(connection, progress.consumed);
        if !progress.complete {
            return None;
        }
        let exchange = self.exchanges.remove(&connection)?;
        if exchange.reader.is_reusable() && is_quiescent(network, connection) {
            if let Some(older) = self.idle.insert(exchange.target.address, connection) {
                network.abort(older);
            }
        } else {
            network.abort(connection);
        }
        Some(completed(exchange))
    }

    /// Processes the end of a connection. A response without a length is complete only if the peer closed the connection
    /// in an orderly way.
    pub fn closed(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
    ) -> Option<CompletedExchange<P>> {
        self.idle.retain(|_, idle| *idle != connection);
        let is_complete = network.closed_cleanly(connection)
            && self.exchanges.get(&connection).is_some_and(|exchange| exchange.reader.complete_at_close());
        if !is_complete {
            return self.fail(network, connection);
        }
        network.abort(connection);
        self.exchanges.remove(&connection).map(completed)
    }

    fn fail(&mut self, network: &mut Network, connection: ConnectionId) -> Option<CompletedExchange<P>> {
        network.abort(connection);
        let exchange = self.exchanges.remove(&connection)?;
        Some(CompletedExchange { purpose: exchange.purpose, response: None })
    }

    /// Ends the exchanges whose deadline has passed, or whose requests were not handed to the operating system in time.
    pub fn expire(&mut self, network: &mut Network, now: Milliseconds) -> Vec<CompletedExchange<P>> {
        let mut expired = Vec::new();
        for (connection, exchange) in &mut self.exchanges {
            // If the connection was established while this process was suspended, the request is still in the outbox.
            let is_unsent = || !network.is_open(*connection) || network.queued_bytes(*connection) > 0;
            let unsent =
                exchange.send_deadline.take_if(|deadline| *deadline <= now).is_some_and(|_| is_unsent());
            if unsent || exchange.target.deadline <= now {
                expired.push(*connection);
            }
        }
        expired.into_iter().filter_map(|connection| self.fail(network, connection)).collect()
    }

    /// Returns when [`HttpClient::expire`] has to be called next; `None` if nothing is in flight.
    pub fn next_deadline(&self) -> Option<Milliseconds> {
        self.exchanges.values().map(Exchange::next_deadline).min()
    }
}

/// Returns whether nothing is outstanding on the connection in either direction: neither received bytes that belong to no
/// exchange, nor the rest of a request whose response arrived before it was sent in full.
fn is_quiescent(network: &Network, connection: ConnectionId) -> bool {
    network.is_open(connection)
        && network.inbox(connection).is_empty()
        && network.queued_bytes(connection) == 0
}

fn completed<P>(exchange: Exchange<P>) -> CompletedExchange<P> {
    let head = exchange.reader.head().cloned();
    let response = head.map(|head| HttpResponse { head, body: exchange.body });
    CompletedExchange { purpose: exchange.purpose, response }
}
