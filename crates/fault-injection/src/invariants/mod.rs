//! The six rules that a run must keep, each checked by a small state machine over one stream of events: the queries
//! that clients sent and the responses they received, the attempts that stores received and how they ended, and the
//! membership that discovery published. A violation names the query, shard, store and time, and lists the events that
//! show it. The checker has no I/O and no clock; events must be observed in the order of their times.

mod event;
mod observed;
mod rules;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub use event::{Event, Violation};

use crate::Nanos;
use crate::scenario::{Effect, Rules, Scenario, ms};
use observed::{AttemptName, AttemptState, ObservedAttempt, ObservedQuery, QueryEnd};

/// The settings of a service class that the rules depend on.
#[derive(Clone, Copy)]
struct ClassRules {
    effect: Effect,
    min_completeness: f64,
    /// How long stores remember an idempotency key.
    window: Nanos,
}

/// An event that counts towards a front node's budget of further attempts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BudgetEvent {
    /// The front node received a query or a shard request, which adds to the budget.
    Received,
    /// The front node sent an attempt of a shard request after its first, which uses the budget.
    FurtherAttempt,
}

/// Checks the six rules over the events of one run.
pub struct InvariantChecker {
    rules: Rules,
    classes: Vec<ClassRules>,
    queries: BTreeMap<String, ObservedQuery>,
    /// When discovery published that a store is draining or gone, by store.
    closed: BTreeMap<String, Nanos>,
    /// When each store last started, as discovery published it.
    started: BTreeMap<String, Nanos>,
    /// The values that stores served, by query and shard.
    values: BTreeMap<(String, usize), BTreeSet<String>>,
    /// When front nodes were last restarted during the run.
    front_node_started: BTreeMap<usize, Nanos>,
    discovery_is_unresponsive: bool,
    /// The events of the last window that count towards the budget, by front node.
    budgets: BTreeMap<usize, VecDeque<(Nanos, BudgetEvent)>>,
    violations: Vec<Violation>,
    events: u64,
}

impl InvariantChecker {
    /// Returns a checker that has observed no events.
    pub fn new(scenario: &Scenario) -> InvariantChecker {
        let classes = scenario.classes.iter().map(|class| ClassRules {
            effect: class.effect,
            min_completeness: class.floor,
            window: ms(class.window_ms),
        });
        InvariantChecker {
            rules: scenario.rules.clone(),
            classes: classes.collect(),
            queries: BTreeMap::new(),
            closed: BTreeMap::new(),
            started: BTreeMap::new(),
            values: BTreeMap::new(),
            front_node_started: BTreeMap::new(),
            discovery_is_unresponsive: false,
            budgets: BTreeMap::new(),
            violations: Vec::new(),
            events: 0,
        }
    }

    /// Processes an event that happened at `at`.
    pub fn observe(&mut self, at: Nanos, event: &Event) {
        self.events += 1;
        match event {
            Event::QuerySent { id, front_node, class, shards, key, until, .. } => {
                let query = ObservedQuery {
                    front_node: *front_node,
                    class: *class,
                    shards: shards.clone(),
                    key: key.clone(),
                    until: *until,
                    sent_at: at,
                    end: None,
                    attempts: BTreeMap::new(),
                };
                self.query_sent(id, query);
            }
            Event::Answered { id, status, complete, parts } => {
                self.check_final_response(at, id, *status);
                self.check_response_content(at, id, *status, *complete, parts);
                self.check_rejection(at, id, *status);
            }
            Event::Unanswered { id } => self.query_unanswered(at, id),
            Event::AttemptReceived { id, shard, store, key } => {
                let attempt = AttemptName { query: id, shard: *shard, store };
                self.attempt_received(at, attempt, key.as_deref());
            }
            Event::Served { id, shard, store, value } => {
                self.values.entry((id.clone(), *shard)).or_default().insert(value.clone());
                self.attempt_ended(AttemptName { query: id, shard: *shard, store }, AttemptState::Served);
            }
            Event::Failed { id, shard, store } => {
                self.attempt_ended(AttemptName { query: id, shard: *shard, store }, AttemptState::MayHaveRun);
            }
            Event::Rejected { id, shard, store } => {
                self.attempt_ended(AttemptName { query: id, shard: *shard, store }, AttemptState::NeverRan);
            }
            Event::Cancelled { id, shard, store } => {
                self.check_cancel(at, AttemptName { query: id, shard: *shard, store });
                self.attempt_ended(AttemptName { query: id, shard: *shard, store }, AttemptState::MayHaveRun);
            }
            Event::ConnectionsLost { store } => self.connections_lost(store),
            Event::Listed { store, closed, started_at } => self.store_listed(at, store, *closed, *started_at),
            Event::DiscoveryUnresponsive(unresponsive) => self.discovery_is_unresponsive = *unresponsive,
            Event::Overloaded { store, overload } => self.check_overload(at, store, overload),
            Event::FrontNodeKilled { front_node } => self.front_node_killed(at, *front_node),
            Event::FrontNodeStarted { front_node } => {
                self.front_node_started.insert(*front_node, at);
            }
        }
    }

