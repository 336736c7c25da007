//! Parsing of responses: the head, then the body in pieces as it arrives.

use super::body::{BodyReader, Framing, framing};
use super::error::HttpError;
use super::headers::{Headers, MAX_HEADERS, head_length};
use super::syntax::{has_bare_line_feed, is_valid_status};

/// Status of a switch to another protocol. It is never valid, as no request here asks for an upgrade.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The head of a response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ResponseHead {
    /// The status code, from 100 to 599.
    pub status: u16,
    /// All header lines.
    pub headers: Headers,
}

/// The result of one call to [`ResponseReader::read`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ResponseProgress {
    /// The number of input bytes that the caller must discard.
    pub consumed: usize,
    /// Whether the head was read, in this call or an earlier one.
    pub head: bool,
    /// Whether the response is complete.
    pub complete: bool,
}

/// Reads one response; its body is returned in pieces as it arrives.
#[derive(Debug)]
pub struct ResponseReader {
    head: Option<ResponseHead>,
    body: Option<BodyReader>,
    reusable: bool,
    /// Whether the response has no body because the request method was HEAD.
    without_body: bool,
}

impl ResponseReader {
    /// Creates a reader for the response to a request with `method`. A response to HEAD has no body (RFC 9110, section
    /// 9.3.2).
    pub fn new(method: &str) -> ResponseReader {
        ResponseReader { head: None, body: None, reusable: false, without_body: method == "HEAD" }
    }

    /// The head, once it was read.
    pub fn head(&self) -> Option<&ResponseHead> {
        self.head.as_ref()
    }

    /// Whether the connection can be reused for another request once the response is complete.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Reads as much of the response from `bytes` as is available and appends the body bytes to `out`. Interim
    /// responses (1xx) are skipped. `header_limit` is the maximum length of the head in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid response; the connection has to be closed.
    pub fn read(
        &mut self,
        bytes: &[u8],
        header_limit: usize,
        out: &mut Vec<u8>,
    ) -> Result<ResponseProgress, HttpError> {
        let mut consumed = 0;
        while self.head.is_none() {
            match read_response_head(&bytes[consumed..], header_limit)? {
                None => return Ok(ResponseProgress { consumed, head: false, complete: false }),
                Some(parsed) if (100..200).contains(&parsed.head.status) => {
                    if parsed.head.status == SWITCHING_PROTOCOLS {
                        return Err(HttpError::Malformed);
                    }
                    consumed += parsed.length;
                }
                Some(parsed) => {
                    consumed += parsed.length;
                    self.begin_body(parsed.head, parsed.minor_version)?;
                }
            }
        }
        let Some(body) = &mut self.body else {
            return Ok(ResponseProgress { consumed, head: true, complete: true });
        };
        let progress = body.read(&bytes[consumed..], out)?;
        consumed += progress.consumed;
        Ok(ResponseProgress { consumed, head: true, complete: progress.complete })
    }

    fn begin_body(&mut self, head: ResponseHead, minor_version: u8) -> Result<(), HttpError> {
        let stated_framing = framing(&head.headers)?;
        let framing = match (self.without_body || matches!(head.status, 204 | 304), stated_framing) {
            (true, _) => Framing::Length(0),
            (false, Some(framing)) => framing,
            (false, None) => Framing::UntilClose,
        };
        self.reusable = framing != Framing::UntilClose
            && match minor_version {
                1 => !head.headers.has_token("connection", "close"),
                _ => head.headers.has_token("connection", "keep-alive"),
            };
        self.body = Some(BodyReader::new(framing));
        self.head = Some(head);
        Ok(())
    }

    /// Whether the response becomes complete when the connection ends.
    pub fn complete_at_close(&self) -> bool {
        self.body.as_ref().is_some_and(BodyReader::ends_with_connection)
    }
}

/// A parsed response head.
struct ParsedHead {
    head: ResponseHead,
    /// The digit after `HTTP/1.` in the status line.
    minor_version: u8,
    /// The length of the head in bytes.
    length: usize,
}

fn read_response_head(bytes: &[u8], limit: usize) -> Result<Option<ParsedHead>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limit)? else { return Ok(None) };
    if has_bare_line_feed(&bytes[..length]) {
        return Err(HttpError::Malformed);
    }
    let status = parsed.code.filter(|status| is_valid_status(*status)).ok_or(HttpError::Malformed)?;
    let head = ResponseHead { status, headers: Headers::read(parsed.headers)? };
    Ok(Some(ParsedHead { head, minor_version: parsed.version.unwrap_or(0), length }))
}
