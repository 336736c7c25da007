//! A head that reports usage, its committed and its tentative state, and the platform.

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

use crate::sockets_support::{MOST_TURNS, Peer, TURN, listen};

pub const WINDOW_MS: u64 = 5_000;
pub const LATE_MS: u64 = 10_000;
pub const WINDOW: u64 = 353_445_120;
pub const TERM: u64 = 12;
pub const LEASE_MS: u64 = 3_000;
/// A new head sends nothing for this time.
pub const LEASE_WAIT_MS: u64 = LEASE_MS + ORDER_VALIDITY_MS + CONNECT_TIMEOUT_MS + NEW_USER_TIMEOUT_MS;
/// Time of the steady clock at which the window starts.
pub const SINCE: u64 = 200_000;
/// The platform's list without servers.
const EMPTY_LIST: &str = "HTTP/1.1 200 OK\r\nContent-Length: 37\r\nConnection: close\r\n\r\n\
                          {\"instances\": [], \"next-token\": null}";
/// Turns in which something would have happened if it were to.
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

/// The report of a window without requests is decided.
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
    /// The committed state.
    pub state: ControlState,
    /// The state with all changes that were proposed.
    pub tentative: ControlState,
    pub now: u64,
    /// Whether a quorum has just confirmed this head.
    pub confirmed: bool,
    /// All calls fail as they begin.
    pub platform_is_down: bool,
    /// Calls of this head that are over.
    completed: usize,
    /// When calls reached the platform.
    pub sent_at: Vec<u64>,
}

impl Head {
    /// A head since the window starts, with the lease.
    pub fn new(platform: &Platform, term: u64, state: ControlState) -> Head {
        Head::begin(options(platform.address, &[USAGE_REPORTING_ROLE]), term, state, SINCE, true)
    }

    /// A head that follows another one at this time.
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

    /// The time of day, in milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        WINDOW * WINDOW_MS + self.now - SINCE
    }

    /// A gateway has told a count in the window so many after the first.
    pub fn count(&mut self, incarnation: u64, offset: u64, tenant: &str, requests: u64) {
        let counts = vec![TenantRequests { tenant: tenant.to_owned(), requests }];
        let window = WINDOW + offset;
        self.collection.add(
            incarnation,
            vec![WindowUsage { window, counts }],
            self.wall_ms() / WINDOW_MS + 2,
        );
    }

    /// So long after the start of the window.
    pub fn pass_to(&mut self, since_start: u64) {
        assert!(SINCE + since_start >= self.now);
        self.now = SINCE + since_start;
    }

    pub fn pass(&mut self, milliseconds: u64) {
        self.now += milliseconds;
    }

    /// Decides what is due.
    pub fn decide(&mut self) {
        let wall_ms = self.wall_ms();
        for change in self.roles.decide_usage(self.now, wall_ms, &self.tentative, &self.collection) {
            self.tentative.apply(&change).expect("it fits");
        }
    }

    /// All that was proposed is committed.
    pub fn commit(&mut self) {
        self.state = self.tentative.clone();
    }

    /// One turn of the event loop.
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
        for _ in 0..MOST_TURNS {
            if let Some(result) = found(self) {
                return result;
            }
            self.turn();
        }
        panic!("it doesn't come");
    }

    /// The first window is over and its report committed.
    pub fn decide_first_window(&mut self) {
        self.pass_to(WINDOW_MS + DECISION_DELAY_MS);
        self.decide();
        self.commit();
    }

    /// When this role is to be called next. The platform's list is read before, as that would be due otherwise.
    pub fn next_wakeup(&mut self, platform: &mut Platform) -> u64 {
        self.roles.poll_list(&mut self.network, self.now);
        let before = self.completed;
        let mut list = None;
        self.until(|head| {
            if list.is_none() {
                list = platform.listener.accept().ok().map(|(stream, _)| Peer::new(stream));
            }
            if let Some(peer) = &mut list {
                peer.look();
                if peer.text().ends_with("\r\n\r\n") {
                    assert!(peer.text().starts_with("GET /instances"), "{}", peer.text());
                    peer.got.clear();
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

/// A call that the platform has read.
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

    /// The next call, at the present time.
    pub fn call(&mut self, head: &mut Head) -> Call {
        self.call_within(head, 0)
    }

    /// The next call, while at most so much time passes.
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
            peer.look();
            let text = peer.text();
            (text.contains("\r\n\r\n") && text.ends_with('}')).then(|| text.to_owned())
        });
        head.sent_at.push(head.now);
        let (lines, body) = text.split_once("\r\n\r\n").expect("a whole request");
        Call { peer, head: format!("{lines}\r\n"), body: body.to_owned() }
    }

    /// No call comes at the present time.
    pub fn expect_no_call(&mut self, head: &mut Head) {
        for _ in 0..IDLE_TURNS {
            head.turn();
            assert!(self.listener.accept().is_err(), "a call came");
        }
    }
}

impl Call {
    pub fn answer(&mut self, status: u16) {
        self.peer.send(&format!("HTTP/1.1 {status} It\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    }

    /// The head has read the answer.
    pub fn wait_until_read(&self, head: &mut Head) {
        let before = head.completed;
        head.until(|head| (head.completed > before).then_some(()));
    }

    pub fn window(&self) -> u64 {
        let report: serde_json::Value = serde_json::from_str(&self.body).expect("JSON");
        report["window"].as_u64().expect("a number")
    }
}
