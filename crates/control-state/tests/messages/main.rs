//! Encoding of every change of the control state and every record of jobs, with each variant and field: round trips,
//! rejection of damaged bytes, and the effect of damaged changes.

#[path = "../../../protocol/tests/messages/checks.rs"]
mod checks;
mod fields;
#[path = "../../../protocol/tests/messages/generate.rs"]
mod generate;
#[path = "../../../protocol/tests/messages/strategies.rs"]
mod protocol_strategies;
mod strategies;

use std::cell::RefCell;

use checks::{check_encoding, for_each, for_each_flip, for_each_variant};
use fields::SeenFields;
use generate::Generate;
use orchidvalve_batch::{ItemResult, Job};
use orchidvalve_control_state::{Change, ControlState, StateSnapshot};
use orchidvalve_protocol::frames::{decode, encode};

#[test]
fn changes_round_trip_and_damaged_ones_are_harmless() {
    check_encoding::<Change>();
}

#[test]
fn snapshots_and_results_round_trip_and_damaged_ones_are_harmless() {
    check_encoding::<StateSnapshot>();
    check_encoding::<ItemResult>();
}

#[test]
fn jobs_round_trip_and_damaged_ones_are_harmless() {
    check_encoding::<Job>();
}

#[test]
fn all_fields_are_generated() {
    let (snapshots, jobs) = (RefCell::new(SeenFields::default()), RefCell::new(SeenFields::default()));
    for_each(&StateSnapshot::generate(), |snapshot| snapshots.borrow_mut().record(snapshot));
    // Too long to be truncated at every byte like the others; tests/state.rs checks its meaning.
    snapshots.borrow_mut().record(&strategies::snapshot_that_has_forgotten_changes());
    for_each(&Job::generate(), |job| jobs.borrow_mut().record(job));
    snapshots.borrow().assert_all_varied();
    jobs.borrow().assert_all_varied();
}

/// Every node that applies the same bytes gets the same result and the same state, also with a bit flipped. A rejected
/// change leaves the state as it was.
#[test]
fn damaged_change_has_the_same_result_on_every_node() {
    for_each_variant(|change: &Change| {
        for_each_flip(&encode(change), |flipped| {
            let Some(damaged) = decode::<Change>(flipped).filter(is_small) else { return };
            let (mut one, mut other) = (ControlState::default(), ControlState::default());
            let results = (one.apply(&damaged), other.apply(&damaged));
            assert_eq!(results.0, results.1);
            assert_eq!(one.snapshot(), other.snapshot());
            if results.0.is_err() {
                assert_eq!(one.snapshot(), StateSnapshot::default());
            }
        });
    });
}

/// Whether the change places only low partitions; others take memory and time for all partitions before them.
fn is_small(change: &Change) -> bool {
    !matches!(change, Change::Place(placements) if placements.iter().any(|(partition, _)| *partition > 99))
}

/// The state restored from a snapshot yields that snapshot again.
#[test]
fn a_snapshot_restores_the_state_that_it_was_taken_of() {
    for_each_variant(|snapshot: &StateSnapshot| {
        let state = ControlState::from_snapshot(snapshot).expect("a state");
        assert_eq!(&state.snapshot(), snapshot);
    });
}
