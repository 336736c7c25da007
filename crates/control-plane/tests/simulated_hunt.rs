//! Long searches for violations in the named scenarios, with seeds and sizes from the environment. They do not run in CI:
//!
//! ```text
//! CONTROL_SIM_SCENARIO=QuickRestarts CONTROL_SIM_MACHINES=4 CONTROL_SIM_FIRST_SEED=0 CONTROL_SIM_RUNS=400 \
//!     cargo test --release --test simulated_hunt -- --ignored --nocapture
//! ```
//!
//! `CONTROL_SIM_SCENARIO` is the name of a scenario or `all`; `CONTROL_SIM_TOLERANCE` overrides the usual tolerance for
//! the number of machines. Every run with a violation is printed with its seed, and with `CONTROL_SIM_SHRINK=true` also
//! a shortened script that still violates.

use std::fmt::Debug;
use std::str::FromStr;

mod support;

use support::cluster::Cluster;
use support::named_scenarios::{self, NAMED_SCENARIOS};
use support::scenario::Scenario;

const USUAL_MACHINES: u8 = 3;
const USUAL_RUNS: u64 = 400;
/// Number of characters that identify the kind of a violation.
const KIND_LENGTH: usize = 24;
/// Number of seeds with which each shortened scenario is tried.
const SHRINKING_SEEDS: u64 = 8;

fn setting<T: FromStr<Err: Debug>>(name: &str) -> Option<T> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().unwrap_or_else(|error| panic!("{name}={text}: {error:?}")))
}

/// Returns the beginning of the violation's text without the numbers in it.
fn kind_of(violation: &str) -> String {
    let reason = violation.split_once("ms: ").map_or(violation, |(_, reason)| reason);
    let words = reason.chars().filter(|letter| letter.is_alphabetic() || *letter == ' ');
    words.take(KIND_LENGTH).collect()
}

/// Returns the first seed, of a few, with which a scenario shows the same kind of violation.
fn first_similar_violation(seed: u64, scenario: &Scenario, kind: &str) -> Option<(u64, String)> {
    let run = |seed| Cluster::new(seed, scenario.clone()).run().err().map(|violation| (seed, violation));
    let alike = |(_, violation): &(u64, String)| kind_of(violation) == kind;
    (seed..seed + SHRINKING_SEEDS).find_map(|seed| run(seed).filter(alike))
}

/// Removes steps, from the last one on, as long as the scenario still shows the violation; prints the remaining steps.
fn shrink(seed: u64, mut scenario: Scenario, violation: &str) {
    let kind = kind_of(violation);
    let mut found = (seed, violation.to_owned());
    for step in (0..scenario.script.len()).rev() {
        let mut smaller = scenario.clone();
        smaller.script.remove(step);
        if let Some(broken) = first_similar_violation(found.0, &smaller, &kind) {
            (found, scenario) = (broken, smaller);
        }
    }
    println!("shrunk to {} steps: {}", scenario.script.len(), found.1);
    for step in &scenario.script {
        println!("    {step:?}");
    }
}

#[test]
#[ignore = "takes minutes to hours"]
fn hunt() {
    let machines = setting("CONTROL_SIM_MACHINES").unwrap_or(USUAL_MACHINES);
    let first: u64 = setting("CONTROL_SIM_FIRST_SEED").unwrap_or(0);
    let runs = setting("CONTROL_SIM_RUNS").unwrap_or(USUAL_RUNS);
    let tolerance = setting("CONTROL_SIM_TOLERANCE").unwrap_or(Scenario::without_faults(machines).tolerance);
    let selected: String = setting("CONTROL_SIM_SCENARIO").unwrap_or_else(|| "all".to_owned());
    let scenarios =
        NAMED_SCENARIOS.iter().filter(|named| selected == "all" || selected == format!("{named:?}"));
    let (mut scenarios_run, mut failed_scenarios) = (0, Vec::new());
    for named in scenarios {
        let (mut broken, mut acknowledged, mut faults) = (0, 0, 0);
        for seed in first..first + runs {
            let scenario = Scenario { tolerance, ..named_scenarios::scenario(*named, seed, machines) };
            let mut cluster = Cluster::new(seed, scenario.clone());
            if let Err(violation) = cluster.run() {
                broken += 1;
                println!("broken: {named:?} on {machines} with tolerance {tolerance}: {violation}");
                if setting::<bool>("CONTROL_SIM_SHRINK") == Some(true) {
                    shrink(seed, scenario, &violation);
                }
            }
            acknowledged += cluster.checker.acknowledged;
            faults += cluster.summary.faults;
        }
        println!(
            "{named:?} on {machines} with tolerance {tolerance}: {runs} runs from {first}, {faults} faults, \
             {acknowledged} acknowledged, {broken} broken"
        );
        scenarios_run += 1;
        if broken > 0 {
            failed_scenarios.push(named);
        }
    }
    assert!(scenarios_run > 0, "no scenario is named {selected}");
    assert!(failed_scenarios.is_empty(), "broken: {failed_scenarios:?}");
}
