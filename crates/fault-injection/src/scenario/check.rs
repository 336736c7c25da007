//! Checks that every value of a scenario is within its bounds and that every referenced name exists.

use super::{Fault, FaultKind, Load, Scenario, ServiceClass, Stores};
use crate::error::ScenarioError;

const FAULT_KEYS: [&str; 9] = ["at_s", "for_s", "stores", "zone", "draw", "share", "kind", "factor", "by_ms"];

impl Scenario {
    pub(super) fn check(&self) -> Result<(), ScenarioError> {
        within("lasts_s", self.lasts_s, 0.1, 600.0)?;
        within("aim", self.service_target, 0.0, 1.0)?;
        within("fronts", self.front_nodes as f64, 1.0, 1000.0)?;
        self.stores.check()?;
        within("rules.cold_share", self.rules.cold_share, 0.01, 1.0)?;
        within("rules.cold_multiple", self.rules.cold_multiple, 0.1, 1000.0)?;
        if self.stores.zones.is_empty() {
            return Err(ScenarioError::value("stores.zones", "should name at least one failure domain"));
        }
        if self.classes.is_empty() {
            return Err(ScenarioError::value("grade", "should have at least one entry"));
        }
        for (n, class) in self.classes.iter().enumerate() {
            class.check(&format!("grade[{n}]"), &self.stores)?;
        }
        for (n, load) in self.load.iter().enumerate() {
            self.check_load(&format!("load[{n}]"), load)?;
        }
        if let Some(order) = &self.order {
            within("order.members", order.members as f64, 1.0, self.front_nodes as f64)?;
            if order.members % 2 == 0 {
                let reason = format!("should be odd, not {}", order.members);
                return Err(ScenarioError::value("order.members", reason));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            self.check_fault(&format!("trouble[{n}]"), fault)?;
        }
        Ok(())
    }

    fn check_load(&self, key: &str, load: &Load) -> Result<(), ScenarioError> {
        within(&format!("{key}.from_s"), load.from_s, 0.0, self.lasts_s)?;
        within(&format!("{key}.to_s"), load.to_s, load.from_s, self.lasts_s)?;
        within(&format!("{key}.rate"), load.rate, 0.0, 1e5)?;
        match load.tenant.as_ref().filter(|name| self.tenants.iter().all(|tenant| tenant.name != **name)) {
            Some(name) => {
                Err(ScenarioError::value(format!("{key}.tenant"), format!("no tenant is named '{name}'")))
            }
            None => Ok(()),
        }
    }

    fn check_fault(&self, key: &str, fault: &Fault) -> Result<(), ScenarioError> {
        within(&format!("{key}.at_s"), fault.at_s, 0.0, self.lasts_s)?;
        within(&format!("{key}.share"), fault.share, 0.0, 1.0)?;
        let is_store = |name: &String| (0..self.stores.count()).any(|n| crate::store_name(n) == *name);
        if let Some(name) = fault.stores.iter().find(|name| !is_store(name)) {
            let reason = format!("no store is named '{name}'");
            return Err(ScenarioError::value(format!("{key}.stores"), reason));
        }
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.stores.zones.contains(zone)) {
            let reason = format!("no zone is named '{zone}'");
            return Err(ScenarioError::value(format!("{key}.zone"), reason));
        }
        let selectors = [!fault.stores.is_empty(), fault.zone.is_some(), fault.draw > 0];
        match (fault.kind.affects_stores(), selectors.iter().filter(|is_set| **is_set).count()) {
            (true, 1) | (false, 0) => {}
            (true, _) => return Err(ScenarioError::value(key, "should have one of stores, zone and draw")),
            (false, _) => {
                let reason = "does not affect stores: remove stores, zone and draw";
                return Err(ScenarioError::value(key, reason));
            }
        }
        self.check_kind(key, fault.kind)
    }

    fn check_kind(&self, key: &str, kind: FaultKind) -> Result<(), ScenarioError> {
        let share = |name: &str, found: f64| within(&format!("{key}.{name}"), found, 0.0, 1.0);
        let last = self.front_nodes - 1;
        match kind {
            FaultKind::Slow { factor } => within(&format!("{key}.factor"), factor, 1.0, 1e4),
            FaultKind::Cpu { lost } => share("lost", lost),
            FaultKind::Refuse { part } | FaultKind::Spoil { part } => share("part", part),
            FaultKind::FrontKilled { front } | FaultKind::FrontReload { front } if front > last => {
                let reason = format!("should be 0 to {last}, not {front}");
                Err(ScenarioError::value(format!("{key}.front"), reason))
            }
            FaultKind::FrontsCut { first } if first == 0 || first > last => {
                let reason = format!("should be 1 to {last}, not {first}");
                Err(ScenarioError::value(format!("{key}.first"), reason))
            }
            _ => Ok(()),
        }
    }
}

impl Stores {
    fn check(&self) -> Result<(), ScenarioError> {
        within("stores.cells", self.cells as f64, 1.0, 1000.0)?;
        within("stores.reach", self.reach as f64, 1.0, self.cells as f64)?;
        within("stores.per_cell", self.per_cell as f64, 1.0, 100.0)?;
        within("stores.cores", self.cores as f64, 1.0, 1024.0)?;
        within("stores.work_ms", self.work_ms, 0.01, 60_000.0)
    }
}

impl ServiceClass {
    fn check(&self, key: &str, stores: &Stores) -> Result<(), ScenarioError> {
        let (target, deadline) = (self.latency_target_ms as f64, self.deadline_ms as f64);
        within(&format!("{key}.soft_ms"), target, 1.0, deadline)?;
        within(&format!("{key}.abandon_ms"), deadline, 1.0, 60_000.0)?;
        within(&format!("{key}.floor"), self.floor, 0.0, 1.0)?;
        within(&format!("{key}.shards"), self.shards as f64, 0.0, stores.cells as f64)?;
        within(&format!("{key}.weight"), self.weight, 0.0, 1e6)
    }
}

fn within(key: &str, found: f64, least: f64, most: f64) -> Result<(), ScenarioError> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(ScenarioError::value(key, format!("should be {least} to {most}, not {found}")))
}

/// Rejects unknown keys of faults: serde cannot combine `deny_unknown_fields` with the flattened, tagged kind of a
/// fault, so the keys are checked here.
pub(super) fn unknown_keys(text: &str) -> Result<(), ScenarioError> {
    let table: toml::Table = toml::from_str(text)?;
    let faults = table.get("trouble").and_then(toml::Value::as_array);
    for (n, fault) in faults.into_iter().flatten().enumerate() {
        for key in fault.as_table().into_iter().flat_map(|t| t.keys()) {
            let more = ["drain_ms", "front", "first", "lost", "part"];
            if !FAULT_KEYS.contains(&key.as_str()) && !more.contains(&key.as_str()) {
                return Err(ScenarioError::value(format!("trouble[{n}].{key}"), "no such key"));
            }
        }
    }
    Ok(())
}
