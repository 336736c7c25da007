//! Connections to the replicas: opens and closes them, sends calls, receives responses and checks their health.

mod attempts;
mod connection;
mod health_checks;
mod lifecycle;
mod pooled;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use orchidvalve::interface::{Nanos, ReplicaIndex};
use orchidvalve::state::AttemptOutcome;
use slotmap::SlotMap;

use crate::config::NodeConfig;
use crate::connection_pool::ConnectionPool;
use crate::context::Context;
use crate::deadlines::DeadlineKey;
use crate::event_loop::ConnectionKey;
use crate::queries::{AttemptId, QueryTable};
use crate::store_protocol::{ConnectionLimits, Load, ProtocolKind, StoreProtocolSettings};

use connection::{Call, Connection};

/// The address and the protocol of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAddress {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The protocol that the replica speaks.
    pub protocol: ProtocolKind,
}

/// The load of a replica, as reported by its health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadRates {
    /// Shard requests in its queue.
    pub queued: f64,
    /// Shard requests completed per second.
    pub completed_per_second: f64,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthReport {
    /// The replica that was checked.
    pub replica: ReplicaIndex,
    /// Whether the replica answered in time.
    pub answered: bool,
    /// The reported load; `None` if the response did not contain one.
    pub load: Option<LoadRates>,
}

/// The latest load counters of a replica, from which rates are computed.
struct LoadCounts {
    at: Nanos,
    rejected: u64,
    completed: u64,
}

struct Replica {
    address: ReplicaAddress,
    serving: bool,
    started: Option<Nanos>,
    connections: Vec<ConnectionKey>,
    /// Attempts that the current round started.
    queued: Call,
    /// The pool; only for protocols that carry one shard request at a time on a connection.
    pool: Option<ConnectionPool<ConnectionKey, AttemptId>>,
    load_counts: Option<LoadCounts>,
}

impl Replica {
    /// Converts a reported load into rates. Counters give a rate from the second report on, unless they decreased: a
    /// replica that restarted counts from 0. Shard requests that it rejected since the last report count as queued, as
    /// they would wait if its queue had capacity.
    fn load_rates(&mut self, load: Load, now: Nanos) -> Option<LoadRates> {
        match load {
            Load::Rate { queued, completed_per_second } => Some(LoadRates { queued, completed_per_second }),
            Load::Counts { queued, rejected, completed } => {
                let before = self.load_counts.replace(LoadCounts { at: now, rejected, completed })?;
                let rejected = rejected.checked_sub(before.rejected)?;
                let completed = completed.checked_sub(before.completed)?;
                let seconds = (now - before.at) as f64 / 1e9;
                (seconds > 0.0).then(|| LoadRates {
                    queued: queued.max(rejected) as f64,
                    completed_per_second: completed as f64 / seconds,
                })
            }
        }
    }
}

/// All connections to replicas.
pub struct StoreConnections {
    replicas: Vec<Replica>,
    connections: SlotMap<ConnectionKey, Connection>,
    max_connections: usize,
    protocols: StoreProtocolSettings,
    idle_timeout: Nanos,
    connect_timeout: Nanos,
    /// Replicas with attempts that the current round started.
    with_queued: Vec<ReplicaIndex>,
    /// The timers of attempts that wait for a pooled connection.
    pool_waits: BTreeMap<AttemptId, DeadlineKey>,
    /// Replicas whose pool may need another connection.
    pools_to_check: Vec<ReplicaIndex>,
    /// Attempts for which no connection could be opened; they still have to be ended.
    unreached: Vec<AttemptId>,
    /// Health checks that ended since the last round.
    pub health_reports: Vec<HealthReport>,
}

