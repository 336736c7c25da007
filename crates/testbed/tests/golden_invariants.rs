//! Golden results of the invariant checker: invariants, subjects and times of the violations in correct runs to which
//! seeded random observations were added, and in which others were dropped, duplicated, moved or changed.

mod support {
    pub mod observed_run;
}

use std::path::Path;

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_testbed::invariants::{InvariantBounds, InvariantChecker};
use orchidvalve_testbed::observation::Observation;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use support::observed_run::{
    ITEM, ITEM_BODY, JOB, ObservedRun, REWARD, REWARD_BODY, configuration, configuration_send_ended,
    correct_run, event_emitted, execution_started, insert, job_read, order_received, request_sent,
    response_received, response_sent, result, server_started,
};

const SEEDS: u64 = 40;
const CHANGES: usize = 3;
/// Number of runs per seed.
const RUNS_PER_SEED: usize = 25;
const IDS: [&str; 6] = ["plain-1", "plain-2", "plain-3", ITEM, REWARD, "unknown"];
const STATUSES: [u16; 10] = [200, 202, 400, 404, 409, 412, 421, 429, 500, 503];

fn one_of<T: Copy>(random: &mut Pcg64Mcg, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

fn request_observation(random: &mut Pcg64Mcg) -> Observation {
    let id = one_of(random, &IDS);
    let stamp = one_of(random, &[None, Some("stamp-p"), Some("stamp-r")]);
    let target = one_of(random, &["/plain/1", "/plain/9", "/lots/1", "/other?x"]);
    let body = one_of(random, &[5, 77, 78, ITEM_BODY, REWARD_BODY]);
    match random.random_range(0..7) {
        0 => request_sent(id, random.random_bool(0.5)),
        1 => response_received(id, one_of(random, &STATUSES), stamp, body),
        2 => execution_started(
            one_of(random, &["a1", "m1", "m2", "x1"]),
            random.random_range(100..110),
            id,
            target,
            body,
            0,
        ),
        3 => response_sent(random.random_range(100..110), id, one_of(random, &STATUSES), "stamp-p", body),
        4 => Observation::RemainingBodyReceived { id: id.to_owned(), body },
        5 => Observation::MalformedResponseReceived { id: id.to_owned() },
        _ => Observation::RequestFailed { id: id.to_owned(), connection_lost: random.random_bool(0.8) },
    }
}

fn job_observation(random: &mut Pcg64Mcg) -> Observation {
    let (job, item) = (JOB.to_owned(), ITEM.to_owned());
    match random.random_range(0..8) {
        0 => Observation::JobSendEnded { job, status: Some(one_of(random, &STATUSES)) },
        1 => Observation::JobMissing { job, status: one_of(random, &[404, 410]) },
        2 => Observation::JobCancelled { job },
        3 => Observation::JobCancelSent { job },
        4 => Observation::JobUnreadable { job },
        5 => Observation::ItemBody { job, item, body: one_of(random, &[None, Some(ITEM_BODY), Some(1)]) },
        6 => {
            event_emitted(random.random_range(200..203), random.random_range(1..8), random.random_range(1..5))
        }
        _ => {
            let mut result = result();
            match random.random_range(0..4) {
                0 => result.versions = vec![random.random_range(1..4)],
                1 => result.state = one_of(random, &["expired", "completed", "lost"]).to_owned(),
                2 => result.score = None,
                _ => result.message.truncate(random.random_range(0..200)),
            }
            job_read(vec![result])
        }
    }
}

fn configuration_observation(random: &mut Pcg64Mcg) -> Observation {
    let number = random.random_range(1..5);
    let status = one_of(random, &STATUSES);
    match random.random_range(0..6) {
        0 | 1 => {
            let mut document = configuration(number);
            document["routes"][0]["timeout-ms"] = json!(random.random_range(0..2));
            if random.random_bool(0.2) {
                document["routes"][0]["service"] = json!("models");
            }
            if random.random_bool(0.2) {
                document["routes"][1]["traffic-split"] = json!([{"service": "apps", "weight": random.random_range(0.0..1.0)}, {"service": "x", "weight": 0.0}]);
            }
            let base = random.random_range(0..number);
            let change = random.random_range(1..6);
            Observation::ConfigurationSent {
                change,
                version: number,
                base,
                document,
                valid: random.random_bool(0.8),
            }
        }
        2 => configuration_send_ended(number, status),
        3 => Observation::ConfigurationResponseLost { change: number, status },
        4 => Observation::ConfigurationObserved {
            requested_at: random.random_range(0..9_000),
            version: number,
        },
        _ => Observation::FinalConfigurationRead {
            document: random.random_bool(0.9).then(|| configuration(number)),
        },
    }
}

fn machine_observation(random: &mut Pcg64Mcg) -> Observation {
    match random.random_range(0..7) {
        0 => server_started(one_of(random, &["a1", "m1", "x1"]), one_of(random, &["apps", "models"])),
        1 => order_received(one_of(random, &["node-1", "node-2", "node-3"]), random.random_range(1..4)),
        2 => Observation::GatewayStopping { gateway: "door-1".to_owned() },
        3 => Observation::ServerDraining { server: one_of(random, &["a1", "m1", "m2"]).to_owned() },
        4 => Observation::ControlPlaneDisturbed,
        5 => Observation::MalformedRequestReceived { reason: "token".to_owned() },
        _ => Observation::Disruption { description: "a fault".to_owned(), planned: random.random_bool(0.5) },
    }
}

fn change(observed: &mut ObservedRun, random: &mut Pcg64Mcg) {
    let position = random.random_range(0..observed.len());
    match random.random_range(0..9) {
        0 => {
            observed.remove(position);
        }
        1 => {
            let (at, observation) = observed[position].clone();
            insert(observed, at + random.random_range(0..3_000), observation);
        }
        2 => {
            let (at, observation) = observed.remove(position);
            let earlier = at.saturating_sub(random.random_range(0..1_500));
            insert(observed, earlier, observation);
        }
        kind => {
            let observation = match kind {
                3 | 4 => request_observation(random),
                5 => job_observation(random),
                6 | 7 => configuration_observation(random),
                _ => machine_observation(random),
            };
            insert(observed, random.random_range(0..12_000), observation);
        }
    }
}

/// Adds all violations of a run to the trace. Returns their number.
fn check(observed: &ObservedRun, trace: &mut Trace) -> usize {
    let mut checker = InvariantChecker::new(InvariantBounds::default());
    for (at, observation) in observed {
        checker.observe(*at, observation);
        trace.add_number(checker.violations().len() as u64);
    }
    for violation in checker.finish() {
        trace.add(violation.invariant.to_string().as_bytes());
        trace.add(violation.subject.as_bytes());
        trace.add_number(violation.at);
    }
    checker.violations().len()
}

#[test]
fn the_invariant_checker_reports_the_recorded_violations() {
    let mut total = 0;
    let mut hashes = Vec::new();
    for seed in 0..SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut trace = Trace::new();
        for _ in 0..RUNS_PER_SEED {
            let mut observed = correct_run();
            for _ in 0..random.random_range(1..=CHANGES) {
                change(&mut observed, &mut random);
            }
            total += check(&observed, &mut trace);
        }
        hashes.push((format!("seed-{seed}"), trace.finish()));
    }
    assert!(total > SEEDS as usize * RUNS_PER_SEED / 3, "the runs violate invariants: {total}");
    check_hashes(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/audit.txt"), &hashes);
}
