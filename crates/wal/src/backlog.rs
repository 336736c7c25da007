//! Tracks how long the oldest record that is not durable has been waiting.

use std::collections::VecDeque;
use std::time::Instant;

use crate::format::Position;

/// The records appended between two times at which the thread takes the queue.
#[derive(Debug)]
struct Batch {
    first_position: Position,
    /// When the first record of the batch was appended.
    since: Instant,
}

/// The batches with a record that is not durable, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    batches: VecDeque<Batch>,
}

impl Backlog {
    /// Starts a batch with the record at this position.
    pub(crate) fn begin(&mut self, first_position: Position, since: Instant) {
        self.batches.push_back(Batch { first_position, since });
    }

    /// Removes the batches whose records are all durable. `next_position` is the position after the latest record.
    pub(crate) fn remove_durable(&mut self, durable_through: Position, next_position: Position) {
        while !self.batches.is_empty() {
            let end = self.batches.get(1).map_or(next_position, |batch| batch.first_position);
            if end > durable_through + 1 {
                break;
            }
            self.batches.pop_front();
        }
    }

    /// Returns when the oldest batch began.
    pub(crate) fn oldest(&self) -> Option<Instant> {
        self.batches.front().map(|batch| batch.since)
    }
}
