//! Batches of changes.

use crate::record::{MAX_KEY_AND_VALUE_BYTES, RecordKind, encoded_length};

/// One change of a batch.
#[derive(Clone, Debug)]
pub(crate) struct BatchRecord {
    pub kind: RecordKind,
    pub keyspace: u16,
    pub key: Vec<u8>,
    pub value: Vec<u8>,
}

/// Changes that are applied atomically: after a crash either all or none of them are kept.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub(crate) records: Vec<BatchRecord>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Batch {
        Batch::default()
    }

    /// Adds a change that sets the value of a key.
    #[must_use]
    pub fn put(mut self, keyspace: u16, key: &[u8], value: &[u8]) -> Batch {
        let (key, value) = (key.to_vec(), value.to_vec());
        self.records.push(BatchRecord { kind: RecordKind::Put, keyspace, key, value });
        self
    }

    /// Adds a change that deletes a key.
    #[must_use]
    pub fn delete(mut self, keyspace: u16, key: &[u8]) -> Batch {
        let (key, value) = (key.to_vec(), Vec::new());
        self.records.push(BatchRecord { kind: RecordKind::Delete, keyspace, key, value });
        self
    }

    /// Appends the changes of another batch after those of this one.
    pub fn append(&mut self, other: Batch) {
        self.records.extend(other.records);
    }

    /// Returns the number of changes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the batch has no changes.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of the encoded batch in a segment, in bytes.
    pub fn size(&self) -> u64 {
        self.records.iter().map(|record| encoded_length(record.key.len(), record.value.len()) as u64).sum()
    }

    /// Returns whether each change is short enough to be read back.
    pub(crate) fn has_valid_lengths(&self) -> bool {
        self.records.iter().all(|record| record.key.len() + record.value.len() <= MAX_KEY_AND_VALUE_BYTES)
    }
}
