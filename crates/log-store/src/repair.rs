//! Checks the files of a store without owning them, and reads what is still readable in damaged ones.

use std::io;
use std::sync::Arc;

use crate::disk::{Disk, read_whole};
use crate::index::Index;
use crate::key::IndexKey;
use crate::manifest::{LoadedManifest, MANIFEST, Manifest, ManifestSegment};
use crate::record::{CHECKSUM_BYTES, RecordKind};
use crate::recovery::QUARANTINE_PREFIX;
use crate::segment::{self, FoundRecord, Segment, SegmentHeader, record_behind};

/// A compaction may replace the manifest during a check. The check is then repeated, up to this many attempts in total.
const MAX_ATTEMPTS: usize = 3;

/// The unreadable end of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadTail {
    /// Offset of its first byte.
    pub offset: u64,
    /// Whether it contains readable records. If so, it is not a torn write but damage before those records.
    pub has_records: bool,
}

/// Result of checking one segment completely.
#[derive(Clone, Debug)]
pub struct SegmentCheck {
    /// Name of the file.
    pub name: String,
    /// Size of the readable part, in bytes.
    pub bytes: u64,
    /// Number of readable records.
    pub records: u64,
    /// The sequence number of its first record.
    pub first: u64,
    /// The sequence number after its last record.
    pub next: u64,
    /// Whether the segment is the result of a merge.
    pub is_merged: bool,
    /// The end that cannot be read, if any.
    pub unread_tail: Option<UnreadTail>,
    /// Whether the segment is the last one, which is appended to. An unreadable end of it is most likely a torn write.
    pub is_active: bool,
}

/// Result of a check of all segments.
#[derive(Clone, Debug, Default)]
pub struct CheckReport {
    /// Generation of the manifest, or `None` if it cannot be read.
    pub generation: Option<u64>,
    /// Segments that the manifest lists and that have a valid header, in the order of sequence numbers.
    pub segments: Vec<SegmentCheck>,
    /// File names of segments that the manifest lists and that do not exist.
    pub missing: Vec<String>,
    /// Names of files kept for repair.
    pub quarantined: Vec<String>,
    /// Descriptions of the faults found.
    pub faults: Vec<String>,
}

impl CheckReport {
    /// Returns whether no fault was found.
    pub fn has_no_faults(&self) -> bool {
        self.faults.is_empty()
    }
}

/// Reads every byte of every segment. If another process writes to the store, the last segment may end in the middle of
/// a record. If the manifest is replaced during the check, the check is repeated. `progress` receives the bytes read so
/// far and the total.
///
/// # Errors
///
/// The disk fails, or the store is compacted faster than it can be read.
pub fn check(disk: &dyn Disk, mut progress: impl FnMut(u64, u64)) -> io::Result<CheckReport> {
    for _ in 0..MAX_ATTEMPTS {
        let before = Manifest::load(disk)?;
        let report = check_once(disk, &before, &mut progress)?;
        let is_same = match (&before, &Manifest::load(disk)?) {
            (LoadedManifest::Valid(before), LoadedManifest::Valid(after)) => before == after,
            _ => true,
        };
        if is_same || report.has_no_faults() {
            return Ok(report);
        }
    }
    Err(io::Error::other("the store is compacted faster than it can be read"))
}

fn check_once(
    disk: &dyn Disk,
    loaded: &LoadedManifest,
    progress: &mut impl FnMut(u64, u64),
) -> io::Result<CheckReport> {
    let mut report = CheckReport::default();
    let names = disk.list()?;
    report.quarantined = names.into_iter().filter(|name| name.starts_with(QUARANTINE_PREFIX)).collect();
    let manifest = match loaded {
        LoadedManifest::Valid(manifest) => manifest,
        LoadedManifest::Missing => {
            report.faults.push(format!("{MANIFEST}: not there"));
            return Ok(report);
        }
        LoadedManifest::Corrupt => {
            report.faults.push(format!("{MANIFEST}: cannot be read; the next start makes it anew"));
            return Ok(report);
        }
        LoadedManifest::NewerFormat(version) => {
            report.faults.push(format!("{MANIFEST}: format {version} is not known here"));
            return Ok(report);
        }
    };
    report.generation = Some(manifest.generation);
    let (mut read, mut all) = (0, 0);
    for entry in &manifest.segments {
        let file = disk.open(&segment::file_name(entry.number));
        all += file.and_then(|file| file.length()).unwrap_or(0);
    }
    for entry in &manifest.segments {
        if let Some(checked) = check_segment(disk, manifest, entry, &mut report)? {
            read += checked.bytes;
            progress(read, all);
            add_fault(&checked, &mut report);
            report.segments.push(checked);
        }
    }
    Ok(report)
}

