//! Golden tests of the bytes sent to servers, clients and store nodes.

mod requests_support;
mod sockets_support;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use orchidvalve_data_plane::authentication::Authenticated;
use orchidvalve_data_plane::clients::{Busy, Clients, ReadOutcome};
use orchidvalve_data_plane::exchanges::{generation_bytes, request_bytes, reward_bytes};
use orchidvalve_data_plane::generations::{Item, RouteSettings, Scorer};
use orchidvalve_data_plane::requests::RequestId;
use orchidvalve_data_plane::store_links::{LEASE_MS, StoreLinks};
use orchidvalve_data_plane::text_compression::{TextCompressor, decompress};
use orchidvalve_golden::{Trace, check_hashes, check_samples, read_samples};
use orchidvalve_net::{ConnectionId, Event, Network};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{GatewayMessage, Handshake, PROTOCOL_VERSION, Role};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests_support::{head, request, success};
use sockets_support::*;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn item(scored: bool) -> Item {
    Item {
        id: "e5b2907c14da6f38".into(),
        path: "/pule252/3/91c4".into(),
        headers: vec![("Model".into(), "daka510000".into()), ("Prompt-Prefix".into(), "9c2e41:300".into())],
        body: Arc::from(&b"{\"prompt\":\"x\"}"[..]),
        token_usage: 940,
        scorer: scored.then(|| Scorer {
            id: "17c90be4".into(),
            hostname: "scorer.example".into(),
            path: "/score/9".into(),
            body: Arc::from(&b"score"[..]),
        }),
        tenant: None,
    }
}

fn facts() -> RouteSettings {
    RouteSettings {
        id: "rollouts".into(),
        host: "rollout.example".into(),
        service: "tokens".into(),
        target_run_ms: 8_000,
        max_attempts: 2,
        single_version: true,
        has_tenants: false,
    }
}

#[test]
fn requests_to_servers_match_golden_bytes() {
    let post = "POST /a//b?c=%20d HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: 9c\r\nDeadline-Ms: 800\r\n\
                Expected-Instance: other\r\nX-Any: one\r\nX-Any: two\r\nConnection: X-Own\r\nX-Own: 1\r\n\
                Last-Event-Id: 4\r\nContent-Length: 3\r\n\r\na\0b";
    let get = "GET /a/1 HTTP/1.1\r\nHost: ficu95.example\r\n\r\n";
    let put = "PUT /a/1 HTTP/1.1\r\nHost: ficu95.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let caller = Authenticated::WithoutTenants;
    let (plain, scored) = (item(false), Arc::new(item(true)));
    let samples = [
        ("request-first", request_bytes(&request(post), &caller, "i-7f3a91c2", 640, None)),
        ("request-resumed", request_bytes(&request(post), &caller, "i-7f3a91c2", 640, Some(7))),
        ("request-without-body", request_bytes(&request(get), &caller, "i-1", 1, None)),
        ("request-with-empty-body", request_bytes(&request(put), &caller, "i-1", 90_000, None)),
        ("generation-first", generation_bytes(&plain, &facts(), "i-7f3a91c2", None, None, 20_000)),
        ("generation-resumed", generation_bytes(&scored, &facts(), "i-7f3a91c2", Some(12), Some(7), 900)),
        ("reward-call", reward_bytes(&scored, "i-7f3a91c2", 2_000)),
        ("reward-call-of-none", reward_bytes(&Arc::new(plain), "i-7f3a91c2", 2_000)),
    ];
    check_samples(&golden("to_servers.txt"), &samples);
}

fn letters(length: usize) -> Vec<u8> {
    let mut random = Pcg64Mcg::seed_from_u64(length as u64);
    (0..length).map(|_| random.random_range(b'a'..=b'z')).collect()
}

