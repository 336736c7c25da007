//! Operators and trainers: their connections, requests and responses, the status, and the retirement of store nodes.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use orchidvalve_chain_replication::Milliseconds;
use orchidvalve_consensus::View;
use orchidvalve_control_state::{Change, ControlState, Placement};
use orchidvalve_http::{RequestReader, write_response};
use orchidvalve_net::{ConnectionId, Network};
use orchidvalve_protocol::frames::encode;
use orchidvalve_protocol::identity::MemberId;
use serde_json::{Value, json};

use super::Process;
use crate::node::{RequestNumber, RequestOrigin};
use crate::operator_api::{
    OPERATOR_LIMITS, OperatorRequest, OperatorResponse, change_response, parse_request,
};
use crate::peer_messages::{HeadRequest, RequestOutcome};
use crate::placement;
use crate::singleton_roles::usage_status;

/// A connection without a request is closed after this time, in milliseconds: the operator's machine may be gone.
const IDLE_TIMEOUT_MS: Milliseconds = 60_000;
/// A request is abandoned if no further bytes arrive for this time, in milliseconds. An incomplete request delays the
/// graceful shutdown of this process by at most this time, too.
const REQUEST_STALL_TIMEOUT_MS: Milliseconds = 3_000;

/// A connection of an operator, on which one request is handled at a time.
#[derive(Debug)]
struct OperatorConnection {
    reader: RequestReader,
    /// Whether the connection stays open after the response.
    keep_alive: bool,
    /// Number of the request whose response is pending.
    pending_request: Option<RequestNumber>,
    /// When bytes were last received or a response was last written.
    active_at: Milliseconds,
}

/// The kind of an operator's request.
#[derive(Debug)]
enum RequestKind {
    Change,
    ReadConfiguration,
    ReadRetirement { node: String },
    Retire,
}

/// An operator's request that the node has not decided yet.
#[derive(Debug)]
struct OpenRequest {
    connection: ConnectionId,
    kind: RequestKind,
}

/// Connections of operators and their open requests. Request numbers are used once.
#[derive(Default, Debug)]
pub(super) struct OperatorConnections {
    connections: BTreeMap<ConnectionId, OperatorConnection>,
    /// Connections that are closed once their last responses are written.
    closing: Vec<ConnectionId>,
    open: BTreeMap<RequestNumber, OpenRequest>,
    last_number: u64,
}

impl OperatorConnections {
    pub(super) fn accepted(&mut self, connection: ConnectionId, now: Milliseconds) {
        let reader = RequestReader::default();
        let operator = OperatorConnection { reader, keep_alive: true, pending_request: None, active_at: now };
        self.connections.insert(connection, operator);
    }

    /// Records that bytes have arrived on a connection.
    fn data_arrived(&mut self, connection: ConnectionId, now: Milliseconds) {
        if let Some(operator) = self.connections.get_mut(&connection) {
            operator.active_at = now;
        }
    }

