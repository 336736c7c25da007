//! Keys as stored in the index.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

/// Encoded size of a keyspace, in bytes.
const KEYSPACE_BYTES: usize = 2;
/// The longest key, including its keyspace, that is stored inline, in bytes.
const INLINE_BYTES: usize = 30;

/// A key prefixed by its big-endian keyspace, so that a keyspace is a contiguous range. A short key is stored inline:
/// when a write copies nodes of the map, inline keys are copied as plain bytes, whereas each shared key costs a
/// reference count increment per copy and a decrement per drop.
#[derive(Clone)]
pub(crate) enum IndexKey {
    Inline { length: u8, bytes: [u8; INLINE_BYTES] },
    Shared(Arc<[u8]>),
}

impl IndexKey {
    /// Creates the index key of a key in a keyspace.
    pub fn new(keyspace: u16, key: &[u8]) -> IndexKey {
        let length = KEYSPACE_BYTES + key.len();
        if length <= INLINE_BYTES {
            let mut bytes = [0; INLINE_BYTES];
            bytes[..KEYSPACE_BYTES].copy_from_slice(&keyspace.to_be_bytes());
            bytes[KEYSPACE_BYTES..length].copy_from_slice(key);
            return IndexKey::Inline { length: length as u8, bytes };
        }
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&keyspace.to_be_bytes());
        bytes.extend_from_slice(key);
        IndexKey::Shared(bytes.into())
    }

    /// Returns the keyspace.
    pub fn keyspace(&self) -> u16 {
        u16::from_be_bytes([self[0], self[1]])
    }

    /// Returns the key without its keyspace.
    pub fn name(&self) -> &[u8] {
        &self[KEYSPACE_BYTES..]
    }
}

impl Deref for IndexKey {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match self {
            IndexKey::Inline { length, bytes } => &bytes[..usize::from(*length)],
            IndexKey::Shared(bytes) => bytes,
        }
    }
}

impl Borrow<[u8]> for IndexKey {
    fn borrow(&self) -> &[u8] {
        self
    }
}

impl PartialEq for IndexKey {
    fn eq(&self, other: &IndexKey) -> bool {
        **self == **other
    }
}

impl Eq for IndexKey {}

impl PartialOrd for IndexKey {
    fn partial_cmp(&self, other: &IndexKey) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for IndexKey {
    fn cmp(&self, other: &IndexKey) -> Ordering {
        (**self).cmp(&**other)
    }
}

impl Hash for IndexKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (**self).hash(state);
    }
}

impl fmt::Debug for IndexKey {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}", &**self)
    }
}
