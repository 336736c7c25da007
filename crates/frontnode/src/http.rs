//! HTTP/1.1 messages as slices of the buffer that they were read into.

use std::borrow::Cow;

/// Most bytes of a head, and of a body.
pub const HEAD: usize = 16 << 10;
pub const BODY: usize = 64 << 10;
/// Most bytes a message can take: its body may come in many small chunks.
pub const MESSAGE: usize = HEAD + 2 * BODY;
const HEADERS: usize = 64;

/// Why a message cannot be used: the status to answer with, and words for the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault(pub u16, pub &'static str);

const BAD_HEAD: Fault = Fault(400, "malformed head");
const HEAD_TOO_LARGE: Fault = Fault(431, "head too large");
const BAD_LENGTH: Fault = Fault(400, "malformed length");
/// It did not come whole in time.
pub const TOO_SLOW: Fault = Fault(408, "the request did not come whole in time");
pub const NO_MEMORY: Fault = Fault(503, "too many long requests at once");
pub const BODY_TOO_LARGE: Fault = Fault(413, "body too large");
const BAD_CHUNK: Fault = Fault(400, "malformed chunk");

#[derive(Debug)]
pub struct Message<'a> {
    /// Of a request: its method and its path.
    pub method: &'a str,
    pub path: &'a str,
    /// Of a response.
    pub status: u16,
    headers: Vec<(&'a str, &'a [u8])>,
    pub body: Cow<'a, [u8]>,
    /// Whether the connection stays open after it.
    pub stays: bool,
    /// Bytes that it took of the buffer.
    pub length: usize,
}

impl<'a> Message<'a> {
    /// None where there is no such header, it is no text, or there are two: the next reader may go by the other.
    pub fn header(&self, name: &str) -> Option<&'a str> {
        let mut named = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let (Some((_, value)), None) = (named.next(), named.next()) else { return None };
        std::str::from_utf8(value).ok().map(str::trim)
    }
}

/// None while more bytes are needed.
pub fn request(buffer: &[u8]) -> Result<Option<Message<'_>>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(length) = head_length(head.parse(buffer), buffer)? else { return Ok(None) };
    let (method, path) = (head.method.unwrap_or_default(), head.path.unwrap_or_default());
    let kept = head.headers.iter().map(|h| (h.name, h.value)).collect();
    message(buffer, length, (method, path, 0), kept, head.version == Some(1))
}

/// None while more bytes are needed. A body that ends with the connection is not used here.
pub fn response(buffer: &[u8]) -> Result<Option<Message<'_>>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Some(length) = head_length(head.parse(buffer), buffer)? else { return Ok(None) };
    let kept = head.headers.iter().map(|h| (h.name, h.value)).collect();
    message(buffer, length, ("", "", head.code.unwrap_or(0)), kept, head.version == Some(1))
}

fn head_length(parsed: httparse::Result<usize>, buffer: &[u8]) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= HEAD => Ok(Some(length)),
        Ok(httparse::Status::Partial) if buffer.len() < HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HEAD_TOO_LARGE),
        Err(_) => Err(BAD_HEAD),
    }
}

fn message<'a>(
    buffer: &'a [u8],
    head: usize,
    (method, path, status): (&'a str, &'a str, u16),
    headers: Vec<(&'a str, &'a [u8])>,
    newer: bool,
) -> Result<Option<Message<'a>>, Fault> {
    let mut message =
        Message { method, path, status, headers, body: Cow::Borrowed(&[]), stays: newer, length: head };
    let named = |name: &'static str| {
        message.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| *v)
    };
    let tokens = named("connection").flat_map(|v| v.split(|&b| b == b','));
    for token in tokens.map(<[u8]>::trim_ascii) {
        if token.eq_ignore_ascii_case(b"close") {
            message.stays = false;
        } else if token.eq_ignore_ascii_case(b"keep-alive") {
            message.stays = true;
        }
    }
    let (mut coding, mut lengths) = (named("transfer-encoding"), named("content-length"));
    let (body, taken) = match (coding.next(), lengths.next()) {
        (None, None) => (Cow::Borrowed(&[][..]), 0),
        (None, Some(length)) => {
            // Two are how requests are smuggled, and who sends two that agree may send two that do not.
            if lengths.next().is_some() {
                return Err(BAD_LENGTH);
            }
            let length = decimal(length)?;
            let Some(body) = buffer.get(head..head + length) else { return Ok(None) };
            (Cow::Borrowed(body), length)
        }
        (Some(coded), None) if coded.eq_ignore_ascii_case(b"chunked") && coding.next().is_none() => {
            match chunked(&buffer[head..])? {
                Some(read) => read,
                None => return Ok(None),
            }
        }
        _ => return Err(BAD_LENGTH),
    };
    drop((coding, lengths));
    (message.body, message.length) = (body, head + taken);
    Ok(Some(message))
}

