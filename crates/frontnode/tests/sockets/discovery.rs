//! The watch at discovery and the effects of its endpoint lists.

use std::net::TcpListener;

use serde_json::json;
use socket2::SockRef;

use super::support::{
    Harness, Peer, TIMEOUT, listener, member, send_list, send_list_at, settings_with_long_timeouts,
};

#[test]
fn a_draining_replica_gets_no_new_attempts_and_a_moved_one_is_found() {
    let harness = Harness::open("drain", 1);
    let mut agent = Peer::new(harness.agent.accept().unwrap().0);
    let address = harness.replicas[0].local_addr().unwrap();
    let list = |revision: u64, address, phase| json!({"revision": revision, "complete": false, "members": [member(0, address, phase)]});
    send_list(&mut agent, 1, &list(2, address, "draining"));
    // The next watch shows that the last list was accepted; after an invalid one the list stays in use.
    send_list(&mut agent, 2, &json!({"revision": 3, "members": [{"id": "s-0"}]}));
    let mut agent = Peer::new(harness.agent.accept().unwrap().0);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "300m");
    assert_eq!(client.response().0, 503);
    assert_eq!((harness.counter("launches"), harness.counter("bad_rosters")), (0, 1));
    // The replica returns at another address and then moves again, while the previous connection stays open.
    let mut kept = Vec::new();
    for (from, id) in [(2, "r2"), (4, "r3")] {
        let moved = listener();
        send_list(&mut agent, from, &list(from + 2, moved.local_addr().unwrap(), "up"));
        assert!(agent.read_more());
        client.query(id, "look", &[0], "2000m");
        let mut replica = Peer::new(moved.accept().unwrap().0);
        let call = replica.call();
        replica.answer(&call[0], "S", "v");
        assert_eq!(client.response().0, 200);
        kept.push(replica);
    }
}

