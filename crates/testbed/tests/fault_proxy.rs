//! The proxy between two machines: the effect of each link fault on a call.

#[path = "support/one_call.rs"]
mod one_call;

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};

use one_call::Ended;
use orchidvalve_testbed::application_server::{ApplicationServerEmulator, ApplicationServerSettings};
use orchidvalve_testbed::effects::{Call, CallTag, Outcome};
use orchidvalve_testbed::fault_proxy::{LinkFault, MachineIndex};
use orchidvalve_testbed::host::{EmulatedServer, Host};
use orchidvalve_testbed::http;
use orchidvalve_testbed::observation::Observation;

const LOOPBACK: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
/// Maximum duration of a test, in milliseconds.
const LIMIT_MS: u64 = 20_000;
/// Sufficient time for a call without faults, in milliseconds.
const A_WHILE_MS: u64 = 300;
const CALLER: MachineIndex = MachineIndex(0);
const TARGET: MachineIndex = MachineIndex(1);
const OTHER: MachineIndex = MachineIndex(2);
const BODY_BYTES: usize = 40_000;

fn application() -> EmulatedServer {
    let settings = ApplicationServerSettings {
        instance: "a1".to_owned(),
        slots: 4,
        queue: 100,
        max_connections: 200,
        health_path: "/health".to_owned(),
        work_ms: 1..=3,
        response_bytes: BODY_BYTES,
        failures_per_10_000: 0,
        seed: 1,
    };
    EmulatedServer::Application(ApplicationServerEmulator::new(1, settings))
}

/// A server behind the proxy.
struct ProxiedServer {
    host: Host,
    announced: SocketAddrV4,
}

impl ProxiedServer {
    fn new() -> ProxiedServer {
        let mut host = Host::new().unwrap();
        let (_, real) = host.open(application(), LOOPBACK).unwrap();
        let announced = host.proxy_to(TARGET, LOOPBACK, real).unwrap();
        host.proxy_from(CALLER, Ipv4Addr::LOCALHOST);
        ProxiedServer { host, announced }
    }

    fn link(&mut self, from: MachineIndex, to: MachineIndex, fault: Option<LinkFault>) {
        self.host.set_link(from, to, fault);
    }

    /// Starts a call to the server through the proxy.
    fn call(&mut self) -> Ended {
        let fields = [("Attempt-Id", "x-1")];
        let bytes = http::request("POST", "/p/1", "h.example", &fields, &[b'b'; 500]);
        let call = Call {
            tag: CallTag(1),
            address: self.announced,
            bytes,
            timeout_ms: LIMIT_MS * 2,
            keep_alive: false,
            following: VecDeque::new(),
        };
        one_call::begin(&mut self.host, call)
    }

    fn turn(&mut self, until: u64) {
        self.host.turn(until).unwrap();
    }

    /// Runs the host for the given time, in milliseconds.
    fn pass(&mut self, ms: u64) {
        let until = self.host.now() + ms;
        while self.host.now() < until {
            self.turn(until);
        }
    }

    fn wait(&mut self, ended: &Ended) -> Outcome {
        one_call::wait(&mut self.host, ended, LIMIT_MS)
    }

    /// Whether the server started to execute the request.
    fn has_executed(&mut self) -> bool {
        self.host
            .take_observations()
            .iter()
            .any(|seen| matches!(seen.observation, Observation::ExecutionStarted { .. }))
    }
}

fn is_complete(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Response(response) if response.status == 200 && response.body.len() == BODY_BYTES)
}

#[test]
fn a_link_without_faults_forwards_request_and_response() {
    let mut proxied = ProxiedServer::new();
    let ended = proxied.call();
    assert!(is_complete(&proxied.wait(&ended)));
}

