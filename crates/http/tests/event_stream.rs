//! Tests of event stream parsing: tables of streams, each split into two reads at every position.

use orchidvalve_http::{EventStreamBoundary, EventStreamReader, StreamEvent};
use rstest::rstest;

fn events(pieces: &[&[u8]]) -> (Vec<StreamEvent>, Vec<u8>, bool) {
    let mut reader = EventStreamReader::default();
    let (mut events, mut raw) = (Vec::new(), Vec::new());
    for piece in pieces {
        reader.read(piece, |event, bytes| {
            events.push(event);
            raw.extend_from_slice(bytes);
        });
    }
    (events, raw, reader.has_partial_event())
}

fn event(id: u64, weight_version: Option<u64>, data: &str) -> StreamEvent {
    StreamEvent { id: Some(id), weight_version, data: data.into(), has_data: true }
}

#[rstest]
#[case::line_feeds("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", &[event(1, None, "a"), event(2, None, "b")])]
#[case::returns("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", &[event(1, None, "a"), event(2, None, "b")])]
#[case::mixed("id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n", &[event(1, None, "a"), event(2, None, "b")])]
#[case::several_lines("id:7\ndata: a\ndata:\ndata:  b\n\n", &[event(7, None, "a\n\n b")])]
#[case::versions(
    "weight-versions: 6\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nweight-versions:7\nid: 3\ndata: c\n\n",
    &[event(1, Some(6), "a"), event(2, None, "b"), event(3, Some(7), "c")])]
#[case::empty_data("id: 1\ndata:\n\n", &[event(1, None, "")])]
#[case::other_fields("event: token\nid: 1\nretry: 5\ndata: a\n\n", &[event(1, None, "a")])]
#[case::colons_in_data("id: 1\ndata: id: 9\n\n", &[event(1, None, "id: 9")])]
fn events_are_read_at_every_split(#[case] text: &str, #[case] expected: &[StreamEvent]) {
    for split in 0..=text.len() {
        let (first, rest) = text.as_bytes().split_at(split);
        let (events, raw, partial) = events(&[first, rest]);
        assert_eq!(events, expected, "{split}");
        assert_eq!(raw, text.as_bytes(), "{split}");
        assert!(!partial, "{split}");
    }
    let bytes: Vec<&[u8]> = text.as_bytes().chunks(1).collect();
    assert_eq!(events(&bytes).0, expected);
}

#[test]
fn an_incomplete_event_is_not_reported() {
    let text = "weight-versions: 6\nid: 1\ndata: a\n\n";
    for length in 1..text.len() {
        let (events, _, partial) = events(&[&text.as_bytes()[..length]]);
        assert!(events.is_empty() && partial, "{length}");
    }
}

#[test]
fn data_may_hold_any_bytes() {
    let (events, _, _) = events(&[b"id: 1\ndata: \xff\x00\xfe\n\n"]);
    assert_eq!(events[0].data, b"\xff\x00\xfe");
}

#[rstest]
#[case("id: x\ndata: a\n\n")]
#[case("id: -1\ndata: a\n\n")]
#[case("id: 18446744073709551616\ndata: a\n\n")]
#[case("data: a\n\n")]
fn non_numeric_ids_are_ignored(#[case] text: &str) {
    let (events, _, _) = events(&[text.as_bytes()]);
    assert_eq!((events[0].id, events[0].data.as_slice()), (None, b"a".as_slice()));
}

/// The boundary tracker, which doesn't parse events, is inside an event exactly where the event reader is.
#[rstest]
fn boundary_tracker_agrees_with_event_reader(
    #[values(
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        "id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n",
        "\n\nid: 1\ndata: a\n\n\r\n\n"
    )]
    text: &str,
) {
    for end in 0..=text.len() {
        let part = &text.as_bytes()[..end];
        for split in 0..=end {
            let mut boundary = EventStreamBoundary::default();
            boundary.read(&part[..split]);
            boundary.read(&part[split..]);
            assert_eq!(boundary.is_inside_event(), events(&[part]).2, "{end} {split}");
        }
    }
}
