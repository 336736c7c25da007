//! The durable form of the log: updates to be saved, and the state recovered from an earlier run.

use std::collections::BTreeMap;

/// An update that must become durable atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogUpdate {
    /// Raft's hard state (term, vote and commit index), encoded; `None` if unchanged.
    pub hard: Option<Vec<u8>>,
    /// The snapshot, encoded; `None` if unchanged.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries with their indices.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Indices of deleted entries.
    pub removed: Vec<u64>,
}

impl LogUpdate {
    /// Returns keys with their values (`None` to delete the key), in the order in which they must be written. Hosts with a
    /// key-value store can save them as they are; [`RecoveredLog::insert_record`] reads them back.
    pub fn records(&self) -> impl Iterator<Item = (Vec<u8>, Option<&[u8]>)> {
        let state = [(HARD, &self.hard), (SNAPSHOT, &self.snapshot)].into_iter();
        let state = state.filter_map(|(key, value)| value.as_deref().map(|value| (vec![key], Some(value))));
        let removed = self.removed.iter().map(|&index| (entry_key(index), None));
        let entries = self.entries.iter().map(|(index, bytes)| (entry_key(*index), Some(bytes.as_slice())));
        state.chain(removed).chain(entries)
    }
}

/// First byte of each kind of key.
const HARD: u8 = 0;
const SNAPSHOT: u8 = 1;
const ENTRY: u8 = 2;

fn entry_key(index: u64) -> Vec<u8> {
    [&[ENTRY][..], &index.to_be_bytes()].concat()
}

/// The log as saved by an earlier run.
#[derive(Clone, Debug, Default)]
pub struct RecoveredLog {
    /// Raft's hard state, encoded.
    pub hard: Option<Vec<u8>>,
    /// The snapshot, encoded.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries by index.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl RecoveredLog {
    /// Adds a saved record. Returns false if the key is not one of the log's.
    pub fn insert_record(&mut self, key: &[u8], value: Vec<u8>) -> bool {
        match key {
            [HARD] => self.hard = Some(value),
            [SNAPSHOT] => self.snapshot = Some(value),
            [ENTRY, index @ ..] => match <[u8; 8]>::try_from(index) {
                Ok(index) => drop(self.entries.insert(u64::from_be_bytes(index), value)),
                Err(_) => return false,
            },
            _ => return false,
        }
        true
    }

    /// Applies an update, as a disk does.
    pub fn apply(&mut self, saved: &LogUpdate) {
        if saved.hard.is_some() {
            self.hard.clone_from(&saved.hard);
        }
        if saved.snapshot.is_some() {
            self.snapshot.clone_from(&saved.snapshot);
        }
        saved.removed.iter().for_each(|index| drop(self.entries.remove(index)));
        self.entries.extend(saved.entries.iter().cloned());
    }
}
