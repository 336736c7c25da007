//! Writes records to the files, without a thread: called by the ring's thread, and by tests directly.

use std::io;

use crate::error::{DiskError, OpenError};
use crate::format::{
    FILE_HEADER_BYTES, FRAGMENT_HEADER_BYTES, FragmentHeader, MIN_FILE_BYTES, MIN_FREE_BYTES, Position,
    SyncMarker,
};
use crate::identity::{self, DiskIdentity};
use crate::options::Options;
use crate::pending_records::{PendingRecords, Unwritten};
use crate::recovery::{self, Record, Recovery, ScannedRing, Tail};
use crate::resync::Resync;
use crate::segments::{PreparedSegment, Retention, SegmentEnd, SegmentId, Segments};
use crate::storage::{Storage, new_salt};

/// Small fragments are buffered up to this size before a write.
const BUFFER_BYTES: usize = 64 << 10;
/// One file contains the latest durable record, one the beginning of the next record; a third one its rest.
const MIN_FILE_COUNT: u64 = 3;

/// The segment to which records are appended.
struct ActiveSegment {
    segment: SegmentId,
    salt: u32,
    /// Offset of the next byte, including buffered ones.
    offset: u64,
    /// Offset up to which the file is synced.
    synced: u64,
    /// Salt in effect at `synced`; it seeds the checksum of the next sync marker.
    synced_salt: u32,
    /// Highest position of a record, or part of one, written to this segment.
    last_written: Position,
}

/// Bytes to be written to the active segment.
#[derive(Default)]
struct WriteBuffer {
    bytes: Vec<u8>,
    /// Offset in the file at which the first byte is written.
    offset: u64,
}

impl WriteBuffer {
    fn write_to<S: Storage>(&self, storage: &mut S, file: &S::File) -> io::Result<()> {
        if self.bytes.is_empty() { Ok(()) } else { storage.write_at(file, &self.bytes, self.offset) }
    }
}

/// The writer of a ring's records.
pub struct Writer<S: Storage> {
    storage: S,
    segments: Segments<S::File>,
    active: Option<ActiveSegment>,
    pending: PendingRecords,
    buffer: WriteBuffer,
    /// Recovered data that may not be durable yet.
    resync: Resync,
    /// Position through which records are durable once the resync is done.
    recovered_through: Position,
    retention: Retention,
}

/// A writer that was opened, and the result of its recovery.
pub struct OpenedWriter<S: Storage> {
    /// The writer, which continues after the recovered records.
    pub writer: Writer<S>,
    /// The recovered records and the disk's identity.
    pub recovery: Recovery,
    /// Position of the next record.
    pub next_position: Position,
}

impl<S: Storage> Writer<S> {
    /// Recovers the records on the disk and syncs them.
    ///
    /// # Errors
    /// Returns an error if the options are too small, the files cannot be read, or durable records are missing.
    pub fn open(storage: S, options: &Options) -> Result<OpenedWriter<S>, OpenError> {
        let mut opened = Self::recover(storage, options)?;
        if let Err(error) = opened.writer.resync() {
            log::warn!("ring: the recovered records are not durable yet: {error}");
        }
        Ok(opened)
    }

    /// Like [`Self::open`], but leaves the sync of the recovered records to the caller.
    pub(crate) fn recover(mut storage: S, options: &Options) -> Result<OpenedWriter<S>, OpenError> {
        let Options { capacity_bytes, file_bytes, .. } = *options;
        if file_bytes < MIN_FILE_BYTES || capacity_bytes / file_bytes < MIN_FILE_COUNT {
            return Err(OpenError::TooSmall { capacity_bytes, file_bytes });
        }
        let names = storage.list().map_err(OpenError::disk("list the files"))?;
        let DiskIdentity { number: disk_identity, is_new: is_first_use } =
            identity::load_or_create(&mut storage, &names)?;
        let names = if is_first_use { Vec::new() } else { names };
        let mut scanned = recovery::scan_segments(&mut storage, &names)?;
        let next_position = scanned.next_position;
        let records = std::mem::take(&mut scanned.records);
        let writer = Self::from_scan(storage, scanned, options);
        Ok(OpenedWriter {
            writer,
            recovery: Recovery { disk_identity, is_first_use, records },
            next_position,
        })
    }

