//! Tests of client connections: order of responses, framing, limits, timeouts, and shutdown of the process.

mod sockets_support;

use std::net::SocketAddrV4;

use orchidvalve_configuration::Configuration;
use orchidvalve_data_plane::clients::{
    Busy, Clients, ReadOutcome, malformed_status, readiness_idle_timeout_ms,
};
use orchidvalve_data_plane::requests::RequestId;
use orchidvalve_http::{Headers, HttpError, MessageLimits, Request, ResponseHead};
use orchidvalve_net::{ConnectionId, Event, Network};
use rstest::rstest;
use sockets_support::*;

const LIMITS: MessageLimits = MessageLimits { header_bytes: 256, body_bytes: 32 };
const IDLE_MS: u64 = 15_000;
const HEADER_MS: u64 = 3_000;

struct Gateway {
    network: Network,
    clients: Clients,
    address: SocketAddrV4,
    connection: Option<ConnectionId>,
    requests: Vec<Request>,
    malformed: Option<HttpError>,
    disconnected_work: Vec<Busy>,
    now: u64,
}

impl Gateway {
    fn new() -> Gateway {
        let mut network = Network::new().unwrap();
        let address = v4(network.listen(loopback(), 1).unwrap());
        let (requests, disconnected_work) = Default::default();
        let clients = Clients::default();
        Gateway {
            network,
            clients,
            address,
            connection: None,
            requests,
            malformed: None,
            disconnected_work,
            now: 1_000,
        }
    }

    fn connect(&mut self) -> Peer {
        let peer = Peer::connect(self.address);
        self.run_until(|gateway| gateway.connection.is_some());
        peer
    }

    fn turn(&mut self) {
        for event in self.network.poll(TURN).unwrap() {
            match event {
                Event::Accepted { connection, .. } => {
                    self.clients.accepted(connection, self.now);
                    self.connection = Some(connection);
                }
                Event::Data(connection) => self.read(connection),
                Event::Closed { connection, .. } => {
                    self.disconnected_work.extend(self.clients.closed(connection));
                    self.network.abort(connection);
                }
                other => unreachable!("{other:?}"),
            }
        }
    }

    /// Reads one request and marks its connection as busy with it.
    fn read(&mut self, connection: ConnectionId) {
        match self.clients.read(&mut self.network, connection, &LIMITS, self.now) {
            ReadOutcome::Incomplete => {}
            ReadOutcome::Malformed(error) => {
                self.malformed = Some(error);
                let status = error.status();
                self.clients.respond(&mut self.network, connection, status, &[], b"why", self.now);
            }
            ReadOutcome::Request(request) => {
                self.requests.push(request);
                self.clients.assign(connection, self.busy());
            }
        }
    }

    fn busy(&self) -> Busy {
        Busy::Request(RequestId(self.requests.len() as u64))
    }

    fn run_until(&mut self, mut done: impl FnMut(&mut Gateway) -> bool) {
        for _ in 0..MAX_TURNS {
            if done(self) {
                return;
            }
            self.turn();
        }
        panic!("the awaited event did not happen");
    }

    fn wait_for_requests(&mut self, count: usize) {
        self.run_until(|gateway| gateway.requests.len() >= count);
        assert_eq!(self.requests.len(), count);
    }

    fn busy_connection(&self) -> ConnectionId {
        self.clients.connection_of(self.busy()).unwrap()
    }

    fn respond(&mut self, body: &str) {
        let connection = self.busy_connection();
        self.clients.respond(
            &mut self.network,
            connection,
            200,
            &[("Retry-After", "1")],
            body.as_bytes(),
            self.now,
        );
        self.read(connection);
    }

    fn receive_until(&mut self, peer: &mut Peer, end: &str) -> String {
        self.run_until(|_| {
            peer.receive();
            peer.text().ends_with(end)
        });
        String::from_utf8(std::mem::take(&mut peer.inbox)).unwrap()
    }

    fn wait_for_end(&mut self, peer: &mut Peer) {
        self.run_until(|_| {
            peer.receive();
            peer.ended
        });
    }

    fn expire(&mut self, passed_ms: u64) -> usize {
        self.now += passed_ms;
        self.clients.close_expired(&mut self.network, self.now, IDLE_MS, HEADER_MS).len()
    }
}

