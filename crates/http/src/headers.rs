//! Header fields of a message (RFC 9110, section 5).

use std::fmt;
use std::ops::Range;

use super::error::HttpError;

/// Most header lines of a message.
pub(super) const MAX_HEADERS: usize = 96;
/// What may stand around a header's value (OWS of RFC 9110, section 5.6.3); other spaces of Unicode belong to the
/// value.
const OPTIONAL_WHITESPACE: [char; 2] = [' ', '\t'];

/// Headers whose values are secrets, which `Debug` leaves out.
const SECRET_HEADERS: [&str; 2] = ["authorization", "proxy-authorization"];

/// Header lines of a message, owned.
#[derive(Clone, PartialEq, Eq, Default)]
pub struct Headers {
    text: String,
    lines: Vec<HeaderLine>,
}

/// Where name and value of a line are in the text.
#[derive(Clone, PartialEq, Eq, Debug)]
struct HeaderLine {
    name: Range<u32>,
    value: Range<u32>,
}

impl Headers {
    /// Copies the header lines of a parsed head.
    pub(super) fn read(headers: &[httparse::Header]) -> Result<Headers, HttpError> {
        let mut read = Headers::default();
        for header in headers {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed)?;
            read.push(header.name, value.trim_matches(OPTIONAL_WHITESPACE));
        }
        Ok(read)
    }

    /// Appends a line as it is.
    pub fn push(&mut self, name: &str, value: &str) {
        let start = self.text.len() as u32;
        self.text.push_str(name);
        let middle = self.text.len() as u32;
        self.text.push_str(value);
        self.lines.push(HeaderLine { name: start..middle, value: middle..self.text.len() as u32 });
    }

    /// Name and value of each line.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.lines.iter().map(|line| (self.part(&line.name), self.part(&line.value)))
    }

    fn part(&self, range: &Range<u32>) -> &str {
        &self.text[range.start as usize..range.end as usize]
    }

    /// Value of the first line called `name`; case doesn't matter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Values of all lines called `name`; case doesn't matter.
    pub(super) fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> + 'a {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether a line `name` holds `token` in a list separated by commas; case doesn't matter.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value.split(',').any(|t| t.trim_matches(OPTIONAL_WHITESPACE).eq_ignore_ascii_case(token))
        })
    }

    /// Value of the first line called `name` as a whole number; None where it is none.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Length of a head of which `seen` bytes have arrived, once it is whole.
///
/// # Errors
///
/// It is no head, or is longer than `limit`.
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
