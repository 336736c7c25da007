//! The record that a node gives orders to servers stays on its disk while it does.

mod recorded_node;

use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_state::Change;
use recorded_node::*;

/// Enough changes for two checkpoints by the number of entries.
const CHANGES: u64 = 10_000;

/// Makes many small changes.
fn make_many_changes(control_node: &mut Node, disk: &RecordingDisk) {
    let first = control_node.state().versions().get("model").copied().unwrap_or(1) + 1;
    for version in first..first + CHANGES {
        assert!(control_node.propose(Change::NameVersion { model: "model".to_owned(), version }));
        turn(control_node, disk);
    }
}

#[test]
fn the_leadership_record_survives_the_release_of_records() {
    let disk = RecordingDisk::default();
    let mut control_node = start(RecoveredState::default(), disk.clone());
    control_node.persist_leadership();
    let recorded = disk.last();
    make_many_changes(&mut control_node, &disk);
    assert!(disk.released_before() > recorded);
    assert_eq!(disk.recover().leadership_epoch, Some(1));
}

#[test]
fn a_leadership_record_found_at_the_start_is_kept() {
    let disk = RecordingDisk::default();
    let mut control_node = start(RecoveredState::default(), disk.clone());
    control_node.persist_leadership();
    turn(&mut control_node, &disk);
    drop(control_node);
    let recorded = disk.last();
    let mut control_node = start(disk.recover(), disk.clone());
    control_node.persist_leadership();
    make_many_changes(&mut control_node, &disk);
    assert!(disk.released_before() > recorded);
    assert_eq!(disk.recover().leadership_epoch, Some(1));
}
