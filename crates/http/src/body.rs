//! Message bodies: how a body is delimited, and incremental decoding as its bytes arrive (RFC 9112, sections 6 and 7).

use super::error::HttpError;
use super::headers::Headers;
use super::syntax::is_field_line;

/// The longest chunk-size or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// The length of the line terminator CRLF, in bytes.
const LINE_END_BYTES: usize = 2;

/// How a body is delimited.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Framing {
    /// By `Content-Length`: the number of bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection: everything up to it belongs to the body.
    UntilClose,
}

/// Returns the framing that the headers state, or `None` if they state neither a length nor a transfer coding.
///
/// # Errors
///
/// Returns an error if a length or coding is malformed, repeated or unknown, or if both are present.
pub(super) fn framing(headers: &Headers) -> Result<Option<Framing>, HttpError> {
    let mut lengths = headers.all("content-length");
    let length = match lengths.next() {
        None => None,
        Some(text) => {
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            Some(text.parse::<u64>().ok().filter(|_| digits).ok_or(HttpError::Malformed)?)
        }
    };
    if lengths.next().is_some() {
        return Err(HttpError::Malformed);
    }
    let mut codings = headers.all("transfer-encoding");
    match codings.next() {
        None => Ok(length.map(Framing::Length)),
        Some(_) if length.is_some() || codings.next().is_some() => Err(HttpError::Malformed),
        Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        Some(_) => Err(HttpError::UnknownCoding),
    }
}

/// The result of one call to [`BodyReader::read`].
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyProgress {
    /// The number of input bytes that the caller must discard.
    pub(super) consumed: usize,
    /// Whether the end of the body was reached.
    pub(super) complete: bool,
}

/// Decodes a body incrementally.
#[derive(Debug)]
pub(super) struct BodyReader {
    state: BodyState,
    announced: u64,
}

/// What the reader expects next.
#[derive(Clone, Copy, PartialEq, Debug)]
enum BodyState {
    /// The remaining bytes of a body of known length.
    Length { left: u64 },
    /// The line that states the size of the next chunk.
    ChunkSize,
    /// The remaining bytes of a chunk.
    Chunk { left: u64 },
    /// The line terminator after a chunk.
    ChunkEnd,
    /// Trailer lines after the last chunk, up to an empty line.
    Trailer,
    /// Any bytes until the connection ends.
    UntilClose,
    /// Nothing: the body is complete.
    Done,
}

/// The result of one decoding step.
enum Step {
    /// This many bytes were consumed, and another step may follow.
    Consumed(usize),
    /// This many bytes were consumed; the next step needs further input.
    NeedsMore(usize),
    /// The body is complete.
    Complete,
}

impl BodyReader {
    pub(super) fn new(framing: Framing) -> BodyReader {
        let (state, announced) = match framing {
            Framing::Length(0) => (BodyState::Done, 0),
            Framing::Length(left) => (BodyState::Length { left }, left),
            Framing::Chunked => (BodyState::ChunkSize, 0),
            Framing::UntilClose => (BodyState::UntilClose, 0),
        };
        BodyReader { state, announced }
    }

    /// The length of the body in bytes as announced so far by its `Content-Length` or its chunk sizes.
    pub(super) fn announced(&self) -> u64 {
        self.announced
    }

