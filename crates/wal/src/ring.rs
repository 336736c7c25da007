//! The ring: a queue, counters and the thread that writes.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crate::backlog::Backlog;
use crate::error::{DiskError, OpenError};
use crate::format::Position;
use crate::options::Options;
use crate::recovery::{Record, Recovery};
use crate::storage::{FolderStorage, Storage};
use crate::writer::{OpenedWriter, Writer};

/// Called by the ring's thread after each sync and when the disk starts to fail or recovers. It must not block.
pub type OnProgress = Box<dyn Fn() + Send>;

/// Fill level of a ring and state of its disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    /// Maximum size of the files in bytes.
    pub capacity: u64,
    /// Size in bytes of the files that contain needed records.
    pub used_bytes: u64,
    /// The error that currently prevents records from becoming durable. A disk that hangs returns no error;
    /// [`Self::unwritten_for`] shows that case.
    pub disk_error: Option<DiskError>,
    /// Time on the monotonic clock at which the oldest record that is not durable was appended, or the first record of
    /// its batch; `None` if all records are durable. It stays unchanged while the disk hangs or fails.
    pub oldest_unwritten_since: Option<Instant>,
}

impl Usage {
    /// Returns how long the oldest record that is not durable has been waiting at `now`, including time in which the
    /// whole process was suspended.
    pub fn unwritten_for(&self, now: Instant) -> Option<Duration> {
        self.oldest_unwritten_since.map(|since| now.saturating_duration_since(since))
    }
}

/// What the ring's thread is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    No,
    ForWork,
    ForRetry,
}

/// State protected by the lock.
struct Queue {
    records: Vec<Record>,
    backlog: Backlog,
    next_position: Position,
    released_before: Position,
    release_is_new: bool,
    closing: bool,
    waiting: Waiting,
    used_bytes: u64,
    disk_error: Option<DiskError>,
}

struct Shared {
    queue: Mutex<Queue>,
    wake: Condvar,
    durable_through: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A write-ahead log in a ring of files. Dropping it ends the thread; records that are queued and not being written at
/// that time are lost.
pub struct Ring {
    shared: Arc<Shared>,
    capacity: u64,
    thread: Option<JoinHandle<()>>,
}

impl Ring {
    /// Opens the ring in this folder and starts its thread.
    ///
    /// # Errors
    /// Returns an error if the options are too small, the files cannot be read, the recovered records cannot be made
    /// durable, or durable records are missing.
    pub fn open(
        directory: &Path,
        options: Options,
        on_progress: OnProgress,
    ) -> Result<(Self, Recovery), OpenError> {
        let storage = FolderStorage::new(directory).map_err(OpenError::disk("create the folder"))?;
        Self::open_with(storage, options, on_progress)
    }

    /// Like [`Self::open`], on any storage.
    ///
    /// # Errors
    /// See [`Self::open`].
    pub fn open_with<S: Storage>(
        storage: S,
        options: Options,
        on_progress: OnProgress,
    ) -> Result<(Self, Recovery), OpenError> {
        let OpenedWriter { mut writer, recovery, next_position } = Writer::recover(storage, &options)?;
        // The owner acts on the recovered records, so a loss of power must not remove them again.
        writer.resync().map_err(OpenError::NotDurable)?;
        let queue = Queue {
            records: Vec::new(),
            backlog: Backlog::default(),
            next_position,
            released_before: 0,
            release_is_new: false,
            closing: false,
            waiting: Waiting::No,
            used_bytes: writer.used_bytes(),
            disk_error: None,
        };
        let durable_through = AtomicU64::new(writer.durable_through());
        let shared = Arc::new(Shared { queue: Mutex::new(queue), wake: Condvar::new(), durable_through });
        let worker = Worker {
            writer,
            shared: Arc::clone(&shared),
            on_progress,
            retry_interval: options.retry_interval,
            batch: Vec::new(),
        };
        let thread = Builder::new()
            .name("ring".to_owned())
            .spawn(move || worker.run())
            .map_err(OpenError::disk("start the thread that writes"))?;
        Ok((Self { shared, capacity: options.capacity_bytes, thread: Some(thread) }, recovery))
    }

    /// Queues a record and returns its position without blocking. Positions increase by one.
    pub fn append(&self, payload: Vec<u8>) -> Position {
        let mut queue = self.shared.lock();
        let position = queue.next_position;
        queue.next_position += 1;
        if queue.records.is_empty() {
            queue.backlog.begin(position, Instant::now());
        }
        queue.records.push(Record { position, payload });
        if queue.waiting == Waiting::ForWork {
            queue.waiting = Waiting::No;
            self.shared.wake.notify_one();
        }
        position
    }

