//! The store compared with a plain map across restarts, and readers concurrent with a writer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

use orchidvalve_log_store::background_writer::{BackgroundWriter, Durability, WriterOptions};
use orchidvalve_log_store::disk::simulated::SimulatedDisk;
use orchidvalve_log_store::{Batch, LogStore, LogStoreOptions};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[derive(Clone, Debug)]
enum Action {
    Put(u16, Vec<u8>, Vec<u8>),
    Delete(u16, Vec<u8>),
    Sync,
    Compact,
    Restart(bool),
}

fn action() -> impl Strategy<Value = Action> {
    // Short keys, and keys just below and above the length that the index stores inline.
    let short = proptest::collection::vec(0u8..4, 0..3);
    let key =
        move || (0u16..2, prop_oneof![3 => short.clone(), 1 => proptest::collection::vec(0u8..2, 26..31)]);
    prop_oneof![
        6 => (key(), proptest::collection::vec(any::<u8>(), 0..60)).prop_map(|((s, k), v)| Action::Put(s, k, v)),
        2 => key().prop_map(|(s, k)| Action::Delete(s, k)),
        1 => Just(Action::Sync),
        3 => Just(Action::Compact),
        1 => any::<bool>().prop_map(Action::Restart),
    ]
}

fn options(checkpoints: bool) -> LogStoreOptions {
    let mut options = LogStoreOptions { segment_bytes: 300, checkpoints, ..LogStoreOptions::named("model") };
    (options.compaction.min_garbage_share, options.compaction.min_free_bytes) = (0.1, 0);
    options
}

fn config() -> Config {
    Config { cases: 200, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn after_any_actions_the_store_holds_what_a_map_would(actions in proptest::collection::vec(action(), 1..160)) {
        let disk = SimulatedDisk::new(1 << 24);
        let mut map: BTreeMap<(u16, Vec<u8>), Vec<u8>> = BTreeMap::new();
        let mut store = Some(LogStore::open(Arc::new(disk.clone()), options(true)).unwrap().0);
        for action in actions {
            let s = store.as_mut().unwrap();
            match action {
                Action::Put(keyspace, key, value) => {
                    s.append(&Batch::new().put(keyspace, &key, &value)).unwrap();
                    map.insert((keyspace, key), value);
                }
                Action::Delete(keyspace, key) => {
                    s.append(&Batch::new().delete(keyspace, &key)).unwrap();
                    map.remove(&(keyspace, key));
                }
                Action::Sync => s.sync().unwrap(),
                Action::Compact => drop(s.compact_step_unthrottled().unwrap()),
                Action::Restart(checkpoints) => {
                    drop(store.take());
                    store = Some(LogStore::open(Arc::new(disk.clone()), options(checkpoints)).unwrap().0);
                }
            }
            let snapshot = store.as_ref().unwrap().snapshot();
            let found: BTreeMap<(u16, Vec<u8>), Vec<u8>> =
                snapshot.entries().map(|(s, k, _)| ((s, k.to_vec()), snapshot.get(s, k).unwrap().unwrap())).collect();
            prop_assert_eq!(&found, &map);
        }
    }
}

#[test]
fn readers_see_whole_batches_in_order_beside_writes_and_compaction() {
    let disk = SimulatedDisk::new(1 << 26);
    let (store, _) =
        LogStore::open(Arc::new(disk.clone()), LogStoreOptions { segment_bytes: 2_000, ..options(true) })
            .unwrap();
    let writer = BackgroundWriter::start(store, WriterOptions::default()).unwrap();
    let (is_done, reads) = (AtomicBool::new(false), std::sync::atomic::AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                let (mut last, mut held) = (0, None);
                while !is_done.load(Relaxed) {
                    let snapshot = writer.snapshot();
                    assert!(snapshot.sequence >= last, "a later snapshot is older");
                    last = snapshot.sequence;
                    let of = |keyspace| snapshot.get(keyspace, b"n").unwrap();
                    assert_eq!(of(1), of(2), "a batch is visible only in part");
                    // One snapshot is held throughout several compactions.
                    let (kept, value): &(Arc<_>, _) = held.get_or_insert_with(|| (snapshot.clone(), of(1)));
                    assert_eq!(&kept.get(1, b"n").unwrap(), value);
                    reads.fetch_add(1, Relaxed);
                }
            });
        }
        let handle = writer.handle();
        for n in 0..5_000u32 {
            let batch = Batch::new().put(1, b"n", &n.to_le_bytes()).put(2, b"n", &n.to_le_bytes());
            let durability = if n % 100 == 0 { Durability::Synced } else { Durability::Deferred };
            if let Some(pending) = handle.append(batch, durability).unwrap() {
                pending.wait().unwrap();
            }
        }
        writer.compact().unwrap();
        is_done.store(true, Relaxed);
    });
    assert!(reads.load(Relaxed) > 0 && writer.counters().compactions.load(Relaxed) > 0);
    let store = writer.stop().unwrap();
    assert_eq!(store.snapshot().get(1, b"n").unwrap().unwrap(), 4_999u32.to_le_bytes());
}

