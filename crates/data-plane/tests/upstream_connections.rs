//! Tests of connections to servers: how they are established and end, which are kept for further requests, and that
//! nothing of one request reaches the next.

mod sockets_support;
mod upstream_support;

use orchidvalve_data_plane::upstream::{CONNECT_TIMEOUT_MS, Failure, UpstreamEvent};
use orchidvalve_net::Event;
use rstest::rstest;
use sockets_support::*;
use upstream_support::*;

#[rstest]
#[case::leaving(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb"
)]
#[case::more_after_it("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\n\r\nbmore")]
#[case::old_protocol("HTTP/1.0 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nContent-Length: 1\r\n\r\nb")]
#[case::kept_for_no_time(
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\nb"
)]
fn unsuitable_connections_are_not_reused(#[case] response: &str) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(response);
    gateway.wait_for_disconnect(&mut peer);
    assert!(!gateway.reuses(&mut peer, false));
}

const KEPT_5_S: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nKeep-Alive: max=9, timeout=5\r\nContent-Length: 1\r\n\r\nb";

#[rstest]
#[case::just_used(RESPONSE, 10, false, true)]
#[case::not_stated(RESPONSE, 3_900, false, true)]
#[case::not_stated_old(RESPONSE, 4_100, false, false)]
#[case::not_stated_once(RESPONSE, 350, true, true)]
#[case::not_stated_old_once(RESPONSE, 450, true, false)]
#[case::stated(KEPT_5_S, 4_400, false, true)]
#[case::stated_once(KEPT_5_S, 4_400, true, true)]
#[case::stated_old(KEPT_5_S, 4_600, false, false)]
fn idle_connections_are_reused_within_their_keep_alive(
    #[case] response: &str,
    #[case] idle_ms: u64,
    #[case] at_most_once: bool,
    #[case] reused: bool,
) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(response);
    gateway.now += idle_ms;
    assert_eq!(gateway.reuses(&mut peer, at_most_once), reused);
}

#[test]
fn idle_connections_to_an_unresponsive_server_are_closed() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    gateway.upstreams.close_idle(&mut gateway.network, gateway.server);
    gateway.wait_for_disconnect(&mut peer);
    assert!(!gateway.reuses(&mut peer, false));
}

#[test]
fn old_idle_connections_are_closed() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    gateway.now += 4_000;
    gateway.upstreams.expire(&mut gateway.network, gateway.now, &mut gateway.events);
    gateway.wait_for_disconnect(&mut peer);
    assert!(gateway.events.is_empty());
}

#[test]
fn a_late_duplicate_response_closes_an_idle_connection() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    peer.send(RESPONSE);
    gateway.wait_for_disconnect(&mut peer);
    assert!(gateway.events.is_empty());
    assert!(!gateway.reuses(&mut peer, false));
}

/// The bytes have arrived but were not processed yet.
#[test]
fn an_unread_late_duplicate_response_closes_an_idle_connection() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    peer.send(RESPONSE);
    let mut arrived = false;
    for _ in 0..MAX_TURNS {
        arrived |= gateway.network.poll(TURN).unwrap().iter().any(|e| matches!(e, Event::Data(_)));
        if arrived {
            break;
        }
    }
    assert!(arrived);
    assert!(!gateway.reuses(&mut peer, false));
}

#[test]
fn a_reused_connection_that_ends_within_a_head_is_broken() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    gateway.send();
    gateway.request(&mut peer);
    peer.send("HTTP/1.1 2");
    drop(peer);
    assert_eq!(failure(&gateway.wait_for_end()), Some(Failure::Broken));
}

#[rstest]
#[case::kept(true, Failure::Stale)]
#[case::new(false, Failure::Broken)]
fn a_close_before_any_byte_is_stale_only_if_reused(#[case] kept: bool, #[case] expected: Failure) {
    let mut gateway = Gateway::new();
    let mut peer = if kept {
        let peer = gateway.exchange(RESPONSE);
        gateway.send();
        peer
    } else {
        gateway.send();
        gateway.accept()
    };
    gateway.request(&mut peer);
    drop(peer);
    assert_eq!(failure(&gateway.wait_for_end()), Some(expected));
}

#[test]
fn a_refused_connection_is_a_connect_failure() {
    let mut gateway = Gateway::new();
    let (closed, address) = listen();
    drop(closed);
    gateway.server = address;
    gateway.send();
    assert_eq!(failure(&gateway.wait_for_end()), Some(Failure::Connect));
}

#[test]
fn a_connect_timeout_sends_nothing() {
    let mut gateway = Gateway::new();
    gateway.send();
    assert_eq!(gateway.upstreams.next_deadline(), Some(gateway.now + CONNECT_TIMEOUT_MS));
    gateway.upstreams.expire(&mut gateway.network, gateway.now + CONNECT_TIMEOUT_MS - 1, &mut gateway.events);
    assert!(gateway.events.is_empty());
    gateway.upstreams.expire(&mut gateway.network, gateway.now + CONNECT_TIMEOUT_MS, &mut gateway.events);
    assert_eq!(failure(&gateway.events), Some(Failure::Connect));
    let mut peer = gateway.accept();
    gateway.wait_for_disconnect(&mut peer);
    assert!(peer.inbox.is_empty());
}

#[test]
fn a_cancelled_exchange_closes_its_connection() {
    let mut gateway = Gateway::new();
    let exchange = gateway.send();
    let mut peer = gateway.accept();
    gateway.request(&mut peer);
    gateway.upstreams.cancel(&mut gateway.network, exchange);
    gateway.wait_for_disconnect(&mut peer);
    assert!(gateway.events.is_empty());
    assert_eq!(gateway.upstreams.connections_to(&gateway.server), 0);
}

