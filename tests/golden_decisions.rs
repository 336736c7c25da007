//! Runs of one aggregator among simulated servers, compared with recorded decisions: the calls of the action sink as
//! numbers, the ejection state of each replica after each round, and the lines of the trace.

mod simulation;

use std::collections::BTreeSet;
use std::path::Path;

use orchidvalve_golden::check_hashes;
use simulation::cases::{self, FAMILIES};
use simulation::{Outcome, run};

const SEEDS: u64 = 8;

/// Every word for a kind of trace record or a reason that the aggregator can record.
const WORDS: [&str; 32] = [
    "taken",
    "part",
    "waits",
    "launch",
    "over",
    "held",
    "aside",
    "back",
    "answered",
    "ended",
    "usual",
    "time-up",
    "lost",
    "crowded-out",
    "kills",
    "first",
    "again",
    "stranded",
    "copy",
    "doubted",
    "trial",
    "errs",
    "queue",
    "tried",
    "counts",
    "cold",
    "backlog",
    "silent",
    "failing",
    "lagging",
    "ration",
    "no-holder",
];

fn runs(family: &'static str) -> Vec<(String, Outcome)> {
    let named = |seed| (format!("{family}-{seed}"), run(cases::of(family, seed), seed, true));
    (0..SEEDS).map(named).collect()
}

#[test]
fn decisions_of_every_family_match_the_recorded_ones() {
    let all: Vec<(String, Outcome)> = std::thread::scope(|scope| {
        let families: Vec<_> = FAMILIES.iter().map(|family| scope.spawn(|| runs(family))).collect();
        families.into_iter().flat_map(|family| family.join().expect("the runs of a family end")).collect()
    });
    let words: BTreeSet<&str> =
        all.iter().flat_map(|(_, run)| run.words.iter().map(String::as_str)).collect();
    let missing: Vec<&&str> = WORDS.iter().filter(|word| !words.contains(**word)).collect();
    assert!(missing.is_empty(), "words that no run recorded: {missing:?}");
    let kinds: BTreeSet<u64> = all.iter().flat_map(|(_, run)| run.kinds.iter().copied()).collect();
    assert_eq!(kinds, (1..=8).collect(), "every call of the action sink was made in some run");
    let hashes: Vec<(String, u64)> = all
        .iter()
        .flat_map(|(name, run)| {
            [(format!("{name}-calls"), run.calls), (format!("{name}-notes"), run.records)]
        })
        .collect();
    check_hashes(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/decisions.txt"), &hashes);
}

#[test]
fn tracing_does_not_change_decisions() {
    for family in FAMILIES {
        let calls = |trace| run(cases::of(family, 3), 3, trace).calls;
        assert_eq!(calls(true), calls(false), "{family}");
    }
}
