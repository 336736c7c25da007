//! Random runs of three stores and two gateways with power failures, lost links and changing placements.

mod store_simulation;
mod support;

use store_simulation::{STEPS, Simulation};

#[test]
fn accepted_jobs_and_read_results_are_never_lost() {
    let (mut accepted, mut reads, mut epochs, mut ended) = (0, 0, 0, 0);
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        for step in 0..STEPS {
            simulation.step();
            if step % 500 == 499 {
                simulation.run_until_idle();
            }
        }
        simulation.check_final_state();
        accepted += simulation.accepted.len();
        reads += simulation.reads;
        epochs += simulation.placement.epoch;
        ended += simulation.ended.len();
    }
    assert!(accepted > 200, "only {accepted} jobs were accepted");
    assert!(reads > 1_000, "only {reads} results were read");
    assert!(epochs > 500, "only {epochs} placements were decided");
    assert!(ended > 50, "only {ended} jobs were ended");
}
