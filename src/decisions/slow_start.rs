//! Slow start: how many attempts a recently started replica may get from this front node.

use super::Aggregator;
use super::ejection::TRIAL_REQUESTS;
use super::latency::scaled;
use crate::interface::{Nanos, ReplicaIndex};
use crate::state::{ConnectFailure, Replica, ShardRequest};

/// Fraction of a warming server's quota that this front node uses. The rest allows for clock error, chance, and front
/// nodes with different traffic.
const QUOTA_SAFETY_FACTOR: f64 = 0.7;
/// A connection failure within this fraction of the usual latency counts as refused, not as a slow connection.
const MAX_REFUSAL_TIME: f64 = 0.25;
/// The golden ratio conjugate: its multiples modulo 1 are evenly spread, however few there are.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_75;
/// Completed shard requests are counted over the warm-up time divided by this.
const COMPLETION_SPANS: Nanos = 4;
/// Lower bound of a quota, so that the time between two attempts stays finite.
const MIN_QUOTA: f64 = 1e-6;

impl Aggregator {
    /// Returns when the server started. A server may crash and restart cold before the endpoint list says so, or
    /// without any notice: one that refused a connection counts as started at that time, until it has answered some
    /// shard requests. Only fast failures count as refused; a slower one may be a slow connection. Cost: a server
    /// that refuses for another reason gets the quota of a warming one.
    fn running_since(&self, replica: &Replica) -> Option<Nanos> {
        let refused = |failure: &ConnectFailure| {
            failure.took < scaled(self.usual_latency(), MAX_REFUSAL_TIME)
                && replica.answered_since(failure.at) < TRIAL_REQUESTS
        };
        replica.started_at.max(replica.connect_failure.filter(refused).map(|failure| failure.at))
    }

    /// Returns the fraction of its capacity that a server has, by the time since its start.
    fn warmth(&self, replica: &Replica) -> f64 {
        let slow_start = &self.settings.slow_start;
        let Some(started_at) = self.running_since(replica) else { return 1.0 };
        let age = (self.now() - started_at).max(0) as f64 / slow_start.duration.max(1) as f64;
        if age >= 1.0 { 1.0 } else { slow_start.initial_share + (1.0 - slow_start.initial_share) * age }
    }

    /// Whether a warming server may get another attempt.
    ///
    /// Within the overload window this front node sends it at most `overload_multiple` times what warm replicas
    /// completed for this front node in that time, scaled by the server's warmth. What all front nodes complete
    /// together is within a server's capacity, so front nodes that all follow this rule keep the limit without
    /// communication. What the server itself completed counts as well; otherwise a fleet that restarted at once would
    /// stay at its minimum.
    ///
    /// The minimum is the quota from a budget that the fleet shares. Without one it is at most one shard request per
    /// window, because one from each of hundreds of front nodes overloads a warming server: it is this front node's
    /// part of what a server that executes one request at a time can do. Below one per window, attempts are spaced
    /// accordingly, and the first of each front node comes at its own phase, so that waiting requests do not all
    /// arrive in the server's first window. While no shard request waits for the server, requests arrive at about the
    /// rate that the budget is a multiple of, and that fraction of them is admitted.
    ///
    /// Cost: with many front nodes, if only a few have requests waiting for the server, it warms up half idle.
    pub(super) fn has_quota(&self, ix: ReplicaIndex) -> bool {
        let replica = &self.state.replicas[ix.0];
        let warmth = self.warmth(replica);
        if warmth >= 1.0 {
            return true;
        }
        let (now, window) = (self.now(), self.settings.slow_start.overload_window);
        let quota = self.quota(replica, warmth);
        let started_at = self.running_since(replica).unwrap_or(now);
        if quota >= 1.0 {
            return ((replica.attempts_since((now - window).max(started_at)) + 1) as f64) <= quota;
        }
        let spacing = scaled(window, 1.0 / quota.max(MIN_QUOTA));
        let is_turn = now - started_at >= scaled(spacing, self.phase)
            && replica.attempts_since((now - spacing).max(started_at)) == 0;
        let draw = self.phase
            + ix.0 as f64 * GOLDEN_RATIO_CONJUGATE
            + self.state.round() as f64 * GOLDEN_RATIO_CONJUGATE * GOLDEN_RATIO_CONJUGATE;
        let is_usual = draw.fract()
            < self.settings.slow_start.overload_multiple * warmth * QUOTA_SAFETY_FACTOR
            && !self.has_waiting_requests(ix);
        replica.warm_up_quota.is_none()
            && (is_turn || is_usual && replica.attempts_since((now - window).max(started_at)) == 0)
    }

    /// Returns the number of shard requests that a warming server may get from this front node per overload window.
    fn quota(&self, replica: &Replica, warmth: f64) -> f64 {
        let (now, slow_start) = (self.now(), &self.settings.slow_start);
        let span = slow_start.duration / COMPLETION_SPANS;
        let warm = self.state.replicas.iter().filter(|r| r.serving && self.warmth(r) >= 1.0);
        let done: Vec<usize> = warm.map(|r| r.answered_since(now - span)).collect();
        let from_warm = warmth * done.iter().sum::<usize>() as f64 / done.len().max(1) as f64;
        let own = replica.answered_since((now - span).max(self.running_since(replica).unwrap_or(now))) as f64;
        let in_window = from_warm.max(own) * slow_start.overload_window as f64 / span.max(1) as f64;
        let within_capacity = warmth * slow_start.overload_window as f64
            / (self.usual_latency() * self.settings.front_nodes as Nanos) as f64;
        let floor = replica
            .warm_up_quota
            .unwrap_or((slow_start.overload_multiple * within_capacity * QUOTA_SAFETY_FACTOR).min(1.0));
        (slow_start.overload_multiple * in_window * QUOTA_SAFETY_FACTOR).max(floor)
    }

    /// Whether a shard request that was received in an earlier round waits here and could go to the replica.
    fn has_waiting_requests(&self, ix: ReplicaIndex) -> bool {
        let waits = |request: &ShardRequest| {
            !request.is_in_flight() && self.state.query(request.query).received_at < self.now()
        };
        self.state
            .pending_requests()
            .any(|(_, request)| waits(request) && self.replicas_of(request.shard).any(|holder| holder == ix))
    }
}
