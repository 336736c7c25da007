//! The log on disk: what is to be saved, and what an earlier run has left.

use std::collections::BTreeMap;

/// What must be durable, as one: all of it or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogUpdate {
    /// Term, vote and commit (Raft's hard state), encoded; `None` where it stays.
    pub hard: Option<Vec<u8>>,
    /// The snapshot, encoded; `None` where it stays.
    pub snapshot: Option<Vec<u8>>,
    /// Entries by their index, encoded.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Indices of entries that are no more.
    pub removed: Vec<u64>,
}

impl LogUpdate {
    /// Keys and their values, `None` for one that is no more, in the order in which they are to be written. Hosts with
    /// a store of keys keep them as they are; [`RecoveredLog::insert_record`] takes them back.
    pub fn records(&self) -> impl Iterator<Item = (Vec<u8>, Option<&[u8]>)> {
        let state = [(HARD, &self.hard), (SNAPSHOT, &self.snapshot)].into_iter();
        let state = state.filter_map(|(key, value)| value.as_deref().map(|value| (vec![key], Some(value))));
        let removed = self.removed.iter().map(|&index| (entry_key(index), None));
        let entries = self.entries.iter().map(|(index, bytes)| (entry_key(*index), Some(bytes.as_slice())));
        state.chain(removed).chain(entries)
    }
}

/// First bytes of the keys.
const HARD: u8 = 0;
const SNAPSHOT: u8 = 1;
const ENTRY: u8 = 2;

fn entry_key(index: u64) -> Vec<u8> {
    [&[ENTRY][..], &index.to_be_bytes()].concat()
}

/// What an earlier run left, as it was saved.
#[derive(Clone, Debug, Default)]
pub struct RecoveredLog {
    /// Raft's hard state, encoded.
    pub hard: Option<Vec<u8>>,
    /// The snapshot, encoded.
    pub snapshot: Option<Vec<u8>>,
    /// Entries by their index, encoded.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl RecoveredLog {
    /// A record that was kept; false for one that is none of the log's.
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

    /// Takes in what was saved, as a disk does.
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
