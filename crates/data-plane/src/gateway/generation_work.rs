//! Messages of store nodes, the capacity that this gateway offers them, and the commands of the runner of generations.

use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ItemFailures, StoreMessage};

use super::upstream_io::RequestMetadata;
use super::{Gateway, gateway_address};
use crate::attempts::Idempotency;
use crate::balancer::{ServerKey, Upstream, slot_quota};
use crate::batch_calls::CallId;
use crate::exchanges::{Purpose, Stream, generation_bytes, reward_bytes};
use crate::generations::{AttemptOutcome, ModelVersion, RewardOutcome, RunnerCommand, ServerInfo};
use crate::store_links::OutboundMessage;
use crate::work::AssignedGroups;

/// A gateway that has had no session for this long returns the groups that no server in its table can run, in
/// milliseconds.
const SESSION_LOST_MS: u64 = 500;
/// The number of generations that may be pending here, as a fraction of those that can be in flight.
const QUEUE_FRACTION: f32 = 0.25;

impl Gateway {
    /// Updates the runner's entry of a server from the server table.
    pub(super) fn update_runner(&mut self, key: ServerKey) {
        let Some(server) = self.servers.balancer.get(key) else { return };
        let entry = &server.entry;
        self.runner.set_server(&ServerInfo {
            key,
            service: entry.service.as_str().into(),
            same_zone: entry.zone == self.options.zone,
            slots: entry.slots,
            queued: server.queued,
            limit: self.own_slot_quota(server),
            models: entry.models.iter().map(model_version).collect(),
            draining: entry.draining,
        });
    }

    /// Returns this gateway's quota of the slots of a model server, or `None` if it isn't a worker. The remaining
    /// groups of a former worker continue with one generation at a time at each server.
    fn own_slot_quota(&self, server: &Upstream) -> Option<u32> {
        if server.entry.models.is_empty() {
            return None;
        }
        let workers = self.feed.replica().workers();
        slot_quota(server.entry.slots, workers, self.own_address(), &server.entry.instance)
    }

    fn own_address(&self) -> NodeAddress {
        gateway_address(&self.options)
    }

    /// Applies a change of the workers or servers, which changes this gateway's quotas of the servers' slots.
    pub(super) fn quotas_changed(&mut self) {
        let workers = self.feed.replica().workers().len().max(1);
        self.runner.set_slot_fraction(1.0 / workers as f64);
        for key in self.servers.balancer.keys() {
            self.update_runner(key);
        }
        self.send_generation_capacity();
    }

    /// Reports to the store nodes how many generations may be assigned to this gateway: its slots plus a few pending
    /// ones.
    pub(super) fn send_generation_capacity(&mut self) {
        let servers =
            self.servers.balancer.keys().into_iter().filter_map(|key| self.servers.balancer.get(key));
        let slots: u32 = servers.filter_map(|server| self.own_slot_quota(server)).sum();
        let limit = (slots as f32 * (1.0 + QUEUE_FRACTION)).ceil() as u32;
        let limit = if self.shutdown_since.is_some() { 0 } else { limit };
        self.stores.links.set_generation_capacity(&mut self.network, limit);
    }

    /// Reads the bytes that have arrived on the link to a store node and handles all complete messages.
    pub(super) fn store_data(&mut self, connection: ConnectionId) {
        let Some((store, messages)) = self.stores.links.read(&mut self.network, connection, self.now) else {
            return;
        };
        let mut commands = Vec::new();
        for message in messages {
            match message {
                StoreMessage::Heartbeat => {}
                StoreMessage::Response { request_id: call, response: store_response } => {
                    if let Some(response) =
                        self.calls.response_received(self.now, CallId(call), store_response)
                    {
                        self.respond_to_call(CallId(call), &response);
                    }
                }
                StoreMessage::AssignGroups { job, groups } => {
                    let routes = self.routes.as_ref();
                    let assigned = AssignedGroups { store, job, groups };
                    self.work.assign(self.now, assigned, routes, &mut self.runner, &mut commands);
                }
                StoreMessage::CancelJob { partition, job } => {
                    self.work.cancel(partition, &job, &mut self.runner, &mut commands);
                }
                StoreMessage::AcknowledgeOutcomes { partition, job, items } => {
                    self.work.acknowledge(partition, &job, &items);
                }
                StoreMessage::KnownFailures { job, failures, .. } => {
                    for ItemFailures { item, count } in failures {
                        self.runner.failures_reported(&job, &item, count, &mut commands);
                    }
                }
            }
        }
        self.run_generation_commands(commands);
    }