#[test]
fn a_new_discovery_agent_is_queried_for_the_complete_list_and_pending_queries_continue() {
    let mut harness = Harness::open("reload", 2);
    let mut old = Peer::new(harness.agent.accept().unwrap().0);
    let mut client = harness.client();
    client.query("r1", "pay", &[0], "5000m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    // An invalid configuration changes nothing, whatever is wrong with it.
    for (n, text) in ["{", "{\"name\": \"n1\", \"listen\": \"here\"}"].iter().enumerate() {
        std::fs::write(&harness.path, text).unwrap();
        harness.signal("HUP");
        assert!((0..10_000).any(|_| harness.counter("bad_reloads") == n as u64 + 1));
    }
    for revision in [9, 1] {
        let agent = listener();
        harness.config["discovery"] = json!(agent.local_addr().unwrap().to_string());
        std::fs::write(&harness.path, harness.config.to_string()).unwrap();
        harness.signal("HUP");
        let mut agent = Peer::new(agent.accept().unwrap().0);
        // The revisions of the new agent are independent, and replicas that its list does not contain are removed.
        let members = [member(0, harness.replicas[0].local_addr().unwrap(), "up")];
        send_list_at(
            &mut agent,
            " HTTP",
            &json!({"revision": revision, "complete": true, "members": members}),
        );
        send_list(&mut agent, revision, &json!({"revision": revision, "complete": false, "members": []}));
        while old.read_more() {}
        old = agent;
    }
    let mut other = harness.client();
    other.query("r2", "look", &[1], "300m");
    assert_eq!(other.response().0, 503);
    replica.answer(&call[0], "S", "v");
    assert_eq!(client.response().0, 200);
    assert_eq!((harness.counter("retrievals_taken"), harness.counter("reloads")), (2, 2));
}

#[test]
fn a_watch_that_is_closed_in_any_way_is_reopened_immediately() {
    let harness = Harness::open_with("watch-closed", 1, settings_with_long_timeouts());
    // Changes missed by a lost watch count from that moment, so the test waits for no other timeout.
    for (n, list) in
        [&b""[..], b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\"", b"nonsense\r\n\r\n"]
            .iter()
            .enumerate()
    {
        let mut agent = Peer::new(harness.agent.accept().unwrap().0);
        let mut received = String::new();
        while !received.ends_with("\r\n\r\n") {
            received.push(agent.take(1)[0] as char);
        }
        assert!(received.contains("?from=1&hold_ms="), "{n}: {received}");
        agent.send(list);
    }
    let mut agent = Peer::new(harness.agent.accept().unwrap().0);
    let address = harness.replicas[0].local_addr().unwrap();
    harness.move_replica(&mut agent, 1, address, "draining");
    let mut client = harness.client();
    client.query("r1", "look", &[0], "300m");
    assert_eq!((client.response().0, harness.counter("launches")), (503, 0));
}

/// The list of a broken response is not used, and the watch is reopened on a new connection from the revision before it.
#[test]
fn a_list_in_a_broken_response_is_not_used() {
    const LIST: &str = r#"{"revision":9,"complete":true,"members":[]}"#;
    let (length, chunk) = (LIST.len(), format!("{:x}\r\n{LIST}\r\n0\r\n", LIST.len()));
    let broken = [
        format!("HTTP/1.1 000 OK\r\nContent-Length: {length}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\n{LIST}: v\r\n\r\n{LIST}"),
        format!("HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: {length}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}Na me: v\r\n\r\n"),
    ];
    for (n, response) in broken.iter().enumerate() {
        let harness = Harness::open_with(&format!("broken-list-{n}"), 1, settings_with_long_timeouts());
        for response in [Some(response), None] {
            let mut agent = Peer::new(harness.agent.accept().unwrap().0);
            let mut received = String::new();
            while !received.ends_with("\r\n\r\n") {
                received.push(agent.take(1)[0] as char);
            }
            assert!(received.contains("?from=1&hold_ms="), "{n}: {received}");
            response.into_iter().for_each(|response| agent.send(response.as_bytes()));
        }
    }
}

#[test]
fn a_new_discovery_agent_that_is_unresponsive_or_trickles_is_queried_again() {
    let mut harness = Harness::open_with("agent-silent", 1, settings_with_long_timeouts());
    let _old = harness.agent.accept().unwrap();
    let agent = listener();
    harness.config["discovery"] = json!(agent.local_addr().unwrap().to_string());
    std::fs::write(&harness.path, harness.config.to_string()).unwrap();
    harness.signal("HUP");
    let _silent = agent.accept().unwrap();
    let mut trickles = Peer::new(agent.accept().unwrap().0);
    trickles.send(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{");
    let mut last = Peer::new(agent.accept().unwrap().0);
    send_list_at(&mut last, " HTTP", &json!({"revision": 7, "complete": true, "members": []}));
    assert!(last.read_more());
    assert_eq!(harness.health(), 200);
    assert_eq!(harness.counter("roster_misses"), 2);
}

#[test]
fn a_query_that_arrives_with_the_draining_of_its_replica_is_not_sent_there() {
    let harness = Harness::open("drain-at-once", 1);
    let mut agent = Peer::new(harness.agent.accept().unwrap().0);
    let address = harness.replicas[0].local_addr().unwrap();
    let mut client = harness.client();
    client.send(b"GET /_health HTTP/1.1\r\n\r\n");
    assert_eq!(client.response().0, 200);
    harness.pause();
    client.query("r1", "look", &[0], "300m");
    send_list(
        &mut agent,
        1,
        &json!({"revision": 2, "complete": false, "members": [member(0, address, "draining")]}),
    );
    harness.resume();
    assert_eq!((client.response().0, harness.counter("launches")), (503, 0));
}

#[test]
fn discovery_that_was_down_is_queried_again_once_it_is_back() {
    let mut harness = Harness::open_with("agent-down", 1, settings_with_long_timeouts());
    let address = harness.agent.local_addr().unwrap();
    let agent = Peer::new(harness.agent.accept().unwrap().0);
    // Nothing listens at the address any more: the watch breaks, and the next connections are refused.
    harness.agent = listener();
    drop(agent);
    assert!((0..10_000).any(|_| harness.counter("roster_misses") >= 3));
    let back = TcpListener::bind(address).unwrap();
    SockRef::from(&back).set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut agent = Peer::new(back.accept().unwrap().0);
    let replica = harness.replicas[0].local_addr().unwrap();
    harness.move_replica(&mut agent, 1, replica, "draining");
    let mut client = harness.client();
    client.query("r1", "look", &[0], "300m");
    assert_eq!((client.response().0, harness.counter("launches")), (503, 0));
}
