//! Scenarios that violated an invariant once, reduced to the steps that reproduce it.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::fault_script::{Fault, FaultStep, PartitionDirection, Reachability, Target};
use support::recovery::CATCH_UP_MS;
use support::scenario::Scenario;

const FIRST: u64 = 2_000;

fn run(seed: u64, script: Vec<FaultStep>, end: u64) {
    let fault_window = (FIRST, end + CATCH_UP_MS + 100);
    let scenario =
        Scenario { operators: 1, fault_window, script, back_within: 25_000, ..Scenario::without_faults(3) };
    Cluster::new(seed, scenario).run().expect("no violation");
}

/// The chain waited for a disk that hangs or is full as long as it did: nothing was acknowledged for 5 s, although the
/// cluster counts as stable while a disk hangs.
#[rstest]
fn changes_are_acknowledged_while_a_disk_hangs(
    #[values(Target::Head, Target::Middle, Target::Tail)] target: Target,
) {
    let hang = Fault::DiskHang { target, down: 5_000 };
    // By then the cluster counts as stable.
    let at = FIRST + 1_500;
    run(0, vec![FaultStep { at, fault: hang }], at + 5_000);
}

/// Two members that do not reach each other repeatedly removed each other from the chain, and were held back for
/// that. When the chain then lost another member, two complete copies were on standby and only one was in the chain.
#[rstest]
fn the_tolerance_recovers_from_a_link_partition_and_a_freeze(#[values(1_500, 2_300)] freeze: u64) {
    let partition = Fault::Partition {
        target: Target::Tail,
        direction: PartitionDirection::OneLink,
        side: Reachability::Reachable,
        down: 20_000,
    };
    let second = FIRST + 20_000 + CATCH_UP_MS + 100;
    let script = vec![
        FaultStep { at: FIRST, fault: partition },
        FaultStep { at: second, fault: Fault::Freeze { target: Target::Tail, down: freeze } },
    ];
    run(1, script, second + freeze);
}

/// A standby mistook entries from the tail's former process for the response to the position that it had sent to the new
/// process. The new process had dropped that position and never sent the standby any entries again.
#[test]
fn a_standby_catches_up_after_a_quick_restart_of_the_tail() {
    let kill = Fault::Kill { target: Target::Tail, down: 1 };
    let scenario = Scenario {
        operators: 2,
        operator_pause: 25,
        fault_window: (FIRST, 4_000),
        script: vec![FaultStep { at: 2_500, fault: kill }],
        delay: 10,
        back_within: 25_000,
        ..Scenario::without_faults(4)
    };
    Cluster::new(9, scenario).run().expect("no violation");
}
