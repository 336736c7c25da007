//! Decides how many servers each service is to have in each zone, where its configuration bounds that number.
//!
//! Servers are paid by the second, but work that isn't done in time costs far more. So the planner begins with the
//! servers that are there, adds some as soon as work can't be begun in time, and takes one away at a time, only if the
//! busiest moment of the last seconds would have had room on the rest, and for those that were there at the beginning the
//! busiest of the last minutes. Where it lacks facts it leaves things as they are: also a service that had nothing to do
//! yet. What it took away it orders back at the first sign of need. Nothing can be read back from the platform: what is desired in a zone is what was ordered last or, before the
//! first order, the most servers that were seen there.
//!
//! The planner does no I/O: its owner has the orders delivered ([`crate::scaling_orders`]).

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_protocol::messages::ServerEntry;

use crate::demand_window::{DemandSample, DemandWindow};
use crate::load_summaries::ServiceDemand;

/// Pause between two plans, in milliseconds.
pub const PLAN_INTERVAL_MS: Milliseconds = 250;
/// After this node became the head, no servers are taken away for this time, in milliseconds: orders of the former head
/// take effect, and processes report.
pub const SETTLE_MS: Milliseconds = 15_000;
/// A change of the servers shows in the platform's list after this time at most, in milliseconds.
const LIST_LAG_MS: Milliseconds = 3_000;
/// Without facts for this time the window of demand begins anew, in milliseconds.
const MAX_GAP_MS: Milliseconds = 2_000;
/// After servers vanished by themselves or facts were missing, none are taken away for this time, in milliseconds.
const DISTURBANCE_HOLD_MS: Milliseconds = 5_000;
/// After weights were rolled out, no servers are taken away for this time, in milliseconds.
const ROLLOUT_HOLD_MS: Milliseconds = 1_000;
/// Pause between two orders that take a server of a service away, in milliseconds.
const REMOVAL_INTERVAL_MS: Milliseconds = 5_000;
/// After the platform refused an order for good, the service is left as it is for this time, in milliseconds.
const REFUSAL_HOLD_MS: Milliseconds = 30_000;
/// Servers are added when work that waits would be begun only after this time, in milliseconds...
const MAX_PROJECTED_WAIT_MS: f64 = 6_000.0;
/// ...and has been projected to for so long, in milliseconds.
const LATENESS_CONFIRMATION_MS: Milliseconds = 1_000;
/// Servers are added up to this many times those that are there at once...
const MAX_GROWTH: f64 = 1.5;
/// ...and up to this many times at least while work piles up.
const MIN_PILE_UP_GROWTH: f64 = 1.25;
/// Of the slots that stay when a server is taken away, this share may have been taken at the busiest moment.
const TARGET_UTILIZATION: f64 = 0.7;
/// Servers that were taken away are ordered back at once when more than this share of the slots is taken.
const RESTORING_UTILIZATION: f64 = 0.85;

/// Bounds of the number of servers of a service in each zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ScalingBounds {
    /// Fewest servers in a zone.
    pub min_count: u32,
    /// Most servers in a zone.
    pub max_count: u32,
    /// Time until a new server serves, in milliseconds.
    pub boot_ms: Milliseconds,
}

impl ScalingBounds {
    /// The number within the bounds that is nearest to `count`.
    fn clamp(&self, count: u32) -> u32 {
        count.min(self.max_count).max(self.min_count.min(self.max_count))
    }
}

/// A decision: how many servers a service is to have in a zone.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ScalingOrder {
    /// Name of the service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Number of servers.
    pub desired_count: u32,
}

/// Facts that a plan goes by.
#[derive(Clone, Copy, Debug)]
pub struct ScalingInput<'a> {
    /// The time, in milliseconds.
    pub now: Milliseconds,
    /// Services that may be scaled; others are left alone.
    pub bounds: &'a BTreeMap<String, ScalingBounds>,
    /// The platform's newest list; empty before it was read.
    pub servers: &'a [ServerEntry],
    /// Work by service.
    pub demand: &'a BTreeMap<String, ServiceDemand>,
    /// Whether every process that has work to report did so lately.
    pub is_demand_complete: bool,
    /// Services on whose servers weights are being loaded.
    pub rolling_out: &'a BTreeSet<String>,
    /// Services with orders that the platform hasn't confirmed.
    pub unconfirmed: &'a BTreeSet<String>,
}

