//! A minimal host: a clock, a ring of replicas, and a sink that records the actions.

use orchidvalve::Aggregator;
use orchidvalve::interface::*;
use orchidvalve::state::{AggregatorState, AttemptOutcome};

pub const MS: Nanos = 1_000_000;

/// The replicas of the first two cells.
pub const A: ReplicaIndex = ReplicaIndex(0);
pub const B: ReplicaIndex = ReplicaIndex(1);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    StartAttempt(ShardRequestIndex, ReplicaIndex),
    CancelAttempt(ShardRequestIndex, usize),
    Answer(QueryIndex, bool),
    Reject(QueryIndex),
    Expire(QueryIndex),
    CheckHealth(ReplicaIndex),
    RequestMembership,
}

#[derive(Default)]
pub struct ActionLog {
    pub actions: Vec<Action>,
    /// How long the last attempt may wait before it is sent.
    pub send_within: Nanos,
}

impl ActionSink for ActionLog {
    fn start_attempt(
        &mut self,
        request: ShardRequestIndex,
        replica: ReplicaIndex,
        _: Nanos,
        send_within: Nanos,
    ) {
        self.send_within = send_within;
        self.actions.push(Action::StartAttempt(request, replica));
    }
    fn cancel_attempt(&mut self, request: ShardRequestIndex, attempt: usize) {
        self.actions.push(Action::CancelAttempt(request, attempt));
    }
    fn answer(&mut self, query: QueryIndex, complete: bool) {
        self.actions.push(Action::Answer(query, complete));
    }
    fn reject(&mut self, query: QueryIndex, _: Nanos) {
        self.actions.push(Action::Reject(query));
    }
    fn expire(&mut self, query: QueryIndex) {
        self.actions.push(Action::Expire(query));
    }
    fn check_health(&mut self, replica: ReplicaIndex) {
        self.actions.push(Action::CheckHealth(replica));
    }
    fn wake_at(&mut self, _: Nanos) {}
    fn request_membership(&mut self) {
        self.actions.push(Action::RequestMembership);
    }
}

/// An attempt that has not ended.
pub struct InFlight {
    pub request: ShardRequestIndex,
    pub attempt: usize,
    pub replica: ReplicaIndex,
    pub sent_at: Nanos,
}

pub struct Host {
    pub aggregator: Aggregator,
    pub now: Nanos,
    /// Attempts that have not ended.
    pub in_flight: Vec<InFlight>,
    /// How long the last attempt may wait before it is sent.
    pub send_within: Nanos,
}

/// Settings with two replicas per shard, one shard request per call, and one idempotent class with a latency target of
/// one second.
pub fn settings(cells: usize) -> AggregatorSettings {
    let class = ServiceClass {
        latency_target: 1_000 * MS,
        latency_target_stretch: 0.0,
        deadline: 3_000 * MS,
        late_value: 0.3,
        idempotence: Idempotence::Idempotent,
        min_completeness: 1.0,
        full_completeness: 1.0,
        partial_value: 0.8,
        second_step_requests: 0,
    };
    AggregatorSettings {
        classes: vec![class],
        tenant_rates: Vec::new(),
        front_nodes: 1,
        cells,
        cells_per_shard: 2,
        requests_per_call: 1,
        max_attempts: 4,
        may_cancel: true,
        may_hedge: true,
        may_check_health: true,
        queues_reported: false,
        max_retry_after: 0,
        membership_on_request: false,
        membership_request_interval: 10_000 * MS,
        retry_budget: None,
        slow_start: SlowStart {
            initial_share: 0.25,
            duration: 10_000 * MS,
            overload_multiple: 4.0,
            overload_window: 1_000 * MS,
        },
        tick: 5 * MS,
    }
}

impl Host {
    /// Returns a host with one fully warm replica per cell.
    pub fn new(settings: AggregatorSettings) -> Host {
        Host::seeded(settings, 7)
    }

    pub fn seeded(settings: AggregatorSettings, seed: u64) -> Host {
        let cells = settings.cells;
        let mut host = Host {
            aggregator: Aggregator::new(settings, seed),
            now: 1_000_000 * MS,
            in_flight: Vec::new(),
            send_within: 0,
        };
        host.round(|state| {
            state.membership_update_begins(true);
            for cell in 0..cells {
                let ix = state.replica_discovered(cell);
                state.member_listed(ix, cell, true, None);
            }
            state.membership_update_ends();
        });
        host
    }

    pub fn round(&mut self, receive: impl FnOnce(&mut AggregatorState)) -> Vec<Action> {
        let mut log = ActionLog::default();
        self.aggregator.round(self.now, receive, &mut log);
        self.send_within = if log.send_within > 0 { log.send_within } else { self.send_within };
        for action in &log.actions {
            if let Action::StartAttempt(request, replica) = *action {
                let attempt = self.aggregator.state().request(request).attempts.len() - 1;
                self.in_flight.push(InFlight { request, attempt, replica, sent_at: self.now });
            }
        }
        log.actions
    }

    pub fn query(&mut self, class: usize, shards: &[usize]) -> (QueryIndex, Vec<Action>) {
        let (mut ix, until) = (None, self.now + 3_000 * MS);
        let actions = self.round(|state| {
            let query = state.query_received(class, 0, until, 0, false);
            for &shard in shards {
                state.shard_request_received(query, shard, 1.0 / shards.len() as f64);
            }
            ix = Some(query);
        });
        (ix.unwrap(), actions)
    }

    /// Ends every attempt in flight at a replica for which `how` returns an outcome.
    pub fn end_attempts(&mut self, how: impl Fn(ReplicaIndex) -> Option<AttemptOutcome>) -> Vec<Action> {
        let (ended, in_flight): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|attempt| how(attempt.replica).is_some());
        self.in_flight = in_flight;
        let now = self.now;
        self.round(|state| {
            for InFlight { request, attempt, replica, sent_at } in ended {
                state.attempt_ended(request, attempt, how(replica).unwrap(), now - sent_at, false);
            }
        })
    }

    pub fn wait(&mut self, time: Nanos) -> Vec<Action> {
        self.now += time;
        self.round(|_| {})
    }

    /// Runs ordinary traffic over the shards: every replica except the unresponsive ones answers each shard request
    /// after 50 ms.
    pub fn traffic(&mut self, queries: usize, unresponsive: &[ReplicaIndex]) -> Vec<Action> {
        let cells = self.aggregator.state().replicas.len();
        let mut actions = Vec::new();
        for n in 0..queries {
            actions.extend(self.query(0, &[n % cells]).1);
            self.now += 50 * MS;
            actions.extend(
                self.end_attempts(|r| (!unresponsive.contains(&r)).then_some(AttemptOutcome::Answered)),
            );
        }
        actions
    }
}

/// Returns the attempts that were started, with their replicas.
pub fn attempts(actions: &[Action]) -> Vec<(ShardRequestIndex, ReplicaIndex)> {
    let started = |action: &Action| match *action {
        Action::StartAttempt(request, replica) => Some((request, replica)),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}
