//! Parsing of batch jobs.

use base64::Engine;
use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use musli::storage;
use orchidvalve_batch::{Job, JobError, JobOrigin};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};

const ORIGIN: JobOrigin<'_> =
    JobOrigin { id: "7c41e09b52d6a3f8", hostname: "ficu95.example", route_prefix: "/pule252/", tenant: None };

fn item(id: &str, group: &str, body: &[u8]) -> Value {
    json!({
        "instance-id": id, "path": format!("/pule252/3/{id}"),
        "headers": {"Model": "daka510000", "Token-Usage": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
        "body": STANDARD.encode(body), "token-usage": 940, "group": group,
        "scorer-url": {
            "instance-id": format!("s-{id}"), "hostname": "ficu95.example", "path": "/pufi791/5e07",
            "body": STANDARD.encode(b"score this")
        }
    })
}

fn valid() -> Value {
    json!({
        "step": 7, "model": "daka510000", "min-weights-version": 6, "desired-count": 2,
        "requests": [item("i-0", "g-b", b"\xab\xcd\x00"), item("i-1", "g-a", b"other"), item("i-2", "g-b", b"\xab\xcd\x00")]
    })
}

fn parse(document: &Value) -> Result<Job, JobError> {
    Job::parse(document.to_string().as_bytes(), &ORIGIN)
}

/// Returns the document with the value at `pointer` set, or removed if `value` is `None`.
fn with(pointer: &str, value: Option<Value>) -> Value {
    let mut document = valid();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Object(fields), Some(value)) => {
            fields.insert(field.to_owned(), value);
        }
        (Value::Object(fields), None) => {
            assert!(fields.shift_remove(field).is_some(), "{pointer}");
        }
        (Value::Array(items), Some(value)) => items[field.parse::<usize>().unwrap()] = value,
        _ => panic!("{pointer} is in no object or list"),
    }
    document
}

#[test]
fn all_fields_of_a_trainers_job_are_read() {
    let job = parse(&valid()).unwrap();
    assert_eq!((job.id.as_str(), job.hostname.as_str()), ("7c41e09b52d6a3f8", "ficu95.example"));
    assert_eq!(job.route_prefix, "/pule252/");
    assert_eq!((job.step, job.model.as_deref()), (Some(7), Some("daka510000")));
    assert_eq!((job.min_weights_version, job.desired_count), (6, 2));
    assert_eq!(job.len(), 3);
    let item = job.item(1).unwrap();
    assert_eq!((item.id(), item.path()), ("i-1", "/pule252/3/i-1"));
    let headers: Vec<(&str, &str)> = item.headers().collect();
    assert_eq!(
        headers,
        [("Model", "daka510000"), ("Token-Usage", "540,400"), ("Prompt-Prefix", "9c2e41:300,5d07b8:240")]
    );
    assert_eq!(item.header("model"), Some("daka510000"));
    assert_eq!(item.header("absent"), None);
    assert_eq!(item.body(), b"other");
    assert_eq!(item.token_usage(), 940);
    let scorer = item.scorer().unwrap();
    assert_eq!((scorer.id, scorer.hostname), ("s-i-1", "ficu95.example"));
    assert_eq!((scorer.path, scorer.body), ("/pufi791/5e07", b"score this".as_slice()));
    assert_eq!(job.position("i-2"), Some(2));
    assert_eq!(job.position("i-3"), None);
    assert!(job.item(3).is_none());
}

#[test]
fn groups_are_in_the_order_of_their_first_items() {
    let job = parse(&valid()).unwrap();
    assert_eq!(job.group_count(), 2);
    assert_eq!(job.groups(), [vec![0, 2], vec![1]]);
    assert_eq!(job.items().map(|item| item.group()).collect::<Vec<_>>(), [0, 1, 0]);
}

