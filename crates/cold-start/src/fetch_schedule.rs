//! Schedule of the fetches of the endpoint list from discovery. Every node that starts, or whose watch ended, draws a
//! slot from its seed in a span that grows with the fleet: for `n` nodes and a wanted rate of `r` fetches per second,
//! the span is `n / r`. However many of the `n` nodes start at once, discovery then receives `r` fetches per second
//! on average. The count in any one second is at most binomial(`n`, `r / n`), so the chance of more than `r + 5 · √r`
//! is below one in a million for `r` of 20 and more.
//!
//! Nodes that have a list draw from the span after the first one: nodes without a list fetch before them, and each node
//! that has fetched serves its peers meanwhile. A node that restarts repeatedly waits longer each time, so that a crash
//! at start-up does not cause a stream of fetches.

use rand::Rng;
use rand_pcg::Pcg64;

use crate::{Nanos, StartSettings, over};

/// Limit on the doublings of the backoff after failed fetches.
const MAX_DOUBLINGS: u32 = 6;
/// Limit on the doublings of the first span, one for each consecutive restart.
const MAX_STARTS: u32 = 4;

/// Determines when this node fetches the list next.
#[derive(Clone, Debug)]
pub struct FetchSchedule {
    /// When the next fetch is due; `None` while a fetch or the watch after it is in progress.
    due: Option<Nanos>,
    /// The number of consecutive failed fetches.
    failures: u32,
    /// Position of this node's first slot, as a fraction of the span. If the span grows, the slot moves and is not
    /// redrawn.
    fraction: f64,
    started_at: Nanos,
    /// Whether no fetch has started yet.
    is_first: bool,
}

impl FetchSchedule {
    /// Returns a schedule whose first fetch is due at once, until [`FetchSchedule::set_first`] moves it.
    pub fn new(now: Nanos, rng: &mut Pcg64) -> FetchSchedule {
        FetchSchedule { due: Some(now), failures: 0, fraction: rng.random(), started_at: now, is_first: true }
    }

    /// Returns the span over which the fetches of all nodes are spread.
    pub fn span(settings: &StartSettings, nodes: usize) -> Nanos {
        over(nodes.max(settings.expected), settings.fetches_a_second)
    }

    /// Sets the first slot from the current size of the fleet and whether this node has a list. `starts` is the
    /// number of recent starts of this node before this one. Has no effect after a fetch has started.
    pub fn set_first(&mut self, settings: &StartSettings, nodes: usize, has_list: bool, starts: u32) {
        if !self.is_first {
            return;
        }
        let span = FetchSchedule::span(settings, nodes) << starts.min(MAX_STARTS);
        let begins = if has_list { span } else { 0 };
        self.due = Some(self.started_at + begins + (span as f64 * self.fraction) as Nanos);
    }

    /// Records that a fetch starts now.
    pub fn started(&mut self) {
        (self.is_first, self.due) = (false, None);
    }

    /// Records a response. The watch, a single call that waits for changes, follows at once.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// Records that the fetch or watch failed. The next fetch is drawn from 0.5 to 1.5 times the fleet's span or the
    /// doubled backoff, whichever is longer.
    pub fn failed(&mut self, settings: &StartSettings, nodes: usize, now: Nanos, rng: &mut Pcg64) {
        let doubled = settings.initial_backoff << self.failures.min(MAX_DOUBLINGS);
        let wait = FetchSchedule::span(settings, nodes).max(doubled.min(settings.max_backoff));
        self.failures += 1;
        let fraction: f64 = rng.random();
        self.due = Some(now + wait / 2 + (wait as f64 * fraction) as Nanos);
    }

    /// A different discovery service is configured. The next fetch is due as for a starting node, but within one span.
    pub fn discovery_changed(&mut self, settings: &StartSettings, nodes: usize, now: Nanos, rng: &mut Pcg64) {
        self.failures = 0;
        let fraction: f64 = rng.random();
        self.due = Some(now + (FetchSchedule::span(settings, nodes) as f64 * fraction) as Nanos);
    }

    /// Returns when the next fetch is due, or `None` if none is scheduled.
    pub fn due(&self) -> Option<Nanos> {
        self.due
    }
}
