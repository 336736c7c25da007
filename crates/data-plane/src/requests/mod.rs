//! Clients' requests: selects a server for each attempt, retries and hedges, and produces the response to the client.
//!
//! An idempotent request is hedged at another server when its response is overdue, within the hedge budget. A request
//! that isn't idempotent is attempted again only if it has certainly not run (see [`crate::attempts`]). A resumable
//! stream continues at another server within the same response. A request that no server can respond to gets its
//! final response at once.

mod attempt;
mod completion;
mod execution_start;
mod forwarded_stream;
mod messages;
mod pending;

use std::collections::HashMap;
use std::sync::Arc;

use orchidvalve_configuration::{RouteTable, RouteType};
use orchidvalve_http::{Request, ResponseHead};
use orchidvalve_protocol::time_limit::TimeLimit;
use orchidvalve_scheduler::{HedgeBudget, LatencyWindow};
use rand::RngCore;
use rand_pcg::Pcg64Mcg;

pub use self::execution_start::StartedRequest;
use self::forwarded_stream::ForwardedStream;
pub use self::messages::{ReceivedRequest, RequestAttemptId, RequestCommand, RequestId, Response};
use self::pending::{DEFAULT_DEADLINE, Destination, PendingRequest};
use crate::admission::Admitted;
use crate::authentication::Authenticated;
use crate::balancer::Balancer;
use crate::response_class::{is_rejection, is_signed};
use crate::upstream::Failure;

/// How long before its deadline a request without a response is ended, so that the client receives the final response
/// in time, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 12;
/// Value of `Retry-After`, in seconds, in responses to requests that have not run.
pub const RETRY_AFTER: &str = "0.1";

/// The pending requests of a gateway's clients.
///
/// The life cycle of a request is: [`Requests::begin`], the events of each attempt ([`Requests::head_received`],
/// [`Requests::body_received`], [`Requests::attempt_completed`] or [`Requests::attempt_failed`]), and a
/// [`RequestCommand`] that responds to the client.
pub struct Requests {
    zone: String,
    pending: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<RequestAttemptId, RequestId>,
    latencies: HashMap<String, LatencyWindow>,
    hedge_budget: HedgeBudget,
    random: Pcg64Mcg,
    last_request: u64,
    last_attempt: u64,
    /// When this process sends its last responses. New requests with a later deadline are rejected.
    last_response_at: u64,
    /// Requests that have started at servers since the last [`Requests::take_started`].
    started: Vec<StartedRequest>,
}

impl Requests {
    /// Creates an empty set of requests for a gateway in `zone`. `random` breaks ties and draws services by weight.
    pub fn new(zone: &str, random: Pcg64Mcg) -> Requests {
        Requests {
            zone: zone.to_owned(),
            pending: HashMap::new(),
            attempts: HashMap::new(),
            latencies: HashMap::new(),
            hedge_budget: HedgeBudget::default(),
            random,
            last_request: 0,
            last_attempt: 0,
            last_response_at: u64::MAX,
            started: Vec::new(),
        }
    }

    /// Returns the number of pending requests.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of pending requests for a service that have no attempt in flight.
    pub fn waiting(&self, service: &str) -> usize {
        let of_service = self.pending.values().filter(|pending| pending.service() == service);
        of_service.filter(|pending| pending.attempts_in_flight() == 0).count()
    }

    /// Returns the request as received from the client.
    pub fn request(&self, id: RequestId) -> Option<&Arc<Request>> {
        self.pending.get(&id).map(|pending| &pending.request)
    }

    /// Returns the caller of the request, which is the same for all its attempts.
    pub fn caller(&self, id: RequestId) -> Option<&Authenticated> {
        self.pending.get(&id).map(|pending| &pending.caller)
    }

    /// Begins a request that was admitted by `routes`, and its first attempt.
    pub fn begin(
        &mut self,
        now: u64,
        received: ReceivedRequest,
        routes: &Arc<RouteTable>,
        admitted: Admitted,
        balancer: &Balancer,
        out: &mut Vec<RequestCommand>,
    ) -> RequestId {
        let ReceivedRequest { request, first_byte_at } = received;
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let Admitted { route, caller } = admitted;
        let settings = &routes.routes()[route];
        let stated = request.headers.number("deadline-ms").map_or(DEFAULT_DEADLINE, TimeLimit::from_millis);
        let allowed_ms = stated.min(settings.timeout.unwrap_or(TimeLimit::MAX)).as_millis();
        let service = routes.pick(settings, self.random.next_u64());
        let deadline = first_byte_at + allowed_ms.saturating_sub(DEADLINE_MARGIN_MS).max(1);
        let destination = Destination { routes: routes.clone(), route, service };
        let pending = PendingRequest::new(request, destination, caller, now, deadline);
        self.hedge_budget.record_first_attempt(now);
        self.pending.insert(id, pending);
        if deadline <= now || deadline > self.last_response_at {
            self.end(id, 504, out);
        } else {
            self.attempt_next(now, id, balancer, out);
        }
        id
    }

