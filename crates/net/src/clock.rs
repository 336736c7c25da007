//! The clock of a process. Everything else takes the time as an argument.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock, in milliseconds since about the start of the process, and a time of day that doesn't step.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Time of day at the start, in milliseconds since 1970.
    wall_ms_at_start: u64,
}

impl Clock {
    /// What the clock shows at its start in milliseconds, so that times a little before can be expressed.
    const OFFSET_MS: u64 = 100_000;

    /// A clock that starts now.
    pub fn start() -> Clock {
        let wall_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        Clock::begin(Instant::now(), wall_ms)
    }

    /// A clock that began at `start`, when the time of day was `wall_ms_at_start`.
    pub fn begin(start: Instant, wall_ms_at_start: u64) -> Clock {
        Clock { start, wall_ms_at_start }
    }

    /// The time now, in milliseconds of the monotonic clock; never below 100,000.
    pub fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    /// That moment in milliseconds of the monotonic clock.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.start).as_millis() as u64 + Clock::OFFSET_MS
    }

    /// Time of day at the moment `now` of this clock, in milliseconds since 1970. It is read once, at the start of the
    /// process, and goes on by the monotonic clock: a step of the system's time of day doesn't reach it. Those of two
    /// machines differ by as much as their times of day did when the processes started.
    pub fn wall_ms_at(&self, now: u64) -> u64 {
        self.wall_ms_at_start + now.saturating_sub(Clock::OFFSET_MS)
    }
}
