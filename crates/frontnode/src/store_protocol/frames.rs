//! The frame protocol of index servers. A frame consists of four bytes of length, a letter for its kind, and a payload.

use orchidvalve::state::AttemptOutcome;

use super::{CallRequest, Load, ParsedMessage, ProtocolError, StoreMessage, StoreProtocol};

/// The kind of a call.
pub const CALL: u8 = b'1';
/// The kind of a cancellation.
pub const CANCEL: u8 = b'2';
/// The kind of a health check and of its response.
pub const HEALTH_CHECK: u8 = b'3';
/// The kind of a health check that requests the load, and of its response.
pub const HEALTH_CHECK_WITH_LOAD: u8 = b'4';
/// The kind of the response to a shard request.
pub const ANSWER: u8 = b'5';
/// The kind of the message that the server could not parse a frame.
pub const REFUSED: u8 = b'X';

/// The length of the longest accepted frame in bytes: a value of the maximum HTTP body size and the line before it.
pub const MAX_FRAME_BYTES: usize = crate::http::MAX_BODY_BYTES + 1024;

/// The number of bytes of a frame's length field.
const LENGTH_BYTES: usize = 4;

/// The protocol state of one connection. Each frame names the request that it answers, so there is no further state.
pub struct Frames {
    request_load: bool,
}

impl Frames {
    /// Returns the state of a new connection. `request_load` says whether health checks request the load.
    pub fn new(request_load: bool) -> Self {
        Frames { request_load }
    }
}

impl StoreProtocol for Frames {
    fn write_call(&mut self, out: &mut Vec<u8>, requests: &[CallRequest]) -> bool {
        let start = begin_frame(out, CALL);
        for request in requests {
            write_shard_request(out, request);
        }
        end_frame(out, start);
        true
    }

    fn write_cancel(&mut self, out: &mut Vec<u8>, query_id: &str, shard: usize) -> bool {
        let start = begin_frame(out, CANCEL);
        out.extend_from_slice(format!("{query_id}.{shard}").as_bytes());
        end_frame(out, start);
        true
    }

    fn write_health_check(&mut self, out: &mut Vec<u8>) {
        let start = begin_frame(out, if self.request_load { HEALTH_CHECK_WITH_LOAD } else { HEALTH_CHECK });
        end_frame(out, start);
    }

    fn next_message(&mut self, buffer: &[u8]) -> Result<Option<ParsedMessage>, ProtocolError> {
        let Some(Frame { kind, rest, length }) = next_frame(buffer)? else { return Ok(None) };
        let message = match kind {
            ANSWER => parse_answer(rest)?,
            HEALTH_CHECK | HEALTH_CHECK_WITH_LOAD => StoreMessage::Health {
                answered: rest != b"E",
                load: std::str::from_utf8(rest).ok().and_then(parse_load),
            },
            REFUSED => return Err(ProtocolError::FrameRefused(rest.escape_ascii().to_string())),
            other => return Err(ProtocolError::UnknownFrame(other.escape_ascii().to_string())),
        };
        Ok(Some(ParsedMessage { message, length }))
    }
}

/// Writes the beginning of a frame. Returns its position, which is passed to [`end_frame`].
fn begin_frame(out: &mut Vec<u8>, kind: u8) -> usize {
    let start = out.len();
    out.extend_from_slice(&[0, 0, 0, 0, kind]);
    start
}

/// Fills in the length of the frame that begins at `start`.
fn end_frame(out: &mut [u8], start: usize) {
    let length = u32::try_from(out.len() - start - LENGTH_BYTES).unwrap_or(u32::MAX);
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn write_shard_request(out: &mut Vec<u8>, request: &CallRequest) {
    let CallRequest { query_id, shard, timeout_ms, idempotency_key, payload } = request;
    out.extend_from_slice(format!("{query_id}.{shard} {shard} d={timeout_ms}").as_bytes());
    if let Some(key) = idempotency_key {
        out.extend_from_slice(format!(",k={key}").as_bytes());
    }
    out.extend_from_slice(format!(" {}\n", payload.len()).as_bytes());
    out.extend_from_slice(payload.as_bytes());
}

/// A frame at the front of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The letter of the kind.
    pub kind: u8,
    /// The payload, which follows the letter.
    pub rest: &'a [u8],
    /// The length of the complete frame in the buffer, in bytes.
    pub length: usize,
}

