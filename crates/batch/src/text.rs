//! Encoding of [`CompactString`] in messages between the system's own processes.

use compact_str::CompactString;
use musli::{Decoder, Encoder};

/// Encodes the text as a string.
///
/// # Errors
///
/// Returns an error if the encoder fails.
pub fn encode<E>(text: &CompactString, encoder: E) -> Result<(), E::Error>
where
    E: Encoder,
{
    encoder.encode_string(text.as_str())
}

/// Decodes a string. Short texts need no allocation.
///
/// # Errors
///
/// Returns an error if the input is not a string.
pub fn decode<'de, D>(decoder: D) -> Result<CompactString, D::Error>
where
    D: Decoder<'de>,
{
    decoder.decode_unsized(|text: &str| Ok(CompactString::from(text)))
}
