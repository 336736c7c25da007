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
    Silent,
    /// Calls are rejected with status 429 and 503 alternately.
    Busy,
    /// Calls are accepted, and their connections are reset before a response.
    Reset,
    /// No call arrives, so that none is accepted or receives a response.
    CutOff,
}

/// How the stub handles a call under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handling {
    /// Accepts the call and responds at once.
    Answer,
    /// Accepts the call and responds after the given time in milliseconds.
    AnswerLater(u64),
    /// Accepts the call without responding.
    TakeSilently,
    /// Rejects the call with the given status.
    Refuse(u16),
    /// Accepts the call and resets its connection.
    TakeAndReset,
    /// Drops the call.
    Lose,
}

/// The current fault.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    fault: Option<PlatformFault>,
    /// Number of calls rejected during the current fault.
    refused: u64,
}

impl FaultState {
    pub fn set(&mut self, fault: Option<PlatformFault>) {
        *self = FaultState { fault, refused: 0 };
    }

    /// Decides how to handle the next call.
    pub fn handling(&mut self) -> Handling {
        match self.fault {
            None => Handling::Answer,
            Some(PlatformFault::Slow { delay_ms }) => Handling::AnswerLater(delay_ms),
            Some(PlatformFault::Silent) => Handling::TakeSilently,
            Some(PlatformFault::Busy) => {
                self.refused += 1;
                Handling::Refuse(if self.refused % 2 == 1 { 429 } else { 503 })
            }
            Some(PlatformFault::Reset) => Handling::TakeAndReset,
            Some(PlatformFault::CutOff) => Handling::Lose,
        }
    }
}
