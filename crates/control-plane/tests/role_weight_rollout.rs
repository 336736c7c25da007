//! The role of ordering weights against a platform and a server over loopback: how the end of a load is detected.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::TcpListener;

use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::server_table::ServerTable;
use serde_json::json;
use sockets_support::*;

const SINCE: u64 = 1_000;
const LEASE_MS: u64 = 1_000;
const TERM: u64 = 5;
const MODEL: &str = "large";
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

struct Head {
    network: Network,
    roles: SingletonRoles,
    table: ServerTable,
    state: ControlState,
    server: TcpListener,
    now: u64,
}

fn json_response(body: &serde_json::Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn report(is_loading: bool) -> String {
    json_response(&json!({ "stage": "both", "models": [], "utilization": is_loading, "sequence": 1 }))
}

impl Head {
    /// A head that has read a list with one server, whose model has a version to load.
    fn new() -> Head {
        let (platform, platform_address) = listen();
        let (server, server_address) = listen();
        let options = SingletonRoleOptions {
            name: "control".to_owned(),
            platform: Some(platform_address),
            lease_ms: LEASE_MS,
            tolerance: 1,
            ..SingletonRoleOptions::default()
        };
        let mut roles = SingletonRoles::new(options);
        roles.view_changed(SINCE, 1, true, true);
        roles.set_term(Some(TERM));
        let mut state = ControlState::default();
        state.apply(&Change::NameVersion { model: MODEL.to_owned(), version: 2 }).unwrap();
        let network = Network::new().unwrap();
        let mut head = Head { network, roles, table: ServerTable::default(), state, server, now: SINCE };
        head.roles.poll_list(&mut head.network, SINCE);
        let mut peer = head.accept_at(&platform);
        let list = json!({ "instances": [{
            "instance-id": "i-1", "service": "s", "address": server_address.to_string(), "zone": "z",
            "config-version": "v1", "slots": 4, "state": "available", "cold-remaining-ms": 0,
            "models": [{ "name": MODEL, "config-version": 1, "adapters": [] }],
        }], "next-token": null });
        peer.send(&json_response(&list));
        head.until(|head| head.table.servers().next().map(|_| ()));
        head
    }

    fn turn(&mut self) {
        for event in self.network.poll(TURN).unwrap() {
            let completed = match event {
                Event::Data(id) if self.roles.owns(id) => self.roles.client().data(&mut self.network, id),
                Event::Closed { connection, .. } if self.roles.owns(connection) => {
                    self.roles.client().closed(&mut self.network, connection)
                }
                _ => None,
            };
            if let Some(completed) = completed {
                self.roles.exchange_completed(&mut self.network, completed, &mut self.table, self.now);
            }
        }
    }

    fn until<T>(&mut self, mut found: impl FnMut(&mut Head) -> Option<T>) -> T {
        for _ in 0..MAX_TURNS {
            if let Some(result) = found(self) {
                return result;
            }
            self.turn();
        }
        panic!("the expected event did not occur");
    }

    fn accept_at(&mut self, listener: &TcpListener) -> Peer {
        let mut peer = self.until(|_| listener.accept().ok().map(|(stream, _)| Peer::new(stream)));
        self.next_request(&mut peer);
        peer
    }

    /// Accepts the next connection to the server.
    fn accept(&mut self) -> Peer {
        let mut peer = self.until(|head| head.server.accept().ok().map(|(stream, _)| Peer::new(stream)));
        self.next_request(&mut peer);
        peer
    }

    /// Reads the next request on a connection.
    fn next_request(&mut self, peer: &mut Peer) -> String {
        let text = self.until(|_| {
            peer.receive();
            peer.text().contains("\r\n\r\n").then(|| peer.text().to_owned())
        });
        peer.inbox.clear();
        text
    }

    /// Sends the orders and probes that are due.
    fn order(&mut self, now: u64) {
        self.now = now;
        let (network, table) = (&mut self.network, &mut self.table);
        self.roles.order_weights(network, &self.state, Some(now), table, now);
    }

    /// Returns whether the server's model is published to gateways; it is not while its weights are being loaded.
    fn is_model_published(&self) -> bool {
        self.table.servers().any(|server| !server.models.is_empty())
    }

    /// Returns when the next probe is due.
    fn next_probe_at(&mut self) -> u64 {
        self.roles.next_wakeup().max(self.now + 1)
    }
}

/// Creates a head with an order in progress, whose load is being probed on the connection of the order.
fn head_with_probe() -> (Head, Peer) {
    let mut head = Head::new();
    head.order(SINCE + LEASE_MS);
    let mut peer = head.accept();
    peer.send(ACCEPTED);
    head.until(|head| (!head.is_model_published()).then_some(()));
    (0..10).for_each(|_| head.turn());
    while head.is_model_published() || peer.text().is_empty() {
        let due = head.next_probe_at();
        head.order(due);
        head.turn();
        peer.receive();
        assert!(due < SINCE + LEASE_MS + 2_000, "no probe was sent");
    }
    assert!(head.next_request(&mut peer).starts_with("GET /v1/report"));
    (head, peer)
}

#[test]
fn a_probe_uses_the_connection_of_its_order_and_ends_the_load() {
    let (mut head, mut peer) = head_with_probe();
    peer.send(&report(false));
    head.until(|_| {
        peer.receive();
        peer.ended.then_some(())
    });
    head.order(head.now + 1);
    assert!(head.is_model_published());
}

/// Returns how long after an order that received this response, on a connection that was closed then, the next order
/// follows, in milliseconds, rounded up to full steps.
fn repeated_after(response: &str) -> u64 {
    const STEP_MS: u64 = 100;
    let mut head = Head::new();
    head.order(SINCE + LEASE_MS);
    let mut peer = head.accept();
    peer.send(response);
    drop(peer);
    (0..20).for_each(|_| head.turn());
    let ordered_at = head.now;
    loop {
        head.order(head.now + STEP_MS);
        (0..2).for_each(|_| head.turn());
        if head.server.accept().is_ok() {
            return head.now - ordered_at;
        }
        assert!(head.now < ordered_at + 20_000, "no second order was sent");
    }
}

/// The server may have taken an order whose response is broken, as at a closed connection; a refusal is another case.
#[test]
fn a_broken_response_to_an_order_counts_as_none() {
    let closed = repeated_after("HTTP/1.1 20");
    for broken in [
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\nName: v\r\n\r\n",
        "HTTP/1.1 400 Bad\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNa me: v\r\n\r\n",
    ] {
        assert_eq!(repeated_after(broken), closed, "{}", broken.escape_default());
    }
    assert_ne!(repeated_after("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"), closed);
}

#[test]
fn a_second_response_to_an_order_is_not_taken_for_a_report() {
    let (mut head, mut peer) = head_with_probe();
    peer.send(ACCEPTED);
    head.until(|_| {
        peer.receive();
        peer.ended.then_some(())
    });
    head.order(head.now + 1);
    assert!(!head.is_model_published(), "the load is in progress");
}

#[test]
fn a_continuing_load_is_probed_again_on_the_same_connection() {
    let (mut head, mut peer) = head_with_probe();
    peer.send(&report(true));
    let mut text = String::new();
    while text.is_empty() {
        let due = head.next_probe_at();
        head.order(due);
        (0..3).for_each(|_| head.turn());
        peer.receive();
        text = peer.text().to_owned();
        assert!(due < SINCE + LEASE_MS + 4_000, "no second probe was sent");
    }
    assert!(text.starts_with("GET /v1/report"));
    assert!(!head.is_model_published());
}

/// While weights change, many responses arrive at once, and the table must not be published for each of them.
#[test]
fn versions_of_the_server_table_are_published_at_intervals() {
    let mut head = Head::new();
    let before = head.table.version().number;
    let mut published = Vec::new();
    for now in head.now..head.now + 400 {
        head.now = now;
        let mut is_published = head.roles.publish_if_due(&mut head.table, now).is_some();
        // The table changes when an order is sent and when a load is done.
        is_published |= head
            .roles
            .order_weights(&mut head.network, &head.state, Some(now), &mut head.table, now)
            .is_some();
        if is_published {
            published.push(now);
        }
    }
    assert!(head.table.version().number > before);
    assert!(published.windows(2).all(|pair| pair[1] >= pair[0] + 50), "{published:?}");
}
