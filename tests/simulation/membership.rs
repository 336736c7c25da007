//! Membership: the servers that exist, and what the fleet reports about them.

use orchidvalve::interface::*;
use orchidvalve::state::{AggregatorState, AttemptOutcome};

use super::servers::Server;
use super::{Condition, Event, MS, World};

impl World {
    pub(super) fn update_membership(&mut self, state: &mut AggregatorState, complete: bool) {
        if self.servers.is_empty() {
            for n in 0..self.case.settings.cells * self.case.per_cell {
                let cell = n % self.case.settings.cells;
                let started =
                    self.numbers.happens(self.case.initially_warming_probability).then_some(self.now);
                self.add_server(state, cell, started);
            }
        }
        state.membership_update_begins(complete);
        for (replica, server) in &self.servers {
            state.member_listed(*replica, server.cell, server.serving, server.started);
        }
        state.membership_update_ends();
        for replica in self.servers.keys().copied().collect::<Vec<_>>() {
            if self.numbers.happens(self.case.unverified_probability) {
                let steps = 1 + self.numbers.below(3) as u32;
                let from = self.now + self.numbers.between(0, 100 * MS);
                state.replica_unverified(replica, steps, from);
            } else if self.numbers.happens(0.5) {
                state.replica_verified(replica);
            }
        }
    }

    fn add_server(&mut self, state: &mut AggregatorState, cell: usize, started: Option<Nanos>) {
        let replica = state.replica_discovered(cell);
        let server = Server {
            cell,
            started,
            serving: true,
            condition: Condition::Healthy,
            until: self.now,
            free_at: self.now,
        };
        self.servers.insert(replica, server);
    }

    pub(super) fn replace(&mut self, state: &mut AggregatorState, replica: ReplicaIndex) {
        let Some(server) = self.servers.remove(&replica) else { return };
        let lost: Vec<(ShardRequestIndex, usize)> = self
            .in_flight
            .iter()
            .filter(|(_, (at, _))| *at == replica)
            .map(|(attempt, _)| *attempt)
            .collect();
        for (request, attempt) in lost {
            self.at(MS, Event::Ended(request, attempt, AttemptOutcome::ConnectionLost, false));
        }
        let started = Some(self.now);
        self.add_server(state, server.cell, started);
        state.membership_update_begins(true);
        for (replica, server) in &self.servers {
            state.member_listed(*replica, server.cell, server.serving, server.started);
        }
        state.membership_update_ends();
        state.replica_removed(replica);
    }

    pub(super) fn fleet_limits(&mut self, state: &mut AggregatorState) {
        for replica in self.servers.keys().copied().collect::<Vec<_>>() {
            if self.numbers.happens(0.3) {
                let floor = self.numbers.below(3) as f64;
                let failing_classes = if self.numbers.happens(0.2) { self.numbers.draw() & 3 } else { 0 };
                state.fleet_limits_received(replica, floor, failing_classes);
            }
        }
        if self.numbers.happens(0.5) {
            state.fleet_attempts_left = Some(self.numbers.below(4));
        }
        let tenants = self.case.settings.tenant_rates.len();
        state.fleet_tenant_rates = (0..tenants).map(|_| 40.0 * self.numbers.fraction()).collect();
        let next = self.numbers.between(50 * MS, 200 * MS);
        self.at(next, Event::FleetLimits);
    }
}
