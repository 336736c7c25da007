//! A head that reports usage, with its committed and tentative state, and a stub of the platform.

#![allow(dead_code)]

use std::net::{SocketAddrV4, TcpListener};

use orchidvalve_control_plane::http_client::{CONNECT_TIMEOUT_MS, CompletedExchange, NEW_USER_TIMEOUT_MS};
use orchidvalve_control_plane::singleton_roles::{
    DECISION_DELAY_MS, ExchangePurpose, ORDER_VALIDITY_MS, SingletonRoleOptions, SingletonRoles,
    USAGE_REPORTING_ROLE,
};
use orchidvalve_control_plane::usage_collection::UsageCollection;
use orchidvalve_control_state::{Change, ControlState, UsageReport};
use orchidvalve_net::{Event, Network};
use orchidvalve_protocol::messages::{TenantRequests, WindowUsage};
use orchidvalve_protocol::server_table::ServerTable;
use serde_json::json;

use crate::sockets_support::{MAX_TURNS, Peer, TURN, listen};

pub const WINDOW_MS: u64 = 5_000;
pub const LATE_MS: u64 = 10_000;
pub const WINDOW: u64 = 353_445_120;
pub const TERM: u64 = 12;
pub const LEASE_MS: u64 = 3_000;
/// Time in ms for which a new head sends nothing: the lease, and the time in which a call of its predecessor may arrive.
pub const LEASE_WAIT_MS: u64 = LEASE_MS + ORDER_VALIDITY_MS + CONNECT_TIMEOUT_MS + NEW_USER_TIMEOUT_MS;
/// Monotonic time in ms at which the window starts.
pub const SINCE: u64 = 200_000;
/// The platform's response to a list request: an empty list of servers.
const EMPTY_LIST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 37\r\nConnection: close\r\n\r\n\
                          {\"instances\": [], \"next-token\": null}";
/// Number of turns after which a call that has not arrived is assumed not to come.
const IDLE_TURNS: usize = 4;

pub fn state_with_tenants() -> ControlState {
    let document = json!({
        "config-version": 1, "routes": [], "services": [],
        "tenants": [{ "name": "cuka620", "api-keys": ["k-1"] }, { "name": "seje681", "api-keys": ["k-2"] }],
    });
    let mut state = ControlState::default();
    let body = document.to_string().into_bytes();
    state.apply(&Change::Replace { base: 0, body }).expect("a valid configuration");
    state
}

/// Decides the report of a window without requests.
pub fn decide(state: &mut ControlState, window: u64) {
    let report = UsageReport { window, ..UsageReport::default() };
    state.apply(&Change::DecideUsageReport(report)).expect("it fits");
}

pub fn accept(state: &mut ControlState, window: u64) {
    state.apply(&Change::AcceptUsageReport { window }).expect("it fits");
}

fn options(platform: SocketAddrV4, enabled_roles: &[&str]) -> SingletonRoleOptions {
    SingletonRoleOptions {
        name: "control-1".to_owned(),
        platform: Some(platform),
        lease_ms: LEASE_MS,
        tolerance: 1,
        enabled_platform_roles: enabled_roles.iter().map(|role| (*role).to_owned()).collect(),
        platform_calls_per_second: 10.0,
        usage_window_ms: WINDOW_MS,
        usage_report_deadline_ms: LATE_MS,
    }
}

pub struct Head {
    network: Network,
    pub roles: SingletonRoles,
    table: ServerTable,
    collection: UsageCollection,
    /// The committed control state.
    pub state: ControlState,
    /// The control state including all proposed changes.
    pub tentative: ControlState,
    pub now: u64,
    /// Whether a quorum confirms this head at every turn.
    pub confirmed: bool,
    /// Whether no calls are started, as if all connections to the platform failed.
    pub platform_is_down: bool,
    /// Number of completed calls of this head.
    completed: usize,
    /// Times in ms at which calls reached the platform.
    pub sent_at: Vec<u64>,
}

impl Head {
    /// Creates a head that holds the lease and has been the head since the window started.
    pub fn new(platform: &Platform, term: u64, state: ControlState) -> Head {
        Head::begin(options(platform.address, &[USAGE_REPORTING_ROLE]), term, state, SINCE, true)
    }

    /// Creates a head that succeeds another one at the given time in ms.
    pub fn successor(platform: &Platform, term: u64, state: ControlState, at: u64) -> Head {
        Head::begin(options(platform.address, &[USAGE_REPORTING_ROLE]), term, state, at, false)
    }

    pub fn with_role_disabled(platform: &Platform, state: ControlState) -> Head {
        Head::begin(options(platform.address, &["scaling"]), TERM, state, SINCE, true)
    }

    fn begin(
        options: SingletonRoleOptions,
        term: u64,
        state: ControlState,
        now: u64,
        was_head: bool,
    ) -> Head {
        let mut roles = SingletonRoles::new(options);
        roles.view_changed(now, 1, true, was_head);
        roles.set_term(Some(term));
        let mut head = Head {
            network: Network::new().expect("a network"),
            roles,
            table: ServerTable::default(),
            collection: UsageCollection::default(),
            tentative: state.clone(),
            state,
            now,
            confirmed: true,
            platform_is_down: false,
            completed: 0,
            sent_at: Vec::new(),
        };
        head.decide();
        head
    }

    /// Returns the wall-clock time in milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        WINDOW * WINDOW_MS + self.now - SINCE
    }

    /// Records that a gateway reported a count for the window `offset` windows after the first.
    pub fn count(&mut self, incarnation: u64, offset: u64, tenant: &str, requests: u64) {
        let counts = vec![TenantRequests { tenant: tenant.to_owned(), requests }];
        let window = WINDOW + offset;
        self.collection.add(
            incarnation,
            vec![WindowUsage { window, counts }],
            self.wall_ms() / WINDOW_MS + 2,
        );
    }

    /// Advances the time to `since_start` ms after the start of the window.
    pub fn pass_to(&mut self, since_start: u64) {
        assert!(SINCE + since_start >= self.now);
        self.now = SINCE + since_start;
    }

    pub fn pass(&mut self, milliseconds: u64) {
        self.now += milliseconds;
    }

    /// Proposes the usage reports whose windows are due.
    pub fn decide(&mut self) {
        let wall_ms = self.wall_ms();
        for change in self.roles.decide_usage(self.now, wall_ms, &self.tentative, &self.collection) {
            self.tentative.apply(&change).expect("it fits");
        }
    }

    /// Commits all proposed changes.
    pub fn commit(&mut self) {
        self.state = self.tentative.clone();
    }

    /// Runs one turn of the event loop.
    pub fn turn(&mut self) {
        for event in self.network.poll(TURN).expect("it works") {
            let completed = match event {
                Event::Data(id) if self.roles.owns(id) => self.roles.client().data(&mut self.network, id),
                Event::Closed { connection, .. } if self.roles.owns(connection) => {
                    self.roles.client().closed(&mut self.network, connection)
                }
                _ => None,
            };
            self.exchange_completed(completed);
        }
        for completed in self.roles.client().expire(&mut self.network, self.now) {
            self.exchange_completed(Some(completed));
        }
        self.decide();
        if !self.platform_is_down {
            let confirmed_at = self.confirmed.then_some(self.now);
            let wall_ms = self.wall_ms();
            self.roles.report_usage(&mut self.network, &self.state, confirmed_at, self.now, wall_ms);
        }
    }

    fn exchange_completed(&mut self, completed: Option<CompletedExchange<ExchangePurpose>>) {
        if let Some(completed) = completed {
            self.completed += 1;
            self.roles.exchange_completed(&mut self.network, completed, &mut self.table, self.now);
        }
    }

    pub fn until<T>(&mut self, mut found: impl FnMut(&mut Head) -> Option<T>) -> T {
        for _ in 0..MAX_TURNS {
            if let Some(result) = found(self) {
                return result;
            }
            self.turn();
        }
        panic!("the expected event did not occur within {MAX_TURNS} turns");
    }

    /// Advances the time until the report of the first window is due, decides and commits it.
    pub fn decide_first_window(&mut self) {
        self.pass_to(WINDOW_MS + DECISION_DELAY_MS);
        self.decide();
        self.commit();
    }

    /// Returns the next wakeup time of the roles. The platform's list is read first; otherwise it would be due next.
    pub fn next_wakeup(&mut self, platform: &mut Platform) -> u64 {
        self.roles.poll_list(&mut self.network, self.now);
        let before = self.completed;
        let mut list = None;
        self.until(|head| {
            if list.is_none() {
                list = platform.listener.accept().ok().map(|(stream, _)| Peer::new(stream));
            }
            if let Some(peer) = &mut list {
                peer.receive();
                if peer.text().ends_with("\r\n\r\n") {
                    assert!(peer.text().starts_with("GET /instances"), "{}", peer.text());
                    peer.inbox.clear();
                    peer.send(EMPTY_LIST);
                }
            }
            (head.completed > before).then_some(())
        });
        self.roles.next_wakeup()
    }
}

