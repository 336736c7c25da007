//! Writes JSON strings and numbers (RFC 8259).

use std::io::Write;

/// Writes a JSON string. Invalid UTF-8 sequences are replaced by U+FFFD.
pub fn write_text(out: &mut Vec<u8>, text: &[u8]) {
    out.push(b'"');
    match std::str::from_utf8(text) {
        Ok(text) => write_escaped(out, text.as_bytes()),
        Err(_) => write_escaped(out, String::from_utf8_lossy(text).as_bytes()),
    }
    out.push(b'"');
}

fn write_escaped(out: &mut Vec<u8>, mut text: &[u8]) {
    loop {
        let plain = plain_length(text);
        out.extend_from_slice(&text[..plain]);
        let Some(special) = text.get(plain) else { return };
        write_escape(out, *special);
        text = &text[plain + 1..];
    }
}

fn write_escape(out: &mut Vec<u8>, special: u8) {
    match special {
        b'"' => out.extend_from_slice(b"\\\""),
        b'\\' => out.extend_from_slice(b"\\\\"),
        b'\n' => out.extend_from_slice(b"\\n"),
        b'\r' => out.extend_from_slice(b"\\r"),
        b'\t' => out.extend_from_slice(b"\\t"),
        control => {
            const DIGITS: &[u8; 16] = b"0123456789abcdef";
            out.extend_from_slice(b"\\u00");
            out.push(DIGITS[usize::from(control >> 4)]);
            out.push(DIGITS[usize::from(control & 0x0f)]);
        }
    }
}

/// Returns the number of bytes before the first one that must be escaped. Checks eight bytes at a time (Mycroft's test
/// for a zero byte in a word).
fn plain_length(text: &[u8]) -> usize {
    let (words, _) = text.as_chunks::<8>();
    let plain_words = words.iter().take_while(|word| !contains_special(u64::from_le_bytes(**word))).count();
    let start = plain_words * 8;
    let rest = &text[start..];
    start + rest.iter().position(|byte| is_special(*byte)).unwrap_or(rest.len())
}

fn is_special(byte: u8) -> bool {
    byte < 0x20 || byte == b'"' || byte == b'\\'
}

/// Returns whether one of the eight bytes in `word` must be escaped.
fn contains_special(word: u64) -> bool {
    const ONES: u64 = u64::from_ne_bytes([0x01; 8]);
    const HIGH_BITS: u64 = u64::from_ne_bytes([0x80; 8]);
    let below = |word: u64, bound: u8| word.wrapping_sub(ONES * u64::from(bound)) & !word & HIGH_BITS;
    let equal = |byte: u8| below(word ^ (ONES * u64::from(byte)), 1);
    below(word, 0x20) | equal(b'"') | equal(b'\\') != 0
}

/// Writes a JSON number.
pub(crate) fn write_number(out: &mut Vec<u8>, number: u64) {
    // Writing into a Vec cannot fail.
    let _ = write!(out, "{number}");
}