/// Servers of one service in one zone.
#[derive(Default, Debug)]
struct ZoneState {
    /// Servers that take requests, by the newest list.
    available: u32,
    /// What is desired by the last order in this tenure, or else the most that were available.
    desired: u32,
    is_ordered: bool,
    /// The most that were available before the first order.
    at_beginning: u32,
}

/// What is known of one service since this node became the head. Times are in milliseconds.
#[derive(Debug)]
struct ServiceState {
    bounds: ScalingBounds,
    zones: BTreeMap<String, ZoneState>,
    window: DemandWindow,
    /// Since when work is projected to wait for too long.
    late_since: Option<Milliseconds>,
    /// The number of servers was last ordered then.
    ordered_at: Option<Milliseconds>,
    /// No servers are taken away before.
    removal_hold_until: Milliseconds,
    /// Nothing is ordered for the sake of load before.
    refusal_hold_until: Milliseconds,
}

/// Plans the numbers of servers while this node is the head. Times are in milliseconds.
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

    /// When [`ScalingPlanner::plan`] has to be called next.
    pub fn next_wakeup(&self) -> Milliseconds {
        self.next_plan_at
    }

    /// Decisions that differ from what is desired so far. None is made twice.
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

    /// The platform will never take this order: what is there is what is desired.
    pub fn order_refused(&mut self, order: &ScalingOrder, now: Milliseconds) {
        let Some(state) = self.services.get_mut(&order.service) else { return };
        state.refusal_hold_until = now + REFUSAL_HOLD_MS;
        if let Some(zone) = state.zones.get_mut(&order.zone) {
            (zone.desired, zone.is_ordered) = (zone.available.max(zone.at_beginning), false);
        }
    }
}

impl ServiceState {
    fn new(bounds: ScalingBounds) -> ServiceState {
        ServiceState {
            bounds,
            zones: BTreeMap::new(),
            window: DemandWindow::default(),
            late_since: None,
            ordered_at: None,
            removal_hold_until: 0,
            refusal_hold_until: 0,
        }
    }

