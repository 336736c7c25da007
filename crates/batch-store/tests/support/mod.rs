//! In-memory stores and gateways: a network that keeps the order of messages on each link, disks whose writes become
//! durable when the test syncs them, and clocks that the test advances.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;

use orchidvalve_batch::{Job, JobOrigin};
use orchidvalve_batch_store::{
    JobLimits, LimitSource, LinkId, Output, PeerMessage, Record, Store, StoreSettings, Timestamp,
};
use orchidvalve_control_state::Placement;
use orchidvalve_golden::Trace;
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    AssignedGroup, AssignedJob, GatewayMessage, Handshake, ItemFailures, ItemOutcome, ItemState, Role,
    SessionMessage, StoreHealth, StoreMessage, StoreResponse,
};
use orchidvalve_protocol::time_limit::TimeLimit;

pub const TARGET_RUN_MS: u64 = 10_000;
pub const MAX_QUEUE_MS: u64 = 20_000;
pub const RETENTION_MS: u64 = 130_000;
const START_WALL_MS: u64 = 1_700_000_000_000;

pub fn member(number: u8) -> MemberId {
    disk(number, 1)
}

pub fn disk(number: u8, disk: u64) -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000), disk }
}

/// A tenant that was removed from the configuration.
pub const REMOVED_TENANT: &str = "gone";

struct Limits;

impl LimitSource for Limits {
    fn limits(&self, _: &str, _: &str) -> Option<JobLimits> {
        Some(JobLimits {
            target_run: TimeLimit::from_millis(TARGET_RUN_MS),
            max_queue: TimeLimit::from_millis(MAX_QUEUE_MS),
        })
    }

    fn has_tenant(&self, name: &str) -> bool {
        name != REMOVED_TENANT
    }
}

/// Returns an encoded job of `groups` groups with `per_group` items each, named `ID-GROUP-ITEM`.
pub fn job(id: &str, groups: usize, per_group: usize, desired: u32) -> Vec<u8> {
    let item = |group: usize, index: usize| {
        format!(
            r#"{{"instance-id":"{id}-{group}-{index}","path":"/p","headers":{{"Model":"m"}},
            "body":"aGVsbG8=","token-usage":10,"group":"g{group}"}}"#
        )
    };
    let items: Vec<String> =
        (0..groups).flat_map(|group| (0..per_group).map(move |index| item(group, index))).collect();
    let body = format!(
        r#"{{"step":0,"model":"m","min-weights-version":1,"desired-count":{desired},"requests":[{}]}}"#,
        items.join(",")
    );
    let origin = JobOrigin { id, hostname: "host", route_prefix: "/jobs", tenant: None };
    encode(&Job::parse(body.as_bytes(), &origin).unwrap())
}

pub fn outcome(item: &str) -> ItemOutcome {
    ItemOutcome {
        item: item.to_owned(),
        state: ItemState::Completed,
        message: format!("text of {item}").into_bytes(),
        weight_versions: vec![1],
        score: Some("stamp".to_owned()),
    }
}

/// The process of a store and its disk.
pub struct Process {
    pub me: MemberId,
    pub store: Store,
    /// Durable records.
    pub disk: Vec<Record>,
    /// Records that are not synced yet.
    pub writes: Vec<Record>,
    next_position: u64,
    pub running: bool,
}

impl Process {
    pub fn start(me: MemberId, disk: Vec<Record>, minimum: usize, nonce: u64) -> Process {
        let next_position = disk.last().map_or(1, |record| record.position + 1);
        let settings = StoreSettings {
            me,
            minimum_copies: minimum,
            retention_ms: RETENTION_MS,
            memory_limit_bytes: 64 << 20,
        };
        let mut store = Store::new(settings, Rc::new(Limits), disk.clone(), next_position, nonce);
        store.set_health(StoreHealth {
            disk_failing: false,
            used_bytes: 1,
            capacity_bytes: 100,
            draining: false,
        });
        Process { me, store, disk, writes: Vec::new(), next_position, running: true }
    }
}

