//! Groups of generations, and the attempts in flight for each generation.

use crate::load_index::ServerKey;

/// Identifies a group among the open ones of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey(pub u32);

/// Identifies a set of servers, usually those of one service, from which the servers of a group are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(pub u32);

/// Identifies a route at the service that runs its generations. Latencies are recorded per route and service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey(pub u32);

/// Order in which groups are served: the earliest due first, then by position in the batch job. The derived order
/// compares the fields in their order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority {
    /// When the results of the group are due, in milliseconds.
    pub due_at: u64,
    /// Position of the group in its batch job, from 0.
    pub group_index: u64,
}

/// Identifies a generation by its group and its position in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId {
    /// The group.
    pub group: GroupKey,
    /// Position in the group, from 0.
    pub index: u32,
}

/// Description of a group to be opened.
#[derive(Clone, Debug)]
pub struct GroupSpec {
    /// The group's key, unique among the open groups of a scheduler.
    pub key: GroupKey,
    /// Groups with a lower priority value are served first.
    pub priority: Priority,
    /// The pool from which its servers are chosen.
    pub pool: PoolKey,
    /// The route whose latencies determine the hedge delay.
    pub route: RouteKey,
    /// Time within which the route's results are due, in milliseconds.
    pub target_run_ms: u64,
    /// The number of generations.
    pub generations: u32,
}

/// State of a generation of an open group. It has at most two attempts in flight: a first one and a hedge.
#[derive(Debug)]
pub(crate) struct GenerationState<S> {
    pub first_attempt_at: Option<u64>,
    attempts: [Option<S>; 2],
    /// Whether it has its result or expired; no further attempt starts.
    settled: bool,
}

impl<S: ServerKey> GenerationState<S> {
    fn new() -> Self {
        Self { first_attempt_at: None, attempts: [None, None], settled: false }
    }

    /// Returns the servers at which attempts are in flight.
    pub fn servers(&self) -> impl Iterator<Item = S> {
        self.attempts.into_iter().flatten()
    }

    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// Adds an attempt at the server. A third one is ignored.
    pub fn add_attempt(&mut self, server: S) {
        if let Some(free) = self.attempts.iter_mut().find(|attempt| attempt.is_none()) {
            *free = Some(server);
        }
    }

    /// Removes the attempt at the server. Returns whether there was one.
    pub fn remove_attempt(&mut self, server: S) -> bool {
        let attempt = self.attempts.iter_mut().find(|attempt| **attempt == Some(server));
        attempt.and_then(Option::take).is_some()
    }
}

/// An open group.
#[derive(Debug)]
pub(crate) struct Group<S> {
    pub priority: Priority,
    pub pool: PoolKey,
    pub route: RouteKey,
    unsettled: usize,
    generations: Vec<GenerationState<S>>,
}

impl<S: ServerKey> Group<S> {
    pub fn new(spec: &GroupSpec) -> Self {
        Self {
            priority: spec.priority,
            pool: spec.pool,
            route: spec.route,
            unsettled: spec.generations as usize,
            generations: (0..spec.generations).map(|_| GenerationState::new()).collect(),
        }
    }

    /// Returns the number of generations.
    pub fn size(&self) -> u32 {
        self.generations.len() as u32
    }

    /// Returns the number of generations without a result.
    pub fn unsettled(&self) -> usize {
        self.unsettled
    }

    pub fn generation(&self, index: u32) -> Option<&GenerationState<S>> {
        self.generations.get(index as usize)
    }

    pub fn generation_mut(&mut self, index: u32) -> Option<&mut GenerationState<S>> {
        self.generations.get_mut(index as usize)
    }

    /// Settles a generation. Returns the servers at which its attempts were in flight, or `None` if it was settled
    /// before.
    pub fn settle(&mut self, index: u32) -> Option<impl Iterator<Item = S> + use<S>> {
        let generation = self.generations.get_mut(index as usize).filter(|generation| !generation.settled)?;
        generation.settled = true;
        self.unsettled -= 1;
        Some(std::mem::take(&mut generation.attempts).into_iter().flatten())
    }
}
