//! Connections of clients: order of answers, framing, limits, time-outs and the end of the process.

mod sockets_support;

use std::net::SocketAddrV4;

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
    unreadable: Option<HttpError>,
    left: Vec<Busy>,
    now: u64,
}

impl Gateway {
    fn new() -> Gateway {
        let mut network = Network::new().unwrap();
        let address = v4(network.listen(loopback(), 1).unwrap());
        let (requests, left) = Default::default();
        let clients = Clients::default();
        Gateway { network, clients, address, connection: None, requests, unreadable: None, left, now: 1_000 }
    }

    fn connect(&mut self) -> Peer {
        let peer = Peer::connect(self.address);
        self.until(|gateway| gateway.connection.is_some());
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
                    self.left.extend(self.clients.closed(connection));
                    self.network.abort(connection);
                }
                other => unreachable!("{other:?}"),
            }
        }
    }

    /// Reads one request, and makes its connection busy with it.
    fn read(&mut self, connection: ConnectionId) {
        match self.clients.read(&mut self.network, connection, &LIMITS, self.now) {
            ReadOutcome::Incomplete => {}
            ReadOutcome::Malformed(error) => {
                self.unreadable = Some(error);
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

    fn until(&mut self, mut done: impl FnMut(&mut Gateway) -> bool) {
        for _ in 0..MOST_TURNS {
            if done(self) {
                return;
            }
            self.turn();
        }
        panic!("it doesn't come");
    }

    fn requests(&mut self, count: usize) {
        self.until(|gateway| gateway.requests.len() >= count);
        assert_eq!(self.requests.len(), count);
    }

    fn at(&self) -> ConnectionId {
        self.clients.connection_of(self.busy()).unwrap()
    }

    fn answer(&mut self, body: &str) {
        let connection = self.at();
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

    fn got(&mut self, peer: &mut Peer, end: &str) -> String {
        self.until(|_| {
            peer.look();
            peer.text().ends_with(end)
        });
        String::from_utf8(std::mem::take(&mut peer.got)).unwrap()
    }

    fn ended(&mut self, peer: &mut Peer) {
        self.until(|_| {
            peer.look();
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
fn requests_of_one_connection_are_answered_in_order() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&(request("1", "") + &request("2", "") + &request("3", "")));
    for (count, id) in ["1", "2", "3"].into_iter().enumerate() {
        gateway.requests(count + 1);
        assert_eq!(gateway.requests[count].headers.get("attempt-id"), Some(id));
        // Whatever more has come isn't read before the answer.
        let connection = gateway.at();
        gateway.read(connection);
        assert_eq!(gateway.requests.len(), count + 1);
        gateway.answer(&format!("answer {id}"));
        let got = gateway.got(&mut peer, &format!("answer {id}"));
        assert!(got.starts_with(&format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n")), "{got}");
        assert!(!got.contains("Connection: close"));
    }
}

#[test]
fn a_request_is_known_since_its_first_byte() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    let connection = gateway.connection.unwrap();
    let first_byte_at = gateway.now + 400;
    gateway.now = first_byte_at;
    peer.send("POST /a/1 HTTP/1.1\r\nContent-Length: 2\r\n");
    gateway.until(|gateway| !gateway.network.inbox(connection).is_empty());
    gateway.now += 300;
    peer.send("\r\no");
    (0..20).for_each(|_| gateway.turn());
    gateway.now += 300;
    peer.send("k");
    gateway.requests(1);
    assert_eq!(gateway.clients.first_byte_at(connection), Some(first_byte_at));
    // The time of the answer isn't the next request's.
    gateway.now += 500;
    gateway.answer("whole");
    gateway.now += 500;
    peer.send(&request("2", ""));
    gateway.requests(2);
    assert_eq!(gateway.clients.first_byte_at(connection), Some(gateway.now));
}

/// Some clients send an empty line behind a body; it begins nothing.
#[test]
fn an_empty_line_between_two_requests_begins_none() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    let connection = gateway.connection.unwrap();
    peer.send(&request("1", ""));
    gateway.requests(1);
    gateway.answer("whole");
    peer.send("\r\n");
    gateway.until(|gateway| !gateway.network.inbox(connection).is_empty());
    assert_eq!(gateway.expire(HEADER_MS + 1), 0);
    peer.send(&request("2", ""));
    gateway.requests(2);
    assert_eq!(gateway.clients.first_byte_at(connection), Some(gateway.now));
}

#[test]
fn a_request_may_come_byte_by_byte() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    let text =
        "POST /a/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n";
    for byte in 0..text.len() {
        assert!(gateway.requests.is_empty());
        peer.send(&text[byte..byte + 1]);
        gateway.turn();
    }
    gateway.requests(1);
    assert_eq!(gateway.requests[0].body, b"ok");
}

#[rstest]
#[case::asked("POST /a/1 HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n", true)]
#[case::old_protocol("GET /a/1 HTTP/1.0\r\nHost: h\r\n\r\n", true)]
#[case::old_protocol_kept("GET /a/1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", false)]
#[case::kept("GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n", false)]
fn connections_end_where_the_client_asks(#[case] text: &str, #[case] ends: bool) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(text);
    gateway.requests(1);
    gateway.answer("whole");
    let got = gateway.got(&mut peer, "whole");
    assert_eq!(got.contains("Connection: close\r\n"), ends);
    assert_eq!(gateway.clients.is_empty(), ends);
    if ends {
        gateway.ended(&mut peer);
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
fn what_is_no_request_is_answered_and_ends_the_connection(#[case] text: &str, #[case] error: HttpError) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    gateway.answer("whole");
    gateway.got(&mut peer, "whole");
    peer.send(text);
    let got = gateway.got(&mut peer, "why");
    assert_eq!(gateway.unreadable, Some(error));
    assert!(got.starts_with(&format!("HTTP/1.1 {} ", error.status())), "{got}");
    // The id of the request before it isn't repeated.
    assert!(!got.contains("Attempt-Id") && got.contains("Connection: close"), "{got}");
    gateway.ended(&mut peer);
    assert!(gateway.clients.is_empty());
}

#[test]
fn a_header_over_the_limit_is_rejected() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(LIMITS.header_bytes)));
    gateway.got(&mut peer, "why");
    assert_eq!(gateway.unreadable, Some(HttpError::HeaderTooLong));
}

#[test]
fn a_response_of_a_server_is_forwarded_without_hop_by_hop_headers() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    let connection = gateway.at();
    gateway.clients.forward_response(
        &mut gateway.network,
        connection,
        &server_head(200),
        b"bytes",
        gateway.now,
    );
    let got = gateway.got(&mut peer, "bytes");
    let expected =
        "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nServer-Signature: 3e1b.07\r\nContent-Length: 5\r\n\r\nbytes";
    assert_eq!(got, expected);
}

/// What an answer is written by.
#[derive(Clone, Copy, Debug)]
enum Writer {
    Own,
    Server,
    Stream,
}

#[rstest]
fn a_response_to_head_has_no_body(#[values(Writer::Own, Writer::Server, Writer::Stream)] writer: Writer) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send("HEAD /a/1 HTTP/1.1\r\nHost: h\r\n\r\n");
    gateway.requests(1);
    let (connection, now) = (gateway.at(), gateway.now);
    match writer {
        Writer::Own => gateway.clients.respond(&mut gateway.network, connection, 200, &[], b"body", now),
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
    let got = gateway.got(&mut peer, "\r\n\r\n");
    assert_eq!(got.find("\r\n\r\n"), Some(got.len() - 4), "{got}");
    // The next answer begins right behind it.
    peer.send(&request("2", ""));
    gateway.requests(2);
    gateway.answer("whole");
    assert!(gateway.got(&mut peer, "whole").starts_with("HTTP/1.1 200"));
}

#[test]
fn a_stream_is_complete_only_by_its_last_chunk() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&(request("1", "") + &request("2", "")));
    gateway.requests(1);
    let connection = gateway.at();
    gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
    gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"id: 1\n\n");
    let got = gateway.got(&mut peer, "\r\n7\r\nid: 1\n\n\r\n");
    assert!(got.contains("Transfer-Encoding: chunked\r\n") && !got.contains("Content-Length"), "{got}");
    gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"");
    gateway.clients.end_stream(&mut gateway.network, connection, gateway.now);
    assert_eq!(gateway.got(&mut peer, "0\r\n\r\n"), "0\r\n\r\n");
    gateway.read(connection);
    gateway.requests(2);
}

