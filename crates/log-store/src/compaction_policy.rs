//! Chooses which run of segments is merged. Performs no I/O and reads no clock.
//!
//! Only runs of consecutive sealed segments are merged, and a record is dropped only if a later record of the same run
//! supersedes it. So the segments up to any boundary always hold exactly the state at that boundary: a damaged segment
//! costs the records after it, but never mixes old values with new ones. A tombstone is dropped only in a run that
//! begins with the oldest segment, because no older record can reappear there.

#[cfg(test)]
mod tests;

use std::ops::RangeInclusive;

use crate::garbage::Garbage;

/// The fixed cost of a file, in bytes, added to its size when runs are compared.
const FILE_OVERHEAD_BYTES: u64 = 4096;

/// When segments are merged, and at which rate. Times are in nanoseconds, sizes in bytes.
#[derive(Clone, Copy, Debug)]
pub struct CompactionOptions {
    /// The minimum garbage fraction of a run, from 0 to 1.
    pub min_garbage_share: f64,
    /// The age of a run's oldest segment from which half of that fraction is enough.
    pub old_after_ns: i64,
    /// Above this number of segments, runs of small segments are merged regardless of their garbage.
    pub max_segments: usize,
    /// The maximum size of a run.
    pub max_run_bytes: u64,
    /// Below this amount of free disk space, any garbage justifies a merge.
    pub min_free_bytes: u64,
    /// Bytes that compaction may read and write per second.
    pub bytes_per_second: u64,
    /// The capacity of the token bucket: bytes that an idle compaction may accumulate.
    pub burst_bytes: u64,
}

impl Default for CompactionOptions {
    fn default() -> Self {
        CompactionOptions {
            min_garbage_share: 0.4,
            old_after_ns: 3600 * 1_000_000_000,
            max_segments: 64,
            max_run_bytes: 64 << 20,
            min_free_bytes: 64 << 20,
            bytes_per_second: 16 << 20,
            burst_bytes: 16 << 20,
        }
    }
}

/// The figures of a sealed segment that the policy uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SealedSegmentStats {
    pub number: u64,
    pub bytes: u64,
    /// Time since the segment was sealed, in nanoseconds; at least 0, even if the clock steps back.
    pub age_ns: i64,
    /// The segment could not be read, so no run may include it.
    pub is_corrupt: bool,
}

/// Returns the run to merge next as indices of sealed segments, or `None` if no run has enough garbage. `free_bytes` is
/// the free space on the disk. Of several runs, chooses the one that frees most relative to the cost of writing it.
pub(crate) fn choose_run(
    options: &CompactionOptions,
    sealed: &[SealedSegmentStats],
    garbage: &Garbage,
    free_bytes: u64,
) -> Option<RangeInclusive<usize>> {
    let is_disk_short = free_bytes < options.min_free_bytes;
    let are_segments_many = sealed.len() > options.max_segments;
    let mut best: Option<(f64, RangeInclusive<usize>)> = None;
    for first in 0..sealed.len() {
        let (mut bytes, mut age_ns) = (0u64, 0);
        let mut run = Vec::new();
        for (last, segment) in sealed.iter().enumerate().skip(first) {
            bytes += segment.bytes;
            age_ns = age_ns.max(segment.age_ns);
            // A segment that exceeds the limit by itself may still be compacted alone.
            if segment.is_corrupt || bytes > options.max_run_bytes && last > first {
                break;
            }
            run.push(segment.number);
            let freed = garbage.bytes_within(&run, first == 0).min(bytes);
            let written = bytes - freed;
            // The output must fit on the disk next to the input.
            if written > free_bytes {
                continue;
            }
            let share = freed as f64 / bytes.max(1) as f64;
            // Merges many small files into a few large ones, so that recovery opens fewer files.
            let gathers = are_segments_many && last > first;
            if share < min_garbage_share(options, is_disk_short, age_ns) && !gathers {
                continue;
            }
            let files_saved = if gathers { (last - first) as u64 } else { 0 };
            let saved = freed as f64 + files_saved as f64 * FILE_OVERHEAD_BYTES as f64;
            let benefit = saved / (written + FILE_OVERHEAD_BYTES) as f64;
            if best.as_ref().is_none_or(|(most, _)| benefit > *most) {
                best = Some((benefit, first..=last));
            }
        }
    }
    best.map(|(_, run)| run)
}

/// Returns the minimum garbage fraction of a run whose oldest segment has this age.
fn min_garbage_share(options: &CompactionOptions, is_disk_short: bool, age_ns: i64) -> f64 {
    if is_disk_short {
        f64::MIN_POSITIVE
    } else if age_ns >= options.old_after_ns {
        options.min_garbage_share / 2.0
    } else {
        options.min_garbage_share
    }
}
