//! An in-memory disk that tracks what has been synced. It can lose, tear and reorder unsynced writes, lose unsynced
//! file names, run full, and fail any call: the states that a machine may be left in by a power loss, produced on
//! demand.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::{Disk, DiskFile};

/// Index of a file among all files ever created.
type FileIndex = usize;

/// A change to the content of a file.
#[derive(Clone, Debug)]
enum FileChange {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { length: u64 },
}

/// The content of a file as readers see it, and the pending changes from which a crash may leave another content.
#[derive(Clone, Debug, Default)]
struct FileContent {
    current: Vec<u8>,
    synced: Vec<u8>,
    /// Changes since the last sync.
    pending: Vec<FileChange>,
}

/// A change to the file names.
#[derive(Clone, Debug)]
enum NameChange {
    Put(String, FileIndex),
    Rename(String, String),
    Remove(String),
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<FileContent>,
    names: BTreeMap<String, FileIndex>,
    synced_names: BTreeMap<String, FileIndex>,
    pending_names: Vec<NameChange>,
    locked: bool,
    capacity: u64,
    /// Number of calls so far that change something.
    calls: u64,
    /// The index of the call that fails once.
    failing_call: Option<u64>,
    /// From this call on all calls fail, as after a power loss.
    power_loss_at: Option<u64>,
    /// The index of the sync, counted separately, that fails once; its data is never written.
    failing_sync: Option<u64>,
    syncs: u64,
}

/// A simulated directory. Clones share its content, as processes share a directory.
#[derive(Clone)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

/// Which unsynced changes survive a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLoss {
    /// Which pending changes of each file survive.
    pub files: Persisted,
    /// Which pending changes of names survive.
    pub names: Persisted,
}

/// Which of the pending changes are persisted in a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persisted {
    /// None.
    Nothing,
    /// All.
    All,
    /// This many changes in order, and the first half of the write after them.
    First(usize),
    /// All except the change of this index, as if written out of order.
    Without(usize),
}

impl Persisted {
    /// Returns whether the pending change of this index is persisted completely.
    fn contains(self, index: usize) -> bool {
        match self {
            Persisted::Nothing => false,
            Persisted::All => true,
            Persisted::First(first) => index < first,
            Persisted::Without(lost) => index != lost,
        }
    }

    /// Returns whether only half of the pending write of this index is persisted.
    fn tears(self, index: usize) -> bool {
        self == Persisted::First(index)
    }
}

fn write_into(content: &mut Vec<u8>, offset: u64, bytes: &[u8]) {
    let (start, end) = (offset as usize, offset as usize + bytes.len());
    if content.len() < end {
        content.resize(end, 0);
    }
    content[start..end].copy_from_slice(bytes);
}

fn apply(content: &mut Vec<u8>, change: &FileChange) {
    match change {
        FileChange::Truncate { length } => content.resize(*length as usize, 0),
        FileChange::Write { offset, bytes } => write_into(content, *offset, bytes),
    }
}

impl FileContent {
    /// Applies a change that is not synced yet.
    fn change(&mut self, change: FileChange) {
        apply(&mut self.current, &change);
        self.pending.push(change);
    }

    /// Returns the content after a crash.
    fn after_crash(&self, persisted: Persisted) -> Vec<u8> {
        let mut content = self.synced.clone();
        for (index, change) in self.pending.iter().enumerate() {
            if persisted.contains(index) {
                apply(&mut content, change);
            } else if let FileChange::Write { offset, bytes } = change
                && persisted.tears(index)
            {
                write_into(&mut content, *offset, &bytes[..bytes.len() / 2]);
            }
        }
        content
    }
}

impl State {
    /// Counts a mutating call, and returns an error if the call is set to fail.
    fn count_call(&mut self) -> io::Result<()> {
        let call = self.calls;
        if self.power_loss_at.is_some_and(|first| call >= first) {
            return Err(io::Error::other("the machine has lost power"));
        }
        self.calls += 1;
        if self.failing_call == Some(call) {
            return Err(io::Error::other("a call that fails"));
        }
        Ok(())
    }

    fn used(&self) -> u64 {
        let linked: BTreeSet<FileIndex> = self.names.values().copied().collect();
        linked.into_iter().map(|index| self.files[index].current.len() as u64).sum()
    }

    fn apply_name_change(names: &mut BTreeMap<String, FileIndex>, change: &NameChange) {
        match change {
            NameChange::Put(name, index) => {
                names.insert(name.clone(), *index);
            }
            NameChange::Rename(from, to) => {
                if let Some(index) = names.remove(from) {
                    names.insert(to.clone(), index);
                }
            }
            NameChange::Remove(name) => {
                names.remove(name);
            }
        }
    }

    fn change_name(&mut self, change: NameChange) {
        State::apply_name_change(&mut self.names, &change);
        self.pending_names.push(change);
    }
}

