//! The time that the inputs carry, and detection of pauses of the process.

use crate::timing::{FAILURE_TIMEOUT, FREEZE_THRESHOLD, Milliseconds};

/// The host's monotonic clock. It never goes back, even if an input carries an earlier time.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    now: Milliseconds,
    /// Time of the latest input; `None` before the first.
    last_input_at: Option<Milliseconds>,
    /// No proposal starts before this time, because too little is known of the peers.
    no_proposal_before: Milliseconds,
}

impl Clock {
    /// Returns the time of the latest input.
    pub fn now(&self) -> Milliseconds {
        self.now
    }

    /// Sets the time to that of an input. Returns true for the first input, and for an input more than
    /// [`FREEZE_THRESHOLD`] after the previous one: the process was frozen in between.
    pub fn advance(&mut self, now: Milliseconds) -> bool {
        self.now = self.now.max(now);
        let was_paused = self.last_input_at.is_none_or(|at| self.now > at + FREEZE_THRESHOLD);
        self.last_input_at = Some(self.now);
        was_paused
    }

    /// Suspends proposals for [`FAILURE_TIMEOUT`], until the failure detector has had time to receive replies.
    pub fn suspend_proposals(&mut self) {
        self.no_proposal_before = self.now + FAILURE_TIMEOUT;
    }

    /// Returns true unless proposals are suspended.
    pub fn allows_proposals(&self) -> bool {
        self.now >= self.no_proposal_before
    }
}
