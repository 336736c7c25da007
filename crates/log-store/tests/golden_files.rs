//! The files of the store equal the recorded ones byte for byte after any operations, failures and crashes. All runs
//! start from one recorded store, so that no file contains random bytes.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use orchidvalve_golden::{Trace, check_hashes, check_samples, read_samples};
use orchidvalve_log_store::CompactionOptions;
use orchidvalve_log_store::Snapshot;
use orchidvalve_log_store::background_writer::{BackgroundWriter, Durability, WriterOptions};
use orchidvalve_log_store::disk::Disk;
use orchidvalve_log_store::disk::simulated::{CrashLoss, Persisted, SimulatedDisk};
use orchidvalve_log_store::repair;
use orchidvalve_log_store::{AppendError, Batch, CompactionStep, LogStore, LogStoreOptions, RecoveryReport};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SEEDS: u64 = 60;
const STEPS: usize = 150;

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn options(checkpoints: bool) -> LogStoreOptions {
    let compaction = CompactionOptions {
        min_garbage_share: 0.2,
        max_segments: 6,
        min_free_bytes: 0,
        bytes_per_second: 2_000,
        burst_bytes: 4_000,
        ..CompactionOptions::default()
    };
    LogStoreOptions { segment_bytes: 500, checkpoints, compaction, ..LogStoreOptions::named("golden") }
}

/// Returns the disk of an empty store. Its identity is partly random, so it was recorded once.
fn empty_store() -> SimulatedDisk {
    static RECORDING: Mutex<()> = Mutex::new(());
    let path = path("empty_store.txt");
    let recording = RECORDING.lock();
    if !path.exists() {
        let disk = SimulatedDisk::new(1 << 20);
        drop(LogStore::open(Arc::new(disk.clone()), options(true)).unwrap());
        let files: Vec<(String, Vec<u8>)> =
            disk.names().into_iter().map(|name| (name.clone(), disk.bytes(&name).unwrap())).collect();
        check_samples(&path, &files);
    }
    drop(recording);
    let disk = SimulatedDisk::new(1 << 20);
    read_samples(&path).into_iter().for_each(|(name, bytes)| disk.set_bytes(&name, bytes));
    disk
}

fn add_files(trace: &mut Trace, disk: &SimulatedDisk) {
    for name in disk.names() {
        trace.add(name.as_bytes());
        trace.add(&disk.bytes(&name).unwrap());
    }
    trace.add_number(disk.calls());
    trace.add_number(disk.syncs());
}

fn add_snapshot(trace: &mut Trace, snapshot: &Snapshot) {
    trace.add_number(snapshot.sequence);
    for (keyspace, key, entry) in snapshot.entries() {
        trace.add_number(u64::from(keyspace));
        trace.add(key);
        for number in [entry.sequence, entry.segment, entry.location.offset, u64::from(entry.location.length)]
        {
            trace.add_number(number);
        }
        match snapshot.get(keyspace, key) {
            Ok(value) => trace.add(&value.unwrap()),
            Err(_) => trace.add_number(u64::MAX),
        }
    }
    snapshot.segments().for_each(|number| trace.add_number(number));
}

fn add_found(trace: &mut Trace, found: &RecoveryReport) {
    let segments_from_checkpoint = found.segments_from_checkpoint as u64;
    for number in [
        found.records,
        found.keys,
        found.segments as u64,
        segments_from_checkpoint,
        found.manifest_rebuilt.into(),
    ] {
        trace.add_number(number);
    }
    let torn = found.torn_tail.map(|tail| vec![tail.segment, tail.offset, tail.bytes]);
    let damaged = found.corruption.map(|corruption| vec![corruption.segment, corruption.offset]);
    for numbers in [torn, damaged] {
        let numbers = numbers.unwrap_or_default();
        trace.add_number(numbers.len() as u64);
        numbers.into_iter().for_each(|number| trace.add_number(number));
    }
    found.quarantined.iter().for_each(|name| trace.add(name.as_bytes()));
}

