//! Test harness for [`Requests`] with simulated servers and manually controlled time.

#![allow(dead_code)]

use std::net::Ipv4Addr;
use std::sync::Arc;

use orchidvalve_configuration::{Configuration, RouteTable};
use orchidvalve_data_plane::admission::{Admitted, ConfigurationAge, admit_request};
use orchidvalve_data_plane::attempts::Idempotency;
use orchidvalve_data_plane::authentication::Authenticated;
use orchidvalve_data_plane::balancer::{Balancer, BalancerChange, ServerKey};
use orchidvalve_data_plane::exchanges::request_bytes;
use orchidvalve_data_plane::requests::{
    ReceivedRequest, RequestAttemptId, RequestCommand, RequestId, Requests, Response,
};
use orchidvalve_data_plane::response_class::promises_no_execution;
use orchidvalve_data_plane::upstream::Failure;
use orchidvalve_http::{Headers, MessageLimits, Request, RequestReader, ResponseHead};
use orchidvalve_protocol::identity::NodeAddress;
use orchidvalve_protocol::messages::{ServerEntry, ServerTableUpdate, TableVersion};
use orchidvalve_protocol::server_table::ServerTable;
use rand_pcg::Pcg64Mcg;

pub const ZONE: &str = "upper-hill";
pub const SERVICE: &str = "huvo11a";
pub const MAX_ATTEMPTS: u32 = 3;
pub const TIMEOUT_MS: u64 = 2_000;
/// Latency target of all routes, in milliseconds.
pub const TARGET_MS: u64 = 400;
pub const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Returns routes by their path prefixes: `/repeat/`, `/once/`, `/stream/` and `/resume/`.
pub fn routes() -> Arc<RouteTable> {
    routes_with_target(TARGET_MS)
}

/// Returns the same routes with this target latency, in milliseconds.
pub fn routes_with_target(target_ms: u64) -> Arc<RouteTable> {
    compile(target_ms, "")
}

