//! Random tests of calls about batch jobs over links that lose, duplicate and delay responses, with store nodes that
//! reject calls and become unresponsive: every response reaches its own call, once, and no client is promised that an
//! accepted job has not run.

mod batch_calls_support;

use std::collections::BTreeMap;

use batch_calls_support::{CALLS, MAX_DURATION_MS, World};

const SEEDS: u64 = 400;

#[test]
fn every_response_reaches_its_call_and_promises_hold() {
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let mut calls = Vec::new();
        for number in 0..CALLS {
            calls.push(world.begin(number));
            world.step();
        }
        let end = world.now + MAX_DURATION_MS;
        while world.now < end {
            world.step();
        }
        assert!(world.in_transit.is_empty());
        for (call, id) in &calls {
            world.check(*call, id);
            let response = format!("{:?}", world.responses[call]);
            *kinds.entry(response.split([' ', '(']).next().unwrap().to_owned()).or_default() += 1;
        }
    }
    for kind in ["Rejected", "Accepted", "OutcomeUnknown", "Body", "Unavailable", "Ended"] {
        assert!(kinds.get(kind).is_some_and(|count| *count > 20), "{kind}: {kinds:?}");
    }
}
