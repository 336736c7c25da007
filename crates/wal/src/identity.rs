//! The identity of a disk: a random number drawn at its first use. A disk that returns empty gets another one.

use crate::error::OpenError;
use crate::recovery;
use crate::storage::Storage;

const NAME: &str = "identity";
const TEMPORARY_NAME: &str = "identity.new";
const ENCODED_BYTES: usize = 12;

/// The identity of a disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DiskIdentity {
    /// Random and nonzero.
    pub number: u64,
    /// Whether it was created by this call.
    pub is_new: bool,
}

/// Reads the disk's identity, or creates one at the first use. Ring files without an identity belong to an unknown disk
/// and are removed.
pub(crate) fn load_or_create<S: Storage>(
    storage: &mut S,
    names: &[String],
) -> Result<DiskIdentity, OpenError> {
    let mut ring_files = names.iter().filter(|name| recovery::file_index(name).is_some()).peekable();
    if let Some(number) = load(storage, names)? {
        if ring_files.peek().is_none() {
            // An earlier process may have ended between the rename and the sync of the folder.
            storage.sync_folder().map_err(OpenError::disk("sync the folder"))?;
        }
        return Ok(DiskIdentity { number, is_new: false });
    }
    if ring_files.peek().is_some() {
        for name in ring_files {
            storage.remove(name).map_err(OpenError::disk("remove a stray file"))?;
        }
        // Otherwise a loss of power could restore a stray file next to the new identity.
        storage.sync_folder().map_err(OpenError::disk("sync the folder"))?;
    }
    Ok(DiskIdentity { number: create(storage)?, is_new: true })
}

/// Reads the disk's identity; returns `None` if it has none yet.
///
/// # Errors
/// Returns an error if a file operation fails or the file is damaged.
pub fn load<S: Storage>(storage: &mut S, names: &[String]) -> Result<Option<u64>, OpenError> {
    if !names.iter().any(|name| name == NAME) {
        return Ok(None);
    }
    let file = storage.open(NAME).map_err(OpenError::disk("open the identity"))?;
    let mut bytes = [0; ENCODED_BYTES];
    let count = storage.read_at(&file, &mut bytes, 0).map_err(OpenError::disk("read the identity"))?;
    let (number, checksum) = bytes.split_at(8);
    let identity = u64::from_le_bytes(number.try_into().unwrap_or_default());
    let is_valid = count == ENCODED_BYTES && crc32fast::hash(number).to_le_bytes() == checksum;
    if is_valid && identity != 0 { Ok(Some(identity)) } else { Err(OpenError::DamagedIdentity) }
}

/// Creates an identity durably: writes, syncs and renames the file, then syncs the folder.
///
/// # Errors
/// Returns an error if a file operation fails.
pub fn create<S: Storage>(storage: &mut S) -> Result<u64, OpenError> {
    let identity = storage.random().max(1);
    let mut bytes = [0; ENCODED_BYTES];
    bytes[..8].copy_from_slice(&identity.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..8]);
    bytes[8..].copy_from_slice(&checksum.to_le_bytes());
    let file = storage.open(TEMPORARY_NAME).map_err(OpenError::disk("create the identity"))?;
    storage.set_length(&file, ENCODED_BYTES as u64).map_err(OpenError::disk("create the identity"))?;
    storage.write_at(&file, &bytes, 0).map_err(OpenError::disk("write the identity"))?;
    storage.sync(&file).map_err(OpenError::disk("sync the identity"))?;
    storage.rename(TEMPORARY_NAME, NAME).map_err(OpenError::disk("rename the identity"))?;
    storage.sync_folder().map_err(OpenError::disk("sync the folder"))?;
    Ok(identity)
}
