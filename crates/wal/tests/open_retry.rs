//! The attempts to open a ring on a disk that fails, hangs and recovers.

mod support;

use std::io::{Error, ErrorKind};

use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{
    DiskError, FailureOutcome, OpenError, OpenRetry, OpenStep, Options, RETRY_INTERVAL_MS, Record, Ring,
    SLOW_ATTEMPT_MS,
};
use rstest::rstest;
use support::{Disk, Faults, small_options};

const START: u64 = 100_000;

fn options() -> Options {
    small_options(4, 8_000)
}

fn open(disk: &Disk) -> Result<usize, OpenError> {
    let (_ring, recovery) = Ring::open_with(disk.clone(), options(), Box::new(|| ()))?;
    Ok(recovery.records.len())
}

/// A disk with one durable record and one that was written and never synced.
fn disk_with_an_unsynced_record() -> Disk {
    let disk = Disk::new(1);
    let OpenedWriter { mut writer, next_position: next, .. } =
        Writer::open(disk.clone(), &options()).unwrap();
    writer.enqueue(Record { position: next, payload: vec![1; 10] });
    writer.commit().unwrap();
    writer.enqueue(Record { position: next + 1, payload: vec![2; 10] });
    disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
    writer.commit().unwrap_err();
    disk.set_faults(Faults::default());
    disk
}

/// Returns `None` if the failure is final, else whether its error is the first to be reported.
fn first_report(after: &FailureOutcome<'_>) -> Option<bool> {
    match after {
        FailureOutcome::Final => None,
        FailureOutcome::Retry { first_report } => Some(first_report.is_some()),
    }
}

#[rstest]
#[case::full(Faults { full: true, ..Faults::default() })]
#[case::refuses_syncs(Faults { syncs_fail: true, ..Faults::default() })]
fn ring_opens_within_the_retry_interval_after_its_disk_recovers(#[case] faults: Faults) {
    let disk = disk_with_an_unsynced_record();
    disk.set_faults(faults);
    let mut retry = OpenRetry::new(START);
    let mut now = START;
    for attempt in 0..5 {
        assert_eq!(retry.step(now), OpenStep::Attempt);
        let error = open(&disk).unwrap_err();
        assert_eq!(first_report(&retry.attempt_failed(now, &error)), Some(attempt == 0), "{error}");
        let due = now + RETRY_INTERVAL_MS;
        assert_eq!(retry.step(now), OpenStep::Wait { until: due });
        assert_eq!(retry.step(due - 1), OpenStep::Wait { until: due });
        now = due;
    }
    disk.set_faults(Faults::default());
    assert_eq!(retry.step(now), OpenStep::Attempt);
    assert_eq!(open(&disk).unwrap(), 2);
    assert_eq!(retry.attempts_if_reported(), Some(6));
    disk.lose_all_unsynced();
    assert_eq!(open(&disk).unwrap(), 2);
}

#[test]
fn first_use_waits_for_free_space_and_then_keeps_its_identity() {
    let disk = Disk::new(1);
    disk.set_faults(Faults { full: true, ..Faults::default() });
    let mut retry = OpenRetry::new(START);
    assert_eq!(retry.step(START), OpenStep::Attempt);
    let error = open(&disk).unwrap_err();
    assert_eq!(first_report(&retry.attempt_failed(START, &error)), Some(true));
    disk.set_faults(Faults::default());
    let first = Writer::open(disk.clone(), &options()).unwrap().recovery;
    disk.lose_all_unsynced();
    let second = Writer::open(disk, &options()).unwrap().recovery;
    assert_eq!(first.disk_identity, second.disk_identity);
}

#[test]
fn ring_that_opens_at_once_reports_nothing() {
    let mut retry = OpenRetry::new(START);
    assert_eq!(retry.step(START), OpenStep::Attempt);
    assert_eq!(open(&Disk::new(1)).unwrap(), 0);
    assert!(!retry.begins_to_hang(START));
    assert_eq!(retry.attempts_if_reported(), None);
}

