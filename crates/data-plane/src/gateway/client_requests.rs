//! Requests of clients and the responses to them, and readiness checks.

use std::sync::Arc;

use orchidvalve_configuration::RouteType;
use orchidvalve_http::{MessageLimits, Request, write_response};
use orchidvalve_net::ConnectionId;

use super::Gateway;
use super::upstream_io::RequestMetadata;
use crate::admission::{AdmissionError, ConfigurationAge, admit_request};
use crate::batch_calls::{ITEMS_PREFIX, JOBS_PREFIX};
use crate::clients::{Busy, ReadOutcome, malformed_status, readiness_idle_timeout_ms};
use crate::exchanges::{Purpose, request_bytes};
use crate::requests::{RETRY_AFTER, ReceivedRequest, RequestCommand, RequestId, Response};
use crate::startup_queue::QueuedRequest;
use crate::upstream::Failure;

/// Size limits of requests on the readiness listener.
const READINESS_LIMITS: MessageLimits = MessageLimits { header_bytes: 8 << 10, body_bytes: 1 << 10 };
/// Size limits of clients' requests while there is no configuration.
const DEFAULT_LIMITS: MessageLimits = MessageLimits { header_bytes: 16 << 10, body_bytes: 32 << 20 };
/// Idle timeout of client connections while there is no configuration, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// Timeout for the head of a request while there is no configuration, in milliseconds.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3_000;

impl Gateway {
    /// Returns the size limits of clients' requests.
    fn limits(&self) -> MessageLimits {
        match &self.routes {
            Some(routes) => MessageLimits {
                header_bytes: routes.limits().max_header_bytes as usize,
                body_bytes: routes.limits().max_body_bytes as usize,
            },
            None => DEFAULT_LIMITS,
        }
    }

    /// Reads the bytes that have arrived from a client and begins its next request. Continues while requests get their
    /// responses at once.
    pub(super) fn client_data(&mut self, connection: ConnectionId) {
        let limits = self.limits();
        loop {
            match self.frontend.clients.read(&mut self.network, connection, &limits, self.now) {
                ReadOutcome::Incomplete => return,
                ReadOutcome::Request(request) => self.begin_request(connection, request),
                ReadOutcome::Malformed(error) => {
                    let (status, body) = (malformed_status(error, self.routes.is_some()), error.to_string());
                    self.respond(connection, status, &[], body.as_bytes());
                    return;
                }
            }
        }
    }

    /// Sends a client a response that was produced by the gateway or a store node.
    pub(super) fn respond(
        &mut self,
        connection: ConnectionId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        self.local_responses.record(self.now, status);
        self.frontend.clients.respond(&mut self.network, connection, status, headers, body, self.now);
    }

    /// Begins a request that was completely received. The paths of calls about batch jobs are fixed; all other paths
    /// are looked up in the route table.
    fn begin_request(&mut self, connection: ConnectionId, request: Request) {
        if request.path().starts_with(JOBS_PREFIX) || request.path().starts_with(ITEMS_PREFIX) {
            self.begin_job_call(connection, request);
            return;
        }
        if !self.is_configured() {
            self.queue_until_ready(connection, request);
            return;
        }
        self.begin_routed(connection, request);
    }

    /// Whether there are a configuration and a server table.
    fn is_configured(&self) -> bool {
        self.routes.is_some() && self.feed.replica().servers().version().number > 0
    }

    /// Queues a request until a configuration and a server table arrive. A gateway that is shutting down rejects it.
    pub(super) fn queue_until_ready(&mut self, connection: ConnectionId, request: Request) {
        let first_byte_at = self.frontend.clients.first_byte_at(connection).unwrap_or(self.now);
        let received = ReceivedRequest { request, first_byte_at };
        let queued = if self.shutdown_since.is_none() { self.startup_queue.push(received) } else { None };
        match queued {
            Some(id) => self.frontend.clients.assign(connection, Busy::Queued(id)),
            None => self.reject(connection),
        }
    }

