//! Faults of emulated servers.

/// A fault of an emulated server. Each kind of server supports some of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// The server exits, and every connection to it is reset until it is restarted.
    Crash,
    /// The server accepts connections but sends nothing.
    Unresponsive,
    /// The server works slower by this factor.
    Slowdown(u64),
    /// The next stream is reset.
    BreakStream {
        /// Number of events sent before the reset.
        after_events: u64,
    },
    /// The next response consists of bytes that are not a valid response.
    MalformedResponse,
    /// Every response is sent twice.
    DuplicateResponses,
    /// Requests with long bodies receive their response before the complete body has arrived. The rest of the body is
    /// read afterwards.
    EarlyResponse,
}
