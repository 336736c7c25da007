//! Time limits that operators, clients and servers choose.

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;
/// 1,000 years of 365 days, in milliseconds.
const MAX_MS: u64 = 1_000 * 365 * 24 * 60 * 60 * 1_000;

/// A time limit that was read from outside of the process, in milliseconds.
///
/// A longer time than [`TimeLimit::MAX`] counts as that, which no process outlives. A time limit, or a small multiple of
/// one, can therefore be added to any clock reading without overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeLimit(u64);

impl TimeLimit {
    /// The longest time limit, which stands for "no limit".
    pub const MAX: TimeLimit = TimeLimit(MAX_MS);

    /// Returns a time limit of this many milliseconds.
    pub const fn from_millis(milliseconds: u64) -> TimeLimit {
        if milliseconds < MAX_MS { TimeLimit(milliseconds) } else { TimeLimit::MAX }
    }

    /// Returns a time limit of this many seconds, rounded down to milliseconds. A negative number counts as 0.
    pub fn from_seconds(seconds: f64) -> TimeLimit {
        TimeLimit::from_millis((seconds * MS_PER_S) as u64)
    }

    /// Returns the time limit in milliseconds, at most that of [`TimeLimit::MAX`].
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}
