//! Makes recovered records durable before anything relies on them.

use std::io;
use std::ops::Range;

use crate::error::DiskError;
use crate::format::{FILE_HEADER_BYTES, Position};
use crate::recovery::ScannedSegment;
use crate::segments::{SegmentId, Segments};
use crate::storage::Storage;

/// Number of bytes that are read and rewritten at once.
const BUFFER_BYTES: usize = 64 << 10;

/// A part of a segment that may not be durable.
struct UnsyncedRange {
    segment: SegmentId,
    range: Range<u64>,
}

/// Recovered data that may not survive a loss of power yet.
pub(crate) struct Resync {
    /// Whether the names of the files may not be durable: an earlier process may have ended between creating a file and
    /// syncing the folder.
    names: bool,
    ranges: Vec<UnsyncedRange>,
}

impl Resync {
    /// Determines what may not be durable in these files. Records through `durable_through` are known to be durable.
    pub(crate) fn new<F>(files: &[ScannedSegment<F>], durable_through: Position) -> Self {
        Self { names: !files.is_empty(), ranges: unsynced_ranges(files, durable_through) }
    }

    /// Returns whether everything is durable.
    pub(crate) fn is_done(&self) -> bool {
        !self.names && self.ranges.is_empty()
    }

    /// Makes everything durable: the names, then the contents. The kernel may treat their pages as clean although a
    /// sync of an earlier process failed, so the same bytes are written once more.
    pub(crate) fn run<S: Storage>(
        &mut self,
        storage: &mut S,
        segments: &Segments<S::File>,
    ) -> Result<(), DiskError> {
        if self.names {
            storage.sync_folder().map_err(|error| DiskError::of_sync(&error))?;
            self.names = false;
        }
        while let Some(UnsyncedRange { segment, range }) = self.ranges.last() {
            let file = segments.file(*segment).map_err(|error| DiskError::of_write(&error))?;
            rewrite(storage, file, range.clone()).map_err(|error| DiskError::of_write(&error))?;
            storage.sync(file).map_err(|error| DiskError::of_sync(&error))?;
            self.ranges.pop();
        }
        Ok(())
    }
}

/// Returns the parts of the files whose state on disk may differ from what was read. This includes files without
/// records: after a loss of power their header may be replaced by an older one, of records written elsewhere since.
fn unsynced_ranges<F>(found: &[ScannedSegment<F>], durable_through: Position) -> Vec<UnsyncedRange> {
    let unsynced = |(id, found): (usize, &ScannedSegment<F>)| {
        let range = match found.last_position {
            0 => 0..found.bytes.min(FILE_HEADER_BYTES),
            last if last > durable_through => found.synced..found.end,
            _ => return None,
        };
        Some(UnsyncedRange { segment: SegmentId(id), range })
    };
    found.iter().enumerate().filter_map(unsynced).collect()
}

/// Overwrites a part of a file with its own contents.
fn rewrite<S: Storage>(storage: &mut S, file: &S::File, range: Range<u64>) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut offset = range.start;
    while offset < range.end {
        let wanted = buffer.len().min(usize::try_from(range.end - offset).unwrap_or(usize::MAX));
        let count = storage.read_at(file, &mut buffer[..wanted], offset)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        storage.write_at(file, &buffer[..count], offset)?;
        offset += count as u64;
    }
    Ok(())
}
