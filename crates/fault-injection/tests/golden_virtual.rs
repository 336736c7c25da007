//! Golden traces of runs in virtual time: the report as JSON (without the wording of its verdict and proofs), the
//! lines of the front nodes' traces, and the results of an experiment. Object keys are hashed in alphabetical order,
//! because the order that `serde_json` keeps depends on the features that other packages of the build enable.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use orchidvalve::interface::AggregatorSettings;
use orchidvalve_fault_injection::MS;
use orchidvalve_fault_injection::emulator::{play_amended, play_traced};
use orchidvalve_fault_injection::experiment::{Plan, rows, run};
use orchidvalve_fault_injection::load::{PlannedQuery, arrivals};
use orchidvalve_fault_injection::policy::Policy;
use orchidvalve_fault_injection::replay::{ReplayOptions, replayed};
use orchidvalve_fault_injection::report::Report;
use orchidvalve_fault_injection::scenario::Scenario;
use orchidvalve_fault_injection::settings::settings;
use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_request_recording::{Arrival, Header, Recording};
use serde_json::Value;

/// A scenario with every kind of fault, tenants, a budget and the maintenance queue, within three seconds.
const EVERYTHING: &str = r#"
name = "everything"
lasts_s = 3.0
aim = 0.5
fronts = 3
[stores]
cells = 4
reach = 2
per_cell = 2
zones = ["a", "b"]
cores = 2
work_ms = 8.0
queue = 12
cold_s = 0.8
fall_s = 0.3
notice_ms = 200
[rules]
further_free = 8.0
further_share = 0.3
[order]
members = 3
drain_ms = 150
[[grade]]
name = "look"
effect = "pure"
soft_ms = 200
abandon_ms = 800
weight = 5.0
floor = 0.5
[[grade]]
name = "hold"
effect = "receipted"
soft_ms = 200
abandon_ms = 900
shards = 1
window_ms = 400
weight = 2.0
[[grade]]
name = "pay"
effect = "effectful"
soft_ms = 300
abandon_ms = 1000
shards = 2
[[tenant]]
name = "small"
share = 20.0
[[tenant]]
name = "large"
weight = 3.0
[[load]]
from_s = 0.0
to_s = 3.0
rate = 60.0
rate_end = 120.0
[[load]]
from_s = 1.0
to_s = 1.5
rate = 60.0
tenant = "small"
[[trouble]]
kind = "die"
at_s = 0.3
for_s = 0.6
draw = 2
[[trouble]]
kind = "slow"
factor = 5.0
at_s = 0.5
for_s = 0.7
draw = 1
[[trouble]]
kind = "silent"
at_s = 1.1
for_s = 0.5
stores = ["s-1"]
[[trouble]]
kind = "stall"
at_s = 1.3
for_s = 0.4
stores = ["s-6"]
[[trouble]]
kind = "cpu"
lost = 0.5
at_s = 0.2
for_s = 0.5
stores = ["s-3"]
[[trouble]]
kind = "refuse"
part = 0.5
at_s = 1.7
for_s = 0.4
stores = ["s-0"]
[[trouble]]
kind = "spoil"
part = 0.5
at_s = 1.8
for_s = 0.4
stores = ["s-2"]
[[trouble]]
kind = "drain"
at_s = 0.9
for_s = 0.4
stores = ["s-7"]
[[trouble]]
kind = "replace"
at_s = 1.4
stores = ["s-4"]
[[trouble]]
kind = "patch"
drain_ms = 100
at_s = 1.0
for_s = 0.3
stores = ["s-5"]
[[trouble]]
kind = "roster-lag"
by_ms = 300
at_s = 0.4
for_s = 0.5
[[trouble]]
kind = "roster-silent"
at_s = 2.0
for_s = 0.3
[[trouble]]
kind = "roster-lies"
at_s = 2.4
for_s = 0.3
[[trouble]]
kind = "front-killed"
front = 1
at_s = 1.6
for_s = 0.3
[[trouble]]
kind = "front-reload"
front = 0
at_s = 1.9
[[trouble]]
kind = "fronts-cut"
first = 1
at_s = 2.1
for_s = 0.2
"#;

