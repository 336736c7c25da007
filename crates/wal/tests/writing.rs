//! Reuse of files, releases, large records, full disks and failed syncs.

mod support;

use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{DiskError, Options, Record, Recovery};
use rstest::rstest;
use support::{Disk, Faults, small_options};

fn open(disk: &Disk, options: &Options) -> OpenedWriter<Disk> {
    Writer::open(disk.clone(), options).unwrap()
}

fn record(position: u64, bytes: usize) -> Record {
    Record { position, payload: vec![position as u8; bytes] }
}

fn positions(recovery: &Recovery) -> Vec<u64> {
    recovery.records.iter().map(|record| record.position).collect()
}

#[test]
fn released_files_are_reused_within_the_capacity() {
    let options = small_options(3, 1000);
    let disk = Disk::new(1);
    let mut writer = open(&disk, &options).writer;
    for position in 1..=500 {
        writer.enqueue(record(position, 150));
        writer.commit().unwrap();
        writer.prepare_ahead().ok();
        writer.release_before(position.saturating_sub(4));
        assert!(writer.used_bytes() <= options.capacity_bytes);
        assert!(disk.ring_bytes() <= options.capacity_bytes);
    }
    drop(writer);
    let OpenedWriter { recovery, next_position: next, .. } = open(&disk, &options);
    assert_eq!(next, 501);
    let read = positions(&recovery);
    assert!(read.first() <= Some(&496) && read.len() < 30, "{read:?}");
    assert_eq!(read, (read[0]..=500).collect::<Vec<_>>());
    assert!(recovery.records.iter().all(|read| *read == record(read.position, 150)));
}

#[test]
fn positions_continue_after_everything_was_released() {
    let options = small_options(3, 600);
    let disk = Disk::new(1);
    for round in 0..30 {
        let OpenedWriter { mut writer, next_position: next, .. } = open(&disk, &options);
        assert_eq!(next, round * 3 + 1);
        for position in next..next + 3 {
            writer.enqueue(record(position, 100));
        }
        writer.commit().unwrap();
        writer.release_before(u64::MAX);
        writer.prepare_ahead().ok();
        disk.lose_all_unsynced();
    }
}

#[test]
fn a_full_ring_waits_for_a_release() {
    let options = small_options(3, 1000);
    let disk = Disk::new(1);
    let mut writer = open(&disk, &options).writer;
    for position in 1..=18 {
        writer.enqueue(record(position, 200));
    }
    assert_eq!(writer.commit(), Err(DiskError::RingFull));
    let durable = writer.durable_through();
    assert!((10..18).contains(&durable), "{durable}");
    assert_eq!(writer.commit(), Err(DiskError::RingFull));
    assert_eq!(writer.durable_through(), durable);
    writer.release_before(durable);
    writer.commit().unwrap();
    assert_eq!(writer.durable_through(), 18);
    let recovery = open(&disk, &options).recovery;
    assert_eq!(positions(&recovery), (durable..=18).collect::<Vec<_>>());
}

#[test]
fn records_that_are_not_durable_are_not_released() {
    let options = small_options(3, 1000);
    let disk = Disk::new(1);
    let mut writer = open(&disk, &options).writer;
    writer.enqueue(record(1, 10));
    writer.release_before(u64::MAX);
    writer.commit().unwrap();
    let recovery = open(&disk, &options).recovery;
    assert_eq!(positions(&recovery), [1]);
}

#[rstest]
#[case::full(Faults { full: true, ..Faults::default() }, DiskError::NoSpace)]
#[case::writes(
    Faults { writes_fail: true, ..Faults::default() },
    DiskError::WriteFailed(std::io::ErrorKind::PermissionDenied)
)]
#[case::syncs(
    Faults { syncs_fail: true, ..Faults::default() },
    DiskError::SyncFailed(std::io::ErrorKind::Other)
)]
fn records_stay_queued_while_the_disk_fails(#[case] faults: Faults, #[case] disk_error: DiskError) {
    let options = small_options(4, 1000);
    for (seed, before) in (0..40).flat_map(|seed| [(seed, 0), (seed, 3)]) {
        let disk = Disk::new(seed);
        let mut writer = open(&disk, &options).writer;
        (1..=before).for_each(|position| writer.enqueue(record(position, 100)));
        writer.commit().unwrap();
        disk.set_faults(faults.clone());
        for position in before + 1..before + 6 {
            writer.enqueue(record(position, 150));
            assert_eq!(writer.commit(), Err(disk_error));
            assert_eq!(writer.durable_through(), before);
        }
        let crashed = disk.copy();
        crashed.lose_power();
        let recovery = open(&crashed, &options).recovery;
        assert!(recovery.records.len() as u64 >= before);
        disk.set_faults(Faults::default());
        writer.commit().unwrap();
        assert_eq!(writer.durable_through(), before + 5);
        disk.lose_all_unsynced();
        let recovery = open(&disk, &options).recovery;
        assert_eq!(positions(&recovery), (1..before + 6).collect::<Vec<_>>());
    }
}

