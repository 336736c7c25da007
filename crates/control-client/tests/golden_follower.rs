//! Golden test of a subscriber: the contents of its replica after each message of a random feed, and the messages that
//! its session sends to each control node, with their times, in a fixed scenario.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use orchidvalve_control_client::{FeedClient, FeedReplica, FeedUpdate};
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_golden::{Trace, check_hashes};
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::frames::{encode, read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, GatewayList, Handshake, Role, ServerEntry, ServerTableUpdate, SessionMessage,
    StoreHealth, TableVersion,
};
use orchidvalve_protocol::server_table::ServerTable;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn address(number: u8) -> NodeAddress {
    NodeAddress::new(Ipv4Addr::new(10, 0, 0, number), 7000)
}

fn member(number: u8) -> MemberId {
    MemberId { address: address(number), disk: u64::from(number) }
}

fn change(random: &mut Pcg64Mcg, state: &ControlState) -> Change {
    let number = random.random_range(0..4);
    match random.random_range(0..6) {
        0 => Change::RegisterStore {
            name: format!("store-{number}"),
            zone: "north".to_owned(),
            member: member(random.random_range(1..9)),
        },
        1 => Change::Retire { name: format!("store-{number}") },
        2 => {
            let members = (0..3).map(|_| member(random.random_range(1..9))).collect();
            let epoch = random.random_range(1..100);
            Change::Place(vec![(0, Placement { epoch, members, ..Placement::default() })])
        }
        3 => Change::Checkpoint(state.snapshot()),
        4 => {
            let version = state.configuration_version() + 1;
            let body = format!(r#"{{"config-version":{version},"routes":[],"services":[]}}"#);
            Change::Replace { base: version - 1, body: body.into_bytes() }
        }
        _ => Change::NameVersion { model: format!("model-{number}"), version: random.random_range(1..1_000) },
    }
}

fn server(number: u8, random: &mut Pcg64Mcg) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}"),
        service: "blue".to_owned(),
        address: address(100 + number),
        zone: "north".to_owned(),
        slots: random.random_range(1..9),
        draining: random.random_bool(0.2),
        models: vec![("large".to_owned(), random.random_range(1..4))],
    }
}

/// The control plane that produces the feed.
#[derive(Default)]
struct Source {
    /// The state after each change, preceded by the initial one.
    states: Vec<ControlState>,
    changes: Vec<Vec<u8>>,
    table: ServerTable,
    updates: Vec<ServerTableUpdate>,
}

impl Source {
    fn new(random: &mut Pcg64Mcg) -> Source {
        let mut source = Source { states: vec![ControlState::default()], ..Source::default() };
        for _ in 0..60 {
            let mut state = source.states.last().unwrap().clone();
            let change = change(random, &state);
            let _ = state.apply(&change);
            source.changes.push(encode(&change));
            source.states.push(state);
        }
        let mut term = 1;
        for _ in 0..30 {
            term += u64::from(random.random_bool(0.1));
            let servers = (0..random.random_range(0..5)).map(|number| server(number, random)).collect();
            source.updates.extend(source.table.replace(term, servers));
        }
        source
    }
}

fn add_update(trace: &mut Trace, update: Option<FeedUpdate>) {
    trace.add_number(match update {
        None => u64::MAX,
        Some(FeedUpdate { state, servers, workers }) => {
            u64::from(state) + 2 * u64::from(servers) + 4 * u64::from(workers)
        }
    });
}

fn add_replica(trace: &mut Trace, replica: &FeedReplica) {
    trace.add(&encode(&replica.position()));
    trace.add_number(replica.sequence());
    trace.add(&encode(&replica.state().snapshot()));
    trace.add(&encode(&replica.servers().snapshot()));
    replica.workers().iter().for_each(|worker| trace.add(&encode(worker)));
}

/// Applies one message of the feed, often not the next one.
fn feed(random: &mut Pcg64Mcg, source: &Source, replica: &mut FeedReplica) -> Option<FeedUpdate> {
    let most = source.changes.len() as u64;
    match random.random_range(0..10) {
        0 => {
            let sequence = random.random_range(0..=most);
            let mut image = encode(&source.states[sequence as usize].snapshot());
            if random.random_bool(0.2) {
                image.pop();
            }
            replica.apply_snapshot(sequence, &image).ok()
        }
        1..5 => {
            let next = replica.sequence() + 1;
            let first = (next + random.random_range(0..3)).saturating_sub(1).clamp(1, most);
            let last = random.random_range(first..=(first + 3).min(most));
            replica.apply_changes(first, &source.changes[first as usize - 1..last as usize]).ok()
        }
        5..9 => {
            replica.apply_server_update(&source.updates[random.random_range(0..source.updates.len())]).ok()
        }
        _ => {
            let version = TableVersion { term: random.random_range(1..4), number: random.random_range(1..4) };
            let addresses =
                (0..random.random_range(0..3)).map(|_| address(random.random_range(1..3))).collect();
            Some(replica.apply_workers(GatewayList { version, gateways: addresses }))
        }
    }
}

