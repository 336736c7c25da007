//! The settings read from fixed documents, and the text of each error, compared with recorded ones. An error names the
//! full path of its key.

use std::path::PathBuf;

use orchidvalve::interface::{AggregatorSettings, Idempotence};
use orchidvalve_aggregator_settings::{Section, read};
use orchidvalve_golden::check_samples;
use serde_json::{Value, json};

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// A document with every key.
fn full() -> Value {
    json!({
        "balancers": 3,
        "discovery": "on_request",
        "resolutionNs": 2_500_000,
        "classes": [
            {"name": "look", "effect": "pure", "objectiveNs": 400_000_000, "deadlineNs": 3_000_000_000u64,
             "aimStretch": 0.25, "lateWorth": 0.3},
            {"name": "hold", "effect": "token", "windowNs": 2_000_000_000, "objectiveNs": 500_000_000,
             "deadlineNs": 3_500_000_000u64},
            {"name": "pay", "effect": "side_effect", "objectiveNs": 600_000_000, "deadlineNs": 4_000_000_000u64}
        ],
        "projects": [{"name": "acme", "allowancePerS": 250.5}, {"name": "open"}],
        "extra": {"positions": 12, "reach": 3, "bundleMax": 4, "classFloor": [1.0, 0.6, 0.5],
                  "wholeAt": [1.0, 0.9, 0.8], "shortWorth": [0.0, 0.6, 0.1], "classFetch": [0, 2, 0]},
        "feedback": {"how": "on_probe", "names": ["waiting", "rps"]},
        "limits": {"attemptsCap": 4, "cancel": true, "secondCopies": true, "probes": true, "retryAfter": true,
                   "maxRetryAfterNs": 7_000_000_000u64},
        "rules": {"budgetFree": 5.0, "repeatRatio": 0.1, "ratioSpanNs": 2_000_000_000, "coldShare": 0.25,
                  "coldNs": 1_000_000_000, "fallMultiple": 4.0, "fallNs": 1_500_000_000, "askWithinNs": 900_000_000}
    })
}

/// The smallest document that is accepted.
fn minimal() -> Value {
    json!({"classes": [{"objectiveNs": 1, "deadlineNs": 2, "effect": "pure"}], "extra": {"positions": 2, "reach": 1}})
}

fn read_text(settings: &Value) -> Result<AggregatorSettings, String> {
    Section::of("settings", settings).and_then(|settings| read(&settings)).map_err(|error| error.to_string())
}

/// Formats the settings for the golden file.
fn format_settings(settings: &Value) -> String {
    let read = read_text(settings).unwrap();
    let mut words = Vec::new();
    for class in &read.classes {
        let effect = match class.idempotence {
            Idempotence::Idempotent => "pure".to_owned(),
            Idempotence::Deduplicated(window) => format!("receipted within {window}"),
            Idempotence::NotIdempotent => "effectful".to_owned(),
        };
        words.push(format!(
            "class {} {} {} {} {effect} {} {} {} {}",
            class.latency_target,
            class.latency_target_stretch,
            class.deadline,
            class.late_value,
            class.min_completeness,
            class.full_completeness,
            class.partial_value,
            class.second_step_requests
        ));
    }
    let retry_budget =
        read.retry_budget.map(|r| format!("{} {} {}", r.reserve, r.ratio, r.window)).unwrap_or_default();
    words.push(format!("tenants {:?}", read.tenant_rates));
    words.push(format!("nodes {} cells {} reach {}", read.front_nodes, read.cells, read.cells_per_shard));
    words.push(format!("call {} attempts {}", read.requests_per_call, read.max_attempts));
    words.push(format!("may {} {} {}", read.may_cancel, read.may_hedge, read.may_check_health));
    words.push(format!("load {} retry after {}", read.queues_reported, read.max_retry_after));
    words.push(format!("list {} {}", read.membership_on_request, read.membership_request_interval));
    words.push(format!("budget {retry_budget}"));
    let slow_start = read.slow_start;
    words.push(format!(
        "cold {} {} {} {}",
        slow_start.initial_share,
        slow_start.duration,
        slow_start.overload_multiple,
        slow_start.overload_window
    ));
    words.push(format!("tick {}", read.tick));
    words.join("; ")
}

