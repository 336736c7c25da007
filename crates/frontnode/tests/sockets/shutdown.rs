//! The graceful shutdown.

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use serde_json::json;

use super::support::{Harness, Peer, TIMEOUT, listener, settings};

#[test]
fn a_node_that_shuts_down_answers_all_accepted_queries_and_exits_with_success() {
    let harness = Harness::open("stop", 1);
    let (mut client, mut idle) = (harness.client(), harness.client());
    client.query("r1", "look", &[0], "2500m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    harness.signal("TERM");
    // Idle connections are closed, which also shows that the signal was received.
    assert!(!idle.read_more());
    assert_eq!(harness.health(), 503);
    let mut late = harness.client();
    late.query("r2", "look", &[0], "2500m");
    let call = [call, replica.call()].concat();
    for (line, client) in call.iter().zip([&mut client, &mut late]) {
        replica.answer(line, "S", "v");
        let (status, head, _) = client.response();
        assert!(status == 200 && head.contains("Connection: close"), "{head}");
        assert!(!client.read_more());
    }
    let (log, code) = harness.end();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("stopped; ") && log.contains("answers_whole=2"), "{log}");
}

#[test]
fn queries_after_the_stop_signal_are_answered_before_the_kill() {
    let harness = Harness::open("stop-late", 1);
    let mut idle = harness.client();
    assert_eq!(harness.health(), 200);
    let gauge = || {
        let mut client = harness.client();
        client.send(b"GET /metrics HTTP/1.1\r\n\r\n");
        let text = client.response().2;
        let line = text.lines().find(|l| l.starts_with("orchidvalve_deadlines_set ")).unwrap().to_owned();
        line.rsplit(' ').next().unwrap().parse::<u64>().unwrap()
    };
    harness.signal("TERM");
    assert!(!idle.read_more());
    let before = gauge();
    // Repeated stop signals have no effect, and a new configuration changes nothing.
    for _ in 0..5 {
        harness.signal("TERM");
        harness.signal("HUP");
        assert_eq!(harness.health(), 503);
    }
    assert!(gauge() <= before + 1, "{} deadlines, {before} before", gauge());
    let (mut pure, mut paid) = (harness.client(), harness.client());
    pure.query("r1", "look", &[0], "60000m");
    paid.query("r2", "pay", &[0], "60000m");
    let mut replica = harness.replica(0);
    // The replica receives the remaining time: three seconds, the longest deadline, plus 0.7 s, less a margin.
    let call = replica.call();
    let wait = call[0].split("d=").nth(1).unwrap().split([',', ' ']).next().unwrap();
    assert!(wait.parse::<u64>().unwrap() <= 3_600, "{call:?}");
    assert_eq!((pure.response().0, paid.response().0), (503, 504));
    let (log, code) = harness.end();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn a_node_that_shuts_down_before_its_first_list_rejects_accepted_queries() {
    let harness = Harness::begin("", "stop-unlisted", vec![listener()], json!([]), settings(1));
    let (mut client, mut idle) = (harness.client(), harness.client());
    client.query("r1", "look", &[0], "60000m");
    assert!((0..10_000).any(|_| harness.counter("retrievals_taken") == 1));
    harness.signal("TERM");
    assert!(!idle.read_more());
    assert_eq!(client.response().0, 503);
    let (log, code) = harness.end();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn overlapping_connections_do_not_keep_a_node_from_stopping() {
    let harness = Harness::open("stop-crowd", 1);
    let started = Instant::now();
    harness.signal("TERM");
    // At any time one connection is open: each is opened and answered before the previous one is closed.
    let mut open = harness.client();
    while let Ok(stream) = TcpStream::connect(harness.node) {
        let mut next = Peer::new(stream);
        if next.stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n").is_err() || !next.read_more() {
            break;
        }
        open = next;
        assert!(started.elapsed() < TIMEOUT, "the node does not stop");
    }
    drop(open);
    let (log, code) = harness.end();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn queries_before_the_stop_signal_keep_their_deadlines() {
    let harness = Harness::open("stop-own-time", 2);
    let (mut early, mut idle) = (harness.client(), harness.client());
    early.query("r1", "look", &[0], "60000m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    harness.signal("TERM");
    assert!(!idle.read_more());
    let mut late = harness.client();
    late.query("r2", "look", &[1], "60000m");
    harness.replica(1).call();
    // Later queries end before the node may be killed; earlier ones may run longer if it is not killed.
    assert_eq!(late.response().0, 503);
    replica.answer(&call[0], "S", "v");
    assert_eq!(early.response().0, 200);
    let (log, code) = harness.end();
    assert_eq!(code, Some(0), "{log}");
}
