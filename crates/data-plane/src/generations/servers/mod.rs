//! The state of model servers and scoring servers: capacity, versions of weights, failures, pace.

mod ejection;
mod versions;

use std::collections::HashMap;

use compact_str::CompactString;
use orchidvalve_scheduler::PoolKey;

use self::ejection::{Ejections, FailureAccrual};
use self::versions::{ServedVersion, ServedVersions};
use super::ewma::Ewma;
use super::interface::{ServerInfo, ServerKey};

/// A server whose time between events exceeds that of its pool by this factor is assigned fewer generations.
const SLOW_FACTOR: f64 = 1.5;
/// The minimum fraction of its usual number of generations that a slow server is assigned.
const MIN_SPEED_FRACTION: f64 = 0.25;

/// Identifies a model within this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(u32);

/// Returns a gateway's quota of a server's slots for a fraction of them: rounded up, at least one.
pub fn slot_limit(slots: u32, fraction: f64) -> u32 {
    ((f64::from(slots) * fraction).ceil() as u32).max(1)
}

/// A model that a server serves, and the version of its weights.
#[derive(Clone, Copy, Debug)]
struct ServedModel {
    model: ModelKey,
    version: u64,
}

/// The state of one server.
#[derive(Debug)]
pub struct Server {
    /// The pool of the server's service.
    pub pool: PoolKey,
    /// Whether the server is in this gateway's zone.
    pub same_zone: bool,
    slots: u32,
    queued: u32,
    limit: Option<u32>,
    draining: bool,
    models: Vec<ServedModel>,
    accrual: FailureAccrual,
    /// The time between two events of a stream at the server, in milliseconds.
    gap_ms: Ewma,
}

impl Server {
    fn new(pool: PoolKey) -> Self {
        Self {
            pool,
            same_zone: false,
            slots: 0,
            queued: 0,
            limit: None,
            draining: false,
            models: Vec::new(),
            accrual: FailureAccrual::default(),
            gap_ms: Ewma::default(),
        }
    }

    /// Returns the number of slots; 0 if the server is draining.
    pub fn usable_slots(&self) -> u32 {
        if self.draining { 0 } else { self.slots }
    }

    fn version(&self, model: ModelKey) -> Option<u64> {
        self.models.iter().find(|served| served.model == model).map(|served| served.version)
    }
}

/// The state of all servers known to a gateway.
pub struct Servers {
    table: HashMap<ServerKey, Server>,
    services: HashMap<CompactString, PoolKey>,
    models: HashMap<CompactString, ModelKey>,
    versions: ServedVersions,
    ejections: Ejections,
    /// The time between two events of a stream in each pool, in milliseconds.
    gap_ms: HashMap<PoolKey, Ewma>,
    slot_fraction: f64,
}

impl Servers {
    /// Creates the state without servers. `slot_fraction` is this gateway's fraction of every server's slots.
    pub fn new(slot_fraction: f64) -> Self {
        Self {
            table: HashMap::new(),
            services: HashMap::new(),
            models: HashMap::new(),
            versions: ServedVersions::default(),
            ejections: Ejections::default(),
            gap_ms: HashMap::new(),
            slot_fraction,
        }
    }

    /// Returns this gateway's fraction of every server's slots.
    pub fn slot_fraction(&self) -> f64 {
        self.slot_fraction
    }

    /// Sets this gateway's fraction of every server's slots.
    pub fn set_slot_fraction(&mut self, slot_fraction: f64) {
        self.slot_fraction = slot_fraction;
    }

    /// Returns the pool of a service, and creates it if necessary.
    pub fn pool(&mut self, service: &CompactString) -> PoolKey {
        intern(&mut self.services, service, PoolKey)
    }

    /// Returns the pool of a service if it exists already.
    pub fn known_pool(&self, service: &str) -> Option<PoolKey> {
        self.services.get(service).copied()
    }

    /// Returns the key of a model, and assigns one if necessary.
    pub fn model(&mut self, name: &CompactString) -> ModelKey {
        intern(&mut self.models, name, ModelKey)
    }

    /// Returns the keys of all servers, in arbitrary order.
    pub fn keys(&self) -> Vec<ServerKey> {
        self.table.keys().copied().collect()
    }