/// The messages that a gateway has received.
#[derive(Default)]
pub struct Gateway {
    pub number: u64,
    pub responses: Vec<(u64, StoreResponse)>,
    pub assigned: Vec<(AssignedJob, AssignedGroup)>,
    pub cancelled: Vec<String>,
    pub acknowledged: Vec<String>,
    pub known_failures: Vec<ItemFailures>,
}

/// A message in transit.
#[derive(Clone)]
pub enum Message {
    ToStore { gateway: u64, index: usize, message: GatewayMessage },
    ToGateway { gateway: u64, message: StoreMessage },
    Peer { from: MemberId, to: MemberId, message: PeerMessage },
}

/// The mutation of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    Drop,
    Double,
    /// The message arrives when the test releases it.
    Delay,
    /// The message arrives at once, and again when the test releases it.
    Replay,
}

/// Mutates the message with number `target`.
pub struct MessageFault {
    pub target: usize,
    pub mutation: Mutation,
    pub seen: Vec<Message>,
    delayed: Vec<Message>,
}

pub struct World {
    pub message_fault: MessageFault,
    /// All outputs of all stores, encoded; `None` unless a test records them.
    pub trace: Option<Trace>,
    pub stores: Vec<Process>,
    pub gateways: BTreeMap<u64, Gateway>,
    pub to_control: Vec<SessionMessage>,
    /// Messages between stores, in the order in which they were sent.
    pub network: Vec<(MemberId, MemberId, PeerMessage)>,
    pub now: u64,
    pub minimum: usize,
    nonce: u64,
    next_call: u64,
}

impl World {
    pub fn new(stores: u8, minimum: usize) -> World {
        let processes = (1..=stores).map(|number| Process::start(member(number), Vec::new(), minimum, 1));
        World {
            message_fault: MessageFault {
                target: usize::MAX,
                mutation: Mutation::None,
                seen: Vec::new(),
                delayed: Vec::new(),
            },
            trace: None,
            stores: processes.collect(),
            gateways: BTreeMap::new(),
            to_control: Vec::new(),
            network: Vec::new(),
            now: 100_000,
            minimum,
            nonce: 1,
            next_call: 0,
        }
    }

    /// Returns a world whose only partition is placed on all stores, in their order.
    pub fn placed(stores: u8, minimum: usize) -> World {
        let mut world = World::new(stores, minimum);
        let members: Vec<MemberId> = world.stores.iter().map(|process| process.me).collect();
        world.place(1, &members, &[]);
        world
    }

    pub fn timestamp(&self) -> Timestamp {
        Timestamp { monotonic_ms: self.now, wall_ms: START_WALL_MS + self.now }
    }

    pub fn place(&mut self, epoch: u64, members: &[MemberId], learners: &[MemberId]) {
        let placement = Placement {
            epoch,
            members: members.to_vec(),
            learners: learners.to_vec(),
            ..Placement::default()
        };
        for index in 0..self.stores.len() {
            self.place_at(index, &placement);
        }
        self.run();
    }

    pub fn place_at(&mut self, index: usize, placement: &Placement) {
        let placements = [placement.clone()];
        self.input(index, |store, now, outputs| store.update_placements(&placements, now, outputs));
    }

    /// Passes one input to a store and executes its outputs.
    pub fn input(&mut self, index: usize, input: impl FnOnce(&mut Store, Timestamp, &mut Vec<Output>)) {
        let now = self.timestamp();
        let process = &mut self.stores[index];
        if !process.running {
            return;
        }
        let mut outputs = Vec::new();
        input(&mut process.store, now, &mut outputs);
        for output in outputs {
            if let Some(trace) = &mut self.trace {
                trace.add_number(self.now);
                trace.add_number(index as u64);
                add_output(trace, &output);
            }
            self.execute(index, output);
        }
    }

    fn execute(&mut self, index: usize, output: Output) {
        let process = &mut self.stores[index];
        match output {
            Output::Write(payload) => {
                process.writes.push(Record { position: process.next_position, payload });
                process.next_position += 1;
            }
            Output::ReleaseBefore(position) => process.disk.retain(|kept| kept.position >= position),
            Output::ToPeer { to, message } => self.network.push((process.me, to, message)),
            Output::ToControl(message) => self.to_control.push(message),
            Output::ToGateway { link, message } => {
                self.send(Message::ToGateway { gateway: link.0 / 10, message });
            }
        }
    }

