//! Faults of the platform's interface.

/// What is wrong with the platform's interface: with the list as well as with the calls that are a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    /// Calls are taken at once and answered this much later, in milliseconds.
    Slow {
        /// How much later.
        delay_ms: u64,
    },
    /// Calls are taken and never answered: their senders can't know whether they were.
    Silent,
    /// Calls are refused, with 429 and 503 in turn.
    Busy,
    /// Calls are taken and their connections reset before an answer.
    Reset,
    /// Nothing that is sent arrives: calls are neither taken nor answered.
    CutOff,
}

/// What becomes of one call under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handling {
    /// It's taken and answered at once.
    Answer,
    /// It's taken and answered later, after this time in milliseconds.
    AnswerLater(u64),
    /// It's taken and not answered.
    TakeSilently,
    /// It's refused with this status.
    Refuse(u16),
    /// It's taken, and its connection reset.
    TakeAndReset,
    /// It never arrives.
    Lose,
}

/// The fault of the moment.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    fault: Option<PlatformFault>,
    /// Calls that were refused in the present fault.
    refused: u64,
}

impl FaultState {
    pub fn set(&mut self, fault: Option<PlatformFault>) {
        *self = FaultState { fault, refused: 0 };
    }

    /// What becomes of the next call.
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
