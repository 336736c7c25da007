//! Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998): every process computes the same ranking of
//! the same candidates without communication, and adding or removing a candidate moves only the keys that rank it
//! first.

use crate::identity::NodeAddress;

/// Spreads the differences between two values over all of their bits (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of `bytes`, starting from `seed`.
pub fn hash(bytes: &[u8], seed: u64) -> u64 {
    bytes.iter().fold(mix(seed), |hash, &byte| mix(hash ^ u64::from(byte)))
}

/// Returns the rank of the process at `address` for the key whose hash is `seed`; the lowest rank is preferred.
pub fn rank(seed: u64, address: NodeAddress) -> u64 {
    let address = u64::from(u32::from(address.ip())) << 16 | u64::from(address.port());
    mix(seed ^ mix(address))
}
