//! The node's clock, and the one ordered structure that holds all its deadlines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use orchidvalve::interface::Nanos;

/// Nanoseconds since the Unix epoch, tied to it once: steps of the system's clock must not move deadlines, yet
/// the roster states starts in Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    unix: Nanos,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { began: Instant::now(), unix: whole(unix) }
    }

    pub fn now(&self) -> Nanos {
        self.unix + whole(self.began.elapsed())
    }
}

fn whole(time: Duration) -> Nanos {
    Nanos::try_from(time.as_nanos()).unwrap_or(Nanos::MAX / 2)
}

/// What its owner keeps of a deadline, to call it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark(Nanos, u64);

/// ```
/// use orchidvalve_frontnode::deadlines::Deadlines;
///
/// let mut deadlines = Deadlines::default();
/// let first = deadlines.set(5, "a");
/// deadlines.set(5, "b");
/// deadlines.clear(first);
/// assert_eq!((deadlines.next(), deadlines.due(4), deadlines.due(5)), (Some(5), None, Some("b")));
/// ```
#[derive(Debug)]
pub struct Deadlines<T> {
    kept: BTreeMap<Mark, T>,
    set: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { kept: BTreeMap::new(), set: 0 }
    }
}

impl<T> Deadlines<T> {
    pub fn set(&mut self, at: Nanos, what: T) -> Mark {
        self.set += 1;
        let mark = Mark(at, self.set);
        self.kept.insert(mark, what);
        mark
    }

    /// One that has fallen due, or was cleared before, is normal.
    pub fn clear(&mut self, mark: Mark) {
        self.kept.remove(&mark);
    }

    pub fn next(&self) -> Option<Nanos> {
        self.kept.keys().next().map(|mark| mark.0)
    }

    /// Takes out the first that is due.
    pub fn due(&mut self, now: Nanos) -> Option<T> {
        self.next().filter(|&at| at <= now)?;
        self.kept.pop_first().map(|(_, what)| what)
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
