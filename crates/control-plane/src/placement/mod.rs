//! Placement: decides which store nodes hold which partition. The planner does no I/O; the leader of the control chain
//! runs it.
//!
//! A partition has one copy more than the number of losses to tolerate, in distinct zones where possible. A lost member is
//! removed at once, provided that a remaining member is known to be complete; a learner then copies the partition from
//! the tail and becomes a member when its copy is complete. A retiring node stays a member until its replacement is
//! complete.

mod complete_replicas;

use orchidvalve_chain_replication::Epoch;
use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::MemberId;

use crate::placement::complete_replicas::{
    complete_in_next_view, complete_replicas, order_complete_first, rejoining_replicas,
};

pub use crate::placement::complete_replicas::is_partition_lost;

/// Number of partitions of the batch store. The id of a job determines its partition.
pub const PARTITIONS: u16 = 8;

/// A store node that has an open session.
#[derive(Clone, PartialEq, Debug)]
pub struct LiveStoreNode {
    /// Address and disk of the node.
    pub member: MemberId,
    /// Failure domain of the node's machine.
    pub zone: String,
    /// Whether the node is retiring or shutting down.
    pub retiring: bool,
    /// Whether its disk is so full that it receives only copies that replace those of lost nodes.
    pub is_full: bool,
    /// Whether its disk fails writes.
    pub disk_failing: bool,
}

/// A report that a learner has copied everything, or that a member holds everything committed before its view.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct CaughtUp {
    /// Number of the partition.
    pub partition: u16,
    /// Epoch of the view in which the node has caught up.
    pub epoch: Epoch,
    /// The learner or member that has caught up.
    pub member: MemberId,
}

/// The facts that a plan is made from.
pub struct PlacementInput<'a> {
    /// Store nodes that have a session.
    pub live: &'a [LiveStoreNode],
    /// Reports of learners and members that have caught up.
    pub caught_up: &'a BTreeSet<CaughtUp>,
    /// Number of copies of each partition.
    pub copies: usize,
    /// Partitions that restart empty, because [`is_partition_lost`] has held for long enough.
    pub lost: &'a BTreeSet<u16>,
}

impl PlacementInput<'_> {
    /// Returns the live store node that is this member: same address, same disk.
    fn live_store_node(&self, member: &MemberId) -> Option<&LiveStoreNode> {
        self.live.iter().find(|s| s.member == *member)
    }

    /// Returns whether the node's address has returned with another disk, so that its copies are gone.
    fn is_wiped(&self, member: &MemberId) -> bool {
        let is_at_address = |s: &&LiveStoreNode| s.member.address == member.address;
        self.live.iter().find(is_at_address).is_some_and(|s| s.member != *member)
    }

    /// Returns whether the node has a session and a working disk.
    fn is_healthy(&self, member: &MemberId) -> bool {
        self.live_store_node(member).is_some_and(|s| !s.disk_failing)
    }

    fn has_caught_up(&self, partition: u16, epoch: Epoch, member: &MemberId) -> bool {
        self.caught_up.contains(&CaughtUp { partition, epoch, member: *member })
    }

    /// Returns whether a node may hold copies in the next view: it has a session and a working disk and is not retiring.
    fn is_eligible(&self, member: &MemberId) -> bool {
        self.live_store_node(member).is_some_and(|s| !s.disk_failing && !s.retiring)
    }
}

/// Returns the first placement of all partitions; empty until there are enough store nodes.
pub fn initial_placement(input: &PlacementInput) -> Vec<(u16, Placement)> {
    let stores = by_alternating_zone(input);
    if stores.len() < input.copies {
        return Vec::new();
    }
    let mut load: BTreeMap<MemberId, usize> = BTreeMap::new();
    let mut place = |partition: u16| {
        let first = stores[usize::from(partition) % stores.len()];
        let placement = empty_partition_placement(1, first, input, &load);
        for member in &placement.members {
            *load.entry(*member).or_default() += 1;
        }
        (partition, placement)
    };
    (0..PARTITIONS).map(&mut place).collect()
}

/// Returns a placement of an empty partition with `first` as its head. There have to be enough store nodes.
fn empty_partition_placement(
    epoch: Epoch,
    first: MemberId,
    input: &PlacementInput,
    load: &BTreeMap<MemberId, usize>,
) -> Placement {
    let mut members = vec![first];
    while members.len() < input.copies {
        members.extend(pick_learner(&members, input, load));
    }
    let copies = input.copies as u32;
    Placement { epoch, complete_replicas: members.clone(), members, copies, ..Placement::default() }
}

