//! The index: the location of the latest record of each key, and the number of garbage bytes in each segment.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::checkpoint::IndexedRecord;
use crate::garbage::Garbage;
use crate::key::IndexKey;
use crate::record::RecordKind;
use crate::segment::{RecordLocation, Segment};
use crate::snapshot::{Entry, Snapshot};

/// The index of a store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    pub snapshot: Snapshot,
    pub garbage: Garbage,
    /// The number of entries that point into each segment of the snapshot. A segment is removed from the snapshot when
    /// its count drops to 0.
    entry_counts: BTreeMap<u64, usize>,
}

impl Index {
    /// Applies a record, which must be later than all records applied before.
    pub fn apply(
        &mut self,
        kind: RecordKind,
        key: IndexKey,
        sequence: u64,
        segment: &Arc<Segment>,
        location: RecordLocation,
    ) {
        let number = segment.header.number;
        let superseded = match kind {
            RecordKind::Put => {
                self.count_entry(segment);
                self.snapshot.entries.insert(key, Entry { sequence, segment: number, location })
            }
            RecordKind::Delete => {
                self.garbage.add_tombstone(number, u64::from(location.length));
                self.snapshot.entries.remove(&key)
            }
        };
        if let Some(entry) = superseded {
            self.garbage.add_superseded(entry.segment, number, u64::from(entry.location.length));
            self.uncount_entry(entry.segment);
        }
        self.snapshot.sequence = sequence;
    }

    fn count_entry(&mut self, segment: &Arc<Segment>) {
        let entries = self.entry_counts.entry(segment.header.number).or_default();
        if *entries == 0 {
            self.snapshot.segments.insert(segment.header.number, segment.clone());
        }
        *entries += 1;
    }

    fn uncount_entry(&mut self, segment: u64) {
        if let Some(entries) = self.entry_counts.get_mut(&segment) {
            *entries -= 1;
            if *entries == 0 {
                self.entry_counts.remove(&segment);
                self.snapshot.segments.remove(&segment);
            }
        }
    }

    /// Points keys of a merged run to the merged segment. Skips keys that have been superseded since.
    pub fn merged(
        &mut self,
        run: &[u64],
        into: &Arc<Segment>,
        records: impl Iterator<Item = IndexedRecord>,
        tombstone_bytes: u64,
    ) {
        for IndexedRecord { keyspace, key, sequence, location, .. } in records {
            let key = IndexKey::new(keyspace, &key);
            let Some(entry) = self.snapshot.entries.get_mut(&key) else { continue };
            if entry.sequence == sequence {
                let moved = Entry { sequence, segment: into.header.number, location };
                let previous = std::mem::replace(entry, moved);
                self.count_entry(into);
                self.uncount_entry(previous.segment);
            }
        }
        self.garbage.merged(run, into.header.number, tombstone_bytes);
    }
}
