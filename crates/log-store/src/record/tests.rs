use super::*;

const RECORD: Record = Record {
    kind: RecordKind::Put,
    keyspace: 7,
    sequence: 41,
    remaining_in_batch: 2,
    key: b"key",
    value: b"value",
};

#[test]
fn a_record_with_any_bit_changed_or_behind_another_checksum_is_not_read() {
    let mut bytes = Vec::new();
    let checksum = write(&mut bytes, &RECORD, 99);
    assert_eq!(read(&bytes, 99), Ok(ParsedRecord { record: RECORD, length: bytes.len(), checksum }));
    assert!(read(&bytes, 98).is_err());
    for bit in 0..bytes.len() * 8 {
        let mut corrupt = bytes.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert!(read(&corrupt, 99).is_err(), "bit {bit}");
    }
    for cut in 0..bytes.len() {
        assert!(matches!(read(&bytes[..cut], 99), Err(RecordError::Incomplete)), "cut at {cut}");
    }
}

#[test]
fn a_length_of_four_gigabytes_is_rejected_without_allocation() {
    let mut bytes = Vec::new();
    write(&mut bytes, &RECORD, 0);
    bytes[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(read(&bytes, 0), Err(RecordError::Invalid));
}
