//! Faults of API keys: keys are taken away from clients that go on to use them, given back, and passed on.

use serde_json::{Value, json};

use super::steps::{ScheduledStep, Step, after};
use super::tenants::{Tenant, Tenants};
use crate::operator::Action;

/// Time from one change of keys to the next, in milliseconds.
const CHANGE_MS: u64 = 500;
/// Time after which a change has long been in force (`bounds.config-apply-ms` and as much again), in milliseconds.
const IN_FORCE_MS: u64 = 4_000;

fn put(at: u64, tenants: &[Tenant]) -> ScheduledStep {
    let entries: Vec<Value> = tenants.iter().map(Tenant::entry).collect();
    let action = Action::Patch { upsert: json!({"tenants": entries}), remove: json!({}) };
    after(at, Step::Operator(action))
}

/// Tenants lose a key one after the other, the trainers' tenant among them. Later the first one has its key back, and
/// the key of the second one passes on to the third one.
pub(super) fn revoke_one_by_one(tenants: &Tenants) -> Vec<ScheduledStep> {
    let [first, second, third, ..] = tenants.clients.as_slice() else { return Vec::new() };
    let without_first_key = |tenant: &Tenant| tenant.with_keys(tenant.keys[1..].to_vec());
    let heir = third.with_keys([&third.keys[..], &second.keys[..1]].concat());
    vec![
        put(0, &[without_first_key(first)]),
        put(CHANGE_MS, &[without_first_key(second)]),
        put(2 * CHANGE_MS, &[without_first_key(&tenants.trainers)]),
        put(IN_FORCE_MS, std::slice::from_ref(first)),
        put(IN_FORCE_MS + CHANGE_MS, &[heir]),
    ]
}

/// A tenant loses all of its keys; then all tenants but that of the trainers are removed.
pub(super) fn revoke_last(tenants: &Tenants) -> Vec<ScheduledStep> {
    let names: Vec<&str> = tenants.clients.iter().map(|tenant| tenant.name.as_str()).collect();
    let remove_all = Action::Patch { upsert: json!({}), remove: json!({"tenants": names}) };
    vec![put(0, &[tenants.clients[0].with_keys(Vec::new())]), after(IN_FORCE_MS, Step::Operator(remove_all))]
}
