//! The event loop of a process: listeners, connections, timers and signals in one thread.
//!
//! [`Network::poll`] waits for readiness and returns what happened; everything that is to be sent is collected
//! in the outboxes of the connections and written at the end of the turn by [`Network::flush`].

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::generic::Generic;
use calloop::ping::{Ping, make_ping};
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::io::Errno;
use slab::Slab;
use socket2::{Domain, Protocol, Socket, Type};

/// Least and most room that a reading asks for.
const READ_BYTES: usize = 16 << 10;
/// An empty buffer larger than this is given back.
const KEPT_BYTES: usize = 32 << 10;
/// Connections that a listener keeps waiting.
const BACKLOG: i32 = 1024;
/// Most bytes that are read from one connection in one turn, so that none starves the others.
const TURN_BYTES: usize = 1 << 20;
/// How long a peer may take to close its end after this one is closed.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection. Numbers aren't used twice.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId {
    slot: u32,
    serial: u32,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A peer connected to the listener with this tag.
    Accepted { listener: u32, connection: ConnectionId },
    /// A connection that was begun here is up.
    Connected(ConnectionId),
    /// Bytes have arrived: see [`Network::inbox`].
    Data(ConnectionId),
    /// The connection is over. What arrived before can still be read until [`Network::forget`].
    Closed { connection: ConnectionId, reset: bool },
    /// The process is told to stop.
    Terminate,
    /// The settings may have changed.
    Reload,
    /// Another thread has news.
    Woken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Listener(usize),
    Connection(ConnectionId),
    Terminate,
    Reload,
    Wake,
}

#[derive(Default)]
struct Ready {
    sources: Vec<Source>,
}

