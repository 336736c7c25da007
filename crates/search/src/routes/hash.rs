//! The hash that maps routing values to shards.

use std::io::Cursor;

/// Murmur3 (Appleby 2011) over the little-endian UTF-16 of the text, as OpenSearch hashes routing values.
///
/// ```
/// use orchidvalve_search::routes::hash;
///
/// assert_eq!(hash("hello") as u32, 0xd7c3_1989);
/// assert_eq!(hash("The quick brown fox jumps over the lazy dog") as u32, 0xe07d_b09c);
/// ```
pub fn hash(routing: &str) -> i32 {
    let bytes: Vec<u8> = routing.encode_utf16().flat_map(u16::to_le_bytes).collect();
    murmur3::murmur3_32(&mut Cursor::new(bytes), 0).unwrap_or(0) as i32
}
