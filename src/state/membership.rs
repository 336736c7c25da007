//! Membership of the replicas, as reported by discovery.

use super::AggregatorState;
use super::replicas::Replica;
use crate::interface::{Nanos, ReplicaIndex, ShardRequestIndex};

/// A change of whether a replica is verified, that is, whether an up-to-date list names it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VerificationChange {
    /// Slot of the replica.
    pub replica: ReplicaIndex,
    /// Degree of distrust, from 1 up; 0 for a verified replica. See [`AggregatorState::replica_unverified`].
    pub steps: u32,
    /// When the replica's health may first be checked.
    pub check_from: Nanos,
}

impl AggregatorState {
    /// Adds a replica and returns its slot. Free slots are reused, so that replacing replicas all day does not use more
    /// memory.
    pub fn replica_discovered(&mut self, cell: usize) -> ReplicaIndex {
        let replica = Replica::new(cell, &self.limits);
        if let Some(free) = (0..self.replicas.len()).find(|&ix| self.is_free(ReplicaIndex(ix))) {
            self.replicas[free] = replica;
            ReplicaIndex(free)
        } else {
            self.replicas.push(replica);
            ReplicaIndex(self.replicas.len() - 1)
        }
    }

    /// Whether the slot can be reused: the replica was removed, nothing of ours is or may be there, and no shard
    /// request refers to it.
    fn is_free(&self, ix: ReplicaIndex) -> bool {
        let replica = &self.replicas[ix.0];
        replica.removed
            && replica.counted.is_empty()
            && replica.health_check_sent_at.is_none()
            && !self.requests.iter().any(|(_, request)| request.has_tried(ix))
    }

    /// Discovery removed the replica. Attempts in flight there may still end; its ejection state is dropped.
    pub fn replica_removed(&mut self, ix: ReplicaIndex) {
        let replica = &mut self.replicas[ix.0];
        if !replica.serving && !replica.removed {
            replica.removed = true;
            self.removed_replicas.push(ix);
        }
    }

    /// The list that names the replica is outdated: the replica may be draining, gone, or restarted. It gets no
    /// attempt before it has answered `2^(steps - 1)` health checks. The first of them is not sent before
    /// `check_from`, as hundreds of front nodes may start with the same list.
    pub fn replica_unverified(&mut self, replica: ReplicaIndex, steps: u32, check_from: Nanos) {
        self.replicas[replica.0].unverified = steps > 0;
        self.verification_changes.push(VerificationChange { replica, steps, check_from });
    }

    /// An up-to-date list names the replica, so it is no longer unverified.
    pub fn replica_verified(&mut self, replica: ReplicaIndex) {
        if std::mem::take(&mut self.replicas[replica.0].unverified) {
            self.verification_changes.push(VerificationChange { replica, steps: 0, check_from: 0 });
        }
    }

    /// Begins a membership update. If `complete`, the update lists every replica that exists.
    pub fn membership_update_begins(&mut self, complete: bool) {
        self.update_is_complete = complete;
        self.replicas.iter_mut().for_each(|replica| replica.listed = false);
    }

    /// The current update lists a replica.
    pub fn member_listed(&mut self, ix: ReplicaIndex, cell: usize, serving: bool, started_at: Option<Nanos>) {
        let replica = &mut self.replicas[ix.0];
        if started_at.is_some() && started_at != replica.started_at {
            // What an earlier process held or answered says nothing about the new one.
            replica.counted.retain(|counted| counted.ended.is_none());
            replica.samples.clear();
        }
        (replica.listed, replica.cell, replica.serving, replica.started_at) =
            (true, cell, serving, started_at);
        replica.removed = false;
    }

    /// Ends the current update. After a complete update, replicas that it did not list no longer serve.
    pub fn membership_update_ends(&mut self) {
        if self.update_is_complete {
            self.replicas.iter_mut().filter(|r| !r.listed).for_each(|r| r.serving = false);
        }
        self.cells.iter_mut().for_each(Vec::clear);
        for (ix, replica) in self.replicas.iter().enumerate().filter(|(_, r)| r.serving) {
            self.cells.resize(self.cells.len().max(replica.cell + 1), Vec::new());
            self.cells[replica.cell].push(ReplicaIndex(ix));
        }
        self.membership_lost = false;
        self.membership_received_at = Some(self.now);
    }

    /// The source of membership changes no longer responds.
    pub fn membership_lost(&mut self) {
        self.membership_lost = true;
    }

    /// Returns the number of serving replicas, according to discovery.
    pub fn serving_replicas(&self) -> usize {
        self.cells.iter().map(Vec::len).sum()
    }

    /// Returns the serving replicas of a cell, according to discovery.
    pub fn replicas_in_cell(&self, cell: usize) -> impl Iterator<Item = ReplicaIndex> {
        self.cells.get(cell).into_iter().flatten().copied()
    }

    /// Whether an attempt of the shard request still counts as in flight at the replica.
    pub fn counts_attempt_of(&self, replica: ReplicaIndex, request: ShardRequestIndex) -> bool {
        self.replicas[replica.0].counted.iter().any(|counted| counted.request == request)
    }
}
