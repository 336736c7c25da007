//! Segments: files of records in the order of their sequence numbers. Every read is verified by checksums.

#[cfg(test)]
mod tests;

use std::io;
use std::sync::Arc;

use crate::disk::{Disk, DiskFile};
use crate::record::{
    self, CHECKSUM_BYTES, MAX_KEY_AND_VALUE_BYTES, ParsedRecord, RECORD_HEADER_BYTES, Record, RecordKind,
    u32_at, u64_at,
};

/// The format version of all files of the store. Later versions are rejected because their meaning is unknown.
pub(crate) const FORMAT_VERSION: u32 = 1;
const MAGIC: [u8; 8] = *b"OVLOGSEG";
/// Size of a segment's header, in bytes.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 64;

/// Offset of the checksum of a segment's header.
const HEADER_CHECKSUM_OFFSET: usize = 60;

/// The header of a segment: magic (8 bytes), version (4), whether it is merged (4), identity of the store (16), the
/// segment's number (8), the first sequence number and, in a merged segment, the last one (8 each), padding (4),
/// checksum (4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentHeader {
    /// Identity of the store that the segment belongs to.
    pub identity: [u8; 16],
    /// Number of the segment, never reused within the store.
    pub number: u64,
    /// Sequence number of the first record.
    pub first: u64,
    /// In a merged segment, which is valid only as a whole: the last sequence number that it covers.
    pub merged_through: Option<u64>,
}

impl SegmentHeader {
    /// Returns whether the segment is the result of a merge.
    pub fn is_merged(&self) -> bool {
        self.merged_through.is_some()
    }

    /// Encodes the header.
    pub fn encode(&self) -> [u8; SEGMENT_HEADER_BYTES] {
        let mut out = [0; SEGMENT_HEADER_BYTES];
        out[..8].copy_from_slice(&MAGIC);
        out[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        out[12..16].copy_from_slice(&u32::from(self.is_merged()).to_le_bytes());
        out[16..32].copy_from_slice(&self.identity);
        out[32..40].copy_from_slice(&self.number.to_le_bytes());
        out[40..48].copy_from_slice(&self.first.to_le_bytes());
        out[48..56].copy_from_slice(&self.merged_through.unwrap_or(0).to_le_bytes());
        let checksum = crc32c::crc32c(&out[..HEADER_CHECKSUM_OFFSET]);
        out[HEADER_CHECKSUM_OFFSET..].copy_from_slice(&checksum.to_le_bytes());
        out
    }

    /// Decodes the header at the start of `bytes`. Returns `None` if it is not valid.
    pub fn read(bytes: &[u8]) -> Option<ChecksummedHeader> {
        let bytes = bytes.get(..SEGMENT_HEADER_BYTES)?;
        let checksum = u32_at(bytes, HEADER_CHECKSUM_OFFSET);
        let is_valid = bytes[..8] == MAGIC
            && crc32c::crc32c(&bytes[..HEADER_CHECKSUM_OFFSET]) == checksum
            && u32_at(bytes, 8) == FORMAT_VERSION;
        if !is_valid {
            return None;
        }
        let mut identity = [0; 16];
        identity.copy_from_slice(&bytes[16..32]);
        let merged_through = (u32_at(bytes, 12) == 1).then(|| u64_at(bytes, 48));
        let (number, first) = (u64_at(bytes, 32), u64_at(bytes, 40));
        Some(ChecksummedHeader {
            header: SegmentHeader { identity, number, first, merged_through },
            checksum,
        })
    }

    /// Reads the header of a file.
    pub fn read_from(file: &dyn DiskFile) -> io::Result<Option<SegmentHeader>> {
        let mut bytes = [0; SEGMENT_HEADER_BYTES];
        let length = file.read_at(0, &mut bytes)?;
        Ok(SegmentHeader::read(&bytes[..length]).map(|found| found.header))
    }
}

/// A decoded header with its checksum.
pub(crate) struct ChecksummedHeader {
    pub header: SegmentHeader,
    /// Checksum of the header, which seeds the checksum of the first record.
    pub checksum: u32,
}

/// A segment and its open file. It stays readable while it is referenced, even after the store has removed the file.
pub(crate) struct Segment {
    pub header: SegmentHeader,
    pub file: Arc<dyn DiskFile>,
}

impl std::fmt::Debug for Segment {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Segment({:016x})", self.header.number)
    }
}

/// Returns the file name of a segment.
pub(crate) fn file_name(number: u64) -> String {
    format!("{number:016x}.seg")
}

/// Returns the segment number in a file name, or `None` if it is not the name of a segment.
pub(crate) fn number_of(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_suffix(".seg").filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16).ok()
}

/// Creates a segment with its header and returns it with the header's checksum. Nothing is durable yet.
pub(crate) fn create(disk: &dyn Disk, header: SegmentHeader) -> io::Result<(Segment, u32)> {
    let file = disk.create(&file_name(header.number))?;
    let bytes = header.encode();
    file.write_at(0, &bytes)?;
    let checksum = SegmentHeader::read(&bytes).map_or(0, |found| found.checksum);
    Ok((Segment { header, file }, checksum))
}

