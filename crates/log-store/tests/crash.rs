//! Power losses, truncated files, flipped bits and failing calls at every position, on a simulated disk. In all cases
//! the store opens in the state after some batch that was issued, not earlier than the last one acknowledged as
//! durable.

use std::collections::BTreeMap;
use std::sync::Arc;

use orchidvalve_log_store::disk::Disk;
use orchidvalve_log_store::disk::simulated::{CrashLoss, Persisted, SimulatedDisk};
use orchidvalve_log_store::repair;
use orchidvalve_log_store::{
    Batch, CompactionOptions, CompactionStep, Corruption, LogStore, LogStoreOptions, OpenError,
    RecoveryReport, Snapshot,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

type State = BTreeMap<(u16, Vec<u8>), Vec<u8>>;

fn options(checkpoints: bool) -> LogStoreOptions {
    let compaction = CompactionOptions {
        min_garbage_share: 0.2,
        max_segments: 6,
        min_free_bytes: 0,
        ..CompactionOptions::default()
    };
    LogStoreOptions { segment_bytes: 500, checkpoints, compaction, ..LogStoreOptions::named("test") }
}

fn open(disk: &SimulatedDisk, checkpoints: bool) -> (LogStore, RecoveryReport) {
    LogStore::open(Arc::new(disk.clone()), options(checkpoints)).unwrap()
}

/// What a workload issued, and what was acknowledged.
#[derive(Default)]
struct History {
    /// The state after each batch; the first one is the empty state.
    states: Vec<State>,
    /// The index of the last state that was acknowledged as durable.
    durable: usize,
    /// Whether a batch failed. It still counts as issued, because a crash may have kept it.
    failed: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum OnFailure {
    /// Stop at the first failing call, as after a power loss.
    PowerLoss,
    /// Continue with the next step, because calls fail only once.
    Continue,
}

fn batch(random: &mut Pcg64, state: &mut State) -> Batch {
    let mut batch = Batch::new();
    for _ in 0..random.random_range(1..4) {
        let (keyspace, key) = (random.random_range(1..3), vec![b'k', random.random_range(b'0'..b'6')]);
        if random.random_range(0..4) == 0 {
            batch = batch.delete(keyspace, &key);
            state.remove(&(keyspace, key));
        } else {
            let value = vec![random.random(); random.random_range(0..40)];
            batch = batch.put(keyspace, &key, &value);
            state.insert((keyspace, key), value);
        }
    }
    batch
}

fn work(disk: &SimulatedDisk, seed: u64, steps: usize, on_failure: OnFailure) -> History {
    let mut history = History { states: vec![State::new()], ..History::default() };
    let opened = LogStore::open(Arc::new(disk.clone()), options(true));
    let Ok((mut store, _)) = opened else {
        assert!(
            on_failure == OnFailure::PowerLoss
                || !matches!(opened, Err(OpenError::OtherStore | OpenError::NewerFormat(_)))
        );
        return history;
    };
    let mut random = Pcg64::seed_from_u64(seed);
    for _ in 0..steps {
        let failed = match random.random_range(0..10) {
            0..6 => {
                let mut state = history.states.last().unwrap().clone();
                let batch = batch(&mut random, &mut state);
                let failed = store.append(&batch).is_err();
                if !failed || on_failure == OnFailure::PowerLoss {
                    history.states.push(state);
                }
                history.failed |= failed;
                failed
            }
            6..8 => {
                let synced = store.sync().is_ok();
                if synced {
                    history.durable = history.states.len() - 1;
                }
                !synced
            }
            _ => store.compact_step_unthrottled().is_err(),
        };
        if failed && on_failure == OnFailure::PowerLoss {
            return history;
        }
    }
    history
}

fn state(snapshot: &Snapshot) -> State {
    let keyspaces = [1, 2].into_iter();
    keyspaces
        .flat_map(|keyspace| {
            snapshot.scan(keyspace).map(move |(key, value)| ((keyspace, key), value.unwrap()))
        })
        .collect()
}

/// Returns the index of a state in the history.
fn index_in_history(found: &State, history: &History) -> Option<usize> {
    history.states.iter().rposition(|state| state == found)
}

fn check(disk: &SimulatedDisk, history: &History, what: &str) {
    for checkpoints in [true, false] {
        let disk = disk.copy();
        let (mut store, _) = open(&disk, checkpoints);
        let found = state(&store.snapshot());
        let index = index_in_history(&found, history)
            .unwrap_or_else(|| panic!("{what}: no state of the history: {found:?}"));
        assert!(index >= history.durable, "{what}: batch {index}, but {} were durable", history.durable);
        // The store keeps working: a batch that is appended now is there after the next open.
        store.append(&Batch::new().put(1, b"after", b"x")).unwrap();
        store.sync().unwrap();
        drop(store);
        let mut expected = found;
        expected.insert((1, b"after".to_vec()), b"x".to_vec());
        assert_eq!(state(&open(&disk, checkpoints).0.snapshot()), expected, "{what}");
    }
}

/// Returns losses that a crash may cause: the last few pending changes persisted in order, torn, or with one missing.
fn losses(disk: &SimulatedDisk) -> Vec<CrashLoss> {
    const MOST: usize = 3;
    let (files, names) = disk.pending();
    let kept = |pending: usize| {
        let mut kept = vec![Persisted::Nothing, Persisted::All];
        for n in pending.saturating_sub(MOST)..pending {
            kept.extend([Persisted::First(n), Persisted::Without(n)]);
        }
        kept
    };
    let (files, names) = (kept(files), kept(names));
    files.iter().flat_map(|&files| names.iter().map(move |&names| CrashLoss { files, names })).collect()
}

#[test]
fn a_crash_at_every_call_under_every_loss_keeps_a_prefix_with_all_that_was_durable() {
    // `LOGBOOK_SEEDS` sets more seeds for a longer run outside CI.
    let seeds = std::env::var("LOGBOOK_SEEDS").map_or(3, |seeds| seeds.parse().expect("a count of seeds"));
    let (mut states, mut again) = (0, 0);
    for seed in 0..seeds {
        let whole = SimulatedDisk::new(1 << 20);
        work(&whole, seed, 70, OnFailure::PowerLoss);
        for call in 0..whole.calls() {
            let disk = SimulatedDisk::new(1 << 20);
            disk.die_at(call);
            let history = work(&disk, seed, 70, OnFailure::PowerLoss);
            for (n, loss) in losses(&disk).into_iter().enumerate() {
                let left = disk.after_crash(loss);
                check(&left, &history, &format!("seed {seed}, call {call}, {loss:?}"));
                states += 1;
                // A second crash, at every call of the recovery.
                if n % 5 == (call as usize) % 5 {
                    let calls = {
                        drop(open(&left.copy(), false));
                        let l = left.copy();
                        drop(open(&l, false));
                        l.calls()
                    };
                    for second in 0..calls {
                        let twice = left.copy();
                        twice.die_at(second);
                        let opened = LogStore::open(Arc::new(twice.clone()), options(second % 2 == 0));
                        assert!(
                            opened.is_err() || second + 1 >= calls,
                            "the open did not report the failed call"
                        );
                        drop(opened);
                        for loss in [
                            (Persisted::Nothing, Persisted::Nothing),
                            (Persisted::All, Persisted::All),
                            (Persisted::All, Persisted::Nothing),
                            (Persisted::First(0), Persisted::All),
                        ] {
                            let left = twice.after_crash(CrashLoss { files: loss.0, names: loss.1 });
                            check(&left, &history, &format!("seed {seed}, calls {call} and {second}"));
                            again += 1;
                        }
                    }
                }
            }
        }
    }
    println!("{states} states after a crash, {again} after a second one in the recovery");
    assert!(states > 5_000 && again > 5_000, "{states} and {again}");
}

#[test]
fn a_crash_that_also_loses_the_manifest_recovers_an_issued_state() {
    let whole = SimulatedDisk::new(1 << 20);
    work(&whole, 1, 90, OnFailure::PowerLoss);
    for call in 4..whole.calls() {
        let disk = SimulatedDisk::new(1 << 20);
        disk.die_at(call);
        let history = work(&disk, 1, 90, OnFailure::PowerLoss);
        for loss in losses(&disk) {
            let left = disk.after_crash(loss);
            let _ = left.remove("MANIFEST");
            check(&left, &history, &format!("call {call}, {loss:?}, no manifest"));
        }
    }
}

#[test]
fn state_read_after_recovery_survives_a_later_crash() {
    let disk = SimulatedDisk::new(1 << 20);
    let (mut store, _) = open(&disk, true);
    store.append(&Batch::new().put(1, b"a", b"b")).unwrap();
    // The process is killed, but the system keeps what it wrote.
    drop(store);
    assert_eq!(open(&disk, true).0.snapshot().len(), 1);
    let left = disk.after_crash(CrashLoss { files: Persisted::Nothing, names: Persisted::Nothing });
    assert_eq!(open(&left, true).0.snapshot().len(), 1);
}

#[test]
fn a_tombstone_is_kept_while_older_records_may_exist() {
    let disk = SimulatedDisk::new(1 << 20);
    let mut options = options(true);
    (options.compaction.min_garbage_share, options.compaction.max_run_bytes) = (0.75, 1_500);
    let (mut store, _) = LogStore::open(Arc::new(disk.clone()), options).unwrap();
    let mut put = |key: &[u8], value: &[u8]| {
        store.append(&Batch::new().put(1, key, value)).unwrap();
    };
    // The oldest segment has only one small garbage record, so it is not merged.
    (0..6u8).for_each(|n| put(&[b'o', n], &[n; 30]));
    put(b"gone", b"");
    (0..12u8).for_each(|n| put(b"hot", &[n; 40]));
    store.append(&Batch::new().delete(1, b"gone")).unwrap();
    for n in 0..24u8 {
        store.append(&Batch::new().put(1, b"hot", &[n; 40])).unwrap();
    }
    let oldest = store.segments()[0];
    while store.compact_step_unthrottled().unwrap() != CompactionStep::Idle {}
    assert_eq!(store.segments()[0], oldest, "the oldest segment was merged");
    assert!(store.segments()[1].is_merged, "the later segments were not merged: {:?}", store.segments());
    store.sync().unwrap();
    drop(store);
    for checkpoints in [true, false] {
        let (store, _) = open(&disk.copy(), checkpoints);
        assert_eq!((store.snapshot().get(1, b"gone").unwrap(), store.snapshot().len()), (None, 7));
    }
}

type Seen = Vec<((u16, Vec<u8>), Option<Vec<u8>>)>;

/// Returns a disk with several sealed segments, some of them merged, and its history.
fn disk_with_history() -> (SimulatedDisk, History) {
    let disk = SimulatedDisk::new(1 << 20);
    let history = work(&disk, 4, 140, OnFailure::PowerLoss);
    let segments = open(&disk.copy(), true).0.segments();
    assert!(segments.len() > 3 && segments.iter().any(|segment| segment.is_merged), "{segments:?}");
    (disk, history)
}

#[test]
fn every_file_cut_at_every_byte_leaves_a_prefix() {
    let (disk, history) = disk_with_history();
    let mut cuts = 0;
    for name in disk.names() {
        let bytes = disk.bytes(&name).unwrap();
        for length in 0..bytes.len() {
            let cut = disk.copy();
            cut.set_bytes(&name, bytes[..length].to_vec());
            for checkpoints in [true, false] {
                let found = state(&open(&cut.copy(), checkpoints).0.snapshot());
                assert!(index_in_history(&found, &history).is_some(), "{name} cut at {length}");
            }
            cuts += 1;
        }
    }
    println!("{cuts} cuts");
    assert!(cuts > 2_000);
}

#[test]
fn a_bit_flipped_at_any_byte_of_any_file_is_detected_or_harmless() {
    let (disk, history) = disk_with_history();
    let (mut flips, mut rejected_reads) = (0, 0);
    for name in disk.names() {
        let bytes = disk.bytes(&name).unwrap();
        for index in 0..bytes.len() {
            let mut corrupt = bytes.clone();
            corrupt[index] ^= 1 << (index % 8);
            let disk = disk.copy();
            disk.set_bytes(&name, corrupt);
            // Without checkpoints all records are checked, so the store is in a state of the history.
            let found = state(&open(&disk.copy(), false).0.snapshot());
            assert!(index_in_history(&found, &history).is_some(), "{name}, byte {index}");
            // With checkpoints every value that is read is correct, or its read fails.
            let (store, _) = open(&disk.copy(), true);
            let snapshot = store.snapshot();
            let reads: Seen = [1, 2]
                .into_iter()
                .flat_map(|keyspace| {
                    snapshot.scan(keyspace).map(move |(key, value)| ((keyspace, key), value.ok()))
                })
                .collect();
            rejected_reads += reads.iter().filter(|(_, value)| value.is_none()).count();
            let fits = |state: &State| {
                let same = |(key, value): &((u16, Vec<u8>), Option<Vec<u8>>)| {
                    state.get(key).is_some_and(|v| value.as_ref().is_none_or(|value| value == v))
                };
                state.len() == reads.len() && reads.iter().all(same)
            };
            assert!(history.states.iter().any(fits), "{name}, byte {index}, by checkpoints");
            flips += 1;
        }
    }
    println!("{flips} flips, {rejected_reads} reads rejected as damaged");
    assert!(flips > 2_000 && rejected_reads > 0);
}

#[test]
fn a_disk_call_that_fails_once_loses_nothing_that_was_acknowledged() {
    let whole = SimulatedDisk::new(1 << 20);
    work(&whole, 9, 90, OnFailure::Continue);
    for call in 0..whole.calls() {
        let disk = SimulatedDisk::new(1 << 20);
        disk.fail_at(call);
        let history = work(&disk, 9, 90, OnFailure::Continue);
        for loss in losses(&disk) {
            check(&disk.after_crash(loss), &history, &format!("call {call} failed, {loss:?}"));
        }
    }
}

#[test]
fn a_sync_that_fails_once_and_writes_nothing_is_repeated_from_memory() {
    let whole = SimulatedDisk::new(1 << 20);
    work(&whole, 9, 90, OnFailure::Continue);
    assert!(whole.syncs() > 20);
    for sync in 0..whole.syncs() {
        let disk = SimulatedDisk::new(1 << 20);
        disk.fail_sync(sync);
        let history = work(&disk, 9, 90, OnFailure::Continue);
        for loss in losses(&disk) {
            check(&disk.after_crash(loss), &history, &format!("sync {sync} failed, {loss:?}"));
        }
    }
}

#[test]
fn a_full_disk_fails_only_writes_and_compaction_frees_space() {
    let disk = SimulatedDisk::new(6_000);
    let (mut store, _) = open(&disk, true);
    let put =
        |n: u32| Batch::new().put(1, &[(n % 5) as u8], &n.to_le_bytes()).put(2, &[(n % 5) as u8], &[7; 30]);
    let full = (0..10_000).find(|&n| store.append(&put(n)).is_err()).expect("the disk never ran full");
    assert!(full > 20);
    let last = |snapshot: &Snapshot| snapshot.get(1, &[((full - 1) % 5) as u8]).unwrap().unwrap();
    assert_eq!(last(&store.snapshot()), (full - 1).to_le_bytes(), "reads fail on a full disk");
    // A merge writes its output before it removes its input. With a little more space it frees far more.
    disk.resize(8_000);
    store.sync().unwrap();
    while store.compact_step_unthrottled().unwrap() != CompactionStep::Idle {}
    disk.resize(6_000);
    assert!(disk.used() < 3_000, "{} bytes", disk.used());
    store.append(&put(full)).unwrap();
    store.sync().unwrap();
    drop(store);
    let left = disk.after_crash(CrashLoss { files: Persisted::Nothing, names: Persisted::Nothing });
    let (store, _) = open(&left, true);
    assert_eq!(store.snapshot().get(1, &[(full % 5) as u8]).unwrap().unwrap(), full.to_le_bytes());
}

#[test]
fn a_disk_of_any_size_that_runs_full_keeps_what_was_durable() {
    for capacity in (200..4_000).step_by(37) {
        let disk = SimulatedDisk::new(capacity);
        let history = work(&disk, 11, 80, OnFailure::Continue);
        disk.resize(1 << 20);
        for loss in losses(&disk) {
            check(&disk.after_crash(loss), &history, &format!("{capacity} bytes, {loss:?}"));
        }
    }
}

#[test]
fn a_snapshot_stays_as_it_was_while_its_segments_are_compacted_away() {
    let disk = SimulatedDisk::new(1 << 20);
    let (mut store, _) = open(&disk, true);
    let put = |store: &mut LogStore, n: u64| {
        store.append(&Batch::new().put(1, &[(n % 4) as u8], &n.to_le_bytes())).unwrap();
    };
    (0..40).for_each(|n| put(&mut store, n));
    let (snapshot, before) = (store.snapshot(), store.segments());
    for n in 40..400 {
        put(&mut store, n);
        while store.compact_step_unthrottled().unwrap() != CompactionStep::Idle {}
    }
    let numbers: Vec<u64> = store.segments().iter().map(|s| s.number).collect();
    assert!(
        before.iter().all(|s| !numbers.contains(&s.number)),
        "a segment of the snapshot is still in the store"
    );
    let values: Vec<u64> =
        snapshot.scan(1).map(|(_, v)| u64::from_le_bytes(v.unwrap().try_into().unwrap())).collect();
    assert_eq!(values, [36, 37, 38, 39]);
}

#[test]
fn a_key_that_is_overwritten_without_end_takes_bounded_space() {
    let disk = SimulatedDisk::new(1 << 30);
    let options = LogStoreOptions { segment_bytes: 16 << 10, ..options(true) };
    let (mut store, _) = LogStore::open(Arc::new(disk.clone()), options).unwrap();
    let mut most = 0;
    for n in 0..100_000u32 {
        store.append(&Batch::new().put(1, &[(n % 10) as u8], &n.to_le_bytes())).unwrap();
        if n % 500 == 0 {
            while store.compact_step_unthrottled().unwrap() != CompactionStep::Idle {}
            most = most.max(disk.used());
        }
    }
    assert!(most < 120 << 10, "the store took up to {most} bytes");
    assert_eq!(store.snapshot().len(), 10);
}

#[test]
fn another_stores_directory_a_later_format_and_a_second_owner_are_rejected() {
    let disk = SimulatedDisk::new(1 << 20);
    let (mut store, _) = open(&disk, true);
    store.append(&Batch::new().put(1, b"a", b"b")).unwrap();
    store.sync().unwrap();
    let second = LogStore::open(Arc::new(disk.clone()), options(true));
    assert!(matches!(second, Err(OpenError::Locked(_))));
    drop(store);
    let other = LogStoreOptions::named("something else");
    assert!(matches!(LogStore::open(Arc::new(disk.clone()), other.clone()), Err(OpenError::OtherStore)));
    // Without the manifest, the segment headers still identify the store.
    let lost = disk.copy();
    lost.remove("MANIFEST").unwrap();
    assert!(matches!(LogStore::open(Arc::new(lost), other), Err(OpenError::OtherStore)));
    let mut bytes = disk.bytes("MANIFEST").unwrap();
    bytes[8] = 9;
    let end = bytes.len() - 4;
    let sum = crc32c::crc32c(&bytes[..end]);
    bytes[end..].copy_from_slice(&sum.to_le_bytes());
    disk.set_bytes("MANIFEST", bytes);
    assert!(matches!(LogStore::open(Arc::new(disk), options(true)), Err(OpenError::NewerFormat(9))));
}

#[test]
fn corruption_is_reported_by_segment_and_byte_and_records_behind_it_can_be_recovered() {
    let disk = SimulatedDisk::new(1 << 20);
    let big = LogStoreOptions { segment_bytes: 100_000, ..options(false) };
    let (mut store, _) = LogStore::open(Arc::new(disk.clone()), big.clone()).unwrap();
    for n in 0..50u8 {
        store.append(&Batch::new().put(1, &[n], &[n; 20])).unwrap();
    }
    store.sync().unwrap();
    let location = store.snapshot().entries().nth(20).map(|(.., entry)| entry.location).unwrap();
    drop(store);
    let name = "0000000000000001.seg";
    let mut bytes = disk.bytes(name).unwrap();
    bytes[location.offset as usize + 30] ^= 1;
    disk.set_bytes(name, bytes);
    let results = repair::check(&disk, |_, _| {}).unwrap();
    assert!(
        results.faults[0].contains(&format!("damaged at byte {}; records can be told", location.offset)),
        "{results:?}"
    );
    let (store, found) = LogStore::open(Arc::new(disk.clone()), big).unwrap();
    assert_eq!(
        (found.corruption, store.snapshot().len()),
        (Some(Corruption { segment: 1, offset: location.offset }), 20)
    );
    assert_eq!(found.quarantined, ["salvage-0000000000000001.seg"]);
    let records = repair::records(&disk, &found.quarantined[0]).unwrap();
    let keys: Vec<u8> = records.iter().map(|r| r.key[0]).collect();
    let expected: Vec<u8> = (0..50).filter(|n| *n != 20).collect();
    assert_eq!(keys, expected, "all records but the damaged one");
    assert!(repair::check(&disk, |_, _| {}).unwrap().has_no_faults());
}

#[test]
fn compaction_continues_when_the_clock_steps_back() {
    let disk = SimulatedDisk::new(1 << 20);
    let (mut store, _) = open(&disk, true);
    let mut runs = 0;
    for n in 0..2_000u32 {
        store.set_time(if n % 100 == 99 { -5_000_000_000 } else { i64::from(n) * 1_000_000 });
        store.append(&Batch::new().put(1, &[(n % 4) as u8], &n.to_le_bytes())).unwrap();
        if let CompactionStep::Merged { bytes_before, bytes_after } = store.compact().unwrap() {
            assert!(bytes_after < bytes_before);
            runs += 1;
        }
    }
    assert!(runs > 10, "{runs}");
}

#[test]
fn batches_written_together_each_get_their_own_result() {
    let disk = SimulatedDisk::new(1 << 20);
    let (mut store, _) = open(&disk, true);
    let put = |key: &[u8], size| Batch::new().put(1, key, &vec![7; size]);
    disk.fail_at(disk.calls());
    let results = store.append_batches(vec![put(b"a", 5), put(b"long", 5_000), put(b"b", 5)]);
    assert!(results.iter().all(Result::is_err), "a batch was written: {results:?}");
    assert!(store.snapshot().is_empty());
    let results = store.append_batches(vec![put(b"c", 5), put(b"long", 5_000), put(b"d", 5)]);
    assert_eq!(results.iter().map(Result::is_ok).collect::<Vec<_>>(), [true, false, true]);
    store.sync().unwrap();
    drop(store);
    assert_eq!(open(&disk, true).0.snapshot().len(), 2);
}