#[test]
fn compressed_texts_match_golden_bytes_and_decompress() {
    let texts = [
        ("empty", Vec::new()),
        ("short", b"a short text".to_vec()),
        ("longest-plain", letters(191)),
        ("shortest-packed", letters(192)),
        ("one-character", vec![b'x'; 5_000]),
        ("noise", (0..600_u32).map(|i| ((i * i * 31) >> 3) as u8).collect()),
    ];
    let mut compressor = TextCompressor::default();
    let samples: Vec<(&str, Vec<u8>)> =
        texts.iter().map(|(name, text)| (*name, compressor.compress(text))).collect();
    check_samples(&golden("packed_texts.txt"), &samples);
    for ((name, packed), (_, text)) in read_samples(&golden("packed_texts.txt")).iter().zip(&texts) {
        assert_eq!(decompress(packed).as_ref(), Some(text), "{name}");
    }
    let mut hashes = Vec::new();
    for length in [1_000, 6_000, 60_000, 300_000] {
        let mut trace = Trace::new();
        trace.add(&compressor.compress(&letters(length)));
        hashes.push((format!("letters-{length}"), trace.finish()));
    }
    check_hashes(&golden("packed_letters.txt"), &hashes);
}

/// The clients of a gateway over loopback.
struct Frontend {
    network: Network,
    clients: Clients,
    address: std::net::SocketAddrV4,
    requests: u64,
    now: u64,
}

impl Frontend {
    fn new() -> Frontend {
        let mut network = Network::new().unwrap();
        let address = v4(network.listen(loopback(), 1).unwrap());
        Frontend { network, clients: Clients::default(), address, requests: 0, now: 1_000 }
    }

    fn turn(&mut self) {
        for event in self.network.poll(TURN).unwrap() {
            match event {
                Event::Accepted { connection, .. } => self.clients.accepted(connection, self.now),
                Event::Data(connection) => self.read(connection),
                Event::Closed { connection, .. } => {
                    self.clients.closed(connection);
                    self.network.abort(connection);
                }
                other => unreachable!("{other:?}"),
            }
        }
    }

    fn read(&mut self, connection: ConnectionId) {
        let limits = orchidvalve_http::MessageLimits { header_bytes: 512, body_bytes: 64 };
        match self.clients.read(&mut self.network, connection, &limits, self.now) {
            ReadOutcome::Incomplete => {}
            ReadOutcome::Malformed(error) => {
                let (status, why) = (error.status(), error.to_string().into_bytes());
                assert!(!why.is_empty());
                self.clients.respond(&mut self.network, connection, status, &[], b"why", self.now);
            }
            ReadOutcome::Request(_) => {
                self.requests += 1;
                self.clients.assign(connection, Busy::Request(RequestId(self.requests)));
            }
        }
    }

    /// Returns the bytes received by a client that sends `text`. If that is a request, `respond` is called once to write
    /// the response.
    fn got(mut self, text: &str, respond: impl FnOnce(&mut Clients, &mut Network, ConnectionId)) -> Vec<u8> {
        let mut peer = Peer::connect(self.address);
        peer.send(text);
        let mut respond = Some(respond);
        for _ in 0..MAX_TURNS {
            self.turn();
            if let Some(connection) = self.clients.connection_of(Busy::Request(RequestId(1)))
                && let Some(respond) = respond.take()
            {
                respond(&mut self.clients, &mut self.network, connection);
                self.clients.begin_draining(&mut self.network, self.now);
                self.now += 1_000;
            }
            peer.receive();
            if peer.ended {
                return peer.inbox;
            }
        }
        panic!("the connection did not end");
    }
}

