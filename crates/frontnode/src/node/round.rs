//! One round: records received events and due timers in the aggregator's state, lets the aggregator decide, and carries
//! out its decisions.

use orchidvalve::interface::{Nanos, QueryIndex, ReplicaIndex};
use orchidvalve::state::AggregatorState;
use orchidvalve::trace::{MembershipSource, TraceEvent};
use orchidvalve_cold_start::start::Offer;

use super::decisions::DecisionWriter;
use super::{Node, NodeState};
use crate::cold_start::{Action, Decisions, UnverifiedEndpoint, trace_source};
use crate::discovery::ListOrigin;
use crate::event_loop::{EventSource, ReadyEvent, Timer};
use crate::fleet::{FleetNode, FleetReplica};
use crate::log;
use crate::maintenance::MaintenanceNode;
use crate::membership::EndpointList;
use crate::queries::EndedAttempt;

impl Node {
    /// Returns whether there is work to do without waiting for an event.
    pub(super) fn has_work(&self) -> bool {
        let state = self.state.borrow();
        !state.queries.ended.is_empty()
            || state.connections.has_work()
            || state.fleet.as_ref().is_some_and(FleetNode::has_work)
            || state.maintenance.as_ref().is_some_and(MaintenanceNode::has_work)
            || state.discovery_requested
            || !self.ready.ready.is_empty()
            || !state.context.ready_again.is_empty()
    }

    /// Runs one round at the time `now`. `handle` reads the ready sources and handles the due timers.
    pub(super) fn round(&mut self, now: Nanos, handle: impl FnOnce(&mut NodeState, &mut AggregatorState)) {
        self.last_round = now;
        let state = &self.state;
        state.borrow_mut().context.now = now;
        state.borrow_mut().context.metrics.rounds += 1;
        let inputs = |aggregator_state: &mut AggregatorState| {
            let mut state = state.borrow_mut();
            handle(&mut state, aggregator_state);
            state.report_ended(aggregator_state);
            state.fleet_round(aggregator_state);
            state.cold_start_round(aggregator_state);
            state.maintenance_round(aggregator_state);
            state.update_state_from_fleet(aggregator_state);
        };
        self.aggregator.round(now, inputs, &mut DecisionWriter(state));
        self.finish_round(now);
    }

    /// Sends the attempts that the round decided, then writes the trace, the persistent state and the recording.
    fn finish_round(&mut self, now: Nanos) {
        let state = self.state.get_mut();
        state.connections.send_queued(&mut state.queries, &mut state.context);
        if let Some(trace_writer) = &mut state.trace_writer {
            for (id, ix) in state.discovery.new_replicas() {
                trace_writer.name_replica(now, ix, id);
            }
            trace_writer.write(&self.aggregator.take_trace(), &state.queries);
        }
        state.discovery.end_round();
        state.queries.forget(self.aggregator.state());
        let (aggregator, discovery) = (&self.aggregator, &state.discovery);
        if state.maintenance.is_some() {
            let is_failing = |ix: ReplicaIndex| {
                let replica = aggregator.state().replicas.get(ix.0);
                replica.is_some_and(|replica| replica.failing_classes != 0)
                    || aggregator.ejection_record(ix).is_some_and(|record| record.ejected_at.is_some())
            };
            let failing = discovery.replicas().filter(|(_, ix)| is_failing(*ix));
            state.failing = failing.map(|(id, _)| id.to_owned()).collect();
        }
        if let Some(persistent_state) = &mut state.context.persistent_state {
            for (id, ix) in discovery.replicas() {
                if let Some(record) = aggregator.ejection_record(ix) {
                    persistent_state.write_ejection(ix, id, record, now);
                }
            }
            persistent_state.flush();
        }
        if let Some(recorder) = &mut state.context.recorder {
            recorder.end_round(now);
        }
        state.context.round_durations.push(self.ready.clock.now() - now);
    }
}

impl NodeState {
    /// Handles the event sources that became ready and the timers that fell due.
    pub(super) fn handle_events(&mut self, ready: Vec<ReadyEvent>, aggregator_state: &mut AggregatorState) {
        let now = self.context.now;
        let again = std::mem::take(&mut self.context.ready_again);
        let again = again.into_iter().map(|source| ReadyEvent { source, at: now });
        for event in ready.into_iter().chain(again) {
            // An event collected shortly after the time of the round counts as received at that time.
            let event = ReadyEvent { at: event.at.min(now), ..event };
            self.handle_ready(event, aggregator_state);
        }
        while let Some(timer) = self.context.deadlines.pop_due(now) {
            self.handle_timer(timer, aggregator_state);
        }
        if std::mem::take(&mut self.discovery_requested) {
            self.discovery.request_list(aggregator_state, &mut self.context);
        }
        self.clients.serving = self.discovery.has_replicas();
    }