impl StoreConnections {
    /// Returns a table without replicas and connections.
    pub fn new(config: &NodeConfig) -> Self {
        StoreConnections {
            replicas: Vec::new(),
            connections: SlotMap::with_key(),
            max_connections: config.max_store_connections,
            protocols: config.store_protocols.clone(),
            // An idle connection is closed before its server closes it, so that no call is written into a closing one.
            idle_timeout: (config.idle_timeout - config.connect_timeout).max(config.idle_timeout / 2),
            connect_timeout: config.connect_timeout,
            with_queued: Vec::new(),
            pool_waits: BTreeMap::new(),
            pools_to_check: Vec::new(),
            unreached: Vec::new(),
            health_reports: Vec::new(),
        }
    }

    /// Returns the number of connections that are open or being opened.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Clears the slot of a new replica: another replica may have used it before.
    pub fn reset_slot(&mut self, ix: ReplicaIndex, context: &mut Context) {
        let Some(replica) = self.replicas.get_mut(ix.0) else { return };
        (replica.started, replica.load_counts) = (None, None);
        for key in std::mem::take(&mut replica.connections) {
            self.close(key, context);
        }
    }

    /// Adds a replica or updates it from the endpoint list.
    pub fn update_replica(
        &mut self,
        ix: ReplicaIndex,
        address: ReplicaAddress,
        serving: bool,
        started: Option<Nanos>,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let pool = self.new_pool(address.protocol);
        if self.replicas.len() <= ix.0 {
            self.replicas.push(Replica {
                address,
                serving,
                started,
                connections: Vec::new(),
                queued: Vec::new(),
                pool,
                load_counts: None,
            });
            return;
        }
        let replica = &mut self.replicas[ix.0];
        if replica.address.protocol != address.protocol {
            // Its connections speak the old protocol; they close once nothing is in flight on them.
            let waiting = replica.pool.as_mut().map_or(Vec::new(), ConnectionPool::take_queue);
            replica.pool = pool;
            self.end_unsent(waiting, queries, context);
        }
        let replica = &mut self.replicas[ix.0];
        (replica.address, replica.started) = (address, started.or(replica.started));
        self.set_serving(ix, serving, queries, context);
    }

    /// Sets whether a replica accepts new attempts. If it does not, attempts that wait for a connection to it are
    /// ended, as they may no longer be sent.
    pub fn set_serving(
        &mut self,
        ix: ReplicaIndex,
        serving: bool,
        queries: &mut QueryTable,
        context: &mut Context,
    ) {
        let replica = &mut self.replicas[ix.0];
        replica.serving = serving;
        let waiting =
            replica.pool.as_mut().filter(|_| !serving).map_or(Vec::new(), ConnectionPool::take_queue);
        self.end_unsent(waiting, queries, context);
        for key in self.replicas[ix.0].connections.clone() {
            if !serving {
                let unsent: Vec<Call> = self.connections[key].pending.drain(..).collect();
                for id in unsent.into_iter().flatten() {
                    queries.end_attempt(id, AttemptOutcome::NotSent, context);
                }
            }
            self.idle_or_close(key, context);
        }
    }

    fn new_pool(&self, protocol: ProtocolKind) -> Option<ConnectionPool<ConnectionKey, AttemptId>> {
        let pooled = self.protocols.connection_limits(protocol).pooled;
        pooled.then(|| ConnectionPool::new(self.protocols.pool))
    }

    fn end_unsent(&mut self, waiting: Vec<AttemptId>, queries: &mut QueryTable, context: &mut Context) {
        for id in waiting {
            self.cancel_pool_wait(id, context);
            queries.end_attempt(id, AttemptOutcome::NotSent, context);
        }
    }

    fn connection_limits(&self, replica: ReplicaIndex) -> ConnectionLimits {
        self.protocols.connection_limits(self.replicas[replica.0].address.protocol)
    }

    /// Returns whether there is work to do in the next round without waiting for an event.
    pub fn has_work(&self) -> bool {
        !self.health_reports.is_empty() || !self.pools_to_check.is_empty() || !self.unreached.is_empty()
    }
}