fn request(id: &str, lines: &str) -> String {
    format!("POST /a/{id} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\n{lines}Content-Length: 2\r\n\r\nok")
}

fn server_head(status: u16) -> ResponseHead {
    let mut headers = Headers::default();
    let lines = [
        ("Attempt-Id", "1"),
        ("Server-Signature", "3e1b.07"),
        ("Connection", "close, X-Own"),
        ("X-Own", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Content-Length", "99"),
    ];
    lines.iter().for_each(|(name, value)| headers.push(name, value));
    ResponseHead { status, headers }
}

#[test]
fn requests_of_one_connection_get_responses_in_order() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&(request("1", "") + &request("2", "") + &request("3", "")));
    for (count, id) in ["1", "2", "3"].into_iter().enumerate() {
        gateway.wait_for_requests(count + 1);
        assert_eq!(gateway.requests[count].headers.get("attempt-id"), Some(id));
        // Further bytes that have arrived aren't read before the response is written.
        let connection = gateway.busy_connection();
        gateway.read(connection);
        assert_eq!(gateway.requests.len(), count + 1);
        gateway.respond(&format!("response {id}"));
        let got = gateway.receive_until(&mut peer, &format!("response {id}"));
        assert!(got.starts_with(&format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n")), "{got}");
        assert!(!got.contains("Connection: close"));
    }
}

#[test]
fn first_byte_time_is_that_of_the_current_request() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    let connection = gateway.connection.unwrap();
    let first_byte_at = gateway.now + 400;
    gateway.now = first_byte_at;
    peer.send("POST /a/1 HTTP/1.1\r\nContent-Length: 2\r\n");
    gateway.run_until(|gateway| !gateway.network.inbox(connection).is_empty());
    gateway.now += 300;
    peer.send("\r\no");
    (0..20).for_each(|_| gateway.turn());
    gateway.now += 300;
    peer.send("k");
    gateway.wait_for_requests(1);
    assert_eq!(gateway.clients.first_byte_at(connection), Some(first_byte_at));
    // The time of the response must not count for the next request.
    gateway.now += 500;
    gateway.respond("whole");
    gateway.now += 500;
    peer.send(&request("2", ""));
    gateway.wait_for_requests(2);
    assert_eq!(gateway.clients.first_byte_at(connection), Some(gateway.now));
}

/// Some clients send an empty line after a body. It doesn't begin a request.
#[test]
fn an_empty_line_between_two_requests_begins_none() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    let connection = gateway.connection.unwrap();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    gateway.respond("whole");
    peer.send("\r\n");
    gateway.run_until(|gateway| !gateway.network.inbox(connection).is_empty());
    assert_eq!(gateway.expire(HEADER_MS + 1), 0);
    peer.send(&request("2", ""));
    gateway.wait_for_requests(2);
    assert_eq!(gateway.clients.first_byte_at(connection), Some(gateway.now));
}

#[test]
fn a_request_may_arrive_byte_by_byte() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    let text =
        "POST /a/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n";
    for byte in 0..text.len() {
        assert!(gateway.requests.is_empty());
        peer.send(&text[byte..byte + 1]);
        gateway.turn();
    }
    gateway.wait_for_requests(1);
    assert_eq!(gateway.requests[0].body, b"ok");
}

#[rstest]
#[case::requested("POST /a/1 HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n", true)]
#[case::old_protocol("GET /a/1 HTTP/1.0\r\nHost: h\r\n\r\n", true)]
#[case::old_protocol_kept("GET /a/1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", false)]
#[case::kept("GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n", false)]
fn connections_close_when_the_client_requests_it(#[case] text: &str, #[case] ends: bool) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(text);
    gateway.wait_for_requests(1);
    gateway.respond("whole");
    let got = gateway.receive_until(&mut peer, "whole");
    assert_eq!(got.contains("Connection: close\r\n"), ends);
    assert_eq!(gateway.clients.is_empty(), ends);
    if ends {
        gateway.wait_for_end(&mut peer);
    }
}

