//! The gateway's view of its upstream servers: the server table received from the control node together with what this
//! gateway observes of each server, and the choice of a server for each request.

mod failure_accrual;
mod slot_quota;
mod upstream;

use std::collections::HashMap;

use compact_str::CompactString;
use orchidvalve_protocol::messages::ServerEntry;
use orchidvalve_protocol::server_table::ServerTable;
use rand::RngCore;

pub use self::slot_quota::slot_quota;
pub use self::upstream::{ServerKey, Success, Upstream};

/// A response is slow if it took this many times the usual latency of its service.
const SLOW_FACTOR: f64 = 3.0;
/// The weight of a new latency in the moving average that gives the usual latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// The rank of a server; the lowest one is picked. The derived order compares the fields in their order of declaration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    ejected: bool,
    in_flight: u32,
    other_zone: bool,
    /// Whether no idle connection to the server is kept, or its last response was slow.
    no_warm_connection: bool,
}

/// Chooses a server for each request: the one with the fewest exchanges of this gateway.
#[derive(Default, Debug)]
pub struct Balancer {
    keys: HashMap<String, ServerKey>,
    upstreams: HashMap<ServerKey, Upstream>,
    by_service: HashMap<CompactString, Vec<ServerKey>>,
    /// The usual latency of each service, in milliseconds.
    latencies: HashMap<String, f64>,
    last_key: u32,
}

/// The changes that an update of the server table made.
#[derive(Default, Debug)]
pub struct BalancerChange {
    /// The keys of servers that were added or whose entries changed.
    pub changed: Vec<ServerKey>,
    /// The keys of servers that are no longer listed.
    pub removed: Vec<ServerKey>,
}

impl Balancer {
    /// Replaces the server table.
    pub fn update(&mut self, table: &ServerTable) -> BalancerChange {
        let mut change = BalancerChange::default();
        let unlisted: Vec<String> =
            self.keys.keys().filter(|instance| table.get(instance).is_none()).cloned().collect();
        for instance in unlisted {
            if let Some(key) = self.keys.remove(&instance) {
                self.upstreams.remove(&key);
                change.removed.push(key);
            }
        }
        for entry in table.servers() {
            match self.keys.get(&entry.instance) {
                Some(key) => {
                    let upstream = self.upstreams.get_mut(key).filter(|upstream| upstream.entry != *entry);
                    if let Some(upstream) = upstream {
                        upstream.set_entry(entry.clone());
                        change.changed.push(*key);
                    }
                }
                None => change.changed.push(self.insert(entry)),
            }
        }
        self.index_by_service();
        change.removed.sort_unstable();
        change
    }

    fn insert(&mut self, entry: &ServerEntry) -> ServerKey {
        self.last_key += 1;
        let key = ServerKey(self.last_key);
        self.keys.insert(entry.instance.clone(), key);
        self.upstreams.insert(key, Upstream::new(key, entry.clone()));
        key
    }

    /// Rebuilds the index by service. The keys are sorted, so that ties are broken by the random numbers alone.
    fn index_by_service(&mut self) {
        self.by_service.clear();
        for upstream in self.upstreams.values() {
            self.by_service.entry(upstream.entry.service.as_str().into()).or_default().push(upstream.key);
        }
        self.by_service.values_mut().for_each(|keys| keys.sort_unstable());
    }

    /// Returns the keys of all servers, in ascending order.
    pub fn keys(&self) -> Vec<ServerKey> {
        let mut keys: Vec<ServerKey> = self.upstreams.keys().copied().collect();
        keys.sort_unstable();
        keys
    }

    /// Returns the state of a server, or `None` if it is no longer listed.
    pub fn get(&self, key: ServerKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// Picks a server of a service, or returns `None` if there is none that may be picked.
    ///
    /// Prefers the server with the fewest exchanges of this gateway, then one in the same zone, then one to which an
    /// idle connection is kept and whose last response wasn't slow; ties are broken at random. Draining servers and
    /// those in `excluded` are never picked, ejected ones only if there is no other.
    pub fn pick(
        &self,
        service: &str,
        zone: &str,
        excluded: &[ServerKey],
        now: u64,
        random: &mut impl RngCore,
    ) -> Option<ServerKey> {
        let keys = self.by_service.get(service)?;
        let upstreams = keys.iter().filter_map(|key| self.upstreams.get(key));
        let usable =
            upstreams.filter(|upstream| !upstream.entry.draining && !excluded.contains(&upstream.key));
        let rank = |upstream: &Upstream| Rank {
            ejected: upstream.is_ejected(now),
            in_flight: upstream.in_flight,
            other_zone: upstream.entry.zone != zone,
            no_warm_connection: !upstream.is_warm(now),
        };
        let mut best: Option<(&Upstream, u32)> = None;
        for upstream in usable {
            best = match best {
                Some((picked, _)) if rank(picked) < rank(upstream) => best,
                Some((picked, ties)) if rank(picked) == rank(upstream) => {
                    let keep = !random.next_u32().is_multiple_of(ties + 1);
                    Some((if keep { picked } else { upstream }, ties + 1))
                }
                _ => Some((upstream, 1)),
            };
        }
        best.map(|(upstream, _)| upstream.key)
    }

    /// Returns the number of exchanges that this gateway has in flight with all servers of a service.
    pub fn in_flight(&self, service: &str) -> u32 {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.upstreams.get(key)).map(|upstream| upstream.in_flight).sum()
    }

    /// Records that an exchange with the server begins.
    pub fn begin_exchange(&mut self, key: ServerKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.in_flight += 1;
        }
    }

    /// Records that an exchange with the server has ended.
    pub fn end_exchange(&mut self, key: ServerKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
        }
    }

    /// Records a response that isn't a server error.
    pub fn succeeded(&mut self, key: ServerKey, success: Success) {
        let Some(upstream) = self.upstreams.get_mut(&key) else { return };
        let latency_ms = success.latency_ms as f64;
        let usual_ms = self.latencies.entry(upstream.entry.service.clone()).or_insert(latency_ms);
        let is_slow = latency_ms > *usual_ms * SLOW_FACTOR;
        *usual_ms += LATENCY_WEIGHT * (latency_ms - *usual_ms);
        upstream.succeeded(success, is_slow);
    }

    /// Records an error response of the server itself (5xx).
    pub fn returned_error(&mut self, key: ServerKey, now: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.returned_error(now);
        }
    }

    /// Records that the server didn't respond, or rejected the request. Failures during an ejection don't lengthen it.
    pub fn failed(&mut self, key: ServerKey, now: u64) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.failed(now);
        }
    }

    /// Records the load that the server reports in the header `Instance-Load`: requests running, requests waiting,
    /// slots.
    pub fn record_load(&mut self, key: ServerKey, load: &str) {
        let waiting = load.split(',').nth(1).and_then(|waiting| waiting.trim().parse().ok());
        if let (Some(upstream), Some(waiting)) = (self.upstreams.get_mut(&key), waiting) {
            upstream.queued = waiting;
        }
    }
}
