//! The leader of the weight roll-out: sends load orders to servers under the leadership term and the lease, and probes the
//! servers until their loads are done.

use std::collections::BTreeMap;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::{ControlState, ModelUsage};
use orchidvalve_http::{write_head_end, write_header, write_number_header, write_request_line};
use orchidvalve_net::Network;
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ServerEntry, ServerTableUpdate};
use orchidvalve_protocol::server_table::ServerTable;
use serde_json::json;

use super::{ExchangePurpose, SingletonRoles};
use crate::http_client::{ConnectionUse, ExchangeTarget};
use crate::weight_rollout::{LoadOrder, OrderOutcome, RolloutPlanner};

/// An order without a response within this time, in milliseconds, has an unknown outcome.
const ORDER_TIMEOUT_MS: Milliseconds = 1_500;
/// A probe without a response within this time, in milliseconds, is abandoned.
const PROBE_TIMEOUT_MS: Milliseconds = 500;
/// Maximum number of versions that a server may be behind the latest one, even if trainers allow older versions.
const MAX_LAG: u64 = 2;
/// Allowed lag of a model, in versions, until batch jobs have reported one: the first jobs allow every version.
const DEFAULT_LAG: u64 = 1;

/// State of the weight roll-out while this node leads it.
#[derive(Default, Debug)]
pub(super) struct Rollout {
    planner: RolloutPlanner,
    /// Model usage as last logged.
    logged_models: BTreeMap<String, ModelUsage>,
}

impl Rollout {
    /// Forgets all orders: another node is the head.
    pub(super) fn stop(&mut self) {
        self.planner.reset();
    }

    pub(super) fn next_wakeup(&self) -> Option<Milliseconds> {
        self.planner.next_wakeup()
    }

    /// Returns whether weights are being loaded onto a server.
    pub(super) fn is_loading(&self, now: Milliseconds, instance: &str) -> bool {
        self.planner.is_loading(now, instance)
    }

    /// Returns the models of a server with the versions that it holds, without the models that are being loaded. A server
    /// accepts no requests for those, so gateways should not try.
    pub(super) fn available_models(&self, server: &ServerEntry, now: Milliseconds) -> Vec<(String, u64)> {
        let is_available = |model: &String| !self.planner.is_loading_model(now, &server.instance, model);
        let available = server.models.iter().filter(|(model, _)| is_available(model));
        let held = available
            .map(|(model, listed)| (model.clone(), self.planner.held_version(now, server, model, *listed)));
        held.collect()
    }

    /// Sets how many versions each model may be behind the latest one, from the reported usage of models.
    fn set_usage(&mut self, models: &BTreeMap<String, ModelUsage>) {
        if self.logged_models != *models {
            self.logged_models.clone_from(models);
            log::info!("weights: usage of models has changed: {models:?}");
        }
        let lag = |usage: &ModelUsage| usage.lag.unwrap_or(DEFAULT_LAG).min(MAX_LAG);
        let allowed_lags = models.iter().map(|(model, usage)| (model.clone(), lag(usage))).collect();
        self.planner.set_allowed_lags(allowed_lags);
    }
}

impl SingletonRoles {
    /// Sends the probes and orders that are due. Returns the resulting update of the server table, if there is one.
    pub fn order_weights(
        &mut self,
        network: &mut Network,
        state: &ControlState,
        confirmed_at: Option<Milliseconds>,
        table: &mut ServerTable,
        now: Milliseconds,
    ) -> Option<ServerTableUpdate> {
        self.send_probes(network, now);
        let mut is_changed = self.rollout.planner.finish_due_loads(now);
        self.rollout.set_usage(state.models());
        if let Some(fencing_token) = self.fencing_token(now, confirmed_at) {
            is_changed |= self.send_orders(network, state, fencing_token, now);
        }
        if is_changed { self.publish(table, now) } else { None }
    }

