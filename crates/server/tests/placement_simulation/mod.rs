//! Simulation of stores placed by the real placement role of the control plane, in virtual time.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_batch_store::graceful_shutdown::GracefulShutdown;
use orchidvalve_control_plane::sessions::{Session, SessionTable};
use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{
    GatewayMessage, Handshake, ItemOutcome, Role, SessionMessage, StoreHealth, StoreResponse,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{Process, World, disk, job};

pub const STEP_MS: u64 = 50;
pub const STORES: usize = 4;
pub const COPIES: usize = 2;
pub const GATEWAY: u64 = 1;
/// Time from the loss of a process until control nodes end its session.
pub const DETECTION_MS: u64 = 950;
/// Time from the start of a process until it has a session.
pub const SESSION_MS: u64 = 150;
pub const GRACE_MS: u64 = 8_000;
/// Time without placements while the control chain has no head.
pub const HEADLESS_MS: u64 = 1_200;
pub const GATEWAY_HEARTBEAT_MS: u64 = 400;

/// The state of a store's node outside its process.
#[derive(Clone, Copy, Default, Debug)]
pub struct Machine {
    /// Time at which the process started or was lost.
    pub since: u64,
    pub returns_at: Option<u64>,
    pub wiped: bool,
    pub shutdown: Option<GracefulShutdown>,
    /// Start and end of a network partition from the control nodes. Gateways and other stores remain reachable.
    pub partitioned: Option<(u64, u64)>,
    /// Epoch of the latest placement that the store has received.
    pub known_epoch: u64,
}

/// A call without a response. `was_accepted` is whether the job had been accepted when the call was made.
#[derive(Clone, Debug)]
pub enum PendingCall {
    Submit { job: String, at: u64 },
    Read { job: String, after: u64, was_accepted: bool },
}

pub struct Simulation {
    pub random: Pcg64Mcg,
    pub world: World,
    pub machines: Vec<Machine>,
    pub roles: SingletonRoles,
    pub head_since: u64,
    pub state: ControlState,
    /// Number of reports that the control head has received.
    pub reports_received: usize,
    pub disks: u64,
    pub pending: BTreeMap<u64, PendingCall>,
    pub accepted: BTreeSet<String>,
    pub accepted_at: Vec<u64>,
    pub read: BTreeMap<(String, u64), ItemOutcome>,
    pub jobs: u64,
    pub next_heartbeat: u64,
}

pub fn new_roles(now: u64) -> SingletonRoles {
    let options = SingletonRoleOptions {
        name: "control".to_owned(),
        platform: None,
        lease_ms: 1_000,
        tolerance: COPIES - 1,
        ..SingletonRoleOptions::default()
    };
    let mut roles = SingletonRoles::new(options);
    roles.view_changed(now, 1, true, false);
    roles
}

impl Simulation {
    /// Creates an idle system whose partition is placed on the first two stores.
    pub fn new(seed: u64) -> Simulation {
        let mut world = World::new(STORES as u8, COPIES);
        world.gateway_connected(GATEWAY, 1);
        let members: Vec<MemberId> = world.stores[..COPIES].iter().map(|process| process.me).collect();
        let placement = Placement {
            epoch: 1,
            complete_replicas: members.clone(),
            members,
            copies: COPIES as u32,
            ..Placement::default()
        };
        let mut state = ControlState::default();
        state.apply(&Change::Place(vec![(0, placement)])).unwrap();
        for (number, process) in world.stores.iter().enumerate() {
            let (name, zone) = (format!("store-{number}"), format!("zone-{}", number % 2));
            state.apply(&Change::RegisterStore { name, zone, member: process.me }).unwrap();
        }
        let now = world.now;
        let mut simulation = Simulation {
            random: Pcg64Mcg::seed_from_u64(seed),
            machines: vec![Machine { since: now - 10_000, ..Machine::default() }; STORES],
            roles: new_roles(now - 10_000),
            head_since: now,
            state,
            reports_received: 0,
            disks: 1,
            pending: BTreeMap::new(),
            accepted: BTreeSet::new(),
            accepted_at: Vec::new(),
            read: BTreeMap::new(),
            jobs: 0,
            next_heartbeat: 0,
            world,
        };
        simulation.run_for(500);
        simulation
    }

    pub fn placement(&self) -> &Placement {
        &self.state.partitions()[0]
    }

    pub fn index_of(&self, member: MemberId) -> Option<usize> {
        self.world.stores.iter().position(|process| process.me == member)
    }

    pub fn session(&self, index: usize) -> Session {
        let member = self.world.stores[index].me;
        let handshake = Handshake {
            version: 1,
            role: Role::Store,
            name: format!("store-{index}"),
            zone: format!("zone-{}", index % 2),
            member,
            incarnation: self.machines[index].since,
            cpu_share: 1.0,
        };
        let draining = self.machines[index].shutdown.is_some();
        let health = StoreHealth { draining, capacity_bytes: 100, ..StoreHealth::default() };
        Session { health: Some(health), ..Session::new(&handshake) }
    }

    pub fn sessions(&self) -> SessionTable {
        let mut table = SessionTable::default();
        for (index, process) in self.world.stores.iter().enumerate() {
            let machine = &self.machines[index];
            let age = self.world.now - machine.since;
            let is_partitioned =
                machine.partitioned.is_some_and(|(from, _)| self.world.now >= from + DETECTION_MS);
            if !is_partitioned && if process.running { age >= SESSION_MS } else { age < DETECTION_MS } {
                table.open(self.session(index), self.world.now);
            }
        }
        table
    }

    /// Lets the control head process reports and place the partition.
    pub fn place(&mut self) {
        if self.world.now < self.head_since {
            return;
        }
        for message in &self.world.to_control[self.reports_received..] {
            if let SessionMessage::LearnerCaughtUp { partition, epoch, member } = message {
                self.roles.learner_caught_up(*partition, *epoch, *member);
            }
        }
        self.reports_received = self.world.to_control.len();
        let sessions = self.sessions();
        if let Some(change) = self.roles.place(self.world.now, &self.state, &sessions) {
            self.state.apply(&change).unwrap();
        }
    }

    /// Makes another control node the head after [`HEADLESS_MS`]. It has not received earlier reports.
    pub fn change_control_head(&mut self) {
        self.head_since = self.world.now + HEADLESS_MS;
        self.roles = new_roles(self.head_since);
        self.reports_received = self.world.to_control.len();
    }

    pub fn step(&mut self) {
        self.world.now += STEP_MS;
        self.place();
        for index in 0..STORES {
            self.run_store(index);
        }
        if self.world.now >= self.next_heartbeat {
            self.next_heartbeat = self.world.now + GATEWAY_HEARTBEAT_MS;
            for index in 0..STORES {
                self.world.send_to_store(
                    GATEWAY,
                    index,
                    GatewayMessage::Heartbeat { generation_capacity: 8 },
                );
            }
        }
        for _ in 0..4 {
            self.deliver();
        }
        self.check_responses();
        self.world.message_fault.seen.clear();
    }

    pub fn run_store(&mut self, index: usize) {
        let now = self.world.now;
        if !self.world.stores[index].running {
            if self.machines[index].returns_at.is_some_and(|at| at <= now) {
                self.start(index);
            }
            return;
        }
        self.machines[index].partitioned.take_if(|(_, until)| *until <= now);
        let machine = &self.machines[index];
        let has_session = machine.partitioned.is_none() && now >= machine.since + SESSION_MS;
        let placement = self.placement().clone();
        if has_session && self.machines[index].known_epoch < placement.epoch && self.random.random_bool(0.7) {
            self.machines[index].known_epoch = placement.epoch;
            self.world.place_at(index, &placement);
        }
        self.world.input(index, orchidvalve_batch_store::Store::tick);
        let me = self.world.stores[index].me;
        let shutdown = self.machines[index].shutdown;
        if shutdown.is_some_and(|shutdown| shutdown.is_complete(now, me, &self.state, has_session)) {
            self.crash(index, Some(1_000));
        }
    }

    pub fn deliver(&mut self) {
        let mut delayed = BTreeSet::new();
        for (from, to, message) in std::mem::take(&mut self.world.network) {
            if delayed.contains(&(from, to)) || self.random.random_bool(0.1) {
                delayed.insert((from, to));
                self.world.network.push((from, to, message));
            } else {
                self.world.deliver(from, to, message);
            }
        }
        for index in 0..STORES {
            if self.random.random_bool(0.8) {
                self.world.sync(index);
            }
        }
    }

    /// Simulates a power failure.
    pub fn crash(&mut self, index: usize, returns_after: Option<u64>) {
        let me = self.world.stores[index].me;
        self.world.network.retain(|(from, to, _)| *from != me && *to != me);
        self.world.stores[index].running = false;
        let returns_at = returns_after.map(|after| self.world.now + after);
        self.machines[index] = Machine { since: self.world.now, returns_at, ..Machine::default() };
    }

    pub fn start(&mut self, index: usize) {
        if self.machines[index].wiped {
            self.disks += 1;
            let renewed = disk(index as u8 + 1, self.disks);
            self.world.stores[index] = Process::start(renewed, Vec::new(), COPIES, self.disks);
        } else {
            self.world.restart(index);
        }
        self.machines[index] = Machine { since: self.world.now, ..Machine::default() };
        self.world.connect_gateway_to(GATEWAY, 1, index);
        let members: Vec<MemberId> = self.world.stores.iter().map(|process| process.me).collect();
        for other in 0..STORES {
            let (me, peer) = (members[index], members[other]);
            self.world.input(index, |store, now, outputs| store.peer_connected(peer, now, outputs));
            self.world.input(other, |store, now, outputs| store.peer_connected(me, now, outputs));
        }
    }

    pub fn partition(&mut self, index: usize, milliseconds: u64) {
        let now = self.world.now;
        self.machines[index].partitioned.get_or_insert((now, now + milliseconds));
    }

    /// Simulates SIGTERM.
    pub fn terminate(&mut self, index: usize) {
        if self.world.stores[index].running && self.machines[index].shutdown.is_none() {
            self.machines[index].shutdown = Some(GracefulShutdown::new(self.world.now, GRACE_MS));
        }
    }

    pub fn submit(&mut self) {
        self.jobs += 1;
        let id = format!("job-{}", self.jobs);
        let head = self.placement().members.first().and_then(|head| self.index_of(*head));
        let Some(head) = head else { return };
        let call = self.world.submit(GATEWAY, head, &id, job(&id, 1, 2, 1));
        self.pending.insert(call, PendingCall::Submit { job: id, at: self.world.now });
    }

    pub fn report(&mut self) {
        let assigned = &self.world.gateways[&GATEWAY].assigned;
        let recent = &assigned[assigned.len().saturating_sub(8)..];
        let Some((terms, group)) = recent.choose(&mut self.random).cloned() else { return };
        let Some(item) = group.items.choose(&mut self.random) else { return };
        for index in 0..STORES {
            self.world.report(GATEWAY, index, &terms.job, &[&item.id]);
        }
    }

    pub fn read_some(&mut self, index: usize) {
        if self.jobs > 0 {
            let id = format!("job-{}", self.random.random_range(1..=self.jobs));
            let after = self.random.random_range(0..2);
            self.read(index, id, after);
        }
    }

    pub fn read(&mut self, index: usize, job: String, after: u64) -> u64 {
        let was_accepted = self.accepted.contains(&job);
        let call = self.world.read(GATEWAY, index, &job, after, 0);
        self.pending.insert(call, PendingCall::Read { job, after, was_accepted });
        call
    }

    pub fn check_responses(&mut self) {
        let responses = std::mem::take(&mut self.world.gateways.get_mut(&GATEWAY).unwrap().responses);
        for (call, response) in responses {
            match (self.pending.remove(&call), response) {
                (Some(PendingCall::Submit { job, at }), StoreResponse::Accepted) => {
                    self.accepted.insert(job);
                    self.accepted_at.push(at);
                }
                (Some(PendingCall::Read { job, was_accepted, .. }), StoreResponse::NotFound) => {
                    assert!(!was_accepted, "{job} was lost: {:?}", self.placement());
                }
                (Some(PendingCall::Read { job, after, .. }), StoreResponse::Results { outcomes, .. }) => {
                    self.check_results(&job, after, outcomes);
                }
                _ => {}
            }
        }
    }

    pub fn check_results(&mut self, job: &str, after: u64, outcomes: Vec<ItemOutcome>) {
        for (position, outcome) in (after..).zip(outcomes) {
            let recorded = self.read.entry((job.to_owned(), position)).or_insert_with(|| outcome.clone());
            assert_eq!(*recorded, outcome, "position {position} of {job} changed");
        }
    }

    pub fn generate_traffic(&mut self) {
        if self.random.random_bool(0.2) {
            self.submit();
        }
        if self.random.random_bool(0.4) {
            self.report();
        }
        if self.random.random_bool(0.4) {
            let index = self.random.random_range(0..STORES);
            self.read_some(index);
        }
    }

    pub fn run_for(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / STEP_MS {
            self.generate_traffic();
            self.step();
        }
    }

    /// Runs until the condition holds. Returns the elapsed time.
    pub fn run_until(&mut self, limit: u64, mut condition: impl FnMut(&Simulation) -> bool) -> u64 {
        let started_at = self.world.now;
        while !condition(self) {
            assert!(self.world.now < started_at + limit, "not within {limit} ms: {:?}", self.placement());
            self.generate_traffic();
            self.step();
        }
        self.world.now - started_at
    }

    pub fn is_fully_replicated(&self) -> bool {
        let placement = self.placement();
        placement.members.len() == COPIES && placement.learners.is_empty()
    }

    /// Returns the time until a job is accepted that was submitted from now on.
    pub fn time_to_acceptance(&mut self, limit: u64) -> u64 {
        let started_at = self.world.now;
        self.run_until(limit, |simulation| simulation.accepted_at.last().is_some_and(|at| *at >= started_at))
    }

    /// Returns the store index of the member at a position of the chain.
    pub fn member(&self, position: usize) -> usize {
        self.index_of(self.placement().members[position]).unwrap()
    }

    /// Checks that all members return the same results of every accepted job, including all results read before.
    pub fn check_final_state(&mut self) {
        for index in 0..STORES {
            if !self.world.stores[index].running && self.machines[index].returns_at.is_none() {
                self.start(index);
            }
        }
        self.run_until(30_000, |simulation| {
            let all_run = simulation.world.stores.iter().all(|process| process.running);
            let none_drains = simulation.machines.iter().all(|machine| machine.shutdown.is_none());
            all_run && none_drains && simulation.is_fully_replicated()
        });
        for _ in 0..60 {
            self.step();
        }
        for id in self.accepted.clone() {
            let calls: Vec<u64> =
                (0..COPIES).map(|position| self.read(self.member(position), id.clone(), 0)).collect();
            self.world.run();
            let responses: Vec<StoreResponse> =
                calls.iter().filter_map(|call| self.world.response(GATEWAY, *call).cloned()).collect();
            assert!(matches!(responses[0], StoreResponse::Results { .. }), "{id}: {responses:?}");
            assert!(responses.iter().all(|response| *response == responses[0]), "{id}: {responses:?}");
            self.check_responses();
        }
    }
}

impl Simulation {
    /// Forgets all expectations. Returns the jobs that were accepted.
    pub fn take_accepted(&mut self) -> BTreeSet<String> {
        self.read.clear();
        self.pending.clear();
        std::mem::take(&mut self.accepted)
    }

    /// Sometimes crashes or terminates a process, partitions it from the control nodes, or replaces the control head.
    pub fn inject_random_fault(&mut self) {
        let index = self.random.random_range(0..STORES);
        match self.random.random_range(0..100) {
            0..8 if self.world.stores[index].running => self.crash_randomly(index),
            8..10 => self.change_control_head(),
            10..13 => self.terminate(index),
            13..16 => self.partition(index, 3_000),
            _ => {}
        }
    }

    /// Crashes a process for a while. Its disk may be lost as well if another node holds everything.
    pub fn crash_randomly(&mut self, index: usize) {
        let away = self.random.random_range(1..80) * STEP_MS;
        let me = self.world.stores[index].me;
        let keeps = |replica: &&MemberId| **replica != me && self.index_of(**replica).is_some();
        let is_held_elsewhere = self.placement().complete_replicas.iter().any(|replica| keeps(&replica));
        let another_is_wiped = self.machines.iter().any(|machine| machine.wiped);
        let wiped = is_held_elsewhere && !another_is_wiped && self.random.random_bool(0.4);
        self.crash(index, Some(away));
        self.machines[index].wiped = wiped;
    }
}