    fn handle_ready(&mut self, event: ReadyEvent, aggregator_state: &mut AggregatorState) {
        let NodeState {
            config, context, queries, clients, connections, discovery, fleet, maintenance, ..
        } = self;
        match event.source {
            EventSource::Listener => clients.accept(context),
            EventSource::Client(key) => {
                let abandoned = clients.ready(key, event.at, config, queries, aggregator_state, context);
                self.abandon(&abandoned, aggregator_state);
            }
            EventSource::Connection(key) => connections.ready(key, queries, context),
            EventSource::Discovery => discovery.ready(connections, queries, aggregator_state, context),
            EventSource::Fleet => {
                if let Some(fleet) = fleet {
                    fleet.ready(context);
                }
            }
            EventSource::Maintenance => {
                if let Some(maintenance) = maintenance {
                    maintenance.ready(context);
                }
            }
            EventSource::Stop => self.shut_down(),
            EventSource::Reload => self.reload(aggregator_state),
        }
    }

    fn handle_timer(&mut self, timer: Timer, aggregator_state: &mut AggregatorState) {
        let NodeState { context, queries, clients, connections, discovery, .. } = self;
        match timer {
            Timer::Attempt(shard_request, number) => {
                connections.attempt_due(shard_request, number, queries, context);
            }
            Timer::PoolWait(shard_request, number) => {
                connections.pool_wait_due(shard_request, number, queries, context);
            }
            Timer::Connection(key) => connections.connection_due(key, queries, context),
            Timer::PartialMessage(key) => connections.partial_message_due(key, queries, context),
            Timer::UnresponsiveConnection(key) => {
                connections.unresponsive_connection_due(key, queries, context);
            }
            Timer::HealthCheck(key) => connections.health_check_due(key, context),
            Timer::Client(key) => {
                let abandoned = clients.timer_due(key, context);
                self.abandon(&abandoned, aggregator_state);
            }
            Timer::Accept => clients.accept(context),
            Timer::Discovery => discovery.timer_due(aggregator_state, context),
            // Their rounds run later in the same round of the node.
            Timer::Fleet | Timer::ColdStart | Timer::Maintenance => {}
            Timer::Wake => self.wake_timer = None,
            Timer::Stop => self.shut_down(),
        }
    }

    /// Closes queries whose client disconnected and cancels their attempts.
    fn abandon(&mut self, abandoned: &[QueryIndex], aggregator_state: &mut AggregatorState) {
        for &query in abandoned {
            self.context.metrics.abandoned_by_client += 1;
            aggregator_state.client_left(query);
            self.queries.close(query);
            self.connections.abandon(query, &mut self.queries, &mut self.context);
        }
    }

    /// Reports the health checks and attempts that ended since the last round to the aggregator.
    fn report_ended(&mut self, aggregator_state: &mut AggregatorState) {
        for report in self.connections.health_reports.drain(..) {
            let load = report.load.map(|load| (load.queued, load.completed_per_second));
            aggregator_state.health_check_ended(report.replica, report.answered, load);
        }
        for EndedAttempt { id, outcome, duration } in self.queries.ended.drain(..) {
            aggregator_state.attempt_ended(id.shard_request, id.number, outcome, duration, false);
        }
    }

    /// Runs a round of the fleet, after the ended attempts were reported.
    fn fleet_round(&mut self, aggregator_state: &AggregatorState) {
        let replicas = self.replicas_for_fleet();
        if let Some(fleet) = &mut self.fleet {
            fleet.round(&replicas, aggregator_state, &mut self.context);
        }
    }

    /// Passes the fleet's limits and verdicts on each known replica to the aggregator.
    fn update_state_from_fleet(&mut self, aggregator_state: &mut AggregatorState) {
        let replicas = self.replicas_for_fleet();
        if let Some(fleet) = &mut self.fleet {
            fleet.update_aggregator_state(&replicas, aggregator_state, self.context.now);
        }
    }

    /// Returns the replicas with their ids, ordered by id; empty if the fleet is disabled.
    fn replicas_for_fleet(&self) -> Vec<FleetReplica> {
        let replicas = self.fleet.iter().flat_map(|_| self.discovery.replicas());
        let replica = |(id, index): (&str, ReplicaIndex)| FleetReplica { id: id.to_owned(), index };
        let mut replicas: Vec<FleetReplica> = replicas.map(replica).collect();
        replicas.sort();
        replicas
    }

