//! Tests of reading and writing HTTP/1.1 messages: tables of messages, every split of a message into two reads, and
//! messages with one byte changed.

use orchidvalve_http::{
    HttpError, MessageLimits, Request, RequestReader, ResponseReader, write_chunk, write_head_end,
    write_header, write_last_chunk, write_number, write_number_header, write_request_line, write_response,
    write_status_line,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const LIMITS: MessageLimits = MessageLimits { header_bytes: 1024, body_bytes: 64 };
const HEADER_LIMIT: usize = 1024;

/// The receive buffer of a connection. It passes its bytes to the reader until no request is complete, as the event
/// loop does.
#[derive(Default)]
struct Inbox {
    bytes: Vec<u8>,
    reader: RequestReader,
    requests: Vec<Request>,
}

impl Inbox {
    fn receive(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.bytes.extend_from_slice(bytes);
        loop {
            let read = self.reader.read(&self.bytes, &LIMITS)?;
            assert!(read.consumed <= self.bytes.len());
            self.bytes.drain(..read.consumed);
            match read.request {
                Some(request) => self.requests.push(request),
                None => return Ok(()),
            }
        }
    }
}

/// Returns all complete requests in the bytes, and the receive buffer with what is left.
fn requests(bytes: &[u8]) -> Result<(Vec<Request>, Inbox), HttpError> {
    let mut inbox = Inbox::default();
    inbox.receive(bytes)?;
    Ok((std::mem::take(&mut inbox.requests), inbox))
}

fn request(bytes: &[u8]) -> Result<Request, HttpError> {
    let (mut requests, inbox) = requests(bytes)?;
    assert_eq!(requests.len(), 1, "one complete request");
    assert!(inbox.bytes.is_empty() && !inbox.reader.is_mid_request());
    Ok(requests.remove(0))
}

const PLAIN: &str = "GET /a/b?x=1&y=2 HTTP/1.1\r\nHost: a.example\r\nDeadline-Ms: 1500\r\n\r\n";
const WITH_LENGTH: &str =
    "POST /a/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\nAttempt-Id: 9c41\r\n\r\nhello";
const CHUNKED: &str = "POST /a/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n\
    3\r\nhel\r\n2;ext=1\r\nlo\r\n0\r\nTrailer: x\r\n\r\n";

#[test]
fn a_request_without_body_is_read() {
    let request = request(PLAIN.as_bytes()).unwrap();
    assert_eq!((request.method.as_str(), request.target.as_str()), ("GET", "/a/b?x=1&y=2"));
    assert_eq!(request.path(), "/a/b");
    assert_eq!((request.query("y"), request.query("z")), (Some("2"), None));
    assert_eq!(request.headers.get("deadline-ms"), Some("1500"));
    assert_eq!(request.headers.number("DEADLINE-MS"), Some(1500));
    assert_eq!(request.headers.get("absent"), None);
    assert_eq!(request.headers.iter().count(), 2);
    assert!(request.body.is_empty() && request.keep_alive);
}

#[rstest]
#[case::length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
fn bodies_are_read(#[case] text: &str) {
    assert_eq!(request(text.as_bytes()).unwrap().body, b"hello");
}

#[rstest]
#[case::plain(PLAIN)]
#[case::length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
fn every_split_gives_the_same_request(#[case] text: &str) {
    let expected = request(text.as_bytes()).unwrap();
    for split in 0..=text.len() {
        let mut inbox = Inbox::default();
        inbox.receive(&text.as_bytes()[..split]).unwrap();
        assert_eq!(inbox.requests.len(), usize::from(split == text.len()), "{split}");
        inbox.receive(&text.as_bytes()[split..]).unwrap();
        assert_eq!(inbox.requests, std::slice::from_ref(&expected), "{split}");
        assert!(inbox.bytes.is_empty());
    }
    let mut inbox = Inbox::default();
    for byte in text.bytes() {
        inbox.receive(&[byte]).unwrap();
    }
    assert_eq!(inbox.requests, [expected]);
}

#[test]
fn pipelined_requests_are_separated() {
    let text = [WITH_LENGTH, CHUNKED, PLAIN, "GET /part"].concat();
    for split in 0..=text.len() {
        let mut inbox = Inbox::default();
        inbox.receive(&text.as_bytes()[..split]).unwrap();
        inbox.receive(&text.as_bytes()[split..]).unwrap();
        let bodies: Vec<&[u8]> = inbox.requests.iter().map(|request| request.body.as_slice()).collect();
        assert_eq!(bodies, [b"hello".as_slice(), b"hello", b""], "{split}");
        assert_eq!(inbox.bytes, b"GET /part", "{split}");
    }
}

#[test]
fn mid_request_state_lasts_until_the_body_is_complete() {
    let mut inbox = Inbox::default();
    assert!(!inbox.reader.is_mid_request());
    inbox.receive(&WITH_LENGTH.as_bytes()[..WITH_LENGTH.len() - 2]).unwrap();
    assert!(inbox.reader.is_mid_request());
    inbox.receive(b"lo").unwrap();
    assert!(!inbox.reader.is_mid_request());
}

#[rstest]
#[case("HTTP/1.1", "", true)]
#[case("HTTP/1.1", "Connection: close\r\n", false)]
#[case("HTTP/1.1", "Connection: Foo, CLOSE\r\n", false)]
#[case("HTTP/1.1", "Connection: keep-alive\r\n", true)]
#[case("HTTP/1.0", "", false)]
#[case("HTTP/1.0", "Connection: keep-alive\r\n", true)]
fn connection_persistence_follows_version_and_connection_header(
    #[case] version: &str,
    #[case] header: &str,
    #[case] keep_alive: bool,
) {
    let text = format!("GET / {version}\r\nHost: a\r\n{header}\r\n");
    assert_eq!(request(text.as_bytes()).unwrap().keep_alive, keep_alive);
}

#[rstest]
#[case::both("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::both_other_order("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400)]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 6\r\n", 400)]
#[case::two_lengths_in_one("Content-Length: 5, 6\r\n", 400)]
#[case::length_with_sign("Content-Length: +5\r\n", 400)]
#[case::negative_length("Content-Length: -5\r\n", 400)]
#[case::hex_length("Content-Length: 0x5\r\n", 400)]
#[case::empty_length("Content-Length: \r\n", 400)]
#[case::wide_space_in_length("Content-Length: 5\u{3000}\r\n", 400)]
#[case::overflowing_length("Content-Length: 18446744073709551616\r\n", 400)]
#[case::length_too_large("Content-Length: 65\r\n", 413)]
#[case::two_codings("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400)]
#[case::unknown_coding("Transfer-Encoding: gzip\r\n", 501)]
#[case::coding_list("Transfer-Encoding: gzip, chunked\r\n", 501)]
#[case::coding_twice_in_one("Transfer-Encoding: chunked, chunked\r\n", 501)]
#[case::nearly_chunked("Transfer-Encoding: xchunked\r\n", 501)]
#[case::wide_space_in_coding("Transfer-Encoding: \u{a0}chunked\r\n", 501)]
#[case::empty_coding("Transfer-Encoding: \r\n", 501)]
#[case::folded("X: a\r\n b\r\n", 400)]
#[case::folded_length("Content-Length:\r\n 5\r\n", 400)]
#[case::space_before_colon("Content-Length : 5\r\n", 400)]
#[case::space_before_name(" Content-Length: 5\r\n", 400)]
#[case::no_colon("Content-Length\r\n", 400)]
#[case::empty_name(": 5\r\n", 400)]
#[case::return_in_value("X: a\rContent-Length: 5\r\n", 400)]
#[case::zero_byte("X: a\0b\r\n", 400)]
fn ambiguous_heads_are_rejected(#[case] header: &str, #[case] status: u16) {
    let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{header}\r\nhello");
    assert_eq!(requests(text.as_bytes()).err().map(HttpError::status), Some(status));
}

#[rstest]
#[case::method("G T / HTTP/1.1\r\n\r\n")]
#[case::no_target("GET HTTP/1.1\r\n\r\n")]
#[case::version("GET / HTTP/2.0\r\n\r\n")]
#[case::no_version("GET /\r\n\r\n")]
#[case::space_in_target("GET /a b HTTP/1.1\r\n\r\n")]
#[case::binary("\u{16}\u{3}\u{1}\u{2}\r\n\r\n")]
fn malformed_request_lines_are_rejected(#[case] text: &str) {
    assert_eq!(requests(text.as_bytes()).err(), Some(HttpError::Malformed));
}

#[rstest]
#[case::no_digits("\r\nhello\r\n")]
#[case::sign("+5\r\nhello\r\n")]
#[case::minus("-5\r\nhello\r\n")]
#[case::prefix("0x5\r\nhello\r\n")]
#[case::leading_space(" 5\r\nhello\r\n")]
#[case::letters("5g\r\nhello\r\n")]
#[case::line_feed_only("5\nhello\r\n")]
#[case::two_returns("5\r\r\nhello\r\n")]
#[case::return_in_extension("5;a\rb\r\nhello\r\n")]
#[case::too_long_digits("0000000000000000000005\r\nhello\r\n")]
#[case::overflow("10000000000000005\r\nhello\r\n")]
#[case::longer_than_stated("4\r\nhello\r\n")]
#[case::shorter_than_stated("6\r\nhello\r\n0\r\n\r\n")]
#[case::end_by_line_feed("5\r\nhello\n0\r\n\r\n")]
#[case::blank_in_trailer_name("5\r\nhello\r\n0\r\nNa me: value\r\n\r\n")]
fn malformed_chunks_are_rejected(#[case] chunks: &str) {
    let text = format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    assert_eq!(requests(text.as_bytes()).err(), Some(HttpError::Malformed));
}

#[test]
fn chunked_body_limit_applies_to_announced_sizes() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(requests(format!("{head}41\r\n").as_bytes()).err(), Some(HttpError::BodyTooLong));
    let two = format!("{head}20\r\n{}\r\n21\r\n", "x".repeat(32));
    assert_eq!(requests(two.as_bytes()).err(), Some(HttpError::BodyTooLong));
    let fits = format!("{head}20\r\n{0}\r\n20\r\n{0}\r\n0\r\n\r\n", "x".repeat(32));
    assert_eq!(request(fits.as_bytes()).unwrap().body.len(), 64);
}

