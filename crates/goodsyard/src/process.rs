//! The store process: sockets, disk and timers around the store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use orchidvalve_ballast::{OpenError, Options as RingOptions, Ring};
use orchidvalve_lineside::FeedClient;
use orchidvalve_track::clock::{Clock, wall_clock_ms};
use orchidvalve_track::frames::{read_frame, write_frame};
use orchidvalve_track::identity::{MemberId, NodeAddress};
use orchidvalve_track::messages::{Introduction, LinkKind, PROTOCOL_VERSION, Role, StoreHealth, ToStore};
use orchidvalve_track::network::{ConnectionId, Event, Network};
use orchidvalve_waybill::RouteTable;

use crate::peer::{Output, PeerMessage};
use crate::peer_links::PeerLinks;
use crate::store::{JobLimits, LimitSource, Moment, Store, StoreSettings};

const INTERNAL_LISTENER: u32 = 1;
/// Longest wait of the event loop.
const LONGEST_WAIT_MS: u64 = 100;
/// Share of the disk that the ring may take.
const RING_SHARE: f64 = 0.9;
/// Time that results are kept beyond what the rules ask.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// Bytes of journals in memory, as a share of the process's limit, above which new jobs are refused.
const MEMORY_SHARE: f64 = 0.4;
/// Time that an item may take where its route doesn't say.
const DEFAULT_RUN_MS: u64 = 30_000;
/// A write that takes longer than this is trouble of the disk.
const SLOW_WRITE_MS: u64 = 1_000;

/// What a store process is started with.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    pub name: String,
    pub zone: String,
    pub share: f32,
    /// Where doors and other stores call.
    pub internal_address: SocketAddrV4,
    /// Where their calls arrive: another address only behind a relay.
    pub internal_listener: SocketAddrV4,
    /// Control machines at which a session may be asked for.
    pub seeds: Vec<NodeAddress>,
    pub data_directory: PathBuf,
    pub disk_bytes: u64,
    pub memory_bytes: u64,
    /// Storage machines that may be lost at once.
    pub tolerance: usize,
    /// Time after its submission for which results of a job are kept.
    pub status_interval_ms: u64,
}

/// Why a store process ends.
#[derive(Debug, Display, Error, From)]
pub enum StoreError {
    #[display("store: the disk can't be used: {_0}")]
    Disk(OpenError),
    #[display("store: the network failed: {_0}; check that the addresses are this machine's and free")]
    Network(io::Error),
}

/// Limits of jobs by the configuration in force.
struct RouteLimits(Option<Arc<RouteTable>>);

impl LimitSource for RouteLimits {
    fn limits(&self, hostname: &str, route_prefix: &str) -> Option<JobLimits> {
        let route = self.0.as_ref()?.lookup(hostname, route_prefix)?;
        Some(JobLimits {
            target_run_ms: route.target_run_ms.unwrap_or(DEFAULT_RUN_MS),
            max_queue_ms: route.max_queue_s.map_or(u64::MAX / 4, |s| (s * 1_000.0) as u64),
        })
    }
}

/// A connection that came in.
#[derive(Clone, Copy, Debug)]
enum Incoming {
    Unknown,
    Door { link: u64 },
    Peer { member: Option<MemberId> },
}

struct Process {
    clock: Clock,
    network: Network,
    ring: Ring,
    store: Store,
    feed: FeedClient,
    peers: PeerLinks,
    incoming: BTreeMap<ConnectionId, Incoming>,
    doors: BTreeMap<u64, ConnectionId>,
    next_link: u64,
    configuration: u64,
    /// Durable position and when it last rose while writes were waiting.
    durable: u64,
    durable_since: u64,
    now: u64,
}

/// Runs a store process until it is told to stop.
///
/// # Errors
///
/// The disk or the network can't be used.
pub fn run(options: StoreOptions) -> Result<(), StoreError> {
    let mut process = Process::start(options)?;
    loop {
        let wait = process.wait();
        let events = process.network.poll(wait)?;
        process.now = process.clock.now();
        for event in events {
            if matches!(event, Event::Terminate) {
                log::info!("store: stopping");
                process.feed.stop(&mut process.network);
                process.network.flush();
                return Ok(());
            }
            process.handle(event);
        }
        process.turn();
    }
}