/// A scenario with far more load than the stores can process, with stores that warm up, and without the maintenance
/// queue.
const CROWDED: &str = r#"
name = "crowded"
lasts_s = 2.0
fronts = 2
[stores]
cells = 3
reach = 2
cores = 1
work_ms = 10.0
queue = 6
cold_s = 1.0
[clients]
tries = 3
wait_ms = 50
[[grade]]
name = "look"
effect = "pure"
soft_ms = 150
abandon_ms = 600
floor = 0.6
[[load]]
from_s = 0.0
to_s = 2.0
rate = 130.0
[[trouble]]
kind = "die"
at_s = 0.4
for_s = 0.4
stores = ["s-1"]
[[trouble]]
kind = "patch"
drain_ms = 50
at_s = 1.2
for_s = 0.3
stores = ["s-2"]
"#;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn scenario(name: &str) -> Scenario {
    let small = || std::fs::read_to_string(golden("small.toml")).expect("the scenario file is readable");
    let text = match name {
        "everything" => EVERYTHING.to_owned(),
        "crowded" => CROWDED.to_owned(),
        _ => small(),
    };
    Scenario::read(&text).expect("the scenario or plan is valid")
}

/// Adds a value to the trace, with object keys in alphabetical order and without the texts `why` and `proof`.
fn hash(value: &Value, trace: &mut Trace) {
    match value {
        Value::Object(fields) => {
            let fields: BTreeMap<&String, &Value> = fields.iter().collect();
            trace.add_number(fields.len() as u64);
            for (name, value) in fields {
                trace.add(name.as_bytes());
                if name != "why" && name != "proof" {
                    hash(value, trace);
                }
            }
        }
        Value::Array(items) => {
            trace.add_number(items.len() as u64);
            items.iter().for_each(|item| hash(item, trace));
        }
        other => trace.add(other.to_string().as_bytes()),
    }
}

fn hash_of(value: &impl serde::Serialize) -> u64 {
    let mut trace = Trace::new();
    hash(&serde_json::to_value(value).expect("the value can be serialized"), &mut trace);
    trace.finish()
}

fn hash_report(report: &Report) -> u64 {
    let mut trace = Trace::new();
    trace.add_number(u64::from(report.verdict.exit()));
    hash(&serde_json::to_value(report).expect("the report can be serialized"), &mut trace);
    trace.finish()
}

/// Runs a scenario and returns the hashes of its report and of its trace lines.
fn run_hashes(scenario: &Scenario, seed: u64, policy: Policy, planned: Vec<PlannedQuery>) -> [u64; 2] {
    let mut lines = Trace::new();
    let mut line = |front: usize, line: String| {
        lines.add_number(front as u64);
        lines.add(line.as_bytes());
    };
    let (report, effort) =
        play_traced(scenario, seed, (policy, planned), |_| {}, Some(&mut line)).expect("the run completes");
    assert!(report.all.queries > 50 && report.attempts > 50, "{}: nearly nothing happened", scenario.name);
    lines.add_number(effort.events);
    lines.add_number(effort.rounds);
    [hash_report(&report), lines.finish()]
}

#[test]
fn runs_in_virtual_time_match_the_golden_hashes() {
    let plays = ["everything", "crowded", "small"].into_iter().flat_map(|name| {
        let seeds = if name == "everything" { 6 } else { 3 };
        Policy::ALL.into_iter().flat_map(move |policy| {
            (1..=if policy == Policy::Aggregator { seeds } else { 1 }).map(move |seed| (name, policy, seed))
        })
    });
    let plays: Vec<(&str, Policy, u64)> = plays.collect();
    let hashes: Vec<(String, u64)> = std::thread::scope(|scope| {
        let running: Vec<_> = plays
            .iter()
            .map(|(name, policy, seed)| {
                scope.spawn(move || {
                    let scenario = scenario(name);
                    let planned = arrivals(&scenario, *seed);
                    let [report, lines] = run_hashes(&scenario, *seed, *policy, planned);
                    let name = format!("{name}-{}-{seed}", policy.name());
                    [(format!("{name}-report"), report), (format!("{name}-lines"), lines)]
                })
            })
            .collect();
        running.into_iter().flat_map(|run| run.join().expect("the run completes")).collect()
    });
    check_hashes(&golden("virtual.txt"), &hashes);
}

