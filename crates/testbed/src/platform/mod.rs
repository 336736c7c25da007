//! Stub of the platform: its server list, and the platform calls of singleton roles, with rate limits and faults.

mod fault;
mod platform_calls;
mod rate_limit;
mod server_list;

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::IpAddr;

use serde_json::Value;

use self::fault::{FaultState, Handling};
use self::platform_calls::{SCALING_PATH, USAGE_REPORTS_PATH, read_platform_call};
use self::rate_limit::RateLimit;
use self::server_list::ServerList;
use crate::effects::{ConnectionKey, Effects, Service};
use crate::http::{self, Request};
use crate::observation::{Observation, PlatformCall, PlatformOrder};

pub use self::fault::PlatformFault;
pub use self::server_list::ListedServer;

/// Status of an accepted call.
const ACCEPTED: u16 = 200;
/// Status of a call that does not conform to the API.
const MALFORMED: u16 = 400;
/// Status of a call to an unknown path.
const UNKNOWN_PATH: u16 = 404;
/// Status of a call that exceeds the rate limit.
const OVER_RATE: u16 = 429;

/// Settings of the platform stub.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Delay of the server list, in milliseconds.
    pub lag_ms: u64,
    /// Maximum rate of calls to the server list from all nodes together, per second.
    pub list_calls_per_second: f64,
    /// Number of servers per page.
    pub page_size: usize,
    /// Maximum rate of platform calls for singleton roles from all nodes together, per second.
    pub platform_calls_per_second: f64,
}

/// Counts of the platform calls for singleton roles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCallCounts {
    /// Number of accepted usage reports.
    pub usage_reports: u64,
    /// Number of accepted scaling orders.
    pub scaling_orders: u64,
    /// Number of calls that were rejected because of the rate limit or a fault.
    pub refused: u64,
    /// Number of calls that do not conform to the API.
    pub malformed: u64,
}

/// A delayed response.
#[derive(Debug)]
struct DelayedResponse {
    at: u64,
    connection: ConnectionKey,
    bytes: Vec<u8>,
}

/// Stub of the platform.
#[derive(Debug)]
pub struct PlatformStub {
    list: ServerList,
    list_call_rate: RateLimit,
    platform_call_rate: RateLimit,
    fault: FaultState,
    delayed: Vec<DelayedResponse>,
    /// Source addresses of the connections.
    sources: BTreeMap<ConnectionKey, IpAddr>,
    /// Number of list calls that received a page.
    pub list_calls: u64,
    /// Number of list calls that were rejected because of the rate limit or a fault, or had an unknown path.
    pub refused: u64,
    /// Counts of the platform calls for singleton roles.
    pub platform_calls: PlatformCallCounts,
}

impl PlatformStub {
    /// Returns a platform without servers.
    pub fn new(settings: PlatformSettings) -> PlatformStub {
        PlatformStub {
            list: ServerList::new(settings.lag_ms, settings.page_size),
            list_call_rate: RateLimit::new(settings.list_calls_per_second),
            platform_call_rate: RateLimit::new(settings.platform_calls_per_second),
            fault: FaultState::default(),
            delayed: Vec::new(),
            sources: BTreeMap::new(),
            list_calls: 0,
            refused: 0,
            platform_calls: PlatformCallCounts::default(),
        }
    }

    /// Adds a server to the list.
    pub fn add(&mut self, now: u64, server: ListedServer) {
        self.list.add(now, server);
    }

    /// Marks a server as draining.
    pub fn mark_draining(&mut self, now: u64, instance: &str) {
        self.list.change(now, instance, |server| server.draining = true);
    }

    /// Removes a server from the list.
    pub fn remove(&mut self, now: u64, instance: &str) {
        self.list.remove(now, instance);
    }

    /// Records that a server was restarted as another incarnation.
    pub fn rename(&mut self, now: u64, instance: &str, next: &str) {
        self.list.change(now, instance, |server| server.instance = next.to_owned());
    }

    /// Records the version of a model that a server serves.
    pub fn set_version(&mut self, now: u64, instance: &str, model: &str, version: u64) {
        self.list.change(now, instance, |server| {
            for held in server.models.iter_mut().filter(|held| held.model == model) {
                held.version = version;
            }
        });
    }

    /// Returns one page of the list as JSON.
    pub fn page(&mut self, now: u64, zone: Option<&str>, from: usize) -> Value {
        self.list.page(now, zone, from)
    }

    /// Sets or ends a fault of the API.
    pub fn set_fault(&mut self, fault: Option<PlatformFault>) {
        self.fault.set(fault);
    }

    /// Accepts or rejects a call, and returns the response.
    fn handle_call(
        &mut self,
        now: u64,
        connection: ConnectionKey,
        request: &Request,
        out: &mut Effects,
    ) -> PlatformResponse {
        match (request.method.as_str(), request.path()) {
            ("GET", "/instances") if self.list_call_rate.admit(now) => self.respond_with_page(now, request),
            ("GET", "/instances") => self.reject_list_call(OVER_RATE),
            ("POST", USAGE_REPORTS_PATH | SCALING_PATH) => {
                PlatformResponse::empty(self.handle_platform_call(now, connection, request, None, out))
            }
            _ => self.reject_list_call(UNKNOWN_PATH),
        }
    }

