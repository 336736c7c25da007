//! The tenants of a scenario: their names, their keys, and how their clients identify themselves.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::credentials::Credentials;

/// Tenants beside that of the trainers.
const CLIENT_TENANTS: usize = 6;
/// Client tenants that send much more than the others.
const LARGE_TENANTS: usize = 2;
/// Requests of a large tenant for each one of a small tenant.
const LARGE_SHARE: usize = 5;
const KEYS_PER_TENANT: usize = 3;
/// Every second tenant has a priority of its own, before that of its routes.
const PRIORITY: u64 = 1;
/// A key that is far longer than any that is held, in bytes.
const LONG_KEY_BYTES: usize = 6_000;

/// A tenant as the configuration states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Tenant {
    pub name: String,
    pub keys: Vec<String>,
    priority: Option<u64>,
}

impl Tenant {
    fn draw(number: usize, random: &mut Pcg64Mcg) -> Tenant {
        let name = format!("t{:05x}", random.next_u32() & 0xf_ffff);
        let keys = (0..KEYS_PER_TENANT).map(|_| format!("k{:016x}", random.next_u64())).collect();
        Tenant { name, keys, priority: (number % 2 == 1).then_some(PRIORITY) }
    }

    /// The tenant as an item of a configuration.
    pub fn entry(&self) -> Value {
        let mut entry = json!({"name": self.name, "api-keys": self.keys});
        if let Some(priority) = self.priority {
            entry["priority"] = json!(priority);
        }
        entry
    }

    /// The same tenant with other keys.
    pub fn with_keys(&self, keys: Vec<String>) -> Tenant {
        Tenant { keys, ..self.clone() }
    }
}

/// All tenants of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Tenants {
    /// The tenant of all trainers.
    pub trainers: Tenant,
    /// Those of clients, large ones first.
    pub clients: Vec<Tenant>,
}

impl Tenants {
    /// Draws the tenants.
    pub fn draw(seed: u64) -> Tenants {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x7465_6e61);
        let trainers = Tenant::draw(0, &mut random);
        let clients = (1..=CLIENT_TENANTS).map(|number| Tenant::draw(number, &mut random)).collect();
        Tenants { trainers, clients }
    }

    /// The list in the first configuration.
    pub fn document(&self) -> Value {
        std::iter::once(&self.trainers).chain(&self.clients).map(Tenant::entry).collect()
    }

    /// How clients identify themselves, as often as they do so.
    pub fn client_credentials(&self) -> Vec<Credentials> {
        let share = |number| if number < LARGE_TENANTS { LARGE_SHARE } else { 1 };
        let tenants = self.clients.iter().enumerate();
        tenants
            .flat_map(|(number, tenant)| std::iter::repeat_n(&tenant.keys, share(number)))
            .flatten()
            .map(|key| Credentials::of_key(key))
            .collect()
    }

    /// What nobody should send: keys that don't exist, other schemes, several fields, names of tenants. A request is
    /// executed only if one of its keys exists, and in the name of the tenant that holds it.
    pub fn improper_credentials(&self) -> Vec<Credentials> {
        let (known, other) = (&self.clients[0].keys[0], &self.clients[1].name);
        let unknown = "Bearer unknown".to_owned();
        let one = |value: String| Credentials { authorization: vec![value], tenant: None };
        let naming = |credentials: Credentials| Credentials { tenant: Some(other.clone()), ..credentials };
        vec![
            Credentials::default(),
            naming(Credentials::default()),
            one(unknown.clone()),
            naming(one(unknown.clone())),
            one("Bearer".to_owned()),
            one(known.clone()),
            one(format!("Basic {known}")),
            one(format!("Bearer {}", known.to_uppercase())),
            one(format!("Bearer {known}0")),
            one(format!("Bearer {}", "k".repeat(LONG_KEY_BYTES))),
            naming(Credentials::of_key(known)),
            Credentials { authorization: vec![unknown.clone(), unknown.clone()], tenant: None },
            Credentials { authorization: vec![unknown, format!("Bearer {known}")], tenant: None },
        ]
    }
}