    /// Rejects a request with a status that promises that it has not run.
    fn reject(&mut self, connection: ConnectionId) {
        self.respond(connection, 503, &[("Retry-After", RETRY_AFTER)], b"");
    }

    /// Begins the queued requests once there are a configuration and a server table. Rejects those that have waited for
    /// too long.
    pub(super) fn serve_startup_queue(&mut self) {
        if self.is_configured() {
            for queued in self.startup_queue.drain() {
                if let Some(connection) = self.frontend.clients.connection_of(Busy::Queued(queued.id)) {
                    self.begin_request(connection, queued.received.request);
                }
            }
        }
        let expired = self.startup_queue.drain_expired(self.now);
        self.reject_queued(expired);
    }

    /// Rejects queued requests with a status that promises that they have not run.
    pub(super) fn reject_queued(&mut self, rejected: Vec<QueuedRequest>) {
        for queued in rejected {
            if let Some(connection) = self.frontend.clients.connection_of(Busy::Queued(queued.id)) {
                self.reject(connection);
                self.frontend.responded.push(connection);
            }
        }
    }

    /// Returns whether the current configuration is up to date.
    pub(super) fn configuration_age(&self) -> ConfigurationAge {
        ConfigurationAge::of_feed(self.feed.last_message_at(), self.now)
    }

    /// Responds to a request that isn't admitted.
    pub(super) fn respond_not_admitted(&mut self, connection: ConnectionId, error: AdmissionError) {
        self.respond(connection, error.status(), error.headers(), error.body());
    }

    /// Begins a request on its route.
    fn begin_routed(&mut self, connection: ConnectionId, request: Request) {
        let Some(routes) = self.routes.clone() else {
            self.reject(connection);
            return;
        };
        let admitted = match admit_request(&request, &routes, self.configuration_age()) {
            Ok(admitted) => admitted,
            Err(error) => return self.respond_not_admitted(connection, error),
        };
        if routes.routes()[admitted.route].route_type == RouteType::RolloutControl {
            self.begin_submission(connection, &request, &routes, &admitted);
            return;
        }
        let mut commands = Vec::new();
        let first_byte_at = self.frontend.clients.first_byte_at(connection).unwrap_or(self.now);
        let received = ReceivedRequest { request, first_byte_at };
        let balancer = &self.servers.balancer;
        let id = self.requests.begin(self.now, received, &routes, admitted, balancer, &mut commands);
        self.frontend.clients.assign(connection, Busy::Request(id));
        self.run_request_commands(commands);
    }

    /// Executes commands of the requests, and the commands that result from them.
    pub(super) fn run_request_commands(&mut self, commands: Vec<RequestCommand>) {
        let mut commands = commands;
        while !commands.is_empty() {
            let mut next = Vec::new();
            for command in commands {
                self.run_request_command(command, &mut next);
            }
            commands = next;
        }
    }

    fn run_request_command(&mut self, command: RequestCommand, next: &mut Vec<RequestCommand>) {
        match command {
            RequestCommand::Attempt { attempt, request, server, deadline_ms, last_event_id, permit } => {
                let Some(caller) = self.requests.caller(request).cloned() else { return };
                let Some(request) = self.requests.request(request).map(Arc::clone) else { return };
                let metadata = RequestMetadata {
                    method: request.method.as_str(),
                    attempt_id: request.headers.get("attempt-id"),
                    idempotency: permit.idempotency(),
                };
                let sent = self.begin_exchange(server, Purpose::Request(attempt), metadata, |instance| {
                    request_bytes(&request, &caller, instance, deadline_ms, last_event_id)
                });
                if !sent {
                    let balancer = &mut self.servers.balancer;
                    self.requests.attempt_failed(self.now, attempt, Failure::Connect, balancer, next);
                }
            }
            RequestCommand::Cancel { attempt } => {
                if let Some(exchange) = self.servers.exchanges.of_request(attempt) {
                    self.cancel_exchange(exchange);
                }
            }
            RequestCommand::Respond { request, response } => self.respond_to_request(request, &response),
            RequestCommand::BeginStream { request, head } => {
                if let Some(connection) = self.client_of(request) {
                    self.frontend.clients.begin_stream(&mut self.network, connection, &head);
                }
            }
            RequestCommand::StreamChunk { request, bytes } => {
                if let Some(connection) = self.client_of(request) {
                    self.frontend.clients.write_stream_chunk(&mut self.network, connection, &bytes);
                }
            }
            RequestCommand::EndStream { request } => {
                if let Some(connection) = self.client_of(request) {
                    self.frontend.clients.end_stream(&mut self.network, connection, self.now);
                    self.frontend.responded.push(connection);
                }
            }
            RequestCommand::AbortStream { request } => {
                if let Some(connection) = self.client_of(request) {
                    self.frontend.clients.abort_stream(&mut self.network, connection);
                }
            }
        }
    }

