//! HTTP/1.1 message parsing and serialization over byte buffers, without I/O.
//!
//! Readers parse the bytes received so far and return how many of them the caller must discard (RFC 9112). Ambiguous
//! messages (two lengths, a length together with chunked coding, folded header lines) are rejected, which prevents
//! request smuggling.

mod body;
mod error;
mod event_stream;
mod headers;
mod request;
mod response;
pub mod syntax;
mod write;

pub use error::HttpError;
pub use event_stream::{EventStreamBoundary, EventStreamReader, StreamEvent};
pub use headers::Headers;
pub use request::{MessageLimits, Request, RequestProgress, RequestReader};
pub use response::{ResponseHead, ResponseProgress, ResponseReader};
pub use write::{
    write_chunk, write_head_end, write_header, write_last_chunk, write_number, write_number_header,
    write_request_line, write_response, write_status_line,
};
