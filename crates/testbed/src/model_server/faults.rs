//! The faults that a model server currently has.

use crate::server_fault::ServerFault;

/// The current faults of a server, except duplicate responses, which the server's frontend handles.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ActiveFaults {
    pub crashed: bool,
    pub unresponsive: bool,
    /// Factor on the duration of work; 0 means 1.
    slowdown: u64,
    /// Number of events after which the next stream breaks.
    pub break_stream_after: Option<u64>,
    /// Whether the next request receives bytes that are not a valid response.
    pub malformed_response: bool,
}

impl ActiveFaults {
    /// Adds a fault.
    pub fn add(&mut self, fault: ServerFault) {
        match fault {
            ServerFault::Crash => self.crashed = true,
            ServerFault::Unresponsive => self.unresponsive = true,
            ServerFault::Slowdown(factor) => self.slowdown = factor,
            ServerFault::BreakStream { after_events } => self.break_stream_after = Some(after_events),
            ServerFault::MalformedResponse => self.malformed_response = true,
            // Requests to model servers have short bodies, so that an early response is not possible.
            ServerFault::DuplicateResponses | ServerFault::EarlyResponse => {}
        }
    }

    /// Ends all faults except a crash.
    pub fn clear(&mut self) {
        *self = ActiveFaults { crashed: self.crashed, ..ActiveFaults::default() };
    }

    /// Returns the factor on the duration of work, which is at least 1.
    pub fn slowdown(&self) -> u64 {
        self.slowdown.max(1)
    }

    /// Whether the server does not work at all.
    pub fn is_halted(&self) -> bool {
        self.unresponsive || self.crashed
    }
}
