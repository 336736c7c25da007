//! The outputs and placements of stores placed by the control plane equal the recorded ones, byte for byte.

mod placement_simulation;
#[path = "../../batch-store/tests/support/mod.rs"]
mod support;

use std::path::PathBuf;

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_protocol::frames::encode;
use placement_simulation::{STEP_MS, Simulation};

const SEEDS: u64 = 30;
const ROUNDS: usize = 120;

#[test]
fn random_faults_produce_the_recorded_outputs() {
    let hashes: Vec<(String, u64)> =
        (0..SEEDS).map(|seed| (format!("seed-{seed}"), run_with_faults(seed))).collect();
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/placed_stores.txt");
    check_hashes(&path, &hashes);
}

/// Returns the hash of all outputs of a run with crashes, wiped disks, shutdowns and network partitions.
fn run_with_faults(seed: u64) -> u64 {
    let mut simulation = Simulation::new(seed);
    simulation.world.trace = Some(Trace::new());
    for _ in 0..ROUNDS {
        simulation.run_for(4 * STEP_MS);
        simulation.inject_random_fault();
        let placement = encode(simulation.placement());
        if let Some(trace) = &mut simulation.world.trace {
            trace.add(&placement);
        }
    }
    simulation.check_final_state();
    let placement = encode(simulation.placement());
    let mut trace = simulation.world.trace.unwrap_or_default();
    trace.add(&placement);
    trace.finish()
}