impl Process {
    fn start(options: StoreOptions) -> Result<Process, StoreError> {
        let clock = Clock::start();
        let mut network = Network::new()?;
        let waker = network.waker();
        let ring_options = RingOptions::with_capacity((options.disk_bytes as f64 * RING_SHARE) as u64);
        let on_progress = Box::new(move || waker.wake());
        let (ring, recovery) = Ring::open(&options.data_directory, ring_options, on_progress)?;
        network.listen(options.internal_listener, INTERNAL_LISTENER)?;
        let address = NodeAddress::new(*options.internal_address.ip(), options.internal_address.port());
        let me = MemberId { address, disk: recovery.disk_identity };
        let nonce = random_nonce();
        log::info!("store: {me} starts with {} records on disk", recovery.records.len());
        let settings = StoreSettings {
            me,
            minimum_copies: options.tolerance + 1,
            retention_ms: options.status_interval_ms + RETENTION_MARGIN_MS,
            memory_limit_bytes: (options.memory_bytes as f64 * MEMORY_SHARE) as usize,
        };
        let records = recovery.records.into_iter().map(|r| (r.position, r.payload));
        let store = Store::new(settings, Rc::new(RouteLimits(None)), records, ring.next_position(), nonce);
        let introduction = Introduction {
            version: PROTOCOL_VERSION,
            role: Role::Store,
            name: options.name.clone(),
            zone: options.zone.clone(),
            member: me,
            incarnation: nonce,
            share: options.share,
        };
        let feed = FeedClient::new(introduction, options.seeds.clone(), nonce);
        let now = clock.now();
        Ok(Process {
            clock,
            network,
            ring,
            store,
            feed,
            peers: PeerLinks::new(me),
            incoming: BTreeMap::new(),
            doors: BTreeMap::new(),
            next_link: 1,
            configuration: 0,
            durable: 0,
            durable_since: now,
            now,
        })
    }

    fn moment(&self) -> Moment {
        Moment { steady: self.now, wall: wall_clock_ms() }
    }

