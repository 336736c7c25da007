//! Time limits from outside of the process.

use orchidvalve_protocol::time_limit::TimeLimit;
use rstest::rstest;

#[rstest]
#[case::nothing(0.0, 0)]
#[case::rounded_down(1.2345, 1_234)]
#[case::negative(-3.0, 0)]
#[case::largest_whole_number_of_most_programs(9_223_372_036_854_775_807.0, TimeLimit::MAX.as_millis())]
#[case::infinite(f64::INFINITY, TimeLimit::MAX.as_millis())]
fn seconds_become_milliseconds(#[case] seconds: f64, #[case] milliseconds: u64) {
    assert_eq!(TimeLimit::from_seconds(seconds).as_millis(), milliseconds);
}

/// A clock reading plus the longest time limit, or many of them, stays within 64 bits.
#[test]
fn the_longest_limit_can_be_added_and_multiplied() {
    let year_3000_ms = 1_030 * 365 * 24 * 3_600 * 1_000;
    let longest = TimeLimit::from_millis(u64::MAX);
    assert_eq!(longest, TimeLimit::MAX);
    assert!(longest.as_millis().checked_mul(1_000).and_then(|sum| sum.checked_add(year_3000_ms)).is_some());
}