#[test]
fn replicas_of_the_feed_are_as_recorded() {
    let run = |seed: u64| {
        let (mut random, mut trace) = (Pcg64Mcg::seed_from_u64(seed), Trace::new());
        let source = Source::new(&mut random);
        let mut replica = FeedReplica::default();
        for _ in 0..80 {
            let update = feed(&mut random, &source, &mut replica);
            add_update(&mut trace, update);
            add_replica(&mut trace, &replica);
        }
        (format!("seed-{seed}"), trace.finish())
    };
    check_hashes(&file("copies.txt"), &(0..60).map(run).collect::<Vec<_>>());
}

const TURN: Duration = Duration::from_millis(3);
/// Number of turns without an event after which no more events are pending.
const QUIET_TURNS: usize = 3;
const MACHINES: usize = 5;

/// How a control node treats its callers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NodeBehavior {
    HasQuorum,
    NoQuorum,
    Unresponsive,
    Killed,
}

struct Caller {
    machine: usize,
    begun: bool,
}

/// A subscriber and the control nodes that it may contact, over loopback and in virtual time.
struct Scenario {
    network: Network,
    client: FeedClient,
    addresses: Vec<NodeAddress>,
    behavior: [NodeBehavior; MACHINES],
    callers: BTreeMap<ConnectionId, Caller>,
    /// The bytes that each machine has received since the last `settle`.
    received: Vec<(usize, Vec<u8>)>,
    update: FeedUpdate,
    now: u64,
    trace: Trace,
}

impl Scenario {
    /// The first three machines are listed in the settings.
    fn new(spread: u64, behavior: [NodeBehavior; MACHINES]) -> Scenario {
        let mut network = Network::new().unwrap();
        let mut listen = |tag: usize| {
            let bound = network.listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), tag as u32).unwrap();
            NodeAddress::new(Ipv4Addr::LOCALHOST, bound.port())
        };
        let addresses: Vec<NodeAddress> = (0..MACHINES).map(&mut listen).collect();
        let handshake = Handshake {
            version: 3,
            role: Role::Store,
            name: "store".to_owned(),
            zone: "zone".to_owned(),
            member: member(9),
            incarnation: 1,
            cpu_share: 1.0,
        };
        let client = FeedClient::new(handshake, addresses[..3].to_vec(), spread);
        Scenario {
            network,
            client,
            addresses,
            behavior,
            callers: BTreeMap::new(),
            received: Vec::new(),
            update: FeedUpdate::default(),
            now: 10_000,
            trace: Trace::new(),
        }
    }

    /// Handles all events that are due at the current time, and records the messages.
    fn settle(&mut self) {
        let mut quiet = 0;
        while quiet < QUIET_TURNS {
            let events = self.network.poll(TURN).unwrap();
            quiet = if events.is_empty() { quiet + 1 } else { 0 };
            events.into_iter().for_each(|event| self.handle(event));
        }
        self.received.sort();
        for (machine, bytes) in self.received.drain(..) {
            self.trace.add_number(self.now);
            self.trace.add_number(machine as u64);
            self.trace.add(&bytes);
        }
        let update = std::mem::take(&mut self.update);
        if update.any() {
            add_update(&mut self.trace, Some(update));
            add_replica(&mut self.trace, self.client.replica());
        }
        let index_of = |address| self.addresses.iter().position(|a| *a == address).unwrap();
        self.trace
            .add_number(self.client.session_node().map_or(u64::MAX, |address| index_of(address) as u64));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, connection } => self.accepted(listener as usize, connection),
            Event::Connected(connection) => self.client.connected(&mut self.network, connection),
            Event::Data(connection) if self.client.owns(connection) => {
                self.update |= self.client.data(&mut self.network, connection, self.now);
            }
            Event::Data(connection) => self.receive(connection),
            Event::Closed { connection, .. } if self.client.owns(connection) => {
                self.client.closed(&mut self.network, connection, self.now);
            }
            Event::Closed { connection, .. } => {
                self.callers.remove(&connection);
                self.network.abort(connection);
            }
            other => unreachable!("{other:?}"),
        }
    }

    fn accepted(&mut self, machine: usize, connection: ConnectionId) {
        self.received.push((machine, Vec::new()));
        if self.behavior[machine] == NodeBehavior::Killed {
            self.network.abort(connection);
            return;
        }
        self.callers.insert(connection, Caller { machine, begun: false });
    }

    fn receive(&mut self, connection: ConnectionId) {
        while let Some(caller) = self.callers.get_mut(&connection) {
            let machine = caller.machine;
            if !caller.begun {
                caller.begun = true;
                let kind = self.network.inbox(connection)[0];
                self.network.consume(connection, 1);
                self.received.push((machine, vec![kind]));
            }
            let Some((message, length)) =
                read_frame::<SessionMessage>(self.network.inbox(connection)).unwrap()
            else {
                return;
            };
            self.network.consume(connection, length);
            self.received.push((machine, encode(&message)));
            self.reply(connection, machine, &message);
        }
    }

    fn reply(&mut self, connection: ConnectionId, machine: usize, message: &SessionMessage) {
        let controls = self.addresses.clone();
        let reply = match (self.behavior[machine], message) {
            (NodeBehavior::HasQuorum, SessionMessage::Handshake { .. }) => {
                ControlMessage::Welcome { controls }
            }
            (NodeBehavior::HasQuorum, SessionMessage::Heartbeat { .. }) => ControlMessage::Heartbeat,
            (NodeBehavior::NoQuorum, _) => ControlMessage::Redirect { controls },
            _ => return,
        };
        let ends = matches!(reply, ControlMessage::Redirect { .. });
        write_frame(self.network.outbox(connection).unwrap(), &reply);
        if ends {
            self.callers.remove(&connection);
            self.network.finish(connection);
        }
    }

    /// Every control node with a quorum sends a message to its subscribers.
    fn broadcast(&mut self, message: &ControlMessage) {
        let has_quorum =
            |caller: &Caller| self.behavior[caller.machine] == NodeBehavior::HasQuorum && caller.begun;
        let connections: Vec<ConnectionId> =
            self.callers.iter().filter(|(_, caller)| has_quorum(caller)).map(|(id, _)| *id).collect();
        for connection in connections {
            write_frame(self.network.outbox(connection).unwrap(), message);
        }
        self.settle();
    }

    fn set(&mut self, machine: usize, behavior: NodeBehavior) {
        self.behavior[machine] = behavior;
        if behavior == NodeBehavior::Killed {
            let of_machine = |caller: &Caller| caller.machine == machine;
            let ended: Vec<ConnectionId> =
                self.callers.iter().filter(|(_, caller)| of_machine(caller)).map(|(id, _)| *id).collect();
            for connection in ended {
                self.callers.remove(&connection);
                self.network.abort(connection);
            }
            self.settle();
        }
    }

    /// Advances the time from one wake-up of the subscriber to the next.
    fn pass(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now = self.client.next_wakeup().clamp(self.now + 1, end);
            self.client.maintain(&mut self.network, self.now);
            self.settle();
        }
    }
}