    fn wait(&self) -> Duration {
        let now = self.clock.now();
        let next = self.feed.next_wakeup().min(self.peers.next_wakeup()).min(now + LONGEST_WAIT_MS);
        Duration::from_millis(next.saturating_sub(now))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Accepted { connection, .. } => {
                self.incoming.insert(connection, Incoming::Unknown);
            }
            Event::Connected(connection) => {
                if self.feed.owns(connection) {
                    self.feed.connected(&mut self.network);
                } else if let Some(member) = self.peers.connected(&mut self.network, connection, self.now) {
                    let mut outputs = Vec::new();
                    self.store.peer_up(member, self.moment(), &mut outputs);
                    self.run(outputs);
                }
            }
            Event::Data(connection) if self.feed.owns(connection) => {
                let news = self.feed.data(&mut self.network, self.now);
                if news.state {
                    self.state_changed();
                }
            }
            Event::Data(connection) => self.internal_data(connection),
            Event::Closed { connection, .. } => self.closed(connection),
            Event::Terminate | Event::Reload | Event::Woken => {}
        }
    }

    fn closed(&mut self, connection: ConnectionId) {
        if self.feed.owns(connection) {
            self.feed.closed(&mut self.network, self.now);
            return;
        }
        if let Some(member) = self.peers.closed(&mut self.network, connection, self.now) {
            self.store.peer_down(member);
            return;
        }
        self.drop_incoming(connection);
        self.network.forget(connection);
    }

    fn drop_incoming(&mut self, connection: ConnectionId) {
        if let Some(Incoming::Door { link }) = self.incoming.remove(&connection) {
            self.doors.remove(&link);
            self.store.door_down(link);
        }
    }

    fn state_changed(&mut self) {
        let state = self.feed.copy().state();
        let version = state.configuration_version();
        let placements = state.partitions().to_vec();
        if version != self.configuration {
            self.configuration = version;
            let table = state.configuration().map(|c| c.routes().clone());
            self.store.set_limits(Rc::new(RouteLimits(table)));
        }
        let mut outputs = Vec::new();
        self.store.placements(&placements, self.moment(), &mut outputs);
        self.run(outputs);
        self.peers.set_peers(&mut self.network, &self.store.peers());
    }

    fn internal_data(&mut self, connection: ConnectionId) {
        loop {
            let Some(incoming) = self.incoming.get(&connection).copied() else { return };
            let inbox = self.network.inbox(connection);
            let consumed = match incoming {
                Incoming::Unknown => match inbox.first() {
                    Some(byte) => self.begin_link(connection, LinkKind::from_byte(*byte)).then_some(1),
                    None => return,
                },
                Incoming::Door { link } => match read_frame::<ToStore>(inbox) {
                    Ok(Some((message, length))) => {
                        self.door_message(link, message);
                        Some(length)
                    }
                    Ok(None) => return,
                    Err(error) => refuse(&error),
                },
                Incoming::Peer { member } => match read_frame::<PeerMessage>(inbox) {
                    Ok(Some((message, length))) => {
                        self.peer_message(connection, member, message).then_some(length)
                    }
                    Ok(None) => return,
                    Err(error) => refuse(&error),
                },
            };
            match consumed {
                Some(length) => self.network.consume(connection, length),
                None => {
                    self.drop_incoming(connection);
                    self.network.forget(connection);
                    return;
                }
            }
        }
    }

    fn begin_link(&mut self, connection: ConnectionId, kind: Option<LinkKind>) -> bool {
        match kind {
            Some(LinkKind::StoreClient) => {
                let link = self.next_link;
                self.next_link += 1;
                self.doors.insert(link, connection);
                self.incoming.insert(connection, Incoming::Door { link });
                true
            }
            Some(LinkKind::StorePeer) => {
                self.incoming.insert(connection, Incoming::Peer { member: None });
                true
            }
            _ => {
                log::warn!("store: a caller speaks no protocol of stores; check its addresses");
                false
            }
        }
    }

    fn door_message(&mut self, link: u64, message: ToStore) {
        let mut outputs = Vec::new();
        self.store.door_message(link, message, self.moment(), &mut outputs);
        self.run(outputs);
    }

    fn peer_message(
        &mut self,
        connection: ConnectionId,
        member: Option<MemberId>,
        message: PeerMessage,
    ) -> bool {
        match (message, member) {
            (PeerMessage::Introduce { version, member }, None) => {
                self.incoming.insert(connection, Incoming::Peer { member: Some(member) });
                self.peers.heard(member, self.now);
                version == PROTOCOL_VERSION
            }
            (PeerMessage::Introduce { .. }, Some(_)) | (_, None) => false,
            (PeerMessage::Heartbeat, Some(member)) => {
                self.peers.heard(member, self.now);
                true
            }
            (message, Some(member)) => {
                self.peers.heard(member, self.now);
                let mut outputs = Vec::new();
                self.store.peer_message(member, message, self.moment(), &mut outputs);
                self.run(outputs);
                true
            }
        }
    }

    /// Carries out what the store asks for.
    fn run(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Write(record) => {
                    if self.ring.next_position() == self.durable + 1 {
                        self.durable_since = self.now;
                    }
                    self.ring.append(record);
                }
                Output::ReleaseBefore(position) => self.ring.release_before(position),
                Output::ToDoor { link, message } => {
                    let outbox = self.doors.get(&link).and_then(|c| self.network.outbox(*c));
                    if let Some(outbox) = outbox {
                        write_frame(outbox, &message);
                    }
                }
                Output::ToPeer { to, message } => self.peers.send(&mut self.network, to, &message),
                Output::ToControl(message) => self.feed.send(&mut self.network, &message),
            }
        }
    }

    fn turn(&mut self) {
        self.advance_disk();
        self.feed.maintain(&mut self.network, self.now);
        for member in self.peers.maintain(&mut self.network, self.now) {
            self.store.peer_down(member);
        }
        let mut outputs = Vec::new();
        self.store.tick(self.moment(), &mut outputs);
        self.run(outputs);
    }

    fn advance_disk(&mut self) {
        let durable = self.ring.durable_through();
        if durable > self.durable {
            self.durable = durable;
            self.durable_since = self.now;
            let mut outputs = Vec::new();
            self.store.durable(durable, self.moment(), &mut outputs);
            self.run(outputs);
        }
        let usage = self.ring.usage();
        let waiting = self.ring.next_position() > self.durable + 1;
        let hanging = waiting && self.now > self.durable_since + SLOW_WRITE_MS;
        let health = StoreHealth {
            disk_trouble: usage.trouble.is_some() || hanging,
            used_bytes: usage.used_bytes,
            capacity_bytes: usage.capacity,
        };
        self.feed.set_health(health);
        self.store.set_health(health);
    }
}

fn refuse(error: &orchidvalve_track::frames::FrameError) -> Option<usize> {
    log::warn!("store: {error}");
    None
}

/// Tells this start of the process from others: drawn from the keys of the standard library's hash maps.
fn random_nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish() | 1
}
