//! Reading from one connection.

use std::io::Write;
use std::net::{TcpListener, TcpStream};

use orchidvalve_frontnode::event_loop::{EventSource, ReadyEvents};
use orchidvalve_frontnode::stream::Stream;

#[test]
fn a_read_that_stops_at_its_limit_reports_unread_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.write_all(&[7; 10_000]).unwrap();
    let events = calloop::EventLoop::<ReadyEvents>::try_new().unwrap();
    let mut stream =
        Stream::new(&events.handle(), listener.accept().unwrap().0, EventSource::Discovery).unwrap();
    let mut read = 0;
    while read < 10_000 {
        assert!(stream.fill(1_000).unwrap());
        assert!(stream.unread || read + stream.inbox().len() >= 10_000);
        read += stream.inbox().len();
        stream.consume(stream.inbox().len());
    }
    assert!(stream.fill(1_000).unwrap() && !stream.unread);
}
