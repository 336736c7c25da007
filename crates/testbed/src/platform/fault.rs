//! Faults of the platform's API.

/// A fault of the platform's API. It affects the server list and the platform calls of singleton roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    /// Calls are accepted at once, and the responses are delayed.
    Slow {
        /// Delay of the responses, in milliseconds.
        delay_ms: u64,
    },
    /// Calls are accepted without a response, so that their senders cannot know the outcome.
    Unresponsive,
    /// Calls are rejected with status 429 and 503 alternately.
    Busy,
    /// Calls are accepted, and their connections are reset before a response.
    Reset,
    /// No call arrives, so that none is accepted or receives a response.
    Partitioned,
}

/// How the stub handles a call under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handling {
    /// Accepts the call and responds at once.
    Respond,
    /// Accepts the call and responds after the given time in milliseconds.
    RespondLater(u64),
    /// Accepts the call without responding.
    AcceptWithoutResponse,
    /// Rejects the call with the given status.
    Reject(u16),
    /// Accepts the call and resets its connection.
    AcceptAndReset,
    /// Drops the call.
    Drop,
}

/// The current fault.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    fault: Option<PlatformFault>,
    /// Number of calls rejected during the current fault.
    rejected: u64,
}

impl FaultState {
    pub fn set(&mut self, fault: Option<PlatformFault>) {
        *self = FaultState { fault, rejected: 0 };
    }

    /// Decides how to handle the next call.
    pub fn handling(&mut self) -> Handling {
        match self.fault {
            None => Handling::Respond,
            Some(PlatformFault::Slow { delay_ms }) => Handling::RespondLater(delay_ms),
            Some(PlatformFault::Unresponsive) => Handling::AcceptWithoutResponse,
            Some(PlatformFault::Busy) => {
                self.rejected += 1;
                Handling::Reject(if self.rejected % 2 == 1 { 429 } else { 503 })
            }
            Some(PlatformFault::Reset) => Handling::AcceptAndReset,
            Some(PlatformFault::Partitioned) => Handling::Drop,
        }
    }
}
