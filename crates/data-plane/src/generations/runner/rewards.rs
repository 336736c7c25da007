//! Reward calls: the scoring service scores the complete text of an item before its result is reported.

use compact_str::CompactString;
use orchidvalve_scheduler::GenerationId;

use super::Runner;
use crate::generations::interface::{
    ItemResult, RewardCallId, RewardOutcome, RewardRoute, RunnerCommand, ServerKey,
};
use crate::generations::item::{Phase, Scoring};
use crate::generations::timers::Timer;

/// Backoff before a reward call is retried, in milliseconds.
const RETRY_BACKOFF_MS: u64 = 30;
/// Backoff while the configuration has no route for a reward call, in milliseconds.
const NO_ROUTE_BACKOFF_MS: u64 = 1_000;
/// A reward call is hedged after this many times the latency target of its route.
const HEDGE_FACTOR: u64 = 2;
/// The deadline of a reward call, as a multiple of the latency target of its route.
const DEADLINE_FACTOR: u64 = 8;
/// The minimum deadline of a reward call, in milliseconds.
const MIN_DEADLINE_MS: u64 = 2_000;

impl Runner {
    /// Handles the end of a reward call.
    pub fn reward_ended(
        &mut self,
        now: u64,
        call: RewardCallId,
        outcome: RewardOutcome,
        out: &mut Vec<RunnerCommand>,
    ) {
        let Some(ended) = self.rewards.end(call) else { return };
        self.needs_dispatch = true;
        let generation = ended.generation;
        let Some(scoring) = self.scoring(generation) else { return };
        scoring.calls.retain(|other| *other != call);
        match outcome {
            RewardOutcome::Response { code: 200..=299, signature: Some(score), .. } => {
                self.servers.succeeded(ended.server);
                return self.scored(generation, score, out);
            }
            RewardOutcome::Response { code: 500, .. } => {
                scoring.failures += 1;
                self.server_failed(now, ended.server);
            }
            RewardOutcome::Response { code: 503 | 429 | 421, retry_after_ms, .. } => {
                self.servers.rejected(ended.server, now, retry_after_ms);
            }
            RewardOutcome::Response { .. } | RewardOutcome::Broken | RewardOutcome::ConnectFailed => {
                self.server_failed(now, ended.server);
            }
        }
        self.reward_failed(now, generation, out);
    }

    /// Queues the reward call of an item until a server is available.
    pub(super) fn retry_reward(&mut self, generation: GenerationId) {
        if self.scoring(generation).is_some_and(|scoring| scoring.calls.is_empty())
            && self.rewards.push_pending(generation)
        {
            self.needs_dispatch = true;
        }
    }

    /// Sends the pending reward calls for which a server is available.
    pub(super) fn dispatch_rewards(&mut self, now: u64, out: &mut Vec<RunnerCommand>) {
        for _ in 0..self.rewards.pending() {
            let Some(generation) = self.rewards.pop_pending() else { return };
            if self.scoring(generation).is_none() {
                continue;
            }
            let Some(route) = self.reward_route(generation) else {
                self.timers.add(now + NO_ROUTE_BACKOFF_MS, Timer::RetryReward(generation));
                continue;
            };
            match self.pick_reward_server(now, generation, &route, true) {
                Some(server) => self.call_reward(now, generation, &route, server, out),
                None => self.rewards.return_pending(generation),
            }
        }
    }

    /// Hedges a slow reward call at another server, once per item.
    pub(super) fn hedge_reward(&mut self, now: u64, call: RewardCallId, out: &mut Vec<RunnerCommand>) {
        let Some(generation) = self.rewards.generation(call) else { return };
        let Some(scoring) = self.scoring(generation).filter(|scoring| !scoring.hedged) else { return };
        scoring.hedged = true;
        let Some(route) = self.reward_route(generation) else { return };
        if let Some(server) = self.pick_reward_server(now, generation, &route, false) {
            self.call_reward(now, generation, &route, server, out);
        }
    }

