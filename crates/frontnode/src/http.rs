//! Parses and writes HTTP/1.1 messages (RFC 9112). Parsed messages are slices of the buffer that they were read into.

use std::borrow::Cow;

use derive_more::{Display, Error};
use orchidvalve_http::syntax::{has_bare_line_feed, is_field_line, is_valid_status};

/// The maximum length of a head in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum length of a body in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The maximum length of a message in bytes. A body of many small chunks is longer than its content.
pub const MAX_MESSAGE_BYTES: usize = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
const MAX_HEADERS: usize = 64;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("{text}")]
pub struct MessageError {
    /// The status of the response.
    pub status: u16,
    /// The text of the response body.
    pub text: &'static str,
}

const BAD_HEAD: MessageError = MessageError { status: 400, text: "malformed head" };
const HEAD_TOO_LARGE: MessageError = MessageError { status: 431, text: "head too large" };
const BAD_LENGTH: MessageError = MessageError { status: 400, text: "malformed length" };
/// A request was not received completely in time.
pub const REQUEST_TIMEOUT: MessageError =
    MessageError { status: 408, text: "the request did not come whole in time" };
/// The unread requests of all clients exceed their memory limit.
pub const OUT_OF_MEMORY: MessageError = MessageError { status: 503, text: "too many long requests at once" };
/// A body exceeds [`MAX_BODY_BYTES`], or its message exceeds [`MAX_MESSAGE_BYTES`].
pub const BODY_TOO_LARGE: MessageError = MessageError { status: 413, text: "body too large" };
const BAD_CHUNK: MessageError = MessageError { status: 400, text: "malformed chunk" };
const BAD_TRAILER: MessageError = MessageError { status: 400, text: "malformed trailer" };

/// A header line.
#[derive(Clone, Copy, Debug)]
struct Header<'a> {
    name: &'a str,
    value: &'a [u8],
}

impl<'a> Header<'a> {
    fn of(parsed: &httparse::Header<'a>) -> Self {
        Header { name: parsed.name, value: parsed.value }
    }
}

/// A parsed request or response.
#[derive(Debug)]
pub struct Message<'a> {
    /// The method of a request; empty in a response.
    pub method: &'a str,
    /// The path of a request with its query string; empty in a response.
    pub path: &'a str,
    /// The status of a response; 0 in a request.
    pub status: u16,
    headers: Vec<Header<'a>>,
    /// The decoded body.
    pub body: Cow<'a, [u8]>,
    /// Whether the connection stays open after the message (RFC 9112, section 9.3).
    pub keeps_alive: bool,
    /// The length of the message in the buffer, in bytes.
    pub length: usize,
}

impl<'a> Message<'a> {
    /// Returns the value of a header. Returns `None` if the header is missing, not UTF-8, or present twice: another
    /// reader of the message might use the other value.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        let mut values = values_of(&self.headers, name);
        let (Some(value), None) = (values.next(), values.next()) else { return None };
        std::str::from_utf8(value).ok().map(str::trim)
    }
}

/// Parses the first request of a buffer. Returns `None` while more bytes are needed.
///
/// # Errors
///
/// Fails if the bytes are not a valid request or the request is too large.
pub fn parse_request(buffer: &[u8]) -> Result<Option<Message<'_>>, MessageError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut slots);
    let Some(length) = head_length(head.parse(buffer), buffer)? else { return Ok(None) };
    let headers: Vec<Header> = head.headers.iter().map(Header::of).collect();
    let Some(body) = parse_body(&headers, &buffer[length..])? else { return Ok(None) };
    Ok(Some(Message {
        method: head.method.unwrap_or_default(),
        path: head.path.unwrap_or_default(),
        status: 0,
        keeps_alive: keeps_alive(&headers, head.version == Some(1)),
        headers,
        body: body.bytes,
        length: length + body.encoded_length,
    }))
}

/// Parses the first response of a buffer. Returns `None` while more bytes are needed. A body without a length, which
/// ends when the connection is closed, is not supported.
///
/// # Errors
///
/// Fails if the bytes are not a valid response or the response is too large.
pub fn parse_response(buffer: &[u8]) -> Result<Option<Message<'_>>, MessageError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut slots);
    let Some(length) = head_length(head.parse(buffer), buffer)? else { return Ok(None) };
    if has_bare_line_feed(&buffer[..length]) {
        return Err(BAD_HEAD);
    }
    let status = head.code.filter(|status| is_valid_status(*status)).ok_or(BAD_HEAD)?;
    let headers: Vec<Header> = head.headers.iter().map(Header::of).collect();
    let Some(body) = parse_body(&headers, &buffer[length..])? else { return Ok(None) };
    Ok(Some(Message {
        method: "",
        path: "",
        status,
        keeps_alive: keeps_alive(&headers, head.version == Some(1)),
        headers,
        body: body.bytes,
        length: length + body.encoded_length,
    }))
}

fn head_length(parsed: httparse::Result<usize>, buffer: &[u8]) -> Result<Option<usize>, MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HEAD_TOO_LARGE),
        Err(_) => Err(BAD_HEAD),
    }
}

/// Returns the values of all headers with a name, which is compared case-insensitively.
fn values_of<'a>(headers: &[Header<'a>], name: &str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

