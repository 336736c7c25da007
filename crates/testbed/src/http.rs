//! Parsing and formatting of complete HTTP/1.1 messages (RFC 9112).
//!
//! The emulators have their own parser and formatter on purpose. They check the system from outside, so a bug in the
//! system's parser must not be hidden by the same bug here. This parser is also more lenient, so that it shows what
//! the system sent instead of rejecting it.

use std::borrow::Cow;
use std::fmt::Write;
use std::ops::RangeInclusive;

use derive_more::{Display, Error};

/// Maximum number of header fields in a message.
const MAX_HEADERS: usize = 96;
/// The valid status codes (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// The bytes are not a valid HTTP/1.1 message.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the bytes are no HTTP/1.1 message ({reason}); look at what the peer sends")]
pub struct MalformedError {
    #[error(not(source))]
    reason: String,
}

fn malformed(reason: impl std::fmt::Display) -> MalformedError {
    MalformedError { reason: reason.to_string() }
}

/// Names and values of header fields, in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// Returns the value of the first field with this name; names are case-insensitive.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Returns the values of all fields with this name, joined by commas (RFC 9110, section 5.3).
    pub fn combined(&self, name: &str) -> Option<String> {
        let of_name = self.0.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        let values: Vec<&str> = of_name.map(|(_, value)| value.as_str()).collect();
        (!values.is_empty()).then(|| values.join(", "))
    }

    /// Returns the value of a field as an unsigned integer; `None` if it is missing or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    fn read(fields: &[httparse::Header<'_>]) -> Headers {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().to_owned();
        Headers(fields.iter().map(|field| (field.name.to_owned(), text(field.value))).collect())
    }

    fn is_chunked(&self) -> bool {
        self.get("Transfer-Encoding").is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"))
    }
}

/// A request with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// The body, with transfer coding removed.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the request as bytes, with a `Content-Length` field added.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        write_fields(&mut head, self.headers.0.iter().map(|(name, value)| (name.as_str(), value.as_str())));
        finish_message(head, Some(&self.body))
    }
}

/// A response with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// The body, with transfer coding removed.
    pub body: Vec<u8>,
}

impl Response {
    /// Whether the status is a 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Parses a request at the start of `bytes`. Returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid request.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(Request, usize)>, MalformedError> {
    let Some((request, start)) = read_request_head(bytes)? else { return Ok(None) };
    let body = if request.headers.is_chunked() {
        read_chunks(&bytes[start..])?
    } else {
        let length = request.headers.number("Content-Length").unwrap_or(0) as usize;
        bytes[start..].get(..length).map(|body| (body.to_vec(), length))
    };
    Ok(body.map(|(body, length)| (Request { body, ..request }, start + length)))
}

/// Parses the head of a request at the start of `bytes`, without its body; `None` while it is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid request.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<Request>, MalformedError> {
    Ok(read_request_head(bytes)?.map(|(request, _)| request))
}

fn read_request_head(bytes: &[u8]) -> Result<Option<(Request, usize)>, MalformedError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(start) = head.parse(bytes).map_err(malformed)? else { return Ok(None) };
    let headers = Headers::read(head.headers);
    let method = head.method.unwrap_or_default().to_owned();
    let target = head.path.unwrap_or_default().to_owned();
    Ok(Some((Request { method, target, headers, body: Vec::new() }, start)))
}

/// Parses a response at the start of `bytes`. Returns it with its length; `None` while it is incomplete. A response
/// without a length is complete once the connection has `ended`.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid response.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<(Response, usize)>, MalformedError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(start) = head.parse(bytes).map_err(malformed)? else { return Ok(None) };
    let headers = Headers::read(head.headers);
    let status = head.code.unwrap_or(0);
    if !VALID_STATUSES.contains(&status) {
        return Err(malformed(format!("status {status:03}")));
    }
    if bytes[..start].split_inclusive(|byte| *byte == b'\n').any(|line| !line.ends_with(b"\r\n")) {
        return Err(malformed("a line of the head ends with a bare line feed"));
    }
    let rest = &bytes[start..];
    let body = if headers.is_chunked() {
        read_chunks(rest)?
    } else if let Some(length) = headers.number("Content-Length") {
        rest.get(..length as usize).map(|body| (body.to_vec(), length as usize))
    } else if matches!(status, 204 | 304) {
        Some((Vec::new(), 0))
    } else {
        ended.then(|| (rest.to_vec(), rest.len()))
    };
    Ok(body.map(|(body, length)| (Response { status, headers, body }, start + length)))
}

/// Decodes a chunked body; `None` while it is incomplete.
fn read_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, MalformedError> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        let status = httparse::parse_chunk_size(&bytes[position..]).map_err(|_| malformed("chunk size"))?;
        let httparse::Status::Complete((head, length)) = status else { return Ok(None) };
        position += head;
        if length == 0 {
            return Ok(trailer_length(&bytes[position..])?.map(|end| (body, position + end)));
        }
        let Some(chunk) = bytes.get(position..position + length as usize + 2) else { return Ok(None) };
        let (data, end) = chunk.split_at(length as usize);
        if end != b"\r\n" {
            return Err(malformed("a chunk does not end where it should"));
        }
        body.extend_from_slice(data);
        position += chunk.len();
    }
}

/// Returns the length of a trailer section, including the empty line that ends it; `None` while it is incomplete.
fn trailer_length(bytes: &[u8]) -> Result<Option<usize>, MalformedError> {
    if bytes.starts_with(b"\r\n") {
        return Ok(Some(2));
    }
    let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return Ok(None) };
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut fields).map_err(malformed)? {
        httparse::Status::Complete((length, _)) if length == at + 4 => Ok(Some(length)),
        _ => Err(malformed("a trailer ends with a bare line feed")),
    }
}

/// Formats a request to `host`.
pub fn request(method: &str, target: &str, host: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    write_fields(&mut head, fields.iter().copied());
    finish_message(head, (!body.is_empty() || method != "GET").then_some(body))
}

/// Formats a request whose body is sent in two chunks.
pub fn chunked_request(
    method: &str,
    target: &str,
    host: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nTransfer-Encoding: chunked\r\n");
    write_fields(&mut head, fields.iter().copied());
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    let (first, second) = body.split_at(body.len() / 2);
    for chunk in [first, second].into_iter().filter(|chunk| !chunk.is_empty()) {
        write_chunk(&mut bytes, chunk);
    }
    write_chunk(&mut bytes, &[]);
    bytes
}

/// Formats a response with a `Content-Length`.
pub fn response(status: u16, fields: &[(&str, Cow<'_, str>)], body: &[u8]) -> Vec<u8> {
    let mut head = status_line(status);
    write_fields(&mut head, fields.iter().map(|(name, value)| (*name, value.as_ref())));
    finish_message(head, Some(body))
}

/// Formats the head of a response with a chunked body.
pub fn chunked_head(status: u16, fields: &[(&str, Cow<'_, str>)]) -> Vec<u8> {
    let mut head = status_line(status);
    write_fields(&mut head, fields.iter().map(|(name, value)| (*name, value.as_ref())));
    head.push_str("Transfer-Encoding: chunked\r\n\r\n");
    head.into_bytes()
}

/// Appends a chunk; an empty one ends the body.
pub fn write_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}

fn status_line(status: u16) -> String {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    format!("HTTP/1.1 {status} {reason}\r\n")
}

fn write_fields<'a>(head: &mut String, fields: impl Iterator<Item = (&'a str, &'a str)>) {
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
}

fn finish_message(mut head: String, body: Option<&[u8]>) -> Vec<u8> {
    if let Some(body) = body {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body.unwrap_or_default());
    bytes
}