    /// Executes commands of the runner, and the commands that result from them.
    pub(super) fn run_generation_commands(&mut self, commands: Vec<RunnerCommand>) {
        let mut commands = commands;
        while !commands.is_empty() {
            let mut next = Vec::new();
            for command in commands {
                self.run_generation_command(command, &mut next);
            }
            commands = next;
        }
    }

    fn run_generation_command(&mut self, command: RunnerCommand, next: &mut Vec<RunnerCommand>) {
        match command {
            RunnerCommand::Attempt {
                attempt,
                server,
                item,
                route,
                last_event_id,
                expect_version,
                deadline_ms,
            } => {
                let purpose = Purpose::Generation(Stream { attempt, head: None, events: Default::default() });
                let sent = self.begin_exchange(server, purpose, post(Some(&item.id)), |instance| {
                    generation_bytes(&item, &route, instance, last_event_id, expect_version, deadline_ms)
                });
                if !sent {
                    self.runner.attempt_ended(self.now, attempt, AttemptOutcome::ConnectFailed, next);
                }
            }
            RunnerCommand::CancelAttempt { attempt } => {
                if let Some(exchange) = self.servers.exchanges.of_generation(attempt) {
                    self.cancel_exchange(exchange);
                }
            }
            RunnerCommand::CloseIdleConnections { server } => {
                if let Some(server) = self.servers.balancer.get(server) {
                    self.servers.connections.close_idle(&mut self.network, server.address);
                }
            }
            RunnerCommand::CallReward { call, server, item, deadline_ms } => {
                let purpose = Purpose::Reward { call, head: None };
                let scorer_id = item.scorer.as_ref().map(|scorer| scorer.id.as_str());
                let sent = self.begin_exchange(server, purpose, post(scorer_id), |instance| {
                    reward_bytes(&item, instance, deadline_ms)
                });
                if !sent {
                    self.runner.reward_ended(self.now, call, RewardOutcome::ConnectFailed, next);
                }
            }
            RunnerCommand::CancelReward { call } => {
                if let Some(exchange) = self.servers.exchanges.of_reward(call) {
                    self.cancel_exchange(exchange);
                }
            }
            RunnerCommand::ReportFailures { group, item, failures } => {
                let message = self.work.failure_report(&group, &item, failures);
                self.send_to_stores(message.as_slice());
            }
            RunnerCommand::Report { group, item, result } => self.work.report(&group, &item, result),
        }
    }

    /// Returns groups that no server known here can run, if there has been no session for [`SESSION_LOST_MS`].
    ///
    /// A gateway without a session receives no updates of the server table, but other gateways do and may find
    /// servers. If the control plane as a whole is unavailable, no new version is announced either, and the servers
    /// known here remain eligible.
    pub(super) fn return_unservable(&mut self) {
        if self.feed.has_session() {
            if let Some(since) = self.session_lost_since.take() {
                self.log_session_gap(since);
            }
            return;
        }
        let since = *self.session_lost_since.get_or_insert(self.now);
        if self.now < since + SESSION_LOST_MS {
            return;
        }
        let mut commands = Vec::new();
        let groups = self.runner.drop_unservable(&mut commands);
        self.run_generation_commands(commands);
        let returned = self.work.return_groups(groups);
        for OutboundMessage { store, message } in &returned {
            log::info!("work: no session with a control node; {message:?} returned to store node {store}");
        }
        self.send_to_stores(&returned);
    }

    /// Sends outcomes that are due to the heads of their partitions.
    pub(super) fn send_outcomes(&mut self) {
        let due = self.work.take_due_outcomes(self.now, self.feed.replica().state());
        self.send_to_stores(&due);
    }

    /// Sends messages to store nodes. A message to a store node whose link is down is lost; its sender repeats it
    /// when it is due again.
    pub(super) fn send_to_stores(&mut self, messages: &[OutboundMessage]) {
        for OutboundMessage { store, message } in messages {
            self.stores.links.send(&mut self.network, *store, message);
        }
    }
}

fn model_version((model, version): &(String, u64)) -> ModelVersion {
    ModelVersion { model: model.as_str().into(), version: *version }
}

/// Returns the metadata of a generation or a reward call, both of which may be sent again.
fn post(attempt_id: Option<&str>) -> RequestMetadata<'_> {
    RequestMetadata { method: "POST", attempt_id, idempotency: Idempotency::Idempotent }
}
