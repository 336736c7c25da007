//! Recordings of the queries that a front node received, in a few bytes each, for replaying them with the original
//! timing. A recording holds no texts and no ids: only the arrival time, the service class and tenant, the shards, the
//! expected work, and whether the query was a retry of the client.
//!
//! A recording is the magic bytes and then frames, first one of the header and then one of each arrival:
//! `length (2 bytes), CRC-32C of the record (4 bytes), record`, little-endian, with records in postcard encoding. It may
//! end anywhere: everything before the first torn or corrupt frame is valid.
//!
//! ```
//! use orchidvalve_request_recording::{Arrival, Header, read, write_arrival, write_header};
//!
//! let header =
//!     Header { node: "n1".into(), started_unix_ms: 1_700_000_000_000, classes: vec!["look".into()], tenants: vec![] };
//! let arrival =
//!     Arrival { gap_us: 1500, class: 0, tenant: None, is_retry: false, expected_work_us: 0, shards: vec![0, 3] };
//! let mut bytes = Vec::new();
//! write_header(&header, &mut bytes);
//! write_arrival(&arrival, &mut bytes);
//! let recording = read(&bytes).unwrap();
//! assert_eq!((recording.header, recording.arrivals, recording.torn_bytes), (header, vec![arrival], 0));
//! ```

mod frame;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The first bytes of a recording: a magic string and the version of the format.
const MAGIC: [u8; 5] = *b"OVRC\x01";

/// The origin of a recording, and the names that its arrivals refer to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name of the front node.
    pub node: String,
    /// The start of the recording, in milliseconds since the Unix epoch.
    pub started_unix_ms: i64,
    /// The names of the service classes; arrivals refer to them by position.
    pub classes: Vec<String>,
    /// The names of the tenants; arrivals refer to them by position.
    pub tenants: Vec<String>,
}

/// The arrival of one query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The time since the previous arrival, or since the start of the recording, in microseconds.
    pub gap_us: u64,
    /// The position of the service class in the header.
    pub class: u32,
    /// The position of the tenant in the header, or `None` for a query without a tenant.
    pub tenant: Option<u32>,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// The work that the client expected, in microseconds; 0 if the client did not say.
    pub expected_work_us: u64,
    /// The shards that the query goes to.
    pub shards: Vec<u32>,
}

/// A decoded recording.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recording {
    /// The header of the recording.
    pub header: Header,
    /// The arrivals, in the order of their recording.
    pub arrivals: Vec<Arrival>,
    /// The number of bytes after the last valid record: the node stopped in the middle of a write, or the disk corrupted
    /// them.
    pub torn_bytes: usize,
}

/// The reason why bytes cannot be read as a recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum ReadError {
    /// The bytes do not begin with the magic bytes of a recording.
    #[display("no recording: the magic bytes are missing")]
    NoMagic,
    /// The header's frame is torn or corrupt.
    #[display("no recording: the header is torn or corrupt")]
    TornHeader,
    /// The header's frame is intact, but its record cannot be decoded.
    #[display("no recording: the header cannot be decoded")]
    UnknownHeader,
}

/// Appends the magic bytes and the header. The names of classes and tenants are left out if they exceed the 64 KiB of one
/// frame, which only happens by mistake; the recording then still has its arrivals.
pub fn write_header(header: &Header, out: &mut Vec<u8>) {
    out.extend_from_slice(&MAGIC);
    if !frame::write(&encode(header), out) {
        let unnamed = Header { classes: Vec::new(), tenants: Vec::new(), ..header.clone() };
        frame::write(&encode(&unnamed), out);
    }
}

/// Appends an arrival. Returns `false`, and appends nothing, if its shards exceed one frame.
pub fn write_arrival(arrival: &Arrival, out: &mut Vec<u8>) -> bool {
    frame::write(&encode(arrival), out)
}

/// Encodes a record. Postcard cannot fail for the types of this crate; a failure would yield an empty record.
fn encode(record: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_default()
}

/// Decodes all valid records from the beginning of a recording.
///
/// # Errors
///
/// Returns an error if the magic bytes are missing or the header cannot be read.
pub fn read(bytes: &[u8]) -> Result<Recording, ReadError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(ReadError::NoMagic)?;
    let (header, mut rest) = frame::split_first(rest).ok_or(ReadError::TornHeader)?;
    let header: Header = postcard::from_bytes(header).map_err(|_| ReadError::UnknownHeader)?;
    let mut arrivals = Vec::new();
    while let Some((record, after)) = frame::split_first(rest) {
        let Ok(arrival) = postcard::from_bytes::<Arrival>(record) else { break };
        arrivals.push(arrival);
        rest = after;
    }
    Ok(Recording { header, arrivals, torn_bytes: rest.len() })
}
