//! The leader of scaling: plans the number of servers in each zone from the load reports of processes, and sends scaling
//! orders to the platform under the leadership term and the lease.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::ControlState;
use orchidvalve_net::Network;
use orchidvalve_protocol::messages::{Role, ServiceLoad};
use serde_json::json;

use super::platform_calls::{Caller, call_bytes, call_target};
use super::{ExchangePurpose, SingletonRoles};
use crate::load_summaries::LoadSummaries;
use crate::scaling_orders::{ScalingOrders, ScalingOutcome};
use crate::scaling_planner::{PLAN_INTERVAL_MS, ScalingBounds, ScalingInput, ScalingOrder, ScalingPlanner};
use crate::sessions::{Session, SessionTable};

/// Name of this role in the settings.
const ROLE_NAME: &str = "autoscaling";
const SCALING_PATH: &str = "/scaling";

/// State of scaling while this node leads it.
#[derive(Default, Debug)]
pub(super) struct ScalingRole {
    planner: ScalingPlanner,
    orders: ScalingOrders,
    loads: LoadSummaries,
    /// Planning and sending are postponed until this time because this node was not certain to be the head.
    postponed_until: Milliseconds,
}

impl ScalingRole {
    /// Forgets all plans, orders and load reports: another node is the head.
    pub(super) fn stop(&mut self) {
        self.planner.reset();
        self.orders.clear();
        self.loads.clear();
    }

    /// Returns when the next plan or the next order is due. No order is sent before `calls_from`.
    fn next_wakeup(&self, calls_from: Milliseconds) -> Milliseconds {
        let order = self.orders.next_due().map_or(u64::MAX, |at| at.max(calls_from));
        self.planner.next_wakeup().min(order).max(self.postponed_until)
    }
}

impl SingletonRoles {
    /// Returns whether this node scales services while it is the head.
    fn may_scale(&self) -> bool {
        self.options.platform.is_some()
            && self.options.enabled_platform_roles.iter().any(|role| role == ROLE_NAME)
    }

    /// Returns when scaling has something to do next.
    pub(super) fn next_scaling(&self) -> Milliseconds {
        if !self.may_scale() || self.tenure.term.is_none() {
            return u64::MAX;
        }
        self.scaling.next_wakeup(self.platform_call_pacing.next_at())
    }

    /// Records the load report of a process.
    pub fn record_load(&mut self, incarnation: u64, loads: Vec<ServiceLoad>, now: Milliseconds) {
        if self.may_scale() && self.tenure.head_since.is_some() {
            self.scaling.loads.record(incarnation, loads, now);
        }
    }

    /// Plans the numbers of servers if that is due, and sends the orders that are due. The platform accepts few calls, so
    /// more urgent calls have to be made before this one.
    pub fn scale_services(
        &mut self,
        network: &mut Network,
        state: &ControlState,
        sessions: &SessionTable,
        confirmed_at: Option<Milliseconds>,
        now: Milliseconds,
    ) {
        if !self.may_scale() {
            return;
        }
        let Some(fencing_token) = self.fencing_token(now, confirmed_at) else {
            self.scaling.postponed_until = now + PLAN_INTERVAL_MS;
            return;
        };
        if now >= self.scaling.planner.next_wakeup() {
            self.plan_scaling(state, sessions, now);
        }
        self.send_scaling_orders(network, fencing_token, now);
    }

    fn plan_scaling(&mut self, state: &ControlState, sessions: &SessionTable, now: Milliseconds) {
        self.scaling.loads.expire(&incarnations(sessions.sessions()), now);
        // Store nodes report work that they have not assigned; gateways report the work assigned to them and the requests
        // of clients.
        let stores = sessions.sessions().filter(|session| session.role == Role::Store);
        let reporters = incarnations(sessions.gateways().chain(stores));
        let knows_demand =
            self.is_session_grace_over(now) && self.scaling.loads.has_recent_reports(&reporters, now);
        let demand = self.scaling.loads.demand_by_service();
        let servers = self.list.servers();
        let is_loading = |instance: &str| self.rollout.is_loading(now, instance);
        let loading = servers.iter().filter(|server| is_loading(&server.instance));
        let rolling_out: BTreeSet<String> = loading.map(|server| server.service.clone()).collect();
        let bounds = scaling_bounds(state);
        let is_unconfirmed = |service: &&String| self.scaling.orders.has_open(service);
        let unconfirmed = bounds.keys().filter(is_unconfirmed).cloned().collect();
        let orders = self.scaling.planner.plan(&ScalingInput {
            now,
            bounds: &bounds,
            servers,
            demand: &demand,
            is_demand_complete: knows_demand,
            rolling_out: &rolling_out,
            unconfirmed: &unconfirmed,
        });
        for order in orders {
            self.scaling.orders.decide(&order, now);
        }
    }

    fn send_scaling_orders(&mut self, network: &mut Network, fencing_token: u64, now: Milliseconds) {
        let Some(platform) = self.options.platform else { return };
        while self.scaling.orders.has_due(now) && self.platform_call_pacing.try_take(now) {
            let Some(order) = self.scaling.orders.take_due(now) else { return };
            let ScalingOrder { service, zone, desired_count } = &order;
            log::info!("scaling: {service} is to have {desired_count} servers in {zone}");
            let body = json!({ "service": service, "zone": zone, "desired-count": desired_count });
            let caller = Caller { name: &self.options.name, fencing_token };
            let request = call_bytes(caller, platform, SCALING_PATH, &body);
            let target = call_target(platform, now);
            let purpose = ExchangePurpose::Scaling(order);
            let started = self.client.start(network, target, "POST", &request, purpose);
            if let Err(ExchangePurpose::Scaling(order)) = started {
                self.scaling_order_completed(&order, None, now);
            }
        }
    }

    /// Processes the end of a scaling order; `status` is that of the response, `None` without a response.
    pub(super) fn scaling_order_completed(
        &mut self,
        order: &ScalingOrder,
        status: Option<u16>,
        now: Milliseconds,
    ) {
        let outcome = ScalingOutcome::from_status(status);
        match outcome {
            ScalingOutcome::Accepted => self.platform_call_pacing.succeeded(),
            ScalingOutcome::Refused => {
                log::warn!(
                    "scaling: the platform refused {order:?} with status {status:?}; check the configuration"
                );
                self.platform_call_pacing.succeeded();
                self.scaling.planner.order_refused(order, now);
            }
            ScalingOutcome::Unknown => {
                log::info!("scaling: the outcome of {order:?} is unknown, status {status:?}");
                self.platform_call_pacing.failed(now);
            }
        }
        self.scaling.orders.completed(order, outcome, now);
    }
}

fn incarnations<'a>(sessions: impl Iterator<Item = &'a Session>) -> BTreeSet<u64> {
    sessions.map(|session| session.incarnation).collect()
}

/// Returns the bounds of the services that the current configuration allows the system to scale.
fn scaling_bounds(state: &ControlState) -> BTreeMap<String, ScalingBounds> {
    let services = state.configuration().map_or(&[][..], |configuration| configuration.routes().services());
    let scaled =
        services.iter().filter_map(|service| Some((service.name.to_string(), service.scaling.as_ref()?)));
    let bounds = scaled.map(|(service, scaling)| {
        let boot_ms = scaling.boot.as_millis();
        (service, ScalingBounds { min_count: scaling.min_count, max_count: scaling.max_count, boot_ms })
    });
    bounds.collect()
}
