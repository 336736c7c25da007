//! Recovery: rebuilds the state of the store after one of its batches from the files of a directory.

mod manifest_rebuild;

use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::sync::Arc;

use crate::checkpoint::{Checkpoint, IndexedRecord};
use crate::disk::Disk;
use crate::error::OpenError;
use crate::index::Index;
use crate::key::IndexKey;
use crate::manifest::{LoadedManifest, Manifest, ManifestSegment, NEW_MANIFEST};
use crate::options::LogStoreOptions;
use crate::record;
use crate::recovery::manifest_rebuild::rebuild_manifest;
use crate::segment::{self, RecordLocation, SEGMENT_HEADER_BYTES, Segment, SegmentHeader};
use crate::segment_state::{ActiveSegment, SealedSegment, SyncedPart};

/// Prefix of the names of files that are kept for repair.
pub(crate) const QUARANTINE_PREFIX: &str = "salvage-";

/// A write that was cut short by a crash. Recovery truncates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Number of the segment.
    pub segment: u64,
    /// Offset at which the segment was truncated.
    pub offset: u64,
    /// Number of bytes that were removed.
    pub bytes: u64,
}

/// The first damage that was found. All data after it was quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// Number of the segment.
    pub segment: u64,
    /// Offset from which the segment cannot be read.
    pub offset: u64,
}

/// Result of a recovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveryReport {
    /// Number of records read.
    pub records: u64,
    /// Number of keys that have a value.
    pub keys: u64,
    /// Number of segments read.
    pub segments: usize,
    /// Number of those segments whose checkpoint was used.
    pub segments_from_checkpoint: usize,
    /// A write that was cut short by a crash, if any.
    pub torn_tail: Option<TornTail>,
    /// The first damage that was found, if any.
    pub corruption: Option<Corruption>,
    /// Names of the files kept for repair.
    pub quarantined: Vec<String>,
    /// Whether the manifest had to be rebuilt from the segments.
    pub manifest_rebuilt: bool,
}

/// The parts of a recovered store. If `is_manifest_outdated`, its manifest is not on disk yet.
pub(crate) struct RecoveredStore {
    pub manifest: Manifest,
    pub sealed: Vec<SealedSegment>,
    pub active: ActiveSegment,
    pub index: Index,
    pub is_manifest_outdated: bool,
}

/// Recovers the store of a directory, or creates a store if the directory is empty. The caller calls
/// [`Recovery::finish`] once the manifest of the store is durable.
pub(crate) fn recover(
    disk: Arc<dyn Disk>,
    options: &LogStoreOptions,
) -> Result<(RecoveredStore, Recovery), OpenError> {
    let mut report = RecoveryReport::default();
    let found = match Manifest::load(&*disk)? {
        LoadedManifest::NewerFormat(version) => return Err(OpenError::NewerFormat(version)),
        LoadedManifest::Valid(manifest) => Some(manifest),
        LoadedManifest::Missing => rebuild_manifest(&*disk, options, &mut report, false)?,
        LoadedManifest::Corrupt => rebuild_manifest(&*disk, options, &mut report, true)?,
    };
    if found.as_ref().is_some_and(|manifest| manifest.identity[..8] != options.purpose()) {
        return Err(OpenError::OtherStore);
    }
    let manifest = found.unwrap_or_else(|| Manifest {
        identity: random_identity(options, 0),
        generation: 0,
        next_number: 1,
        segments: Vec::new(),
        quarantined: Vec::new(),
    });
    let uses_checkpoints = options.checkpoints;
    let recovery =
        Recovery { disk, uses_checkpoints, manifest, report, index: Index::default(), sealed: Vec::new() };
    Ok(recovery.run()?)
}

/// Returns the identity of a new store: 8 bytes derived from its name, then 8 random bytes.
fn random_identity(options: &LogStoreOptions, hashed: u8) -> [u8; 16] {
    let mut identity = [0; 16];
    identity[..8].copy_from_slice(&options.purpose());
    identity[8..].copy_from_slice(&RandomState::new().hash_one(hashed).to_le_bytes());
    identity
}

