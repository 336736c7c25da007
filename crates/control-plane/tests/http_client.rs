//! HTTP exchanges over loopback: no response completes another exchange, and only complete responses count.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::{SocketAddrV4, TcpListener};

use orchidvalve_control_plane::http_client::{
    CONNECT_TIMEOUT_MS, CompletedExchange, ConnectionUse, ExchangeTarget, HttpClient,
};
use orchidvalve_net::{Event, Network};
use rstest::rstest;
use sockets_support::*;

const REQUEST: &str = "GET /instances HTTP/1.1\r\n\r\n";
const TIMEOUT_MS: u64 = 1_000;
/// Exceeds the buffers of two sockets.
const LONG_BODY: usize = 64 << 20;

/// Purpose of an exchange: its number.
type Number = u32;

struct ClientFixture {
    network: Network,
    client: HttpClient<Number>,
    listener: TcpListener,
    server: SocketAddrV4,
    completed: Vec<CompletedExchange<Number>>,
    now: u64,
}

impl ClientFixture {
    fn new() -> ClientFixture {
        let (listener, server) = listen();
        let network = Network::new().unwrap();
        ClientFixture {
            network,
            client: HttpClient::default(),
            listener,
            server,
            completed: Vec::new(),
            now: 1_000,
        }
    }

    fn start(&mut self, number: Number, connection_use: ConnectionUse) {
        self.start_with(number, connection_use, REQUEST.as_bytes());
    }

    fn start_with(&mut self, number: Number, connection_use: ConnectionUse, request: &[u8]) {
        let deadline = self.now + TIMEOUT_MS;
        let target = ExchangeTarget { address: self.server, connection_use, started_at: self.now, deadline };
        self.client.start(&mut self.network, target, "GET", request, number).unwrap();
    }

    fn turn(&mut self) {
        for event in self.network.poll(TURN).unwrap() {
            let completed = match event {
                Event::Data(id) if self.client.owns(id) => self.client.data(&mut self.network, id),
                Event::Closed { connection, .. } if self.client.owns(connection) => {
                    self.client.closed(&mut self.network, connection)
                }
                _ => None,
            };
            self.completed.extend(completed);
        }
    }

    fn until<T>(&mut self, mut found: impl FnMut(&mut ClientFixture) -> Option<T>) -> T {
        for _ in 0..MAX_TURNS {
            if let Some(result) = found(self) {
                return result;
            }
            self.turn();
        }
        panic!("the expected event did not occur");
    }

    /// Accepts the next connection at the server.
    fn accept(&mut self) -> Peer {
        self.until(|fixture| fixture.listener.accept().ok().map(|(stream, _)| Peer::new(stream)))
    }

    fn read_request(&mut self, peer: &mut Peer) {
        self.until(|_| {
            peer.receive();
            peer.text().ends_with("\r\n\r\n").then_some(())
        });
        peer.inbox.clear();
    }

    /// Waits for the next completed exchange. Returns its number and the body of its response.
    fn completed_body(&mut self) -> (Number, Option<String>) {
        let completed = self.until(|fixture| fixture.completed.pop());
        (completed.purpose, completed.response.map(|response| String::from_utf8(response.body).unwrap()))
    }

    /// Completes an exchange on a new connection.
    fn complete_exchange(&mut self, number: Number, connection_use: ConnectionUse, response: &str) -> Peer {
        self.start(number, connection_use);
        let mut peer = self.accept();
        self.read_request(&mut peer);
        peer.send(response);
        assert_eq!(self.completed_body().0, number);
        peer
    }

    /// Returns whether the next exchange uses the connection of `peer`.
    fn reuses(&mut self, peer: &mut Peer, connection_use: ConnectionUse) -> bool {
        self.start(99, connection_use);
        self.until(|fixture| {
            peer.receive();
            if peer.text().ends_with("\r\n\r\n") {
                return Some(true);
            }
            fixture.listener.accept().is_ok().then_some(false)
        })
    }
}

fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn list_readings_reuse_an_idle_connection() {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, ConnectionUse::Reused, &response("one"));
    assert!(fixture.reuses(&mut peer, ConnectionUse::Reused));
    peer.send(&response("two"));
    assert_eq!(fixture.completed_body(), (99, Some("two".to_owned())));
}

