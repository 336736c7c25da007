//! Connections of the event loop against sockets of the standard library.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use orchidvalve_net::{ConnectionId, Event, Network};

const LIMIT: Duration = Duration::from_secs(20);

/// Returns the source address of a connection, as seen by the listener.
fn source_of(network: &mut Network) -> Ipv4Addr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    let id = network.connect(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), LIMIT).unwrap();
    let begin = Instant::now();
    let mut up = false;
    while !up {
        assert!(begin.elapsed() < LIMIT, "the connection was not established");
        let events = network.poll(Duration::from_millis(10)).unwrap();
        up = events.iter().any(|event| matches!(event, Event::Connected(connected) if *connected == id));
    }
    let (_, SocketAddr::V4(peer)) = listener.accept().unwrap() else { panic!("an IPv4 address") };
    *peer.ip()
}

#[test]
fn connections_leave_from_the_source_that_is_set() {
    let mut network = Network::new().unwrap();
    assert_eq!(source_of(&mut network), Ipv4Addr::LOCALHOST);
    let source = Ipv4Addr::new(127, 3, 2, 1);
    network.set_source_address(Some(source));
    assert_eq!(source_of(&mut network), source);
    network.set_source_address(None);
    assert_eq!(source_of(&mut network), Ipv4Addr::LOCALHOST);
}

/// Like a process that is suspended between sending and writing until the deadline has passed.
#[test]
fn bytes_past_their_write_deadline_are_never_written() {
    let mut network = Network::new().unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    let id = network.connect(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), LIMIT).unwrap();
    network.set_write_deadline(id, Duration::ZERO);
    network.send(id, b"late");
    let begin = Instant::now();
    let mut closed = false;
    while !closed {
        assert!(begin.elapsed() < LIMIT, "the connection was not closed");
        let events = network.poll(Duration::from_millis(10)).unwrap();
        closed =
            events.iter().any(|event| matches!(event, Event::Closed { connection, .. } if *connection == id));
    }
    network.abort(id);
    let (mut peer, _) = listener.accept().unwrap();
    let mut received = Vec::new();
    peer.read_to_end(&mut received).unwrap();
    assert!(received.is_empty());
}

#[test]
fn bytes_written_before_the_deadline_leave_the_connection_open() {
    let mut network = Network::new().unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    let id = network.connect(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), LIMIT).unwrap();
    network.set_write_deadline(id, LIMIT);
    network.send(id, b"in time");
    let begin = Instant::now();
    while !network.is_open(id) || network.queued_bytes(id) > 0 {
        assert!(begin.elapsed() < LIMIT, "the bytes were not written");
        network.poll(Duration::from_millis(10)).unwrap();
    }
    let (mut peer, _) = listener.accept().unwrap();
    let mut received = [0; 7];
    peer.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"in time");
}

/// The rest of a message arrives, and is shorter than the bytes consumed before the message.
#[test]
fn bytes_that_follow_an_unconsumed_rest_are_reported() {
    let mut network = Network::new().unwrap();
    let SocketAddr::V4(address) = network.listen(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), 1).unwrap()
    else {
        panic!("an IPv4 address")
    };
    let mut peer = TcpStream::connect(address).unwrap();
    peer.write_all(b"whole message, begin").unwrap();
    let id = data(&mut network);
    network.consume(id, b"whole message, ".len());
    peer.write_all(b"ning").unwrap();
    assert_eq!(data(&mut network), id);
    assert_eq!(network.inbox(id), b"beginning");
}

/// Returns the connection on which data arrives next.
fn data(network: &mut Network) -> ConnectionId {
    let begin = Instant::now();
    loop {
        assert!(begin.elapsed() < LIMIT, "no data was reported");
        let events = network.poll(Duration::from_millis(10)).unwrap();
        let connection = |event: &Event| match event {
            Event::Data(connection) => Some(*connection),
            _ => None,
        };
        if let Some(connection) = events.iter().find_map(connection) {
            return connection;
        }
    }
}

/// The peer reads as much as is sent, and the connection is never idle.
#[test]
fn an_outbox_that_is_never_empty_does_not_grow() {
    const CHUNK_BYTES: usize = 1 << 20;
    /// More than the kernel buffers of the data that the peer hasn't read.
    const WAITING_CHUNKS: usize = 24;
    const CHUNKS: usize = 150;
    let mut network = Network::new().unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    let id = network.connect(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port), LIMIT).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    peer.set_nonblocking(true).unwrap();
    let mut chunk = vec![0; CHUNK_BYTES];
    network.send(id, &vec![0; WAITING_CHUNKS * CHUNK_BYTES]);
    while !network.is_open(id) {
        network.poll(Duration::from_millis(10)).unwrap();
    }
    for _ in 0..CHUNKS {
        network.send(id, &chunk);
        let mut taken = 0;
        while taken < CHUNK_BYTES {
            network.poll(Duration::ZERO).unwrap();
            taken += peer.read(&mut chunk[taken..]).unwrap_or(0);
        }
        assert!(network.queued_bytes(id) > 0, "the connection is idle");
    }
    let held = network.outbox(id).unwrap().len();
    assert!(held <= 3 * network.queued_bytes(id), "{held} bytes are held");
}
