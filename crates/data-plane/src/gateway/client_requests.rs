//! Requests of clients and the responses to them; readiness.

use std::sync::Arc;

use orchidvalve_configuration::RouteType;
use orchidvalve_http::{MessageLimits, Request, write_response};
use orchidvalve_net::ConnectionId;

use super::Gateway;
use super::upstream_io::Envelope;
use crate::admission::{ConfigurationAge, Refusal, admit_request};
use crate::batch_calls::{ITEMS_PREFIX, JOBS_PREFIX};
use crate::clients::{Busy, ReadOutcome, malformed_status, readiness_idle_timeout_ms};
use crate::exchanges::{Purpose, request_bytes};
use crate::requests::{RETRY_AFTER, ReceivedRequest, RequestCommand, RequestId, Response};
use crate::startup_queue::QueuedRequest;
use crate::upstream::Failure;

/// Bounds of requests on the readiness listener.
const READINESS_LIMITS: MessageLimits = MessageLimits { header_bytes: 8 << 10, body_bytes: 1 << 10 };
/// Bounds of clients' requests as long as there is no configuration to say them.
const DEFAULT_LIMITS: MessageLimits = MessageLimits { header_bytes: 16 << 10, body_bytes: 32 << 20 };
/// Time after which an idle connection is closed as long as there is no configuration, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;
/// Time for the head of a request as long as there is no configuration, in milliseconds.
const DEFAULT_HEADER_TIMEOUT_MS: u64 = 3_000;

impl Gateway {
    /// Bounds of clients' requests.
    fn limits(&self) -> MessageLimits {
        match &self.routes {
            Some(routes) => MessageLimits {
                header_bytes: routes.limits().max_header_bytes as usize,
                body_bytes: routes.limits().max_body_bytes as usize,
            },
            None => DEFAULT_LIMITS,
        }
    }

    /// Bytes arrived from a client: begins the next request, or several that are answered at once.
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

    /// Writes a client a response of the gateway's own or of a store.
    pub(super) fn respond(
        &mut self,
        connection: ConnectionId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        self.own_answers.record(self.now, status);
        self.frontend.clients.respond(&mut self.network, connection, status, headers, body, self.now);
    }

    /// Begins a request that was completely received. Paths of batch jobs are fixed; all others are looked up in the
    /// route table.
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

    /// Whether there is a configuration, and a table of servers to go with it.
    fn is_configured(&self) -> bool {
        self.routes.is_some() && self.feed.replica().servers().version().number > 0
    }

    /// Queues a request until there are a configuration and servers, which are on their way; a gateway that is shutting
    /// down rejects it.
    pub(super) fn queue_until_ready(&mut self, connection: ConnectionId, request: Request) {
        let first_byte_at = self.frontend.clients.first_byte_at(connection).unwrap_or(self.now);
        let received = ReceivedRequest { request, first_byte_at };
        let queued = if self.shutdown_since.is_none() { self.startup_queue.push(received) } else { None };
        match queued {
            Some(id) => self.frontend.clients.assign(connection, Busy::Queued(id)),
            None => self.reject(connection),
        }
    }

    /// Rejects a request, with the promise that it hasn't run.
    fn reject(&mut self, connection: ConnectionId) {
        self.respond(connection, 503, &[("Retry-After", RETRY_AFTER)], b"");
    }

    /// Queued requests go on once what they need is known; those that have waited for too long are rejected.
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

    /// Queued requests are answered with the promise that they haven't run.
    pub(super) fn reject_queued(&mut self, rejected: Vec<QueuedRequest>) {
        for queued in rejected {
            if let Some(connection) = self.frontend.clients.connection_of(Busy::Queued(queued.id)) {
                self.reject(connection);
                self.frontend.responded.push(connection);
            }
        }
    }

    /// How the configuration in force stands to the newest one.
    pub(super) fn configuration_age(&self) -> ConfigurationAge {
        ConfigurationAge::of_feed(self.feed.last_message_at(), self.now)
    }

    /// Answers a request that isn't admitted.
    pub(super) fn refuse(&mut self, connection: ConnectionId, refusal: Refusal) {
        self.respond(connection, refusal.status(), refusal.headers(), refusal.body());
    }

    /// Begins a request by its route.
    fn begin_routed(&mut self, connection: ConnectionId, request: Request) {
        let Some(routes) = self.routes.clone() else {
            self.reject(connection);
            return;
        };
        let admitted = match admit_request(&request, &routes, self.configuration_age()) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(connection, refusal),
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

    /// Executes commands of the requests, and those that these cause in turn.
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
                let envelope = Envelope {
                    method: request.method.as_str(),
                    attempt_id: request.headers.get("attempt-id"),
                    idempotency: permit.idempotency(),
                };
                let sent = self.begin_exchange(server, Purpose::Request(attempt), envelope, |instance| {
                    request_bytes(&request, &caller, instance, deadline_ms, last_event_id)
                });
                if !sent {
                    let balancer = &mut self.servers.balancer;
                    self.requests.attempt_failed(self.now, attempt, Failure::Connect, balancer, next);
                }
            }
            RequestCommand::Cancel { attempt } => {
                if let Some(exchange) = self.servers.exchanges.of_request(attempt) {
                    self.drop_exchange(exchange);
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

    /// The connection of the client that waits for the response to a request; None if the client has disconnected.
    fn client_of(&self, request: RequestId) -> Option<ConnectionId> {
        self.frontend.clients.connection_of(Busy::Request(request))
    }

    /// Writes the client of a request its final response.
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

    /// A client's connection has ended: what it waited for is cancelled.
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

    /// Bytes arrived from the platform: answers its readiness checks.
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

    /// Ready while it has a configuration and servers and isn't shutting down.
    fn is_ready(&self) -> bool {
        self.shutdown_since.is_none() && self.is_configured()
    }

    /// Closes connections that were idle, or whose request was being received, for too long.
    pub(super) fn close_expired_clients(&mut self) {
        let (idle_ms, header_ms) = match &self.routes {
            Some(routes) => (routes.limits().idle_timeout_ms, routes.limits().header_timeout_ms),
            None => (DEFAULT_IDLE_TIMEOUT_MS, DEFAULT_HEADER_TIMEOUT_MS),
        };
        self.frontend.clients.close_expired(&mut self.network, self.now, idle_ms, header_ms);
        let readiness_idle_ms = readiness_idle_timeout_ms(idle_ms);
        self.frontend.readiness.close_expired(&mut self.network, self.now, readiness_idle_ms, header_ms);
    }
}