/// Checks one segment. If it is missing or has no valid header, adds a fault to the report and returns `None`.
fn check_segment(
    disk: &dyn Disk,
    manifest: &Manifest,
    entry: &ManifestSegment,
    report: &mut CheckReport,
) -> io::Result<Option<SegmentCheck>> {
    let name = segment::file_name(entry.number);
    let file = match disk.open(&name) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            report.faults.push(format!("{name}: not there"));
            report.missing.push(name);
            return Ok(None);
        }
        Err(error) => return Err(error),
    };
    let is_right =
        |header: &SegmentHeader| header.number == entry.number && header.identity == manifest.identity;
    let Some(header) = SegmentHeader::read_from(&*file)?.filter(is_right) else {
        report.faults.push(format!("{name}: its head cannot be read"));
        return Ok(None);
    };
    let segment = Segment { header, file };
    let Some(scan) = segment::scan(&segment, entry.sealed_length, u64::MAX, |_, _| {})? else {
        return Ok(None);
    };
    let is_intact = entry.sealed_length.map_or(!scan.has_tail, |sealed| sealed == scan.length);
    let tail = UnreadTail { offset: scan.length, has_records: scan.has_records_in_tail };
    Ok(Some(SegmentCheck {
        name,
        bytes: entry.sealed_length.unwrap_or(scan.length),
        records: scan.records,
        first: header.first,
        next: header.merged_through.map_or(scan.next_sequence, |last| last + 1),
        is_merged: header.is_merged(),
        unread_tail: (!is_intact).then_some(tail),
        is_active: entry.sealed_length.is_none(),
    }))
}

/// Adds a fault for a damaged segment, unless it ends in a torn write.
fn add_fault(checked: &SegmentCheck, report: &mut CheckReport) {
    let Some(UnreadTail { offset, has_records }) = checked.unread_tail else { return };
    if !checked.is_active || has_records {
        let behind =
            if has_records { "records can be told behind it" } else { "nothing can be told behind it" };
        report.faults.push(format!("{}: damaged at byte {offset}; {behind}", checked.name));
    }
}

/// A record that was read from a file, whether or not the data before it is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Offset of its first byte in the file.
    pub offset: u64,
    /// Whether it sets or deletes the value of its key.
    pub kind: RecordKind,
    /// Its keyspace.
    pub keyspace: u16,
    /// Its sequence number.
    pub sequence: u64,
    /// Its key.
    pub key: Vec<u8>,
    /// Its value; empty for a delete.
    pub value: Vec<u8>,
}

/// Returns all records that can be read in a file, damaged or not. A batch may be included only partly.
///
/// # Errors
///
/// The disk fails.
pub fn records(disk: &dyn Disk, name: &str) -> io::Result<Vec<RecoveredRecord>> {
    let bytes = read_whole(&*disk.open(name)?, u64::MAX)?;
    let (mut offset, mut found) = (0, Vec::new());
    while offset < bytes.len() {
        // After a valid record the next one is expected right behind it; elsewhere every offset is tried.
        match record_behind(&bytes, offset) {
            Some(FoundRecord { record, end }) => {
                found.push(RecoveredRecord {
                    offset: (offset + CHECKSUM_BYTES) as u64,
                    kind: record.kind,
                    keyspace: record.keyspace,
                    sequence: record.sequence,
                    key: record.key.to_vec(),
                    value: record.value.to_vec(),
                });
                offset = end - CHECKSUM_BYTES;
            }
            None => offset += 1,
        }
    }
    Ok(found)
}

/// Returns the live records of a store, oldest first, from the segments that its manifest lists, without owning it.
///
/// # Errors
///
/// The disk fails, or the manifest cannot be read.
pub fn live(disk: &dyn Disk) -> io::Result<Vec<RecoveredRecord>> {
    let LoadedManifest::Valid(manifest) = Manifest::load(disk)? else {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the manifest cannot be read"));
    };
    let mut index = Index::default();
    for entry in &manifest.segments {
        let file = disk.open(&segment::file_name(entry.number))?;
        let Some(header) = SegmentHeader::read_from(&*file)? else { break };
        let segment = Arc::new(Segment { header, file });
        let scan = segment::scan(&segment, entry.sealed_length, u64::MAX, |location, record| {
            index.apply(
                record.kind,
                IndexKey::new(record.keyspace, record.key),
                record.sequence,
                &segment,
                location,
            );
        })?;
        let is_intact =
            scan.is_some_and(|scan| entry.sealed_length.is_none_or(|sealed| sealed == scan.length));
        if !is_intact {
            break;
        }
    }
    let mut live = Vec::new();
    for (keyspace, key, entry) in index.snapshot.entries() {
        if let Ok(Some(value)) = index.snapshot.get(keyspace, key) {
            live.push(RecoveredRecord {
                offset: entry.location.offset,
                kind: RecordKind::Put,
                keyspace,
                sequence: entry.sequence,
                key: key.to_vec(),
                value,
            });
        }
    }
    live.sort_by_key(|record| record.sequence);
    Ok(live)
}
