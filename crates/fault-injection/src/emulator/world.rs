//! The state of an emulated run and its schedule of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use orchidvalve::interface::{AggregatorSettings, ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::AttemptOutcome;
use orchidvalve_aggregator_settings::Section;
use orchidvalve_maintenance::queue::MaintenanceQueue;

use super::clients::EmulatedClient;
use super::front_nodes::{FrontNode, Input};
use super::stores::EmulatedStore;
use super::{SETUP_TIME, TraceLines};
use crate::discovery::ListedStore;
use crate::error::RunError;
use crate::invariants::{Event, InvariantChecker};
use crate::load::{PlannedQuery, Reply};
use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::settings::settings;
use crate::statistics::{OutcomeStatistics, QueryOutcome};
use crate::{Nanos, store_name};

/// An event that is processed at its scheduled time.
pub enum ScheduledEvent {
    /// A client sends its query, for the first time or as a retry.
    ClientSends { client: usize },
    /// A front node runs a decision round.
    Round { front_node: usize },
    /// An attempt reaches its store.
    AttemptArrives(EmulatedAttempt),
    /// The response of a store to an attempt reaches the front node.
    AttemptDone(EmulatedAttempt, AttemptOutcome),
    /// The time limit of an attempt has passed.
    AttemptLimit(EmulatedAttempt),
    /// The response to a health check reaches its front node, or the health check times out.
    HealthCheckDone(EmulatedHealthCheck),
    /// A response or the loss of its connection reaches a client.
    ClientReceives { client: usize, number: usize, reply: Reply, outcome: QueryOutcome },
    /// A client's deadline has passed, with the tolerance of the rules.
    ClientLeaves { client: usize, number: usize },
    /// Faults that are due begin or end.
    Faults,
    /// The maintenance queue observes the stores.
    Maintenance,
}

/// An attempt in transit, at a store, or with its response in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EmulatedAttempt {
    pub front_node: usize,
    /// Number of the front node's process that sent the attempt.
    pub incarnation: u32,
    pub request: ShardRequestIndex,
    pub number: usize,
    pub store: usize,
    /// Number of the store's process that the attempt was sent to.
    pub process: u32,
}

/// A health check in transit.
#[derive(Clone, Copy)]
pub struct EmulatedHealthCheck {
    pub front_node: usize,
    pub incarnation: u32,
    pub replica: ReplicaIndex,
    pub store: usize,
}

/// The state of an emulated run in virtual time.
pub struct World<'a> {
    pub scenario: &'a Scenario,
    pub policy: Policy,
    pub seed: u64,
    pub settings: AggregatorSettings,
    pub now: Nanos,
    schedule: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: HashMap<u64, ScheduledEvent>,
    /// The number of events scheduled so far, which numbers them.
    scheduled: u64,
    pub front_nodes: Vec<FrontNode>,
    pub stores: Vec<EmulatedStore>,
    pub clients: Vec<EmulatedClient>,
    /// The stores as discovery currently publishes them.
    pub list: BTreeMap<String, ListedStore>,
    /// The maintenance queue that the front nodes agree on.
    pub maintenance_queue: MaintenanceQueue,
    /// Nonce of the latest maintenance request.
    pub nonce: u64,
    /// Machines that the maintenance queue closes for new attempts, as the front nodes know them.
    pub closed: BTreeSet<String>,
    pub checker: InvariantChecker,
    pub statistics: OutcomeStatistics,
    /// The number of attempts that reached a store.
    pub attempts: u64,
    /// The number of shard requests of all queries, including those of retries.
    pub shard_requests: u64,
    /// The number of tries of all clients.
    pub tries: usize,
    pub trace: Option<TraceLines<'a>>,
}

impl<'a> World<'a> {
    pub fn new(
        scenario: &'a Scenario,
        seed: u64,
        policy: Policy,
        planned: Vec<PlannedQuery>,
        list: BTreeMap<String, ListedStore>,
        amend: impl FnOnce(&mut AggregatorSettings),
    ) -> Result<World<'a>, RunError> {
        let document = settings(scenario);
        let section = Section::of("settings", &document).map_err(RunError::settings)?;
        let mut settings = orchidvalve_aggregator_settings::read(&section).map_err(RunError::settings)?;
        amend(&mut settings);
        let store = |n: usize| EmulatedStore::new(scenario, store_name(n), seed.wrapping_add(n as u64));
        let mut world = World {
            scenario,
            policy,
            seed,
            settings,
            now: 0,
            schedule: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            front_nodes: Vec::new(),
            stores: (0..scenario.stores.count()).map(store).collect(),
            clients: planned.into_iter().map(|query| EmulatedClient::new(scenario, query)).collect(),
            list,
            maintenance_queue: MaintenanceQueue::default(),
            nonce: 0,
            closed: BTreeSet::new(),
            checker: InvariantChecker::new(scenario),
            statistics: OutcomeStatistics::new(scenario),
            attempts: 0,
            shard_requests: 0,
            tries: 0,
            trace: None,
        };
        for n in 0..scenario.front_nodes {
            let front_node = world.new_front_node(n, 0);
            world.front_nodes.push(front_node);
            world.deliver(n, Input::Membership);
        }
        for client in 0..world.clients.len() {
            let at = SETUP_TIME + world.clients[client].query.at;
            world.schedule(at, ScheduledEvent::ClientSends { client });
        }
        Ok(world)
    }

    /// Schedules an event. Events of the same time are processed in the order in which they were scheduled.
    pub fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.scheduled += 1;
        self.schedule.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// Returns the next event and its time.
    pub fn next_event(&mut self) -> Option<(Nanos, Option<ScheduledEvent>)> {
        let Reverse((at, number)) = self.schedule.pop()?;
        Some((at, self.events.remove(&number)))
    }

    /// Passes an event at the current time to the invariant checker.
    pub fn observe(&mut self, event: &Event) {
        self.checker.observe(self.now, event);
    }

    pub fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ClientSends { client } => self.client_sends(client),
            ScheduledEvent::Round { front_node } => self.round(front_node),
            ScheduledEvent::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            ScheduledEvent::AttemptDone(attempt, outcome) => self.attempt_done(attempt, outcome),
            ScheduledEvent::AttemptLimit(attempt) => self.attempt_ended(attempt, AttemptOutcome::TimedOut),
            ScheduledEvent::HealthCheckDone(check) => self.health_check_done(check),
            ScheduledEvent::ClientReceives { client, number, reply, outcome } => {
                self.client_receives(client, number, reply, outcome);
            }
            ScheduledEvent::ClientLeaves { client, number } => self.client_leaves(client, number),
            ScheduledEvent::Maintenance => self.observe_maintenance(),
            ScheduledEvent::Faults => {}
        }
    }
}

/// Returns the request id of a client's try at a front node.
pub fn request_id(front_node: usize, number: usize) -> String {
    format!("{front_node:04x}{number:012x}")
}
