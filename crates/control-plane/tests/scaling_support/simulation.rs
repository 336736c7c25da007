//! A service in closed loop: work arrives, servers run it, and a policy sets the number of servers, which boot and drain.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use orchidvalve_control_plane::load_summaries::ServiceDemand;
use orchidvalve_control_plane::scaling_planner::{ScalingInput, ScalingPlanner};
use orchidvalve_protocol::messages::ServerEntry;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{BOUNDS, SERVICE, SLOTS, ZONES, server};

const STEP_MS: u64 = 50;
const LIST_INTERVAL_MS: u64 = 1_000;
const REPORT_INTERVAL_MS: u64 = 500;
pub const START_COUNT: u32 = 12;

/// The policy that sets the number of servers in each zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Policy {
    Fixed(u32),
    Planned,
}

/// Work that arrives within one step: each item runs for about `run_ms` and is due after `due_ms`, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    pub items: u32,
    pub run_ms: u64,
    pub due_ms: u64,
}

/// The load and the disturbances of a run.
pub struct Shape {
    pub name: &'static str,
    /// Returns the work that arrives in the step that begins at the given time in ms.
    pub arrivals: fn(u64, &mut Pcg64Mcg) -> Vec<Arrivals>,
    /// Time span in ms during which the first zone is lost.
    pub lost: Option<(u64, u64)>,
    /// Period in ms of weight roll-outs; each takes the first quarter of its period.
    pub rollout_period_ms: Option<u64>,
    pub length_ms: u64,
}

/// Totals of a run: paid server time in seconds, scaling orders, items finished by their due time, and all other items.
#[derive(Clone, Copy, Default, Debug)]
pub struct Outcome {
    pub server_s: u64,
    pub orders: u32,
    pub served: u32,
    pub unserved: u32,
}

#[derive(Clone, Copy, Debug)]
struct Work {
    run_ms: u64,
    due_at: u64,
}

#[derive(Debug)]
struct SimulatedServer {
    number: u32,
    serves_from: u64,
    is_draining: bool,
    /// Items that are running, each with its completion time in ms.
    running: Vec<(u64, Work)>,
}

/// The servers of one zone.
#[derive(Debug)]
struct Zone {
    servers: Vec<SimulatedServer>,
    desired: u32,
    is_lost: bool,
}

pub struct Simulation<'a> {
    shape: &'a Shape,
    policy: Policy,
    planner: ScalingPlanner,
    random: Pcg64Mcg,
    now: u64,
    zones: Vec<Zone>,
    last_number: u32,
    queue: VecDeque<Work>,
    list: Vec<ServerEntry>,
    busiest: u32,
    demand: ServiceDemand,
    server_ms: u64,
    outcome: Outcome,
}