/// Front nodes with wrong settings violate the same rules at the same times as recorded.
#[test]
fn violations_with_wrong_settings_match_the_golden_hashes() {
    type Amend = fn(&mut AggregatorSettings);
    let amends: [(&str, Amend); 3] = [
        ("pure", |o| {
            o.classes
                .iter_mut()
                .for_each(|g| g.idempotence = orchidvalve::interface::Idempotence::Idempotent);
        }),
        ("cap", |o| o.max_attempts += 8),
        ("budget", |o| o.retry_budget = None),
    ];
    let mut violations = 0;
    let hashes: Vec<(String, u64)> = amends
        .into_iter()
        .map(|(name, amend)| {
            let scenario = scenario("everything");
            let (report, _) = play_amended(&scenario, 3, Policy::Aggregator, arrivals(&scenario, 3), amend)
                .expect("the run completes");
            violations += report.violations.len();
            (format!("told-wrong-{name}"), hash_report(&report))
        })
        .collect();
    assert!(violations > 0, "no rule was violated, so nothing is compared");
    check_hashes(&golden("breaches.txt"), &hashes);
}

#[test]
fn replayed_recordings_match_the_golden_hashes() {
    let arrival = |n: u64| Arrival {
        gap_us: 3_000 + n % 7 * 4_000,
        class: (n % 3) as u32,
        tenant: n.is_multiple_of(2).then_some((n % 4 / 2) as u32),
        is_retry: n.is_multiple_of(11),
        expected_work_us: 0,
        shards: vec![(n % 5) as u32, (n % 3) as u32],
    };
    let recording = |node: &str, unix_ms: i64| Recording {
        header: Header {
            node: node.into(),
            started_unix_ms: unix_ms,
            classes: vec!["view".into(), "hold".into(), "pay".into()],
            tenants: vec!["large".into(), "small".into()],
        },
        arrivals: (0..150).map(arrival).collect(),
        torn_bytes: 0,
    };
    let scenario = scenario("everything");
    let two = [
        ("one".to_owned(), recording("one", 1_700_000_000_000)),
        ("two".to_owned(), recording("two", 1_700_000_000_250)),
    ];
    let renamed = BTreeMap::from([("view".to_owned(), "look".to_owned())]);
    let mut hashes = Vec::new();
    for (name, recordings, speed) in [("two-fronts", &two[..], 1.0), ("one-front-faster", &two[..1], 1.7)] {
        let options = ReplayOptions { speed, renamed: renamed.clone(), at_most: Some(1_800 * MS) };
        let planned =
            replayed(&scenario, recordings, &options, 5).expect("the recordings match the scenario");
        let [report, lines] = run_hashes(&scenario, 5, Policy::Aggregator, planned);
        hashes.extend([(format!("{name}-report"), report), (format!("{name}-lines"), lines)]);
    }
    check_hashes(&golden("replayed.txt"), &hashes);
}

#[test]
fn settings_and_experiment_results_match_the_golden_hashes() {
    let mut hashes: Vec<(String, u64)> = ["everything", "crowded", "small"]
        .map(|name| (format!("settings-{name}"), hash_of(&settings(&scenario(name)))))
        .into();
    let plan = "scenario = 'crowded.toml'\nseeds = 2\npolicies = ['ours', 'round-robin']\n\
                [[grid]]\nkey = 'load.*.rate'\nvalues = [60.0, 140.0]\n[[grid]]\nkey = 'stores.queue'\nvalues = [3]\n";
    let plan = Plan::read(plan).expect("the scenario or plan is valid");
    let cells = plan.cells();
    let mut names = Trace::new();
    cells.iter().for_each(|cell| names.add(cell.name().as_bytes()));
    hashes.push(("cell-names".to_owned(), names.finish()));
    let outcomes: Vec<_> = cells.iter().map(|cell| run(CROWDED, cell).expect("the run completes")).collect();
    hashes.extend(cells.iter().zip(&outcomes).map(|(cell, outcome)| {
        let name: String = cell.name().chars().map(|c| if c == ' ' { '_' } else { c }).collect();
        (name, hash_of(outcome))
    }));
    hashes.push(("rows".to_owned(), hash_of(&rows(&plan, &outcomes))));
    check_hashes(&golden("plans.txt"), &hashes);
}
