//! A hash function that yields the same value on every front node, regardless of machine and build.

/// Returns the 64-bit FNV-1a hash (RFC 9923) of a name, with which front nodes refer to a replica or a list in
/// messages. The hasher of the standard library may differ between builds.
pub fn stable_hash(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