    /// Runs a round of the cold start, which selects the endpoint list and decides when discovery is queried.
    fn cold_start_round(&mut self, aggregator_state: &mut AggregatorState) {
        let NodeState { context, discovery, fleet, cold_start, .. } = self;
        let Some(cold_start) = cold_start else { return };
        if let Some(list) = fleet.as_mut().and_then(FleetNode::take_received_list) {
            cold_start.receive_list(list);
        }
        let events = discovery.take_events();
        let mut list_changed = !events.is_empty();
        let Decisions { actions, peer_request } =
            cold_start.round(&events, fleet.as_ref().map(FleetNode::size), context);
        for action in actions {
            match action {
                Action::Adopt(offer, unverified_steps) => {
                    self.adopt_list(&offer, unverified_steps, aggregator_state);
                    list_changed = true;
                }
                Action::Fetch { full_list } => {
                    self.discovery.fetch(full_list, aggregator_state, &mut self.context);
                }
                Action::ServeWithoutDiscovery => self.log_serving_without_discovery(aggregator_state),
            }
        }
        let NodeState { discovery, fleet, cold_start, .. } = self;
        let (Some(fleet), Some(cold_start)) = (fleet, cold_start) else { return };
        if let Some(request) = peer_request {
            fleet.request_list(cold_start.peer_request(request));
        }
        if list_changed {
            let (list, revision) = discovery.list();
            if let Some(list) = cold_start.offered_list(list, revision) {
                fleet.offer_list(list);
            }
        }
    }

    /// Uses an endpoint list that discovery did not publish to this node.
    fn adopt_list(&mut self, offer: &Offer, unverified_steps: u32, aggregator_state: &mut AggregatorState) {
        let NodeState { context, queries, connections, discovery, cold_start, .. } = self;
        let Some(cold_start) = cold_start else { return };
        let (mut endpoints, mut verifications) = (Vec::new(), Vec::new());
        for UnverifiedEndpoint { endpoint, verification } in
            cold_start.endpoints(offer, unverified_steps, context.now)
        {
            endpoints.push(endpoint);
            verifications.push(verification);
        }
        let age = context.now - offer.seen;
        let source = trace_source(offer.source);
        log!(
            "using the endpoint list from {}: {} ms old, {} replicas, {unverified_steps} unverified steps",
            source.help(),
            age / 1_000_000,
            endpoints.len()
        );
        aggregator_state.record(|| TraceEvent::MembershipListUsed {
            source,
            age,
            replicas: endpoints.len(),
            unverified_steps,
        });
        let list = EndpointList { revision: offer.revision, complete: true, endpoints };
        let origin = ListOrigin::Unverified(verifications);
        discovery.apply_list(list, &origin, connections, queries, aggregator_state, context);
    }

    fn log_serving_without_discovery(&self, aggregator_state: &AggregatorState) {
        let Some(cold_start) = &self.cold_start else { return };
        let age = cold_start.age(self.context.now);
        let replicas = self.discovery.list().0.len();
        let source = MembershipSource::Nowhere;
        aggregator_state.record(|| TraceEvent::MembershipListUsed {
            source,
            age,
            replicas,
            unverified_steps: 0,
        });
        log!(
            "no endpoint list received for {} ms: serving with the current one, {replicas} replicas",
            age / 1_000_000
        );
    }

    /// Runs a round of maintenance: machines that it closes get no new attempts from this node.
    fn maintenance_round(&mut self, aggregator_state: &mut AggregatorState) {
        let NodeState { context, queries, connections, discovery, maintenance, failing, .. } = self;
        let Some(maintenance) = maintenance else { return };
        if let Some(closed) = maintenance.round(discovery.list().0, failing, context) {
            let names: Vec<&str> = closed.iter().map(String::as_str).collect();
            let names = if names.is_empty() { "none".to_owned() } else { names.join(", ") };
            log!("maintenance: machines closed for new attempts: {names}");
            discovery.close_machines(closed, connections, queries, aggregator_state, context);
        }
    }

    /// Reloads the configuration. Only the address of discovery may change while the node runs.
    fn reload(&mut self, aggregator_state: &mut AggregatorState) {
        match self.source.read() {
            Ok((later, _)) => {
                let changed = self.config.sections_changed_in(&later);
                if !changed.is_empty() {
                    log!(
                        "configuration: these changes take effect only after a restart: {}",
                        changed.join(", ")
                    );
                }
                log!("configuration reloaded: discovery at {}", later.discovery);
                self.context.metrics.reloads += 1;
                self.discovery.change_address(later.discovery, aggregator_state, &mut self.context);
            }
            Err(error) => {
                self.context.metrics.bad_reloads += 1;
                log!("configuration not reloaded: {}", error.to_string().escape_default());
            }
        }
    }
}