#[test]
fn a_partitioned_link_delivers_everything_after_the_partition() {
    let mut proxied = ProxiedServer::new();
    proxied.link(CALLER, TARGET, Some(LinkFault::Partitioned));
    let ended = proxied.call();
    proxied.pass(A_WHILE_MS);
    assert!(!proxied.has_executed() && ended.borrow().is_none());
    proxied.link(CALLER, TARGET, None);
    assert!(is_complete(&proxied.wait(&ended)));
    assert!(proxied.has_executed());
}

#[test]
fn a_partition_of_the_return_link_delays_only_the_response() {
    let mut proxied = ProxiedServer::new();
    let ended = proxied.call();
    while !proxied.has_executed() {
        proxied.turn(LIMIT_MS);
    }
    proxied.link(TARGET, CALLER, Some(LinkFault::Partitioned));
    proxied.pass(A_WHILE_MS);
    assert!(ended.borrow().is_none());
    proxied.link(TARGET, CALLER, None);
    assert!(is_complete(&proxied.wait(&ended)));
}

#[test]
fn a_connection_opened_during_a_one_way_partition_transfers_nothing() {
    let mut proxied = ProxiedServer::new();
    proxied.link(TARGET, CALLER, Some(LinkFault::Partitioned));
    let ended = proxied.call();
    proxied.pass(A_WHILE_MS);
    assert!(!proxied.has_executed() && ended.borrow().is_none());
    proxied.link(TARGET, CALLER, None);
    assert!(is_complete(&proxied.wait(&ended)));
}

#[test]
fn a_fault_of_another_link_has_no_effect() {
    let mut proxied = ProxiedServer::new();
    proxied.link(OTHER, TARGET, Some(LinkFault::Partitioned));
    proxied.link(CALLER, OTHER, Some(LinkFault::Reset));
    let ended = proxied.call();
    assert!(is_complete(&proxied.wait(&ended)));
}

#[test]
fn a_reset_ends_existing_and_new_connections() {
    let mut proxied = ProxiedServer::new();
    let ended = proxied.call();
    while !proxied.has_executed() {
        proxied.turn(LIMIT_MS);
    }
    proxied.link(TARGET, CALLER, Some(LinkFault::Partitioned));
    proxied.pass(A_WHILE_MS);
    proxied.link(TARGET, CALLER, Some(LinkFault::Reset));
    assert_eq!(proxied.wait(&ended), Outcome::Disconnected { partial: false });
    let ended = proxied.call();
    assert!(matches!(proxied.wait(&ended), Outcome::Disconnected { partial: false } | Outcome::Refused));
    proxied.link(TARGET, CALLER, None);
    let ended = proxied.call();
    assert!(is_complete(&proxied.wait(&ended)));
}

#[test]
fn a_slow_link_applies_delay_and_bandwidth() {
    const DELAY_MS: u64 = 100;
    const BYTES_PER_S: u64 = 200_000;
    let mut proxied = ProxiedServer::new();
    proxied.link(TARGET, CALLER, Some(LinkFault::Slow { delay_ms: DELAY_MS, bytes_per_s: BYTES_PER_S }));
    let begun = proxied.host.now();
    let ended = proxied.call();
    assert!(is_complete(&proxied.wait(&ended)));
    let least = DELAY_MS + BODY_BYTES as u64 * 1_000 / BYTES_PER_S;
    assert!(proxied.host.now() >= begun + least);
}

#[test]
fn a_connection_from_an_unknown_machine_is_closed() {
    let mut proxied = ProxiedServer::new();
    let other = Ipv4Addr::new(127, 0, 0, 9);
    let mut host = Host::new().unwrap();
    let (_, real) = host.open(application(), LOOPBACK).unwrap();
    proxied.announced = host.proxy_to(TARGET, LOOPBACK, real).unwrap();
    host.proxy_from(CALLER, other);
    proxied.host = host;
    let ended = proxied.call();
    assert!(matches!(proxied.wait(&ended), Outcome::Disconnected { partial: false } | Outcome::Refused));
    assert!(!proxied.has_executed());
}
