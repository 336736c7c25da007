//! The reward calls in flight and pending, and the servers that run them.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use orchidvalve_scheduler::{GenerationId, LoadIndex, PoolKey};
use rand::RngCore;
use rand_pcg::Pcg64Mcg;

use super::interface::{RewardCallId, RewardRoute, Routes, Scorer, ServerKey};

/// The maximum fraction of a service's slots that reward calls of all gateways together occupy. The rest is reserved
/// for clients' requests.
const REWARD_SLOT_FRACTION: f64 = 2.0 / 3.0;

/// One attempt of a reward call.
pub struct RewardCall {
    /// The generation whose text is scored.
    pub generation: GenerationId,
    /// The server that the call was sent to.
    pub server: ServerKey,
    pool: PoolKey,
}

/// The scoring servers of one service, and the calls in flight at them.
#[derive(Default)]
struct Pool {
    servers: LoadIndex<ServerKey>,
    /// The slots of each server that isn't draining.
    slots: HashMap<ServerKey, u32>,
    all_slots: u32,
    in_flight: u32,
}

impl Pool {
    fn set_slots(&mut self, key: ServerKey, slots: u32) {
        let before = self.slots.insert(key, slots).unwrap_or(0);
        self.all_slots = self.all_slots + slots - before;
    }

    fn remove(&mut self, key: ServerKey) {
        self.servers.remove(key);
        self.all_slots -= self.slots.remove(&key).unwrap_or(0);
    }

    /// Whether one more call stays within this gateway's fraction of the slots available to reward calls.
    fn has_capacity(&self, slot_fraction: f64) -> bool {
        let quota = f64::from(self.all_slots) * REWARD_SLOT_FRACTION * slot_fraction;
        self.in_flight < (quota.ceil() as u32).max(1)
    }
}

/// The reward calls of a gateway.
pub struct RewardCalls {
    routes: Arc<dyn Routes>,
    random: Pcg64Mcg,
    pools: BTreeMap<PoolKey, Pool>,
    pool_of: HashMap<ServerKey, PoolKey>,
    pending: VecDeque<GenerationId>,
    calls: HashMap<RewardCallId, RewardCall>,
    last_call: u64,
}

impl RewardCalls {
    /// Creates the state without servers and calls.
    pub fn new(random: Pcg64Mcg, routes: Arc<dyn Routes>) -> Self {
        Self {
            routes,
            random,
            pools: BTreeMap::new(),
            pool_of: HashMap::new(),
            pending: VecDeque::new(),
            calls: HashMap::new(),
            last_call: 0,
        }
    }

    /// Adds or updates a server. `limit` is the number of calls that this gateway may have in flight there, `slots` the
    /// number of slots of the server.
    pub fn set_server(&mut self, key: ServerKey, pool: PoolKey, limit: u32, slots: u32, same_zone: bool) {
        if self.pool_of.get(&key).is_some_and(|known| *known != pool) {
            self.remove_server(key);
        }
        self.pool_of.insert(key, pool);
        let pool = self.pools.entry(pool).or_default();
        pool.servers.set(key, limit, same_zone, &mut self.random);
        pool.set_slots(key, slots);
    }

    /// Removes a server.
    pub fn remove_server(&mut self, key: ServerKey) {
        if let Some(pool) = self.pool_of.remove(&key).and_then(|pool| self.pools.get_mut(&pool)) {
            pool.remove(key);
        }
    }

    /// Whether the call is in flight.
    pub fn is_in_flight(&self, call: RewardCallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether any call waits for a server.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Queues an item whose call needs a server, unless it is already queued. Returns whether it was added.
    pub fn push_pending(&mut self, generation: GenerationId) -> bool {
        let is_new = !self.pending.contains(&generation);
        if is_new {
            self.pending.push_back(generation);
        }
        is_new
    }

    /// Requeues an item for whose call no server was available.
    pub fn return_pending(&mut self, generation: GenerationId) {
        self.pending.push_back(generation);
    }

    /// Removes and returns the item that has waited longest.
    pub fn pop_pending(&mut self) -> Option<GenerationId> {
        self.pending.pop_front()
    }

    /// Returns the number of items whose calls wait for a server.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the generation that a call scores.
    pub fn generation(&self, call: RewardCallId) -> Option<GenerationId> {
        self.calls.get(&call).map(|call| call.generation)
    }

    /// Replaces the routes after a change of the configuration.
    pub fn set_routes(&mut self, routes: Arc<dyn Routes>) {
        self.routes = routes;
    }

    /// Returns the route of a reward call, with a service drawn at random for one call.
    pub fn draw_route(&mut self, scorer: &Scorer) -> Option<RewardRoute> {
        let random = self.random.next_u64();
        self.routes.reward_route(&scorer.hostname, &scorer.path, random)
    }

    /// Picks a server of the pool for one more call, other than `avoid`. If `allow_same` is set, `avoid` itself is
    /// picked when there is no other. `slot_fraction` is this gateway's fraction of every server's slots.
    pub fn pick(
        &self,
        pool: PoolKey,
        slot_fraction: f64,
        avoid: Option<ServerKey>,
        allow_same: bool,
        available: impl Fn(ServerKey) -> bool,
    ) -> Option<ServerKey> {
        let pool = self.pools.get(&pool).filter(|pool| pool.has_capacity(slot_fraction))?;
        let other = pool.servers.pick(|server| Some(server) != avoid && available(server));
        if allow_same { other.or_else(|| pool.servers.pick(available)) } else { other }
    }

    /// Records that a call is sent.
    pub fn begin(&mut self, generation: GenerationId, pool: PoolKey, server: ServerKey) -> RewardCallId {
        self.last_call += 1;
        let call = RewardCallId(self.last_call);
        let entry = self.pools.entry(pool).or_default();
        entry.servers.begin(server, &mut self.random);
        entry.in_flight += 1;
        self.calls.insert(call, RewardCall { generation, pool, server });
        call
    }

    /// Records that a call has ended. Returns `None` if it wasn't in flight.
    pub fn end(&mut self, call: RewardCallId) -> Option<RewardCall> {
        let ended = self.calls.remove(&call)?;
        if let Some(pool) = self.pools.get_mut(&ended.pool) {
            pool.servers.end(ended.server, &mut self.random);
            pool.in_flight -= 1;
        }
        Some(ended)
    }
}
