//! A ring of the most recent samples.

use std::collections::VecDeque;

use super::AttemptOutcome;
use crate::interface::Nanos;

/// The most recent samples, oldest first.
#[derive(Clone, Debug)]
pub struct SampleRing<T> {
    limit: usize,
    samples: VecDeque<T>,
}

impl<T: Copy> SampleRing<T> {
    /// Returns an empty ring with room for `limit` samples.
    pub fn new(limit: usize) -> Self {
        SampleRing { limit, samples: VecDeque::with_capacity(limit) }
    }

    /// Adds a sample. If the ring is full, the oldest one is dropped.
    pub fn push(&mut self, sample: T) {
        if self.samples.len() == self.limit {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the samples, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = T> + ExactSizeIterator + '_ {
        self.samples.iter().copied()
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}

/// An ended attempt.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it ended.
    pub at: Nanos,
    /// Time from the start of the attempt to its end.
    pub took: Nanos,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The service class of its query.
    pub class: usize,
}

/// The number of samples kept of each kind.
#[derive(Clone, Copy, Debug)]
pub struct SampleLimits {
    /// Latencies of shard requests, over all replicas.
    pub latencies: usize,
    /// Ended attempts of a replica.
    pub per_replica: usize,
    /// Start times of a replica's attempts.
    pub attempt_times: usize,
    /// Answered health checks of a replica.
    pub health_checks: usize,
    /// Lost connections, over all replicas.
    pub lost_connections: usize,
}
