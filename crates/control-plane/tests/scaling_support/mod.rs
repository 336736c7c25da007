//! A service with a list of servers, and the scaling planner that plans for it.

#![allow(dead_code)]

pub mod simulation;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use orchidvalve_control_plane::load_summaries::ServiceDemand;
use orchidvalve_control_plane::scaling_planner::{
    PLAN_INTERVAL_MS, ScalingBounds, ScalingInput, ScalingOrder, ScalingPlanner,
};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::ServerEntry;

pub const SERVICE: &str = "movemind";
pub const ZONES: [&str; 4] = ["apapa", "ikeja", "lekki", "surulere"];
pub const SLOTS: u32 = 6;
pub const BOUNDS: ScalingBounds = ScalingBounds { min_count: 10, max_count: 24, boot_ms: 4_000 };

pub fn server(zone: &str, number: u32, is_available: bool) -> ServerEntry {
    ServerEntry {
        instance: format!("{zone}-{number}"),
        service: SERVICE.to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        zone: zone.to_owned(),
        slots: SLOTS,
        draining: !is_available,
        models: Vec::new(),
    }
}

/// A planner, its inputs, and the current time in ms.
pub struct Planning {
    pub planner: ScalingPlanner,
    pub now: u64,
    pub bounds: BTreeMap<String, ScalingBounds>,
    /// Number of servers that accept requests, by zone.
    pub counts: BTreeMap<String, u32>,
    pub demand: ServiceDemand,
    pub is_demand_complete: bool,
    pub is_rolling_out: bool,
    pub is_unconfirmed: bool,
}

impl Planning {
    /// Returns a planning state with 12 servers in each of 4 zones and no demand.
    pub fn new() -> Planning {
        Planning {
            planner: ScalingPlanner::default(),
            now: 1_000_000,
            bounds: BTreeMap::from([(SERVICE.to_owned(), BOUNDS)]),
            counts: ZONES.iter().map(|zone| ((*zone).to_owned(), 12)).collect(),
            demand: ServiceDemand::default(),
            is_demand_complete: true,
            is_rolling_out: false,
            is_unconfirmed: false,
        }
    }

    pub fn with_demand(running: u32, waiting: u32) -> Planning {
        Planning { demand: ServiceDemand { running, waiting }, ..Planning::new() }
    }

    pub fn set_demand(&mut self, running: u32, waiting: u32) {
        self.demand = ServiceDemand { running, waiting };
    }

    pub fn set_count(&mut self, zone: &str, count: u32) {
        self.counts.insert(zone.to_owned(), count);
    }

    pub fn total(&self) -> u32 {
        self.counts.values().sum()
    }

    /// Makes one plan, and advances the time by the planning interval.
    pub fn plan(&mut self) -> Vec<ScalingOrder> {
        let servers: Vec<ServerEntry> = self
            .counts
            .iter()
            .flat_map(|(zone, count)| (0..*count).map(|number| server(zone, number, true)))
            .collect();
        let rolling_out: BTreeSet<String> =
            self.is_rolling_out.then(|| SERVICE.to_owned()).into_iter().collect();
        let unconfirmed: BTreeSet<String> =
            self.is_unconfirmed.then(|| SERVICE.to_owned()).into_iter().collect();
        let orders = self.planner.plan(&ScalingInput {
            now: self.now,
            bounds: &self.bounds,
            servers: &servers,
            demand: &BTreeMap::from([(SERVICE.to_owned(), self.demand)]),
            is_demand_complete: self.is_demand_complete,
            rolling_out: &rolling_out,
            unconfirmed: &unconfirmed,
        });
        self.now += PLAN_INTERVAL_MS;
        orders
    }

    /// Plans for the given time without carrying out any order.
    pub fn plan_for(&mut self, ms: u64) -> Vec<ScalingOrder> {
        let end = self.now + ms;
        let mut orders = Vec::new();
        while self.now < end {
            orders.extend(self.plan());
        }
        orders
    }

    /// Plans for the given time, and carries out every order immediately.
    pub fn carry_out_for(&mut self, ms: u64) -> Vec<ScalingOrder> {
        let end = self.now + ms;
        let mut orders = Vec::new();
        while self.now < end {
            for order in self.plan() {
                self.counts.insert(order.zone.clone(), order.desired_count);
                orders.push(order);
            }
        }
        orders
    }
}
