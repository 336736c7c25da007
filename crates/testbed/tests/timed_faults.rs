//! Faults and their times on the command line.

use std::time::Duration;

use orchidvalve_testbed::scenario::{Fault, TimedFault};
use rstest::rstest;

#[rstest]
#[case("kill-door", Fault::KillGateway, 0)]
#[case("kill-door@0", Fault::KillGateway, 0)]
#[case("terminate-store@1.5", Fault::TerminateStore, 1_500)]
fn faults_begin_after_their_delay(#[case] text: &str, #[case] fault: Fault, #[case] delay_ms: u64) {
    let expected = TimedFault { fault, delay: Duration::from_millis(delay_ms) };
    assert_eq!(text.parse(), Ok(expected));
}

#[rstest]
#[case::no_number("kill-door@soon", "kill-door@soon: write NAME@SECONDS")]
#[case::negative("kill-door@-1", "kill-door@-1: write NAME@SECONDS")]
#[case::infinite("kill-door@inf", "kill-door@inf: write NAME@SECONDS")]
#[case::empty("kill-door@", "kill-door@: write NAME@SECONDS")]
#[case::unknown_name("kill-gate@1", "there is no fault kill-gate; choose one of kill-store")]
fn errors_name_the_text(#[case] text: &str, #[case] message: &str) {
    let error = text.parse::<TimedFault>().unwrap_err().to_string();
    assert!(error.starts_with(message), "{error}");
}
