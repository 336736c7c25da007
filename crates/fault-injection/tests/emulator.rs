//! Runs in virtual time: the scenarios of `deploy/rehearsals` violate no rule and are reproducible, and front nodes
//! with wrong settings violate the expected rule.

use std::path::Path;

use orchidvalve::interface::{AggregatorSettings, Idempotence};
use orchidvalve_fault_injection::emulator::{play, play_amended};
use orchidvalve_fault_injection::load::arrivals;
use orchidvalve_fault_injection::policy::Policy;
use orchidvalve_fault_injection::report::{Report, Verdict};
use orchidvalve_fault_injection::scenario::{Fault, FaultKind, Scenario};

fn load_scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/rehearsals").join(name);
    Scenario::read(&std::fs::read_to_string(path.with_extension("toml")).unwrap()).unwrap()
}

fn run(scenario: &Scenario, seed: u64) -> Report {
    play(scenario, seed, Policy::Aggregator).unwrap().0
}

#[test]
fn deployed_scenarios_violate_no_rule_and_are_reproducible() {
    let names = [
        "small",
        "month-end",
        "store-release",
        "zone-lost",
        "retry-storm",
        "roster-outage",
        "moving-weekend",
    ];
    std::thread::scope(|scope| {
        for name in names {
            scope.spawn(move || {
                let scenario = load_scenario(name);
                let report = run(&scenario, 1);
                assert_eq!((report.verdict, &report.violations), (Verdict::Held, &Vec::new()), "{name}");
                assert!(report.all.queries > 100, "{name}");
                if name == "small" {
                    let text = |r: &Report| serde_json::to_string(r).unwrap();
                    assert_eq!(text(&report), text(&run(&scenario, 1)), "runs of the same seed differ");
                    assert_ne!(text(&report), text(&run(&scenario, 2)));
                }
            });
        }
    });
}

/// Without the maintenance queue, both replicas of a shard are taken out of service at the same time; with it, never.
#[test]
fn service_during_maintenance_is_higher_with_the_maintenance_queue() {
    let alone = run(&load_scenario("moving-weekend-alone"), 1);
    assert_eq!(alone.verdict, Verdict::FellShort, "{}", alone.why);
    let agreed = run(&load_scenario("moving-weekend"), 1);
    assert!(agreed.service > alone.service + 0.03, "{} and {}", agreed.service, alone.service);
}

/// Settings with an effectful class as idempotent, or with a minimum completeness that is too low, violate only the
/// rule that they concern.
#[test]
fn wrong_class_settings_violate_the_expected_rule() {
    let scenario = {
        let mut s = load_scenario("small");
        s.load.iter_mut().for_each(|load| load.rate = 150.0);
        // Half of the shard requests of two of the three stores fail, so many are attempted again and some responses
        // are partial.
        let failing = Fault {
            at_s: 0.5,
            for_s: Some(3.0),
            stores: vec!["s-0".to_owned(), "s-1".to_owned()],
            zone: None,
            draw: 0,
            share: 0.5,
            kind: FaultKind::Spoil { part: 0.5 },
        };
        s.faults.push(failing);
        s
    };
    let report = play_amended(&scenario, 3, Policy::Aggregator, arrivals(&scenario, 3), |_| {}).unwrap().0;
    assert_eq!(report.violations, Vec::new(), "the scenario's own settings violate a rule");
    let violated_rules = |amend: fn(&mut AggregatorSettings)| {
        let (report, _) =
            play_amended(&scenario, 3, Policy::Aggregator, arrivals(&scenario, 3), amend).unwrap();
        assert_eq!(report.verdict, Verdict::RuleBroken, "{}", report.why);
        let mut rules: Vec<u8> = report.violations.iter().map(|b| b.rule).collect();
        rules.dedup();
        rules
    };
    assert_eq!(
        violated_rules(|o| o.classes.iter_mut().for_each(|g| g.idempotence = Idempotence::Idempotent)),
        [2]
    );
    assert_eq!(
        violated_rules(|o| o
            .classes
            .iter_mut()
            .for_each(|g| (g.min_completeness, g.partial_value) = (0.1, 0.9))),
        [5]
    );
}

/// The cap on attempts is raised while all shard requests of three stores fail for two seconds.
#[test]
fn a_raised_attempt_cap_violates_the_rule_on_attempts() {
    let mut scenario = load_scenario("small");
    scenario
        .faults
        .iter_mut()
        .for_each(|t| (t.kind, t.at_s, t.for_s) = (FaultKind::Spoil { part: 1.0 }, 0.5, Some(2.0)));
    let report = |amend: fn(&mut AggregatorSettings)| {
        play_amended(&scenario, 1, Policy::Aggregator, arrivals(&scenario, 1), amend).unwrap().0
    };
    assert_eq!(report(|_| {}).violations, Vec::new(), "the scenario's own settings violate a rule");
    let rules: Vec<u8> = report(|o| o.max_attempts += 8).violations.iter().map(|b| b.rule).collect();
    assert!(!rules.is_empty() && rules.iter().all(|r| *r == 6), "{rules:?}");
}

/// All stores of a zone are unresponsive: the oracle and the aggregator meet more latency targets than random choice.
#[test]
fn random_choice_ranks_below_the_oracle_and_the_aggregator() {
    let scenario = load_scenario("zone-lost");
    let service = |policy| play(&scenario, 2, policy).unwrap().0.all.within_target;
    let (aggregator, oracle, random) =
        (service(Policy::Aggregator), service(Policy::Oracle), service(Policy::Random));
    assert!(
        oracle > random && aggregator > random,
        "aggregator {aggregator}, oracle {oracle}, random {random}"
    );
}

/// Each front node receives a query about every two seconds, so while it waits for an unresponsive store only its own
/// timer wakes it. A timer that an earlier round had dropped left 35 of 1,526 queries waiting until their deadline.
#[test]
fn a_timer_stays_set_until_it_is_due_without_further_inputs() {
    let scenario = {
        let mut s = load_scenario("zone-lost");
        s.front_nodes = 150;
        s.load.iter_mut().for_each(|load| load.rate = 60.0);
        s
    };
    let report = run(&scenario, 2);
    let pure = report.classes.iter().filter(|(name, _)| name != "payment");
    pure.for_each(|(name, c)| assert_eq!(c.answered, c.queries, "{name}"));
}
