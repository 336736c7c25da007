//! The messages to one receiver that were sent and not acknowledged yet: its replication window.

use std::collections::VecDeque;

use crate::limits::WINDOW_BYTES;
use crate::sequence::Sequence;

#[derive(Debug)]
struct SentBatch {
    last: Sequence,
    payload_bytes: usize,
}

/// The batches in flight to one receiver, in the order of the log.
#[derive(Debug, Default)]
pub(crate) struct Inflights {
    batches: VecDeque<SentBatch>,
    payload_bytes: usize,
}

impl Inflights {
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Returns true if the window permits another message.
    pub fn has_capacity(&self) -> bool {
        self.payload_bytes < WINDOW_BYTES
    }

    /// Records a message with the entries up to `last`.
    pub fn add(&mut self, last: Sequence, payload_bytes: usize) {
        self.batches.push_back(SentBatch { last, payload_bytes });
        self.payload_bytes += payload_bytes;
    }

    /// Removes the batches whose entries are all acknowledged by `sequence`.
    pub fn acknowledge(&mut self, sequence: Sequence) {
        while let Some(batch) = self.batches.pop_front_if(|batch| batch.last <= sequence) {
            self.payload_bytes -= batch.payload_bytes;
        }
    }

    pub fn clear(&mut self) {
        self.batches.clear();
        self.payload_bytes = 0;
    }
}