#[test]
fn disk_errors_name_a_remedy() {
    assert!(DiskError::RingFull.to_string().contains("release old records"));
    assert!(DiskError::NoSpace.to_string().contains("make room"));
    assert!(DiskError::SyncFailed(std::io::ErrorKind::Other).to_string().contains("check the disk"));
}

#[test]
fn one_commit_of_many_records_is_one_sync() {
    let options = small_options(4, 8000);
    let disk = Disk::new(1);
    let mut writer = open(&disk, &options).writer;
    writer.prepare_ahead().unwrap();
    let before = disk.syncs();
    (1..=50).for_each(|position| writer.enqueue(record(position, 20)));
    writer.commit().unwrap();
    assert_eq!(disk.syncs(), before + 1);
    writer.commit().unwrap();
    assert_eq!(disk.syncs(), before + 1);
}

#[rstest]
#[case::empty(0)]
#[case::one_byte(1)]
#[case::a_file(1000)]
#[case::over_a_file(1001)]
#[case::five_files(5000)]
fn records_of_any_size_are_recovered(#[case] bytes: usize) {
    let options = small_options(16, 1000);
    let disk = Disk::new(1);
    let mut writer = open(&disk, &options).writer;
    for position in 1..=3 {
        writer.enqueue(record(position, 30));
        writer.enqueue(record(position + 3, 0));
        writer = {
            drop(writer);
            open(&disk, &options).writer
        };
    }
    for (position, size) in [(1, 30), (2, bytes), (3, 30), (4, bytes)] {
        writer.enqueue(record(position, size));
        writer.commit().unwrap();
    }
    disk.lose_all_unsynced();
    let recovery = open(&disk, &options).recovery;
    assert_eq!(recovery.records, [record(1, 30), record(2, bytes), record(3, 30), record(4, bytes)]);
}

#[test]
fn a_record_of_32_megabytes_crosses_files_of_the_default_size() {
    let options = Options::with_capacity(64 << 20);
    let disk = Disk::new(1);
    let mut writer = open(&disk, &options).writer;
    let large: Vec<u8> = (0..32_u32 << 20).map(|index| (index % 251) as u8).collect();
    writer.enqueue(record(1, 10));
    writer.enqueue(Record { position: 2, payload: large.clone() });
    writer.enqueue(record(3, 10));
    writer.commit().unwrap();
    let OpenedWriter { recovery, next_position: next, .. } = open(&disk, &options);
    assert_eq!(next, 4);
    assert!(recovery.records[1].payload == large);
    assert_eq!(recovery.records[2], record(3, 10));
}

#[test]
fn large_record_torn_by_a_loss_of_power_is_dropped_completely() {
    let options = small_options(8, 1000);
    for operations in 0..40 {
        let disk = Disk::new(operations.into());
        let mut writer = open(&disk, &options).writer;
        writer.enqueue(record(1, 10));
        writer.commit().unwrap();
        disk.set_faults(Faults { operations_left: Some(operations), ..Faults::default() });
        writer.enqueue(record(2, 4000));
        let is_committed = writer.commit().is_ok();
        disk.lose_power();
        let OpenedWriter { mut writer, recovery, next_position: next } = open(&disk, &options);
        assert!(next == 3 || (next == 2 && !is_committed));
        assert_eq!(recovery.records.len() as u64, next - 1);
        // The next record uses the position, and the files that the torn record had filled become free again.
        (next..next + 10).for_each(|position| writer.enqueue(record(position, 90)));
        writer.commit().unwrap();
        let recovery = open(&disk, &options).recovery;
        assert_eq!(positions(&recovery), (1..next + 10).collect::<Vec<_>>());
        assert_eq!(recovery.records[next as usize], record(next + 1, 90));
    }
}

#[test]
fn files_of_another_size_are_read_and_replaced() {
    let disk = Disk::new(1);
    let old = small_options(6, 600);
    let mut writer = open(&disk, &old).writer;
    (1..=10).for_each(|position| writer.enqueue(record(position, 150)));
    writer.commit().unwrap();
    let new = small_options(6, 2000);
    let OpenedWriter { mut writer, recovery, .. } = open(&disk, &new);
    assert_eq!(positions(&recovery), (1..=10).collect::<Vec<_>>());
    for position in 11..200 {
        writer.enqueue(record(position, 150));
        writer.release_before(position - 3);
        writer.commit().unwrap();
    }
    assert!(disk.ring_bytes() <= new.capacity_bytes);
    let OpenedWriter { recovery, next_position: next, .. } = open(&disk, &new);
    assert_eq!(next, 200);
    assert!(positions(&recovery).contains(&196));
}
