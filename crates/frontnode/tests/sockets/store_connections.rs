//! Connections to replicas.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

use super::support::{
    Harness, Peer, TIMEOUT, body, head, lines, listener, member, open_wide, send_list, settings,
};

#[test]
fn a_connection_to_a_vanished_machine_is_not_used_again() {
    let harness = Harness::open("open-end", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "2500m");
    let mut silent = harness.replica(0);
    silent.call();
    assert_eq!(silent.frame().0, '4');
    drop(client);
    // This health check stays unanswered; the next one and all other requests use another connection.
    let mut other_connection = harness.replica(0);
    let mut other = harness.client();
    other.query("r2", "look", &[0], "2500m");
    let call = other_connection.answer_health_checks_until_call();
    assert!(call.starts_with("r2.0 "), "{call}");
    other_connection.answer(&call, "S", "v");
    assert_eq!(other.response().0, 200);
}

/// Returns a listener with a full queue: new connections are not established until the queued one is accepted.
fn full_listener() -> (Socket, SocketAddr, TcpStream) {
    let full_listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    full_listener.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    full_listener.listen(0).unwrap();
    full_listener.set_read_timeout(Some(TIMEOUT)).unwrap();
    let address = full_listener.local_addr().unwrap().as_socket().unwrap();
    let waiting = TcpStream::connect(address).unwrap();
    (full_listener, address, waiting)
}

#[test]
fn attempts_on_a_connection_that_is_never_established_count_as_not_executed() {
    let harness = Harness::open("never-up", 1);
    let (_full, address, _waits) = full_listener();
    let mut agent = Peer::new(harness.agent.accept().unwrap().0);
    harness.move_replica(&mut agent, 1, address, "up");
    let mut client = harness.client();
    client.query("r1", "pay", &[0], "1500m");
    assert_eq!(client.response().0, 503);
    assert!(harness.counter("launches_unreached") > 0 && harness.counter("launches_written") == 0);
}

#[test]
fn an_attempt_that_waits_for_a_connection_is_not_sent_late() {
    for drains in [false, true] {
        let harness = Harness::open_with(&format!("late-{drains}"), 1, {
            let mut settings = settings(1);
            settings["limits"]["connectTimeoutNs"] = json!(10_000_000_000u64);
            // Without cancellation the aggregator cancels no attempts.
            settings["limits"]["cancel"] = json!(false);
            settings
        });
        let (full_listener, address, waiting) = full_listener();
        let mut agent = Peer::new(harness.agent.accept().unwrap().0);
        harness.move_replica(&mut agent, 1, address, "up");
        let mut client = harness.client();
        client.query("r1", "look", &[0], "9000m");
        assert!((0..1_000).any(|_| harness.counter("launches") == 1));
        if drains {
            harness.move_replica(&mut agent, 2, address, "draining");
            harness.move_replica(&mut agent, 3, address, "up");
        } else {
            drop(client);
        }
        assert!((0..1_000).any(|_| harness.counter("launches_unsent") == 1));
        drop((full_listener.accept().unwrap(), waiting));
        let mut client = harness.client();
        client.query("r2", "look", &[0], "9000m");
        let mut replica = Peer::new(full_listener.accept().unwrap().0.into());
        let mut call = replica.answer_health_checks_until_call();
        // A shard request dropped from its draining replica may be attempted again; it is not sent twice.
        if call.starts_with("r1.0 ") {
            assert!(drains);
            call = replica.answer_health_checks_until_call();
        }
        assert!(call.starts_with("r2.0 "), "{call}");
    }
}

