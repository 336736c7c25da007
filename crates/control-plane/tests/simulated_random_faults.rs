//! Seeded runs of complete control planes under random faults; the invariants are checked at every step.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::random_faults::{RandomFault, SINGLE_MACHINE_FAULTS};
use support::scenario::{Scenario, Summary};

const THREADS: u64 = 2;

/// The number of runs of each case, set by `CONTROL_SIM_RUNS` for longer searches.
fn runs() -> u64 {
    std::env::var("CONTROL_SIM_RUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(8)
}

fn add(left: Summary, right: Summary) -> Summary {
    Summary {
        events: left.events + right.events,
        faults: left.faults + right.faults,
        blackouts: left.blackouts + right.blackouts,
        views: left.views + right.views,
        acknowledged: left.acknowledged + right.acknowledged,
        refused: left.refused + right.refused,
        unclear: left.unclear + right.unclear,
        reads: left.reads + right.reads,
        checkpoints: left.checkpoints + right.checkpoints,
        records: left.records.max(right.records),
        graceful_shutdowns: left.graceful_shutdowns + right.graceful_shutdowns,
        handed_over: left.handed_over + right.handed_over,
    }
}

/// Runs a scenario with many seeds, or only the seed in `CONTROL_SIM_SEED`. Panics with up to six of the violations.
fn run_all(name: &str, runs: u64, scenario: impl Fn(u64) -> Scenario + Sync) -> Summary {
    let chosen = std::env::var("CONTROL_SIM_SEED").ok().and_then(|seed| seed.parse::<u64>().ok());
    let worker = |thread: u64| {
        let mut total = Summary::default();
        let mut violations = Vec::new();
        for seed in (0..runs).filter(|seed| seed % THREADS == thread && chosen.is_none_or(|c| c == *seed)) {
            match Cluster::new(seed, scenario(seed)).run() {
                Ok(summary) => total = add(total, summary),
                Err(violation) => violations.push(violation),
            }
        }
        (total, violations)
    };
    let results: Vec<(Summary, Vec<String>)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || worker(thread))).collect();
        handles.into_iter().map(|handle| handle.join().expect("a run failed")).collect()
    });
    let violations: Vec<&String> = results.iter().flat_map(|(_, violations)| violations).collect();
    assert!(
        violations.is_empty(),
        "{name}: {} violations, as {:#?}",
        violations.len(),
        &violations[..violations.len().min(6)]
    );
    let total = results.iter().fold(Summary::default(), |total, (summary, _)| add(total, *summary));
    println!("{name}: {runs} runs: {total:?}");
    total
}

#[rstest]
#[case::three(3)]
#[case::four(4)]
#[case::five(5)]
fn without_faults_everything_is_acknowledged(#[case] machines: u8) {
    let total = run_all("without faults", runs().min(100), |_| Scenario::without_faults(machines));
    assert!(total.acknowledged > 0 && total.reads > 0 && total.refused > 0);
    assert_eq!((total.faults, total.views), (0, runs().min(100)));
}

#[rstest]
#[case::three(3)]
#[case::four(4)]
#[case::five(5)]
fn nothing_acknowledged_is_lost_under_random_faults(#[case] machines: u8) {
    let total = run_all("random faults", runs(), |seed| Scenario::with_random_faults(seed, machines));
    assert!(total.faults > 0 && total.acknowledged > 0 && total.unclear > 0);
}

#[rstest]
#[case::kill(RandomFault::Kill)]
#[case::power_loss(RandomFault::PowerLoss)]
#[case::wipe(RandomFault::Wipe)]
#[case::freeze(RandomFault::Freeze)]
#[case::one_way_partition(RandomFault::OneWayPartition)]
#[case::single_link_partition(RandomFault::SingleLinkPartition)]
#[case::disk_hang(RandomFault::DiskHang)]
#[case::replacement(RandomFault::Replacement)]
#[case::power_loss_of_all(RandomFault::PowerLossOfAll)]
#[case::kill_of_all(RandomFault::KillOfAll)]
#[case::power_loss_of_all_and_wipe(RandomFault::PowerLossOfAllAndWipe)]
fn all_machines_recover_after_one_fault(#[case] fault: RandomFault, #[values(3, 4, 5)] machines: u8) {
    let name = format!("{fault:?}");
    let total = run_all(&name, runs(), |_| Scenario {
        faults: vec![fault],
        fault_window: (2_000, 5_000),
        ..Scenario::without_faults(machines)
    });
    assert!(total.faults >= runs());
}

#[rstest]
#[case::three(3)]
#[case::four(4)]
#[case::five(5)]
fn acknowledged_changes_survive_a_fault_of_all_machines(#[case] machines: u8) {
    let total = run_all("faults of all machines", runs(), |seed| Scenario {
        blackout_after_acknowledgement: 0.1,
        faults: vec![RandomFault::Kill, RandomFault::Freeze, RandomFault::Wipe],
        fault_interval: 2_500,
        back_within: 25_000,
        fault_window: (1_000, 12_000),
        delay: 2 + seed % 20,
        ..Scenario::without_faults(machines)
    });
    assert!(total.blackouts > runs());
}

/// Configurations are so large that the head writes checkpoints; the disks keep only the records that are needed.
#[rstest]
#[case::quiet(&[])]
#[case::fault_window(&SINGLE_MACHINE_FAULTS)]
#[case::power_loss_of_all(&[RandomFault::PowerLossOfAll, RandomFault::Wipe])]
fn checkpoints_replace_earlier_records(#[case] faults: &[RandomFault], #[values(3, 5)] machines: u8) {
    let runs = runs().div_ceil(8);
    let total = run_all("checkpoints", runs, |seed| Scenario {
        faults: faults.to_vec(),
        fault_interval: 1_500,
        fault_window: (1_000, 8_000),
        back_within: 25_000,
        client_interval: 40,
        filling: 150_000,
        delay: 2 + seed % 10,
        ..Scenario::without_faults(machines)
    });
    assert!(total.checkpoints >= runs, "{total:?}");
    // The disks hold entries between two checkpoints, views and repeated records: far fewer records than all entries.
    assert!(total.records < 250, "{total:?}");
}

/// Many small changes: the number of entries triggers a checkpoint, also while other changes are in flight.
#[rstest]
#[case::quiet(&[])]
#[case::kills(&[RandomFault::Kill, RandomFault::PowerLossOfAll])]
fn many_small_changes_trigger_a_checkpoint(#[case] faults: &[RandomFault]) {
    let total = run_all("small changes", 2, |_| Scenario {
        faults: faults.to_vec(),
        fault_interval: 2_000,
        fault_window: (1_000, 12_000),
        back_within: 25_000,
        client_interval: 20,
        own_changes: 60,
        ..Scenario::without_faults(3)
    });
    assert!(total.checkpoints >= 2, "{total:?}");
}
