//! Recovery from the records of a disk: truncations, resets, compaction, and released records.

use std::rc::Rc;

use orchidvalve_chain_replication::{Entry, LogReader};
use orchidvalve_consensus::DurableState;
use orchidvalve_control_plane::disk_records::{DiskRecord, RecoveredState};
use orchidvalve_control_plane::replicated_log::ReplicatedLog;
use orchidvalve_protocol::frames::encode;
use rstest::rstest;

fn entry(sequence: u64, epoch: u64) -> Entry {
    Entry { sequence, epoch, payload: Rc::from(format!("{sequence}/{epoch}").into_bytes()) }
}

/// Parses a record: `12.3` is entry 12 of epoch 3, `t9` truncates after entry 9, `r12.3` resets the log to start at 12 after
/// an entry of epoch 3, `x12.3` compacts it to 12 after an entry of epoch 3, `a` is a state of the agreement.
fn record(word: &str) -> DiskRecord {
    let pair = |text: &str| {
        let (left, right) = text.split_once('.').unwrap();
        (left.parse().unwrap(), right.parse().unwrap())
    };
    match word.split_at(1) {
        ("t", after) => DiskRecord::Truncate { after: after.parse().unwrap() },
        ("r", text) => DiskRecord::Reset { start: pair(text).0, previous_epoch: pair(text).1 },
        ("x", text) => DiskRecord::Compacted { first: pair(text).0, previous_epoch: pair(text).1 },
        ("a", _) => DiskRecord::Agreement(DurableState::default()),
        _ => DiskRecord::Entry(entry(pair(word).0, pair(word).1)),
    }
}

fn recover(words: &str) -> RecoveredState {
    let mut recovered = RecoveredState::default();
    for (index, word) in words.split_whitespace().enumerate() {
        recovered.apply_record(index as u64 + 1, &encode(&record(word)));
    }
    recovered
}

#[test]
fn a_disk_with_records_of_another_version_is_refused() {
    let mut recovered = recover("1.1 2.1 a");
    assert!(recovered.require_readable().is_ok());
    recovered.apply_record(4, &[0xff; 9]);
    recovered.apply_record(5, &encode(&record("4.1")));
    let refused = recovered.require_readable().unwrap_err().to_string();
    assert!(
        refused.contains("1 records") && refused.contains("run the version that wrote them"),
        "{refused}"
    );
}

fn held(log: &ReplicatedLog) -> String {
    let entries = (log.first()..=log.end()).map(|s| log.get(s).unwrap());
    let words: Vec<String> = entries.map(|e| format!("{}.{}", e.sequence, e.epoch)).collect();
    words.join(" ")
}

#[rstest]
#[case::empty("", "", 1, 0)]
#[case::entries("1.1 2.1 3.2", "1.1 2.1 3.2", 1, 0)]
#[case::truncated("1.1 2.1 3.1 t1 2.2", "1.1 2.2", 1, 0)]
#[case::truncated_to_nothing("1.1 2.1 t0 1.2", "1.2", 1, 0)]
#[case::truncated_beyond_the_end("1.1 t5 2.1", "1.1 2.1", 1, 0)]
#[case::reset("1.1 2.1 r9.4 9.5 10.5", "9.5 10.5", 9, 4)]
#[case::reset_only("1.1 r9.4", "", 9, 4)]
#[case::compacted("1.1 2.1 3.2 x3.1", "3.2", 3, 1)]
#[case::compacted_and_appended("1.1 2.1 3.2 x3.1 4.2", "3.2 4.2", 3, 1)]
#[case::released_before_the_checkpoint("3.2 x3.1 4.2", "3.2 4.2", 3, 1)]
#[case::released_with_the_compaction_record("3.2 4.2", "3.2 4.2", 3, 0)]
#[case::rest_of_released_entries("2.1 3.2 4.2 x3.1", "3.2 4.2", 3, 1)]
#[case::compacted_twice("1.1 2.1 3.1 4.1 x2.1 x4.1", "4.1", 4, 1)]
#[case::rest_of_a_truncated_suffix("61.1 t59 60.2 61.2 x60.1", "60.2 61.2", 60, 1)]
#[case::truncation_of_released_entries("t59 60.2 61.2", "60.2 61.2", 60, 0)]
#[case::agreement_in_between("1.1 a 2.1 a", "1.1 2.1", 1, 0)]
fn the_log_is_recovered_from_its_records(
    #[case] words: &str,
    #[case] expected: &str,
    #[case] first: u64,
    #[case] previous: u64,
) {
    let log = recover(words).log;
    assert_eq!(held(&log), expected);
    assert_eq!((log.first(), log.previous_epoch()), (first, previous));
}

#[test]
fn the_latest_state_of_the_agreement_counts() {
    let recovered = recover("1.1 a 2.1 a 3.1");
    assert_eq!(recovered.agreement_position, Some(4));
    assert!(recovered.agreement.is_some());
}

#[test]
fn undecodable_records_are_counted() {
    let mut recovered = recover("1.1");
    recovered.apply_record(2, &[0xff, 0xff]);
    recovered.apply_record(3, &[]);
    recovered.apply_record(4, &encode(&record("2.1")));
    assert_eq!(recovered.unreadable, 2);
    assert_eq!(held(&recovered.log), "1.1 2.1");
}

/// Returns a log with entries 1 to 4 at the disk positions 2, 3, 7 and 8.
fn log_with_gaps() -> ReplicatedLog {
    let mut log = ReplicatedLog::default();
    for (sequence, position) in [(1, 2), (2, 3), (3, 7), (4, 8)] {
        log.append(entry(sequence, 1), position);
    }
    log
}

#[rstest]
#[case(0, 0)]
#[case(2, 1)]
#[case(6, 2)]
#[case(7, 3)]
#[case(100, 4)]
fn the_durable_position_determines_the_durable_entries(#[case] position: u64, #[case] through: u64) {
    assert_eq!(log_with_gaps().durable_through(position), through);
}

#[test]
fn a_rewritten_entry_is_durable_with_its_new_record() {
    let mut log = log_with_gaps();
    log.truncate(2);
    log.append(entry(3, 2), 12);
    assert_eq!(log.durable_through(8), 2);
    assert_eq!(log.durable_through(12), 3);
}

#[test]
fn compaction_keeps_the_previous_epoch_and_counts_bytes() {
    let mut log = log_with_gaps();
    let bytes = log.payload_bytes();
    log.compact(3);
    assert_eq!((log.first(), log.end(), log.previous_epoch()), (3, 4, 1));
    assert_eq!(log.payload_bytes(), bytes / 2);
    assert_eq!(log.oldest_disk_position(), Some(7));
    assert_eq!(log.state().committed, 2);
    log.truncate(2);
    assert_eq!(log.payload_bytes(), 0);
}

#[rstest]
#[case::all(1, 4, 100, 4)]
#[case::by_size(1, 4, 6, 2)]
#[case::one_at_least(1, 4, 1, 1)]
#[case::from_the_middle(3, 4, 100, 2)]
#[case::beyond_the_end(5, 9, 100, 0)]
fn entries_are_read_up_to_a_size_limit(
    #[case] from: u64,
    #[case] to: u64,
    #[case] bytes: usize,
    #[case] count: usize,
) {
    let mut entries = Vec::new();
    log_with_gaps().read(from, to, bytes, &mut entries);
    assert_eq!(entries.len(), count);
}