fn batch(random: &mut Pcg64) -> Batch {
    let mut batch = Batch::new();
    for _ in 0..random.random_range(1..4) {
        let (keyspace, mut key) = (random.random_range(1..3), vec![b'k', random.random_range(b'0'..b'6')]);
        if random.random_range(0..8) == 0 {
            key.resize(random.random_range(27..33), b'x');
        }
        if random.random_range(0..4) == 0 {
            batch = batch.delete(keyspace, &key);
        } else {
            let value = vec![random.random(); random.random_range(0..40)];
            batch = batch.put(keyspace, &key, &value);
        }
    }
    if random.random_range(0..60) == 0 { batch.put(1, b"long", &[7; 600]) } else { batch }
}

fn add_appended(trace: &mut Trace, result: &Result<u64, AppendError>) {
    match result {
        Ok(sequence) => trace.add_number(*sequence),
        Err(AppendError::BatchTooLarge(bytes)) => trace.add_number(1 << 40 | *bytes),
        Err(AppendError::Io(_)) => trace.add_number(u64::MAX),
    }
}

fn add_compacted(trace: &mut Trace, result: &std::io::Result<CompactionStep>) {
    let numbers = match result {
        Ok(CompactionStep::Idle) => [0, 0, 0],
        Ok(CompactionStep::Progressed(bytes)) => [1, *bytes, 0],
        Ok(CompactionStep::Merged { bytes_before, bytes_after }) => [2, *bytes_before, *bytes_after],
        Ok(CompactionStep::Throttled) => [3, 0, 0],
        Ok(CompactionStep::Corrupt(segment)) => [4, *segment, 0],
        Err(_) => [5, 0, 0],
    };
    numbers.into_iter().for_each(|number| trace.add_number(number));
}

fn any_kept(random: &mut Pcg64) -> Persisted {
    match random.random_range(0..4) {
        0 => Persisted::Nothing,
        1 => Persisted::All,
        2 => Persisted::First(random.random_range(0..3)),
        _ => Persisted::Without(random.random_range(0..3)),
    }
}

/// Returns a hash of the results of a run and of the files it leaves.
fn run(seed: u64) -> u64 {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut trace = Trace::new();
    let mut disk = empty_store();
    let mut store = Some(LogStore::open(Arc::new(disk.clone()), options(true)).unwrap().0);
    let mut now = 0;
    for _ in 0..STEPS {
        let step = random.random_range(0..100);
        let Some(open) = &mut store else { unreachable!("opened again below") };
        match step {
            0..45 => add_appended(&mut trace, &open.append(&batch(&mut random))),
            45..52 => {
                let batches = (0..random.random_range(2..5)).map(|_| batch(&mut random)).collect();
                open.append_batches(batches).iter().for_each(|result| add_appended(&mut trace, result));
            }
            52..64 => trace.add_number(open.sync().is_ok().into()),
            64..74 => add_compacted(&mut trace, &open.compact()),
            74..88 => add_compacted(&mut trace, &open.compact_step_unthrottled()),
            88..90 => trace.add_number(open.seal_active_segment().is_ok().into()),
            90..92 => disk.fail_at(disk.calls() + random.random_range(0..6)),
            92..94 => disk.fail_sync(disk.syncs() + random.random_range(0..3)),
            94..96 => {
                drop(store.take());
            }
            96..98 => {
                let files = any_kept(&mut random);
                let names = any_kept(&mut random);
                drop(store.take());
                disk = disk.after_crash(CrashLoss { files, names });
            }
            _ => {
                drop(store.take());
                damage_file(&disk, &mut random);
            }
        }
        now += random.random_range(-100..400) * 1_000_000;
        store.iter_mut().for_each(|open| open.set_time(now));
        while store.is_none() {
            add_files(&mut trace, &disk);
            // One call may still fail; the next attempt then succeeds.
            if let Ok((opened, found)) =
                LogStore::open(Arc::new(disk.clone()), options(random.random_bool(0.5)))
            {
                add_found(&mut trace, &found);
                add_snapshot(&mut trace, &opened.snapshot());
                store = Some(opened);
            }
        }
    }
    let store = store.unwrap();
    add_snapshot(&mut trace, &store.snapshot());
    for segment in store.segments() {
        [segment.number, segment.bytes, segment.is_merged.into()]
            .into_iter()
            .for_each(|number| trace.add_number(number));
    }
    drop(store);
    add_files(&mut trace, &disk);
    add_salvaged(&mut trace, &disk);
    trace.finish()
}

