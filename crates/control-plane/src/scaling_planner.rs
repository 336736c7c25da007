//! Scaling planner: decides how many servers each service has in each zone, for services whose configuration bounds that
//! number.
//!
//! Servers are paid for by the second, but work that is not done in time costs far more. So the planner starts from the
//! servers that exist and adds servers as soon as work cannot start in time. It removes one server at a time, and only if
//! the remaining ones would have had capacity for the peak demand: that of the last seconds for servers that the planner
//! added, that of the last minutes for servers that existed at the beginning. It changes nothing without complete facts,
//! or for a service that has had no demand yet. Servers that it removed are ordered back at the first sign of need.
//!
//! The desired count cannot be read back from the platform. It is the last ordered count or, before the first order, the
//! largest number of servers seen in the zone.
//!
//! The planner does no I/O: its owner has the orders delivered ([`crate::scaling_orders`]).

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServerEntry;

use crate::demand_window::{DemandSample, DemandWindow};
use crate::load_summaries::ServiceDemand;

/// Time between two plans, in milliseconds.
pub const PLAN_INTERVAL_MS: Milliseconds = 250;
/// No server is removed for this time after this node has become the head, in milliseconds: orders of the former head take
/// effect meanwhile, and processes report their load.
pub const SETTLE_MS: Milliseconds = 15_000;
/// Maximum time until a change of the servers shows in the platform's list, in milliseconds.
const LIST_LAG_MS: Milliseconds = 3_000;
/// The demand window restarts after a gap of this length without complete demand, in milliseconds.
const MAX_GAP_MS: Milliseconds = 2_000;
/// No server is removed for this time after servers were lost or facts were incomplete, in milliseconds.
const DISTURBANCE_HOLD_MS: Milliseconds = 5_000;
/// No server is removed for this time after weights were loaded, in milliseconds.
const ROLLOUT_HOLD_MS: Milliseconds = 1_000;
/// Minimum time between two orders that remove a server of a service, in milliseconds.
const REMOVAL_INTERVAL_MS: Milliseconds = 5_000;
/// After the platform rejected an order permanently, no order follows from demand for this time, in milliseconds.
const REFUSAL_HOLD_MS: Milliseconds = 30_000;
/// Servers are added if waiting work is projected to start later than this, in milliseconds...
const MAX_PROJECTED_WAIT_MS: f64 = 6_000.0;
/// ...and if that projection has held for this time, in milliseconds.
const OVERDUE_CONFIRMATION_MS: Milliseconds = 1_000;
/// Upper bound of the factor by which one order increases the number of servers...
const MAX_GROWTH: f64 = 1.5;
/// ...and its lower bound while work piles up.
const MIN_PILE_UP_GROWTH: f64 = 1.25;
/// A server is removed only if peak demand would have used at most this fraction of the remaining slots.
const TARGET_UTILIZATION: f64 = 0.7;
/// Removed servers are ordered back at once when demand exceeds this fraction of the slots.
const RESTORING_UTILIZATION: f64 = 0.85;

/// Bounds of the number of servers of a service in each zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ScalingBounds {
    /// Minimum number of servers in a zone.
    pub min_count: u32,
    /// Maximum number of servers in a zone.
    pub max_count: u32,
    /// Time until a new server accepts requests, in milliseconds.
    pub boot_ms: Milliseconds,
}

impl ScalingBounds {
    /// Returns the number within the bounds that is nearest to `count`.
    fn clamp(&self, count: u32) -> u32 {
        count.min(self.max_count).max(self.min_count.min(self.max_count))
    }
}

/// A scaling order: the number of servers that a service is to have in a zone, sent to the platform.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ScalingOrder {
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
    pub zone: String,
    /// Desired number of servers.
    pub desired_count: u32,
}

/// The facts that a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct ScalingInput<'a> {
    /// The current time, in milliseconds.
    pub now: Milliseconds,
    /// Bounds of the services that may be scaled; other services are left alone.
    pub bounds: &'a BTreeMap<String, ScalingBounds>,
    /// The platform's latest list of servers; empty before it was first read.
    pub servers: &'a [ServerEntry],
    /// Demand by service.
    pub demand: &'a BTreeMap<String, ServiceDemand>,
    /// Whether every process that has work to report has done so recently.
    pub is_demand_complete: bool,
    /// Services on whose servers weights are being loaded.
    pub rolling_out: &'a BTreeSet<String>,
    /// Services with scaling orders that the platform has not confirmed.
    pub unconfirmed: &'a BTreeSet<String>,
}

