//! Tracks which replicas are complete: known to hold everything that a partition has committed.
//!
//! In a view with enough members to commit, an entry is committed when all members have it on their disks. So a member
//! that holds everything committed before the view also holds everything committed in it, and no other node is known to.
//! In a view with too few members nothing is committed: a node that was complete when the view began stays complete.

use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::MemberId;

use crate::placement::PlacementInput;

/// Returns the nodes that hold everything committed before the view of `placement`, and, if they are members, everything
/// committed in it. These are the nodes that were known to be complete when the view was decided, and those that have
/// reported since.
pub(super) fn complete_replicas(
    partition: u16,
    placement: &Placement,
    input: &PlacementInput,
) -> Vec<MemberId> {
    let mut complete = placement.complete_replicas.clone();
    let reporting: &[MemberId] = if placement.is_undersized() { &placement.learners } else { &[] };
    for member in placement.members.iter().chain(reporting) {
        if !complete.contains(member) && input.has_caught_up(partition, placement.epoch, member) {
            complete.push(*member);
        }
    }
    complete
}

/// Returns the nodes among `complete`, which are complete in the view before, that stay complete in the view of `next`.
pub(super) fn complete_in_next_view(next: &Placement, complete: &[MemberId]) -> Vec<MemberId> {
    // A node that is no longer a member falls behind as soon as the members commit an entry.
    let keeps_all = |m: &&MemberId| next.is_undersized() || next.members.contains(m);
    complete.iter().filter(keeps_all).copied().collect()
}

/// Returns the complete nodes outside the chain that become members at once, as far as copies are missing: former members
/// that have returned, and learners that have copied everything. A retiring node is accepted only if no member is
/// complete.
pub(super) fn rejoining_replicas(
    members: &[MemberId],
    complete: &[MemberId],
    input: &PlacementInput,
) -> Vec<MemberId> {
    let outside = complete.iter().filter(|m| !members.contains(m));
    let eligible = members.iter().filter(|m| input.is_eligible(m)).count();
    let missing = input.copies.saturating_sub(eligible);
    let returned: Vec<MemberId> =
        outside.clone().filter(|m| input.is_eligible(m)).take(missing).copied().collect();
    let has_complete = members.iter().chain(&returned).any(|m| complete.contains(m));
    if has_complete { returned } else { outside.filter(|m| input.is_healthy(m)).take(1).copied().collect() }
}

/// Moves complete members to the front, since entries that the head's log lacks are lost. Returns false if no member is
/// complete.
pub(super) fn order_complete_first(members: &mut [MemberId], complete: &[MemberId]) -> bool {
    members.sort_by_key(|m| !complete.contains(m));
    members.first().is_some_and(|m| complete.contains(m))
}

/// Returns whether no node can hold everything that a partition has committed: the disks of all complete replicas were
/// replaced, and each member has either lost its disk, too, or is healthy and has not reported that it is complete. A
/// member that is complete reports so within a second, so the caller confirms the result for longer than that.
pub fn is_partition_lost(partition: u16, placement: &Placement, input: &PlacementInput) -> bool {
    let complete = complete_replicas(partition, placement, input);
    let is_behind = |m: &MemberId| !complete.contains(m) && input.is_healthy(m);
    complete.iter().all(|m| input.is_wiped(m))
        && placement.members.iter().all(|m| input.is_wiped(m) || is_behind(m))
}
