//! The scaling role against a platform over loopback: when orders are sent, their contents, and the handling of responses.

#[path = "../../data-plane/tests/sockets_support/mod.rs"]
mod sockets_support;

use std::net::{Ipv4Addr, TcpListener};

use orchidvalve_control_plane::http_client::NEW_USER_TIMEOUT_MS;
use orchidvalve_control_plane::sessions::{Session, SessionTable};
use orchidvalve_control_plane::singleton_roles::{SingletonRoleOptions, SingletonRoles};
use orchidvalve_control_state::{Change, ControlState};
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{Handshake, PROTOCOL_VERSION, Role, ServiceLoad};
use orchidvalve_protocol::server_table::ServerTable;
use serde_json::json;
use sockets_support::*;

const SINCE: u64 = 1_000;
const TERM: u64 = 5;
const INCARNATION: u64 = 77;
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const TOO_MANY_REQUESTS: &str = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";

struct Head {
    network: Network,
    roles: SingletonRoles,
    table: ServerTable,
    state: ControlState,
    sessions: SessionTable,
    platform: TcpListener,
    now: u64,
}

fn configuration(version: u64, max_count: u32) -> Vec<u8> {
    let document = json!({
        "config-version": version,
        "services": [{ "name": "s", "scaling": { "min-count": 1, "max-count": max_count, "boot-s": 4.0 } }],
        "routes": [],
    });
    document.to_string().into_bytes()
}

fn gateway() -> Session {
    let address = NodeAddress::new(Ipv4Addr::new(10, 0, 0, 9), 0);
    Session::new(&Handshake {
        version: PROTOCOL_VERSION,
        role: Role::Gateway,
        name: "edge".to_owned(),
        zone: "z".to_owned(),
        member: MemberId { address, disk: 0 },
        incarnation: INCARNATION,
        cpu_share: 1.0,
    })
}

impl Head {
    /// A head that has read a list with three servers in one zone.
    fn new(enabled_roles: &[&str]) -> Head {
        let (platform, address) = listen();
        let options = SingletonRoleOptions {
            name: "control".to_owned(),
            platform: Some(address),
            lease_ms: 1_000,
            tolerance: 1,
            enabled_platform_roles: enabled_roles.iter().map(|role| (*role).to_owned()).collect(),
            platform_calls_per_second: 10.0,
            ..SingletonRoleOptions::default()
        };
        let mut roles = SingletonRoles::new(options);
        roles.view_changed(SINCE, 1, true, true);
        roles.set_has_quorum(SINCE, true);
        roles.set_term(Some(TERM));
        let mut sessions = SessionTable::default();
        sessions.open(gateway(), SINCE);
        let network = Network::new().unwrap();
        let (table, state) = (ServerTable::default(), ControlState::default());
        // Calls of an earlier process have arrived by now, so this one may act.
        let now = SINCE + NEW_USER_TIMEOUT_MS;
        let mut head = Head { network, roles, table, state, sessions, platform, now };
        head.configure(8);
        head.roles.poll_list(&mut head.network, SINCE);
        let mut peer = head.accept();
        let instance = |number: u32| {
            json!({ "instance-id": format!("i-{number}"), "service": "s", "address": "10.0.0.1:80",
                "zone": "z", "slots": 4, "state": "available", "models": [] })
        };
        let list =
            json!({ "instances": [instance(1), instance(2), instance(3)], "next-token": null }).to_string();
        peer.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        for _ in 0..MAX_TURNS {
            if head.table.servers().count() == 3 {
                return head;
            }
            head.turn();
        }
        panic!("the list was not published");
    }