#[test]
fn a_stream_that_is_aborted_ends_without_its_last_chunk() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    let connection = gateway.at();
    gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
    gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"id: 1\n\n");
    gateway.clients.abort_stream(&mut gateway.network, connection);
    gateway.ended(&mut peer);
    assert!(!peer.text().contains("0\r\n\r\n"));
    assert!(gateway.clients.is_empty() && gateway.clients.connection_of(gateway.busy()).is_none());
}

#[test]
fn a_client_that_disconnects_frees_what_it_waited_for() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    drop(peer);
    gateway.until(|gateway| !gateway.left.is_empty());
    assert_eq!(gateway.left, [Busy::Request(RequestId(1))]);
    assert!(
        gateway.clients.is_empty() && gateway.clients.connection_of(Busy::Request(RequestId(1))).is_none()
    );
}

#[test]
fn idle_connections_end_after_their_time() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    assert_eq!(gateway.expire(IDLE_MS * 2), 0, "busy ones stay");
    gateway.answer("whole");
    gateway.got(&mut peer, "whole");
    assert_eq!(gateway.expire(IDLE_MS - 1), 0);
    assert_eq!(gateway.expire(SWEEP_INTERVAL_MS), 1);
    gateway.ended(&mut peer);
}

/// Time after which a connection is surely looked at again.
const SWEEP_INTERVAL_MS: u64 = 100;

