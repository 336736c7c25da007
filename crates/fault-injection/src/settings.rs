//! The settings of front nodes that a scenario implies, in the format of their configuration.

use serde_json::{Value, json};

use crate::scenario::{Effect, Scenario, ms, seconds};

/// Returns the settings object of the front nodes' configuration.
pub fn settings(scenario: &Scenario) -> Value {
    let effect = |e: Effect| match e {
        Effect::Pure => "pure",
        Effect::Receipted => "token",
        Effect::Effectful => "side_effect",
    };
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|g| {
            json!({"name": g.name, "effect": effect(g.effect), "objectiveNs": ms(g.latency_target_ms), "deadlineNs": ms(g.deadline_ms),
                   "windowNs": ms(g.window_ms), "lateWorth": 0.3, "value": 1.0, "group": "all"})
        })
        .collect();
    let floors: Vec<f64> = scenario.classes.iter().map(|g| g.floor).collect();
    let (complete, partial): (Vec<f64>, Vec<f64>) = floors.iter().map(|_| (1.0, 0.5)).unzip();
    let projects: Vec<Value> = scenario
        .tenants
        .iter()
        .map(|t| {
            let mut project = json!({"name": t.name});
            if let Some(share) = t.share {
                project["allowancePerS"] = json!(share);
            }
            project
        })
        .collect();
    let (s, r) = (&scenario.stores, &scenario.rules);
    let mut rules = json!({"coldShare": r.cold_share, "coldNs": seconds(s.cold_s), "fallMultiple": r.cold_multiple,
                           "fallNs": ms(r.cold_window_ms), "stopSendingWithinNs": ms(r.grace_ms)});
    if let Some(free) = r.further_free {
        rules["budgetFree"] = json!(free);
        rules["repeatRatio"] = json!(r.further_share);
        rules["ratioSpanNs"] = json!(ms(r.further_window_ms));
    }
    json!({
        "balancers": scenario.front_nodes,
        "classes": classes,
        "projects": projects,
        "extra": {"positions": s.cells, "reach": s.reach, "slices": s.cells, "bundleMax": 4, "classFloor": floors,
                  "wholeAt": complete, "shortWorth": partial},
        "feedback": {"how": "on_probe", "names": ["waiting", "rps"]},
        "limits": {"attemptsCap": r.attempts_cap, "cancel": true, "secondCopies": true, "probes": true, "multiplex": 16,
                   "connIdleNs": 15_000_000_000u64, "connectTimeoutNs": 250_000_000, "retryAfter": true,
                   "maxRetryAfterNs": 1_000_000_000},
        "rules": rules,
        "resolutionNs": 1_000_000
    })
}
