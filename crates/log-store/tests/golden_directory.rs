//! A directory written by an earlier build is opened, checked and repaired as before: intact, with a torn tail, with a
//! flipped byte, and without its manifest.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use orchidvalve_golden::RECORD_VARIABLE;
use orchidvalve_log_store::disk::real::RealDisk;
use orchidvalve_log_store::repair::{self, UnreadTail};
use orchidvalve_log_store::{
    Batch, CompactionOptions, CompactionStep, Corruption, LogStore, LogStoreOptions, OpenError,
    RecoveryReport, SegmentInfo, Snapshot, TornTail,
};

const MERGED: &str = "0000000000000007.seg";
const SEALED: &str = "0000000000000008.seg";
const ACTIVE: &str = "000000000000000b.seg";

fn recorded() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/directory")
}

fn options(checkpoints: bool) -> LogStoreOptions {
    let compaction =
        CompactionOptions { min_garbage_share: 0.2, min_free_bytes: 0, ..CompactionOptions::default() };
    LogStoreOptions { segment_bytes: 500, checkpoints, compaction, ..LogStoreOptions::named("golden") }
}

/// Writes the directory that is recorded as golden data.
fn write(path: &Path) {
    let (mut store, _) =
        LogStore::open(Arc::new(RealDisk::open_or_create(path).unwrap()), options(true)).unwrap();
    for n in 0..40u8 {
        let batch =
            Batch::new().put(1, &[b'a' + n % 5], &[n; 20]).put(2, &[n], format!("value {n}").as_bytes());
        let batch = if n % 8 == 7 { batch.delete(2, &[n - 4]) } else { batch };
        store.append(&batch).unwrap();
        if n == 24 {
            while store.compact_step_unthrottled().unwrap() != CompactionStep::Idle {}
        }
    }
    store.append(&Batch::new().put(3, b"a key that is longer than those kept in place", b"")).unwrap();
    store.sync().unwrap();
}

/// A copy of the recorded directory that is deleted on drop.
struct Copy(PathBuf);