#[rstest]
#[case::header("GET / HTTP/1.1\r\n", HEADER_MS)]
#[case::body("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\n", IDLE_MS)]
fn a_request_that_drips_in_ends_after_its_time(#[case] begin: &str, #[case] allowed: u64) {
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
    gateway.ended(&mut peer);
    assert!(gateway.requests.is_empty());
}

#[test]
fn a_process_that_shuts_down_ends_idle_connections_and_answers_the_others() {
    let mut gateway = Gateway::new();
    let mut idle = gateway.connect();
    gateway.connection = None;
    let mut busy = gateway.connect();
    busy.send(&request("1", ""));
    gateway.requests(1);
    gateway.connection = None;
    let mut arriving = gateway.connect();
    arriving.send("POST /a/2 HTTP/1.1\r\nAttempt-Id: 2\r\nContent-Length: 2\r\n\r\n");
    (0..20).for_each(|_| gateway.turn());
    gateway.clients.begin_draining(&mut gateway.network, gateway.now);
    gateway.ended(&mut idle);
    assert_eq!(gateway.clients.len(), 2);
    gateway.answer("whole");
    assert!(gateway.got(&mut busy, "whole").contains("Connection: close\r\n"));
    gateway.ended(&mut busy);
    arriving.send("ok");
    gateway.requests(2);
    gateway.answer("whole");
    assert!(gateway.got(&mut arriving, "whole").contains("Connection: close\r\n"));
    gateway.ended(&mut arriving);
    // The platform sends new connections for a while.
    gateway.connection = None;
    let mut late = gateway.connect();
    late.send(&request("3", ""));
    gateway.requests(3);
    gateway.answer("whole");
    assert!(gateway.got(&mut late, "whole").contains("Connection: close\r\n"));
    gateway.ended(&mut late);
}

/// How a gateway comes to end a connection on which nothing is asked.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Stop,
    IdleTimeout,
}

/// A client may send its next request at the very moment: it may send it again elsewhere only if it wasn't read.
#[rstest]
fn nothing_more_is_read_on_an_idle_connection_that_is_ended(
    #[values(Ending::Stop, Ending::IdleTimeout)] ending: Ending,
    #[values(false, true)] used: bool,
) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    if used {
        peer.send(&request("1", ""));
        gateway.requests(1);
        gateway.answer("whole");
        gateway.got(&mut peer, "whole");
    }
    gateway.now += RESPONSE_DELIVERY_MS;
    match ending {
        Ending::Stop => gateway.clients.begin_draining(&mut gateway.network, gateway.now),
        Ending::IdleTimeout => assert_eq!(gateway.expire(IDLE_MS), 1),
    }
    assert_eq!(
        gateway.network.connection_count(),
        0,
        "who still holds it would read the request and drop it"
    );
    gateway.ended(&mut peer);
}

