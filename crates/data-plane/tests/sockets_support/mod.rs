//! The remote end of loopback connections.

#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

/// The number of turns after which an awaited event is considered missing.
pub const MAX_TURNS: usize = 2_000;
/// The maximum time that one turn waits for the network.
pub const TURN: Duration = Duration::from_millis(5);

pub fn loopback() -> SocketAddrV4 {
    "127.0.0.1:0".parse().unwrap()
}

pub fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to 127.0.0.1"),
    }
}

/// Listens on a free port, with a non-blocking `accept`.
pub fn listen() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind(loopback()).unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = v4(listener.local_addr().unwrap());
    (listener, address)
}

/// Makes connections to the listener's address be refused until the returned socket is dropped. The socket reserves the
/// port, as otherwise another test's listener might get it and be connected to.
pub fn refuse_connections(listener: TcpListener) -> Socket {
    let address = listener.local_addr().unwrap();
    SockRef::from(&listener).shutdown(Shutdown::Both).unwrap();
    drop(listener);
    // Closed connections of the listener may still occupy its port.
    let reserved = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    reserved.set_reuse_address(true).unwrap();
    reserved.bind(&address.into()).unwrap();
    reserved
}

/// One end of a connection, and the bytes received on it.
pub struct Peer {
    stream: TcpStream,
    pub inbox: Vec<u8>,
    pub ended: bool,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_nonblocking(true).unwrap();
        Peer { stream, inbox: Vec::new(), ended: false }
    }

    pub fn connect(address: SocketAddrV4) -> Peer {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    pub fn send(&mut self, text: &str) {
        self.send_bytes(text.as_bytes());
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    /// Sends bytes on a connection that the other end may have closed.
    pub fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads all bytes that have arrived.
    pub fn receive(&mut self) {
        let mut bytes = [0; 4_096];
        while !self.ended {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.ended = true,
                Ok(length) => self.inbox.extend_from_slice(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
    }

    /// Ends the connection with a reset, after the bytes sent before.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.inbox).unwrap()
    }
}