/// A server's second response to an earlier request must not be taken for the response to an order.
#[rstest]
fn an_order_never_reuses_a_connection(
    #[values(ConnectionUse::New, ConnectionUse::Reused)] before: ConnectionUse,
) {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, before, &response("one"));
    assert!(!fixture.reuses(&mut peer, ConnectionUse::New));
}

#[test]
fn a_probe_reuses_the_connection_of_its_order() {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, ConnectionUse::New, &response("one"));
    assert!(fixture.reuses(&mut peer, ConnectionUse::Reused));
    peer.send(&response("two"));
    assert_eq!(fixture.completed_body(), (99, Some("two".to_owned())));
}

#[test]
fn a_closed_idle_connection_is_not_reused() {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, ConnectionUse::New, &response("one"));
    fixture.client.close_idle(&mut fixture.network, fixture.server);
    assert!(!fixture.reuses(&mut peer, ConnectionUse::Reused));
}

/// A second response that arrives before the next probe ends the connection.
#[test]
fn a_connection_with_a_second_response_is_not_reused() {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, ConnectionUse::New, &(response("one") + &response("again")));
    assert!(!fixture.reuses(&mut peer, ConnectionUse::Reused));
}

/// A second response has arrived but is not processed yet when the next exchange starts.
#[test]
fn an_unsolicited_response_does_not_complete_the_next_exchange() {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, ConnectionUse::Reused, &response("one"));
    peer.send(&response("extra"));
    fixture.until(|fixture| {
        let events = fixture.network.poll(TURN).unwrap();
        events.iter().any(|e| matches!(e, Event::Data(_))).then_some(())
    });
    assert!(!fixture.reuses(&mut peer, ConnectionUse::Reused));
}

#[rstest]
#[case::more_after_it("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nbmore")]
#[case::closing("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb")]
#[case::old_protocol("HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nb")]
fn a_connection_is_not_reused(#[case] response: &str) {
    let mut fixture = ClientFixture::new();
    let mut peer = fixture.complete_exchange(1, ConnectionUse::Reused, response);
    assert!(!fixture.reuses(&mut peer, ConnectionUse::Reused));
}

#[test]
fn an_idle_connection_that_ended_is_dropped() {
    let mut fixture = ClientFixture::new();
    let peer = fixture.complete_exchange(1, ConnectionUse::Reused, &response("one"));
    drop(peer);
    fixture.until(|fixture| (fixture.network.connection_count() == 0).then_some(()));
    fixture.start(2, ConnectionUse::Reused);
    let mut peer = fixture.accept();
    fixture.read_request(&mut peer);
    peer.send(&response("two"));
    assert_eq!(fixture.completed_body(), (2, Some("two".to_owned())));
}

/// The server responds before it has read the request: no other request may follow where the rest of that one is due.
#[test]
fn an_early_response_closes_its_connection() {
    let mut fixture = ClientFixture::new();
    let request = format!("GET / HTTP/1.1\r\nContent-Length: {LONG_BODY}\r\n\r\n{}", "x".repeat(LONG_BODY));
    fixture.start_with(1, ConnectionUse::Reused, request.as_bytes());
    let mut early = fixture.accept();
    early.send(&response("early"));
    assert_eq!(fixture.completed_body(), (1, Some("early".to_owned())));
    fixture.start(2, ConnectionUse::Reused);
    let mut next = fixture.accept();
    fixture.read_request(&mut next);
    fixture.until(|_| {
        early.receive();
        early.ended.then_some(())
    });
    assert!(early.text().find(REQUEST).is_none());
}

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\nbytes";

#[test]
fn a_response_without_a_length_is_complete_at_an_orderly_close() {
    let mut fixture = ClientFixture::new();
    fixture.start(1, ConnectionUse::New);
    let mut peer = fixture.accept();
    fixture.read_request(&mut peer);
    peer.send(WITHOUT_LENGTH);
    drop(peer);
    assert_eq!(fixture.completed_body(), (1, Some("bytes".to_owned())));
}

