//! Random runs of three stores and two gateways with power failures, lost links and changing placements.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use orchidvalve_batch_store::PeerMessage;
use orchidvalve_control_state::Placement;
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{ItemOutcome, SessionMessage, StoreResponse};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{Process, World, disk, job};

pub const STEPS: usize = 2_500;
pub const GATEWAYS: u64 = 2;
pub const GROUPS: usize = 3;
pub const PER_GROUP: usize = 2;

#[derive(Clone, Debug)]
pub enum PendingCall {
    Submit {
        job: String,
    },
    /// Before this call, `known` results from `after` on had been read.
    Read {
        job: String,
        after: u64,
        known: usize,
    },
    End {
        job: String,
    },
    Body {
        job: String,
    },
}

pub struct Simulation {
    pub random: Pcg64Mcg,
    pub world: World,
    pub placement: Placement,
    /// Members that hold all committed entries.
    pub complete_members: BTreeSet<MemberId>,
    pub disks: u64,
    /// Calls without a response, and whether their job had been accepted when they were made.
    pub pending: BTreeMap<u64, (PendingCall, bool)>,
    pub jobs: Vec<String>,
    pub accepted: BTreeSet<String>,
    pub ended: BTreeSet<String>,
    /// Jobs of which at least one submission was not rejected.
    pub not_rejected: BTreeSet<String>,
    /// The result read at each position of a job.
    pub read: BTreeMap<(String, u64), ItemOutcome>,
    pub reads: usize,
    /// Whether the run is ending: no more members leave.
    pub ending: bool,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut world = World::placed(3, 2);
        for gateway in 1..=GATEWAYS {
            world.gateway_connected(gateway, 1);
        }
        let members: Vec<MemberId> = world.stores.iter().map(|process| process.me).collect();
        Simulation {
            random: Pcg64Mcg::seed_from_u64(seed),
            world,
            complete_members: members.iter().copied().collect(),
            placement: Placement { epoch: 1, members, learners: Vec::new(), ..Placement::default() },
            disks: 1,
            pending: BTreeMap::new(),
            jobs: Vec::new(),
            accepted: BTreeSet::new(),
            ended: BTreeSet::new(),
            not_rejected: BTreeSet::new(),
            read: BTreeMap::new(),
            reads: 0,
            ending: false,
        }
    }

    pub fn step(&mut self) {
        let index = self.random.random_range(0..3);
        let gateway = self.random.random_range(1..=GATEWAYS);
        match self.random.random_range(0..1000) {
            0..60 => self.submit(gateway, index),
            60..200 => self.report(gateway, index),
            200..290 => self.read(gateway, index),
            290..320 => self.body(gateway, index),
            320..335 => self.end(gateway, index),
            335..700 => self.deliver(),
            700..850 => {
                self.world.sync(index);
            }
            850..950 => self.tick(index),
            950..960 => self.reconnect_peers(index),
            960..970 => self.restart(index),
            970..976 => self.wipe(index),
            976..990 => self.change_placement(),
            _ => self.update_placement(index),
        }
        self.check_responses();
    }

    pub fn submit(&mut self, gateway: u64, index: usize) {
        if self.jobs.len() < 12 && self.random.random_bool(0.5) {
            self.jobs.push(format!("job-{}", self.jobs.len()));
        }
        let Some(id) = self.jobs.choose(&mut self.random).cloned() else { return };
        let document = job(&id, GROUPS, PER_GROUP, 2);
        let call = self.world.submit(gateway, index, &id, document);
        self.track_call(call, &id.clone(), PendingCall::Submit { job: id });
    }

    pub fn track_call(&mut self, call: u64, id: &str, pending_call: PendingCall) {
        let accepted = self.accepted.contains(id);
        self.pending.insert(call, (pending_call, accepted));
    }

    /// Reports a random item that was assigned to the gateway.
    pub fn report(&mut self, gateway: u64, index: usize) {
        let assigned = &self.world.gateways[&gateway].assigned;
        let Some((terms, group)) = assigned.choose(&mut self.random).cloned() else { return };
        assert!(self.not_rejected.contains(&terms.job), "{} was rejected but runs", terms.job);
        let Some(item) = group.items.choose(&mut self.random) else { return };
        self.world.report(gateway, index, &terms.job, &[&item.id]);
    }

    pub fn read(&mut self, gateway: u64, index: usize) {
        let Some(id) = self.jobs.choose(&mut self.random).cloned() else { return };
        let after = self.random.random_range(0..4);
        self.read_from(gateway, index, id, after);
    }

    pub fn read_from(&mut self, gateway: u64, index: usize, id: String, after: u64) -> u64 {
        let known = self.read.keys().filter(|(of, position)| *of == id && *position >= after).count();
        let call = self.world.read(gateway, index, &id, after, 0);
        self.track_call(call, &id.clone(), PendingCall::Read { job: id, after, known });
        call
    }

    pub fn body(&mut self, gateway: u64, index: usize) {
        let Some(id) = self.jobs.choose(&mut self.random).cloned() else { return };
        let call = self.world.item_body(gateway, index, &id, &format!("{id}-0-0"));
        self.track_call(call, &id.clone(), PendingCall::Body { job: id });
    }

    pub fn end(&mut self, gateway: u64, index: usize) {
        let Some(id) = self.jobs.choose(&mut self.random).cloned() else { return };
        let call = self.world.end(gateway, index, &id);
        self.track_call(call, &id.clone(), PendingCall::End { job: id });
    }

    /// Delivers the oldest message of a random link.
    pub fn deliver(&mut self) {
        let links: BTreeSet<(MemberId, MemberId)> =
            self.world.network.iter().map(|(from, to, _)| (*from, *to)).collect();
        let links: Vec<(MemberId, MemberId)> = links.into_iter().collect();
        let Some(&link) = links.choose(&mut self.random) else { return };
        let oldest = self.world.network.iter().position(|(from, to, _)| (*from, *to) == link);
        let (from, to, message) = self.world.network.remove(oldest.unwrap());
        self.world.deliver(from, to, message);
    }

    pub fn tick(&mut self, index: usize) {
        self.world.now += 50;
        for gateway in 1..=GATEWAYS {
            let heartbeat =
                orchidvalve_protocol::messages::GatewayMessage::Heartbeat { generation_capacity: 8 };
            self.world.send_to_store(gateway, index, heartbeat);
        }
        self.world.input(index, orchidvalve_batch_store::Store::tick);
    }

    pub fn reconnect_peers(&mut self, index: usize) {
        let (one, two) = (self.world.stores[index].me, self.world.stores[(index + 1) % 3].me);
        let between = |from: MemberId, to: MemberId| (from, to) == (one, two) || (from, to) == (two, one);
        self.world.network.retain(|(from, to, _): &(_, _, PeerMessage)| !between(*from, *to));
        for (store, peer) in [(index, two), ((index + 1) % 3, one)] {
            self.world.stores[store].store.peer_disconnected(peer);
            self.world.input(store, |store, now, outputs| store.peer_connected(peer, now, outputs));
        }
    }

    pub fn restart(&mut self, index: usize) {
        self.drop_messages(self.world.stores[index].me);
        self.world.restart(index);
        self.update_placement(index);
        self.connect_gateways(index);
    }

    pub fn connect_gateways(&mut self, index: usize) {
        for gateway in 1..=GATEWAYS {
            self.world.connect_gateway_to(gateway, 1, index);
        }
    }

    pub fn drop_messages(&mut self, me: MemberId) {
        self.world.network.retain(|(from, to, _)| *from != me && *to != me);
    }

    /// Replaces the disk of a store if enough others are complete.
    pub fn wipe(&mut self, index: usize) {
        let me = self.world.stores[index].me;
        let others = self.complete_members.iter().filter(|&&other| other != me).count();
        if others < 2 {
            return;
        }
        self.complete_members.remove(&me);
        self.drop_messages(me);
        self.disks += 1;
        let renewed = disk(index as u8 + 1, self.disks);
        self.world.stores[index] = Process::start(renewed, Vec::new(), 2, self.disks);
        self.connect_gateways(index);
        self.change_placement();
    }

    /// Decides the next placement: removes lost members, adds ready learners, and makes the other stores learners.
    pub fn change_placement(&mut self) {
        let here: Vec<MemberId> = self.world.stores.iter().map(|process| process.me).collect();
        let epoch = self.placement.epoch;
        let is_ready = |member: &MemberId| {
            let ready = SessionMessage::LearnerCaughtUp { partition: 0, epoch, member: *member };
            self.world.to_control.contains(&ready)
        };
        let mut members = self.placement.members.clone();
        members.retain(|member| here.contains(member));
        let ready: Vec<MemberId> =
            self.placement.learners.iter().filter(|member| is_ready(member)).copied().collect();
        members.extend(ready.iter().filter(|member| here.contains(member)));
        let leaving = !self.ending && members.len() > 2 && self.random.random_bool(0.3);
        let may_leave = members.first().filter(|_| leaving);
        if let Some(&leaves) = may_leave.filter(|_| self.complete_members.contains(&members[1])) {
            members.remove(0);
            self.complete_members.remove(&leaves);
        }
        if members.is_empty() || !self.complete_members.contains(&members[0]) {
            return;
        }
        let learners = here.iter().filter(|member| !members.contains(member)).copied().collect();
        self.placement = Placement { epoch: epoch + 1, members, learners, ..Placement::default() };
    }

    pub fn update_placement(&mut self, index: usize) {
        let placement = self.placement.clone();
        self.world.place_at(index, &placement);
    }

    pub fn check_responses(&mut self) {
        for gateway in 1..=GATEWAYS {
            let responses = std::mem::take(&mut self.world.gateways.get_mut(&gateway).unwrap().responses);
            for (call, response) in responses {
                let Some((pending_call, accepted)) = self.pending.remove(&call) else { continue };
                self.check_response(pending_call, accepted, response);
            }
        }
        let pending = self.pending.values().filter_map(|(pending_call, _)| match pending_call {
            PendingCall::Submit { job } => Some(job.clone()),
            _ => None,
        });
        self.not_rejected.extend(pending);
    }

    pub fn check_response(&mut self, pending_call: PendingCall, accepted: bool, response: StoreResponse) {
        match (pending_call, response) {
            (PendingCall::Submit { job }, StoreResponse::Accepted) => {
                self.not_rejected.insert(job.clone());
                self.accepted.insert(job);
            }
            (PendingCall::Submit { job }, StoreResponse::OutcomeUnknown) => {
                self.not_rejected.insert(job);
            }
            (PendingCall::Submit { .. }, StoreResponse::Rejected { .. })
            | (_, StoreResponse::Unavailable) => {}
            (PendingCall::Read { job, .. }, StoreResponse::NotFound) => {
                assert!(!accepted, "{job} was lost");
            }
            (PendingCall::Read { job, after, known }, StoreResponse::Results { total, next, outcomes }) => {
                assert_eq!(total as usize, GROUPS * PER_GROUP);
                assert_eq!(next, after + outcomes.len() as u64);
                // A member that lags may return fewer results, but not none if there was one.
                assert!(known == 0 || !outcomes.is_empty(), "{job} lost its results after {after}");
                self.check_results(&job, after, outcomes);
            }
            (PendingCall::End { job }, StoreResponse::Ended) => {
                self.ended.insert(job);
            }
            (PendingCall::End { job }, StoreResponse::NotFound) => {
                assert!(!accepted, "{job} was lost");
            }
            (PendingCall::Body { .. }, StoreResponse::Body(body)) => assert_eq!(body, b"hello"),
            (PendingCall::Body { job }, StoreResponse::NotFound) => {
                let finished_or_ended = self
                    .pending
                    .values()
                    .any(|(pending_call, _)| matches!(pending_call, PendingCall::End { .. }))
                    || !self.ended.is_empty()
                    || self.is_read(&job);
                assert!(finished_or_ended || !accepted, "an item of {job} was lost");
            }
            (pending_call, response) => panic!("{pending_call:?} got the response {response:?}"),
        }
    }

    pub fn is_read(&self, job: &str) -> bool {
        self.read.keys().any(|(read, _)| read == job)
    }

    pub fn check_results(&mut self, job: &str, after: u64, outcomes: Vec<ItemOutcome>) {
        for (position, outcome) in (after..).zip(outcomes) {
            self.reads += 1;
            let key = (job.to_owned(), position);
            let twice = self.read.iter().any(|((of, other), recorded)| {
                of == job && *other != position && recorded.item == outcome.item
            });
            assert!(!twice, "{} has two positions", outcome.item);
            let recorded = self.read.entry(key).or_insert_with(|| outcome.clone());
            assert_eq!(*recorded, outcome, "position {position} of {job} changed");
        }
    }

    /// Runs until nothing is left to do. All members of the view are complete then.
    pub fn run_until_idle(&mut self) {
        for index in 0..3 {
            self.update_placement(index);
        }
        for store in 0..3 {
            self.reconnect_peers(store);
        }
        self.world.advance(2_500);
        self.check_responses();
        self.complete_members.extend(&self.placement.members);
    }

    pub fn check_final_state(&mut self) {
        self.ending = true;
        for _ in 0..3 {
            self.change_placement();
            self.run_until_idle();
        }
        assert_eq!(self.placement.members.len(), 3);
        for id in self.jobs.clone() {
            let mut lists = Vec::new();
            for index in 0..3 {
                let call = self.read_from(1, index, id.clone(), 0);
                self.world.run();
                lists.push(self.world.response(1, call).cloned());
                self.check_responses();
            }
            assert!(lists[0].is_some() && lists[0] != Some(StoreResponse::Unavailable));
            assert!(lists.iter().all(|list| *list == lists[0]), "the members list {id} differently");
        }
    }
}
