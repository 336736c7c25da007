//! A gateway with connections to one server, whose end is controlled by the test.

#![allow(dead_code)]

use std::net::{SocketAddrV4, TcpListener};

use orchidvalve_data_plane::attempts::Idempotency;
use orchidvalve_data_plane::upstream::{
    ExchangeId, Failure, OutboundRequest, UpstreamConnections, UpstreamEvent,
};
use orchidvalve_net::{Event, Network};

use crate::sockets_support::*;

pub const ID: &str = "9c41d07be2a35f68";
pub const REQUEST: &str = "POST /lohu930/2f HTTP/1.1\r\nAttempt-Id: 9c41d07be2a35f68\r\n\r\n";
pub const RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 5\r\n\r\nbytes";

pub struct Gateway {
    pub network: Network,
    pub upstreams: UpstreamConnections,
    pub events: Vec<UpstreamEvent>,
    listener: TcpListener,
    pub server: SocketAddrV4,
    pub now: u64,
    /// The id of the latest request.
    id: String,
    sent: u64,
}

impl Gateway {
    pub fn new() -> Gateway {
        let (listener, server) = listen();
        let network = Network::new().unwrap();
        let upstreams = UpstreamConnections::default();
        let (events, id) = (Vec::new(), String::new());
        Gateway { network, upstreams, events, listener, server, now: 1_000, id, sent: 0 }
    }

    pub fn send(&mut self) -> ExchangeId {
        self.send_as("POST", false)
    }

    /// Sends a request. The first one has the id `ID`, every further one a new id.
    pub fn send_as(&mut self, method: &str, at_most_once: bool) -> ExchangeId {
        self.sent += 1;
        let id = if self.sent == 1 { ID.to_owned() } else { format!("{:016x}", self.sent) };
        self.send_with(&id, REQUEST, method, at_most_once)
    }

    pub fn send_with(&mut self, id: &str, request: &str, method: &str, at_most_once: bool) -> ExchangeId {
        self.id = id.to_owned();
        let bytes = request.replace(ID, id).into_bytes();
        let idempotency = if at_most_once { Idempotency::AtMostOnce } else { Idempotency::Idempotent };
        let outbound = OutboundRequest { method, attempt_id: Some(id), bytes: &bytes, idempotency };
        self.upstreams.send(&mut self.network, self.server, &outbound, self.now).unwrap()
    }

    /// Returns `answer` with the id of the latest request in place of `ID`.
    pub fn with_latest_id(&self, response: &str) -> String {
        response.replace(ID, &self.id)
    }

    pub fn turn(&mut self) {
        for event in self.network.poll(TURN).unwrap() {
            match event {
                Event::Connected(id) => self.upstreams.connected(id),
                Event::Data(id) => {
                    self.upstreams.data(&mut self.network, id, self.now, &mut self.events);
                }
                Event::Closed { connection, .. } => {
                    self.upstreams.closed(&mut self.network, connection, &mut self.events);
                }
                other => unreachable!("{other:?}"),
            }
        }
    }

    /// Returns the server's end of the next connection.
    pub fn accept(&mut self) -> Peer {
        for _ in 0..MAX_TURNS {
            if let Ok((stream, _)) = self.listener.accept() {
                return Peer::new(stream);
            }
            self.turn();
        }
        panic!("no connection arrived");
    }

    /// Waits for a request on a connection.
    pub fn request(&mut self, peer: &mut Peer) {
        for _ in 0..MAX_TURNS {
            peer.receive();
            if peer.text().ends_with("\r\n\r\n") {
                peer.inbox.clear();
                return;
            }
            self.turn();
        }
        panic!("no request arrived");
    }

    /// Waits for the end of an exchange and returns its events.
    pub fn wait_for_end(&mut self) -> Vec<UpstreamEvent> {
        for _ in 0..MAX_TURNS {
            let is_end = |e: &UpstreamEvent| {
                matches!(
                    e,
                    UpstreamEvent::Complete { .. }
                        | UpstreamEvent::Closed { .. }
                        | UpstreamEvent::Failed { .. }
                )
            };
            if self.events.iter().any(is_end) {
                return std::mem::take(&mut self.events);
            }
            self.turn();
        }
        panic!("the exchange did not end");
    }

    /// Waits until the server's end sees the connection end.
    pub fn wait_for_disconnect(&mut self, peer: &mut Peer) {
        for _ in 0..MAX_TURNS {
            peer.receive();
            if peer.ended {
                return;
            }
            self.turn();
        }
        panic!("the connection did not end");
    }

    /// Performs a complete exchange on a new connection.
    pub fn exchange(&mut self, response: &str) -> Peer {
        self.send();
        let mut peer = self.accept();
        self.request(&mut peer);
        peer.send(&self.with_latest_id(response));
        assert!(matches!(self.wait_for_end().last(), Some(UpstreamEvent::Complete { .. })));
        peer
    }

    /// Sends another request. Returns whether it arrives on the connection of `peer`, where it gets a response.
    pub fn reuses(&mut self, peer: &mut Peer, at_most_once: bool) -> bool {
        self.send_as("POST", at_most_once);
        self.arrives_on(peer)
    }

    /// Whether the latest request arrives on the connection of `peer`, where it gets a response.
    pub fn arrives_on(&mut self, peer: &mut Peer) -> bool {
        for _ in 0..MAX_TURNS {
            peer.receive();
            if peer.text().ends_with("\r\n\r\n") {
                peer.inbox.clear();
                peer.send(&self.with_latest_id(RESPONSE));
                self.wait_for_end();
                return true;
            }
            if self.listener.accept().is_ok() {
                return false;
            }
            self.turn();
        }
        panic!("the request arrived on no connection");
    }
}

pub fn body(events: &[UpstreamEvent]) -> String {
    let mut text = Vec::new();
    for event in events {
        if let UpstreamEvent::Body { bytes, .. } = event {
            text.extend_from_slice(bytes);
        }
    }
    String::from_utf8(text).unwrap()
}

pub fn status(events: &[UpstreamEvent]) -> Option<u16> {
    events.iter().find_map(|event| match event {
        UpstreamEvent::Head { head, .. } => Some(head.status),
        _ => None,
    })
}

pub fn failure(events: &[UpstreamEvent]) -> Option<Failure> {
    match events.last() {
        Some(UpstreamEvent::Failed { failure, .. }) => Some(*failure),
        _ => None,
    }
}
