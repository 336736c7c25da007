//! Finds integers that a document would not keep as they were sent.
//!
//! The parser keeps integers of 64 bits exactly and reads a larger one as the nearest double, which is then written as
//! another number (RFC 8259, section 6).

/// An integer literal that does not fit 64 bits.
#[derive(Debug, PartialEq, Eq)]
pub struct LargeInteger<'j> {
    /// Key of the value that contains the integer; empty if there is none.
    pub key: &'j str,
    /// The integer as it was sent.
    pub literal: &'j str,
}

/// Returns the first integer of a document that does not fit 64 bits. `json` has to be a valid JSON document.
pub fn find(json: &str) -> Option<LargeInteger<'_>> {
    let mut key = "";
    let mut rest = json;
    while let Some(start) = rest.find(|c: char| c == '"' || c == '-' || c.is_ascii_digit()) {
        rest = &rest[start..];
        if let Some(text) = rest.strip_prefix('"') {
            let content = string_content(text);
            rest = text[content.len()..].strip_prefix('"').unwrap_or_default();
            if rest.trim_start().starts_with(':') {
                key = content;
            }
        } else {
            let literal = number_literal(rest);
            rest = &rest[literal.len()..];
            if is_large_integer(literal) {
                return Some(LargeInteger { key, literal });
            }
        }
    }
    None
}

/// Returns the part of `text` before the quotation mark that ends the string.
fn string_content(text: &str) -> &str {
    let mut is_escaped = false;
    let end = text.find(|c: char| {
        let is_end = c == '"' && !is_escaped;
        is_escaped = c == '\\' && !is_escaped;
        is_end
    });
    &text[..end.unwrap_or(text.len())]
}

fn number_literal(text: &str) -> &str {
    let end = text.find(|c: char| !(c.is_ascii_digit() || "+-.eE".contains(c)));
    &text[..end.unwrap_or(text.len())]
}

fn is_large_integer(literal: &str) -> bool {
    let is_integer = !literal.contains(['.', 'e', 'E']);
    is_integer && literal.parse::<u64>().is_err() && literal.parse::<i64>().is_err()
}