impl Ready {
    fn note(&mut self, source: Source) {
        if !self.sources.contains(&source) {
            self.sources.push(source);
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Connecting,
    Open,
    /// Everything is written; the peer's end is awaited.
    Finishing,
    Closed {
        reset: bool,
    },
}

struct Connection {
    socket: Rc<TcpStream>,
    registration: Option<RegistrationToken>,
    serial: u32,
    state: State,
    inbox: Vec<u8>,
    read_start: usize,
    outbox: Vec<u8>,
    write_start: usize,
    /// To be closed once the outbox is empty.
    finish: bool,
    dirty: bool,
    peer: SocketAddr,
}

struct Listener {
    socket: Rc<TcpListener>,
    tag: u32,
}

/// Wakes the event loop from another thread.
#[derive(Clone)]
pub struct Waker(Ping);

impl Waker {
    pub fn wake(&self) {
        self.0.ping();
    }
}

/// The event loop with its connections.
pub struct Network {
    events: EventLoop<'static, Ready>,
    handle: LoopHandle<'static, Ready>,
    ready: Ready,
    listeners: Vec<Listener>,
    connections: Slab<Connection>,
    next_serial: u32,
    dirty: Vec<ConnectionId>,
    /// Connections with more to read than one turn takes, or events found outside of polling.
    pending: VecDeque<Event>,
    again: Vec<ConnectionId>,
    waker: Waker,
    scratch: Vec<u8>,
    /// Connections whose peer has to close, oldest first.
    finishing: VecDeque<(Instant, ConnectionId)>,
    /// Address that connections begun here leave from; the kernel chooses one where there is none.
    source: Option<Ipv4Addr>,
}

fn other(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

impl Network {
    pub fn new() -> io::Result<Network> {
        let events = EventLoop::try_new().map_err(other)?;
        let handle: LoopHandle<'static, Ready> = events.handle();
        let (ping, source) = make_ping()?;
        handle.insert_source(source, |(), (), ready: &mut Ready| ready.note(Source::Wake)).map_err(other)?;
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(other)?;
        let heed = |event: calloop::signals::Event, _: &mut (), ready: &mut Ready| match event.signal() {
            Signal::SIGHUP => ready.note(Source::Reload),
            _ => ready.note(Source::Terminate),
        };
        handle.insert_source(signals, heed).map_err(other)?;
        Ok(Network {
            events,
            handle,
            ready: Ready::default(),
            listeners: Vec::new(),
            connections: Slab::new(),
            next_serial: 1,
            dirty: Vec::new(),
            pending: VecDeque::new(),
            again: Vec::new(),
            waker: Waker(ping),
            scratch: vec![0; READ_BYTES],
            finishing: VecDeque::new(),
            source: None,
        })
    }

    /// Connections that are begun from now on leave from `source`; `None` lets the kernel choose.
    pub fn set_source(&mut self, source: Option<Ipv4Addr>) {
        self.source = source;
    }

    /// A handle by which other threads wake the loop: it then returns [`Event::Woken`].
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Listens at `address`; connections come with `tag`.
    pub fn listen(&mut self, address: SocketAddrV4, tag: u32) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(address).into())?;
        socket.listen(BACKLOG)?;
        let socket: Rc<TcpListener> = Rc::new(socket.into());
        let index = self.listeners.len();
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let note = move |_, _: &mut _, ready: &mut Ready| {
            ready.note(Source::Listener(index));
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, note).map_err(other)?;
        let local = socket.local_addr()?;
        self.listeners.push(Listener { socket, tag });
        Ok(local)
    }

    /// Begins a connection; [`Event::Connected`] or [`Event::Closed`] follows. `user_timeout` bounds how long
    /// sent bytes may stay unacknowledged by the peer's machine.
    pub fn connect(&mut self, address: SocketAddrV4, user_timeout: Duration) -> io::Result<ConnectionId> {
        let address = SocketAddr::V4(address);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let _ = socket.set_tcp_user_timeout(Some(user_timeout));
        if let Some(source) = self.source {
            socket.bind(&SocketAddr::V4(SocketAddrV4::new(source, 0)).into())?;
        }
        match socket.connect(&address.into()) {
            Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => {
                return Err(error);
            }
            _ => {}
        }
        self.insert(socket.into(), address, State::Connecting)
    }

    fn insert(&mut self, socket: TcpStream, peer: SocketAddr, state: State) -> io::Result<ConnectionId> {
        socket.set_nonblocking(true)?;
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        let entry = self.connections.vacant_entry();
        let id = ConnectionId { slot: entry.key() as u32, serial: self.next_serial };
        self.next_serial = self.next_serial.wrapping_add(1);
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let note = move |_, _: &mut _, ready: &mut Ready| {
            ready.note(Source::Connection(id));
            Ok(PostAction::Continue)
        };
        let registration = self.handle.insert_source(source, note).map_err(other)?;
        entry.insert(Connection {
            socket,
            registration: Some(registration),
            serial: id.serial,
            state,
            inbox: Vec::new(),
            read_start: 0,
            outbox: Vec::new(),
            write_start: 0,
            finish: false,
            dirty: false,
            peer,
        });
        Ok(id)
    }

    /// Waits up to `wait` for something to happen and returns it.
    pub fn poll(&mut self, wait: Duration) -> io::Result<Vec<Event>> {
        self.flush();
        self.drop_finished();
        let wait = if self.pending.is_empty() && self.again.is_empty() { wait } else { Duration::ZERO };
        self.events.dispatch(wait, &mut self.ready).map_err(other)?;
        let mut sources = std::mem::take(&mut self.ready.sources);
        for id in std::mem::take(&mut self.again) {
            if !sources.contains(&Source::Connection(id)) {
                sources.push(Source::Connection(id));
            }
        }
        let mut events: Vec<Event> = self.pending.drain(..).collect();
        for source in sources {
            match source {
                Source::Listener(index) => self.accept(index, &mut events),
                Source::Connection(id) => self.attend(id, &mut events),
                Source::Terminate => events.push(Event::Terminate),
                Source::Reload => events.push(Event::Reload),
                Source::Wake => events.push(Event::Woken),
            }
        }
        Ok(events)
    }

    fn accept(&mut self, index: usize, events: &mut Vec<Event>) {
        loop {
            let (socket, tag) = (self.listeners[index].socket.clone(), self.listeners[index].tag);
            match socket.accept() {
                Ok((stream, peer)) => match self.insert(stream, peer, State::Open) {
                    Ok(connection) => events.push(Event::Accepted { listener: tag, connection }),
                    Err(error) => log::warn!("network: a connection was lost as it came: {error}"),
                },
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!("network: can't take in a connection: {error}; raise the limit of open files");
                    return;
                }
            }
        }
    }

