//! The file operations that a ring needs, and their implementation on a folder of the file system.

use std::fs::{self, File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A folder of files. Tests implement it with a simulated disk.
///
/// A write is durable once [`Storage::sync`] of the same file has returned without an error. A name that was created,
/// renamed or removed is durable once [`Storage::sync_folder`] has returned without an error. Before that, a loss of
/// power may keep or lose each name independently, even if its file was synced.
pub trait Storage: Send + 'static {
    /// An open file.
    type File: Send;

    /// Returns the names of all files in the folder, in any order.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Opens a file for reading and writing; creates it if it is missing.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    /// Returns the length of the file in bytes.
    fn length(&mut self, file: &Self::File) -> io::Result<u64>;
    /// Truncates or extends the file; new bytes read as zero.
    fn set_length(&mut self, file: &Self::File, bytes: u64) -> io::Result<()>;
    /// Reads up to the buffer's length; fewer bytes only at the end of the file.
    fn read_at(&mut self, file: &Self::File, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes all bytes.
    fn write_at(&mut self, file: &Self::File, bytes: &[u8], offset: u64) -> io::Result<()>;
    /// Makes the file's contents and length durable (fdatasync).
    fn sync(&mut self, file: &Self::File) -> io::Result<()>;
    /// Renames a file, replacing an existing one.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes created, renamed and removed names durable (fsync of the folder).
    fn sync_folder(&mut self) -> io::Result<()>;
    /// Returns a random number.
    fn random(&mut self) -> u64;
}

/// A folder of the file system.
#[derive(Debug)]
pub struct FolderStorage {
    folder: PathBuf,
}

impl FolderStorage {
    /// Opens the folder. If it is missing, creates it and its parents and makes their names durable.
    ///
    /// # Errors
    /// Returns an error if a folder cannot be created or its parent cannot be synced.
    pub fn new(folder: &Path) -> io::Result<Self> {
        create_durable_folder(folder)?;
        Ok(Self { folder: folder.to_path_buf() })
    }
}

fn create_durable_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let parent = match folder.parent() {
        Some(parent) if parent != Path::new("") => parent,
        _ => Path::new("."),
    };
    create_durable_folder(parent)?;
    fs::create_dir_all(folder)?;
    File::open(parent)?.sync_all()
}

impl Storage for FolderStorage {
    type File = File;

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn open(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(self.folder.join(name))
    }

    fn length(&mut self, file: &File) -> io::Result<u64> {
        Ok(file.metadata()?.len())
    }

    fn set_length(&mut self, file: &File, bytes: u64) -> io::Result<()> {
        file.set_len(bytes)
    }

    fn read_at(&mut self, file: &File, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let mut filled = 0;
        while filled < buffer.len() {
            match file.read_at(&mut buffer[filled..], offset + filled as u64) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(filled)
    }

    fn write_at(&mut self, file: &File, bytes: &[u8], offset: u64) -> io::Result<()> {
        file.write_all_at(bytes, offset)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn random(&mut self) -> u64 {
        RandomState::new().hash_one(0_u64)
    }
}

/// Returns a random salt that differs from `old`.
pub(crate) fn new_salt<S: Storage>(storage: &mut S, old: u32) -> u32 {
    let salt = storage.random() as u32;
    if salt == old { !salt } else { salt }
}