impl Simulation<'_> {
    pub fn run(shape: &Shape, policy: Policy) -> Outcome {
        let count = if let Policy::Fixed(count) = policy { count } else { START_COUNT };
        let zone = |_: &&str| Zone { servers: Vec::new(), desired: count, is_lost: false };
        let mut simulation = Simulation {
            shape,
            policy,
            planner: ScalingPlanner::default(),
            random: Pcg64Mcg::seed_from_u64(7),
            now: 0,
            zones: ZONES.iter().map(zone).collect(),
            last_number: 0,
            queue: VecDeque::new(),
            list: Vec::new(),
            busiest: 0,
            demand: ServiceDemand::default(),
            server_ms: 0,
            outcome: Outcome::default(),
        };
        simulation.set_counts(0);
        while simulation.now < shape.length_ms {
            simulation.step();
        }
        simulation.outcome.server_s = simulation.server_ms / 1_000;
        simulation.outcome
    }

    fn step(&mut self) {
        self.take_arrivals();
        self.finish_work();
        self.lose_zone();
        self.set_counts(BOUNDS.boot_ms);
        self.start_work();
        self.report();
        if self.policy == Policy::Planned && self.now >= self.planner.next_wakeup() {
            self.plan();
        }
        let paid: usize = self.zones.iter().map(|zone| zone.servers.len()).sum();
        self.server_ms += paid as u64 * STEP_MS;
        self.now += STEP_MS;
    }

    fn take_arrivals(&mut self) {
        for arrivals in (self.shape.arrivals)(self.now, &mut self.random) {
            for _ in 0..arrivals.items {
                let run_ms = self.random.random_range(arrivals.run_ms / 2..=arrivals.run_ms * 3 / 2);
                self.queue.push_back(Work { run_ms, due_at: self.now + arrivals.due_ms });
            }
        }
        self.queue.make_contiguous().sort_by_key(|work| work.due_at);
    }

    fn finish_work(&mut self) {
        let now = self.now;
        for zone in &mut self.zones {
            for server in &mut zone.servers {
                for (_, work) in server.running.extract_if(.., |(done_at, _)| *done_at <= now) {
                    if work.due_at >= now {
                        self.outcome.served += 1;
                    } else {
                        self.outcome.unserved += 1;
                    }
                }
            }
            zone.servers.retain(|server| !server.is_draining || !server.running.is_empty());
        }
    }

    /// Sets whether the first zone is lost; the work that ran in a lost zone is queued again.
    fn lose_zone(&mut self) {
        let is_lost = self.shape.lost.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let zone = &mut self.zones[0];
        zone.is_lost = is_lost;
        if is_lost {
            let broken = zone.servers.iter_mut().flat_map(|server| server.running.drain(..));
            self.queue.extend(broken.map(|(_, work)| work));
        }
    }

    /// Adds and drains servers until each zone has its desired count.
    fn set_counts(&mut self, boot_ms: u64) {
        for zone in &mut self.zones {
            let staying = zone.servers.iter().filter(|server| !server.is_draining).count() as u32;
            for _ in staying..zone.desired {
                self.last_number += 1;
                zone.servers.push(SimulatedServer {
                    number: self.last_number,
                    serves_from: self.now + boot_ms,
                    is_draining: false,
                    running: Vec::new(),
                });
            }
            let leaving = staying.saturating_sub(zone.desired) as usize;
            let latest = zone.servers.iter_mut().rev().filter(|server| !server.is_draining);
            latest.take(leaving).for_each(|server| server.is_draining = true);
        }
    }

    fn start_work(&mut self) {
        let now = self.now;
        while self.queue.front().is_some_and(|work| work.due_at < now) {
            self.queue.pop_front();
            self.outcome.unserved += 1;
        }
        let zones = self.zones.iter_mut().filter(|zone| !zone.is_lost);
        let serving = zones
            .flat_map(|zone| &mut zone.servers)
            .filter(|server| !server.is_draining && server.serves_from <= now);
        for server in serving {
            while server.running.len() < SLOTS as usize {
                let Some(work) = self.queue.pop_front() else { return };
                server.running.push((now + work.run_ms, work));
            }
        }
    }

    fn report(&mut self) {
        let servers = self.zones.iter().flat_map(|zone| &zone.servers);
        let running = servers.map(|server| server.running.len() as u32).sum();
        self.busiest = self.busiest.max(running);
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.demand = ServiceDemand { running: self.busiest, waiting: self.queue.len() as u32 };
            self.busiest = running;
        }
        if self.now.is_multiple_of(LIST_INTERVAL_MS) {
            self.list.clear();
            for (zone, name) in self.zones.iter().zip(ZONES).filter(|(zone, _)| !zone.is_lost) {
                let entry = |known: &SimulatedServer| {
                    let is_available = !known.is_draining && known.serves_from <= self.now;
                    server(name, known.number, is_available)
                };
                self.list.extend(zone.servers.iter().map(entry));
            }
        }
    }

    fn plan(&mut self) {
        let is_rolling = |period_ms: u64| self.now % period_ms < period_ms / 4;
        let rolling = self.shape.rollout_period_ms.is_some_and(is_rolling);
        let rolling_out: BTreeSet<String> = rolling.then(|| SERVICE.to_owned()).into_iter().collect();
        let orders = self.planner.plan(&ScalingInput {
            now: self.now,
            bounds: &BTreeMap::from([(SERVICE.to_owned(), BOUNDS)]),
            servers: &self.list,
            demand: &BTreeMap::from([(SERVICE.to_owned(), self.demand)]),
            is_demand_complete: true,
            rolling_out: &rolling_out,
            unconfirmed: &BTreeSet::new(),
        });
        for order in orders {
            assert!((BOUNDS.min_count..=BOUNDS.max_count).contains(&order.desired_count), "{order:?}");
            let index = ZONES.iter().position(|zone| *zone == order.zone).unwrap();
            self.zones[index].desired = order.desired_count;
            self.outcome.orders += 1;
        }
    }
}