    fn from_scan(storage: S, scanned: ScannedRing<S::File>, options: &Options) -> Self {
        let ScannedRing { segments, tail, next_position, durable_through, released_before, .. } = scanned;
        let resync = Resync::new(&segments, durable_through);
        let mut writer = Self {
            storage,
            segments: Segments::new(segments, options),
            active: None,
            pending: PendingRecords::default(),
            buffer: WriteBuffer::default(),
            resync,
            recovered_through: next_position - 1,
            retention: Retention { released_before, durable_through },
        };
        if let Some(tail) = tail {
            writer.resume(&tail);
        }
        writer
    }

    /// Makes the recovered records durable.
    pub(crate) fn resync(&mut self) -> Result<(), DiskError> {
        self.resync.run(&mut self.storage, &self.segments)?;
        self.retention.durable_through = self.retention.durable_through.max(self.recovered_through);
        Ok(())
    }

    /// Continues in the segment with the latest records, after a sync marker with a new salt.
    fn resume(&mut self, tail: &Tail) {
        let Some(segment) = self.segments.find(tail.index) else { return };
        if !self.segments.reaches(segment, tail.offset + MIN_FREE_BYTES) {
            return;
        }
        let salt = new_salt(&mut self.storage, tail.salt);
        self.active = Some(ActiveSegment {
            segment,
            salt,
            offset: tail.offset,
            synced: tail.offset,
            synced_salt: tail.salt,
            last_written: self.segments.last_position(segment),
        });
    }

    /// Queues a record; positions must be contiguous.
    pub fn enqueue(&mut self, record: Record) {
        self.pending.push(record);
    }

    /// Permits the reuse of segments all of whose records are below `position`. Records that are not durable are kept.
    pub fn release_before(&mut self, position: Position) {
        let Retention { released_before, durable_through } = &mut self.retention;
        *released_before = (*released_before).max(position.min(*durable_through + 1));
    }

    /// Returns the position through which records are durable, so that they survive a loss of power.
    pub fn durable_through(&self) -> Position {
        self.retention.durable_through
    }

