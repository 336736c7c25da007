//! Emulated stores: the attempts that reach them, and how these end.

use std::collections::BTreeSet;

use orchidvalve::interface::Nanos;
use orchidvalve::state::AttemptOutcome;

use super::DELAY;
use super::front_nodes::Input;
use super::world::{EmulatedAttempt, ScheduledEvent, World};
use crate::invariants::Event;
use crate::scenario::Scenario;
use crate::store_model::{RequestOutcome, StoreModel};

/// An emulated store.
pub struct EmulatedStore {
    pub model: StoreModel,
    pub name: String,
    pub is_off: bool,
    /// Number of the store's current process.
    pub process: u32,
    /// Attempts that the store processes or that wait there.
    in_flight: BTreeSet<EmulatedAttempt>,
}

/// The query, shard and client that an attempt belongs to, while its query is open.
struct Owner {
    id: String,
    shard: usize,
    client: usize,
}

impl EmulatedStore {
    pub fn new(scenario: &Scenario, name: String, seed: u64) -> EmulatedStore {
        let model = StoreModel::new(&scenario.stores, &scenario.rules, seed);
        EmulatedStore { model, name, is_off: false, process: 0, in_flight: BTreeSet::new() }
    }

    fn is_reachable(&self, now: Nanos) -> bool {
        !self.is_off && self.model.is_up(now)
    }

    /// Returns whether the store accepts connections but does not respond.
    pub fn is_unresponsive(&self, now: Nanos) -> bool {
        self.is_reachable(now) && (self.model.condition.unresponsive || self.model.condition.stalled)
    }

    /// Returns how long a shard request sent now would take; `None` if the store would not respond.
    pub fn response_time(&self, now: Nanos) -> Option<Nanos> {
        let condition = self.model.condition;
        let answers = !condition.unresponsive && !condition.stalled && !condition.draining;
        (self.is_reachable(now) && answers).then(|| self.model.time_to_respond(now))
    }

    /// Returns the store's load report for a health check: the number of shard requests that wait, and the number that
    /// it can process per second. `None` if the health check receives no response.
    pub fn report(&mut self, now: Nanos) -> Option<(f64, f64)> {
        (self.is_reachable(now) && !self.is_unresponsive(now))
            .then(|| (self.model.waiting(now) as f64, self.model.rate() as f64))
    }
}

impl World<'_> {
    fn owner(&self, attempt: &EmulatedAttempt) -> Option<Owner> {
        let front_node =
            self.front_nodes.get(attempt.front_node).filter(|f| f.incarnation == attempt.incarnation)?;
        let (query, shard) = *front_node.requests.get(&attempt.request)?;
        let open = front_node.queries.get(&query)?;
        Some(Owner { id: open.id.clone(), shard, client: open.client })
    }

    pub fn attempt_arrives(&mut self, attempt: EmulatedAttempt) {
        let now = self.now;
        let store = &self.stores[attempt.store];
        if !store.is_reachable(now) {
            return self.attempt_ended(attempt, AttemptOutcome::ConnectFailed);
        }
        if store.process != attempt.process
            || self.front_nodes[attempt.front_node].incarnation != attempt.incarnation
        {
            return self.attempt_ended(attempt, AttemptOutcome::ConnectionLost);
        }
        // An attempt whose query has ended was cancelled in transit.
        let Some(Owner { id, shard, client }) = self.owner(&attempt) else { return };
        let (store, key) = (store.name.clone(), self.idempotency_key(client));
        self.attempts += 1;
        self.observe(&Event::AttemptReceived { id: id.clone(), shard, store: store.clone(), key });
        let (outcome, overload) = self.stores[attempt.store].model.receive(now, 1.0, attempt.front_node);
        self.stores[attempt.store].in_flight.insert(attempt);
        if let Some(overload) = overload {
            self.observe(&Event::Overloaded { store, overload });
            return self.break_connections(attempt.store);
        }
        match outcome {
            RequestOutcome::Unanswered => {}
            RequestOutcome::Rejected => {
                self.observe(&Event::Rejected { id, shard, store });
                self.schedule(now + DELAY, ScheduledEvent::AttemptDone(attempt, AttemptOutcome::Rejected));
            }
            RequestOutcome::Failed(at) => {
                self.schedule(at + DELAY, ScheduledEvent::AttemptDone(attempt, AttemptOutcome::Failed));
            }
            RequestOutcome::Served(at) => {
                self.schedule(at + DELAY, ScheduledEvent::AttemptDone(attempt, AttemptOutcome::Answered));
            }
        }
    }

    pub fn attempt_done(&mut self, attempt: EmulatedAttempt, outcome: AttemptOutcome) {
        if !self.stores[attempt.store].in_flight.remove(&attempt) {
            return;
        }
        if let Some(Owner { id, shard, .. }) = self.owner(&attempt) {
            let store = self.stores[attempt.store].name.clone();
            match outcome {
                AttemptOutcome::Answered => {
                    let value = format!("{id}.{shard}@{store}");
                    self.keep_value(&attempt, shard, &value);
                    self.observe(&Event::Served { id, shard, store, value });
                }
                AttemptOutcome::Failed => self.observe(&Event::Failed { id, shard, store }),
                _ => {}
            }
        }
        self.attempt_ended(attempt, outcome);
    }

    /// Keeps the first value of a shard, if the front node still waits for the attempt that returned it.
    fn keep_value(&mut self, attempt: &EmulatedAttempt, shard: usize, value: &str) {
        let front_node = &mut self.front_nodes[attempt.front_node];
        let Some((query, _)) = front_node.requests.get(&attempt.request) else { return };
        if front_node.in_flight.contains_key(&(attempt.request, attempt.number))
            && let Some(open) = front_node.queries.get_mut(query)
        {
            open.values.entry(shard).or_insert_with(|| value.to_owned());
        }
    }

    pub fn attempt_ended(&mut self, attempt: EmulatedAttempt, outcome: AttemptOutcome) {
        let EmulatedAttempt { front_node, incarnation, request, number, .. } = attempt;
        let Some(node) = self.front_nodes.get_mut(front_node).filter(|f| f.incarnation == incarnation) else {
            return;
        };
        if let Some(in_flight) = node.in_flight.remove(&(request, number)) {
            let took = self.now - in_flight.sent_at;
            self.deliver(front_node, Input::AttemptEnded { request, attempt: number, outcome, took });
        }
    }

    /// Breaks every connection of a store, which ends its attempts in flight.
    pub fn break_connections(&mut self, store: usize) {
        let emulated = &mut self.stores[store];
        let (in_flight, name) = (std::mem::take(&mut emulated.in_flight), emulated.name.clone());
        emulated.process += 1;
        self.observe(&Event::ConnectionsLost { store: name });
        in_flight.into_iter().for_each(|attempt| self.attempt_ended(attempt, AttemptOutcome::ConnectionLost));
    }
}