#[rstest]
#[case::garbage("\x16\x03\x01\r\n\r\n", HttpError::Malformed)]
#[case::two_framings(
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    HttpError::Malformed
)]
#[case::long_body("POST / HTTP/1.1\r\nContent-Length: 33\r\n\r\n", HttpError::BodyTooLong)]
#[case::coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", HttpError::UnknownCoding)]
fn a_malformed_request_gets_a_response_and_ends_the_connection(#[case] text: &str, #[case] error: HttpError) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    gateway.respond("whole");
    gateway.receive_until(&mut peer, "whole");
    peer.send(text);
    let got = gateway.receive_until(&mut peer, "why");
    assert_eq!(gateway.malformed, Some(error));
    assert!(got.starts_with(&format!("HTTP/1.1 {} ", error.status())), "{got}");
    // The id of the previous request isn't repeated.
    assert!(!got.contains("Attempt-Id") && got.contains("Connection: close"), "{got}");
    gateway.wait_for_end(&mut peer);
    assert!(gateway.clients.is_empty());
}

#[test]
fn a_header_over_the_limit_is_rejected() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(LIMITS.header_bytes)));
    gateway.receive_until(&mut peer, "why");
    assert_eq!(gateway.malformed, Some(HttpError::HeaderTooLong));
}

#[test]
fn a_response_of_a_server_is_forwarded_without_hop_by_hop_headers() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    let connection = gateway.busy_connection();
    gateway.clients.forward_response(
        &mut gateway.network,
        connection,
        &server_head(200),
        b"bytes",
        gateway.now,
    );
    let got = gateway.receive_until(&mut peer, "bytes");
    let expected =
        "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Signature: 3e1b.07\r\nContent-Length: 5\r\n\r\nbytes";
    assert_eq!(got, expected);
}

/// The method that writes a response.
#[derive(Clone, Copy, Debug)]
enum Writer {
    Local,
    Server,
    Stream,
}

#[rstest]
fn a_response_to_head_has_no_body(#[values(Writer::Local, Writer::Server, Writer::Stream)] writer: Writer) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send("HEAD /a/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    gateway.wait_for_requests(1);
    let (connection, now) = (gateway.busy_connection(), gateway.now);
    match writer {
        Writer::Local => gateway.clients.respond(&mut gateway.network, connection, 200, &[], b"body", now),
        Writer::Server => {
            gateway.clients.forward_response(
                &mut gateway.network,
                connection,
                &server_head(200),
                b"body",
                now,
            );
        }
        Writer::Stream => {
            gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
            gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"body");
            gateway.clients.end_stream(&mut gateway.network, connection, now);
        }
    }
    let got = gateway.receive_until(&mut peer, "\r\n\r\n");
    assert_eq!(got.find("\r\n\r\n"), Some(got.len() - 4), "{got}");
    // The next response begins immediately after it.
    peer.send(&request("2", ""));
    gateway.wait_for_requests(2);
    gateway.respond("whole");
    assert!(gateway.receive_until(&mut peer, "whole").starts_with("HTTP/1.1 200"));
}

#[test]
fn a_stream_is_complete_only_by_its_last_chunk() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&(request("1", "") + &request("2", "")));
    gateway.wait_for_requests(1);
    let connection = gateway.busy_connection();
    gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
    gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"id: 1\n\n");
    let got = gateway.receive_until(&mut peer, "\r\n7\r\nid: 1\n\n\r\n");
    assert!(got.contains("Transfer-Encoding: chunked\r\n") && !got.contains("Content-Length"), "{got}");
    gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"");
    gateway.clients.end_stream(&mut gateway.network, connection, gateway.now);
    assert_eq!(gateway.receive_until(&mut peer, "0\r\n\r\n"), "0\r\n\r\n");
    gateway.read(connection);
    gateway.wait_for_requests(2);
}

#[test]
fn a_stream_that_is_aborted_ends_without_its_last_chunk() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    let connection = gateway.busy_connection();
    gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
    gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"id: 1\n\n");
    gateway.clients.abort_stream(&mut gateway.network, connection);
    gateway.wait_for_end(&mut peer);
    assert!(!peer.text().contains("0\r\n\r\n"));
    assert!(gateway.clients.is_empty() && gateway.clients.connection_of(gateway.busy()).is_none());
}

#[test]
fn a_disconnect_releases_the_connections_work() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    drop(peer);
    gateway.run_until(|gateway| !gateway.disconnected_work.is_empty());
    assert_eq!(gateway.disconnected_work, [Busy::Request(RequestId(1))]);
    assert!(
        gateway.clients.is_empty() && gateway.clients.connection_of(Busy::Request(RequestId(1))).is_none()
    );
}

