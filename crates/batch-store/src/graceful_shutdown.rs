//! Graceful shutdown of a store process: it announces that it is draining, and keeps running until other stores have
//! copies of its partitions.

use orchidvalve_control_state::{ControlState, Placement};
use orchidvalve_protocol::identity::MemberId;

/// How long before the end of the grace period the process exits, so that it can close its links, in milliseconds.
const EXIT_MARGIN_MS: u64 = 1_500;
/// Time within which the control node adds a learner for each partition of a draining store if it finds a candidate, in
/// milliseconds.
const LEARNER_TIMEOUT_MS: u64 = 1_500;

/// The graceful shutdown of a store process. Times are those of the monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct GracefulShutdown {
    started_at_ms: u64,
    deadline_ms: u64,
}

impl GracefulShutdown {
    /// Starts a shutdown at `now_ms`; the process has to exit within `grace_ms`.
    pub fn new(now_ms: u64, grace_ms: u64) -> GracefulShutdown {
        let deadline_ms = now_ms + grace_ms.saturating_sub(EXIT_MARGIN_MS);
        GracefulShutdown { started_at_ms: now_ms, deadline_ms }
    }

    /// Returns whether the process may exit: no partition needs its copy any longer, waiting would not help, or the
    /// deadline has passed. `has_session` is whether the process has a session with a control node that is in contact
    /// with a majority; without one, the known placements may be stale.
    pub fn is_complete(&self, now_ms: u64, me: MemberId, state: &ControlState, has_session: bool) -> bool {
        if now_ms >= self.deadline_ms {
            return true;
        }
        // Without a session, this store may have become a member without learning of it.
        let may_have_joined = |p: &Placement| !has_session && p.learners.contains(&me);
        let is_needed = |p: &&Placement| may_depend_on(p, me) || may_have_joined(p);
        let needed: Vec<&Placement> = state.partitions().iter().filter(is_needed).collect();
        let waited_for_learner = has_session && now_ms >= self.started_at_ms + LEARNER_TIMEOUT_MS;
        let blocks_exit = |placement: &&Placement| {
            is_being_copied(placement) || (!waited_for_learner && has_candidate(placement, me, state))
        };
        !needed.iter().any(blocks_exit)
    }
}

/// Returns whether the partition still depends on this store, or may come to. A chain that is too short commits
/// nothing, so a former member still holds everything and may continue the chain if the last member is lost.
fn may_depend_on(placement: &Placement, me: MemberId) -> bool {
    placement.members.contains(&me)
        || (placement.is_undersized() && placement.complete_replicas.contains(&me))
}

/// Returns whether a learner is copying the partition, or has joined so that a member can be released.
fn is_being_copied(placement: &Placement) -> bool {
    !placement.learners.is_empty() || placement.members.len() > placement.copies as usize
}

/// Returns whether there may be another store that could copy the partition.
fn has_candidate(placement: &Placement, me: MemberId, state: &ControlState) -> bool {
    let is_free = |member: &MemberId| *member != me && !placement.members.contains(member);
    state.stores().values().any(|store| !store.retiring && is_free(&store.member))
}