#[test]
fn items_of_a_plain_job_are_groups_of_their_own() {
    let mut document = json!({"requests": valid()["requests"]});
    for item in document["requests"].as_array_mut().unwrap() {
        item.as_object_mut().unwrap().retain(|field, _| field != "group" && field != "scorer-url");
    }
    let job = parse(&document).unwrap();
    assert_eq!((job.step, job.model.as_deref()), (None, None));
    assert_eq!((job.min_weights_version, job.desired_count), (0, 0));
    assert_eq!(job.groups(), [vec![0], vec![1], vec![2]]);
    assert!(job.items().all(|item| item.scorer().is_none()));
    assert_eq!(job.item(2).unwrap().body(), b"\xab\xcd\x00");
}

#[test]
fn equal_bodies_of_a_group_are_stored_once() {
    let prompt = vec![7; 50_000];
    let requests: Vec<Value> = (0..8).map(|n| item(&format!("i-{n}"), "g", &prompt)).collect();
    let shared = parse(&json!({"requests": requests})).unwrap();
    assert!(shared.memory_bytes() < 2 * prompt.len());
    assert!(shared.items().all(|item| item.body() == prompt));
    let encoded = storage::to_vec(&shared).unwrap();
    assert!(encoded.len() < prompt.len() + 2_000, "{}", encoded.len());
}

#[rstest]
#[case(-4, 0)]
#[case(0, 0)]
#[case(9, 9)]
fn negative_minimum_versions_count_as_zero(#[case] sent: i64, #[case] expected: u64) {
    let job = parse(&with("/min-weights-version", Some(json!(sent)))).unwrap();
    assert_eq!(job.min_weights_version, expected);
}

const REQUIRED: [&str; 9] = [
    "/requests",
    "/requests/1/instance-id",
    "/requests/1/path",
    "/requests/1/body",
    "/requests/1/token-usage",
    "/requests/1/scorer-url/instance-id",
    "/requests/1/scorer-url/hostname",
    "/requests/1/scorer-url/path",
    "/requests/1/scorer-url/body",
];

const OPTIONAL: [&str; 8] = [
    "/step",
    "/model",
    "/min-weights-version",
    "/desired-count",
    "/requests/1/headers",
    "/requests/1/headers/Model",
    "/requests/1/group",
    "/requests/1/scorer-url",
];

/// Converts a JSON pointer such as `/requests/1/path` to a path such as `requests[1].path`.
fn as_path(pointer: &str) -> String {
    pointer[1..].replace("/1/", "[1].").replace('/', ".")
}

/// Returns the path of the object that contains the value at `pointer`.
fn path_of_parent(pointer: &str) -> String {
    match as_path(pointer).rsplit_once('.') {
        Some((parent, _)) => parent.to_owned(),
        None => "document".to_owned(),
    }
}

#[test]
fn missing_required_fields_are_reported_by_path() {
    for pointer in REQUIRED {
        let error = parse(&with(pointer, None)).expect_err(pointer).to_string();
        assert!(error.starts_with(&path_of_parent(pointer)), "{pointer}: {error}");
        let field = pointer.rsplit('/').next().unwrap();
        assert!(error.contains(&format!("missing field `{field}`")), "{pointer}: {error}");
        assert!(parse(&with(pointer, Some(Value::Null))).is_err(), "{pointer}");
    }
}

#[test]
fn optional_fields_may_be_missing() {
    for pointer in OPTIONAL {
        assert!(parse(&with(pointer, None)).is_ok(), "{pointer}");
    }
}

#[rstest]
#[case::list(json!(["wrong"]))]
#[case::flag(json!(true))]
#[case::fraction(json!(-1.5))]
#[case::object(json!({"wrong": [1]}))]
fn values_of_a_wrong_type_are_rejected_by_path(#[case] wrong: Value) {
    for pointer in REQUIRED.iter().chain(&OPTIONAL) {
        let error = parse(&with(pointer, Some(wrong.clone()))).expect_err(pointer);
        assert!(error.to_string().starts_with(&as_path(pointer)), "{pointer}: {error}");
        assert_eq!(error.status(), 400);
    }
}

