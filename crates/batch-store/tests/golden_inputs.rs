//! A store responds to random inputs with the recorded outputs, byte for byte. The inputs cover all gateway messages,
//! several partitions, views in any order, simulated peers, and times beyond every time limit.

mod support;

use std::path::PathBuf;
use std::rc::Rc;

use orchidvalve_batch_store::entry::EntryRef;
use orchidvalve_batch_store::{
    JobLimits, LimitSource, LinkId, Output, PeerMessage, Record, Store, StoreSettings, Timestamp,
};
use orchidvalve_chain_replication::{Entry, EpochRun, Message};
use orchidvalve_control_state::Placement;
use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{
    GatewayMessage, Handshake, ItemOutcome, ItemState, Role, StoreHealth, StoreMessage, StoreResponse,
};
use orchidvalve_protocol::time_limit::TimeLimit;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{add_output, disk, job, member};

const SEEDS: u64 = 40;
const STEPS: usize = 1_500;
const PARTITIONS: u16 = 3;
const GATEWAYS: u8 = 3;
const JOBS: u64 = 10;
const GROUPS: usize = 3;
const PER_GROUP: usize = 2;
const START_WALL_MS: u64 = 1_700_000_000_000;

/// Limits of the route of the jobs of `support::job`, which may be unknown.
struct OneRoute {
    is_known: bool,
}

impl LimitSource for OneRoute {
    fn limits(&self, hostname: &str, route_prefix: &str) -> Option<JobLimits> {
        let known = self.is_known && (hostname, route_prefix) == ("host", "/jobs");
        known.then_some(JobLimits {
            target_run: TimeLimit::from_millis(5_000),
            max_queue: TimeLimit::from_millis(9_000),
        })
    }

    fn has_tenant(&self, _: &str) -> bool {
        false
    }
}

/// A store and its simulated environment.
struct Run {
    random: Pcg64Mcg,
    trace: Trace,
    store: Store,
    me: MemberId,
    now: u64,
    /// Records on the disk, followed by those that are not synced yet.
    disk: Vec<Record>,
    writes: Vec<Record>,
    next_position: u64,
    starts: u64,
    placements: Vec<Placement>,
    /// The latest messages that the store sent to other stores.
    sent: Vec<(MemberId, PeerMessage)>,
    /// Groups assigned to gateways: link, partition, epoch, job, group.
    assigned: Vec<(u64, u16, u64, String, u32)>,
    next_call: u64,
    links: [u64; GATEWAYS as usize],
    next_link: u64,
    /// Number of outputs by [`kind`].
    outputs: [usize; KINDS],
}

impl Run {
    fn new(seed: u64) -> Run {
        let me = member(1);
        Run {
            random: Pcg64Mcg::seed_from_u64(seed),
            trace: Trace::new(),
            store: Run::start(me, Vec::new(), 1),
            me,
            now: 50_000,
            disk: Vec::new(),
            writes: Vec::new(),
            next_position: 1,
            starts: 1,
            placements: (0..PARTITIONS).map(|_| Placement::default()).collect(),
            sent: Vec::new(),
            assigned: Vec::new(),
            next_call: 0,
            links: [0; GATEWAYS as usize],
            next_link: 1,
            outputs: [0; KINDS],
        }
    }

    fn start(me: MemberId, records: Vec<Record>, nonce: u64) -> Store {
        let settings =
            StoreSettings { me, minimum_copies: 1, retention_ms: 30_000, memory_limit_bytes: 200_000 };
        let next_position = records.last().map_or(1, |record| record.position + 1);
        Store::new(settings, Rc::new(OneRoute { is_known: true }), records, next_position, nonce)
    }

    fn input(&mut self, input: impl FnOnce(&mut Store, Timestamp, &mut Vec<Output>)) {
        let now = Timestamp { monotonic_ms: self.now, wall_ms: START_WALL_MS + self.now };
        let mut outputs = Vec::new();
        input(&mut self.store, now, &mut outputs);
        self.trace.add_number(self.now);
        for output in outputs {
            add_output(&mut self.trace, &output);
            self.outputs[kind(&output)] += 1;
            match output {
                Output::Write(payload) => {
                    self.writes.push(Record { position: self.next_position, payload });
                    self.next_position += 1;
                }
                Output::ReleaseBefore(position) => self.disk.retain(|kept| kept.position >= position),
                Output::ToGateway { link, message } => self.record_assignments(link.0, message),
                Output::ToPeer { to, message } => {
                    self.sent.push((to, message));
                    self.sent.drain(..self.sent.len().saturating_sub(6));
                }
                Output::ToControl(_) => {}
            }
        }
        for peer in self.store.peers() {
            self.trace.add(&encode(&peer));
        }
    }

