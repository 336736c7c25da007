//! Client connections: requests are read one at a time and responded to in order (RFC 9112, section 9.3.2).

use std::collections::HashMap;

use orchidvalve_http::{
    HttpError, MessageLimits, Request, RequestReader, ResponseHead, write_chunk, write_head_end,
    write_header, write_last_chunk, write_number_header, write_response, write_status_line,
};
use orchidvalve_net::{ConnectionId, Network};

use crate::batch_calls::CallId;
use crate::requests::RequestId;
use crate::response_class::forwarded_headers;
use crate::startup_queue::QueuedId;

/// The time after which a written response is assumed to have reached its client, in milliseconds.
const RESPONSE_DELIVERY_MS: u64 = 200;
/// The interval between two sweeps for connections that have timed out, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;

/// The minimum idle timeout of connections for the platform's readiness checks, in milliseconds. It is many times the
/// platform's check interval of one second: a connection closed just when the next check arrives would make that check
/// fail.
const MIN_READINESS_IDLE_TIMEOUT_MS: u64 = 10_000;

/// Returns the idle timeout of connections for the platform's readiness checks in milliseconds, given that of clients.
pub fn readiness_idle_timeout_ms(client_idle_ms: u64) -> u64 {
    client_idle_ms.max(MIN_READINESS_IDLE_TIMEOUT_MS)
}

/// The work that a client's connection is busy with.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Busy {
    /// A request that waits for a configuration and a server table.
    Queued(QueuedId),
    /// A request that is forwarded to servers.
    Request(RequestId),
    /// A call about a batch job.
    Job(CallId),
}

#[derive(Debug)]
struct Client {
    reader: RequestReader,
    busy: Option<Busy>,
    keep_alive: bool,
    head_request: bool,
    attempt_id: Option<String>,
    /// Whether part of the next request was received.
    receiving: bool,
    /// When the connection became idle, or when the first byte of the request being received arrived.
    waiting_since: u64,
    /// When the first byte of the last complete request was received.
    first_byte_at: u64,
    /// When the last response was written.
    responded_at: Option<u64>,
}

impl Client {
    /// Whether the connection closes after its next response.
    fn closes_after_response(&self, draining: bool) -> bool {
        !self.keep_alive || draining
    }

    /// Whether enough time has passed for the client to have received its last response, if there was one.
    fn has_received_response(&self, now: u64) -> bool {
        self.responded_at.is_none_or(|at| now >= at + RESPONSE_DELIVERY_MS)
    }
}

/// All client connections.
#[derive(Default, Debug)]
pub struct Clients {
    clients: HashMap<ConnectionId, Client>,
    by_work: HashMap<Busy, ConnectionId>,
    /// Whether the gateway is shutting down gracefully: connections close after their next response.
    draining: bool,
    /// Connections that were closed while draining and may still have response bytes to send.
    closing: Vec<ConnectionId>,
    next_sweep_at: u64,
}

/// The result of reading from a client's connection.
#[derive(Debug)]
pub enum ReadOutcome {
    /// A complete request.
    Request(Request),
    /// The bytes are not an acceptable request: the error response ends the connection.
    Malformed(HttpError),
    /// No complete request is available.
    Incomplete,
}

/// Whether the bytes contain the beginning of a request. Empty lines before a request don't count.
fn begins_request(bytes: &[u8]) -> bool {
    !bytes.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
}

/// Returns the status of the response to a malformed request. A gateway without a configuration doesn't know the size
/// limits, so for a message that is too long it responds with 503.
pub fn malformed_status(error: HttpError, knows_limits: bool) -> u16 {
    match error {
        HttpError::HeaderTooLong | HttpError::BodyTooLong if !knows_limits => 503,
        _ => error.status(),
    }
}

/// Writes the head of a server's response without its framing. `close` announces that the connection ends afterwards.
fn write_forwarded_head(outbox: &mut Vec<u8>, head: &ResponseHead, close: bool) {
    write_status_line(outbox, head.status);
    for (name, value) in forwarded_headers(&head.headers) {
        write_header(outbox, name, value);
    }
    if close {
        write_header(outbox, "Connection", "close");
    }
}

