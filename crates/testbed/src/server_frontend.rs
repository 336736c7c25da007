//! What every emulated server shows of itself: its id, its load, its health, its connections and its responses.

use std::borrow::Cow;
use std::collections::BTreeSet;

use crate::effects::{ConnectionKey, Effects};
use crate::http::{self, Request};
use crate::observation::Observation;

/// Bits of an execution's number below the index of its server.
const EXECUTION_BITS: u32 = 40;

/// Work of a server at one moment, as the field `Instance-Load` states it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Requests that may run at a time.
    pub slots: usize,
}

impl Load {
    /// The value of `Instance-Load`.
    pub fn field(self) -> String {
        format!("{},{},{}", self.running, self.queued, self.slots)
    }
}

/// The part of an emulated server that its peers see whatever it runs.
#[derive(Debug)]
pub(crate) struct ServerFrontend {
    /// Id of the first incarnation.
    instance: String,
    /// Number of the server among all; makes the numbers of its executions unique.
    index: u64,
    incarnation: u64,
    executions: u64,
    max_connections: usize,
    health_path: String,
    draining: bool,
    open: BTreeSet<ConnectionKey>,
    /// Every whole response is sent twice.
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

    /// Id of the incarnation.
    pub fn instance(&self) -> String {
        match self.incarnation {
            0 => self.instance.clone(),
            number => format!("{}-{number}", self.instance),
        }
    }

    /// The server goes on as another incarnation.
    pub fn begin_incarnation(&mut self) {
        self.incarnation += 1;
    }

    /// Health checks fail from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// A number that no other execution has, at whatever server.
    pub fn next_execution(&mut self) -> u64 {
        self.executions += 1;
        (self.index << EXECUTION_BITS) | self.executions
    }

    /// Takes a new connection in if there is room.
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

    /// The peer has closed a connection.
    pub fn closed(&mut self, connection: ConnectionKey) {
        self.open.remove(&connection);
    }

    /// Resets one connection.
    pub fn reset(&mut self, connection: ConnectionKey, out: &mut Effects) {
        out.reset(connection);
        self.open.remove(&connection);
    }

    /// Resets every connection.
    pub fn reset_all(&mut self, out: &mut Effects) {
        for connection in std::mem::take(&mut self.open) {
            out.reset(connection);
        }
    }

    /// Whether a request is meant for another server or incarnation.
    pub fn is_misdirected(&self, request: &Request) -> bool {
        request.headers.get("Expected-Instance").is_some_and(|expected| expected != self.instance())
    }

    /// Notes a request that shows an API key, or whatever else stands in `Authorization`.
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

    /// Responds with the fields that every response has, and `extra` ones.
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

    /// Rejects a request with the promise that it has not been executed.
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

    /// Sends a whole response, twice while that is the fault.
    pub fn send(&self, connection: ConnectionKey, bytes: Vec<u8>, out: &mut Effects) {
        if self.duplicate_responses {
            out.send(connection, bytes.clone());
        }
        out.send(connection, bytes);
    }
}
