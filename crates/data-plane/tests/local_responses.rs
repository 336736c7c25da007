//! Tests of the counts of error responses that a gateway produced itself.

use orchidvalve_data_plane::local_responses::{LINE_INTERVAL_MS, LocalResponses};

#[test]
fn error_counts_are_due_one_interval_after_the_first() {
    let mut responses = LocalResponses::default();
    for (now, status) in [(1_000, 200), (2_000, 404), (2_500, 401), (3_000, 401), (3_500, 202)] {
        responses.record(now, status);
    }
    assert_eq!(responses.take_due(2_000 + LINE_INTERVAL_MS - 1), None);
    assert_eq!(responses.take_due(2_000 + LINE_INTERVAL_MS).as_deref(), Some("401: 2, 404: 1"));
    assert_eq!(responses.take_due(9_000 + LINE_INTERVAL_MS), None, "the counts were reset");
}

#[test]
fn successes_are_not_counted() {
    let mut responses = LocalResponses::default();
    responses.record(1_000, 200);
    assert_eq!(responses.take_due(1_000 + 2 * LINE_INTERVAL_MS), None);
}
