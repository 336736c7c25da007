//! Golden traces of the trainer's calls, of the observations of the servers, and of the violations that the invariant
//! checker reports, for a correct system and for systems with a defect.

mod support {
    pub mod recording;
    pub mod reference;
    pub mod world;
}

use std::path::Path;

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_testbed::trainer::{ReviewTimes, TrainerSettings};
use support::reference::{Defect, Reference};
use support::world::{SimulationResult, settings, simulate};

const DEFECTS: [(&str, Defect); 13] = [
    ("none", Defect::None),
    ("list-twice", Defect::ListTwice),
    ("forget-results", Defect::ForgetResults),
    ("forget-jobs", Defect::ForgetJobs),
    ("skip-event", Defect::SkipEvent),
    ("repeat-event", Defect::RepeatEvent),
    ("drop-versions", Defect::DropVersions),
    ("ignore-least-version", Defect::IgnoreMinVersion),
    ("early-reward", Defect::EarlyReward),
    ("change-body", Defect::ChangeBody),
    ("ignore-end", Defect::IgnoreEnd),
    ("run-refused", Defect::RunRefused),
    ("share-token", Defect::ShareToken),
];

fn hash(result: &SimulationResult) -> u64 {
    let mut trace = Trace::new();
    trace.add_number(result.hash);
    let stats = &result.stats;
    for number in [
        stats.steps_submitted,
        stats.steps_done,
        stats.steps_within_target,
        stats.acceptance_ms.iter().sum(),
        stats.step_ms.iter().sum(),
        stats.refusals,
        stats.completed,
        stats.expired,
        stats.version,
        stats.reviewed,
        stats.unreadable,
    ] {
        trace.add_number(number);
    }
    for violation in &result.violations {
        trace.add(violation.invariant.to_string().as_bytes());
        trace.add(violation.subject.as_bytes());
        trace.add_number(violation.at);
    }
    trace.finish()
}

/// Returns settings with overlapping steps, so that versions change during runs and items are left at the end of a
/// step.
fn busy(seed: u64) -> TrainerSettings {
    let mut settings = short();
    settings.steps.interval_ms = 1_000;
    settings.batch.required_groups = 5;
    settings.batch.carry_over = seed.is_multiple_of(2);
    settings.seed = seed;
    settings
}

fn short() -> TrainerSettings {
    let mut settings = settings();
    settings.steps.until = 8_000;
    settings.review = ReviewTimes { from: 16_000, until: 20_000 };
    settings
}

#[test]
fn trainers_and_the_invariant_checker_match_the_golden_traces() {
    let mut hashes = Vec::new();
    for (name, defect) in DEFECTS {
        let mut reference = Reference::new(defect, 60, 100);
        reference.method = "retain";
        reference.refusals = if defect == Defect::RunRefused { 20 } else { 2 };
        hashes.push((format!("busy-{name}"), hash(&simulate(busy(hashes.len() as u64), reference))));
    }
    for (number, method) in ["wait", "truncate", "retain"].into_iter().enumerate() {
        let mut reference = Reference::new(Defect::None, 5, 1_500);
        reference.method = method;
        let version_lag = number as u64 + 1;
        let mut settings = short();
        settings.steps.interval_ms = 800;
        settings.steps.steps_ahead = version_lag - 1;
        settings.batch.version_lag = version_lag;
        settings.batch.single_version = version_lag == 1;
        hashes.push((format!("calm-{method}"), hash(&simulate(settings, reference))));
    }
    check_hashes(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/trainer.txt"), &hashes);
}
