//! Estimates of shard request latencies, computed once per round.

use super::Aggregator;
use crate::interface::Nanos;
use crate::trace::TraceEvent;

/// The number of latency samples below which no percentile is computed.
const MIN_SAMPLES: usize = 20;
/// The percentile of recent latencies after which a request may be hedged.
const HEDGE_PERCENTILE: f64 = 0.95;
/// The percentile that counts as the usual longest latency. Admission and further attempts at ejected replicas use it.
const LONG_LATENCY_PERCENTILE: f64 = 0.9;
/// Before percentiles are available, the latency of a shard request is assumed to be this fraction of the latency
/// target.
pub(super) const ASSUMED_LATENCY: f64 = 0.25;
/// The response time-out is this multiple of the median latency, but at least [`MIN_TIMEOUT`] of a latency target and
/// at most a whole one. The median is used because upper percentiles move at once when part of the fleet gets slow.
const TIMEOUT_MULTIPLE: f64 = 4.0;
const MIN_TIMEOUT: f64 = 0.25;
/// Length of the recent window, in multiples of the longest deadline.
const RECENT_WINDOW: f64 = 2.0;
/// The last outcome at a replica is remembered for this many intervals between shard requests to the same replica, on
/// average.
const REMEMBERED_REVISITS: Nanos = 2;

/// Latency estimates for one round. The percentiles are `None` until enough shard requests were timed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyEstimates {
    pub median: Option<Nanos>,
    pub longest: Option<Nanos>,
    pub hedge_delay: Option<Nanos>,
    /// A replica that answers nothing for this long is unresponsive.
    pub response_timeout: Nanos,
    /// How long outcomes at a replica are remembered, based on the mean time between two shard requests to it.
    pub revisit_interval: Nanos,
}

impl Aggregator {
    pub(super) fn estimate_latencies(&mut self) {
        let took: Vec<Nanos> = self.state.latencies.iter().collect();
        let usual = |fraction| (took.len() >= MIN_SAMPLES).then(|| percentile(took.clone(), fraction));
        let (median, longest) = (usual(0.5), usual(LONG_LATENCY_PERCENTILE));
        let hedge_delay = usual(HEDGE_PERCENTILE);
        let response_timeout = self.response_timeout(median);
        self.latency = LatencyEstimates {
            median,
            longest,
            hedge_delay,
            response_timeout,
            revisit_interval: self.mean_revisit_interval(),
        };
        self.state.record(|| TraceEvent::LatenciesEstimated {
            median: median.unwrap_or(0),
            longest: longest.unwrap_or(0),
            response_timeout,
        });
    }

    pub(super) fn shortest_latency_target(&self) -> Nanos {
        self.settings.classes.iter().map(|class| class.latency_target).min().unwrap_or(0)
    }

    /// Returns the length of the window whose events count as recent.
    pub(super) fn recent_window(&self) -> Nanos {
        let deadline = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        scaled(deadline, RECENT_WINDOW)
    }

    fn response_timeout(&self, median: Option<Nanos>) -> Nanos {
        let target = self.shortest_latency_target();
        let usual = median.map_or(0, |median| scaled(median, TIMEOUT_MULTIPLE));
        usual.clamp(scaled(target, MIN_TIMEOUT), target)
    }

    /// Returns [`REMEMBERED_REVISITS`] times the average time between two shard requests to the same replica, at most
    /// that many recent windows.
    fn mean_revisit_interval(&self) -> Nanos {
        let window = self.recent_window();
        let requests = self.state.recent.shard_requests.count_after(self.now() - window);
        REMEMBERED_REVISITS
            * window.min(window / requests.max(1) as Nanos * self.state.serving_replicas() as Nanos)
    }

    /// Returns the median latency of a shard request, or an assumption before it is known. At least 1 ns.
    pub(super) fn usual_latency(&self) -> Nanos {
        self.latency.median.unwrap_or(scaled(self.shortest_latency_target(), ASSUMED_LATENCY)).max(1)
    }
}

pub(super) fn scaled(time: Nanos, by: f64) -> Nanos {
    (time as f64 * by) as Nanos
}

/// Returns the sample at the given quantile (0 to 1). `samples` must not be empty.
pub(super) fn percentile(mut samples: Vec<Nanos>, fraction: f64) -> Nanos {
    let position = ((samples.len() as f64 * fraction) as usize).min(samples.len() - 1);
    *samples.select_nth_unstable(position).1
}
