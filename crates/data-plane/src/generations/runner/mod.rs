//! The runner: its state, its periodic step, and the server table.

mod groups;
mod rewards;
mod stalls;
mod streams;

use std::collections::HashMap;
use std::sync::Arc;

use orchidvalve_scheduler::{Decision, GenerationId, GroupKey, RouteKey, Scheduler};
use rand_pcg::Pcg64Mcg;

use crate::generations::attempt::{Attempt, StreamPace};
use crate::generations::eligibility::EligibilityView;
use crate::generations::group::{Group, GroupsByJob, Requirements, RouteAtService};
use crate::generations::interface::{AttemptId, ItemResult, Routes, RunnerCommand, ServerInfo, ServerKey};
use crate::generations::item::{ItemState, Phase};
use crate::generations::reward_calls::RewardCalls;
use crate::generations::servers::Servers;
use crate::generations::text_archive::TextArchive;
use crate::generations::timers::{Timer, Timers};

/// Runs the groups of generations of a gateway.
pub struct Runner {
    scheduler: Scheduler<ServerKey>,
    servers: Servers,
    groups: HashMap<GroupKey, Group>,
    jobs: GroupsByJob,
    attempts: HashMap<AttemptId, Attempt>,
    rewards: RewardCalls,
    timers: Timers,
    archive: TextArchive,
    route_keys: HashMap<RouteAtService, RouteKey>,
    paces: HashMap<RouteKey, StreamPace>,
    eligibility_classes: HashMap<Requirements, u64>,
    next_group: u32,
    /// Whether a pending generation or reward call may find a server since the last dispatch.
    needs_dispatch: bool,
    next_attempt: u64,
    next_hedge_at: Option<u64>,
    decisions: Vec<Decision<ServerKey>>,
}

impl Runner {
    /// Creates a runner without servers and groups. `random` breaks ties; `slot_fraction` is this gateway's fraction
    /// of every server's slots; `routes` finds the routes of reward calls.
    pub fn new(random: Pcg64Mcg, slot_fraction: f64, routes: Arc<dyn Routes>) -> Self {
        Self {
            scheduler: Scheduler::new(random.clone()),
            servers: Servers::new(slot_fraction),
            groups: HashMap::new(),
            jobs: HashMap::new(),
            attempts: HashMap::new(),
            rewards: RewardCalls::new(random, routes),
            timers: Timers::default(),
            archive: TextArchive::default(),
            route_keys: HashMap::new(),
            paces: HashMap::new(),
            eligibility_classes: HashMap::new(),
            next_group: 0,
            needs_dispatch: false,
            next_attempt: 0,
            next_hedge_at: None,
            decisions: Vec::new(),
        }
    }

    /// Replaces the routes of reward calls after a change of the configuration.
    pub fn set_routes(&mut self, routes: Arc<dyn Routes>) {
        self.rewards.set_routes(routes);
        self.needs_dispatch = true;
    }

    /// Sets this gateway's fraction of every server's slots.
    pub fn set_slot_fraction(&mut self, slot_fraction: f64) {
        self.servers.set_slot_fraction(slot_fraction);
        for key in self.servers.keys() {
            self.refresh_limit(key);
        }
    }

    /// Adds a server, or updates it from its entry in the server table.
    pub fn set_server(&mut self, info: &ServerInfo) {
        self.servers.set(info);
        self.refresh_limit(info.key);
    }

    /// Removes a server that is no longer listed. Its attempts continue until the host reports their ends.
    pub fn remove_server(&mut self, key: ServerKey) {
        self.servers.remove(key);
        self.scheduler.remove_server(key);
        self.rewards.remove_server(key);
        self.needs_dispatch = true;
    }

