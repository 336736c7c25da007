//! Named fault scenarios with operators and subscribers: the history is linearizable, requests are acknowledged while
//! the cluster is stable, and the tolerance and the subscribers recover in time.

use rstest::rstest;

mod support;

use support::cluster::Cluster;
use support::named_scenarios::{self, NAMED_SCENARIOS, NamedScenario};
use support::recovery::Distribution;

/// The number of runs of each scenario, set by `CONTROL_SIM_RUNS` for longer searches.
fn runs() -> u64 {
    std::env::var("CONTROL_SIM_RUNS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(5)
}

/// Distributions of the times of many recoveries.
#[derive(Default)]
struct Times {
    first_acknowledgement: Distribution,
    outage: Distribution,
    tolerance: Distribution,
    subscribers: Distribution,
    chain: Distribution,
}

impl Times {
    fn print(&mut self, name: &str) {
        println!(
            "{name}: {} recoveries in ms (min / median / p99 / max): first acknowledgement {}; outage {}; then \
             tolerance {}; subscribers {}; all in the chain {}",
            self.tolerance.count(),
            self.first_acknowledgement.summary(),
            self.outage.summary(),
            self.tolerance.summary(),
            self.subscribers.summary(),
            self.chain.summary(),
        );
    }

    fn add(&mut self, cluster: &Cluster) {
        for times in &cluster.recovery.finished {
            self.first_acknowledgement.add(times.first_acknowledgement);
            self.outage.add(times.outage);
            self.tolerance.add(times.tolerance);
            self.subscribers.add(times.subscribers);
            self.chain.add(times.chain);
        }
    }
}

/// Runs a scenario with many seeds and returns the number of requests that the operators made.
fn run_scenario(named: NamedScenario, machines: u8) -> usize {
    let chosen = std::env::var("CONTROL_SIM_SEED").ok().and_then(|seed| seed.parse::<u64>().ok());
    let (mut times, mut calls, mut violations) = (Times::default(), 0, Vec::new());
    for seed in (0..runs()).filter(|seed| chosen.is_none_or(|chosen| chosen == *seed)) {
        let mut cluster = Cluster::new(seed, named_scenarios::scenario(named, seed, machines));
        if let Err(violation) = cluster.run() {
            violations.push(violation);
        }
        times.add(&cluster);
        calls += cluster.operators.calls.len();
    }
    times.print(&format!("{named:?} on {machines}"));
    let shown = &violations[..violations.len().min(3)];
    assert!(violations.is_empty(), "{named:?}: {} of {} runs, as {shown:#?}", violations.len(), runs());
    calls
}

#[rstest]
fn a_named_scenario_violates_no_invariant(
    #[values(3, 4, 5)] machines: u8,
    #[values(
        NamedScenario::LongPartition,
        NamedScenario::Kill,
        NamedScenario::PowerLoss,
        NamedScenario::Wipe,
        NamedScenario::WipeAfterAcknowledgement,
        NamedScenario::Freeze,
        NamedScenario::HerdKill,
        NamedScenario::HerdPowerLoss,
        NamedScenario::HerdWipe,
        NamedScenario::RollingRestarts,
        NamedScenario::GracefulRestarts,
        NamedScenario::PlannedReplacement,
        NamedScenario::ShutdownDuringLoss,
        NamedScenario::ReplaceThenLoss,
        NamedScenario::SameMemberAgain,
        NamedScenario::DiskHang,
        NamedScenario::SlowDisk,
        NamedScenario::ResetLinks,
        NamedScenario::LostMessages,
        NamedScenario::LostAnswers,
        NamedScenario::PartitionThenLoss,
        NamedScenario::SingleLinkPartitionThenLoss,
        NamedScenario::QuickRestarts,
        NamedScenario::PartitionAndReset,
        NamedScenario::SubscriberRestarts,
        NamedScenario::SplitInHalves,
        NamedScenario::EverythingInTurn,
        NamedScenario::Mixed
    )]
    named: NamedScenario,
) {
    assert!(run_scenario(named, machines) as u64 > 20 * runs());
}

#[test]
fn every_scenario_has_faults() {
    for named in NAMED_SCENARIOS {
        assert!(!named_scenarios::scenario(named, 1, 3).script.is_empty(), "{named:?}");
    }
}
