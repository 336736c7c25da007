//! Checkpoints: the index entries of a sealed segment, in a separate file, so that recovery reads no values (Bitcask's
//! hint files: Sheehy and Smith 2010).

use std::io;

use crate::disk::{Disk, read_whole};
use crate::record::RecordKind;
use crate::segment::{RecordLocation, SegmentHeader};

const MAGIC: [u8; 8] = *b"OVLOGIDX";
/// A checkpoint may be longer than its segment if values are short. This factor and a constant limit its length.
const MAX_LENGTH_FACTOR: u64 = 2;
const MAX_LENGTH_MARGIN: u64 = 4096;

/// Returns the file name of a segment's checkpoint.
pub(crate) fn file_name(segment: u64) -> String {
    format!("{segment:016x}.idx")
}

/// A record as stored in the index, without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct IndexedRecord {
    pub kind: RecordKind,
    pub keyspace: u16,
    pub sequence: u64,
    pub location: RecordLocation,
    pub key: Vec<u8>,
}

/// The index records of a segment. A checkpoint is optional: if it is missing or damaged, the segment itself is read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checkpoint {
    pub records: Vec<IndexedRecord>,
}

impl Checkpoint {
    /// Writes the checkpoint of a segment that was sealed at `length`. The file is not synced: losing it only makes the
    /// next recovery slower.
    pub fn write(&self, disk: &dyn Disk, header: &SegmentHeader, length: u64) -> io::Result<()> {
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&header.encode());
        out.extend_from_slice(&length.to_le_bytes());
        for record in &self.records {
            out.push(u8::from(record.kind == RecordKind::Delete));
            out.extend_from_slice(&record.keyspace.to_le_bytes());
            out.extend_from_slice(&record.sequence.to_le_bytes());
            out.extend_from_slice(&record.location.offset.to_le_bytes());
            out.extend_from_slice(&record.location.length.to_le_bytes());
            out.extend_from_slice(&(record.key.len() as u32).to_le_bytes());
            out.extend_from_slice(&record.key);
        }
        let checksum = crc32c::crc32c(&out);
        out.extend_from_slice(&checksum.to_le_bytes());
        disk.create(&file_name(header.number))?.write_at(0, &out)
    }

    /// Reads the checkpoint of a segment. Returns `None` unless it is valid and of this segment, sealed at this length.
    pub fn read(disk: &dyn Disk, header: &SegmentHeader, length: u64) -> Option<Checkpoint> {
        let file = disk.open(&file_name(header.number)).ok()?;
        let max_length = length.saturating_mul(MAX_LENGTH_FACTOR) + MAX_LENGTH_MARGIN;
        let bytes = read_whole(&*file, max_length).ok()?;
        let (body, checksum) = bytes.split_last_chunk::<4>()?;
        if crc32c::crc32c(body) != u32::from_le_bytes(*checksum) {
            return None;
        }
        let rest = body.strip_prefix(&MAGIC)?.strip_prefix(&header.encode())?;
        let mut rest = rest.strip_prefix(&length.to_le_bytes())?;
        let mut records = Vec::new();
        while !rest.is_empty() {
            let (record, after) = read_record(rest)?;
            records.push(record);
            rest = after;
        }
        Some(Checkpoint { records })
    }
}

/// Decodes the first record and returns it with the remaining bytes.
fn read_record(bytes: &[u8]) -> Option<(IndexedRecord, &[u8])> {
    let (kind, rest) = bytes.split_first()?;
    let (keyspace, rest) = rest.split_first_chunk::<2>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (offset, rest) = rest.split_first_chunk::<8>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (key_length, rest) = rest.split_first_chunk::<4>()?;
    let (key, rest) = rest.split_at_checked(u32::from_le_bytes(*key_length) as usize)?;
    let record = IndexedRecord {
        kind: if *kind == 1 { RecordKind::Delete } else { RecordKind::Put },
        keyspace: u16::from_le_bytes(*keyspace),
        sequence: u64::from_le_bytes(*sequence),
        location: RecordLocation { offset: u64::from_le_bytes(*offset), length: u32::from_le_bytes(*length) },
        key: key.to_vec(),
    };
    Some((record, rest))
}
