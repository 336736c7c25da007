//! Control nodes are shut down gracefully one shortly after the other and restart after each exit, while changes
//! continue.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::fault_script::{Fault, FaultStep, Target};
use support::recovery::CATCH_UP_MS;
use support::scenario::Scenario;
use support::shutdown::{AfterShutdown, GRACE_MS};

const FIRST: u64 = 2_000;
/// Time in ms from the exit of a process until it runs again.
const DOWN_MS: u64 = 400;

/// The number of runs of each scenario, set by `CONTROL_SIM_RUNS` for longer searches.
fn runs() -> u64 {
    std::env::var("CONTROL_SIM_RUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(5)
}

fn scenario(machines: u8, tolerance: usize, gap: u64, stopped: &[usize], down: u64) -> Scenario {
    let after_shutdown = AfterShutdown::Restart(down);
    let stop = |machine: usize| Fault::Stop { target: Target::Machine(machine), after_shutdown };
    let script: Vec<FaultStep> =
        (0..).zip(stopped).map(|(n, m)| FaultStep { at: FIRST + n * gap, fault: stop(*m) }).collect();
    let last = FIRST + gap * stopped.len() as u64 + GRACE_MS + down;
    Scenario {
        tolerance,
        operators: 2,
        subscribers: 4,
        placement_pause: 400,
        fault_window: (FIRST, last + CATCH_UP_MS + 100),
        script,
        delay: 10,
        back_within: 25_000,
        ..Scenario::without_faults(machines)
    }
}

/// Returns the number of graceful shutdowns in all runs, and how many of them handed over before their deadline.
fn graceful_shutdowns(scenario: &Scenario) -> (u64, u64) {
    let (mut exits, mut handed_over, mut violations) = (0, 0, Vec::new());
    for seed in 0..runs() {
        let mut cluster = Cluster::new(seed, scenario.clone());
        if let Err(violation) = cluster.run() {
            violations.push(violation);
        }
        exits += cluster.summary.graceful_shutdowns;
        handed_over += cluster.summary.handed_over;
    }
    println!("{} machines: {handed_over} of {exits} handed over", scenario.machines);
    assert!(violations.is_empty(), "{} of {} runs, as {:#?}", violations.len(), runs(), violations[0]);
    (exits, handed_over)
}

#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
#[case::six(6, 2)]
fn each_machine_hands_over(
    #[case] machines: u8,
    #[case] tolerance: usize,
    #[values(1_000, 3_000)] gap: u64,
    #[values(false, true)] reversed: bool,
) {
    let mut order: Vec<usize> = (0..usize::from(machines)).collect();
    if reversed {
        order.reverse();
    }
    let (exits, handed_over) = graceful_shutdowns(&scenario(machines, tolerance, gap, &order, DOWN_MS));
    assert_eq!(exits, runs() * u64::from(machines));
    assert_eq!(handed_over, exits);
}

/// Several machines receive the stop signal in the same millisecond.
#[rstest]
#[case::three(3, 1, &[0, 1])]
#[case::five(5, 2, &[0, 1, 2])]
#[case::six(6, 2, &[0, 1, 2])]
#[case::the_ends_of_the_chain(6, 2, &[0, 4])]
fn several_machines_stop_at_once(
    #[case] machines: u8,
    #[case] tolerance: usize,
    #[case] stopped: &[usize],
    #[values(DOWN_MS, 3_000)] down: u64,
) {
    let (exits, _) = graceful_shutdowns(&scenario(machines, tolerance, 0, stopped, down));
    assert_eq!(exits, runs() * stopped.len() as u64);
}
