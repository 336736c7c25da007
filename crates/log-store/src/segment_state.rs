//! The segments of an open store: the sealed ones, and the active one.

use std::sync::Arc;

use crate::checkpoint::IndexedRecord;
use crate::segment::{SEGMENT_HEADER_BYTES, Segment};

/// A segment that is no longer appended to.
pub(crate) struct SealedSegment {
    pub segment: Arc<Segment>,
    pub length: u64,
    /// The sequence number after the last record.
    pub next_sequence: u64,
    /// When the segment was sealed, in nanoseconds of the owner's clock.
    pub sealed_at_ns: i64,
    /// The segment could not be read, so it is never part of a merge.
    pub is_corrupt: bool,
}

/// How much of the active segment is durable.
#[derive(Clone, Copy)]
pub(crate) struct SyncedPart {
    pub length: u64,
    /// The sequence number after the last durable record.
    pub next_sequence: u64,
    /// The number of durable records.
    pub records: usize,
}

/// The segment that records are appended to.
pub(crate) struct ActiveSegment {
    pub segment: Arc<Segment>,
    /// Checksum of the last record, or of the header.
    pub checksum: u32,
    pub length: u64,
    pub records: Vec<IndexedRecord>,
    pub synced: SyncedPart,
}

impl ActiveSegment {
    /// Creates the state of a segment without records. `checksum` is that of its header, `next_sequence` the sequence
    /// number of its first record.
    pub fn empty(segment: Segment, checksum: u32, next_sequence: u64) -> ActiveSegment {
        let length = SEGMENT_HEADER_BYTES as u64;
        ActiveSegment {
            segment: Arc::new(segment),
            checksum,
            length,
            records: Vec::new(),
            synced: SyncedPart { length, next_sequence, records: 0 },
        }
    }

    /// Returns whether any record has been appended.
    pub fn has_records(&self) -> bool {
        self.length > SEGMENT_HEADER_BYTES as u64
    }
}
