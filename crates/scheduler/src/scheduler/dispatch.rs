//! Assignment of generations to servers: first attempts by priority, then hedges, oldest first.

use std::collections::BTreeSet;
use std::ops::Bound::{Excluded, Unbounded};

use super::{Decision, Eligibility, Scheduler, Unhedged};
use crate::group::{GenerationId, GroupKey, PoolKey, RouteKey};
use crate::load_index::ServerKey;

impl<S: ServerKey> Scheduler<S> {
    /// Starts the attempts that are possible: first those of pending generations by priority, then hedges, oldest
    /// first.
    pub fn dispatch(&mut self, now: u64, host: &impl Eligibility<S>, out: &mut Vec<Decision<S>>) {
        let pools: Vec<PoolKey> = self.pools.keys().copied().collect();
        for pool in pools {
            self.dispatch_pending(now, pool, host, out);
            self.dispatch_hedges(now, pool, host, out);
        }
    }

    /// Returns when the next generation reaches the hedge delay, or `None` if none will without another event.
    pub fn next_wakeup(&self, now: u64) -> Option<u64> {
        let due = |(route, unhedged): (&RouteKey, &BTreeSet<Unhedged>)| {
            let delay = self.hedge_delay_ms(*route)?;
            let last = GenerationId { group: GroupKey(u32::MAX), index: u32::MAX };
            let next = match now.checked_sub(delay) {
                Some(first_attempt_at) => {
                    let reached = Unhedged { first_attempt_at, generation: last };
                    unhedged.range((Excluded(reached), Unbounded)).next()
                }
                None => unhedged.first(),
            };
            next.map(|next| next.first_attempt_at + delay)
        };
        self.pools.values().flat_map(|pool| &pool.unhedged).filter_map(due).min()
    }

    fn dispatch_pending(
        &mut self,
        now: u64,
        key: PoolKey,
        host: &impl Eligibility<S>,
        out: &mut Vec<Decision<S>>,
    ) {
        let mut last = None;
        let mut blocked: Vec<u64> = Vec::new();
        loop {
            let pool = &self.pools[&key];
            if !pool.servers.has_capacity() {
                return;
            }
            let next = match last {
                Some(last) => pool.pending.range((Excluded(last), Unbounded)).next(),
                None => pool.pending.first(),
            };
            let Some(next) = next.copied() else { return };
            last = Some(next);
            let generation = next.generation;
            let class = host.eligibility_class(generation);
            if class.is_some_and(|class| blocked.contains(&class)) {
                continue;
            }
            match pool.servers.pick(|server| host.eligible(generation, server)) {
                Some(server) => {
                    self.start_attempt(now, generation, server);
                    out.push(Decision::Start { generation, server });
                }
                None => blocked.extend(class),
            }
        }
    }

    fn dispatch_hedges(
        &mut self,
        now: u64,
        key: PoolKey,
        host: &impl Eligibility<S>,
        out: &mut Vec<Decision<S>>,
    ) {
        let allowed = |this: &Self| this.pools[&key].servers.has_idle() && this.budget.allows_hedge(now);
        if !allowed(self) {
            return;
        }
        for generation in self.hedge_candidates(now, key) {
            if !allowed(self) {
                return;
            }
            if let Some(server) = self.hedge_target(key, generation, host) {
                self.start_attempt(now, generation, server);
                out.push(Decision::Hedge { generation, server });
            }
        }
    }

    /// Returns the unhedged generations of a pool that have reached the hedge delay, oldest first.
    fn hedge_candidates(&self, now: u64, key: PoolKey) -> Vec<GenerationId> {
        let mut candidates = Vec::new();
        for (route, unhedged) in &self.pools[&key].unhedged {
            let Some(delay) = self.hedge_delay_ms(*route) else { continue };
            let reached = unhedged.iter().take_while(|entry| entry.first_attempt_at + delay <= now);
            candidates.extend(reached.copied());
        }
        candidates.sort_unstable();
        candidates.into_iter().map(|entry| entry.generation).collect()
    }

    /// Returns an idle server for a hedge of the generation if its group is in the endgame, that is, if it has fewer
    /// generations without a result than eligible servers.
    fn hedge_target(&self, key: PoolKey, generation: GenerationId, host: &impl Eligibility<S>) -> Option<S> {
        if !host.is_idempotent(generation) {
            return None;
        }
        let servers = &self.pools[&key].servers;
        let unsettled = self.groups.get(&generation.group)?.unsettled();
        let endgame = servers.more_eligible_than(unsettled, |server| host.eligible(generation, server));
        // A server that already runs the generation is not idle.
        if endgame { servers.pick_idle(|server| host.eligible(generation, server)) } else { None }
    }

    fn start_attempt(&mut self, now: u64, generation: GenerationId, server: S) {
        self.remove_from_queue(generation);
        let Some(group) = self.groups.get_mut(&generation.group) else { return };
        let pool = group.pool;
        let Some(state) = group.generation_mut(generation.index) else { return };
        let is_hedge = state.is_in_flight();
        state.add_attempt(server);
        if is_hedge {
            self.budget.record_hedge(now);
        } else if state.first_attempt_at.is_none() {
            self.budget.record_first_attempt(now);
            state.first_attempt_at = Some(now);
        }
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.servers.begin(server, &mut self.random);
        }
        self.add_to_queue(generation);
    }
}