#[test]
fn overlong_chunk_size_lines_are_rejected() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    let endless = format!("{head}5;{}", "x".repeat(100_000));
    assert_eq!(requests(endless.as_bytes()).err(), Some(HttpError::Malformed));
}

#[test]
fn head_limit_applies_to_complete_and_partial_heads() {
    let head = |length: usize| format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(length - 23));
    assert!(request(head(LIMITS.header_bytes).as_bytes()).is_ok());
    let long = head(LIMITS.header_bytes + 1);
    assert_eq!(requests(long.as_bytes()).err(), Some(HttpError::HeaderTooLong));
    assert!(requests(&long.as_bytes()[..LIMITS.header_bytes - 1]).is_ok());
    assert_eq!(requests(&long.as_bytes()[..LIMITS.header_bytes]).err(), Some(HttpError::HeaderTooLong));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "X:1\r\n".repeat(100));
    assert_eq!(requests(many.as_bytes()).err().map(HttpError::status), Some(431));
}

/// Changing one byte of the framing or the body never makes a second request appear out of a body, whether or not the
/// message is rejected.
#[rstest]
#[case::length("Content-Length: 36\r\n\r\n", "GET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n\n")]
#[case::chunked(
    "Transfer-Encoding: chunked\r\n\r\n",
    "24\r\nGET /smuggled HTTP/1.1\r\nHost: b\r\n\r\n\n\r\n0\r\n\r\n"
)]
fn one_changed_byte_cannot_smuggle_a_request(#[case] framing: &str, #[case] body: &str) {
    let text = format!("POST /a HTTP/1.1\r\nHost: a\r\n{framing}{body}");
    assert_eq!(requests(text.as_bytes()).unwrap().0.len(), 1);
    let head_end = text.find("\r\n\r\n").unwrap() + 4;
    for position in 0..text.len() {
        for byte in [b' ', b'\t', b'\r', b'\n', b':', b',', b';', b'0', b'9', b'x', 0, 0xff] {
            let mut changed = text.clone().into_bytes();
            changed[position] = byte;
            let mut inbox = Inbox::default();
            let outcome = inbox.receive(&changed);
            // A change in the head may legitimately change the framing, and the request that then follows is one that
            // the client sent itself. A change after the head must not.
            if position >= head_end {
                let smuggled = inbox.requests.iter().any(|request| request.target == "/smuggled");
                assert!(!smuggled, "byte {byte} at {position}: {outcome:?}");
            }
            assert!(inbox.requests.iter().all(|request| request.body.len() <= LIMITS.body_bytes));
        }
    }
}

