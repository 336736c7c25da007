//! Recovery: reads the records back from the files at a start.
//!
//! Files are read in the order of their generations. A fragment is valid if its checksum matches and it continues where
//! the previous one ended. The first fragment of a file, or after a marker, may also start earlier: the records from
//! there on were written again. A torn tail is dropped. A gap among records that had been durable is an error.

use std::io;

use crate::assembler::{Assembler, FragmentStatus};
use crate::error::OpenError;
use crate::format::{FILE_HEADER_BYTES, FileHeader, Position, SYNC_MARKER_POSITION, SyncMarker};
use crate::fragment_reader::FragmentReader;
use crate::storage::Storage;

/// A record and its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Position returned by [`crate::Ring::append`].
    pub position: Position,
    /// The bytes as they were appended.
    pub payload: Vec<u8>,
}

/// The result of recovery when a ring is opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// Random, nonzero number drawn at the disk's first use.
    pub disk_identity: u64,
    /// Whether this was the first use: a new machine, or one whose disk was lost.
    pub is_first_use: bool,
    /// The records in order, without gaps; released ones may be among them. All records of a [`crate::Ring`] are
    /// durable. Those of a [`crate::writer::Writer`] are durable through its `durable_through`, which is below the last
    /// one only while the disk fails to sync. As long as it does, a loss of power may restore records that the previous
    /// process had queued.
    pub records: Vec<Record>,
}

/// A segment of the ring as found on the disk.
pub(crate) struct ScannedSegment<F> {
    /// Index in the file's name.
    pub index: usize,
    pub file: F,
    pub bytes: u64,
    /// `None` if the file has no valid header.
    pub header: Option<FileHeader>,
    /// Highest position of a valid fragment; 0 if there is none.
    pub last_position: Position,
    /// Offset up to which the file is known to be synced.
    pub synced: u64,
    /// Offset at which the last valid fragment ends.
    pub end: u64,
}

impl<F> ScannedSegment<F> {
    /// Returns the number of the current use of the file; 0 without a valid header.
    pub fn generation(&self) -> u64 {
        self.header.map_or(0, |header| header.generation)
    }
}

/// Where the valid fragments of the last segment end.
pub(crate) struct Tail {
    /// Index in the file's name.
    pub index: usize,
    pub offset: u64,
    pub salt: u32,
}

/// The contents of all ring files.
pub(crate) struct ScannedRing<F> {
    pub segments: Vec<ScannedSegment<F>>,
    pub tail: Option<Tail>,
    pub records: Vec<Record>,
    pub next_position: Position,
    pub durable_through: Position,
    pub released_before: Position,
}

/// Returns the name of the ring file with this index.
pub(crate) fn file_name(index: usize) -> String {
    format!("ring-{index:03}.data")
}

/// Returns the index of the ring file with this name, or `None` if it is another file.
pub(crate) fn file_index(name: &str) -> Option<usize> {
    let index = name.strip_prefix("ring-")?.strip_suffix(".data")?.parse().ok()?;
    (file_name(index) == name).then_some(index)
}

/// Reads all segments in the order in which they were written.
pub(crate) fn scan_segments<S: Storage>(
    storage: &mut S,
    names: &[String],
) -> Result<ScannedRing<S::File>, OpenError> {
    let mut segments = Vec::new();
    for index in names.iter().filter_map(|name| file_index(name)) {
        segments.push(read_header(storage, index).map_err(OpenError::disk("read the ring's headers"))?);
    }
    segments.sort_by_key(|segment| (segment.generation(), segment.index));
    let headers = || segments.iter().filter_map(|segment| segment.header);
    let released_before = headers().map(|header| header.released_before).max().unwrap_or(0);
    let durable_through = headers().map(|header| header.durable_through).max().unwrap_or(0);
    let mut assembler = Assembler::new(released_before, durable_through);
    let mut tail = None;
    for segment in &mut segments {
        let Some(header) = segment.header else { continue };
        if let Some(end) = read_fragments(storage, segment, header.salt, &mut assembler)? {
            tail = Some(end);
        }
    }
    let next_position = assembler.next_position().max(released_before).max(1);
    let durable_through = assembler.durable_through;
    if durable_through >= next_position {
        let file = tail.as_ref().map_or(0, |tail: &Tail| tail.index);
        return Err(OpenError::Damaged { file: file_name(file), position: next_position });
    }
    let records = assembler.into_records();
    Ok(ScannedRing { segments, tail, records, next_position, durable_through, released_before })
}

fn read_header<S: Storage>(storage: &mut S, index: usize) -> io::Result<ScannedSegment<S::File>> {
    let file = storage.open(&file_name(index))?;
    let bytes = storage.length(&file)?;
    let mut block = [0; 64];
    let count = storage.read_at(&file, &mut block, 0)?;
    Ok(ScannedSegment {
        index,
        file,
        bytes,
        header: FileHeader::decode(&block[..count]),
        last_position: 0,
        synced: FILE_HEADER_BYTES,
        end: FILE_HEADER_BYTES,
    })
}

/// Passes the fragments of one segment to the assembler. Returns the end of the valid ones, if there are any.
fn read_fragments<S: Storage>(
    storage: &mut S,
    segment: &mut ScannedSegment<S::File>,
    mut salt: u32,
    assembler: &mut Assembler,
) -> Result<Option<Tail>, OpenError> {
    let mut reader = FragmentReader::new(storage, &segment.file, segment.bytes);
    let mut batch_start = FILE_HEADER_BYTES;
    let mut after_marker = true;
    let mut tail = None;
    loop {
        let next = reader.next(salt).map_err(OpenError::disk("read the ring's files"))?;
        let Some((header, payload)) = next else { break };
        if header.position == SYNC_MARKER_POSITION {
            let Some(marker) = SyncMarker::decode(payload) else { break };
            salt = marker.salt;
            assembler.durable_through = assembler.durable_through.max(marker.durable_through);
            after_marker = true;
            batch_start = reader.offset;
            reader.consume();
            continue;
        }
        match assembler.accept(&header, payload, after_marker) {
            FragmentStatus::Accepted => segment.last_position = segment.last_position.max(header.position),
            FragmentStatus::Stale => break,
            FragmentStatus::Gap => {
                let position = assembler.next_position();
                return Err(OpenError::Damaged { file: file_name(segment.index), position });
            }
        }
        reader.consume();
        after_marker = false;
        segment.synced = batch_start;
        segment.end = reader.offset;
        // A marker without fragments after it may be lost with the power, so it does not belong to the tail.
        tail = Some(Tail { index: segment.index, offset: segment.end, salt });
    }
    Ok(tail)
}
