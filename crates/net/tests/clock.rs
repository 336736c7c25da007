//! The time of day of a process.

use std::time::Instant;

use orchidvalve_net::clock::Clock;

const WALL_MS: u64 = 1_790_000_000_000;

#[test]
fn time_of_day_advances_with_the_monotonic_clock() {
    let clock = Clock::begin(Instant::now(), WALL_MS);
    let now = clock.now();
    let wall = clock.wall_ms_at(now);
    assert!(wall >= WALL_MS);
    for step in [0, 1, 2_000, 86_400_000] {
        assert_eq!(clock.wall_ms_at(now + step), wall + step);
    }
}
