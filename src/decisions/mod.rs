//! The decisions of an aggregator, with their thresholds and tuned values, one concern per module. The facts that
//! they are based on are in [`crate::state`]; the settings that the host passes in, and the sink that receives the
//! decisions, are in [`crate::interface`].
//!
//! The host calls [`Aggregator::round`] once per round. Its `receive` callback records everything that happened since
//! the previous round; when it returns, the aggregator decides and calls the sink. `docs/design.md` cites the sources
//! of the design.

mod admission;
mod candidates;
mod completion;
mod deadline;
mod ejection;
mod health_check;
mod hedging;
mod latency;
mod load;
mod membership;
mod retry;
mod selection;
mod slow_start;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub use ejection::EjectionRecord;

use crate::interface::{ActionSink, AggregatorSettings, Nanos, ReplicaIndex};
use crate::state::{AggregatorState, SampleLimits};
use crate::trace::TraceRecord;
use ejection::ReplicaHealth;
use latency::LatencyEstimates;
use membership::MembershipRequests;

/// Enough latencies for a stable percentile, and few enough to follow a change within seconds.
const SAMPLE_LIMITS: SampleLimits = SampleLimits {
    latencies: 200,
    per_replica: 48,
    attempt_times: 64,
    health_checks: 8,
    lost_connections: 16,
};
/// Ticks until the next round that the aggregator requests while a query is open.
const WAKE_TICKS: Nanos = 2;

/// Distributes the shard requests of queries over the replicas of the shards, for one front node.
pub struct Aggregator {
    settings: AggregatorSettings,
    state: AggregatorState,
    rng: Pcg64,
    /// Ejection state of each replica, by slot.
    health: Vec<ReplicaHealth>,
    membership: MembershipRequests,
    latency: LatencyEstimates,
    /// Random number from 0 to 1, drawn once. Spreads the attempts of many front nodes over time where each of them may
    /// send a warming server only a few.
    phase: f64,
    /// Time of the round that was last requested.
    wake_at: Nanos,
}

impl Aggregator {
    /// Returns an aggregator without replicas. The same seed and the same inputs give the same decisions.
    pub fn new(settings: AggregatorSettings, seed: u64) -> Self {
        let rng = Pcg64::seed_from_u64(seed);
        Aggregator {
            state: AggregatorState::new(SAMPLE_LIMITS),
            health: Vec::new(),
            membership: MembershipRequests::new(settings.membership_on_request),
            latency: LatencyEstimates::default(),
            phase: rng.clone().random(),
            wake_at: Nanos::MIN,
            rng,
            settings,
        }
    }

    /// Returns the facts that the decisions are based on.
    pub fn state(&self) -> &AggregatorState {
        &self.state
    }

    /// Turns the trace on or off. While it is on, the reason of each decision is recorded.
    pub fn set_tracing(&mut self, on: bool) {
        self.state.set_tracing(on);
    }

    /// Returns and removes the trace records made since the last call.
    pub fn take_trace(&mut self) -> Vec<TraceRecord> {
        self.state.take_trace()
    }

    /// Returns the ejection state of a replica, for hosts that keep it over a restart, or `None` if no round has run
    /// since the slot was created.
    pub fn ejection_record(&self, replica: ReplicaIndex) -> Option<EjectionRecord> {
        self.health.get(replica.0).map(ReplicaHealth::record)
    }

    /// Runs one round: `receive` records what happened since the previous round, then the decisions are sent to the
    /// sink.
    pub fn round(
        &mut self,
        now: Nanos,
        receive: impl FnOnce(&mut AggregatorState),
        sink: &mut dyn ActionSink,
    ) {
        self.state.begin_round(now);
        receive(&mut self.state);
        self.apply_membership_changes();
        self.estimate_latencies();
        self.membership.request_changes(&mut self.state, &self.settings, &mut self.rng, sink);
        self.release_counts();
        self.update_ejections(sink);
        self.finish_queries(sink);
        self.place_requests(sink);
        self.start_hedges(sink);
        self.cancel_superfluous(sink);
        let budget_window = self.settings.retry_budget.map_or(0, |budget| budget.window);
        self.state.prune(now - self.recent_window().max(budget_window));
        self.request_round(sink);
    }

    fn now(&self) -> Nanos {
        self.state.now()
    }

    fn request_round(&mut self, sink: &mut dyn ActionSink) {
        let now = self.now();
        let watched = self.health.iter().any(ReplicaHealth::is_ejected) || self.membership.is_due_later();
        if self.wake_at <= now && (watched || self.state.open_queries().next().is_some()) {
            self.wake_at = now + WAKE_TICKS * self.settings.tick;
            sink.wake_at(self.wake_at);
        }
    }
}