#[test]
fn an_idle_connection_is_closed_before_its_server_closes_it() {
    let harness = Harness::open_with("idle", 1, {
        let mut settings = settings(1);
        settings["limits"]["connIdleNs"] = json!(2_000_000_000);
        settings["limits"]["connectTimeoutNs"] = json!(1_000_000_000);
        settings
    });
    let (mut client, started) = (harness.client(), Instant::now());
    client.query("r1", "look", &[0], "2500m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    replica.answer(&call[0], "S", "v");
    assert!(!replica.read_more());
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!((harness.counter("links_idle"), harness.counter("links_broken")), (1, 0));
}

#[test]
fn a_replica_that_violates_the_protocol_loses_only_its_connection() {
    let harness = Harness::open("nonsense", 2);
    for (n, nonsense) in ["9what", "5r0.0 Q 1 -\nv", "5no end of line", "Xwhat was that"].iter().enumerate() {
        let mut client = harness.client();
        client.query(&format!("r{n}"), "pay", &[0], "5000m");
        let mut replica = harness.replica(0);
        replica.answer_health_checks_until_call();
        replica.send_frame(nonsense);
        assert_eq!(client.response().0, 504, "{nonsense}");
    }
    assert_eq!(harness.counter("bad_frames"), 4);
    assert_eq!(harness.health(), 200);
}

#[test]
fn a_corrupted_response_that_is_not_detected_at_once_delays_nothing() {
    // The cases are an id that was never in flight, and incomplete frames.
    for (n, corrupted) in
        [&b"\0\0\0\x105other.0 S 7 -\nv"[..], b"\0\0\0\x50", b"\0\0\0\xff5r2"].iter().enumerate()
    {
        let harness = Harness::open(&format!("spoilt-{n}"), 1);
        let mut client = harness.client();
        client.query("r1", "pay", &[0], "9000m");
        let mut replica = harness.replica(0);
        replica.call();
        replica.send(corrupted);
        assert_eq!((client.response().0, harness.counter("launches_spoilt")), (504, 1));
    }
    let harness = Harness::open("spoilt", 1);
    // Leftover bytes with nothing in flight are not read as the beginning of the next response.
    for n in 3..6 {
        let mut client = harness.client();
        client.query(&format!("r{n}"), "look", &[0], "9000m");
        let mut replica = harness.replica(0);
        let call = replica.answer_health_checks_until_call();
        let id = call.split(' ').next().unwrap();
        let good = format!("5{id} S 7 %% =,=\nv{n}");
        let good = [&(good.len() as u32).to_be_bytes(), good.as_bytes(), &[0, 0, 1]].concat();
        replica.send(&good);
        assert!(client.response().2.contains(&format!("v{n}")));
    }
    assert_eq!(harness.counter("launches_spoilt"), 0);
}

#[test]
fn attempts_on_an_unresponsive_connection_end_once_the_replica_answers_on_another() {
    let harness = Harness::open("silent-link", 1);
    let mut client = harness.client();
    client.query("r1", "pay", &[0], "9000m");
    let mut silent = harness.replica(0);
    silent.call();
    let mut other_connection = harness.replica(0);
    assert_eq!(other_connection.frame().0, '4');
    other_connection.send_frame("4waiting=0,rps=9");
    // The node notices immediately, not at the client's deadline.
    assert_eq!(client.response().0, 504);
    assert_eq!((harness.counter("links_silent"), harness.counter("launches_spoilt")), (1, 1));
    assert_eq!(silent.frame().0, '4');
    assert!(!silent.read_more());
    client.query("r2", "look", &[0], "9000m");
    let call = other_connection.answer_health_checks_until_call();
    other_connection.answer(&call, "S", "v");
    assert_eq!(client.response().0, 200);
}

#[test]
fn a_connection_that_answers_health_checks_is_kept_while_a_shard_request_is_slow() {
    let harness = Harness::open("slow-part", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "9000m");
    let mut slow = harness.replica(0);
    let call = slow.call();
    let mut other_connection = harness.replica(0);
    for _ in 0..2 {
        for link in [&mut slow, &mut other_connection] {
            assert_eq!(link.frame().0, '4');
            link.send_frame("4waiting=9,rps=9");
        }
    }
    slow.answer(&call[0], "S", "v");
    assert_eq!(client.response().0, 200);
    assert_eq!((harness.counter("links_silent"), harness.counter("launches")), (0, 1));
}

#[test]
fn a_duplicate_response_is_ignored() {
    let harness = Harness::open("second-copy", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "9000m");
    let mut replica = harness.replica(0);
    let first = replica.call();
    replica.answer(&first[0], "S", "v1");
    assert_eq!(client.response().0, 200);
    client.query("r2", "look", &[0], "9000m");
    let second = replica.call();
    replica.answer(&first[0], "S", "v1");
    replica.answer(&second[0], "S", "v2");
    assert!(client.response().2.contains("v2"));
    assert_eq!((harness.counter("links_opened"), harness.counter("late_answers")), (1, 1));
}

#[test]
fn a_connection_that_breaks_within_a_response_leaves_attempts_that_may_have_run() {
    let harness = Harness::open("half-answer", 1);
    for n in 0..2 {
        let mut client = harness.client();
        client.query(&format!("r{n}"), "pay", &[0], "60000m");
        let mut replica = harness.replica(0);
        let call = replica.answer_health_checks_until_call();
        let answer = format!("5{} S 7 -\nvalue", call.split(' ').next().unwrap());
        let whole = [&(answer.len() as u32).to_be_bytes(), answer.as_bytes()].concat();
        replica.send(&whole[..whole.len() - 2]);
        if n == 1 {
            // A linger time of zero makes the close a reset.
            SockRef::from(&replica.stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(replica);
        assert_eq!(client.response().0, 504);
    }
    assert_eq!(harness.counter("launches_broken"), 2);
}

#[test]
fn cancelling_a_query_whose_frame_is_half_written_corrupts_no_other_frame() {
    let harness = open_wide("half-frame", 64);
    SockRef::from(&harness.replicas[0]).set_recv_buffer_size(4096).unwrap();
    let mut client = harness.client();
    let body = body(&(0..60).collect::<Vec<_>>()).replace("c41e77d0", &"c".repeat(50 << 10));
    let head = head("r1", "look", "60000m");
    client.send(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
    let mut replica = harness.replica(0);
    // The replica does not read, so one frame is partly written and the others wait behind it.
    assert!((0..1_000).any(|_| harness.counter("launches") == 60));
    drop(client);
    assert!((0..1_000).any(|_| harness.counter("lapsed") == 1));
    let (mut called, mut cancelled) = (Vec::new(), Vec::new());
    while called.is_empty() || called.len() > cancelled.len() {
        match replica.frame() {
            ('1', rest) => {
                called.extend(lines(&rest).iter().map(|l| l.split(' ').next().unwrap().to_owned()));
            }
            ('2', rest) => cancelled.push(rest),
            (letter, rest) => panic!("{letter}{rest}"),
        }
    }
    let written = harness.counter("launches_written") as usize;
    harness.signal("TERM");
    assert!(
        replica.inbox.is_empty() && !replica.read_more(),
        "more than one cancellation per call was received"
    );
    // Frames that were begun arrived completely, each followed by a cancellation; the others were never sent.
    assert!(called.len() < 60, "all frames were written");
    assert_eq!(called.len(), written);
    called.sort();
    cancelled.sort();
    assert_eq!(called, cancelled);
}

#[test]
fn an_attempt_that_waits_past_its_idempotency_window_is_not_sent() {
    let mut settings = settings(2);
    settings["extra"]["reach"] = json!(2);
    settings["classes"][1]["windowNs"] = json!(800_000_000);
    settings["limits"]["probes"] = json!(false);
    settings["limits"]["connectTimeoutNs"] = json!(60_000_000_000u64);
    let at = |address: SocketAddr| -> Value { (0..2).map(|n| member(n, address, "up")).collect() };
    let replicas = vec![listener()];
    let known = at(replicas[0].local_addr().unwrap());
    let harness = Harness::begin("", "window", replicas, known, settings);
    let mut agent = Peer::new(harness.agent.accept().unwrap().0);
    let mut client = harness.client();
    // The deadline is longer than any timeout of this test.
    client.query("r1", "hold", &[0], "60000m");
    let mut replica = harness.replica(0);
    replica.call();
    // Both replicas move to an address where no connection is established, and the connection to the old one breaks.
    let (full_listener, address, waiting) = full_listener();
    send_list(&mut agent, 1, &json!({"revision": 2, "complete": false, "members": at(address)}));
    assert!(agent.read_more());
    drop(replica);
    assert_eq!(client.response().0, 504);
    assert_eq!((harness.counter("launches_broken"), harness.counter("launches_unsent")), (1, 1));
    drop((full_listener.accept().unwrap(), waiting));
    client.query("r2", "look", &[0], "9000m");
    let mut moved = Peer::new(full_listener.accept().unwrap().0.into());
    let call = moved.call();
    assert!(call[0].starts_with("r2.0 "), "{call:?}");
}