    /// Rejects a call because of a fault.
    fn reject(
        &mut self,
        now: u64,
        connection: ConnectionKey,
        request: &Request,
        status: u16,
        out: &mut Effects,
    ) -> PlatformResponse {
        if request.method == "POST" {
            return PlatformResponse::empty(self.handle_platform_call(
                now,
                connection,
                request,
                Some(status),
                out,
            ));
        }
        self.reject_list_call(status)
    }

    fn reject_list_call(&mut self, status: u16) -> PlatformResponse {
        self.refused += 1;
        PlatformResponse::empty(status)
    }

    fn respond_with_page(&mut self, now: u64, request: &Request) -> PlatformResponse {
        self.list_calls += 1;
        let token = request.query("page-token").and_then(|token| token.strip_prefix("p-")?.parse().ok());
        let page = self.page(now, request.query("zone"), token.unwrap_or(0));
        PlatformResponse { status: ACCEPTED, page: Some(page) }
    }

    /// Handles a platform call for a singleton role and returns its status. The call is accepted unless it is
    /// malformed, a fault rejects it, or it exceeds the rate limit.
    fn handle_platform_call(
        &mut self,
        now: u64,
        connection: ConnectionKey,
        request: &Request,
        rejection: Option<u16>,
        out: &mut Effects,
    ) -> u16 {
        let call = match read_platform_call(request) {
            Ok(call) => PlatformCall { source: self.source(connection), ..call },
            Err(error) => {
                log::warn!("platform: a call of {} is malformed: {error}", request.path());
                self.platform_calls.malformed += 1;
                return MALFORMED;
            }
        };
        let status = match rejection {
            Some(status) => status,
            None if self.platform_call_rate.admit(now) => ACCEPTED,
            None => OVER_RATE,
        };
        self.count(&call.order, status);
        out.observations.push(Observation::PlatformCallReceived { call, accepted: status == ACCEPTED });
        status
    }

    fn count(&mut self, order: &PlatformOrder, status: u16) {
        let counts = &mut self.platform_calls;
        match order {
            _ if status != ACCEPTED => counts.refused += 1,
            PlatformOrder::UsageReport { .. } => counts.usage_reports += 1,
            PlatformOrder::Scaling { .. } => counts.scaling_orders += 1,
        }
    }

    /// Returns the source address of a connection; empty if it is unknown.
    fn source(&self, connection: ConnectionKey) -> String {
        self.sources.get(&connection).map(ToString::to_string).unwrap_or_default()
    }
}

/// A response of the platform.
struct PlatformResponse {
    status: u16,
    page: Option<Value>,
}

impl PlatformResponse {
    fn empty(status: u16) -> PlatformResponse {
        PlatformResponse { status, page: None }
    }

    fn to_bytes(&self) -> Vec<u8> {
        let Some(page) = &self.page else { return http::response(self.status, &[], &[]) };
        let fields = [("Content-Type", Cow::from("application/json"))];
        http::response(self.status, &fields, page.to_string().as_bytes())
    }
}

impl Service for PlatformStub {
    fn connected(&mut self, _now: u64, _connection: ConnectionKey, _out: &mut Effects) {}

    fn connected_from(&mut self, connection: ConnectionKey, source: IpAddr) {
        self.sources.insert(connection, source);
    }

    fn request(&mut self, now: u64, connection: ConnectionKey, request: Request, out: &mut Effects) {
        match self.fault.handling() {
            Handling::Respond => {
                let response = self.handle_call(now, connection, &request, out);
                out.send(connection, response.to_bytes());
            }
            Handling::RespondLater(delay_ms) => {
                let bytes = self.handle_call(now, connection, &request, out).to_bytes();
                self.delayed.push(DelayedResponse { at: now + delay_ms, connection, bytes });
            }
            Handling::AcceptWithoutResponse => {
                self.handle_call(now, connection, &request, out);
            }
            Handling::Reject(status) => {
                let response = self.reject(now, connection, &request, status, out);
                out.send(connection, response.to_bytes());
            }
            Handling::AcceptAndReset => {
                self.handle_call(now, connection, &request, out);
                out.reset(connection);
                self.sources.remove(&connection);
            }
            Handling::Drop => {}
        }
    }

    fn closed(&mut self, _now: u64, connection: ConnectionKey, _out: &mut Effects) {
        self.sources.remove(&connection);
        self.delayed.retain(|response| response.connection != connection);
    }

    fn wake(&mut self, now: u64, out: &mut Effects) {
        let (due, later): (Vec<DelayedResponse>, Vec<DelayedResponse>) =
            std::mem::take(&mut self.delayed).into_iter().partition(|response| response.at <= now);
        self.delayed = later;
        due.into_iter().for_each(|response| out.send(response.connection, response.bytes));
    }

    fn next_wake(&self) -> Option<u64> {
        self.delayed.iter().map(|response| response.at).min()
    }
}