#[test]
fn hanging_disk_is_reported_once_without_a_second_attempt() {
    let mut retry = OpenRetry::new(START);
    assert_eq!(retry.step(START), OpenStep::Attempt);
    let slow_at = START + SLOW_ATTEMPT_MS;
    assert_eq!(retry.step(slow_at - 1), OpenStep::Wait { until: slow_at });
    assert!(!retry.begins_to_hang(slow_at - 1));
    assert!(retry.begins_to_hang(slow_at));
    assert!(!retry.begins_to_hang(slow_at + 1));
    assert_eq!(retry.step(slow_at + 60_000), OpenStep::Wait { until: u64::MAX });
    assert_eq!(retry.attempts_if_reported(), Some(1));
}

#[test]
fn no_attempt_starts_after_a_stop() {
    let error = OpenError::NotDurable(DiskError::NoSpace);
    let mut waiting = OpenRetry::new(START);
    assert_eq!(waiting.step(START), OpenStep::Attempt);
    waiting.attempt_failed(START, &error);
    waiting.stop(START + 4_000);
    assert_eq!(waiting.step(START + 1), OpenStep::GiveUp);
    let mut never_started = OpenRetry::new(START);
    never_started.stop(START + 4_000);
    assert_eq!(never_started.step(START), OpenStep::GiveUp);
}

#[test]
fn running_attempt_is_awaited_until_the_stop_deadline() {
    let stop_by = START + 500;
    let mut retry = OpenRetry::new(START);
    assert_eq!(retry.step(START), OpenStep::Attempt);
    retry.stop(stop_by);
    // A second request does not extend the deadline.
    retry.stop(stop_by + 500);
    assert_eq!(retry.step(stop_by - 1), OpenStep::Wait { until: stop_by });
    assert_eq!(retry.step(stop_by), OpenStep::GiveUp);
    retry.attempt_failed(stop_by - 1, &OpenError::NotDurable(DiskError::NoSpace));
    assert_eq!(retry.step(stop_by - 1), OpenStep::GiveUp);
}

#[rstest]
#[case::damaged(OpenError::Damaged { file: "ring-000.data".to_owned(), position: 7 })]
#[case::identity(OpenError::DamagedIdentity)]
#[case::options(OpenError::TooSmall { capacity_bytes: 1, file_bytes: 1 })]
#[case::rights(refused(ErrorKind::PermissionDenied))]
#[case::no_folder(refused(ErrorKind::NotADirectory))]
#[case::a_folder(refused(ErrorKind::IsADirectory))]
fn permanent_error_is_final_and_names_a_remedy(#[case] error: OpenError) {
    let mut retry = OpenRetry::new(START);
    assert_eq!(retry.step(START), OpenStep::Attempt);
    assert_eq!(first_report(&retry.attempt_failed(START, &error)), None);
    let remedies = ["empty the data directory", "raise the capacity", "check the disk and its rights"];
    assert!(remedies.iter().any(|remedy| error.to_string().contains(remedy)), "{error}");
}

#[rstest]
#[case(ErrorKind::StorageFull)]
#[case(ErrorKind::QuotaExceeded)]
#[case(ErrorKind::FileTooLarge)]
#[case(ErrorKind::ReadOnlyFilesystem)]
#[case(ErrorKind::TimedOut)]
#[case(ErrorKind::Other)]
fn transient_system_error_is_retried(#[case] kind: ErrorKind) {
    let error = refused(kind);
    let reported = reported_text(&OpenRetry::new(START).attempt_failed(START, &error));
    assert!(reported.contains("cannot write the identity"), "{reported}");
    assert!(!reported.contains("start again"), "{reported}");
}

fn refused(kind: ErrorKind) -> OpenError {
    OpenError::Disk { action: "write the identity", source: Error::from(kind) }
}

/// Returns the text of the reported error.
fn reported_text(after: &FailureOutcome<'_>) -> String {
    match after {
        FailureOutcome::Retry { first_report: Some(disk_error) } => disk_error.to_string(),
        other => panic!("nothing is reported: {other:?}"),
    }
}

#[test]
fn a_damaged_identity_on_the_disk_is_final() {
    let disk = disk_with_an_unsynced_record();
    disk.replace("identity", vec![0; 3]);
    let error = open(&disk).unwrap_err();
    assert_eq!(first_report(&OpenRetry::new(START).attempt_failed(START, &error)), None);
}
