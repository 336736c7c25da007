//! The lease under which one node at a time acts in the singleton roles (Gray and Cheriton 1989).
//!
//! Orders to servers and platform calls carry the leadership term as fencing token. A receiver may not check it, so a new
//! leader waits until everything that the former one sent has certainly arrived.

use orchidvalve_chain_replication::{Epoch, Milliseconds};

/// A lease that this node holds.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    /// Epoch of the view in which this node is the head.
    epoch: Epoch,
    /// Time from which on this node may give orders and call the platform, in milliseconds.
    valid_from: u64,
}

/// How long a new head waits before it acts in the singleton roles, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWaits {
    /// Wait after another node was the head: until the calls of that node have arrived and its lease has expired.
    pub after_another_head: Milliseconds,
    /// Wait after an earlier process of this node was the head: until the calls that it left in flight have arrived. They
    /// carry a lower term, and were sent on connections of their own.
    pub after_own_process: Milliseconds,
    /// Wait after this process was the head of the view before, under a lower term: until the calls that it started then
    /// have arrived.
    pub after_own_term: Milliseconds,
}

/// The lease of this node, if it holds one. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct RoleLease {
    held: Option<HeldLease>,
}

impl RoleLease {
    /// Acquires the lease for a view in which this node is the head. `was_head` says that this node was also the head of
    /// the view just before, or that there was no view before.
    pub fn acquire(&mut self, now: Milliseconds, epoch: Epoch, was_head: bool, waits: LeaseWaits) {
        let wait = match (self.held, was_head) {
            (Some(held), true) => held.valid_from.saturating_sub(now).max(waits.after_own_term),
            (None, true) => waits.after_own_process,
            (_, false) => waits.after_another_head,
        };
        self.held = Some(HeldLease { epoch, valid_from: now + wait });
    }

    /// Gives up the lease: another node is the head.
    pub fn release(&mut self) {
        self.held = None;
    }

    /// Returns the epoch under which this node may act now; `None` if it may not. `confirmed_at` is the last time at which
    /// a quorum was in this node's view, and must not be older than `validity_ms`.
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
