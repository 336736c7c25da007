//! Client connections.

use std::time::{Duration, Instant};

use serde_json::json;
use socket2::SockRef;

use super::support::{Harness, METRICS_REQUEST, Peer, head, open_wide, request, settings};

#[test]
fn the_attempts_of_a_disconnected_client_are_cancelled_and_its_slot_is_reused() {
    let harness = Harness::open("gone", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "2500m");
    let mut replica = harness.replica(0);
    let first = replica.call();
    drop(client);
    assert_eq!(replica.frame(), ('2', "r1.0".to_owned()));
    let mut client = harness.client();
    client.query("r2", "look", &[0], "2500m");
    let second = replica.call();
    // The late response does not go to the client that uses the slot now.
    replica.answer(&first[0], "S", "late");
    replica.answer(&second[0], "S", "fresh");
    assert!(client.response().2.contains("fresh"));
    assert_eq!((harness.counter("lapsed"), harness.counter("late_answers")), (1, 1));
}

#[test]
fn many_idle_clients_block_no_new_client_and_evict_none_with_a_pending_request() {
    // The limit is first the node's own, then the system's.
    for (test_name, prefix) in [("crowd", ""), ("descriptors", "ulimit -n 24; ")] {
        let mut settings = settings(1);
        settings["limits"]["openCap"] = json!(100);
        let harness = Harness::open_under(prefix, test_name, 1, settings);
        let mut waiting = harness.client();
        waiting.query("r1", "look", &[0], "5000m");
        let mut replica = harness.replica(0);
        let call = replica.call();
        let crowd: Vec<Peer> = (0..100).map(|_| harness.client()).collect();
        assert_eq!(harness.health(), 200, "{test_name}");
        assert!(harness.counter("clients_evicted") > 0, "{test_name}");
        replica.answer(&call[0], "S", "v");
        assert_eq!(waiting.response().0, 200, "{test_name}");
        drop(crowd);
    }
}