    fn record_assignments(&mut self, link: u64, message: StoreMessage) {
        if let StoreMessage::AssignGroups { job: assigned_job, groups } = message {
            for group in groups {
                self.assigned.push((
                    link,
                    assigned_job.partition,
                    assigned_job.epoch,
                    assigned_job.job.clone(),
                    group.index,
                ));
            }
            self.assigned.drain(..self.assigned.len().saturating_sub(12));
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..8 => self.place(),
            8..22 => self.advance_time(),
            22..34 => self.sync(),
            34..40 => self.gateway_connected(),
            40..42 => self.gateway_disconnected(),
            42..80 => self.gateway_message(),
            80..96 => self.peer_message(),
            96 => self.reconnect_peer(),
            97 => self.set_workers(),
            98 => self.change_health_and_limits(),
            _ => self.restart(),
        }
    }

    /// Gives a random partition a newer view, or repeats all views.
    fn place(&mut self) {
        let number = self.random.random_range(0..usize::from(PARTITIONS));
        let mut members: Vec<MemberId> = (1..=3).map(member).collect();
        members.rotate_left(self.random.random_range(0..3));
        // Mostly the head or the only member, since this exercises most of the store.
        if self.random.random_bool(0.7) {
            members.retain(|other| *other != self.me);
            members.insert(0, self.me);
        }
        members.truncate(self.random.random_range(1..=3));
        let learners = if self.random.random_bool(0.3) { vec![member(4)] } else { Vec::new() };
        let epoch = self.placements[number].epoch + u64::from(self.random.random_bool(0.8));
        let resets_log = self.random.random_bool(0.03);
        let copies = self.random.random_range(1..=members.len() as u32);
        let reset_epoch = if resets_log { epoch } else { self.placements[number].reset_epoch };
        self.placements[number] =
            Placement { epoch, members, learners, copies, reset_epoch, ..Placement::default() };
        let placements = self.placements.clone();
        self.input(|store, now, outputs| store.update_placements(&placements, now, outputs));
    }

    fn advance_time(&mut self) {
        self.now += match self.random.random_range(0..40) {
            0 => 70_000,
            1..4 => 5_000,
            4..10 => 700,
            _ => 100,
        };
        self.input(orchidvalve_batch_store::Store::tick);
    }

    fn sync(&mut self) {
        let count = self.random.random_range(0..=self.writes.len());
        let Some(through) = self.writes[..count].last().map(|record| record.position) else { return };
        self.disk.extend(self.writes.drain(..count));
        self.input(|store, now, outputs| store.durable(through, now, outputs));
    }

    fn restart(&mut self) {
        self.writes.clear();
        self.next_position = self.disk.last().map_or(1, |record| record.position + 1);
        self.starts += 1;
        self.store = Run::start(self.me, self.disk.clone(), self.starts);
        self.links = [0; GATEWAYS as usize];
        let placements = self.placements.clone();
        self.input(|store, now, outputs| store.update_placements(&placements, now, outputs));
        (0..3).for_each(|_| self.gateway_connected());
    }

    fn gateway_connected(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let link = self.next_link;
        self.next_link += 1;
        let handshake = Handshake {
            version: 1,
            role: Role::Gateway,
            name: format!("door-{gateway}"),
            zone: "zone".to_owned(),
            member: disk(100 + gateway, 0),
            incarnation: self.random.random_range(1..=2),
            cpu_share: f32::from(gateway) + 0.5,
        };
        // Sometimes the handshake of an older link is read late.
        let link = if self.random.random_bool(0.1) { self.links[usize::from(gateway)] } else { link };
        self.links[usize::from(gateway)] = link;
        self.send(link, GatewayMessage::Handshake(handshake));
        let generation_capacity = self.random.random_range(0..12);
        self.send(link, GatewayMessage::Heartbeat { generation_capacity });
    }

    fn gateway_disconnected(&mut self) {
        let link = self.any_link();
        self.input(|store, _, _| store.gateway_disconnected(LinkId(link)));
    }

    fn any_link(&mut self) -> u64 {
        self.links[self.random.random_range(0..usize::from(GATEWAYS))]
    }

    fn send(&mut self, link: u64, message: GatewayMessage) {
        self.input(|store, now, outputs| store.gateway_message(LinkId(link), message, now, outputs));
    }

    fn any_job(&mut self) -> (u16, String) {
        let number = self.random.random_range(0..JOBS);
        ((number % u64::from(PARTITIONS)) as u16, format!("job-{number}-{}", self.now / 100_000))
    }

    fn any_item(&mut self, job: &str) -> String {
        let (group, index) = (self.random.random_range(0..=GROUPS), self.random.random_range(0..PER_GROUP));
        format!("{job}-{group}-{index}")
    }