/// A recovery in progress.
pub(crate) struct Recovery {
    disk: Arc<dyn Disk>,
    uses_checkpoints: bool,
    manifest: Manifest,
    report: RecoveryReport,
    index: Index,
    sealed: Vec<SealedSegment>,
}

/// A segment that was read completely.
struct IntactSegment {
    segment: Arc<Segment>,
    length: u64,
    /// Checksum of the last record; 0 if a checkpoint was read, because such a segment is not appended to.
    checksum: u32,
    /// The sequence number after the last record.
    next_sequence: u64,
    records: Vec<IndexedRecord>,
}

/// The valid part of a segment before the first damage.
struct ValidPart {
    segment: Arc<Segment>,
    length: u64,
    records: Vec<IndexedRecord>,
}

/// Result of reading one segment.
enum SegmentState {
    Intact(IntactSegment),
    /// The offset of the damage, and the valid part before it if that is usable.
    Corrupt {
        offset: u64,
        valid: Option<ValidPart>,
    },
}

impl SegmentState {
    /// No part of the segment can be read.
    const UNREADABLE: SegmentState = SegmentState::Corrupt { offset: 0, valid: None };
}

impl Recovery {
    fn run(mut self) -> io::Result<(RecoveredStore, Recovery)> {
        self.skip_used_numbers()?;
        self.quarantine_files()?;
        let active = self.read_segments()?;
        let last_sealed = self.sealed.last().map_or(1, |sealed| sealed.next_sequence);
        let next_sequence = last_sealed.max(self.index.snapshot.sequence + 1);
        let is_fresh = active.is_none();
        let active = match active {
            Some(active) => active,
            None => {
                let header = SegmentHeader {
                    identity: self.manifest.identity,
                    number: self.allocate_number(),
                    first: next_sequence,
                    merged_through: None,
                };
                let (segment, checksum) = segment::create(&*self.disk, header)?;
                ActiveSegment::empty(segment, checksum, next_sequence)
            }
        };
        // Data that so far is only in the page cache must be durable before later writes depend on it.
        active.segment.file.sync()?;
        let snapshot = &mut self.index.snapshot;
        snapshot.sequence = snapshot.sequence.max(next_sequence - 1);
        self.report.keys = snapshot.len() as u64;
        let is_changed = self.report.manifest_rebuilt || self.report.corruption.is_some();
        let recovered = RecoveredStore {
            manifest: self.manifest.clone(),
            sealed: std::mem::take(&mut self.sealed),
            active,
            index: std::mem::take(&mut self.index),
            is_manifest_outdated: is_fresh || is_changed,
        };
        Ok((recovered, self))
    }

    /// Removes files that the manifest of the recovered store does not list. Called once that manifest, which lists the
    /// given segments, is durable.
    pub fn finish(mut self, segments: &BTreeSet<u64>) -> io::Result<RecoveryReport> {
        self.quarantine_files()?;
        self.remove_unnamed_files(segments)?;
        Ok(self.report)
    }

    /// Skips the numbers of files left by a crash, so that their content is never mistaken for that of a new segment.
    fn skip_used_numbers(&mut self) -> io::Result<()> {
        for name in self.disk.list()? {
            let stem = name.trim_start_matches(QUARANTINE_PREFIX).split('.').next().unwrap_or_default();
            if let Some(number) = segment::number_of(&format!("{stem}.seg")) {
                self.manifest.next_number = self.manifest.next_number.max(number + 1);
            }
        }
        Ok(())
    }

    fn allocate_number(&mut self) -> u64 {
        let number = self.manifest.next_number;
        self.manifest.next_number += 1;
        number
    }

