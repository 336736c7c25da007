//! Configurations as JSON documents: routes, services, and changes of named items.

use std::collections::HashMap;

use serde_json::{Value, json};

/// Path at which the control nodes serve the configuration.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Returns the version of a configuration; 0 if it has none.
pub fn version_of(document: &Value) -> u64 {
    document["config-version"].as_u64().unwrap_or(0)
}

/// Sets the version of a configuration.
pub fn set_version(document: &mut Value, version: u64) {
    document["config-version"] = json!(version);
}

/// Returns the routes of a configuration.
pub fn routes_of(document: &Value) -> impl Iterator<Item = &Value> {
    document["routes"].as_array().into_iter().flatten()
}

/// Returns the names of the services that a route may send requests to.
pub fn services_of_route(route: &Value) -> Vec<String> {
    let single = route["service"].as_str().map(str::to_owned);
    let split = route["traffic-split"].as_array().into_iter().flatten();
    let weighted = split.filter(|share| share["weight"].as_f64() != Some(0.0));
    single
        .into_iter()
        .chain(weighted.filter_map(|share| share["service"].as_str().map(str::to_owned)))
        .collect()
}

/// Whether all services named by routes exist in the configuration.
fn routes_name_known_services(document: &Value) -> bool {
    let entries = document["services"].as_array().into_iter().flatten();
    let services: Vec<&str> = entries.filter_map(|entry| entry["name"].as_str()).collect();
    routes_of(document).flat_map(services_of_route).all(|name| services.contains(&name.as_str()))
}

/// Whether the system has to accept the configuration: its routes name known services, and no API key has two owners.
pub fn is_valid(document: &Value) -> bool {
    routes_name_known_services(document) && keys_have_one_owner(document)
}

/// Whether no two tenants of the configuration have the same API key.
fn keys_have_one_owner(document: &Value) -> bool {
    let mut owners = HashMap::new();
    let tenants = document["tenants"].as_array().into_iter().flatten().enumerate();
    let mut keys = tenants.flat_map(|(tenant, entry)| {
        let keys = entry["api-keys"].as_array().into_iter().flatten();
        keys.filter_map(Value::as_str).map(move |key| (key, tenant))
    });
    keys.all(|(key, tenant)| *owners.entry(key).or_insert(tenant) == tenant)
}

/// Applies a change of named items to a configuration. `remove` contains names of items by list, `upsert` contains
/// new or changed items by list.
pub fn apply_patch(document: &mut Value, upsert: &Value, remove: &Value) {
    for (list, names) in remove.as_object().into_iter().flatten() {
        if let Some(items) = document[list].as_array_mut() {
            items.retain(|item| !names.as_array().is_some_and(|names| names.contains(&item["name"])));
        }
    }
    for (list, items) in upsert.as_object().into_iter().flatten() {
        for item in items.as_array().into_iter().flatten() {
            let Some(held) = document[list].as_array_mut() else { continue };
            match held.iter_mut().find(|entry| entry["name"] == item["name"]) {
                Some(entry) => *entry = item.clone(),
                None => held.push(item.clone()),
            }
        }
    }
}
