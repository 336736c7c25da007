//! Requests to retire store nodes. A registered store node stays known, so the response "not found" (404) is wrong if
//! the registration was committed before the request arrived; an accepted request is recorded in the control state.

use orchidvalve_control_plane::node::{RequestOrigin, RetirementVerdict};
use orchidvalve_control_plane::peer_messages::{HeadRequest, RequestOutcome};
use rand::Rng;
use rand::seq::IndexedRandom;

use super::clients::CallKind;
use super::cluster::{Cluster, Event};
use super::placements::STORES;
use super::scenario::PlantedBug;

/// Pause in ms between two requests.
const PAUSE_MS: u64 = 150;

fn name_of(store: u8) -> String {
    format!("store-{store}")
}

impl Cluster {
    pub fn begin_retirements(&mut self) {
        if self.scenario.platform {
            self.schedule(PAUSE_MS, Event::Retirement);
        }
    }

    /// Requests the retirement of a random store node from any machine, including partitioned ones.
    pub fn retire(&mut self) {
        if self.operators.has_stopped() {
            return;
        }
        self.schedule(PAUSE_MS, Event::Retirement);
        let Some(machine) = self.living().choose(&mut self.random).copied() else { return };
        let store = self.random.random_range(0..STORES);
        let is_known = self.checker.state().stores().contains_key(&name_of(store));
        let call = self.open_call(machine, CallKind::Retirement { store, is_known });
        if let Some(control_node) = &mut self.machines[machine].control_node {
            control_node.submit(call, HeadRequest::Retire { name: name_of(store) });
        }
        if self.scenario.planted_bug == Some(PlantedBug::LocalNotFound) && !self.is_known_at(machine, store) {
            let reason = "not known here".to_owned();
            self.outcome(machine, call, RequestOutcome::NotFound { reason });
        }
        self.drain(machine);
        self.begin_sync(machine);
    }

    fn is_known_at(&self, machine: usize, store: u8) -> bool {
        let control_node = self.machines[machine].control_node.as_ref();
        control_node.is_some_and(|control_node| control_node.state().stores().contains_key(&name_of(store)))
    }

    /// Allows every retirement as the host of the head; the check of the number of sessions has its own tests.
    pub fn allow_retirement(&mut self, machine: usize, origin: RequestOrigin, name: &str) {
        if let Some(control_node) = &mut self.machines[machine].control_node {
            control_node.decide_retirement(origin, name, RetirementVerdict::Allowed);
        }
    }

    pub fn retirement_decided(&mut self, store: u8, is_known: bool, outcome: &RequestOutcome) {
        let is_known_now = self.checker.state().stores().contains_key(&name_of(store));
        match outcome {
            RequestOutcome::NotFound { .. } if is_known => {
                self.checker
                    .fail(format!("store node {store} was not found though its registration was committed"));
            }
            RequestOutcome::Done if !is_known_now => {
                self.checker.fail(format!("store node {store} is to be retired but is not registered"));
            }
            RequestOutcome::Done | RequestOutcome::NotFound { .. } | RequestOutcome::Unknown => {}
            other => self.checker.fail(format!("a retirement was completed as {other:?}")),
        }
    }
}
