//! Decided usage reports on the disk of a control node: a power loss changes none of them.

mod recorded_node;

use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_state::{Change, UsageReport};
use recorded_node::*;

const WINDOW: u64 = 353_445_120;

fn report(window: u64, requests: u64) -> UsageReport {
    UsageReport { window, counts: [("cuka620".to_owned(), requests), ("seje681".to_owned(), 1)].into() }
}

fn decide(node: &mut Node, disk: &RecordingDisk, window: u64, requests: u64) {
    assert!(node.propose(Change::DecideUsageReport(report(window, requests))));
    turn(node, disk);
}

fn unaccepted(node: &Node) -> Vec<UsageReport> {
    node.state().usage_reports().unaccepted().collect()
}

// Guards against a report that is decided again after a power loss, when the platform may have received the first one.
#[test]
fn decided_reports_are_unchanged_after_a_power_loss() {
    let disk = RecordingDisk::default();
    let mut node = start(RecoveredState::default(), disk.clone());
    let first_term = node.leadership_term().expect("it is the head");
    decide(&mut node, &disk, WINDOW, 3);
    decide(&mut node, &disk, WINDOW + 1, 5);
    assert!(node.propose(Change::AcceptUsageReport { window: WINDOW }));
    turn(&mut node, &disk);
    drop(node);
    let mut node = start(disk.recover(), disk.clone());
    assert_eq!(unaccepted(&node), [report(WINDOW + 1, 5)]);
    assert!(node.leadership_term().expect("it is the head again") > first_term, "a higher fencing token");
    decide(&mut node, &disk, WINDOW, 9);
    decide(&mut node, &disk, WINDOW + 1, 9);
    assert_eq!(unaccepted(&node), [report(WINDOW + 1, 5)]);
}

// Guards against a report that is sent before its decision is on the disk: a power loss would lose what was sent.
#[test]
fn a_report_is_not_committed_before_its_disk_record() {
    let disk = RecordingDisk::default();
    let mut node = start(RecoveredState::default(), disk.clone());
    let held = disk.last();
    assert!(node.propose(Change::DecideUsageReport(report(WINDOW, 3))));
    node.tick(START_MS);
    assert!(unaccepted(&node).is_empty());
    assert!(disk.last() > held);
    turn(&mut node, &disk);
    assert_eq!(unaccepted(&node), [report(WINDOW, 3)]);
}

// Guards against decisions that are lost when the log is compacted to a checkpoint.
#[test]
fn a_report_survives_the_release_of_its_record() {
    let disk = RecordingDisk::default();
    let mut node = start(RecoveredState::default(), disk.clone());
    decide(&mut node, &disk, WINDOW, 3);
    let recorded = disk.last();
    for version in 2..10_002 {
        assert!(node.propose(Change::NameVersion { model: "model".to_owned(), version }));
        turn(&mut node, &disk);
    }
    assert!(disk.released_before() > recorded);
    drop(node);
    let node = start(disk.recover(), disk);
    assert_eq!(unaccepted(&node), [report(WINDOW, 3)]);
}
