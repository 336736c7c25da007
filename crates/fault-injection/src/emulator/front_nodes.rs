//! Emulated front nodes: their inputs, their decision rounds, and the execution of their decisions.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use orchidvalve::interface::{ActionSink, Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};
use orchidvalve::state::{AggregatorState, AttemptOutcome};
use orchidvalve::trace::TraceEvent;

use super::DELAY;
use super::clients::EmulatedClient;
use super::world::{EmulatedAttempt, EmulatedHealthCheck, ScheduledEvent, World, request_id};
use crate::SECOND;
use crate::discovery::{ListedStore, Phase};
use crate::invariants::Event;
use crate::load::Reply;
use crate::policy::{Decider, Policy};
use crate::scenario::Scenario;
use crate::statistics::QueryOutcome;

/// Time after which a health check of an unresponsive store counts as unanswered.
const HEALTH_CHECK_TIMEOUT: Nanos = SECOND;
/// The number of shard requests that a front node remembers before it forgets those of ended queries.
const REMEMBERED_REQUESTS: usize = 100_000;
/// Spreads the seeds of front nodes (2^64 divided by the golden ratio).
const SEED_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// An input of a front node since its last round.
pub enum Input {
    Query { client: usize },
    AttemptEnded { request: ShardRequestIndex, attempt: usize, outcome: AttemptOutcome, took: Nanos },
    HealthCheckEnded { replica: ReplicaIndex, answered: bool, report: Option<(f64, f64)> },
    Membership,
    ClientLeft { query: QueryIndex },
}

/// A query without a final response.
pub struct OpenQuery {
    pub client: usize,
    pub id: String,
    /// The values received so far, by shard.
    pub values: BTreeMap<usize, String>,
}

/// An attempt that a front node has in flight.
#[derive(Clone, Copy)]
pub struct InFlight {
    pub store: usize,
    pub sent_at: Nanos,
}

/// An emulated front node.
pub struct FrontNode {
    /// `None` only while the front node runs a round.
    pub decider: Option<Decider>,
    pub incarnation: u32,
    pub is_up: bool,
    inbox: Vec<Input>,
    /// Time of the next scheduled round.
    next_round: Option<Nanos>,
    last_round: Nanos,
    wake_at: Nanos,
    pub queries: HashMap<QueryIndex, OpenQuery>,
    /// The query and shard of each shard request.
    pub requests: HashMap<ShardRequestIndex, (QueryIndex, usize)>,
    attempt_counts: HashMap<ShardRequestIndex, usize>,
    pub in_flight: HashMap<(ShardRequestIndex, usize), InFlight>,
    replicas: BTreeMap<String, ReplicaIndex>,
    stores: HashMap<ReplicaIndex, usize>,
    /// Replicas whose names the trace already contains.
    traced_replicas: BTreeSet<ReplicaIndex>,
}

impl FrontNode {
    /// Ends the front node's process; its inputs, attempts in flight and open queries are lost.
    pub fn kill(&mut self) {
        self.is_up = false;
        self.incarnation += 1;
        self.inbox.clear();
        self.in_flight.clear();
        self.queries.clear();
    }

    fn receive(&mut self, input: Input, world: &mut Surroundings, state: &mut AggregatorState) {
        match input {
            Input::Query { client } => {
                self.receive_query(world.index, client, &mut world.clients[client], state);
            }
            Input::AttemptEnded { request, attempt, outcome, took } => {
                state.attempt_ended(request, attempt, outcome, took, false);
            }
            Input::HealthCheckEnded { replica, answered, report } => {
                state.health_check_ended(replica, answered, report);
            }
            Input::Membership => self.receive_membership(world, state),
            Input::ClientLeft { query } => {
                state.client_left(query);
                self.queries.remove(&query);
            }
        }
    }