    fn configure(&mut self, max_count: u32) {
        let base = self.state.configuration_version();
        self.state.apply(&Change::Replace { base, body: configuration(base + 1, max_count) }).unwrap();
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

    fn scale(&mut self) {
        let loads = vec![ServiceLoad { service: "s".to_owned(), running: 5, waiting: 0 }];
        self.roles.record_load(INCARNATION, loads, self.now);
        let confirmed_at = Some(self.now);
        self.roles.scale_services(&mut self.network, &self.state, &self.sessions, confirmed_at, self.now);
    }

    /// Plans every 250 ms for this many milliseconds.
    fn scale_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.scale();
            self.now += 250;
        }
    }

    fn accept(&mut self) -> Peer {
        for _ in 0..MAX_TURNS {
            if let Ok((stream, _)) = self.platform.accept() {
                return Peer::new(stream);
            }
            self.turn();
        }
        panic!("no connection was opened");
    }

    /// Accepts the next order, responds to it and returns its request.
    fn respond_to_order(&mut self, response: &str) -> String {
        let mut peer = self.accept();
        for _ in 0..MAX_TURNS {
            peer.receive();
            if peer.text().ends_with('}') {
                break;
            }
            self.turn();
        }
        let text = peer.text().to_owned();
        peer.send(response);
        (0..10).for_each(|_| self.turn());
        text
    }

    /// Returns whether no connection is opened within 20 turns.
    fn sends_nothing(&mut self) -> bool {
        (0..20).all(|_| {
            self.turn();
            self.platform.accept().is_err()
        })
    }
}

#[test]
fn an_order_carries_the_term_and_is_sent_once() {
    let mut head = Head::new(&["usage_reporting", "autoscaling"]);
    head.scale();
    assert!(head.sends_nothing(), "there is no reason to change anything");
    head.configure(2);
    head.scale_for(500);
    let text = head.respond_to_order(OK);
    assert!(text.starts_with("POST /scaling HTTP/1.1\r\n"), "{text}");
    assert!(text.contains("Duty-Holder: control\r\n") && text.contains("Fence-Token: 5\r\n"), "{text}");
    assert!(text.ends_with(r#"{"service":"s","zone":"z","desired-count":2}"#), "{text}");
    head.scale_for(3_000);
    assert!(head.sends_nothing());
}

#[test]
fn an_order_with_an_unknown_outcome_is_sent_again() {
    let mut head = Head::new(&["autoscaling"]);
    head.scale();
    head.configure(2);
    head.scale_for(500);
    let first = head.respond_to_order(TOO_MANY_REQUESTS);
    assert!(head.sends_nothing(), "after a pause");
    assert!(head.roles.next_wakeup() > head.now - 500);
    head.scale_for(1_500);
    assert_eq!(head.respond_to_order(OK), first);
    head.scale_for(3_000);
    assert!(head.sends_nothing());
}

#[test]
fn a_later_decision_is_sent_after_the_call_in_flight() {
    let mut head = Head::new(&["autoscaling"]);
    head.scale();
    head.configure(2);
    head.scale_for(500);
    head.configure(1);
    let mut first = head.accept();
    head.scale_for(500);
    assert!(head.sends_nothing(), "a call is in flight");
    first.send(OK);
    (0..10).for_each(|_| head.turn());
    head.scale_for(500);
    assert!(head.respond_to_order(OK).ends_with(r#""desired-count":1}"#));
}

#[test]
fn nothing_is_sent_if_the_role_is_not_enabled() {
    let mut head = Head::new(&["usage_reporting"]);
    head.scale();
    head.configure(2);
    head.scale_for(10_000);
    assert!(head.sends_nothing());
}

#[test]
fn nothing_is_sent_without_a_confirmed_view_or_a_term() {
    let mut head = Head::new(&["autoscaling"]);
    head.scale();
    head.configure(2);
    let now = head.now;
    head.roles.scale_services(&mut head.network, &head.state, &head.sessions, None, now);
    let before = Some(now - 450);
    head.roles.scale_services(&mut head.network, &head.state, &head.sessions, before, now);
    assert!(head.roles.next_wakeup() > now, "the event loop must not spin");
    head.roles.set_term(None);
    head.scale();
    assert!(head.sends_nothing());
}

#[test]
fn a_change_of_head_discards_pending_orders() {
    let mut head = Head::new(&["autoscaling"]);
    head.scale();
    head.configure(2);
    head.scale_for(500);
    head.respond_to_order(TOO_MANY_REQUESTS);
    head.roles.view_changed(head.now, 2, false, false);
    head.roles.view_changed(head.now, 3, true, false);
    head.roles.set_term(Some(TERM + 1));
    head.scale_for(1_000);
    assert!(head.sends_nothing());
}
