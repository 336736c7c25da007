//! Runs emulators on sockets, with one event loop on one thread.

mod emulated_server;
mod inbound;
mod outbound;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use orchidvalve_net::clock::Clock;
use orchidvalve_net::{ConnectionId, Event, Network};

use crate::directory::Directory;
use crate::effects::{Call, Caller, ConnectionKey, Effects, Notice, Outcome};
use crate::fault_proxy::{FaultProxy, Link, LinkFault, MachineIndex};
use crate::observation::{Observation, TimedObservation};
use crate::platform::PlatformStub;

pub use emulated_server::EmulatedServer;

/// Maximum wait of one turn, in milliseconds.
const MAX_WAIT_MS: u64 = 100;
/// Tag of the proxy's first listener. The tag of a server's listener is the server's index.
const PROXY_TAG: u32 = 1 << 16;

/// Index of a server in its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIndex(pub usize);

/// Index of a caller in its host.
type CallerIndex = usize;

/// Progress of the head of the request that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeadState {
    /// The head was not passed to the server yet.
    NotReported,
    /// The head was passed to the server, which waits for the body.
    Reported,
    /// The server responded to the head; the body arrives afterwards.
    Responded,
}

/// Role of a connection in the host.
enum ConnectionRole {
    /// A connection that a server accepted.
    Inbound { server: ServerIndex, key: ConnectionKey, head: HeadState },
    /// A connection with a call in flight.
    Outbound { caller: CallerIndex, call: Call, deadline: u64, connected: bool },
    /// A reusable connection without a call.
    Idle { address: SocketAddrV4 },
}

/// All emulators of a run, with their sockets.
pub struct Host {
    network: Network,
    clock: Clock,
    servers: Vec<EmulatedServer>,
    callers: Vec<Box<dyn Caller>>,
    /// Addresses of the system's nodes that callers use.
    pub directory: Directory,
    proxy: FaultProxy,
    roles: HashMap<ConnectionId, ConnectionRole>,
    /// Connections that servers accepted.
    accepted: BTreeMap<ConnectionKey, ConnectionId>,
    next_key: ConnectionKey,
    /// Idle connections by address.
    idle: HashMap<SocketAddrV4, Vec<ConnectionId>>,
    platform: Option<ServerIndex>,
    observations: Vec<TimedObservation>,
    /// Whether this process received a signal to stop.
    pub stopped: bool,
}

impl Host {
    /// Returns a host without emulators.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop cannot be created; raise the limit of open files.
    pub fn new() -> io::Result<Host> {
        Ok(Host {
            network: Network::new()?,
            clock: Clock::start(),
            servers: Vec::new(),
            callers: Vec::new(),
            directory: Directory::default(),
            proxy: FaultProxy::default(),
            roles: HashMap::new(),
            accepted: BTreeMap::new(),
            next_key: ConnectionKey(1),
            idle: HashMap::new(),
            platform: None,
            observations: Vec::new(),
            stopped: false,
        })
    }

    /// Returns the current time of the host's clock, in milliseconds.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// Returns the wall-clock time at which the host's clock was zero, in milliseconds since the start of 1970.
    pub fn wall_ms_at_zero(&self) -> u64 {
        let now = self.now();
        self.clock.wall_ms_at(now).saturating_sub(now)
    }

    /// Opens a server at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not possible to listen at the address; choose a free one.
    pub fn open(
        &mut self,
        server: EmulatedServer,
        address: SocketAddrV4,
    ) -> io::Result<(ServerIndex, SocketAddrV4)> {
        let index = ServerIndex(self.servers.len());
        let local = match self.network.listen(address, index.0 as u32)? {
            std::net::SocketAddr::V4(local) => local,
            std::net::SocketAddr::V6(_) => return Err(io::ErrorKind::AddrNotAvailable.into()),
        };
        if matches!(server, EmulatedServer::Platform(_)) {
            self.platform = Some(index);
        }
        self.servers.push(server);
        Ok((index, local))
    }

    /// Proxies connections of other machines to a machine, from its announced address to its real one.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not possible to listen at the address; choose a free one.
    pub fn proxy_to(
        &mut self,
        machine: MachineIndex,
        announced: SocketAddrV4,
        real: SocketAddrV4,
    ) -> io::Result<SocketAddrV4> {
        self.proxy.listen(&mut self.network, PROXY_TAG, machine, announced, real)
    }

    /// Assigns proxied connections from this address to a machine.
    pub fn proxy_from(&mut self, machine: MachineIndex, address: Ipv4Addr) {
        self.proxy.add_source(address, machine);
    }

    /// Sets or ends the fault of the link from one machine to another.
    pub fn set_link(&mut self, from: MachineIndex, to: MachineIndex, fault: Option<LinkFault>) {
        self.proxy.set_fault(&mut self.network, Link { from, to }, fault);
        let now = self.now();
        self.proxy.advance_all(&mut self.network, now);
    }

    /// Adds an emulator that calls the system.
    pub fn add_caller(&mut self, caller: Box<dyn Caller>) {
        self.callers.push(caller);
    }

    /// Applies a change to a server, and performs the resulting actions.
    pub fn with_server(
        &mut self,
        index: ServerIndex,
        change: impl FnOnce(&mut EmulatedServer, u64, &mut Effects),
    ) {
        let (mut out, now) = (Effects::default(), self.now());
        change(&mut self.servers[index.0], now, &mut out);
        self.apply(now, None, out);
    }

