//! Checks of the parts of a message that `httparse` accepts in more forms than are safe to accept.

use std::ops::RangeInclusive;

/// The valid status codes (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// Whether a status code is valid.
pub fn is_valid_status(status: u16) -> bool {
    VALID_STATUSES.contains(&status)
}

/// Whether a line of a complete head ends with a line feed that has no carriage return before it. Recipients may accept
/// such an end (RFC 9112, section 2.2), but a field name that begins with a line feed then looks like the end of the head.
pub fn has_bare_line_feed(head: &[u8]) -> bool {
    head.split_inclusive(|byte| *byte == b'\n').any(|line| !line.ends_with(b"\r\n"))
}

/// Whether a line, with its terminator, is one field line (RFC 9112, section 5).
pub fn is_field_line(line: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER];
    // A valid line is only a part of the fields, which an empty line ends.
    matches!(httparse::parse_headers(line, &mut fields), Ok(httparse::Status::Partial))
}
