//! Applies committed entries to the jobs of a partition.

use compact_str::CompactString;

use crate::effect::{Effect, ReleasedItems, Sinks};
use crate::entry::ParsedEntry;
use crate::jobs::ResultStatus;
use crate::partition::Partition;
use crate::uncommitted::UncommittedEntry;

impl Partition {
    /// Applies the entries up to and including the sequence number `committed`, in order.
    pub(super) fn apply(&mut self, committed: u64, sinks: &mut Sinks<'_>) {
        while let Some(UncommittedEntry { sequence, entry }) = self.uncommitted.pop(committed) {
            if let Some(effect) = self.apply_entry(sequence, entry, sinks.now_ms) {
                sinks.add_effect(self.number, effect);
            }
        }
    }

    fn apply_entry(&mut self, sequence: u64, entry: ParsedEntry, now_ms: u64) -> Option<Effect> {
        match entry {
            ParsedEntry::JobAccepted { job, times } => {
                let id = CompactString::from(job.id.as_str());
                self.jobs.accept(sequence, job, times).then_some(Effect::JobAccepted { job: id })
            }
            ParsedEntry::Result { job, item } => {
                let payload = self.log.get(sequence)?.payload.clone();
                let assigned_to = match self.jobs.record_result(&job, &item, payload) {
                    ResultStatus::Recorded { assigned_to } => assigned_to,
                    ResultStatus::Ignored => None,
                };
                Some(Effect::ResultRecorded { job, item, assigned_to })
            }
            ParsedEntry::JobEnded { job } => {
                let active = self.jobs.end(&job, now_ms);
                let groups = active.iter().flat_map(|active| active.groups());
                let released = groups
                    .filter_map(|group| {
                        Some(ReleasedItems { gateway: group.assigned_to()?, count: group.missing_results() })
                    })
                    .collect();
                Some(Effect::JobEnded { job, released })
            }
            ParsedEntry::Unknown => None,
        }
    }
}
