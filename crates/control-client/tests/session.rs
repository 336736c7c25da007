//! The session of a subscriber on a slow link.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use orchidvalve_control_client::FeedClient;
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::frames::write_frame;
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{ControlMessage, Handshake, PROTOCOL_VERSION, Role};

const MAX_TURNS: usize = 1_000;

struct Pair {
    network: Network,
    client: FeedClient,
    /// The control node's end of the session.
    control: ConnectionId,
    client_end: ConnectionId,
}

/// Polls until `found` returns a value.
fn await_event<T>(network: &mut Network, mut found: impl FnMut(&Event) -> Option<T>) -> T {
    for _ in 0..MAX_TURNS {
        for event in network.poll(Duration::from_millis(20)).unwrap() {
            if let Some(result) = found(&event) {
                return result;
            }
        }
    }
    panic!("the event did not occur");
}

fn connect(now: u64) -> Pair {
    let mut network = Network::new().unwrap();
    let address = network.listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), 1).unwrap();
    let node = NodeAddress::new(Ipv4Addr::LOCALHOST, address.port());
    let handshake = Handshake {
        version: PROTOCOL_VERSION,
        role: Role::Gateway,
        name: "door".to_owned(),
        zone: "zone".to_owned(),
        member: MemberId { address: node, disk: 0 },
        incarnation: 1,
        cpu_share: 1.0,
    };
    let mut client = FeedClient::new(handshake, vec![node], 0);
    client.maintain(&mut network, now);
    let (mut control, mut client_end) = (None, None);
    let ends = await_event(&mut network, |event| {
        match event {
            Event::Accepted { connection, .. } => control = Some(*connection),
            Event::Connected(connection) => client_end = Some(*connection),
            _ => {}
        }
        control.zip(client_end)
    });
    client.connected(&mut network, ends.1);
    Pair { network, client, control: ends.0, client_end: ends.1 }
}

impl Pair {
    /// The control node sends bytes, which the client reads at `now`.
    fn receive(&mut self, bytes: &[u8], now: u64) {
        self.network.send(self.control, bytes);
        let client_end = self.client_end;
        await_event(&mut self.network, |event| {
            matches!(event, Event::Data(c) if *c == client_end).then_some(())
        });
        self.client.data(&mut self.network, client_end, now);
    }
}

fn welcome() -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &ControlMessage::Welcome { controls: Vec::new() });
    bytes
}

#[test]
fn partial_message_keeps_the_session_alive() {
    let mut pair = connect(1_000);
    let mut snapshot = Vec::new();
    write_frame(&mut snapshot, &ControlMessage::Snapshot { sequence: 1, state: vec![0; 2_000] });
    pair.receive(&welcome(), 1_100);
    assert!(pair.client.has_session());
    for (turn, piece) in snapshot.chunks(500).take(3).enumerate() {
        let now = 1_700 + 600 * turn as u64;
        pair.receive(piece, now);
        pair.client.maintain(&mut pair.network, now + 550);
        assert!(pair.client.has_session(), "at {now}");
    }
}

#[test]
fn session_with_an_unresponsive_control_node_ends() {
    let mut pair = connect(1_000);
    pair.receive(&welcome(), 1_100);
    pair.client.maintain(&mut pair.network, 1_900);
    assert!(pair.client.has_session());
    pair.client.maintain(&mut pair.network, 2_100);
    assert!(!pair.client.has_session());
}

// Guards against CONFIG of incident keys-and-duties: a new session counted as up to date with the control state,
// although the changes that this process had missed were still in flight.
#[test]
fn welcome_and_partial_message_do_not_count_as_last_message() {
    let mut pair = connect(1_000);
    assert_eq!(pair.client.last_message_at(), None);
    pair.receive(&welcome(), 1_100);
    assert_eq!((pair.client.has_session(), pair.client.last_message_at()), (true, None));
    let mut heartbeat = Vec::new();
    write_frame(&mut heartbeat, &ControlMessage::Heartbeat);
    let (part, rest) = heartbeat.split_at(heartbeat.len() - 1);
    pair.receive(part, 1_200);
    assert_eq!(pair.client.last_message_at(), None);
    pair.receive(rest, 1_300);
    assert_eq!(pair.client.last_message_at(), Some(1_300));
    pair.receive(&welcome(), 1_400);
    assert_eq!(pair.client.last_message_at(), Some(1_300));
    pair.client.maintain(&mut pair.network, 2_400);
    assert_eq!((pair.client.has_session(), pair.client.last_message_at()), (false, None));
}

// Guards against usage counts that are sent in one session only: each new session is recognised by its number.
#[test]
fn each_session_has_its_own_number() {
    let mut pair = connect(1_000);
    assert_eq!(pair.client.session_number(), None);
    pair.receive(&welcome(), 1_100);
    assert_eq!(pair.client.session_number(), Some(1));
    pair.client.maintain(&mut pair.network, 2_100);
    assert_eq!(pair.client.session_number(), None);
    let (mut now, mut control) = (2_100, None);
    let client_end = loop {
        now += 20;
        pair.client.maintain(&mut pair.network, now);
        let mut connected = None;
        for event in pair.network.poll(Duration::from_millis(5)).unwrap() {
            match event {
                Event::Accepted { connection, .. } => control = Some(connection),
                Event::Connected(connection) if pair.client.owns(connection) => connected = Some(connection),
                _ => {}
            }
        }
        if let Some(connection) = connected {
            pair.client.connected(&mut pair.network, connection);
            break connection;
        }
        assert!(now < 12_000, "no control node was contacted");
    };
    while control.is_none() {
        for event in pair.network.poll(Duration::from_millis(5)).unwrap() {
            if let Event::Accepted { connection, .. } = event {
                control = Some(connection);
            }
        }
    }
    pair.control = control.unwrap();
    pair.client_end = client_end;
    pair.receive(&welcome(), now);
    assert_eq!(pair.client.session_number(), Some(2));
}
