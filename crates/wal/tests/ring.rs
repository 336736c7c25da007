//! The ring with its thread: order, progress, disk errors and a hanging disk.

mod support;

use std::io::ErrorKind;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{DiskError, OnProgress, OpenError, Options, Record, Ring};
use rstest::rstest;
use support::{Disk, Faults, small_options};

fn progress() -> (OnProgress, Receiver<()>) {
    let (sender, receiver) = channel();
    (Box::new(move || sender.send(()).unwrap_or_default()), receiver)
}

fn wait_durable(ring: &Ring, receiver: &Receiver<()>, position: u64) {
    while ring.durable_through() < position {
        receiver.recv().unwrap();
    }
}

#[test]
fn records_become_durable_and_are_recovered() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    let (ring, recovery) = Ring::open_with(disk.clone(), small_options(4, 2000), on_progress).unwrap();
    assert!(recovery.is_first_use);
    assert_eq!(ring.durable_through(), 0);
    for position in 1..=20 {
        assert_eq!(ring.next_position(), position);
        assert_eq!(ring.append(vec![position as u8; 30]), position);
    }
    wait_durable(&ring, &receiver, 20);
    drop(ring);
    disk.lose_all_unsynced();
    let (ring, recovery) = Ring::open_with(disk, small_options(4, 2000), progress().0).unwrap();
    assert_eq!(recovery.records.len(), 20);
    assert_eq!(ring.durable_through(), 20);
    assert_eq!(ring.append(Vec::new()), 21);
}

#[test]
fn hanging_sync_blocks_only_the_thread_and_queued_records_share_the_next_sync() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    let (ring, _) = Ring::open_with(disk.clone(), small_options(4, 20_000), on_progress).unwrap();
    ring.append(vec![1; 10]);
    wait_durable(&ring, &receiver, 1);
    let (sync_begins, begun) = channel();
    disk.watch_syncs(sync_begins);
    disk.set_faults(Faults { syncs_hang: true, ..Faults::default() });
    ring.append(vec![2; 10]);
    begun.recv().unwrap();
    let syncs = disk.syncs();
    for position in 3..=100 {
        assert_eq!(ring.append(vec![3; 10]), position);
    }
    assert_eq!(ring.durable_through(), 1);
    assert_eq!(ring.usage().disk_error, None);
    disk.set_faults(Faults::default());
    wait_durable(&ring, &receiver, 100);
    assert_eq!(disk.syncs(), syncs + 2);
}

#[test]
fn disk_error_is_reported_until_the_disk_recovers() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    let (ring, _) = Ring::open_with(disk.clone(), small_options(4, 8000), on_progress).unwrap();
    ring.append(vec![1; 10]);
    wait_durable(&ring, &receiver, 1);
    disk.set_faults(Faults { full: true, ..Faults::default() });
    ring.append(vec![2; 10]);
    while ring.usage().disk_error != Some(DiskError::NoSpace) {
        receiver.recv().unwrap();
    }
    assert_eq!(ring.durable_through(), 1);
    ring.append(vec![3; 10]);
    disk.set_faults(Faults::default());
    wait_durable(&ring, &receiver, 3);
    assert_eq!(ring.usage().disk_error, None);
}

/// Asserts that the age of the records appended so far is dropped once a further record is durable.
fn assert_all_written(ring: &Ring, receiver: &Receiver<()>) {
    let before = Instant::now();
    let position = ring.append(vec![9; 10]);
    wait_durable(ring, receiver, position);
    assert!(ring.usage().oldest_unwritten_since.is_none_or(|since| since >= before));
}

#[test]
fn hanging_disk_increases_the_age_of_the_oldest_record() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    let (ring, _) = Ring::open_with(disk.clone(), small_options(4, 8000), on_progress).unwrap();
    assert_eq!(ring.usage().oldest_unwritten_since, None);
    assert_eq!(ring.usage().unwritten_for(Instant::now()), None);
    let (sync_begins, begun) = channel();
    disk.watch_syncs(sync_begins);
    disk.set_faults(Faults { syncs_hang: true, ..Faults::default() });
    let before = Instant::now();
    ring.append(vec![1; 10]);
    let after = Instant::now();
    begun.recv().unwrap();
    // Records queued behind the hanging sync do not change the age of the first one.
    ring.append(vec![2; 10]);
    ring.append(vec![3; 10]);
    let usage = ring.usage();
    // Before any assertion that may fail, because dropping the ring waits for the disk.
    disk.set_faults(Faults::default());
    assert_eq!(usage.disk_error, None);
    let since = usage.oldest_unwritten_since.unwrap();
    assert!(before <= since && since <= after);
    let hung = Duration::from_secs(3);
    assert_eq!(usage.unwritten_for(since + hung), Some(hung));
    assert_eq!(usage.unwritten_for(since - hung), Some(Duration::ZERO));
    wait_durable(&ring, &receiver, 3);
    assert_all_written(&ring, &receiver);
}

