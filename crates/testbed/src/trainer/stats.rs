//! Counters of a trainer.

use std::cell::RefCell;
use std::rc::Rc;

/// Counters of a trainer.
#[derive(Clone, Debug, Default)]
pub struct TrainerStats {
    /// Steps whose batch job was submitted.
    pub steps_submitted: u64,
    /// Steps whose batch job was completed.
    pub steps_done: u64,
    /// Steps whose batch job was completed within its target time.
    pub steps_within_target: u64,
    /// Times from the first submission to the 202, in milliseconds.
    pub acceptance_ms: Vec<u64>,
    /// Times from the first submission to the completion of the last required group, in milliseconds.
    pub step_ms: Vec<u64>,
    /// Submissions that were rejected with the promise that nothing is executed.
    pub refusals: u64,
    /// Items that were completed.
    pub completed: u64,
    /// Items that expired.
    pub expired: u64,
    /// Latest version that the system acknowledged.
    pub version: u64,
    /// Batch jobs that were read again from the start.
    pub reviewed: u64,
    /// Batch jobs that could not be read again.
    pub unreadable: u64,
    /// Whether the trainer has nothing left to do.
    pub is_done: bool,
}

/// Counters shared with the report of the scenario.
pub type SharedTrainerStats = Rc<RefCell<TrainerStats>>;
