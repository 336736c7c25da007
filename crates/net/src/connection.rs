//! One connection: its state, its received bytes and its bytes to be sent.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use calloop::RegistrationToken;

/// Capacity in bytes that an empty buffer keeps; anything above is freed.
const RETAINED_BYTES: usize = 32 << 10;
/// The maximum number of bytes read from one connection in one turn, so that no connection starves the others.
const MAX_BYTES_PER_TURN: usize = 1 << 20;

/// Identifies a connection. Ids are not reused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ConnectionId {
    /// Index in the table of connections; reused after the connection is removed.
    pub(super) slot: u32,
    /// Distinguishes the connections that have used the same slot.
    pub(super) serial: u32,
}

/// State of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Connecting,
    Open,
    /// Everything is written and this end is shut down; the peer has not closed its end yet.
    Lingering,
    Closed {
        reset: bool,
    },
}

/// A connection with its buffers.
pub(super) struct Connection {
    pub(super) socket: Rc<TcpStream>,
    pub(super) registration: Option<RegistrationToken>,
    pub(super) serial: u32,
    pub(super) state: State,
    pub(super) inbox: Vec<u8>,
    read_start: usize,
    pub(super) outbox: Vec<u8>,
    write_start: usize,
    /// Latest time at which the bytes in the outbox may be written.
    pub(super) write_deadline: Option<Instant>,
    /// Whether to shut down once the outbox is empty.
    pub(super) finish: bool,
    /// Whether the outbox may contain bytes for the next flush.
    pub(super) dirty: bool,
    pub(super) peer: SocketAddr,
}

/// The result of reading from a socket.
pub(super) enum ReadOutcome {
    /// All bytes that had arrived are read.
    Drained,
    /// The limit of one turn was reached: there may be more bytes.
    MoreToRead,
    /// The peer closed its end.
    EndOfStream,
    /// The connection failed.
    Failed,
}

impl Connection {
    pub(super) fn new(
        socket: Rc<TcpStream>,
        registration: RegistrationToken,
        id: ConnectionId,
        state: State,
        peer: SocketAddr,
    ) -> Connection {
        Connection {
            socket,
            registration: Some(registration),
            serial: id.serial,
            state,
            inbox: Vec::new(),
            read_start: 0,
            outbox: Vec::new(),
            write_start: 0,
            write_deadline: None,
            finish: false,
            dirty: false,
            peer,
        }
    }

    /// Returns whether a connection initiated here is established, or why it failed; `None` while it is in progress.
    pub(super) fn connect_outcome(&self) -> Option<io::Result<()>> {
        match self.socket.take_error() {
            Ok(Some(fault)) | Err(fault) => Some(Err(fault)),
            Ok(None) => self.socket.peer_addr().is_ok().then_some(Ok(())),
        }
    }

    /// Returns the bytes that were received and not consumed yet.
    pub(super) fn unread(&self) -> &[u8] {
        &self.inbox[self.read_start..]
    }

    /// Returns the number of bytes that the kernel has not accepted yet.
    pub(super) fn queued_bytes(&self) -> usize {
        self.outbox.len() - self.write_start
    }

    /// Returns whether queued bytes have passed their write deadline.
    pub(super) fn missed_write_deadline(&self) -> bool {
        self.write_deadline.is_some_and(|deadline| self.queued_bytes() > 0 && Instant::now() >= deadline)
    }

    /// Marks the first `bytes` unread bytes as read.
    pub(super) fn consume(&mut self, bytes: usize) {
        self.read_start = (self.read_start + bytes).min(self.inbox.len());
        if self.read_start == self.inbox.len() {
            self.inbox.clear();
            self.inbox.shrink_to(RETAINED_BYTES);
            self.read_start = 0;
        }
    }

    /// Reads received bytes into the inbox, up to the limit of one turn.
    pub(super) fn read_available(&mut self, scratch: &mut [u8]) -> ReadOutcome {
        if self.read_start > 0 {
            self.inbox.drain(..self.read_start);
            self.read_start = 0;
        }
        let mut taken = 0;
        while taken < MAX_BYTES_PER_TURN {
            match (&*self.socket).read(scratch) {
                Ok(0) => return ReadOutcome::EndOfStream,
                Ok(length) => {
                    taken += length;
                    // A connection that is being closed discards the bytes that still arrive.
                    if self.state == State::Open {
                        self.inbox.extend_from_slice(&scratch[..length]);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Drained,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadOutcome::Failed,
            }
        }
        ReadOutcome::MoreToRead
    }

    /// Writes as much of the outbox as the kernel accepts.
    pub(super) fn write(&mut self) -> io::Result<()> {
        while self.write_start < self.outbox.len() {
            match (&*self.socket).write(&self.outbox[self.write_start..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.write_start += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.compact_outbox();
                    return Ok(());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.outbox.clear();
        self.outbox.shrink_to(RETAINED_BYTES);
        self.write_start = 0;
        self.write_deadline = None;
        Ok(())
    }

    /// Frees the written part of an outbox that isn't empty, because on a busy connection it may never become empty.
    /// Done only if that part is larger than the rest, so that each byte is moved once on average.
    fn compact_outbox(&mut self) {
        if self.write_start > self.queued_bytes() {
            self.outbox.drain(..self.write_start);
            self.write_start = 0;
        }
    }
}