impl Clients {
    /// Adds the connection of a client.
    pub fn accepted(&mut self, connection: ConnectionId, now: u64) {
        let client = Client {
            reader: RequestReader::default(),
            busy: None,
            keep_alive: true,
            head_request: false,
            attempt_id: None,
            receiving: false,
            waiting_since: now,
            first_byte_at: now,
            responded_at: None,
        };
        self.clients.insert(connection, client);
    }

    /// Whether the connection belongs to a client.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.clients.contains_key(&connection)
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Starts draining: idle connections are closed now, all others after their next response.
    pub fn begin_draining(&mut self, network: &mut Network, now: u64) {
        self.draining = true;
        let idle: Vec<ConnectionId> =
            self.clients.iter().filter(|(_, client)| client.busy.is_none()).map(|(id, _)| *id).collect();
        for connection in idle {
            let client = &self.clients[&connection];
            if !client.reader.is_mid_request() && network.inbox(connection).is_empty() {
                self.close_idle(network, connection, now);
            }
        }
    }

    /// Closes an idle connection.
    ///
    /// The client's next request may already be on its way and must not be read any more, as the client may repeat a
    /// request that isn't idempotent only if this process hasn't read it. The connection is therefore reset. If its
    /// last response may still be in transit, it is closed in order instead, as a reset would discard that response.
    fn close_idle(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        let Some(client) = self.clients.remove(&connection) else { return };
        if client.has_received_response(now) && network.queued_bytes(connection) == 0 {
            network.abort(connection);
        } else {
            network.finish(connection);
        }
    }

    /// Whether part of a request was received on any connection.
    pub fn is_receiving(&self) -> bool {
        self.clients.values().any(|client| client.receiving)
    }

    /// Whether the operating system has accepted all bytes written since [`Clients::begin_draining`].
    pub fn is_flushed(&mut self, network: &Network) -> bool {
        self.closing.retain(|connection| network.queued_bytes(*connection) > 0);
        self.closing.is_empty()
            && self.clients.keys().all(|connection| network.queued_bytes(*connection) == 0)
    }

    /// Reads the next request of a connection that isn't busy.
    pub fn read(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        limits: &MessageLimits,
        now: u64,
    ) -> ReadOutcome {
        let Some(client) = self.clients.get_mut(&connection).filter(|client| client.busy.is_none()) else {
            return ReadOutcome::Incomplete;
        };
        match client.reader.read(network.inbox(connection), limits) {
            Ok(read) => {
                network.consume(connection, read.consumed);
                let Some(request) = read.request else {
                    let receiving =
                        client.reader.is_mid_request() || begins_request(network.inbox(connection));
                    if receiving && !client.receiving {
                        client.receiving = true;
                        client.waiting_since = now;
                    }
                    return ReadOutcome::Incomplete;
                };
                client.first_byte_at = if client.receiving { client.waiting_since } else { now };
                client.receiving = false;
                client.keep_alive = request.keep_alive;
                client.head_request = request.method == "HEAD";
                client.attempt_id = request.headers.get("attempt-id").map(str::to_owned);
                ReadOutcome::Request(request)
            }
            Err(error) => {
                client.keep_alive = false;
                client.head_request = false;
                client.attempt_id = None;
                ReadOutcome::Malformed(error)
            }
        }
    }

    /// Returns when this process received the first byte of the last complete request.
    pub fn first_byte_at(&self, connection: ConnectionId) -> Option<u64> {
        self.clients.get(&connection).map(|client| client.first_byte_at)
    }

