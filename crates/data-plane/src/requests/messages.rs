//! Inputs of [`Requests`](super::Requests), and the commands that it issues to its host.

use orchidvalve_http::{Request, ResponseHead};

use crate::attempts::{AttemptPermit, NeverExecuted};
use crate::balancer::ServerKey;

/// Identifies a pending request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// Identifies an attempt of a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestAttemptId(pub u64);

/// A client's request that was received completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// The request.
    pub request: Request,
    /// When the first byte of the request was received, in milliseconds of the steady clock. The client's deadline runs
    /// from then at the latest.
    pub first_byte_at: u64,
}

/// A command to the host, which performs the I/O.
#[derive(Debug)]
pub enum RequestCommand {
    /// Begin an attempt: send the request to a server.
    Attempt {
        /// Identifies the attempt in later commands and events.
        attempt: RequestAttemptId,
        /// The request.
        request: RequestId,
        /// The target server.
        server: ServerKey,
        /// Value of the `Deadline-Ms` header: the time left for the server, in milliseconds.
        deadline_ms: u64,
        /// Value of the `Last-Event-Id` header, which replaces that of the client.
        last_event_id: Option<u64>,
        /// Permission for this attempt, consumed by it.
        permit: AttemptPermit,
    },
    /// Cancel an attempt by closing its connection.
    Cancel {
        /// The attempt.
        attempt: RequestAttemptId,
    },
    /// Send the client a complete response.
    Respond {
        /// The client's request.
        request: RequestId,
        /// The response.
        response: Response,
    },
    /// Send the client the head of a streamed response.
    BeginStream {
        /// The client's request.
        request: RequestId,
        /// The head as received from the server.
        head: ResponseHead,
    },
    /// Send the client a chunk of the streamed body.
    StreamChunk {
        /// The client's request.
        request: RequestId,
        /// Bytes of the body.
        bytes: Vec<u8>,
    },
    /// End a streamed response that is complete.
    EndStream {
        /// The client's request.
        request: RequestId,
    },
    /// Abort a streamed response that cannot be completed: the client's connection is closed, so that the response
    /// doesn't look complete.
    AbortStream {
        /// The client's request.
        request: RequestId,
    },
}

/// A response to a client.
#[derive(Debug)]
pub enum Response {
    /// The server's response, unchanged.
    Server {
        /// Status and headers.
        head: ResponseHead,
        /// The complete body.
        body: Vec<u8>,
    },
    /// Status 503, which promises the client that the request has not run and never will.
    NeverExecuted(NeverExecuted),
    /// A local response whose status doesn't tell whether the request has run.
    OutcomeUnknown {
        /// The status.
        status: u16,
    },
}
