//! Tests that texts of any content are unchanged by compression and decompression.

use orchidvalve_data_plane::text_compression::{TextCompressor, decompress};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn compress(text: &[u8]) -> Vec<u8> {
    TextCompressor::default().compress(text)
}

fn letters(length: usize, seed: u64) -> Vec<u8> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    (0..length).map(|_| random.random_range(b'a'..=b'z')).collect()
}

#[rstest]
#[case::empty(Vec::new())]
#[case::one_byte(vec![0])]
#[case::short(b"a short text".to_vec())]
#[case::just_too_short(letters(191, 1))]
#[case::shortest_compressed(letters(192, 2))]
#[case::text(letters(6_000, 3))]
#[case::long(letters(3_000_000, 4))]
#[case::one_character(vec![b'x'; 5_000])]
#[case::any_bytes((0..4_096).map(|i| (i * 7 % 256) as u8).collect())]
fn a_text_survives_a_round_trip(#[case] text: Vec<u8>) {
    assert_eq!(decompress(&compress(&text)), Some(text));
}

#[test]
fn texts_of_letters_shrink_by_a_third_and_none_grows_by_more_than_one_byte() {
    let text = letters(6_000, 5);
    assert!(compress(&text).len() * 3 < text.len() * 2, "{}", compress(&text).len());
    let mut random = Pcg64Mcg::seed_from_u64(6);
    for length in [0, 1, 191, 192, 1_000, 10_000] {
        let noise: Vec<u8> = (0..length).map(|_| random.random()).collect();
        assert!(compress(&noise).len() <= length + 1);
        assert_eq!(decompress(&compress(&noise)), Some(noise));
    }
}

#[test]
fn one_compressor_serves_many_texts() {
    let mut compressor = TextCompressor::default();
    for seed in 0..50 {
        let text = letters(100 * seed as usize, seed);
        let compressed = compressor.compress(&text);
        assert_eq!(decompress(&compressed), Some(text));
    }
}

#[test]
fn truncated_bytes_never_decompress() {
    let text = letters(2_000, 7);
    let compressed = compress(&text);
    assert_eq!(decompress(&[]), Some(Vec::new()));
    assert_eq!(decompress(&[9, 1, 2]), None);
    for length in 1..compressed.len() {
        assert_eq!(decompress(&compressed[..length]), None, "truncated at {length}");
    }
}
