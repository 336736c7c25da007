//! The open groups of a node: state changes of their generations, and the decisions for the host.

mod dispatch;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand_pcg::Pcg64Mcg;

use crate::group::{GenerationId, GenerationState, Group, GroupKey, GroupSpec, PoolKey, Priority, RouteKey};
use crate::hedge_budget::HedgeBudget;
use crate::latency_window::LatencyWindow;
use crate::load_index::{LoadIndex, ServerKey};

/// The percentile of a route's latencies after which a generation may be hedged. Most generations with a long latency
/// produce long texts, which a hedge does not shorten.
const HEDGE_PERCENTILE: usize = 99;

/// An action for the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<S> {
    /// Send the generation to the server.
    Start {
        /// The generation to send.
        generation: GenerationId,
        /// The server to send it to.
        server: S,
    },
    /// Send the generation, which is in flight elsewhere, to this server too.
    Hedge {
        /// The generation to send.
        generation: GenerationId,
        /// The server to send it to.
        server: S,
    },
    /// Cancel the attempt of the generation at the server.
    Cancel {
        /// The generation whose attempt is cancelled.
        generation: GenerationId,
        /// The server of the attempt.
        server: S,
    },
}

/// The host's knowledge of servers and generations.
pub trait Eligibility<S> {
    /// Whether the server may run the generation now (model, version, not draining, not ejected). The scheduler itself
    /// checks the capacity, and whether the server already runs the generation.
    fn eligible(&self, generation: GenerationId, server: S) -> bool;

    /// Returns a class of generations that have the same eligible servers, or `None` if unknown. When one of them finds
    /// no server, the others of its class are skipped until the next dispatch.
    fn eligibility_class(&self, _generation: GenerationId) -> Option<u64> {
        None
    }

    /// Whether the generation may run more than once, so that it can be hedged.
    fn is_idempotent(&self, _generation: GenerationId) -> bool {
        true
    }
}

/// A generation without an attempt in flight. Sorts in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    priority: Priority,
    generation: GenerationId,
}

/// A generation with exactly one attempt in flight. Sorts oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Unhedged {
    first_attempt_at: u64,
    generation: GenerationId,
}

/// Servers, and the generations of the groups that use them.
#[derive(Debug)]
struct Pool<S> {
    servers: LoadIndex<S>,
    pending: BTreeSet<Pending>,
    /// By route, which determines the hedge delay. A route may have groups in several pools, as a group keeps its pool
    /// when the route of later ones is moved to another.
    unhedged: BTreeMap<RouteKey, BTreeSet<Unhedged>>,
}

impl<S> Default for Pool<S> {
    fn default() -> Self {
        Self { servers: LoadIndex::default(), pending: BTreeSet::new(), unhedged: BTreeMap::new() }
    }
}

/// Schedules the open groups of a node.
#[derive(Debug)]
pub struct Scheduler<S> {
    random: Pcg64Mcg,
    pool_of: HashMap<S, PoolKey>,
    pools: BTreeMap<PoolKey, Pool<S>>,
    latencies: BTreeMap<RouteKey, LatencyWindow>,
    groups: HashMap<GroupKey, Group<S>>,
    budget: HedgeBudget,
}

impl<S: ServerKey> Scheduler<S> {
    /// Returns a scheduler without servers and groups. `random` breaks ties.
    pub fn new(random: Pcg64Mcg) -> Self {
        Self {
            random,
            pool_of: HashMap::new(),
            pools: BTreeMap::new(),
            latencies: BTreeMap::new(),
            groups: HashMap::new(),
            budget: HedgeBudget::default(),
        }
    }

    /// Adds a server to a pool, or changes its limit: the largest number of generations that this node may have in
    /// flight there. A server with limit 0 gets none and does not count as eligible.
    pub fn set_server(&mut self, server: S, pool: PoolKey, limit: u32) {
        if self.pool_of.get(&server).is_some_and(|known| *known != pool) {
            self.remove_server(server);
        }
        self.pool_of.insert(server, pool);
        self.pools.entry(pool).or_default().servers.set(server, limit, false, &mut self.random);
    }

    /// Removes a server. The host must still report its attempts in flight as finished or failed.
    pub fn remove_server(&mut self, server: S) {
        if let Some(pool) = self.pool_of.get(&server).and_then(|pool| self.pools.get_mut(pool)) {
            pool.servers.remove(server);
        }
        self.pool_of.remove(&server);
    }

    /// Opens a group. Its generations are pending until [`Scheduler::dispatch`] assigns them.
    pub fn add_group(&mut self, spec: &GroupSpec) {
        let pool = self.pools.entry(spec.pool).or_default();
        pool.pending.extend((0..spec.generations).map(|index| Pending {
            priority: spec.priority,
            generation: GenerationId { group: spec.key, index },
        }));
        let latencies = self.latencies.entry(spec.route);
        latencies
            .or_insert_with(|| LatencyWindow::new(spec.target_run_ms, HEDGE_PERCENTILE))
            .set_target_run_ms(spec.target_run_ms);
        self.groups.insert(spec.key, Group::new(spec));
    }