/// Random bytes after a valid beginning cause neither a panic nor the consumption of more bytes than are available.
#[test]
fn random_bytes_do_not_panic() {
    let mut random = Pcg64Mcg::seed_from_u64(17);
    for _ in 0..5_000 {
        let text = [PLAIN, WITH_LENGTH, CHUNKED][random.random_range(0..3)];
        let mut bytes = text.as_bytes()[..random.random_range(0..=text.len())].to_vec();
        bytes.extend((0..random.random_range(0..20)).map(|_| random.random::<u8>()));
        let _ = requests(&bytes);
        let mut out = Vec::new();
        let _ = ResponseReader::new("GET").read(&bytes, HEADER_LIMIT, &mut out);
    }
}

/// The result of reading a response that arrived in pieces.
#[derive(Debug, PartialEq)]
struct Outcome {
    status: Option<u16>,
    body: Vec<u8>,
    complete: bool,
    reusable: bool,
    complete_at_close: bool,
    extra: usize,
}

fn read_response(method: &str, pieces: &[&[u8]]) -> Result<Outcome, HttpError> {
    let mut reader = ResponseReader::new(method);
    let (mut inbox, mut body, mut complete) = (Vec::new(), Vec::new(), false);
    for piece in pieces {
        inbox.extend_from_slice(piece);
        let progress = reader.read(&inbox, HEADER_LIMIT, &mut body)?;
        assert_eq!(progress.head, reader.head().is_some());
        inbox.drain(..progress.consumed);
        complete = progress.complete;
    }
    Ok(Outcome {
        status: reader.head().map(|head| head.status),
        body,
        complete,
        reusable: reader.is_reusable(),
        complete_at_close: reader.complete_at_close(),
        extra: inbox.len(),
    })
}

