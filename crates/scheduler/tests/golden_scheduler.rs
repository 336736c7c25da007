//! Decisions of the scheduler in random scenarios, compared by their hashes.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_scheduler::{
    Decision, Eligibility, GenerationId, GroupKey, GroupSpec, HedgeBudget, LatencyWindow, LoadIndex, PoolKey,
    Priority, RouteKey, Scheduler,
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

const SCENARIOS: u64 = 24;
const STEPS: u32 = 600;
const SERVERS: u32 = 12;
const POOLS: u32 = 2;
const ROUTES: u32 = 3;

fn golden(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Ejected servers, and generations that may run only on some of the servers or only once.
#[derive(Default)]
struct Host {
    ejected: BTreeSet<u32>,
}

impl Eligibility<u32> for Host {
    fn eligible(&self, generation: GenerationId, server: u32) -> bool {
        !self.ejected.contains(&server) && (!generation.group.0.is_multiple_of(3) || server.is_multiple_of(2))
    }

    fn eligibility_class(&self, generation: GenerationId) -> Option<u64> {
        (generation.group.0 % 4 != 1).then_some(u64::from(generation.group.0.is_multiple_of(3)))
    }

    fn is_idempotent(&self, generation: GenerationId) -> bool {
        generation.group.0 % 5 != 2
    }
}

struct Scenario {
    scheduler: Scheduler<u32>,
    host: Host,
    random: Pcg64Mcg,
    now: u64,
    next_group: u32,
    open: BTreeMap<u32, u32>,
    in_flight: BTreeSet<(GenerationId, u32)>,
    trace: Trace,
    kinds: [usize; 3],
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let random = Pcg64Mcg::new(u128::from(seed) << 64 | 0x5eed);
        let scheduler = Scheduler::new(Pcg64Mcg::new(u128::from(seed) + 1));
        let (host, open, in_flight, trace, kinds) = Default::default();
        let mut scenario =
            Scenario { scheduler, host, random, now: 1_000, next_group: 1, open, in_flight, trace, kinds };
        (0..SERVERS).for_each(|server| scenario.set_server(server));
        scenario
    }

    fn set_server(&mut self, server: u32) {
        let pool = server % POOLS;
        let limit = self.random.random_range(0..6);
        self.scheduler.set_server(server, PoolKey(pool), limit);
    }

    fn add_group(&mut self) {
        let key = self.next_group;
        self.next_group += 1;
        let route = self.random.random_range(0..ROUTES);
        let generations = self.random.random_range(1..20);
        let spec = GroupSpec {
            key: GroupKey(key),
            priority: Priority {
                due_at: self.now + self.random.random_range(0..3_000),
                group_index: self.random.random_range(0..4),
            },
            pool: PoolKey(route % POOLS),
            route: RouteKey(route),
            target_run_ms: 400 * u64::from(route + 1),
            generations,
        };
        self.open.insert(key, generations);
        self.scheduler.add_group(&spec);
    }

    fn random_attempt(&mut self) -> Option<(GenerationId, u32)> {
        if self.in_flight.is_empty() {
            return None;
        }
        let position = self.random.random_range(0..self.in_flight.len());
        self.in_flight.iter().nth(position).copied()
    }

    fn apply(&mut self, decisions: Vec<Decision<u32>>) {
        for decision in decisions {
            let (kind, generation, server) = match decision {
                Decision::Start { generation, server } => (1, generation, server),
                Decision::Hedge { generation, server } => (2, generation, server),
                Decision::Cancel { generation, server } => (3, generation, server),
            };
            self.kinds[kind - 1] += 1;
            if kind == 3 {
                self.in_flight.remove(&(generation, server));
            } else {
                assert!(self.in_flight.insert((generation, server)));
            }
            let numbers = [kind as u64, self.now, generation.group.0.into(), generation.index.into()];
            numbers.into_iter().for_each(|number| self.trace.add_number(number));
            self.trace.add_number(server.into());
        }
    }

    fn step(&mut self) {
        self.now += self.random.random_range(0..40);
        let mut out = Vec::new();
        match self.random.random_range(0..100) {
            0..8 => self.add_group(),
            8..50 => {
                if let Some((generation, server)) = self.random_attempt() {
                    self.in_flight.remove(&(generation, server));
                    self.scheduler.finished(self.now, generation, server, &mut out);
                }
            }
            50..62 => {
                if let Some((generation, server)) = self.random_attempt() {
                    self.in_flight.remove(&(generation, server));
                    self.scheduler.failed(generation, server);
                }
            }
            62..66 => {
                let group = self.random.random_range(1..self.next_group + 1);
                let index = self.random.random_range(0..20);
                self.scheduler.settle(GenerationId { group: GroupKey(group), index }, &mut out);
            }
            66..68 => {
                let group = self.random.random_range(1..self.next_group + 1);
                self.open.remove(&group);
                self.scheduler.remove_group(GroupKey(group), &mut out);
            }
            68..74 => {
                let server = self.random.random_range(0..SERVERS);
                self.set_server(server);
            }
            74..76 => {
                let server = self.random.random_range(0..SERVERS);
                self.scheduler.remove_server(server);
            }
            76..80 => {
                let server = self.random.random_range(0..SERVERS);
                if !self.host.ejected.remove(&server) {
                    self.host.ejected.insert(server);
                }
            }
            _ => self.now += self.random.random_range(0..400),
        }
        self.apply(std::mem::take(&mut out));
        self.scheduler.dispatch(self.now, &self.host, &mut out);
        self.apply(out);
        self.record_state();
    }

    /// Adds the observable state of the scheduler to the trace.
    fn record_state(&mut self) {
        self.trace.add_number(self.scheduler.next_wakeup(self.now).unwrap_or(u64::MAX));
        self.trace.add_number(self.scheduler.has_pending().into());
        for route in 0..ROUTES {
            self.trace.add_number(self.scheduler.hedge_delay_ms(RouteKey(route)).unwrap_or(u64::MAX));
        }
        for server in 0..SERVERS {
            self.trace.add_number(self.scheduler.in_flight(server).into());
        }
        if let Some((generation, _)) = self.in_flight.first() {
            for server in self.scheduler.servers(*generation) {
                self.trace.add_number(server.into());
            }
        }
    }
}

