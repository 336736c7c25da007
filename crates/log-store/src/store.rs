//! The store: one owner appends, syncs and compacts; any number of readers use snapshots.
//!
//! Guarantee: after any crash, the store opens in the state after one of the batches that were issued, not earlier than
//! the last batch before the last successful [`LogStore::sync`]. Each batch is present completely or not at all.

mod compaction;

use std::io;
use std::sync::Arc;

use arc_swap::ArcSwap;

pub use crate::store::compaction::CompactionStep;

use crate::batch::Batch;
use crate::checkpoint::{Checkpoint, IndexedRecord};
use crate::disk::Disk;
use crate::error::{AppendError, OpenError};
use crate::index::Index;
use crate::io_budget::IoBudget;
use crate::key::IndexKey;
use crate::manifest::{Manifest, ManifestSegment};
use crate::merge::Merge;
use crate::options::LogStoreOptions;
use crate::record::{self, Record};
use crate::recovery::{RecoveredStore, RecoveryReport, recover};
use crate::segment::{self, RecordLocation, SEGMENT_HEADER_BYTES, Segment, SegmentHeader};
use crate::segment_state::{ActiveSegment, SealedSegment, SyncedPart};
use crate::snapshot::Snapshot;

/// A batch and the sequence number of its first record.
struct NumberedBatch {
    first: u64,
    batch: Batch,
}

/// Batches that are collected for one write.
#[derive(Default)]
struct WriteGroup {
    batches: Vec<NumberedBatch>,
    /// The index of each batch in the results of all batches; rejected batches lie between them.
    result_indices: Vec<usize>,
    bytes: u64,
}

/// Public information about a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentInfo {
    /// Number of the segment, never reused within the store.
    pub number: u64,
    /// Size of the file in bytes.
    pub bytes: u64,
    /// Whether the segment is the result of a merge.
    pub is_merged: bool,
}

/// An open store with a single owner.
pub struct LogStore {
    disk: Arc<dyn Disk>,
    /// The lock of the directory, held while the store is open.
    _lock: Box<dyn Send + Sync>,
    options: LogStoreOptions,
    identity: [u8; 16],
    generation: u64,
    next_number: u64,
    sealed: Vec<SealedSegment>,
    active: ActiveSegment,
    index: Index,
    published: Arc<ArcSwap<Snapshot>>,
    /// Batches since the last sync. If a sync fails, they are written again to a new segment.
    unsynced: Vec<NumberedBatch>,
    /// Whether a sync of the active segment has failed. A later successful sync of that file then proves nothing.
    is_tainted: bool,
    /// Whether the manifest on disk may differ from the current one. It is then rewritten before any acknowledgement.
    is_manifest_outdated: bool,
    /// Files that are no longer listed once the current manifest is durable.
    obsolete_files: Vec<String>,
    quarantined: Vec<u64>,
    merge: Option<Merge>,
    io_budget: IoBudget,
    now_ns: i64,
}

impl LogStore {
    /// Opens a store, or creates one if the directory is empty.
    ///
    /// # Errors
    ///
    /// The store is open elsewhere, was created under another name or by a later version, or the disk fails. Damaged
    /// data is not an error; it is described in the report.
    pub fn open(
        disk: Arc<dyn Disk>,
        options: LogStoreOptions,
    ) -> Result<(LogStore, RecoveryReport), OpenError> {
        let lock = disk.lock().map_err(|error| match error.kind() {
            io::ErrorKind::ResourceBusy => OpenError::Locked(error),
            _ => OpenError::Io(error),
        })?;
        let (recovered, recovery) = recover(disk.clone(), &options)?;
        let RecoveredStore { manifest, sealed, active, index, is_manifest_outdated } = recovered;
        let published = Arc::new(ArcSwap::from_pointee(index.snapshot.clone()));
        let mut store = LogStore {
            disk,
            _lock: lock,
            io_budget: IoBudget::new(&options.compaction, 0),
            options,
            identity: manifest.identity,
            generation: manifest.generation,
            next_number: manifest.next_number,
            sealed,
            active,
            index,
            published,
            unsynced: Vec::new(),
            is_tainted: false,
            is_manifest_outdated,
            obsolete_files: Vec::new(),
            quarantined: manifest.quarantined,
            merge: None,
            now_ns: 0,
        };
        store.update_manifest()?;
        let segments = store.segments().into_iter().map(|segment| segment.number).collect();
        let report = recovery.finish(&segments)?;
        Ok((store, report))
    }

    /// Sets the current time in nanoseconds, used for segment ages and the I/O budget. It may step back.
    pub fn set_time(&mut self, now_ns: i64) {
        self.now_ns = now_ns;
    }