    /// Delivers a message, subject to its mutation.
    fn send(&mut self, message: Message) {
        let number = self.message_fault.seen.len();
        self.message_fault.seen.push(message.clone());
        let mutation =
            if number == self.message_fault.target { self.message_fault.mutation } else { Mutation::None };
        if matches!(mutation, Mutation::Delay | Mutation::Replay) {
            self.message_fault.delayed.push(message.clone());
        }
        let times = match mutation {
            Mutation::None | Mutation::Replay => 1,
            Mutation::Double => 2,
            Mutation::Drop | Mutation::Delay => 0,
        };
        for _ in 0..times {
            self.deliver_now(message.clone());
        }
    }

    /// Delivers the delayed messages.
    pub fn release_delayed(&mut self) {
        for message in std::mem::take(&mut self.message_fault.delayed) {
            self.deliver_now(message);
        }
    }

    fn deliver_now(&mut self, message: Message) {
        match message {
            Message::ToStore { gateway, index, message } => {
                let link = LinkId(gateway * 10 + index as u64);
                self.input(index, |store, now, outputs| store.gateway_message(link, message, now, outputs));
            }
            Message::Peer { from, to, message } => {
                if let Some(index) = self.stores.iter().position(|process| process.me == to) {
                    self.input(index, |store, now, outputs| {
                        store.peer_message(from, message, now, outputs);
                    });
                }
            }
            Message::ToGateway { gateway, message } => self.deliver_to_gateway(gateway, message),
        }
    }

    fn deliver_to_gateway(&mut self, gateway: u64, message: StoreMessage) {
        let gateway = self.gateways.entry(gateway).or_default();
        match message {
            StoreMessage::Heartbeat => {}
            StoreMessage::Response { request_id: call, response } => {
                gateway.responses.push((call, response));
            }
            StoreMessage::AssignGroups { job: terms, groups } => {
                gateway.assigned.extend(groups.into_iter().map(|group| (terms.clone(), group)));
            }
            StoreMessage::CancelJob { job, .. } => gateway.cancelled.push(job),
            StoreMessage::AcknowledgeOutcomes { items, .. } => gateway.acknowledged.extend(items),
            StoreMessage::KnownFailures { failures, .. } => gateway.known_failures.extend(failures),
        }
    }

    /// Makes all writes of a store durable. Returns whether there were any.
    pub fn sync(&mut self, index: usize) -> bool {
        let process = &mut self.stores[index];
        let Some(last) = process.writes.last().map(|record| record.position) else { return false };
        if !process.running {
            return false;
        }
        process.disk.append(&mut process.writes);
        self.input(index, |store, now, outputs| store.durable(last, now, outputs));
        true
    }

    /// Delivers messages and syncs disks until nothing is left to do.
    pub fn run(&mut self) {
        loop {
            let mut progressed = false;
            for (from, to, message) in std::mem::take(&mut self.network) {
                progressed = true;
                self.deliver(from, to, message);
            }
            for index in 0..self.stores.len() {
                progressed |= self.sync(index);
            }
            if !progressed {
                return;
            }
        }
    }

    pub fn deliver(&mut self, from: MemberId, to: MemberId, message: PeerMessage) {
        self.send(Message::Peer { from, to, message });
    }

