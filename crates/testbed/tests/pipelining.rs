//! Pipelined calls on one connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;

use orchidvalve_testbed::directory::Directory;
use orchidvalve_testbed::effects::{Call, CallTag, Caller, Effects, Outcome};
use orchidvalve_testbed::host::Host;
use orchidvalve_testbed::http;
use rstest::rstest;

const LIMIT_MS: u64 = 10_000;

type Ended = Rc<RefCell<Vec<(u64, Outcome)>>>;

/// Makes one call with its pipelined calls, and keeps the outcomes of all.
struct Recorder {
    call: Option<Call>,
    ended: Ended,
}

impl Caller for Recorder {
    fn wake(&mut self, _now: u64, _directory: &mut Directory, out: &mut Effects) {
        out.calls.extend(self.call.take());
    }

    fn call_ended(&mut self, _: u64, tag: CallTag, outcome: Outcome, _: &mut Directory, _: &mut Effects) {
        self.ended.borrow_mut().push((tag.0, outcome));
    }

    fn next_wake(&self) -> Option<u64> {
        self.call.as_ref().map(|_| 0)
    }
}

fn call(tag: u64, address: SocketAddrV4) -> Call {
    let bytes = http::request("GET", &format!("/{tag}"), "h", &[], &[]);
    let following = VecDeque::new();
    Call { tag: CallTag(tag), address, bytes, timeout_ms: LIMIT_MS, keep_alive: true, following }
}

fn response(body: &str) -> Vec<u8> {
    http::response(200, &[], body.as_bytes())
}

fn last_response(body: &str) -> Vec<u8> {
    http::response(200, &[("Connection", "close".into())], body.as_bytes())
}

/// Accepts the connection and receives the requests of three calls on it.
fn take_requests(host: &mut Host, listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let limit = host.now() + LIMIT_MS;
    let mut peer = None;
    let (mut received, mut buffer) = (Vec::new(), [0; 1_024]);
    while !received.windows(6).any(|window| window == b"GET /3") {
        assert!(host.now() < limit, "all requests arrive before any response");
        host.turn(host.now() + 5).unwrap();
        if peer.is_none() {
            peer = listener.accept().ok().map(|(socket, _)| socket);
            peer.iter().for_each(|socket| socket.set_nonblocking(true).unwrap());
        }
        let length = peer.as_mut().and_then(|socket| socket.read(&mut buffer).ok()).unwrap_or(0);
        received.extend_from_slice(&buffer[..length]);
    }
    peer.unwrap()
}

#[rstest]
#[case::all_responses(&[response("a"), response("b"), response("c")], &["a", "b", "c"])]
#[case::closed_after_a_response(&[response("a"), last_response("b")], &["a", "b", "refused"])]
#[case::connection_lost(&[response("a")], &["a", "lost", "lost"])]
#[case::malformed_response(&[response("a"), b"\x00\x01\r\n\r\n".to_vec()], &["a", "malformed", "lost"])]
fn pipelined_calls_end_in_their_order(#[case] responses: &[Vec<u8>], #[case] expected: &[&str]) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else { unreachable!("it's IPv4") };
    let mut host = Host::new().unwrap();
    let ended = Ended::default();
    let following = [call(2, address), call(3, address)].into();
    let first = Call { following, ..call(1, address) };
    host.add_caller(Box::new(Recorder { call: Some(first), ended: ended.clone() }));
    let mut peer = take_requests(&mut host, &listener);
    peer.write_all(&responses.concat()).unwrap();
    drop(peer);
    let limit = host.now() + LIMIT_MS;
    while ended.borrow().len() < 3 {
        assert!(host.now() < limit, "every call ends");
        host.turn(limit).unwrap();
    }
    let outcomes: Vec<(u64, String)> = ended.borrow().iter().map(|(tag, end)| (*tag, name(end))).collect();
    let expected: Vec<(u64, String)> = (1..).zip(expected.iter().map(|name| (*name).to_owned())).collect();
    assert_eq!(outcomes, expected);
}

fn name(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Response(response) => String::from_utf8_lossy(&response.body).into_owned(),
        Outcome::Refused => "refused".to_owned(),
        Outcome::Disconnected { .. } => "lost".to_owned(),
        Outcome::Malformed => "malformed".to_owned(),
        other => format!("{other:?}"),
    }
}
