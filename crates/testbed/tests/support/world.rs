//! A simulation of a trainer, the minimal system and the invariant checker in virtual time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{Ipv4Addr, SocketAddrV4};

use orchidvalve_golden::Trace;
use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{CallTag, Caller, Effects, Notice, Outcome};
use orchidvalve_testbed::http::parse_request;
use orchidvalve_testbed::invariants::{InvariantBounds, InvariantChecker, Violation};
use orchidvalve_testbed::observation::Observation;
use orchidvalve_testbed::server_fault::ServerFault;
use orchidvalve_testbed::trainer::{
    BatchSettings, ItemSettings, ReviewTimes, StepSettings, Trainer, TrainerSettings, TrainerStats,
};

use super::recording::{add_effects, add_observation};
use super::reference::Reference;

const RUN_MS: u64 = 20_000;
const STEP_LIMIT: usize = 200_000;
/// Round-trip time of a call, in milliseconds.
const CALL_MS: u64 = 2;

pub fn settings() -> TrainerSettings {
    TrainerSettings {
        name: "trainer".to_owned(),
        zone: "north".to_owned(),
        host: "h.example".to_owned(),
        keys: Vec::new(),
        model: "alpha".to_owned(),
        steps: StepSettings { from: 1_000, until: RUN_MS, interval_ms: 3_000, train_ms: 300, steps_ahead: 2 },
        batch: BatchSettings {
            groups: 10,
            group_size: 4,
            required_groups: 8,
            carry_over: false,
            version_lag: 3,
            single_version: false,
            max_attempts: 3,
            max_queue_ms: 40_000,
            target_run_ms: 6_000,
            deadline_ms: 8_000,
        },
        items: ItemSettings {
            path_prefix: "/lots/".to_owned(),
            prompt_tokens: 16,
            shared_tokens: 255,
            max_events: 12,
            stride: 50,
            body_bytes: 60,
            reward_host: "h.example".to_owned(),
            reward_prefix: "/plain/".to_owned(),
        },
        review: ReviewTimes { from: RUN_MS + 10_000, until: RUN_MS + 20_000 },
        seed: 4,
    }
}

struct World {
    trainer: Trainer,
    reference: Reference,
    checker: InvariantChecker,
    directory: Directory,
    now: u64,
    /// Outcomes that have not reached the trainer yet.
    outcomes: Vec<(u64, CallTag, Outcome)>,
    trace: Trace,
    observations: Vec<(u64, Observation)>,
}

/// Result of a run.
pub struct SimulationResult {
    pub stats: TrainerStats,
    pub violations: Vec<Violation>,
    /// Hash of all actions of the trainer and the servers.
    pub hash: u64,
    /// All observations with their times.
    pub observations: Vec<(u64, Observation)>,
}

impl World {
    fn take(&mut self, out: Effects) {
        add_effects(&mut self.trace, self.now, &out);
        for notice in out.notices {
            if let Notice::VersionAnnounced { model, version } = notice {
                self.reference.models.iter_mut().for_each(|server| server.announce_version(&model, version));
            }
        }
        for seen in out.observations {
            self.observe(seen);
        }
        for call in out.calls {
            let (request, _) = parse_request(&call.bytes).unwrap().unwrap();
            let outcome =
                self.reference.call(self.now, &request).map_or(Outcome::TimedOut, Outcome::Response);
            self.outcomes.push((self.now + CALL_MS, call.tag, outcome));
        }
        self.take_observations();
    }

    fn take_observations(&mut self) {
        for seen in std::mem::take(&mut self.reference.observations) {
            add_observation(&mut self.trace, &seen);
            self.observe(seen);
        }
    }

    fn observe(&mut self, seen: Observation) {
        self.checker.observe(self.now, &seen);
        self.observations.push((self.now, seen));
    }

    /// Handles everything that is due at the current time.
    fn step(&mut self) {
        self.reference.wake(self.now);
        self.take_observations();
        let due: Vec<(u64, CallTag, Outcome)> =
            self.outcomes.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, tag, outcome) in due {
            let mut out = Effects::default();
            self.trainer.call_ended(self.now, tag, outcome, &mut self.directory, &mut out);
            self.take(out);
        }
        if self.trainer.next_wake().is_some_and(|at| at <= self.now) {
            let mut out = Effects::default();
            self.trainer.wake(self.now, &mut self.directory, &mut out);
            self.take(out);
        }
    }

    fn next(&self) -> Option<u64> {
        let outcomes = self.outcomes.iter().map(|(at, ..)| *at).min();
        let soonest =
            [self.reference.next_wake(), outcomes, self.trainer.next_wake()].into_iter().flatten().min();
        soonest.map(|at| at.max(self.now + 1))
    }
}

/// Runs a simulation in which a stream breaks every half second.
pub fn simulate(settings: TrainerSettings, mut reference: Reference) -> SimulationResult {
    let checker = InvariantChecker::new(InvariantBounds::default());
    let servers = reference.servers();
    reference.observations.clear();
    let (trainer, stats) = Trainer::new(settings);
    let mut directory = Directory::default();
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    directory.add_gateway(address, address, "north");
    directory.control_nodes.push(address);
    let outcomes = Vec::new();
    let (trace, observations) = Default::default();
    let mut world = World { trainer, reference, checker, directory, now: 0, outcomes, trace, observations };
    for (server, service) in servers {
        world.observe(Observation::ServerStarted { server, service });
    }
    let mut next_break = 0;
    for _ in 0..STEP_LIMIT {
        let Some(next) = world.next() else { break };
        world.now = next;
        if world.now >= next_break {
            next_break = world.now + 500;
            let mut out = Effects::default();
            world.reference.models[0].inject(ServerFault::BreakStream { after_events: 2 }, &mut out);
        }
        world.step();
        if stats.borrow().is_done {
            break;
        }
    }
    let violations = world.checker.finish().to_vec();
    let stats = stats.borrow().clone();
    assert!(stats.is_done, "the run ends");
    SimulationResult { stats, violations, hash: world.trace.finish(), observations: world.observations }
}