#[test]
fn responses_to_clients_match_golden_bytes() {
    let post = "POST /a/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: 9c41\r\nContent-Length: 2\r\n\r\nok";
    let last = "POST /a/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    let asks_head = "HEAD /a/1 HTTP/1.1\r\nHost: h\r\n\r\n";
    let server = |status: u16| {
        let mut head =
            head(status, &[("Server-Signature", "3e1b.07"), ("Connection", "X-Own"), ("X-Own", "1")]);
        head.headers.push("Keep-Alive", "timeout=5");
        head.headers.push("Content-Length", "99");
        head
    };
    let own = |clients: &mut Clients, network: &mut Network, at| {
        clients.respond(network, at, 503, &[("Retry-After", "0.1")], b"", 1_000);
    };
    let passed = |status: u16| {
        move |clients: &mut Clients, network: &mut Network, at| {
            clients.forward_response(network, at, &server(status), b"bytes", 1_000);
        }
    };
    let streamed = |clients: &mut Clients, network: &mut Network, at| {
        clients.begin_stream(network, at, &success());
        clients.write_stream_chunk(network, at, b"id: 1\n\n");
        clients.write_stream_chunk(network, at, b"");
        clients.write_stream_chunk(network, at, b"id: 2\ndata: x\n\n");
        clients.end_stream(network, at, 1_000);
    };
    let cut = |clients: &mut Clients, network: &mut Network, at| {
        clients.begin_stream(network, at, &success());
        clients.write_stream_chunk(network, at, b"id: 1\n\n");
        clients.abort_stream(network, at);
    };
    let closing_first = |clients: &mut Clients, network: &mut Network, at| {
        clients.begin_draining(network, 1_000);
        clients.respond(network, at, 200, &[("Content-Type", "application/json")], b"{}", 1_000);
    };
    let none = |_: &mut Clients, _: &mut Network, _| {};
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(600));
    let samples = [
        ("own", Frontend::new().got(post, own)),
        ("own-and-closed", Frontend::new().got(last, own)),
        ("own-to-head", Frontend::new().got(asks_head, own)),
        ("own-while-closing", Frontend::new().got(post, closing_first)),
        ("of-a-server", Frontend::new().got(post, passed(200))),
        ("of-a-server-and-closed", Frontend::new().got(last, passed(404))),
        ("of-a-server-to-head", Frontend::new().got(asks_head, passed(200))),
        ("of-a-server-without-content", Frontend::new().got(post, passed(204))),
        ("streamed", Frontend::new().got(post, streamed)),
        ("streamed-and-closed", Frontend::new().got(last, streamed)),
        ("streamed-to-head", Frontend::new().got(asks_head, streamed)),
        ("streamed-and-cut", Frontend::new().got(post, cut)),
        ("malformed", Frontend::new().got("POST /\r\n\r\n", none)),
        ("too-long-a-header", Frontend::new().got(&long, none)),
        ("too-long-a-body", Frontend::new().got("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", none)),
        ("unknown-coding", Frontend::new().got("POST / HTTP/1.1\r\nTransfer-Encoding: br\r\n\r\n", none)),
    ];
    check_samples(&golden("to_clients.txt"), &samples);
}

/// The links of a gateway to one store node over loopback, and the bytes that the store node receives.
struct Link {
    network: Network,
    links: StoreLinks,
    listener: TcpListener,
    store: NodeAddress,
    up: usize,
    received: usize,
    lost: usize,
    expired: usize,
    now: u64,
    peer: Option<Peer>,
    got: Vec<u8>,
}

