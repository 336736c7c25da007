//! Entries that are appended but not yet committed.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;

use crate::entry::ParsedEntry;

/// A decoded entry and its sequence number.
#[derive(Debug)]
pub(crate) struct UncommittedEntry {
    pub sequence: u64,
    pub entry: ParsedEntry,
}

/// Uncommitted entries, with an index of the effects that they will have.
#[derive(Debug, Default)]
pub(crate) struct UncommittedEntries {
    entries: VecDeque<UncommittedEntry>,
    /// Number of uncommitted entries with this effect.
    index: BTreeMap<EffectKey, u32>,
}

/// The effect of an entry once it is committed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EffectKey {
    AcceptJob(CompactString),
    RecordResult { job: CompactString, item: CompactString },
    EndJob(CompactString),
}

impl EffectKey {
    fn of(entry: &ParsedEntry) -> Option<EffectKey> {
        match entry {
            ParsedEntry::JobAccepted { job, .. } => {
                Some(EffectKey::AcceptJob(CompactString::from(job.id.as_str())))
            }
            ParsedEntry::Result { job, item } => {
                Some(EffectKey::RecordResult { job: job.clone(), item: item.clone() })
            }
            ParsedEntry::JobEnded { job } => Some(EffectKey::EndJob(job.clone())),
            ParsedEntry::Unknown => None,
        }
    }
}

impl UncommittedEntries {
    /// Appends an entry with this sequence number.
    pub fn push(&mut self, sequence: u64, entry: ParsedEntry) {
        if let Some(key) = EffectKey::of(&entry) {
            *self.index.entry(key).or_default() += 1;
        }
        self.entries.push_back(UncommittedEntry { sequence, entry });
    }

    /// Removes the entries after sequence number `after`.
    pub fn truncate(&mut self, after: u64) {
        while let Some(dropped) = self.entries.pop_back_if(|last| last.sequence > after) {
            self.remove_from_index(&dropped.entry);
        }
    }

    /// Removes and returns the next entry if its sequence number is at most `committed`.
    pub fn pop(&mut self, committed: u64) -> Option<UncommittedEntry> {
        let next = self.entries.pop_front_if(|first| first.sequence <= committed)?;
        self.remove_from_index(&next.entry);
        Some(next)
    }

    /// Returns whether an uncommitted entry accepts this job.
    pub fn contains_job(&self, job: &str) -> bool {
        self.index.contains_key(&EffectKey::AcceptJob(CompactString::from(job)))
    }

    /// Returns whether an uncommitted entry records a result of this item.
    pub fn contains_result(&self, job: &str, item: &str) -> bool {
        let (job, item) = (CompactString::from(job), CompactString::from(item));
        self.index.contains_key(&EffectKey::RecordResult { job, item })
    }

    /// Returns whether an uncommitted entry ends this job.
    pub fn contains_end(&self, job: &str) -> bool {
        self.index.contains_key(&EffectKey::EndJob(CompactString::from(job)))
    }

    fn remove_from_index(&mut self, entry: &ParsedEntry) {
        if let Some(key) = EffectKey::of(entry)
            && let Some(count) = self.index.get_mut(&key)
        {
            *count -= 1;
            if *count == 0 {
                self.index.remove(&key);
            }
        }
    }
}