#[test]
fn age_is_that_of_the_next_batch_once_the_first_is_durable() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    let (ring, _) = Ring::open_with(disk.clone(), small_options(4, 8000), on_progress).unwrap();
    ring.append(vec![1; 10]);
    assert_all_written(&ring, &receiver);
    let (sync_begins, begun) = channel();
    disk.watch_syncs(sync_begins);
    disk.set_faults(Faults { syncs_hang: true, ..Faults::default() });
    assert_eq!(ring.append(vec![2; 10]), 3);
    begun.recv().unwrap();
    let between = Instant::now();
    assert_eq!(ring.append(vec![3; 10]), 4);
    let first = ring.usage().oldest_unwritten_since;
    // The hanging sync ends; the next one hangs.
    disk.set_faults(Faults { syncs_before_hang: Some(0), ..Faults::default() });
    begun.recv().unwrap();
    let (durable_through, second) = (ring.durable_through(), ring.usage().oldest_unwritten_since);
    // Before any assertion that may fail, because dropping the ring waits for the disk.
    disk.set_faults(Faults::default());
    assert!(first.is_some_and(|since| since <= between));
    assert_eq!(durable_through, 3);
    assert!(second.is_some_and(|since| since >= between));
    wait_durable(&ring, &receiver, 4);
    assert_all_written(&ring, &receiver);
}

#[test]
fn failing_disk_keeps_the_age_across_retries() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    let (ring, _) = Ring::open_with(disk.clone(), small_options(4, 8000), on_progress).unwrap();
    disk.set_faults(Faults { full: true, ..Faults::default() });
    ring.append(vec![1; 10]);
    let after = Instant::now();
    while ring.usage().disk_error != Some(DiskError::NoSpace) {
        receiver.recv().unwrap();
    }
    ring.append(vec![2; 10]);
    assert!(ring.usage().oldest_unwritten_since.unwrap() <= after);
    disk.set_faults(Faults::default());
    wait_durable(&ring, &receiver, 2);
    assert_all_written(&ring, &receiver);
}

#[test]
fn release_frees_space_in_a_full_ring() {
    let disk = Disk::new(1);
    let (on_progress, receiver) = progress();
    // The release alone must end the failure: the next retry is far in the future.
    let retry_interval = std::time::Duration::from_secs(1 << 30);
    let options = Options { retry_interval, ..small_options(3, 1000) };
    let (ring, _) = Ring::open_with(disk, options.clone(), on_progress).unwrap();
    for _ in 0..30 {
        ring.append(vec![7; 200]);
    }
    while ring.usage().disk_error != Some(DiskError::RingFull) {
        receiver.recv().unwrap();
    }
    let usage = ring.usage();
    assert_eq!(usage.capacity, options.capacity_bytes);
    assert!(usage.used_bytes > options.capacity_bytes / 2);
    let mut released = 0;
    while ring.durable_through() < 30 {
        let durable = ring.durable_through();
        if durable + 1 > released {
            released = durable + 1;
            ring.release_before(released);
        }
        receiver.recv().unwrap();
    }
    assert_eq!(ring.usage().disk_error, None);
}

/// A process was killed between a write and its sync, and the disk fails to sync in the next process.
#[rstest]
#[case::syncs(Faults { syncs_fail: true, ..Faults::default() }, false)]
#[case::full(Faults { full: true, ..Faults::default() }, true)]
fn ring_opens_only_if_the_recovered_records_are_durable(#[case] faults: Faults, #[case] writes: bool) {
    let disk = Disk::new(1);
    let options = small_options(4, 8000);
    let OpenedWriter { mut writer, next_position: next, .. } = Writer::open(disk.clone(), &options).unwrap();
    writer.enqueue(Record { position: next, payload: vec![1; 10] });
    writer.commit().unwrap();
    writer.enqueue(Record { position: next + 1, payload: vec![2; 10] });
    disk.set_faults(Faults { syncs_fail: true, ..Faults::default() });
    writer.commit().unwrap_err();
    drop(writer);
    disk.set_faults(faults);
    let refused = Ring::open_with(disk.clone(), options.clone(), progress().0).err().unwrap();
    let disk_error = if writes { DiskError::NoSpace } else { DiskError::SyncFailed(ErrorKind::Other) };
    assert!(matches!(refused, OpenError::NotDurable(found) if found == disk_error), "{refused}");
    assert!(refused.to_string().contains("start again"), "{refused}");
    disk.set_faults(Faults::default());
    let (ring, recovery) = Ring::open_with(disk.clone(), options.clone(), progress().0).unwrap();
    assert_eq!((recovery.records.len(), ring.durable_through()), (2, 2));
    drop(ring);
    disk.lose_all_unsynced();
    let (_, recovery) = Ring::open_with(disk, options, progress().0).unwrap();
    assert_eq!(recovery.records.len(), 2);
}

#[test]
fn ring_works_on_a_real_folder() {
    let parent: PathBuf = std::env::temp_dir().join(format!("ring-test-{}", std::process::id()));
    let folder = parent.join("of/three/parts");
    let options = Options { file_bytes: 1 << 16, ..Options::with_capacity(1 << 18) };
    let (on_progress, receiver) = progress();
    let (ring, first) = Ring::open(&folder, options.clone(), on_progress).unwrap();
    for position in 1..=100 {
        ring.append(vec![position as u8; 1000]);
    }
    wait_durable(&ring, &receiver, 100);
    drop(ring);
    let (ring, second) = Ring::open(&folder, options, progress().0).unwrap();
    assert!(first.is_first_use && !second.is_first_use);
    assert_eq!(first.disk_identity, second.disk_identity);
    assert_eq!(second.records.len(), 100);
    assert!(second.records.iter().all(|record| record.payload == vec![record.position as u8; 1000]));
    drop(ring);
    std::fs::remove_dir_all(&parent).unwrap();
}
