//! Tests of the time at which a process that shuts down sends its last responses.

use orchidvalve_data_plane::gateway::shutdown::last_response_after_ms;
use rstest::rstest;

/// Requests that servers are still running may be ended only in the last sixth of the time to SIGKILL.
#[rstest]
#[case::usual(8_000, 7_300)]
#[case::long(60_000, 59_300)]
#[case::short(3_000, 2_625)]
#[case::very_short(800, 700)]
fn last_responses_are_sent_within_the_last_sixth(#[case] grace_ms: u64, #[case] after_ms: u64) {
    assert_eq!(last_response_after_ms(grace_ms), after_ms);
    assert!(after_ms >= grace_ms - grace_ms / 6 && after_ms < grace_ms);
}
