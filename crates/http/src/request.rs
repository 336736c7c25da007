//! Parsing of requests from the bytes of a connection, within size limits.

use super::body::{BodyReader, Framing, framing};
use super::error::HttpError;
use super::headers::{Headers, MAX_HEADERS, head_length};

/// Size limits of a message, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The longest head: the request line and all header lines.
    pub header_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
}

/// A completely received request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Request {
    /// The method as received, such as `GET`.
    pub method: String,
    /// The request target as received, usually a path with an optional query.
    pub target: String,
    /// All header lines.
    pub headers: Headers,
    /// The complete body, without chunk framing.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open for further requests.
    pub keep_alive: bool,
}

impl Request {
    /// The request target without its query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Returns the value of the first query parameter called `name`, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// Reads the consecutive requests of a connection.
#[derive(Default, Debug)]
pub struct RequestReader {
    /// The request whose head was read and whose body is still incomplete.
    pending: Option<PendingRequest>,
}

/// A request whose body is being read.
#[derive(Debug)]
struct PendingRequest {
    request: Request,
    body: BodyReader,
}

/// The result of one call to [`RequestReader::read`].
#[derive(PartialEq, Debug)]
pub struct RequestProgress {
    /// The number of input bytes that the caller must discard.
    pub consumed: usize,
    /// The request, once it is complete.
    pub request: Option<Request>,
}

impl RequestReader {
    /// Whether the head of a request was read and its body is still incomplete.
    pub fn is_mid_request(&self) -> bool {
        self.pending.is_some()
    }

    /// Reads as much of the next request from `bytes` as is available.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an acceptable request; the connection has to be closed after the response.
    pub fn read(&mut self, bytes: &[u8], limits: &MessageLimits) -> Result<RequestProgress, HttpError> {
        let mut consumed = 0;
        if self.pending.is_none() {
            let Some(head) = read_request_head(bytes, limits)? else {
                return Ok(RequestProgress { consumed: 0, request: None });
            };
            consumed = head.length;
            let body = BodyReader::new(head.framing.unwrap_or(Framing::Length(0)));
            self.pending = Some(PendingRequest { request: head.request, body });
        }
        let Some(pending) = &mut self.pending else { return Ok(RequestProgress { consumed, request: None }) };
        let progress = pending.body.read(&bytes[consumed..], &mut pending.request.body)?;
        if pending.request.body.len() > limits.body_bytes
            || pending.body.announced() > limits.body_bytes as u64
        {
            return Err(HttpError::BodyTooLong);
        }
        consumed += progress.consumed;
        let request = if progress.complete { self.pending.take().map(|p| p.request) } else { None };
        Ok(RequestProgress { consumed, request })
    }
}

/// A parsed request head.
struct RequestHead {
    /// The request, with an empty body.
    request: Request,
    /// How the body is delimited; `None` if the request has no body.
    framing: Option<Framing>,
    /// The length of the head in bytes.
    length: usize,
}

fn read_request_head(bytes: &[u8], limits: &MessageLimits) -> Result<Option<RequestHead>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limits.header_bytes)? else {
        return Ok(None);
    };
    let headers = Headers::read(parsed.headers)?;
    let framing = framing(&headers)?;
    let keep_alive = match parsed.version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive") && framing != Some(Framing::Chunked),
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers,
        body: Vec::new(),
        keep_alive,
    };
    Ok(Some(RequestHead { request, framing, length }))
}
