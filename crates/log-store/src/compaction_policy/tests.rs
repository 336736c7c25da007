use super::*;

fn sealed(sizes: &[u64]) -> Vec<SealedSegmentStats> {
    let stats = |(n, &bytes): (usize, &u64)| SealedSegmentStats {
        number: n as u64 + 1,
        bytes,
        age_ns: 0,
        is_corrupt: false,
    };
    sizes.iter().enumerate().map(stats).collect()
}

/// Garbage in which the second segment of each pair supersedes this many bytes of the first.
fn garbage(pairs: &[((u64, u64), u64)]) -> Garbage {
    let mut garbage = Garbage::default();
    pairs.iter().for_each(|((segment, by), bytes)| garbage.add_superseded(*segment, *by, *bytes));
    garbage
}

#[test]
fn a_run_reaches_from_superseded_records_to_those_that_supersede_them() {
    let options = CompactionOptions { min_free_bytes: 0, ..CompactionOptions::default() };
    let (segments, garbage) = (sealed(&[1000, 1000, 1000, 1000]), garbage(&[((2, 3), 900)]));
    assert_eq!(choose_run(&options, &segments, &garbage, 1 << 30), Some(1..=2));
    assert_eq!(
        choose_run(&options, &segments[..2], &garbage, 1 << 30),
        None,
        "the later one is not sealed yet"
    );
}

#[test]
fn little_garbage_waits_until_it_is_old_or_the_disk_is_short_and_needs_space_to_be_written() {
    let options = CompactionOptions { min_free_bytes: 1000, ..CompactionOptions::default() };
    let (mut segments, garbage) = (sealed(&[1000, 1000]), garbage(&[((1, 2), 500)]));
    assert_eq!(choose_run(&options, &segments, &garbage, 1 << 20), None);
    segments[0].age_ns = options.old_after_ns;
    assert_eq!(choose_run(&options, &segments, &garbage, 1 << 20), Some(0..=1));
    segments[0].age_ns = 0;
    let short = CompactionOptions { min_free_bytes: 1 << 30, ..options };
    assert_eq!(choose_run(&short, &segments, &garbage, 1 << 20), Some(0..=1));
    assert_eq!(choose_run(&short, &segments, &garbage, 1400), None, "1,500 bytes would be written");
}

#[test]
fn tombstones_count_only_where_nothing_older_is_left_and_damage_is_not_merged_across() {
    let options = CompactionOptions::default();
    let mut segments = sealed(&[1000, 1000, 1000]);
    let mut tombstones = Garbage::default();
    tombstones.add_tombstone(2, 900);
    assert_eq!(choose_run(&options, &segments, &tombstones, 1 << 30), Some(0..=1));
    segments[0].is_corrupt = true;
    assert_eq!(choose_run(&options, &segments, &tombstones, 1 << 30), None);
    let across = garbage(&[((1, 3), 900)]);
    segments[0].is_corrupt = false;
    segments[1].is_corrupt = true;
    assert_eq!(choose_run(&options, &segments, &across, 1 << 30), None);
}

#[test]
fn many_small_segments_are_merged_whatever_their_garbage() {
    let options = CompactionOptions { max_segments: 3, ..CompactionOptions::default() };
    assert_eq!(choose_run(&options, &sealed(&[10; 3]), &Garbage::default(), 1 << 30), None);
    assert_eq!(choose_run(&options, &sealed(&[10; 4]), &Garbage::default(), 1 << 30), Some(0..=3));
}