    fn gateway_message(&mut self) {
        let link = self.any_link();
        let (partition, id) = self.any_job();
        let (call, item) = (self.next_call, self.any_item(&id));
        self.next_call += 1;
        let message = match self.random.random_range(0..100) {
            0..15 => GatewayMessage::Heartbeat { generation_capacity: self.random.random_range(0..12) },
            15..35 => {
                let desired = self.random.random_range(0..3);
                let received_at_ms = START_WALL_MS + self.now;
                let job = match self.random.random_range(0..30) {
                    0 => vec![1, 2, 3],
                    _ => job(&id, GROUPS, PER_GROUP, desired),
                };
                GatewayMessage::SubmitJob { request_id: call, partition, id, job, received_at_ms }
            }
            35..50 => {
                let (after, wait_ms) = (self.random.random_range(0..6), self.random.random_range(0..1_500));
                GatewayMessage::ReadResults { request_id: call, partition, id, after, wait_ms, tenant: None }
            }
            50..57 => GatewayMessage::ReadItemBody { request_id: call, partition, id, item, tenant: None },
            57..62 => GatewayMessage::EndJob { request_id: call, partition, id, tenant: None },
            62..90 => {
                let state =
                    if self.random.random_bool(0.9) { ItemState::Completed } else { ItemState::Expired };
                let outcome = ItemOutcome {
                    message: format!("text of {item}").into_bytes(),
                    item,
                    state,
                    weight_versions: vec![1, 7],
                    score: self.random.random_bool(0.5).then(|| "stamp".to_owned()),
                };
                GatewayMessage::ReportOutcomes { partition, job: id, outcomes: vec![outcome] }
            }
            _ => {
                let Some((to, partition, epoch, job, group)) =
                    self.assigned.choose(&mut self.random).cloned()
                else {
                    return;
                };
                let returned = GatewayMessage::ReturnGroups { partition, epoch, job, groups: vec![group] };
                return self.send(to, returned);
            }
        };
        self.send(link, message);
    }

    /// Responds to one of the latest messages as another store would, or with a message at the wrong time.
    fn peer_message(&mut self) {
        let Some((from, message)) = self.sent.choose(&mut self.random).cloned() else { return };
        let PeerMessage::Chain { partition, message } = message else { return };
        let epoch = message.epoch();
        let response = match message {
            _ if self.random.random_bool(0.1) => Message::Confirm { epoch, round: self.next_call },
            Message::Position { position_id, end, .. } => {
                let reset = self.random.random_bool(0.2);
                if reset {
                    Message::Reset { epoch, position_id, start: end + 3, previous_epoch: 0 }
                } else {
                    let count = self.random.random_range(0..3);
                    let entries = (1..=count).map(|more| self.random_entry(end + more, epoch)).collect();
                    let committed = end + self.random.random_range(0..3);
                    let (previous_sequence, previous_epoch) = (end, 0);
                    let epoch_base = Some(end);
                    Message::Entries {
                        epoch,
                        position_id,
                        previous_sequence,
                        previous_epoch,
                        entries,
                        committed,
                        epoch_base,
                    }
                }
            }
            Message::Locate { .. } => {
                Message::Position { epoch, position_id: self.next_call, first: 1, runs: Vec::new(), end: 0 }
            }
            Message::Entries { previous_sequence, entries, .. } => {
                let sequence = previous_sequence + entries.len() as u64;
                Message::Acknowledge { epoch, sequence }
            }
            Message::Reset { start, previous_epoch, .. } => {
                let runs = vec![EpochRun { epoch: previous_epoch, first: start - 1 }];
                Message::Position { epoch, position_id: self.next_call, first: start, runs, end: start - 1 }
            }
            Message::Acknowledge { sequence, .. } => {
                Message::Confirmed { epoch, round: 0, committed: sequence }
            }
            Message::Confirm { round, .. } => Message::Confirmed { epoch, round, committed: 0 },
            Message::Confirmed { round, .. } => Message::Confirm { epoch, round: round + 1 },
        };
        let message = PeerMessage::Chain { partition, message: response };
        self.input(|store, now, outputs| store.peer_message(from, message, now, outputs));
    }

    fn random_entry(&mut self, sequence: u64, epoch: u64) -> Entry {
        let (_, id) = self.any_job();
        let payload = match self.random.random_range(0..4) {
            0 => vec![0xff, 1],
            1 => EntryRef::JobEnded { job: &id }.encode(),
            _ => {
                let document = job(&id, GROUPS, PER_GROUP, 2);
                let accepted_at_ms = START_WALL_MS + self.now;
                let (target_run_ms, max_queue_ms) = (4_000, 8_000);
                EntryRef::JobAccepted { job: &document, accepted_at_ms, target_run_ms, max_queue_ms }.encode()
            }
        };
        Entry { sequence, epoch, payload: Rc::from(payload) }
    }

