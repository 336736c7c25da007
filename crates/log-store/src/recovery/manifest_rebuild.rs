//! Rebuilds a lost or damaged manifest from the segments in the directory.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::io;

use crate::disk::Disk;
use crate::error::OpenError;
use crate::manifest::{Manifest, ManifestSegment};
use crate::options::LogStoreOptions;
use crate::recovery::{RecoveryReport, random_identity};
use crate::segment::{self, Segment, SegmentHeader};

/// The segments found in a directory.
#[derive(Default)]
struct FoundSegments {
    readable: Vec<Segment>,
    /// Numbers of segments whose header cannot be read.
    unreadable: Vec<u64>,
    highest_number: u64,
}

/// Rebuilds the manifest from the segments in the directory. `is_corrupt` says whether there is a manifest that cannot
/// be read. Returns `None` if there is neither a segment nor a damaged manifest.
pub(super) fn rebuild_manifest(
    disk: &dyn Disk,
    options: &LogStoreOptions,
    report: &mut RecoveryReport,
    is_corrupt: bool,
) -> Result<Option<Manifest>, OpenError> {
    let FoundSegments { mut readable, unreadable: mut quarantined, highest_number } = find_segments(disk)?;
    if readable.is_empty() && quarantined.is_empty() && !is_corrupt {
        return Ok(None);
    }
    report.manifest_rebuilt = is_corrupt || !readable.is_empty();
    // If no header is from this store, but one is from another, the directory belongs to that other store.
    let is_ours = |segment: &&Segment| segment.header.identity[..8] == options.purpose();
    let Some(identity) = readable.iter().find(is_ours).map(|segment| segment.header.identity) else {
        if !readable.is_empty() {
            return Err(OpenError::OtherStore);
        }
        let identity = random_identity(options, 1);
        let (next_number, segments) = (highest_number + 1, Vec::new());
        return Ok(Some(Manifest { identity, generation: 0, next_number, segments, quarantined }));
    };
    let foreign = readable.iter().filter(|segment| segment.header.identity != identity);
    quarantined.extend(foreign.map(|segment| segment.header.number));
    readable.retain(|segment| segment.header.identity == identity);
    let segments = chain(&readable)?;
    let used: BTreeSet<u64> = segments.iter().map(|segment| segment.number).collect();
    let numbers = readable.iter().map(|segment| segment.header.number);
    let mut unused: Vec<u64> = numbers.filter(|number| !used.contains(number)).collect();
    unused.extend(quarantined);
    let next_number = highest_number + 1;
    Ok(Some(Manifest { identity, generation: 0, next_number, segments, quarantined: unused }))
}

fn find_segments(disk: &dyn Disk) -> io::Result<FoundSegments> {
    let mut found = FoundSegments::default();
    for name in disk.list()? {
        let Some(number) = segment::number_of(&name) else { continue };
        found.highest_number = found.highest_number.max(number);
        let file = disk.open(&name)?;
        match SegmentHeader::read_from(&*file)?.filter(|header| header.number == number) {
            Some(header) => found.readable.push(Segment { header, file }),
            None => found.unreadable.push(number),
        }
    }
    Ok(found)
}

/// Returns the consecutive segments from the first sequence number on.
fn chain(segments: &[Segment]) -> io::Result<Vec<ManifestSegment>> {
    let mut chain = Vec::new();
    let mut used = BTreeSet::new();
    let mut expected = 1;
    while let Some((entry, next_sequence)) = next_in_chain(segments, &used, expected)? {
        used.insert(entry.number);
        chain.push(entry);
        if next_sequence == expected {
            break;
        }
        expected = next_sequence;
    }
    Ok(chain)
}

/// Returns the segment that continues the chain at sequence number `expected`, with the sequence number after its last.
/// Of several segments that start there, an intact merged one that covers the most takes precedence, because the others
/// were merged into it.
fn next_in_chain(
    segments: &[Segment],
    used: &BTreeSet<u64>,
    expected: u64,
) -> io::Result<Option<(ManifestSegment, u64)>> {
    let mut candidates: Vec<&Segment> =
        segments.iter().filter(|segment| segment.header.first == expected).collect();
    candidates.sort_by_key(|segment| (Reverse(segment.header.merged_through), segment.header.number));
    let mut next = None;
    for segment in candidates.into_iter().filter(|segment| !used.contains(&segment.header.number)) {
        let header = &segment.header;
        let is_merged = header.is_merged();
        // After a failed sync, a segment and its replacement contain the same records. This one is cut off where the
        // next one starts.
        let before = if is_merged { u64::MAX } else { first_after(segments, expected) };
        let Some(scan) = segment::scan(segment, None, before, |_, _| {})? else { continue };
        if is_merged && scan.has_tail {
            continue;
        }
        let next_sequence = header.merged_through.map_or(scan.next_sequence, |last| last + 1);
        let entry = ManifestSegment { number: header.number, sealed_length: Some(scan.length), is_merged };
        next = Some((entry, next_sequence));
        if next_sequence > expected || is_merged {
            break;
        }
    }
    Ok(next)
}

/// Returns the lowest sequence number above `sequence` at which an unmerged segment starts.
fn first_after(segments: &[Segment], sequence: u64) -> u64 {
    let headers = segments.iter().map(|segment| &segment.header);
    let later = headers.filter(|header| header.first > sequence && !header.is_merged());
    later.map(|header| header.first).min().unwrap_or(u64::MAX)
}
