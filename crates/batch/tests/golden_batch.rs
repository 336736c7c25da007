//! Encoded samples of batch jobs and results, and the parsing of random documents and pages, by seed.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use orchidvalve_batch::results::{MAX_PAGE_BYTES, write_results_page, write_results_page_within, write_text};
use orchidvalve_batch::{ItemResult, ItemState, Job, JobError, JobOrigin};
use orchidvalve_golden::{Trace, check_hashes, check_samples, read_samples};
use orchidvalve_protocol::frames::{decode, encode};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden");

const SEEDS: u64 = 15;
const DOCUMENTS: u32 = 40;
const PAGES: u32 = 40;
const ORIGIN: JobOrigin<'_> =
    JobOrigin { id: "job-7", hostname: "batch.example", route_prefix: "/batch/", tenant: None };

fn item(id: &str, group: &str, body: &[u8]) -> Value {
    json!({
        "instance-id": id, "path": format!("/batch/3/{id}"), "body": STANDARD.encode(body), "token-usage": 940,
        "headers": {"Model": "large", "Token-Usage": "540,400"}, "group": group,
        "scorer-url": {
            "instance-id": format!("s-{id}"), "hostname": "scorer.example", "path": "/score/5",
            "body": STANDARD.encode(b"score this")
        }
    })
}

fn trainers_job() -> Job {
    let items = [item("i-0", "b", b"\xab\x00"), item("i-1", "a", b"other"), item("i-2", "b", b"\xab\x00")];
    let document = json!({
        "step": 7, "model": "large", "min-weights-version": 6, "desired-count": 2, "requests": items,
    });
    Job::parse(document.to_string().as_bytes(), &ORIGIN).expect("a job")
}

fn plain_job() -> Job {
    let items = [
        json!({"instance-id": "i-0", "path": "/batch/x", "body": "YWJj", "token-usage": 1}),
        json!({"instance-id": "i-1", "path": "/batch/y", "body": "", "token-usage": 0, "headers": {}}),
    ];
    Job::parse(json!({"requests": items}).to_string().as_bytes(), &ORIGIN).expect("a job")
}

fn completed() -> ItemResult {
    ItemResult {
        id: CompactString::from("an-id-that-is-longer-than-a-short-text-may-be"),
        state: ItemState::Completed,
        message: b"line\n\"quoted\"\x01\xff".to_vec(),
        weight_versions: vec![6, 1 << 40],
        score: Some("3e.1".to_owned()),
    }
}

#[test]
fn jobs_and_results_are_encoded_as_recorded() {
    let page = |results: &[ItemResult], total: u64, after: u64| {
        let mut out = Vec::new();
        let written = write_results_page(&mut out, total, after, results);
        assert_eq!(written, results.len() as u64);
        out
    };
    let text = |text: &[u8]| {
        let mut out = Vec::new();
        write_text(&mut out, text);
        out
    };
    let both = [completed(), ItemResult::expired("i-1")];
    let samples = [
        ("trainers-job", encode(&trainers_job())),
        ("plain-job", encode(&plain_job())),
        ("result-completed", encode(&both[0])),
        ("result-expired", encode(&both[1])),
        ("item-state-completed", encode(&ItemState::Completed)),
        ("item-state-expired", encode(&ItemState::Expired)),
        ("word-of-completed", ItemState::Completed.as_str().as_bytes().to_vec()),
        ("word-of-expired", ItemState::Expired.as_str().as_bytes().to_vec()),
        ("page", page(&both, 300, 17)),
        ("empty-page", page(&[], 300, 17)),
        ("text", text("plain \" \\ \n\r\t \u{8}\u{1f} \u{e9}\u{1f600}".as_bytes())),
        ("text-of-other-bytes", text(b"\xff\xc3(\x80end")),
        ("greatest-page", (MAX_PAGE_BYTES as u64).to_le_bytes().to_vec()),
    ];
    let path = Path::new(FOLDER).join("batch.txt");
    check_samples(&path, &samples);
    let recorded = read_samples(&path);
    assert!(decode::<Job>(&recorded[0].1) == Some(trainers_job()), "the encoded trainer job differs");
    assert!(decode::<Job>(&recorded[1].1) == Some(plain_job()), "the encoded plain job differs");
    assert!(decode::<ItemResult>(&recorded[2].1).as_ref() == Some(&both[0]), "the encoded result differs");
    assert!(
        decode::<ItemResult>(&recorded[3].1).as_ref() == Some(&both[1]),
        "the encoded expired result differs"
    );
}

fn pick<T: Clone>(random: &mut Pcg64Mcg, choices: &[T]) -> T {
    choices.choose(random).expect("a choice").clone()
}

fn one_in_a_hundred(random: &mut Pcg64Mcg) -> bool {
    random.random_bool(0.01)
}

fn random_body(random: &mut Pcg64Mcg) -> Value {
    if one_in_a_hundred(random) {
        return pick(random, &[json!("?"), json!(5), json!("YWJ")]);
    }
    let length = random.random_range(0..20);
    let bytes: Vec<u8> = (0..length).map(|_| random.random_range(b'a'..=b'c')).collect();
    json!(STANDARD.encode(bytes))
}

