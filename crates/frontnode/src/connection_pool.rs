//! A pool of connections to one replica whose protocol carries one shard request at a time on each connection. The pool
//! limits the number of connections, queues shard requests for a limited time, and decides whether the connection of a
//! cancelled shard request is closed or drained. It only decides; the owner of the connections carries the decisions
//! out.
//!
//! Each replica is entitled to its fair share of the node's connections. It may borrow more as long as the fair shares
//! of all others stay available: a replica that accepts requests and never answers uses up its own share and borrowed
//! connections, but nothing that another replica is entitled to.
//!
//! The response to a shard request that is cancelled under HTTP/1.1 is still in flight. Closing the connection stops
//! the work of the replica, but requires a new connection; draining it occupies the connection until the response has
//! arrived. Closing is rate limited: in a burst of cancellations, the replica would otherwise spend its time on new
//! connections.

use std::collections::{BTreeMap, VecDeque};

use orchidvalve::interface::Nanos;

/// The settings of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// The maximum number of connections to one replica.
    pub max_connections: usize,
    /// The maximum number of shard requests that wait for a connection.
    pub max_queued: usize,
    /// How long a shard request may wait for a connection, in nanoseconds.
    pub queue_timeout: Nanos,
    /// The cost of closing the connection of a cancelled shard request, as a time taken from the close budget.
    pub close_cost: Nanos,
    /// The maximum of the close budget, which is refilled as time passes.
    pub close_budget: Nanos,
    /// How long the response to a cancelled shard request may take to arrive completely.
    pub drain_timeout: Nanos,
}

/// The number of connections that the node has and may have.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// The maximum number of connections to all replicas.
    pub max_connections: usize,
    /// Connections that are open.
    pub open: usize,
    /// Replicas that accept new attempts.
    pub serving_replicas: usize,
    /// Connections that all other replicas are still entitled to.
    pub reserved: usize,
}

impl Capacity {
    /// Returns a replica's fair share of the connections, at least one.
    pub fn fair_share(&self) -> usize {
        (self.max_connections / self.serving_replicas.max(1)).max(1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State<T> {
    /// The connection is being established.
    Connecting { for_health_check: bool },
    /// Carries nothing. `released` numbers the releases: the connection released last is reused first, so that the
    /// others become idle for long enough to be closed.
    Idle { released: u64 },
    /// Carries a shard request.
    Busy(T),
    /// Carries a health check.
    HealthCheck,
    /// Reads the response to a cancelled shard request.
    Draining,
}

/// The result of placing a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement<K> {
    /// It is sent on this connection.
    On(K),
    /// It waits until a connection is released or the queue timeout expires.
    Queued,
    /// It is rejected because too many shard requests wait.
    QueueFull,
}

/// The result of placing a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckPlacement<K> {
    /// It is sent on this connection.
    On(K),
    /// It is sent on a connection that is opened for it.
    Open,
    /// It cannot be sent: there is no capacity for another connection.
    Unavailable,
}

/// The result of cancelling a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation<K> {
    /// It was waiting for a connection and has left the queue.
    Dequeued,
    /// Its connection is closed.
    Close(K),
    /// Its response is read and discarded, until this time at the latest.
    Drain(K, Nanos),
    /// The pool does not contain the shard request.
    Unknown,
}

/// The connections to one replica and the shard requests that wait for one. `K` identifies a connection, `T` a shard
/// request.
#[derive(Debug)]
pub struct ConnectionPool<K, T> {
    settings: PoolSettings,
    connections: BTreeMap<K, State<T>>,
    queue: VecDeque<T>,
    releases: u64,
    /// The close budget at the time `close_allowance_at`.
    close_allowance: Nanos,
    close_allowance_at: Nanos,
}