/// Returns the eligible store nodes, ordered so that neighbours are in different zones where possible.
fn by_alternating_zone(input: &PlacementInput) -> Vec<MemberId> {
    let mut zones: BTreeMap<&str, Vec<MemberId>> = BTreeMap::new();
    for store in input.live.iter().filter(|s| input.is_eligible(&s.member)) {
        zones.entry(&store.zone).or_default().push(store.member);
    }
    let mut columns: Vec<Vec<MemberId>> = zones.into_values().collect();
    for column in &mut columns {
        column.sort();
    }
    let longest = columns.iter().map(Vec::len).max().unwrap_or(0);
    (0..longest).flat_map(|row| columns.iter().filter_map(move |c| c.get(row).copied())).collect()
}

/// Returns the changes of placements that are due now. Each partition changes by one step at a time.
pub fn plan(partitions: &[Placement], input: &PlacementInput) -> Vec<(u16, Placement)> {
    let mut load = loads(partitions);
    let mut changes = Vec::new();
    for (index, placement) in partitions.iter().enumerate() {
        let partition = index as u16;
        let next = if input.lost.contains(&partition) {
            restart_empty(placement, input, &load)
        } else {
            next_step(partition, placement, input, &load)
        };
        if let Some(next) = next {
            let added_learners = next.learners.iter().filter(|l| !placement.learners.contains(l));
            let restarted = next.members.iter().filter(|_| next.reset_epoch != placement.reset_epoch);
            for added in added_learners.chain(restarted) {
                *load.entry(*added).or_default() += 1;
            }
            changes.push((partition, Placement { epoch: placement.epoch + 1, ..next }));
        }
    }
    changes
}

fn loads(partitions: &[Placement]) -> BTreeMap<MemberId, usize> {
    let mut load = BTreeMap::new();
    for member in partitions.iter().flat_map(|p| p.members.iter().chain(&p.learners)) {
        *load.entry(*member).or_default() += 1;
    }
    load
}

fn next_step(
    partition: u16,
    placement: &Placement,
    input: &PlacementInput,
    load: &BTreeMap<MemberId, usize>,
) -> Option<Placement> {
    let complete = complete_replicas(partition, placement, input);
    let mut members: Vec<MemberId> =
        placement.members.iter().filter(|m| input.is_healthy(m)).copied().collect();
    members.extend(rejoining_replicas(&members, &complete, input));
    if members.first() != placement.members.first() && !order_complete_first(&mut members, &complete) {
        // Only a complete replica can be the next head: wait until one returns or reports.
        return None;
    }
    let incomplete = demote_incomplete(&mut members, placement, &complete, input);
    let has_caught_up = |m: &MemberId| input.has_caught_up(partition, placement.epoch, m);
    let eligible =
        placement.learners.iter().filter(|m| input.is_eligible(m) && !members.contains(m)).copied();
    let (caught_up, mut learners): (Vec<MemberId>, Vec<MemberId>) = eligible.partition(has_caught_up);
    learners.extend(incomplete.into_iter().filter(|m| input.is_eligible(m)));
    members.extend(caught_up);
    let mut next = Placement { members, copies: input.copies as u32, ..placement.clone() };
    let still_complete = complete_in_next_view(&next, &complete);
    remove_retiring(&mut next.members, input, &still_complete);
    if next.members.first() != placement.members.first() {
        order_complete_first(&mut next.members, &complete);
    }
    if next.members.iter().filter(|m| input.is_eligible(m)).count() >= input.copies {
        learners.clear();
    } else if learners.is_empty() {
        learners.extend(pick_learner(&next.members, input, load));
    }
    next.learners = learners;
    if next == *placement && !would_record_copies(placement, &still_complete) {
        return None;
    }
    next.complete_replicas = complete_in_next_view(&next, &complete);
    Some(next)
}

