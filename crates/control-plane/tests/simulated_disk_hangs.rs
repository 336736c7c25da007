//! Disks that hang on several machines at once, or repeatedly for a short time.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::fault_script::{Fault, FaultStep, Target};
use support::recovery::CATCH_UP_MS;
use support::scenario::Scenario;

/// Time in ms of the first hang; by then the cluster counts as stable.
const FIRST: u64 = 3_500;

fn runs() -> u64 {
    std::env::var("CONTROL_SIM_RUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(5)
}

fn hang(at: u64, target: Target, down: u64) -> FaultStep {
    FaultStep { at, fault: Fault::DiskHang { target, down } }
}

fn run(machines: u8, script: &[FaultStep], end: u64) {
    for seed in 0..runs() {
        let scenario = Scenario {
            operators: 2,
            subscribers: 4,
            fault_window: (2_000, end + CATCH_UP_MS + 100),
            script: script.to_vec(),
            delay: 10,
            back_within: 25_000,
            ..Scenario::without_faults(machines)
        };
        Cluster::new(seed, scenario).run().expect("no violation");
    }
}

/// No machine can continue without the others; all recover by themselves once the disks work again.
#[rstest]
fn all_disks_hang_at_once(#[values(3, 5)] machines: u8, #[values(400, 1_000, 2_500)] down: u64) {
    let script: Vec<FaultStep> =
        (0..usize::from(machines)).map(|machine| hang(FIRST, Target::Machine(machine), down)).collect();
    run(machines, &script, FIRST + down);
}

#[rstest]
fn as_many_disks_hang_as_may_be_lost(#[values(3, 5, 6)] machines: u8) {
    let lost = if machines >= 5 { 2 } else { 1 };
    let script: Vec<FaultStep> =
        (0..lost).map(|machine| hang(FIRST, Target::Machine(machine), 6_000)).collect();
    run(machines, &script, FIRST + 6_000);
}

/// Each hang is long enough to be detected, and each pause long enough for the machine to return.
#[rstest]
fn a_disk_hangs_again_and_again(
    #[values(3, 4, 5)] machines: u8,
    #[values(0, 1, 2)] machine: usize,
    #[values(650, 900)] down: u64,
    #[values(100, 500)] pause: u64,
) {
    let at = |index: u64| FIRST + index * (down + pause);
    let script: Vec<FaultStep> =
        (0..10).map(|index| hang(at(index), Target::Machine(machine), down)).collect();
    run(machines, &script, at(10));
}