#[test]
fn decisions_match_the_recorded_ones() {
    let mut hashes = Vec::new();
    let mut kinds = [0; 3];
    for seed in 0..SCENARIOS {
        let mut scenario = Scenario::new(seed);
        (0..STEPS).for_each(|_| scenario.step());
        kinds.iter_mut().zip(scenario.kinds).for_each(|(sum, count)| *sum += count);
        hashes.push((format!("day-{seed}"), scenario.trace.finish()));
    }
    assert!(kinds.iter().all(|count| *count > 50), "{kinds:?}");
    check_hashes(&golden("scheduler.txt"), &hashes);
}

#[test]
fn picked_servers_match_the_recorded_ones() {
    let mut hashes = Vec::new();
    for seed in 0..6_u64 {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 64 | 7);
        let mut ties = Pcg64Mcg::new(u128::from(seed) + 3);
        let mut index = LoadIndex::default();
        let mut trace = Trace::new();
        for _ in 0..500 {
            let server = random.random_range(0..9_u32);
            match random.random_range(0..10) {
                0..2 => index.set(server, random.random_range(0..5), random.random(), &mut ties),
                2 => index.remove(server),
                3..7 => index.begin(server, &mut ties),
                _ => index.end(server, &mut ties),
            }
            let odd = |server: u32| server % 2 == 1;
            let picked =
                [index.pick(|_| true), index.pick(odd), index.pick_idle(|_| true), index.pick_idle(odd)];
            picked.into_iter().for_each(|server| trace.add_number(server.map_or(u64::MAX, u64::from)));
            trace.add_number(index.in_flight(server).into());
            trace.add_number(index.has_idle().into());
            trace.add_number(index.has_capacity().into());
            trace.add_number((0..10).filter(|count| index.more_eligible_than(*count, odd)).count() as u64);
        }
        hashes.push((format!("order-{seed}"), trace.finish()));
    }
    check_hashes(&golden("load.txt"), &hashes);
}

#[test]
fn budgets_and_delays_match_the_recorded_ones() {
    let mut hashes = Vec::new();
    for seed in 0..4_u64 {
        let mut random = Pcg64Mcg::new(u128::from(seed) << 64 | 11);
        let mut budget = HedgeBudget::default();
        let mut latencies = LatencyWindow::new(4_000, [50, 90, 99, 100][seed as usize]);
        let mut trace = Trace::new();
        let mut now = 500;
        for step in 0..2_000 {
            now += random.random_range(0..300);
            match random.random_range(0..12) {
                0 => budget.record_hedge(now),
                1 => now += random.random_range(0..20_000),
                _ => budget.record_first_attempt(now),
            }
            if step % 700 == 0 {
                latencies.set_target_run_ms(random.random_range(100..9_000));
            }
            if random.random_ratio(1, 8) {
                latencies.record(random.random_range(5..3_000));
            }
            trace.add_number(budget.allows_hedge(now).into());
            trace.add_number(
                (0..9).filter(|reserve| budget.allows_reserved_hedge(now, *reserve)).count() as u64
            );
            trace.add_number(latencies.hedge_delay_ms());
        }
        hashes.push((format!("span-{seed}"), trace.finish()));
    }
    check_hashes(&golden("budget.txt"), &hashes);
}
