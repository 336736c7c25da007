//! Random scenarios with many faults: each item gets exactly one correct result.

mod generations_support;

use generations_support::EXPIRES_AT;
use generations_support::scenario::{GROUPS, Scenario};
use rstest::rstest;

/// All items have results within this many steps; the longest of 800 scenarios took 2,764.
const MAX_STEPS: usize = 4_000;
const ITEMS: usize = GROUPS as usize * 4;

#[rstest]
fn every_item_gets_one_correct_result(#[values(false, true)] single: bool) {
    for seed in 0..200 {
        let mut scenario = Scenario::new(seed, single);
        let steps = (0..MAX_STEPS).take_while(|_| {
            scenario.step();
            scenario.gateway.reports.len() < ITEMS
        });
        assert!(steps.count() < MAX_STEPS, "seed {seed}: not all items have results in time");
        scenario.check_results(single);
        assert_eq!(
            (scenario.gateway.runner.in_flight(), scenario.gateway.runner.open_groups()),
            (0, 0),
            "seed {seed}"
        );
    }
}

#[test]
fn scenarios_of_neighbouring_seeds_differ() {
    let attempts = |seed| {
        let mut scenario = Scenario::new(seed, false);
        (0..200).for_each(|_| scenario.step());
        scenario.gateway.attempts.iter().map(|attempt| (attempt.item.clone(), attempt.server)).collect()
    };
    let runs: Vec<Vec<_>> = (0..20).map(attempts).collect();
    for (seed, run) in runs.iter().enumerate() {
        assert!(!runs[..seed].contains(run), "seed {seed} repeats an earlier scenario");
    }
}

#[rstest]
fn nothing_continues_after_the_batch_job_is_cancelled(#[values(20, 100, 300)] steps: u32) {
    for seed in 0..60 {
        let mut scenario = Scenario::new(seed, seed % 2 == 0);
        (0..steps).for_each(|_| scenario.step());
        let reports = scenario.gateway.reports.len();
        scenario.gateway.with_runner(|runner, out| runner.cancel("job", out));
        scenario.collect_attempts();
        let (attempts, rewards) = (scenario.gateway.attempts.len(), scenario.gateway.rewards.len());
        assert_eq!((scenario.gateway.runner.in_flight(), scenario.gateway.runner.open_groups()), (0, 0));
        scenario.gateway.advance(EXPIRES_AT);
        assert_eq!((scenario.gateway.attempts.len(), scenario.gateway.rewards.len()), (attempts, rewards));
        assert_eq!(scenario.gateway.reports.len(), reports);
    }
}
