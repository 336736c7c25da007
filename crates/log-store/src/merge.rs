//! A merge in steps of bounded work. It replaces a run of sealed segments by one segment with the latest record of each
//! key in the run, in the order of sequence numbers.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use crate::checkpoint::{Checkpoint, IndexedRecord};
use crate::disk::Disk;
use crate::key::IndexKey;
use crate::record::{self, Record, RecordKind};
use crate::segment::{self, RecordLocation, SEGMENT_HEADER_BYTES, Scan, Segment, SegmentHeader};

/// An input segment of a merge.
#[derive(Clone)]
pub(crate) struct MergeInput {
    pub segment: Arc<Segment>,
    pub sealed_length: u64,
}

/// Progress of a merge.
enum Phase {
    /// Looking for the latest record of each key; this many segments of the run have been read.
    FindLatest(usize),
    /// Writing the latest records; this many segments of the run are done.
    Write(usize),
    Done,
}

/// A merge in progress.
pub(crate) struct Merge {
    run: Vec<MergeInput>,
    /// Whether the run begins with the oldest segment, so that tombstones are no longer needed.
    begins_with_oldest: bool,
    latest: HashMap<IndexKey, u64>,
    output: Segment,
    checksum: u32,
    length: u64,
    checkpoint: Checkpoint,
    tombstone_bytes: u64,
    phase: Phase,
}

/// Result of one step of a merge.
pub(crate) enum MergeStep {
    /// This many bytes were read or written, and the merge continues.
    Progressed(u64),
    /// The merged segment is complete and durable.
    Done,
    /// The segment of this number cannot be read.
    Corrupt(u64),
}

/// Result of a complete merge.
pub(crate) struct MergeOutput {
    pub segment: Arc<Segment>,
    pub length: u64,
    pub checkpoint: Checkpoint,
    /// Bytes of tombstones in the merged segment.
    pub tombstone_bytes: u64,
}

impl Merge {
    /// Starts merging a run into a segment of this identity and number. `last` is the last sequence number of the run.
    pub fn begin(
        disk: &dyn Disk,
        run: Vec<MergeInput>,
        begins_with_oldest: bool,
        identity: [u8; 16],
        number: u64,
        last: u64,
    ) -> io::Result<Merge> {
        let first = run.first().map_or(0, |input| input.segment.header.first);
        let header = SegmentHeader { identity, number, first, merged_through: Some(last) };
        let file = disk.create(&segment::file_name(number))?;
        // The header is written last, so that a segment with a header is complete.
        let checksum = SegmentHeader::read(&header.encode()).map_or(0, |found| found.checksum);
        Ok(Merge {
            run,
            begins_with_oldest,
            latest: HashMap::new(),
            output: Segment { header, file },
            checksum,
            length: SEGMENT_HEADER_BYTES as u64,
            checkpoint: Checkpoint::default(),
            tombstone_bytes: 0,
            phase: Phase::FindLatest(0),
        })
    }

    /// Returns the number of the segment that is written.
    pub fn output_number(&self) -> u64 {
        self.output.header.number
    }

    /// Returns the numbers of the segments that are merged.
    pub fn input_numbers(&self) -> Vec<u64> {
        self.run.iter().map(|input| input.segment.header.number).collect()
    }

    /// Returns the total size of the segments that are merged, in bytes.
    pub fn input_bytes(&self) -> u64 {
        self.run.iter().map(|input| input.sealed_length).sum()
    }

    /// Processes one segment, whose size is bounded.
    pub fn step(&mut self) -> io::Result<MergeStep> {
        match self.phase {
            Phase::FindLatest(index) if index == self.run.len() => {
                self.phase = Phase::Write(0);
                Ok(MergeStep::Progressed(0))
            }
            Phase::FindLatest(index) => self.find_latest(index),
            Phase::Write(index) if index == self.run.len() => {
                self.output.file.sync()?;
                self.output.file.write_at(0, &self.output.header.encode())?;
                self.output.file.sync()?;
                self.phase = Phase::Done;
                Ok(MergeStep::Done)
            }
            Phase::Write(index) => self.write(index),
            Phase::Done => Ok(MergeStep::Done),
        }
    }

    fn find_latest(&mut self, index: usize) -> io::Result<MergeStep> {
        let MergeInput { segment, sealed_length } = self.run[index].clone();
        let latest = &mut self.latest;
        let scan = segment::scan(&segment, Some(sealed_length), u64::MAX, |_, record| {
            latest.insert(IndexKey::new(record.keyspace, record.key), record.sequence);
        })?;
        if !is_intact(scan.as_ref(), sealed_length) {
            return Ok(MergeStep::Corrupt(segment.header.number));
        }
        self.phase = Phase::FindLatest(index + 1);
        Ok(MergeStep::Progressed(sealed_length))
    }

    fn write(&mut self, index: usize) -> io::Result<MergeStep> {
        let MergeInput { segment, sealed_length } = self.run[index].clone();
        let (mut bytes, mut checksum, start) = (Vec::new(), self.checksum, self.length);
        let (latest, drops_tombstones) = (&self.latest, self.begins_with_oldest);
        let written = &mut self.checkpoint.records;
        let mut tombstone_bytes = 0;
        let scan = segment::scan(&segment, Some(sealed_length), u64::MAX, |_, record| {
            let key = IndexKey::new(record.keyspace, record.key);
            let is_latest = latest.get(&key) == Some(&record.sequence);
            let is_tombstone = record.kind == RecordKind::Delete;
            if !is_latest || drops_tombstones && is_tombstone {
                return;
            }
            let offset = start + bytes.len() as u64;
            checksum = record::write(&mut bytes, &Record { remaining_in_batch: 0, ..*record }, checksum);
            let length = (start + bytes.len() as u64 - offset) as u32;
            if is_tombstone {
                tombstone_bytes += u64::from(length);
            }
            written.push(IndexedRecord {
                kind: record.kind,
                keyspace: record.keyspace,
                sequence: record.sequence,
                location: RecordLocation { offset, length },
                key: record.key.to_vec(),
            });
        })?;
        if !is_intact(scan.as_ref(), sealed_length) {
            return Ok(MergeStep::Corrupt(segment.header.number));
        }
        self.output.file.write_at(start, &bytes)?;
        (self.checksum, self.length) = (checksum, start + bytes.len() as u64);
        self.tombstone_bytes += tombstone_bytes;
        self.phase = Phase::Write(index + 1);
        Ok(MergeStep::Progressed(sealed_length + bytes.len() as u64))
    }

    /// Returns the merged segment.
    pub fn finish(self) -> MergeOutput {
        MergeOutput {
            segment: Arc::new(self.output),
            length: self.length,
            checkpoint: self.checkpoint,
            tombstone_bytes: self.tombstone_bytes,
        }
    }
}

fn is_intact(scan: Option<&Scan>, sealed_length: u64) -> bool {
    scan.is_some_and(|scan| scan.length == sealed_length)
}
