//! The effects of faults on the emulated run.

use std::collections::BTreeMap;

use orchidvalve_maintenance::queue::{Command, LoggedCommand, Stage};

use super::DELAY;
use super::front_nodes::Input;
use super::world::{ScheduledEvent, World};
use crate::discovery::ListedStore;
use crate::error::RunError;
use crate::injector::FaultTarget;
use crate::invariants::Event;
use crate::load::Reply;
use crate::policy::Decider;
use crate::statistics::QueryOutcome;
use crate::timeline::Condition;
use crate::{Nanos, SECOND};

/// Time that a machine may be under maintenance beyond the requested duration.
const MAINTENANCE_MARGIN: Nanos = 60 * SECOND;
/// How long a request for maintenance waits to be granted before it expires.
const MAINTENANCE_REQUEST_VALIDITY: Nanos = 3600 * SECOND;

impl FaultTarget for World<'_> {
    fn now(&self) -> Nanos {
        self.now
    }
    fn observe(&mut self, event: Event) {
        World::observe(self, &event);
    }
    fn set_condition(&mut self, store: usize, condition: Condition) {
        self.stores[store].model.condition = condition;
    }
    fn stop_store(&mut self, store: usize) {
        self.stores[store].is_off = true;
        self.break_connections(store);
    }
    fn start_store(&mut self, store: usize, name: String) -> Nanos {
        let now = self.now;
        let store = &mut self.stores[store];
        (store.name, store.is_off) = (name, false);
        store.process += 1;
        store.model.start(now);
        now
    }
    fn publish_list(&mut self, list: &BTreeMap<String, ListedStore>) {
        self.list.clone_from(list);
        (0..self.front_nodes.len()).for_each(|n| self.deliver(n, Input::Membership));
    }
    fn set_discovery_unresponsive(&mut self, _: bool) {}
    fn kill_front_node(&mut self, index: usize) {
        self.front_nodes[index].kill();
        let asking: Vec<(usize, usize)> = (0..self.clients.len())
            .filter(|n| self.clients[*n].front_node == index && !self.clients[*n].ended)
            .filter_map(|n| Some((n, self.clients[n].in_flight?.number)))
            .collect();
        for (client, number) in asking {
            let (reply, outcome) = (Reply::Lost, QueryOutcome::Lost);
            let lost = ScheduledEvent::ClientReceives { client, number, reply, outcome };
            self.schedule(self.now + DELAY, lost);
        }
    }
    fn restart_front_node(&mut self, index: usize) -> Result<(), RunError> {
        let incarnation = self.front_nodes[index].incarnation + 1;
        self.front_nodes[index] = self.new_front_node(index, incarnation);
        if self.trace.is_some() {
            self.front_nodes[index].decider.iter_mut().for_each(Decider::start_trace);
        }
        self.deliver(index, Input::Membership);
        Ok(())
    }
    fn reload_front_node(&mut self, _: usize) {}
    fn partition_front_nodes(&mut self, _: Option<usize>) {}
    fn request_maintenance(&mut self, machine: &str, lasts: Nanos) -> bool {
        self.nonce += 1;
        let command = Command::Request {
            machine: machine.to_owned(),
            by: "rehearsal".to_owned(),
            why: String::new(),
            lasts: lasts + MAINTENANCE_MARGIN,
            waits: MAINTENANCE_REQUEST_VALIDITY,
            nonce: self.nonce,
        };
        self.maintenance_queue.apply(&LoggedCommand { at: self.now, command });
        true
    }
    fn is_under_maintenance(&mut self, machine: &str) -> bool {
        self.maintenance_queue.entries.iter().any(|e| e.machine == machine && e.stage == Stage::Out)
    }
}