fn read_at_once(text: &str) -> Outcome {
    read_response("GET", &[text.as_bytes()]).unwrap()
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", true)]
#[case::chunked(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "hello",
    true
)]
#[case::nothing("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nNot-Executed: 1\r\n\r\n", "", true)]
#[case::close("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false)]
#[case::old("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", "", true)]
#[case::not_modified("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", true)]
#[case::informational(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "ok",
    true
)]
fn responses_are_read_at_every_split(#[case] text: &str, #[case] body: &str, #[case] reusable: bool) {
    let at_once = read_at_once(text);
    assert_eq!((at_once.body.as_slice(), at_once.complete), (body.as_bytes(), true));
    assert_eq!((at_once.reusable, at_once.extra), (reusable, 0));
    for split in 0..text.len() {
        let (first, rest) = text.as_bytes().split_at(split);
        let truncated = read_response("GET", &[first]).unwrap();
        assert!(
            !truncated.complete && !truncated.complete_at_close,
            "truncated at {split}, but looks complete"
        );
        assert_eq!(read_response("GET", &[first, rest]).unwrap(), at_once, "{split}");
    }
}

#[test]
fn body_bytes_are_returned_as_they_arrive() {
    let mut reader = ResponseReader::new("GET");
    let mut out = Vec::new();
    let first = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhel";
    let progress = reader.read(first, HEADER_LIMIT, &mut out).unwrap();
    assert_eq!((progress.consumed, progress.complete), (first.len(), false));
    assert_eq!(out, b"hel");
    out.clear();
    let progress = reader.read(b"lo", HEADER_LIMIT, &mut out).unwrap();
    assert_eq!((out.as_slice(), progress.consumed), (b"lo".as_slice(), 2));
}

