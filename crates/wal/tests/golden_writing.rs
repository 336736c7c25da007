//! Golden test of the writer: it writes the recorded bytes to the disk, in the same steps.

mod support;

use std::path::PathBuf;

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{DiskError, OpenError, Options, Record, Recovery};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Disk, Faults, small_options};

const STEPS: u32 = 120;
const RUNS_PER_SIZE: u64 = 12;

/// One run of a writer on a simulated disk with faults, kills and losses of power.
struct Run {
    disk: Disk,
    options: Options,
    random: Pcg64Mcg,
    writer: Writer<Disk>,
    next: u64,
    trace: Trace,
}

impl Run {
    fn new(seed: u64, options: Options) -> Run {
        let disk = Disk::new(seed ^ 0xd15c);
        let OpenedWriter { writer, recovery, next_position: next } =
            Writer::open(disk.clone(), &options).expect("a new disk");
        let mut trace = Trace::new();
        add_recovery(&mut trace, &recovery, next);
        Run { disk, options, random: Pcg64Mcg::seed_from_u64(seed), writer, next, trace }
    }

    fn step(&mut self) {
        match self.random.random_range(0..20) {
            0..8 => self.enqueue(),
            8..13 => {
                let result = self.writer.commit();
                self.add_result(result);
            }
            13..15 => {
                let position = self.random.random_range(0..=self.writer.durable_through() + 1);
                self.writer.release_before(position);
            }
            15 => {
                let result = self.writer.prepare_ahead();
                self.add_result(result);
            }
            16 => self.set_faults(),
            17 => {
                self.disk.set_faults(Faults::default());
                self.reopen();
            }
            18 => {
                self.disk.lose_power();
                self.reopen();
            }
            _ => {
                self.disk.set_faults(Faults::default());
                let end = self.writer.durable_through() + 1;
                self.writer.release_before(end);
                let result = self.writer.commit();
                self.add_result(result);
            }
        }
        self.add_disk();
    }

    fn enqueue(&mut self) {
        for _ in 0..self.random.random_range(1..6) {
            let longest = if self.random.random_bool(0.05) { 3_000 } else { 120 };
            let bytes = self.random.random_range(0..longest);
            let payload = (0..bytes).map(|_| self.random.random()).collect();
            self.writer.enqueue(Record { position: self.next, payload });
            self.next += 1;
        }
    }

    fn set_faults(&mut self) {
        let kind = self.random.random_range(0..5);
        let operations_left = (kind == 3).then(|| self.random.random_range(0..30));
        self.disk.set_faults(Faults {
            full: kind == 0,
            writes_fail: kind == 1,
            syncs_fail: kind == 2,
            operations_left,
            ..Faults::default()
        });
    }

    fn reopen(&mut self) {
        match Writer::open(self.disk.clone(), &self.options) {
            Ok(OpenedWriter { writer, recovery, next_position: next }) => {
                add_recovery(&mut self.trace, &recovery, next);
                (self.writer, self.next) = (writer, next);
            }
            Err(OpenError::Damaged { position, .. }) => panic!("damaged from {position} on"),
            Err(error) => panic!("{error}"),
        }
    }

    fn add_result(&mut self, result: Result<(), DiskError>) {
        self.trace.add_number(match result {
            Ok(()) => 0,
            Err(DiskError::RingFull) => 1,
            Err(DiskError::NoSpace) => 2,
            Err(DiskError::WriteFailed(_)) => 3,
            Err(DiskError::SyncFailed(_)) => 4,
        });
    }

    fn add_disk(&mut self) {
        let trace = &mut self.trace;
        trace.add_number(self.writer.durable_through());
        trace.add_number(self.writer.used_bytes());
        trace.add_number(u64::from(self.writer.has_pending()));
        trace.add_number(self.disk.syncs());
        for name in self.disk.names() {
            trace.add(name.as_bytes());
            trace.add(&self.disk.contents(&name));
        }
    }
}

fn add_recovery(trace: &mut Trace, recovery: &Recovery, next: u64) {
    trace.add_number(recovery.disk_identity);
    trace.add_number(u64::from(recovery.is_first_use));
    trace.add_number(next);
    for record in &recovery.records {
        trace.add_number(record.position);
        trace.add(&record.payload);
    }
}

#[test]
fn writer_writes_the_recorded_bytes() {
    let mut hashes = Vec::new();
    for (files, fragment_bytes) in [(8, 600), (6, 1500), (3, 5000)] {
        for run in 0..RUNS_PER_SIZE {
            let mut written = Run::new(900 + run, small_options(files, fragment_bytes));
            for _ in 0..STEPS {
                written.step();
            }
            hashes.push((format!("files-{files}-room-{fragment_bytes}-run-{run}"), written.trace.finish()));
        }
    }
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", "writing.txt"].iter().collect();
    check_hashes(&path, &hashes);
}
