//! Clients: queries and their shard requests.

use orchidvalve::interface::*;
use orchidvalve::state::AggregatorState;

use super::{Event, MS, World};

impl World {
    pub(super) fn receive_query(&mut self, state: &mut AggregatorState) {
        let mean = self.case.query_interval;
        let next = (mean as f64 * (0.1 + 1.8 * self.numbers.fraction())) as Nanos;
        self.at(next, Event::QueryArrives);
        let burst =
            if self.numbers.happens(self.case.burst_probability) { 1 + self.numbers.below(20) } else { 1 };
        for _ in 0..burst {
            let class = self.numbers.below(self.case.settings.classes.len());
            let service_class = self.case.settings.classes[class].clone();
            let client_timeout = service_class.deadline / 4
                + (self.numbers.fraction() * 0.75 * service_class.deadline as f64) as Nanos;
            let work = if service_class.latency_target_stretch > 0.0 {
                self.numbers.between(0, 200 * MS)
            } else {
                0
            };
            let tenant = self.numbers.below(self.case.settings.tenant_rates.len().max(1));
            let is_retry = self.numbers.happens(self.case.retry_probability);
            let query = state.query_received(class, tenant, self.now + client_timeout, work, is_retry);
            if self.numbers.happens(self.case.own_completeness_probability) {
                state.require_completeness(query, 0.5 + 0.5 * self.numbers.fraction());
            }
            if self.numbers.happens(self.case.crashing_queries) {
                self.crashing_queries.insert(query);
            }
            if service_class.second_step_requests > 0 {
                self.second_steps.insert(query, service_class.second_step_requests);
            }
            let requests = 1 + self.numbers.below(self.case.requests);
            for _ in 0..requests {
                self.receive_request(state, query, 1.0 / requests as f64);
            }
            if self.numbers.happens(self.case.disconnect_probability) {
                let after = self.numbers.between(MS, client_timeout);
                self.at(after, Event::ClientLeft(query));
            }
        }
    }

    pub(super) fn receive_request(&mut self, state: &mut AggregatorState, query: QueryIndex, weight: f64) {
        let shards = self.case.settings.cells;
        let shard = match self.numbers.happens(self.case.hot_shard_probability) {
            true => 0,
            false => self.numbers.below(shards),
        };
        let class = class_of(state, query);
        let request = state.shard_request_received(query, shard, weight);
        self.requests_by_index.insert(request, (query, class));
    }
}

fn class_of(state: &AggregatorState, query: QueryIndex) -> usize {
    state.open_queries().find(|(ix, _)| *ix == query).map_or(0, |(_, r)| r.class)
}
