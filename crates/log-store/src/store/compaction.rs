//! Compaction of a store, step by step.

use std::io;

use crate::checkpoint;
use crate::compaction_policy::{SealedSegmentStats, choose_run};
use crate::merge::{Merge, MergeInput, MergeOutput, MergeStep};
use crate::record::RecordKind;
use crate::segment;
use crate::segment_state::SealedSegment;
use crate::store::LogStore;

/// Result of one step of compaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompactionStep {
    /// No run has enough garbage to be merged.
    Idle,
    /// A merge is in progress; this step read or wrote this many bytes.
    Progressed(u64),
    /// A merge is complete.
    Merged {
        /// Size of the input segments in bytes.
        bytes_before: u64,
        /// Size of the merged segment in bytes.
        bytes_after: u64,
    },
    /// The I/O budget is exhausted for now.
    Throttled,
    /// The segment of this number cannot be read. It is left unchanged; `logbook check` gives details.
    Corrupt(u64),
}

impl LogStore {
    /// Performs one step of compaction within the I/O budget.
    ///
    /// # Errors
    ///
    /// The disk fails; the merge is abandoned.
    pub fn compact(&mut self) -> io::Result<CompactionStep> {
        if self.io_budget.available(self.now_ns) == 0 {
            return Ok(CompactionStep::Throttled);
        }
        let step = self.compact_step_unthrottled()?;
        if let CompactionStep::Progressed(bytes) = step {
            self.io_budget.spend(bytes);
        }
        Ok(step)
    }

    /// Performs one step of compaction regardless of the I/O budget.
    ///
    /// # Errors
    ///
    /// The disk fails; the merge is abandoned.
    pub fn compact_step_unthrottled(&mut self) -> io::Result<CompactionStep> {
        let Some(merge) = &mut self.merge else { return self.begin_merge() };
        match merge.step() {
            Ok(MergeStep::Progressed(bytes)) => Ok(CompactionStep::Progressed(bytes)),
            Ok(MergeStep::Done) => self.end_merge(),
            Ok(MergeStep::Corrupt(number)) => {
                self.abandon_merge();
                let corrupt = self.sealed.iter_mut().find(|sealed| sealed.segment.header.number == number);
                if let Some(sealed) = corrupt {
                    sealed.is_corrupt = true;
                }
                Ok(CompactionStep::Corrupt(number))
            }
            Err(error) => {
                self.abandon_merge();
                Err(error)
            }
        }
    }

    fn abandon_merge(&mut self) {
        if let Some(merge) = self.merge.take() {
            let _ = self.disk.remove(&segment::file_name(merge.output_number()));
        }
    }

    fn begin_merge(&mut self) -> io::Result<CompactionStep> {
        let stats = |sealed: &SealedSegment| SealedSegmentStats {
            number: sealed.segment.header.number,
            bytes: sealed.length,
            age_ns: self.now_ns.saturating_sub(sealed.sealed_at_ns).max(0),
            is_corrupt: sealed.is_corrupt,
        };
        let stats: Vec<SealedSegmentStats> = self.sealed.iter().map(stats).collect();
        let free_bytes = self.disk.free()?;
        let run = choose_run(&self.options.compaction, &stats, &self.index.garbage, free_bytes);
        let Some(run) = run else { return Ok(CompactionStep::Idle) };
        let begins_with_oldest = *run.start() == 0;
        let last = self.sealed[*run.end()].next_sequence - 1;
        let inputs = self.sealed[run]
            .iter()
            .map(|sealed| MergeInput { segment: sealed.segment.clone(), sealed_length: sealed.length });
        let inputs = inputs.collect();
        let number = self.next_number;
        self.next_number += 1;
        match Merge::begin(&*self.disk, inputs, begins_with_oldest, self.identity, number, last) {
            Ok(merge) => self.merge = Some(merge),
            Err(error) => {
                let _ = self.disk.remove(&segment::file_name(number));
                return Err(error);
            }
        }
        Ok(CompactionStep::Progressed(0))
    }

    fn end_merge(&mut self) -> io::Result<CompactionStep> {
        let Some(merge) = self.merge.take() else { return Ok(CompactionStep::Idle) };
        let (numbers, bytes_before) = (merge.input_numbers(), merge.input_bytes());
        let MergeOutput { segment, length, checkpoint, tombstone_bytes } = merge.finish();
        let _ = checkpoint.write(&*self.disk, &segment.header, length);
        let is_input = |sealed: &SealedSegment| numbers.contains(&sealed.segment.header.number);
        let first = self.sealed.iter().position(is_input).unwrap_or(0);
        let run = first..first + numbers.len();
        let merged = SealedSegment {
            segment: segment.clone(),
            length,
            next_sequence: self.sealed[run.end - 1].next_sequence,
            sealed_at_ns: self.now_ns,
            is_corrupt: false,
        };
        self.sealed.splice(run, [merged]);
        let records = checkpoint.records.into_iter().filter(|record| record.kind == RecordKind::Put);
        self.index.merged(&numbers, &segment, records, tombstone_bytes);
        let obsolete = numbers.iter().flat_map(|n| [segment::file_name(*n), checkpoint::file_name(*n)]);
        self.obsolete_files.extend(obsolete);
        self.is_manifest_outdated = true;
        self.update_manifest()?;
        Ok(CompactionStep::Merged { bytes_before, bytes_after: length })
    }
}
