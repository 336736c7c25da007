//! Creation of listening sockets and of sockets for outgoing connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use rustix::io::Errno;
use socket2::{Domain, Protocol, Socket, Type};

/// The maximum number of connections that the kernel queues for a listener until they are accepted.
const BACKLOG: i32 = 1024;

/// Returns a non-blocking socket that listens on `address`.
pub(super) fn listen(address: SocketAddrV4) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Returns a socket that is connecting to `address` from `source`, or from an address that the kernel chooses.
/// `user_timeout` limits how long sent bytes may stay unacknowledged by the peer's machine.
pub(super) fn begin_connect(
    address: SocketAddr,
    source: Option<Ipv4Addr>,
    user_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_user_timeout(Some(user_timeout));
    if let Some(source) = source {
        socket.bind(&SocketAddr::V4(SocketAddrV4::new(source, 0)).into())?;
    }
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::INPROGRESS.raw_os_error()) => Err(error),
        _ => Ok(socket.into()),
    }
}
