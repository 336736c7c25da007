//! A subscriber whose control node is killed, partitioned or replaced: which node it connects to, how soon, and that
//! its replica never returns to an older state.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use orchidvalve_control_client::FeedClient;
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::frames::{encode, read_frame, write_frame};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{
    ControlMessage, FeedPosition, Handshake, PROTOCOL_VERSION, Role, ServerEntry, ServerTableUpdate,
    SessionMessage, TableVersion,
};
use rstest::rstest;

const TURN: Duration = Duration::from_millis(3);
/// Number of turns without an event after which no more events are pending.
const QUIET_TURNS: usize = 3;
const STEP_MS: u64 = 10;
/// Maximum time in which a partitioned subscriber finds a control node that has a quorum.
const FOUND_WITHIN_MS: u64 = 1_000;
const PARTITION_MS: u64 = 20_000;

/// How a control node treats its callers.
#[derive(Clone, Debug)]
enum NodeBehavior {
    /// Has a quorum.
    Welcomes { controls: Vec<NodeAddress> },
    /// Partitioned from the majority, and reached by this subscriber.
    Redirects { controls: Vec<NodeAddress> },
    /// Partitioned from this subscriber, or frozen.
    Unresponsive,
    /// Killed.
    Refuses,
}

/// One caller of a control node.
#[derive(Debug)]
struct Caller {
    control: usize,
    position: Option<FeedPosition>,
}

struct Simulation {
    network: Network,
    client: FeedClient,
    addresses: Vec<NodeAddress>,
    behavior: Vec<NodeBehavior>,
    callers: BTreeMap<ConnectionId, Caller>,
    /// Control nodes in the order in which they were called, with the times.
    calls: Vec<(usize, u64)>,
    now: u64,
}

impl Simulation {
    /// `count` control nodes that don't reply; the first `seeds` of them are listed in the settings.
    fn new(count: usize, seeds: usize) -> Simulation {
        let mut network = Network::new().unwrap();
        let mut listen = |tag: usize| {
            let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
            let bound = network.listen(address, tag as u32).unwrap();
            NodeAddress::new(Ipv4Addr::LOCALHOST, bound.port())
        };
        let addresses: Vec<NodeAddress> = (0..count).map(&mut listen).collect();
        let handshake = Handshake {
            version: PROTOCOL_VERSION,
            role: Role::Gateway,
            name: "door".to_owned(),
            zone: "zone".to_owned(),
            member: MemberId { address: addresses[0], disk: 0 },
            incarnation: 1,
            cpu_share: 1.0,
        };
        let client = FeedClient::new(handshake, addresses[..seeds].to_vec(), 0);
        let behavior = vec![NodeBehavior::Unresponsive; count];
        Simulation {
            network,
            client,
            addresses,
            behavior,
            callers: BTreeMap::new(),
            calls: Vec::new(),
            now: 10_000,
        }
    }

    fn list(&self, controls: &[usize]) -> Vec<NodeAddress> {
        controls.iter().map(|control| self.addresses[*control]).collect()
    }

    fn welcomes(&mut self, control: usize, controls: &[usize]) {
        self.behavior[control] = NodeBehavior::Welcomes { controls: self.list(controls) };
    }

    fn redirects(&mut self, control: usize, controls: &[usize]) {
        self.behavior[control] = NodeBehavior::Redirects { controls: self.list(controls) };
    }

    /// The control node of the session loses its quorum, and redirects its subscribers.
    fn lose_quorum(&mut self, controls: &[usize]) {
        let (control, connection) = self.session().unwrap();
        self.redirects(control, controls);
        let controls = self.list(controls);
        self.send(connection, &ControlMessage::Redirect { controls });
        assert!(!self.client.has_session());
    }

    /// Closes all connections of a control node, which accepts no more.
    fn kill(&mut self, control: usize) {
        self.behavior[control] = NodeBehavior::Refuses;
        for connection in self.connections_of(control) {
            self.callers.remove(&connection);
            self.network.abort(connection);
        }
    }

    fn connections_of(&self, control: usize) -> Vec<ConnectionId> {
        self.callers.iter().filter(|(_, c)| c.control == control).map(|(id, _)| *id).collect()
    }

