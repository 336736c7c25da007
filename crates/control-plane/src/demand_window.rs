//! What a service had to do lately: the busiest moment of the last seconds and minutes, how fast its servers work, and
//! whether work piles up. The scaling planner decides by it.

use std::collections::VecDeque;

use orchidvalve_chain_replication::Milliseconds;

use crate::load_summaries::ServiceDemand;

/// Length of the window, in milliseconds: several batch jobs of a trainer come within it.
pub const WINDOW_MS: Milliseconds = 20_000;
/// The busiest moments are remembered for so long, in milliseconds: work that rests for longer than the window may come
/// back as it was.
pub const MEMORY_MS: Milliseconds = 300_000;
/// Busiest moments are kept one for each span of this length, in milliseconds.
const MEMORY_SPAN_MS: Milliseconds = 10_000;
/// The speed of servers is measured over spans of this length, in milliseconds: reports of processes are up to half a
/// second apart, and work that passes from one to the other is missing or counted twice meanwhile.
const SPEED_SPAN_MS: Milliseconds = 2_000;
/// Work piles up if there was more than fits on the servers for this time without becoming less, in milliseconds.
const PILE_UP_SPAN_MS: Milliseconds = 5_000;

/// Servers are full when this share of their slots is taken: gateways share the slots, and not all have work for theirs.
const FULL_SHARE: f64 = 0.8;

/// Demand and capacity of a service at one time.
#[derive(Clone, Copy, Debug)]
pub struct DemandSample {
    /// When, in milliseconds.
    pub at: Milliseconds,
    /// What there was to do.
    pub demand: ServiceDemand,
    /// Slots of all servers that took requests.
    pub slots: u32,
}

impl DemandSample {
    /// Whether more is to be done than fits on the servers, and these are at work: what waits for something else, such as
    /// new weights, isn't done sooner by more servers.
    fn is_saturated(&self) -> bool {
        let is_full = f64::from(self.demand.running) >= f64::from(self.slots) * FULL_SHARE;
        is_full && self.demand.outstanding() > self.slots
    }
}

/// The busiest moment within one span of the memory.
#[derive(Clone, Copy, Debug)]
struct SpanPeak {
    began_at: Milliseconds,
    /// The most that was to do at one time.
    outstanding: u32,
}

/// Samples of the last [`WINDOW_MS`] and busiest moments of the last [`MEMORY_MS`], oldest first.
#[derive(Default, Debug)]
pub struct DemandWindow {
    samples: VecDeque<DemandSample>,
    /// Since when there are samples without a gap.
    covered_since: Option<Milliseconds>,
    peaks: VecDeque<SpanPeak>,
}

impl DemandWindow {
    /// Adds the newest sample and drops those that are too old.
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

    /// Demand isn't known for a while: what was before doesn't tell how much there may have been since. The busiest
    /// moments stay.
    pub fn begin_anew(&mut self) {
        self.samples.clear();
        self.covered_since = None;
    }

    /// Whether the window is covered in full.
    pub fn is_full(&self, now: Milliseconds) -> bool {
        self.covered_since.is_some_and(|since| now >= since + WINDOW_MS)
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<&DemandSample> {
        self.samples.back()
    }

    /// The most that was to do at one time within the window.
    pub fn peak(&self) -> u32 {
        self.samples.iter().map(|sample| sample.demand.outstanding()).max().unwrap_or(0)
    }

    /// The most that was to do at one time, as far as is remembered.
    pub fn remembered_peak(&self) -> u32 {
        self.peaks.iter().map(|peak| peak.outstanding).max().unwrap_or(0)
    }

    /// The time after which what waits now has been begun, in milliseconds, if the servers work as fast as at best within
    /// the window. None if nothing waits, or if it can't be told since no work has become less in the window.
    pub fn projected_wait_ms(&self) -> Option<f64> {
        let newest = self.newest().filter(|sample| sample.is_saturated())?;
        let speed = self.best_speed()? * f64::from(newest.slots);
        Some(f64::from(newest.demand.outstanding() - newest.slots) / speed)
    }

    /// The most that became less per slot and millisecond, over any span of the window. Work that came meanwhile hides
    /// some of it, so the servers are at least as fast. None if it never became less.
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

    /// Whether there has been more to do than fits on the servers all the time for `PILE_UP_SPAN_MS`, and it isn't less
    /// than at its beginning.
    pub fn is_piling_up(&self, now: Milliseconds) -> bool {
        let Some(begin) = now.checked_sub(PILE_UP_SPAN_MS) else { return false };
        if self.covered_since.is_none_or(|since| since > begin) {
            return false;
        }
        let mut span = self.samples.iter().filter(|sample| sample.at >= begin).peekable();
        let first = span.peek().map(|sample| sample.demand.outstanding());
        let last = self.newest().map(|sample| sample.demand.outstanding());
        span.all(DemandSample::is_saturated) && first.is_some() && last >= first
    }
}
