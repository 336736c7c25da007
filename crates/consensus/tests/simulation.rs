//! Thousands of seeded runs under faults; the simulation checks the invariants at every step.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

mod support;

use support::simulation::{Plan, Simulation, Summary};

const THREADS: u64 = 4;

fn plan(seed: u64, machines: u8, seeds: u8) -> Plan {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x9e37_79b9);
    Plan {
        machines,
        seeds,
        faults_end_at: 10_000,
        ends_at: 50_000,
        fault_interval: random.random_range(150..1_500),
        loss: if random.random_bool(0.5) { 0.0 } else { random.random_range(0.0..0.2) },
        delay: random.random_range(2..120),
    }
}

fn add(left: Summary, right: Summary) -> Summary {
    Summary {
        views: left.views + right.views,
        acknowledged: left.acknowledged + right.acknowledged,
        wipes: left.wipes + right.wipes,
        power_losses: left.power_losses + right.power_losses,
        freezes: left.freezes + right.freezes,
        messages: left.messages + right.messages,
    }
}

fn run_range(first: u64, runs: u64, machines: u8, seeds: u8) -> Summary {
    let worker = |thread: u64| {
        let seeds_of_thread = (first..first + runs).filter(move |seed| seed % THREADS == thread);
        seeds_of_thread.fold(Summary::default(), |total, seed| {
            let mut simulation = Simulation::new(seed, plan(seed, machines, seeds));
            simulation.run();
            add(total, simulation.summary)
        })
    };
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..THREADS).map(|thread| scope.spawn(move || worker(thread))).collect();
        handles.into_iter().map(|handle| handle.join().expect("a run failed")).fold(Summary::default(), add)
    })
}

/// Runs per deployment; INTERLOCKING_RUNS sets a larger number.
fn runs() -> u64 {
    let usual = if cfg!(debug_assertions) { 100 } else { 1_000 };
    std::env::var("INTERLOCKING_RUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(usual)
}

#[rstest]
#[case::one_machine(1, 1)]
#[case::two_machines(2, 2)]
#[case::three_machines(3, 3)]
#[case::one_learner(4, 3)]
#[case::two_learners(5, 3)]
#[case::grown_from_one(3, 1)]
fn invariants_hold_and_the_system_progresses_after_the_faults(#[case] machines: u8, #[case] seeds: u8) {
    let first = u64::from(machines) * 1_000_000 + u64::from(seeds) * 100_000;
    let summary = run_range(first, runs(), machines, seeds);
    println!("{machines} machines, {seeds} seeds, {} runs: {summary:?}", runs());
    assert!(summary.power_losses > 0 && summary.freezes > 0 && summary.acknowledged > 0);
    assert!(machines < 3 || summary.wipes > 0);
}