    /// Applies a change to the platform, if it is open.
    pub fn with_platform(&mut self, change: impl FnOnce(&mut PlatformStub, u64)) {
        let now = self.now();
        if let Some(platform) = self.platform_mut() {
            change(platform, now);
        }
    }

    fn platform_mut(&mut self) -> Option<&mut PlatformStub> {
        match &mut self.servers[self.platform?.0] {
            EmulatedServer::Platform(platform) => Some(platform),
            EmulatedServer::Model(_) | EmulatedServer::Application(_) => None,
        }
    }

    /// Returns the platform; `None` if it is not open.
    pub fn platform(&self) -> Option<&PlatformStub> {
        match &self.servers[self.platform?.0] {
            EmulatedServer::Platform(platform) => Some(platform),
            EmulatedServer::Model(_) | EmulatedServer::Application(_) => None,
        }
    }

    /// Returns the server at an index.
    pub fn server(&self, index: ServerIndex) -> &EmulatedServer {
        &self.servers[index.0]
    }

    /// Adds an observation that does not come from an emulator.
    pub fn observe(&mut self, observation: Observation) {
        self.observations.push(TimedObservation { at_ms: self.now(), observation });
    }

    /// Removes and returns the observations since the last call, in order.
    pub fn take_observations(&mut self) -> Vec<TimedObservation> {
        std::mem::take(&mut self.observations)
    }

    /// Runs one turn: waits for an event, at most until `until`, and handles it.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop fails.
    pub fn turn(&mut self, until: u64) -> io::Result<()> {
        self.wake_all();
        let now = self.now();
        let wait = self.next_wake(now).min(until).saturating_sub(now).min(MAX_WAIT_MS);
        for event in self.network.poll(Duration::from_millis(wait))? {
            self.handle_event(event);
        }
        self.expire_calls();
        Ok(())
    }

    fn next_wake(&mut self, now: u64) -> u64 {
        let servers = self.servers.iter_mut().filter_map(|server| server.service().next_wake());
        let callers = self.callers.iter().filter_map(|caller| caller.next_wake());
        let soonest = servers.chain(self.proxy.next_wake()).min().unwrap_or(now + MAX_WAIT_MS);
        callers.min().map_or(soonest, |at| at.min(soonest))
    }

    fn wake_all(&mut self) {
        let now = self.now();
        if self.proxy.next_wake().is_some_and(|at| at <= now) {
            self.proxy.advance_all(&mut self.network, now);
        }
        for index in 0..self.servers.len() {
            let service = self.servers[index].service();
            if service.next_wake().is_some_and(|at| at <= now) {
                let mut out = Effects::default();
                service.wake(now, &mut out);
                self.apply(now, None, out);
            }
        }
        for index in 0..self.callers.len() {
            if self.callers[index].next_wake().is_some_and(|at| at <= now) {
                let mut out = Effects::default();
                self.callers[index].wake(now, &mut self.directory, &mut out);
                self.apply(now, Some(index), out);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Accepted { listener, connection } if listener >= PROXY_TAG => {
                self.proxy.accepted(&mut self.network, now, (listener - PROXY_TAG) as usize, connection);
            }
            Event::Data(id) if self.proxy.owns(id) => self.proxy.data(&mut self.network, now, id),
            Event::Closed { connection, .. } if self.proxy.owns(connection) => {
                self.proxy.closed(&mut self.network, now, connection);
            }
            Event::Accepted { listener, connection } => {
                self.accept(now, ServerIndex(listener as usize), connection);
            }
            Event::Connected(id) => self.send_call(id),
            Event::Data(id) => match self.roles.get(&id) {
                Some(ConnectionRole::Inbound { .. }) => self.read_requests(now, id),
                Some(ConnectionRole::Outbound { .. }) => self.read_response(now, id, false),
                // Unexpected bytes close an idle connection.
                Some(ConnectionRole::Idle { .. }) | None => self.drop_idle(id),
            },
            Event::Closed { connection, .. } => self.close(now, connection),
            Event::Terminate => self.stopped = true,
            Event::Reload | Event::Woken => {}
        }
    }

    fn close(&mut self, now: u64, id: ConnectionId) {
        match self.roles.get(&id) {
            Some(&ConnectionRole::Inbound { server, key, .. }) => self.close_inbound(now, id, server, key),
            Some(ConnectionRole::Outbound { connected: false, .. }) => {
                self.end_call(now, id, Outcome::Refused, true);
            }
            Some(ConnectionRole::Outbound { .. }) => self.read_response(now, id, true),
            Some(ConnectionRole::Idle { .. }) | None => self.drop_idle(id),
        }
    }

    /// Performs the actions of an emulator.
    fn apply(&mut self, now: u64, caller: Option<CallerIndex>, out: Effects) {
        let timed = |observation| TimedObservation { at_ms: now, observation };
        self.observations.extend(out.observations.into_iter().map(timed));
        for output in out.outputs {
            self.write(output);
        }
        for notice in out.notices {
            self.deliver_notice(now, notice);
        }
        for call in out.calls {
            if let Some(caller) = caller {
                self.begin_call(now, caller, call);
            }
        }
    }

    fn deliver_notice(&mut self, now: u64, notice: Notice) {
        match notice {
            Notice::VersionAnnounced { model, version } => {
                for server in &mut self.servers {
                    if let EmulatedServer::Model(server) = server {
                        server.announce_version(&model, version);
                    }
                }
            }
            Notice::WeightsLoaded { instance, model, version } => {
                if let Some(platform) = self.platform_mut() {
                    platform.set_version(now, &instance, &model, version);
                }
            }
        }
    }
}
