//! Pool of idle connections to servers, kept alive for further requests within limits of number and age.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use orchidvalve_http::ResponseHead;
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::time_limit::TimeLimit;

use super::exchange::{Idempotency, OutboundRequest};
use super::recent_ids::RecentIds;

/// How long an idle connection is kept if the server doesn't state a keep-alive timeout, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// How long a server without a stated keep-alive timeout is trusted to keep a connection open, in milliseconds.
const TRUSTED_IDLE_MS: u64 = 400;
/// How long before the server's stated timeout an idle connection is closed, in milliseconds.
const IDLE_MARGIN_MS: u64 = 500;
/// The maximum number of idle connections to one server.
const MAX_IDLE: usize = 8;
/// The interval between two sweeps for expired idle connections, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;

/// An idle connection.
#[derive(Debug)]
pub(super) struct IdleConnection {
    pub(super) connection: ConnectionId,
    /// The time until which the server certainly keeps the connection open.
    trusted_until: u64,
    /// The time at which the connection is closed.
    until: u64,
    pub(super) recent_ids: RecentIds,
}

/// A connection whose response is complete, on its return to the pool.
#[derive(Debug)]
pub(super) struct ReturnedConnection {
    pub(super) connection: ConnectionId,
    pub(super) server: SocketAddrV4,
    pub(super) recent_ids: RecentIds,
    /// The keep-alive timeout that the server stated, less the safety margin, in milliseconds.
    pub(super) stated_keep_alive_ms: Option<u64>,
}

/// The idle connections of a gateway.
#[derive(Default, Debug)]
pub(super) struct IdlePool {
    /// The idle connections to each server, in the order in which they became idle.
    by_server: HashMap<SocketAddrV4, Vec<IdleConnection>>,
    servers: HashMap<ConnectionId, SocketAddrV4>,
    next_sweep_at: u64,
}

impl IdlePool {
    /// Returns the number of idle connections to `server`.
    pub(super) fn count(&self, server: &SocketAddrV4) -> usize {
        self.by_server.get(server).map_or(0, Vec::len)
    }

    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.servers.contains_key(&connection)
    }

    /// Takes the most recently used connection that hasn't carried the id of this request yet: a late second response
    /// to the earlier attempt could not be distinguished from the response to this one. A connection with unread
    /// bytes is closed instead, as these belong to no request.
    pub(super) fn take(
        &mut self,
        network: &mut Network,
        server: &SocketAddrV4,
        now: u64,
        outbound: &OutboundRequest<'_>,
    ) -> Option<IdleConnection> {
        let candidates = self.by_server.get_mut(server)?;
        while let Some(position) =
            candidates.iter().rposition(|idle| !idle.recent_ids.contains(outbound.attempt_id))
        {
            let idle = &candidates[position];
            let until = match outbound.idempotency {
                Idempotency::AtMostOnce => idle.trusted_until,
                Idempotency::Idempotent => idle.until,
            };
            if now < idle.until && now >= until {
                return None;
            }
            let idle = candidates.remove(position);
            self.servers.remove(&idle.connection);
            if now < until && is_quiescent(network, idle.connection) {
                return Some(idle);
            }
            network.abort(idle.connection);
        }
        None
    }

    /// Adds a connection, or closes it if it can't be trusted or the pool has enough connections to its server.
    pub(super) fn put(&mut self, network: &mut Network, returned: ReturnedConnection, now: u64) {
        let ReturnedConnection { connection, server, recent_ids, stated_keep_alive_ms } = returned;
        let keep_alive_ms = stated_keep_alive_ms.unwrap_or(DEFAULT_IDLE_MS);
        let trusted_ms = stated_keep_alive_ms.unwrap_or(TRUSTED_IDLE_MS);
        let idle = self.by_server.entry(server).or_default();
        // Bytes beyond the response belong to no request, so the connection can't be trusted.
        if is_quiescent(network, connection) && keep_alive_ms > 0 && idle.len() < MAX_IDLE {
            let (trusted_until, until) = (now + trusted_ms, now + keep_alive_ms);
            idle.push(IdleConnection { connection, trusted_until, until, recent_ids });
            self.servers.insert(connection, server);
        } else {
            network.abort(connection);
        }
    }

    /// Closes the connection if it is idle.
    pub(super) fn close(&mut self, network: &mut Network, connection: ConnectionId) {
        if let Some(server) = self.servers.remove(&connection) {
            if let Some(idle) = self.by_server.get_mut(&server) {
                idle.retain(|idle| idle.connection != connection);
            }
            network.abort(connection);
        }
    }

    /// Closes all idle connections to `server`.
    pub(super) fn close_all(&mut self, network: &mut Network, server: &SocketAddrV4) {
        for idle in self.by_server.remove(server).unwrap_or_default() {
            self.servers.remove(&idle.connection);
            network.abort(idle.connection);
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(super) fn close_expired(&mut self, network: &mut Network, now: u64) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL_MS;
        let mut expired = Vec::new();
        for idle in self.by_server.values_mut() {
            let is_expired = |idle: &IdleConnection| idle.until <= now;
            expired.extend(idle.iter().filter(|idle| is_expired(idle)).map(|idle| idle.connection));
            idle.retain(|idle| !is_expired(idle));
        }
        for connection in expired {
            self.servers.remove(&connection);
            network.abort(connection);
        }
    }
}

/// Whether a connection is open and has nothing pending in either direction: neither unread bytes that belong to no
/// request, nor the unsent rest of a request that was responded to early.
fn is_quiescent(network: &Network, connection: ConnectionId) -> bool {
    network.is_open(connection)
        && network.inbox(connection).is_empty()
        && network.queued_bytes(connection) == 0
}

/// Returns how long a connection is kept alive after this response, in milliseconds.
pub fn keep_alive_ms(head: &ResponseHead) -> u64 {
    stated_keep_alive_ms(head).unwrap_or(DEFAULT_IDLE_MS)
}

/// Returns the keep-alive timeout that the response states, less the safety margin, in milliseconds.
pub(super) fn stated_keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let parts = head.headers.get("keep-alive")?.split(',');
    let seconds = parts.filter_map(|part| part.trim().strip_prefix("timeout=")).next()?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(TimeLimit::from_seconds(seconds as f64).as_millis().saturating_sub(IDLE_MARGIN_MS))
}
