//! Encoding of payloads as a single byte string.

use std::rc::Rc;

use musli::de::DecodeBytes;
use musli::{Allocator, Decoder, Encoder};

/// Encodes a payload as one byte string.
pub fn encode<E: Encoder>(payload: &Rc<[u8]>, encoder: E) -> Result<(), E::Error> {
    encoder.encode_bytes(payload)
}

/// Decodes a payload.
pub fn decode<'de, D, A>(decoder: D) -> Result<Rc<[u8]>, D::Error>
where
    D: Decoder<'de, Allocator = A>,
    A: Allocator,
{
    <Rc<[u8]> as DecodeBytes<'de, D::Mode, A>>::decode_bytes(decoder)
}