#[test]
fn idle_connections_time_out() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    assert_eq!(gateway.expire(IDLE_MS * 2), 0, "busy connections are kept");
    gateway.respond("whole");
    gateway.receive_until(&mut peer, "whole");
    assert_eq!(gateway.expire(IDLE_MS - 1), 0);
    assert_eq!(gateway.expire(SWEEP_INTERVAL_MS), 1);
    gateway.wait_for_end(&mut peer);
}

/// The interval at which connections are checked for timeouts, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 100;

#[rstest]
#[case::header("GET / HTTP/1.1\r\n", HEADER_MS)]
#[case::body("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\n", IDLE_MS)]
fn a_slowly_arriving_request_times_out(#[case] begin: &str, #[case] allowed: u64) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    gateway.now += 2_000;
    peer.send(begin);
    (0..20).for_each(|_| gateway.turn());
    let mut expired = 0;
    for _ in 0..allowed / 500 {
        assert_eq!(expired, 0);
        expired = gateway.expire(500);
        if expired == 0 {
            peer.send("X");
            gateway.turn();
        }
    }
    assert_eq!(expired, 1);
    gateway.wait_for_end(&mut peer);
    assert!(gateway.requests.is_empty());
}

/// Guards against idle connections that are closed at once because the configured timeout overflows the clock.
#[test]
fn idle_connections_are_kept_with_the_largest_timeout() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    gateway.respond("whole");
    gateway.receive_until(&mut peer, "whole");
    gateway.now += 60_000;
    let document = br#"{"config-version":1,"routes":[],"services":[],
        "limits":{"header-timeout-ms":18446744073709551615,"idle-timeout-ms":1.7e308}}"#;
    let configuration = Configuration::replace(document, None).unwrap();
    let limits = configuration.routes().limits();
    let (idle_ms, header_ms) = (limits.idle_timeout.as_millis(), limits.header_timeout.as_millis());
    assert_eq!(gateway.clients.close_expired(&mut gateway.network, gateway.now, idle_ms, header_ms).len(), 0);
}

#[test]
fn draining_closes_idle_connections_and_completes_the_others() {
    let mut gateway = Gateway::new();
    let mut idle = gateway.connect();
    gateway.connection = None;
    let mut busy = gateway.connect();
    busy.send(&request("1", ""));
    gateway.wait_for_requests(1);
    gateway.connection = None;
    let mut arriving = gateway.connect();
    arriving.send("POST /a/2 HTTP/1.1\r\nAttempt-Id: 2\r\nContent-Length: 2\r\n\r\n");
    (0..20).for_each(|_| gateway.turn());
    gateway.clients.begin_draining(&mut gateway.network, gateway.now);
    gateway.wait_for_end(&mut idle);
    assert_eq!(gateway.clients.len(), 2);
    gateway.respond("whole");
    assert!(gateway.receive_until(&mut busy, "whole").contains("Connection: close\r\n"));
    gateway.wait_for_end(&mut busy);
    arriving.send("ok");
    gateway.wait_for_requests(2);
    gateway.respond("whole");
    assert!(gateway.receive_until(&mut arriving, "whole").contains("Connection: close\r\n"));
    gateway.wait_for_end(&mut arriving);
    // The platform sends new connections for a while after SIGTERM.
    gateway.connection = None;
    let mut late = gateway.connect();
    late.send(&request("3", ""));
    gateway.wait_for_requests(3);
    gateway.respond("whole");
    assert!(gateway.receive_until(&mut late, "whole").contains("Connection: close\r\n"));
    gateway.wait_for_end(&mut late);
}

/// The reason why a gateway closes an idle connection.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Shutdown,
    IdleTimeout,
}

/// A client may send its next request at the same moment, and may repeat it elsewhere only if it wasn't read.
#[rstest]
fn nothing_more_is_read_on_a_closed_idle_connection(
    #[values(Ending::Shutdown, Ending::IdleTimeout)] ending: Ending,
    #[values(false, true)] used: bool,
) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    if used {
        peer.send(&request("1", ""));
        gateway.wait_for_requests(1);
        gateway.respond("whole");
        gateway.receive_until(&mut peer, "whole");
    }
    gateway.now += RESPONSE_DELIVERY_MS;
    match ending {
        Ending::Shutdown => gateway.clients.begin_draining(&mut gateway.network, gateway.now),
        Ending::IdleTimeout => assert_eq!(gateway.expire(IDLE_MS), 1),
    }
    assert_eq!(
        gateway.network.connection_count(),
        0,
        "a connection that is still held would read the request and drop it"
    );
    gateway.wait_for_end(&mut peer);
}

