//! Settings of an aggregator, read and validated once before the first query. The simulator adapter and the front node
//! both receive them as the same JSON object.
//!
//! ```
//! use orchidvalve_aggregator_settings::{Section, read};
//!
//! let settings = serde_json::json!({"classes": [{"objectiveNs": 1, "deadlineNs": 2, "effect": "maybe"}],
//!     "extra": {"positions": 2, "reach": 2}});
//! let error = read(&Section::of("settings", &settings).unwrap()).unwrap_err();
//! assert_eq!(error.to_string(), "settings.classes[0].effect: unknown effect 'maybe'");
//! ```

mod error;
mod section;

use orchidvalve::interface::{AggregatorSettings, Idempotence, RetryBudget, ServiceClass, SlowStart};
use serde_json::Value;

pub use error::{Problem, SettingsError};
pub use section::{Fields, Section};

/// Reads the settings of an aggregator.
///
/// # Errors
///
/// If a required key is missing, or a value cannot be used.
pub fn read(settings: &Section) -> Result<AggregatorSettings, SettingsError> {
    let (extra, limits, rules) =
        (settings.section("extra")?, settings.section("limits")?, settings.section("rules")?);
    let classes = settings.list("classes")?.ok_or_else(|| settings.missing("classes"))?;
    if classes.is_empty() {
        return Err(settings.error("classes", "names no class"));
    }
    let classes = classes.iter().enumerate().map(|(index, class)| service_class(class, index, &extra));
    let tenants = settings.list("projects")?.unwrap_or_default();
    let load_report = settings.section("feedback")?.texts("names")?;
    let max_retry_after = if limits.or("retryAfter", false, Section::flag)? {
        limits.or("maxRetryAfterNs", 0, Section::duration)?
    } else {
        0
    };
    Ok(AggregatorSettings {
        classes: classes.collect::<Result<_, _>>()?,
        tenant_rates: tenants
            .iter()
            .map(|t| t.or("allowancePerS", f64::INFINITY, Section::non_negative))
            .collect::<Result<_, _>>()?,
        front_nodes: settings.or("balancers", 1, Section::index)?.max(1),
        cells: at_least_one(&extra, "positions")?,
        cells_per_shard: at_least_one(&extra, "reach")?,
        requests_per_call: extra.or("bundleMax", 1, Section::index)?.max(1),
        max_attempts: limits.or("attemptsCap", 1, Section::index)?,
        may_cancel: limits.or("cancel", false, Section::flag)?,
        may_hedge: limits.or("secondCopies", false, Section::flag)?,
        may_check_health: limits.or("probes", false, Section::flag)?,
        queues_reported: ["waiting", "rps"].iter().all(|name| load_report.contains(name)),
        max_retry_after,
        membership_on_request: settings.or("discovery", "pushed", Section::text)? == "on_request",
        membership_request_interval: rules.or("askWithinNs", 0, Section::duration)?,
        retry_budget: retry_budget(&rules)?,
        slow_start: SlowStart {
            initial_share: rules.or("coldShare", 1.0, Section::non_negative)?,
            duration: rules.or("coldNs", 0, Section::duration)?,
            overload_multiple: rules.or("fallMultiple", 1.0, Section::non_negative)?,
            overload_window: rules.or("fallNs", 0, Section::duration)?,
        },
        tick: settings.or("resolutionNs", 1_000_000, Section::duration)?.max(1),
    })
}

fn at_least_one(section: &Section, name: &str) -> Result<usize, SettingsError> {
    match section.index(name)? {
        0 => Err(section.error(name, "should be 1 or more, not 0")),
        number => Ok(number),
    }
}

fn retry_budget(rules: &Section) -> Result<Option<RetryBudget>, SettingsError> {
    if !["budgetFree", "repeatRatio", "ratioSpanNs"].iter().any(|name| rules.has(name)) {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        reserve: rules.or("budgetFree", 0.0, Section::non_negative)?,
        ratio: rules.or("repeatRatio", 0.0, Section::non_negative)?,
        window: rules.duration("ratioSpanNs")?,
    }))
}

fn service_class(class: &Section, index: usize, extra: &Section) -> Result<ServiceClass, SettingsError> {
    let of_class = |name: &str, default: f64| match extra.get(name) {
        None => Ok(default),
        Some(list) => {
            let number = list.get(index).and_then(Value::as_f64).filter(|&n| n >= 0.0);
            number.ok_or_else(|| extra.error(&format!("{name}[{index}]"), "should be a number, 0 or more"))
        }
    };
    let idempotence = match class.text("effect")? {
        "pure" => Idempotence::Idempotent,
        "token" => Idempotence::Deduplicated(class.duration("windowNs")?),
        "side_effect" => Idempotence::NotIdempotent,
        other => return Err(class.error("effect", format!("unknown effect '{other}'"))),
    };
    Ok(ServiceClass {
        latency_target: class.duration("objectiveNs")?,
        latency_target_stretch: class.or("aimStretch", 0.0, Section::non_negative)?,
        deadline: class.duration("deadlineNs")?,
        late_value: class.or("lateWorth", 0.0, Section::non_negative)?,
        idempotence,
        min_completeness: of_class("classFloor", 1.0)?,
        full_completeness: of_class("wholeAt", 1.0)?,
        partial_value: of_class("shortWorth", 0.0)?,
        second_step_requests: of_class("classFetch", 0.0)? as usize,
    })
}
