//! Emulators that communicate with each other over sockets.

#[path = "support/one_call.rs"]
mod one_call;

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};

use orchidvalve_testbed::application_server::{ApplicationServerEmulator, ApplicationServerSettings};
use orchidvalve_testbed::clients::{ClientSettings, Clients};
use orchidvalve_testbed::effects::{Call, CallTag, ModelVersion, Outcome};
use orchidvalve_testbed::host::{EmulatedServer, Host};
use orchidvalve_testbed::http;
use orchidvalve_testbed::invariants::{InvariantBounds, InvariantChecker};
use orchidvalve_testbed::model_server::{ModelServerEmulator, ModelServerSettings};
use orchidvalve_testbed::observation::{Observation, TimedObservation};
use orchidvalve_testbed::server_fault::ServerFault;
use orchidvalve_testbed::synthetic_text;
use rstest::rstest;

/// Maximum duration of a test, in milliseconds.
const LIMIT_MS: u64 = 20_000;
const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

fn application() -> EmulatedServer {
    let settings = ApplicationServerSettings {
        instance: "a1".to_owned(),
        slots: 4,
        queue: 100,
        max_connections: 200,
        health_path: "/health".to_owned(),
        work_ms: 1..=3,
        response_bytes: 40_000,
        failures_per_10_000: 0,
        seed: 1,
    };
    EmulatedServer::Application(ApplicationServerEmulator::new(1, settings))
}

fn model() -> EmulatedServer {
    let settings = ModelServerSettings {
        instance: "m1".to_owned(),
        models: vec![ModelVersion::new("alpha", 1)],
        slots: 8,
        queue: 8,
        max_connections: 50,
        health_path: "/health".to_owned(),
        event_ms: 1,
        prefill_tokens_per_ms: 1_000,
        stride: 10,
        kv_capacity: 10_000,
        load_ms: 1,
        fencing_enforced: false,
    };
    EmulatedServer::Model(ModelServerEmulator::new(2, settings))
}

/// Makes one call and returns its outcome.
fn call(host: &mut Host, address: SocketAddrV4, bytes: Vec<u8>, timeout_ms: u64) -> Outcome {
    let call =
        Call { tag: CallTag(1), address, bytes, timeout_ms, keep_alive: false, following: VecDeque::new() };
    let ended = one_call::begin(host, call);
    one_call::wait(host, &ended, LIMIT_MS)
}

fn item() -> Vec<u8> {
    let fields = [("Attempt-Id", "i1"), ("Model", "alpha"), ("Token-Usage", "100,300")];
    http::request("POST", "/lots/1", "host", &fields, b"prompt")
}

#[rstest]
#[case::new_connections(false, false)]
#[case::kept_connections(true, false)]
#[case::chunked_bodies(true, true)]
fn clients_are_served_by_a_server_without_any_violation(#[case] keep_alive: bool, #[case] chunked: bool) {
    let mut host = Host::new().unwrap();
    let (_, address) = host.open(application(), LOOPBACK).unwrap();
    host.directory.add_gateway(address, address, "north");
    host.directory.record_readiness(0, true);
    let from = host.now();
    let (clients, stats) = Clients::new(ClientSettings {
        zone: "north".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/a/".to_owned(),
        idempotent: false,
        interval_ms: 1,
        target_latency_ms: 1_000,
        deadline_ms: 10_000,
        retries: 1,
        body_bytes: 30_000,
        keep_alive,
        credentials: Vec::new(),
        pipelined: 1,
        chunked,
        from,
        until: from + 100,
        seed: 3,
    });
    host.add_caller(Box::new(clients));
    let mut checker = InvariantChecker::new(InvariantBounds::default());
    let is_over =
        |stats: &orchidvalve_testbed::clients::ClientStats| stats.sent == stats.served + stats.failed;
    while host.now() < from + 100 || (!is_over(&stats.borrow()) && host.now() < from + LIMIT_MS) {
        host.turn(from + LIMIT_MS).unwrap();
        for seen in host.take_observations() {
            checker.observe(seen.at_ms, &seen.observation);
        }
    }
    let stats = stats.borrow();
    assert!(stats.served > 0);
    assert_eq!((stats.served, stats.failed), (stats.sent, 0));
    assert_eq!(checker.finish(), []);
}

#[test]
fn a_stream_arrives_completely_over_a_socket() {
    let mut host = Host::new().unwrap();
    let (_, address) = host.open(model(), LOOPBACK).unwrap();
    let Outcome::Response(response) = call(&mut host, address, item(), LIMIT_MS) else {
        panic!("no response")
    };
    let body = String::from_utf8(response.body).unwrap();
    assert_eq!(body.matches("data: ").count() as u64, synthetic_text::event_count("i1", 300, 10));
    let seen = host.take_observations();
    assert!(matches!(
        seen.last(),
        Some(TimedObservation { observation: Observation::ResponseSent { status: 200, .. }, .. })
    ));
}

