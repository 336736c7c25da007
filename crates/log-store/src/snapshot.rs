//! Read-only snapshots of a store.

use std::sync::Arc;

use imbl::OrdMap;

use crate::error::ReadError;
use crate::key::IndexKey;
use crate::record::RecordKind;
use crate::segment::{RecordLocation, Segment, read_at};

/// The location of the latest record of a key.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Sequence number of the record.
    pub sequence: u64,
    /// Number of the segment that contains the record. The snapshot keeps the segment open.
    pub segment: u64,
    /// Location of the record in the segment.
    pub location: RecordLocation,
}

/// A read-only view of the store at one point in time. It is a persistent map, so that taking a snapshot is cheap and
/// later writes do not change it. Segments that have been compacted away since stay readable through it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub(crate) entries: OrdMap<IndexKey, Entry>,
    /// The segments that entries point into, by number. They stay readable through the snapshot.
    pub(crate) segments: OrdMap<u64, Arc<Segment>>,
    /// The sequence number of the last record in the snapshot, or 0 if there is none.
    pub sequence: u64,
}

impl Snapshot {
    /// Returns the number of keys that have a value.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key has a value.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the value of a key, or `None` if it has none.
    ///
    /// # Errors
    ///
    /// The value cannot be read, or its bytes are not the record that was written.
    pub fn get(&self, keyspace: u16, key: &[u8]) -> Result<Option<Vec<u8>>, ReadError> {
        let key = IndexKey::new(keyspace, key);
        self.entries.get(&key).map(|entry| self.value(&key, entry)).transpose()
    }

    /// Returns the keys of a keyspace in order, with their values.
    pub fn scan(&self, keyspace: u16) -> impl Iterator<Item = (Vec<u8>, Result<Vec<u8>, ReadError>)> + '_ {
        let from = IndexKey::new(keyspace, b"");
        let of_keyspace = self.entries.range(from..).take_while(move |(key, _)| key.keyspace() == keyspace);
        of_keyspace.map(|(key, entry)| (key.name().to_vec(), self.value(key, entry)))
    }

    /// Returns the numbers of the segments that the snapshot keeps open, oldest first.
    pub fn segments(&self) -> impl Iterator<Item = u64> + '_ {
        self.segments.keys().copied()
    }

    /// Returns all entries, ordered by keyspace and key.
    pub fn entries(&self) -> impl Iterator<Item = (u16, &[u8], &Entry)> {
        self.entries.iter().map(|(key, entry)| (key.keyspace(), key.name(), entry))
    }

    fn value(&self, key: &IndexKey, entry: &Entry) -> Result<Vec<u8>, ReadError> {
        let corrupt = || ReadError::Corrupt { segment: entry.segment, offset: entry.location.offset };
        let segment = self.segments.get(&entry.segment).ok_or_else(corrupt)?;
        match read_at(segment, entry.location).map_err(ReadError::Io)? {
            Some(found)
                if found.kind == RecordKind::Put
                    && found.key == key.name()
                    && found.sequence == entry.sequence =>
            {
                Ok(found.value)
            }
            _ => Err(corrupt()),
        }
    }
}