impl Copy {
    fn new(test: &str) -> Copy {
        let recorded = recorded();
        if !recorded.exists() && std::env::var_os(RECORD_VARIABLE).is_some() {
            write(&recorded);
        }
        let path = std::env::temp_dir().join(format!("orchidvalve-golden-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        for file in std::fs::read_dir(recorded).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), path.join(file.file_name())).unwrap();
        }
        Copy(path)
    }

    fn disk(&self) -> RealDisk {
        RealDisk::open(&self.0).unwrap()
    }

    fn open(&self, checkpoints: bool) -> (LogStore, RecoveryReport) {
        LogStore::open(Arc::new(self.disk()), options(checkpoints)).unwrap()
    }

    fn change(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = std::fs::read(self.0.join(name)).unwrap();
        change(&mut bytes);
        std::fs::write(self.0.join(name), bytes).unwrap();
    }

    fn names(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.0).unwrap();
        let mut names: Vec<String> =
            files.map(|file| file.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns all entries of a snapshot: keyspace, key, value and sequence number.
fn contents(snapshot: &Snapshot) -> Vec<(u16, Vec<u8>, Vec<u8>, u64)> {
    let entries = snapshot.entries();
    entries
        .map(|(keyspace, key, entry)| {
            (keyspace, key.to_vec(), snapshot.get(keyspace, key).unwrap().unwrap(), entry.sequence)
        })
        .collect()
}

/// Returns the entries of the store after this number of the recorded batches.
fn after(batches: u8) -> Vec<(u16, Vec<u8>, Vec<u8>, u64)> {
    let mut held = std::collections::BTreeMap::new();
    let mut sequence = 0;
    for n in 0..batches.min(40) {
        sequence += 2;
        held.insert((1, vec![b'a' + n % 5]), (vec![n; 20], sequence - 1));
        held.insert((2, vec![n]), (format!("value {n}").into_bytes(), sequence));
        if n % 8 == 7 {
            sequence += 1;
            held.remove(&(2, vec![n - 4]));
        }
    }
    if batches > 40 {
        let key = b"a key that is longer than those kept in place".to_vec();
        held.insert((3, key), (Vec::new(), sequence + 1));
    }
    held.into_iter().map(|((keyspace, key), (value, sequence))| (keyspace, key, value, sequence)).collect()
}

/// The segments of the recorded directory: number, size in bytes, and whether they are merged.
const SEGMENTS: [SegmentInfo; 6] = [
    segment(7, 1051, true),
    segment(6, 428, false),
    segment(8, 400, false),
    segment(9, 428, false),
    segment(10, 400, false),
    segment(11, 248, false),
];

const fn segment(number: u64, bytes: u64, is_merged: bool) -> SegmentInfo {
    SegmentInfo { number, bytes, is_merged }
}

#[test]
fn a_whole_directory_is_opened() {
    for (checkpoints, segments_from_checkpoint) in [(true, 5), (false, 0)] {
        let copy = Copy::new("whole");
        let (store, found) = copy.open(checkpoints);
        let expected = RecoveryReport {
            records: 64,
            keys: 41,
            segments: 6,
            segments_from_checkpoint,
            ..RecoveryReport::default()
        };
        assert_eq!(found, expected);
        assert_eq!(contents(&store.snapshot()), after(41));
        assert_eq!(store.sequence(), 86);
        assert_eq!(store.segments(), SEGMENTS);
    }
}

#[test]
fn a_whole_directory_is_checked() {
    let copy = Copy::new("checked");
    let check = repair::check(&copy.disk(), |_, _| {}).unwrap();
    assert_eq!(check.generation, Some(11));
    assert!(check.has_no_faults() && check.missing.is_empty() && check.quarantined.is_empty());
    let segments = check.segments.iter();
    let read_back: Vec<_> = segments
        .map(|s| {
            (
                s.name.as_str(),
                s.bytes,
                s.records,
                (s.first, s.next),
                (s.is_merged, s.is_active),
                s.unread_tail,
            )
        })
        .collect();
    let expected = [
        (MERGED, 1051, 26, (1, 49), (true, false), None),
        ("0000000000000006.seg", 428, 9, (49, 58), (false, false), None),
        (SEALED, 400, 8, (58, 66), (false, false), None),
        ("0000000000000009.seg", 428, 9, (66, 75), (false, false), None),
        ("000000000000000a.seg", 400, 8, (75, 83), (false, false), None),
        (ACTIVE, 248, 4, (83, 87), (false, true), None),
    ];
    assert_eq!(read_back, expected);
    let live = repair::live(&copy.disk()).unwrap();
    let mut expected = after(41);
    expected.sort_by_key(|(.., sequence)| *sequence);
    let live: Vec<_> = live.into_iter().map(|r| (r.keyspace, r.key, r.value, r.sequence)).collect();
    assert_eq!(live, expected);
}

#[test]
fn a_torn_tail_is_truncated() {
    for checkpoints in [true, false] {
        let copy = Copy::new("torn");
        copy.change(ACTIVE, |bytes| bytes.truncate(243));
        let check = repair::check(&copy.disk(), |_, _| {}).unwrap();
        assert!(check.has_no_faults());
        assert_eq!(check.segments[5].unread_tail, Some(UnreadTail { offset: 176, has_records: false }));
        let (store, found) = copy.open(checkpoints);
        let segments_from_checkpoint = if checkpoints { 5 } else { 0 };
        let torn_tail = Some(TornTail { segment: 11, offset: 176, bytes: 67 });
        let expected = RecoveryReport {
            records: 63,
            keys: 40,
            segments: 6,
            segments_from_checkpoint,
            torn_tail,
            ..RecoveryReport::default()
        };
        assert_eq!(found, expected);
        assert_eq!(contents(&store.snapshot()), after(40));
        assert_eq!(store.sequence(), 85);
    }
}

/// Returns the offsets, sequence numbers and keyspaces of the records that can be read in a file.
fn salvaged(copy: &Copy, name: &str) -> Vec<(u64, u64, u16)> {
    repair::records(&copy.disk(), name).unwrap().iter().map(|r| (r.offset, r.sequence, r.keyspace)).collect()
}

#[test]
fn records_behind_a_flipped_byte_are_quarantined_and_recovered() {
    let copy = Copy::new("flipped");
    copy.change(SEALED, |bytes| bytes[200] ^= 1);
    let check = repair::check(&copy.disk(), |_, _| {}).unwrap();
    assert_eq!(check.faults.len(), 1);
    assert_eq!(check.segments[2].unread_tail, Some(UnreadTail { offset: 148, has_records: true }));
    let (store, found) = copy.open(false);
    let quarantined = ["8", "9", "a", "b"].map(|number| format!("salvage-000000000000000{number}.seg"));
    let corruption = Some(Corruption { segment: 8, offset: 148 });
    let expected = RecoveryReport {
        records: 37,
        keys: 30,
        segments: 2,
        corruption,
        quarantined: quarantined.to_vec(),
        ..RecoveryReport::default()
    };
    assert_eq!(found, expected);
    assert_eq!(contents(&store.snapshot()), after(28), "the state before the damage");
    assert_eq!(
        store.segments(),
        [segment(7, 1051, true), segment(6, 428, false), segment(12, 148, false), segment(13, 64, false)]
    );
    drop(store);
    let kept = [
        "0000000000000006.idx",
        "0000000000000006.seg",
        "0000000000000007.idx",
        MERGED,
        "000000000000000c.seg",
        "000000000000000d.seg",
        "LOCK",
        "MANIFEST",
    ];
    assert_eq!(
        copy.names(),
        kept.into_iter().chain(quarantined.iter().map(String::as_str)).collect::<Vec<_>>()
    );
    let read_back =
        [(64, 58, 1), (112, 59, 2), (148, 60, 1), (232, 62, 1), (280, 63, 2), (316, 64, 1), (364, 65, 2)];
    assert_eq!(salvaged(&copy, &quarantined[0]), read_back, "all records but the damaged one");
    let read_back = [(64, 83, 1), (112, 84, 2), (148, 85, 2), (176, 86, 3)];
    assert_eq!(salvaged(&copy, &quarantined[3]), read_back);
    let check = repair::check(&copy.disk(), |_, _| {}).unwrap();
    assert_eq!(
        (check.generation, check.has_no_faults(), check.quarantined),
        (Some(12), true, quarantined.to_vec())
    );
}

#[test]
fn damage_in_a_value_of_a_merged_segment_shows_when_it_is_read() {
    let copy = Copy::new("merged");
    copy.change(MERGED, |bytes| bytes[200] ^= 1);
    let (store, found) = copy.open(true);
    let expected = RecoveryReport {
        records: 64,
        keys: 41,
        segments: 6,
        segments_from_checkpoint: 5,
        ..RecoveryReport::default()
    };
    assert_eq!(found, expected);
    let snapshot = store.snapshot();
    let unread: Vec<(u16, &[u8])> = snapshot
        .entries()
        .filter(|(keyspace, key, _)| snapshot.get(*keyspace, key).is_err())
        .map(|(keyspace, key, _)| (keyspace, key))
        .collect();
    assert_eq!(unread, [(2, [4].as_slice()), (2, [5].as_slice())]);
    drop(store);
    // An open without checkpoints uses no record of a damaged merged segment.
    let (store, found) = copy.open(false);
    assert_eq!(
        (found.corruption, found.records, found.quarantined.len()),
        (Some(Corruption { segment: 7, offset: 169 }), 0, 6)
    );
    assert!(store.snapshot().is_empty());
}

#[test]
fn a_lost_manifest_is_rebuilt() {
    for checkpoints in [true, false] {
        let copy = Copy::new("manifest");
        std::fs::remove_file(copy.0.join("MANIFEST")).unwrap();
        let check = repair::check(&copy.disk(), |_, _| {}).unwrap();
        assert_eq!((check.generation, check.faults.len()), (None, 1));
        let (store, found) = copy.open(checkpoints);
        let segments_from_checkpoint = if checkpoints { 5 } else { 0 };
        let expected = RecoveryReport {
            records: 64,
            keys: 41,
            segments: 6,
            segments_from_checkpoint,
            manifest_rebuilt: true,
            ..RecoveryReport::default()
        };
        assert_eq!(found, expected);
        assert_eq!(contents(&store.snapshot()), after(41));
        assert_eq!(store.segments()[..6], SEGMENTS);
        assert_eq!(store.segments()[6..], [segment(12, 64, false)]);
    }
}

#[test]
fn a_directory_of_another_store_is_rejected() {
    let copy = Copy::new("foreign");
    let other = LogStoreOptions::named("something else");
    let refused = LogStore::open(Arc::new(copy.disk()), other).err();
    assert!(matches!(refused, Some(OpenError::OtherStore)));
}
