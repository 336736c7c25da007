//! Tests of the queue for requests that wait for a configuration and a server table.

use orchidvalve_data_plane::requests::ReceivedRequest;
use orchidvalve_data_plane::startup_queue::{QueuedRequest, StartupQueue};
use orchidvalve_http::{MessageLimits, Request, RequestReader};
use rstest::rstest;

const LIMITS: MessageLimits = MessageLimits { header_bytes: 4 << 10, body_bytes: 16 << 20 };

fn request(headers: &str, body_bytes: usize) -> Request {
    let mut bytes = format!("POST /a/1 HTTP/1.1\r\nHost: a\r\n{headers}Content-Length: {body_bytes}\r\n\r\n")
        .into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    RequestReader::default().read(&bytes, &LIMITS).unwrap().request.unwrap()
}

fn received(headers: &str, first_byte_at: u64) -> ReceivedRequest {
    ReceivedRequest { request: request(headers, 0), first_byte_at }
}

fn first_bytes(queued: Vec<QueuedRequest>) -> Vec<u64> {
    queued.into_iter().map(|queued| queued.received.first_byte_at).collect()
}

#[rstest]
#[case::part_of_the_stated_time("Deadline-Ms: 1500\r\n", 1_125)]
#[case::no_longer_than_the_bound("Deadline-Ms: 20000\r\n", 2_000)]
#[case::no_time_is_stated("", 2_000)]
#[case::no_time_at_all("Deadline-Ms: 0\r\n", 0)]
fn a_request_waits_for_three_quarters_of_its_time(#[case] headers: &str, #[case] wait_ms: u64) {
    let mut queue = StartupQueue::default();
    queue.push(received(headers, 100)).unwrap();
    assert_eq!(queue.next_wakeup(), 100 + wait_ms);
    if wait_ms > 0 {
        assert!(queue.drain_expired(100 + wait_ms - 1).is_empty());
    }
    assert_eq!(first_bytes(queue.drain_expired(100 + wait_ms)), [100]);
    assert_eq!(queue.next_wakeup(), u64::MAX);
}

#[test]
fn requests_leave_in_order_of_arrival() {
    let mut queue = StartupQueue::default();
    for first_byte_at in [3, 1, 2] {
        queue.push(received("", first_byte_at)).unwrap();
    }
    assert_eq!(first_bytes(queue.drain()), [3, 1, 2]);
    assert!(queue.drain().is_empty());
}

#[test]
fn a_request_whose_client_has_disconnected_is_dropped() {
    let mut queue = StartupQueue::default();
    let disconnected = queue.push(received("", 1)).unwrap();
    queue.push(received("", 2)).unwrap();
    queue.remove(disconnected);
    queue.remove(disconnected);
    assert_eq!(first_bytes(queue.drain()), [2]);
}

#[test]
fn queued_bodies_are_bounded() {
    let mut queue = StartupQueue::default();
    let large = || ReceivedRequest { request: request("", 5 << 20), first_byte_at: 0 };
    let first = queue.push(large()).unwrap();
    assert_eq!(queue.push(large()), None);
    queue.push(received("", 7)).unwrap();
    queue.remove(first);
    queue.push(large()).unwrap();
}