    /// Reads the segments of the manifest up to the first damage. Returns the active segment if it is intact.
    fn read_segments(&mut self) -> io::Result<Option<ActiveSegment>> {
        let listed = self.manifest.segments.clone();
        let mut active = None;
        for (index, entry) in listed.iter().enumerate() {
            let expected = self.sealed.last().map_or(1, |sealed| sealed.next_sequence);
            match self.read_segment(entry, expected)? {
                SegmentState::Intact(intact) => {
                    self.apply(&intact.segment, &intact.records);
                    if entry.sealed_length.is_some() {
                        let IntactSegment { segment, length, next_sequence, .. } = intact;
                        self.add_sealed(segment, length, next_sequence);
                    } else {
                        active = Some(active_segment(intact));
                    }
                }
                SegmentState::Corrupt { offset, valid } => {
                    self.report.corruption = Some(Corruption { segment: entry.number, offset });
                    let lost = listed[index..].iter().map(|entry| entry.number);
                    self.manifest.quarantined.extend(lost);
                    if let Some(valid) = valid {
                        self.copy_valid_part(&valid)?;
                    }
                    break;
                }
            }
            self.report.segments += 1;
        }
        Ok(active)
    }

    fn add_sealed(&mut self, segment: Arc<Segment>, length: u64, next_sequence: u64) {
        let sealed = SealedSegment { segment, length, next_sequence, sealed_at_ns: 0, is_corrupt: false };
        self.sealed.push(sealed);
    }

    /// Reads one segment, whose first sequence number must be `expected`.
    fn read_segment(&mut self, entry: &ManifestSegment, expected: u64) -> io::Result<SegmentState> {
        let file = match self.disk.open(&segment::file_name(entry.number)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(SegmentState::UNREADABLE),
            Err(error) => return Err(error),
        };
        let header = SegmentHeader::read_from(&*file)?.filter(|header| {
            let is_ours = header.identity == self.manifest.identity && header.number == entry.number;
            is_ours && header.is_merged() == entry.is_merged && header.first == expected
        });
        let Some(header) = header else { return Ok(SegmentState::UNREADABLE) };
        let segment = Arc::new(Segment { header, file });
        if let Some(length) = entry.sealed_length
            && let Some(intact) = self.read_checkpoint(&segment, length)?
        {
            return Ok(SegmentState::Intact(intact));
        }
        self.read_records(segment, entry)
    }

    fn read_checkpoint(&mut self, segment: &Arc<Segment>, length: u64) -> io::Result<Option<IntactSegment>> {
        if !self.uses_checkpoints || segment.file.length()? < length {
            return Ok(None);
        }
        let header = &segment.header;
        let Some(Checkpoint { records }) = Checkpoint::read(&*self.disk, header, length) else {
            return Ok(None);
        };
        self.report.segments_from_checkpoint += 1;
        let after_last = records.last().map_or(header.first, |record| record.sequence + 1);
        let next_sequence = header.merged_through.map_or(after_last, |last| last + 1);
        Ok(Some(IntactSegment { segment: segment.clone(), length, checksum: 0, next_sequence, records }))
    }

    fn read_records(&mut self, segment: Arc<Segment>, entry: &ManifestSegment) -> io::Result<SegmentState> {
        let mut records = Vec::new();
        let scan = segment::scan(&segment, entry.sealed_length, u64::MAX, |location, record| {
            records.push(indexed(record, location));
        })?;
        let Some(scan) = scan else { return Ok(SegmentState::UNREADABLE) };
        let intact = |segment: Arc<Segment>, next_sequence: u64, records: Vec<IndexedRecord>| {
            let (length, checksum) = (scan.length, scan.checksum);
            SegmentState::Intact(IntactSegment { segment, length, checksum, next_sequence, records })
        };
        match entry.sealed_length {
            Some(length) if scan.length == length => {
                let next_sequence = segment.header.merged_through.map_or(scan.next_sequence, |last| last + 1);
                Ok(intact(segment, next_sequence, records))
            }
            // A prefix of a merged segment is not a state that the store ever had.
            Some(_) if entry.is_merged => Ok(SegmentState::Corrupt { offset: scan.length, valid: None }),
            None if !scan.has_records_in_tail => {
                if scan.has_tail {
                    let bytes = segment.file.length()? - scan.length;
                    let torn_tail = TornTail { segment: entry.number, offset: scan.length, bytes };
                    self.report.torn_tail = Some(torn_tail);
                    segment.file.truncate(scan.length)?;
                }
                Ok(intact(segment, scan.next_sequence, records))
            }
            Some(_) | None => {
                let valid = ValidPart { segment, length: scan.length, records };
                Ok(SegmentState::Corrupt { offset: scan.length, valid: Some(valid) })
            }
        }
    }

