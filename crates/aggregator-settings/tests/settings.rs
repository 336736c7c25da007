//! Invalid settings.

use orchidvalve::interface::{Idempotence, MAX_DURATION};
use orchidvalve_aggregator_settings::{Section, read};
use serde_json::json;

#[test]
fn invalid_settings_are_rejected_with_their_key() {
    let good = json!({"classes": [{"objectiveNs": 1, "deadlineNs": 2, "effect": "pure"}], "balancers": 300,
        "extra": {"positions": 2, "reach": 2, "classFloor": [0.5]},
        "rules": {"budgetFree": 5.0, "repeatRatio": 0.1, "ratioSpanNs": 2_000_000_000, "fallMultiple": 2.0}});
    let parsed = read(&Section::of("settings", &good).unwrap()).unwrap();
    assert_eq!((parsed.front_nodes, parsed.retry_budget.unwrap().window), (300, 2_000_000_000));
    for (pointer, bad, message) in [
        ("/classes", json!([]), "settings.classes: names no class"),
        ("/classes/0/effect", json!("unsafe"), "settings.classes[0].effect: unknown effect 'unsafe'"),
        (
            "/classes/0/objectiveNs",
            json!(-1),
            "settings.classes[0].objectiveNs: should be a whole number, 0 or more, not -1",
        ),
        (
            "/classes/0/deadlineNs",
            json!(null),
            "settings.classes[0].deadlineNs: should be a whole number, 0 or more, not null",
        ),
        ("/extra/positions", json!(0), "settings.extra.positions: should be 1 or more, not 0"),
        ("/extra/classFloor", json!([-0.5]), "settings.extra.classFloor[0]: should be a number, 0 or more"),
        (
            "/rules/repeatRatio",
            json!(-0.1),
            "settings.rules.repeatRatio: should be a number, 0 or more, not -0.1",
        ),
        (
            "/rules/fallMultiple",
            json!("2"),
            "settings.rules.fallMultiple: should be a number, 0 or more, not \"2\"",
        ),
    ] {
        let mut settings = good.clone();
        *settings.pointer_mut(pointer).unwrap() = bad;
        assert_eq!(read(&Section::of("settings", &settings).unwrap()).unwrap_err().to_string(), message);
    }
    let mut settings = good.clone();
    settings["rules"].as_object_mut().unwrap().remove("ratioSpanNs");
    let message = read(&Section::of("settings", &settings).unwrap()).unwrap_err();
    assert_eq!(message.to_string(), "settings.rules.ratioSpanNs: missing");
}

/// Guards against durations that overflow when they are added to a point in time: an idempotency window of the largest
/// number would end before it begins, and nothing would be retried.
#[test]
fn durations_above_the_longest_count_as_the_longest() {
    for largest in [MAX_DURATION + 1, i64::MAX] {
        let settings = json!({
            "classes": [{"objectiveNs": largest, "deadlineNs": largest, "effect": "token", "windowNs": largest}],
            "extra": {"positions": 2, "reach": 2}, "limits": {"retryAfter": true, "maxRetryAfterNs": largest},
            "rules": {"budgetFree": 5.0, "ratioSpanNs": largest, "coldNs": largest, "fallNs": largest,
                "askWithinNs": largest}, "resolutionNs": largest
        });
        let read = read(&Section::of("settings", &settings).unwrap()).unwrap();
        let class = &read.classes[0];
        assert_eq!([class.latency_target, class.deadline], [MAX_DURATION; 2]);
        assert_eq!(class.idempotence, Idempotence::Deduplicated(MAX_DURATION));
        assert_eq!([read.max_retry_after, read.membership_request_interval, read.tick], [MAX_DURATION; 3]);
        assert_eq!([read.slow_start.duration, read.slow_start.overload_window], [MAX_DURATION; 2]);
        assert_eq!(read.retry_budget.unwrap().window, MAX_DURATION);
    }
    assert!(MAX_DURATION.checked_mul(1_000).is_some());
}
