//! Batch jobs that have ended, so that assignments of their groups that arrive late are ignored.

use std::collections::{HashSet, VecDeque};

use super::JobKey;

/// The number of ended jobs that are remembered. Late assignments arrive within seconds, in which a few dozen jobs
/// end at most.
const CAPACITY: usize = 1_024;

/// The most recently ended jobs.
#[derive(Debug, Default)]
pub(crate) struct EndedJobs {
    known: HashSet<JobKey>,
    oldest_first: VecDeque<JobKey>,
}

impl EndedJobs {
    /// Records that a job has ended. Has no effect if that is already recorded.
    pub fn insert(&mut self, key: JobKey) {
        if !self.known.insert(key.clone()) {
            return;
        }
        self.oldest_first.push_back(key);
        if self.oldest_first.len() > CAPACITY
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub fn contains(&self, key: &JobKey) -> bool {
        self.known.contains(key)
    }
}
