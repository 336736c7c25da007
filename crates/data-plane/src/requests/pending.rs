//! One pending request: its attempts, its timers, and the part of the response that was sent to its client.

use std::collections::HashMap;
use std::sync::Arc;

use orchidvalve_configuration::{Route, RouteTable, RouteType};
use orchidvalve_http::{Request, ResponseHead};

use super::forwarded_stream::ForwardedStream;
use super::messages::RequestAttemptId;
use crate::attempts::{AttemptPermit, AttemptTracker, Idempotency, NeverExecuted, NotExecuted};
use crate::authentication::Authenticated;
use crate::balancer::ServerKey;

/// Deadline of a request that states none, in milliseconds.
pub(super) const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// How an attempt counts against the route's `max-attempts`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AttemptKind {
    /// As one, unless no connection to the server could be established.
    Counted,
    /// Not at all: it replaces an attempt whose reused connection the server had closed (a transparent retry).
    TransparentRetry,
}

/// An attempt in flight at one server.
#[derive(Debug)]
pub(super) struct Attempt {
    pub server: ServerKey,
    pub kind: AttemptKind,
    pub started_at: u64,
    /// Head of the response, once received.
    pub head: Option<ResponseHead>,
    /// Body of a response that isn't streamed, as far as received.
    pub body: Vec<u8>,
    /// Whether it has surely begun at its server.
    pub has_begun: bool,
}

/// The route and service of a request.
#[derive(Debug)]
pub(super) struct Destination {
    pub routes: Arc<RouteTable>,
    /// Index of the route.
    pub route: usize,
    /// Index of the service that was picked.
    pub service: usize,
}

impl Destination {
    pub fn route(&self) -> &Route {
        &self.routes.routes()[self.route]
    }

    pub fn service(&self) -> &str {
        self.routes.services()[self.service].name.as_str()
    }
}

/// Status, headers and body of a server's response.
#[derive(Debug)]
pub(super) struct ServerResponse {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: Arc<Request>,
    pub destination: Destination,
    /// Whose it is, by the configuration that its destination is from.
    pub caller: Authenticated,
    pub received_at: u64,
    pub deadline: u64,
    attempts: HashMap<RequestAttemptId, Attempt>,
    tracker: AttemptTracker,
    pub attempted_servers: Vec<ServerKey>,
    /// Attempts that count against the route's `max-attempts`.
    counted_attempts: u32,
    /// Whether it has had its one transparent retry.
    pub transparently_retried: bool,
    /// The response that is being forwarded as a stream.
    pub stream: Option<ForwardedStream>,
    pub retry_at: Option<u64>,
    pub hedge_at: Option<u64>,
    /// The last response with a failure status, forwarded if no later attempt succeeds.
    pub last_failure: Option<ServerResponse>,
    /// Whether an attempt has surely begun at a server.
    pub has_begun: bool,
    /// When the first attempt was sent that has ended without showing whether it ran.
    pub may_have_begun_at: Option<u64>,
}

impl PendingRequest {
    pub fn new(
        request: Request,
        destination: Destination,
        caller: Authenticated,
        received_at: u64,
        deadline: u64,
    ) -> PendingRequest {
        let is_idempotent = destination.route().is_repeatable();
        let idempotency = if is_idempotent { Idempotency::Idempotent } else { Idempotency::AtMostOnce };
        PendingRequest {
            request: Arc::new(request),
            destination,
            caller,
            received_at,
            deadline,
            attempts: HashMap::new(),
            tracker: AttemptTracker::new(idempotency),
            attempted_servers: Vec::new(),
            counted_attempts: 0,
            transparently_retried: false,
            stream: None,
            retry_at: None,
            hedge_at: None,
            last_failure: None,
            has_begun: false,
            may_have_begun_at: None,
        }
    }

    pub fn route(&self) -> &Route {
        self.destination.route()
    }

    pub fn service(&self) -> &str {
        self.destination.service()
    }

    /// Latency target of the route, in milliseconds.
    pub fn latency_target_ms(&self) -> u64 {
        self.route().target_latency_ms.unwrap_or(DEFAULT_DEADLINE_MS)
    }

    /// Begins an attempt at `server`; None where the request isn't idempotent and may have run.
    pub fn begin_attempt(
        &mut self,
        attempt: RequestAttemptId,
        server: ServerKey,
        kind: AttemptKind,
        now: u64,
    ) -> Option<AttemptPermit> {
        let permit = self.tracker.begin()?;
        if !self.attempted_servers.contains(&server) {
            self.attempted_servers.push(server);
        }
        self.counted_attempts += u32::from(kind == AttemptKind::Counted);
        let begun = Attempt { server, kind, started_at: now, head: None, body: Vec::new(), has_begun: false };
        self.attempts.insert(attempt, begun);
        Some(permit)
    }

    /// An attempt is over.
    pub fn end_attempt(&mut self, attempt: RequestAttemptId, proof: Option<NotExecuted>) -> Option<Attempt> {
        let ended = self.attempts.remove(&attempt)?;
        self.tracker.end(proof);
        Some(ended)
    }

    /// An attempt has ended without a connection to its server: it no longer counts.
    pub fn uncount(&mut self, ended: &Attempt) {
        self.counted_attempts -= u32::from(ended.kind == AttemptKind::Counted);
    }

    pub fn attempt(&self, attempt: RequestAttemptId) -> Option<&Attempt> {
        self.attempts.get(&attempt)
    }

    pub fn attempt_mut(&mut self, attempt: RequestAttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&attempt)
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// When the oldest attempt in flight was sent.
    pub fn earliest_sent_at(&self) -> Option<u64> {
        self.attempts.values().map(|attempt| attempt.started_at).min()
    }

    /// Servers at which attempts are in flight.
    pub fn servers_in_flight(&self) -> Vec<ServerKey> {
        self.attempts.values().map(|attempt| attempt.server).collect()
    }

    /// Ends the request; returns the attempts that have to be cancelled.
    pub fn into_attempts_in_flight(self) -> impl Iterator<Item = RequestAttemptId> {
        self.attempts.into_keys()
    }

    /// Proof that it has not run and never will.
    pub fn never_executed(&self) -> Option<NeverExecuted> {
        self.tracker.never_executed()
    }

    /// Whether it may be attempted again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.tracker.is_idempotent()
    }

    /// Whether an attempt may be hedged. Streams aren't: a second attempt would repeat the prefill of the whole prompt.
    pub fn may_be_hedged(&self) -> bool {
        self.route().route_type == RouteType::Idempotent && self.has_attempts_left()
    }

    pub fn has_attempts_left(&self) -> bool {
        self.counted_attempts < self.route().max_attempts.max(1)
    }

    /// Whether a part of the response was sent to the client.
    pub fn has_started(&self) -> bool {
        self.stream.as_ref().is_some_and(ForwardedStream::has_started)
    }

    /// Whether an attempt whose stream ended without framing may have left out events that another one could add.
    pub fn may_be_unfinished(&self, attempt: RequestAttemptId) -> bool {
        let stream = self.stream.as_ref().filter(|stream| stream.attempt == attempt);
        stream.is_some_and(|stream| stream.has_added_events() && stream.ends_between_events())
            && self.has_attempts_left()
    }

    /// The earliest of its timers.
    pub fn next_due(&self) -> u64 {
        let retry = self.retry_at.unwrap_or(u64::MAX);
        self.deadline.min(retry).min(self.hedge_at.unwrap_or(u64::MAX))
    }
}
