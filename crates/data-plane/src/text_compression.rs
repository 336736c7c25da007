//! Compression of texts for the transfer between gateways and store nodes, as texts cross zones and are stored in
//! several copies.
//!
//! Generated texts have few repeated strings but a small alphabet, so Huffman coding alone achieves nearly all of the
//! possible compression at little CPU cost. Store nodes keep a compressed text as received. A compressed text is a byte
//! for the coding, followed by either the text itself or a raw DEFLATE stream (RFC 1951).

use miniz_oxide::deflate::core::{
    CompressorOxide, TDEFLFlush, TDEFLStatus, compress_to_output, create_comp_flags_from_zip_params,
};
use miniz_oxide::inflate::decompress_to_vec_with_limit;

/// Texts shorter than this are not compressed, as the Huffman table would outweigh the gain.
const MIN_COMPRESSED_BYTES: usize = 192;
/// The maximum length of a decompressed text, in bytes.
const MAX_BYTES: usize = 64 << 20;
/// The first byte of an uncompressed text.
const PLAIN: u8 = 0;
/// The first byte of a DEFLATE-compressed text.
const DEFLATED: u8 = 1;
/// Parameters of the compressor: raw stream, Huffman coding only, no search for repeated strings.
const LEVEL: i32 = 1;
const RAW_STREAM: i32 = 0;
const HUFFMAN_ONLY: i32 = 2;

/// Compresses texts for store nodes. As its working memory is large, a gateway has a single compressor.
pub struct TextCompressor {
    compressor: Box<CompressorOxide>,
}

impl Default for TextCompressor {
    fn default() -> TextCompressor {
        let flags = create_comp_flags_from_zip_params(LEVEL, RAW_STREAM, HUFFMAN_ONLY);
        TextCompressor { compressor: Box::new(CompressorOxide::new(flags)) }
    }
}

impl TextCompressor {
    /// Compresses a text.
    pub fn compress(&mut self, text: &[u8]) -> Vec<u8> {
        if text.len() >= MIN_COMPRESSED_BYTES
            && let Some(compressed) = self.deflate(text)
            && compressed.len() <= text.len()
        {
            return compressed;
        }
        let mut plain = Vec::with_capacity(text.len() + 1);
        plain.push(PLAIN);
        plain.extend_from_slice(text);
        plain
    }

    fn deflate(&mut self, text: &[u8]) -> Option<Vec<u8>> {
        let mut compressed = Vec::with_capacity(text.len() * 3 / 4);
        compressed.push(DEFLATED);
        self.compressor.reset();
        let (status, _) = compress_to_output(&mut self.compressor, text, TDEFLFlush::Finish, |chunk| {
            compressed.extend_from_slice(chunk);
            true
        });
        (status == TDEFLStatus::Done).then_some(compressed)
    }
}

/// Reverses [`TextCompressor::compress`]. Returns `None` if the bytes are corrupted. Zero bytes are an empty text, as
/// an outcome without a text has none.
pub fn decompress(compressed: &[u8]) -> Option<Vec<u8>> {
    if compressed.is_empty() {
        return Some(Vec::new());
    }
    match compressed.split_first()? {
        (&PLAIN, text) => Some(text.to_vec()),
        (&DEFLATED, stream) => decompress_to_vec_with_limit(stream, MAX_BYTES).ok(),
        _ => None,
    }
}