fn random_item(random: &mut Pcg64Mcg, number: u32) -> Value {
    let number = if one_in_a_hundred(random) { 0 } else { number };
    let mut item = json!({
        "instance-id": format!("item-{number}"), "path": format!("/batch/{}", random.random_range(0..3)),
        "body": random_body(random), "token-usage": random.random_range(0..5_000),
    });
    if random.random_bool(0.6) {
        item["group"] = json!(format!("group-{}", random.random_range(0..3)));
    }
    if random.random_bool(0.6) {
        let model = if one_in_a_hundred(random) { "a\nb" } else { pick(random, &["large", "small"]) };
        item["headers"] = json!({"Model": model, "X-N": random.random_range(0..3).to_string()});
    }
    if one_in_a_hundred(random) {
        item["headers"] = pick(random, &[json!({"Host": "x"}), json!([]), json!({"": "x"}), json!({"A": 1})]);
    }
    if random.random_bool(0.5) {
        item["scorer-url"] = json!({
            "instance-id": format!("scorer-{number}"), "hostname": pick(random, &["one.example", "two.example"]),
            "path": "/score", "body": random_body(random),
        });
    }
    if one_in_a_hundred(random) {
        let name = pick(random, &["instance-id", "path", "body", "token-usage", "group", "scorer-url"]);
        item[name] = pick(random, &[json!(null), json!(""), json!(-1), json!({}), json!("two words")]);
    }
    item
}

fn random_document(random: &mut Pcg64Mcg) -> Vec<u8> {
    let count = if one_in_a_hundred(random) { 0 } else { random.random_range(1..9) };
    let items: Vec<Value> = (0..count).map(|number| random_item(random, number)).collect();
    let mut document = json!({"unknown": [1], "requests": items});
    let step = pick(random, &[json!(7), json!(0), json!(null)]);
    let min_version = pick(random, &[json!(6), json!(-3), json!(null)]);
    for (name, value) in [
        ("step", step),
        ("model", json!("large")),
        ("min-weights-version", min_version),
        ("desired-count", json!(2)),
    ] {
        if random.random_bool(0.6) {
            document[name] = value;
        }
    }
    let mut body = document.to_string().into_bytes();
    if random.random_bool(0.03) {
        body.truncate(random.random_range(0..body.len()));
    }
    body
}

fn add_job(trace: &mut Trace, job: &Job) {
    trace.add(&encode(job));
    trace.add_number(job.len() as u64);
    for group in job.groups() {
        group.iter().for_each(|index| trace.add_number(u64::from(*index)));
        trace.add_number(u64::MAX);
    }
    for item in job.items() {
        trace.add(item.id().as_bytes());
        trace.add(item.path().as_bytes());
        trace.add(item.body());
        trace.add_number(u64::from(item.token_usage()));
        trace.add_number(u64::from(item.group()));
        for (name, value) in item.headers() {
            trace.add(name.as_bytes());
            trace.add(value.as_bytes());
        }
        trace.add(item.header("model").unwrap_or("none").as_bytes());
        let Some(scorer) = item.scorer() else { continue };
        for text in [scorer.id, scorer.hostname, scorer.path] {
            trace.add(text.as_bytes());
        }
        trace.add(scorer.body);
    }
}

fn jobs_hash(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    for _ in 0..DOCUMENTS {
        let body = random_document(&mut random);
        match Job::parse(&body, &ORIGIN) {
            Ok(job) => add_job(&mut trace, &job),
            Err(error) => {
                let (number, path) = match &error {
                    JobError::Malformed { path, .. } => (1, path),
                    JobError::DuplicateItem { path, .. } => (2, path),
                };
                trace.add_number(number);
                trace.add(path.as_bytes());
                trace.add_number(u64::from(error.status()));
            }
        }
    }
    trace.finish()
}

fn random_result(random: &mut Pcg64Mcg) -> ItemResult {
    let id = format!("item-{}", random.random_range(0..100_000));
    if random.random_bool(0.2) {
        return ItemResult::expired(&id);
    }
    let length = random.random_range(0..60);
    let message = (0..length)
        .map(|_| if random.random_bool(0.8) { random.random_range(b' '..b'~') } else { random.random() })
        .collect();
    ItemResult {
        id: CompactString::from(id),
        state: ItemState::Completed,
        message,
        weight_versions: (0..random.random_range(0..3)).map(|_| random.random_range(0..999)).collect(),
        score: random.random_bool(0.5).then(|| format!("score-{}", random.random_range(0..9))),
    }
}

fn pages_hash(seed: u64) -> u64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace::new();
    for _ in 0..PAGES {
        let results: Vec<ItemResult> =
            (0..random.random_range(0..12)).map(|_| random_result(&mut random)).collect();
        results.iter().for_each(|result| trace.add(&encode(result)));
        let (total, after) = (random.random_range(0..1_000), random.random_range(0..1_000));
        let mut out = Vec::new();
        trace.add_number(write_results_page(&mut out, total, after, &results));
        trace.add_number(write_results_page_within(
            &mut out,
            random.random_range(0..900),
            total,
            after,
            &results,
        ));
        trace.add(&out);
    }
    trace.finish()
}

#[test]
fn random_jobs_and_pages_are_as_recorded() {
    let mut hashes = Vec::new();
    for seed in 1..=SEEDS {
        hashes.push((format!("jobs-seed-{seed}"), jobs_hash(seed)));
        hashes.push((format!("pages-seed-{seed}"), pages_hash(seed)));
    }
    check_hashes(&Path::new(FOLDER).join("batch_documents.txt"), &hashes);
}
