//! The graceful shutdown of a store process: it announces that it drains, and stays until others have its
//! copies.

use orchidvalve_control_state::{ControlState, Placement};
use orchidvalve_protocol::identity::MemberId;

/// The process ends this long before its time is up, to close its links in peace, in milliseconds.
const EXIT_MARGIN_MS: u64 = 1_500;
/// Time within which the control node adds a learner for each partition of a store that leaves, if it can at all, in
/// milliseconds.
const LEARNER_TIMEOUT_MS: u64 = 1_500;

/// The shutdown of a store process. Times are those of the monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct GracefulShutdown {
    started_at_ms: u64,
    deadline_ms: u64,
}

impl GracefulShutdown {
    /// A shutdown that starts now; the process has to have ended `grace_ms` later.
    pub fn new(now_ms: u64, grace_ms: u64) -> GracefulShutdown {
        let deadline_ms = now_ms + grace_ms.saturating_sub(EXIT_MARGIN_MS);
        GracefulShutdown { started_at_ms: now_ms, deadline_ms }
    }

    /// Whether the process may end: no partition may need what it holds any more, nothing is gained by waiting, or its
    /// time is up. `has_session` says whether a control node in touch with a majority keeps its session; without
    /// one, what is known of the placements may be old.
    pub fn is_complete(&self, now_ms: u64, me: MemberId, state: &ControlState, has_session: bool) -> bool {
        if now_ms >= self.deadline_ms {
            return true;
        }
        // Out of touch, a learner may have become a member without hearing of it.
        let may_have_joined = |p: &Placement| !has_session && p.learners.contains(&me);
        let is_needed = |p: &&Placement| may_need(p, me) || may_have_joined(p);
        let needed: Vec<&Placement> = state.partitions().iter().filter(is_needed).collect();
        let was_answered = has_session && now_ms >= self.started_at_ms + LEARNER_TIMEOUT_MS;
        let waits = |placement: &&Placement| {
            is_being_copied(placement) || (!was_answered && has_candidate(placement, me, state))
        };
        !needed.iter().any(waits)
    }
}

/// Whether the partition goes on with this machine, or may have to: a chain that is too short commits nothing, so a
/// former member still holds everything, and is one of those with which the chain goes on if its last member is lost.
fn may_need(placement: &Placement, me: MemberId) -> bool {
    placement.members.contains(&me)
        || (placement.is_undersized() && placement.complete_replicas.contains(&me))
}

/// Whether a learner copies the partition, or has joined so that a member may be released.
fn is_being_copied(placement: &Placement) -> bool {
    !placement.learners.is_empty() || placement.members.len() > placement.copies as usize
}

/// Whether there may be a machine that could copy the partition.
fn has_candidate(placement: &Placement, me: MemberId, state: &ControlState) -> bool {
    let is_free = |member: &MemberId| *member != me && !placement.members.contains(member);
    state.stores().values().any(|store| !store.retiring && is_free(&store.member))
}
