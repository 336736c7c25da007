//! Datagrams that no front node sends.

use orchidvalve_fleet::Peer;
use orchidvalve_fleet::wire::{DecodeError, Message, decode, encode};

const SENDER: Peer = Peer { ip: [10, 0, 0, 7], port: 7946, incarnation: 1 };
/// Offset of the tag length in the header.
const TAG_LENGTH_OFFSET: usize = 5;

#[test]
fn a_tag_longer_than_the_datagram_is_malformed() {
    let mut bytes = Vec::new();
    encode(SENDER, &Message::Swim(vec![1; 20]), &mut bytes);
    for length in 0..=u8::MAX {
        bytes[TAG_LENGTH_OFFSET] = length;
        let decoded = decode(&bytes);
        let fits = usize::from(length) <= 20;
        assert_eq!(decoded.is_ok(), fits, "{length}: {decoded:?}");
        assert!(fits || decoded == Err(DecodeError::Malformed), "{length}: {decoded:?}");
    }
}