#[test]
fn bad_requests_get_a_specific_error_and_do_not_affect_other_clients() {
    let harness = Harness::open("bad", 2);
    let mut open = harness.client();
    open.query("open", "look", &[0], "5000m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    let good = request("r1", "look", &[0, 1], "500m");
    let with = |from: &str, to: &str| good.replace(from, to);
    let sized =
        |body: &str| format!("{}Content-Length: {}\r\n\r\n{body}", head("r1", "look", "9m"), body.len());
    let slices = |slices: &str| sized(&format!("{{\"slices\":{slices}}}"));
    let cases = [
        (400, "head", "NONSENSE\r\n\r\n".to_owned()),
        (404, "nothing", with("/api", "/elsewhere")),
        (405, "method", with("POST", "PUT")),
        (400, "Request-Id", with("Request-Id: r1", "Request-Id: r 1")),
        (400, "Request-Id", with("Request-Id: r1", "Request-Id: r,1")),
        (400, "Request-Id", with("Request-Id", "Other")),
        (409, "Request-Id", with("Request-Id: r1", "Request-Id: open")),
        (400, "Request-Class", with("look", "loot")),
        (400, "Tenant", with("acme", "nobody")),
        (400, "Request-Timeout", with("500m", "500")),
        (400, "Request-Timeout", with("500m", "0m")),
        (400, "Request-Timeout", with("500m", "99999999999999999999m")),
        (400, "Idempotency-Key", with("look", "hold").replace("Idempotency-Key", "Other")),
        (400, "length", with("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: ")),
        (400, "length", with("Content-Length: ", "Content-Length: -")),
        (400, "length", with("Content-Length: ", "Content-Length: 1\r\nContent-Length: ")),
        (400, "length", with("Content-Length: ", "Content-Length: 74\r\nContent-Length: ")),
        (400, "Request-Id", with("Request-Id: r1", "Request-Id: r1\r\nrequest-id: r2")),
        (413, "large", with("Content-Length: ", "Content-Length: 99999")),
        (
            413,
            "large",
            format!("{}Transfer-Encoding: chunked\r\n\r\nfffffffffffffff0\r\n", head("r1", "look", "9m")),
        ),
        (400, "chunk", format!("{}Transfer-Encoding: chunked\r\n\r\nxyz\r\n", head("r1", "look", "9m"))),
        (431, "large", format!("GET / HTTP/1.1\r\nLong: {}", "x".repeat(20_000))),
        (400, "body", sized("{\"slices\":")),
        (400, "body.slices", sized("{}")),
        (400, "body.slices", slices("[]")),
        (400, "body.slices[0].slice", slices("[{\"slice\":2,\"mass\":1}]")),
        (400, "body.slices[1].slice", slices("[{\"slice\":1,\"mass\":1},{\"slice\":1,\"mass\":1}]")),
        (400, "body.slices[0].mass", slices("[{\"slice\":1,\"mass\":0}]")),
        (400, "body.slices[0].mass", slices("[{\"slice\":1,\"mass\":1.5}]")),
        (400, "body.slices", slices("[{\"slice\":0,\"mass\":0.5},{\"slice\":1,\"mass\":0.4}]")),
        (400, "body.slices", slices("[{\"slice\":0,\"mass\":0.7},{\"slice\":1,\"mass\":0.7}]")),
        (400, "body.filter", slices("[{\"slice\":1,\"mass\":1}]")),
    ];
    for (status, named, request) in cases {
        let mut client = harness.client();
        client.send(request.as_bytes());
        let (found, _, body) = client.response();
        assert!(found == status && body.contains(named), "{request}\n{found} {body}");
    }
    assert_eq!(harness.counter("retrievals_taken"), 1);
    replica.answer(&call[0], "S", "v");
    assert_eq!(open.response().0, 200);
}

#[test]
fn a_client_with_an_incomplete_request_gets_408_in_time_and_one_that_waits_does_not() {
    let harness = Harness::open("slow-clients", 1);
    let started = Instant::now();
    let mut waiting = harness.client();
    waiting.query("r1", "look", &[0], "9000m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    let whole = request("r2", "look", &[0], "9000m");
    let (mut silent, mut head, mut body) = (harness.client(), harness.client(), harness.client());
    head.send(&whole.as_bytes()[..40]);
    body.send(&whole.as_bytes()[..whole.len() - 1]);
    assert!(!silent.read_more());
    for half in [&mut head, &mut body] {
        assert_eq!(half.response().0, 408);
        assert!(!half.read_more());
    }
    assert!(started.elapsed() < Duration::from_secs(3));
    replica.answer(&call[0], "S", "v");
    assert_eq!(waiting.response().0, 200);
    assert_eq!((harness.counter("retrievals_taken"), harness.counter("bad_requests")), (1, 2));
    waiting.send(b"GET /_health HTTP/1.1\r\n\r\n");
    assert_eq!(waiting.response().0, 200);
}

#[test]
fn clients_that_have_sent_nothing_are_evicted_first() {
    let harness = Harness::open_limited("mute", json!({"memory_mb": 64, "sockets": 128}));
    let health_status = |client: &mut Peer| {
        client.send(b"GET /_health HTTP/1.1\r\n\r\n");
        client.response().0
    };
    let mut regular = harness.client();
    assert_eq!(health_status(&mut regular), 200);
    let mut crowd: Vec<Peer> = (0..25).map(|_| harness.client()).collect();
    // New clients have a moment to send a request, counted from when the node accepted the last of them. The crowd
    // connects before the counter's client, so it is accepted before that client.
    assert!((0..1_000).any(|_| harness.counter("clients_accepted") > 26));
    let taken_in = Instant::now();
    while taken_in.elapsed() < Duration::from_millis(30) {
        assert_eq!(harness.health(), 200);
    }
    crowd.extend((0..25).map(|_| harness.client()));
    assert!((0..1_000).any(|_| harness.counter("clients_evicted") > 0));
    assert_eq!(health_status(&mut regular), 200);
    // Clients may use less than a third of the descriptors.
    assert!(harness.counter("clients_evicted") >= 10);
}

/// Returns a request that never ends. Its many small chunks need more memory than their content: once the node has read
/// it, [`LONG_REQUEST_MEMORY`].
fn request_without_end() -> String {
    let chunks = format!("f\r\n{}\r\n", "x".repeat(15)).repeat(4_000);
    format!("{}Transfer-Encoding: chunked\r\n\r\n{chunks}", head("r1", "look", "9m"))
}

/// The buffer size for a [`request_without_end`] in bytes; buffers grow by doubling.
const LONG_REQUEST_MEMORY: usize = 128 << 10;
const NODE_MEMORY_MB: usize = 16;
/// The number of such requests that fit: unread requests may use a quarter of the node's memory.
const LONG_REQUESTS_THAT_FIT: usize = (NODE_MEMORY_MB << 20) / 4 / LONG_REQUEST_MEMORY;

fn node_of_little_memory(test_name: &str) -> Harness {
    Harness::open_limited(test_name, json!({"memory_mb": NODE_MEMORY_MB, "sockets": 256}))
}

/// Waits until the node has read this many bytes from its clients, not counting the requests of this function.
fn wait_until_read(harness: &Harness, bytes: usize) {
    let read_of_questions = (1..10_000).map(|questions| questions * METRICS_REQUEST.len());
    for read_of_questions in read_of_questions {
        if harness.counter("bytes_in") == (bytes + read_of_questions) as u64 {
            return;
        }
    }
    panic!("the node did not read {bytes} bytes");
}

#[test]
fn endless_long_requests_share_a_bounded_memory() {
    let harness = node_of_little_memory("memory");
    let endless = request_without_end();
    let mut first: Vec<Peer> = (0..LONG_REQUESTS_THAT_FIT).map(|_| harness.client()).collect();
    first.iter_mut().for_each(|client| client.send(endless.as_bytes()));
    wait_until_read(&harness, first.len() * endless.len());
    // Later requests exceed the memory limit and are rejected before their time limit.
    for _ in first.len()..50 {
        let mut client = harness.client();
        client.send(endless.as_bytes());
        assert_eq!(client.response().0, 503);
    }
    assert_eq!(harness.health(), 200);
    for client in &mut first {
        assert_eq!(client.response().0, 408);
    }
}

#[test]
fn long_requests_that_grow_at_the_same_time_share_a_bounded_memory() {
    let harness = node_of_little_memory("memory-in-parts");
    let endless = request_without_end();
    // With this part, each request uses half of its memory, and all of them fit.
    let (part, rest) = endless.as_bytes().split_at(60_000);
    let mut crowd: Vec<Peer> = (0..50).map(|_| harness.client()).collect();
    crowd.iter_mut().for_each(|client| client.send(part));
    wait_until_read(&harness, crowd.len() * part.len());
    crowd.iter_mut().for_each(|client| client.send(rest));
    assert_eq!(harness.health(), 200);
    // A rejected request frees memory for the next one, which may be the last.
    let statuses: Vec<u16> = crowd.iter_mut().map(|client| client.response().0).collect();
    let timed_out = statuses.iter().filter(|&&status| status == 408).count();
    let refused = statuses.iter().filter(|&&status| status == 503).count();
    assert_eq!(timed_out + refused, crowd.len(), "{statuses:?}");
    assert!((LONG_REQUESTS_THAT_FIT - 1..=LONG_REQUESTS_THAT_FIT).contains(&timed_out), "{statuses:?}");
}

#[test]
fn many_bytes_behind_a_pending_request_do_not_hide_the_disconnect_of_its_client() {
    let harness = Harness::open("left-behind", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "60000m");
    let mut replica = harness.replica(0);
    replica.call();
    // More bytes than a message may have, so the node would not buffer up to the end.
    let behind = request("r2", "look", &[0], "60000m").repeat(2_000);
    client.send(behind.as_bytes());
    drop(client);
    let cancelled = std::iter::repeat_with(|| replica.frame()).find(|(letter, _)| *letter == '2').unwrap();
    assert_eq!(cancelled.1, "r1.0");
    assert_eq!((harness.counter("lapsed"), harness.counter("retrievals_taken")), (1, 1));
}

#[test]
fn many_bytes_behind_a_pending_request_are_dropped_and_the_request_is_answered() {
    let harness = Harness::open("much-behind", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "60000m");
    let mut replica = harness.replica(0);
    let call = replica.call();
    client.send(request("r2", "look", &[0], "60000m").repeat(2_000).as_bytes());
    replica.answer(&call[0], "S", "v");
    let (status, head, _) = client.response();
    assert!(status == 200 && (head.contains("Connection: close") || harness.counter("retrievals_taken") > 1));
}

#[test]
fn many_new_clients_do_not_evict_one_whose_request_arrived_while_the_node_was_paused() {
    let harness = Harness::open_limited("crowd-request", json!({"memory_mb": 64, "sockets": 64}));
    let mut regular = harness.client();
    regular.send(b"GET /_health HTTP/1.1\r\n\r\n");
    assert_eq!(regular.response().0, 200);
    // After the pause, the node handles the new connections first, and then the request of its only idle client.
    harness.pause();
    let crowd: Vec<Peer> = (0..60).map(|_| harness.client()).collect();
    regular.send(b"GET /_health HTTP/1.1\r\n\r\n");
    harness.resume();
    assert_eq!(regular.response().0, 200);
    assert!((0..10_000).any(|_| harness.counter("clients_evicted") > 0));
    drop(crowd);
}

#[test]
fn a_client_that_closes_its_writing_side_counts_as_disconnected() {
    let harness = Harness::open("half-close", 1);
    let mut client = harness.client();
    client.query("r1", "look", &[0], "60000m");
    let mut replica = harness.replica(0);
    replica.call();
    client.stream.shutdown(std::net::Shutdown::Write).unwrap();
    let cancelled = std::iter::repeat_with(|| replica.frame()).find(|(letter, _)| *letter == '2').unwrap();
    assert_eq!(cancelled.1, "r1.0");
    assert!(!client.read_more());
}

#[test]
fn clients_that_disconnect_while_they_receive_a_response_occupy_no_slot() {
    let harness = open_wide("half-answer", 64);
    let mut replica = None;
    // More clients than may be connected at the same time.
    for n in 0..30 {
        let mut client = harness.client();
        SockRef::from(&client.stream).set_recv_buffer_size(4096).unwrap();
        client.query(&format!("r{n}"), "look", &(0..60).collect::<Vec<_>>(), "60000m");
        let replica = replica.get_or_insert_with(|| harness.replica(0));
        for _ in 0..15 {
            for line in replica.call() {
                replica.answer(&line, "S", &"v".repeat(60 << 10));
            }
        }
        assert!(client.read_more());
        match n % 3 {
            // Closing with unread bytes sends a reset.
            0 => drop(client),
            1 => client.stream.shutdown(std::net::Shutdown::Write).unwrap(),
            _ => client.stream.shutdown(std::net::Shutdown::Both).unwrap(),
        }
    }
    assert_eq!((harness.counter("answers_whole"), harness.counter("clients_evicted")), (30, 0));
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnected_before_its_request_was_read() {
    let harness = Harness::open("left-unread", 1);
    // After the pause, the node finds the request and the disconnect of its client in the same round.
    for id in ["r1", "r2"] {
        let mut client = harness.client();
        client.send(b"GET /_health HTTP/1.1\r\n\r\n");
        assert_eq!(client.response().0, 200);
        harness.pause();
        client.query(id, "look", &[0], "60000m");
        harness.disconnect(client);
        harness.resume();
    }
    let mut client = harness.client();
    client.query("r3", "look", &[0], "60000m");
    let call = harness.replica(0).call();
    assert!(call[0].starts_with("r3.0 "), "{call:?}");
    assert_eq!(harness.counter("launches"), 1);
}
