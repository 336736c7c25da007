//! Repeated attempts to open a ring on a failing disk: when an attempt is due, and whether a failure is final.
//!
//! No I/O is done here. Times are milliseconds of the owner's monotonic clock.

use crate::error::{OpenError, TransientError};

/// Delay between the end of an attempt and the next one, in milliseconds.
pub const RETRY_INTERVAL_MS: u64 = 250;
/// An attempt without a result after this time, in milliseconds, is reported as a hanging disk.
pub const SLOW_ATTEMPT_MS: u64 = 1_000;

/// The next action of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenStep {
    /// Starts an attempt now.
    Attempt,
    /// Waits until this time, or until the current attempt ends.
    Wait {
        /// Time of the monotonic clock, in milliseconds.
        until: u64,
    },
    /// Ends without a ring, because [`OpenRetry::stop`] was called.
    GiveUp,
}

/// The consequence of a failed attempt.
#[derive(Debug)]
pub enum FailureOutcome<'e> {
    /// Another attempt cannot succeed.
    Final,
    /// There will be another attempt. `first_report` is the error if no error was reported before.
    Retry {
        /// The error to report, if any.
        first_report: Option<TransientError<'e>>,
    },
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The next attempt is due at this time.
    Due(u64),
    /// An attempt has been running since this time.
    Running(u64),
}

/// The state of the attempts to open one ring. At most one attempt runs at a time.
#[derive(Debug)]
pub struct OpenRetry {
    phase: Phase,
    attempts: u64,
    /// Whether an error has been reported.
    reported: bool,
    /// Time until which the owner waits for the current attempt, set once the owner is asked to stop.
    stop_by: Option<u64>,
}

impl OpenRetry {
    /// Creates the state with the first attempt due at once.
    pub fn new(now: u64) -> Self {
        Self { phase: Phase::Due(now), attempts: 0, reported: false, stop_by: None }
    }

    /// Returns the action due at time `now`. An attempt counts as started when [`OpenStep::Attempt`] is returned.
    pub fn step(&mut self, now: u64) -> OpenStep {
        match (self.phase, self.stop_by) {
            (Phase::Due(_), Some(_)) => OpenStep::GiveUp,
            (Phase::Running(_), Some(by)) if now >= by => OpenStep::GiveUp,
            (Phase::Running(since), stop_by) => self.wait_for_result(since, stop_by),
            (Phase::Due(at), None) if now < at => OpenStep::Wait { until: at },
            (Phase::Due(_), None) => {
                self.phase = Phase::Running(now);
                self.attempts += 1;
                OpenStep::Attempt
            }
        }
    }

    fn wait_for_result(&self, since: u64, stop_by: Option<u64>) -> OpenStep {
        let slow_at = if self.reported { u64::MAX } else { since + SLOW_ATTEMPT_MS };
        OpenStep::Wait { until: slow_at.min(stop_by.unwrap_or(u64::MAX)) }
    }

    /// Returns true if the current attempt hangs and nothing was reported before; true at most once.
    pub fn begins_to_hang(&mut self, now: u64) -> bool {
        let slow = matches!(self.phase, Phase::Running(since) if now >= since + SLOW_ATTEMPT_MS);
        let first_report = slow && !self.reported;
        self.reported |= first_report;
        first_report
    }

    /// Records that the current attempt ended with this error.
    pub fn attempt_failed<'e>(&mut self, now: u64, error: &'e OpenError) -> FailureOutcome<'e> {
        self.phase = Phase::Due(now + RETRY_INTERVAL_MS);
        let Some(disk_error) = error.transient() else { return FailureOutcome::Final };
        let first_report = (!self.reported).then_some(disk_error);
        self.reported = true;
        FailureOutcome::Retry { first_report }
    }

    /// Returns the number of attempts, if an error was reported before the ring was opened.
    pub fn attempts_if_reported(&self) -> Option<u64> {
        self.reported.then_some(self.attempts)
    }

    /// Requests a stop: no further attempt starts, and the owner waits for a running one until `by`.
    pub fn stop(&mut self, by: u64) {
        self.stop_by.get_or_insert(by);
    }
}