    /// Returns the position that the next [`Self::append`] returns.
    pub fn next_position(&self) -> Position {
        self.shared.lock().next_position
    }

    /// Returns the position through which records are durable, so that they survive a loss of power; 0 before the
    /// first.
    pub fn durable_through(&self) -> Position {
        self.shared.durable_through.load(Ordering::Acquire)
    }

    /// Permits the reuse of files all of whose records are below `position`. Call it only when the replacement of those
    /// records is durable. Positions that are not durable yet are not released.
    pub fn release_before(&self, position: Position) {
        let mut queue = self.shared.lock();
        if position <= queue.released_before {
            return;
        }
        queue.released_before = position;
        queue.release_is_new = true;
        if queue.waiting != Waiting::No {
            queue.waiting = Waiting::No;
            self.shared.wake.notify_one();
        }
    }

    /// Returns the fill level and the state of the disk. A release is included once the thread has processed it.
    pub fn usage(&self) -> Usage {
        let queue = self.shared.lock();
        Usage {
            capacity: self.capacity,
            used_bytes: queue.used_bytes,
            disk_error: queue.disk_error,
            oldest_unwritten_since: queue.backlog.oldest(),
        }
    }
}

impl Drop for Ring {
    fn drop(&mut self) {
        self.shared.lock().closing = true;
        self.shared.wake.notify_one();
        if self.thread.take().is_some_and(|thread| thread.join().is_err()) {
            log::error!("ring: the writer thread has panicked");
        }
    }
}

/// State owned by the ring's thread.
struct Worker<S: Storage> {
    writer: Writer<S>,
    shared: Arc<Shared>,
    on_progress: OnProgress,
    retry_interval: Duration,
    /// Swapped with the queue, so that both keep their allocations.
    batch: Vec<Record>,
}

impl<S: Storage> Worker<S> {
    fn run(mut self) {
        let mut disk_error = None;
        self.prepare_ahead(disk_error);
        while let Some(released_before) = self.wait_for_work() {
            for record in self.batch.drain(..) {
                self.writer.enqueue(record);
            }
            self.writer.release_before(released_before);
            let before = self.writer.durable_through();
            let now = self.writer.commit().err();
            // A position that was not durable before the commit could not be released before it.
            self.writer.release_before(released_before);
            let durable_through = self.writer.durable_through();
            self.shared.durable_through.store(durable_through, Ordering::Release);
            let changed = now != disk_error;
            if changed {
                report(now);
                disk_error = now;
            }
            self.publish(disk_error);
            if changed || durable_through != before {
                (self.on_progress)();
            }
            self.prepare_ahead(disk_error);
        }
    }

    /// Waits for work and takes the queue; returns `None` when the ring is closed.
    fn wait_for_work(&mut self) -> Option<Position> {
        let mut queue = self.shared.lock();
        let mut retry = self.writer.has_pending() && queue.disk_error.is_none();
        loop {
            if queue.closing {
                return None;
            }
            let has_work = queue.disk_error.is_none() && !queue.records.is_empty();
            if retry || has_work || queue.release_is_new {
                break;
            }
            if queue.disk_error.is_some() {
                queue.waiting = Waiting::ForRetry;
                let waited = self.shared.wake.wait_timeout(queue, self.retry_interval);
                queue = waited.unwrap_or_else(PoisonError::into_inner).0;
                retry = true;
            } else {
                queue.waiting = Waiting::ForWork;
                queue = self.shared.wake.wait(queue).unwrap_or_else(PoisonError::into_inner);
            }
        }
        queue.waiting = Waiting::No;
        queue.release_is_new = false;
        std::mem::swap(&mut queue.records, &mut self.batch);
        Some(queue.released_before)
    }

    fn publish(&self, disk_error: Option<DiskError>) {
        let mut queue = self.shared.lock();
        queue.disk_error = disk_error;
        queue.used_bytes = self.writer.used_bytes();
        let next_position = queue.next_position;
        queue.backlog.remove_durable(self.writer.durable_through(), next_position);
    }

    /// Prepares the next file after the sync, when no record is waiting for it.
    fn prepare_ahead(&mut self, disk_error: Option<DiskError>) {
        if disk_error.is_none()
            && let Err(reason) = self.writer.prepare_ahead()
        {
            log::debug!("ring: the next file is not ready yet: {reason}");
        }
    }
}

fn report(error: Option<DiskError>) {
    match error {
        Some(error) => log::warn!("ring: {error}; records stay queued"),
        None => log::info!("ring: the disk accepts records again"),
    }
}
