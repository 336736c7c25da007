//! Retries beyond the budget and staleness of verdicts in a fleet of processes under each fault between them, against
//! the bounds of `docs/fleet.md`. `cargo bench -p orchidvalve-frontnode --bench faults` prints a table to standard
//! output.

#[path = "../tests/node_group/mod.rs"]
mod node_group;

use std::time::Duration;

use node_group::faults::{ALL, GOSSIP, NODES, TOLD, bound, overshoot, staleness};

fn main() {
    println!(
        "| fault | further launches | in s | bound | verdict known by all that are reached, s | formula s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for fault in ALL {
        let (further, took) = overshoot(fault, Duration::from_secs(4));
        let most = bound(fault, took);
        let mut stale: Vec<f64> = (0..3).map(|_| staleness(fault)).collect();
        stale.sort_by(f64::total_cmp);
        let n = if fault.cut { 3.0 } else { NODES as f64 };
        let told = TOLD * (1.0 - fault.loss);
        let period = GOSSIP + (fault.delay_ms as f64 + fault.jitter_ms as f64 / 2.0) / 1000.0;
        let formula = period * (n.ln() / (told + 1.0).ln() + n.ln() / told);
        println!(
            "| {} | {further} | {took:.1} | {most:.0} | {:.2} to {:.2} | {formula:.2} |",
            fault.name, stale[0], stale[2]
        );
        assert!((further as f64) <= most, "over the bound");
    }
}
