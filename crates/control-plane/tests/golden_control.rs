//! Recorded runs of the simulated control plane: every message, commit and response with its time, and the disks.

use std::path::{Path, PathBuf};

use orchidvalve_golden::check_hashes;
use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::named_scenarios::{self, NAMED_SCENARIOS};
use support::random_faults::{RandomFault, SINGLE_MACHINE_FAULTS};
use support::scenario::Scenario;

const FAULTS: [RandomFault; 11] = [
    RandomFault::Kill,
    RandomFault::PowerLoss,
    RandomFault::Wipe,
    RandomFault::Freeze,
    RandomFault::OneWayPartition,
    RandomFault::SingleLinkPartition,
    RandomFault::DiskHang,
    RandomFault::Replacement,
    RandomFault::PowerLossOfAll,
    RandomFault::KillOfAll,
    RandomFault::PowerLossOfAllAndWipe,
];

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn check(name: &str, runs: impl IntoIterator<Item = (String, u64, Scenario)>) {
    let run = |(name, seed, scenario)| {
        let hash = Cluster::new(seed, scenario)
            .run_traced()
            .unwrap_or_else(|violation| panic!("{name}: {violation}"));
        (name, hash)
    };
    let hashes: Vec<(String, u64)> = runs.into_iter().map(run).collect();
    check_hashes(&file(name), &hashes);
}

/// Returns three, four and five machines in turn.
fn machines(number: usize) -> u8 {
    [3, 4, 5][number % 3]
}

#[test]
fn runs_without_faults_are_as_recorded() {
    let run = |seed: u64| {
        let machines = machines(seed as usize);
        (format!("machines-{machines}-seed-{seed}"), seed, Scenario::without_faults(machines))
    };
    check("calm.txt", (0..6).map(run));
}

#[test]
fn runs_with_random_faults_are_as_recorded() {
    let run = |seed: u64| {
        let machines = machines(seed as usize);
        (format!("machines-{machines}-seed-{seed}"), seed, Scenario::with_random_faults(seed, machines))
    };
    check("storm.txt", (0..18).map(run));
}

#[test]
fn runs_with_one_kind_of_fault_are_as_recorded() {
    let run = |(number, fault): (usize, &RandomFault)| {
        let (machines, seed) = (machines(number), number as u64);
        let scenario = Scenario {
            faults: vec![*fault],
            fault_window: (2_000, 5_000),
            ..Scenario::without_faults(machines)
        };
        (format!("fault-{number}-machines-{machines}"), seed, scenario)
    };
    check("faults.txt", FAULTS.iter().chain(&FAULTS).enumerate().map(run));
}

#[test]
fn runs_with_losses_right_after_acknowledgements_are_as_recorded() {
    let run = |seed: u64| {
        let machines = machines(seed as usize);
        let scenario = Scenario {
            blackout_after_acknowledgement: 0.1,
            faults: vec![RandomFault::Kill, RandomFault::Freeze, RandomFault::Wipe],
            fault_interval: 2_500,
            back_within: 25_000,
            fault_window: (1_000, 12_000),
            delay: 2 + seed % 20,
            ..Scenario::without_faults(machines)
        };
        (format!("machines-{machines}-seed-{seed}"), seed, scenario)
    };
    check("blackouts.txt", (0..6).map(run));
}

/// Runs with large configurations, and with many small changes; both cause checkpoints.
#[test]
fn runs_with_checkpoints_are_as_recorded() {
    let large = |seed: u64| Scenario {
        faults: SINGLE_MACHINE_FAULTS.to_vec(),
        fault_interval: 1_500,
        fault_window: (1_000, 4_000),
        back_within: 25_000,
        client_interval: 40,
        filling: 150_000,
        delay: 2 + seed % 10,
        ..Scenario::without_faults(3)
    };
    let small = Scenario {
        faults: vec![RandomFault::Kill, RandomFault::PowerLossOfAll],
        fault_interval: 2_000,
        fault_window: (1_000, 6_000),
        back_within: 25_000,
        client_interval: 20,
        own_changes: 60,
        ..Scenario::without_faults(3)
    };
    let runs = [("large-changes-seed-1", 1, large(1)), ("many-changes-seed-2", 2, small)];
    check("checkpoints.txt", runs.map(|(name, seed, scenario)| (name.to_owned(), seed, scenario)));
}

/// Scenarios with operators, subscribers, the platform's list and weight orders.
#[rstest]
#[case::first_quarter(0)]
#[case::second_quarter(1)]
#[case::third_quarter(2)]
#[case::last_quarter(3)]
fn named_scenarios_are_as_recorded(#[case] quarter: usize) {
    let length = NAMED_SCENARIOS.len() / 4;
    let run = |number: usize| {
        let (machines, seed) = (machines(number), number as u64);
        let scenario =
            Scenario { platform: true, ..named_scenarios::scenario(NAMED_SCENARIOS[number], seed, machines) };
        (format!("day-{number}-machines-{machines}"), seed, scenario)
    };
    check(&format!("days-{quarter}.txt"), (quarter * length..(quarter + 1) * length).map(run));
}
