//! Exponential backoff after failures.

/// The largest number of doublings. Every pause in use reaches its upper bound before that.
const MAX_DOUBLINGS: u32 = 16;

/// A pause that doubles with each failure, up to an upper bound (exponential backoff).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    /// The pause after the first failure, in milliseconds.
    pub first_ms: u64,
    /// The longest pause, in milliseconds.
    pub max_ms: u64,
}

impl Backoff {
    /// Returns the pause in milliseconds after a failure that was preceded by this many others.
    pub fn after_ms(self, earlier_failures: u32) -> u64 {
        (self.first_ms << earlier_failures.min(MAX_DOUBLINGS)).min(self.max_ms)
    }
}