/// Returns whether the connection stays open after a message (RFC 9112, section 9.3).
fn keeps_alive(headers: &[Header], is_http_1_1: bool) -> bool {
    let mut keeps_alive = is_http_1_1;
    let tokens = values_of(headers, "connection").flat_map(|value| value.split(|&byte| byte == b','));
    for token in tokens.map(<[u8]>::trim_ascii) {
        if token.eq_ignore_ascii_case(b"close") {
            keeps_alive = false;
        } else if token.eq_ignore_ascii_case(b"keep-alive") {
            keeps_alive = true;
        }
    }
    keeps_alive
}

/// Decodes the body at the front of `rest`. Returns `None` while more bytes are needed.
fn parse_body<'a>(headers: &[Header], rest: &'a [u8]) -> Result<Option<DecodedBody<'a>>, MessageError> {
    let mut encodings = values_of(headers, "transfer-encoding");
    let mut lengths = values_of(headers, "content-length");
    match (encodings.next(), lengths.next()) {
        (None, None) => Ok(Some(DecodedBody { bytes: Cow::Borrowed(&[]), encoded_length: 0 })),
        (None, Some(length)) => {
            // Two lengths allow request smuggling. A sender of two equal ones may also send two different ones.
            if lengths.next().is_some() {
                return Err(BAD_LENGTH);
            }
            let encoded_length = decimal(length)?;
            let body = rest.get(..encoded_length);
            Ok(body.map(|bytes| DecodedBody { bytes: Cow::Borrowed(bytes), encoded_length }))
        }
        (Some(encoding), None) if encoding.eq_ignore_ascii_case(b"chunked") && encodings.next().is_none() => {
            decode_chunked(rest)
        }
        _ => Err(BAD_LENGTH),
    }
}

fn decimal(digits: &[u8]) -> Result<usize, MessageError> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(BAD_LENGTH);
    }
    let length = std::str::from_utf8(digits).ok().and_then(|d| d.parse().ok()).unwrap_or(usize::MAX);
    if length > MAX_BODY_BYTES { Err(BODY_TOO_LARGE) } else { Ok(length) }
}

/// A decoded body.
struct DecodedBody<'a> {
    bytes: Cow<'a, [u8]>,
    /// The length of the encoded body in the buffer, in bytes.
    encoded_length: usize,
}

/// Decodes a chunked body (RFC 9112, section 7.1). A body of a single chunk is not copied.
fn decode_chunked(encoded: &[u8]) -> Result<Option<DecodedBody<'_>>, MessageError> {
    let (mut position, mut body) = (0, Cow::Borrowed(&[][..]));
    loop {
        if position > 2 * MAX_BODY_BYTES {
            return Err(BODY_TOO_LARGE);
        }
        let (line_length, size) = match httparse::parse_chunk_size(&encoded[position..]) {
            Ok(httparse::Status::Complete(parsed)) => parsed,
            Ok(httparse::Status::Partial) if encoded.len() - position > MAX_HEAD_BYTES => {
                return Err(BAD_CHUNK);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BAD_CHUNK),
        };
        position += line_length;
        if size == 0 {
            let length = trailers_length(&encoded[position..])?;
            return Ok(length.map(|length| DecodedBody { bytes: body, encoded_length: position + length }));
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > MAX_BODY_BYTES - body.len() {
            return Err(BODY_TOO_LARGE);
        }
        let Some(chunk) = encoded.get(position..position + size + 2) else { return Ok(None) };
        let Some(chunk) = chunk.strip_suffix(b"\r\n") else { return Err(BAD_CHUNK) };
        if body.is_empty() {
            body = Cow::Borrowed(chunk);
        } else {
            body.to_mut().extend_from_slice(chunk);
        }
        position += size + 2;
    }
}

/// Returns the length of the trailer lines after the last chunk, including the empty line.
fn trailers_length(rest: &[u8]) -> Result<Option<usize>, MessageError> {
    let mut length = 0;
    while let Some(end) = rest[length..].windows(2).position(|bytes| bytes == b"\r\n") {
        let line = &rest[length..length + end + 2];
        length += line.len();
        if end == 0 {
            return Ok(Some(length));
        }
        if !is_field_line(line) {
            return Err(BAD_TRAILER);
        }
    }
    if rest.len() > MAX_HEAD_BYTES { Err(HEAD_TOO_LARGE) } else { Ok(None) }
}

/// Percent-encodes a text (RFC 3986). Only unreserved characters, which are valid in path segments and query values,
/// stay unchanged.
pub fn percent_encode(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode =
        |byte: u8| if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    text.bytes().map(encode).collect()
}

/// Decodes a percent-encoded text. Returns `None` if an escape is invalid or the result is not UTF-8. `plus_is_space`
/// decodes `+` as a space, as in query strings.
pub fn percent_decode(text: &str, plus_is_space: bool) -> Option<String> {
    let (mut bytes, mut rest) = (Vec::with_capacity(text.len()), text.bytes());
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let mut digit = || rest.next().and_then(|byte| char::from(byte).to_digit(16));
                (digit()? * 16 + digit()?) as u8
            }
            b'+' if plus_is_space => b' ',
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

/// Returns the reason phrase of a status that the node sends (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Appends a complete response to a buffer. `headers` contains further header lines, each with its line end.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    content_type: &str,
    headers: &str,
    body: &[u8],
    keeps_alive: bool,
) {
    let close = if keeps_alive { "" } else { "Connection: close\r\n" };
    let (reason, length) = (reason_phrase(status), body.len());
    out.extend_from_slice(
        format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n").as_bytes(),
    );
    out.extend_from_slice(format!("{headers}{close}Content-Length: {length}\r\n\r\n").as_bytes());
    out.extend_from_slice(body);
}
