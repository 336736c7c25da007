//! Tests of usage counts: by windows and tenants, reported to sessions, dropped once decided.

use compact_str::CompactString;
use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_data_plane::usage::{REPORT_INTERVAL_MS, UsageCounts};
use orchidvalve_protocol::messages::WindowUsage;

const WINDOW_MS: u64 = 5_000;
const WINDOW: u64 = 353_445_120;
/// The start of that window, in milliseconds since 1970.
const START: u64 = WINDOW * WINDOW_MS;

fn counts() -> UsageCounts {
    UsageCounts::new(WINDOW_MS)
}

fn record(counts: &mut UsageCounts, tenant: &str, wall_ms: u64) {
    counts.record(&CompactString::from(tenant), wall_ms);
}

/// Returns the window, tenant and number of requests of each count in a message.
fn rows(windows: Option<Vec<WindowUsage>>) -> Vec<(u64, String, u64)> {
    let flat = |usage: WindowUsage| {
        let window = usage.window;
        usage.counts.into_iter().map(move |count| (window, count.tenant, count.requests))
    };
    windows.unwrap_or_default().into_iter().flat_map(flat).collect()
}

fn row(window: u64, tenant: &str, requests: u64) -> (u64, String, u64) {
    (window, tenant.to_owned(), requests)
}

// Guards against counting requests at the border of two windows in the wrong one.
#[test]
fn a_request_counts_in_the_window_in_which_it_started() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START + WINDOW_MS - 1);
    record(&mut counts, "cuka620", START);
    record(&mut counts, "seje681", START + WINDOW_MS);
    let expected = vec![row(WINDOW, "cuka620", 2), row(WINDOW + 1, "seje681", 1)];
    assert_eq!(rows(counts.take_due(1_000, 1)), expected);
}

// Guards against messages that grow with every window, and against sending differences instead of totals.
#[test]
fn only_changed_counts_are_reported_again_as_totals() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    record(&mut counts, "seje681", START);
    assert_eq!(rows(counts.take_due(1_000, 1)).len(), 2);
    record(&mut counts, "cuka620", START + 1);
    assert!(counts.take_due(1_000 + REPORT_INTERVAL_MS - 1, 1).is_none());
    assert_eq!(counts.next_wakeup(Some(1)), 1_000 + REPORT_INTERVAL_MS);
    assert_eq!(rows(counts.take_due(1_000 + REPORT_INTERVAL_MS, 1)), [row(WINDOW, "cuka620", 2)]);
    assert_eq!(counts.next_wakeup(Some(1)), u64::MAX);
    assert!(counts.take_due(9_000, 1).is_none());
}

// Guards against losing counts with a session, whose control node may be dead or partitioned.
#[test]
fn a_new_session_gets_all_counts() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    record(&mut counts, "seje681", START + WINDOW_MS);
    assert_eq!(rows(counts.take_due(1_000, 1)).len(), 2);
    assert!(counts.is_all_reported(Some(1)));
    assert!(!counts.is_all_reported(Some(2)) && !counts.is_all_reported(None));
    assert_eq!(rows(counts.take_due(1_001, 2)).len(), 2);
    assert!(counts.is_all_reported(Some(2)));
}

// Guards against counts that a gateway doesn't report before it exits.
#[test]
fn unreported_counts_are_taken_without_waiting_for_the_interval() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    assert!(counts.take_due(1_000, 1).is_some());
    record(&mut counts, "cuka620", START);
    assert!(!counts.is_all_reported(Some(1)));
    assert_eq!(rows(counts.take_unreported(1)), [row(WINDOW, "cuka620", 2)]);
    assert!(counts.is_all_reported(Some(1)));
}

// Guards against reporting counts of decided windows again and again, and against reporting late ones at all.
#[test]
fn decided_windows_are_dropped_and_late_requests_ignored() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    record(&mut counts, "cuka620", START + WINDOW_MS);
    counts.forget_before(WINDOW + 1);
    record(&mut counts, "seje681", START + 4_999);
    assert_eq!(rows(counts.take_due(1_000, 1)), [row(WINDOW + 1, "cuka620", 1)]);
    counts.forget_before(WINDOW);
    record(&mut counts, "seje681", START + 4_999);
    assert!(counts.take_unreported(1).is_none());
}

// Guards against memory that grows as long as no window is decided.
#[test]
fn the_number_of_windows_is_bounded() {
    let mut counts = counts();
    for window in 0..MAX_UNDECIDED_WINDOWS + 50 {
        record(&mut counts, "cuka620", START + window * WINDOW_MS);
    }
    let reported = rows(counts.take_due(1_000, 1));
    assert_eq!(reported.len() as u64, MAX_UNDECIDED_WINDOWS);
    assert_eq!(reported[0], row(WINDOW + 50, "cuka620", 1));
}