    fn reconnect_peer(&mut self) {
        let peer = member(self.random.random_range(2..=4));
        self.store.peer_disconnected(peer);
        if self.random.random_bool(0.8) {
            self.input(|store, now, outputs| store.peer_connected(peer, now, outputs));
        }
    }

    fn set_workers(&mut self) {
        let gateways: Vec<u8> = (0..GATEWAYS).filter(|_| self.random.random_bool(0.8)).collect();
        let workers: Vec<_> = gateways.into_iter().map(|gateway| disk(100 + gateway, 0).address).collect();
        self.input(|store, now, outputs| store.set_workers(&workers, now, outputs));
    }

    fn change_health_and_limits(&mut self) {
        let health = StoreHealth {
            disk_failing: self.random.random_bool(0.2),
            used_bytes: self.random.random_range(1..90),
            capacity_bytes: 100,
            draining: false,
        };
        self.store.set_health(health);
        self.store.set_limits(Rc::new(OneRoute { is_known: self.random.random_bool(0.7) }));
    }
}

#[test]
fn a_store_responds_to_random_inputs_as_recorded() {
    let (mut kinds, mut outputs) = ([0; 5], [0; KINDS]);
    let run = |seed: u64| {
        let mut run = Run::new(seed);
        (0..STEPS).for_each(|_| run.step());
        for record in run.disk.iter().chain(&run.writes) {
            count_kind(&mut kinds, &record.payload);
        }
        outputs.iter_mut().zip(run.outputs).for_each(|(sum, count)| *sum += count);
        (format!("seed-{seed}"), run.trace.finish())
    };
    let hashes: Vec<(String, u64)> = (0..SEEDS).map(run).collect();
    assert!(kinds.iter().all(|count| *count > 20), "records of each kind at the end: {kinds:?}");
    assert!(outputs.iter().all(|count| *count > 20), "outputs of each kind: {outputs:?}");
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/inputs.txt");
    check_hashes(&path, &hashes);
}

const KINDS: usize = 24;

/// Returns a number for each kind of output, counted from 0.
fn kind(output: &Output) -> usize {
    match output {
        Output::Write(_) => 0,
        Output::ReleaseBefore(_) => 1,
        Output::ToControl(_) => 2,
        Output::ToGateway { message, .. } => match message {
            StoreMessage::Heartbeat => 3,
            StoreMessage::AssignGroups { .. } | StoreMessage::KnownFailures { .. } => 4,
            StoreMessage::CancelJob { .. } => 5,
            StoreMessage::AcknowledgeOutcomes { .. } => 6,
            StoreMessage::Response { response, .. } => match response {
                StoreResponse::Accepted => 7,
                StoreResponse::Rejected { .. } => 8,
                StoreResponse::OutcomeUnknown => 9,
                StoreResponse::NotFound => 10,
                StoreResponse::Unavailable => 11,
                StoreResponse::Results { outcomes, .. } if outcomes.is_empty() => 12,
                StoreResponse::Results { .. } => 13,
                StoreResponse::Body(_) => 14,
                StoreResponse::Ended => 15,
                StoreResponse::OtherTenant => panic!("no call has a tenant"),
            },
        },
        Output::ToPeer { message, .. } => match message {
            PeerMessage::Chain { message: Message::Position { .. }, .. } => 16,
            PeerMessage::Chain { message: Message::Locate { .. }, .. } => 17,
            PeerMessage::Chain { message: Message::Entries { entries, .. }, .. } if entries.is_empty() => 18,
            PeerMessage::Chain { message: Message::Entries { .. }, .. } => 19,
            PeerMessage::Chain { message: Message::Acknowledge { .. }, .. } => 20,
            PeerMessage::Chain { message: Message::Reset { .. }, .. } => 21,
            PeerMessage::Chain { message: Message::Confirm { .. }, .. } => 22,
            PeerMessage::Chain { message: Message::Confirmed { .. }, .. } => 23,
            PeerMessage::Handshake { .. } | PeerMessage::Heartbeat => panic!("only the host sends these"),
        },
    }
}

/// Counts the kinds of records left on the disk, to check that the runs make progress.
fn count_kind(kinds: &mut [usize; 5], record: &[u8]) {
    use orchidvalve_batch_store::DiskRecord;
    match decode::<DiskRecord>(record) {
        Some(DiskRecord::Append { entry, .. }) => match EntryRef::decode(&entry.payload) {
            Some(EntryRef::JobAccepted { .. }) => kinds[0] += 1,
            Some(EntryRef::Result { .. }) => kinds[1] += 1,
            Some(EntryRef::JobEnded { .. }) => kinds[2] += 1,
            None => {}
        },
        Some(DiskRecord::LogStart { .. }) => kinds[3] += 1,
        Some(DiskRecord::Reset { .. } | DiskRecord::Truncate { .. }) => kinds[4] += 1,
        None => {}
    }
}
