//! The recent demand of a service: its peaks over the last seconds and minutes, the speed of its servers, and whether work
//! piles up. The scaling planner decides by it.

use std::collections::VecDeque;

use orchidvalve_chain_replication::Milliseconds;

use crate::load_summaries::ServiceDemand;

/// Length of the window, in milliseconds. Several batch jobs of a trainer arrive within it.
pub const WINDOW_MS: Milliseconds = 20_000;
/// Peaks are remembered for this time, in milliseconds: demand that pauses for longer than the window may return at its
/// former level.
pub const MEMORY_MS: Milliseconds = 300_000;
/// One peak is remembered for each span of this length, in milliseconds.
const MEMORY_SPAN_MS: Milliseconds = 10_000;
/// The speed of servers is measured over spans of this length, in milliseconds. Reports of processes are up to half a second
/// apart, and work that passes from one process to another is missing or counted twice meanwhile.
const SPEED_SPAN_MS: Milliseconds = 2_000;
/// Work piles up if demand has exceeded the slots for this time without decreasing, in milliseconds.
const PILE_UP_SPAN_MS: Milliseconds = 5_000;

/// Servers count as full when this fraction of their slots is in use: gateways divide the slots among themselves, and not
/// every gateway has work for its own.
const SATURATION_FRACTION: f64 = 0.8;

/// Demand and capacity of a service at one time.
#[derive(Clone, Copy, Debug)]
pub struct DemandSample {
    /// Time of the sample, in milliseconds.
    pub at: Milliseconds,
    /// Outstanding work.
    pub demand: ServiceDemand,
    /// Total slots of the servers that accepted requests.
    pub slots: u32,
}

impl DemandSample {
    /// Returns whether more work is outstanding than fits on the servers while they are busy. Work that waits for something
    /// else, such as new weights, does not finish sooner with more servers.
    fn is_saturated(&self) -> bool {
        let is_full = f64::from(self.demand.running) >= f64::from(self.slots) * SATURATION_FRACTION;
        is_full && self.demand.outstanding() > self.slots
    }
}

/// The peak demand within one span of the memory.
#[derive(Clone, Copy, Debug)]
struct SpanPeak {
    began_at: Milliseconds,
    /// Most outstanding work at any time of the span.
    outstanding: u32,
}

/// Samples of the last [`WINDOW_MS`] and peaks of the last [`MEMORY_MS`], oldest first.
#[derive(Default, Debug)]
pub struct DemandWindow {
    samples: VecDeque<DemandSample>,
    /// Since when samples have followed each other without a gap.
    covered_since: Option<Milliseconds>,
    peaks: VecDeque<SpanPeak>,
}

impl DemandWindow {
    /// Adds the latest sample and drops those that are too old.
    pub fn push(&mut self, sample: DemandSample) {
        self.covered_since.get_or_insert(sample.at);
        self.samples.push_back(sample);
        while self.samples.front().is_some_and(|oldest| oldest.at + WINDOW_MS < sample.at) {
            self.samples.pop_front();
        }
        self.remember(sample);
    }

    fn remember(&mut self, sample: DemandSample) {
        let outstanding = sample.demand.outstanding();
        match self.peaks.back_mut().filter(|peak| sample.at < peak.began_at + MEMORY_SPAN_MS) {
            Some(peak) => peak.outstanding = peak.outstanding.max(outstanding),
            None => self.peaks.push_back(SpanPeak { began_at: sample.at, outstanding }),
        }
        while self.peaks.front().is_some_and(|oldest| oldest.began_at + MEMORY_MS < sample.at) {
            self.peaks.pop_front();
        }
    }

    /// Drops all samples after a time without known demand, in which any amount of work may have been outstanding. The
    /// remembered peaks stay.
    pub fn restart(&mut self) {
        self.samples.clear();
        self.covered_since = None;
    }

    /// Returns whether samples cover the complete window without a gap.
    pub fn is_full(&self, now: Milliseconds) -> bool {
        self.covered_since.is_some_and(|since| now >= since + WINDOW_MS)
    }

    /// Returns the latest sample.
    pub fn latest(&self) -> Option<&DemandSample> {
        self.samples.back()
    }

    /// Returns the most work that was outstanding at any time within the window.
    pub fn peak(&self) -> u32 {
        self.samples.iter().map(|sample| sample.demand.outstanding()).max().unwrap_or(0)
    }

    /// Returns the most work that was outstanding at any remembered time.
    pub fn remembered_peak(&self) -> u32 {
        self.peaks.iter().map(|peak| peak.outstanding).max().unwrap_or(0)
    }

    /// Returns the time until all work that is waiting now has started, in milliseconds, if the servers work at their best
    /// speed within the window. `None` if no work is waiting, or if that speed is unknown because outstanding work has not
    /// decreased within the window.
    pub fn projected_wait_ms(&self) -> Option<f64> {
        let latest = self.latest().filter(|sample| sample.is_saturated())?;
        let speed = self.best_speed()? * f64::from(latest.slots);
        Some(f64::from(latest.demand.outstanding() - latest.slots) / speed)
    }

    /// Returns the largest decrease of outstanding work per slot and millisecond over any span of the window. Work that
    /// arrives meanwhile hides part of the decrease, so the servers are at least this fast. `None` if work never decreased.
    fn best_speed(&self) -> Option<f64> {
        let mut ends = self.samples.iter().peekable();
        let mut best: Option<f64> = None;
        for start in &self.samples {
            while ends.next_if(|end| end.at < start.at + SPEED_SPAN_MS).is_some() {}
            let Some(end) = ends.peek() else { break };
            let finished = start.demand.outstanding().saturating_sub(end.demand.outstanding());
            if finished > 0 && start.slots > 0 {
                let slot_time = f64::from(start.slots) * (end.at - start.at) as f64;
                let speed = f64::from(finished) / slot_time;
                best = Some(best.map_or(speed, |best| best.max(speed)));
            }
        }
        best
    }

    /// Returns whether demand has exceeded the slots throughout the last `PILE_UP_SPAN_MS`, and is now at least as high as at
    /// the beginning of that time.
    pub fn is_piling_up(&self, now: Milliseconds) -> bool {
        let Some(begin) = now.checked_sub(PILE_UP_SPAN_MS) else { return false };
        if self.covered_since.is_none_or(|since| since > begin) {
            return false;
        }
        let mut span = self.samples.iter().filter(|sample| sample.at >= begin).peekable();
        let first = span.peek().map(|sample| sample.demand.outstanding());
        let last = self.latest().map(|sample| sample.demand.outstanding());
        span.all(DemandSample::is_saturated) && first.is_some() && last >= first
    }
}
