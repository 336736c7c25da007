//! The log: lines on standard error behind one macro, so many a second from each place, and the rest counted.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{SystemTime, UNIX_EPOCH};

const LINES_A_SECOND: u64 = 5;

static HELD_BACK: AtomicU64 = AtomicU64::new(0);

/// Lines held back so far, at all places.
pub fn held_back() -> u64 {
    HELD_BACK.load(Relaxed)
}

/// One place in the code that writes lines.
pub struct Place {
    second: AtomicU64,
    lines: AtomicU64,
}

impl Place {
    pub const fn new() -> Place {
        Place { second: AtomicU64::new(0), lines: AtomicU64::new(0) }
    }

    /// Whether a line may go out now: against a peer that fails all the time filling the log, or stalling the
    /// node on it.
    pub fn admits(&self) -> bool {
        self.admits_at(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_secs()))
    }

    fn admits_at(&self, second: u64) -> bool {
        if self.second.swap(second, Relaxed) != second {
            self.lines.store(0, Relaxed);
        }
        let admitted = self.lines.fetch_add(1, Relaxed) < LINES_A_SECOND;
        if !admitted {
            HELD_BACK.fetch_add(1, Relaxed);
        }
        admitted
    }
}

impl Default for Place {
    fn default() -> Self {
        Place::new()
    }
}

#[macro_export]
macro_rules! log {
    ($($line:tt)*) => {{
        static PLACE: $crate::log::Place = $crate::log::Place::new();
        if PLACE.admits() {
            eprintln!("orchidvalved: {}", format_args!($($line)*));
        }
    }};
}

#[cfg(test)]
mod stories {
    use super::*;

    #[test]
    fn a_place_that_writes_without_end_is_held_back_until_the_next_second() {
        let place = Place::new();
        let admitted = |second| (0..100).filter(|_| place.admits_at(second)).count() as u64;
        assert_eq!((admitted(1), admitted(1), admitted(2)), (LINES_A_SECOND, 0, LINES_A_SECOND));
    }
}