/// Damages a file, except for segment headers, which are needed to recover the store's identity.
fn damage_file(disk: &SimulatedDisk, random: &mut Pcg64) {
    const HEAD: usize = 64;
    let names = disk.names();
    let name = &names[random.random_range(0..names.len())];
    let mut bytes = disk.bytes(name).unwrap();
    if bytes.len() <= HEAD {
        return;
    }
    let at = random.random_range(HEAD..bytes.len());
    if random.random_bool(0.5) {
        bytes[at] ^= 1 << random.random_range(0..8);
    } else {
        bytes.truncate(at);
    }
    disk.set_bytes(name, bytes);
}

fn add_salvaged(trace: &mut Trace, disk: &SimulatedDisk) {
    let check = repair::check(disk, |_, _| {}).unwrap();
    trace.add_number(check.generation.unwrap_or(u64::MAX));
    for segment in &check.segments {
        trace.add(segment.name.as_bytes());
        let unread =
            segment.unread_tail.map_or(u64::MAX, |tail| tail.offset << 1 | u64::from(tail.has_records));
        let flags = u64::from(segment.is_merged) << 1 | u64::from(segment.is_active);
        let numbers = [segment.bytes, segment.records, segment.first, segment.next, unread, flags];
        numbers.into_iter().for_each(|number| trace.add_number(number));
    }
    check.missing.iter().chain(&check.quarantined).for_each(|name| trace.add(name.as_bytes()));
    trace.add_number(check.faults.len() as u64);
    let salvaged = check.quarantined.iter().map(|name| repair::records(disk, name));
    for records in [repair::live(disk)].into_iter().chain(salvaged) {
        for record in records.unwrap_or_default() {
            trace.add_number(record.offset);
            trace.add_number(u64::from(record.keyspace));
            trace.add_number(record.sequence);
            trace.add(&record.key);
            trace.add(&record.value);
        }
    }
}

#[test]
fn a_store_leaves_the_recorded_files() {
    let hashes: Vec<(String, u64)> = (0..SEEDS).map(|seed| (format!("seed-{seed}"), run(seed))).collect();
    check_hashes(&path("files.txt"), &hashes);
}

/// The writer waits for each batch. Nothing is merged, because the time of a merge is not deterministic.
#[test]
fn a_background_writer_leaves_the_recorded_files() {
    let run = |seed: u64| {
        let (disk, mut random) = (empty_store(), Pcg64::seed_from_u64(seed));
        let mut options = options(true);
        (options.compaction.min_garbage_share, options.compaction.max_segments) = (2.0, usize::MAX);
        let (store, _) = LogStore::open(Arc::new(disk.clone()), options).unwrap();
        let writer = BackgroundWriter::start(store, WriterOptions::default()).unwrap();
        let mut trace = Trace::new();
        let mut handle = writer.handle();
        for n in 0..60u8 {
            match random.random_range(0..3) {
                0 => {
                    assert!(handle.update(1, &[n % 5], Some(&[n])));
                    assert!(handle.update(1, &[n % 7], None));
                }
                1 => {
                    let result = handle.append(batch(&mut random), Durability::Synced).unwrap();
                    trace.add_number(result.unwrap().wait().unwrap_or(u64::MAX));
                }
                _ => {
                    let Ok(pending) = handle.try_append(batch(&mut random)) else { panic!("no room") };
                    trace.add_number(pending.wait().unwrap_or(u64::MAX));
                }
            }
            add_snapshot(&mut trace, &writer.snapshot());
        }
        assert!(handle.finish());
        let store = writer.stop().unwrap();
        add_snapshot(&mut trace, &store.snapshot());
        drop(store);
        for name in disk.list().unwrap() {
            trace.add(name.as_bytes());
            trace.add(&disk.bytes(&name).unwrap());
        }
        (format!("seed-{seed}"), trace.finish())
    };
    let hashes: Vec<(String, u64)> = (0..20).map(run).collect();
    check_hashes(&path("files_of_thread.txt"), &hashes);
}
