//! Recorded bytes of the requests that the head of the control chain sends to the platform and to servers.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::TcpListener;
use std::path::Path;

use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_control_state::{Change, ControlState, ModelUsage};
use orchidvalve_golden::check_samples;
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::server_table::ServerTable;
use serde_json::json;
use sockets_support::*;

const SINCE: u64 = 1_000;
const LEASE_MS: u64 = 1_000;
const TERM: u64 = 5;
const MODEL: &str = "large";

struct Head {
    network: Network,
    roles: SingletonRoles,
    table: ServerTable,
    state: ControlState,
    now: u64,
}

fn json_response(body: &serde_json::Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl Head {
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
        let (network, table) = (&mut self.network, &mut self.table);
        self.roles.order_weights(network, &self.state, Some(self.now), table, self.now);
    }

    fn accept(&mut self, listener: &TcpListener) -> Peer {
        for _ in 0..MAX_TURNS {
            if let Ok((stream, _)) = listener.accept() {
                return Peer::new(stream);
            }
            self.turn();
        }
        panic!("no connection was opened");
    }

    /// Reads the next complete request on a connection, advancing the time by `step_ms` with each turn.
    fn request(&mut self, peer: &mut Peer, step_ms: u64) -> String {
        for _ in 0..MAX_TURNS {
            peer.receive();
            let text = peer.text();
            if text.contains("\r\n\r\n") && (!text.starts_with("POST") || text.ends_with('}')) {
                let text = text.to_owned();
                peer.inbox.clear();
                return text;
            }
            self.turn();
            self.now += step_ms;
        }
        panic!("no request was received");
    }
}

/// Returns the requests for a list of two pages, for an order to a server and for the probe after it.
fn requests(single_version: bool) -> [String; 4] {
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
    let usage = ModelUsage { single_version, lag: Some(0) };
    state.apply(&Change::RecordModelUsage { model: MODEL.to_owned(), usage }).unwrap();
    let network = Network::new().unwrap();
    let mut head = Head { network, roles, table: ServerTable::default(), state, now: SINCE };
    head.roles.poll_list(&mut head.network, SINCE);
    let mut peer = head.accept(&platform);
    let first_page = head.request(&mut peer, 0);
    peer.send(&json_response(&json!({ "instances": [], "next-token": "t-2" })));
    let second_page = head.request(&mut peer, 0);
    peer.send(&json_response(&json!({ "instances": [{
        "instance-id": "i-1", "service": "s", "address": server_address.to_string(), "zone": "z",
        "config-version": "v1", "slots": 4, "state": "available", "cold-remaining-ms": 0,
        "models": [{ "name": MODEL, "config-version": 1, "adapters": [] }],
    }], "next-token": null })));
    head.now = SINCE + LEASE_MS;
    let mut peer = head.accept(&server);
    let order = head.request(&mut peer, 0);
    peer.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    // The load is probed when it should be done.
    let probe = head.request(&mut peer, 20);
    let platform_address = platform_address.to_string();
    [first_page, second_page, order, probe].map(|text| text.replace(&platform_address, "PLATFORM"))
}

#[test]
fn requests_are_as_recorded() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/requests.txt");
    let [first_page, second_page, order, probe] = requests(false);
    let [.., order_of_single_version, _] = requests(true);
    check_samples(
        &file,
        &[
            ("first-page", first_page),
            ("second-page", second_page),
            ("order", order),
            ("order-where-a-text-needs-one-version", order_of_single_version),
            ("question-after-a-load", probe),
        ],
    );
}
