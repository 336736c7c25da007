//! Encoding of records.
//!
//! Layout of a record: length of key and value (4 bytes, little-endian), remaining records of its batch (4), kind (1),
//! keyspace (2), length of the key (4), sequence number (8), key, value, checksum (4). The checksum is crc32c over all
//! preceding bytes of the record, seeded with the four bytes before the record, which are the checksum of the previous
//! record or of the segment header. So a stale record in a reused disk block is never accepted as a new one, and
//! records after a damaged region can still be recognized.

#[cfg(test)]
mod tests;

/// What a record does to its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Sets the value of the key.
    Put,
    /// Deletes the key: a tombstone.
    Delete,
}

impl RecordKind {
    const PUT_BYTE: u8 = 1;
    const DELETE_BYTE: u8 = 2;

    fn byte(self) -> u8 {
        match self {
            RecordKind::Put => RecordKind::PUT_BYTE,
            RecordKind::Delete => RecordKind::DELETE_BYTE,
        }
    }

    fn from_byte(byte: u8) -> Option<RecordKind> {
        match byte {
            RecordKind::PUT_BYTE => Some(RecordKind::Put),
            RecordKind::DELETE_BYTE => Some(RecordKind::Delete),
            _ => None,
        }
    }
}

/// Size of a record before its key, in bytes.
pub(crate) const RECORD_HEADER_BYTES: usize = 23;
/// Size of a record's checksum, in bytes.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// The maximum length of key and value together, in bytes. A greater length is treated as damage before any allocation.
pub(crate) const MAX_KEY_AND_VALUE_BYTES: usize = 16 << 20;

/// A record that borrows from a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Record<'a> {
    pub kind: RecordKind,
    pub keyspace: u16,
    pub sequence: u64,
    /// Number of records of the same batch that follow this one.
    pub remaining_in_batch: u32,
    pub key: &'a [u8],
    pub value: &'a [u8],
}

/// A decoded record with its encoded length in bytes and its checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ParsedRecord<'a> {
    pub record: Record<'a>,
    pub length: usize,
    pub checksum: u32,
}

/// Returns the encoded size of a record in bytes.
pub(crate) fn encoded_length(key_length: usize, value_length: usize) -> usize {
    RECORD_HEADER_BYTES + key_length + value_length + CHECKSUM_BYTES
}

/// Appends an encoded record to `out` and returns its checksum. `previous_checksum` is the checksum before the record.
pub(crate) fn write(out: &mut Vec<u8>, record: &Record, previous_checksum: u32) -> u32 {
    let start = out.len();
    out.extend_from_slice(&((record.key.len() + record.value.len()) as u32).to_le_bytes());
    out.extend_from_slice(&record.remaining_in_batch.to_le_bytes());
    out.push(record.kind.byte());
    out.extend_from_slice(&record.keyspace.to_le_bytes());
    out.extend_from_slice(&(record.key.len() as u32).to_le_bytes());
    out.extend_from_slice(&record.sequence.to_le_bytes());
    out.extend_from_slice(record.key);
    out.extend_from_slice(record.value);
    let checksum = crc32c::crc32c_append(previous_checksum, &out[start..]);
    out.extend_from_slice(&checksum.to_le_bytes());
    checksum
}

/// Reads a little-endian `u32` at `offset`. Returns 0 if the buffer is too short.
pub(crate) fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..offset + 4).map_or(0, |b| u32::from_le_bytes([b[0], b[1], b[2], b[3]]))
}

/// Reads a little-endian `u64` at `offset`. Bytes past the end of the buffer read as 0.
pub(crate) fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | u64::from(u32_at(bytes, offset + 4)) << 32
}

/// Why decoding a record failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordError {
    /// The buffer ends before the end of the record.
    Incomplete,
    /// The bytes are not a valid record, or not one that follows the given checksum.
    Invalid,
}

/// Decodes the record at the start of the buffer, which must follow `previous_checksum`.
pub(crate) fn read(bytes: &[u8], previous_checksum: u32) -> Result<ParsedRecord<'_>, RecordError> {
    if bytes.len() < RECORD_HEADER_BYTES {
        return Err(RecordError::Incomplete);
    }
    let (length, key_length) = (u32_at(bytes, 0) as usize, u32_at(bytes, 11) as usize);
    let kind = RecordKind::from_byte(bytes[8]).ok_or(RecordError::Invalid)?;
    let has_value = key_length != length;
    if length > MAX_KEY_AND_VALUE_BYTES || key_length > length || kind == RecordKind::Delete && has_value {
        return Err(RecordError::Invalid);
    }
    let end = RECORD_HEADER_BYTES + length;
    if bytes.len() < end + CHECKSUM_BYTES {
        return Err(RecordError::Incomplete);
    }
    let checksum = u32_at(bytes, end);
    if crc32c::crc32c_append(previous_checksum, &bytes[..end]) != checksum {
        return Err(RecordError::Invalid);
    }
    let record = Record {
        kind,
        keyspace: u16::from_le_bytes([bytes[9], bytes[10]]),
        sequence: u64_at(bytes, 15),
        remaining_in_batch: u32_at(bytes, 4),
        key: &bytes[RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + key_length],
        value: &bytes[RECORD_HEADER_BYTES + key_length..end],
    };
    Ok(ParsedRecord { record, length: end + CHECKSUM_BYTES, checksum })
}