/// Sends requests with these ids in turn. `reused` is whether the last one may use the connection of the others.
#[rstest]
#[case::another(&["1", "2"], true)]
#[case::again_at_once(&["1", "1"], false)]
#[case::again_later(&["1", "2", "3", "1"], false)]
fn an_id_is_not_sent_twice_on_a_connection(#[case] ids: &[&str], #[case] reused: bool) {
    let mut gateway = Gateway::new();
    gateway.send_with(ids[0], REQUEST, "POST", false);
    let mut peer = gateway.accept();
    assert!(gateway.arrives_on(&mut peer));
    let (last, others) = ids[1..].split_last().unwrap();
    for id in others {
        gateway.send_with(id, REQUEST, "POST", false);
        assert!(gateway.arrives_on(&mut peer));
    }
    gateway.send_with(last, REQUEST, "POST", false);
    assert_eq!(gateway.arrives_on(&mut peer), reused);
}

/// A response to another request must not be taken for one to this request, least of all "not executed".
#[rstest]
#[case::rejection("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::other_instance("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")]
#[case::error("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")]
#[case::success("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")]
fn a_response_without_the_id_on_a_reused_connection_is_broken(#[case] response: &str) {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    gateway.send();
    gateway.request(&mut peer);
    peer.send(response);
    let events = gateway.wait_for_end();
    assert_eq!((status(&events), failure(&events)), (None, Some(Failure::Broken)));
    gateway.wait_for_disconnect(&mut peer);
}

/// The second response to the first request is still in transit when the next request is sent.
#[test]
fn a_late_duplicate_response_in_place_of_the_next_one_is_broken() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    gateway.send();
    gateway.request(&mut peer);
    peer.send(RESPONSE);
    peer.send(&gateway.with_latest_id(RESPONSE));
    let events = gateway.wait_for_end();
    assert_eq!((status(&events), failure(&events)), (None, Some(Failure::Broken)));
    gateway.wait_for_disconnect(&mut peer);
}

/// More than the buffers of two sockets hold.
const LONG_BODY: usize = 64 << 20;

/// The server responds before it has read the body, and reads on later: no other bytes may arrive in place of the body.
#[test]
fn after_an_early_response_no_other_bytes_follow_the_body() {
    let mut gateway = Gateway::new();
    let long = REQUEST.replace("\r\n\r\n", &format!("\r\nContent-Length: {LONG_BODY}\r\n\r\n"));
    let head_length = long.len();
    gateway.send_with(ID, &(long + &"x".repeat(LONG_BODY)), "POST", false);
    let mut early = gateway.accept();
    while early.inbox.len() < head_length {
        gateway.turn();
        early.receive();
    }
    early.send(RESPONSE);
    assert!(matches!(gateway.wait_for_end().last(), Some(UpstreamEvent::Complete { .. })));
    gateway.send();
    let mut next = gateway.accept();
    gateway.request(&mut next);
    gateway.wait_for_disconnect(&mut early);
    assert!(
        early.inbox.len() < head_length + LONG_BODY,
        "the gateway did not wait to send the rest of the body"
    );
    assert!(early.inbox[head_length..].iter().all(|byte| *byte == b'x'));
}

#[test]
fn a_reused_connection_that_ends_after_an_informational_response_is_broken() {
    let mut gateway = Gateway::new();
    let mut peer = gateway.exchange(RESPONSE);
    gateway.send();
    gateway.request(&mut peer);
    peer.send("HTTP/1.1 100 Continue\r\n\r\n");
    for _ in 0..20 {
        gateway.turn();
    }
    drop(peer);
    assert_eq!(failure(&gateway.wait_for_end()), Some(Failure::Broken));
}

/// The response is sent twice, in two parts split at any position. The next request never gets the bytes left over.
#[test]
fn a_duplicated_response_never_reaches_the_next_request() {
    let twice = RESPONSE.repeat(2);
    for position in (1..twice.len()).step_by(3) {
        let mut gateway = Gateway::new();
        gateway.send();
        let mut peer = gateway.accept();
        gateway.request(&mut peer);
        peer.send(&twice[..position]);
        (0..3).for_each(|_| gateway.turn());
        if gateway.events.iter().any(|event| matches!(event, UpstreamEvent::Complete { .. })) {
            gateway.wait_for_end();
            let next = gateway.send();
            let _ = peer.try_send(&twice.as_bytes()[position..]);
            (0..3).for_each(|_| gateway.turn());
            let others = |event: &UpstreamEvent| !matches!(event, UpstreamEvent::Failed { .. });
            assert!(!gateway.events.iter().any(others), "{position}: {next:?} got {:?}", gateway.events);
        } else {
            peer.send(&twice[position..]);
            assert_eq!(body(&gateway.wait_for_end()), "bytes", "{position}");
            assert!(!gateway.reuses(&mut peer, false), "{position}");
        }
    }
}

/// A server may state any keep-alive timeout, even one that overflows the clock.
#[test]
fn a_huge_keep_alive_timeout_does_not_overflow() {
    let mut gateway = Gateway::new();
    let response = RESPONSE.replace("\r\n\r\n", "\r\nKeep-Alive: timeout=18446744073709552\r\n\r\n");
    let mut peer = gateway.exchange(&response);
    assert!(gateway.reuses(&mut peer, false));
}
