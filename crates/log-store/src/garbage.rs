//! The number of bytes in each segment that are no longer needed.

use std::collections::BTreeMap;

/// Garbage bytes by segment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Garbage {
    /// Bytes of records in the first segment that are superseded by records of the second.
    superseded: BTreeMap<(u64, u64), u64>,
    /// Bytes of tombstones by segment.
    tombstones: BTreeMap<u64, u64>,
}

impl Garbage {
    /// Adds bytes of `segment` that records of the segment `by`, which may be the same one, supersede.
    pub fn add_superseded(&mut self, segment: u64, by: u64, bytes: u64) {
        *self.superseded.entry((segment, by)).or_default() += bytes;
    }

    /// Adds the bytes of a tombstone in `segment`.
    pub fn add_tombstone(&mut self, segment: u64, bytes: u64) {
        *self.tombstones.entry(segment).or_default() += bytes;
    }

    /// Returns the number of bytes that merging these consecutive segments would free. Tombstones count only in a run
    /// that begins with the oldest segment.
    pub fn bytes_within(&self, run: &[u64], begins_with_oldest: bool) -> u64 {
        let pairs =
            run.iter().flat_map(|segment| self.superseded.range((*segment, 0)..=(*segment, u64::MAX)));
        let superseded: u64 = pairs.filter(|((_, by), _)| run.contains(by)).map(|(_, bytes)| bytes).sum();
        let tombstones = run.iter().filter_map(|segment| self.tombstones.get(segment)).sum::<u64>();
        superseded + if begins_with_oldest { tombstones } else { 0 }
    }

    /// Replaces the segments of a run with the segment they were merged into, which has `tombstones` bytes of
    /// tombstones.
    pub fn merged(&mut self, run: &[u64], into: u64, tombstones: u64) {
        let renamed = |segment: u64| if run.contains(&segment) { into } else { segment };
        let before = std::mem::take(&mut self.superseded);
        for ((segment, by), bytes) in before {
            let (segment, by) = (renamed(segment), renamed(by));
            if segment != by {
                *self.superseded.entry((segment, by)).or_default() += bytes;
            } else if !(run.contains(&segment) || segment == into) {
                self.superseded.insert((segment, by), bytes);
            }
        }
        for segment in run {
            self.tombstones.remove(segment);
        }
        if tombstones > 0 {
            self.tombstones.insert(into, tombstones);
        }
    }
}
