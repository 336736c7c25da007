//! Golden test of calls about batch jobs: messages to store nodes and responses to clients in random scenarios,
//! compared by hashes.

mod batch_calls_support;

use std::path::Path;

use batch_calls_support::{CALLS, MAX_DURATION_MS, World};
use orchidvalve_golden::check_hashes;

#[test]
fn batch_calls_match_golden_hashes() {
    let mut hashes = Vec::new();
    for seed in 1_000..1_020 {
        let mut world = World::new(seed);
        for number in 0..CALLS {
            world.begin(number);
            world.begin_read(number);
            world.step();
        }
        let end = world.now + MAX_DURATION_MS;
        while world.now < end {
            world.step();
            world.trace.add_number(world.calls.next_wakeup());
            world.trace.add_number(world.calls.pending() as u64);
        }
        hashes.push((format!("calls-{seed}"), world.trace.finish()));
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/jobs.txt");
    check_hashes(&path, &hashes);
}
