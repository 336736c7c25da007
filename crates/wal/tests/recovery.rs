//! Recovery of a ring after truncation, flipped bits, lost writes and wipes.

mod support;

use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{OpenError, Options, Record, format};
use rstest::rstest;
use support::{Disk, Faults, small_options};

const LAST_FILE: &str = "ring-000.data";

fn open(disk: &Disk, options: &Options) -> OpenedWriter<Disk> {
    Writer::open(disk.clone(), options).unwrap()
}

fn payload(position: u64) -> Vec<u8> {
    (0..position * 3 % 50).map(|index| (index * 7 + position) as u8).collect()
}

fn enqueue(writer: &mut Writer<Disk>, positions: impl IntoIterator<Item = u64>) {
    for position in positions {
        writer.enqueue(Record { position, payload: payload(position) });
    }
}

fn records(through: u64) -> Vec<Record> {
    (1..=through).map(|position| Record { position, payload: payload(position) }).collect()
}

/// Returns a disk with records 1 through `count`, and the offset at which each of them ends in the file.
fn written(count: u64, options: &Options) -> (Disk, Vec<usize>) {
    let disk = Disk::new(1);
    let mut writer = open(&disk, options).writer;
    let mut ends = Vec::new();
    for position in 1..=count {
        enqueue(&mut writer, [position]);
        writer.commit().unwrap();
        ends.push(writer.used_bytes() as usize);
    }
    assert_eq!(writer.durable_through(), count);
    (disk, ends)
}

/// Asserts that the records through `through` are recovered after damage, and that writing continues after them, twice.
fn assert_continues_after(disk: &Disk, options: &Options, through: u64) {
    let OpenedWriter { mut writer, recovery, next_position: next } = open(disk, options);
    assert_eq!(recovery.records, records(through));
    assert_eq!((next, writer.durable_through()), (through + 1, through));
    enqueue(&mut writer, next..next + 2);
    writer.commit().unwrap();
    disk.lose_all_unsynced();
    let OpenedWriter { recovery, next_position: next, .. } = open(disk, options);
    assert_eq!(recovery.records, records(through + 2));
    assert_eq!(next, through + 3);
}

#[test]
fn a_first_use_is_fresh_and_later_ones_keep_the_identity() {
    let disk = Disk::new(3);
    let options = small_options(4, 1000);
    let OpenedWriter { recovery: first, next_position: next, .. } = open(&disk, &options);
    assert!(first.is_first_use && first.disk_identity != 0 && first.records.is_empty());
    assert_eq!(next, 1);
    disk.lose_all_unsynced();
    let second = open(&disk, &options).recovery;
    assert!(!second.is_first_use);
    assert_eq!(second.disk_identity, first.disk_identity);
    disk.wipe();
    let OpenedWriter { recovery: third, next_position: next, .. } = open(&disk, &options);
    assert!(third.is_first_use);
    assert_ne!(third.disk_identity, first.disk_identity);
    assert_eq!(next, 1);
}

