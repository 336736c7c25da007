//! Tests of servers' responses: every framing, any chunks, truncation, and bytes that are no response to the request.

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
fn a_complete_response_keeps_its_connection_alive(
    #[case] method: &str,
    #[case] response: &str,
    #[case] expected: &str,
) {
    let mut gateway = Gateway::new();
    let exchange = gateway.send_as(method, false);
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(response);
    let events = gateway.wait_for_end();
    assert_eq!(events.last(), Some(&UpstreamEvent::Complete { exchange }));
    assert_eq!(body(&events), expected);
    assert!(gateway.reuses(&mut peer, false));
}

/// The response is truncated at many positions and is never complete.
#[test]
fn a_truncated_response_is_broken() {
    for length in (1..RESPONSE.len()).step_by(7) {
        let mut gateway = Gateway::new();
        gateway.send();
        let mut peer = gateway.accept();
        gateway.request(&mut peer);
        peer.send(&RESPONSE[..length]);
        drop(peer);
        assert_eq!(failure(&gateway.wait_for_end()), Some(Failure::Broken), "{length}");
    }
}

#[rstest]
#[case::other_id("HTTP/1.1 200 OK\r\nAttempt-Id: 0000000000000001\r\nContent-Length: 1\r\n\r\nb")]
#[case::other_rejection(
    "HTTP/1.1 503 Full\r\nAttempt-Id: 0000000000000001\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::success_without_id("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb")]
#[case::no_response("\x16\x03\x01 not an answer\r\n\r\n")]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nb"
)]
#[case::invalid_status("HTTP/1.1 000 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\n\r\nb")]
#[case::invalid_rejection(
    "HTTP/1.1 000 Full\r\nAttempt-Id: 9c41d07be2a35f68\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::field_name_after_a_line_feed(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\n\nName: value\r\n\r\nb"
)]
#[case::control_byte_in_a_field_name(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nNa\x01me: value\r\nContent-Length: 1\r\n\r\nb"
)]
#[case::other_protocol("HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: 9c41d07be2a35f68\r\n\r\n")]
fn responses_to_other_requests_are_never_reported(#[case] bytes: &str) {
    let mut gateway = Gateway::new();
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(bytes);
    let events = gateway.wait_for_end();
    assert_eq!((status(&events), failure(&events)), (None, Some(Failure::Broken)));
    gateway.wait_for_disconnect(&mut peer);
}

#[rstest]
#[case::full("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 503)]
#[case::other_instance("HTTP/1.1 421 Misdirected\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n", 421)]
fn rejections_may_lack_the_id(#[case] response: &str, #[case] expected: u16) {
    let mut gateway = Gateway::new();
    gateway.exchange("HTTP/1.1 500 Error\r\nAttempt-Id: 9c41d07be2a35f68\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(response);
    let events = gateway.wait_for_end();
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
    let events = gateway.wait_for_end();
    assert_eq!(body(&events).as_str(), "bytes");
    assert_eq!(events.last(), Some(&UpstreamEvent::Closed { exchange }));
    assert_eq!(gateway.upstreams.connections_to(&gateway.server), 0);
    assert_eq!(gateway.network.connection_count(), 0);
}

/// The reset arrives with the bytes or in a later turn.
#[rstest]
#[case::without_a_length(WITHOUT_LENGTH)]
#[case::within_its_head(&WITHOUT_LENGTH[..30])]
#[case::without_its_last_chunk(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n"
)]
fn a_response_interrupted_by_a_reset_is_broken(#[case] response: &str, #[values(0, 20)] turns: usize) {
    let mut gateway = Gateway::new();
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    peer.send(response);
    (0..turns).for_each(|_| gateway.turn());
    peer.reset();
    assert_eq!(failure(&gateway.wait_for_end()), Some(Failure::Broken));
}