    /// Takes in the newest list and demand.
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
        if self.window.newest().is_some_and(|newest| now > newest.at + MAX_GAP_MS) {
            self.window.begin_anew();
        }
        let demand = input.demand.get(service).copied().unwrap_or_default();
        self.window.push(DemandSample { at: now, demand, slots });
    }

    fn hold_removals(&mut self, until: Milliseconds) {
        self.removal_hold_until = self.removal_hold_until.max(until);
    }

    /// Counts the servers in each zone. Returns the slots of all that take requests.
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
            zone.at_beginning = zone.at_beginning.max(zone.available);
            zone.desired = zone.desired.max(zone.available);
        }
        slots
    }

    /// More servers than were ordered, once orders have taken effect, are so by the will of somebody else.
    fn adopt_surplus(&mut self) {
        for zone in self.zones.values_mut() {
            zone.desired = zone.desired.max(zone.available);
        }
    }

    fn available(&self) -> u32 {
        self.zones.values().map(|zone| zone.available).sum()
    }

    /// Zones in which another number is desired from now on. `age_ms` says for how long this node has been the head.
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

    /// Time after which an order shows in the list.
    fn effect_ms(&self) -> Milliseconds {
        self.bounds.boot_ms.saturating_add(LIST_LAG_MS)
    }

    /// Whether an order was given so lately that it may not have taken effect.
    fn has_recent_order(&self, now: Milliseconds, within_ms: Milliseconds) -> bool {
        self.ordered_at.is_some_and(|at| now < at.saturating_add(within_ms))
    }

    /// Brings what is desired into the bounds. Too few servers count only where the bounds have changed under this head:
    /// else some have failed, and the platform knows of a higher number that an order would take back.
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

    /// Orders back what was taken away as soon as the rest is nearly full.
    fn restore_servers(&mut self, now: Milliseconds) -> Vec<String> {
        let is_nearly_full = |newest: &DemandSample| {
            f64::from(newest.demand.outstanding()) > f64::from(newest.slots) * RESTORING_UTILIZATION
        };
        let newest = self.window.newest().filter(|newest| newest.at == now);
        if !newest.is_some_and(is_nearly_full) {
            return Vec::new();
        }
        let bounds = self.bounds;
        let goal = |zone: &ZoneState| bounds.clamp(zone.at_beginning.max(zone.available));
        let reduced = self.zones.iter_mut().filter(|(_, zone)| zone.is_ordered && zone.desired < goal(zone));
        let restored = reduced.map(|(name, zone)| {
            zone.desired = goal(zone);
            name.clone()
        });
        restored.collect()
    }

    /// Adds servers where work can't be begun in time.
    fn add_servers(&mut self, now: Milliseconds) -> Vec<String> {
        let Some(growth) = self.wanted_growth(now) else { return Vec::new() };
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
                // A former head may have ordered more than are left of a zone that has lost some.
                let known = if zone.is_ordered { zone.desired } else { zone.desired.max(greatest) };
                zone.desired = self.bounds.clamp(known + 1);
                zone.is_ordered = true;
            }
            zones.insert(name);
        }
        zones.into_iter().collect()
    }

    /// How many times the servers that are there are needed, if they are too few.
    fn wanted_growth(&mut self, now: Milliseconds) -> Option<f64> {
        let newest = *self.window.newest().filter(|newest| newest.at == now && newest.slots > 0)?;
        let late = self.window.projected_wait_ms().filter(|wait_ms| *wait_ms > MAX_PROJECTED_WAIT_MS);
        if late.is_none() {
            self.late_since = None;
        } else {
            self.late_since.get_or_insert(now);
        }
        let is_confirmed = self.late_since.is_some_and(|since| now >= since + LATENESS_CONFIRMATION_MS);
        if let Some(wait_ms) = late.filter(|_| is_confirmed) {
            return Some((wait_ms / MAX_PROJECTED_WAIT_MS).min(MAX_GROWTH));
        }
        let excess = f64::from(newest.demand.outstanding()) / f64::from(newest.slots);
        self.window.is_piling_up(now).then(|| excess.clamp(MIN_PILE_UP_GROWTH, MAX_GROWTH))
    }

    /// The zone with the fewest servers, of those that have any and may have more. A zone without any is lost.
    fn smallest_growing_zone(&self) -> Option<String> {
        let growing =
            self.zones.iter().filter(|(_, zone)| zone.available > 0 && zone.desired < self.bounds.max_count);
        growing.min_by_key(|(_, zone)| zone.desired).map(|(name, _)| name.clone())
    }

    /// Takes one server away if the rest would have had room for the busiest moment.
    fn remove_server(&mut self, now: Milliseconds) -> Option<String> {
        let is_held = now < self.removal_hold_until || self.has_recent_order(now, REMOVAL_INTERVAL_MS);
        if is_held || !self.window.is_full(now) || !self.is_as_desired() || !self.has_spare_server() {
            return None;
        }
        let min_count = self.bounds.min_count;
        let (name, zone) =
            self.zones.iter_mut().rev().max_by_key(|(_, zone)| zone.desired).filter(|(_, zone)| {
                // The last server of a zone stays whatever the bounds.
                zone.desired > min_count.max(1)
            })?;
        (zone.desired, zone.is_ordered) = (zone.desired - 1, true);
        Some(name.clone())
    }

    /// Whether there are as many servers in each zone as are desired.
    fn is_as_desired(&self) -> bool {
        self.zones.values().all(|zone| zone.available == zone.desired)
    }

    /// The most that was to do at one time, within the time that counts for taking a server away: it is longer for those
    /// that were there at the beginning. None if nothing was to do yet.
    fn decisive_peak(&self) -> Option<u32> {
        let at_beginning: u32 = self.zones.values().map(|zone| zone.at_beginning).sum();
        let remembered = self.window.remembered_peak();
        let is_added = self.available() > at_beginning;
        (remembered > 0).then(|| if is_added { self.window.peak() } else { remembered })
    }

    /// Whether one server less would have had room for the busiest moment, and just enough without the largest zone, too.
    fn has_spare_server(&self) -> bool {
        let (Some(newest), available) = (self.window.newest(), self.available()) else { return false };
        if available < 2 {
            return false;
        }
        let slots_per_server = f64::from(newest.slots) / f64::from(available);
        let slots_left = |servers: u32| f64::from(servers) * slots_per_server;
        let Some(peak) = self.decisive_peak().map(f64::from) else { return false };
        let largest_zone = self.zones.values().map(|zone| zone.available).max().unwrap_or(0);
        let has_several_zones = self.zones.values().filter(|zone| zone.available > 0).count() > 1;
        let left = available - 1;
        let bears_loss = !has_several_zones || peak <= slots_left(left.saturating_sub(largest_zone));
        bears_loss && peak <= slots_left(left) * TARGET_UTILIZATION
    }
}