    /// Ends a reward call whose deadline has passed.
    pub(super) fn expire_reward(&mut self, now: u64, call: RewardCallId, out: &mut Vec<RunnerCommand>) {
        if self.rewards.is_in_flight(call) {
            out.push(RunnerCommand::CancelReward { call });
            self.reward_ended(now, call, RewardOutcome::Broken, out);
        }
    }

    /// Cancels all reward calls of an item.
    pub(super) fn cancel_rewards(&mut self, generation: GenerationId, out: &mut Vec<RunnerCommand>) {
        let Some(scoring) = self.scoring(generation) else { return };
        for call in std::mem::take(&mut scoring.calls) {
            self.rewards.end(call);
            out.push(RunnerCommand::CancelReward { call });
        }
    }

    /// Reports the result of an item whose text has been scored.
    fn scored(&mut self, generation: GenerationId, score: CompactString, out: &mut Vec<RunnerCommand>) {
        let Some(scoring) = self.scoring(generation) else { return };
        let result = std::mem::take(&mut scoring.text).into_result(Some(score));
        self.report(generation, result, out);
    }

    fn reward_failed(&mut self, now: u64, generation: GenerationId, out: &mut Vec<RunnerCommand>) {
        let max_attempts = self.reward_route(generation).map_or(u32::MAX, |route| route.max_attempts);
        let Some(group) = self.groups.get(&generation.group) else { return };
        let max_attempts = max_attempts.max(group.route.max_attempts);
        let Some(scoring) = self.scoring(generation).filter(|scoring| scoring.calls.is_empty()) else {
            return;
        };
        if scoring.failures >= max_attempts.max(1) {
            return self.report(generation, ItemResult::Expired, out);
        }
        self.timers.add(now + RETRY_BACKOFF_MS, Timer::RetryReward(generation));
    }

    /// Picks a server other than that of the last call. If `allow_same` is set, that server is picked when there is no
    /// other.
    fn pick_reward_server(
        &mut self,
        now: u64,
        generation: GenerationId,
        route: &RewardRoute,
        allow_same: bool,
    ) -> Option<ServerKey> {
        let pool = self.servers.pool(&route.service);
        let avoid = self.scoring(generation)?.last_server;
        let servers = &self.servers;
        let available = |server: ServerKey| servers.available(server, now);
        self.rewards.pick(pool, servers.slot_fraction(), avoid, allow_same, available)
    }

    fn call_reward(
        &mut self,
        now: u64,
        generation: GenerationId,
        route: &RewardRoute,
        server: ServerKey,
        out: &mut Vec<RunnerCommand>,
    ) {
        let pool = self.servers.pool(&route.service);
        let call = self.rewards.begin(generation, pool, server);
        let deadline_ms = (route.target_latency_ms * DEADLINE_FACTOR).max(MIN_DEADLINE_MS);
        let Some(item) = self.item(generation) else { return };
        if let Phase::Scoring(scoring) = &mut item.phase {
            scoring.calls.push(call);
            scoring.last_server = Some(server);
        }
        out.push(RunnerCommand::CallReward { call, server, item: item.item.clone(), deadline_ms });
        self.timers.add(now + route.target_latency_ms * HEDGE_FACTOR, Timer::HedgeReward(call));
        self.timers.add(now + deadline_ms, Timer::ExpireReward(call));
    }

    /// Returns the route of the item's reward call, with a service drawn at random for one call.
    fn reward_route(&mut self, generation: GenerationId) -> Option<RewardRoute> {
        let group = self.groups.get(&generation.group)?;
        let scorer = group.items.get(generation.index as usize)?.item.scorer.as_ref()?;
        self.rewards.draw_route(scorer)
    }

    fn scoring(&mut self, generation: GenerationId) -> Option<&mut Scoring> {
        match &mut self.item(generation)?.phase {
            Phase::Scoring(scoring) => Some(scoring),
            _ => None,
        }
    }
}
