//! A single exchange: the request to a server, and the events of its response.

use orchidvalve_http::ResponseHead;

/// Whether a call may run more than once (RFC 9110, section 9.2.2).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// The call may be attempted again even after it may have run.
    Idempotent,
    /// The call may be attempted again only if it has certainly not run.
    AtMostOnce,
}

/// Identifies an exchange: one request and its response on a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ExchangeId(pub u64);

/// The reason why an exchange ended without a complete response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Failure {
    /// No connection was established, so the request was certainly not sent.
    Connect,
    /// A reused connection ended before any byte of a response arrived, most likely because the server closed it
    /// while it was idle. The request may have run.
    Stale,
    /// The connection ended, or the bytes received are not a response to this request. The request may have run.
    Broken,
    /// A stream without a length ended in order between two events: it may be complete, or its server may have died.
    Unfinished,
}

/// A complete request to a server.
#[derive(Clone, Copy, Debug)]
pub struct OutboundRequest<'a> {
    /// The method, which decides whether the response has a body.
    pub method: &'a str,
    /// The `Attempt-Id`. Responses with a different one belong to other requests.
    pub attempt_id: Option<&'a str>,
    /// The encoded request.
    pub bytes: &'a [u8],
    /// Whether the request may run more than once. If not, it is not sent on a connection that the server may be
    /// about to close.
    pub idempotency: Idempotency,
}

/// An event of an exchange.
#[derive(PartialEq, Debug)]
pub enum UpstreamEvent {
    /// The head of the response was received.
    Head {
        /// The exchange.
        exchange: ExchangeId,
        /// The head.
        head: ResponseHead,
    },
    /// A part of the body was received.
    Body {
        /// The exchange.
        exchange: ExchangeId,
        /// The bytes of the part.
        bytes: Vec<u8>,
    },
    /// The response is complete by its length or its last chunk.
    Complete {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The response has neither a length nor chunked coding, and its connection was closed in order. This ends the
    /// response (RFC 9112, section 6.3), but the connection of a server that dies may end in the same way.
    Closed {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// The exchange ended without a complete response.
    Failed {
        /// The exchange.
        exchange: ExchangeId,
        /// The reason.
        failure: Failure,
    },
}
