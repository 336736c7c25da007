//! Queries from their acceptance to their response.

use std::io::Read;
use std::time::Duration;

use serde_json::{Value, json};

use super::support::{Harness, Peer, TIMEOUT, body, head, settings};

#[test]
fn a_query_is_answered_with_the_values_of_its_replicas() {
    let harness = Harness::open("answered", 2);
    assert_eq!(harness.health(), 200);
    let mut client = harness.client();
    client.query("r1", "hold", &[0, 1], "2000m");
    for (n, value) in [(0, "5be2a07c19f04d63"), (1, "a\"b\\c")] {
        let mut replica = harness.replica(n);
        let call = replica.call();
        let words: Vec<&str> = call[0].split(' ').collect();
        assert_eq!(
            (call.len(), words[0], words[1], words[3]),
            (1, &*format!("r1.{n}"), &*n.to_string(), "8")
        );
        let (wait, key) = words[2].split_once(',').unwrap();
        let wait: u64 = wait.strip_prefix("d=").unwrap().parse().unwrap();
        assert!((1..=2000).contains(&wait) && key == "k=k-r1", "{call:?}");
        replica.answer(&call[0], "S", value);
    }
    let (status, _, body) = client.response();
    let items = json!([{"slice": 0, "body": "5be2a07c19f04d63"}, {"slice": 1, "body": "a\"b\\c"}]);
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!((status, body), (200, json!({"entire": true, "items": items})));
}

#[test]
fn a_request_sent_byte_by_byte_and_the_next_one_behind_it_are_both_served() {
    let harness = Harness::open("pieces", 1);
    let (mut client, text) = (harness.client(), body(&[0]));
    let (left, right) = text.split_at(9);
    let chunks = format!("{:x}\r\n{left}\r\n{:x};x=y\r\n{right}\r\n0\r\n\r\n", left.len(), right.len());
    let coded = format!("{}Transfer-Encoding: chunked\r\n\r\n{chunks}", head("r1", "look", "2000m"));
    for byte in coded.bytes() {
        client.send(&[byte]);
    }
    client.query("r2", "look", &[0], "2000m");
    let mut replica = harness.replica(0);
    for id in ["r1", "r2"] {
        let call = replica.call();
        assert!(call[0].starts_with(&format!("{id}.0 0 d=")), "{call:?}");
        replica.answer(&call[0], "S", id);
        assert!(client.response().2.contains(&format!("\"body\":\"{id}\"")));
    }
}

#[test]
fn shard_requests_for_one_replica_share_a_call_and_rounded_weights_sum_to_one() {
    let harness = Harness::open_with("call", 1, {
        let mut settings = settings(1);
        settings["extra"]["slices"] = json!(6);
        settings
    });
    let mut client = harness.client();
    client.query("r1", "look", &[0, 1, 2, 3, 4, 5], "2000m");
    let mut replica = harness.replica(0);
    let (first, second) = (replica.call(), replica.call());
    assert_eq!((first.len(), second.len()), (4, 2));
    // The values together are longer than one read.
    let value = "v".repeat(40_000);
    first.iter().chain(&second).for_each(|line| replica.answer(line, "S", &value));
    let body = client.response().2;
    assert!(body.contains("\"entire\":true") && body.len() > 240_000, "{} bytes", body.len());
    assert_eq!(harness.counter("links_opened"), 1);
}

#[test]
fn an_idempotent_shard_request_whose_connection_broke_is_retried() {
    let harness = Harness::open_pair("broken");
    let mut client = harness.client();
    client.query("r1", "look", &[0], "2500m");
    harness.replica(0).call();
    let mut replica = harness.replica(0);
    let call = replica.call();
    replica.answer(&call[0], "S", "v");
    assert_eq!(client.response().0, 200);
    assert_eq!(harness.counter("launches_broken"), 1);
}

#[test]
fn a_non_idempotent_query_expires_if_it_may_have_run_and_is_rejected_if_it_has_not() {
    let harness = Harness::open("effectful", 1);
    let mut client = harness.client();
    client.query("r1", "pay", &[0], "2500m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    replica.answer(&call[0], "E", "");
    assert_eq!(client.response().0, 504);
    drop(replica);

    let mut harness = Harness::open_with("refused", 1, {
        let mut settings = settings(1);
        settings["limits"]["retryAfter"] = json!(true);
        settings["limits"]["maxRetryAfterNs"] = json!(500_000_000);
        settings
    });
    let mut client = harness.client();
    let _refuses = harness.refuse_connections(0);
    client.query("r2", "pay", &[0], "600m");
    let (status, head, _) = client.response();
    assert!(status == 503 && head.contains("Retry-After: 0.5\r\n"), "{head}");
    assert!(harness.counter("launches_unreached") > 0);
}

#[test]
fn an_unanswered_attempt_times_out_and_is_cancelled_at_its_replica() {
    let harness = Harness::open("silent", 1);
    let mut client = harness.client();
    client.query("r1", "pay", &[0], "500m");
    let mut replica = harness.replica(0);
    replica.call();
    assert_eq!(client.response().0, 504);
    let cancelled = std::iter::repeat_with(|| replica.frame()).find(|(letter, _)| *letter == '2').unwrap();
    assert_eq!(cancelled.1, "r1.0");
}

#[test]
fn queries_beyond_the_cap_are_rejected() {
    let harness = Harness::open("cap", 1);
    // A query counts as two: itself and its shard request. Eight may be pending.
    let mut clients: Vec<Peer> = (0..5).map(|_| harness.client()).collect();
    for (n, client) in clients.iter_mut().enumerate().take(4) {
        client.query(&format!("r{n}"), "look", &[0], "5000m");
        assert!((0..1_000).any(|_| harness.counter("retrievals_taken") > n as u64));
    }
    clients[4].query("r4", "look", &[0], "5000m");
    assert_eq!((clients[4].response().0, harness.counter("retrievals_over_cap")), (503, 1));
    // Queries whose clients have disconnected are no longer pending, nor are their ids.
    clients.truncate(0);
    assert!((0..1_000).any(|_| harness.counter("lapsed") == 4));
    let mut clients: Vec<Peer> = (0..4).map(|_| harness.client()).collect();
    clients.iter_mut().enumerate().for_each(|(n, c)| c.query(&format!("r{n}"), "look", &[0], "300m"));
    clients.iter_mut().for_each(|client| assert_eq!(client.response().0, 503));
    assert_eq!((harness.counter("retrievals_taken"), harness.counter("retrievals_over_cap")), (8, 1));
}

#[test]
fn a_response_that_has_arrived_when_its_query_expires_is_used() {
    // If the node was woken by a health check or a round between the stop signal and its effect, it would continue with
    // that event alone. It is therefore woken rarely, and paused just after a wakeup.
    let harness = Harness::open_with("answer-at-end", 1, {
        let mut settings = settings(1);
        settings["limits"]["probes"] = json!(false);
        settings["resolutionNs"] = json!(100_000_000);
        settings
    });
    let mut client = harness.client();
    // Long enough for the node to be paused before the deadline even on a busy machine.
    client.query("r1", "pay", &[0], "2500m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    harness.wait_for_wakeup();
    // After the pause, the node finds the response and the expired deadline in the same round.
    harness.pause();
    replica.answer(&call[0], "S", "v");
    client.stream.set_read_timeout(Some(Duration::from_millis(2_600))).unwrap();
    assert!(client.stream.read(&mut [0]).is_err(), "the node is paused");
    client.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    harness.resume();
    assert_eq!(client.response().0, 200);
}
