//! The state that the invariant checker keeps of each query and its attempts.

use std::collections::BTreeMap;

use crate::{MS, Nanos};

/// A query that a client sent, and what was observed of it.
#[derive(Clone, Debug)]
pub struct ObservedQuery {
    pub front_node: usize,
    pub class: usize,
    pub shards: Vec<usize>,
    pub key: Option<String>,
    /// When the client stops waiting for the response.
    pub until: Nanos,
    pub sent_at: Nanos,
    pub end: Option<QueryEnd>,
    /// The attempts by shard, in the order in which stores received them.
    pub attempts: BTreeMap<usize, Vec<ObservedAttempt>>,
}

/// How a query ended.
#[derive(Clone, Copy, Debug)]
pub struct QueryEnd {
    pub at: Nanos,
    /// HTTP status of the response; `None` if the connection ended without one.
    pub status: Option<u16>,
}

/// An attempt that a store received.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    pub at: Nanos,
    pub store: String,
    pub state: AttemptState,
}

/// Identifies an attempt in events and rules.
#[derive(Clone, Copy)]
pub struct AttemptName<'a> {
    /// Request id of the attempt's query.
    pub query: &'a str,
    pub shard: usize,
    pub store: &'a str,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    InFlight,
    Served,
    MayHaveRun,
    NeverRan,
}

impl ObservedQuery {
    pub fn attempts_of(&self, shard: usize) -> &[ObservedAttempt] {
        self.attempts.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Sets the state of the first attempt with this name that is in flight.
    pub fn attempt_ended(&mut self, name: AttemptName, state: AttemptState) {
        let in_flight = |attempt: &&mut ObservedAttempt| {
            attempt.store == name.store && attempt.state == AttemptState::InFlight
        };
        if let Some(attempt) = self.attempts.get_mut(&name.shard).into_iter().flatten().find(in_flight) {
            attempt.state = state;
        }
    }
}

impl ObservedAttempt {
    pub fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// Describes the attempts for the proof of a violation.
pub fn describe<'a>(attempts: impl IntoIterator<Item = &'a ObservedAttempt>) -> Vec<String> {
    let text = |attempt: &ObservedAttempt| {
        format!("attempted at {} ms at {}: {:?}", attempt.at / MS, attempt.store, attempt.state)
    };
    attempts.into_iter().map(text).collect()
}
