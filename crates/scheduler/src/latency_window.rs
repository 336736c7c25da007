//! Recent latencies of a route, and the hedge delay derived from them.

/// The number of latencies from which on the hedge delay is based on them instead of the route's target.
pub const MIN_SAMPLES: usize = 20;

/// The number of latencies that are kept.
const CAPACITY: usize = 128;
/// Until there are enough latencies, the hedge delay is the route's target divided by this.
const TARGET_DIVISOR: u64 = 4;

/// The most recent latencies of one route, in milliseconds.
#[derive(Debug)]
pub struct LatencyWindow {
    target_run_ms: u64,
    /// The percentile of the latencies that is used as the hedge delay.
    percent: usize,
    ring: Vec<u64>,
    next: usize,
    percentile_ms: u64,
}

impl LatencyWindow {
    /// Returns an empty window. `target_run_ms` is the time within which results of the route are due, and `percent`
    /// the percentile of the latencies that is used as the hedge delay, from 1 to 100.
    pub fn new(target_run_ms: u64, percent: usize) -> Self {
        Self { target_run_ms, percent, ring: Vec::new(), next: 0, percentile_ms: 0 }
    }

    /// Sets the route's target, which may change with the configuration.
    pub fn set_target_run_ms(&mut self, target_run_ms: u64) {
        self.target_run_ms = target_run_ms;
    }

    /// Records the latency of a completed generation or request.
    pub fn record(&mut self, latency_ms: u64) {
        if self.ring.len() < CAPACITY {
            self.ring.push(latency_ms);
        } else {
            self.ring[self.next] = latency_ms;
        }
        self.next = (self.next + 1) % CAPACITY;
        let mut sorted = [0; CAPACITY];
        let sorted = &mut sorted[..self.ring.len()];
        sorted.copy_from_slice(&self.ring);
        let rank = (sorted.len() * self.percent).div_ceil(100) - 1;
        self.percentile_ms = *sorted.select_nth_unstable(rank).1;
    }

    /// Returns the age from which an attempt may be hedged, in milliseconds.
    pub fn hedge_delay_ms(&self) -> u64 {
        if self.ring.len() < MIN_SAMPLES { self.target_run_ms / TARGET_DIVISOR } else { self.percentile_ms }
    }
}