    /// Decodes `bytes` and appends the body bytes among them to `out`.
    pub(super) fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<BodyProgress, HttpError> {
        let mut consumed = 0;
        loop {
            match self.step(&bytes[consumed..], out)? {
                Step::Consumed(length) => consumed += length,
                Step::NeedsMore(length) => {
                    return Ok(BodyProgress { consumed: consumed + length, complete: false });
                }
                Step::Complete => return Ok(BodyProgress { consumed, complete: true }),
            }
        }
    }

    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<Step, HttpError> {
        match self.state {
            BodyState::Done => Ok(Step::Complete),
            BodyState::UntilClose => {
                out.extend_from_slice(bytes);
                Ok(Step::NeedsMore(bytes.len()))
            }
            BodyState::Length { left } => {
                let (copied, left) = copy_up_to(bytes, left, out);
                self.state = if left == 0 { BodyState::Done } else { BodyState::Length { left } };
                Ok(if left == 0 { Step::Consumed(copied) } else { Step::NeedsMore(copied) })
            }
            BodyState::Chunk { left } => {
                let (copied, left) = copy_up_to(bytes, left, out);
                self.state = if left == 0 { BodyState::ChunkEnd } else { BodyState::Chunk { left } };
                Ok(if left == 0 { Step::Consumed(copied) } else { Step::NeedsMore(copied) })
            }
            BodyState::ChunkEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    self.state = BodyState::ChunkSize;
                    Ok(Step::Consumed(LINE_END_BYTES))
                }
                [] | [b'\r'] => Ok(Step::NeedsMore(0)),
                _ => Err(HttpError::Malformed),
            },
            BodyState::ChunkSize => self.read_chunk_size(bytes),
            BodyState::Trailer => self.read_trailer_line(bytes),
        }
    }

    fn read_chunk_size(&mut self, bytes: &[u8]) -> Result<Step, HttpError> {
        let Some(line) = chunk_size_line(bytes)? else { return Ok(Step::NeedsMore(0)) };
        self.announced = self.announced.saturating_add(line.size);
        self.state = if line.size == 0 { BodyState::Trailer } else { BodyState::Chunk { left: line.size } };
        Ok(Step::Consumed(line.length))
    }

    fn read_trailer_line(&mut self, bytes: &[u8]) -> Result<Step, HttpError> {
        let Some(length) = line_length(bytes)? else { return Ok(Step::NeedsMore(0)) };
        let line = &bytes[..length + LINE_END_BYTES];
        if length == 0 {
            self.state = BodyState::Done;
        } else if !is_field_line(line) {
            return Err(HttpError::Malformed);
        }
        Ok(Step::Consumed(line.len()))
    }

    /// Whether the body is delimited by the end of the connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.state == BodyState::UntilClose
    }
}

/// Appends at most `left` of `bytes` to `out`. Returns the number of bytes copied and the number still missing after
/// them.
fn copy_up_to(bytes: &[u8], left: u64, out: &mut Vec<u8>) -> (usize, u64) {
    let length = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    out.extend_from_slice(&bytes[..length]);
    (length, left - length as u64)
}

/// Returns the length of the first line without its terminator, or `None` if the line is still incomplete.
fn line_length(bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => Ok(Some(at - 1)),
        Some(_) => Err(HttpError::Malformed),
        None if bytes.len() > MAX_LINE_BYTES => Err(HttpError::Malformed),
        None => Ok(None),
    }
}

/// A decoded chunk-size line.
struct ChunkSizeLine {
    /// The length of the line with its terminator, in bytes.
    length: usize,
    /// The size of the chunk in bytes; 0 marks the last chunk.
    size: u64,
}

/// Parses a chunk-size line, or returns `None` if it is still incomplete. Chunk extensions are ignored.
fn chunk_size_line(bytes: &[u8]) -> Result<Option<ChunkSizeLine>, HttpError> {
    const MAX_DIGITS: usize = 15;
    let Some(length) = line_length(bytes)? else { return Ok(None) };
    let line = &bytes[..length];
    if line.contains(&b'\r') {
        return Err(HttpError::Malformed);
    }
    let digits = line.iter().position(|b| *b == b';').map_or(line, |at| &line[..at]).trim_ascii_end();
    let valid = !digits.is_empty() && digits.len() <= MAX_DIGITS && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| valid).ok_or(HttpError::Malformed)?;
    let size = u64::from_str_radix(text, 16).map_err(|_| HttpError::Malformed)?;
    Ok(Some(ChunkSizeLine { length: length + LINE_END_BYTES, size }))
}