/// Removes the members that are not known to be complete if a complete one is lost and fewer complete members than copies
/// remain; the removed members copy the partition again. The chain is undersized then and commits nothing, so the lost
/// member stays complete. It may be needed if the remaining members lose their disks in the same fault.
fn demote_incomplete(
    members: &mut Vec<MemberId>,
    before: &Placement,
    complete: &[MemberId],
    input: &PlacementInput,
) -> Vec<MemberId> {
    let is_lost = |m: &&MemberId| complete.contains(m) && !input.is_healthy(m);
    let left = members.iter().filter(|m| complete.contains(m)).count();
    if left == 0 || left >= input.copies || !before.members.iter().any(|m| is_lost(&m)) {
        return Vec::new();
    }
    members.extract_if(.., |m| !complete.contains(m)).collect()
}

/// Returns whether another view is needed only to record that members are complete. This is so if a member that joined has
/// reported after the members recorded before were lost; only then may a retiring node be removed. A chain with too many
/// members gets another view anyway.
fn would_record_copies(placement: &Placement, still_complete: &[MemberId]) -> bool {
    let recorded = Placement { complete_replicas: still_complete.to_vec(), ..placement.clone() };
    let is_too_long = placement.members.len() > placement.copies as usize;
    !is_too_long && !has_all_copies(placement) && has_all_copies(&recorded)
}

/// Returns a placement with which a lost partition restarts empty; `None` until there are enough store nodes.
fn restart_empty(
    placement: &Placement,
    input: &PlacementInput,
    load: &BTreeMap<MemberId, usize>,
) -> Option<Placement> {
    let eligible = input.live.iter().filter(|s| input.is_eligible(&s.member)).count();
    if eligible < input.copies {
        return None;
    }
    let first = pick_learner(&[], input, load)?;
    let fresh = empty_partition_placement(placement.epoch, first, input, load);
    Some(Placement { reset_epoch: placement.epoch + 1, ..fresh })
}

/// Removes retiring nodes one by one, as long as enough complete members remain. The remaining members may be retiring,
/// too, and then wait for their own replacements. Entries that were committed after a learner had caught up reach it only
/// in the view in which it becomes a member; it does not count as complete until it has reported them, too.
fn remove_retiring(members: &mut Vec<MemberId>, input: &PlacementInput, still_complete: &[MemberId]) {
    let mut complete = members.iter().filter(|m| still_complete.contains(m)).count();
    members.retain(|member| {
        let left = complete - usize::from(still_complete.contains(member));
        let is_released = !input.is_eligible(member) && left >= input.copies;
        if is_released {
            complete = left;
        }
        !is_released
    });
    if members.iter().all(|m| input.is_eligible(m) && still_complete.contains(m)) {
        // One member too many remains if a retirement was cancelled before it was complete.
        members.truncate(input.copies);
    }
}

/// Chooses the store node that copies the partition next: one with free disk space, in a zone without a copy, with the
/// fewest copies. A node without free space is chosen only if copies are missing.
fn pick_learner(
    members: &[MemberId],
    input: &PlacementInput,
    load: &BTreeMap<MemberId, usize>,
) -> Option<MemberId> {
    // The zone of a retiring node counts as free.
    let eligible = members.iter().filter(|m| input.is_eligible(m));
    let zones: Vec<&str> =
        eligible.filter_map(|m| input.live_store_node(m)).map(|s| s.zone.as_str()).collect();
    let is_missing = members.len() < input.copies;
    let free = input.live.iter().filter(|s| input.is_eligible(&s.member) && !members.contains(&s.member));
    let cost = |s: &&LiveStoreNode| {
        let load = load.get(&s.member).copied().unwrap_or(0);
        (s.is_full, zones.contains(&s.zone.as_str()), load, s.member)
    };
    free.filter(|s| is_missing || !s.is_full).min_by_key(cost).map(|s| s.member)
}

/// Returns whether a store node can be removed together with its disk: it is neither member nor learner of any partition,
/// and enough other nodes are known to be complete for each partition. The second condition matters for a node that was
/// removed only because it could not be reached: it may hold a copy that is still needed.
pub fn can_remove_store_node(member: &MemberId, partitions: &[Placement]) -> bool {
    let is_involved = |p: &Placement| p.members.contains(member) || p.learners.contains(member);
    partitions.iter().all(|p| !is_involved(p) && has_all_copies(p))
}

/// Returns whether enough members are recorded as complete to make up all copies.
fn has_all_copies(placement: &Placement) -> bool {
    let complete = placement.members.iter().filter(|m| placement.complete_replicas.contains(m)).count();
    complete >= placement.copies as usize
}