/// Location of a record in its segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Offset of the first byte of the record.
    pub offset: u64,
    /// Size of the encoded record in bytes.
    pub length: u32,
}

/// Result of scanning a segment from its start.
#[derive(Clone, Debug)]
pub(crate) struct Scan {
    /// Bytes up to the end of the last complete batch.
    pub length: u64,
    /// Checksum of the last record of that batch, or of the header.
    pub checksum: u32,
    /// The sequence number after the last one read.
    pub next_sequence: u64,
    /// Number of records read.
    pub records: u64,
    /// Whether the file continues after `length`.
    pub has_tail: bool,
    /// Whether the rest of the file contains a valid record. If so, it is not a torn tail but damage before that
    /// record.
    pub has_records_in_tail: bool,
}

/// Scans the complete batches from the start of a segment, limited to the first `max_bytes` bytes of the file and to
/// sequence numbers below `before`. Returns `None` if the header in the file is not that of this segment.
pub(crate) fn scan(
    segment: &Segment,
    max_bytes: Option<u64>,
    before: u64,
    mut each: impl FnMut(RecordLocation, &Record),
) -> io::Result<Option<Scan>> {
    let length = segment.file.length()?;
    let max_bytes = max_bytes.unwrap_or(length).min(length);
    let mut bytes = vec![0; max_bytes as usize];
    let read = segment.file.read_at(0, &mut bytes)?;
    bytes.truncate(read);
    let found = SegmentHeader::read(&bytes).filter(|found| found.header == segment.header);
    let Some(ChecksummedHeader { header, checksum: header_checksum }) = found else { return Ok(None) };
    let mut offset = SEGMENT_HEADER_BYTES;
    let (mut checksum, mut next_sequence, mut records) = (header_checksum, header.first, 0);
    let mut scan = Scan {
        length: offset as u64,
        checksum,
        next_sequence,
        records,
        has_tail: false,
        has_records_in_tail: false,
    };
    let mut batch: Vec<(RecordLocation, Record)> = Vec::new();
    while let Ok(ParsedRecord { record, length, checksum: own }) = record::read(&bytes[offset..], checksum) {
        // A merged segment has gaps in its sequence numbers; in other segments they are consecutive.
        let is_ordered = if header.is_merged() {
            record.sequence >= next_sequence
        } else {
            record.sequence == next_sequence
        };
        let expected = batch.last().map(|(_, last)| last.remaining_in_batch);
        let is_in_batch = expected.is_none_or(|remaining| record.remaining_in_batch + 1 == remaining);
        if !is_ordered || !is_in_batch || record.sequence >= before {
            break;
        }
        batch.push((RecordLocation { offset: offset as u64, length: length as u32 }, record));
        offset += length;
        (checksum, next_sequence, records) = (own, record.sequence + 1, records + 1);
        if record.remaining_in_batch == 0 {
            batch.drain(..).for_each(|(location, record)| each(location, &record));
            scan.length = offset as u64;
            (scan.checksum, scan.next_sequence, scan.records) = (checksum, next_sequence, records);
        }
    }
    let tail = &bytes[scan.length as usize..];
    scan.has_tail = !tail.is_empty();
    scan.has_records_in_tail = has_record(tail);
    Ok(Some(scan))
}

/// Returns whether the bytes contain a complete record. It is recognized by its checksum, which is seeded with the four
/// bytes before the record.
fn has_record(bytes: &[u8]) -> bool {
    (1..bytes.len().saturating_sub(4)).any(|offset| record_behind(bytes, offset).is_some())
}

/// A record found by searching a buffer.
pub(crate) struct FoundRecord<'a> {
    pub record: Record<'a>,
    /// Offset of the first byte after the record.
    pub end: usize,
}

/// Reads the record after the previous checksum at `offset`.
pub(crate) fn record_behind(bytes: &[u8], offset: usize) -> Option<FoundRecord<'_>> {
    let (checksum, rest) = bytes.get(offset..)?.split_first_chunk::<CHECKSUM_BYTES>()?;
    let parsed = record::read(rest, u32::from_le_bytes(*checksum)).ok()?;
    Some(FoundRecord { record: parsed.record, end: offset + CHECKSUM_BYTES + parsed.length })
}

/// A record read from a file.
pub(crate) struct StoredRecord {
    pub kind: RecordKind,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub sequence: u64,
}

/// Reads the record at a location. Returns `None` if its bytes are not a valid record.
pub(crate) fn read_at(segment: &Segment, location: RecordLocation) -> io::Result<Option<StoredRecord>> {
    let max_length = MAX_KEY_AND_VALUE_BYTES + RECORD_HEADER_BYTES + CHECKSUM_BYTES;
    if location.offset < SEGMENT_HEADER_BYTES as u64 || location.length as usize > max_length {
        return Ok(None);
    }
    let mut bytes = vec![0; location.length as usize + CHECKSUM_BYTES];
    let read = segment.file.read_at(location.offset - CHECKSUM_BYTES as u64, &mut bytes)?;
    let Some(FoundRecord { record, .. }) = record_behind(&bytes[..read], 0) else { return Ok(None) };
    let (key, value) = (record.key.to_vec(), record.value.to_vec());
    Ok(Some(StoredRecord { kind: record.kind, key, value, sequence: record.sequence }))
}
