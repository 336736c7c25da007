//! Load reports: sums by service, completeness, and processes that fail.

use std::collections::BTreeSet;

use orchidvalve_control_plane::load_summaries::{
    DEAD_PROCESS_RETENTION_MS, LoadSummaries, MAX_REPORT_AGE_MS, ServiceDemand,
};
use orchidvalve_protocol::messages::ServiceLoad;

fn load(service: &str, running: u32, waiting: u32) -> ServiceLoad {
    ServiceLoad { service: service.to_owned(), running, waiting }
}

fn demand(summaries: &LoadSummaries, service: &str) -> ServiceDemand {
    summaries.demand_by_service().get(service).copied().unwrap_or_default()
}

#[test]
fn the_latest_report_of_each_process_counts() {
    let mut summaries = LoadSummaries::default();
    summaries.record(1, vec![load("a", 5, 2), load("b", 1, 0)], 0);
    summaries.record(2, vec![load("a", 3, 0)], 0);
    assert_eq!(demand(&summaries, "a"), ServiceDemand { running: 8, waiting: 2 });
    summaries.record(1, vec![load("a", 1, 0)], 500);
    assert_eq!(demand(&summaries, "a"), ServiceDemand { running: 4, waiting: 0 });
    assert_eq!(demand(&summaries, "b"), ServiceDemand::default());
}

#[test]
fn the_report_of_a_process_without_a_session_is_kept_for_a_while() {
    let mut summaries = LoadSummaries::default();
    summaries.record(1, vec![load("a", 5, 0)], 0);
    summaries.expire(&BTreeSet::from([1]), 1_000);
    summaries.expire(&BTreeSet::new(), 1_000 + DEAD_PROCESS_RETENTION_MS - 1);
    assert_eq!(demand(&summaries, "a").running, 5);
    summaries.expire(&BTreeSet::new(), 1_000 + DEAD_PROCESS_RETENTION_MS);
    assert_eq!(demand(&summaries, "a").running, 0);
}

#[test]
fn a_session_opened_in_time_keeps_the_report() {
    let mut summaries = LoadSummaries::default();
    summaries.record(1, vec![load("a", 5, 0)], 0);
    summaries.expire(&BTreeSet::new(), DEAD_PROCESS_RETENTION_MS - 1);
    summaries.expire(&BTreeSet::from([1]), DEAD_PROCESS_RETENTION_MS);
    summaries.expire(&BTreeSet::new(), DEAD_PROCESS_RETENTION_MS * 2 - 1);
    assert_eq!(demand(&summaries, "a").running, 5);
}

#[test]
fn all_processes_need_a_recent_report() {
    let mut summaries = LoadSummaries::default();
    assert!(summaries.has_recent_reports(&BTreeSet::new(), 0));
    summaries.record(1, Vec::new(), 0);
    assert!(summaries.has_recent_reports(&BTreeSet::from([1]), 0));
    assert!(!summaries.has_recent_reports(&BTreeSet::from([1, 2]), 0));
    assert!(!summaries.has_recent_reports(&BTreeSet::from([1]), MAX_REPORT_AGE_MS));
}
