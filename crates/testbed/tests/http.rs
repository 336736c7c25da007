//! Parsing of messages that are truncated at every position, and of invalid bytes.

use std::borrow::Cow;

use orchidvalve_testbed::http::{self, parse_request, parse_response};
use rstest::rstest;

fn chunked_response() -> Vec<u8> {
    let mut bytes = http::chunked_head(200, &[("Attempt-Id", Cow::from("a1"))]);
    http::write_chunk(&mut bytes, b"first ");
    http::write_chunk(&mut bytes, b"second");
    http::write_chunk(&mut bytes, b"");
    bytes
}

#[rstest]
#[case::with_length(http::request("POST", "/a/b?x=1", "host", &[("Attempt-Id", "a1")], b"body"), b"body")]
#[case::without_body(http::request("GET", "/a/b?x=1", "host", &[], b""), b"")]
#[case::formatted_in_chunks(http::chunked_request("POST", "/a/b?x=1", "host", &[], b"body"), b"body")]
#[case::chunked(b"POST /a/b?x=1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n".to_vec(), b"body")]
fn a_request_is_parsed_once_it_is_complete(#[case] bytes: Vec<u8>, #[case] body: &[u8]) {
    for end in 0..bytes.len() {
        assert_eq!(parse_request(&bytes[..end]), Ok(None), "{end} bytes");
    }
    let (request, length) = parse_request(&bytes).unwrap().unwrap();
    assert_eq!((length, request.body.as_slice()), (bytes.len(), body));
    assert_eq!((request.path(), request.query("x"), request.query("y")), ("/a/b", Some("1"), None));
}

#[rstest]
#[case::with_length(http::response(200, &[], b"first second"))]
#[case::chunked(chunked_response())]
fn a_response_is_parsed_once_it_is_complete(#[case] bytes: Vec<u8>) {
    for end in 0..bytes.len() {
        assert_eq!(parse_response(&bytes[..end], false), Ok(None), "{end} bytes");
    }
    let (response, length) = parse_response(&bytes, false).unwrap().unwrap();
    assert_eq!((length, response.body.as_slice()), (bytes.len(), b"first second".as_slice()));
    assert!(response.is_success());
}

#[test]
fn a_response_without_length_ends_with_the_connection() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nthe body";
    assert_eq!(parse_response(bytes, false), Ok(None));
    assert_eq!(parse_response(bytes, true).unwrap().unwrap().0.body, b"the body");
}

#[rstest]
#[case(b"\x16\x03\x01 these bytes".as_slice())]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".as_slice())]
#[case(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n".as_slice())]
#[case::status(b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok".as_slice())]
#[case::high_status(b"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok".as_slice())]
#[case::line_feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nName: value\r\n\r\nok".as_slice())]
#[case::field_name(b"HTTP/1.1 200 OK\r\nNa me: value\r\nContent-Length: 2\r\n\r\nok".as_slice())]
#[case::trailer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nNa me: v\r\n\r\n".as_slice())]
#[case::trailer_line_feed(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\nName: v\r\n\r\n".as_slice()
)]
fn invalid_bytes_are_rejected(#[case] bytes: &[u8]) {
    assert!(parse_response(bytes, true).is_err());
}

#[test]
fn a_parsed_request_is_formatted_to_the_same_bytes() {
    let bytes = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab".to_vec();
    let (mut request, _) = parse_request(&bytes).unwrap().unwrap();
    request.headers.0.retain(|(name, _)| name != "Content-Length");
    assert_eq!(request.to_bytes(), bytes);
}
