//! Counts of usage: by windows and tenants, told to sessions, forgotten once decided.

use compact_str::CompactString;
use orchidvalve_control_state::MAX_UNDECIDED_WINDOWS;
use orchidvalve_data_plane::usage::{REPORT_INTERVAL_MS, UsageCounts};
use orchidvalve_protocol::messages::WindowUsage;

const WINDOW_MS: u64 = 5_000;
const WINDOW: u64 = 353_445_120;
/// When that window starts, in milliseconds since 1970.
const START: u64 = WINDOW * WINDOW_MS;

fn counts() -> UsageCounts {
    UsageCounts::new(WINDOW_MS)
}

fn record(counts: &mut UsageCounts, tenant: &str, wall_ms: u64) {
    counts.record(&CompactString::from(tenant), wall_ms);
}

/// Windows, tenants and requests of a message.
fn told(windows: Option<Vec<WindowUsage>>) -> Vec<(u64, String, u64)> {
    let flat = |usage: WindowUsage| {
        let window = usage.window;
        usage.counts.into_iter().map(move |count| (window, count.tenant, count.requests))
    };
    windows.unwrap_or_default().into_iter().flat_map(flat).collect()
}

fn row(window: u64, tenant: &str, requests: u64) -> (u64, String, u64) {
    (window, tenant.to_owned(), requests)
}

// Guards against requests at the border of two windows that count in the wrong one.
#[test]
fn a_request_counts_in_the_window_in_which_it_began() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START + WINDOW_MS - 1);
    record(&mut counts, "cuka620", START);
    record(&mut counts, "seje681", START + WINDOW_MS);
    let expected = vec![row(WINDOW, "cuka620", 2), row(WINDOW + 1, "seje681", 1)];
    assert_eq!(told(counts.take_due(1_000, 1)), expected);
}

// Guards against messages that grow with every window, and against differences in place of absolute counts.
#[test]
fn only_what_has_changed_is_told_again_and_in_full() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    record(&mut counts, "seje681", START);
    assert_eq!(told(counts.take_due(1_000, 1)).len(), 2);
    record(&mut counts, "cuka620", START + 1);
    assert!(counts.take_due(1_000 + REPORT_INTERVAL_MS - 1, 1).is_none());
    assert_eq!(counts.next_wakeup(Some(1)), 1_000 + REPORT_INTERVAL_MS);
    assert_eq!(told(counts.take_due(1_000 + REPORT_INTERVAL_MS, 1)), [row(WINDOW, "cuka620", 2)]);
    assert_eq!(counts.next_wakeup(Some(1)), u64::MAX);
    assert!(counts.take_due(9_000, 1).is_none());
}

// Guards against counts that are lost with a session: its control node may be dead or cut off.
#[test]
fn a_new_session_is_told_everything_at_once() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    record(&mut counts, "seje681", START + WINDOW_MS);
    assert_eq!(told(counts.take_due(1_000, 1)).len(), 2);
    assert!(counts.is_all_reported(Some(1)));
    assert!(!counts.is_all_reported(Some(2)) && !counts.is_all_reported(None));
    assert_eq!(told(counts.take_due(1_001, 2)).len(), 2);
    assert!(counts.is_all_reported(Some(2)));
}

// Guards against counts that a gateway keeps for itself when it is told to stop.
#[test]
fn what_is_left_is_told_without_waiting_for_the_interval() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    assert!(counts.take_due(1_000, 1).is_some());
    record(&mut counts, "cuka620", START);
    assert!(!counts.is_all_reported(Some(1)));
    assert_eq!(told(counts.take_unreported(1)), [row(WINDOW, "cuka620", 2)]);
    assert!(counts.is_all_reported(Some(1)));
}

// Guards against counts of decided windows that are told for ever, and against late ones that are told at all.
#[test]
fn decided_windows_are_forgotten_and_late_requests_are_ignored() {
    let mut counts = counts();
    record(&mut counts, "cuka620", START);
    record(&mut counts, "cuka620", START + WINDOW_MS);
    counts.forget_before(WINDOW + 1);
    record(&mut counts, "seje681", START + 4_999);
    assert_eq!(told(counts.take_due(1_000, 1)), [row(WINDOW + 1, "cuka620", 1)]);
    counts.forget_before(WINDOW);
    record(&mut counts, "seje681", START + 4_999);
    assert!(counts.take_unreported(1).is_none());
}

// Guards against memory that grows as long as no window is decided.
#[test]
fn so_many_windows_are_kept_and_no_more() {
    let mut counts = counts();
    for window in 0..MAX_UNDECIDED_WINDOWS + 50 {
        record(&mut counts, "cuka620", START + window * WINDOW_MS);
    }
    let told = told(counts.take_due(1_000, 1));
    assert_eq!(told.len() as u64, MAX_UNDECIDED_WINDOWS);
    assert_eq!(told[0], row(WINDOW + 50, "cuka620", 1));
}