pub struct Platform {
    listener: TcpListener,
    address: SocketAddrV4,
}

/// A call that the platform has received.
pub struct Call {
    peer: Peer,
    pub head: String,
    pub body: String,
}

impl Platform {
    pub fn new() -> Platform {
        let (listener, address) = listen();
        Platform { listener, address }
    }

    /// Receives the next call without advancing the time.
    pub fn call(&mut self, head: &mut Head) -> Call {
        self.call_within(head, 0)
    }

    /// Receives the next call, advancing the time by up to the given number of milliseconds.
    pub fn call_within(&mut self, head: &mut Head, milliseconds: u64) -> Call {
        let limit = head.now + milliseconds;
        let mut peer = head.until(|head| {
            let accepted = self.listener.accept().ok().map(|(stream, _)| Peer::new(stream));
            if accepted.is_none() && head.now < limit {
                head.now += 5;
            }
            accepted
        });
        let text = head.until(|_| {
            peer.receive();
            let text = peer.text();
            (text.contains("\r\n\r\n") && text.ends_with('}')).then(|| text.to_owned())
        });
        head.sent_at.push(head.now);
        let (lines, body) = text.split_once("\r\n\r\n").expect("a complete request");
        Call { peer, head: format!("{lines}\r\n"), body: body.to_owned() }
    }

    /// Asserts that no call arrives at the current time.
    pub fn expect_no_call(&mut self, head: &mut Head) {
        for _ in 0..IDLE_TURNS {
            head.turn();
            assert!(self.listener.accept().is_err(), "an unexpected call arrived");
        }
    }
}

impl Call {
    pub fn answer(&mut self, status: u16) {
        self.peer.send(&format!("HTTP/1.1 {status} It\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    }

    /// Runs the head until it has read the response.
    pub fn wait_until_read(&self, head: &mut Head) {
        let before = head.completed;
        head.until(|head| (head.completed > before).then_some(()));
    }

    pub fn window(&self) -> u64 {
        let report: serde_json::Value = serde_json::from_str(&self.body).expect("JSON");
        report["window"].as_u64().expect("a number")
    }
}
