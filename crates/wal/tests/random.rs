//! Seeded random runs of a ring's writer against a model.

mod support;

use std::collections::BTreeMap;

use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{DiskError, OpenError, Options, Record};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use support::{Disk, Faults, small_options};

const STEPS: u32 = 300;

struct Run {
    disk: Disk,
    options: Options,
    random: Pcg64Mcg,
    writer: Option<Writer<Disk>>,
    identity: u64,
    /// Records that were appended and may still be on the disk.
    appended: BTreeMap<u64, Vec<u8>>,
    /// Records that previous processes had appended, kept as long as the disk has failed every sync since they ended: a
    /// loss of power may then restore them.
    earlier: Vec<BTreeMap<u64, Vec<u8>>>,
    next_position: u64,
    durable_through: u64,
    /// The durable position that the writer reports.
    known_durable: u64,
    released_before: u64,
}

impl Run {
    fn new(seed: u64, options: Options) -> Self {
        let disk = Disk::new(seed ^ 0x5eed);
        let OpenedWriter { writer, recovery, next_position } = Writer::open(disk.clone(), &options).unwrap();
        Self {
            disk,
            options,
            random: Pcg64Mcg::seed_from_u64(seed),
            writer: Some(writer),
            identity: recovery.disk_identity,
            appended: BTreeMap::new(),
            earlier: Vec::new(),
            next_position,
            durable_through: 0,
            known_durable: 0,
            released_before: 0,
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..8 => self.append(),
            8..13 => self.commit(),
            13..15 => self.release(),
            15 => self.prepare_ahead(),
            16 => self.set_faults(),
            17 => self.kill(),
            18 => self.lose_power(),
            _ if self.random.random_bool(0.05) => self.wipe(),
            _ => self.commit(),
        }
        assert!(self.disk.ring_bytes() <= self.options.capacity_bytes);
        assert!(self.writer().used_bytes() <= self.options.capacity_bytes);
    }

    fn writer(&mut self) -> &mut Writer<Disk> {
        self.writer.as_mut().unwrap()
    }

    fn append(&mut self) {
        for _ in 0..self.random.random_range(1..6) {
            let bytes = match self.random.random_range(0..20) {
                0 => self.random.random_range(0..3000),
                _ => self.random.random_range(0..120),
            };
            let payload: Vec<u8> = (0..bytes).map(|_| self.random.random()).collect();
            let position = self.next_position;
            self.next_position += 1;
            self.appended.insert(position, payload.clone());
            self.writer().enqueue(Record { position, payload });
        }
    }

    fn commit(&mut self) {
        let result = self.writer().commit();
        let durable_through = self.writer().durable_through();
        assert!(durable_through >= self.known_durable && durable_through < self.next_position);
        self.record_durable(durable_through);
        if result.is_ok() {
            self.earlier.clear();
            assert_eq!(durable_through, self.next_position - 1);
        }
    }

    fn record_durable(&mut self, durable_through: u64) {
        self.known_durable = durable_through;
        // Records that had been durable stay durable, even if a failing disk prevents the writer from knowing it.
        self.durable_through = self.durable_through.max(durable_through);
    }

    fn prepare_ahead(&mut self) {
        // The next commit shows whether it succeeded.
        let _ = self.writer().prepare_ahead();
    }

    fn release(&mut self) {
        let position = self.random.random_range(0..=self.durable_through + 1);
        self.released_before = self.released_before.max(position);
        self.writer().release_before(position);
    }

    fn set_faults(&mut self) {
        let kind = self.random.random_range(0..6);
        let mut faults =
            Faults { full: kind == 0, writes_fail: kind == 1, syncs_fail: kind == 2, ..Faults::default() };
        if kind == 3 {
            faults.operations_left = Some(self.random.random_range(0..30));
        }
        self.disk.set_faults(faults);
    }