    /// Sends the orders that are due. Returns whether there were any.
    fn send_orders(
        &mut self,
        network: &mut Network,
        state: &ControlState,
        fencing_token: u64,
        now: Milliseconds,
    ) -> bool {
        let servers: Vec<&ServerEntry> = self.list.servers().iter().collect();
        let orders = self.rollout.planner.plan_orders(now, state.versions(), &servers);
        let any = !orders.is_empty();
        for order in orders {
            let Some(address) = self.list.server(&order.instance).map(|server| server.address) else {
                continue;
            };
            let single_version = state.models().get(&order.model).is_none_or(|usage| usage.single_version);
            log::info!("weights: {} is to load version {} of {}", order.instance, order.version, order.model);
            let method = if single_version { "wait" } else { "retain" };
            let request = self.order_request(&order, fencing_token, method);
            let target = to_server(address, ConnectionUse::New, now, ORDER_TIMEOUT_MS);
            let purpose = ExchangePurpose::Order(order);
            let started = self.client.start(network, target, "POST", &request, purpose);
            if let Err(ExchangePurpose::Order(order)) = started {
                self.rollout.planner.order_completed(now, &order, OrderOutcome::Unknown);
            }
        }
        any
    }

    /// Probes the servers whose loads should be done by now.
    fn send_probes(&mut self, network: &mut Network, now: Milliseconds) {
        for instance in self.rollout.planner.due_probes(now) {
            let Some(server) = self.list.server(&instance) else { continue };
            let mut request = Vec::new();
            write_request_line(&mut request, "GET", "/v1/report");
            write_header(&mut request, "Host", "server");
            write_header(&mut request, "Expected-Instance", &instance);
            write_head_end(&mut request);
            // A late second response to the order is not a report, and a late response to an earlier probe only says that
            // the load was in progress then. So neither can be mistaken for the end of the load.
            let target = to_server(server.address, ConnectionUse::Reused, now, PROBE_TIMEOUT_MS);
            // Without a response the load counts as done after its expected duration.
            let _ = self.client.start(network, target, "GET", &request, ExchangePurpose::Probe { instance });
        }
    }

    pub(super) fn order_completed(
        &mut self,
        network: &mut Network,
        order: &LoadOrder,
        outcome: OrderOutcome,
        now: Milliseconds,
    ) {
        let is_loading = outcome == OrderOutcome::Accepted { already: false };
        if !is_loading {
            log::info!("weights: order {order:?} ended as {outcome:?}");
        }
        self.rollout.planner.order_completed(now, order, outcome);
        if !is_loading {
            self.end_probes(network, &order.instance);
        }
    }

    /// Processes the end of a probe: whether the server is loading, or `None` if it did not report that.
    pub(super) fn probe_completed(
        &mut self,
        network: &mut Network,
        instance: &str,
        is_busy: Option<bool>,
        now: Milliseconds,
    ) {
        if let Some(is_busy) = is_busy {
            self.rollout.planner.probe_completed(now, instance, is_busy);
        }
        if is_busy != Some(true) {
            self.end_probes(network, instance);
        }
    }

    /// Closes the connection that was kept open for probes: no probe follows the last order to this server.
    fn end_probes(&mut self, network: &mut Network, instance: &str) {
        if let Some(server) = self.list.server(instance) {
            self.client.close_idle(network, server.address.socket());
        }
    }

    fn order_request(&self, order: &LoadOrder, fencing_token: u64, method: &str) -> Vec<u8> {
        let body = json!({
            "operation": "config-version",
            "model": order.model,
            "config-version": order.version,
            "method": method,
            "holder": self.options.name,
            "fence-token": fencing_token,
        });
        let body = body.to_string();
        let mut request = Vec::new();
        write_request_line(&mut request, "POST", "/v1/order");
        write_header(&mut request, "Host", "server");
        write_header(&mut request, "Expected-Instance", &order.instance);
        write_header(&mut request, "Content-Type", "application/json");
        write_number_header(&mut request, "Content-Length", body.len() as u64);
        write_head_end(&mut request);
        request.extend_from_slice(body.as_bytes());
        request
    }
}

fn to_server(
    address: NodeAddress,
    connection_use: ConnectionUse,
    now: Milliseconds,
    timeout_ms: Milliseconds,
) -> ExchangeTarget {
    ExchangeTarget { address: address.socket(), connection_use, started_at: now, deadline: now + timeout_ms }
}

/// Parses a server's report. Returns whether an order is in progress there; `None` if the report is malformed.
pub(super) fn is_order_in_progress(body: &[u8]) -> Option<bool> {
    let report: serde_json::Value = serde_json::from_slice(body).ok()?;
    report.get("utilization")?.as_bool()
}