#[rstest]
#[case("/step", json!(-1))]
#[case("/desired-count", json!(-1))]
#[case("/requests/1/token-usage", json!(-1))]
#[case("/requests/1/token-usage", json!(4_294_967_296_u64))]
#[case("/requests/1/instance-id", json!(""))]
#[case("/requests/1/instance-id", json!("a b"))]
#[case("/requests/1/instance-id", json!("a\r\nb"))]
#[case("/requests/1/instance-id", json!("é"))]
#[case("/requests/1/instance-id", json!("x".repeat(257)))]
#[case("/requests/1/path", json!(""))]
#[case("/requests/1/path", json!("no/slash"))]
#[case("/requests/1/path", json!("/a b"))]
#[case("/requests/1/path", json!("/a\r\nHost: x"))]
#[case("/requests/1/body", json!("not base64!"))]
#[case("/requests/1/body", json!("q83v=jRW"))]
#[case("/requests/1/body", json!("q"))]
#[case("/requests/1/headers/Model", json!("a\r\nb"))]
#[case("/requests/1/headers/Model", json!("a\0"))]
#[case("/requests/1/scorer-url/instance-id", json!(""))]
#[case("/requests/1/scorer-url/hostname", json!("a\n"))]
#[case("/requests/1/scorer-url/path", json!("x"))]
#[case("/requests/1/scorer-url/body", json!("==="))]
fn values_that_cannot_be_sent_are_rejected_by_path(#[case] pointer: &str, #[case] wrong: Value) {
    let error = parse(&with(pointer, Some(wrong))).expect_err(pointer).to_string();
    assert!(error.starts_with(&format!("{}: ", as_path(pointer))), "{error}");
}

#[rstest]
#[case("Transfer-Encoding")]
#[case("content-length")]
#[case("Host")]
#[case("Connection")]
#[case("Attempt-Id")]
#[case("")]
#[case("a b")]
#[case("a:b")]
#[case("a\r\nb")]
fn reserved_and_malformed_headers_are_rejected(#[case] name: &str) {
    let error = parse(&with("/requests/1/headers", Some(json!({name: "1"})))).unwrap_err().to_string();
    assert!(error.starts_with("requests[1].headers."), "{error}");
}

#[test]
fn a_duplicate_id_is_rejected() {
    let error = parse(&with("/requests/1/instance-id", Some(json!("i-0")))).unwrap_err();
    assert_eq!(
        error,
        JobError::DuplicateItem { path: "requests[1].instance-id".into(), other: "requests[0]".into() }
    );
}

#[test]
fn a_duplicate_field_is_rejected() {
    let text = valid().to_string().replacen("\"step\":7", "\"step\":7,\"step\":8", 1);
    let error = Job::parse(text.as_bytes(), &ORIGIN).unwrap_err().to_string();
    assert!(error.contains("duplicate field `step`"), "{error}");
}

#[test]
fn unknown_fields_are_ignored() {
    let mut document = with("/requests/1/of-tomorrow", Some(json!({"a": [1, null]})));
    document["of-tomorrow"] = json!("x");
    assert_eq!(parse(&document).unwrap(), parse(&valid()).unwrap());
}

#[test]
fn a_job_without_items_is_rejected() {
    let error = parse(&json!({"requests": []})).unwrap_err().to_string();
    assert_eq!(error, "requests: must hold at least one item");
}

#[test]
fn every_truncated_text_is_rejected() {
    let document = valid().to_string().into_bytes();
    for length in 0..document.len() {
        assert!(Job::parse(&document[..length], &ORIGIN).is_err(), "{length}");
    }
    let mut extended = document;
    extended.extend_from_slice(b"{}");
    let error = Job::parse(&extended, &ORIGIN).unwrap_err().to_string();
    assert!(error.starts_with("document: trailing characters"), "{error}");
}

