//! The lease under which one node at a time acts in the singleton roles (Gray and Cheriton 1989).
//!
//! Orders to servers and calls of the platform carry the leadership term as fencing token. Whoever gets them may not
//! check it, so a new leader waits until all that the former one sent has certainly arrived.

use orchidvalve_chain_replication::{Epoch, Milliseconds};

/// A lease that is held.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    /// Epoch of the view in which this node is the head.
    epoch: Epoch,
    /// Orders may be given and calls made from this time on.
    valid_from: u64,
}

/// How long a new head waits before it acts, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWaits {
    /// Where another node was the head: until its calls have arrived and its lease is over.
    pub after_another_head: Milliseconds,
    /// Where an earlier process of this node was: until the calls that it left behind have arrived. They bear a lower
    /// term, and come on connections of their own.
    pub after_own_process: Milliseconds,
    /// Where this process was the head in the view before, under a lower term: until the calls that it began then have
    /// arrived.
    pub after_own_term: Milliseconds,
}

/// Whether this node may act in the singleton roles. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct RoleLease {
    held: Option<HeldLease>,
}

impl RoleLease {
    /// A view has begun in which this node is the head. `was_head` says that it was the head of the view just
    /// before, too, or that no view was before.
    pub fn acquire(&mut self, now: Milliseconds, epoch: Epoch, was_head: bool, waits: LeaseWaits) {
        let wait = match (self.held, was_head) {
            (Some(held), true) => held.valid_from.saturating_sub(now).max(waits.after_own_term),
            (None, true) => waits.after_own_process,
            (_, false) => waits.after_another_head,
        };
        self.held = Some(HeldLease { epoch, valid_from: now + wait });
    }

    /// Another node is the head.
    pub fn release(&mut self) {
        self.held = None;
    }

    /// The epoch under which this node may act now, if it may: `confirmed_at` is the last time at which a quorum
    /// was in this node's view, and it has to be within `validity_ms`.
    pub fn valid_epoch(
        &self,
        now: Milliseconds,
        confirmed_at: Option<Milliseconds>,
        validity_ms: Milliseconds,
    ) -> Option<Epoch> {
        let held = self.held?;
        let is_confirmed = confirmed_at.is_some_and(|at| now < at + validity_ms);
        (is_confirmed && now >= held.valid_from).then_some(held.epoch)
    }
}
