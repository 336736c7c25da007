//! Counts of a gateway's own answers.

use orchidvalve_data_plane::local_responses::{LINE_INTERVAL_MS, LocalResponses};

#[test]
fn failures_are_told_once_an_interval_after_the_first() {
    let mut answers = LocalResponses::default();
    for (now, status) in [(1_000, 200), (2_000, 404), (2_500, 401), (3_000, 401), (3_500, 202)] {
        answers.record(now, status);
    }
    assert_eq!(answers.take_due(2_000 + LINE_INTERVAL_MS - 1), None);
    assert_eq!(answers.take_due(2_000 + LINE_INTERVAL_MS).as_deref(), Some("401: 2, 404: 1"));
    assert_eq!(answers.take_due(9_000 + LINE_INTERVAL_MS), None, "the counts begin anew");
}

#[test]
fn successes_alone_are_told_never() {
    let mut answers = LocalResponses::default();
    answers.record(1_000, 200);
    assert_eq!(answers.take_due(1_000 + 2 * LINE_INTERVAL_MS), None);
}
