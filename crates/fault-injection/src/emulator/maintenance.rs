//! The maintenance queue of emulated front nodes: one queue that all of them follow.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_maintenance::disruption_budget::{DisruptionBudget, Health, ObservedMachine};
use orchidvalve_maintenance::queue::{Command, LoggedCommand, Timing};

use super::front_nodes::Input;
use super::world::{ScheduledEvent, World};
use crate::discovery::{ListedStore, Phase};
use crate::scenario::{ms, seconds};
use crate::{MS, Nanos, SECOND};

/// Interval at which the maintenance queue observes the stores and the front nodes learn its decisions.
const OBSERVATION_INTERVAL: Nanos = 50 * MS;
/// How long an observation of the stores remains valid.
const OBSERVATION_VALIDITY: Nanos = 3 * SECOND;

impl World<'_> {
    pub fn observe_maintenance(&mut self) {
        let Some(order) = &self.scenario.order else { return };
        let now = self.now;
        let stores = &self.scenario.stores;
        let rule = DisruptionBudget {
            cells: stores.cells as u32,
            reach: stores.reach as u32,
            share: order.share,
            zone_share: 1.0,
            ..DisruptionBudget::default()
        };
        let pace = Timing { drain: ms(order.drain_ms), look_lasts: OBSERVATION_VALIDITY };
        let seen: BTreeMap<String, ObservedMachine> =
            self.list.iter().map(|(name, listed)| (name.clone(), self.observed_machine(listed))).collect();
        if self.maintenance_queue.needs_observation(&seen, &rule, pace, now) {
            self.maintenance_queue
                .apply(&LoggedCommand { at: now, command: Command::Observe { seen, rule, pace } });
        }
        let closed: BTreeSet<String> = self.maintenance_queue.closed().map(str::to_owned).collect();
        if closed != self.closed {
            self.closed = closed;
            (0..self.front_nodes.len()).for_each(|n| self.deliver(n, Input::Membership));
        }
        self.schedule(now + OBSERVATION_INTERVAL, ScheduledEvent::Maintenance);
    }

    fn observed_machine(&self, listed: &ListedStore) -> ObservedMachine {
        let stores = &self.scenario.stores;
        let warming_up = listed.started_at.is_some_and(|at| self.now - at < seconds(stores.cold_s));
        let health = match (listed.phase, warming_up) {
            (Phase::Up, false) => Health::Healthy,
            (Phase::Up, true) => Health::WarmingUp,
            (Phase::Draining | Phase::Gone, _) => Health::Draining,
        };
        ObservedMachine {
            cell: stores.cell(listed.store) as u32,
            zone: stores.zone(listed.store).to_owned(),
            health,
            started_ms: listed.started_at.map_or(0, |at| at / MS),
        }
    }
}
