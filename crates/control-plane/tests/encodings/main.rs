//! Round trips of every variant and field of the messages between control nodes and of their disk records, and the
//! rejection of damaged bytes.

mod agreement;
#[path = "../../../protocol/tests/messages/checks.rs"]
mod checks;
#[path = "../../../chain-replication/tests/messages/strategies.rs"]
mod coupling_strategies;
#[path = "../../../protocol/tests/messages/generate.rs"]
mod generate;
#[path = "../../../protocol/tests/messages/strategies.rs"]
mod protocol_strategies;
mod strategies;

use checks::{check_encoding, check_frames, for_each_flip, for_each_variant};
use orchidvalve_consensus::Message as AgreementMessage;
use orchidvalve_control_plane::disk_records::{DiskRecord, RecoveredState};
use orchidvalve_control_plane::peer_messages::PeerMessage;
use orchidvalve_protocol::frames::encode;

#[test]
fn peer_messages_round_trip() {
    check_encoding::<PeerMessage>();
}

#[test]
fn frames_of_peer_messages_round_trip() {
    check_frames::<PeerMessage>();
}

#[test]
fn disk_records_round_trip() {
    check_encoding::<DiskRecord>();
}

/// A message of the agreement carries its own checksum: no damaged message is accepted.
#[test]
fn a_damaged_message_of_the_agreement_is_rejected() {
    for_each_variant(|message: &AgreementMessage| {
        let mut bytes = Vec::new();
        message.encode(&mut bytes).expect("encoded");
        if message.is_well_formed() {
            assert_eq!(AgreementMessage::decode(&bytes).ok().as_ref(), Some(message));
        }
        for length in 0..bytes.len() {
            assert!(AgreementMessage::decode(&bytes[..length]).is_err(), "accepted with {length} bytes");
        }
        for_each_flip(&bytes, |flipped| assert!(AgreementMessage::decode(flipped).is_err()));
    });
}

/// An unreadable record is counted and changes nothing.
#[test]
fn a_truncated_record_is_counted_as_unreadable() {
    for_each_variant(|record: &DiskRecord| {
        let bytes = encode(record);
        let mut recovered = RecoveredState::default();
        for length in 0..bytes.len() {
            recovered.apply_record(length as u64 + 1, &bytes[..length]);
        }
        assert_eq!(recovered.unreadable, bytes.len());
        assert_eq!((recovered.agreement, recovered.leadership_epoch, recovered.log.end()), (None, None, 0));
    });
}
