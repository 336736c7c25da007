//! A directory of the file system.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::{Disk, DiskFile};

/// Name of the file that the owner of a store locks.
const LOCK: &str = "LOCK";

/// A directory of the file system.
pub struct RealDisk {
    path: PathBuf,
}

impl RealDisk {
    /// Opens the directory at this path, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory cannot be created.
    pub fn open_or_create(path: impl Into<PathBuf>) -> io::Result<RealDisk> {
        let path = path.into();
        std::fs::create_dir_all(&path)?;
        Ok(RealDisk { path })
    }

    /// Opens the existing directory at this path.
    ///
    /// # Errors
    ///
    /// The directory does not exist.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<RealDisk> {
        let path = path.into();
        let metadata = std::fs::metadata(&path)?;
        if metadata.is_dir() { Ok(RealDisk { path }) } else { Err(io::ErrorKind::NotADirectory.into()) }
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

struct RealFile(File);

impl DiskFile for RealFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all_at(bytes, offset)
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut read = 0;
        while read < into.len() {
            match self.0.read_at(&mut into[read..], offset + read as u64) {
                Ok(0) => break,
                Ok(length) => read += length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(read)
    }

    fn length(&self) -> io::Result<u64> {
        Ok(self.0.metadata()?.len())
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.0.sync_data()
    }
}

impl Disk for RealDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create(true).truncate(true).open(self.path.join(name))?;
        Ok(Arc::new(RealFile(file)))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let file = OpenOptions::new().read(true).write(true).open(self.path.join(name));
        // Read-only users, such as `repair`, may lack permission to write.
        let file = file.or_else(|_| File::open(self.path.join(name)))?;
        Ok(Arc::new(RealFile(file)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn lock(&self) -> io::Result<Box<dyn Send + Sync>> {
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create(true).truncate(false).open(self.path.join(LOCK))?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(file)),
            Err(TryLockError::WouldBlock) => {
                Err(io::Error::new(io::ErrorKind::ResourceBusy, "another process has it open"))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn free(&self) -> io::Result<u64> {
        let usage = rustix::fs::statvfs(&self.path)?;
        Ok(usage.f_bavail.saturating_mul(usage.f_frsize))
    }
}
