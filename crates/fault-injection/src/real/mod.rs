//! Runs a scenario with real processes: front nodes are processes; stores, discovery and clients are threads of this
//! process, on the loopback interface. Everything that was started ends with the run, even if the run fails.

mod clients;
mod exchange;
mod front_nodes;
mod stub_store;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use orchidvalve_test_store::discovery::{Behavior, DiscoveryAgent};
use serde_json::{Value, json};

use crate::discovery::{ListedStore, Phase};
use crate::error::RunError;
use crate::injector::{FaultInjector, FaultTarget};
use crate::invariants::{Event, InvariantChecker};
use crate::load::PlannedQuery;
use crate::report::{Report, RunFacts, report};
use crate::scenario::Scenario;
use crate::timeline::{Condition, Timeline};
use crate::{MS, Nanos, SECOND, store_name};
use clients::Clients;
use front_nodes::{FrontNodes, Setup};
use stub_store::StubStore;

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All events of a run, in the order of their times.
pub struct EventLog {
    began: Instant,
    unix_ms: i64,
    events: Mutex<Vec<(Nanos, Event)>>,
}

impl EventLog {
    fn start() -> EventLog {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        EventLog { began: Instant::now(), unix_ms: unix.as_millis() as i64, events: Mutex::default() }
    }

    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    fn observe(&self, event: Event) -> Nanos {
        let mut events = locked(&self.events);
        let at = self.now();
        events.push((at, event));
        at
    }

    /// Runs the invariant checker over all events, which are removed, and returns its results.
    fn facts(&self, scenario: &Scenario, begins: Nanos) -> RunFacts {
        let events = std::mem::take(&mut *locked(&self.events));
        let mut checker = InvariantChecker::new(scenario);
        let (mut attempts, mut shard_requests) = (0, 0);
        for (at, event) in &events {
            match event {
                Event::AttemptReceived { .. } => attempts += 1,
                Event::QuerySent { shards, .. } => shard_requests += shards.len() as u64,
                _ => {}
            }
            checker.observe(*at, event);
        }
        let events = checker.events();
        let mut violations = checker.end(self.now());
        violations.iter_mut().for_each(|violation| violation.at_ms -= begins / MS);
        let (seed, crashed, broken_off) = (0, Vec::new(), None);
        RunFacts { seed, attempts, shard_requests, events, crashed, violations, broken_off }
    }
}

/// Reports the progress of a run: the elapsed time and the total time, in nanoseconds.
pub type Progress<'a> = &'a mut dyn FnMut(Nanos, Nanos);

/// Interval of the fault injector's rounds.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time after the last client's deadline in which the last responses are received.
const SETTLING_TIME: Nanos = 200 * MS;
/// The longest time that a run waits for maintenance in progress after [`SETTLING_TIME`].
const MAX_MAINTENANCE_WAIT: Nanos = 20 * SECOND;
/// The maximum number of front nodes that run as processes on one machine.
const MAX_FRONT_NODES: usize = 64;

/// How front nodes are started.
#[derive(Clone, Copy)]
pub struct Program<'a> {
    /// Path of the front node's executable.
    pub path: &'a Path,
    /// Arguments before the path of the configuration.
    pub args: &'a [&'a str],
    /// Directory for the files of the front nodes.
    pub dir: &'a Path,
}

/// The processes and threads of a run on this machine.
struct World<'a> {
    scenario: &'a Scenario,
    log: Arc<EventLog>,
    stores: Vec<Arc<StubStore>>,
    discovery: DiscoveryAgent,
    front_nodes: FrontNodes,
}