    /// Returns whether records are waiting to be written, or recovered ones to be synced.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.resync.is_done()
    }

    /// Returns the size in bytes of the files that contain needed records; of the active file only the written part.
    pub fn used_bytes(&self) -> u64 {
        let active = self.active.as_ref();
        let end = active.map(|active| SegmentEnd { segment: active.segment, offset: active.offset });
        self.segments.used_bytes(end, self.retention)
    }

    /// Writes all queued records and syncs them.
    ///
    /// # Errors
    /// Returns the error that prevents records from becoming durable. They stay queued; call again later.
    pub fn commit(&mut self) -> Result<(), DiskError> {
        self.resync()?;
        while self.pending.next_unwritten().is_some() {
            self.ensure_free_bytes()?;
            self.write_fragment()?;
        }
        self.sync_active()
    }

    /// Prepares the next segment once the active one is half full, so that a later commit does not have to.
    ///
    /// # Errors
    /// Returns an error if that fails; the next commit that needs the segment retries.
    pub fn prepare_ahead(&mut self) -> Result<(), DiskError> {
        let active = self.active.as_ref();
        if self.segments.is_prepared()
            || active.is_some_and(|active| self.segments.reaches(active.segment, 2 * active.offset))
        {
            return Ok(());
        }
        self.prepare()
    }

    fn prepare(&mut self) -> Result<(), DiskError> {
        self.resync()?;
        let active = self.active.as_ref().map(|active| active.segment);
        self.segments.prepare(&mut self.storage, active, self.retention)
    }

    /// Starts the next segment if the active one is full.
    fn ensure_free_bytes(&mut self) -> Result<(), DiskError> {
        if let Some(active) = &self.active {
            if self.segments.reaches(active.segment, active.offset + MIN_FREE_BYTES) {
                return Ok(());
            }
            self.sync_active()?;
        }
        if !self.segments.is_prepared() {
            self.prepare()?;
        }
        let prepared = self.segments.take_prepared().ok_or(DiskError::RingFull)?;
        let PreparedSegment { segment, salt } = prepared;
        let start = FILE_HEADER_BYTES;
        self.buffer.bytes.clear();
        self.active = Some(ActiveSegment {
            segment,
            salt,
            offset: start,
            synced: start,
            synced_salt: salt,
            last_written: 0,
        });
        Ok(())
    }

    /// Encodes as much of the next record as fits into the active segment.
    fn write_fragment(&mut self) -> Result<(), DiskError> {
        let Some(active) = &mut self.active else { return Ok(()) };
        let Some(Unwritten { record, offset }) = self.pending.next_unwritten() else { return Ok(()) };
        let total = record.payload.len();
        if self.buffer.bytes.is_empty() {
            self.buffer.offset = active.offset;
        }
        let before = self.buffer.bytes.len();
        if active.offset == active.synced {
            let marker = SyncMarker { salt: active.salt, durable_through: self.retention.durable_through };
            marker.encode(active.synced_salt, &mut self.buffer.bytes);
        }
        let start = active.offset + (self.buffer.bytes.len() - before) as u64;
        let free = self.segments.bytes(active.segment) - start - FRAGMENT_HEADER_BYTES as u64;
        let end = total.min(offset + usize::try_from(free).unwrap_or(usize::MAX));
        let part = &record.payload[offset..end];
        let header = FragmentHeader::new(active.salt, record.position, offset as u32, total as u32, part);
        self.buffer.bytes.extend_from_slice(&header.encode());
        active.offset = start + (FRAGMENT_HEADER_BYTES + part.len()) as u64;
        active.last_written = record.position;
        if part.len() < BUFFER_BYTES {
            self.buffer.bytes.extend_from_slice(part);
            self.pending.advance(end, total);
            return if self.buffer.bytes.len() < BUFFER_BYTES { Ok(()) } else { self.flush() };
        }
        let part_offset = active.offset - part.len() as u64;
        let written = self.segments.file(active.segment).and_then(|file| {
            self.buffer.write_to(&mut self.storage, file)?;
            self.storage.write_at(file, part, part_offset)
        });
        self.pending.advance(end, total);
        self.buffer.bytes.clear();
        self.handle_written(written)
    }

    fn flush(&mut self) -> Result<(), DiskError> {
        let Some(active) = &self.active else { return Ok(()) };
        let file = self.segments.file(active.segment);
        let written = file.and_then(|file| self.buffer.write_to(&mut self.storage, file));
        self.buffer.bytes.clear();
        self.handle_written(written)
    }

    /// After a failed write, resets the state so that the unsynced part of the segment is written again at the same
    /// offset.
    fn handle_written(&mut self, written: io::Result<()>) -> Result<(), DiskError> {
        written.map_err(|error| {
            self.rewind();
            if let Some(active) = &mut self.active {
                active.offset = active.synced;
            }
            DiskError::of_write(&error)
        })
    }

    /// Writes the buffer, syncs the active segment and updates the durable position.
    fn sync_active(&mut self) -> Result<(), DiskError> {
        self.flush()?;
        let Some(active) = &mut self.active else { return Ok(()) };
        if active.offset == active.synced {
            return Ok(());
        }
        let synced = self.segments.file(active.segment).and_then(|file| self.storage.sync(file));
        if let Err(error) = synced {
            // The unsynced part of the file is in an unknown state: this use of the file ends without another write.
            self.active = None;
            self.rewind();
            return Err(DiskError::of_sync(&error));
        }
        active.synced = active.offset;
        active.synced_salt = active.salt;
        self.segments.set_last_position(active.segment, active.last_written);
        if let Some(position) = self.pending.mark_synced() {
            self.retention.durable_through = position;
        }
        Ok(())
    }

    /// Marks everything that was written and not synced as unwritten.
    fn rewind(&mut self) {
        self.buffer.bytes.clear();
        self.pending.rewind();
    }
}