    /// Rejects new requests whose deadline is later than `last_response_at`, when this process sends its last responses
    /// before it exits: they might get no response, and their clients can still try another gateway in time.
    pub fn reject_beyond(&mut self, last_response_at: u64) {
        self.last_response_at = last_response_at;
    }

    /// Sends every pending request its final response, as the process is about to exit. Started streams are aborted.
    pub fn end_all(&mut self, out: &mut Vec<RequestCommand>) {
        let pending: Vec<RequestId> = self.pending.keys().copied().collect();
        for id in pending {
            self.end(id, 504, out);
        }
    }

    /// Drops a request whose client has disconnected, and cancels its attempts.
    pub fn client_disconnected(&mut self, id: RequestId, out: &mut Vec<RequestCommand>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.cancel_attempts(pending, out);
        }
    }

    /// Returns the tenants' requests that have started at servers since the last call.
    pub fn take_started(&mut self) -> Vec<StartedRequest> {
        std::mem::take(&mut self.started)
    }

    fn cancel_attempts(&mut self, pending: PendingRequest, out: &mut Vec<RequestCommand>) {
        self.started.extend(pending.unconfirmed_start());
        for attempt in pending.into_attempts_in_flight() {
            self.attempts.remove(&attempt);
            out.push(RequestCommand::Cancel { attempt });
        }
    }

    /// Handles the head of an attempt's response.
    pub fn head_received(
        &mut self,
        attempt: RequestAttemptId,
        head: ResponseHead,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some((id, pending)) = self.find(attempt) else { return };
        let shows_start = !pending.starts_with_event() && !is_rejection(&head);
        let started = if shows_start { pending.record_start(attempt, None) } else { None };
        if pending.route().route_type == RouteType::Streaming && is_signed(&head) {
            let resumable = pending.route().resumable;
            match &mut pending.stream {
                Some(stream) if stream.response_started() => stream.resume_at(attempt),
                stream if resumable => {
                    let requested_after = pending.request.headers.number("last-event-id");
                    *stream = Some(ForwardedStream::resumable(id, attempt, head.clone(), requested_after));
                }
                stream => {
                    *stream = Some(ForwardedStream::unresumable(id, attempt, &head));
                    out.push(RequestCommand::BeginStream { request: id, head: head.clone() });
                }
            }
        }
        if let Some(attempt) = pending.attempt_mut(attempt) {
            attempt.head = Some(head);
        }
        self.started.extend(started);
    }

    /// Handles a part of the body of an attempt's response.
    pub fn body_received(
        &mut self,
        now: u64,
        attempt: RequestAttemptId,
        bytes: Vec<u8>,
        balancer: &mut Balancer,
        out: &mut Vec<RequestCommand>,
    ) {
        let Some((_, pending)) = self.find(attempt) else { return };
        if let Some(stream) = pending.stream.as_mut().filter(|stream| stream.attempt == attempt) {
            let result = stream.forward(bytes, out);
            let has_events = stream.has_events();
            let started = if has_events { pending.record_start(attempt, Some(now)) } else { None };
            self.started.extend(started);
            if result.is_err() {
                out.push(RequestCommand::Cancel { attempt });
                self.attempt_failed(now, attempt, Failure::Broken, balancer, out);
            }
        } else if let Some(attempt) = pending.attempt_mut(attempt) {
            if attempt.body.is_empty() {
                attempt.body = bytes;
            } else {
                attempt.body.extend_from_slice(&bytes);
            }
        }
    }

    fn find(&mut self, attempt: RequestAttemptId) -> Option<(RequestId, &mut PendingRequest)> {
        let id = *self.attempts.get(&attempt)?;
        self.pending.get_mut(&id).map(|pending| (id, pending))
    }

    /// Handles the timers that are due: deadlines, retries and hedges.
    pub fn tick(&mut self, now: u64, balancer: &Balancer, out: &mut Vec<RequestCommand>) {
        let due: Vec<RequestId> =
            self.pending.iter().filter(|(_, pending)| pending.next_due() <= now).map(|(id, _)| *id).collect();
        for id in due {
            let Some(pending) = self.pending.get_mut(&id) else { continue };
            if pending.deadline <= now {
                self.end(id, 504, out);
            } else if pending.retry_at.is_some_and(|at| at <= now) {
                self.attempt_next(now, id, balancer, out);
            } else if pending.hedge_at.take_if(|at| *at <= now).is_some() {
                self.hedge(now, id, balancer, out);
            }
        }
    }

    /// Returns when [`Requests::tick`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        self.pending.values().map(PendingRequest::next_due).min().unwrap_or(u64::MAX)
    }

    /// Returns the age of the oldest pending request, in milliseconds.
    pub fn oldest_ms(&self, now: u64) -> u64 {
        self.pending.values().map(|pending| now.saturating_sub(pending.received_at)).max().unwrap_or(0)
    }
}
