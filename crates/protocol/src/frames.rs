//! Frames: messages with a length prefix, on connections between processes of the system.

use derive_more::{Display, Error};
use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};

/// Size of the length prefix in bytes; the length is in little-endian order.
const LENGTH_BYTES: usize = 4;
/// The maximum size of an encoded message in bytes: a job document with the largest body, and space for its envelope.
pub const MAX_FRAME_BYTES: usize = 48 << 20;

/// The reason why a frame cannot be read. The connection must be dropped, because the start of the next frame is
/// unknown.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Display, Error)]
pub enum FrameError {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`].
    #[display("frame of {bytes} bytes, {MAX_FRAME_BYTES} at most: drop the connection")]
    TooLarge {
        /// The value of the length prefix in bytes.
        bytes: usize,
    },
    /// The bytes are not a message of the expected type.
    #[display("a message cannot be decoded: drop the connection; both ends must run the same version")]
    Malformed,
}

/// Appends `message` as a frame.
pub fn write_frame<T: Encode<Binary>>(out: &mut Vec<u8>, message: &T) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    encode_into(out, message);
    let length = (out.len() - start - LENGTH_BYTES) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// Reads the first frame of `bytes`. Returns its message and its size in bytes, `None` if the frame is incomplete.
///
/// # Errors
///
/// Returns an error if the frame is too large or its message is malformed; the connection must be dropped then.
pub fn read_frame<T: for<'de> Decode<'de, Binary, Global>>(
    bytes: &[u8],
) -> Result<Option<(T, usize)>, FrameError> {
    let Some(head) = bytes.get(..LENGTH_BYTES) else { return Ok(None) };
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { bytes: length });
    }
    let Some(body) = bytes.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
    let message = decode(body).ok_or(FrameError::Malformed)?;
    Ok(Some((message, LENGTH_BYTES + length)))
}

/// Encodes a value as in a frame; also used for records on disk and changes in the feed.
pub fn encode<T: Encode<Binary>>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    encode_into(&mut out, value);
    out
}

fn encode_into<T: Encode<Binary>>(out: &mut Vec<u8>, value: &T) {
    // Writing to a vector cannot fail, and no message type has an encoding that fails.
    if let Err(error) = musli::storage::encode(out, value) {
        log::error!("frames: a message cannot be encoded: {error}");
    }
}

/// Decodes the output of [`encode`]. Returns `None` if `bytes` are malformed or longer than the value.
pub fn decode<T: for<'de> Decode<'de, Binary, Global>>(bytes: &[u8]) -> Option<T> {
    musli::storage::from_slice(bytes).ok()
}