    fn attend(&mut self, id: ConnectionId, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(id.slot as usize) else { return };
        if connection.serial != id.serial || matches!(connection.state, State::Closed { .. }) {
            return;
        }
        if connection.state == State::Connecting {
            match connection.came_up() {
                None => return,
                Some(Err(_)) => {
                    self.mark_closed(id, true, events);
                    return;
                }
                Some(Ok(())) => {
                    connection.state = State::Open;
                    events.push(Event::Connected(id));
                }
            }
        }
        let scratch = &mut self.scratch[..];
        let connection = &mut self.connections[id.slot as usize];
        let before = connection.inbox.len();
        let ending = connection.fill(scratch);
        if connection.inbox.len() > before && connection.state == State::Open {
            events.push(Event::Data(id));
        }
        match ending {
            Filled::All => {}
            Filled::More => self.again.push(id),
            Filled::End => self.mark_closed(id, false, events),
            Filled::Failed => self.mark_closed(id, true, events),
        }
        self.touch(id);
    }

    fn mark_closed(&mut self, id: ConnectionId, reset: bool, events: &mut Vec<Event>) {
        let connection = &mut self.connections[id.slot as usize];
        let finishing = connection.state == State::Finishing;
        connection.state = State::Closed { reset };
        if let Some(registration) = connection.registration.take() {
            self.handle.remove(registration);
        }
        if finishing {
            self.connections.remove(id.slot as usize);
        } else {
            events.push(Event::Closed { connection: id, reset });
        }
    }

    fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id.slot as usize).filter(|c| c.serial == id.serial)
    }

    fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id.slot as usize).filter(|c| c.serial == id.serial)
    }

    /// Bytes that have arrived and weren't consumed yet.
    pub fn inbox(&self, id: ConnectionId) -> &[u8] {
        self.get(id).map_or(&[], |c| &c.inbox[c.read_start..])
    }

    /// Marks the first `bytes` of the inbox as read.
    pub fn consume(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.get_mut(id) {
            connection.consume(bytes);
        }
    }

    /// Bytes to be written to the connection; they leave at the end of the turn.
    pub fn outbox(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        self.touch(id);
        self.get_mut(id)
            .filter(|c| !matches!(c.state, State::Closed { .. }) && !c.finish)
            .map(|c| &mut c.outbox)
    }

    /// Appends bytes to the outbox.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(outbox) = self.outbox(id) {
            outbox.extend_from_slice(bytes);
        }
    }

    /// Bytes that wait to be taken by the system.
    pub fn queued_bytes(&self, id: ConnectionId) -> usize {
        self.get(id).map_or(0, |c| c.outbox.len() - c.write_start)
    }

    /// Whether the connection is up and may be written to.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.get(id).is_some_and(|c| c.state == State::Open && !c.finish)
    }

    /// Whether the connection is over and its peer closed its end in order, after everything it had sent. Only then
    /// can a message without a length be whole.
    pub fn ended_in_order(&self, id: ConnectionId) -> bool {
        self.get(id).is_some_and(|c| c.state == State::Closed { reset: false })
    }

    pub fn peer(&self, id: ConnectionId) -> Option<SocketAddr> {
        self.get(id).map(|c| c.peer)
    }

    /// Number of connections that are held.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Closes the connection once everything in its outbox is written. No event follows.
    pub fn finish(&mut self, id: ConnectionId) {
        self.touch(id);
        if let Some(connection) = self.get_mut(id) {
            connection.finish = true;
        }
    }

    /// Drops the connection at once with all that waits in it. No event follows.
    pub fn forget(&mut self, id: ConnectionId) {
        if self.get(id).is_none() {
            return;
        }
        let connection = self.connections.remove(id.slot as usize);
        if let Some(registration) = connection.registration {
            self.handle.remove(registration);
        }
    }

    fn touch(&mut self, id: ConnectionId) {
        if let Some(connection) = self.get_mut(id)
            && !connection.dirty
        {
            connection.dirty = true;
            self.dirty.push(id);
        }
    }

    /// Writes what waits in the outboxes.
    pub fn flush(&mut self) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(connection) = self.get_mut(id) else { continue };
            connection.dirty = false;
            if matches!(connection.state, State::Connecting | State::Closed { .. }) {
                continue;
            }
            let written = connection.write();
            let done = connection.outbox.is_empty() && connection.finish;
            if written.is_err() {
                let mut events = Vec::new();
                self.mark_closed_by_write(id, &mut events);
                self.pending.extend(events);
            } else if done && connection.state == State::Open {
                connection.state = State::Finishing;
                let _ = connection.socket.shutdown(Shutdown::Write);
                self.finishing.push_back((Instant::now(), id));
            }
        }
    }

    /// Peers that don't close their end in time are not waited for.
    fn drop_finished(&mut self) {
        while let Some(&(since, id)) = self.finishing.front() {
            if self.get(id).is_some() && since.elapsed() < FINISH_TIMEOUT {
                return;
            }
            self.finishing.pop_front();
            self.forget(id);
        }
    }

    /// After a failed write, what the peer had sent before is read first.
    fn mark_closed_by_write(&mut self, id: ConnectionId, events: &mut Vec<Event>) {
        let scratch = &mut self.scratch[..];
        let connection = &mut self.connections[id.slot as usize];
        if connection.finish {
            connection.state = State::Finishing;
        }
        let before = connection.inbox.len();
        let _ = connection.fill(scratch);
        if connection.inbox.len() > before && connection.state == State::Open {
            events.push(Event::Data(id));
        }
        self.mark_closed(id, true, events);
    }
}

enum Filled {
    /// Everything that was there is read.
    All,
    /// There may be more.
    More,
    End,
    Failed,
}

impl Connection {
    fn came_up(&self) -> Option<io::Result<()>> {
        match self.socket.take_error() {
            Ok(Some(fault)) | Err(fault) => Some(Err(fault)),
            Ok(None) => self.socket.peer_addr().is_ok().then_some(Ok(())),
        }
    }

    fn consume(&mut self, bytes: usize) {
        self.read_start = (self.read_start + bytes).min(self.inbox.len());
        if self.read_start == self.inbox.len() {
            self.inbox.clear();
            self.inbox.shrink_to(KEPT_BYTES);
            self.read_start = 0;
        }
    }

    fn fill(&mut self, scratch: &mut [u8]) -> Filled {
        if self.read_start > 0 {
            self.inbox.drain(..self.read_start);
            self.read_start = 0;
        }
        let mut taken = 0;
        while taken < TURN_BYTES {
            match (&*self.socket).read(scratch) {
                Ok(0) => return Filled::End,
                Ok(length) => {
                    taken += length;
                    // A connection that is being closed discards what still arrives.
                    if self.state == State::Open {
                        self.inbox.extend_from_slice(&scratch[..length]);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Filled::All,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Filled::Failed,
            }
        }
        Filled::More
    }

    fn write(&mut self) -> io::Result<()> {
        while self.write_start < self.outbox.len() {
            match (&*self.socket).write(&self.outbox[self.write_start..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.write_start += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.outbox.clear();
        self.outbox.shrink_to(KEPT_BYTES);
        self.write_start = 0;
        Ok(())
    }
}