#[test]
fn settings_match_the_recorded_ones() {
    let mut other = full();
    other["limits"]["retryAfter"] = json!(false);
    other["feedback"]["names"] = json!(["waiting"]);
    other["discovery"] = json!("pushed");
    other["rules"] = json!({"ratioSpanNs": 5});
    other["balancers"] = json!(0);
    other["resolutionNs"] = json!(0);
    other["extra"]["bundleMax"] = json!(0);
    let samples = [
        ("every-key", format_settings(&full())),
        ("least", format_settings(&minimal())),
        ("other-values", format_settings(&other)),
    ];
    check_samples(&golden("settings.txt"), &samples);
}

/// Each key of a document in turn is left out and replaced by values of other types, a negative value and 0.
#[test]
fn errors_match_the_recorded_ones() {
    let mut samples = Vec::new();
    let mut add_sample = |name: String, settings: &Value| {
        let text = match read_text(settings) {
            Ok(_) => "accepted".to_owned(),
            Err(text) => text,
        };
        samples.push((name, text));
    };
    for bad in [json!(null), json!(3), json!("text"), json!([])] {
        add_sample(format!("all={bad}"), &bad);
    }
    let mut pointers = Vec::new();
    pointers_of(&full(), String::new(), &mut pointers);
    for pointer in pointers {
        let mut left_out = full();
        if remove(&mut left_out, &pointer) {
            add_sample(format!("{pointer}=left-out"), &left_out);
        }
        for bad in
            [json!(null), json!("text"), json!(-1), json!(0), json!(0.5), json!(true), json!([]), json!({})]
        {
            let mut settings = full();
            *settings.pointer_mut(&pointer).unwrap() = bad.clone();
            add_sample(format!("{pointer}={bad}"), &settings);
        }
    }
    check_samples(&golden("settings_faults.txt"), &samples);
}

/// Collects the paths to all values of a document, in alphabetical order of the keys.
fn pointers_of(value: &Value, path: String, pointers: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            let mut keys: Vec<&String> = fields.keys().collect();
            keys.sort();
            for key in keys {
                let pointer = format!("{path}/{key}");
                pointers.push(pointer.clone());
                pointers_of(&fields[key], pointer, pointers);
            }
        }
        Value::Array(items) => {
            for (position, item) in items.iter().enumerate() {
                let pointer = format!("{path}/{position}");
                pointers.push(pointer.clone());
                pointers_of(item, pointer, pointers);
            }
        }
        _ => {}
    }
}

/// Removes the value of an object key. Returns false if the value is an item of a list instead.
fn remove(settings: &mut Value, pointer: &str) -> bool {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match settings.pointer_mut(parent).unwrap() {
        Value::Object(fields) => fields.remove(key).is_some(),
        _ => false,
    }
}

/// Each method that reads a field, on each type of value and on an absent field.
#[test]
fn single_fields_match_the_recorded_ones() {
    let document = json!({"null": null, "flag": true, "text": "t", "whole": 7, "below": -7, "share": 0.25,
        "large": u64::MAX, "list": [{"a": 1}, {}], "texts": ["a", "b"], "mixed": [1, "b"], "object": {"a": 1}});
    let mut samples = Vec::new();
    for path in ["settings", ""] {
        let section = Section::of(path, &document).unwrap();
        for name in [
            "null", "flag", "text", "whole", "below", "share", "large", "list", "texts", "mixed", "object",
            "none",
        ] {
            macro_rules! add_sample {
                ($what:literal, $read:expr) => {
                    let found = match $read {
                        Ok(found) => format!("found {found:?}"),
                        Err(error) => format!("fault {error}"),
                    };
                    samples.push((format!("{path}/{name}/{}", $what), found));
                };
            }
            add_sample!("text", section.text(name));
            add_sample!("whole-number", section.integer(name));
            add_sample!("length-of-time", section.duration(name));
            add_sample!("amount", section.non_negative(name));
            add_sample!("index", section.index(name));
            add_sample!("number", section.number(name));
            add_sample!("flag", section.flag(name));
            add_sample!("list-of-text", section.texts(name));
            add_sample!("number-or-default", section.or(name, 1.5, Section::number));
            add_sample!("section-inside", section.section(name).and_then(|inside| inside.integer("a")));
            add_sample!(
                "objects-of-list",
                section.list(name).and_then(|list| {
                    list.unwrap_or_default()
                        .iter()
                        .map(|item| item.integer("a"))
                        .collect::<Result<Vec<_>, _>>()
                })
            );
        }
    }
    check_samples(&golden("fields.txt"), &samples);
}