#[test]
fn a_body_without_length_ends_with_the_connection() {
    let outcome = read_at_once("HTTP/1.1 200 OK\r\n\r\npart");
    assert_eq!(outcome.body, b"part");
    assert!(!outcome.complete && !outcome.reusable && outcome.complete_at_close);
}

#[test]
fn responses_to_head_have_no_body() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let outcome = read_response("HEAD", &[text]).unwrap();
    assert!(outcome.complete && outcome.body.is_empty() && outcome.reusable);
}

#[rstest]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n")]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "x")]
#[case("HTTP/1.1 204 No Content\r\n\r\n", "body")]
fn bytes_after_a_response_are_not_consumed(#[case] text: &str, #[case] extra: &str) {
    let outcome = read_at_once(&format!("{text}{extra}"));
    assert!(outcome.complete);
    assert_eq!(outcome.extra, extra.len());
}

#[rstest]
#[case::no_http("garbage\r\n\r\n")]
#[case::status("HTTP/1.1 2000 OK\r\n\r\n")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello")]
#[case::both("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello")]
#[case::bad_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello")]
#[case::bad_chunk_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloX\r\n")]
#[case::switched("HTTP/1.1 101 Switching Protocols\r\n\r\n")]
#[case::folded("HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 0\r\n\r\n")]
#[case::space_before_colon("HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello")]
fn malformed_responses_are_rejected(#[case] text: &str) {
    assert!(read_response("GET", &[text.as_bytes()]).is_err());
}

/// Only statuses from 100 to 599 are valid (RFC 9110, section 15), also where a response follows an interim one.
#[rstest]
fn responses_with_an_invalid_status_are_rejected(
    #[values(0, 1, 99, 600, 999)] status: u16,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] before: &str,
) {
    let text = format!("{before}HTTP/1.1 {status:03} OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(read_response("GET", &[text.as_bytes()]).err(), Some(HttpError::Malformed));
}

#[rstest]
fn responses_with_any_valid_status_are_read(#[values(200, 299, 306, 499, 500, 599)] status: u16) {
    let text = format!("HTTP/1.1 {status} OK\r\nContent-Length: 2\r\n\r\nok");
    assert_eq!(read_at_once(&text).status, Some(status));
}

/// The blanks and control bytes: no token, such as the name of a field, contains them (RFC 9110, section 5.6.2).
fn blanks_and_controls() -> impl Iterator<Item = u8> {
    (0..=b' ').chain([0x7f])
}

/// Returns field lines whose name has `byte` as its first byte, within it, or as its last byte.
fn field_lines_with(byte: u8) -> [Vec<u8>; 3] {
    [("", "Name"), ("Na", "me"), ("Name", "")]
        .map(|(before, after)| [before.as_bytes(), &[byte], after.as_bytes(), b": value\r\n"].concat())
}

#[rstest]
#[case::only_field(b"HTTP/1.1 200 OK\r\n", b"\r\nbody")]
#[case::first_field(b"HTTP/1.1 200 OK\r\n", b"Content-Length: 4\r\n\r\nbody")]
#[case::middle_field(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", b"X: 1\r\n\r\nbody")]
#[case::last_field(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", b"\r\nbody")]
#[case::interim_response(
    b"HTTP/1.1 103 Early Hints\r\n",
    b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
)]
#[case::after_interim_response(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
    b"\r\nbody"
)]
#[case::trailer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", b"\r\n")]
#[case::later_trailer(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n",
    b"Y: 2\r\n\r\n"
)]
fn responses_with_an_invalid_field_name_are_rejected(#[case] before: &[u8], #[case] after: &[u8]) {
    for line in blanks_and_controls().flat_map(field_lines_with) {
        let bytes = [before, &line, after].concat();
        let read = read_response("GET", &[&bytes]);
        assert_eq!(read, Err(HttpError::Malformed), "{}", line.escape_ascii());
    }
}