/// Losses of control nodes one after the other, with changes and a server table in between.
fn run_scenario(spread: u64) -> u64 {
    let [has_quorum, no_quorum] = [NodeBehavior::HasQuorum, NodeBehavior::NoQuorum];
    let behavior = [has_quorum, NodeBehavior::Unresponsive, NodeBehavior::Killed, has_quorum, no_quorum];
    let mut scenario = Scenario::new(spread, behavior);
    let mut random = Pcg64Mcg::seed_from_u64(spread);
    let source = Source::new(&mut random);
    let health =
        |leaving| StoreHealth { disk_failing: false, used_bytes: 10, capacity_bytes: 100, draining: leaving };
    scenario.client.set_health(health(false));
    scenario.pass(700);
    scenario
        .broadcast(&ControlMessage::Snapshot { sequence: 5, state: encode(&source.states[5].snapshot()) });
    scenario.broadcast(&ControlMessage::Changes { first: 5, changes: source.changes[4..9].to_vec() });
    scenario.broadcast(&ControlMessage::Servers(source.table.snapshot()));
    scenario.pass(600);
    scenario.broadcast(&ControlMessage::Gateways(GatewayList {
        version: TableVersion { term: 1, number: 1 },
        gateways: vec![address(1)],
    }));
    scenario.set(0, no_quorum);
    scenario.pass(500);
    scenario.set(3, NodeBehavior::Killed);
    scenario.pass(900);
    scenario.set(2, has_quorum);
    scenario.pass(900);
    scenario.client.set_health(health(true));
    scenario.client.send(
        &mut scenario.network,
        &SessionMessage::LearnerCaughtUp { partition: 1, epoch: 2, member: member(9) },
    );
    scenario.pass(300);
    assert_eq!((scenario.client.replica().sequence(), scenario.client.replica().workers().len()), (9, 1));
    // A gap before a change ends the session.
    scenario.broadcast(&ControlMessage::Changes { first: 30, changes: source.changes[29..31].to_vec() });
    scenario.pass(500);
    scenario.client.say_goodbye(&mut scenario.network);
    scenario.settle();
    scenario.trace.finish()
}

#[test]
fn sessions_of_a_subscriber_are_as_recorded() {
    let run = |spread: u64| (format!("spread-{spread}"), run_scenario(spread));
    check_hashes(&file("sessions.txt"), &(0..3).map(run).collect::<Vec<_>>());
}
