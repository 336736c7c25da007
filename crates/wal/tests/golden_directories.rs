//! Data directories written by an earlier version on a real file system are recovered with the recorded contents.
//!
//! `golden/directories.txt` contains the bytes at the start of each file and those from the first fragment on, with
//! zeros between. The directories were written by `Ring` with files of 600 bytes after the header block and a capacity
//! of five files:
//! - `first-use`: opened and closed.
//! - `several-files`: records 1 to 21, nothing released; record 21 crosses the end of a file.
//! - `wrapped`: records 1 to 50, a restart, records 51 to 90; all but the latest eight were released step by step.
//! - `torn`: records 1 to 9, a restart, records 10 to 13; the last 20 bytes of record 13 were then zeroed by hand.

use std::fs;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use orchidvalve_golden::read_samples;
use orchidvalve_wal::writer::{OpenedWriter, Writer};
use orchidvalve_wal::{FolderStorage, Options, Record, Recovery, Ring, format};
use rstest::rstest;

const FILE_BYTES: u64 = format::FILE_HEADER_BYTES + 600;

fn options() -> Options {
    Options { file_bytes: FILE_BYTES, ..Options::with_capacity(5 * FILE_BYTES) }
}

/// Restores the recorded directory into a folder that only this test uses.
fn restored(directory: &str, test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{directory}-{test}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder can be made");
    let golden: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", "directories.txt"].iter().collect();
    for (name, bytes) in read_samples(&golden) {
        let (path, offset) = name.split_once('@').expect("a path and an offset");
        let Some(file) = path.strip_prefix(directory).and_then(|rest| rest.strip_prefix('/')) else {
            continue;
        };
        let offset: u64 = offset.parse().expect("a number");
        let file = fs::File::options().create(true).truncate(false).write(true).open(folder.join(file));
        file.expect("a file can be made").write_all_at(&bytes, offset).expect("a file can be written");
    }
    folder
}

fn record(position: u64) -> Record {
    let bytes = if position == 21 { 700 } else { position * 11 % 90 };
    Record { position, payload: (0..bytes).map(|index| (index * 7 + position) as u8).collect() }
}

struct Expected {
    identity: u64,
    first: u64,
    last: u64,
    used_bytes: u64,
}

#[rstest]
#[case::first_use("first-use", Expected { identity: 0x7875_d2aa_c388_fe45, first: 1, last: 0, used_bytes: 0 })]
#[case::several_files("several-files", Expected { identity: 0x285d_84aa_06ee_cdec, first: 1, last: 21, used_bytes: 23_200 })]
#[case::wrapped("wrapped", Expected { identity: 0xc754_e280_6a3f_34eb, first: 80, last: 90, used_bytes: 13_651 })]
#[case::torn("torn", Expected { identity: 0xdfed_c9a7_e486_63d5, first: 1, last: 12, used_bytes: 9_174 })]
fn recorded_directory_is_recovered(#[case] directory: &str, #[case] expected: Expected) {
    let folder = restored(directory, "read");
    let storage = FolderStorage::new(&folder).expect("a folder");
    let OpenedWriter { mut writer, recovery, next_position: next } =
        Writer::open(storage, &options()).expect("an intact directory");
    let Recovery { disk_identity, is_first_use, records } = recovery;
    assert_eq!(disk_identity, expected.identity);
    assert!(!is_first_use);
    assert_eq!(records, (expected.first..=expected.last).map(record).collect::<Vec<_>>());
    assert_eq!(next, expected.last + 1);
    assert_eq!(writer.durable_through(), expected.last);
    assert_eq!(writer.used_bytes(), expected.used_bytes);
    assert!(!writer.has_pending());
    // Writing continues after the recovered records, and a restart recovers old and new ones.
    writer.enqueue(record(next));
    writer.commit().expect("free space");
    drop(writer);
    let storage = FolderStorage::new(&folder).expect("a folder");
    let OpenedWriter { recovery, next_position: next, .. } =
        Writer::open(storage, &options()).expect("an intact directory");
    assert_eq!(recovery.disk_identity, expected.identity);
    assert_eq!(recovery.records, (expected.first..=expected.last + 1).map(record).collect::<Vec<_>>());
    assert_eq!(next, expected.last + 2);
}

#[rstest]
#[case::first_use("first-use", 0)]
#[case::several_files("several-files", 21)]
#[case::wrapped("wrapped", 90)]
#[case::torn("torn", 12)]
fn a_ring_opens_on_a_recorded_directory(#[case] directory: &str, #[case] last: u64) {
    let folder = restored(directory, "open");
    let (ring, recovery) = Ring::open(&folder, options(), Box::new(|| ())).expect("an intact directory");
    assert_eq!(recovery.records.last().map_or(0, |record| record.position), last);
    assert_eq!((ring.next_position(), ring.durable_through()), (last + 1, last));
}
