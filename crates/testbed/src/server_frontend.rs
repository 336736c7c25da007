//! The behaviour that all emulated servers share: identity, load report, health, connections and responses.

use std::borrow::Cow;
use std::collections::BTreeSet;

use crate::effects::{ConnectionKey, Effects};
use crate::http::{self, Request};
use crate::observation::Observation;

/// Number of bits of an execution number below the index of its server.
const EXECUTION_BITS: u32 = 40;

/// Current load of a server, as the `Instance-Load` header states it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Number of running requests.
    pub running: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Maximum number of concurrent requests.
    pub slots: usize,
}

impl Load {
    /// Returns the value of the `Instance-Load` header.
    pub fn field(self) -> String {
        format!("{},{},{}", self.running, self.queued, self.slots)
    }
}

/// The part of an emulated server that does not depend on the kind of its requests.
#[derive(Debug)]
pub(crate) struct ServerFrontend {
    /// Id of the first incarnation.
    instance: String,
    /// Number of the server among all servers, which makes its execution numbers unique.
    index: u64,
    incarnation: u64,
    executions: u64,
    max_connections: usize,
    health_path: String,
    draining: bool,
    open: BTreeSet<ConnectionKey>,
    /// Whether every complete response is sent twice.
    pub duplicate_responses: bool,
}

impl ServerFrontend {
    pub fn new(index: u64, instance: String, max_connections: usize, health_path: String) -> ServerFrontend {
        ServerFrontend {
            instance,
            index,
            incarnation: 0,
            executions: 0,
            max_connections,
            health_path,
            draining: false,
            open: BTreeSet::new(),
            duplicate_responses: false,
        }
    }

    /// Returns the id of the current incarnation.
    pub fn instance(&self) -> String {
        match self.incarnation {
            0 => self.instance.clone(),
            number => format!("{}-{number}", self.instance),
        }
    }

    /// Continues as a new incarnation.
    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
    }

    /// Makes health checks fail from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns an execution number that is unique among all servers.
    pub fn next_execution(&mut self) -> u64 {
        self.executions += 1;
        (self.index << EXECUTION_BITS) | self.executions
    }

    /// Accepts a new connection, or resets it if the server has too many.
    pub fn accept(&mut self, connection: ConnectionKey, out: &mut Effects) {
        if self.open.len() >= self.max_connections {
            out.reset(connection);
        } else {
            self.open.insert(connection);
        }
    }

    /// Whether a connection is open.
    pub fn is_open(&self, connection: ConnectionKey) -> bool {
        self.open.contains(&connection)
    }

    /// Records that the peer has closed a connection.
    pub fn closed(&mut self, connection: ConnectionKey) {
        self.open.remove(&connection);
    }

    /// Resets a connection.
    pub fn reset(&mut self, connection: ConnectionKey, out: &mut Effects) {
        out.reset(connection);
        self.open.remove(&connection);
    }

    /// Resets all connections.
    pub fn reset_all(&mut self, out: &mut Effects) {
        for connection in std::mem::take(&mut self.open) {
            out.reset(connection);
        }
    }

    /// Whether a request is addressed to another server or incarnation.
    pub fn is_misdirected(&self, request: &Request) -> bool {
        request.headers.get("Expected-Instance").is_some_and(|expected| expected != self.instance())
    }

    /// Records a request that has an `Authorization` header, whatever its value.
    pub fn observe_authorization(&self, request: &Request, out: &mut Effects) {
        if request.headers.get("Authorization").is_some() {
            let id = request.headers.get("Attempt-Id").unwrap_or_default().to_owned();
            out.observations.push(Observation::AuthorizationReceived { server: self.instance(), id });
        }
    }

    /// Whether a request is a health check.
    pub fn is_health_check(&self, request: &Request) -> bool {
        request.method == "GET" && request.path() == self.health_path
    }

    /// Responds to a health check.
    pub fn respond_health(&self, connection: ConnectionKey, load: Load, out: &mut Effects) {
        self.respond(connection, if self.draining { 503 } else { 200 }, load, &[], &[], out);
    }

    /// Responds with the standard headers and the headers `extra`.
    pub fn respond(
        &self,
        connection: ConnectionKey,
        status: u16,
        load: Load,
        extra: &[(&str, Cow<'_, str>)],
        body: &[u8],
        out: &mut Effects,
    ) {
        let mut fields =
            vec![("Instance-Id", Cow::from(self.instance())), ("Instance-Load", Cow::from(load.field()))];
        fields.extend_from_slice(extra);
        self.send(connection, http::response(status, &fields, body), out);
    }

    /// Rejects a request and states that it was not executed.
    pub fn reject(
        &self,
        connection: ConnectionKey,
        status: u16,
        load: Load,
        attempt_id: &str,
        out: &mut Effects,
    ) {
        let fields = [("Not-Executed", Cow::from("1")), ("Attempt-Id", Cow::from(attempt_id))];
        self.respond(connection, status, load, &fields, &[], out);
    }

    /// Sends a complete response, or sends it twice if the fault of duplicate responses is active.
    pub fn send(&self, connection: ConnectionKey, bytes: Vec<u8>, out: &mut Effects) {
        if self.duplicate_responses {
            out.send(connection, bytes.clone());
        }
        out.send(connection, bytes);
    }
}
