//! Encoding and decoding of every message between stores, every disk record and every log entry, with each variant and
//! field.

#[path = "../../../protocol/tests/messages/checks.rs"]
mod checks;
#[path = "../../../chain-replication/tests/messages/strategies.rs"]
mod coupling_strategies;
mod entries;
#[path = "../../../protocol/tests/messages/generate.rs"]
mod generate;
#[path = "../../../protocol/tests/messages/strategies.rs"]
mod protocol_strategies;
mod strategies;

use checks::{check_encoding, check_frames, for_each_flip, for_each_variant};
use entries::{EntryParts, parts_of};
use orchidvalve_batch_store::entry::EntryRef;
use orchidvalve_batch_store::{DiskRecord, PeerMessage};

#[test]
fn messages_of_peers() {
    check_encoding::<PeerMessage>();
    check_frames::<PeerMessage>();
}

#[test]
fn records() {
    check_encoding::<DiskRecord>();
}

#[test]
fn entries() {
    for_each_variant(|parts: &EntryParts| {
        let entry = parts.as_entry();
        let bytes = entry.encode();
        assert_eq!(EntryRef::decode(&bytes).as_ref(), Some(&entry));
        assert_eq!(parts_of(&entry).as_entry(), entry);
        for length in 0..bytes.len() {
            assert!(EntryRef::decode(&bytes[..length]).is_none(), "taken with {length} bytes");
        }
        for_each_flip(&bytes, |flipped| {
            let Some(entry) = EntryRef::decode(flipped) else { return };
            let again = entry.encode();
            assert_eq!(EntryRef::decode(&again).as_ref(), Some(&entry));
        });
    });
}
