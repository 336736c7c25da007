//! Parsing of front nodes' responses.

use super::parse_response;

const VALID: &str = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 2\r\n\r\n{}";

#[test]
fn a_response_is_parsed_once_it_is_complete() {
    for end in 0..VALID.len() {
        assert!(parse_response(&VALID.as_bytes()[..end]).unwrap().is_none(), "{end}");
    }
    let (response, keeps_alive) = parse_response(VALID.as_bytes()).unwrap().unwrap();
    assert_eq!((response.status, response.body.as_slice(), keeps_alive), (503, b"{}".as_slice(), true));
    assert_eq!(response.retry_after, Some(500_000_000));
}

#[test]
fn a_connection_that_the_front_node_closes_is_not_reused() {
    let closing = VALID.replace("Retry-After: 0.5", "Connection: close");
    assert!(!parse_response(closing.as_bytes()).unwrap().unwrap().1);
}

#[test]
fn a_broken_response_is_an_error() {
    for (valid, broken) in [
        ("503", "000"),
        ("503", "600"),
        ("Retry-After", "Retry After"),
        ("Retry-After", "\x7fRetry-After"),
        ("Retry-After", "\nRetry-After"),
    ] {
        assert!(
            parse_response(VALID.replace(valid, broken).as_bytes()).is_err(),
            "{}",
            broken.escape_default()
        );
    }
}
