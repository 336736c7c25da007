//! Incoming connections: links from gateways and from other store nodes.

use std::collections::BTreeMap;

use orchidvalve_net::ConnectionId;
use orchidvalve_protocol::frames::{FrameError, read_frame};
use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{GatewayMessage, LinkProtocol, PROTOCOL_VERSION};

use crate::latest_connections::{ConnectionStatus, LatestConnections};
use crate::link::LinkId;
use crate::messages::PeerMessage;
use crate::process::Process;

/// An incoming connection. Connections are numbered in the order in which they are accepted.
#[derive(Clone, Copy, Debug)]
enum Incoming {
    /// The connection has not sent its protocol byte yet.
    Unknown { number: u64 },
    /// A link from a gateway. The link has the number of the connection.
    Gateway { link: LinkId },
    /// A link from another store node. `member` is its identity, set by the handshake.
    Peer { number: u64, member: Option<MemberId> },
}

/// All incoming connections.
pub(super) struct IncomingLinks {
    connections: BTreeMap<ConnectionId, Incoming>,
    /// The latest connection from each other store node.
    latest_peers: LatestConnections<ConnectionId>,
    /// Connections from gateways, by link.
    gateways: BTreeMap<LinkId, ConnectionId>,
    next_number: u64,
}

impl Default for IncomingLinks {
    fn default() -> IncomingLinks {
        IncomingLinks {
            connections: BTreeMap::new(),
            latest_peers: LatestConnections::default(),
            gateways: BTreeMap::new(),
            next_number: 1,
        }
    }
}

impl IncomingLinks {
    /// Returns the connection of a gateway's link while it is up.
    pub fn gateway(&self, link: LinkId) -> Option<ConnectionId> {
        self.gateways.get(&link).copied()
    }

    fn accepted(&mut self, connection: ConnectionId) {
        self.connections.insert(connection, Incoming::Unknown { number: self.next_number });
        self.next_number += 1;
    }

    /// Removes a connection. Returns the link if the connection came from a gateway.
    fn remove(&mut self, connection: ConnectionId) -> Option<LinkId> {
        self.latest_peers.closed(connection);
        let Some(Incoming::Gateway { link }) = self.connections.remove(&connection) else { return None };
        self.gateways.remove(&link);
        Some(link)
    }

    /// Sets the protocol of a connection. Returns `false` if it is not a protocol of store nodes.
    fn identified(&mut self, connection: ConnectionId, number: u64, kind: Option<LinkProtocol>) -> bool {
        match kind {
            Some(LinkProtocol::StoreClient) => {
                let link = LinkId(number);
                self.gateways.insert(link, connection);
                self.connections.insert(connection, Incoming::Gateway { link });
                true
            }
            Some(LinkProtocol::StorePeer) => {
                self.connections.insert(connection, Incoming::Peer { number, member: None });
                true
            }
            _ => {
                log::warn!("store: unexpected protocol on a connection; check the addresses of the caller");
                false
            }
        }
    }
}

impl Process {
    /// Handles an accepted connection.
    pub(super) fn accepted(&mut self, connection: ConnectionId) {
        self.incoming.accepted(connection);
    }

    /// Forgets an incoming connection that is closed or has to be closed.
    pub(super) fn drop_incoming(&mut self, connection: ConnectionId) {
        if let Some(link) = self.incoming.remove(connection) {
            self.store.gateway_disconnected(link);
        }
    }

    /// Handles all complete messages that were received on an incoming connection.
    pub(super) fn internal_data(&mut self, connection: ConnectionId) {
        loop {
            let Some(incoming) = self.incoming.connections.get(&connection).copied() else { return };
            let inbox = self.network.inbox(connection);
            let consumed = match incoming {
                Incoming::Unknown { number } => match inbox.first() {
                    Some(byte) => {
                        let kind = LinkProtocol::from_byte(*byte);
                        self.incoming.identified(connection, number, kind).then_some(1)
                    }
                    None => return,
                },
                Incoming::Gateway { link } => match read_frame::<GatewayMessage>(inbox) {
                    Ok(Some((message, length))) => {
                        self.input(|store, now, outputs| store.gateway_message(link, message, now, outputs));
                        Some(length)
                    }
                    Ok(None) => return,
                    Err(error) => log_frame_error(&error),
                },
                Incoming::Peer { number, member } => match read_frame::<PeerMessage>(inbox) {
                    Ok(Some((message, length))) => {
                        self.peer_message(connection, number, member, message).then_some(length)
                    }
                    Ok(None) => return,
                    Err(error) => log_frame_error(&error),
                },
            };
            match consumed {
                Some(length) => self.network.consume(connection, length),
                None => {
                    self.drop_incoming(connection);
                    self.network.abort(connection);
                    return;
                }
            }
        }
    }

    /// Handles the handshake of another store node. Returns `false` if the node has connected again since.
    fn peer_introduced(&mut self, connection: ConnectionId, number: u64, member: MemberId) -> bool {
        match self.incoming.latest_peers.introduced(number, connection, member) {
            ConnectionStatus::Outdated => return false,
            ConnectionStatus::Latest { superseded: None } => {}
            ConnectionStatus::Latest { superseded: Some(older) } => {
                self.incoming.connections.remove(&older);
                self.network.abort(older);
            }
        }
        self.incoming.connections.insert(connection, Incoming::Peer { number, member: Some(member) });
        self.peers.message_received(member, self.now);
        true
    }

    /// Handles a message from another store node. Returns `false` if the connection has to be closed.
    fn peer_message(
        &mut self,
        connection: ConnectionId,
        number: u64,
        member: Option<MemberId>,
        message: PeerMessage,
    ) -> bool {
        match (message, member) {
            (PeerMessage::Handshake { version, member }, None) => {
                version == PROTOCOL_VERSION && self.peer_introduced(connection, number, member)
            }
            (PeerMessage::Handshake { .. }, Some(_)) | (_, None) => false,
            (PeerMessage::Heartbeat, Some(member)) => {
                self.peers.message_received(member, self.now);
                true
            }
            (message, Some(member)) => {
                self.peers.message_received(member, self.now);
                self.input(|store, now, outputs| store.peer_message(member, message, now, outputs));
                true
            }
        }
    }
}

/// Logs a frame error. Returns `None`, which closes the connection.
fn log_frame_error(error: &FrameError) -> Option<usize> {
    log::warn!("store: {error}");
    None
}
