//! The event loop with its listeners and connections.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use calloop::generic::Generic;
use calloop::ping::make_ping;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};

use super::connection::{Connection, ConnectionId, ReadOutcome, State};
use super::event::{Event, Ready, Source, Waker};
use super::sockets;
use super::table::ConnectionTable;
use super::turn::{MayWait, collect_events};

/// The maximum number of bytes that one call reads from a socket.
const READ_BYTES: usize = 16 << 10;
/// The time within which a peer must close its end after this end is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// A listening socket and the tag with which its connections are reported.
struct Listener {
    socket: Rc<TcpListener>,
    tag: u32,
}

/// A connection that is closed here and not yet closed by its peer.
#[derive(Clone, Copy)]
struct LingeringConnection {
    since: Instant,
    id: ConnectionId,
}

/// The event loop with its connections.
pub struct Network {
    events: EventLoop<'static, Ready>,
    handle: LoopHandle<'static, Ready>,
    ready: Ready,
    listeners: Vec<Listener>,
    connections: ConnectionTable,
    /// Connections whose outboxes may contain bytes to be written.
    dirty: Vec<ConnectionId>,
    /// Events found outside of polling; the next poll returns them.
    pending_events: VecDeque<Event>,
    /// Connections with more bytes to read than one turn permits.
    more_to_read: Vec<ConnectionId>,
    waker: Waker,
    /// Buffer for reading from sockets.
    scratch: Vec<u8>,
    /// When the latest turn started: everything that had arrived by then was reported.
    turn_started_at: Instant,
    /// Connections whose peer has not closed its end yet, oldest first.
    lingering: VecDeque<LingeringConnection>,
    /// Source address of connections initiated here; the kernel chooses one if it is `None`.
    source_address: Option<Ipv4Addr>,
}

/// Converts an error of the event loop library to an I/O error.
fn io_error(error: impl std::fmt::Display) -> io::Error {
    io::Error::other(error.to_string())
}

impl Network {
    /// Creates a loop without listeners and connections that handles the signals of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the system provides no further file descriptors.
    pub fn new() -> io::Result<Network> {
        let events = EventLoop::try_new().map_err(io_error)?;
        let handle: LoopHandle<'static, Ready> = events.handle();
        let (ping, source) = make_ping()?;
        handle
            .insert_source(source, |(), (), ready: &mut Ready| ready.mark(Source::Wake))
            .map_err(io_error)?;
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(io_error)?;
        let on_signal = |event: calloop::signals::Event, _: &mut (), ready: &mut Ready| match event.signal() {
            Signal::SIGHUP => ready.mark(Source::Reload),
            _ => ready.mark(Source::Terminate),
        };
        handle.insert_source(signals, on_signal).map_err(io_error)?;
        Ok(Network {
            events,
            handle,
            ready: Ready::default(),
            listeners: Vec::new(),
            connections: ConnectionTable::new(),
            dirty: Vec::new(),
            pending_events: VecDeque::new(),
            more_to_read: Vec::new(),
            waker: Waker(ping),
            scratch: vec![0; READ_BYTES],
            turn_started_at: Instant::now(),
            lingering: VecDeque::new(),
            source_address: None,
        })
    }

    /// Sets the source address of connections initiated from now on; `None` lets the kernel choose.
    pub fn set_source_address(&mut self, source: Option<Ipv4Addr>) {
        self.source_address = source;
    }