fn decimal(digits: &[u8]) -> Result<usize, Fault> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(BAD_LENGTH);
    }
    let length = std::str::from_utf8(digits).ok().and_then(|d| d.parse().ok()).unwrap_or(usize::MAX);
    if length > BODY { Err(BODY_TOO_LARGE) } else { Ok(length) }
}

/// A body and the bytes that it took.
type Body<'a> = (Cow<'a, [u8]>, usize);

/// A body of one chunk stays where it is.
fn chunked(coded: &[u8]) -> Result<Option<Body<'_>>, Fault> {
    let (mut at, mut body) = (0, Cow::Borrowed(&[][..]));
    loop {
        if at > 2 * BODY {
            return Err(BODY_TOO_LARGE);
        }
        let (line, size) = match httparse::parse_chunk_size(&coded[at..]) {
            Ok(httparse::Status::Complete(read)) => read,
            Ok(httparse::Status::Partial) if coded.len() - at > HEAD => return Err(BAD_CHUNK),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(BAD_CHUNK),
        };
        at += line;
        if size == 0 {
            return Ok(trailers(&coded[at..])?.map(|length| (body, at + length)));
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > BODY - body.len() {
            return Err(BODY_TOO_LARGE);
        }
        let Some(chunk) = coded.get(at..at + size + 2) else { return Ok(None) };
        let Some(chunk) = chunk.strip_suffix(b"\r\n") else { return Err(BAD_CHUNK) };
        if body.is_empty() {
            body = Cow::Borrowed(chunk)
        } else {
            body.to_mut().extend_from_slice(chunk)
        }
        at += size + 2;
    }
}

/// Length of the lines after the last chunk, the empty one included.
fn trailers(rest: &[u8]) -> Result<Option<usize>, Fault> {
    let mut at = 0;
    while let Some(end) = rest[at..].windows(2).position(|w| w == b"\r\n") {
        at += end + 2;
        if end == 0 {
            return Ok(Some(at));
        }
    }
    if rest.len() > HEAD { Err(HEAD_TOO_LARGE) } else { Ok(None) }
}

/// Percent-encoded, but for what may stand in a path's segment or a query's value as it is.
pub fn encoded(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    text.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

/// None where an escape is broken or the bytes are no text. `plus`: whether it stands for a space, as in a query.
pub fn decoded(text: &str, plus: bool) -> Option<String> {
    let (mut bytes, mut rest) = (Vec::with_capacity(text.len()), text.bytes());
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let mut digit = || rest.next().and_then(|b| char::from(b).to_digit(16));
                (digit()? * 16 + digit()?) as u8
            }
            b'+' if plus => b' ',
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

pub fn reason(status: u16) -> &'static str {
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

/// Puts a whole answer behind what is in the buffer. `more` are further header lines, each with its end.
pub fn answer(out: &mut Vec<u8>, status: u16, kind: &str, more: &str, body: &[u8], stays: bool) {
    let close = if stays { "" } else { "Connection: close\r\n" };
    let (reason, length) = (reason(status), body.len());
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n").as_bytes());
    out.extend_from_slice(format!("{more}{close}Content-Length: {length}\r\n\r\n").as_bytes());
    out.extend_from_slice(body);
}
