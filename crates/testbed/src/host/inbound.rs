//! Connections that servers accepted: reads requests, and sends the bytes that servers write.

use orchidvalve_net::ConnectionId;

use super::{ConnectionRole, HeadState, Host, ServerIndex};
use crate::effects::{ConnectionKey, Effects, Output};
use crate::http;
use crate::observation::Observation;

impl Host {
    pub(super) fn accept(&mut self, now: u64, server: ServerIndex, id: ConnectionId) {
        let key = self.next_key;
        self.next_key = key.next();
        self.roles.insert(id, ConnectionRole::Inbound { server, key, head: HeadState::NotReported });
        self.accepted.insert(key, id);
        let mut out = Effects::default();
        let source = self.network.peer_address(id).map(|peer| peer.ip());
        let service = self.servers[server.0].service();
        if let Some(source) = source {
            service.connected_from(key, source);
        }
        service.connected(now, key, &mut out);
        self.apply(now, None, out);
    }

    /// Passes all complete requests to the server.
    pub(super) fn read_requests(&mut self, now: u64, id: ConnectionId) {
        while let Some(&ConnectionRole::Inbound { server, key, head }) = self.roles.get(&id) {
            match http::parse_request(self.network.inbox(id)) {
                Ok(Some((request, length))) => {
                    self.network.consume(id, length);
                    self.roles
                        .insert(id, ConnectionRole::Inbound { server, key, head: HeadState::NotReported });
                    let mut out = Effects::default();
                    let service = self.servers[server.0].service();
                    match head {
                        HeadState::Responded => service.remaining_body(&request, &mut out),
                        HeadState::NotReported | HeadState::Reported => {
                            service.request(now, key, request, &mut out);
                        }
                    }
                    self.apply(now, None, out);
                }
                Ok(None) => return self.report_head(now, id, server, key, head),
                Err(error) => {
                    log::warn!("host: a request to an emulator cannot be parsed: {error}");
                    let mut out = Effects::default();
                    out.observations
                        .push(Observation::MalformedRequestReceived { reason: error.to_string() });
                    out.reset(key);
                    self.servers[server.0].service().closed(now, key, &mut out);
                    return self.apply(now, None, out);
                }
            }
        }
    }

    /// Passes the head of a request to the server once, while the body is incomplete.
    fn report_head(
        &mut self,
        now: u64,
        id: ConnectionId,
        server: ServerIndex,
        key: ConnectionKey,
        state: HeadState,
    ) {
        let Ok(Some(head)) = http::parse_request_head(self.network.inbox(id)) else { return };
        if state == HeadState::NotReported {
            let mut out = Effects::default();
            let has_responded = self.servers[server.0].service().request_head(key, &head, &mut out);
            let head = if has_responded { HeadState::Responded } else { HeadState::Reported };
            self.roles.insert(id, ConnectionRole::Inbound { server, key, head });
            self.apply(now, None, out);
        }
    }

    /// Handles a connection that the peer has closed.
    pub(super) fn close_inbound(
        &mut self,
        now: u64,
        id: ConnectionId,
        server: ServerIndex,
        key: ConnectionKey,
    ) {
        self.network.abort(id);
        self.roles.remove(&id);
        self.accepted.remove(&key);
        let mut out = Effects::default();
        self.servers[server.0].service().closed(now, key, &mut out);
        self.apply(now, None, out);
    }

    pub(super) fn write(&mut self, output: Output) {
        match output {
            Output::Send { connection, bytes } => {
                if let Some(&id) = self.accepted.get(&connection) {
                    self.network.send(id, &bytes);
                }
            }
            Output::Finish { connection } => {
                if let Some(id) = self.accepted.remove(&connection) {
                    self.roles.remove(&id);
                    self.network.finish(id);
                }
            }
            Output::Reset { connection } => {
                if let Some(id) = self.accepted.remove(&connection) {
                    self.roles.remove(&id);
                    self.network.flush();
                    self.network.abort(id);
                }
            }
        }
    }
}
