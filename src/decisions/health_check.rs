//! Health checks: when they are sent to a replica, and what the reports say about its queue.

use super::Aggregator;
use super::latency::scaled;
use super::load::RATE_WINDOW;
use crate::interface::{ActionSink, Nanos, ReplicaIndex};
use crate::state::Replica;

/// Interval between health checks of a replica, in latency targets.
const CHECK_INTERVAL: f64 = 0.4;
/// The lowest rate, in shard requests per second, that is assumed for a replica, whatever it reports.
const MIN_RATE: f64 = 1.0;

impl Aggregator {
    pub(super) fn health_check_interval(&self) -> Nanos {
        scaled(self.shortest_latency_target(), CHECK_INTERVAL)
    }

    /// Sends a health check to the replica unless one is in flight. The next one follows after `interval` at the
    /// earliest.
    pub(super) fn check_health(&mut self, ix: ReplicaIndex, interval: Nanos, sink: &mut dyn ActionSink) {
        let in_flight = self.state.replicas[ix.0].health_check_sent_at.is_some();
        if self.settings.may_check_health && !in_flight {
            self.state.health_check_started(ix);
            self.health[ix.0].next_check_at = self.now() + interval;
            sink.check_health(ix);
        }
    }

    /// Returns how long the replica needs for its waiting shard requests, by its last health report. This detects
    /// servers whose whole queue is overdue: at an unchanged load they never catch up, while each front node has few
    /// attempts there and cannot measure a rate.
    pub(super) fn reported_wait(&self, replica: &Replica) -> Nanos {
        let span = scaled(self.shortest_latency_target(), RATE_WINDOW);
        let Some(report) = replica.load_report else { return 0 };
        let wait = (report.waiting / report.rate.max(MIN_RATE) * 1e9) as Nanos;
        if self.now() - report.at < wait.max(span) { wait } else { 0 }
    }
}