#[test]
fn failed_write_of_the_identity_leaves_no_partial_one() {
    for operations in 0..20 {
        let disk = Disk::new(operations.into());
        disk.set_faults(Faults { operations_left: Some(operations), ..Faults::default() });
        let first = Writer::open(disk.clone(), &small_options(3, 1000)).map(|opened| opened.recovery);
        disk.lose_power();
        let second = open(&disk, &small_options(3, 1000)).recovery;
        match first {
            Ok(first) => {
                assert_eq!((second.disk_identity, second.is_first_use), (first.disk_identity, false));
            }
            Err(OpenError::Disk { .. }) => {}
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn ring_files_without_an_identity_are_not_read() {
    let options = small_options(4, 2000);
    let (disk, _) = written(5, &options);
    let identity = disk.contents("identity");
    disk.replace("identity", identity);
    orchidvalve_wal::Storage::remove(&mut disk.clone(), "identity").unwrap();
    let OpenedWriter { recovery, next_position: next, .. } = open(&disk, &options);
    assert!(recovery.is_first_use && recovery.records.is_empty());
    assert_eq!(next, 1);
    let recovery = open(&disk, &options).recovery;
    assert!(!recovery.is_first_use && recovery.records.is_empty());
}

#[test]
fn damaged_identity_is_reported() {
    let disk = Disk::new(1);
    let options = small_options(3, 1000);
    open(&disk, &options);
    let original = disk.contents("identity");
    for index in 0..original.len() {
        let mut flipped = original.clone();
        flipped[index] ^= 1;
        disk.replace("identity", flipped);
        let error = Writer::open(disk.clone(), &options).err().unwrap();
        assert!(matches!(error, OpenError::DamagedIdentity), "{error}");
        assert!(error.to_string().contains("empty the data directory"));
    }
}

#[rstest]
#[case::truncated(false)]
#[case::zeroed(true)]
fn truncation_at_every_byte_keeps_the_records_before_it(#[case] zeroed: bool) {
    let options = small_options(4, 2000);
    let (disk, ends) = written(8, &options);
    let original = disk.contents(LAST_FILE);
    for truncated_at in format::FILE_HEADER_BYTES as usize..ends[7] {
        let disk = disk.copy();
        let mut contents = original.clone();
        contents.truncate(truncated_at);
        if zeroed {
            contents.resize(original.len(), 0);
        }
        // A record that ends in zeros may stay intact.
        let intact = ends.iter().filter(|end| contents.get(..**end) == Some(&original[..**end])).count();
        disk.replace(LAST_FILE, contents);
        assert_continues_after(&disk, &options, intact as u64);
    }
}

#[test]
fn flipped_bit_in_every_byte_keeps_the_records_before_it() {
    let options = small_options(4, 2000);
    let (disk, ends) = written(8, &options);
    let original = disk.contents(LAST_FILE);
    for flip in format::FILE_HEADER_BYTES as usize..ends[7] {
        for bit in [0x01, 0x80] {
            let disk = disk.copy();
            let mut contents = original.clone();
            contents[flip] ^= bit;
            disk.replace(LAST_FILE, contents);
            let intact = ends.iter().filter(|end| **end <= flip).count();
            assert_continues_after(&disk, &options, intact as u64);
        }
    }
}

#[test]
fn records_after_a_dropped_tail_are_never_restored() {
    let options = small_options(4, 2000);
    let (disk, ends) = written(8, &options);
    let mut contents = disk.contents(LAST_FILE);
    contents[ends[4] + 1] ^= 4;
    disk.replace(LAST_FILE, contents);
    // Record 6 is damaged; 7 and 8 are intact after it. A new record 6 with the same bytes is written in its place.
    let OpenedWriter { mut writer, recovery, next_position: next } = open(&disk, &options);
    assert_eq!((recovery.records.len(), next), (5, 6));
    enqueue(&mut writer, [6]);
    writer.commit().unwrap();
    let OpenedWriter { recovery, next_position: next, .. } = open(&disk, &options);
    assert_eq!(recovery.records, records(6));
    assert_eq!(next, 7);
}

#[test]
fn a_damaged_header_of_the_only_file_leaves_an_empty_ring() {
    let options = small_options(4, 2000);
    let (disk, _) = written(3, &options);
    let original = disk.contents(LAST_FILE);
    for flip in 0..40 {
        let disk = disk.copy();
        let mut contents = original.clone();
        contents[flip] ^= 1;
        disk.replace(LAST_FILE, contents);
        assert_continues_after(&disk, &options, 0);
    }
}

#[test]
fn gap_among_durable_records_is_an_error() {
    let options = small_options(8, 600);
    let (disk, _) = written(40, &options);
    assert!(disk.names().len() > 4);
    let mut contents = disk.contents("ring-001.data");
    contents[format::FILE_HEADER_BYTES as usize + 30] ^= 1;
    disk.replace("ring-001.data", contents);
    let error = Writer::open(disk, &options).err().unwrap();
    assert!(matches!(error, OpenError::Damaged { .. }), "{error}");
    assert!(error.to_string().contains("empty the data directory"));
}

#[test]
fn records_recovered_after_a_kill_survive_a_loss_of_power() {
    let options = small_options(4, 2000);
    let disk = Disk::new(5);
    let mut writer = open(&disk, &options).writer;
    enqueue(&mut writer, 1..=3);
    writer.commit().unwrap();
    // The process is killed in the commit, after the write and before the sync.
    disk.set_faults(Faults { operations_left: Some(1), ..Faults::default() });
    enqueue(&mut writer, 4..=6);
    writer.commit().unwrap_err();
    disk.set_faults(Faults::default());
    drop(writer);
    let OpenedWriter { writer, recovery, .. } = open(&disk, &options);
    assert_eq!(recovery.records, records(6));
    assert_eq!(writer.durable_through(), 6);
    disk.lose_all_unsynced();
    let recovery = open(&disk, &options).recovery;
    assert_eq!(recovery.records, records(6));
}

#[test]
fn recovered_records_that_cannot_be_synced_are_written_again() {
    let options = small_options(4, 2000);
    let disk = Disk::new(6);
    let mut writer = open(&disk, &options).writer;
    disk.set_faults(Faults { operations_left: Some(6), ..Faults::default() });
    enqueue(&mut writer, 1..=6);
    writer.commit().unwrap_err();
    disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
    let OpenedWriter { mut writer, recovery, next_position: next } = open(&disk, &options);
    assert_eq!(recovery.records, records(6));
    assert_eq!((writer.durable_through(), next), (0, 7));
    assert!(writer.has_pending());
    writer.commit().unwrap_err();
    disk.set_faults(Faults::default());
    writer.commit().unwrap();
    assert_eq!(writer.durable_through(), 6);
    disk.lose_all_unsynced();
    let recovery = open(&disk, &options).recovery;
    assert_eq!(recovery.records, records(6));
}

#[rstest]
#[case::two_files(1 << 16, 1 << 15)]
#[case::tiny_files(1 << 16, 100)]
fn too_small_options_are_rejected(#[case] capacity_bytes: u64, #[case] file_bytes: u64) {
    let options = Options { file_bytes, ..Options::with_capacity(capacity_bytes) };
    let tiny = file_bytes < format::MIN_FILE_BYTES;
    let capacity_bytes = if tiny { capacity_bytes } else { file_bytes * 3 - 1 };
    let error = Writer::open(Disk::new(1), &Options { capacity_bytes, ..options }).err().unwrap();
    assert!(matches!(error, OpenError::TooSmall { .. }));
    assert!(error.to_string().contains("raise the capacity"));
}

/// Faults that permit one more operation and then switch the power off.
fn one_operation_left() -> Faults {
    Faults { operations_left: Some(1), ..Faults::default() }
}

#[test]
fn older_header_of_an_empty_file_does_not_restore_records() {
    /// Together with a marker of 36 bytes and a fragment header of 24 bytes, this fills the 600 bytes of a file.
    const FILLS_A_FILE: usize = 540;
    let options = small_options(4, 600);
    for seed in 0..60 {
        let disk = Disk::new(seed);
        let mut writer = open(&disk, &options).writer;
        writer.enqueue(Record { position: 1, payload: vec![1; FILLS_A_FILE] });
        writer.commit().unwrap();
        writer.prepare_ahead().unwrap();
        // Records 2 to 9 are partly written to the prepared file, and it is unknown whether they reach the disk.
        disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
        enqueue(&mut writer, 2..10);
        writer.commit().unwrap_err();
        disk.set_faults(one_operation_left());
        writer.commit().unwrap_err();
        drop(writer);
        disk.set_faults(Faults::default());
        let OpenedWriter { writer, next_position: next, .. } = open(&disk, &options);
        assert!(!writer.has_pending());
        disk.lose_all_unsynced();
        let OpenedWriter { recovery, next_position: next_again, .. } = open(&disk, &options);
        assert_eq!(next_again, next, "seed {seed}");
        assert_eq!(recovery.records.len() as u64, next - 1);
    }
}

#[test]
fn file_of_the_latest_durable_record_is_not_reused() {
    let options = small_options(4, 2000);
    for seed in 0..60 {
        let disk = Disk::new(seed);
        let mut writer = open(&disk, &options).writer;
        enqueue(&mut writer, 1..=3);
        writer.commit().unwrap();
        disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
        enqueue(&mut writer, [4]);
        writer.commit().unwrap_err();
        writer.release_before(u64::MAX);
        disk.set_faults(one_operation_left());
        writer.prepare_ahead().unwrap_err();
        disk.lose_power();
        let next = open(&disk, &options).next_position;
        assert!(next == 4 || next == 5, "seed {seed}: {next}");
    }
}