#[test]
fn faults_are_visible_on_the_socket() {
    let mut host = Host::new().unwrap();
    let (index, address) = host.open(model(), LOOPBACK).unwrap();
    let mut after = |fault: ServerFault, timeout_ms: u64| {
        host.with_server(index, |emulated, _, out| {
            if let EmulatedServer::Model(server) = emulated {
                server.restart(out);
                server.inject(fault, out);
            }
        });
        call(&mut host, address, item(), timeout_ms)
    };
    assert_eq!(
        after(ServerFault::BreakStream { after_events: 1 }, LIMIT_MS),
        Outcome::Disconnected { partial: true }
    );
    assert_eq!(after(ServerFault::MalformedResponse, LIMIT_MS), Outcome::Malformed);
    assert_eq!(after(ServerFault::Unresponsive, 50), Outcome::TimedOut);
    assert!(matches!(
        after(ServerFault::Crash, LIMIT_MS),
        Outcome::Disconnected { partial: false } | Outcome::Refused
    ));
    assert!(matches!(after(ServerFault::Slowdown(2), LIMIT_MS), Outcome::Response(_)));
}

/// Runs the host and reads from a socket until the received bytes contain `text`.
fn read_until(host: &mut Host, socket: &mut TcpStream, received: &mut Vec<u8>, text: &[u8]) {
    let limit = host.now() + LIMIT_MS;
    let mut buffer = [0; 4_096];
    while !received.windows(text.len()).any(|window| window == text) {
        assert!(host.now() < limit, "a response arrives in time");
        host.turn(host.now() + 5).unwrap();
        match socket.read(&mut buffer) {
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock),
        }
    }
}

#[test]
fn a_server_that_responds_early_reads_the_remaining_body_and_the_next_request() {
    let mut host = Host::new().unwrap();
    let (index, address) = host.open(application(), LOOPBACK).unwrap();
    host.with_server(index, |emulated, _, out| {
        if let EmulatedServer::Application(server) = emulated {
            server.inject(ServerFault::EarlyResponse, out);
        }
    });
    let body = vec![b'b'; 10_000];
    let bytes = http::request("POST", "/p/1", "h.example", &[("Attempt-Id", "x-1")], &body);
    let next = http::request("POST", "/p/2", "h.example", &[("Attempt-Id", "x-2")], b"short");
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_nonblocking(true).unwrap();
    let mut received = Vec::new();
    socket.write_all(&bytes[..1_000]).unwrap();
    read_until(&mut host, &mut socket, &mut received, b"HTTP/1.1 503");
    socket.write_all(&bytes[1_000..]).unwrap();
    socket.write_all(&next).unwrap();
    read_until(&mut host, &mut socket, &mut received, b"HTTP/1.1 200");
    let seen: Vec<Observation> = host.take_observations().into_iter().map(|seen| seen.observation).collect();
    let late =
        Observation::RemainingBodyReceived { id: "x-1".to_owned(), body: synthetic_text::digest(&body) };
    assert!(seen.contains(&late));
    let runs = |seen: &&Observation| matches!(seen, Observation::ExecutionStarted { id, .. } if id == "x-2");
    assert_eq!(seen.iter().filter(runs).count(), 1);
    assert!(!seen.iter().any(|seen| matches!(seen, Observation::ExecutionStarted { id, .. } if id == "x-1")));
}

#[test]
fn malformed_requests_are_observed() {
    let mut host = Host::new().unwrap();
    let (_, address) = host.open(application(), LOOPBACK).unwrap();
    let mut socket = TcpStream::connect(address).unwrap();
    socket.write_all(b"these bytes are no request\r\n\r\n").unwrap();
    let limit = host.now() + LIMIT_MS;
    while !host
        .take_observations()
        .iter()
        .any(|seen| matches!(seen.observation, Observation::MalformedRequestReceived { .. }))
    {
        assert!(host.now() < limit, "the bytes are observed in time");
        host.turn(limit).unwrap();
    }
}

#[test]
fn an_address_without_a_listener_refuses_connections() {
    let mut host = Host::new().unwrap();
    let free = std::net::TcpListener::bind(LOOPBACK).unwrap().local_addr().unwrap();
    let std::net::SocketAddr::V4(address) = free else { panic!("an IPv4 address") };
    assert_eq!(call(&mut host, address, item(), LIMIT_MS), Outcome::Refused);
}