/// Time after which an answer has surely reached its client.
const RESPONSE_DELIVERY_MS: u64 = 200;

/// A reset would take back what has not been read yet: an answer that is just under way is let through.
#[rstest]
#[case::taken_by_the_system(400 << 10)]
#[case::still_queued(8 << 20)]
fn a_response_that_was_just_written_is_not_endangered_by_the_end_of_its_connection(#[case] length: usize) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    let body = "x".repeat(length) + "end";
    gateway.answer(&body);
    gateway.network.flush();
    // The client has sent more before it has read the answer.
    peer.send(&request("2", ""));
    gateway.clients.begin_draining(&mut gateway.network, gateway.now);
    gateway.ended(&mut peer);
    assert!(peer.text().ends_with("xend"));
}

#[test]
fn a_process_that_shuts_down_knows_of_requests_that_are_arriving() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    assert!(!gateway.clients.is_receiving(), "nothing is asked on a new connection");
    let text = request("1", "");
    for byte in 0..text.len() {
        peer.send(&text[byte..byte + 1]);
        let before = gateway.requests.len();
        gateway.until(|gateway| gateway.clients.is_receiving() || gateway.requests.len() > before);
    }
    gateway.requests(1);
    assert!(!gateway.clients.is_receiving(), "it has arrived");
    gateway.answer("whole");
    assert!(!gateway.clients.is_receiving());
    peer.send("POST /a/2 HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
    gateway.until(|gateway| gateway.clients.is_receiving());
    drop(peer);
    gateway.until(|gateway| gateway.clients.is_empty());
    assert!(!gateway.clients.is_receiving());
}

#[test]
fn a_process_that_shuts_down_knows_of_responses_that_are_still_being_taken() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&request("1", ""));
    gateway.requests(1);
    gateway.clients.begin_draining(&mut gateway.network, gateway.now);
    let body = "x".repeat(64 << 20) + "end";
    gateway.answer(&body);
    gateway.turn();
    assert!(!gateway.clients.is_flushed(&gateway.network));
    gateway.ended(&mut peer);
    assert!(peer.text().ends_with("xend"));
    assert!(gateway.clients.is_flushed(&gateway.network));
}

#[rstest]
#[case::header(HttpError::HeaderTooLong, 431)]
#[case::body(HttpError::BodyTooLong, 413)]
#[case::malformed(HttpError::Malformed, 400)]
#[case::coding(HttpError::UnknownCoding, 501)]
fn a_gateway_without_a_configuration_calls_nothing_too_long(#[case] error: HttpError, #[case] status: u16) {
    assert_eq!(malformed_status(error, true), status);
    let unknown = if matches!(status, 413 | 431) { 503 } else { status };
    assert_eq!(malformed_status(error, false), unknown);
}

/// What a killed gateway leaves behind at its clients: an end, and nothing that reads as an answer or a promise.
#[rstest]
fn a_killed_process_ends_its_connections_without_a_promise(#[values(false, true)] streaming: bool) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.connect();
    peer.send(&(request("1", "") + &request("2", "")));
    gateway.requests(1);
    if streaming {
        let connection = gateway.at();
        gateway.clients.begin_stream(&mut gateway.network, connection, &server_head(200));
        gateway.clients.write_stream_chunk(&mut gateway.network, connection, b"id: 1\n\n");
        gateway.got(&mut peer, "\r\n7\r\nid: 1\n\n\r\n");
    }
    drop(gateway);
    while !peer.ended {
        peer.look();
    }
    assert!(
        !peer.text().contains("0\r\n\r\n")
            && peer.text().matches("HTTP/1.1").count() <= usize::from(streaming)
    );
    assert!(streaming || peer.got.is_empty(), "{}", peer.text());
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
