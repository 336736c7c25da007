//! Responses of servers: in every framing and any chunks, cut off, and what isn't a response to the request.

mod sockets_support;
mod upstream_support;

use orchidvalve_data_plane::upstream::{Failure, UpstreamEvent};
use rstest::rstest;
use upstream_support::*;

#[rstest]
#[case::length(
    "POST",
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 5\r\n\r\nbytes",
    "bytes"
)]
#[case::chunks(
    "POST",
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nby\r\n3\r\ntes\r\n0\r\n\r\n",
    "bytes"
)]
#[case::after_informational(
    "POST",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\n\r\nb",
    "b"
)]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 5\r\n\r\n", "")]
#[case::nothing("POST", "HTTP/1.1 204 No Content\r\nAttempt-Id: 9c41d07be2a35f68\r\n\r\n", "")]
fn a_complete_response_comes_and_its_connection_is_kept_alive(
    #[case] method: &str,
    #[case] answer: &str,
    #[case] expected: &str,
) {
    let mut gateway = Gateway::new();
    let exchange = gateway.send_as(method, false);
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(answer);
    let events = gateway.ended();
    assert_eq!(events.last(), Some(&UpstreamEvent::Complete { exchange }));
    assert_eq!(body(&events), expected);
    assert!(gateway.reuses(&mut peer, false));
}

/// The answer is cut at every place: it is never complete.
#[test]
fn a_response_that_is_cut_is_broken() {
    for length in (1..ANSWER.len()).step_by(7) {
        let mut gateway = Gateway::new();
        gateway.send();
        let mut peer = gateway.accept();
        gateway.request(&mut peer);
        peer.send(&ANSWER[..length]);
        drop(peer);
        assert_eq!(failure(&gateway.ended()), Some(Failure::Broken), "{length}");
    }
}

#[rstest]
#[case::other_id("HTTP/1.1 200 OK\r\nAttempt-Id: 0000000000000001\r\nContent-Length: 1\r\n\r\nb")]
#[case::other_rejection(
    "HTTP/1.1 503 Full\r\nAttempt-Id: 0000000000000001\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::success_without_id("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")]
#[case::no_answer("\x16\x03\x01 not an answer\r\n\r\n")]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nb"
)]
#[case::other_protocol("HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: 9c41d07be2a35f68\r\n\r\n")]
fn what_is_no_response_to_the_request_is_never_told(#[case] bytes: &str) {
    let mut gateway = Gateway::new();
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(bytes);
    let events = gateway.ended();
    assert_eq!((status(&events), failure(&events)), (None, Some(Failure::Broken)));
    gateway.dropped(&mut peer);
}

#[rstest]
#[case::full("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503)]
#[case::other_instance("HTTP/1.1 421 Misdirected\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n", 421)]
fn rejections_may_come_without_the_id(#[case] answer: &str, #[case] expected: u16) {
    let mut gateway = Gateway::new();
    gateway.exchange("HTTP/1.1 500 Error\r\nAttempt-Id: 9c41d07be2a35f68\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(answer);
    let events = gateway.ended();
    assert_eq!((status(&events), failure(&events)), (Some(expected), None));
}

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\n\r\nbytes";

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut gateway = Gateway::new();
    let exchange = gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(WITHOUT_LENGTH);
    drop(peer);
    let events = gateway.ended();
    assert_eq!(body(&events).as_str(), "bytes");
    assert_eq!(events.last(), Some(&UpstreamEvent::Closed { exchange }));
    assert_eq!(gateway.upstreams.connections_to(&gateway.server), 0);
    assert_eq!(gateway.network.connection_count(), 0);
}

/// The reset comes with the bytes, or in a later turn.
#[rstest]
#[case::without_a_length(WITHOUT_LENGTH)]
#[case::within_its_head(&WITHOUT_LENGTH[..30])]
#[case::whole_but_for_its_end(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n"
)]
fn a_response_that_is_reset_on_the_way_is_broken(#[case] answer: &str, #[values(0, 20)] turns: usize) {
    let mut gateway = Gateway::new();
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(answer);
    (0..turns).for_each(|_| gateway.turn());
    peer.reset();
    assert_eq!(failure(&gateway.ended()), Some(Failure::Broken));
}

/// The server closes its end in order, and had not read all of the request: its system resets the connection.
#[test]
fn a_response_without_a_length_whose_end_is_lost_to_a_reset_is_broken() {
    let mut gateway = Gateway::new();
    gateway.send_with(ID, &(REQUEST.to_owned() + "unread"), "POST", false);
    let mut peer = gateway.accept();
    (0..20).for_each(|_| gateway.turn());
    peer.send(WITHOUT_LENGTH);
    drop(peer);
    assert_eq!(failure(&gateway.ended()), Some(Failure::Broken));
}

/// The answer comes byte by byte, each in a turn of its own.
#[test]
fn a_response_may_come_in_any_chunks() {
    let mut gateway = Gateway::new();
    let exchange = gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    for byte in ANSWER.as_bytes() {
        peer.send_bytes(&[*byte]);
        gateway.turn();
    }
    let events = gateway.ended();
    assert_eq!(events.last(), Some(&UpstreamEvent::Complete { exchange }));
    assert_eq!((status(&events), body(&events).as_str()), (Some(200), "bytes"));
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nby\r\n3\r\ntes\r\n0\r\n\r\n";
/// A place in `ANSWER` and `CHUNKED` is put out of order by each of these.
const OTHER_BYTES: &[u8] = b"\0 19Zz:\r\n";

/// One byte of the answer is another one. Where the gateway takes the answer for complete all the same, it bears the
/// request's id, and its body has the length that the answer states; nothing of it is left for the next request.
#[rstest]
fn a_response_with_one_byte_changed_is_complete_only_by_its_framing(#[values(ANSWER, CHUNKED)] answer: &str) {
    let mut whole = 0;
    for place in 0..answer.len() {
        let other = OTHER_BYTES[place % OTHER_BYTES.len()];
        let mut bytes = answer.as_bytes().to_vec();
        bytes[place] = other;
        let mut gateway = Gateway::new();
        gateway.send();
        let mut peer = gateway.accept();
        gateway.request(&mut peer);
        peer.send_bytes(&bytes);
        drop(peer);
        let events = gateway.ended();
        let head = events.iter().find_map(|event| match event {
            UpstreamEvent::Head { head, .. } => Some(head),
            _ => None,
        });
        if failure(&events).is_some() {
            continue;
        }
        whole += 1;
        let head = head.expect("a whole answer has a head");
        let success = (200..300).contains(&head.status);
        assert!(head.headers.get("attempt-id").map_or(!success, |id| id == ID), "{place}: {head:?}");
        if let Some(length) = head.headers.number("content-length") {
            assert_eq!(body(&events).len() as u64, length, "{place}");
        }
    }
    assert!(whole > 0 && whole < answer.len());
}