#[rstest]
#[case::without_a_length(WITHOUT_LENGTH)]
#[case::with_a_length("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbytes")]
fn a_response_cut_off_by_a_reset_does_not_count(#[case] bytes: &str) {
    let mut fixture = ClientFixture::new();
    fixture.start(1, ConnectionUse::New);
    let mut peer = fixture.accept();
    fixture.read_request(&mut peer);
    peer.send(bytes);
    fixture.turn();
    peer.reset();
    assert_eq!(fixture.completed_body(), (1, None));
}

/// The exchange ends as if the server had broken off, and its connection is closed.
#[rstest]
#[case::invalid_status("HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\nb")]
#[case::invalid_status_after_an_interim_response(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 OK\r\nContent-Length: 1\r\n\r\nb"
)]
#[case::field_name_after_a_line_feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\nName: value\r\n\r\nb")]
#[case::control_byte_in_a_field_name("HTTP/1.1 200 OK\r\nNa\x7fme: value\r\nContent-Length: 1\r\n\r\nb")]
#[case::control_byte_in_a_trailer_name(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nNa\0me: value\r\n\r\n"
)]
fn a_broken_response_does_not_count(
    #[case] bytes: &str,
    #[values(ConnectionUse::New, ConnectionUse::Reused)] connection_use: ConnectionUse,
) {
    let mut fixture = ClientFixture::new();
    fixture.start(1, connection_use);
    let mut peer = fixture.accept();
    fixture.read_request(&mut peer);
    peer.send(bytes);
    assert_eq!(fixture.completed_body(), (1, None));
    fixture.until(|_| {
        peer.receive();
        peer.ended.then_some(())
    });
}

#[test]
fn an_order_whose_connection_is_not_established_in_time_is_never_sent() {
    let mut fixture = ClientFixture::new();
    fixture.start(1, ConnectionUse::New);
    assert_eq!(fixture.client.next_deadline(), Some(fixture.now + CONNECT_TIMEOUT_MS));
    fixture.now += CONNECT_TIMEOUT_MS;
    let expired = fixture.client.expire(&mut fixture.network, fixture.now);
    assert_eq!(expired.iter().map(|f| (f.purpose, f.response.is_some())).collect::<Vec<_>>(), [(1, false)]);
    let mut peer = fixture.accept();
    fixture.until(|_| {
        peer.receive();
        peer.ended.then_some(())
    });
    assert!(peer.inbox.is_empty());
}

/// The connection is established while this process is suspended, and the request is still in the outbox.
#[test]
fn an_order_whose_connection_was_established_during_a_freeze_is_never_sent() {
    let mut fixture = ClientFixture::new();
    fixture.start(1, ConnectionUse::New);
    fixture.until(|fixture| {
        let events = fixture.network.poll(TURN).unwrap();
        events.iter().any(|e| matches!(e, Event::Connected(_))).then_some(())
    });
    fixture.now += CONNECT_TIMEOUT_MS;
    let expired = fixture.client.expire(&mut fixture.network, fixture.now);
    assert_eq!(expired.iter().map(|f| (f.purpose, f.response.is_some())).collect::<Vec<_>>(), [(1, false)]);
    let mut peer = fixture.accept();
    fixture.until(|_| {
        peer.receive();
        peer.ended.then_some(())
    });
    assert!(peer.inbox.is_empty());
}

#[test]
fn a_response_after_the_deadline_is_ignored() {
    let mut fixture = ClientFixture::new();
    fixture.start(1, ConnectionUse::Reused);
    let mut peer = fixture.accept();
    fixture.read_request(&mut peer);
    fixture.now += CONNECT_TIMEOUT_MS;
    assert!(
        fixture.client.expire(&mut fixture.network, fixture.now).is_empty(),
        "the connection is established"
    );
    assert_eq!(fixture.client.next_deadline(), Some(fixture.now - CONNECT_TIMEOUT_MS + TIMEOUT_MS));
    fixture.now += TIMEOUT_MS - CONNECT_TIMEOUT_MS;
    let expired = fixture.client.expire(&mut fixture.network, fixture.now);
    assert_eq!(expired.iter().map(|f| (f.purpose, f.response.is_some())).collect::<Vec<_>>(), [(1, false)]);
    fixture.until(|_| {
        peer.receive();
        peer.ended.then_some(())
    });
    assert!(!fixture.reuses(&mut peer, ConnectionUse::Reused));
}