impl Link {
    fn new() -> Link {
        let (listener, address) = listen();
        let store = NodeAddress::new(*address.ip(), address.port());
        let mut network = Network::new().unwrap();
        let mut links = StoreLinks::new(Handshake {
            version: PROTOCOL_VERSION,
            role: Role::Gateway,
            name: "edge-1".into(),
            zone: "upper-hill".into(),
            member: MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, 3), 0), disk: 0 },
            incarnation: 5,
            cpu_share: 0.5,
        });
        links.set_stores(&mut network, &BTreeSet::from([store]));
        let (peer, got) = (None, Vec::new());
        Link {
            network,
            links,
            listener,
            store,
            up: 0,
            received: 0,
            lost: 0,
            expired: 0,
            now: 10_000,
            peer,
            got,
        }
    }

    fn turn(&mut self) {
        let events = self.network.poll(TURN).unwrap();
        self.expired += self.links.expire_leases(&mut self.network, self.now).len();
        for event in events {
            match event {
                Event::Connected(id) => {
                    assert!(self.links.connected(&mut self.network, id, self.now).is_some());
                    self.up += 1;
                }
                Event::Data(id) => {
                    let read = self.links.read(&mut self.network, id, self.now);
                    self.received += read.map_or(0, |(_, messages)| messages.len());
                }
                Event::Closed { connection, .. } => {
                    let closed = self.links.closed(&mut self.network, connection, self.now);
                    self.lost += usize::from(closed.is_some());
                }
                other => unreachable!("{other:?}"),
            }
        }
        self.links.maintain(&mut self.network, self.now);
        if let Ok((stream, _)) = self.listener.accept() {
            self.peer = Some(Peer::new(stream));
        }
        if let Some(peer) = &mut self.peer {
            peer.receive();
            self.got.append(&mut peer.inbox);
        }
    }

    fn run_until(&mut self, mut done: impl FnMut(&Link) -> bool) {
        for _ in 0..MAX_TURNS {
            if done(self) {
                return;
            }
            self.turn();
        }
        panic!("the awaited event did not happen");
    }

    /// Establishes the link if it isn't up.
    fn bring_up(&mut self) {
        while !self.links.is_up(self.store) {
            let before = self.up;
            self.now = self.links.next_wakeup().clamp(self.now, self.now + 1_000);
            for _ in 0..40 {
                self.turn();
                if self.up > before {
                    break;
                }
            }
        }
        self.run_until(|link| link.got.len() > 2);
    }

    /// Returns the bytes received since the last call. A marker message sent after them shows that all have arrived.
    fn received_since_last_call(&mut self) -> Vec<u8> {
        let marker = GatewayMessage::EndJob {
            request_id: 0x7171_7171_7171,
            partition: 0,
            id: "the end marker".into(),
            tenant: None,
        };
        let mut frame = Vec::new();
        orchidvalve_protocol::frames::write_frame(&mut frame, &marker);
        assert!(self.links.send(&mut self.network, self.store, &marker));
        self.run_until(|link| link.got.ends_with(&frame));
        let mut got = std::mem::take(&mut self.got);
        got.truncate(got.len() - frame.len());
        got
    }

    fn send_from_store(&mut self, bytes: &[u8]) {
        if let Some(peer) = &mut self.peer {
            peer.send_bytes(bytes);
        }
    }
}

fn store_heartbeat() -> Vec<u8> {
    let mut frame = Vec::new();
    orchidvalve_protocol::frames::write_frame(
        &mut frame,
        &orchidvalve_protocol::messages::StoreMessage::Heartbeat,
    );
    frame
}

#[test]
fn store_link_messages_match_golden_bytes() {
    let mut link = Link::new();
    link.bring_up();
    let begin = link.received_since_last_call();
    link.links.set_generation_capacity(&mut link.network, 12);
    link.links.set_generation_capacity(&mut link.network, 12);
    let limit = link.received_since_last_call();
    link.now += 400;
    link.turn();
    let heartbeat = link.received_since_last_call();
    link.peer = None;
    link.run_until(|link| link.lost == 1);
    link.got.clear();
    link.bring_up();
    let samples = [
        ("begin", begin),
        ("work-limit", limit),
        ("heartbeat", heartbeat),
        ("begin-again", link.received_since_last_call()),
    ];
    check_samples(&golden("to_stores.txt"), &samples);
}

/// When links are up, when leases expire and when something is due next, in random scenarios.
#[test]
fn store_lease_expiry_matches_golden_hashes() {
    let mut hashes = Vec::new();
    for seed in 0..5 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut link = Link::new();
        let mut trace = Trace::new();
        link.bring_up();
        for _ in 0..25 {
            match random.random_range(0..6) {
                0..3 if link.links.is_up(link.store) => {
                    let received = link.received;
                    link.send_from_store(&store_heartbeat());
                    link.run_until(|link| link.received > received);
                }
                3 if link.links.is_up(link.store) => {
                    let lost = link.lost;
                    link.peer = None;
                    link.run_until(|link| link.lost > lost);
                    link.got.clear();
                }
                4 => link.links.begin_lease(link.store, link.now),
                _ => link.bring_up(),
            }
            let numbers = [link.now, link.links.next_wakeup(), link.expired as u64];
            numbers.into_iter().for_each(|number| trace.add_number(number));
            // Less than the delay before a broken link is reopened, or long enough for the leases to expire.
            let waited = if random.random() { random.random_range(0..140) } else { LEASE_MS };
            link.now += waited;
            let expired = link.links.expire_leases(&mut link.network, link.now).len();
            link.expired += expired;
            trace.add_number(expired as u64);
            trace.add_number(link.links.is_up(link.store).into());
        }
        hashes.push((format!("leases-{seed}"), trace.finish()));
    }
    check_hashes(&golden("leases.txt"), &hashes);
}
