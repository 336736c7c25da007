//! The first use of a disk, interrupted at every step by a kill or a loss of power: an identity, once reported, is kept
//! together with its records, and records are never kept or lost without it.

mod support;

use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{OpenError, Options, Record, Storage};
use rstest::rstest;
use support::{Disk, Faults, small_options};

/// Larger than the number of operations of the first use and the first records.
const OPERATIONS: u32 = 24;
const SEEDS: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The process is killed; its writes stay in the page cache.
    Kill,
    /// Each unsynced write and name is independently kept or lost.
    PowerLoss,
    /// Everything that was not synced is lost.
    TotalPowerLoss,
}

const ENDS: [End; 3] = [End::Kill, End::PowerLoss, End::TotalPowerLoss];

/// What the processes so far have reported.
#[derive(Debug, Default)]
struct ReportedState {
    identity: Option<u64>,
    durable_through: u64,
}

struct Run {
    disk: Disk,
    options: Options,
    reported: ReportedState,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self { disk: Disk::new(seed), options: small_options(4, 600), reported: ReportedState::default() }
    }

    /// Runs one process: opens the ring, writes some records and ends after the given number of disk operations.
    fn process(&mut self, operations: Option<u32>, end: End) {
        self.disk.set_faults(Faults { operations_left: operations, ..Faults::default() });
        match Writer::open(self.disk.clone(), &self.options) {
            Ok(OpenedWriter { writer, recovery, next_position: next }) => {
                let known = *self.reported.identity.get_or_insert(recovery.disk_identity);
                assert_eq!(recovery.disk_identity, known, "the identity of the disk has changed");
                assert!(next > self.reported.durable_through, "durable records are missing");
                assert_eq!(recovery.records.len() as u64, next - 1);
                self.write(writer, next);
            }
            Err(OpenError::Disk { .. }) if operations.is_some() => {}
            Err(error) => panic!("{error}"),
        }
        match end {
            End::Kill => self.disk.set_faults(Faults::default()),
            End::PowerLoss => self.disk.lose_power(),
            End::TotalPowerLoss => self.disk.lose_all_unsynced(),
        }
    }

    fn write(&mut self, mut writer: Writer<Disk>, next: u64) {
        for position in next..next + 3 {
            writer.enqueue(Record { position, payload: vec![position as u8; 150] });
            // `durable_through` shows whether the commit succeeded.
            let _ = writer.commit();
            self.reported.durable_through = self.reported.durable_through.max(writer.durable_through());
        }
    }
}

#[rstest]
fn first_use_survives_an_interruption_at_every_step(
    #[values(0, 1, 2)] first_end: usize,
    #[values(0, 1, 2)] second_end: usize,
) {
    for seed in 0..SEEDS {
        for first in 0..OPERATIONS {
            for second in (0..OPERATIONS).chain([u32::MAX]) {
                let mut run = Run::new(seed);
                run.process(Some(first), ENDS[first_end]);
                run.process(Some(second), ENDS[second_end]);
                run.process(None, End::PowerLoss);
                run.process(None, End::TotalPowerLoss);
                run.process(None, End::Kill);
                assert!(run.reported.durable_through >= 9);
            }
        }
    }
}

#[test]
fn file_whose_name_was_not_synced_before_a_kill_is_kept() {
    let options = small_options(4, 2000);
    // One of these ends right before the sync of the folder that the first ring file needs.
    for operations in 0..OPERATIONS {
        let disk = Disk::new(1);
        disk.set_faults(Faults { operations_left: Some(operations), ..Faults::default() });
        if let Ok(OpenedWriter { mut writer, .. }) = Writer::open(disk.clone(), &options) {
            let _ = writer.prepare_ahead();
        }
        disk.set_faults(Faults::default());
        let OpenedWriter { mut writer, recovery: first, next_position: next } =
            Writer::open(disk.clone(), &options).unwrap();
        writer.enqueue(Record { position: next, payload: vec![1; 10] });
        writer.commit().unwrap();
        disk.lose_all_unsynced();
        let OpenedWriter { recovery: second, next_position: next, .. } =
            Writer::open(disk, &options).unwrap();
        assert_eq!(second.disk_identity, first.disk_identity);
        assert_eq!((second.records.len(), next), (1, 2), "after {operations} operations");
    }
}

#[test]
fn stray_file_is_never_restored_next_to_a_new_identity() {
    let options = small_options(4, 2000);
    for seed in 0..100 {
        for operations in 0..OPERATIONS {
            let mut disk = Disk::new(seed);
            let OpenedWriter { mut writer, next_position: next, .. } =
                Writer::open(disk.clone(), &options).unwrap();
            writer.enqueue(Record { position: next, payload: vec![1; 10] });
            writer.commit().unwrap();
            disk.remove("identity").unwrap();
            disk.sync_folder().unwrap();
            disk.set_faults(Faults { operations_left: Some(operations), ..Faults::default() });
            let opened = Writer::open(disk.clone(), &options).map(|opened| opened.recovery.disk_identity);
            disk.lose_power();
            let OpenedWriter { recovery, next_position: next, .. } = Writer::open(disk, &options).unwrap();
            assert!(recovery.records.is_empty(), "records of another identity");
            assert_eq!(next, 1);
            assert!(opened.is_err() || opened.is_ok_and(|identity| identity == recovery.disk_identity));
        }
    }
}
