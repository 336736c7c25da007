//! A timer queue for the runner of generations.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::interface::{AttemptId, RewardCallId};
use orchidvalve_scheduler::{GenerationId, GroupKey};

/// The event that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The items of a group expire.
    Expire(GroupKey),
    /// The stream of an attempt may have stalled.
    Stall(AttemptId),
    /// The reward call of an item may be retried.
    RetryReward(GenerationId),
    /// A reward call may be hedged.
    HedgeReward(RewardCallId),
    /// The deadline of a reward call has passed.
    ExpireReward(RewardCallId),
}

/// A timer and its due time. The derived order compares the fields in their order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTimer {
    at: u64,
    timer: Timer,
}

/// Timers ordered by due time. Timers that no longer apply are dropped when they reach the front.
#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<DueTimer>>,
}

impl Timers {
    /// Adds a timer.
    pub fn add(&mut self, at: u64, timer: Timer) {
        self.heap.push(Reverse(DueTimer { at, timer }));
    }

    /// Removes and returns a timer that is due.
    pub fn pop_due(&mut self, now: u64) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(due)| due.timer)
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse(due)| due.at)
    }

    /// Drops timers from the front of the queue as long as they no longer apply.
    pub fn drop_stale(&mut self, matters: impl Fn(Timer) -> bool) {
        while self.heap.peek().is_some_and(|Reverse(due)| !matters(due.timer)) {
            self.heap.pop();
        }
    }
}
