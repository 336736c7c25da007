//! Catch-up over a narrow line while changes with large bodies continue at five per second, on disks of 64 MB whose
//! checkpoints drop entries that are being copied.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::fault_script::{Fault, FaultStep, PartitionDirection, Reachability, Target};
use support::recovery::CATCH_UP_MS;
use support::scenario::Scenario;

/// Bandwidth of a machine: 60 Mbit/s.
const LINE_BYTES_PER_MS: u64 = 7_500;
/// The part of a 64 MB disk that the ring may use.
const RING_BYTES: usize = 64 * 1024 * 1024 * 85 / 100;
const FIRST: u64 = 2_000;

/// One operator sends five changes a second while `script` runs until `end`.
fn scenario(filling: usize, script: Vec<FaultStep>, end: u64) -> Scenario {
    Scenario {
        operators: 1,
        operator_pause: 200,
        filling,
        bandwidth: Some(LINE_BYTES_PER_MS),
        compares_states: false,
        fault_window: (FIRST, end + CATCH_UP_MS + 100),
        script,
        back_within: CATCH_UP_MS,
        ..Scenario::without_faults(3)
    }
}

fn run(seed: u64, scenario: Scenario) -> Cluster {
    let mut cluster = Cluster::new(seed, scenario);
    let summary = cluster.run().expect("no violation");
    println!(
        "seed {seed}: {summary:?}, {} bytes on a disk at most, {:?}",
        cluster.max_disk_bytes, cluster.recovery.finished
    );
    assert!(cluster.max_disk_bytes < RING_BYTES, "{} bytes on one disk", cluster.max_disk_bytes);
    cluster
}

fn down(target: Target, down: u64) -> FaultStep {
    FaultStep { at: FIRST, fault: Fault::Kill { target, down } }
}

/// Size of a body in bytes, set by `CONTROL_SIM_BODY` for longer trials.
fn body_bytes() -> usize {
    std::env::var("CONTROL_SIM_BODY").ok().and_then(|bytes| bytes.parse().ok()).unwrap_or(100_000)
}

/// Changes continue for 20 s without the member: more than the log keeps, so the copy starts with a checkpoint.
#[rstest]
fn a_member_that_was_down_catches_up_while_changes_go_on(
    #[values(Target::Head, Target::Middle, Target::Tail)] target: Target,
    #[values(0, 1)] seed: u64,
) {
    let scenario = scenario(body_bytes(), vec![down(target, 20_000)], FIRST + 20_000);
    let cluster = run(seed, scenario);
    assert!(cluster.summary.checkpoints > 0);
}

/// The member is killed repeatedly while it copies; each start resumes from what the previous one had on its disk.
#[rstest]
fn restarts_in_the_middle_of_a_copy(
    #[values(Target::Middle, Target::Tail)] target: Target,
    #[values(0, 1)] seed: u64,
) {
    let mut script = vec![down(target, 10_000)];
    let mut at = FIRST + 10_000;
    for pause in [30, 80, 150, 220, 260, 300] {
        at += pause + 20 * seed;
        script.push(FaultStep { at, fault: Fault::Kill { target: Target::Last, down: 20 } });
        at += 20;
    }
    run(seed, scenario(body_bytes(), script, at));
}

/// Members are killed at various times while checkpoints are written and logs are trimmed.
#[rstest]
fn restarts_in_the_middle_of_checkpoints(#[values(0, 1, 2)] seed: u64) {
    let targets = [Target::Head, Target::Middle, Target::Tail, Target::Last];
    let script: Vec<FaultStep> = (0..10)
        .map(|index| {
            let at = FIRST + 1_000 + index * (1_300 + 70 * seed);
            FaultStep { at, fault: Fault::Kill { target: targets[index as usize % 4], down: 30 } }
        })
        .collect();
    let cluster = run(seed, scenario(2 * body_bytes(), script, FIRST + 16_000));
    assert!(cluster.summary.checkpoints > 1);
}

/// A member that starts with an empty disk catches up.
#[rstest]
fn an_empty_member_catches_up_while_changes_go_on(#[values(0, 1)] seed: u64) {
    let at = FIRST + 6_000;
    let replaced = Fault::Replace { target: Target::Middle, after: 1_000 };
    let wiped = Fault::Wipe { target: Target::Tail, down: 1_000 };
    let script =
        vec![FaultStep { at, fault: replaced }, FaultStep { at: at + 1_000 + CATCH_UP_MS, fault: wiped }];
    run(seed, scenario(body_bytes(), script, at + 2_000 + CATCH_UP_MS));
}

/// Subscribers that start empty, and subscribers that were partitioned for 20 s together with their machine, catch up.
#[rstest]
fn subscribers_catch_up_while_changes_go_on(#[values(0, 1)] seed: u64) {
    let partition = Fault::Partition {
        target: Target::Head,
        direction: PartitionDirection::Both,
        side: Reachability::OwnSubscribers,
        down: 20_000,
    };
    let script = vec![
        FaultStep { at: FIRST, fault: partition },
        FaultStep { at: FIRST + 20_000 + CATCH_UP_MS, fault: Fault::RestartSubscribers },
    ];
    let scenario = scenario(body_bytes(), script, FIRST + 20_000 + CATCH_UP_MS);
    run(seed, Scenario { subscribers: 4, ..scenario });
}

/// Size in bytes of the few largest bodies, set by `CONTROL_SIM_HUGE` for longer trials.
fn huge_bytes() -> usize {
    std::env::var("CONTROL_SIM_HUGE").ok().and_then(|bytes| bytes.parse().ok()).unwrap_or(2_000_000)
}

/// Each of the largest bodies occupies the line for a good part of a second.
#[rstest]
fn a_member_catches_up_while_a_few_bodies_are_huge(#[values(0, 1)] seed: u64) {
    let scenario = scenario(body_bytes(), vec![down(Target::Middle, 8_000)], FIRST + 8_000);
    let cluster = run(seed, Scenario { huge: Some((10, huge_bytes())), ..scenario });
    assert!(cluster.summary.checkpoints > 0);
}
