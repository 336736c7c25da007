//! Load and health of the replicas, as seen by the attempts of one round.

use std::ops::Index;

use super::Aggregator;
use crate::interface::{Nanos, ReplicaIndex, ShardRequestIndex};

/// A snapshot of one replica, used to place the attempts of a round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub healthy: bool,
    /// Whether the replica may get another attempt under slow start. False for a warming server whose quota is used
    /// up.
    pub has_quota: bool,
    /// Estimated time until the replica has finished what this front node sent it.
    pub backlog: Nanos,
    /// Whether a shard request sent now would join a call that is already being written.
    pub joins_call: bool,
    /// Calls of this front node in flight at the replica.
    pub calls: usize,
    /// Calls in flight if one more shard request is sent.
    pub calls_with_one_more: usize,
}

/// Candidates by replica slot.
pub(super) struct Candidates(Vec<Option<Candidate>>);

impl Candidates {
    /// Whether the replica has quota and no rival with quota has fewer calls in flight, each counted with one more
    /// shard request.
    pub fn has_fewest_calls(&self, ix: ReplicaIndex, rivals: &[ReplicaIndex]) -> bool {
        let rivals = rivals.iter().copied().filter(|&rival| self[rival].has_quota);
        self[ix].has_quota
            && rivals
                .map(|rival| self[rival].calls_with_one_more)
                .all(|calls| self[ix].calls_with_one_more <= calls)
    }

    /// Replaces the snapshot of a replica after an attempt was started at it.
    pub fn update(&mut self, ix: ReplicaIndex, candidate: Candidate) {
        self.0[ix.0] = Some(candidate);
    }
}

impl Index<ReplicaIndex> for Candidates {
    type Output = Candidate;

    fn index(&self, ix: ReplicaIndex) -> &Candidate {
        self.0[ix.0].as_ref().expect("candidates were made of all replicas of the shards in hand")
    }
}

impl Aggregator {
    pub(super) fn candidate(&self, ix: ReplicaIndex) -> Candidate {
        let (joins_call, calls) = (self.joins_call(ix), self.calls_in_flight(ix));
        Candidate {
            healthy: self.is_healthy(ix),
            has_quota: self.has_quota(ix),
            backlog: self.backlog(ix),
            joins_call,
            calls,
            calls_with_one_more: calls + usize::from(!joins_call),
        }
    }

    /// Returns snapshots of the replicas that hold the shards of these requests. Other replicas of a large fleet are
    /// skipped.
    pub(super) fn candidates(&self, requests: impl Iterator<Item = ShardRequestIndex>) -> Candidates {
        let mut shards: Vec<usize> = requests.map(|ix| self.state.request(ix).shard).collect();
        shards.sort_unstable();
        shards.dedup();
        let mut candidates = vec![None; self.state.replicas.len()];
        for ix in shards.into_iter().flat_map(|shard| self.replicas_of(shard)) {
            if candidates[ix.0].is_none() {
                candidates[ix.0] = Some(self.candidate(ix));
            }
        }
        Candidates(candidates)
    }
}
