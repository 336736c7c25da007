//! The outputs of the stores in the simulation equal the recorded ones, byte for byte.

mod store_simulation;
mod support;

use std::path::PathBuf;

use orchidvalve_golden::{Trace, check_hashes};
use store_simulation::{STEPS, Simulation};

const SEEDS: u64 = 30;

#[test]
fn stores_produce_the_recorded_outputs() {
    let hashes: Vec<(String, u64)> = (0..SEEDS).map(|seed| (format!("seed-{seed}"), outputs(seed))).collect();
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/simulation.txt");
    check_hashes(&path, &hashes);
}

/// Returns the hash of all outputs of one run.
fn outputs(seed: u64) -> u64 {
    let mut simulation = Simulation::new(seed);
    simulation.world.trace = Some(Trace::new());
    for step in 0..STEPS {
        simulation.step();
        if step % 500 == 499 {
            simulation.run_until_idle();
        }
    }
    simulation.check_final_state();
    simulation.world.trace.map_or(0, |trace| trace.finish())
}