/// What precedes the invalid bytes is reported, whether or not it arrives together with them: parts of a stream are
/// forwarded as if the connection had ended there.
#[rstest]
fn the_beginning_of_a_response_is_reported_before_its_invalid_bytes(
    #[values(
        "zz\r\n",
        "0\r\nNa me: value\r\n\r\n",
        "0\r\n\x7fName: value\r\n\r\n",
        "0\r\nNa\rme: value\r\n\r\n",
        "0\r\nName value\r\n\r\n"
    )]
    invalid: &str,
    #[values(true, false)] at_once: bool,
) {
    let mut gateway = Gateway::new();
    gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    let (beginning, _) = CHUNKED.split_at(CHUNKED.len() - "0\r\n\r\n".len());
    if at_once {
        peer.send(&format!("{beginning}{invalid}"));
    } else {
        peer.send(beginning);
        while body(&gateway.events) != "bytes" {
            gateway.turn();
        }
        peer.send(invalid);
    }
    let events = gateway.wait_for_end();
    assert_eq!((status(&events), body(&events).as_str()), (Some(200), "bytes"));
    assert_eq!(failure(&events), Some(Failure::Broken));
    gateway.wait_for_disconnect(&mut peer);
}

/// The server closes its end in order without having read the entire request, so its system resets the connection.
#[test]
fn a_response_without_a_length_whose_end_is_lost_to_a_reset_is_broken() {
    let mut gateway = Gateway::new();
    gateway.send_with(ID, &(REQUEST.to_owned() + "unread"), "POST", false);
    let mut peer = gateway.accept();
    (0..20).for_each(|_| gateway.turn());
    peer.send(WITHOUT_LENGTH);
    drop(peer);
    assert_eq!(failure(&gateway.wait_for_end()), Some(Failure::Broken));
}

/// The response arrives byte by byte, each in its own turn.
#[test]
fn a_response_may_arrive_in_any_chunks() {
    let mut gateway = Gateway::new();
    let exchange = gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    for byte in RESPONSE.as_bytes() {
        peer.send_bytes(&[*byte]);
        gateway.turn();
    }
    let events = gateway.wait_for_end();
    assert_eq!(events.last(), Some(&UpstreamEvent::Complete { exchange }));
    assert_eq!((status(&events), body(&events).as_str()), (Some(200), "bytes"));
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nby\r\n3\r\ntes\r\n0\r\n\r\n";
/// At every position of `RESPONSE` and `CHUNKED`, at least one of these bytes is invalid.
const OTHER_BYTES: &[u8] = b"\0 19Zz:\r\n";

/// One byte of the response is changed. If the gateway still considers the response complete, it carries the
/// request's id, its body has the stated length, and nothing of it is left for the next request.
#[rstest]
fn a_response_with_one_byte_changed_is_complete_only_by_its_framing(
    #[values(RESPONSE, CHUNKED)] response: &str,
) {
    let mut complete = 0;
    for position in 0..response.len() {
        let other = OTHER_BYTES[position % OTHER_BYTES.len()];
        let mut bytes = response.as_bytes().to_vec();
        bytes[position] = other;
        let mut gateway = Gateway::new();
        gateway.send();
        let mut peer = gateway.accept();
        gateway.request(&mut peer);
        peer.send_bytes(&bytes);
        drop(peer);
        let events = gateway.wait_for_end();
        let head = events.iter().find_map(|event| match event {
            UpstreamEvent::Head { head, .. } => Some(head),
            _ => None,
        });
        if failure(&events).is_some() {
            continue;
        }
        complete += 1;
        let head = head.expect("a complete response has a head");
        let success = (200..300).contains(&head.status);
        assert!(head.headers.get("attempt-id").map_or(!success, |id| id == ID), "{position}: {head:?}");
        if let Some(length) = head.headers.number("content-length") {
            assert_eq!(body(&events).len() as u64, length, "{position}");
        }
    }
    assert!(complete > 0 && complete < response.len());
}