/// Servers of one service in one zone.
#[derive(Default, Debug)]
struct ZoneState {
    /// Number of servers that accept requests, by the latest list.
    available: u32,
    /// The last ordered count in this tenure or, before the first order, the largest number of available servers.
    desired: u32,
    is_ordered: bool,
    /// Largest number of available servers before the first order.
    initial_count: u32,
}

/// What this node knows of one service since it became the head. Times are in milliseconds.
#[derive(Debug)]
struct ServiceState {
    bounds: ScalingBounds,
    zones: BTreeMap<String, ZoneState>,
    window: DemandWindow,
    /// Since when the projected wait has been too long.
    overdue_since: Option<Milliseconds>,
    /// When the number of servers was last ordered.
    ordered_at: Option<Milliseconds>,
    /// No server is removed before this time.
    removal_hold_until: Milliseconds,
    /// No order follows from demand before this time, since the platform rejected one permanently.
    refusal_hold_until: Milliseconds,
}

/// Plans the number of servers of all services while this node is the head. Times are in milliseconds.
#[derive(Default, Debug)]
pub struct ScalingPlanner {
    began_at: Option<Milliseconds>,
    next_plan_at: Milliseconds,
    services: BTreeMap<String, ServiceState>,
}

impl ScalingPlanner {
    /// Forgets everything: another node is the head.
    pub fn reset(&mut self) {
        *self = ScalingPlanner::default();
    }

    /// Returns when [`ScalingPlanner::plan`] has to be called next.
    pub fn next_wakeup(&self) -> Milliseconds {
        self.next_plan_at
    }

    /// Returns the orders that change the desired counts. Each order is returned once.
    pub fn plan(&mut self, input: &ScalingInput<'_>) -> Vec<ScalingOrder> {
        let now = input.now;
        let began_at = *self.began_at.get_or_insert(now);
        self.next_plan_at = now + PLAN_INTERVAL_MS;
        self.services.retain(|service, _| input.bounds.contains_key(service));
        let mut orders = Vec::new();
        for (service, bounds) in input.bounds {
            let state = self.services.entry(service.clone()).or_insert_with(|| ServiceState::new(*bounds));
            state.observe(service, input);
            let age_ms = now - began_at;
            for zone in state.decide(now, age_ms, *bounds) {
                let desired_count = state.zones[&zone].desired;
                orders.push(ScalingOrder { service: service.clone(), zone, desired_count });
            }
        }
        orders
    }

    /// Resets the desired count of a zone to the existing servers, after the platform has permanently rejected an order.
    pub fn order_refused(&mut self, order: &ScalingOrder, now: Milliseconds) {
        let Some(state) = self.services.get_mut(&order.service) else { return };
        state.refusal_hold_until = now + REFUSAL_HOLD_MS;
        if let Some(zone) = state.zones.get_mut(&order.zone) {
            (zone.desired, zone.is_ordered) = (zone.available.max(zone.initial_count), false);
        }
    }
}

impl ServiceState {
    fn new(bounds: ScalingBounds) -> ServiceState {
        ServiceState {
            bounds,
            zones: BTreeMap::new(),
            window: DemandWindow::default(),
            overdue_since: None,
            ordered_at: None,
            removal_hold_until: 0,
            refusal_hold_until: 0,
        }
    }

    /// Updates the state with the latest list and demand.
    fn observe(&mut self, service: &str, input: &ScalingInput<'_>) {
        let now = input.now;
        if input.unconfirmed.contains(service) {
            self.ordered_at = Some(now);
        }
        if input.servers.is_empty() {
            return self.hold_removals(now + DISTURBANCE_HOLD_MS);
        }
        let slots = self.count_servers(service, input.servers);
        if !self.has_recent_order(now, self.effect_ms()) {
            self.adopt_surplus();
        }
        let has_lost_servers = self.zones.values().any(|zone| zone.available < zone.desired);
        if has_lost_servers || !input.is_demand_complete {
            self.hold_removals(now + DISTURBANCE_HOLD_MS);
        }
        if input.rolling_out.contains(service) {
            self.hold_removals(now + ROLLOUT_HOLD_MS);
        }
        if !input.is_demand_complete {
            return;
        }
        if self.window.latest().is_some_and(|latest| now > latest.at + MAX_GAP_MS) {
            self.window.restart();
        }
        let demand = input.demand.get(service).copied().unwrap_or_default();
        self.window.push(DemandSample { at: now, demand, slots });
    }

    fn hold_removals(&mut self, until: Milliseconds) {
        self.removal_hold_until = self.removal_hold_until.max(until);
    }

