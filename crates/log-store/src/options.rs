//! Options of a store.

use crate::compaction_policy::CompactionOptions;

/// Options of a store.
#[derive(Clone, Debug)]
pub struct LogStoreOptions {
    /// The purpose of the store. Opening a store that was created under another name fails.
    pub name: String,
    /// The size in bytes at which a segment is sealed. A batch is never split across segments, so it cannot be longer.
    pub segment_bytes: u64,
    /// Whether recovery reads the checkpoints of sealed segments instead of their records. Damaged values are then only
    /// detected when they are read. If false, recovery reads and checks every record.
    pub checkpoints: bool,
    /// When segments are merged, and at which rate.
    pub compaction: CompactionOptions,
}

impl LogStoreOptions {
    /// Returns the default options for a store of this name.
    pub fn named(name: &str) -> LogStoreOptions {
        LogStoreOptions {
            name: name.to_owned(),
            segment_bytes: 4 << 20,
            checkpoints: true,
            compaction: CompactionOptions::default(),
        }
    }

    /// Returns the first half of the store's identity, which is derived from its name.
    pub(crate) fn purpose(&self) -> [u8; 8] {
        const SECOND_SEED: u32 = 0x9e37;
        let name = self.name.as_bytes();
        let mut purpose = [0; 8];
        purpose[..4].copy_from_slice(&crc32c::crc32c(name).to_le_bytes());
        purpose[4..].copy_from_slice(&crc32c::crc32c_append(SECOND_SEED, name).to_le_bytes());
        purpose
    }
}
