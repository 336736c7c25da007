//! The clock of a process. All other code receives the time as an argument.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock, in milliseconds since about the start of the process, and a time of day that never steps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    /// Time of day at `start`, in milliseconds since 1970-01-01 UTC.
    wall_ms_at_start: u64,
}

impl Clock {
    /// Value of the clock at its start in milliseconds, so that times shortly before can be expressed.
    const OFFSET_MS: u64 = 100_000;

    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        let wall_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        Clock::begin(Instant::now(), wall_ms)
    }

    /// Creates a clock that started at `start`, when the time of day was `wall_ms_at_start`.
    pub fn begin(start: Instant, wall_ms_at_start: u64) -> Clock {
        Clock { start, wall_ms_at_start }
    }

    /// Returns the current time in milliseconds of the monotonic clock; never below 100,000.
    pub fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    /// Converts `moment` to milliseconds of the monotonic clock.
    pub fn at(&self, moment: Instant) -> u64 {
        moment.saturating_duration_since(self.start).as_millis() as u64 + Clock::OFFSET_MS
    }

    /// Returns the time of day at the time `now` of this clock, in milliseconds since 1970-01-01 UTC. The time of day
    /// is read once, at the start of the process, and advances with the monotonic clock: a step of the system clock has
    /// no effect. The values of two machines differ by as much as their system clocks did when the processes started.
    pub fn wall_ms_at(&self, now: u64) -> u64 {
        self.wall_ms_at_start + now.saturating_sub(Clock::OFFSET_MS)
    }
}
