//! Requests to servers: connections that are kept and reused, and the answers that come on them.
//!
//! An exchange is one request on one connection. Its answer comes as [`UpstreamEvent`]s: the head, pieces of the
//! body, and its end. Dropping an exchange closes its connection, by which most servers drop the request.
//!
//! Which request an answer belongs to is told by its connection and by the `Attempt-Id` that servers echo: they may
//! send a second answer, late, where the next one is due. So on a kept connection every answer has to bear the id,
//! and no id is sent twice on one connection. A connection whose request was answered before it was wholly sent
//! isn't kept, so no other bytes come where the rest of a body is due.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use compact_str::CompactString;
use orchidvalve_track::http::{ResponseHead, ResponseReader};
use orchidvalve_track::network::{ConnectionId, Network};
use orchidvalve_waybill::configuration::fingerprint;

use crate::runs::Repetition;

const HEADER_LIMIT: usize = 64 << 10;
/// An idle connection is kept so long where the server doesn't say.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// A connection is trusted to be kept so long where the server doesn't say.
const TRUSTED_IDLE_MS: u64 = 400;
/// An idle connection is given up so long before the server would close it.
const IDLE_MARGIN_MS: u64 = 500;
/// Idle connections to one server that are kept at most.
const MOST_IDLE: usize = 8;
/// A connection that isn't up within this time has failed.
pub const CONNECT_TIMEOUT_MS: u64 = 400;
/// Pause between two searches for idle connections that are too old.
const SEARCH_MS: u64 = 100;
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Ids of the last requests on a connection that are remembered. An extra answer that passes more answers than
/// this has met one of another id before.
const REMEMBERED_IDS: usize = 16;

/// One request on its way.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ExchangeId(pub u64);

/// Why an exchange ended without a whole answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Failure {
    /// No connection came up: the request was surely not sent.
    Connect,
    /// A kept connection ended before any byte of an answer: most likely the server closed it as it was idle. The
    /// request may have run.
    Stale,
    /// The connection ended, or what came is no answer to this request. The request may have run.
    Broken,
}

/// A whole request to a server.
#[derive(Clone, Copy, Debug)]
pub struct Outbound<'a> {
    pub method: &'a str,
    /// Answers that carry another id belong to other requests.
    pub attempt_id: Option<&'a str>,
    pub bytes: &'a [u8],
    /// For a request that runs at most once, no connection is used that the server may be about to close.
    pub repetition: Repetition,
}

/// What happened to an exchange.
#[derive(PartialEq, Debug)]
pub enum UpstreamEvent {
    Head {
        exchange: ExchangeId,
        head: ResponseHead,
    },
    Body {
        exchange: ExchangeId,
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    Complete {
        exchange: ExchangeId,
    },
    Failed {
        exchange: ExchangeId,
        failure: Failure,
    },
}

/// Fingerprints of the ids that were sent last on a connection.
#[derive(Default, Debug)]
struct SentIds(VecDeque<u64>);

impl SentIds {
    fn contains(&self, id: Option<&str>) -> bool {
        id.is_some_and(|id| self.0.contains(&fingerprint(id.as_bytes())))
    }

    fn push(&mut self, id: Option<&str>) {
        if self.0.len() == REMEMBERED_IDS {
            self.0.pop_front();
        }
        self.0.extend(id.map(|id| fingerprint(id.as_bytes())));
    }
}

#[derive(Debug)]
struct Exchange {
    id: ExchangeId,
    server: SocketAddrV4,
    reader: ResponseReader,
    attempt_id: Option<CompactString>,
    /// Some bytes of the server have come.
    heard: bool,
    head_told: bool,
    /// The connection was kept from an earlier exchange.
    reused: bool,
    connect_by: Option<u64>,
    sent_ids: SentIds,
}

#[derive(Debug)]
struct Idle {
    connection: ConnectionId,
    /// Up to then the server surely keeps it.
    trusted_until: u64,
    until: u64,
    sent_ids: SentIds,
}

/// All exchanges and idle connections of a door.
#[derive(Default, Debug)]
pub struct Upstreams {
    exchanges: HashMap<ConnectionId, Exchange>,
    connections: HashMap<ExchangeId, ConnectionId>,
    idle: HashMap<SocketAddrV4, Vec<Idle>>,
    idle_addresses: HashMap<ConnectionId, SocketAddrV4>,
    next: u64,
    connecting: Vec<(u64, ConnectionId)>,
    next_search: u64,
}

impl Upstreams {
    /// Number of connections to `server`, idle or not.
    pub fn connections_to(&self, server: &SocketAddrV4) -> usize {
        let busy = self.exchanges.values().filter(|e| e.server == *server).count();
        busy + self.idle.get(server).map_or(0, Vec::len)
    }

