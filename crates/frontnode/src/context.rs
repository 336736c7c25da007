//! The context that all modules of the node share: the time of the round, timers, metrics and optional recorders.

use orchidvalve::interface::Nanos;
use orchidvalve::state::SampleRing;

use crate::deadlines::Deadlines;
use crate::event_loop::{EventLoopHandle, EventSource, Timer};
use crate::maintenance_requests::MaintenanceRequests;
use crate::metrics::{Gauge, Metrics};
use crate::persistence::PersistentState;
use crate::recorder::Recorder;

/// The state that all modules of the node use in a round.
pub struct Context {
    /// The time of this round.
    pub now: Nanos,
    /// The event loop, with which connections are registered.
    pub events: EventLoopHandle,
    /// All timers of the node.
    pub deadlines: Deadlines<Timer>,
    /// The counters of `/metrics`.
    pub metrics: Metrics,
    /// The durations of the last rounds, including their reads and writes.
    pub round_durations: SampleRing<Nanos>,
    /// Sources that still have work for the next round.
    pub ready_again: Vec<EventSource>,
    /// The state that survives a restart; `None` if persistence is disabled.
    pub persistent_state: Option<PersistentState>,
    /// Gauges of the fleet; empty if it is disabled.
    pub fleet_gauges: Vec<Gauge>,
    /// Gauges of the cold start; empty if it is disabled.
    pub cold_start_gauges: Vec<Gauge>,
    /// Gauges of maintenance; empty if it is disabled.
    pub maintenance_gauges: Vec<Gauge>,
    /// The operators' view and requests of maintenance; `None` if it is disabled.
    pub maintenance_requests: Option<MaintenanceRequests>,
    /// Records the queries of clients; `None` if recording is disabled.
    pub recorder: Option<Recorder>,
}

impl Context {
    /// Returns the 99th percentile of the last rounds' durations.
    pub fn round_p99(&self) -> Nanos {
        let mut durations: Vec<Nanos> = self.round_durations.iter().collect();
        durations.sort_unstable();
        durations.get(durations.len() * 99 / 100).copied().unwrap_or(0)
    }
}
