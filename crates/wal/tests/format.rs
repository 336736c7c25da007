//! The encoding of ring files: every header, fragment and marker decodes to itself, and with a bit flipped or truncated
//! it is rejected.

use orchidvalve_wal::format::{FRAGMENT_HEADER_BYTES, FileHeader, FragmentHeader, SyncMarker};
use proptest::collection::vec;
use proptest::prelude::{any, proptest};

/// Calls `check` with each single bit of the bytes flipped.
fn for_each_flip(bytes: &[u8], mut check: impl FnMut(&[u8])) {
    let mut flipped = bytes.to_vec();
    for bit in 0..bytes.len() * 8 {
        flipped[bit / 8] ^= 1 << (bit % 8);
        check(&flipped);
        flipped[bit / 8] ^= 1 << (bit % 8);
    }
}

/// Returns the header and payload of the fragment at the start of the bytes, validated like in a recovery.
fn read_fragment(bytes: &[u8], salt: u32) -> Option<(FragmentHeader, &[u8])> {
    let (head, rest) = bytes.split_first_chunk::<FRAGMENT_HEADER_BYTES>()?;
    let header = FragmentHeader::decode(head);
    let payload = rest.get(..header.length as usize)?;
    (header.is_plausible() && header.is_valid(salt, payload)).then_some((header, payload))
}

proptest! {
    #[test]
    fn headers_of_files(
        generation in any::<u64>(),
        salt in any::<u32>(),
        durable_through in any::<u64>(),
        released_before in any::<u64>(),
    ) {
        let header = FileHeader { generation, salt, durable_through, released_before };
        let bytes = header.encode();
        assert_eq!(FileHeader::decode(&bytes), Some(header));
        for length in 0..bytes.len() {
            assert_eq!(FileHeader::decode(&bytes[..length]), None);
        }
        for_each_flip(&bytes, |flipped| assert_eq!(FileHeader::decode(flipped), None));
    }

    #[test]
    fn fragments(
        salt in any::<u32>(),
        position in 1..=u64::MAX,
        before in 0_u32..1_000,
        after in 0_u32..1_000,
        payload in vec(any::<u8>(), 0..60),
    ) {
        let total = before + payload.len() as u32 + after;
        let header = FragmentHeader::new(salt, position, before, total, &payload);
        let FragmentHeader { checksum: _, length, position: decoded_position, offset, total: decoded_total } = header;
        assert_eq!((length as usize, decoded_position, offset, decoded_total), (payload.len(), position, before, total));
        let bytes: Vec<u8> = header.encode().iter().chain(&payload).copied().collect();
        assert_eq!(read_fragment(&bytes, salt), Some((header, payload.as_slice())));
        for length in 0..bytes.len() {
            assert_eq!(read_fragment(&bytes[..length], salt), None);
        }
        for_each_flip(&bytes, |flipped| assert_eq!(read_fragment(flipped, salt), None));
        for_each_flip(&salt.to_le_bytes(), |flipped| {
            let other = u32::from_le_bytes(flipped.try_into().expect("four bytes"));
            assert_eq!(read_fragment(&bytes, other), None, "a fragment of another use of the file was accepted");
        });
    }

    #[test]
    fn markers(salt in any::<u32>(), durable_through in any::<u64>(), checked_with in any::<u32>()) {
        let marker = SyncMarker { salt, durable_through };
        let mut bytes = Vec::new();
        marker.encode(checked_with, &mut bytes);
        let (header, payload) = read_fragment(&bytes, checked_with).expect("a fragment");
        assert_eq!((header.position, SyncMarker::decode(payload)), (0, Some(marker)));
        for length in 0..payload.len() {
            assert_eq!(SyncMarker::decode(&payload[..length]), None);
        }
        for_each_flip(&bytes, |flipped| assert_eq!(read_fragment(flipped, checked_with), None));
    }
}