/// The time after which a response has certainly reached its client, in milliseconds.
const RESPONSE_DELIVERY_MS: u64 = 200;

/// A reset would discard bytes that the client hasn't read yet, so a response in transit is completed first.
#[rstest]
#[case::accepted_by_the_system(400 << 10)]
#[case::still_queued(8 << 20)]
fn closing_does_not_discard_a_response_in_transit(#[case] length: usize) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    let body = "x".repeat(length) + "end";
    gateway.respond(&body);
    gateway.network.flush();
    // The client sends its next request before it has read the response.
    peer.send(&request("2", ""));
    gateway.clients.begin_draining(&mut gateway.network, gateway.now);
    gateway.wait_for_end(&mut peer);
    assert!(peer.text().ends_with("xend"));
}

#[test]
fn partially_received_requests_are_noticed() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    assert!(!gateway.clients.is_receiving(), "a new connection has no request");
    let text = request("1", "");
    for byte in 0..text.len() {
        peer.send(&text[byte..byte + 1]);
        let before = gateway.requests.len();
        gateway.run_until(|gateway| gateway.clients.is_receiving() || gateway.requests.len() > before);
    }
    gateway.wait_for_requests(1);
    assert!(!gateway.clients.is_receiving(), "the request has arrived");
    gateway.respond("whole");
    assert!(!gateway.clients.is_receiving());
    peer.send("POST /a/2 HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
    gateway.run_until(|gateway| gateway.clients.is_receiving());
    drop(peer);
    gateway.run_until(|gateway| gateway.clients.is_empty());
    assert!(!gateway.clients.is_receiving());
}

#[test]
fn unflushed_responses_are_noticed() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.wait_for_requests(1);
    gateway.clients.begin_draining(&mut gateway.network, gateway.now);
    let body = "x".repeat(64 << 20) + "end";
    gateway.respond(&body);
    gateway.turn();
    assert!(!gateway.clients.is_flushed(&gateway.network));
    gateway.wait_for_end(&mut peer);
    assert!(peer.text().ends_with("xend"));
    assert!(gateway.clients.is_flushed(&gateway.network));
}

#[rstest]
#[case::header(HttpError::HeaderTooLong, 431)]
#[case::body(HttpError::BodyTooLong, 413)]
#[case::malformed(HttpError::Malformed, 400)]
#[case::coding(HttpError::UnknownCoding, 501)]
fn without_a_configuration_long_messages_get_503(#[case] error: HttpError, #[case] status: u16) {
    assert_eq!(malformed_status(error, true), status);
    let unknown = if matches!(status, 413 | 431) { 503 } else { status };
    assert_eq!(malformed_status(error, false), unknown);
}

/// The clients of a killed gateway see their connections end, and nothing that reads as a response or a promise.
#[rstest]
fn a_killed_process_ends_its_connections_without_a_promise(#[values(false, true)] streaming: bool) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&(request("1", "") + &request("2", "")));
    gateway.wait_for_requests(1);
    if streaming {
        let connection = gateway.busy_connection();
        gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
        gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"id: 1\n\n");
        gateway.receive_until(&mut peer, "\r\n7\r\nid: 1\n\n\r\n");
    }
    drop(gateway);
    while !peer.ended {
        peer.receive();
    }
    assert!(
        !peer.text().contains("0\r\n\r\n")
            && peer.text().matches("HTTP/1.1").count() <= usize::from(streaming)
    );
    assert!(streaming || peer.inbox.is_empty(), "{}", peer.text());
}

#[rstest]
#[case::as_short_as_the_platforms_interval(1_000, 10_000)]
#[case::as_two_of_its_intervals(2_000, 10_000)]
#[case::longer(15_000, 15_000)]
fn connections_of_readiness_checks_outlast_the_platforms_interval(
    #[case] idle_ms: u64,
    #[case] expected: u64,
) {
    assert_eq!(readiness_idle_timeout_ms(idle_ms), expected);
}
