//! Detection of hanging disks.

use orchidvalve_control_plane::disk_hang::{DISK_HANG_MS, DiskHangDetector};

const STEP_MS: u64 = 100;

/// Observes for `duration`, every [`STEP_MS`], that there is no progress. Returns whether the disk hangs at the end.
fn observe(detector: &mut DiskHangDetector, start: u64, duration: u64, durable: u64, waiting: bool) -> bool {
    let steps = duration / STEP_MS;
    (1..=steps).map(|step| detector.observe(start + step * STEP_MS, durable, waiting)).last().unwrap_or(false)
}

#[test]
fn a_disk_hangs_when_records_wait_too_long() {
    let mut detector = DiskHangDetector::default();
    detector.observe(1_000, 5, false);
    assert!(!observe(&mut detector, 1_000, DISK_HANG_MS - STEP_MS, 5, true));
    assert!(observe(&mut detector, 1_000 + DISK_HANG_MS - STEP_MS, STEP_MS, 5, true));
}

#[test]
fn an_idle_disk_does_not_hang() {
    let mut detector = DiskHangDetector::default();
    assert!(!observe(&mut detector, 1_000, 10 * DISK_HANG_MS, 5, false));
}

#[test]
fn a_slow_disk_does_not_hang_while_it_makes_progress() {
    let mut detector = DiskHangDetector::default();
    for record in 0..50 {
        assert!(!observe(&mut detector, 1_000 + record * 300, 300, record, true));
    }
}

#[test]
fn a_disk_that_makes_progress_again_no_longer_hangs() {
    let mut detector = DiskHangDetector::default();
    assert!(observe(&mut detector, 1_000, 2 * DISK_HANG_MS, 5, true));
    assert!(!detector.observe(1_000 + 2 * DISK_HANG_MS + 1, 6, true));
}

/// A process that was suspended for long finds its records unwritten as well; the disk may have worked all the time.
#[test]
fn time_while_the_process_was_suspended_does_not_count() {
    let mut detector = DiskHangDetector::default();
    detector.observe(1_000, 5, true);
    assert!(!detector.observe(61_000, 5, true));
}