    /// Closes connections that were idle for too long, and abandons requests whose remaining bytes do not arrive. Those were
    /// not read in full, so they have not run.
    pub(super) fn expire(&mut self, network: &mut Network, now: Milliseconds) {
        let is_idle =
            |(_, operator): &(&ConnectionId, &OperatorConnection)| operator.pending_request.is_none();
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(is_idle)
            .filter(|(connection, operator)| {
                let has_begun = operator.reader.is_mid_request() || !network.inbox(**connection).is_empty();
                let limit = if has_begun { REQUEST_STALL_TIMEOUT_MS } else { IDLE_TIMEOUT_MS };
                now >= operator.active_at + limit
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in expired {
            if let Some(operator) = self.connections.remove(&connection) {
                if operator.reader.is_mid_request() {
                    let response =
                        OperatorResponse::error(408, "the rest of the request didn't come in time");
                    write_operator_response(network, connection, &response, true);
                }
                self.close(network, connection);
            }
        }
    }

    /// Closes a connection once the bytes written on it are sent.
    fn close(&mut self, network: &mut Network, connection: ConnectionId) {
        network.finish(connection);
        self.closing.retain(|closing| network.queued_bytes(*closing) > 0);
        self.closing.push(connection);
    }

    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Forgets a connection that has ended. Returns whether it was an operator's.
    pub(super) fn closed(&mut self, connection: ConnectionId) -> bool {
        self.connections.remove(&connection).is_some()
    }

    /// Returns the number for a new request.
    pub(super) fn next_number(&mut self) -> RequestNumber {
        self.last_number += 1;
        RequestNumber(self.last_number)
    }

    fn open(&mut self, connection: ConnectionId, kind: RequestKind) -> RequestNumber {
        let number = self.next_number();
        self.open.insert(number, OpenRequest { connection, kind });
        if let Some(operator) = self.connections.get_mut(&connection) {
            operator.pending_request = Some(number);
        }
        number
    }

    /// Returns whether a request has begun to arrive, is pending, or has a response that is not fully written.
    pub(super) fn has_open_requests(&self, network: &Network) -> bool {
        let is_unwritten = |connection: &ConnectionId| network.queued_bytes(*connection) > 0;
        !self.open.is_empty()
            || self.connections.values().any(|operator| operator.reader.is_mid_request())
            || self.connections.keys().chain(&self.closing).any(is_unwritten)
    }

    /// Writes a response, and closes the connection if the request asked for that.
    fn respond(
        &mut self,
        network: &mut Network,
        connection: ConnectionId,
        response: &OperatorResponse,
        now: Milliseconds,
    ) {
        let Some(operator) = self.connections.get_mut(&connection) else { return };
        operator.pending_request = None;
        operator.active_at = now;
        let close = !operator.keep_alive;
        write_operator_response(network, connection, response, close);
        if close {
            self.connections.remove(&connection);
            self.close(network, connection);
        }
    }
}

fn write_operator_response(
    network: &mut Network,
    connection: ConnectionId,
    response: &OperatorResponse,
    close: bool,
) {
    let Some(outbox) = network.outbox(connection) else { return };
    let mut headers = vec![("Content-Type", "application/json")];
    headers.extend(response.location.as_deref().map(|location| ("Location", location)));
    write_response(outbox, response.status, &headers, &response.body, close);
}

impl Process {
    /// Handles received requests one after the other: each response is written before the next request is read. Outputs of
    /// the node are carried out later in the turn, so that requests with an immediate response do not recurse into one
    /// another.
    pub(super) fn operator_data_received(&mut self, connection: ConnectionId) {
        self.operators.data_arrived(connection, self.now);
        self.read_operator_requests(connection);
    }

    fn read_operator_requests(&mut self, connection: ConnectionId) {
        let is_idle = |operator: &&mut OperatorConnection| operator.pending_request.is_none();
        while let Some(operator) = self.operators.connections.get_mut(&connection).filter(is_idle) {
            match operator.reader.read(self.network.inbox(connection), &OPERATOR_LIMITS) {
                Ok(read) => {
                    self.network.consume(connection, read.consumed);
                    let Some(request) = read.request else { return };
                    operator.keep_alive = request.keep_alive;
                    match parse_request(&request) {
                        Ok(parsed) => self.handle_request(connection, parsed, &request.target),
                        Err(response) => self.respond(connection, &response),
                    }
                }
                Err(error) => {
                    operator.keep_alive = false;
                    self.respond(connection, &OperatorResponse::error(error.status(), &error.to_string()));
                }
            }
        }
    }

    /// Responds to a request that needs no confirmation by the node, and submits any other to the node.
    fn handle_request(&mut self, connection: ConnectionId, request: OperatorRequest, target: &str) {
        if request.is_read()
            && let Some(member) = self.read_redirect()
        {
            self.respond(connection, &OperatorResponse::redirect(member, target));
            return;
        }
        match request {
            OperatorRequest::Change(change) => {
                let number = self.operators.open(connection, RequestKind::Change);
                self.node.submit(number, HeadRequest::Change { change: encode(&change) });
            }
            OperatorRequest::ReadConfiguration => {
                let number = self.operators.open(connection, RequestKind::ReadConfiguration);
                self.node.read(number);
            }
            OperatorRequest::ReadRetirement { node } => {
                let number = self.operators.open(connection, RequestKind::ReadRetirement { node });
                self.node.read(number);
            }
            OperatorRequest::Retire { node } => {
                let number = self.operators.open(connection, RequestKind::Retire);
                self.node.submit(number, HeadRequest::Retire { name: node });
            }
            OperatorRequest::ReadStatus => {
                let status = self.status();
                self.respond(connection, &status);
            }
        }
    }

    /// Returns the control address of the tail if this node is not in the chain and so cannot confirm its reads.
    fn read_redirect(&self) -> Option<SocketAddrV4> {
        let view = self.node.view()?;
        if view.in_chain(self.me()) {
            return None;
        }
        // All nodes listen for operators on the same port.
        let tail = view.tail()?;
        Some(SocketAddrV4::new(tail.address.ip(), self.options.control_address.port()))
    }

    /// Submits a change whose outcome is not needed.
    pub(super) fn submit_unattended(&mut self, change: &Change) {
        let number = self.operators.next_number();
        self.node.submit(number, HeadRequest::Change { change: encode(change) });
    }

    /// Decides for the node, which is the head, whether a store node may be retired.
    pub(super) fn retirement_requested(&mut self, origin: RequestOrigin, name: &str) {
        let state = self.node.tentative_state();
        let verdict = self.roles.retirement(self.now, state, &self.sessions, name);
        self.node.decide_retirement(origin, name, verdict);
    }

    /// Responds to a change with the outcome that the node has decided.
    pub(super) fn request_decided(&mut self, number: RequestNumber, outcome: &RequestOutcome) {
        self.respond_to(number, &change_response(outcome));
    }

    /// Responds to a read from the state, which the node has confirmed to be the latest.
    pub(super) fn read_confirmed(&mut self, number: RequestNumber) {
        let state = self.node.state();
        let response = match self.operators.open.get(&number).map(|request| &request.kind) {
            Some(RequestKind::ReadConfiguration) => configuration_response(state),
            Some(RequestKind::ReadRetirement { node }) => retirement_response(state, node),
            Some(RequestKind::Change | RequestKind::Retire) | None => return,
        };
        self.respond_to(number, &response);
    }

    /// Responds to the request with this number, and continues with the requests received after it.
    pub(super) fn respond_to(&mut self, number: RequestNumber, response: &OperatorResponse) {
        let Some(OpenRequest { connection, .. }) = self.operators.open.remove(&number) else { return };
        self.respond(connection, response);
        self.read_operator_requests(connection);
    }

    fn respond(&mut self, connection: ConnectionId, response: &OperatorResponse) {
        self.operators.respond(&mut self.network, connection, response, self.now);
    }

    /// Returns members, chain, singleton roles and partitions, for operators.
    fn status(&self) -> OperatorResponse {
        let state = self.node.state();
        let view = self.node.view();
        let chain = view.map_or(Vec::new(), |view| member_names(&view.chain));
        let sessions = self.sessions.sessions().map(
            |session| json!({"name": session.name, "zone": session.zone, "role": session.role.to_string()}),
        );
        let partitions = state.partitions().iter().map(partition_status);
        let status = json!({
            "name": self.options.machine.name,
            "in-touch": self.node.has_quorum(),
            "epoch": view.map_or(0, |view: &View| view.epoch),
            "chain": chain,
            "voters": view.map_or(Vec::new(), |view| member_names(&view.voters)),
            // The node that leads the singleton roles.
            "duties": chain.first(),
            "change": self.node.applied(),
            "configuration": state.configuration_version(),
            "versions": state.versions(),
            "members": sessions.collect::<Vec<Value>>(),
            "partitions": partitions.collect::<Vec<Value>>(),
            "servers": self.servers.servers().count(),
            "usage": usage_status(state.usage_reports()),
        });
        OperatorResponse::new(200, &status)
    }
}

fn member_names(members: &[MemberId]) -> Vec<String> {
    members.iter().map(MemberId::to_string).collect()
}

fn partition_status(placement: &Placement) -> Value {
    let (members, learners) = (member_names(&placement.members), member_names(&placement.learners));
    json!({"epoch": placement.epoch, "members": members, "learners": learners})
}

fn configuration_response(state: &ControlState) -> OperatorResponse {
    match state.configuration() {
        Some(configuration) => {
            OperatorResponse { status: 200, body: configuration.to_json(), location: None }
        }
        None => OperatorResponse::error(404, "there is no configuration yet: send one with PUT"),
    }
}

fn retirement_response(state: &ControlState, node: &str) -> OperatorResponse {
    let Some(store) = state.stores().get(node) else {
        return OperatorResponse::error(404, "no storage machine has this name: see the members");
    };
    let is_done = store.retiring && placement::can_remove_store_node(&store.member, state.partitions());
    OperatorResponse::new(200, &json!({ "state": if is_done { "completed" } else { "in_progress" } }))
}

#[cfg(test)]
mod tests;
