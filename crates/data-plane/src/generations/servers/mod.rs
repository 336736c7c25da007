//! What is known of model servers and scoring servers: capacity, versions of weights, failures, pace.

mod ejection;
mod versions;

use std::collections::HashMap;

use compact_str::CompactString;
use orchidvalve_scheduler::PoolKey;

use self::ejection::{Ejections, FailureAccrual};
use self::versions::{ServedVersion, ServedVersions};
use super::ewma::Ewma;
use super::interface::{ServerInfo, ServerKey};

/// A server slower than the others by this factor gets fewer generations.
const SLOW_FACTOR: f64 = 1.5;
/// The least share of its usual number that a slow server gets.
const MIN_SPEED_SHARE: f64 = 0.25;

/// Names a model among those known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelKey(u32);

/// The part of a server's slots that belongs to one gateway: rounded up, at least one.
pub fn share_limit(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share).ceil() as u32).max(1)
}

/// A model that a server serves.
#[derive(Clone, Copy, Debug)]
struct ServedModel {
    model: ModelKey,
    version: u64,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    /// The pool of its service.
    pub pool: PoolKey,
    /// It is in this gateway's zone.
    pub same_zone: bool,
    slots: u32,
    queued: u32,
    limit: Option<u32>,
    draining: bool,
    models: Vec<ServedModel>,
    accrual: FailureAccrual,
    /// Time between two events of a stream, in milliseconds.
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

    /// Its slots, unless it is draining.
    pub fn usable_slots(&self) -> u32 {
        if self.draining { 0 } else { self.slots }
    }

    fn version(&self, model: ModelKey) -> Option<u64> {
        self.models.iter().find(|served| served.model == model).map(|served| served.version)
    }
}

/// All servers of a gateway.
pub struct Servers {
    table: HashMap<ServerKey, Server>,
    services: HashMap<CompactString, PoolKey>,
    models: HashMap<CompactString, ModelKey>,
    versions: ServedVersions,
    ejections: Ejections,
    /// Time between two events of a stream in a pool, in milliseconds.
    gap_ms: HashMap<PoolKey, Ewma>,
    share: f64,
}

impl Servers {
    /// Starts empty; `share` is this gateway's part of every server's slots.
    pub fn new(share: f64) -> Self {
        Self {
            table: HashMap::new(),
            services: HashMap::new(),
            models: HashMap::new(),
            versions: ServedVersions::default(),
            ejections: Ejections::default(),
            gap_ms: HashMap::new(),
            share,
        }
    }

    /// This gateway's part of every server's slots.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Sets this gateway's part of every server's slots.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// The pool of a service.
    pub fn pool(&mut self, service: &CompactString) -> PoolKey {
        intern(&mut self.services, service, PoolKey)
    }

    /// The pool of a service, if any of its servers or generations were known.
    pub fn known_pool(&self, service: &str) -> Option<PoolKey> {
        self.services.get(service).copied()
    }

    /// The key of a model.
    pub fn model(&mut self, name: &CompactString) -> ModelKey {
        intern(&mut self.models, name, ModelKey)
    }

    /// All servers, in no order.
    pub fn keys(&self) -> Vec<ServerKey> {
        self.table.keys().copied().collect()
    }

