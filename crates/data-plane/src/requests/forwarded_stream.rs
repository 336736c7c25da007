//! Streamed responses that are being forwarded to a client.

use derive_more::{Display, Error};
use orchidvalve_http::{EventStreamBoundary, EventStreamReader, ResponseHead};

use super::messages::{RequestAttemptId, RequestCommand, RequestId};

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// The error that an event doesn't follow the last forwarded one, so the attempt cannot be forwarded any further.
#[derive(PartialEq, Eq, Debug, Display, Error)]
#[display("the event does not follow the last forwarded one; the stream is resumed at another server")]
pub(super) struct OutOfOrder;

/// A streamed response of which at least one server has sent the head.
#[derive(Debug)]
pub(super) struct ForwardedStream {
    request: RequestId,
    /// The attempt that is being forwarded, or the last one that was.
    pub attempt: RequestAttemptId,
    /// The head of the response, while the client has not been sent it.
    deferred_head: Option<ResponseHead>,
    /// The forwarded events, if the stream may be resumed at another server.
    events: Option<ForwardedEvents>,
    /// Tracks event boundaries in an event stream that is forwarded chunk by chunk.
    boundary: Option<EventStreamBoundary>,
}

/// The complete events that have been forwarded.
#[derive(Debug)]
struct ForwardedEvents {
    reader: EventStreamReader,
    /// The id of the last forwarded event; initially the client's `Last-Event-Id`.
    last_id: Option<u64>,
    /// Whether the attempt that is being forwarded has contributed an event.
    has_added: bool,
}

impl ForwardedStream {
    /// Creates a stream that cannot be resumed. It is forwarded chunk by chunk, and its head has to be sent at once.
    pub fn unresumable(
        request: RequestId,
        attempt: RequestAttemptId,
        head: &ResponseHead,
    ) -> ForwardedStream {
        let boundary = is_event_stream(head).then(EventStreamBoundary::default);
        ForwardedStream { request, attempt, deferred_head: None, events: None, boundary }
    }

    /// Creates a stream that may be resumed. It is forwarded event by event, and its head is deferred until the first
    /// event, as until then an attempt at another server may start the response afresh. `requested_after` is the
    /// client's `Last-Event-Id`.
    pub fn resumable(
        request: RequestId,
        attempt: RequestAttemptId,
        head: ResponseHead,
        requested_after: Option<u64>,
    ) -> ForwardedStream {
        let events = ForwardedEvents {
            reader: EventStreamReader::default(),
            last_id: requested_after,
            has_added: false,
        };
        ForwardedStream { request, attempt, deferred_head: Some(head), events: Some(events), boundary: None }
    }

    /// Whether part of the response has been sent to the client.
    pub fn response_started(&self) -> bool {
        self.deferred_head.is_none()
    }

    /// Returns the id of the event after which another attempt has to resume, or `None` if it has to send the complete
    /// stream.
    pub fn resume_from(&self) -> Option<u64> {
        self.events.as_ref().filter(|_| self.response_started()).and_then(|events| events.last_id)
    }

    /// Continues the stream with another attempt.
    pub fn resume_at(&mut self, attempt: RequestAttemptId) {
        self.attempt = attempt;
        if let Some(events) = &mut self.events {
            events.reader = EventStreamReader::default();
            events.has_added = false;
        }
    }

    /// Forwards a chunk of the body, or the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns an error if an event doesn't follow the last one. The events before it are forwarded.
    pub fn forward(&mut self, bytes: Vec<u8>, out: &mut Vec<RequestCommand>) -> Result<(), OutOfOrder> {
        let request = self.request;
        let Some(events) = &mut self.events else {
            if let Some(boundary) = &mut self.boundary {
                boundary.read(&bytes);
            }
            out.push(RequestCommand::StreamChunk { request, bytes });
            return Ok(());
        };
        let mut complete = Vec::with_capacity(bytes.len());
        let mut result = Ok(());
        let last_id = &mut events.last_id;
        events.reader.read(&bytes, |event, raw| {
            if result.is_err() {
                return;
            }
            if let (Some(id), Some(before)) = (event.id, *last_id)
                && id != before + 1
            {
                result = Err(OutOfOrder);
                return;
            }
            *last_id = event.id.or(*last_id);
            complete.extend_from_slice(raw);
        });
        if !complete.is_empty() {
            events.has_added = true;
            self.send_deferred_head(out);
            out.push(RequestCommand::StreamChunk { request, bytes: complete });
        }
        result
    }

    /// Whether the current attempt has contributed events to a stream that may be resumed after them.
    pub fn has_added_events(&self) -> bool {
        self.events.as_ref().is_some_and(|events| events.has_added)
    }

    /// Whether the current attempt has sent an event, given that part of its body was received. Always true for a
    /// stream that is forwarded chunk by chunk.
    pub fn has_events(&self) -> bool {
        self.events.as_ref().is_none_or(|events| events.has_added)
    }

    /// Whether the attempt ended between two events. A server that dies in the middle of an event may still close its
    /// connection in order, which also ends a response without a length.
    pub fn ends_between_events(&self) -> bool {
        let in_event = match (&self.events, &self.boundary) {
            (Some(events), _) => events.reader.has_partial_event(),
            (None, Some(boundary)) => boundary.is_inside_event(),
            (None, None) => false,
        };
        !in_event
    }

    /// Completes the stream.
    pub fn end(&mut self, out: &mut Vec<RequestCommand>) {
        self.send_deferred_head(out);
        out.push(RequestCommand::EndStream { request: self.request });
    }

    fn send_deferred_head(&mut self, out: &mut Vec<RequestCommand>) {
        if let Some(head) = self.deferred_head.take() {
            out.push(RequestCommand::BeginStream { request: self.request, head });
        }
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let media_type = head.headers.get("content-type").and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}