    /// Advances the clocks with ticks and heartbeats of all gateways, and delivers everything.
    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 100 {
            self.now += 100;
            for index in 0..self.stores.len() {
                for gateway in self.gateways.keys().copied().collect::<Vec<u64>>() {
                    self.send_to_store(gateway, index, GatewayMessage::Heartbeat { generation_capacity: 8 });
                }
                self.input(index, Store::tick);
            }
            self.run();
        }
    }

    /// Connects a gateway to all stores. Each store sees link number `gateway * 10 + index`.
    pub fn gateway_connected(&mut self, gateway: u64, incarnation: u64) {
        self.gateways.entry(gateway).or_default();
        for index in 0..self.stores.len() {
            self.connect_gateway_to(gateway, incarnation, index);
        }
        self.run();
    }

    pub fn connect_gateway_to(&mut self, gateway: u64, incarnation: u64, index: usize) {
        let handshake = Handshake {
            version: 1,
            role: Role::Gateway,
            name: format!("door-{gateway}"),
            zone: "zone".to_owned(),
            member: disk(100 + gateway as u8, 0),
            incarnation,
            cpu_share: 1.0,
        };
        self.send_to_store(gateway, index, GatewayMessage::Handshake(handshake));
        self.send_to_store(gateway, index, GatewayMessage::Heartbeat { generation_capacity: 8 });
    }

    pub fn send_to_store(&mut self, gateway: u64, index: usize, message: GatewayMessage) {
        self.send(Message::ToStore { gateway, index, message });
    }

    pub fn next_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }

    pub fn submit(&mut self, gateway: u64, index: usize, id: &str, document: Vec<u8>) -> u64 {
        let (call, received_at_ms) = (self.next_call(), self.timestamp().wall_ms);
        let message = GatewayMessage::SubmitJob {
            request_id: call,
            partition: 0,
            id: id.to_owned(),
            job: document,
            received_at_ms,
        };
        self.send_to_store(gateway, index, message);
        call
    }

    pub fn read(&mut self, gateway: u64, index: usize, id: &str, after: u64, wait_ms: u32) -> u64 {
        let call = self.next_call();
        self.send_to_store(
            gateway,
            index,
            GatewayMessage::ReadResults {
                request_id: call,
                partition: 0,
                id: id.to_owned(),
                after,
                wait_ms,
                tenant: None,
            },
        );
        call
    }

    pub fn end(&mut self, gateway: u64, index: usize, id: &str) -> u64 {
        let call = self.next_call();
        self.send_to_store(
            gateway,
            index,
            GatewayMessage::EndJob { request_id: call, partition: 0, id: id.to_owned(), tenant: None },
        );
        call
    }

    pub fn item_body(&mut self, gateway: u64, index: usize, id: &str, item: &str) -> u64 {
        let call = self.next_call();
        let (id, item) = (id.to_owned(), item.to_owned());
        self.send_to_store(
            gateway,
            index,
            GatewayMessage::ReadItemBody { request_id: call, partition: 0, id, item, tenant: None },
        );
        call
    }

    pub fn report(&mut self, gateway: u64, index: usize, job: &str, items: &[&str]) {
        let outcomes = items.iter().map(|item| outcome(item)).collect();
        self.send_to_store(
            gateway,
            index,
            GatewayMessage::ReportOutcomes { partition: 0, job: job.to_owned(), outcomes },
        );
    }

    pub fn response(&self, gateway: u64, call: u64) -> Option<&StoreResponse> {
        self.gateways[&gateway]
            .responses
            .iter()
            .find(|(responded, _)| *responded == call)
            .map(|(_, response)| response)
    }

    /// Simulates a power failure: writes that are not durable are lost. The process restarts and knows no view yet.
    pub fn restart(&mut self, index: usize) {
        self.nonce += 1;
        let process = &mut self.stores[index];
        *process = Process::start(process.me, process.disk.clone(), self.minimum, self.nonce);
    }
}

/// Adds an output to the trace, as the bytes that are sent or stored.
pub fn add_output(trace: &mut Trace, output: &Output) {
    match output {
        Output::Write(record) => {
            trace.add_number(1);
            trace.add(record);
        }
        Output::ReleaseBefore(position) => {
            trace.add_number(2);
            trace.add_number(*position);
        }
        Output::ToGateway { link, message } => {
            trace.add_number(3);
            trace.add_number(link.0);
            trace.add(&encode(message));
        }
        Output::ToPeer { to, message } => {
            trace.add_number(4);
            trace.add(&encode(to));
            trace.add(&encode(message));
        }
        Output::ToControl(message) => {
            trace.add_number(5);
            trace.add(&encode(message));
        }
    }
}

/// Returns the items that a response lists.
pub fn result_items(response: Option<&StoreResponse>) -> Vec<&str> {
    match response {
        Some(StoreResponse::Results { outcomes, .. }) => {
            outcomes.iter().map(|outcome| outcome.item.as_str()).collect()
        }
        other => panic!("no results but {other:?}"),
    }
}