    /// Returns a snapshot of the current state, in constant time. While the snapshot is held, a write copies each index
    /// node on its path that the snapshot shares, once.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::new(self.index.snapshot.clone())
    }

    /// Returns the shared cell from which readers on other threads load the snapshot of the last [`LogStore::publish`].
    pub fn published(&self) -> Arc<ArcSwap<Snapshot>> {
        self.published.clone()
    }

    /// Publishes the current state to readers on other threads. This happens only on request: a snapshot published with
    /// each write would make each write copy the index nodes that it shares, about 3 us per record in a large map.
    pub fn publish(&self) {
        self.published.store(Arc::new(self.index.snapshot.clone()));
    }

    /// Returns the sequence number of the last record.
    pub fn sequence(&self) -> u64 {
        self.index.snapshot.sequence
    }

    /// Appends a batch and returns its last sequence number. The batch can be read at once, and is durable after the
    /// next [`LogStore::sync`].
    ///
    /// # Errors
    ///
    /// The batch is too long, or the disk fails. No record of it is kept.
    pub fn append(&mut self, batch: &Batch) -> Result<u64, AppendError> {
        let mut results = self.append_batches(vec![batch.clone()]);
        results.pop().unwrap_or(Ok(self.sequence()))
    }

    /// Appends batches, each completely or not at all, with as few writes as possible. Returns one result per batch, in
    /// order, as [`LogStore::append`] does.
    pub fn append_batches(&mut self, batches: Vec<Batch>) -> Vec<Result<u64, AppendError>> {
        let mut results = Vec::with_capacity(batches.len());
        let mut next_sequence = self.sequence() + 1;
        let mut group = WriteGroup::default();
        for batch in batches {
            let size = batch.size();
            if !self.fits_in_segment(size) || !batch.has_valid_lengths() {
                results.push(Err(AppendError::BatchTooLarge(size)));
                continue;
            }
            let length = self.active.length + group.bytes;
            if length > SEGMENT_HEADER_BYTES as u64 && length + size > self.options.segment_bytes {
                self.write_group(&mut group, &mut results, &mut next_sequence);
                if self.active.has_records()
                    && let Err(error) = self.roll_segment()
                {
                    results.push(Err(error.into()));
                    continue;
                }
            }
            group.bytes += size;
            let records = batch.len() as u64;
            group.result_indices.push(results.len());
            results.push(Ok(next_sequence + records - 1));
            group.batches.push(NumberedBatch { first: next_sequence, batch });
            next_sequence += records;
        }
        self.write_group(&mut group, &mut results, &mut next_sequence);
        results
    }

    fn fits_in_segment(&self, size: u64) -> bool {
        let header = SEGMENT_HEADER_BYTES as u64;
        size + header <= self.options.segment_bytes.max(header + 1)
    }

    /// Writes the collected batches. If the write fails, each batch gets the error, and their sequence numbers are
    /// reused.
    fn write_group(
        &mut self,
        group: &mut WriteGroup,
        results: &mut [Result<u64, AppendError>],
        next_sequence: &mut u64,
    ) {
        let WriteGroup { mut batches, result_indices, .. } = std::mem::take(group);
        if batches.is_empty() {
            return;
        }
        match self.write(&batches) {
            Ok(()) => self.unsynced.append(&mut batches),
            Err(error) => {
                for index in result_indices {
                    let same = io::Error::new(error.kind(), error.to_string());
                    results[index] = Err(AppendError::Io(same));
                }
                *next_sequence = batches[0].first;
            }
        }
    }

    /// Appends batches to the active segment. If this fails, the state does not change.
    fn write(&mut self, batches: &[NumberedBatch]) -> io::Result<()> {
        let (mut bytes, mut checksum, start) = (Vec::new(), self.active.checksum, self.active.length);
        let mut locations = Vec::new();
        for NumberedBatch { first, batch } in batches {
            for (n, change) in batch.records.iter().enumerate() {
                let offset = start + bytes.len() as u64;
                let record = Record {
                    kind: change.kind,
                    keyspace: change.keyspace,
                    sequence: first + n as u64,
                    remaining_in_batch: (batch.len() - 1 - n) as u32,
                    key: &change.key,
                    value: &change.value,
                };
                checksum = record::write(&mut bytes, &record, checksum);
                let length = (start + bytes.len() as u64 - offset) as u32;
                locations.push(RecordLocation { offset, length });
            }
        }
        if let Err(error) = self.active.segment.file.write_at(start, &bytes) {
            // The next recovery would take a partial write for damage.
            let _ = self.active.segment.file.truncate(start);
            return Err(error);
        }
        (self.active.checksum, self.active.length) = (checksum, start + bytes.len() as u64);
        let changes = batches.iter().flat_map(|numbered| (numbered.first..).zip(&numbered.batch.records));
        for ((sequence, change), location) in changes.zip(locations) {
            let (kind, keyspace, key) = (change.kind, change.keyspace, change.key.clone());
            let index_key = IndexKey::new(keyspace, &key);
            self.index.apply(kind, index_key, sequence, &self.active.segment, location);
            self.active.records.push(IndexedRecord { kind, keyspace, sequence, location, key });
        }
        Ok(())
    }

    /// Makes all appended batches durable.
    ///
    /// # Errors
    ///
    /// The disk fails. Batches that were not durable before may be lost in a crash; the next sync tries them again.
    /// Reads keep working.
    pub fn sync(&mut self) -> io::Result<()> {
        if !self.unsynced.is_empty() {
            // After a failed sync it is unknown which bytes were written, and the next sync may succeed without them.
            self.is_tainted = self.is_tainted || self.active.segment.file.sync().is_err();
            if self.is_tainted {
                self.replace_active_segment()?;
                self.active.segment.file.sync()?;
                self.is_tainted = false;
            }
        }
        self.update_manifest()?;
        self.unsynced.clear();
        self.active.synced = SyncedPart {
            length: self.active.length,
            next_sequence: self.sequence() + 1,
            records: self.active.records.len(),
        };
        Ok(())
    }

    /// Seals the durable part of the active segment and rewrites the remaining batches from memory to a new segment.
    fn replace_active_segment(&mut self) -> io::Result<()> {
        let SyncedPart { length, next_sequence, records } = self.active.synced;
        let (segment, checksum) = self.create_segment(next_sequence)?;
        let fresh = ActiveSegment::empty(segment, checksum, next_sequence);
        let old = std::mem::replace(&mut self.active, fresh);
        self.add_sealed(old.segment, length, next_sequence, &old.records[..records]);
        self.is_manifest_outdated = true;
        // The index still has the old locations; writing the same records again updates them.
        let batches = std::mem::take(&mut self.unsynced);
        let written = self.write(&batches);
        self.unsynced = batches;
        written
    }

    /// Creates a segment whose first record will have this sequence number. Also returns the checksum of its header.
    fn create_segment(&mut self, first: u64) -> io::Result<(Segment, u32)> {
        let number = self.next_number;
        self.next_number += 1;
        let header = SegmentHeader { identity: self.identity, number, first, merged_through: None };
        segment::create(&*self.disk, header)
    }

    fn add_sealed(
        &mut self,
        segment: Arc<Segment>,
        length: u64,
        next_sequence: u64,
        records: &[IndexedRecord],
    ) {
        let checkpoint = Checkpoint { records: records.to_vec() };
        // Errors are ignored because a checkpoint only speeds up recovery.
        let _ = checkpoint.write(&*self.disk, &segment.header, length);
        let sealed_at_ns = self.now_ns;
        self.sealed.push(SealedSegment { segment, length, next_sequence, sealed_at_ns, is_corrupt: false });
    }

    /// Seals the active segment, so that it can be merged with others.
    ///
    /// # Errors
    ///
    /// The disk fails.
    pub fn seal_active_segment(&mut self) -> io::Result<()> {
        if self.active.has_records() { self.roll_segment() } else { Ok(()) }
    }

    /// Seals the active segment and creates the next one.
    fn roll_segment(&mut self) -> io::Result<()> {
        self.sync()?;
        let next_sequence = self.sequence() + 1;
        let (segment, checksum) = self.create_segment(next_sequence)?;
        segment.file.sync()?;
        let fresh = ActiveSegment::empty(segment, checksum, next_sequence);
        let old = std::mem::replace(&mut self.active, fresh);
        self.add_sealed(old.segment, old.length, next_sequence, &old.records);
        self.is_manifest_outdated = true;
        self.update_manifest()
    }

    /// Writes the current manifest if the one on disk may differ.
    fn update_manifest(&mut self) -> io::Result<()> {
        if self.is_manifest_outdated {
            self.generation += 1;
            self.manifest().replace(&*self.disk)?;
            self.is_manifest_outdated = false;
        }
        for name in std::mem::take(&mut self.obsolete_files) {
            // If this fails, the file is removed at the next start.
            let _ = self.disk.remove(&name);
        }
        Ok(())
    }

    fn manifest(&self) -> Manifest {
        let sealed = self.sealed.iter().map(|sealed| ManifestSegment {
            number: sealed.segment.header.number,
            sealed_length: Some(sealed.length),
            is_merged: sealed.segment.header.is_merged(),
        });
        let number = self.active.segment.header.number;
        let active = ManifestSegment { number, sealed_length: None, is_merged: false };
        Manifest {
            identity: self.identity,
            generation: self.generation,
            next_number: self.next_number,
            segments: sealed.chain([active]).collect(),
            quarantined: self.quarantined.clone(),
        }
    }

    /// Returns information about all segments, oldest first.
    pub fn segments(&self) -> Vec<SegmentInfo> {
        let sealed = self.sealed.iter().map(|sealed| SegmentInfo {
            number: sealed.segment.header.number,
            bytes: sealed.length,
            is_merged: sealed.segment.header.is_merged(),
        });
        let number = self.active.segment.header.number;
        sealed.chain([SegmentInfo { number, bytes: self.active.length, is_merged: false }]).collect()
    }

    /// Returns the total size of all segments in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.segments().iter().map(|segment| segment.bytes).sum()
    }
}