/// Returns the first frame of a buffer, or `None` while more bytes are needed.
///
/// # Errors
///
/// Fails if the length field is zero or too large.
pub fn next_frame(buffer: &[u8]) -> Result<Option<Frame<'_>>, ProtocolError> {
    let Some((length, rest)) = buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(1..=MAX_FRAME_BYTES).contains(&length) {
        return Err(ProtocolError::FrameLength(length));
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    Ok(Some(Frame { kind: frame[0], rest: &frame[1..], length: LENGTH_BYTES + length }))
}

/// Parses a shard's answer: `ID.SHARD ENDING SCORE REPORT`, a line end and the value. The report is not interpreted, so
/// invalid bytes in it do no harm.
///
/// # Errors
///
/// Fails if the line or the value cannot be parsed.
///
/// ```
/// use orchidvalve_frontnode::store_protocol::StoreMessage;
/// use orchidvalve_frontnode::store_protocol::frames::parse_answer;
///
/// let answer = parse_answer(b"r1.3 S 7 \xff what=\nvalue").unwrap();
/// assert!(matches!(answer, StoreMessage::Answer { value, .. } if value == "value"));
/// assert_eq!(parse_answer(b"r1.3 S\nvalue").unwrap_err().to_string(), "a bad answer line 'r1.3 S'");
/// ```
pub fn parse_answer(rest: &[u8]) -> Result<StoreMessage, ProtocolError> {
    let end = rest.iter().position(|&byte| byte == b'\n').ok_or(ProtocolError::UnfinishedAnswerLine)?;
    let (line, value) = (&rest[..end], &rest[end + 1..]);
    let bad_line = || ProtocolError::BadAnswerLine(line.escape_ascii().to_string());
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| bad_line());
    let mut words = line.splitn(4, |&byte| byte == b' ');
    let (Some(id), Some(outcome), Some(_score), Some(_report)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(bad_line());
    };
    let (id, outcome, value) = (text(id)?, text(outcome)?, text(value)?);
    let (query_id, shard) = id.rsplit_once('.').ok_or_else(bad_line)?;
    let outcome = match outcome {
        "S" => AttemptOutcome::Answered,
        "E" => AttemptOutcome::Failed,
        "B" => AttemptOutcome::Rejected,
        _ => return Err(bad_line()),
    };
    Ok(StoreMessage::Answer {
        query_id: query_id.to_owned(),
        shard: shard.parse().map_err(|_| bad_line())?,
        outcome,
        value: value.to_owned(),
    })
}

/// Larger loads cannot be true, and would affect decisions for hours.
const MAX_LOAD: f64 = 1e6;

/// Parses the load in a health report. Returns `None` unless it contains both the queue length and the rate.
///
/// ```
/// use orchidvalve_frontnode::store_protocol::Load;
/// use orchidvalve_frontnode::store_protocol::frames::parse_load;
///
/// let load = Load::Rate { queued: 2.0, completed_per_second: 76.3 };
/// assert_eq!(parse_load("avg_ms=13.1,rps=76.3,waiting=2"), Some(load));
/// for bad in ["rps=76.3,waiting=nan", "rps=76.3,waiting=-1", "rps=76.3,waiting=1e300", "=,="] {
///     assert_eq!(parse_load(bad), None);
/// }
/// ```
pub fn parse_load(report: &str) -> Option<Load> {
    let number = |name: &str| {
        let mut pairs = report.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|pair| pair.0 == name)?;
        value.parse::<f64>().ok().filter(|number| (0.0..=MAX_LOAD).contains(number))
    };
    let (queued, completed_per_second) = number("waiting").zip(number("rps"))?;
    Some(Load::Rate { queued, completed_per_second })
}
