//! The tenants of a scenario: their names, their API keys, and the credentials of their clients.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::credentials::Credentials;

/// Number of tenants in addition to that of the trainers.
const CLIENT_TENANTS: usize = 6;
/// Number of client tenants that send more requests than the others.
const LARGE_TENANTS: usize = 2;
/// Number of requests of a large tenant per request of a small tenant.
const LARGE_TENANT_WEIGHT: usize = 5;
const KEYS_PER_TENANT: usize = 3;
/// Priority of every second tenant, which takes precedence over that of its routes.
const PRIORITY: u64 = 1;
/// Length of an API key that is far longer than any valid key, in bytes.
const LONG_KEY_BYTES: usize = 6_000;

/// A tenant as it appears in the configuration.
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

    /// Returns the tenant as an entry of the configuration.
    pub fn entry(&self) -> Value {
        let mut entry = json!({"name": self.name, "api-keys": self.keys});
        if let Some(priority) = self.priority {
            entry["priority"] = json!(priority);
        }
        entry
    }

    /// Returns the same tenant with other keys.
    pub fn with_keys(&self, keys: Vec<String>) -> Tenant {
        Tenant { keys, ..self.clone() }
    }
}

/// All tenants of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Tenants {
    /// The tenant of all trainers.
    pub trainers: Tenant,
    /// Tenants of the clients, large ones first.
    pub clients: Vec<Tenant>,
}

impl Tenants {
    /// Draws the tenants from a seed.
    pub fn draw(seed: u64) -> Tenants {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x7465_6e61);
        let trainers = Tenant::draw(0, &mut random);
        let clients = (1..=CLIENT_TENANTS).map(|number| Tenant::draw(number, &mut random)).collect();
        Tenants { trainers, clients }
    }

    /// Returns the list of tenants for the first configuration.
    pub fn document(&self) -> Value {
        std::iter::once(&self.trainers).chain(&self.clients).map(Tenant::entry).collect()
    }

    /// Returns the credentials of clients. Each occurs as often as its tenant's relative number of requests.
    pub fn client_credentials(&self) -> Vec<Credentials> {
        let share = |number| if number < LARGE_TENANTS { LARGE_TENANT_WEIGHT } else { 1 };
        let tenants = self.clients.iter().enumerate();
        tenants
            .flat_map(|(number, tenant)| std::iter::repeat_n(&tenant.keys, share(number)))
            .flatten()
            .map(|key| Credentials::of_key(key))
            .collect()
    }

    /// Returns improper credentials: unknown keys, other schemes, several fields, tenant names. A request may be
    /// executed only if one of its keys exists, and in the name of the tenant that owns it.
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
