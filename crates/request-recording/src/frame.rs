//! Frames: `length (2 bytes), CRC-32C of the record (4 bytes), record`, little-endian.

/// Appends a record as a frame. Returns `false`, and appends nothing, if the record is empty or longer than 65,535 bytes.
pub fn write(record: &[u8], out: &mut Vec<u8>) -> bool {
    let Ok(length) = u16::try_from(record.len()) else { return false };
    if length == 0 {
        return false;
    }
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&crc32c::crc32c(record).to_le_bytes());
    out.extend_from_slice(record);
    true
}

/// Returns the record of the first frame and the bytes after it, or `None` if the frame is torn or corrupt.
pub fn split_first(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let (record, rest) = rest.split_at_checked(usize::from(u16::from_le_bytes(*length)))?;
    (crc32c::crc32c(record) == u32::from_le_bytes(*checksum)).then_some((record, rest))
}