    /// The process is killed; its writes stay in the page cache. Syncs may fail from then on.
    fn kill(&mut self) {
        self.disk.set_faults(Faults::default());
        if self.random.random_bool(0.3) {
            self.disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
        }
        self.reopen();
    }

    fn lose_power(&mut self) {
        if self.random.random_bool(0.5) {
            let operations = self.random.random_range(0..30);
            self.disk.set_faults(Faults { operations_left: Some(operations), ..Faults::default() });
            self.append();
            self.commit();
            self.prepare_ahead();
        }
        self.disk.lose_power();
        self.reopen();
    }

    fn wipe(&mut self) {
        self.disk.wipe();
        self.appended.clear();
        self.earlier.clear();
        (self.next_position, self.released_before) = (1, 0);
        (self.durable_through, self.known_durable) = (0, 0);
        let OpenedWriter { writer, recovery, next_position } =
            Writer::open(self.disk.clone(), &self.options).unwrap();
        assert!(
            recovery.is_first_use && recovery.records.is_empty() && recovery.disk_identity != self.identity
        );
        assert_eq!(next_position, 1);
        self.identity = recovery.disk_identity;
        self.writer = Some(writer);
    }

    fn reopen(&mut self) {
        self.writer = None;
        let opened = Writer::open(self.disk.clone(), &self.options);
        let OpenedWriter { writer, recovery, next_position } = match opened {
            // A ring without files syncs its folder again, and cannot be opened while that fails.
            Err(OpenError::Disk { .. }) if self.durable_through == 0 => {
                self.disk.set_faults(Faults::default());
                Writer::open(self.disk.clone(), &self.options).unwrap()
            }
            opened => opened.unwrap(),
        };
        assert!(!recovery.is_first_use);
        assert_eq!(recovery.disk_identity, self.identity);
        assert!(next_position > self.durable_through);
        let first = recovery.records.first().map_or(next_position, |record| record.position);
        let needed = self.released_before.max(1);
        assert!(first <= needed.max(1) || needed > self.durable_through, "{first} {needed}");
        for (record, position) in recovery.records.iter().zip(first..) {
            assert_eq!(record.position, position);
        }
        assert_eq!(first + recovery.records.len() as u64, next_position);
        let was_appended = |appended: &&BTreeMap<u64, Vec<u8>>| {
            let found = |record: &Record| appended.get(&record.position) == Some(&record.payload);
            recovery.records.iter().all(found)
        };
        let all = self.earlier.iter().chain([&self.appended]);
        let mut appended = all.rev().find(was_appended).expect("one process appended all of it").clone();
        appended.split_off(&next_position);
        self.earlier.push(std::mem::replace(&mut self.appended, appended));
        self.next_position = next_position;
        self.record_durable(writer.durable_through());
        if !writer.has_pending() {
            self.earlier.clear();
        }
        self.writer = Some(writer);
    }

    /// Without faults and with releases, all records become durable.
    fn settle(&mut self) {
        self.disk.set_faults(Faults::default());
        loop {
            let durable_through = self.durable_through;
            self.writer().release_before(durable_through + 1);
            self.released_before = durable_through + 1;
            match self.writer().commit() {
                Ok(()) => break,
                Err(disk_error) => assert_eq!(disk_error, DiskError::RingFull),
            }
            self.durable_through = self.writer().durable_through();
            assert!(self.durable_through > durable_through, "a full ring makes no progress");
        }
        self.commit();
        self.disk.lose_power();
        self.reopen();
    }
}

#[rstest]
#[case::tiny_files(8, 600)]
#[case::small_files(6, 1500)]
#[case::three_files(3, 5000)]
#[case::many_files(20, 800)]
fn random_runs_keep_durable_records(#[case] files: u64, #[case] fragment_bytes: u64) {
    for seed in 0..150 {
        let mut run = Run::new(seed, small_options(files, fragment_bytes));
        for step in 0..STEPS {
            run.step();
            if step % 100 == 99 && files * fragment_bytes > 6000 {
                run.settle();
            }
        }
    }
}