#[test]
fn escapes_in_texts_are_resolved() {
    let text = valid().to_string().replace("/pule252/3/i-1", "\\/pule252\\/3\\u002fi-1");
    let job = Job::parse(text.as_bytes(), &ORIGIN).unwrap();
    assert_eq!(job.item(1).unwrap().path(), "/pule252/3/i-1");
}

#[test]
fn padding_of_bodies_is_optional() {
    let body = STANDARD_NO_PAD.encode(b"abcd");
    let job = parse(&with("/requests/1/body", Some(json!(body)))).unwrap();
    assert_eq!(job.item(1).unwrap().body(), b"abcd");
}

#[test]
fn a_stored_job_decodes_and_a_truncated_one_does_not() {
    let job = parse(&valid()).unwrap();
    let bytes = storage::to_vec(&job).unwrap();
    assert_eq!(storage::from_slice::<Job>(&bytes).unwrap(), job);
    for length in 0..bytes.len() {
        assert!(storage::from_slice::<Job>(&bytes[..length]).is_err(), "{length}");
    }
}

/// Decoding a stored job with a flipped bit fails or returns a job that can be read without a panic.
#[test]
fn a_stored_job_with_a_flipped_bit_is_handled() {
    let bytes = storage::to_vec(&parse(&valid()).unwrap()).unwrap();
    for position in 0..bytes.len() {
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[position] ^= 1 << bit;
            if let Ok(job) = storage::from_slice::<Job>(&changed) {
                for item in job.items() {
                    let _ = (item.id(), item.path(), item.body(), item.headers().count(), item.scorer());
                }
                if job.group_count() < 1_000 {
                    let _ = job.groups();
                }
            }
        }
    }
}

/// Random jobs keep all values when they are parsed and stored.
#[test]
fn random_jobs_keep_all_values() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let bodies: Vec<Vec<u8>> =
            (0..4).map(|_| (0..random.random_range(0..300)).map(|_| random.random()).collect()).collect();
        let requests: Vec<Value> = (0..random.random_range(1..40))
            .map(|n| {
                let group = format!("g-{}", random.random_range(0..6));
                item(&format!("i-{n}"), &group, &bodies[random.random_range(0..bodies.len())])
            })
            .collect();
        let job = parse(&json!({"requests": requests})).unwrap();
        let job: Job = storage::from_slice(&storage::to_vec(&job).unwrap()).unwrap();
        assert_eq!(job.len(), requests.len());
        let mut names: Vec<&Value> = Vec::new();
        for (sent, item) in requests.iter().zip(job.items()) {
            if !names.contains(&&sent["group"]) {
                names.push(&sent["group"]);
            }
            assert_eq!(sent["instance-id"], item.id());
            assert_eq!(sent["path"], item.path());
            assert_eq!(sent["body"], STANDARD.encode(item.body()));
            assert_eq!(&sent["group"], names[item.group() as usize]);
            assert_eq!(sent["scorer-url"]["body"], STANDARD.encode(item.scorer().unwrap().body));
            assert_eq!(sent["headers"]["Token-Usage"], *item.header("token-usage").unwrap());
        }
        assert_eq!(job.group_count(), names.len());
    }
}

#[rstest]
#[case::the_document("", json!(7), "an object: a batch job")]
#[case::an_item("/requests/1", json!("x"), "an object: a request of the batch job")]
#[case::a_scorer("/requests/1/scorer-url", json!("x"), "an object: the request that scores the text")]
#[case::headers("/requests/1/headers", json!(true), "an object of header names and values")]
#[case::a_text("/requests/1/path", json!(3), "a text")]
fn errors_describe_the_expected_value_in_documented_terms(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut document = valid();
    *document.pointer_mut(pointer).unwrap() = value;
    let error = parse(&document).unwrap_err().to_string();
    assert!(error.contains(&format!("expected {expected}")), "{error}");
    for internal in ["Document", "struct", "Visitor"] {
        assert!(!error.contains(internal), "{error}");
    }
}