#[test]
fn a_snapshot_holds_everything_handed_over_before_it_was_taken() {
    // Snapshots are published only on request. One requested after a write contains it, durable or not.
    let disk = SimulatedDisk::new(1 << 26);
    let (store, _) = LogStore::open(Arc::new(disk.clone()), options(true)).unwrap();
    let writer = BackgroundWriter::start(store, WriterOptions::default()).unwrap();
    let handle = writer.handle();
    for n in 0..300u32 {
        let durability = if n % 2 == 0 { Durability::Synced } else { Durability::Deferred };
        if let Some(pending) = handle.append(Batch::new().put(1, b"n", &n.to_le_bytes()), durability).unwrap()
        {
            pending.wait().unwrap();
        }
        assert_eq!(writer.snapshot().get(1, b"n").unwrap().unwrap(), n.to_le_bytes(), "after {n}");
    }
}

#[test]
fn segments_that_were_merged_are_released() {
    let disk = SimulatedDisk::new(1 << 26);
    let (mut store, _) = LogStore::open(Arc::new(disk.clone()), options(true)).unwrap();
    for n in 0..400u32 {
        store.append(&Batch::new().put(1, &(n % 7).to_le_bytes(), &n.to_le_bytes())).unwrap();
    }
    store.sync().unwrap();
    let before: Vec<u64> = store.segments().iter().map(|s| s.number).collect();
    while !matches!(store.compact_step_unthrottled().unwrap(), orchidvalve_log_store::CompactionStep::Idle) {}
    let live: Vec<u64> = store.segments().iter().map(|s| s.number).collect();
    let held: Vec<u64> = store.snapshot().segments().collect();
    assert!(before.iter().any(|s| !live.contains(s)), "no segment was merged");
    assert!(held.iter().all(|s| live.contains(s)), "held {held:?}, live {live:?}");
}

#[test]
fn a_full_queue_coalesces_updates_by_key_and_rejects_batches() {
    let disk = SimulatedDisk::new(1 << 26);
    let (store, _) = LogStore::open(Arc::new(disk.clone()), options(true)).unwrap();
    // The queue has capacity for the updates sent before a batch and for the batch, so the first batch is accepted
    // however far the writer thread is.
    let writer = BackgroundWriter::start(
        store,
        WriterOptions { queue_capacity: 2, max_buffered_keys: 2, ..WriterOptions::default() },
    )
    .unwrap();
    let mut handle = writer.handle();
    let (mut rejected, mut kept) = (0, Vec::new());
    for n in 0..20_000u32 {
        assert!(
            handle.update(1, &[(n % 2) as u8], Some(&n.to_le_bytes())),
            "two keys always fit in the buffer"
        );
        match handle.try_append(Batch::new().put(2, &n.to_le_bytes(), b"r")) {
            Ok(pending) => kept.push((n, pending)),
            Err(batch) => {
                assert_eq!(batch.len(), 1, "a rejected batch is returned");
                rejected += 1;
            }
        }
    }
    let kept: Vec<u32> = kept.into_iter().map(|(n, pending)| pending.wait().map(|_| n).unwrap()).collect();
    while !handle.flush() {
        std::thread::yield_now();
    }
    let counted = writer.counters().rejected.load(Relaxed);
    let store = writer.stop().unwrap();
    let snapshot = store.snapshot();
    assert_eq!(counted, rejected);
    assert!(kept.iter().all(|n| snapshot.get(2, &n.to_le_bytes()).unwrap().is_some()) && !kept.is_empty());
    assert_eq!(snapshot.scan(2).count(), kept.len(), "the store contains exactly the accepted batches");
    let last: Vec<u32> =
        snapshot.scan(1).map(|(_, v)| u32::from_le_bytes(v.unwrap().try_into().unwrap())).collect();
    assert_eq!(last, [19_998, 19_999], "the latest state");
}
