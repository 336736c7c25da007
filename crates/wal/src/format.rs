//! Format of a ring file: a header block, then consecutive fragments of records.
//!
//! A record is one fragment, or several if it crosses the end of a file. All numbers are little-endian.
//! The checksum of a fragment is seeded with the salt of the file's current use, so bytes left from an earlier use are
//! not valid. A fragment of position 0 is a sync marker. It precedes the fragments that one sync covers: the file is
//! synced up to the marker. It contains the salt of the fragments after it, which changes after each start of the
//! process.

use crc32fast::Hasher;

/// Log sequence number of a record: from 1, increasing by one.
pub type Position = u64;

/// Size in bytes of the block at the start of a file that contains its header.
pub const FILE_HEADER_BYTES: u64 = 4096;
/// Size in bytes of the header that precedes the payload of a fragment.
pub const FRAGMENT_HEADER_BYTES: usize = 24;
/// A file with fewer free bytes than this counts as full.
pub const MIN_FREE_BYTES: u64 = FRAGMENT_HEADER_BYTES as u64 + 104;
/// The smallest supported file size in bytes.
pub const MIN_FILE_BYTES: u64 = FILE_HEADER_BYTES + 4 * MIN_FREE_BYTES;
/// Position of a sync marker; records start at 1.
pub const SYNC_MARKER_POSITION: Position = 0;

const MAGIC: &[u8; 8] = b"ORCHRNG1";
const ENCODED_HEADER_BYTES: usize = 40;
const ENCODED_SYNC_MARKER_BYTES: usize = 12;

/// Header of a file, written and synced before each use of the file begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FileHeader {
    /// Number of this use of the file; increases across all files of the ring.
    pub generation: u64,
    /// Salt of the checksums during this use.
    pub salt: u32,
    /// Position through which records were durable when the header was written.
    pub durable_through: Position,
    /// Position below which records were no longer needed when the header was written.
    pub released_before: Position,
}

impl FileHeader {
    /// Encodes the header.
    pub fn encode(&self) -> [u8; ENCODED_HEADER_BYTES] {
        let mut bytes = [0; ENCODED_HEADER_BYTES];
        bytes[0..8].copy_from_slice(MAGIC);
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.durable_through.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.released_before.to_le_bytes());
        bytes[32..36].copy_from_slice(&self.salt.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..36]);
        bytes[36..40].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a header; returns `None` if the bytes contain no valid one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..ENCODED_HEADER_BYTES)?;
        if &bytes[0..8] != MAGIC || crc32fast::hash(&bytes[..36]) != read_u32(bytes, 36) {
            return None;
        }
        Some(Self {
            generation: read_u64(bytes, 8),
            durable_through: read_u64(bytes, 16),
            released_before: read_u64(bytes, 24),
            salt: read_u32(bytes, 32),
        })
    }
}

/// Header of a fragment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FragmentHeader {
    /// Checksum of the salt, the other fields and the payload.
    pub checksum: u32,
    /// Number of payload bytes in this fragment.
    pub length: u32,
    /// Position of the record.
    pub position: Position,
    /// Offset in the record at which this fragment begins.
    pub offset: u32,
    /// Total size of the record in bytes.
    pub total: u32,
}

impl FragmentHeader {
    /// Creates the header of a fragment with this payload.
    pub fn new(salt: u32, position: Position, offset: u32, total: u32, payload: &[u8]) -> Self {
        let length = payload.len() as u32;
        let mut header = Self { checksum: 0, length, position, offset, total };
        header.checksum = header.compute_checksum(salt, payload);
        header
    }

    /// Encodes the header.
    pub fn encode(&self) -> [u8; FRAGMENT_HEADER_BYTES] {
        let mut bytes = [0; FRAGMENT_HEADER_BYTES];
        bytes[0..4].copy_from_slice(&self.checksum.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.length.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.position.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.offset.to_le_bytes());
        bytes[20..24].copy_from_slice(&self.total.to_le_bytes());
        bytes
    }

    /// Decodes the fields without validation; see [`Self::is_valid`].
    pub fn decode(bytes: &[u8; FRAGMENT_HEADER_BYTES]) -> Self {
        Self {
            checksum: read_u32(bytes, 0),
            length: read_u32(bytes, 4),
            position: read_u64(bytes, 8),
            offset: read_u32(bytes, 16),
            total: read_u32(bytes, 20),
        }
    }

    /// Returns whether the lengths are consistent, before the payload is read.
    pub fn is_plausible(&self) -> bool {
        let ends = self.offset.checked_add(self.length).is_some_and(|end| end <= self.total);
        ends && (self.position != SYNC_MARKER_POSITION || self.length as usize == ENCODED_SYNC_MARKER_BYTES)
    }

    /// Returns whether the checksum matches the payload and the salt.
    pub fn is_valid(&self, salt: u32, payload: &[u8]) -> bool {
        self.length as usize == payload.len() && self.checksum == self.compute_checksum(salt, payload)
    }

    fn compute_checksum(&self, salt: u32, payload: &[u8]) -> u32 {
        let mut hasher = Hasher::new();
        hasher.update(&salt.to_le_bytes());
        hasher.update(&self.encode()[4..]);
        hasher.update(payload);
        hasher.finalize()
    }
}

/// The payload of a sync marker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncMarker {
    /// Salt of the fragments after the marker.
    pub salt: u32,
    /// Position through which records were durable when the marker was written.
    pub durable_through: Position,
}

impl SyncMarker {
    /// Appends the marker as a fragment; `checked_with` is the salt of the fragments before it.
    pub fn encode(&self, checked_with: u32, out: &mut Vec<u8>) {
        let mut payload = [0; ENCODED_SYNC_MARKER_BYTES];
        payload[..8].copy_from_slice(&self.durable_through.to_le_bytes());
        payload[8..].copy_from_slice(&self.salt.to_le_bytes());
        let header =
            FragmentHeader::new(checked_with, SYNC_MARKER_POSITION, 0, payload.len() as u32, &payload);
        out.extend_from_slice(&header.encode());
        out.extend_from_slice(&payload);
    }

    /// Decodes the payload of a marker; returns `None` if its length is wrong.
    pub fn decode(payload: &[u8]) -> Option<Self> {
        (payload.len() == ENCODED_SYNC_MARKER_BYTES)
            .then(|| Self { durable_through: read_u64(payload, 0), salt: read_u32(payload, 8) })
    }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut field = [0; 4];
    field.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(field)
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    let mut field = [0; 8];
    field.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(field)
}
