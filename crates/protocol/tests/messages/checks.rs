//! Checks that apply to every encoded message and record.
#![allow(dead_code, reason = "each crate uses its own part of the checks")]

use std::fmt::Debug;

use musli::alloc::Global;
use musli::mode::Binary;
use musli::{Decode, Encode};
use orchidvalve_protocol::frames::{decode, encode, read_frame, write_frame};
use proptest::strategy::BoxedStrategy;
use proptest::test_runner::{Config, TestRunner};

use crate::generate::Generate;

/// The number of values drawn for each variant.
const CASES: u32 = 24;
/// Size of the length prefix of a frame in bytes.
const LENGTH_BYTES: usize = 4;

/// A type that is sent over a link or written to disk.
pub trait Encoded: PartialEq + Debug + Encode<Binary> + for<'de> Decode<'de, Binary, Global> {}
impl<T: PartialEq + Debug + Encode<Binary> + for<'de> Decode<'de, Binary, Global>> Encoded for T {}

/// Draws values of each variant and passes them to the check; no file of earlier failures is used.
pub fn for_each_variant<T: Generate>(check: impl Fn(&T)) {
    for variant in T::variants() {
        for_each(&variant, &check);
    }
}

/// Draws values and passes them to the check.
pub fn for_each<T: Debug>(strategy: &BoxedStrategy<T>, check: impl Fn(&T)) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let run = TestRunner::new(config).run(strategy, |value| {
        check(&value);
        Ok(())
    });
    run.unwrap_or_else(|failure| panic!("{failure}"));
}

/// Checks that every value decodes to itself, that truncated or extended bytes are rejected, and that bytes with any
/// single bit flipped are rejected or decode to one value, without a panic.
pub fn check_encoding<T: Encoded + Generate>() {
    for_each_variant(|value: &T| {
        let bytes = encode(value);
        assert_eq!(decode::<T>(&bytes).as_ref(), Some(value));
        for length in 0..bytes.len() {
            assert!(
                decode::<T>(&bytes[..length]).is_none(),
                "accepted with {length} of {} bytes",
                bytes.len()
            );
        }
        let longer: Vec<u8> = bytes.iter().copied().chain([0]).collect();
        assert!(decode::<T>(&longer).is_none(), "accepted with one extra byte");
        for_each_flip(&bytes, |flipped| check_rejected_or_one_value::<T>(flipped));
    });
}

/// Checks the same within a frame; an incomplete frame yields `None`.
pub fn check_frames<T: Encoded + Generate>() {
    for_each_variant(|value: &T| {
        let mut frame = Vec::new();
        write_frame(&mut frame, value);
        let (message, length) = read_frame::<T>(&frame).expect("a frame").expect("a complete frame");
        assert_eq!((&message, length), (value, frame.len()));
        for length in 0..frame.len() {
            assert!(
                matches!(read_frame::<T>(&frame[..length]), Ok(None)),
                "frame not awaited at length {length}"
            );
        }
        for_each_flip(&frame, |flipped| {
            if let Ok(Some((_, length))) = read_frame::<T>(flipped) {
                assert!(length > LENGTH_BYTES && length <= flipped.len());
            }
        });
    });
}

/// Passes the bytes with each single bit flipped to the check.
pub fn for_each_flip(bytes: &[u8], mut check: impl FnMut(&[u8])) {
    let mut flipped = bytes.to_vec();
    for bit in 0..bytes.len() * 8 {
        flipped[bit / 8] ^= 1 << (bit % 8);
        check(&flipped);
        flipped[bit / 8] ^= 1 << (bit % 8);
    }
}

fn check_rejected_or_one_value<T: Encoded>(bytes: &[u8]) {
    let Some(value) = decode::<T>(bytes) else { return };
    let again = encode(&value);
    // Compared as bytes, because NaN differs from itself.
    assert_eq!(decode::<T>(&again).map(|value| encode(&value)), Some(again));
}
