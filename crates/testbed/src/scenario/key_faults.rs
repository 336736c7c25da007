//! Faults of API keys: keys are revoked while clients still use them, restored, and moved to another tenant.

use serde_json::{Value, json};

use super::steps::{ScheduledStep, Step, after};
use super::tenants::{Tenant, Tenants};
use crate::operator::Action;

/// Interval between two changes of keys, in milliseconds.
const CHANGE_MS: u64 = 500;
/// Time until a change is surely active (twice `bounds.config-apply-ms`), in milliseconds.
const ACTIVATION_MS: u64 = 4_000;

fn put(at: u64, tenants: &[Tenant]) -> ScheduledStep {
    let entries: Vec<Value> = tenants.iter().map(Tenant::entry).collect();
    let action = Action::Patch { upsert: json!({"tenants": entries}), remove: json!({}) };
    after(at, Step::Operator(action))
}

/// Revokes one key each of two client tenants and of the trainers' tenant, one after the other. Later restores the
/// key of the first tenant, and moves the key of the second tenant to the third.
pub(super) fn revoke_one_by_one(tenants: &Tenants) -> Vec<ScheduledStep> {
    let [first, second, third, ..] = tenants.clients.as_slice() else { return Vec::new() };
    let without_first_key = |tenant: &Tenant| tenant.with_keys(tenant.keys[1..].to_vec());
    let new_owner = third.with_keys([&third.keys[..], &second.keys[..1]].concat());
    vec![
        put(0, &[without_first_key(first)]),
        put(CHANGE_MS, &[without_first_key(second)]),
        put(2 * CHANGE_MS, &[without_first_key(&tenants.trainers)]),
        put(ACTIVATION_MS, std::slice::from_ref(first)),
        put(ACTIVATION_MS + CHANGE_MS, &[new_owner]),
    ]
}

/// Revokes all keys of a tenant, then removes all tenants except that of the trainers.
pub(super) fn revoke_last(tenants: &Tenants) -> Vec<ScheduledStep> {
    let names: Vec<&str> = tenants.clients.iter().map(|tenant| tenant.name.as_str()).collect();
    let remove_all = Action::Patch { upsert: json!({}), remove: json!({"tenants": names}) };
    vec![
        put(0, &[tenants.clients[0].with_keys(Vec::new())]),
        after(ACTIVATION_MS, Step::Operator(remove_all)),
    ]
}