impl SimulatedDisk {
    /// Creates an empty directory on a disk of this capacity in bytes.
    pub fn new(capacity: u64) -> SimulatedDisk {
        SimulatedDisk(Arc::new(Mutex::new(State { capacity, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of mutating calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the number of file syncs so far.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Makes all mutating calls fail from this one on.
    pub fn die_at(&self, call: u64) {
        self.state().power_loss_at = Some(call);
    }

    /// Makes this mutating call fail once.
    pub fn fail_at(&self, call: u64) {
        self.state().failing_call = Some(call);
    }

    /// Makes this file sync fail once; its data is never written.
    pub fn fail_sync(&self, sync: u64) {
        self.state().failing_sync = Some(sync);
    }

    /// Changes the capacity of the disk to this many bytes.
    pub fn resize(&self, capacity: u64) {
        self.state().capacity = capacity;
    }

    /// Returns the total size in bytes of all files that have a name.
    pub fn used(&self) -> u64 {
        self.state().used()
    }

    /// Returns the largest number of pending changes of any file, and the number of pending name changes: the range in
    /// which a [`CrashLoss`] makes a difference.
    pub fn pending(&self) -> (usize, usize) {
        let state = self.state();
        let most_of_files = state.files.iter().map(|file| file.pending.len()).max();
        (most_of_files.unwrap_or(0), state.pending_names.len())
    }

    /// Returns the disk as it is found after a crash.
    #[must_use]
    pub fn after_crash(&self, loss: CrashLoss) -> SimulatedDisk {
        let state = self.state();
        let mut names = state.synced_names.clone();
        for (index, change) in state.pending_names.iter().enumerate() {
            if loss.names.contains(index) {
                State::apply_name_change(&mut names, change);
            }
        }
        let files = state.files.iter().map(|file| {
            let content = file.after_crash(loss.files);
            FileContent { current: content.clone(), synced: content, pending: Vec::new() }
        });
        let after = State {
            files: files.collect(),
            names: names.clone(),
            synced_names: names,
            capacity: state.capacity,
            ..State::default()
        };
        SimulatedDisk(Arc::new(Mutex::new(after)))
    }

    /// Returns an independent copy with all changes synced.
    #[must_use]
    pub fn copy(&self) -> SimulatedDisk {
        self.after_crash(CrashLoss { files: Persisted::All, names: Persisted::All })
    }

    /// Returns the content of a file, for tests that damage it.
    pub fn bytes(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state();
        state.names.get(name).map(|&index| state.files[index].current.clone())
    }

    /// Sets the synced content of a file, creating it if it does not exist.
    pub fn set_bytes(&self, name: &str, bytes: Vec<u8>) {
        let mut state = self.state();
        let index = match state.names.get(name) {
            Some(&index) => index,
            None => {
                state.files.push(FileContent::default());
                let index = state.files.len() - 1;
                state.names.insert(name.to_owned(), index);
                state.synced_names.insert(name.to_owned(), index);
                index
            }
        };
        state.files[index] = FileContent { current: bytes.clone(), synced: bytes, pending: Vec::new() };
    }

    /// Returns the names of all files, sorted.
    pub fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }
}

struct SimulatedFile {
    disk: SimulatedDisk,
    index: FileIndex,
}

impl DiskFile for SimulatedFile {
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        state.count_call()?;
        let length = state.files[self.index].current.len() as u64;
        let grows = (offset + bytes.len() as u64).saturating_sub(length);
        let excess = (state.used() + grows).saturating_sub(state.capacity);
        // A disk that runs full during a write keeps the bytes that fit.
        let fits = bytes.len() - excess.min(bytes.len() as u64) as usize;
        state.files[self.index].change(FileChange::Write { offset, bytes: bytes[..fits].to_vec() });
        if excess > 0 { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn read_at(&self, offset: u64, into: &mut [u8]) -> io::Result<usize> {
        let state = self.disk.state();
        let content = &state.files[self.index].current;
        let from = (offset as usize).min(content.len());
        let length = into.len().min(content.len() - from);
        into[..length].copy_from_slice(&content[from..from + length]);
        Ok(length)
    }

    fn length(&self) -> io::Result<u64> {
        Ok(self.disk.state().files[self.index].current.len() as u64)
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.count_call()?;
        state.files[self.index].change(FileChange::Truncate { length });
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.count_call()?;
        let sync = state.syncs;
        state.syncs += 1;
        let fails = state.failing_sync == Some(sync);
        let file = &mut state.files[self.index];
        if fails {
            // As on real systems: the pages are marked clean, and no later sync writes them.
            file.pending.clear();
            return Err(io::Error::other("a sync that fails"));
        }
        for change in std::mem::take(&mut file.pending) {
            apply(&mut file.synced, &change);
        }
        Ok(())
    }
}

struct SimulatedLock(SimulatedDisk);

impl Drop for SimulatedLock {
    fn drop(&mut self) {
        self.0.state().locked = false;
    }
}

impl Disk for SimulatedDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let mut state = self.state();
        state.count_call()?;
        state.files.push(FileContent::default());
        let index = state.files.len() - 1;
        state.change_name(NameChange::Put(name.to_owned(), index));
        Ok(Arc::new(SimulatedFile { disk: self.clone(), index }))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let state = self.state();
        let index = *state.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(Arc::new(SimulatedFile { disk: self.clone(), index }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_call()?;
        if !state.names.contains_key(from) {
            return Err(ErrorKind::NotFound.into());
        }
        state.change_name(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_call()?;
        if !state.names.contains_key(name) {
            return Err(ErrorKind::NotFound.into());
        }
        state.change_name(NameChange::Remove(name.to_owned()));
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut state = self.state();
        state.count_call()?;
        state.pending_names.clear();
        state.synced_names = state.names.clone();
        Ok(())
    }

    fn lock(&self) -> io::Result<Box<dyn Send + Sync>> {
        let mut state = self.state();
        if std::mem::replace(&mut state.locked, true) {
            return Err(io::Error::new(ErrorKind::ResourceBusy, "another process has it open"));
        }
        drop(state);
        Ok(Box::new(SimulatedLock(self.clone())))
    }

    fn free(&self) -> io::Result<u64> {
        let state = self.state();
        Ok(state.capacity.saturating_sub(state.used()))
    }
}