    /// Returns the state of a server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.table.get(&key)
    }

    /// Adds a server, or updates it from its entry in the server table. Versions never decrease, as the table lags
    /// behind what responses have shown.
    pub fn set(&mut self, info: &ServerInfo) {
        let pool = self.pool(&info.service);
        let listed: Vec<_> = info
            .models
            .iter()
            .map(|served| ServedModel { model: self.model(&served.model), version: served.version })
            .collect();
        self.uncount_versions(info.key);
        let server = self.table.entry(info.key).or_insert_with(|| Server::new(pool));
        let latest = |listed: ServedModel| ServedModel {
            version: server.version(listed.model).unwrap_or(0).max(listed.version),
            ..listed
        };
        let models = listed.into_iter().map(latest).collect();
        server.models = models;
        (server.pool, server.same_zone) = (pool, info.same_zone);
        (server.slots, server.queued, server.limit) = (info.slots, info.queued, info.limit);
        server.draining = info.draining;
        self.count_versions(info.key);
    }

    /// Removes a server.
    pub fn remove(&mut self, key: ServerKey) {
        self.uncount_versions(key);
        if let Some(server) = self.table.remove(&key) {
            self.ejections.remove(key, &server.accrual);
        }
    }

    /// Returns the number of generations that this gateway may have in flight at the server; 0 if it is draining.
    pub fn limit(&self, key: ServerKey) -> u32 {
        let Some(server) = self.table.get(&key).filter(|server| !server.draining) else { return 0 };
        let usable = server.slots.saturating_sub(server.queued);
        let usual = server.limit.unwrap_or_else(|| slot_limit(usable, self.slot_fraction));
        let pool_gap_ms = self.gap_ms.get(&server.pool).copied().unwrap_or_default().value();
        let gap_ms = server.gap_ms.value();
        if pool_gap_ms > 0.0 && gap_ms > pool_gap_ms * SLOW_FACTOR {
            let speed = (pool_gap_ms / gap_ms).max(MIN_SPEED_FRACTION);
            return slot_limit(usual, speed).min(usual);
        }
        usual
    }

    /// Returns the version of the model's weights at the server, if known.
    pub fn version(&self, key: ServerKey, model: Option<ModelKey>) -> Option<u64> {
        self.table.get(&key)?.version(model?)
    }

    /// Whether the server is neither draining nor ejected.
    pub fn available(&self, key: ServerKey, now: u64) -> bool {
        self.table.get(&key).is_some_and(|server| !server.draining && !server.accrual.is_ejected(now))
    }

    /// Whether a server that isn't draining serves this version.
    pub fn any_serves(&self, pool: PoolKey, model: ModelKey, version: u64) -> bool {
        self.versions.contains(ServedVersion { pool, model, version })
    }

    /// Whether a server that isn't draining serves this version or a later one.
    pub fn any_serves_from(&self, pool: PoolKey, model: ModelKey, version: u64) -> bool {
        self.versions.contains_from(ServedVersion { pool, model, version })
    }

    /// Whether, since the last call, a version may have lost its last server.
    pub fn take_version_lost(&mut self) -> bool {
        self.versions.take_lost()
    }

    /// Records the version that a response or an event has shown at the server.
    pub fn observe_version(&mut self, key: ServerKey, model: ModelKey, version: u64) {
        if self.version(key, Some(model)) == Some(version) {
            return;
        }
        self.uncount_versions(key);
        if let Some(server) = self.table.get_mut(&key) {
            match server.models.iter_mut().find(|served| served.model == model) {
                Some(served) => served.version = version,
                None => server.models.push(ServedModel { model, version }),
            }
        }
        self.count_versions(key);
    }

    /// Records that the server doesn't serve the version recorded for it, without having stated which one it serves.
    /// The latest version in the pool is assumed instead; if that was the recorded one, the version is reset to 0
    /// until the server table or a response shows it.
    pub fn invalidate_version(&mut self, key: ServerKey, model: ModelKey) {
        let Some(server) = self.table.get(&key) else { return };
        if let Some(latest) = self.versions.latest(server.pool, model) {
            let guess = if server.version(model) == Some(latest) { 0 } else { latest };
            self.observe_version(key, model, guess);
        }
    }

    /// Records that the server rejected a request. It is ejected briefly, or for its `Retry-After` up to a limit.
    pub fn rejected(&mut self, key: ServerKey, now: u64, retry_after_ms: Option<u64>) {
        if let Some(server) = self.table.get_mut(&key) {
            self.ejections.rejected(key, &mut server.accrual, now, retry_after_ms);
        }
    }

    /// Records that an attempt failed at the server. It is ejected briefly.
    pub fn failed(&mut self, key: ServerKey, now: u64) {
        if let Some(server) = self.table.get_mut(&key) {
            self.ejections.failed(key, &mut server.accrual, now);
        }
    }

    /// Records that the server accepted a request.
    pub fn accepted(&mut self, key: ServerKey) {
        if let Some(server) = self.table.get_mut(&key) {
            server.accrual.accepted();
        }
    }

    /// Records that the server completed a request successfully.
    pub fn succeeded(&mut self, key: ServerKey) {
        if let Some(server) = self.table.get_mut(&key) {
            server.accrual.succeeded();
        }
    }

    /// Records the mean time between two events of a stream at the server, in milliseconds.
    pub fn observe_pace(&mut self, key: ServerKey, gap_ms: f64) {
        let Some(server) = self.table.get_mut(&key) else { return };
        server.gap_ms.observe(gap_ms);
        self.gap_ms.entry(server.pool).or_default().observe(gap_ms);
    }

    /// Removes the ejections that are over. Returns whether there were any.
    pub fn end_ejections(&mut self, now: u64) -> bool {
        self.ejections.end_due(now)
    }

    /// Returns when the next ejection ends.
    pub fn next_ejection_end(&self) -> Option<u64> {
        self.ejections.next_end()
    }

    fn count_versions(&mut self, key: ServerKey) {
        if let Some(server) = self.table.get(&key).filter(|server| !server.draining) {
            for served in &server.models {
                let ServedModel { model, version } = *served;
                self.versions.add(ServedVersion { pool: server.pool, model, version });
            }
        }
    }

    fn uncount_versions(&mut self, key: ServerKey) {
        if let Some(server) = self.table.get(&key).filter(|server| !server.draining) {
            for served in &server.models {
                let ServedModel { model, version } = *served;
                self.versions.remove(ServedVersion { pool: server.pool, model, version });
            }
        }
    }
}

/// Returns the key of a name. A new name is assigned the next number.
fn intern<Key: Copy>(
    names: &mut HashMap<CompactString, Key>,
    name: &CompactString,
    numbered: fn(u32) -> Key,
) -> Key {
    match names.get(name) {
        Some(key) => *key,
        None => {
            let key = numbered(names.len() as u32);
            names.insert(name.clone(), key);
            key
        }
    }
}