    /// One server.
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.table.get(&key)
    }

    /// Adds a server or takes in what the server table says of it now. Versions never go back: the table lags.
    pub fn set(&mut self, info: &ServerInfo) {
        let pool = self.pool(&info.service);
        let listed: Vec<_> = info
            .models
            .iter()
            .map(|served| ServedModel { model: self.model(&served.model), version: served.version })
            .collect();
        self.uncount_versions(info.key);
        let server = self.table.entry(info.key).or_insert_with(|| Server::new(pool));
        let newest = |listed: ServedModel| ServedModel {
            version: server.version(listed.model).unwrap_or(0).max(listed.version),
            ..listed
        };
        let models = listed.into_iter().map(newest).collect();
        server.models = models;
        (server.pool, server.same_zone) = (pool, info.same_zone);
        (server.slots, server.queued, server.limit) = (info.slots, info.queued, info.limit);
        server.draining = info.draining;
        self.count_versions(info.key);
    }

    /// Takes a server out.
    pub fn remove(&mut self, key: ServerKey) {
        self.uncount_versions(key);
        if let Some(server) = self.table.remove(&key) {
            self.ejections.remove(key, &server.accrual);
        }
    }

    /// The most generations this gateway may have in flight at the server; 0 if it is draining.
    pub fn limit(&self, key: ServerKey) -> u32 {
        let Some(server) = self.table.get(&key).filter(|server| !server.draining) else { return 0 };
        let usable = server.slots.saturating_sub(server.queued);
        let usual = server.limit.unwrap_or_else(|| share_limit(usable, self.share));
        let pool_gap_ms = self.gap_ms.get(&server.pool).copied().unwrap_or_default().value();
        let gap_ms = server.gap_ms.value();
        if pool_gap_ms > 0.0 && gap_ms > pool_gap_ms * SLOW_FACTOR {
            let speed = (pool_gap_ms / gap_ms).max(MIN_SPEED_SHARE);
            return share_limit(usual, speed).min(usual);
        }
        usual
    }

    /// The version of the model's weights at the server, as far as known.
    pub fn version(&self, key: ServerKey, model: Option<ModelKey>) -> Option<u64> {
        self.table.get(&key)?.version(model?)
    }

    /// Whether the server may be sent something now.
    pub fn available(&self, key: ServerKey, now: u64) -> bool {
        self.table.get(&key).is_some_and(|server| !server.draining && !server.accrual.is_ejected(now))
    }

    /// Whether some server that isn't draining serves this version.
    pub fn any_serves(&self, pool: PoolKey, model: ModelKey, version: u64) -> bool {
        self.versions.contains(ServedVersion { pool, model, version })
    }

    /// Whether some server that isn't draining serves this version or a later one.
    pub fn any_serves_from(&self, pool: PoolKey, model: ModelKey, version: u64) -> bool {
        self.versions.contains_from(ServedVersion { pool, model, version })
    }

    /// Whether the last server of some version may have gone since the last call.
    pub fn take_version_lost(&mut self) -> bool {
        self.versions.take_lost()
    }

    /// A response or an event has shown the version at the server.
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

    /// The server doesn't serve the version it was thought to serve, and didn't say which it serves: the newest
    /// version of the pool is the best guess. If that was the guess already, the server table has to say.
    pub fn invalidate_version(&mut self, key: ServerKey, model: ModelKey) {
        let Some(server) = self.table.get(&key) else { return };
        if let Some(newest) = self.versions.newest(server.pool, model) {
            let guess = if server.version(model) == Some(newest) { 0 } else { newest };
            self.observe_version(key, model, guess);
        }
    }

    /// The server rejected a request: it is ejected for a little, for as long as it asked within a bound.
    pub fn rejected(&mut self, key: ServerKey, now: u64, retry_after_ms: Option<u64>) {
        if let Some(server) = self.table.get_mut(&key) {
            self.ejections.rejected(key, &mut server.accrual, now, retry_after_ms);
        }
    }

    /// An attempt failed at the server: it is ejected for a little.
    pub fn failed(&mut self, key: ServerKey, now: u64) {
        if let Some(server) = self.table.get_mut(&key) {
            self.ejections.failed(key, &mut server.accrual, now);
        }
    }

    /// The server took a request in.
    pub fn accepted(&mut self, key: ServerKey) {
        if let Some(server) = self.table.get_mut(&key) {
            server.accrual.accepted();
        }
    }

    /// The server ended a request well.
    pub fn succeeded(&mut self, key: ServerKey) {
        if let Some(server) = self.table.get_mut(&key) {
            server.accrual.succeeded();
        }
    }

    /// Events at the server came this far apart.
    pub fn observe_pace(&mut self, key: ServerKey, gap_ms: f64) {
        let Some(server) = self.table.get_mut(&key) else { return };
        server.gap_ms.observe(gap_ms);
        self.gap_ms.entry(server.pool).or_default().observe(gap_ms);
    }

    /// Ends the ejections that are over; whether there were any.
    pub fn end_ejections(&mut self, now: u64) -> bool {
        self.ejections.end_due(now)
    }

    /// When the next ejection ends.
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

/// The key of a name; a name that is new gets the next number.
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