    /// Handles everything that is due: expires items, cancels stalled streams, and starts attempts and reward calls
    /// that can find a server. The host calls it once after a batch of other inputs, and at the time of
    /// [`Runner::next_wakeup`].
    pub fn tick(&mut self, now: u64, out: &mut Vec<RunnerCommand>) {
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(now, timer, out);
        }
        self.needs_dispatch |= self.servers.end_ejections(now);
        if self.needs_dispatch || self.next_hedge_at.is_some_and(|at| at <= now) {
            self.needs_dispatch = false;
            self.discard_unservable_texts();
            self.dispatch(now, out);
            self.dispatch_rewards(now, out);
            self.next_hedge_at = self.scheduler.next_wakeup(now);
        }
        let (groups, attempts, rewards) = (&self.groups, &self.attempts, &self.rewards);
        self.timers.drop_stale(|timer| match timer {
            Timer::Expire(group) => groups.contains_key(&group),
            Timer::Stall(attempt) => attempts.contains_key(&attempt),
            Timer::RetryReward(generation) => groups.contains_key(&generation.group),
            Timer::HedgeReward(call) | Timer::ExpireReward(call) => rewards.is_in_flight(call),
        });
    }

    /// Returns when [`Runner::tick`] has to be called next if there are no other inputs.
    pub fn next_wakeup(&self) -> Option<u64> {
        let has_pending = self.scheduler.has_pending() || self.rewards.has_pending();
        let ejection_end = self.servers.next_ejection_end().filter(|_| has_pending);
        [self.timers.next(), self.next_hedge_at, ejection_end].into_iter().flatten().min()
    }

    /// Returns the number of open groups.
    pub fn open_groups(&self) -> usize {
        self.groups.len()
    }

    /// Returns the number of generations that wait for a server of a service.
    pub fn waiting_generations(&self, service: &str) -> usize {
        self.servers.known_pool(service).map_or(0, |pool| self.scheduler.pending(pool))
    }

    /// Returns the number of attempts in flight, including reward calls.
    pub fn in_flight(&self) -> usize {
        self.attempts.len() + self.rewards.in_flight()
    }

    fn handle_timer(&mut self, now: u64, timer: Timer, out: &mut Vec<RunnerCommand>) {
        match timer {
            Timer::Expire(group) => self.expiry_due(now, group, out),
            Timer::Stall(attempt) => self.check_stall(now, attempt, out),
            Timer::RetryReward(generation) => self.retry_reward(generation),
            Timer::HedgeReward(call) => self.hedge_reward(now, call, out),
            Timer::ExpireReward(call) => self.expire_reward(now, call, out),
        }
    }

    /// Updates the number of attempts that may be in flight at the server, in the scheduler and the reward calls.
    fn refresh_limit(&mut self, key: ServerKey) {
        let limit = self.servers.limit(key);
        if let Some(server) = self.servers.get(key) {
            self.scheduler.set_server(key, server.pool, limit);
            self.rewards.set_server(key, server.pool, limit, server.usable_slots(), server.same_zone);
            self.needs_dispatch = true;
        }
    }

    fn new_attempt(&mut self) -> AttemptId {
        self.next_attempt += 1;
        AttemptId(self.next_attempt)
    }

    fn item(&mut self, generation: GenerationId) -> Option<&mut ItemState> {
        self.groups.get_mut(&generation.group)?.items.get_mut(generation.index as usize)
    }

    /// Calls `decide` with the scheduler and executes the decisions that it returns.
    fn decide(
        &mut self,
        now: u64,
        out: &mut Vec<RunnerCommand>,
        decide: impl FnOnce(&mut Scheduler<ServerKey>, &EligibilityView<'_>, &mut Vec<Decision<ServerKey>>),
    ) {
        let mut decisions = std::mem::take(&mut self.decisions);
        let view = EligibilityView { now, servers: &self.servers, groups: &self.groups };
        decide(&mut self.scheduler, &view, &mut decisions);
        for decision in decisions.drain(..) {
            match decision {
                Decision::Start { generation, server } => {
                    self.begin_attempt(now, generation, server, false, out);
                }
                Decision::Hedge { generation, server } => {
                    self.begin_attempt(now, generation, server, true, out);
                }
                Decision::Cancel { generation, server } => self.cancel_attempt(generation, server, out),
            }
        }
        self.decisions = decisions;
    }

    fn dispatch(&mut self, now: u64, out: &mut Vec<RunnerCommand>) {
        self.decide(now, out, |scheduler, view, decisions| scheduler.dispatch(now, view, decisions));
    }

    /// Cancels the attempts of a generation that needs no server any more.
    fn settle(&mut self, generation: GenerationId, out: &mut Vec<RunnerCommand>) {
        self.decide_cancellations(out, |scheduler, decisions| scheduler.settle(generation, decisions));
    }

    /// Calls a `decide` that only cancels attempts and therefore needs neither the time nor the view.
    fn decide_cancellations(
        &mut self,
        out: &mut Vec<RunnerCommand>,
        decide: impl FnOnce(&mut Scheduler<ServerKey>, &mut Vec<Decision<ServerKey>>),
    ) {
        self.decide(0, out, |scheduler, _, decisions| decide(scheduler, decisions));
    }

    /// Reports the result of an item to the store node, once, and cancels its attempts.
    fn report(&mut self, generation: GenerationId, result: ItemResult, out: &mut Vec<RunnerCommand>) {
        self.settle(generation, out);
        self.cancel_rewards(generation, out);
        let Some(group) = self.groups.get_mut(&generation.group) else { return };
        let Some(item) = group.items.get_mut(generation.index as usize) else { return };
        if matches!(item.phase, Phase::Done) {
            return;
        }
        item.phase = Phase::Done;
        item.resumable_text = Default::default();
        out.push(RunnerCommand::Report { group: group.id.clone(), item: item.item.id.clone(), result });
        group.open -= 1;
        if group.open == 0 {
            self.remove_group(generation.group, out);
        }
        self.needs_dispatch = true;
    }

    /// Removes a group and cancels its attempts without reporting anything.
    fn remove_group(&mut self, key: GroupKey, out: &mut Vec<RunnerCommand>) -> Option<Group> {
        for index in 0..self.groups.get(&key)?.items.len() as u32 {
            self.cancel_rewards(GenerationId { group: key, index }, out);
        }
        self.decide_cancellations(out, |scheduler, decisions| scheduler.remove_group(key, decisions));
        let group = self.groups.remove(&key)?;
        if let Some(groups) = self.jobs.get_mut(&group.id.job) {
            groups.retain(|other| *other != key);
            if groups.is_empty() {
                self.jobs.remove(&group.id.job);
            }
        }
        self.needs_dispatch = true;
        Some(group)
    }
}
