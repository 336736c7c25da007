//! Decodes, once at an instance's start, what its aggregator is told.

use orchidvalve::interface::{Effect, Ration, ServiceGrade, StandingOrders, Thaw};
use serde_json::Value;

use crate::wire::{self, Fields, flag, index, number, or, whole};

pub fn read(conf: &Fields) -> Result<StandingOrders, String> {
    let none = Fields::new();
    let section = |name: &str| conf.get(name).and_then(Value::as_object).unwrap_or(&none);
    let (extra, limits, rules) = (section("extra"), section("limits"), section("rules"));
    let classes = conf.get("classes").and_then(Value::as_array).ok_or("'boot': no array 'classes'")?;
    let grades = classes.iter().enumerate().map(|(at, class)| grade(class, at, extra));
    let none_listed = Vec::new();
    let projects = conf.get("projects").and_then(Value::as_array).unwrap_or(&none_listed);
    let shares = projects.iter().map(|p| {
        let tenant = p.as_object().ok_or("'boot': a project is not an object")?;
        or(tenant, "allowancePerS", f64::INFINITY, number)
    });
    let told = section("feedback").get("names").and_then(Value::as_array).unwrap_or(&none_listed);
    let heeded = or(limits, "retryAfter", false, flag)?;
    Ok(StandingOrders {
        grades: grades.collect::<Result<_, _>>()?,
        shares: shares.collect::<Result<_, _>>()?,
        cells: index(extra, "positions")?,
        reach: index(extra, "reach")?,
        call_parts: or(extra, "bundleMax", 1, index)?.max(1),
        launches_cap: or(limits, "attemptsCap", 1, index)?,
        may_retract: or(limits, "cancel", false, flag)?,
        may_copy: or(limits, "secondCopies", false, flag)?,
        may_probe: or(limits, "probes", false, flag)?,
        queues_told: ["waiting", "rps"].iter().all(|name| told.iter().any(|v| v.as_str() == Some(name))),
        stay_away: if heeded { or(limits, "maxRetryAfterNs", 0, whole)? } else { 0 },
        roster_on_request: or(conf, "discovery", false, |f, n| Ok(wire::text(f, n)? == "on_request"))?,
        roster_within: or(rules, "askWithinNs", 0, whole)?,
        ration: ration(rules)?,
        thaw: Thaw {
            share: or(rules, "coldShare", 1.0, number)?,
            lasts: or(rules, "coldNs", 0, whole)?,
            multiple: or(rules, "fallMultiple", 1.0, number)?,
            window: or(rules, "fallNs", 0, whole)?,
        },
        beat: or(conf, "resolutionNs", 1_000_000, whole)?.max(1),
    })
}

fn ration(rules: &Fields) -> Result<Option<Ration>, String> {
    if !["budgetFree", "repeatRatio", "ratioSpanNs"].iter().any(|name| rules.contains_key(*name)) {
        return Ok(None);
    }
    let (free, share) = (or(rules, "budgetFree", 0.0, number)?, or(rules, "repeatRatio", 0.0, number)?);
    Ok(Some(Ration { free, share, span: whole(rules, "ratioSpanNs")? }))
}

fn grade(class: &Value, at: usize, extra: &Fields) -> Result<ServiceGrade, String> {
    let class = class.as_object().ok_or("'boot': a class is not an object")?;
    let of_class = |name: &str, left_out: f64| match extra.get(name) {
        None => Ok(left_out),
        Some(list) => {
            list.get(at).and_then(Value::as_f64).ok_or(format!("'boot': '{name}' has no number {at}"))
        }
    };
    let effect = match wire::text(class, "effect")? {
        "pure" => Effect::Pure,
        "token" => Effect::Receipted(whole(class, "windowNs")?),
        "side_effect" => Effect::Effectful,
        other => return Err(format!("'boot': unknown effect '{other}'")),
    };
    Ok(ServiceGrade {
        soft_limit: whole(class, "objectiveNs")?,
        soft_stretch: or(class, "aimStretch", 0.0, number)?,
        abandon: whole(class, "deadlineNs")?,
        late_earnings: or(class, "lateWorth", 0.0, number)?,
        effect,
        floor: of_class("classFloor", 1.0)?,
        whole: of_class("wholeAt", 1.0)?,
        short_earnings: of_class("shortWorth", 0.0)?,
        second_step: of_class("classFetch", 0.0)? as usize,
    })
}
