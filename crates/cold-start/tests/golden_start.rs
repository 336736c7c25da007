//! Decisions of starting nodes in random scenarios, compared with the recorded ones.

use std::path::PathBuf;

use orchidvalve_cold_start::probe_schedule::{initial_verification, probe_from};
use orchidvalve_cold_start::start::{ActionSink, Offer, Source, Start};
use orchidvalve_cold_start::{Nanos, StartSettings};
use orchidvalve_golden::{Trace, check_hashes};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const BEGAN: Nanos = 100_000 * S;
const RUNS: u64 = 16;
const SOURCES: [Source; 4] = [Source::Configured, Source::Disk, Source::Peer, Source::Discovery];

struct Decisions {
    trace: Trace,
    fetched: bool,
}

impl Decisions {
    fn add(&mut self, numbers: &[i64]) {
        numbers.iter().for_each(|number| self.trace.add_number(*number as u64));
    }
}

impl ActionSink for Decisions {
    fn adopt(&mut self, offer: &Offer, doubt: u32) {
        let source = SOURCES.iter().position(|source| *source == offer.source).unwrap_or(9);
        self.add(&[1, source as i64, offer.revision, offer.seen, i64::from(doubt)]);
    }

    fn request_from_peers(&mut self, wanted: Option<Option<(i64, Nanos)>>) {
        match wanted {
            Some(Some((revision, seen))) => self.add(&[2, revision, seen]),
            Some(None) => self.add(&[3]),
            None => self.add(&[4]),
        }
    }

    fn fetch(&mut self, whole: bool) {
        self.fetched = true;
        self.add(&[5, i64::from(whole)]);
    }

    fn discovery_timed_out(&mut self) {
        self.add(&[6]);
    }
}

fn run(seed: u64) -> u64 {
    let mut random = Pcg64::seed_from_u64(seed);
    let settings = StartSettings {
        expected: 300,
        fetches_a_second: 20.0,
        connects_a_second: seed.is_multiple_of(2).then_some(40.0),
        ..StartSettings::default()
    };
    let mut start = Start::new(settings, seed, (seed % 3) as u32, BEGAN);
    let mut decisions = Decisions { trace: Trace::new(), fetched: false };
    let mut answer_at = None;
    for step in 0..3_000 {
        let now = BEGAN + step * 20 * MS;
        decisions.add(&[0, now]);
        start.round(
            now,
            |inbox| {
                if random.random_bool(0.01) {
                    let source = SOURCES[random.random_range(0..3)];
                    let max_age = if random.random_bool(0.2) { 200_000 } else { 900 };
                    let age = random.random_range(0..max_age) * S;
                    let (revision, members) = (random.random_range(1..9), random.random_range(0..9));
                    let comparable = random.random_bool(0.8);
                    inbox.offer(Offer { source, revision, seen: now - age, members, comparable });
                }
                if random.random_bool(0.01) {
                    inbox.fleet(random.random_range(1..500), random.random_range(0..3));
                }
                if random.random_bool(0.002) {
                    inbox.discovery_changed();
                }
                if random.random_bool(0.002) {
                    inbox.starts(random.random_range(0..4));
                }
                if answer_at.take_if(|at| *at <= now).is_some() {
                    if random.random_bool(0.4) {
                        let discovery = Offer {
                            source: Source::Discovery,
                            revision: step,
                            seen: now,
                            members: 9,
                            comparable: true,
                        };
                        inbox.offer(discovery);
                    } else {
                        inbox.fetch_failed();
                    }
                }
            },
            &mut decisions,
        );
        if std::mem::take(&mut decisions.fetched) {
            answer_at = Some(now + random.random_range(1..2_000) * MS);
        }
        let adopted = start.adopted().map_or(-1, |offer| offer.seen);
        decisions.add(&[start.next_due(), adopted, i64::from(start.has_answer()), start.nodes() as i64]);
    }
    for subject in 0..50 {
        let (doubt, from) =
            initial_verification(&settings, 300, (seed, subject), (subject % 4) as u32, BEGAN);
        decisions.add(&[i64::from(doubt), from, probe_from(&settings, 300, seed, subject, BEGAN)]);
    }
    let counts = start.counts();
    decisions.add(&[counts.adopted, counts.refused, counts.fetches, counts.misses].map(|count| count as i64));
    decisions.trace.finish()
}

#[test]
fn decisions_match_the_recorded_ones() {
    let hashes: Vec<_> = (0..RUNS).map(|seed| (format!("run-{seed}"), run(seed))).collect();
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "tests", "golden", "start.txt"].iter().collect();
    check_hashes(&path, &hashes);
}
