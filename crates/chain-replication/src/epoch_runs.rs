//! The epoch of each entry of a log, stored as runs.

use musli::{Decode, Encode};

use crate::sequence::{Epoch, Sequence};

/// A run of consecutive entries of one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EpochRun {
    /// Epoch of all entries of the run.
    pub epoch: Epoch,
    /// Sequence of the first entry of the run, which extends to the start of the next run.
    pub first: Sequence,
}

/// The epochs of the entries of a log, which suffice to compare two logs without their content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EpochRuns {
    runs: Vec<EpochRun>,
    /// Lowest sequence held.
    first: Sequence,
    /// Highest sequence held.
    end: Sequence,
}

impl EpochRuns {
    /// Creates the runs of the entries `first` to `end`. The run that contains `first - 1` may be included.
    pub fn new(first: Sequence, end: Sequence, runs: Vec<EpochRun>) -> EpochRuns {
        let mut built = EpochRuns { runs, first, end };
        built.runs.retain(|run| run.first <= end);
        built
    }

    /// Returns the lowest sequence held.
    pub fn first(&self) -> Sequence {
        self.first
    }

    /// Returns the highest sequence held.
    pub fn end(&self) -> Sequence {
        self.end
    }

    /// Returns the runs in ascending order.
    pub fn runs(&self) -> &[EpochRun] {
        &self.runs
    }

    /// Returns the epoch of the entry `sequence`. Known from `first - 1` on if the run of that entry is kept, otherwise
    /// from `first` on. Sequence 0, before the very first entry, has epoch 0.
    pub fn epoch_at(&self, sequence: Sequence) -> Option<Epoch> {
        if sequence == 0 {
            return Some(0);
        }
        if sequence > self.end || sequence + 1 < self.first {
            return None;
        }
        self.runs.iter().rev().find(|run| run.first <= sequence).map(|run| run.epoch)
    }

    /// Records an entry appended after the end.
    pub fn append(&mut self, epoch: Epoch) {
        self.end += 1;
        if self.runs.last().is_none_or(|run| run.epoch != epoch) {
            self.runs.push(EpochRun { epoch, first: self.end });
        }
    }

    /// Removes all entries after `after`.
    pub fn truncate(&mut self, after: Sequence) {
        self.end = self.end.min(after);
        self.runs.retain(|run| run.first <= after);
    }

    /// Removes the entries before `first` but keeps the epoch of the entry just before it.
    pub fn trim(&mut self, first: Sequence) {
        self.first = self.first.max(first.min(self.end + 1));
        let before = self.first - 1;
        let obsolete = self.runs.iter().rposition(|run| run.first <= before).unwrap_or(0);
        self.runs.drain(..obsolete);
    }

    /// Empties the log, so that it starts at `start`. `previous_epoch` is the epoch of the entry before, or 0 if
    /// unknown.
    pub fn reset(&mut self, start: Sequence, previous_epoch: Epoch) {
        self.first = start;
        self.end = start - 1;
        self.runs.clear();
        if previous_epoch != 0 && start > 1 {
            self.runs.push(EpochRun { epoch: previous_epoch, first: start - 1 });
        }
    }

    /// Returns the highest sequence, at most `limit`, up to which both logs have the same entries. Returns `None` if
    /// that sequence is below the entries whose epochs both logs still know.
    pub fn common_with(&self, other: &EpochRuns, limit: Sequence) -> Option<Sequence> {
        let mut candidate = limit.min(self.end).min(other.end);
        loop {
            let (own_epoch, other_epoch) = (self.epoch_at(candidate)?, other.epoch_at(candidate)?);
            if own_epoch == other_epoch {
                return Some(candidate);
            }
            // The entries of the run with the higher epoch are in one log only: continue before the run.
            let newer = if own_epoch > other_epoch { self } else { other };
            candidate = newer.run_start(candidate).saturating_sub(1);
        }
    }

    fn run_start(&self, sequence: Sequence) -> Sequence {
        self.runs.iter().rev().find(|run| run.first <= sequence).map_or(1, |run| run.first)
    }
}