#[rstest]
#[case::no_colon("Name value")]
#[case::empty_name(": value")]
#[case::folded("X: 1\r\n value")]
#[case::return_in_value("X: a\rb")]
#[case::zero_byte_in_value("X: a\0b")]
fn responses_with_a_malformed_trailer_are_rejected(#[case] line: &str) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!("{head}4\r\nbody\r\n0\r\n{line}\r\n\r\n");
    assert_eq!(read_response("GET", &[text.as_bytes()]), Err(HttpError::Malformed));
}

#[test]
fn valid_trailers_are_skipped_at_every_split() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: 1\r\nB:\r\nC!: caf\u{e9} \t\r\n\r\n";
    let at_once = read_at_once(text);
    assert_eq!((at_once.body.as_slice(), at_once.complete, at_once.extra), (b"body".as_slice(), true, 0));
    for split in 0..text.len() {
        let (first, rest) = text.as_bytes().split_at(split);
        assert_eq!(read_response("GET", &[first, rest]).unwrap(), at_once, "{split}");
    }
}

#[test]
fn response_heads_are_bounded() {
    let text = format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(HEADER_LIMIT));
    assert_eq!(read_response("GET", &[text.as_bytes()]).err(), Some(HttpError::HeaderTooLong));
}

#[test]
fn written_requests_are_read_back() {
    let mut out = Vec::new();
    write_request_line(&mut out, "POST", "/a?b=c");
    write_header(&mut out, "Host", "a.example");
    write_number_header(&mut out, "Deadline-Ms", 1_500);
    write_header(&mut out, "Transfer-Encoding", "chunked");
    write_head_end(&mut out);
    for piece in ["hel", "", "lo, and more than sixteen bytes"] {
        write_chunk(&mut out, piece.as_bytes());
    }
    write_last_chunk(&mut out);
    let request = request(&out).unwrap();
    assert_eq!(request.target, "/a?b=c");
    assert_eq!(request.headers.number("deadline-ms"), Some(1_500));
    assert_eq!(request.body, b"hello, and more than sixteen bytes");
}

#[rstest]
#[case(200, &[("Server-Signature", "3e1b.07")], b"body", false)]
#[case(503, &[], b"", true)]
#[case(599, &[], b"x", false)]
fn written_responses_are_read_back(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[case] body: &[u8],
    #[case] close: bool,
) {
    let mut out = Vec::new();
    write_response(&mut out, status, headers, body, close);
    let outcome = read_response("GET", &[&out]).unwrap();
    assert_eq!((outcome.status, outcome.body.as_slice()), (Some(status), body));
    assert!(outcome.complete && outcome.reusable != close && outcome.extra == 0);
}

#[test]
fn status_line_includes_the_reason_phrase() {
    let mut out = Vec::new();
    write_status_line(&mut out, 404);
    assert_eq!(out, b"HTTP/1.1 404 Not Found\r\n");
}

#[rstest]
#[case(0)]
#[case(9)]
#[case(10)]
#[case(1_234_567)]
#[case(u64::MAX)]
fn numbers_are_written_in_decimal(#[case] number: u64) {
    let mut out = Vec::new();
    write_number(&mut out, number);
    assert_eq!(out, number.to_string().as_bytes());
}
