//! Runs the store on its own thread behind a bounded queue, so that callers never wait for a disk.
//!
//! Updates of state are latest-wins: while the queue is full, the sender buffers them, one per key, and a later update
//! replaces an earlier one. Batches are never coalesced or silently dropped: a batch that does not fit is rejected.

mod completion;
mod writer_thread;

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Acquire, Ordering::Relaxed, Ordering::Release};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam_channel::{Sender, TrySendError, bounded};

pub use crate::background_writer::completion::PendingWrite;

use crate::background_writer::completion::{Completion, Waker};
use crate::background_writer::writer_thread::WriterThread;
use crate::batch::Batch;
use crate::error::WriteError;
use crate::snapshot::Snapshot;
use crate::store::LogStore;

/// When a batch has to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The batch is acknowledged once it is durable; concurrent batches share a sync.
    Synced,
    /// The batch becomes durable within the delay and the number of bytes set in [`WriterOptions`].
    Deferred,
}

/// Options of a background writer.
#[derive(Clone, Copy, Debug)]
pub struct WriterOptions {
    /// Capacity of the queue in requests.
    pub queue_capacity: usize,
    /// The maximum number of keys whose updates a sender buffers.
    pub max_buffered_keys: usize,
    /// The maximum time that a deferred batch stays unsynced.
    pub max_sync_delay: Duration,
    /// The maximum number of bytes that stay unsynced.
    pub max_unsynced_bytes: u64,
    /// The maximum number of requests that share a sync.
    pub max_group_commit: usize,
}

impl Default for WriterOptions {
    fn default() -> Self {
        WriterOptions {
            queue_capacity: 1024,
            max_buffered_keys: 4096,
            max_sync_delay: Duration::from_millis(200),
            max_unsynced_bytes: 1 << 20,
            max_group_commit: 256,
        }
    }
}

/// Counters since the start of the writer.
#[derive(Debug, Default)]
pub struct WriterCounters {
    /// Batches written.
    pub batches: AtomicU64,
    /// Syncs attempted.
    pub syncs: AtomicU64,
    /// Writes, syncs and merges that failed.
    pub errors: AtomicU64,
    /// Buffered updates that were replaced by a later one before they were written.
    pub coalesced: AtomicU64,
    /// Batches and updates that were rejected because the queue or buffer was full.
    pub rejected: AtomicU64,
    /// Runs of segments merged.
    pub compactions: AtomicU64,
}

/// A request to the writer thread.
enum Request {
    /// Append the batch. The completion, if any, is completed once the batch is durable.
    Append(Batch, Option<Completion>),
    /// Merge all runs that the policy chooses.
    Compact(Completion),
    /// Publish a snapshot with all batches submitted before.
    Publish(Completion),
    /// Write and sync all batches submitted before, and stop.
    Stop,
}

/// Counters from which a reader determines whether the published snapshot contains all submitted batches.
#[derive(Debug, Default)]
struct Progress {
    /// Batches submitted through all handles.
    submitted: AtomicU64,
    /// Submitted batches that the published snapshot contains.
    published: AtomicU64,
}

/// State shared by the writer and its handles.
#[derive(Clone)]
struct Shared {
    waker: Arc<Waker>,
    counters: Arc<WriterCounters>,
    progress: Arc<Progress>,
}

/// A handle through which one sender submits batches and updates.
pub struct WriterHandle {
    requests: Sender<Request>,
    shared: Shared,
    max_buffered_keys: usize,
    /// Updates that could not be sent yet: by keyspace and key, the value, or `None` for a delete.
    buffered: BTreeMap<(u16, Vec<u8>), Option<Vec<u8>>>,
}

impl WriterHandle {
    /// Buffers an update of a key until the next [`WriterHandle::flush`], which sends all buffered updates as one
    /// batch. Never blocks. Returns false if both the buffer and the queue are full; the update is then dropped and
    /// counted as rejected.
    pub fn update(&mut self, keyspace: u16, key: &[u8], value: Option<&[u8]>) -> bool {
        let key = (keyspace, key.to_vec());
        let is_full = self.buffered.len() >= self.max_buffered_keys;
        if is_full && !self.buffered.contains_key(&key) && !self.flush() {
            self.shared.counters.rejected.fetch_add(1, Relaxed);
            return false;
        }
        if self.buffered.insert(key, value.map(<[u8]>::to_vec)).is_some() {
            self.shared.counters.coalesced.fetch_add(1, Relaxed);
        }
        true
    }

    /// Sends all buffered updates, blocking while the queue is full. Returns false if the writer has stopped.
    pub fn finish(self) -> bool {
        let batch = self.buffered_batch();
        batch.is_empty() || self.send(Request::Append(batch, None)).is_ok()
    }

    /// Returns all buffered updates as a batch.
    fn buffered_batch(&self) -> Batch {
        self.buffered.iter().fold(Batch::new(), |batch, ((keyspace, key), value)| match value {
            Some(value) => batch.put(*keyspace, key, value),
            None => batch.delete(*keyspace, key),
        })
    }

    /// Sends all buffered updates as one batch. Returns false if the queue is full or the writer has stopped.
    pub fn flush(&mut self) -> bool {
        if self.buffered.is_empty() {
            return true;
        }
        let is_sent = self.try_send(Request::Append(self.buffered_batch(), None)).is_ok();
        if is_sent {
            self.buffered.clear();
        }
        is_sent
    }