    /// Sends a request. None where no connection can be begun.
    pub fn send(
        &mut self,
        network: &mut Network,
        server: SocketAddrV4,
        outbound: &Outbound<'_>,
        now: u64,
    ) -> Option<ExchangeId> {
        let kept = self.take_idle(network, &server, now, outbound);
        let reused = kept.is_some();
        let (connection, mut sent_ids, connect_by) = match kept {
            Some(idle) => (idle.connection, idle.sent_ids, None),
            None => {
                let connection = network.connect(server, USER_TIMEOUT).ok()?;
                let by = now + CONNECT_TIMEOUT_MS;
                self.connecting.push((by, connection));
                (connection, SentIds::default(), Some(by))
            }
        };
        network.send(connection, outbound.bytes);
        sent_ids.push(outbound.attempt_id);
        self.next += 1;
        let id = ExchangeId(self.next);
        let exchange = Exchange {
            id,
            server,
            reader: ResponseReader::new(outbound.method),
            attempt_id: outbound.attempt_id.map(CompactString::from),
            heard: false,
            head_told: false,
            reused,
            connect_by,
            sent_ids,
        };
        self.exchanges.insert(connection, exchange);
        self.connections.insert(id, connection);
        Some(id)
    }

    /// The connection that was used last, of those that haven't carried the id of this request yet: a second answer
    /// to its first send couldn't be told from the answer. One with bytes in it can't be trusted: they belong to no
    /// request.
    fn take_idle(
        &mut self,
        network: &mut Network,
        server: &SocketAddrV4,
        now: u64,
        outbound: &Outbound<'_>,
    ) -> Option<Idle> {
        let kept = self.idle.get_mut(server)?;
        while let Some(place) = kept.iter().rposition(|idle| !idle.sent_ids.contains(outbound.attempt_id)) {
            let idle = &kept[place];
            let until = match outbound.repetition {
                Repetition::AtMostOnce => idle.trusted_until,
                Repetition::Repeatable => idle.until,
            };
            if now < idle.until && now >= until {
                return None;
            }
            let idle = kept.remove(place);
            self.idle_addresses.remove(&idle.connection);
            if now < until && owes_nothing(network, idle.connection) {
                return Some(idle);
            }
            network.forget(idle.connection);
        }
        None
    }

    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.exchanges.contains_key(&connection) || self.idle_addresses.contains_key(&connection)
    }

    /// A connection that was begun is up.
    pub fn connected(&mut self, connection: ConnectionId) {
        if let Some(exchange) = self.exchanges.get_mut(&connection) {
            exchange.connect_by = None;
        }
    }

    /// Drops an exchange with its connection.
    pub fn cancel(&mut self, network: &mut Network, exchange: ExchangeId) {
        if let Some(connection) = self.connections.remove(&exchange) {
            self.exchanges.remove(&connection);
            network.forget(connection);
        }
    }

    /// Bytes have arrived.
    pub fn data(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        now: u64,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(exchange) = self.exchanges.get_mut(&connection) else {
            self.drop_idle(network, connection);
            return;
        };
        let id = exchange.id;
        let mut bytes = Vec::new();
        let progress = match exchange.reader.read(network.inbox(connection), HEADER_LIMIT, &mut bytes) {
            Ok(progress) => progress,
            Err(_) => {
                self.fail(network, connection, Failure::Broken, events);
                return;
            }
        };
        network.consume(connection, progress.consumed);
        exchange.heard |= progress.consumed > 0;
        if progress.head && !exchange.head_told {
            exchange.head_told = true;
            if let Some(head) = exchange.reader.head() {
                if !belongs(head, exchange.attempt_id.as_deref(), exchange.reused) {
                    log::warn!("servers: {} sent an answer to another request", exchange.server);
                    self.fail(network, connection, Failure::Broken, events);
                    return;
                }
                events.push(UpstreamEvent::Head { exchange: id, head: head.clone() });
            }
        }
        if !bytes.is_empty() {
            events.push(UpstreamEvent::Body { exchange: id, bytes });
        }
        if progress.complete {
            events.push(UpstreamEvent::Complete { exchange: id });
            self.retire(network, connection, now);
        }
    }

