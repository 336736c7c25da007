//! A sample of every message between stores, every disk record and every log entry encodes to the recorded bytes, and
//! decodes from them.

use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_batch_store::entry::{EntryRef, decode_outcome};
use orchidvalve_batch_store::{DiskRecord, PeerMessage};
use orchidvalve_chain_replication::{Entry, EpochRun, Message};
use orchidvalve_golden::{check_samples, read_samples};
use orchidvalve_protocol::frames::{decode, encode};
use orchidvalve_protocol::identity::{MemberId, NodeAddress};
use orchidvalve_protocol::messages::{ItemOutcome, ItemState};

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Checks the encoding of all values, and that the recorded bytes decode to them.
fn check<T>(path: &Path, values: &[(&str, T)])
where
    T: Debug + PartialEq + Encode<Binary> + for<'de> Decode<'de, Binary, Global>,
{
    let samples: Vec<(&str, Vec<u8>)> = values.iter().map(|(name, value)| (*name, encode(value))).collect();
    check_samples(path, &samples);
    for ((name, value), (_, recorded)) in values.iter().zip(read_samples(path)) {
        assert_eq!(decode::<T>(&recorded).as_ref(), Some(value), "{name}");
    }
}

fn entry() -> Entry {
    Entry { sequence: 300, epoch: 4, payload: Rc::from(b"payload".as_slice()) }
}

fn member() -> MemberId {
    MemberId { address: NodeAddress::new(Ipv4Addr::new(10, 0, 0, 7), 7001), disk: 0x0123_4567_89ab_cdef }
}

#[test]
fn messages_between_stores() {
    let chain = |message: Message| PeerMessage::Chain { partition: 515, message };
    let runs = vec![EpochRun { epoch: 3, first: 250 }, EpochRun { epoch: 4, first: 299 }];
    let values = [
        ("first-message", PeerMessage::Handshake { version: 3, member: member() }),
        ("sign-of-life", PeerMessage::Heartbeat),
        ("chain-position", chain(Message::Position { epoch: 4, position_id: 9, first: 250, runs, end: 300 })),
        ("chain-question-for-position", chain(Message::Locate { epoch: 5 })),
        (
            "chain-entries",
            chain(Message::Entries {
                epoch: 4,
                position_id: 9,
                previous_sequence: 299,
                previous_epoch: 4,
                entries: vec![entry()],
                committed: 298,
                epoch_base: Some(260),
            }),
        ),
        (
            "chain-entries-without-floor",
            chain(Message::Entries {
                epoch: 4,
                position_id: 10,
                previous_sequence: 300,
                previous_epoch: 4,
                entries: Vec::new(),
                committed: 300,
                epoch_base: None,
            }),
        ),
        ("chain-acknowledgement", chain(Message::Acknowledge { epoch: 4, sequence: 300 })),
        ("chain-reset", chain(Message::Reset { epoch: 4, position_id: 9, start: 200, previous_epoch: 2 })),
        ("chain-question-for-view", chain(Message::Confirm { epoch: 4, round: 17 })),
        ("chain-answer-for-view", chain(Message::Confirmed { epoch: 4, round: 17, committed: 300 })),
    ];
    check(&path("peer_messages.txt"), &values);
}

#[test]
fn records_of_the_disk() {
    let values = [
        ("append", DiskRecord::Append { partition: 2, entry: entry() }),
        ("truncate", DiskRecord::Truncate { partition: 2, after: 299 }),
        ("reset", DiskRecord::Reset { partition: 2, start: 70_000, previous_epoch: 3 }),
        ("base", DiskRecord::LogStart { partition: 2, first: 250, previous_epoch: 3, view_epoch: 5 }),
    ];
    check(&path("disk_records.txt"), &values);
}

#[test]
fn entries_of_the_log() {
    let outcome = ItemOutcome {
        item: "item-7".to_owned(),
        state: ItemState::Completed,
        message: b"text\nof it".to_vec(),
        weight_versions: vec![3, 4],
        score: Some("stamp".to_owned()),
    };
    let expired = ItemOutcome {
        item: "item-8".to_owned(),
        state: ItemState::Expired,
        message: Vec::new(),
        weight_versions: Vec::new(),
        score: None,
    };
    let accepted = EntryRef::JobAccepted {
        job: b"document",
        accepted_at_ms: 1_700_000_000_123,
        target_run_ms: 60_000,
        max_queue_ms: 600_000,
    };
    let values = [
        ("job", accepted),
        ("outcome", EntryRef::result("job-1", &outcome)),
        ("outcome-of-one-that-was-given-up", EntryRef::result("job-1", &expired)),
        ("end-of-job", EntryRef::JobEnded { job: "job-1" }),
    ];
    let path = path("entries.txt");
    let samples: Vec<(&str, Vec<u8>)> = values.iter().map(|(name, entry)| (*name, entry.encode())).collect();
    check_samples(&path, &samples);
    let recorded = read_samples(&path);
    for ((name, entry), (_, recorded)) in values.iter().zip(&recorded) {
        assert_eq!(EntryRef::decode(recorded).as_ref(), Some(entry), "{name}");
    }
    let outcomes: Vec<Option<ItemOutcome>> =
        recorded.iter().map(|(_, bytes)| decode_outcome(bytes)).collect();
    assert_eq!(outcomes, [None, Some(outcome), Some(expired), None]);
}