/// Runs a scenario with the given load. Setting `stop` ends the run early.
///
/// # Errors
///
/// Returns an error if the scenario is invalid, or if a component of the test bed cannot be started.
pub fn play(
    scenario: &Scenario,
    (seed, planned): (u64, Vec<PlannedQuery>),
    program: Program,
    stop: &AtomicBool,
    progress: Progress,
) -> Result<Report, RunError> {
    if scenario.front_nodes > MAX_FRONT_NODES {
        return Err(RunError::TooManyFrontNodes { most: MAX_FRONT_NODES });
    }
    let timeline = Timeline::new(scenario, seed)?;
    let faults = timeline.events().to_vec();
    let mut injector = FaultInjector::new(scenario, timeline, Nanos::MAX);
    let log = Arc::new(EventLog::start());
    let mut world = World::start(scenario, seed, program, injector.list(), &log)?;
    world.front_nodes.wait_ready(stop)?;
    // The time of the run starts here.
    let begins = log.now();
    injector.begin(begins);
    let clients = Clients::start(scenario, log.clone(), world.front_nodes.addresses(), planned, begins);
    let lasts = scenario.duration();
    let end = begins + lasts + scenario.longest_deadline() + SETTLING_TIME;
    let mut broken_off = None;
    loop {
        let now = log.now();
        if stop.load(Relaxed) {
            broken_off = Some(RunError::Stopped.to_string());
            break;
        }
        if now >= end && (!injector.is_busy() || now >= end + MAX_MAINTENANCE_WAIT) {
            break;
        }
        injector.round(&mut world)?;
        clients.set_front_nodes(world.front_nodes.addresses());
        progress((now - begins).clamp(0, lasts), lasts);
        std::thread::sleep(POLL_INTERVAL);
    }
    let statistics = clients.end();
    let crashed = world.front_nodes.crashed();
    world.front_nodes.end();
    world.stores.iter().for_each(|store| store.end());
    let facts = log.facts(scenario, begins);
    Ok(report(scenario, &faults, &statistics, RunFacts { seed, crashed, broken_off, ..facts }))
}

impl<'a> World<'a> {
    fn start(
        scenario: &'a Scenario,
        seed: u64,
        program: Program,
        list: &BTreeMap<String, ListedStore>,
        log: &Arc<EventLog>,
    ) -> Result<World<'a>, RunError> {
        std::fs::create_dir_all(program.dir).map_err(RunError::file(program.dir))?;
        let mut stores = Vec::new();
        for n in 0..scenario.stores.count() {
            let store = StubStore::start(store_name(n), scenario, seed.wrapping_add(n as u64), log.clone());
            stores.push(store.map_err(RunError::start(format!("store {n}")))?);
        }
        let members = members(scenario, &stores, list, log);
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let discovery = DiscoveryAgent::start(any, members.clone()).map_err(RunError::start("discovery"))?;
        let setup = Setup { scenario, seed, program, discovery: discovery.address, members };
        let front_nodes = FrontNodes::start(&setup)?;
        Ok(World { scenario, log: log.clone(), stores, discovery, front_nodes })
    }
}

fn members(
    scenario: &Scenario,
    stores: &[Arc<StubStore>],
    list: &BTreeMap<String, ListedStore>,
    log: &EventLog,
) -> Value {
    let member = |(name, l): (&String, &ListedStore)| {
        let phase = if l.phase == Phase::Up { "up" } else { "draining" };
        json!({"id": name, "host_port": stores[l.store].address.to_string(), "locality": scenario.stores.zone(l.store),
               "flavor": "stand-in", "cell": scenario.stores.cell(l.store), "phase": phase, "size": 1.0,
               "up_since_ms": l.started_at.map_or(0, |at| log.unix_ms + at / MS)})
    };
    list.iter().map(member).collect()
}

impl FaultTarget for World<'_> {
    fn now(&self) -> Nanos {
        self.log.now()
    }
    fn observe(&mut self, event: Event) {
        self.log.observe(event);
    }
    fn set_condition(&mut self, store: usize, condition: Condition) {
        self.stores[store].set_condition(condition);
    }
    fn stop_store(&mut self, store: usize) {
        self.stores[store].stop();
    }
    fn start_store(&mut self, store: usize, name: String) -> Nanos {
        self.stores[store].start_again(name)
    }
    fn publish_list(&mut self, list: &BTreeMap<String, ListedStore>) {
        self.discovery.publish(members(self.scenario, &self.stores, list, &self.log));
    }
    fn set_discovery_unresponsive(&mut self, unresponsive: bool) {
        self.discovery.set_behavior(if unresponsive { Behavior::Silent } else { Behavior::Normal });
    }
    fn kill_front_node(&mut self, index: usize) {
        self.front_nodes.kill(index);
    }
    fn restart_front_node(&mut self, index: usize) -> Result<(), RunError> {
        self.front_nodes.restart(index)
    }
    fn reload_front_node(&mut self, index: usize) {
        self.front_nodes.reload(index);
    }
    fn partition_front_nodes(&mut self, first: Option<usize>) {
        self.front_nodes.partition(first);
    }
    fn request_maintenance(&mut self, machine: &str, lasts: Nanos) -> bool {
        self.front_nodes.request_maintenance(machine, lasts)
    }
    fn is_under_maintenance(&mut self, machine: &str) -> bool {
        self.front_nodes.is_under_maintenance(machine)
    }
}