    /// Counts the servers in each zone. Returns the total slots of the servers that accept requests.
    fn count_servers(&mut self, service: &str, servers: &[ServerEntry]) -> u32 {
        self.zones.values_mut().for_each(|zone| zone.available = 0);
        let mut slots = 0u32;
        for server in servers.iter().filter(|server| server.service == service) {
            let zone = self.zones.entry(server.zone.clone()).or_default();
            if !server.draining {
                zone.available += 1;
                slots = slots.saturating_add(server.slots);
            }
        }
        for zone in self.zones.values_mut().filter(|zone| !zone.is_ordered) {
            zone.initial_count = zone.initial_count.max(zone.available);
            zone.desired = zone.desired.max(zone.available);
        }
        slots
    }

    /// Adopts servers beyond the ordered count, once orders have taken effect: somebody else has added them on purpose.
    fn adopt_surplus(&mut self) {
        for zone in self.zones.values_mut() {
            zone.desired = zone.desired.max(zone.available);
        }
    }

    fn available(&self) -> u32 {
        self.zones.values().map(|zone| zone.available).sum()
    }

    /// Returns the zones whose desired count changes now. `age_ms` is the time for which this node has been the head.
    fn decide(&mut self, now: Milliseconds, age_ms: Milliseconds, bounds: ScalingBounds) -> Vec<String> {
        let is_changed = self.bounds != bounds;
        self.bounds = bounds;
        let mut zones = BTreeSet::new();
        if is_changed || age_ms >= self.effect_ms() {
            zones.extend(self.keep_in_bounds(is_changed));
        }
        if age_ms >= self.effect_ms() && now >= self.refusal_hold_until {
            zones.extend(self.restore_servers(now));
            if zones.is_empty() {
                zones.extend(self.add_servers(now));
            }
            if zones.is_empty() && age_ms >= SETTLE_MS {
                zones.extend(self.remove_server(now));
            }
        }
        if !zones.is_empty() {
            self.ordered_at = Some(now);
        }
        zones.into_iter().collect()
    }

    /// Returns the time after which an order shows in the list.
    fn effect_ms(&self) -> Milliseconds {
        self.bounds.boot_ms + LIST_LAG_MS
    }

    /// Returns whether the last order is so recent that it may not have taken effect.
    fn has_recent_order(&self, now: Milliseconds, within_ms: Milliseconds) -> bool {
        self.ordered_at.is_some_and(|at| now < at.saturating_add(within_ms))
    }

    /// Brings desired counts into the bounds. A count below the minimum is raised only if the bounds have changed under
    /// this head: otherwise servers have failed, and the platform still knows a higher count, which an order would lower.
    fn keep_in_bounds(&mut self, is_changed: bool) -> Vec<String> {
        let bounds = self.bounds;
        let is_outside = |zone: &ZoneState| {
            zone.desired > bounds.max_count || (is_changed && zone.desired < bounds.min_count)
        };
        let outside = self.zones.iter_mut().filter(|(_, zone)| zone.desired > 0 && is_outside(zone));
        let changed = outside.map(|(name, zone)| {
            (zone.desired, zone.is_ordered) = (bounds.clamp(zone.desired.max(zone.available)), true);
            name.clone()
        });
        changed.collect()
    }

    /// Orders removed servers back as soon as the remaining ones are nearly full.
    fn restore_servers(&mut self, now: Milliseconds) -> Vec<String> {
        let is_nearly_full = |latest: &DemandSample| {
            f64::from(latest.demand.outstanding()) > f64::from(latest.slots) * RESTORING_UTILIZATION
        };
        let latest = self.window.latest().filter(|latest| latest.at == now);
        if !latest.is_some_and(is_nearly_full) {
            return Vec::new();
        }
        let bounds = self.bounds;
        let goal = |zone: &ZoneState| bounds.clamp(zone.initial_count.max(zone.available));
        let reduced = self.zones.iter_mut().filter(|(_, zone)| zone.is_ordered && zone.desired < goal(zone));
        let restored = reduced.map(|(name, zone)| {
            zone.desired = goal(zone);
            name.clone()
        });
        restored.collect()
    }

