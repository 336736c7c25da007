//! The node's clock, and the ordered structure that holds all its timers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use orchidvalve::interface::Nanos;

/// A clock in nanoseconds since the Unix epoch. It reads the system clock once and then counts monotonically: a change
/// of the system clock must not move deadlines, but discovery publishes start times in Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_unix: Nanos,
}

impl Clock {
    /// Starts a clock at the current time of the system clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { started: Instant::now(), started_unix: nanos(unix) }
    }

    /// Returns the time in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.started_unix + nanos(self.started.elapsed())
    }
}

fn nanos(time: Duration) -> Nanos {
    Nanos::try_from(time.as_nanos()).unwrap_or(Nanos::MAX / 2)
}

/// Identifies a scheduled deadline, so that its owner can cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineKey(Nanos, u64);

/// Scheduled deadlines ordered by time; deadlines of the same time are ordered by when they were scheduled.
///
/// ```
/// use orchidvalve_frontnode::deadlines::Deadlines;
///
/// let mut deadlines = Deadlines::default();
/// let first = deadlines.schedule(5, "a");
/// deadlines.schedule(5, "b");
/// deadlines.cancel(first);
/// assert_eq!((deadlines.next_due(), deadlines.pop_due(4), deadlines.pop_due(5)), (Some(5), None, Some("b")));
/// ```
#[derive(Debug)]
pub struct Deadlines<T> {
    pending: BTreeMap<DeadlineKey, T>,
    scheduled: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { pending: BTreeMap::new(), scheduled: 0 }
    }
}

impl<T> Deadlines<T> {
    /// Schedules a deadline and returns the key that cancels it.
    pub fn schedule(&mut self, at: Nanos, what: T) -> DeadlineKey {
        self.scheduled += 1;
        let key = DeadlineKey(at, self.scheduled);
        self.pending.insert(key, what);
        key
    }

    /// Cancels a deadline. Does nothing if it has fallen due or was cancelled before.
    pub fn cancel(&mut self, key: DeadlineKey) {
        self.pending.remove(&key);
    }

    /// Returns the time of the earliest deadline.
    pub fn next_due(&self) -> Option<Nanos> {
        self.pending.keys().next().map(|key| key.0)
    }

    /// Removes and returns the earliest deadline if it is due.
    pub fn pop_due(&mut self, now: Nanos) -> Option<T> {
        self.next_due().filter(|&at| at <= now)?;
        self.pending.pop_first().map(|(_, what)| what)
    }

    /// Returns the number of scheduled deadlines.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no deadline is scheduled.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
