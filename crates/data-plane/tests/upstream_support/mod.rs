//! A gateway with connections to one server, whose end the test plays.

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
pub const ANSWER: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 5\r\n\r\nbytes";

pub struct Gateway {
    pub network: Network,
    pub upstreams: UpstreamConnections,
    pub events: Vec<UpstreamEvent>,
    listener: TcpListener,
    pub server: SocketAddrV4,
    pub now: u64,
    /// Id of the request that was sent last.
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

    /// The first request has the id `ID`, and every further one an id of its own.
    pub fn send_as(&mut self, method: &str, runs_once: bool) -> ExchangeId {
        self.sent += 1;
        let id = if self.sent == 1 { ID.to_owned() } else { format!("{:016x}", self.sent) };
        self.send_with(&id, REQUEST, method, runs_once)
    }

    pub fn send_with(&mut self, id: &str, request: &str, method: &str, runs_once: bool) -> ExchangeId {
        self.id = id.to_owned();
        let bytes = request.replace(ID, id).into_bytes();
        let idempotency = if runs_once { Idempotency::AtMostOnce } else { Idempotency::Idempotent };
        let outbound = OutboundRequest { method, attempt_id: Some(id), bytes: &bytes, idempotency };
        self.upstreams.send(&mut self.network, self.server, &outbound, self.now).unwrap()
    }

    /// `answer` with the id of the last request in place of `ID`.
    pub fn echoing(&self, answer: &str) -> String {
        answer.replace(ID, &self.id)
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

    /// The server's end of the next connection.
    pub fn accept(&mut self) -> Peer {
        for _ in 0..MOST_TURNS {
            if let Ok((stream, _)) = self.listener.accept() {
                return Peer::new(stream);
            }
            self.turn();
        }
        panic!("no connection came");
    }

    /// Waits for a request on a connection.
    pub fn request(&mut self, peer: &mut Peer) {
        for _ in 0..MOST_TURNS {
            peer.look();
            if peer.text().ends_with("\r\n\r\n") {
                peer.got.clear();
                return;
            }
            self.turn();
        }
        panic!("no request came");
    }

    /// Waits for the end of an exchange; its events.
    pub fn ended(&mut self) -> Vec<UpstreamEvent> {
        for _ in 0..MOST_TURNS {
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
        panic!("the exchange doesn't end");
    }

    /// Waits until the server's end has seen the connection end.
    pub fn dropped(&mut self, peer: &mut Peer) {
        for _ in 0..MOST_TURNS {
            peer.look();
            if peer.ended {
                return;
            }
            self.turn();
        }
        panic!("the connection doesn't end");
    }

    /// One complete exchange on a new connection.
    pub fn exchange(&mut self, answer: &str) -> Peer {
        self.send();
        let mut peer = self.accept();
        self.request(&mut peer);
        peer.send(&self.echoing(answer));
        assert!(matches!(self.ended().last(), Some(UpstreamEvent::Complete { .. })));
        peer
    }

    /// Whether the next request comes on the connection of `peer`; it is answered.
    pub fn reuses(&mut self, peer: &mut Peer, runs_once: bool) -> bool {
        self.send_as("POST", runs_once);
        self.comes_on(peer)
    }

    /// Whether the request that was sent comes on the connection of `peer`; it is answered there.
    pub fn comes_on(&mut self, peer: &mut Peer) -> bool {
        for _ in 0..MOST_TURNS {
            peer.look();
            if peer.text().ends_with("\r\n\r\n") {
                peer.got.clear();
                peer.send(&self.echoing(ANSWER));
                self.ended();
                return true;
            }
            if self.listener.accept().is_ok() {
                return false;
            }
            self.turn();
        }
        panic!("the request came nowhere");
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