    /// Marks the connection as busy with this work until its response is written.
    pub fn assign(&mut self, connection: ConnectionId, busy: Busy) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.busy = Some(busy);
            self.by_work.insert(busy, connection);
        }
    }

    /// Returns the connection that is busy with this work.
    pub fn connection_of(&self, busy: Busy) -> Option<ConnectionId> {
        self.by_work.get(&busy).copied()
    }

    /// Removes a connection that has ended. Returns the work it was busy with.
    pub fn closed(&mut self, connection: ConnectionId) -> Option<Busy> {
        let busy = self.clients.remove(&connection)?.busy?;
        self.by_work.remove(&busy);
        Some(busy)
    }

    fn release(&mut self, connection: ConnectionId, now: u64) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.waiting_since = now;
            client.responded_at = Some(now);
            if let Some(busy) = client.busy.take() {
                self.by_work.remove(&busy);
            }
        }
    }

    /// Writes a complete response that was produced by the gateway or a store node.
    pub fn respond(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        now: u64,
    ) {
        let Some(client) = self.clients.get(&connection) else { return };
        let close = client.closes_after_response(self.draining);
        let mut all: Vec<(&str, &str)> = Vec::with_capacity(headers.len() + 1);
        if let Some(attempt_id) = &client.attempt_id {
            all.push(("Attempt-Id", attempt_id));
        }
        all.extend_from_slice(headers);
        if let Some(outbox) = network.outbox(connection) {
            // A response to HEAD has no body.
            let body = if client.head_request { b"" } else { body };
            write_response(outbox, status, &all, body, close);
        }
        self.finish_response(network, connection, close, now);
    }

    /// Forwards a server's complete response unchanged.
    pub fn forward_response(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        head: &ResponseHead,
        body: &[u8],
        now: u64,
    ) {
        let Some(client) = self.clients.get(&connection) else { return };
        let close = client.closes_after_response(self.draining);
        let without_body = client.head_request || matches!(head.status, 204 | 304);
        if let Some(outbox) = network.outbox(connection) {
            write_forwarded_head(outbox, head, close);
            if !without_body {
                write_number_header(outbox, "Content-Length", body.len() as u64);
            }
            write_head_end(outbox);
            if !without_body {
                outbox.extend_from_slice(body);
            }
        }
        self.finish_response(network, connection, close, now);
    }

    fn finish_response(&mut self, network: &mut Network, connection: ConnectionId, close: bool, now: u64) {
        self.release(connection, now);
        if close {
            self.clients.remove(&connection);
            network.finish(connection);
            if self.draining {
                self.closing.push(connection);
            }
        }
    }

    /// Begins a streamed response.
    pub fn begin_stream(&mut self, network: &mut Network, connection: ConnectionId, head: &ResponseHead) {
        let Some(client) = self.clients.get(&connection) else { return };
        let close = client.closes_after_response(self.draining);
        if let Some(outbox) = network.outbox(connection) {
            write_forwarded_head(outbox, head, close);
            if !client.head_request {
                write_header(outbox, "Transfer-Encoding", "chunked");
            }
            write_head_end(outbox);
        }
    }

    /// Writes a chunk of a streamed response.
    pub fn write_stream_chunk(&mut self, network: &mut Network, connection: ConnectionId, bytes: &[u8]) {
        let has_body = self.clients.get(&connection).is_some_and(|client| !client.head_request);
        if let Some(outbox) = network.outbox(connection).filter(|_| has_body) {
            write_chunk(outbox, bytes);
        }
    }

    /// Ends a streamed response that is complete.
    pub fn end_stream(&mut self, network: &mut Network, connection: ConnectionId, now: u64) {
        let Some(client) = self.clients.get(&connection) else { return };
        let close = client.closes_after_response(self.draining);
        if let Some(outbox) = network.outbox(connection).filter(|_| !client.head_request) {
            write_last_chunk(outbox);
        }
        self.finish_response(network, connection, close, now);
    }

    /// Closes the connection of a streamed response that cannot be completed, so that it doesn't look complete.
    pub fn abort_stream(&mut self, network: &mut Network, connection: ConnectionId) {
        self.closed(connection);
        network.flush();
        network.abort(connection);
    }

    /// Closes connections that have been idle, or whose request has been incomplete, for too long. Returns them.
    pub fn close_expired(
        &mut self,
        network: &mut Network,
        now: u64,
        idle_ms: u64,
        header_ms: u64,
    ) -> Vec<ConnectionId> {
        let mut expired = Vec::new();
        if now < self.next_sweep_at {
            return expired;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL_MS;
        for (connection, client) in &self.clients {
            if client.busy.is_some() {
                continue;
            }
            let limit = match (client.receiving, client.reader.is_mid_request()) {
                (true, false) => header_ms,
                (true, true) => header_ms.max(idle_ms),
                (false, _) => idle_ms,
            };
            if now >= client.waiting_since + limit {
                expired.push(*connection);
            }
        }
        for connection in &expired {
            if self.clients.get(connection).is_some_and(|client| client.receiving) {
                self.clients.remove(connection);
                network.finish(*connection);
            } else {
                self.close_idle(network, *connection, now);
            }
        }
        expired
    }
}
