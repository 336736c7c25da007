//! Exchanges with servers: sends requests, and dispatches the events of responses to the request, generation or reward
//! call that is the purpose of the exchange.

use orchidvalve_http::ResponseHead;

use super::Gateway;
use crate::attempts::Idempotency;
use crate::balancer::ServerKey;
use crate::exchanges::{Purpose, closed_stream_outcome, reward_outcome, stream_outcome, weight_version};
use crate::generations::{AttemptOutcome, RewardOutcome, RunnerCommand};
use crate::requests::RequestCommand;
use crate::response_class::is_signed;
use crate::upstream::{ExchangeId, Failure, OutboundRequest, UpstreamEvent};

/// The properties of a request to a server, without its bytes.
pub(super) struct RequestMetadata<'a> {
    pub method: &'a str,
    /// The `Attempt-Id`, if the request has one.
    pub attempt_id: Option<&'a str>,
    pub idempotency: Idempotency,
}

/// How the end of a response is recognized.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// By its length or its last chunk.
    Complete,
    /// By the end of its connection only.
    None,
}

/// The commands that result from events of exchanges.
#[derive(Default)]
struct EventCommands {
    generations: Vec<RunnerCommand>,
    requests: Vec<RequestCommand>,
}

impl Gateway {
    /// Sends a request to a server. `bytes` encodes it for the server's instance id. Returns false if nothing was sent
    /// because the server is no longer listed or no connection could be started.
    pub(super) fn begin_exchange(
        &mut self,
        server: ServerKey,
        purpose: Purpose,
        metadata: RequestMetadata<'_>,
        bytes: impl FnOnce(&str) -> Vec<u8>,
    ) -> bool {
        let Some(target) = self.servers.balancer.get(server) else { return false };
        let RequestMetadata { method, attempt_id, idempotency } = metadata;
        let outbound =
            OutboundRequest { method, attempt_id, bytes: &bytes(&target.entry.instance), idempotency };
        let Some(exchange) =
            self.servers.connections.send(&mut self.network, target.address, &outbound, self.now)
        else {
            return false;
        };
        self.servers.balancer.begin_exchange(server);
        self.servers.exchanges.insert(exchange, server, purpose);
        true
    }

    /// Cancels an exchange. No further events of it are received.
    pub(super) fn cancel_exchange(&mut self, exchange: ExchangeId) {
        self.servers.connections.cancel(&mut self.network, exchange);
        if let Some(entry) = self.servers.exchanges.remove(exchange) {
            self.servers.balancer.end_exchange(entry.server);
        }
    }

    /// Dispatches events of exchanges by their purpose, and executes the resulting commands.
    pub(super) fn upstream_events(&mut self, events: Vec<UpstreamEvent>) {
        let mut commands = EventCommands::default();
        for event in events {
            match event {
                UpstreamEvent::Head { exchange, head } => self.head_received(exchange, head, &mut commands),
                UpstreamEvent::Body { exchange, bytes } => self.body_received(exchange, bytes, &mut commands),
                UpstreamEvent::Complete { exchange } => {
                    self.exchange_completed(exchange, Framing::Complete, &mut commands);
                }
                UpstreamEvent::Closed { exchange } => {
                    self.exchange_completed(exchange, Framing::None, &mut commands);
                }
                UpstreamEvent::Failed { exchange, failure } => {
                    self.exchange_failed(exchange, failure, &mut commands);
                }
            }
        }
        self.run_request_commands(commands.requests);
        self.run_generation_commands(commands.generations);
    }

    fn head_received(&mut self, id: ExchangeId, head: ResponseHead, commands: &mut EventCommands) {
        let Some(exchange) = self.servers.exchanges.get_mut(id) else { return };
        match &mut exchange.purpose {
            Purpose::Request(attempt) => self.requests.head_received(*attempt, head, &mut commands.requests),
            Purpose::Generation(stream) => {
                if is_signed(&head) {
                    let version = weight_version(&head);
                    self.runner.stream_started(stream.attempt, version, &mut commands.generations);
                }
                stream.head = Some(head);
            }
            Purpose::Reward { head: known, .. } => *known = Some(head),
        }
    }

    fn body_received(&mut self, id: ExchangeId, bytes: Vec<u8>, commands: &mut EventCommands) {
        let Some(exchange) = self.servers.exchanges.get_mut(id) else { return };
        match &mut exchange.purpose {
            Purpose::Request(attempt) => {
                let balancer = &mut self.servers.balancer;
                self.requests.body_received(self.now, *attempt, bytes, balancer, &mut commands.requests);
            }
            Purpose::Generation(stream) => {
                if stream.head.as_ref().is_some_and(is_signed) {
                    let (runner, now, attempt) = (&mut self.runner, self.now, stream.attempt);
                    let out = &mut commands.generations;
                    stream.events.read(&bytes, |event, _| {
                        if let Some(id) = event.id {
                            runner.event_received(now, attempt, id, &event.data, event.weight_version, out);
                        }
                    });
                }
            }
            Purpose::Reward { .. } => {}
        }
    }

    fn exchange_completed(&mut self, id: ExchangeId, framing: Framing, commands: &mut EventCommands) {
        let Some(exchange) = self.servers.exchanges.remove(id) else { return };
        self.servers.balancer.end_exchange(exchange.server);
        match exchange.purpose {
            Purpose::Request(attempt) => {
                let balancer = &mut self.servers.balancer;
                let (now, out) = (self.now, &mut commands.requests);
                match framing {
                    Framing::Complete => self.requests.attempt_completed(now, attempt, balancer, out),
                    Framing::None => self.requests.attempt_closed(now, attempt, balancer, out),
                }
            }
            Purpose::Generation(stream) => {
                let outcome = match framing {
                    Framing::Complete => stream_outcome(&stream),
                    Framing::None => closed_stream_outcome(&stream),
                };
                self.runner.attempt_ended(self.now, stream.attempt, outcome, &mut commands.generations);
            }
            Purpose::Reward { call, head } => {
                let outcome = reward_outcome(head.as_ref());
                self.runner.reward_ended(self.now, call, outcome, &mut commands.generations);
            }
        }
    }

    fn exchange_failed(&mut self, id: ExchangeId, failure: Failure, commands: &mut EventCommands) {
        let Some(exchange) = self.servers.exchanges.remove(id) else { return };
        self.servers.balancer.end_exchange(exchange.server);
        let connect_failed = failure == Failure::Connect;
        match exchange.purpose {
            Purpose::Request(attempt) => {
                let balancer = &mut self.servers.balancer;
                self.requests.attempt_failed(self.now, attempt, failure, balancer, &mut commands.requests);
            }
            Purpose::Generation(stream) => {
                let outcome =
                    if connect_failed { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Broken };
                self.runner.attempt_ended(self.now, stream.attempt, outcome, &mut commands.generations);
            }
            Purpose::Reward { call, .. } => {
                let outcome =
                    if connect_failed { RewardOutcome::ConnectFailed } else { RewardOutcome::Broken };
                self.runner.reward_ended(self.now, call, outcome, &mut commands.generations);
            }
        }
    }
}