    /// Adds servers if work cannot start in time.
    fn add_servers(&mut self, now: Milliseconds) -> Vec<String> {
        let Some(growth) = self.required_growth(now) else { return Vec::new() };
        if self.has_recent_order(now, self.effect_ms()) {
            return Vec::new();
        }
        let available = self.available();
        let added = (f64::from(available) * (growth - 1.0)).ceil() as u32;
        let greatest = self.zones.values().map(|zone| zone.desired).max().unwrap_or(0);
        let mut zones = BTreeSet::new();
        for _ in 0..added {
            let Some(name) = self.smallest_growing_zone() else { break };
            if let Some(zone) = self.zones.get_mut(&name) {
                // If the zone has lost servers, a former head may have ordered more than are left.
                let known = if zone.is_ordered { zone.desired } else { zone.desired.max(greatest) };
                zone.desired = self.bounds.clamp(known + 1);
                zone.is_ordered = true;
            }
            zones.insert(name);
        }
        zones.into_iter().collect()
    }

    /// Returns the factor by which the number of servers has to grow; `None` if there are enough.
    fn required_growth(&mut self, now: Milliseconds) -> Option<f64> {
        let latest = *self.window.latest().filter(|latest| latest.at == now && latest.slots > 0)?;
        let excessive_wait =
            self.window.projected_wait_ms().filter(|wait_ms| *wait_ms > MAX_PROJECTED_WAIT_MS);
        if excessive_wait.is_none() {
            self.overdue_since = None;
        } else {
            self.overdue_since.get_or_insert(now);
        }
        let is_confirmed = self.overdue_since.is_some_and(|since| now >= since + OVERDUE_CONFIRMATION_MS);
        if let Some(wait_ms) = excessive_wait.filter(|_| is_confirmed) {
            return Some((wait_ms / MAX_PROJECTED_WAIT_MS).min(MAX_GROWTH));
        }
        let excess = f64::from(latest.demand.outstanding()) / f64::from(latest.slots);
        self.window.is_piling_up(now).then(|| excess.clamp(MIN_PILE_UP_GROWTH, MAX_GROWTH))
    }

    /// Returns the zone with the lowest desired count among those that have servers and may have more. A zone without
    /// servers counts as lost.
    fn smallest_growing_zone(&self) -> Option<String> {
        let growing =
            self.zones.iter().filter(|(_, zone)| zone.available > 0 && zone.desired < self.bounds.max_count);
        growing.min_by_key(|(_, zone)| zone.desired).map(|(name, _)| name.clone())
    }

    /// Removes one server if the remaining ones would have had capacity for the peak demand.
    fn remove_server(&mut self, now: Milliseconds) -> Option<String> {
        let is_held = now < self.removal_hold_until || self.has_recent_order(now, REMOVAL_INTERVAL_MS);
        if is_held || !self.window.is_full(now) || !self.is_as_desired() || !self.has_spare_server() {
            return None;
        }
        let min_count = self.bounds.min_count;
        let (name, zone) =
            self.zones.iter_mut().rev().max_by_key(|(_, zone)| zone.desired).filter(|(_, zone)| {
                // The last server of a zone stays, even if the bounds allow none.
                zone.desired > min_count.max(1)
            })?;
        (zone.desired, zone.is_ordered) = (zone.desired - 1, true);
        Some(name.clone())
    }

    /// Returns whether each zone has exactly its desired number of servers.
    fn is_as_desired(&self) -> bool {
        self.zones.values().all(|zone| zone.available == zone.desired)
    }

    /// Returns the peak demand that decides whether a server is removed: over a longer time if only the initial servers are
    /// left. `None` if there was no demand yet.
    fn removal_peak(&self) -> Option<u32> {
        let initial_count: u32 = self.zones.values().map(|zone| zone.initial_count).sum();
        let remembered = self.window.remembered_peak();
        let is_added = self.available() > initial_count;
        (remembered > 0).then(|| if is_added { self.window.peak() } else { remembered })
    }

    /// Returns whether one server less would have had capacity for the peak demand, and would have just sufficed even
    /// without the largest zone.
    fn has_spare_server(&self) -> bool {
        let (Some(latest), available) = (self.window.latest(), self.available()) else { return false };
        if available < 2 {
            return false;
        }
        let slots_per_server = f64::from(latest.slots) / f64::from(available);
        let slots_left = |servers: u32| f64::from(servers) * slots_per_server;
        let Some(peak) = self.removal_peak().map(f64::from) else { return false };
        let largest_zone = self.zones.values().map(|zone| zone.available).max().unwrap_or(0);
        let has_several_zones = self.zones.values().filter(|zone| zone.available > 0).count() > 1;
        let left = available - 1;
        let tolerates_zone_loss = !has_several_zones || peak <= slots_left(left.saturating_sub(largest_zone));
        tolerates_zone_loss && peak <= slots_left(left) * TARGET_UTILIZATION
    }
}