    /// Records a query. The query and each of its shard requests add to the budget of its front node.
    fn query_sent(&mut self, id: &str, query: ObservedQuery) {
        let budget = self.budgets.entry(query.front_node).or_default();
        (0..=query.shards.len()).for_each(|_| budget.push_back((query.sent_at, BudgetEvent::Received)));
        self.queries.insert(id.to_owned(), query);
    }

    fn query_unanswered(&mut self, at: Nanos, id: &str) {
        if let Some(query) = self.queries.get_mut(id) {
            query.end.get_or_insert(QueryEnd { at, status: None });
        }
    }

    fn store_listed(&mut self, at: Nanos, store: &str, closed: bool, started_at: Option<Nanos>) {
        if closed {
            self.closed.entry(store.to_owned()).or_insert(at);
        } else {
            self.closed.remove(store);
        }
        if let Some(started_at) = started_at {
            self.started.insert(store.to_owned(), started_at);
        }
    }

    fn attempt_received(&mut self, at: Nanos, attempt: AttemptName, key: Option<&str>) {
        self.check_after_end(at, attempt);
        self.check_repeated(at, attempt, key);
        self.check_closed(at, attempt);
        self.check_cap(at, attempt);
        let Some(query) = self.queries.get_mut(attempt.query) else { return };
        let attempts = query.attempts.entry(attempt.shard).or_default();
        attempts.push(ObservedAttempt { at, store: attempt.store.to_owned(), state: AttemptState::InFlight });
        let (front_node, is_further) = (query.front_node, attempts.len() > 1);
        if is_further {
            self.check_budget(at, front_node, attempt);
        }
    }

    fn attempt_ended(&mut self, attempt: AttemptName, state: AttemptState) {
        if let Some(query) = self.queries.get_mut(attempt.query) {
            query.attempt_ended(attempt, state);
        }
    }

    fn connections_lost(&mut self, store: &str) {
        let attempts = self.queries.values_mut().flat_map(|query| query.attempts.values_mut()).flatten();
        for attempt in attempts.filter(|a| a.store == store && a.state == AttemptState::InFlight) {
            attempt.state = AttemptState::MayHaveRun;
        }
    }

    /// Ends the open queries of a killed front node: a query without a response breaks no rule in this case.
    fn front_node_killed(&mut self, at: Nanos, front_node: usize) {
        let open = self.queries.values_mut().filter(|q| q.front_node == front_node && q.end.is_none());
        open.for_each(|query| query.end = Some(QueryEnd { at, status: None }));
    }

    /// Ends the run at `at` and returns all violations, including one for each query that is still without a response.
    pub fn end(mut self, at: Nanos) -> Vec<Violation> {
        self.check_all_answered(at);
        self.violations
    }

    /// Returns the number of observed events.
    pub fn events(&self) -> u64 {
        self.events
    }
}