    /// Closes a group and cancels its attempts.
    pub fn remove_group(&mut self, key: GroupKey, out: &mut Vec<Decision<S>>) {
        let count = self.groups.get(&key).map_or(0, Group::size);
        for index in 0..count {
            self.settle(GenerationId { group: key, index }, out);
        }
        self.groups.remove(&key);
    }

    /// The generation's attempt at `server` is complete: its latency is recorded, and the other attempt is cancelled.
    pub fn finished(&mut self, now: u64, generation: GenerationId, server: S, out: &mut Vec<Decision<S>>) {
        let state = self.generation(generation);
        let Some(first_attempt_at) = state.and_then(|state| state.first_attempt_at) else { return };
        if !self.end_attempt(generation, server) {
            return;
        }
        let route = self.groups[&generation.group].route;
        if let Some(latencies) = self.latencies.get_mut(&route) {
            latencies.record(now.saturating_sub(first_attempt_at));
        }
        self.settle(generation, out);
    }

    /// The generation's attempt at `server` ended without a complete text. The generation becomes pending again unless
    /// another attempt is in flight.
    pub fn failed(&mut self, generation: GenerationId, server: S) {
        if self.end_attempt(generation, server) {
            self.add_to_queue(generation);
        }
    }

    /// The generation no longer needs a server (it has expired, or its text is known): its attempts are cancelled.
    pub fn settle(&mut self, generation: GenerationId, out: &mut Vec<Decision<S>>) {
        self.remove_from_queue(generation);
        let group = self.groups.get_mut(&generation.group);
        let Some(servers) = group.and_then(|group| group.settle(generation.index)) else { return };
        for server in servers {
            self.decrement_in_flight(generation.group, server);
            out.push(Decision::Cancel { generation, server });
        }
    }

    /// Returns the servers at which the generation is in flight.
    pub fn servers(&self, generation: GenerationId) -> impl Iterator<Item = S> + '_ {
        self.generation(generation).into_iter().flat_map(GenerationState::servers)
    }

    /// Returns the number of generations of this node in flight at the server.
    pub fn in_flight(&self, server: S) -> u32 {
        let pool = self.pool_of.get(&server).and_then(|pool| self.pools.get(pool));
        pool.map_or(0, |pool| pool.servers.in_flight(server))
    }

    /// Returns the number of pending generations of a pool.
    pub fn pending(&self, pool: PoolKey) -> usize {
        self.pools.get(&pool).map_or(0, |pool| pool.pending.len())
    }

    /// Whether any generation is pending.
    pub fn has_pending(&self) -> bool {
        self.pools.values().any(|pool| !pool.pending.is_empty())
    }

    /// Returns the age from which a generation of the route may be hedged, in milliseconds, or `None` for an unknown
    /// route.
    pub fn hedge_delay_ms(&self, route: RouteKey) -> Option<u64> {
        self.latencies.get(&route).map(LatencyWindow::hedge_delay_ms)
    }

    /// Ends an attempt at the server. Returns whether there was one.
    fn end_attempt(&mut self, generation: GenerationId, server: S) -> bool {
        self.remove_from_queue(generation);
        let group = self.groups.get_mut(&generation.group);
        let state = group.and_then(|group| group.generation_mut(generation.index));
        let was_in_flight = state.is_some_and(|state| state.remove_attempt(server));
        if was_in_flight {
            self.decrement_in_flight(generation.group, server);
        } else {
            self.add_to_queue(generation);
        }
        was_in_flight
    }

    fn decrement_in_flight(&mut self, group: GroupKey, server: S) {
        if let Some(pool) = self.groups.get(&group).and_then(|group| self.pools.get_mut(&group.pool)) {
            pool.servers.end(server, &mut self.random);
        }
    }

    fn generation(&self, generation: GenerationId) -> Option<&GenerationState<S>> {
        self.groups.get(&generation.group)?.generation(generation.index)
    }

    /// Adds the generation to the pending or the unhedged ones, as its attempts require.
    fn add_to_queue(&mut self, generation: GenerationId) {
        let Some(state) = self.generation(generation).filter(|state| !state.is_settled()) else { return };
        let (attempts, first_attempt_at) = (state.servers().count(), state.first_attempt_at);
        let group = &self.groups[&generation.group];
        let Some(pool) = self.pools.get_mut(&group.pool) else { return };
        if attempts == 0 {
            pool.pending.insert(Pending { priority: group.priority, generation });
        } else if let (1, Some(first_attempt_at)) = (attempts, first_attempt_at) {
            let unhedged = pool.unhedged.entry(group.route).or_default();
            unhedged.insert(Unhedged { first_attempt_at, generation });
        }
    }

    /// Removes the generation from the pending and the unhedged ones.
    fn remove_from_queue(&mut self, generation: GenerationId) {
        let Some(first_attempt_at) = self.generation(generation).map(|state| state.first_attempt_at) else {
            return;
        };
        let group = &self.groups[&generation.group];
        let Some(pool) = self.pools.get_mut(&group.pool) else { return };
        pool.pending.remove(&Pending { priority: group.priority, generation });
        if let (Some(first_attempt_at), Some(unhedged)) =
            (first_attempt_at, pool.unhedged.get_mut(&group.route))
        {
            unhedged.remove(&Unhedged { first_attempt_at, generation });
        }
    }
}
