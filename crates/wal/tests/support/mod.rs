//! A simulated disk that loses and tears writes, fills up, fails and hangs.
#![allow(dead_code, reason = "each test file uses its own part of the disk")]

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use orchidvalve_wal::{Options, Storage, format};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Options for small files with `fragment_bytes` bytes of fragments each.
pub fn small_options(files: u64, fragment_bytes: u64) -> Options {
    let file_bytes = format::FILE_HEADER_BYTES + fragment_bytes;
    Options {
        file_bytes,
        retry_interval: std::time::Duration::from_millis(1),
        ..Options::with_capacity(files * file_bytes)
    }
}

/// A change of a file that is not covered by a sync.
#[derive(Debug, Clone)]
enum Change {
    Length(u64),
    Write(u64, Vec<u8>),
}

#[derive(Debug, Default)]
struct Node {
    durable: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Change>,
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Length(length) => bytes.resize(*length as usize, 0),
            Change::Write(offset, written) => {
                let end = *offset as usize + written.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[*offset as usize..end].copy_from_slice(written);
            }
        }
    }

    /// Applies the change as it survives a loss of power: complete, torn or not at all.
    fn survive(&self, bytes: &mut Vec<u8>, random: &mut Pcg64Mcg) {
        match (random.random_range(0..3), self) {
            (0, _) => self.apply(bytes),
            (1, Change::Write(offset, written)) if !written.is_empty() => {
                // Many tears are in the first bytes, where the headers are.
                let length = if random.random_bool(0.5) { written.len() } else { written.len().min(48) };
                let from = random.random_range(0..length);
                let to = random.random_range(from..=length);
                Change::Write(offset + from as u64, written[from..to].to_vec()).apply(bytes);
            }
            _ => {}
        }
    }
}

/// The current faults of the disk.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub full: bool,
    pub writes_fail: bool,
    pub syncs_fail: bool,
    /// The power is off after this many more changing operations: all fail until [`Disk::lose_power`].
    pub operations_left: Option<u32>,
    /// Syncs block until this is false again.
    pub syncs_hang: bool,
    /// Syncs start to hang after this many more syncs.
    pub syncs_before_hang: Option<u32>,
}

#[derive(Debug)]
struct State {
    nodes: Vec<Node>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    faults: Faults,
    syncs: u64,
    sync_begins: Option<Sender<()>>,
    random: Pcg64Mcg,
}

