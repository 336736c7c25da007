//! The decision code of an emulated front node: the aggregator as it runs in production, or a textbook policy to
//! compare it with. Textbook policies use the same state; none of them hedges, checks health, ejects or rejects.

use orchidvalve::Aggregator;
use orchidvalve::interface::{
    ActionSink, AggregatorSettings, Idempotence, Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex,
};
use orchidvalve::state::{AggregatorState, AttemptOutcome, SampleLimits, ShardRequest};
use orchidvalve::trace::TraceRecord;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// How long textbook policies remember attempts and latencies.
const MEMORY: Nanos = 10_000_000_000;
/// The number of ticks before a client's deadline at which textbook policies end a query.
const MARGIN_TICKS: Nanos = 3;
/// Tolerance of the sum of a query's weights.
const ROUNDING: f64 = 1e-9;

/// A policy of front nodes. The serialized names are used on the command line and in plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The aggregator.
    #[serde(rename = "ours")]
    Aggregator,
    /// A random replica of the shard.
    Random,
    /// The replicas of the shard in turn.
    RoundRobin,
    /// The replica with the fewest attempts of this front node in flight.
    #[serde(rename = "fewest")]
    LeastInFlight,
    /// The replica that will respond first; this requires knowledge that only the emulator has.
    Oracle,
}

impl Policy {
    /// All policies, in the order of tables.
    pub const ALL: [Policy; 5] =
        [Policy::Aggregator, Policy::Random, Policy::RoundRobin, Policy::LeastInFlight, Policy::Oracle];

    /// Returns the name of the policy on the command line and in plans.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Aggregator => "ours",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastInFlight => "fewest",
            Policy::Oracle => "oracle",
        }
    }
}

/// Returns how long a shard request sent now would take at a replica; `None` if the replica would not respond. Only
/// the oracle uses it.
pub type ResponseTime<'a> = &'a dyn Fn(ReplicaIndex) -> Option<Nanos>;

/// The decision code of one emulated front node.
pub enum Decider {
    /// The aggregator.
    Aggregator(Box<Aggregator>),
    /// A textbook policy.
    Baseline(Box<Baseline>),
}

impl Decider {
    /// Returns a decider that knows no replicas yet.
    pub fn new(policy: Policy, settings: AggregatorSettings, seed: u64) -> Decider {
        match policy {
            Policy::Aggregator => Decider::Aggregator(Box::new(Aggregator::new(settings, seed))),
            _ => Decider::Baseline(Box::new(Baseline::new(policy, settings, seed))),
        }
    }

    /// Starts to keep a trace of decisions; only the aggregator supports this.
    pub fn start_trace(&mut self) {
        if let Decider::Aggregator(aggregator) = self {
            aggregator.set_tracing(true);
        }
    }

    /// Returns the trace records kept since the last call.
    pub fn take_trace(&mut self) -> Vec<TraceRecord> {
        match self {
            Decider::Aggregator(aggregator) => aggregator.take_trace(),
            Decider::Baseline(_) => Vec::new(),
        }
    }

    /// Runs one decision round; `receive` records the inputs since the last round in the state.
    pub fn round(
        &mut self,
        now: Nanos,
        receive: impl FnOnce(&mut AggregatorState),
        response_time: ResponseTime,
        sink: &mut dyn ActionSink,
    ) {
        match self {
            Decider::Aggregator(aggregator) => aggregator.round(now, receive, sink),
            Decider::Baseline(baseline) => baseline.round(now, receive, response_time, sink),
        }
    }
}

/// A textbook policy with its state.
pub struct Baseline {
    policy: Policy,
    settings: AggregatorSettings,
    state: AggregatorState,
    rng: Pcg64Mcg,
    turn: usize,
}

/// How a query ends.
enum Ending {
    Answered { complete: bool },
    Expired,
}

impl Baseline {
    fn new(policy: Policy, settings: AggregatorSettings, seed: u64) -> Baseline {
        let limits = SampleLimits {
            latencies: 16,
            per_replica: 16,
            attempt_times: 16,
            health_checks: 1,
            lost_connections: 1,
        };
        let (state, rng) = (AggregatorState::new(limits), Pcg64Mcg::seed_from_u64(seed));
        Baseline { policy, settings, state, rng, turn: 0 }
    }

    fn round(
        &mut self,
        now: Nanos,
        receive: impl FnOnce(&mut AggregatorState),
        response_time: ResponseTime,
        sink: &mut dyn ActionSink,
    ) {
        self.state.begin_round(now);
        receive(&mut self.state);
        self.start_attempts(now, response_time, sink);
        let next = self.finish_queries(now, sink);
        self.cancel_superfluous(sink);
        if let Some(next) = next {
            sink.wake_at(next.max(now + 1));
        }
        self.state.prune(now - MEMORY);
    }

    fn start_attempts(&mut self, now: Nanos, response_time: ResponseTime, sink: &mut dyn ActionSink) {
        let pending: Vec<ShardRequestIndex> = self.state.pending_requests().map(|(ix, _)| ix).collect();
        for request in pending {
            if let Some(replica) = self.choose(request, response_time) {
                let until = self.state.query(self.state.request(request).query).client_deadline;
                self.state.attempt_started(request, replica, false);
                // Half of the remaining time, so that an unresponsive replica leaves time for another one.
                let limit = ((until - now) / 2).max(1);
                sink.start_attempt(request, replica, limit, limit);
            }
        }
    }