    fn receive_query(
        &mut self,
        index: usize,
        client_index: usize,
        client: &mut EmulatedClient,
        state: &mut AggregatorState,
    ) {
        let Some(in_flight) = &mut client.in_flight else { return };
        let (planned, is_retry) = (&client.query, client.tries > 1);
        let tenant = planned.tenant.unwrap_or(0);
        let query = state.query_received(planned.class, tenant, client.retries.until(), 0, is_retry);
        for &shard in &planned.shards {
            let weight = 1.0 / planned.shards.len() as f64;
            let request = state.shard_request_received(query, shard, weight);
            self.requests.insert(request, (query, shard));
        }
        in_flight.query = Some(query);
        let id = request_id(index, in_flight.number);
        self.queries.insert(query, OpenQuery { client: client_index, id, values: BTreeMap::new() });
    }

    /// Passes the membership that discovery publishes to the aggregator, without the machines that maintenance closes.
    fn receive_membership(&mut self, world: &Surroundings, state: &mut AggregatorState) {
        state.membership_update_begins(true);
        for (name, listed) in world.list {
            let cell = world.scenario.stores.cell(listed.store);
            let replica = match self.replicas.get(name) {
                Some(replica) => *replica,
                None => {
                    let replica = state.replica_discovered(cell);
                    self.replicas.retain(|_, other| *other != replica);
                    self.replicas.insert(name.clone(), replica);
                    replica
                }
            };
            self.stores.insert(replica, listed.store);
            let serving = listed.phase == Phase::Up && !world.closed.contains(name);
            state.member_listed(replica, cell, serving, listed.started_at);
        }
        state.membership_update_ends();
        let absent = self.replicas.iter().filter(|(name, _)| !world.list.contains_key(*name));
        absent.for_each(|(_, replica)| state.replica_removed(*replica));
    }

    /// Forgets the shard requests of ended queries once there are too many.
    fn forget_ended(&mut self) {
        if self.attempt_counts.len() > REMEMBERED_REQUESTS {
            let queries = &self.queries;
            self.requests.retain(|_, (query, _)| queries.contains_key(query));
            let requests = &self.requests;
            self.attempt_counts.retain(|request, _| requests.contains_key(request));
        }
    }
}

/// The parts of the run's state that a front node reads while it processes its inputs.
struct Surroundings<'a> {
    index: usize,
    clients: &'a mut [EmulatedClient],
    list: &'a BTreeMap<String, ListedStore>,
    closed: &'a BTreeSet<String>,
    scenario: &'a Scenario,
}

/// A decision of a front node.
enum Action {
    StartAttempt { request: ShardRequestIndex, replica: ReplicaIndex, limit: Nanos },
    CancelAttempt { request: ShardRequestIndex, attempt: usize },
    Answer { query: QueryIndex, complete: bool },
    Reject { query: QueryIndex, retry_after: Nanos },
    Expire { query: QueryIndex },
    CheckHealth { replica: ReplicaIndex },
}

#[derive(Default)]
struct ActionBuffer {
    actions: Vec<Action>,
    wake_at: Option<Nanos>,
}

impl ActionSink for ActionBuffer {
    fn start_attempt(&mut self, request: ShardRequestIndex, replica: ReplicaIndex, limit: Nanos, _: Nanos) {
        self.actions.push(Action::StartAttempt { request, replica, limit });
    }
    fn cancel_attempt(&mut self, request: ShardRequestIndex, attempt: usize) {
        self.actions.push(Action::CancelAttempt { request, attempt });
    }
    fn answer(&mut self, query: QueryIndex, complete: bool) {
        self.actions.push(Action::Answer { query, complete });
    }
    fn reject(&mut self, query: QueryIndex, retry_after: Nanos) {
        self.actions.push(Action::Reject { query, retry_after });
    }
    fn expire(&mut self, query: QueryIndex) {
        self.actions.push(Action::Expire { query });
    }
    fn check_health(&mut self, replica: ReplicaIndex) {
        self.actions.push(Action::CheckHealth { replica });
    }
    fn wake_at(&mut self, at: Nanos) {
        self.wake_at = Some(at);
    }
    fn request_membership(&mut self) {}
}