    /// Returns a handle with which other threads wake the loop, which then returns [`Event::Woken`].
    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// Listens on `address`; its connections are reported with `tag`. Returns the bound address with its port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn listen(&mut self, address: SocketAddrV4, tag: u32) -> io::Result<SocketAddr> {
        let socket = Rc::new(sockets::listen(address)?);
        let index = self.listeners.len();
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let mark_ready = move |_, _: &mut _, ready: &mut Ready| {
            ready.mark(Source::Listener(index));
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, mark_ready).map_err(io_error)?;
        let local = socket.local_addr()?;
        self.listeners.push(Listener { socket, tag });
        Ok(local)
    }

    /// Initiates a connection; [`Event::Connected`] or [`Event::Closed`] follows. `user_timeout` limits how long sent
    /// bytes may stay unacknowledged by the peer's machine (TCP_USER_TIMEOUT, RFC 5482).
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be initiated.
    pub fn connect(&mut self, address: SocketAddrV4, user_timeout: Duration) -> io::Result<ConnectionId> {
        let address = SocketAddr::V4(address);
        let socket = sockets::begin_connect(address, self.source_address, user_timeout)?;
        self.insert(socket, address, State::Connecting)
    }

    fn insert(&mut self, socket: TcpStream, peer: SocketAddr, state: State) -> io::Result<ConnectionId> {
        socket.set_nonblocking(true)?;
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        let id = self.connections.next_id();
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let mark_ready = move |_, _: &mut _, ready: &mut Ready| {
            ready.mark(Source::Connection(id));
            Ok(PostAction::Continue)
        };
        let registration = self.handle.insert_source(source, mark_ready).map_err(io_error)?;
        self.connections.insert(Connection::new(socket, registration, id, state, peer));
        Ok(id)
    }

    /// Writes the outboxes, waits for events for at most `wait` and returns them. Code that evaluates deadlines by
    /// [`Network::turn_started_at`] misses nothing that had arrived by then.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for events fails.
    pub fn poll(&mut self, wait: Duration) -> io::Result<Vec<Event>> {
        self.flush();
        self.abort_lingering();
        let due = Instant::now().checked_add(wait);
        let has_events = !self.pending_events.is_empty() || !self.more_to_read.is_empty();
        let wait = if has_events { Duration::ZERO } else { wait };
        let (event_loop, ready) = (&mut self.events, &mut self.ready);
        self.turn_started_at = collect_events(due, Instant::now, |may_wait| {
            let wait = if may_wait == MayWait::UntilDue { wait } else { Duration::ZERO };
            event_loop.dispatch(wait, ready)
        })
        .map_err(io_error)?;
        let mut sources = std::mem::take(&mut self.ready.sources);
        for id in std::mem::take(&mut self.more_to_read) {
            if !sources.contains(&Source::Connection(id)) {
                sources.push(Source::Connection(id));
            }
        }
        let mut events: Vec<Event> = self.pending_events.drain(..).collect();
        for source in sources {
            match source {
                Source::Listener(index) => self.accept(index, &mut events),
                Source::Connection(id) => self.handle_ready(id, &mut events),
                Source::Terminate => events.push(Event::Terminate),
                Source::Reload => events.push(Event::Reload),
                Source::Wake => events.push(Event::Woken),
            }
        }
        Ok(events)
    }

    /// Returns when the latest turn started: everything that had arrived by then was returned by [`Network::poll`].
    /// Deadlines are evaluated at this time, because the process may be suspended after it.
    pub fn turn_started_at(&self) -> Instant {
        self.turn_started_at
    }

    fn accept(&mut self, index: usize, events: &mut Vec<Event>) {
        loop {
            let (socket, tag) = (self.listeners[index].socket.clone(), self.listeners[index].tag);
            match socket.accept() {
                Ok((stream, peer)) => match self.insert(stream, peer, State::Open) {
                    Ok(connection) => events.push(Event::Accepted { listener: tag, connection }),
                    Err(error) => log::warn!("network: an accepted connection was lost: {error}"),
                },
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!("network: cannot accept a connection: {error}; raise the limit of open files");
                    return;
                }
            }
        }
    }

    fn handle_ready(&mut self, id: ConnectionId, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        if matches!(connection.state, State::Closed { .. }) {
            return;
        }
        if connection.state == State::Connecting {
            match connection.connect_outcome() {
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
        let Some(connection) = self.connections.get_mut(id) else { return };
        let before = connection.unread().len();
        let outcome = connection.read_available(scratch);
        if connection.unread().len() > before && connection.state == State::Open {
            events.push(Event::Data(id));
        }
        match outcome {
            ReadOutcome::Drained => {}
            ReadOutcome::MoreToRead => self.more_to_read.push(id),
            ReadOutcome::EndOfStream => self.mark_closed(id, false, events),
            ReadOutcome::Failed => self.mark_closed(id, true, events),
        }
        self.mark_dirty(id);
    }

    fn mark_closed(&mut self, id: ConnectionId, reset: bool, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let lingering = connection.state == State::Lingering;
        connection.state = State::Closed { reset };
        if let Some(registration) = connection.registration.take() {
            self.handle.remove(registration);
        }
        if lingering {
            self.connections.remove(id);
        } else {
            events.push(Event::Closed { connection: id, reset });
        }
    }

    /// Returns the bytes that were received and not consumed yet.
    pub fn inbox(&self, id: ConnectionId) -> &[u8] {
        self.connections.get(id).map_or(&[], Connection::unread)
    }

    /// Marks the first `bytes` of the inbox as read.
    pub fn consume(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.consume(bytes);
        }
    }

    /// Returns the buffer of bytes to be written to the connection; they are written at the end of the turn.
    pub fn outbox(&mut self, id: ConnectionId) -> Option<&mut Vec<u8>> {
        self.mark_dirty(id);
        self.connections
            .get_mut(id)
            .filter(|c| !matches!(c.state, State::Closed { .. }) && !c.finish)
            .map(|c| &mut c.outbox)
    }

    /// Appends bytes to the outbox.
    pub fn send(&mut self, id: ConnectionId, bytes: &[u8]) {
        if let Some(outbox) = self.outbox(id) {
            outbox.extend_from_slice(bytes);
        }
    }

    /// Limits the time for writing the bytes sent on the connection until its outbox is empty. They are written within
    /// `limit` of the start of this turn or not at all: after that the connection is closed instead, with
    /// [`Event::Closed`]. The time is checked right before the bytes are written, so a process that was suspended
    /// within a turn writes nothing after the deadline.
    pub fn set_write_deadline(&mut self, id: ConnectionId, limit: Duration) {
        let deadline = self.turn_started_at + limit;
        if let Some(connection) = self.connections.get_mut(id) {
            connection.write_deadline = Some(deadline);
        }
    }

    /// Returns the number of bytes that the kernel has not accepted yet.
    pub fn queued_bytes(&self, id: ConnectionId) -> usize {
        self.connections.get(id).map_or(0, Connection::queued_bytes)
    }

    /// Returns whether the connection is established and may be written to.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some_and(|c| c.state == State::Open && !c.finish)
    }

    /// Returns whether the connection has ended and its peer closed its end in order, after everything it had sent.
    /// Only then can a message without a length be complete.
    pub fn closed_cleanly(&self, id: ConnectionId) -> bool {
        self.connections.get(id).is_some_and(|c| c.state == State::Closed { reset: false })
    }

    /// Returns the address of the peer.
    pub fn peer_address(&self, id: ConnectionId) -> Option<SocketAddr> {
        self.connections.get(id).map(|c| c.peer)
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Shuts the connection down once everything in its outbox is written. No event follows.
    pub fn finish(&mut self, id: ConnectionId) {
        self.mark_dirty(id);
        if let Some(connection) = self.connections.get_mut(id) {
            connection.finish = true;
        }
    }

    /// Drops the connection at once, including its buffers. No event follows.
    pub fn abort(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(id) else { return };
        if let Some(registration) = connection.registration {
            self.handle.remove(registration);
        }
    }

    fn mark_dirty(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id)
            && !connection.dirty
        {
            connection.dirty = true;
            self.dirty.push(id);
        }
    }

    /// Writes the bytes queued in the outboxes.
    pub fn flush(&mut self) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            connection.dirty = false;
            if matches!(connection.state, State::Connecting | State::Closed { .. }) {
                continue;
            }
            let written = if connection.missed_write_deadline() {
                Err(ErrorKind::TimedOut.into())
            } else {
                connection.write()
            };
            let done = connection.outbox.is_empty() && connection.finish;
            if written.is_err() {
                let mut events = Vec::new();
                self.mark_closed_by_write(id, &mut events);
                self.pending_events.extend(events);
            } else if done && connection.state == State::Open {
                connection.state = State::Lingering;
                let _ = connection.socket.shutdown(Shutdown::Write);
                self.lingering.push_back(LingeringConnection { since: Instant::now(), id });
            }
        }
    }

    /// Drops lingering connections whose peers have not closed their end in time.
    fn abort_lingering(&mut self) {
        while let Some(&LingeringConnection { since, id }) = self.lingering.front() {
            if self.connections.get(id).is_some() && since.elapsed() < LINGER_TIMEOUT {
                return;
            }
            self.lingering.pop_front();
            self.abort(id);
        }
    }

    /// Closes a connection after a failed write, once the bytes that the peer had sent before are read.
    fn mark_closed_by_write(&mut self, id: ConnectionId, events: &mut Vec<Event>) {
        let scratch = &mut self.scratch[..];
        let Some(connection) = self.connections.get_mut(id) else { return };
        if connection.finish {
            connection.state = State::Lingering;
        }
        let before = connection.unread().len();
        let _ = connection.read_available(scratch);
        if connection.unread().len() > before && connection.state == State::Open {
            events.push(Event::Data(id));
        }
        self.mark_closed(id, true, events);
    }
}
