//! The times of an input on both clocks.

/// The time of an input on the monotonic and on the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timestamp {
    /// Monotonic clock of the process, in milliseconds. Used for timeouts.
    pub monotonic_ms: u64,
    /// Wall clock in milliseconds since 1970. It may step. Used for the ages of jobs, which must be comparable across
    /// nodes.
    pub wall_ms: u64,
}
