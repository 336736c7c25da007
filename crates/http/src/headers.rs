//! Header fields of a message (RFC 9110, section 5).

use std::fmt;
use std::ops::Range;

use super::error::HttpError;

/// The largest number of header lines in a message.
pub(super) const MAX_HEADERS: usize = 96;
/// The characters that are trimmed from both ends of a header value (OWS of RFC 9110, section 5.6.3). Other Unicode
/// spaces are part of the value.
const OPTIONAL_WHITESPACE: [char; 2] = [' ', '\t'];

/// Headers with secret values, which the `Debug` output omits.
const SECRET_HEADERS: [&str; 2] = ["authorization", "proxy-authorization"];

/// The header lines of a message, stored in one string.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Headers {
    text: String,
    lines: Vec<HeaderLine>,
}

/// The positions of a header line's name and value within [`Headers::text`].
#[derive(Clone, PartialEq, Eq, Debug)]
struct HeaderLine {
    name: Range<u32>,
    value: Range<u32>,
}

impl Headers {
    /// Copies the header lines of a parsed head.
    pub(super) fn read(headers: &[httparse::Header]) -> Result<Headers, HttpError> {
        let mut copied = Headers::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed)?;
            copied.push(header.name, value.trim_matches(OPTIONAL_WHITESPACE));
        }
        Ok(copied)
    }

    /// Appends a header line without checking or trimming it.
    pub fn push(&mut self, name: &str, value: &str) {
        let start = self.text.len() as u32;
        self.text.push_str(name);
        let middle = self.text.len() as u32;
        self.text.push_str(value);
        self.lines.push(HeaderLine { name: start..middle, value: middle..self.text.len() as u32 });
    }

    /// Iterates over the name and value of each header line.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.lines.iter().map(|line| (self.slice(&line.name), self.slice(&line.value)))
    }

    fn slice(&self, range: &Range<u32>) -> &str {
        &self.text[range.start as usize..range.end as usize]
    }

    /// Returns the value of the first header line with this name, compared case-insensitively.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the values of all header lines with this name, compared case-insensitively.
    pub(super) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether a header line with this name contains `token` in its comma-separated list; both are compared
    /// case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value.split(',').any(|t| t.trim_matches(OPTIONAL_WHITESPACE).eq_ignore_ascii_case(token))
        })
    }

    /// Returns the value of the first header line with this name as an unsigned integer, or `None` if the line is
    /// absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Returns the length of a message head, or `None` if the `seen` bytes received so far are only a part of it.
///
/// # Errors
///
/// Returns an error if the head is malformed or exceeds `limit` bytes.
pub(super) fn head_length(
    parsed: httparse::Result<usize>,
    seen: usize,
    limit: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limit => Ok(Some(length)),
        Ok(httparse::Status::Partial) if seen < limit => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeaderTooLong),
        Err(_) => Err(HttpError::Malformed),
    }
}

impl fmt::Debug for Headers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_secret = |name: &str| SECRET_HEADERS.iter().any(|secret| name.eq_ignore_ascii_case(secret));
        let shown = self.iter().map(|(name, value)| (name, if is_secret(name) { "(secret)" } else { value }));
        formatter.debug_map().entries(shown).finish()
    }
}
