//! The model of a store: a bounded queue in front of a number of cores, slower while the store warms up, and down for a
//! while after an overload during the warm-up. It has no I/O and no clock; the stub store on sockets uses it too.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{Rules, Stores, ms, seconds};
use crate::timeline::Condition;
use crate::{Nanos, SECOND};

/// The result of a shard request that arrived at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The store rejects it without executing it.
    Rejected,
    /// The store executes it and responds at this time.
    Served(Nanos),
    /// The store responds with an error at this time.
    Failed(Nanos),
    /// The store sends no response. The shard request may have been executed.
    Unanswered,
}

/// The state of a store.
pub struct StoreModel {
    core_free_at: Vec<Nanos>,
    /// The times at which waiting shard requests get a core, ascending.
    starts: VecDeque<Nanos>,
    work: Nanos,
    queue: usize,
    warm_up: Nanos,
    cold_share: f64,
    down_for: Nanos,
    /// Length of the window in which shard requests are counted during the warm-up.
    window: Nanos,
    recent: VecDeque<(Nanos, usize)>,
    overload_limit_warm: f64,
    /// When the store's process started; `None` if it had run for long before the run began.
    pub started_at: Option<Nanos>,
    /// The combined effect of the store's active faults.
    pub condition: Condition,
    /// End of the downtime after an overload.
    down_until: Nanos,
    rng: Pcg64Mcg,
}

/// An overload of a store during its warm-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Overload {
    /// The number of shard requests in the window.
    pub requests: usize,
    /// The number of shard requests above which the store fails.
    pub limit: usize,
    /// The number of shard requests in the window by front node.
    pub by_front_node: Vec<(usize, usize)>,
}

impl StoreModel {
    /// Returns a store that has been running for long and is warm.
    pub fn new(stores: &Stores, rules: &Rules, seed: u64) -> StoreModel {
        let work = seconds(stores.work_ms / 1000.0).max(1);
        let window = ms(rules.cold_window_ms).max(1);
        let warm = stores.cores as f64 * window as f64 / work as f64;
        StoreModel {
            core_free_at: vec![0; stores.cores],
            starts: VecDeque::new(),
            work,
            queue: stores.queue,
            warm_up: seconds(stores.cold_s),
            cold_share: rules.cold_share,
            down_for: seconds(stores.fall_s),
            window,
            recent: VecDeque::new(),
            overload_limit_warm: warm * rules.cold_multiple,
            started_at: None,
            condition: Condition::default(),
            down_until: Nanos::MIN,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Restarts the store with no work in progress and at the start of its warm-up.
    pub fn start(&mut self, now: Nanos) {
        self.core_free_at.iter_mut().for_each(|at| *at = now);
        (self.started_at, self.down_until) = (Some(now), Nanos::MIN);
        self.starts.clear();
        self.recent.clear();
    }

    /// Returns the current capacity as a fraction of the full capacity: it grows linearly from `cold_share` to 1
    /// during the warm-up.
    pub fn capacity_fraction(&self, now: Nanos) -> f64 {
        let Some(at) = self.started_at else { return 1.0 };
        let age = (now - at).max(0) as f64 / self.warm_up.max(1) as f64;
        if age >= 1.0 { 1.0 } else { self.cold_share + (1.0 - self.cold_share) * age }
    }

    fn is_warming_up(&self, now: Nanos) -> bool {
        self.capacity_fraction(now) < 1.0
    }

    /// Returns whether the store accepts connections.
    pub fn is_up(&self, now: Nanos) -> bool {
        !self.condition.down && now >= self.down_until
    }

    /// Returns the number of shard requests that wait for a core.
    pub fn waiting(&mut self, now: Nanos) -> usize {
        while self.starts.front().is_some_and(|at| *at <= now) {
            self.starts.pop_front();
        }
        self.starts.len()
    }

    /// Returns the number of shard requests in the window that the store tolerates: `N + 3 sqrt(N) + 3`, where `N` is
    /// the rule's multiple of the store's current capacity.
    fn overload_limit(&self, now: Nanos) -> usize {
        let expected = self.overload_limit_warm * self.capacity_fraction(now);
        (expected + 3.0 * expected.sqrt() + 3.0) as usize
    }

    /// Processes a shard request from a front node; `size` is its work relative to the mean.
    pub fn receive(
        &mut self,
        now: Nanos,
        size: f64,
        front_node: usize,
    ) -> (RequestOutcome, Option<Overload>) {
        if !self.is_up(now) || self.condition.unresponsive {
            return (RequestOutcome::Unanswered, None);
        }
        if self.is_warming_up(now) {
            while self.recent.front().is_some_and(|(at, _)| now - at >= self.window) {
                self.recent.pop_front();
            }
            self.recent.push_back((now, front_node));
            if self.recent.len() > self.overload_limit(now) {
                return (RequestOutcome::Unanswered, Some(self.overload(now)));
            }
        }
        let (waiting, drawn) = (self.waiting(now), self.rng.random::<f64>());
        if self.condition.draining || waiting >= self.queue || drawn < self.condition.rejected_fraction {
            return (RequestOutcome::Rejected, None);
        }
        let cores = ((self.core_free_at.len() as f64 * self.condition.cores_left).ceil() as usize).max(1);
        // A remaining fraction of a core makes the work slower.
        let core_fraction =
            (self.core_free_at.len() as f64 * self.condition.cores_left / cores as f64).max(0.01);
        let warm_up_slowdown = 1.0 / self.capacity_fraction(now).max(0.01);
        let duration =
            (self.work as f64 * size * warm_up_slowdown * self.condition.slowdown / core_fraction) as Nanos;
        let Some(core) = (0..cores).min_by_key(|c| self.core_free_at[*c]) else {
            return (RequestOutcome::Rejected, None);
        };
        let starts_at = self.core_free_at[core].max(now);
        self.core_free_at[core] = starts_at + duration;
        if starts_at > now {
            let position = self.starts.partition_point(|at| *at <= starts_at);
            self.starts.insert(position, starts_at);
        }
        let done = starts_at + duration;
        match () {
            () if self.condition.stalled => (RequestOutcome::Unanswered, None),
            () if self.rng.random::<f64>() < self.condition.failed_fraction => {
                (RequestOutcome::Failed(done), None)
            }
            () => (RequestOutcome::Served(done), None),
        }
    }

    fn overload(&mut self, now: Nanos) -> Overload {
        let mut by_front_node: Vec<(usize, usize)> = Vec::new();
        for (_, front_node) in &self.recent {
            match by_front_node.iter_mut().find(|(f, _)| f == front_node) {
                Some((_, count)) => *count += 1,
                None => by_front_node.push((*front_node, 1)),
            }
        }
        let overload =
            Overload { requests: self.recent.len(), limit: self.overload_limit(now), by_front_node };
        self.start(now + self.down_for);
        self.down_until = now + self.down_for;
        overload
    }

    /// Returns how long a shard request of mean size would take if it arrived now.
    pub fn time_to_respond(&self, now: Nanos) -> Nanos {
        let starts_at = self.core_free_at.iter().min().copied().unwrap_or(now).max(now);
        let warm_up_slowdown = 1.0 / self.capacity_fraction(now).max(0.01);
        starts_at - now
            + (self.work as f64 * warm_up_slowdown * self.condition.slowdown
                / self.condition.cores_left.max(0.01)) as Nanos
    }

    /// Returns the number of shard requests per second that the store can process when warm.
    pub fn rate(&self) -> u64 {
        (self.core_free_at.len() as Nanos * SECOND / self.work) as u64
    }
}
