//! The note that this machine gives orders to servers is on its disk as long as it does.

mod recorded_node;

use orchidvalve_control_plane::disk_records::RecoveredState;
use orchidvalve_control_state::Change;
use recorded_node::*;

/// Enough for two checkpoints by their number.
const CHANGES: u64 = 10_000;

/// Puts many small changes through.
fn change_often(control_node: &mut Node, disk: &RecordingDisk) {
    let first = control_node.state().versions().get("model").copied().unwrap_or(1) + 1;
    for version in first..first + CHANGES {
        assert!(control_node.propose(Change::NameVersion { model: "model".to_owned(), version }));
        turn(control_node, disk);
    }
}

#[test]
fn the_leadership_record_outlasts_the_records_that_are_released() {
    let disk = RecordingDisk::default();
    let mut control_node = start(RecoveredState::default(), disk.clone());
    control_node.persist_leadership();
    let noted = disk.last();
    change_often(&mut control_node, &disk);
    assert!(disk.released_before() > noted);
    assert_eq!(disk.recover().leadership_epoch, Some(1));
}

#[test]
fn a_leadership_record_found_at_the_start_is_kept_too() {
    let disk = RecordingDisk::default();
    let mut control_node = start(RecoveredState::default(), disk.clone());
    control_node.persist_leadership();
    turn(&mut control_node, &disk);
    drop(control_node);
    let noted = disk.last();
    let mut control_node = start(disk.recover(), disk.clone());
    control_node.persist_leadership();
    change_often(&mut control_node, &disk);
    assert!(disk.released_before() > noted);
    assert_eq!(disk.recover().leadership_epoch, Some(1));
}