impl World<'_> {
    pub fn new_front_node(&self, index: usize, incarnation: u32) -> FrontNode {
        let own = index as u64 + (u64::from(incarnation) << 32);
        let seed = self.seed.wrapping_mul(SEED_SPREAD).wrapping_add(own);
        FrontNode {
            decider: Some(Decider::new(self.policy, self.settings.clone(), seed)),
            incarnation,
            is_up: true,
            inbox: Vec::new(),
            next_round: None,
            last_round: Nanos::MIN / 2,
            wake_at: Nanos::MAX,
            queries: HashMap::new(),
            requests: HashMap::new(),
            attempt_counts: HashMap::new(),
            in_flight: HashMap::new(),
            replicas: BTreeMap::new(),
            stores: HashMap::new(),
            traced_replicas: BTreeSet::new(),
        }
    }

    /// Adds an input for a front node's next round, which runs at least one tick after the last one.
    pub fn deliver(&mut self, index: usize, input: Input) {
        let front_node = &mut self.front_nodes[index];
        if !front_node.is_up {
            return;
        }
        front_node.inbox.push(input);
        self.schedule_round(index, self.now);
    }

    fn schedule_round(&mut self, index: usize, at: Nanos) {
        let front_node = &mut self.front_nodes[index];
        let at = at.max(front_node.last_round + self.settings.tick);
        if front_node.next_round.is_none_or(|next| at < next) {
            front_node.next_round = Some(at);
            self.schedule(at, ScheduledEvent::Round { front_node: index });
        }
    }

    pub fn round(&mut self, index: usize) {
        let now = self.now;
        let front_node = &mut self.front_nodes[index];
        if !front_node.is_up || front_node.next_round != Some(now) {
            return;
        }
        let Some(mut decider) = front_node.decider.take() else { return };
        // A timer stays set until it is due, even if earlier rounds run in between: the decider sets it only once.
        let wake_at = if front_node.wake_at <= now { Nanos::MAX } else { front_node.wake_at };
        (front_node.next_round, front_node.last_round, front_node.wake_at) = (None, now, wake_at);
        let buffer = self.decide(index, &mut decider);
        self.write_trace(index, &mut decider);
        self.front_nodes[index].decider = Some(decider);
        for action in buffer.actions {
            self.execute(index, action);
        }
        if let Some(wake_at) = buffer.wake_at {
            self.front_nodes[index].wake_at = wake_at.max(now + self.settings.tick);
        }
        if self.front_nodes[index].wake_at < Nanos::MAX {
            self.schedule_round(index, self.front_nodes[index].wake_at);
        }
        self.front_nodes[index].forget_ended();
    }

    fn decide(&mut self, index: usize, decider: &mut Decider) -> ActionBuffer {
        let now = self.now;
        let front_node = &mut self.front_nodes[index];
        let stores = &self.stores;
        let by_replica: HashMap<ReplicaIndex, usize> = match self.policy {
            Policy::Oracle => front_node.stores.clone(),
            _ => HashMap::new(),
        };
        let response_time = |replica: ReplicaIndex| stores[*by_replica.get(&replica)?].response_time(now);
        let inbox = std::mem::take(&mut front_node.inbox);
        let mut world = Surroundings {
            index,
            clients: &mut self.clients,
            list: &self.list,
            closed: &self.closed,
            scenario: self.scenario,
        };
        let mut buffer = ActionBuffer::default();
        let receive = |state: &mut AggregatorState| {
            inbox.into_iter().for_each(|input| front_node.receive(input, &mut world, state));
        };
        decider.round(now, receive, &response_time, &mut buffer);
        buffer
    }

    fn write_trace(&mut self, index: usize, decider: &mut Decider) {
        let Some(write) = &mut self.trace else { return };
        let (now, front_node) = (self.now, &mut self.front_nodes[index]);
        let FrontNode { replicas, traced_replicas, queries, .. } = front_node;
        for (name, replica) in replicas.iter().filter(|(_, replica)| traced_replicas.insert(**replica)) {
            write(index, format!("{now} replica {} {name}", replica.0));
        }
        for record in decider.take_trace() {
            if let TraceEvent::QueryReceived { query, .. } = record.event
                && let Some(open) = queries.get(&query)
            {
                write(index, format!("{now} retrieval {} {}", query.0, open.id));
            }
            write(index, record.line());
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        match action {
            Action::StartAttempt { request, replica, limit } => {
                self.start_attempt(index, request, replica, limit);
            }
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(index, request, attempt),
            Action::Answer { query, complete } => {
                let outcome = if complete { QueryOutcome::Complete } else { QueryOutcome::Partial };
                self.answer_client(
                    index,
                    query,
                    Answer { status: 200, complete, reply: Reply::Answered, outcome },
                );
            }
            Action::Reject { query, retry_after } => {
                let reply = Reply::Rejected((retry_after > 0).then_some(retry_after));
                let outcome = QueryOutcome::Rejected;
                self.answer_client(index, query, Answer { status: 503, complete: false, reply, outcome });
            }
            Action::Expire { query } => {
                let (reply, outcome) = (Reply::Expired, QueryOutcome::Expired);
                self.answer_client(index, query, Answer { status: 504, complete: false, reply, outcome });
            }
            Action::CheckHealth { replica } => self.check_health(index, replica),
        }
    }

    fn start_attempt(
        &mut self,
        index: usize,
        request: ShardRequestIndex,
        replica: ReplicaIndex,
        limit: Nanos,
    ) {
        let now = self.now;
        let front_node = &mut self.front_nodes[index];
        let Some(&store) = front_node.stores.get(&replica) else { return };
        let count = front_node.attempt_counts.entry(request).or_default();
        let number = *count;
        *count += 1;
        front_node.in_flight.insert((request, number), InFlight { store, sent_at: now });
        let incarnation = front_node.incarnation;
        let process = self.stores[store].process;
        let attempt = EmulatedAttempt { front_node: index, incarnation, request, number, store, process };
        self.schedule(now + DELAY, ScheduledEvent::AttemptArrives(attempt));
        self.schedule(now + limit, ScheduledEvent::AttemptLimit(attempt));
    }

    fn cancel_attempt(&mut self, index: usize, request: ShardRequestIndex, attempt: usize) {
        let now = self.now;
        let front_node = &mut self.front_nodes[index];
        let Some(in_flight) = front_node.in_flight.remove(&(request, attempt)) else { return };
        let (outcome, took) = (AttemptOutcome::Cancelled, now - in_flight.sent_at);
        front_node.inbox.push(Input::AttemptEnded { request, attempt, outcome, took });
        self.schedule_round(index, now);
        let front_node = &self.front_nodes[index];
        if let Some((query, shard)) = front_node.requests.get(&request).copied()
            && let Some(id) = front_node.queries.get(&query).map(|open| open.id.clone())
        {
            let store = self.stores[in_flight.store].name.clone();
            self.observe(&Event::Cancelled { id, shard, store });
        }
    }

    fn check_health(&mut self, index: usize, replica: ReplicaIndex) {
        let front_node = &self.front_nodes[index];
        let Some(&store) = front_node.stores.get(&replica) else { return };
        let wait =
            if self.stores[store].is_unresponsive(self.now) { HEALTH_CHECK_TIMEOUT } else { 2 * DELAY };
        let incarnation = front_node.incarnation;
        let check = EmulatedHealthCheck { front_node: index, incarnation, replica, store };
        self.schedule(self.now + wait, ScheduledEvent::HealthCheckDone(check));
    }

    fn answer_client(&mut self, index: usize, query: QueryIndex, answer: Answer) {
        let Some(open) = self.front_nodes[index].queries.remove(&query) else { return };
        let Some(in_flight) = self.clients[open.client].in_flight else { return };
        let Answer { status, complete, reply, outcome } = answer;
        let parts = if status == 200 { open.values.into_iter().collect() } else { Vec::new() };
        self.observe(&Event::Answered { id: open.id, status, complete, parts });
        let (client, number) = (open.client, in_flight.number);
        self.schedule(self.now + DELAY, ScheduledEvent::ClientReceives { client, number, reply, outcome });
    }

    pub fn health_check_done(&mut self, check: EmulatedHealthCheck) {
        let EmulatedHealthCheck { front_node, incarnation, replica, store } = check;
        if self.front_nodes[front_node].incarnation != incarnation {
            return;
        }
        let report = self.stores[store].report(self.now);
        let answered = report.is_some();
        self.deliver(front_node, Input::HealthCheckEnded { replica, answered, report });
    }
}

/// A final response to a client.
struct Answer {
    status: u16,
    complete: bool,
    reply: Reply,
    outcome: QueryOutcome,
}
