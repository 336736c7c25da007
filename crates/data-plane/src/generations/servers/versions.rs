//! Counts how many servers of a pool serve each version of a model's weights.

use std::collections::BTreeMap;

use orchidvalve_scheduler::PoolKey;

use super::ModelKey;

/// A version of a model's weights in a pool, ordered by its fields.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct ServedVersion {
    pub pool: PoolKey,
    pub model: ModelKey,
    pub version: u64,
}

/// The number of servers that serve each version, excluding draining ones.
#[derive(Default, Debug)]
pub(super) struct ServedVersions {
    counts: BTreeMap<ServedVersion, u32>,
    /// Whether a version has lost its last server.
    lost: bool,
}

impl ServedVersions {
    /// Adds a server that serves the version.
    pub fn add(&mut self, served: ServedVersion) {
        *self.counts.entry(served).or_insert(0) += 1;
    }

    /// Removes a server that serves the version.
    pub fn remove(&mut self, served: ServedVersion) {
        if let Some(count) = self.counts.get_mut(&served) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&served);
                self.lost = true;
            }
        }
    }

    pub fn contains(&self, served: ServedVersion) -> bool {
        self.counts.contains_key(&served)
    }

    /// Whether a server serves this version or a later one.
    pub fn contains_from(&self, first: ServedVersion) -> bool {
        self.counts.range(first..=ServedVersion { version: u64::MAX, ..first }).next().is_some()
    }

    /// Returns the latest version of a model in a pool.
    pub fn latest(&self, pool: PoolKey, model: ModelKey) -> Option<u64> {
        let first = ServedVersion { pool, model, version: 0 };
        let mut versions = self.counts.range(first..=ServedVersion { version: u64::MAX, ..first });
        versions.next_back().map(|(served, _)| served.version)
    }

    /// Whether a version has lost its last server since the last call.
    pub fn take_lost(&mut self) -> bool {
        std::mem::take(&mut self.lost)
    }
}
