//! The leader of scaling: how many servers there are to be in each zone is planned from what processes report, and
//! ordered at the platform under the term and the lease.

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_control_state::ControlState;
use orchidvalve_net::Network;
use orchidvalve_protocol::messages::{Role, ServiceLoad};
use serde_json::json;

use super::duty_calls::{Caller, call_bytes, call_target};
use super::{ExchangePurpose, SingletonRoles};
use crate::load_summaries::LoadSummaries;
use crate::scaling_orders::{ScalingOrders, ScalingOutcome};
use crate::scaling_planner::{PLAN_INTERVAL_MS, ScalingBounds, ScalingInput, ScalingOrder, ScalingPlanner};
use crate::sessions::{Session, SessionTable};

/// Name of this duty in the settings.
const DUTY: &str = "autoscaling";
const PATH: &str = "/scaling";
const MS_PER_S: f64 = 1_000.0;

/// State of scaling, as far as this node leads it.
#[derive(Default, Debug)]
pub(super) struct ScalingRole {
    planner: ScalingPlanner,
    orders: ScalingOrders,
    loads: LoadSummaries,
    /// Nothing is done before: this node wasn't sure to be the head.
    postponed_until: Milliseconds,
}

impl ScalingRole {
    /// Another node is the head.
    pub(super) fn stop(&mut self) {
        self.planner.reset();
        self.orders.clear();
        self.loads.clear();
    }

    /// When the next plan is due, or an order that isn't in flight, of which none is sent before `calls_from`.
    fn next_wakeup(&self, calls_from: Milliseconds) -> Milliseconds {
        let order = self.orders.next_due().map_or(u64::MAX, |at| at.max(calls_from));
        self.planner.next_wakeup().min(order).max(self.postponed_until)
    }
}

impl SingletonRoles {
    /// Whether this node would scale services if it were the head.
    fn may_scale(&self) -> bool {
        self.options.platform.is_some() && self.options.duties.iter().any(|duty| duty == DUTY)
    }

    /// When scaling has something to do next.
    pub(super) fn next_scaling(&self) -> Milliseconds {
        if !self.may_scale() || self.tenure.term.is_none() {
            return u64::MAX;
        }
        self.scaling.next_wakeup(self.duty_pacing.next_at())
    }

    /// A process has reported its work.
    pub fn record_load(&mut self, incarnation: u64, loads: Vec<ServiceLoad>, now: Milliseconds) {
        if self.may_scale() && self.tenure.head_since.is_some() {
            self.scaling.loads.record(incarnation, loads, now);
        }
    }

    /// Plans the numbers of servers when that is due, and sends the orders that are. Calls that are more urgent have to
    /// be made before, since the platform takes few.
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
        // Store nodes tell what they haven't assigned, gateways what was assigned to them and what clients sent.
        let stores = sessions.sessions().filter(|session| session.role == Role::Store);
        let reporters = incarnations(sessions.gateways().chain(stores));
        let knows_demand = self.knows_sessions(now) && self.scaling.loads.cover(&reporters, now);
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
        while self.scaling.orders.has_due(now) && self.duty_pacing.take(now) {
            let Some(order) = self.scaling.orders.take_due(now) else { return };
            let ScalingOrder { service, zone, desired_count } = &order;
            log::info!("scaling: {service} is to have {desired_count} servers in {zone}");
            let body = json!({ "service": service, "zone": zone, "desired-count": desired_count });
            let caller = Caller { name: &self.options.name, fencing_token };
            let request = call_bytes(caller, platform, PATH, &body);
            let target = call_target(platform, now);
            let purpose = ExchangePurpose::Scaling(order);
            let started = self.client.start(network, target, "POST", &request, purpose);
            if let Err(ExchangePurpose::Scaling(order)) = started {
                self.scaling_answered(&order, None, now);
            }
        }
    }

    /// The call of an order is over; `status` is that of the response, if there was one.
    pub(super) fn scaling_answered(&mut self, order: &ScalingOrder, status: Option<u16>, now: Milliseconds) {
        let outcome = ScalingOutcome::of(status);
        match outcome {
            ScalingOutcome::Accepted => self.duty_pacing.succeeded(),
            ScalingOutcome::Refused => {
                log::warn!(
                    "scaling: the platform refused {order:?} with status {status:?}; check the configuration"
                );
                self.duty_pacing.succeeded();
                self.scaling.planner.order_refused(order, now);
            }
            ScalingOutcome::Unknown => {
                log::info!("scaling: {order:?} has an unknown outcome, status {status:?}");
                self.duty_pacing.failed(now);
            }
        }
        self.scaling.orders.answered(order, outcome, now);
    }
}

fn incarnations<'a>(sessions: impl Iterator<Item = &'a Session>) -> BTreeSet<u64> {
    sessions.map(|session| session.incarnation).collect()
}

/// Bounds of the services that the configuration in force lets the system scale.
fn scaling_bounds(state: &ControlState) -> BTreeMap<String, ScalingBounds> {
    let services = state.configuration().map_or(&[][..], |configuration| configuration.routes().services());
    let scaled =
        services.iter().filter_map(|service| Some((service.name.to_string(), service.scaling.as_ref()?)));
    let bounds = scaled.map(|(service, scaling)| {
        let boot_ms = (scaling.boot_s * MS_PER_S) as Milliseconds;
        (service, ScalingBounds { min_count: scaling.min_count, max_count: scaling.max_count, boot_ms })
    });
    bounds.collect()
}
