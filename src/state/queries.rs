//! Queries, their shard requests, and the attempts of the shard requests.

use crate::interface::{Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};

/// How an attempt ended, as far as the aggregator can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The result was received.
    Answered,
    /// The replica rejected it unread, for lack of capacity.
    Rejected,
    /// No connection was established in time.
    ConnectFailed,
    /// The replica responded with an error: the attempt may have been executed, and the replica is alive.
    Failed,
    /// The connection was lost: the attempt may have been executed, and may have crashed the replica.
    ConnectionLost,
    /// The connection carried an invalid response, or was silent while another connection to the replica was not: the
    /// attempt may have been executed, and the replica responds.
    ProtocolError,
    /// No response was received within the limit: the attempt may have been executed, or still be running.
    TimedOut,
    /// It was cancelled by this front node: the attempt may have been executed, or still be running.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether it is certain that the replica executed nothing.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// One sending of a shard request to a replica.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The replica that it was sent to.
    pub replica: ReplicaIndex,
    /// When it started.
    pub sent_at: Nanos,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
}

/// The request of a query to one shard.
#[derive(Clone, Debug)]
pub struct ShardRequest {
    /// The query that it belongs to.
    pub query: QueryIndex,
    /// The shard that it is for.
    pub shard: usize,
    /// Its fraction of the weight of its step.
    pub weight: f64,
    /// The step of its query, from 0.
    pub step: usize,
    /// Its attempts, by number.
    pub attempts: Vec<Attempt>,
    /// Whether its result was received in time.
    pub answered: bool,
    /// Whether its query has its final response, or the host said that it will have no result.
    pub closed: bool,
}

impl ShardRequest {
    /// Returns the attempts that have not ended, with their numbers.
    pub fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Whether an attempt was sent to the replica.
    pub fn has_tried(&self, replica: ReplicaIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.replica == replica)
    }

    /// Whether it still needs a result.
    pub fn is_pending(&self) -> bool {
        !self.answered && !self.closed
    }
}

/// A client request that is split into shard requests.
#[derive(Clone, Debug)]
pub struct Query {
    /// Its service class, as a position in the settings.
    pub class: usize,
    /// Its tenant, as a position in the settings; 0 if there are no tenants.
    pub tenant: usize,
    /// When it was received.
    pub received_at: Nanos,
    /// When its client stops waiting.
    pub client_deadline: Nanos,
    /// Expected work of all its shard requests; 0 if unknown.
    pub expected_work: Nanos,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// The smallest completeness that its client accepts, where that is more than its class's.
    pub min_completeness: f64,
    /// Its shard requests of all steps.
    pub requests: Vec<ShardRequestIndex>,
    /// Its current step: 0 until the first step is answered, then 1.
    pub step: usize,
    /// Whether it has its final response.
    pub closed: bool,
}
