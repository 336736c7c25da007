//! Retries beyond the budget and staleness of verdicts in a fleet of processes under each fault between them, against
//! the bounds of `docs/fleet.md`. `cargo bench -p orchidvalve-frontnode --bench faults` prints a table to standard
//! output.

#[path = "../tests/node_group/mod.rs"]
mod node_group;

use std::time::Duration;

use node_group::faults::{
    ALL, GOSSIP_FANOUT, GOSSIP_INTERVAL_S, NODES, bound, retries_under_fault, verdict_delay,
};

fn main() {
    println!(
        "| fault | further launches | in s | bound | verdict known by all that are reached, s | formula s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for fault in ALL {
        let (retries, elapsed) = retries_under_fault(fault, Duration::from_secs(4));
        let max_retries = bound(fault, elapsed);
        let mut stale: Vec<f64> = (0..3).map(|_| verdict_delay(fault)).collect();
        stale.sort_by(f64::total_cmp);
        let n = if fault.partitioned { 3.0 } else { NODES as f64 };
        let fanout = GOSSIP_FANOUT * (1.0 - fault.loss);
        let period = GOSSIP_INTERVAL_S + (fault.delay_ms as f64 + fault.jitter_ms as f64 / 2.0) / 1000.0;
        let formula = period * (n.ln() / (fanout + 1.0).ln() + n.ln() / fanout);
        println!(
            "| {} | {retries} | {elapsed:.1} | {max_retries:.0} | {:.2} to {:.2} | {formula:.2} |",
            fault.name, stale[0], stale[2]
        );
        assert!((retries as f64) <= max_retries, "over the bound");
    }
}
