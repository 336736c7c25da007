//! The demand window: peaks, remembered peaks, speed, and work that piles up.

use orchidvalve_control_plane::demand_window::{DemandSample, DemandWindow, MEMORY_MS, WINDOW_MS};
use orchidvalve_control_plane::load_summaries::ServiceDemand;

const SLOTS: u32 = 100;
const STEP_MS: u64 = 250;

fn push(window: &mut DemandWindow, at: u64, running: u32, waiting: u32) {
    window.push(DemandSample { at, demand: ServiceDemand { running, waiting }, slots: SLOTS });
}

/// Adds samples from `from` until before `to`, with the work that `outstanding` returns.
fn fill(window: &mut DemandWindow, from: u64, to: u64, outstanding: impl Fn(u64) -> u32) {
    for at in (from..to).step_by(STEP_MS as usize) {
        let outstanding = outstanding(at);
        push(window, at, outstanding.min(SLOTS), outstanding.saturating_sub(SLOTS));
    }
}

#[test]
fn a_peak_outside_the_window_is_remembered() {
    let mut window = DemandWindow::default();
    push(&mut window, 0, 90, 5);
    fill(&mut window, STEP_MS, WINDOW_MS, |_| 10);
    assert_eq!((window.peak(), window.is_full(WINDOW_MS)), (95, true));
    fill(&mut window, WINDOW_MS, WINDOW_MS + 1_000, |_| 10);
    assert_eq!((window.peak(), window.remembered_peak()), (10, 95));
    fill(&mut window, WINDOW_MS + 1_000, MEMORY_MS + 20_000, |_| 10);
    assert_eq!(window.remembered_peak(), 10);
}

#[test]
fn a_restarted_window_keeps_the_remembered_peaks() {
    let mut window = DemandWindow::default();
    fill(&mut window, 0, WINDOW_MS + 1, |_| 50);
    assert!(window.is_full(WINDOW_MS));
    window.restart();
    push(&mut window, WINDOW_MS + 5_000, 1, 0);
    assert!(!window.is_full(WINDOW_MS + 5_000 + WINDOW_MS - 1));
    assert!(window.is_full(WINDOW_MS + 5_000 + WINDOW_MS));
    assert_eq!((window.peak(), window.remembered_peak()), (1, 50));
}

#[test]
fn the_wait_is_projected_from_the_best_speed() {
    let mut window = DemandWindow::default();
    // 200 requests per second on 100 slots.
    fill(&mut window, 0, 3_000, |at| 700 - (at / 5) as u32);
    assert_eq!(window.latest().map(|latest| latest.demand.outstanding()), Some(150));
    push(&mut window, 3_000, 100, 1_000);
    let wait_ms = window.projected_wait_ms().unwrap();
    assert!((wait_ms - 5_000.0).abs() < 1.0, "{wait_ms}");
}

#[test]
fn no_wait_is_projected_without_waiting_work_or_a_known_speed() {
    let mut window = DemandWindow::default();
    fill(&mut window, 0, 5_000, |_| 90);
    assert_eq!(window.projected_wait_ms(), None);
    fill(&mut window, 5_000, 7_000, |_| 500);
    assert_eq!(window.projected_wait_ms(), None, "the speed of the servers is unknown");
}

#[test]
fn work_that_waits_while_slots_are_free_does_not_count() {
    let mut window = DemandWindow::default();
    for at in (0..10_000).step_by(STEP_MS as usize) {
        push(&mut window, at, 30, 500 - (at / 100) as u32);
    }
    assert_eq!(window.projected_wait_ms(), None);
    assert!(!window.is_piling_up(9_750));
}

#[test]
fn work_piles_up_only_if_it_exceeds_the_slots_and_does_not_decrease() {
    let mut rising = DemandWindow::default();
    fill(&mut rising, 0, 6_000, |at| 150 + (at / 100) as u32);
    assert!(rising.is_piling_up(5_750));
    let mut falling = DemandWindow::default();
    fill(&mut falling, 0, 6_000, |at| 300 - (at / 100) as u32);
    assert!(!falling.is_piling_up(5_750));
    let mut interrupted = DemandWindow::default();
    fill(&mut interrupted, 0, 6_000, |at| if at == 3_000 { 80 } else { 200 });
    assert!(!interrupted.is_piling_up(5_750));
    let mut short = DemandWindow::default();
    fill(&mut short, 2_000, 6_000, |_| 200);
    assert!(!short.is_piling_up(5_750), "the time is too short");
}
