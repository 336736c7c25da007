//! Encoding of every message of this crate, with each variant and field: round trips and rejection of damaged bytes.

mod checks;
mod generate;
mod strategies;

use checks::{check_encoding, check_frames};
use orchidvalve_protocol::messages::{
    ControlMessage, GatewayMessage, LinkProtocol, SessionMessage, StoreMessage, StoreResponse,
};

#[test]
fn session_messages_round_trip_and_damaged_ones_are_harmless() {
    check_encoding::<SessionMessage>();
    check_encoding::<ControlMessage>();
}

#[test]
fn store_link_messages_round_trip_and_damaged_ones_are_harmless() {
    check_encoding::<GatewayMessage>();
    check_encoding::<StoreMessage>();
    check_encoding::<StoreResponse>();
}

#[test]
fn frames_round_trip_and_incomplete_ones_are_awaited() {
    check_frames::<SessionMessage>();
    check_frames::<ControlMessage>();
    check_frames::<GatewayMessage>();
    check_frames::<StoreMessage>();
}

#[test]
fn each_link_protocol_has_its_byte() {
    let protocols: Vec<LinkProtocol> = (0..=u8::MAX).filter_map(LinkProtocol::from_byte).collect();
    for protocol in &protocols {
        // A new protocol fails the build here.
        let byte = match protocol {
            LinkProtocol::ControlPeer => 1,
            LinkProtocol::Session => 2,
            LinkProtocol::StoreClient => 3,
            LinkProtocol::StorePeer => 4,
        };
        assert_eq!(protocol.byte(), byte);
    }
    assert_eq!(protocols.len(), 4);
}
