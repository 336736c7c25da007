//! One connection to a replica and its requests in flight.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use orchidvalve::interface::{Nanos, ReplicaIndex};
use orchidvalve::state::AttemptOutcome;

use super::ReplicaAddress;
use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::queries::{AttemptId, QueryTable};
use crate::store_protocol::{Load, ProtocolError, StoreMessage, StoreProtocol};
use crate::stream::Stream;

/// Attempts that are sent in one message.
pub(super) type Call = Vec<AttemptId>;

/// The number of ended shard requests that a connection remembers, as late or duplicate responses to them may arrive.
const MAX_ENDED: usize = 256;

/// An attempt that was written to a connection.
pub(super) struct SentAttempt {
    pub id: AttemptId,
    /// The end of its call as an offset in the stream of all bytes written.
    pub ends_at: u64,
}

/// A health check in flight on a connection.
#[derive(Clone, Copy)]
pub(super) struct HealthCheck {
    /// The timer after which the health check counts as unanswered.
    pub timer: DeadlineKey,
    /// Whether the aggregator requested the check; otherwise the node checks only this connection.
    pub for_aggregator: bool,
}

/// The response to a health check.
pub(super) struct HealthAnswer {
    pub answered: bool,
    pub load: Option<Load>,
}

/// The requests in flight on a connection.
pub(super) struct InFlight {
    pub replica: ReplicaIndex,
    pub attempts: Vec<SentAttempt>,
    pub health_check: Option<HealthCheck>,
    /// Fingerprints of the shard requests that ended last, see `MAX_ENDED`.
    ended: VecDeque<u64>,
}

impl InFlight {
    pub fn new(replica: ReplicaIndex) -> Self {
        InFlight { replica, attempts: Vec::new(), health_check: None, ended: VecDeque::new() }
    }

    /// Remembers a shard request that is no longer in flight.
    pub fn remember_ended(&mut self, query_id: &str, shard: usize) {
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(fingerprint(query_id, shard));
    }

    fn is_empty(&self) -> bool {
        self.attempts.is_empty() && self.health_check.is_none()
    }

    /// Handles a message. `bytes_written` is the number of bytes written to the connection so far. Returns the response
    /// to a health check, if the message is one.
    pub fn receive(
        &mut self,
        message: StoreMessage,
        bytes_written: u64,
        queries: &mut QueryTable,
        context: &mut Context,
    ) -> Result<Option<HealthAnswer>, ProtocolError> {
        match message {
            StoreMessage::Answer { query_id, shard, outcome, value } => {
                let is_answered = |sent: &SentAttempt| {
                    let request = queries.shard_request_and_query(sent.id.shard_request);
                    request.is_some_and(|(request, query)| request.shard == shard && *query.id == *query_id)
                };
                let Some(position) = self.attempts.iter().position(is_answered) else {
                    context.metrics.late_answers += 1;
                    // A response with an id that was never in flight here is a corrupted response to another request.
                    let known = self.is_empty() || self.ended.contains(&fingerprint(&query_id, shard));
                    return if known {
                        Ok(None)
                    } else {
                        Err(ProtocolError::UnexpectedAnswer { query_id, shard })
                    };
                };
                self.remember_ended(&query_id, shard);
                let SentAttempt { id, ends_at } = self.attempts.swap_remove(position);
                // The replica refused the call after its head, before the rest was written, so it did not execute it.
                let unread = ends_at > bytes_written && outcome != AttemptOutcome::Answered;
                let outcome = if unread && outcome != AttemptOutcome::Rejected {
                    AttemptOutcome::ConnectFailed
                } else {
                    outcome
                };
                if outcome == AttemptOutcome::Answered {
                    queries.store_value(id.shard_request, &value);
                }
                queries.end_attempt(id, outcome, context);
                Ok(None)
            }
            StoreMessage::Health { answered, load } => {
                let Some(HealthCheck { timer, .. }) = self.health_check.take() else { return Ok(None) };
                context.deadlines.cancel(timer);
                context.metrics.health_checks_answered += u64::from(answered);
                Ok(Some(HealthAnswer { answered, load }))
            }
        }
    }
}

/// Returns a hash that identifies a shard request.
fn fingerprint(query_id: &str, shard: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (query_id, shard).hash(&mut hasher);
    hasher.finish()
}

/// A connection to a replica.
pub(super) struct Connection {
    /// The address and protocol that it was opened for.
    pub address: ReplicaAddress,
    pub stream: Stream,
    pub protocol: Box<dyn StoreProtocol>,
    /// When it was established; `None` while connecting.
    pub up_since: Option<Nanos>,
    /// While connecting: the connect timeout. While idle: the time at which it is closed.
    pub timer: Option<DeadlineKey>,
    /// Calls that are not yet written.
    pub pending: VecDeque<Call>,
    pub in_flight: InFlight,
    /// Whether a health check timed out on it: the machine at the other end may have vanished without closing it.
    pub suspect: bool,
    /// The timeout of a message that has been received in part.
    pub message_timer: Option<DeadlineKey>,
    /// The time at which it is closed unless something arrives: its replica has answered on another connection.
    pub unresponsive_timer: Option<DeadlineKey>,
}

impl Connection {
    /// Returns the number of attempts that are pending or in flight on it.
    pub fn load(&self) -> usize {
        self.in_flight.attempts.len() + self.pending.iter().map(Vec::len).sum::<usize>()
    }

    /// Returns whether nothing is pending or in flight on it, including health checks.
    pub fn is_unused(&self) -> bool {
        self.load() == 0 && self.in_flight.health_check.is_none()
    }
}