    /// The control node of the session, as both ends see it.
    fn session(&self) -> Option<(usize, ConnectionId)> {
        let has_handshake = |c: &&Caller| c.position.is_some();
        let welcoming = |c: &&Caller| matches!(self.behavior[c.control], NodeBehavior::Welcomes { .. });
        let mut all = self.callers.iter().filter(|(_, c)| has_handshake(c) && welcoming(c));
        let session = all.next_back().map(|(id, caller)| (caller.control, *id));
        session.filter(|_| self.client.has_session())
    }

    fn send(&mut self, connection: ConnectionId, message: &ControlMessage) {
        write_frame(self.network.outbox(connection).unwrap(), message);
        self.settle();
    }

    /// Handles all events that are due at the current time.
    fn settle(&mut self) {
        let mut quiet = 0;
        while quiet < QUIET_TURNS {
            let events = self.network.poll(TURN).unwrap();
            quiet = if events.is_empty() { quiet + 1 } else { 0 };
            for event in events {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, connection } => self.accepted(listener as usize, connection),
            Event::Connected(connection) => self.client.connected(&mut self.network, connection),
            Event::Data(connection) if self.client.owns(connection) => {
                self.client.data(&mut self.network, connection, self.now);
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

    fn accepted(&mut self, control: usize, connection: ConnectionId) {
        self.calls.push((control, self.now));
        if matches!(self.behavior[control], NodeBehavior::Refuses) {
            self.network.abort(connection);
            return;
        }
        self.callers.insert(connection, Caller { control, position: None });
    }

    /// A control node receives bytes of a caller.
    fn receive(&mut self, connection: ConnectionId) {
        let Some(caller) = self.callers.get_mut(&connection) else { return };
        if caller.position.is_none() {
            let inbox = &self.network.inbox(connection)[1..];
            let Some((message, length)) = read_frame::<SessionMessage>(inbox).unwrap() else { return };
            let SessionMessage::Handshake { position, .. } = message else { panic!("{message:?}") };
            self.network.consume(connection, length + 1);
            caller.position = Some(position);
            self.reply(connection);
        }
    }

    fn reply(&mut self, connection: ConnectionId) {
        let message = match self.behavior[self.callers[&connection].control].clone() {
            NodeBehavior::Welcomes { controls } => ControlMessage::Welcome { controls },
            NodeBehavior::Redirects { controls } => ControlMessage::Redirect { controls },
            NodeBehavior::Unresponsive | NodeBehavior::Refuses => return,
        };
        let ends = matches!(message, ControlMessage::Redirect { .. });
        write_frame(self.network.outbox(connection).unwrap(), &message);
        if ends {
            self.callers.remove(&connection);
            self.network.finish(connection);
        }
    }

    /// Advances the time from one wake-up of the subscriber to the next.
    fn pass(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while self.now < end {
            let next = self.client.next_wakeup();
            assert!(next > self.now || !self.client.has_session(), "the client wakes up continuously");
            self.now = next.clamp(self.now + 1, end);
            self.client.maintain(&mut self.network, self.now);
            self.settle();
        }
    }

    /// Advances the time until there is a session; returns the control node and the time it took.
    fn await_session(&mut self, within: u64) -> (usize, u64) {
        let begun = self.now;
        while self.session().is_none() {
            assert!(self.now < begun + within, "no session in {within} ms; called: {:?}", self.calls);
            self.pass(STEP_MS);
        }
        (self.session().unwrap().0, self.now - begun)
    }

    fn sequence(&self) -> u64 {
        self.client.replica().sequence()
    }

    fn send_snapshot(&mut self, sequence: u64) {
        let connection = self.session().unwrap().1;
        self.send(connection, &snapshot(sequence));
    }
}

fn change(version: u64) -> Change {
    Change::NameVersion { model: "large".to_owned(), version }
}

/// The state after `sequence` changes; change `n` names version `n + 1`.
fn snapshot(sequence: u64) -> ControlMessage {
    let mut state = ControlState::default();
    state.apply(&change(sequence + 1)).unwrap();
    ControlMessage::Snapshot { sequence, state: encode(&state.snapshot()) }
}

fn changes(first: u64, last: u64) -> ControlMessage {
    ControlMessage::Changes { first, changes: (first..=last).map(|n| encode(&change(n + 1))).collect() }
}

fn servers(term: u64, number: u64, instance: &str) -> ControlMessage {
    let entry = ServerEntry {
        instance: instance.to_owned(),
        service: "service".to_owned(),
        address: NodeAddress::new(Ipv4Addr::LOCALHOST, 1),
        zone: "zone".to_owned(),
        slots: 1,
        draining: false,
        models: Vec::new(),
    };
    let version = TableVersion { term, number };
    ControlMessage::Servers(ServerTableUpdate::Snapshot { version, servers: vec![entry] })
}

/// A simulation with a session at machine 0, which has sent the list `controls` and five changes.
fn with_session(count: usize, seeds: usize, controls: &[usize]) -> Simulation {
    let mut simulation = Simulation::new(count, seeds);
    simulation.welcomes(0, controls);
    simulation.await_session(FOUND_WITHIN_MS);
    simulation.send_snapshot(5);
    assert_eq!(simulation.sequence(), 5);
    simulation
}

#[test]
fn session_moves_after_the_kill_of_its_node_without_returning_to_older_state() {
    let mut simulation = with_session(3, 3, &[0, 1, 2]);
    let session = simulation.session().unwrap().1;
    simulation.send(session, &servers(3, 9, "i-new"));
    simulation.kill(0);
    simulation.welcomes(2, &[0, 1, 2]);
    simulation.pass(STEP_MS);
    assert!(!simulation.client.has_session());
    assert_eq!(simulation.await_session(FOUND_WITHIN_MS).0, 2);
    let connection = simulation.session().unwrap().1;
    let position = FeedPosition { applied: 5, servers: TableVersion { term: 3, number: 9 } };
    assert_eq!(
        simulation.callers[&connection].position,
        Some(position),
        "the handshake reports the position"
    );
    // The data of this control node is older, both the snapshots and the changes.
    simulation.send_snapshot(3);
    simulation.send(connection, &changes(2, 4));
    simulation.send(connection, &servers(3, 8, "i-old"));
    simulation.send(connection, &servers(2, 30, "i-older"));
    assert_eq!(simulation.sequence(), 5);
    assert!(simulation.client.replica().servers().get("i-new").is_some());
    simulation.send(connection, &changes(4, 7));
    assert_eq!(simulation.sequence(), 7);
    assert!(simulation.client.has_session());
}

#[test]
fn unresponsive_control_node_delays_the_search_only_briefly() {
    let mut simulation = Simulation::new(3, 3);
    simulation.welcomes(2, &[0, 1, 2]);
    let (found, took) = simulation.await_session(FOUND_WITHIN_MS);
    assert_eq!((found, simulation.calls.len()), (2, 3));
    assert!(took <= 320, "{took} ms");
}

/// All control nodes are contacted, and none more often than the retry interval permits.
#[test]
fn each_node_is_contacted_at_most_once_per_retry_interval() {
    let mut simulation = with_session(4, 2, &[0, 1, 2]);
    simulation.lose_quorum(&[0, 1, 3]);
    simulation.calls.clear();
    simulation.pass(PARTITION_MS);
    for control in 0..4 {
        assert!(simulation.connections_of(control).len() <= 2, "attempts at {control} are abandoned");
        let times: Vec<u64> =
            simulation.calls.iter().filter(|(c, _)| *c == control).map(|(_, at)| *at).collect();
        assert!(times.len() > 10, "{control} was contacted {} times", times.len());
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 300), "{control} at {times:?}");
    }
}

/// A control node that is partitioned from the majority redirects its subscribers to old control nodes.
#[rstest]
#[case::by_a_list_without_the_others(&[0])]
#[case::by_a_list_of_previous_nodes(&[0, 3, 4])]
#[case::without_a_list(&[])]
fn subscriber_on_the_minority_side_connects_to_the_majority(#[case] old_list: &[usize]) {
    let mut simulation = with_session(5, 1, &[0, 1, 2]);
    simulation.lose_quorum(old_list);
    simulation.welcomes(1, &[0, 1, 2]);
    assert_eq!(simulation.await_session(FOUND_WITHIN_MS).0, 1);
    assert_eq!(simulation.sequence(), 5);
}

/// The subscriber is on the side of the partitioned node for twenty seconds; then any one of the others is reachable.
#[rstest]
fn node_with_quorum_is_found_soon_after_a_long_partition(
    #[values(1, 2, 3, 4)] healed: usize,
    #[values(1, 3)] gone_seeds: usize,
) {
    let mut simulation = Simulation::new(5 + gone_seeds, 5 + gone_seeds);
    let all = [0, 1, 2, 3, 4];
    simulation.welcomes(0, &all);
    simulation.await_session(2 * FOUND_WITHIN_MS);
    simulation.send_snapshot(5);
    simulation.lose_quorum(&all);
    simulation.pass(PARTITION_MS + 70 * healed as u64);
    assert!(!simulation.client.has_session());
    assert_eq!(simulation.sequence(), 5, "the replica keeps its state");
    simulation.welcomes(healed, &all);
    assert_eq!(simulation.await_session(FOUND_WITHIN_MS).0, healed);
}

/// No machine in the settings exists any more, nor do those that existed at the start of the session.
#[test]
fn nodes_of_the_last_list_are_contacted_if_all_seeds_are_gone() {
    let mut simulation = with_session(6, 3, &[0, 1, 2]);
    let session = simulation.session().unwrap().1;
    // The machines are replaced one after the other during the session.
    let list = ControlMessage::Welcome { controls: simulation.list(&[0, 3, 4]) };
    simulation.send(session, &list);
    assert!(simulation.client.has_session());
    simulation.kill(1);
    simulation.kill(2);
    simulation.kill(0);
    simulation.welcomes(4, &[3, 4, 5]);
    assert_eq!(simulation.await_session(FOUND_WITHIN_MS).0, 4);
}

/// Only a node without a quorum is left that knows the current nodes: its list is used in addition to the others.
#[test]
fn list_of_a_node_without_quorum_is_used_in_addition() {
    let mut simulation = with_session(4, 1, &[0, 1]);
    simulation.kill(0);
    simulation.redirects(1, &[1, 2, 3]);
    simulation.welcomes(3, &[1, 2, 3]);
    assert_eq!(simulation.await_session(FOUND_WITHIN_MS).0, 3);
}

/// The machines of the last list are contacted before those in the settings.
#[test]
fn nodes_of_the_last_list_are_contacted_first() {
    let mut simulation = with_session(6, 3, &[0, 3, 4, 5]);
    simulation.kill(0);
    simulation.calls.clear();
    simulation.settle();
    simulation.pass(400);
    assert!(simulation.calls.len() >= 3);
    let first: Vec<usize> = simulation.calls.iter().take(3).map(|(control, _)| *control).collect();
    assert!(first.iter().all(|control| [3, 4, 5].contains(control)), "{:?}", simulation.calls);
}

/// The complete last list may be outdated: the machines in the settings are contacted nevertheless.
#[test]
fn long_list_of_unresponsive_nodes_does_not_delay_the_seeds() {
    let mut simulation = with_session(8, 2, &[0, 2, 3, 4, 5, 6, 7]);
    simulation.kill(0);
    simulation.pass(PARTITION_MS);
    assert!(!simulation.client.has_session());
    simulation.welcomes(1, &[0, 1]);
    assert_eq!(simulation.await_session(FOUND_WITHIN_MS).0, 1);
}

/// A message from a control node that hasn't welcomed the subscriber is not part of the feed.
#[rstest]
#[case::snapshot(snapshot(9))]
#[case::changes(changes(6, 9))]
#[case::servers(servers(9, 9, "i-9"))]
#[case::heartbeat(ControlMessage::Heartbeat)]
fn only_a_node_with_quorum_updates_the_replica(#[case] message: ControlMessage) {
    let mut simulation = with_session(2, 2, &[0, 1]);
    let before = simulation.client.replica().position();
    simulation.kill(0);
    while simulation.connections_of(1).is_empty() {
        simulation.pass(STEP_MS);
    }
    let caller = simulation.connections_of(1)[0];
    simulation.send(caller, &message);
    assert!(!simulation.client.has_session());
    assert_eq!(simulation.client.replica().position(), before);
    assert!(!simulation.callers.contains_key(&caller), "the connection is dropped");
}

/// The control node that was contacted first welcomes the subscriber when another one already has the session.
#[test]
fn late_welcome_is_ignored() {
    let mut simulation = Simulation::new(2, 2);
    while simulation.calls.len() < 2 {
        simulation.pass(STEP_MS);
    }
    let (first, second) = (simulation.connections_of(0)[0], simulation.connections_of(1)[0]);
    write_frame(simulation.network.outbox(first).unwrap(), &ControlMessage::Welcome { controls: Vec::new() });
    write_frame(simulation.network.outbox(first).unwrap(), &snapshot(5));
    simulation.settle();
    assert!(simulation.client.has_session());
    assert_eq!((simulation.sequence(), simulation.callers.len()), (5, 1), "the other attempt is dropped");
    assert!(!simulation.callers.contains_key(&second));
}
