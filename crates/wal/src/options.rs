//! Sizes and intervals of a ring.

use std::time::Duration;

/// The default size of a ring's files: 4 MiB.
pub const DEFAULT_FILE_BYTES: u64 = 4 << 20;
/// The default time between two attempts while the disk fails.
pub const DEFAULT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Sizes and intervals of a ring.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum size of all files together in bytes; at least that of three files.
    pub capacity_bytes: u64,
    /// Size of one file in bytes, including its header.
    pub file_bytes: u64,
    /// Time between two attempts while the disk fails.
    pub retry_interval: Duration,
}

impl Options {
    /// Returns options for a ring of `capacity_bytes` with defaults for everything else.
    pub fn with_capacity(capacity_bytes: u64) -> Self {
        Self { capacity_bytes, file_bytes: DEFAULT_FILE_BYTES, retry_interval: DEFAULT_RETRY_INTERVAL }
    }
}