    /// Returns the connection of the client that waits for the response to a request, or `None` if it has disconnected.
    fn client_of(&self, request: RequestId) -> Option<ConnectionId> {
        self.frontend.clients.connection_of(Busy::Request(request))
    }

    /// Sends the client of a request its final response.
    fn respond_to_request(&mut self, request: RequestId, response: &Response) {
        let Some(connection) = self.client_of(request) else { return };
        match response {
            Response::Server { head, body } => {
                self.frontend.clients.forward_response(&mut self.network, connection, head, body, self.now);
            }
            Response::NeverExecuted(_) => self.reject(connection),
            Response::OutcomeUnknown { status } => self.respond(connection, *status, &[], b""),
        }
        self.frontend.responded.push(connection);
    }

    /// Handles the end of a client's connection: its pending request or call is cancelled.
    pub(super) fn client_disconnected(&mut self, connection: ConnectionId) {
        match self.frontend.clients.closed(connection) {
            Some(Busy::Request(id)) => {
                let mut commands = Vec::new();
                self.requests.client_disconnected(id, &mut commands);
                self.run_request_commands(commands);
            }
            Some(Busy::Queued(id)) => self.startup_queue.remove(id),
            Some(Busy::Job(call)) => self.calls.remove(call),
            None => {}
        }
        self.network.abort(connection);
    }

    /// Reads the bytes that have arrived from the platform and responds to its readiness checks.
    pub(super) fn readiness_data(&mut self, connection: ConnectionId) {
        loop {
            match self.frontend.readiness.read(&mut self.network, connection, &READINESS_LIMITS, self.now) {
                ReadOutcome::Incomplete => return,
                ReadOutcome::Request(request) => {
                    let status = match request.path() {
                        "/v1/readiness" if self.is_ready() => 200,
                        "/v1/readiness" => 503,
                        _ => 404,
                    };
                    self.frontend.readiness.respond(
                        &mut self.network,
                        connection,
                        status,
                        &[],
                        b"",
                        self.now,
                    );
                }
                ReadOutcome::Malformed(error) => {
                    if let Some(outbox) = self.network.outbox(connection) {
                        write_response(outbox, error.status(), &[], b"", true);
                    }
                    self.frontend.readiness.closed(connection);
                    self.network.finish(connection);
                    return;
                }
            }
        }
    }

    /// Whether the gateway is ready: it has a configuration and a server table and isn't shutting down.
    fn is_ready(&self) -> bool {
        self.shutdown_since.is_none() && self.is_configured()
    }

    /// Closes connections that have been idle, or whose request has been incomplete, for too long.
    pub(super) fn close_expired_clients(&mut self) {
        let (idle_ms, header_ms) = match &self.routes {
            Some(routes) => {
                let limits = routes.limits();
                (limits.idle_timeout.as_millis(), limits.header_timeout.as_millis())
            }
            None => (DEFAULT_IDLE_TIMEOUT_MS, DEFAULT_HEADER_TIMEOUT_MS),
        };
        self.frontend.clients.close_expired(&mut self.network, self.now, idle_ms, header_ms);
        let readiness_idle_ms = readiness_idle_timeout_ms(idle_ms);
        self.frontend.readiness.close_expired(&mut self.network, self.now, readiness_idle_ms, header_ms);
    }
}
