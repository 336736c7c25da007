//! The times at which a process reports its load.

use std::net::Ipv4Addr;

use orchidvalve_control_client::LoadReports;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ServiceLoad, SessionMessage};

fn node(number: u8) -> Option<NodeAddress> {
    Some(NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000))
}

fn loads(running: u32, waiting: u32) -> Vec<ServiceLoad> {
    vec![ServiceLoad { service: "s".to_owned(), running, waiting }]
}

fn report(running: u32, waiting: u32) -> Option<SessionMessage> {
    Some(SessionMessage::ReportLoad { loads: loads(running, waiting) })
}

#[test]
fn changes_are_reported_at_intervals() {
    let mut reports = LoadReports::default();
    assert_eq!(reports.observe(0, node(1), loads(1, 0)), report(1, 0));
    assert_eq!(reports.observe(450, node(1), loads(9, 4)), None);
    assert_eq!(reports.observe(500, node(1), loads(9, 4)), report(9, 4));
}

#[test]
fn highest_load_since_the_last_report_is_reported() {
    let mut reports = LoadReports::default();
    assert!(reports.observe(0, node(1), loads(1, 0)).is_some());
    assert_eq!(reports.observe(100, node(1), loads(30, 12)), None);
    assert_eq!(reports.observe(500, node(1), loads(2, 0)), report(30, 0));
    assert_eq!(
        reports.observe(1_000, node(1), loads(2, 0)),
        report(2, 0),
        "the peak belongs to the previous report"
    );
}

#[test]
fn small_changes_are_reported_with_the_next_repetition() {
    let mut reports = LoadReports::default();
    assert!(reports.observe(0, node(1), loads(10, 5)).is_some());
    for now in (500..5_000).step_by(50) {
        assert_eq!(reports.observe(now, node(1), loads(11, 4)), None);
    }
    assert_eq!(reports.observe(5_000, node(1), loads(11, 4)), report(11, 4));
}

#[test]
fn first_and_last_request_are_reported_at_once() {
    let mut reports = LoadReports::default();
    let nothing = Some(SessionMessage::ReportLoad { loads: Vec::new() });
    assert_eq!(reports.observe(0, node(1), loads(0, 0)), nothing);
    assert_eq!(reports.observe(500, node(1), loads(1, 0)), report(1, 0));
    assert_eq!(reports.observe(1_000, node(1), loads(0, 0)), nothing);
}

#[test]
fn no_report_without_a_session_and_a_full_report_to_a_new_one() {
    let mut reports = LoadReports::default();
    assert!(reports.observe(0, node(1), loads(3, 0)).is_some());
    assert_eq!(reports.observe(1_000, None, loads(8, 0)), None);
    assert_eq!(reports.observe(1_500, node(2), loads(3, 0)), report(8, 0));
}

#[test]
fn load_is_sampled_at_intervals() {
    let mut reports = LoadReports::default();
    assert!(reports.is_due(0));
    reports.observe(0, None, loads(3, 0));
    assert!(!reports.is_due(49) && reports.is_due(50));
}
