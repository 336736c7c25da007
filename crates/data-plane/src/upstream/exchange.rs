//! One exchange: what is sent to a server, and what happens to it.

use orchidvalve_http::ResponseHead;

/// Whether a call may run more than once (RFC 9110, section 9.2.2).
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    /// It may be attempted again, also after it may have run.
    Idempotent,
    /// It may be attempted again only if it surely hasn't run.
    AtMostOnce,
}

/// One request and its response on a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ExchangeId(pub u64);

/// Why an exchange ended without a complete response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Failure {
    /// No connection came up: the request was surely not sent.
    Connect,
    /// A reused connection ended before any byte of a response: most likely the server closed it as it was idle. The
    /// request may have run.
    Stale,
    /// The connection ended, or what came is no response to this request. The request may have run.
    Broken,
    /// A stream without a length ended between two events, in order: it may be complete, or its server may have died.
    Unfinished,
}

/// A complete request to a server.
#[derive(Clone, Copy, Debug)]
pub struct OutboundRequest<'a> {
    /// The method, which decides whether the response has a body.
    pub method: &'a str,
    /// The `Attempt-Id`; responses that carry another one belong to other requests.
    pub attempt_id: Option<&'a str>,
    /// The request as it is written.
    pub bytes: &'a [u8],
    /// For a request that may run at most once, no connection is reused that the server may be about to close.
    pub idempotency: Idempotency,
}

/// What happened to an exchange.
#[derive(PartialEq, Debug)]
pub enum UpstreamEvent {
    /// The head of the response has come.
    Head {
        /// Which exchange.
        exchange: ExchangeId,
        /// The head.
        head: ResponseHead,
    },
    /// A part of the body has come.
    Body {
        /// Which exchange.
        exchange: ExchangeId,
        /// The part.
        bytes: Vec<u8>,
    },
    /// The response is complete by its length or its chunks.
    Complete {
        /// Which exchange.
        exchange: ExchangeId,
    },
    /// The response has neither a length nor chunks, and its connection was closed in order. That is its end (RFC 9112,
    /// section 6.3), but the connection of a server that dies may end like that, too.
    Closed {
        /// Which exchange.
        exchange: ExchangeId,
    },
    /// The exchange ended without a complete response.
    Failed {
        /// Which exchange.
        exchange: ExchangeId,
        /// Why.
        failure: Failure,
    },
}
