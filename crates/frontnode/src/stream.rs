//! A non-blocking connection: its socket, its registration with the event loop, and its two buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::event_loop::{EventLoopHandle, EventSource, ReadyEvents};

const MIN_READ_BYTES: usize = 4 << 10;
/// Empty buffers with a larger capacity are freed.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// A connection that is registered with the event loop.
pub struct Stream {
    socket: Rc<TcpStream>,
    registration: RegistrationToken,
    events: EventLoopHandle,
    inbox: Vec<u8>,
    /// The start and the end of the unread bytes in the inbox.
    first: usize,
    last: usize,
    outbox: Vec<u8>,
    /// The number of bytes of the outbox that the system has accepted.
    sent: usize,
    /// Whether the last read stopped before the socket was empty. The event loop is edge-triggered and reports the rest
    /// only once.
    pub unread: bool,
    /// The total number of bytes written.
    pub bytes_written: u64,
    /// The total number of bytes read.
    pub bytes_read: u64,
}

impl Stream {
    /// Registers a socket with the event loop, which then reports `event_source` as ready.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be configured or registered.
    pub fn new(events: &EventLoopHandle, socket: TcpStream, event_source: EventSource) -> io::Result<Stream> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let on_ready = move |_, _: &mut _, events: &mut ReadyEvents| {
            events.add(event_source);
            Ok(PostAction::Continue)
        };
        let registration =
            events.insert_source(source, on_ready).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Stream {
            socket,
            registration,
            events: events.clone(),
            inbox: Vec::new(),
            first: 0,
            last: 0,
            outbox: Vec::new(),
            sent: 0,
            unread: false,
            bytes_written: 0,
            bytes_read: 0,
        })
    }

    /// Returns the result of a connection attempt, or `None` while it is not known.
    pub fn connect_result(&self) -> Option<io::Result<()>> {
        match self.socket.take_error() {
            Ok(Some(error)) | Err(error) => Some(Err(error)),
            Ok(None) => self.socket.peer_addr().is_ok().then_some(Ok(())),
        }
    }

    /// Returns the bytes that were read and not consumed.
    pub fn inbox(&self) -> &[u8] {
        &self.inbox[self.first..self.last]
    }

    /// Removes `length` bytes from the front of the inbox.
    pub fn consume(&mut self, length: usize) {
        self.first += length;
        if self.first == self.last {
            (self.first, self.last) = (0, 0);
            // The memory of a long message is not kept for the lifetime of the connection.
            if self.inbox.len() > MAX_KEPT_BYTES {
                self.inbox = Vec::new();
            }
        }
    }

    /// Returns the size of the inbox's buffer in bytes, whether or not it is in use.
    pub fn inbox_capacity(&self) -> usize {
        self.inbox.len()
    }

    /// Reads up to about `max_bytes` bytes and discards them. Returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn discard(&mut self, max_bytes: u64) -> io::Result<bool> {
        let limit = self.bytes_read + max_bytes;
        loop {
            self.consume(self.last - self.first);
            self.unread = self.bytes_read >= limit;
            if self.unread || !self.fill(MIN_READ_BYTES)? {
                return Ok(self.unread);
            }
            if !self.unread {
                return Ok(true);
            }
        }
    }

    /// Reads until the socket is empty or the inbox contains `max_bytes` bytes. Returns false at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn fill(&mut self, max_bytes: usize) -> io::Result<bool> {
        loop {
            self.unread = self.last - self.first >= max_bytes;
            if self.unread {
                return Ok(true);
            }
            if self.last == self.inbox.len() {
                self.inbox.copy_within(self.first..self.last, 0);
                (self.first, self.last) = (0, self.last - self.first);
                if self.last * 2 >= self.inbox.len() {
                    self.inbox.resize((self.inbox.len() * 2).max(MIN_READ_BYTES), 0);
                }
            }
            match (&*self.socket).read(&mut self.inbox[self.last..]) {
                Ok(0) => return Ok(false),
                Ok(length) => {
                    self.last += length;
                    self.bytes_read += length as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Returns the buffer to which bytes to be written are appended.
    pub fn outbox(&mut self) -> &mut Vec<u8> {
        &mut self.outbox
    }

    /// Returns the end of the outbox as an offset in the stream of all bytes written.
    pub fn queued_until(&self) -> u64 {
        self.bytes_written + (self.outbox.len() - self.sent) as u64
    }

    /// Returns whether the system has accepted the complete outbox.
    pub fn is_flushed(&self) -> bool {
        self.sent == self.outbox.len()
    }

    /// Writes as many bytes of the outbox as the system accepts.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub fn flush(&mut self) -> io::Result<()> {
        while !self.is_flushed() {
            match (&*self.socket).write(&self.outbox[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.sent += length;
                    self.bytes_written += length as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.outbox.clear();
        self.outbox.shrink_to(MAX_KEPT_BYTES);
        self.sent = 0;
        Ok(())
    }

    /// Closes the writing side. The bytes that the peer still sends must be read; otherwise the peer could receive a
    /// reset before it has read everything.
    pub fn shut_down_writing(&self) {
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Starts to connect a socket. It becomes ready once it is connected or has failed.
///
/// # Errors
///
/// Fails if the socket cannot be created or the connection fails immediately.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(socket.into()),
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.events.remove(self.registration);
    }
}