    /// Returns the number of keys with buffered updates.
    pub fn buffered_keys(&self) -> usize {
        self.buffered.len()
    }

    /// Submits a batch that must not be coalesced, after all buffered updates.
    ///
    /// # Errors
    ///
    /// The queue is full, or the writer has stopped. The batch is returned.
    pub fn try_append(&mut self, batch: Batch) -> Result<PendingWrite, Batch> {
        if !self.flush() {
            self.shared.counters.rejected.fetch_add(1, Relaxed);
            return Err(batch);
        }
        let (completion, pending) = PendingWrite::new(&self.shared.waker);
        match self.try_send(Request::Append(batch, Some(completion))) {
            Ok(()) => Ok(pending),
            Err(request) => {
                self.shared.counters.rejected.fetch_add(1, Relaxed);
                match request {
                    Request::Append(batch, _) => Err(batch),
                    Request::Compact(_) | Request::Publish(_) | Request::Stop => Err(Batch::new()),
                }
            }
        }
    }

    /// Submits a batch, blocking while the queue is full. For [`Durability::Synced`], returns a handle to wait for it.
    ///
    /// # Errors
    ///
    /// The writer has stopped.
    pub fn append(&self, batch: Batch, durability: Durability) -> Result<Option<PendingWrite>, WriteError> {
        let pair = (durability == Durability::Synced).then(|| PendingWrite::new(&self.shared.waker));
        let (completion, pending) = pair.unzip();
        self.send(Request::Append(batch, completion))?;
        Ok(pending)
    }

    /// Sends a request, counting it first: a reader that loads the counter after sending its own request then counts
    /// all requests before it in the queue.
    fn send(&self, request: Request) -> Result<(), WriteError> {
        let submitted = &self.shared.progress.submitted;
        submitted.fetch_add(1, Release);
        self.requests.send(request).map_err(|_| {
            submitted.fetch_sub(1, Release);
            WriteError::Stopped
        })
    }

    /// Like [`WriterHandle::send`], but does not block: returns the request if the queue is full.
    fn try_send(&self, request: Request) -> Result<(), Request> {
        let submitted = &self.shared.progress.submitted;
        submitted.fetch_add(1, Release);
        self.requests.try_send(request).map_err(|error| {
            submitted.fetch_sub(1, Release);
            let (TrySendError::Full(request) | TrySendError::Disconnected(request)) = error;
            request
        })
    }
}

/// A store that runs on its own thread. Dropping it writes and syncs all submitted batches.
pub struct BackgroundWriter {
    requests: Sender<Request>,
    shared: Shared,
    published: Arc<ArcSwap<Snapshot>>,
    max_buffered_keys: usize,
    thread: Option<JoinHandle<LogStore>>,
}

impl BackgroundWriter {
    /// Moves the store to its own thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(store: LogStore, options: WriterOptions) -> io::Result<BackgroundWriter> {
        let (requests, queue) = bounded(options.queue_capacity);
        store.publish();
        let published = store.published();
        let shared = Shared { waker: Arc::default(), counters: Arc::default(), progress: Arc::default() };
        let writer = WriterThread::new(store, options, queue, shared.clone());
        let thread = std::thread::Builder::new().name("logbook".to_owned());
        let thread = Some(thread.spawn(move || writer.run())?);
        let max_buffered_keys = options.max_buffered_keys;
        Ok(BackgroundWriter { requests, shared, published, max_buffered_keys, thread })
    }

    /// Creates a handle for another sender.
    pub fn handle(&self) -> WriterHandle {
        WriterHandle {
            requests: self.requests.clone(),
            shared: self.shared.clone(),
            max_buffered_keys: self.max_buffered_keys,
            buffered: BTreeMap::new(),
        }
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &WriterCounters {
        &self.shared.counters
    }

    /// Returns a snapshot with all batches submitted before: immediately if none was submitted since the last snapshot,
    /// else after the thread's next round, without waiting for a sync. Snapshots are published only on request, because
    /// each one makes the next write copy the index nodes that it shares.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        // The order matters: a snapshot loaded after the `published` counter contains at least that many batches.
        let progress = &self.shared.progress;
        if progress.published.load(Acquire) >= progress.submitted.load(Acquire) {
            return self.published.load_full();
        }
        let (completion, pending) = PendingWrite::new(&self.shared.waker);
        if self.requests.send(Request::Publish(completion)).is_ok() {
            let _ = pending.wait();
        }
        self.published.load_full()
    }

    /// Merges all runs that the policy chooses, regardless of the budget. Returns the size of the store afterwards.
    ///
    /// # Errors
    ///
    /// The disk fails, or the writer has stopped.
    pub fn compact(&self) -> Result<u64, WriteError> {
        let (completion, pending) = PendingWrite::new(&self.shared.waker);
        self.requests.send(Request::Compact(completion)).map_err(|_| WriteError::Stopped)?;
        pending.wait()
    }

    /// Writes and syncs all submitted batches, and stops. Returns `None` if the thread has panicked.
    pub fn stop(mut self) -> Option<LogStore> {
        let _ = self.requests.send(Request::Stop);
        self.thread.take()?.join().ok()
    }
}

impl Drop for BackgroundWriter {
    fn drop(&mut self) {
        let _ = self.requests.send(Request::Stop);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
