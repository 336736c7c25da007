//! When membership changes are requested, and how they reset the health of replicas.

use rand::Rng;
use rand_pcg::Pcg64;

use super::Aggregator;
use super::ejection::ReplicaHealth;
use super::latency::scaled;
use crate::interface::{ActionSink, AggregatorSettings, Nanos};
use crate::state::AggregatorState;

/// The first pause after a miss is drawn from up to twice this fraction of the request interval.
const INITIAL_PAUSE: f64 = 0.05;
/// The longest pause doubles at most this many times.
const MAX_DOUBLINGS: u32 = 4;

/// Requests for membership changes, where these are sent only on request.
pub(super) struct MembershipRequests {
    /// When the next request is due; `None` while one is pending.
    due: Option<Nanos>,
    requested_at: Nanos,
    /// The number of consecutive requests without a result.
    misses: u32,
}

impl MembershipRequests {
    pub fn new(on_request: bool) -> Self {
        let due = on_request.then_some(Nanos::MIN);
        MembershipRequests { due, requested_at: Nanos::MIN / 2, misses: 0 }
    }

    pub fn is_due_later(&self) -> bool {
        self.due.is_some()
    }

    /// Requests the membership changes if that is due. After a miss the pauses grow and are randomized, so that the
    /// aggregators do not all query a restarted service at once.
    pub fn request_changes(
        &mut self,
        state: &mut AggregatorState,
        settings: &AggregatorSettings,
        rng: &mut Pcg64,
        sink: &mut dyn ActionSink,
    ) {
        if !settings.membership_on_request {
            return;
        }
        let now = state.now();
        if state.membership_lost {
            state.membership_lost = false;
            // If the watch had lasted for longer than the request interval before it failed, this is no repeated
            // miss: the pauses start again from the shortest.
            let last = self.requested_at.max(state.membership_received_at.unwrap_or(self.requested_at));
            if now - last > settings.membership_request_interval {
                self.misses = 0;
            }
            self.misses = (self.misses + 1).min(MAX_DOUBLINGS);
            let longest = scaled(settings.membership_request_interval, INITIAL_PAUSE) << self.misses;
            self.due = Some(now + rng.random_range(longest / 4..=longest));
        } else if state.membership_received_at == Some(now) && self.due.is_none() {
            self.misses = 0;
        }
        if self.due.is_some_and(|due| due <= now) {
            (self.due, self.requested_at) = (None, now);
            sink.request_membership();
        }
    }
}

impl Aggregator {
    /// Resets the ejection state of replicas that are new, were replaced in their slot, or whose verification changed.
    pub(super) fn apply_membership_changes(&mut self) {
        let now = self.now();
        self.health.resize(self.state.replicas.len(), ReplicaHealth::NEW);
        self.state.removed_replicas.drain(..).for_each(|ix| self.health[ix.0] = ReplicaHealth::NEW);
        for change in self.state.verification_changes.drain(..) {
            self.health[change.replica.0] = ReplicaHealth::of_verification(&change, now);
        }
    }
}
