//! All file access goes through these traits, so that tests can simulate data loss, torn writes, errors and full disks.

pub mod real;
pub mod simulated;

use std::io;
use std::sync::Arc;

/// An open file. A write either completes or returns an error; data that is not synced may be lost in a crash, in any
/// order. Every method fails if the underlying system call fails.
pub trait DiskFile: Send + Sync {
    /// Writes all bytes at this offset.
    ///
    /// # Errors
    ///
    /// The disk fails or is full; some of the bytes may have been written.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Reads bytes at this offset and returns how many; fewer than requested only at the end of the file.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize>;
    /// Returns the size of the file in bytes.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn length(&self) -> io::Result<u64>;
    /// Truncates the file to this length.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn truncate(&self, length: u64) -> io::Result<()>;
    /// Returns once the data and the length of the file are durable.
    ///
    /// # Errors
    ///
    /// The disk fails. It is then unknown which data is durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory. Every method fails if the underlying system call fails.
pub trait Disk: Send + Sync {
    /// Returns the names of all files, sorted.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates an empty file, replacing any file of that name.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Opens an existing file.
    ///
    /// # Errors
    ///
    /// No file has that name, or the disk fails.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    ///
    /// No file has the old name, or the disk fails.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Open handles stay readable.
    ///
    /// # Errors
    ///
    /// No file has that name, or the disk fails.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Returns once all created, renamed and removed names are durable.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn sync_names(&self) -> io::Result<()>;
    /// Acquires the exclusive lock of the directory, which is held until it is dropped or the process ends.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ResourceBusy`] if another owner holds the lock, or the disk fails.
    fn lock(&self) -> io::Result<Box<dyn Send + Sync>>;
    /// Returns the free space in bytes, as reported by the system.
    ///
    /// # Errors
    ///
    /// The disk fails.
    fn free(&self) -> io::Result<u64>;
}

/// Reads a complete file.
///
/// # Errors
///
/// The file is longer than `max_bytes`, or the disk fails.
pub(crate) fn read_whole(file: &dyn DiskFile, max_bytes: u64) -> io::Result<Vec<u8>> {
    let length = file.length()?;
    if length > max_bytes {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a file of {length} bytes")));
    }
    let mut bytes = vec![0; length as usize];
    let read = file.read_at(0, &mut bytes)?;
    bytes.truncate(read);
    Ok(bytes)
}