    /// Keeps the connection of a whole answer, or drops it.
    fn retire(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        let Some(exchange) = self.exchanges.remove(&connection) else { return };
        self.connections.remove(&exchange.id);
        let stated_ms = exchange.reader.head().and_then(idle_time);
        let kept_ms = stated_ms.unwrap_or(DEFAULT_IDLE_MS);
        let trusted_ms = stated_ms.unwrap_or(TRUSTED_IDLE_MS);
        // Bytes beyond the answer belong to no request: the connection can't be trusted.
        let keeps = exchange.reader.reusable() && owes_nothing(network, connection);
        let idle = self.idle.entry(exchange.server).or_default();
        if keeps && kept_ms > 0 && idle.len() < MOST_IDLE {
            let (trusted_until, until) = (now + trusted_ms, now + kept_ms);
            idle.push(Idle { connection, trusted_until, until, sent_ids: exchange.sent_ids });
            self.idle_addresses.insert(connection, exchange.server);
        } else {
            network.forget(connection);
        }
    }

    /// The connection has ended. An answer without a length is whole by that, if its server ended it in order.
    pub fn closed(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(exchange) = self.exchanges.get(&connection) else {
            self.drop_idle(network, connection);
            return;
        };
        if exchange.head_told && exchange.reader.whole_at_close() && network.ended_in_order(connection) {
            events.push(UpstreamEvent::Complete { exchange: exchange.id });
            self.drop_exchange(network, connection);
            return;
        }
        let untouched = !exchange.heard && network.inbox(connection).is_empty();
        let failure = match exchange.connect_by {
            Some(_) => Failure::Connect,
            None if exchange.reused && untouched => Failure::Stale,
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
        if let Some(exchange) = self.drop_exchange(network, connection) {
            events.push(UpstreamEvent::Failed { exchange, failure });
        }
    }

    fn drop_exchange(&mut self, network: &mut Network, connection: ConnectionId) -> Option<ExchangeId> {
        network.forget(connection);
        let exchange = self.exchanges.remove(&connection)?;
        self.connections.remove(&exchange.id);
        Some(exchange.id)
    }

    fn drop_idle(&mut self, network: &mut Network, connection: ConnectionId) {
        if let Some(address) = self.idle_addresses.remove(&connection) {
            if let Some(idle) = self.idle.get_mut(&address) {
                idle.retain(|i| i.connection != connection);
            }
            network.forget(connection);
        }
    }

    /// Connections that didn't come up in time fail; idle ones that are old are closed.
    pub fn expire(&mut self, network: &mut Network, now: u64, events: &mut Vec<UpstreamEvent>) {
        let (late, waiting): (Vec<_>, Vec<_>) = self.connecting.drain(..).partition(|(by, _)| *by <= now);
        self.connecting = waiting;
        for (_, connection) in late {
            if self.exchanges.get(&connection).is_some_and(|e| e.connect_by.is_some()) {
                self.fail(network, connection, Failure::Connect, events);
            }
        }
        if now < self.next_search {
            return;
        }
        self.next_search = now + SEARCH_MS;
        let mut old = Vec::new();
        for idle in self.idle.values_mut() {
            let is_old = |i: &Idle| i.until <= now;
            old.extend(idle.iter().filter(|i| is_old(i)).map(|i| i.connection));
            idle.retain(|i| !is_old(i));
        }
        for connection in old {
            self.idle_addresses.remove(&connection);
            network.forget(connection);
        }
    }

    /// Earliest time at which a connection has to be up.
    pub fn next_deadline(&self) -> Option<u64> {
        self.connecting.iter().map(|(by, _)| *by).min()
    }
}

/// Whether nothing waits on a connection in either direction: neither bytes that belong to no request, nor the rest
/// of a request that was answered early.
fn owes_nothing(network: &Network, connection: ConnectionId) -> bool {
    network.is_open(connection)
        && network.inbox(connection).is_empty()
        && network.queued_bytes(connection) == 0
}

/// Whether an answer can be that to the request with `attempt_id`. Servers echo the id; only refusals come without,
/// and those count where no earlier request of the connection can have brought them.
fn belongs(head: &ResponseHead, attempt_id: Option<&str>, reused: bool) -> bool {
    match (head.headers.get("attempt-id"), attempt_id) {
        (Some(echoed), Some(id)) => echoed == id,
        (None, Some(_)) => !reused && !(200..300).contains(&head.status),
        (Some(_), None) => false,
        (None, None) => true,
    }
}

/// How long a connection may be kept idle after this answer, in milliseconds, where the server says so.
fn idle_time(head: &ResponseHead) -> Option<u64> {
    let parts = head.headers.get("keep-alive")?.split(',');
    let seconds = parts.filter_map(|p| p.trim().strip_prefix("timeout=")).next()?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MS))
}