/// Returns the same routes in a configuration with this many tenants: `tenant-0` with the key `key-0`, and so on.
pub fn routes_with_tenants(count: usize) -> Arc<RouteTable> {
    let tenants: Vec<String> = (0..count)
        .map(|number| format!(r#"{{"name":"tenant-{number}","api-keys":["key-{number}"]}}"#))
        .collect();
    compile(TARGET_MS, &format!(r#","tenants":[{}]"#, tenants.join(",")))
}

fn compile(target_ms: u64, tenants: &str) -> Arc<RouteTable> {
    let route = |name: &str, kind: &str, resumable: bool| {
        format!(
            r#"{{"name":"{name}","hostname":"ficu95.example","path-prefix":"/{name}/","route-type":"{kind}",
            "timeout-ms":{TIMEOUT_MS},"target-latency-ms":{target_ms},"priority":1,"service":"{SERVICE}",
            "max-attempts":{MAX_ATTEMPTS},"resumable":{resumable}}}"#
        )
    };
    let listed = [
        route("repeat", "idempotent", false),
        route("once", "non_idempotent", false),
        route("stream", "streaming", false),
        route("resume", "streaming", true),
    ];
    let document = format!(
        r#"{{"config-version":1,"routes":[{}],"services":[{{"name":"{SERVICE}","health-path":"/health",
        "max-connections":10,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,
        "max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}{tenants}}}"#,
        listed.join(",")
    );
    RouteTable::compile(&Configuration::replace(document.as_bytes(), None).unwrap())
}

pub fn entry(instance: &str) -> ServerEntry {
    ServerEntry {
        instance: instance.to_owned(),
        service: SERVICE.to_owned(),
        address: NodeAddress::new(Ipv4Addr::new(10, 128, 0, 9), 8_000 + instance.len() as u16),
        zone: ZONE.to_owned(),
        slots: 4,
        draining: false,
        models: Vec::new(),
    }
}

/// A balancer and the server table that it follows.
#[derive(Default)]
pub struct Servers {
    pub balancer: Balancer,
    table: ServerTable,
    number: u64,
}

impl Servers {
    pub fn list(&mut self, servers: Vec<ServerEntry>) -> BalancerChange {
        self.number += 1;
        let version = TableVersion { term: 1, number: self.number };
        assert!(self.table.apply(&ServerTableUpdate::Snapshot { version, servers }));
        self.balancer.update(&self.table)
    }
}

pub fn request(text: &str) -> Request {
    let limits = MessageLimits { header_bytes: 4_096, body_bytes: 4_096 };
    RequestReader::default().read(text.as_bytes(), &limits).unwrap().request.unwrap()
}

pub fn head(status: u16, lines: &[(&str, &str)]) -> ResponseHead {
    let mut headers = Headers::default();
    headers.push("Attempt-Id", "9c41d07be2a35f68");
    lines.iter().for_each(|(name, value)| headers.push(name, value));
    ResponseHead { status, headers }
}

pub fn success() -> ResponseHead {
    head(200, &[("Server-Signature", SIGNATURE)])
}

/// Returns the head of a response that states that the request did not run.
pub fn rejection(status: u16) -> ResponseHead {
    let line = [("Not-Executed", "1")];
    head(status, if status == 421 { &[] } else { &line })
}

/// An attempt that was sent to a server.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Attempted {
    pub id: RequestAttemptId,
    pub server: ServerKey,
    pub deadline_ms: u64,
    pub last_event_id: Option<u64>,
    pub at_most_once: bool,
}

/// The state of the client's response.
#[derive(Default, PartialEq, Debug)]
pub struct Client {
    pub status: Option<u16>,
    pub local: bool,
    pub body: String,
    pub signature: String,
    /// Whether the response is complete by its framing.
    pub complete: bool,
    pub aborted: bool,
}

pub struct Harness {
    pub requests: Requests,
    pub servers: Servers,
    pub now: u64,
    pub attempts: Vec<Attempted>,
    /// The bytes sent to the server of each attempt.
    pub sent: Vec<Vec<u8>>,
    pub cancelled: Vec<RequestAttemptId>,
    pub client: Client,
    pub routes: Arc<RouteTable>,
    out: Vec<RequestCommand>,
}

impl Harness {
    pub fn new(servers: usize) -> Harness {
        Harness::with_routes(servers, routes())
    }

    pub fn with_routes(servers: usize, routes: Arc<RouteTable>) -> Harness {
        let mut harness = Harness {
            requests: Requests::new(ZONE, Pcg64Mcg::new(7)),
            servers: Servers::default(),
            now: 10_000,
            attempts: Vec::new(),
            sent: Vec::new(),
            cancelled: Vec::new(),
            client: Client::default(),
            routes,
            out: Vec::new(),
        };
        harness.servers.list((0..servers).map(|n| entry(&format!("i-{}", "7".repeat(n + 1)))).collect());
        harness
    }

    pub fn begin(&mut self, kind: &str) -> RequestId {
        self.begin_with(kind, "Deadline-Ms: 1500\r\n")
    }

    pub fn begin_with(&mut self, kind: &str, lines: &str) -> RequestId {
        self.begin_slowly(kind, lines, 0)
    }

    /// Begins a request that took this long from its first byte to its last.
    pub fn begin_slowly(&mut self, kind: &str, lines: &str, took_ms: u64) -> RequestId {
        let text = format!(
            "POST /{kind}/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: 9c41d07be2a35f68\r\n{lines}\r\n"
        );
        let request = request(&text);
        let routes = self.routes.clone();
        // A request without a known key is admitted only on a public route.
        let route = routes.lookup("ficu95.example", &request.target).unwrap().index;
        let public = Admitted { route, caller: Authenticated::Public };
        let admitted = admit_request(&request, &routes, ConfigurationAge::Current).unwrap_or(public);
        let arrived = ReceivedRequest { request, first_byte_at: self.now - took_ms };
        self.begin_admitted(arrived, &routes, admitted)
    }

    pub fn begin_admitted(
        &mut self,
        arrived: ReceivedRequest,
        routes: &Arc<RouteTable>,
        admitted: Admitted,
    ) -> RequestId {
        let balancer = &self.servers.balancer;
        let id = self.requests.begin(self.now, arrived, routes, admitted, balancer, &mut self.out);
        self.process_commands();
        id
    }

    pub fn last(&self) -> Attempted {
        *self.attempts.last().unwrap()
    }

    pub fn head(&mut self, attempt: Attempted, head: ResponseHead) {
        self.requests.head_received(attempt.id, head, &mut self.out);
        self.process_commands();
    }

    pub fn body(&mut self, attempt: Attempted, bytes: &str) {
        let balancer = &mut self.servers.balancer;
        self.requests.body_received(self.now, attempt.id, bytes.into(), balancer, &mut self.out);
        self.process_commands();
    }

    pub fn complete(&mut self, attempt: Attempted) {
        self.requests.attempt_completed(self.now, attempt.id, &mut self.servers.balancer, &mut self.out);
        self.process_commands();
    }

    /// Handles an attempt whose connection was closed in order and whose response has no length.
    pub fn close(&mut self, attempt: Attempted) {
        self.requests.attempt_closed(self.now, attempt.id, &mut self.servers.balancer, &mut self.out);
        self.process_commands();
    }

    pub fn fail(&mut self, attempt: Attempted, failure: Failure) {
        self.requests.attempt_failed(
            self.now,
            attempt.id,
            failure,
            &mut self.servers.balancer,
            &mut self.out,
        );
        self.process_commands();
    }

    /// Handles a complete response.
    pub fn respond(&mut self, attempt: Attempted, head: ResponseHead, body: &str) {
        self.head(attempt, head);
        self.body(attempt, body);
        self.complete(attempt);
    }

    pub fn advance(&mut self, milliseconds: u64) {
        self.now += milliseconds;
        self.requests.tick(self.now, &self.servers.balancer, &mut self.out);
        self.process_commands();
    }

    pub fn disconnect(&mut self, id: RequestId) {
        self.requests.client_disconnected(id, &mut self.out);
        self.process_commands();
    }

    /// Ends all requests, as when the process exits.
    pub fn end_all(&mut self) {
        self.requests.end_all(&mut self.out);
        self.process_commands();
    }

    pub fn is_open(&self, attempt: Attempted) -> bool {
        !self.cancelled.contains(&attempt.id)
    }

    fn process_commands(&mut self) {
        for command in std::mem::take(&mut self.out) {
            assert!(
                !self.client.complete && !self.client.aborted
                    || matches!(command, RequestCommand::Cancel { .. })
            );
            match command {
                RequestCommand::Attempt { attempt, request, server, deadline_ms, last_event_id, permit } => {
                    let caller = self.requests.caller(request).unwrap();
                    let request = self.requests.request(request).unwrap();
                    self.sent.push(request_bytes(request, caller, "i-7", deadline_ms, last_event_id));
                    let at_most_once = permit.idempotency() == Idempotency::AtMostOnce;
                    self.attempts.push(Attempted {
                        id: attempt,
                        server,
                        deadline_ms,
                        last_event_id,
                        at_most_once,
                    });
                }
                RequestCommand::Cancel { attempt } => self.cancelled.push(attempt),
                RequestCommand::Respond { response, .. } => self.client.responded(response),
                RequestCommand::BeginStream { head, .. } => {
                    assert_eq!(self.client.status, None);
                    self.client.begin(&head);
                }
                RequestCommand::StreamChunk { bytes, .. } => {
                    assert!(self.client.status.is_some());
                    self.client.body.push_str(std::str::from_utf8(&bytes).unwrap());
                }
                RequestCommand::EndStream { .. } => self.client.complete = true,
                RequestCommand::AbortStream { .. } => self.client.aborted = true,
            }
        }
    }
}

impl Client {
    fn begin(&mut self, head: &ResponseHead) {
        self.status = Some(head.status);
        self.signature = head.headers.get("server-signature").unwrap_or_default().to_owned();
    }

    fn responded_locally(&mut self, status: u16) {
        self.status = Some(status);
        self.local = true;
    }

    fn responded(&mut self, response: Response) {
        assert_eq!(self.status, None);
        self.complete = true;
        match response {
            Response::Server { head, body } => {
                self.begin(&head);
                self.body = String::from_utf8(body).unwrap();
            }
            Response::NeverExecuted(_) => self.responded_locally(503),
            Response::OutcomeUnknown { status } => {
                assert!(!promises_no_execution(status));
                self.responded_locally(status);
            }
        }
    }
}