    fn apply(&mut self, segment: &Arc<Segment>, records: &[IndexedRecord]) {
        for record in records {
            let key = IndexKey::new(record.keyspace, &record.key);
            self.index.apply(record.kind, key, record.sequence, segment, record.location);
        }
        self.report.records += records.len() as u64;
    }

    /// Copies the valid part of a damaged segment to a new segment. The damaged file stays unchanged.
    fn copy_valid_part(&mut self, valid: &ValidPart) -> io::Result<()> {
        let header = SegmentHeader { number: self.allocate_number(), ..valid.segment.header };
        let (segment, mut checksum) = segment::create(&*self.disk, header)?;
        let (mut bytes, mut records) = (Vec::new(), Vec::with_capacity(valid.records.len()));
        let start = SEGMENT_HEADER_BYTES as u64;
        segment::scan(&valid.segment, Some(valid.length), u64::MAX, |_, record| {
            let offset = start + bytes.len() as u64;
            checksum = record::write(&mut bytes, record, checksum);
            let length = (start + bytes.len() as u64 - offset) as u32;
            records.push(indexed(record, RecordLocation { offset, length }));
        })?;
        segment.file.write_at(start, &bytes)?;
        segment.file.sync()?;
        let segment = Arc::new(segment);
        self.apply(&segment, &records);
        let next_sequence = records.last().map_or(header.first, |record| record.sequence + 1);
        self.add_sealed(segment, start + bytes.len() as u64, next_sequence);
        Ok(())
    }

    /// Renames segments that are kept for repair, so that they are no longer taken for segments of the store.
    fn quarantine_files(&mut self) -> io::Result<()> {
        let names = self.disk.list()?;
        let mut has_renamed = false;
        for number in &self.manifest.quarantined {
            let from = segment::file_name(*number);
            if names.contains(&from) {
                let to = format!("{QUARANTINE_PREFIX}{from}");
                self.disk.rename(&from, &to)?;
                has_renamed = true;
                self.report.quarantined.push(to);
            }
        }
        if has_renamed { self.disk.sync_names() } else { Ok(()) }
    }

    /// Removes files left by a crash that no manifest lists. Nothing in them was ever acknowledged.
    fn remove_unnamed_files(&self, segments: &BTreeSet<u64>) -> io::Result<()> {
        let is_unnamed =
            |file_name: &str| segment::number_of(file_name).is_some_and(|number| !segments.contains(&number));
        for name in self.disk.list()? {
            let is_left_over = match name.strip_suffix(".idx") {
                Some(stem) => is_unnamed(&format!("{stem}.seg")),
                None => is_unnamed(&name) || name == NEW_MANIFEST,
            };
            if is_left_over {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }
}

fn active_segment(intact: IntactSegment) -> ActiveSegment {
    let IntactSegment { segment, length, checksum, next_sequence, records } = intact;
    let synced = SyncedPart { length, next_sequence, records: records.len() };
    ActiveSegment { segment, checksum, length, records, synced }
}

fn indexed(record: &record::Record, location: RecordLocation) -> IndexedRecord {
    IndexedRecord {
        kind: record.kind,
        keyspace: record.keyspace,
        sequence: record.sequence,
        location,
        key: record.key.to_vec(),
    }
}
