//! Time limits of operators' connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::time::Duration;

use orchidvalve_net::Event;

use super::*;

const START: Milliseconds = 100_000;
const HEAD: &[u8] = b"PUT /v1/configuration HTTP/1.1\r\nHost: c\r\nContent-Length: 10\r\n\r\n";
const POLL: Duration = Duration::from_secs(10);

/// Connections of one operator, whose requests are read as in the process but get no response.
struct Fixture {
    network: Network,
    operators: OperatorConnections,
    connection: ConnectionId,
    peer: TcpStream,
    now: Milliseconds,
}

impl Fixture {
    fn new() -> Fixture {
        let mut network = Network::new().unwrap();
        let address = network.listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), 1).unwrap();
        let peer = TcpStream::connect(address).unwrap();
        peer.set_read_timeout(Some(POLL)).unwrap();
        let events = network.poll(POLL).unwrap();
        let [Event::Accepted { connection, .. }] = events[..] else { panic!("{events:?}") };
        let mut operators = OperatorConnections::default();
        operators.accepted(connection, START);
        Fixture { network, operators, connection, peer, now: START }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.peer.write_all(bytes).unwrap();
        let is_data = |event: &Event| matches!(event, Event::Data(id) if *id == self.connection);
        while !self.network.poll(POLL).unwrap().iter().any(is_data) {}
        self.operators.data_arrived(self.connection, self.now);
        let operator = self.operators.connections.get_mut(&self.connection).unwrap();
        let read = operator.reader.read(self.network.inbox(self.connection), &OPERATOR_LIMITS).unwrap();
        self.network.consume(self.connection, read.consumed);
    }

    /// Returns whether the connection is still open after this many milliseconds.
    fn is_open_after(&mut self, milliseconds: Milliseconds) -> bool {
        self.now += milliseconds;
        self.operators.expire(&mut self.network, self.now);
        self.network.flush();
        self.operators.contains(self.connection)
    }

    fn received(&mut self) -> String {
        let mut text = String::new();
        self.peer.read_to_string(&mut text).unwrap();
        text
    }
}

#[test]
fn an_idle_connection_is_closed_after_the_timeout() {
    let mut fixture = Fixture::new();
    assert!(fixture.is_open_after(IDLE_TIMEOUT_MS - 1));
    assert!(!fixture.is_open_after(1));
    assert_eq!(fixture.received(), "");
}

#[test]
fn a_stalled_request_times_out_and_does_not_delay_a_shutdown() {
    let mut fixture = Fixture::new();
    fixture.send(HEAD);
    assert!(fixture.operators.has_open_requests(&fixture.network));
    assert!(fixture.is_open_after(REQUEST_STALL_TIMEOUT_MS - 1));
    fixture.send(b"12345");
    assert!(fixture.is_open_after(REQUEST_STALL_TIMEOUT_MS - 1), "the request is still arriving");
    assert!(!fixture.is_open_after(1));
    assert!(!fixture.operators.has_open_requests(&fixture.network));
    assert!(fixture.received().starts_with("HTTP/1.1 408 "));
}

#[test]
fn a_partial_header_counts_as_a_request_in_progress() {
    let mut fixture = Fixture::new();
    fixture.send(&HEAD[..20]);
    assert!(fixture.is_open_after(REQUEST_STALL_TIMEOUT_MS - 1));
    assert!(!fixture.is_open_after(1));
}

#[test]
fn a_pending_request_has_no_time_limit_here() {
    let mut fixture = Fixture::new();
    fixture.operators.open(fixture.connection, RequestKind::ReadConfiguration);
    assert!(fixture.is_open_after(10 * IDLE_TIMEOUT_MS));
}