    /// Ends the queries that are due and returns when the next one must end.
    fn finish_queries(&mut self, now: Nanos, sink: &mut dyn ActionSink) -> Option<Nanos> {
        let open: Vec<QueryIndex> = self.state.open_queries().map(|(ix, _)| ix).collect();
        let mut next = None;
        for query in open {
            match self.ending(query, now) {
                Some(Ending::Answered { complete }) => {
                    self.state.close_query(query);
                    sink.answer(query, complete);
                }
                Some(Ending::Expired) => {
                    self.state.close_query(query);
                    sink.expire(query);
                }
                None => {
                    let cutoff = self.cutoff(query);
                    next = Some(next.map_or(cutoff, |next: Nanos| next.min(cutoff)));
                }
            }
        }
        next
    }

    fn cancel_superfluous(&mut self, sink: &mut dyn ActionSink) {
        let superfluous: Vec<(ShardRequestIndex, usize)> = self.state.superfluous_attempts().collect();
        for (request, attempt) in superfluous.into_iter().filter(|_| self.settings.may_cancel) {
            if self.idempotence(self.state.request(request)) != Idempotence::NotIdempotent {
                self.state.attempt_cancelled(request, attempt);
                sink.cancel_attempt(request, attempt);
            }
        }
    }

    fn idempotence(&self, request: &ShardRequest) -> Idempotence {
        self.settings.classes[self.state.query(request.query).class].idempotence
    }

    fn cutoff(&self, query: QueryIndex) -> Nanos {
        self.state.query(query).client_deadline - MARGIN_TICKS * self.settings.tick
    }

    /// Chooses the replica for a shard request; `None` if the shard request is in flight, has no attempts left, or
    /// must not be attempted again.
    fn choose(&mut self, ix: ShardRequestIndex, response_time: ResponseTime) -> Option<ReplicaIndex> {
        let request = self.state.request(ix);
        if !self.may_attempt(request) {
            return None;
        }
        let choices = self.choices(request);
        if choices.is_empty() {
            return None;
        }
        self.turn += 1;
        let in_flight = |ix: &ReplicaIndex| {
            self.state.replicas[ix.0].counted.iter().filter(|counted| counted.ended.is_none()).count()
        };
        match self.policy {
            Policy::RoundRobin => Some(choices[self.turn % choices.len()]),
            Policy::LeastInFlight => {
                let least = choices.iter().map(in_flight).min()?;
                let ties: Vec<ReplicaIndex> =
                    choices.iter().copied().filter(|ix| in_flight(ix) == least).collect();
                Some(ties[self.rng.random_range(0..ties.len())])
            }
            Policy::Oracle => {
                let up = choices.iter().filter_map(|ix| Some((response_time(*ix)?, in_flight(ix), *ix)));
                up.min().map(|(_, _, ix)| ix)
            }
            Policy::Aggregator | Policy::Random => Some(choices[self.rng.random_range(0..choices.len())]),
        }
    }

    fn may_attempt(&self, request: &ShardRequest) -> bool {
        let never_ran = |outcome: AttemptOutcome| outcome.never_ran();
        let may_have_run = request.attempts.iter().any(|a| !a.outcome.is_some_and(never_ran));
        let is_within = |window: Nanos| {
            request.attempts.first().is_none_or(|first| self.state.now() - first.sent_at < window)
        };
        !request.is_in_flight()
            && request.attempts.len() < self.settings.max_attempts
            && match self.idempotence(request) {
                Idempotence::Idempotent => true,
                Idempotence::Deduplicated(window) => !may_have_run || is_within(window),
                Idempotence::NotIdempotent => !may_have_run,
            }
    }

    /// Returns the replicas of the shard that were not tried yet, or all of them if all were tried.
    fn choices(&self, request: &ShardRequest) -> Vec<ReplicaIndex> {
        let cells =
            (0..self.settings.cells_per_shard).map(|step| (request.shard + step) % self.settings.cells);
        let all: Vec<ReplicaIndex> = cells.flat_map(|cell| self.state.replicas_in_cell(cell)).collect();
        let fresh: Vec<ReplicaIndex> = all.iter().copied().filter(|ix| !request.has_tried(*ix)).collect();
        if fresh.is_empty() { all } else { fresh }
    }

    fn ending(&self, ix: QueryIndex, now: Nanos) -> Option<Ending> {
        let query = self.state.query(ix);
        let class = &self.settings.classes[query.class];
        let requests: Vec<&ShardRequest> =
            self.state.requests_of(query).map(|(_, request)| request).collect();
        if requests.iter().all(|request| request.answered) {
            return Some(Ending::Answered { complete: true });
        }
        let all: f64 = requests.iter().map(|request| request.weight).sum();
        let answered: f64 = requests.iter().filter(|r| r.answered).map(|r| r.weight).sum();
        let completeness = if all > 0.0 { answered / all } else { 1.0 };
        let lost: f64 = requests.iter().filter(|r| self.is_lost(r)).map(|r| r.weight).sum();
        let is_hopeless = all > 0.0 && 1.0 - lost / all < class.min_completeness - ROUNDING;
        let no_more = requests.iter().filter(|r| !r.answered).all(|r| self.is_lost(r));
        if is_hopeless || no_more || now >= self.cutoff(ix) {
            let is_enough = completeness >= class.min_completeness - ROUNDING;
            return Some(if is_enough { Ending::Answered { complete: false } } else { Ending::Expired });
        }
        None
    }

    /// Returns whether the shard request is unanswered with no attempt in flight, and no further attempt is allowed.
    fn is_lost(&self, request: &ShardRequest) -> bool {
        let may_have_run = request.attempts.iter().any(|a| a.outcome.is_some_and(|o| !o.never_ran()));
        let is_over = request.attempts.len() >= self.settings.max_attempts
            || may_have_run && self.idempotence(request) == Idempotence::NotIdempotent;
        !request.answered && is_over && !request.is_in_flight()
    }
}