impl State {
    /// Counts a changing operation; returns an error if the power is off.
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.faults.operations_left {
            Some(0) => Err(io::ErrorKind::Other.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn check_write(&mut self) -> io::Result<()> {
        self.count_operation()?;
        if self.faults.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if self.faults.writes_fail { Err(io::ErrorKind::PermissionDenied.into()) } else { Ok(()) }
    }

    /// Determines the names after a loss of power.
    fn keep_names(&mut self, all_gone: bool) {
        let known: BTreeSet<String> = self.names.keys().chain(self.durable_names.keys()).cloned().collect();
        let mut kept = BTreeMap::new();
        for name in known {
            let is_current = !all_gone && self.random.random();
            let names = if is_current { &self.names } else { &self.durable_names };
            kept.extend(names.get(&name).map(|file| (name, *file)));
        }
        self.names = kept;
    }

    fn change(&mut self, file: usize, change: Change) {
        let node = &mut self.nodes[file];
        change.apply(&mut node.current);
        node.unsynced.push(change);
    }
}

/// Handle of the disk; clones share it.
#[derive(Debug, Clone)]
pub struct Disk {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Disk {
    pub fn new(seed: u64) -> Self {
        let state = State {
            nodes: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            faults: Faults::default(),
            syncs: 0,
            sync_begins: None,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an independent disk with the same durable and current contents.
    pub fn copy(&self) -> Self {
        let state = self.lock();
        let copy = Self::new(7);
        {
            let mut other = copy.lock();
            other.names = state.names.clone();
            other.durable_names = state.durable_names.clone();
            other.nodes = state
                .nodes
                .iter()
                .map(|node| Node {
                    durable: node.durable.clone(),
                    current: node.current.clone(),
                    unsynced: node.unsynced.clone(),
                })
                .collect();
        }
        copy
    }

    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.state.1.notify_all();
    }

    /// Sends a message at the start of each sync.
    pub fn watch_syncs(&self, sender: Sender<()>) {
        self.lock().sync_begins = Some(sender);
    }

    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Loses the power and restores it: each unsynced change is kept, lost or torn, or all are lost. Each name that was
    /// created, renamed or removed without a sync of the folder is independently kept or lost.
    pub fn lose_power(&self) {
        let mut guard = self.lock();
        let state = &mut *guard;
        state.faults = Faults::default();
        let all_gone = state.random.random_bool(0.3);
        state.keep_names(all_gone);
        for node in &mut state.nodes {
            for change in node.unsynced.drain(..) {
                if !all_gone {
                    change.survive(&mut node.durable, &mut state.random);
                }
            }
            node.current = node.durable.clone();
        }
        state.durable_names = state.names.clone();
    }

    /// Loses all unsynced changes.
    pub fn lose_all_unsynced(&self) {
        let mut guard = self.lock();
        let state = &mut *guard;
        state.faults = Faults::default();
        state.names = state.durable_names.clone();
        for node in &mut state.nodes {
            node.unsynced.clear();
            node.current = node.durable.clone();
        }
    }

    /// Empties the disk.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.nodes.clear();
        state.names.clear();
        state.durable_names.clear();
        state.faults = Faults::default();
    }

    pub fn names(&self) -> Vec<String> {
        self.lock().names.keys().cloned().collect()
    }

    /// Returns the size of all ring files in bytes.
    pub fn ring_bytes(&self) -> u64 {
        let state = self.lock();
        let ring_files = state.names.iter().filter(|(name, _)| name.starts_with("ring-"));
        ring_files.map(|(_, file)| state.nodes[*file].current.len() as u64).sum()
    }

    pub fn contents(&self, name: &str) -> Vec<u8> {
        let state = self.lock();
        state.nodes[state.names[name]].current.clone()
    }

    /// Replaces the contents of a file durably.
    pub fn replace(&self, name: &str, contents: Vec<u8>) {
        let mut state = self.lock();
        let file = state.names[name];
        let node = &mut state.nodes[file];
        node.durable = contents.clone();
        node.current = contents;
        node.unsynced.clear();
    }
}

impl Storage for Disk {
    type File = usize;

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.names())
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        let mut state = self.lock();
        if let Some(file) = state.names.get(name) {
            return Ok(*file);
        }
        state.check_write()?;
        let file = state.nodes.len();
        state.nodes.push(Node::default());
        state.names.insert(name.to_owned(), file);
        Ok(file)
    }

    fn length(&mut self, file: &usize) -> io::Result<u64> {
        Ok(self.lock().nodes[*file].current.len() as u64)
    }

    fn set_length(&mut self, file: &usize, bytes: u64) -> io::Result<()> {
        let mut state = self.lock();
        state.check_write()?;
        state.change(*file, Change::Length(bytes));
        Ok(())
    }

    fn read_at(&mut self, file: &usize, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        let state = self.lock();
        let contents = &state.nodes[*file].current;
        let rest = contents.get(offset as usize..).unwrap_or_default();
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }

    fn write_at(&mut self, file: &usize, bytes: &[u8], offset: u64) -> io::Result<()> {
        let mut state = self.lock();
        let checked = state.check_write();
        // A failed write may have written its beginning.
        let count = if checked.is_ok() { bytes.len() } else { state.random.random_range(0..=bytes.len()) };
        state.change(*file, Change::Write(offset, bytes[..count].to_vec()));
        checked
    }

    fn sync(&mut self, file: &usize) -> io::Result<()> {
        let mut guard = self.lock();
        if let Some(sender) = &guard.sync_begins {
            let _ = sender.send(());
        }
        match &mut guard.faults.syncs_before_hang {
            Some(0) => guard.faults.syncs_hang = true,
            Some(left) => *left -= 1,
            None => {}
        }
        while guard.faults.syncs_hang {
            guard = self.state.1.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
        guard.count_operation()?;
        let state = &mut *guard;
        state.syncs += 1;
        let node = &mut state.nodes[*file];
        let fails = state.faults.syncs_fail;
        for change in node.unsynced.drain(..) {
            // After a failed sync the kernel treats the pages as clean, regardless of what was written.
            if fails {
                change.survive(&mut node.durable, &mut state.random);
            } else {
                change.apply(&mut node.durable);
            }
        }
        if fails {
            return Err(io::ErrorKind::Other.into());
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.check_write()?;
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        state.names.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        if state.faults.syncs_fail {
            return Err(io::ErrorKind::Other.into());
        }
        state.durable_names = state.names.clone();
        Ok(())
    }

    fn random(&mut self) -> u64 {
        self.lock().random.random()
    }
}
