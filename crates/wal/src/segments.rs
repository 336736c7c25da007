//! The segments (files) of a ring, and the selection of the one to use next.

use std::io;

use crate::error::DiskError;
use crate::format::{FILE_HEADER_BYTES, FileHeader, Position};
use crate::options::Options;
use crate::recovery::{ScannedSegment, file_name};
use crate::storage::{Storage, new_salt};

/// Index of a segment in [`Segments`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentId(pub usize);

/// Determines which records must stay on the disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    /// Records below this position are no longer needed.
    pub released_before: Position,
    /// Records through this position are durable.
    pub durable_through: Position,
}

struct Segment<F> {
    /// Index in the file's name.
    index: usize,
    file: F,
    bytes: u64,
    /// Number of the current use.
    generation: u64,
    /// Highest position of a synced record, or part of one, in this file; 0 if there is none.
    last_position: Position,
}

impl<F> Segment<F> {
    /// Returns whether the file contains nothing that is needed. The file of the latest durable record is always kept,
    /// because it determines the next position.
    fn is_free(&self, retention: Retention) -> bool {
        let needed_from = retention.released_before.min(retention.durable_through);
        self.last_position == 0 || self.last_position < needed_from
    }
}

/// A segment whose header is synced and that contains no record yet.
pub(crate) struct PreparedSegment {
    pub segment: SegmentId,
    pub salt: u32,
}

/// The end of the records in the active segment.
pub(crate) struct SegmentEnd {
    pub segment: SegmentId,
    pub offset: u64,
}

/// All segments of a ring.
pub(crate) struct Segments<F> {
    segments: Vec<Segment<F>>,
    prepared: Option<PreparedSegment>,
    next_generation: u64,
    /// Maximum number of segments.
    capacity: usize,
    file_bytes: u64,
}

impl<F> Segments<F> {
    /// Creates the set from the segments on disk; the id of each is its index in `found`.
    pub(crate) fn new(found: Vec<ScannedSegment<F>>, options: &Options) -> Self {
        let next_generation = found.iter().map(ScannedSegment::generation).max().unwrap_or(0) + 1;
        let capacity = usize::try_from(options.capacity_bytes / options.file_bytes).unwrap_or(usize::MAX);
        let segment = |found: ScannedSegment<F>| Segment {
            generation: found.generation(),
            index: found.index,
            file: found.file,
            bytes: found.bytes,
            last_position: found.last_position,
        };
        let segments = found.into_iter().map(segment).collect();
        Self { segments, prepared: None, next_generation, capacity, file_bytes: options.file_bytes }
    }

    /// Returns the segment with this index in its file name.
    pub(crate) fn find(&self, index: usize) -> Option<SegmentId> {
        self.segments.iter().position(|segment| segment.index == index).map(SegmentId)
    }

    pub(crate) fn file(&self, segment: SegmentId) -> io::Result<&F> {
        self.segments
            .get(segment.0)
            .map(|segment| &segment.file)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Returns the length of the file in bytes.
    pub(crate) fn bytes(&self, segment: SegmentId) -> u64 {
        self.segments[segment.0].bytes
    }

    /// Returns whether the file is long enough to contain `offset` bytes.
    pub(crate) fn reaches(&self, segment: SegmentId, offset: u64) -> bool {
        offset <= self.segments[segment.0].bytes
    }

    pub(crate) fn last_position(&self, segment: SegmentId) -> Position {
        self.segments[segment.0].last_position
    }

    /// Records that records through `position` are synced in this segment.
    pub(crate) fn set_last_position(&mut self, segment: SegmentId, position: Position) {
        self.segments[segment.0].last_position = position;
    }

    pub(crate) fn is_prepared(&self) -> bool {
        self.prepared.is_some()
    }

    /// Takes the prepared segment; the caller writes to it from then on.
    pub(crate) fn take_prepared(&mut self) -> Option<PreparedSegment> {
        self.prepared.take()
    }

    /// Returns the size in bytes of the segments in use; of the active one only the part before its end.
    pub(crate) fn used_bytes(&self, active: Option<SegmentEnd>, retention: Retention) -> u64 {
        let used = self.segments.iter().enumerate().map(|(id, segment)| match &active {
            Some(active) if active.segment == SegmentId(id) => active.offset,
            _ if segment.is_free(retention) => 0,
            _ => segment.bytes,
        });
        used.sum()
    }

    /// Prepares a free segment for records: sets its length, writes and syncs its header.
    pub(crate) fn prepare<S: Storage<File = F>>(
        &mut self,
        storage: &mut S,
        active: Option<SegmentId>,
        retention: Retention,
    ) -> Result<(), DiskError> {
        let free = self.segments.iter().enumerate().filter(|(id, segment)| {
            Some(SegmentId(*id)) != active && segment.index < self.capacity && segment.is_free(retention)
        });
        // Empty segments first, then the oldest: at a recovery, only the beginning of the sequence may be missing.
        let oldest = free.min_by_key(|(_, segment)| (segment.last_position > 0, segment.generation));
        let segment = match oldest {
            Some((id, _)) => SegmentId(id),
            None => self.create(storage)?,
        };
        let header = FileHeader {
            generation: self.next_generation,
            salt: new_salt(storage, 0),
            durable_through: retention.durable_through,
            released_before: retention.released_before,
        };
        self.next_generation += 1;
        self.write_header(storage, segment, &header)?;
        self.prepared = Some(PreparedSegment { segment, salt: header.salt });
        Ok(())
    }

    fn create<S: Storage<File = F>>(&mut self, storage: &mut S) -> Result<SegmentId, DiskError> {
        let unused = (0..self.capacity).find(|index| self.find(*index).is_none());
        let index = unused.ok_or(DiskError::RingFull)?;
        let file = storage.open(&file_name(index)).map_err(|error| DiskError::of_write(&error))?;
        self.segments.push(Segment { index, file, bytes: 0, generation: 0, last_position: 0 });
        Ok(SegmentId(self.segments.len() - 1))
    }

    fn write_header<S: Storage<File = F>>(
        &mut self,
        storage: &mut S,
        segment: SegmentId,
        header: &FileHeader,
    ) -> Result<(), DiskError> {
        let file_bytes = self.file_bytes;
        let segment = &mut self.segments[segment.0];
        let resized = segment.bytes != file_bytes;
        segment.last_position = 0;
        if resized {
            storage.set_length(&segment.file, file_bytes).map_err(|error| DiskError::of_write(&error))?;
        }
        // The whole block is written, so that no part of an older header remains.
        let mut block = [0; FILE_HEADER_BYTES as usize];
        let encoded = header.encode();
        block[..encoded.len()].copy_from_slice(&encoded);
        storage.write_at(&segment.file, &block, 0).map_err(|error| DiskError::of_write(&error))?;
        storage.sync(&segment.file).map_err(|error| DiskError::of_sync(&error))?;
        if resized {
            storage.sync_folder().map_err(|error| DiskError::of_sync(&error))?;
            segment.bytes = file_bytes;
        }
        segment.generation = header.generation;
        Ok(())
    }
}