impl<K: Copy + Ord, T: Copy + Eq> ConnectionPool<K, T> {
    /// Returns an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        ConnectionPool {
            settings,
            connections: BTreeMap::new(),
            queue: VecDeque::new(),
            releases: 0,
            close_allowance: settings.close_budget,
            close_allowance_at: Nanos::MIN / 2,
        }
    }

    /// Returns the settings of the pool.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Returns the number of connections that are open or being opened.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of shard requests that wait for a connection.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of connections that the pool is still entitled to.
    pub fn reserved(&self, capacity: Capacity) -> usize {
        capacity.fair_share().min(self.settings.max_connections).saturating_sub(self.connections.len())
    }

    fn connecting(&self) -> usize {
        let connecting = |state: &&State<T>| matches!(state, State::Connecting { for_health_check: false });
        self.connections.values().filter(connecting).count()
    }

    fn latest_idle(&self) -> Option<K> {
        let idle = self.connections.iter().filter_map(|(&key, state)| match state {
            State::Idle { released } => Some((*released, key)),
            _ => None,
        });
        idle.max_by_key(|&(released, _)| released).map(|(_, key)| key)
    }

    fn may_open(&self, capacity: Capacity, max_connections: usize) -> bool {
        let count = self.connections.len();
        count < max_connections
            && capacity.open < capacity.max_connections
            && (count < capacity.fair_share() || capacity.open + capacity.reserved < capacity.max_connections)
    }

    // ---- shard requests ----

    /// Places a shard request on an idle connection, or at the end of the queue.
    pub fn place(&mut self, request: T) -> Placement<K> {
        // Queued shard requests come first, even if a connection has just been released.
        if self.queue.is_empty()
            && let Some(key) = self.latest_idle()
        {
            self.connections.insert(key, State::Busy(request));
            return Placement::On(key);
        }
        if self.queue.len() >= self.settings.max_queued {
            return Placement::QueueFull;
        }
        self.queue.push_back(request);
        Placement::Queued
    }

    /// Returns whether another connection should be opened: each one being opened serves one queued shard request.
    pub fn needs_connection(&self, capacity: Capacity) -> bool {
        self.connecting() < self.queue.len() && self.may_open(capacity, self.settings.max_connections)
    }

    /// Returns the queued shard requests if none of them can ever be served: no connection is open and none may be
    /// opened.
    pub fn take_stranded(&mut self, capacity: Capacity) -> Vec<T> {
        let stranded = self.connections.is_empty() && !self.may_open(capacity, self.settings.max_connections);
        if stranded { self.take_queue() } else { Vec::new() }
    }

    /// Adds a connection that is being opened.
    pub fn opening(&mut self, key: K, for_health_check: bool) {
        self.connections.insert(key, State::Connecting { for_health_check });
    }

    /// Releases a connection that was established or whose request has ended. Returns the queued shard request that it
    /// carries next, if there is one.
    pub fn release(&mut self, key: K) -> Option<T> {
        let state = self.connections.get_mut(&key)?;
        if let Some(request) = self.queue.pop_front() {
            *state = State::Busy(request);
            return Some(request);
        }
        self.releases += 1;
        *state = State::Idle { released: self.releases };
        None
    }

    /// Returns whether a connection carries a request, or is being opened for one.
    pub fn is_busy(&self, key: K) -> bool {
        self.connections.get(&key).is_some_and(|state| !matches!(state, State::Idle { .. }))
    }

    /// Returns whether a connection still reads the response to a cancelled shard request.
    pub fn is_draining(&self, key: K) -> bool {
        self.connections.get(&key) == Some(&State::Draining)
    }

    /// Removes a closed connection and returns the queued shard requests that have to fail with it. If it was never
    /// established, that is the one that it was opened for. If no other connection is open or being opened, all queued
    /// shard requests fail, as each would meet the same failure.
    pub fn remove(&mut self, key: K) -> Vec<T> {
        let Some(State::Connecting { for_health_check }) = self.connections.remove(&key) else {
            return Vec::new();
        };
        let usable = |state: &State<T>| *state != State::Connecting { for_health_check: true };
        match (self.connections.values().any(usable), for_health_check) {
            (false, _) => self.take_queue(),
            (true, true) => Vec::new(),
            (true, false) => self.queue.pop_front().into_iter().collect(),
        }
    }

    /// Removes a shard request from the queue. Returns false if it was not queued.
    pub fn dequeue(&mut self, request: T) -> bool {
        let before = self.queue.len();
        self.queue.retain(|&queued| queued != request);
        self.queue.len() < before
    }

    /// Cancels a shard request. `answer_began` says whether a part of its response has arrived; the rest then is likely
    /// to follow soon.
    pub fn cancel(&mut self, now: Nanos, request: T, answer_began: bool) -> Cancellation<K> {
        if self.dequeue(request) {
            return Cancellation::Dequeued;
        }
        let carries = self.connections.iter().find(|(_, state)| **state == State::Busy(request));
        let Some((&key, _)) = carries else { return Cancellation::Unknown };
        if !answer_began && self.spend_close(now) {
            return Cancellation::Close(key);
        }
        self.connections.insert(key, State::Draining);
        Cancellation::Drain(key, now + self.settings.drain_timeout)
    }

    /// Takes the cost of one close from the close budget. Returns false if the budget is too small.
    fn spend_close(&mut self, now: Nanos) -> bool {
        let elapsed = now.saturating_sub(self.close_allowance_at).max(0);
        self.close_allowance = self.close_allowance.saturating_add(elapsed).min(self.settings.close_budget);
        self.close_allowance_at = now;
        let can_close = self.close_allowance >= self.settings.close_cost;
        if can_close {
            self.close_allowance -= self.settings.close_cost;
        }
        can_close
    }

    /// Takes all queued shard requests: the replica drains or is gone, and nothing new may be sent to it.
    pub fn take_queue(&mut self) -> Vec<T> {
        self.queue.drain(..).collect()
    }

    // ---- health checks ----

    /// Places a health check. It does not queue behind shard requests: it uses an idle connection, or one above the
    /// limit of the pool, because it has to examine a pool that is full of unanswered shard requests.
    pub fn place_health_check(&mut self, capacity: Capacity) -> HealthCheckPlacement<K> {
        if let Some(key) = self.latest_idle() {
            self.connections.insert(key, State::HealthCheck);
            return HealthCheckPlacement::On(key);
        }
        let is_checking = |state: &State<T>| {
            matches!(state, State::HealthCheck | State::Connecting { for_health_check: true })
        };
        let none_in_flight = !self.connections.values().any(is_checking);
        if none_in_flight && self.may_open(capacity, self.settings.max_connections + 1) {
            HealthCheckPlacement::Open
        } else {
            HealthCheckPlacement::Unavailable
        }
    }
}

#[cfg(test)]
mod tests;
