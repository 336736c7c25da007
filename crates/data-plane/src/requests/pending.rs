//! The state of one pending request: its attempts, its timers, and the part of the response sent to its client.

use std::collections::HashMap;
use std::sync::Arc;

use orchidvalve_configuration::{Route, RouteTable, RouteType};
use orchidvalve_http::{Request, ResponseHead};
use orchidvalve_protocol::time_limit::TimeLimit;

use super::forwarded_stream::ForwardedStream;
use super::messages::RequestAttemptId;
use crate::attempts::{AttemptPermit, AttemptTracker, Idempotency, NeverExecuted, NotExecuted};
use crate::authentication::Authenticated;
use crate::balancer::ServerKey;

/// The time allowed for a request that states no deadline.
pub(super) const DEFAULT_DEADLINE: TimeLimit = TimeLimit::from_millis(30_000);

/// How an attempt counts towards the route's `max-attempts`.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AttemptKind {
    /// Counts as one, unless no connection to the server could be established.
    Counted,
    /// Does not count: it replaces an attempt whose reused connection the server had already closed.
    TransparentRetry,
}

/// An attempt in flight at one server.
#[derive(Debug)]
pub(super) struct Attempt {
    pub server: ServerKey,
    pub kind: AttemptKind,
    pub started_at: u64,
    /// The head of the response, once received.
    pub head: Option<ResponseHead>,
    /// The part of an unstreamed response's body received so far.
    pub body: Vec<u8>,
    /// Whether the attempt has certainly started to run at its server.
    pub execution_started: bool,
}

/// The route and service of a request.
#[derive(Debug)]
pub(super) struct Destination {
    pub routes: Arc<RouteTable>,
    /// Index of the request's route in `routes`.
    pub route: usize,
    /// Index of the picked service in `routes`.
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

/// The head and body of a server's response.
#[derive(Debug)]
pub(super) struct ServerResponse {
    pub head: ResponseHead,
    pub body: Vec<u8>,
}

#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: Arc<Request>,
    pub destination: Destination,
    /// The caller of the request, authenticated by the configuration of `destination`.
    pub caller: Authenticated,
    pub received_at: u64,
    pub deadline: u64,
    attempts: HashMap<RequestAttemptId, Attempt>,
    tracker: AttemptTracker,
    pub attempted_servers: Vec<ServerKey>,
    /// The number of attempts that count towards the route's `max-attempts`.
    counted_attempts: u32,
    /// Whether the request has used its only transparent retry.
    pub transparently_retried: bool,
    /// The streamed response that is being forwarded.
    pub stream: Option<ForwardedStream>,
    pub retry_at: Option<u64>,
    pub hedge_at: Option<u64>,
    /// The last response with a failure status, which is forwarded if no later attempt succeeds.
    pub last_failure: Option<ServerResponse>,
    /// Whether an attempt has certainly started to run at a server.
    pub execution_started: bool,
    /// When the earliest attempt was sent that has ended without showing whether it ran.
    pub may_have_started_at: Option<u64>,
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
            execution_started: false,
            may_have_started_at: None,
        }
    }

    pub fn route(&self) -> &Route {
        self.destination.route()
    }

    pub fn service(&self) -> &str {
        self.destination.service()
    }

    /// Returns the latency target of the route, in milliseconds.
    pub fn latency_target_ms(&self) -> u64 {
        self.route().target_latency.unwrap_or(DEFAULT_DEADLINE).as_millis()
    }

    /// Begins an attempt at `server`. Returns `None` if the request isn't idempotent and may have run.
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
        let new_attempt =
            Attempt { server, kind, started_at: now, head: None, body: Vec::new(), execution_started: false };
        self.attempts.insert(attempt, new_attempt);
        Some(permit)
    }

    /// Removes an attempt that has ended; `proof` is evidence that it did not execute.
    pub fn end_attempt(&mut self, attempt: RequestAttemptId, proof: Option<NotExecuted>) -> Option<Attempt> {
        let ended = self.attempts.remove(&attempt)?;
        self.tracker.end(proof);
        Some(ended)
    }

    /// Stops counting an attempt towards `max-attempts` because it could not connect to its server.
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

    /// Returns when the oldest attempt in flight was sent.
    pub fn earliest_sent_at(&self) -> Option<u64> {
        self.attempts.values().map(|attempt| attempt.started_at).min()
    }

    /// Returns the servers at which attempts are in flight.
    pub fn servers_in_flight(&self) -> Vec<ServerKey> {
        self.attempts.values().map(|attempt| attempt.server).collect()
    }

    /// Ends the request and returns the attempts that have to be cancelled.
    pub fn into_attempts_in_flight(self) -> impl Iterator<Item = RequestAttemptId> {
        self.attempts.into_keys()
    }

    /// Returns evidence that the request has not run and never will.
    pub fn never_executed(&self) -> Option<NeverExecuted> {
        self.tracker.never_executed()
    }

    /// Whether the request may be attempted again although it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.tracker.is_idempotent()
    }

    /// Whether the request may be hedged. Streams are not, as a second attempt would repeat the prefill of the entire
    /// prompt.
    pub fn may_be_hedged(&self) -> bool {
        self.route().route_type == RouteType::Idempotent && self.has_attempts_left()
    }

    pub fn has_attempts_left(&self) -> bool {
        self.counted_attempts < self.route().max_attempts.max(1)
    }

    /// Whether part of the response has been sent to the client.
    pub fn response_started(&self) -> bool {
        self.stream.as_ref().is_some_and(ForwardedStream::response_started)
    }

    /// Whether an attempt whose stream ended without framing may be missing events that another attempt could add.
    pub fn may_be_unfinished(&self, attempt: RequestAttemptId) -> bool {
        let stream = self.stream.as_ref().filter(|stream| stream.attempt == attempt);
        stream.is_some_and(|stream| stream.has_added_events() && stream.ends_between_events())
            && self.has_attempts_left()
    }

    /// Returns the time of the request's earliest timer.
    pub fn next_due(&self) -> u64 {
        let retry = self.retry_at.unwrap_or(u64::MAX);
        self.deadline.min(retry).min(self.hedge_at.unwrap_or(u64::MAX))
    }
}
