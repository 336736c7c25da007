//! One non-blocking connection: its descriptor, its place in the event loop, and its two buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

use crate::kit::{Loop, Noted, Who};

const LEAST: usize = 4 << 10;
/// An empty buffer larger than this is given back.
const KEPT: usize = 16 << 10;

pub struct Stream {
    socket: Rc<TcpStream>,
    place: RegistrationToken,
    events: Loop,
    inbox: Vec<u8>,
    first: usize,
    last: usize,
    outbox: Vec<u8>,
    sent: usize,
    /// Whether the last reading stopped before all was read: the loop tells of the rest only once.
    pub more: bool,
    /// Bytes of the connection that the system has taken, and brought, so far.
    pub written: u64,
    pub read: u64,
}

impl Stream {
    pub fn new(events: &Loop, socket: TcpStream, who: Who) -> io::Result<Stream> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(socket.clone(), Interest::BOTH, Mode::Edge);
        let noted = move |_, _: &mut _, noted: &mut Noted| {
            noted.note(who);
            Ok(PostAction::Continue)
        };
        let place = events.insert_source(source, noted).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Stream {
            socket,
            place,
            events: events.clone(),
            inbox: Vec::new(),
            first: 0,
            last: 0,
            outbox: Vec::new(),
            sent: 0,
            more: false,
            written: 0,
            read: 0,
        })
    }

    /// Whether a connection begun earlier is up; None while that is open.
    pub fn came_up(&self) -> Option<io::Result<()>> {
        match self.socket.take_error() {
            Ok(Some(fault)) | Err(fault) => Some(Err(fault)),
            Ok(None) => self.socket.peer_addr().is_ok().then_some(Ok(())),
        }
    }

    pub fn inbox(&self) -> &[u8] {
        &self.inbox[self.first..self.last]
    }

    pub fn take(&mut self, length: usize) {
        self.first += length;
        if self.first == self.last {
            (self.first, self.last) = (0, 0);
            // What one long message took is not kept for the day.
            if self.inbox.len() > KEPT {
                self.inbox = Vec::new();
            }
        }
    }

    /// Bytes that the inbox takes, read or not.
    pub fn held(&self) -> usize {
        self.inbox.len()
    }

    /// Reads so much at most and keeps nothing of it; false at the end of the stream.
    pub fn discard(&mut self, most: u64) -> io::Result<bool> {
        let enough = self.read + most;
        loop {
            self.take(self.last - self.first);
            self.more = self.read >= enough;
            if self.more || !self.fill(LEAST)? {
                return Ok(self.more);
            }
            if !self.more {
                return Ok(true);
            }
        }
    }

    /// Reads until nothing more is there or so many bytes wait in the inbox; false at the end of the stream.
    pub fn fill(&mut self, most: usize) -> io::Result<bool> {
        loop {
            self.more = self.last - self.first >= most;
            if self.more {
                return Ok(true);
            }
            if self.last == self.inbox.len() {
                self.inbox.copy_within(self.first..self.last, 0);
                (self.first, self.last) = (0, self.last - self.first);
                if self.last * 2 >= self.inbox.len() {
                    self.inbox.resize((self.inbox.len() * 2).max(LEAST), 0);
                }
            }
            match (&*self.socket).read(&mut self.inbox[self.last..]) {
                Ok(0) => return Ok(false),
                Ok(length) => {
                    self.last += length;
                    self.read += length as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub fn outbox(&mut self) -> &mut Vec<u8> {
        &mut self.outbox
    }

    /// Where the outbox ends in the stream of all bytes written.
    pub fn queued(&self) -> u64 {
        self.written + (self.outbox.len() - self.sent) as u64
    }

    pub fn flushed(&self) -> bool {
        self.sent == self.outbox.len()
    }

    pub fn flush(&mut self) -> io::Result<()> {
        while !self.flushed() {
            match (&*self.socket).write(&self.outbox[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.sent += length;
                    self.written += length as u64;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.outbox.clear();
        self.outbox.shrink_to(KEPT);
        self.sent = 0;
        Ok(())
    }

    /// Says that nothing more will be written; what the peer still sends is read, lest it be told of a reset
    /// before it has read all.
    pub fn finish(&self) {
        let _ = self.socket.shutdown(Shutdown::Write);
    }
}

/// Begins a connection; the event loop says when it is up.
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
        self.events.remove(self.place);
    }
}

#[cfg(test)]
mod stories {
    use super::*;

    #[test]
    fn a_reading_that_stops_at_its_cap_says_that_more_is_there() {
        let door = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut peer = TcpStream::connect(door.local_addr().unwrap()).unwrap();
        peer.write_all(&[7; 10_000]).unwrap();
        let events = calloop::EventLoop::<Noted>::try_new().unwrap();
        let mut stream = Stream::new(&events.handle(), door.accept().unwrap().0, Who::Agent).unwrap();
        let mut read = 0;
        while read < 10_000 {
            assert!(stream.fill(1_000).unwrap());
            assert!(stream.more || read + stream.inbox().len() >= 10_000);
            read += stream.inbox().len();
            stream.take(stream.inbox().len());
        }
        assert!(stream.fill(1_000).unwrap() && !stream.more);
    }
}
