//! The writer thread: handles requests in groups, with one sync per group (group commit), and compacts in between.

use std::sync::Arc;
use std::sync::atomic::{Ordering::Relaxed, Ordering::Release};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::background_writer::completion::Completion;
use crate::background_writer::{Request, Shared, WriterOptions};
use crate::batch::Batch;
use crate::error::WriteError;
use crate::store::{CompactionStep, LogStore};

/// Interval between checks whether the I/O budget allows a merge to continue.
const THROTTLED_WAIT: Duration = Duration::from_millis(20);
/// Interval between checks whether the policy chooses a run.
const IDLE_WAIT: Duration = Duration::from_secs(1);
/// Waiting for the batches that shared the last sync takes at most the duration of that sync divided by this number.
const GATHER_DIVISOR: u32 = 4;

/// A batch that is written but not synced.
struct UnsyncedBatch {
    completion: Completion,
    sequence: u64,
}

/// The state of one round of requests.
#[derive(Default)]
struct Round {
    /// Batches that are not written yet; `completions` holds the completion of each.
    batches: Vec<Batch>,
    completions: Vec<Option<Completion>>,
    /// Whether any batch was written in this round.
    has_written: bool,
    unsynced: Vec<UnsyncedBatch>,
    stops: bool,
}

/// When written batches have to be synced.
struct SyncSchedule {
    due: Option<Instant>,
    /// Bytes submitted since the last sync.
    bytes: u64,
    /// Number of batches that waited for the last sync.
    last_group: usize,
    last_duration: Duration,
}

/// When compaction continues.
struct CompactionSchedule {
    /// The time until the next step if the thread is idle.
    wait: Duration,
    /// When the next step is due even if the thread is busy.
    due: Instant,
}

/// State of the writer thread.
pub(super) struct WriterThread {
    store: LogStore,
    options: WriterOptions,
    queue: Receiver<Request>,
    shared: Shared,
    /// Number of batches taken from the queue.
    received: u64,
    started: Instant,
    sync: SyncSchedule,
    compaction: CompactionSchedule,
}

impl WriterThread {
    pub fn new(
        store: LogStore,
        options: WriterOptions,
        queue: Receiver<Request>,
        shared: Shared,
    ) -> WriterThread {
        let started = Instant::now();
        WriterThread {
            store,
            options,
            queue,
            shared,
            received: 0,
            started,
            sync: SyncSchedule { due: None, bytes: 0, last_group: 0, last_duration: Duration::ZERO },
            compaction: CompactionSchedule { wait: Duration::ZERO, due: started },
        }
    }

    /// Handles requests until one of them is [`Request::Stop`]. Returns the store.
    pub fn run(mut self) -> LogStore {
        loop {
            let requests = self.next_requests();
            let is_idle = requests.is_empty();
            let mut round = Round::default();
            for request in requests {
                self.handle(request, &mut round);
            }
            self.append(&mut round);
            if round.has_written {
                self.sync.due.get_or_insert_with(|| Instant::now() + self.options.max_sync_delay);
            }
            let is_late = self.sync.due.is_some_and(|due| due <= Instant::now())
                || self.sync.bytes >= self.options.max_unsynced_bytes;
            if !round.unsynced.is_empty() || is_late || round.stops && self.sync.due.is_some() {
                self.sync(round.unsynced);
            }
            if round.stops {
                return self.store;
            }
            // Compacts when idle, and between rounds once a step is due.
            if is_idle || Instant::now() >= self.compaction.due {
                self.compact();
            }
        }
    }

    /// Returns the requests of one round. Empty if none arrives before a sync or compaction step is due.
    fn next_requests(&mut self) -> Vec<Request> {
        let until_compaction = self.compaction.wait;
        let wait = self.sync.due.map_or(until_compaction, |due| {
            due.saturating_duration_since(Instant::now()).min(until_compaction)
        });
        let first = self.queue.recv_timeout(wait);
        self.store.set_time(i64::try_from(self.started.elapsed().as_nanos()).unwrap_or(i64::MAX));
        match first {
            Ok(first) => {
                self.gather();
                let rest = self.queue.try_iter().take(self.options.max_group_commit - 1);
                std::iter::once(first).chain(rest).collect()
            }
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => vec![Request::Stop],
        }
    }

    /// Waits for more requests. Callers whose batches were acknowledged together usually write again together; syncing
    /// the first batch alone would make the others wait for two syncs. The wait is a fraction of the last sync's
    /// duration.
    fn gather(&self) {
        let started = Instant::now();
        let expected = self.sync.last_group.min(self.options.max_group_commit);
        while self.queue.len() + 1 < expected && started.elapsed() * GATHER_DIVISOR < self.sync.last_duration
        {
            std::hint::spin_loop();
        }
    }

    fn handle(&mut self, request: Request, round: &mut Round) {
        match request {
            Request::Append(batch, completion) => {
                self.sync.bytes += batch.size();
                round.batches.push(batch);
                round.completions.push(completion);
            }
            Request::Compact(completion) => {
                self.append(round);
                completion.complete(self.compact_all());
                self.publish();
                self.shared.waker.wake_all();
            }
            Request::Publish(completion) => {
                self.append(round);
                self.publish();
                completion.complete(Ok(self.store.sequence()));
                self.shared.waker.wake_all();
            }
            Request::Stop => round.stops = true,
        }
    }

    /// Appends the batches of this round that are not written yet.
    fn append(&mut self, round: &mut Round) {
        let batches = std::mem::take(&mut round.batches);
        self.shared.counters.batches.fetch_add(batches.len() as u64, Relaxed);
        self.received += batches.len() as u64;
        let results = self.store.append_batches(batches);
        for (result, completion) in results.into_iter().zip(round.completions.drain(..)) {
            match result {
                Ok(sequence) => {
                    round.has_written = true;
                    let unsynced = completion.map(|completion| UnsyncedBatch { completion, sequence });
                    round.unsynced.extend(unsynced);
                }
                Err(error) => {
                    self.shared.counters.errors.fetch_add(1, Relaxed);
                    if let Some(completion) = completion {
                        completion.complete(Err(error.into()));
                        self.shared.waker.wake_all();
                    }
                }
            }
        }
    }

    fn sync(&mut self, unsynced: Vec<UnsyncedBatch>) {
        self.shared.counters.syncs.fetch_add(1, Relaxed);
        self.sync.last_group = unsynced.len();
        let started = Instant::now();
        let synced = self.store.sync();
        self.sync.last_duration = started.elapsed();
        match synced {
            Ok(()) => {
                (self.sync.due, self.sync.bytes) = (None, 0);
                for batch in unsynced {
                    batch.completion.complete(Ok(batch.sequence));
                }
            }
            Err(error) => {
                self.shared.counters.errors.fetch_add(1, Relaxed);
                let error = WriteError::Io(Arc::new(error));
                for batch in unsynced {
                    batch.completion.complete(Err(error.clone()));
                }
                // Retries after a delay, so as not to put more load on a failing disk.
                self.sync.due = Some(Instant::now() + self.options.max_sync_delay);
            }
        }
        self.shared.waker.wake_all();
    }

    fn compact(&mut self) {
        self.compaction.wait = match self.store.compact() {
            Ok(CompactionStep::Merged { .. }) => {
                self.shared.counters.compactions.fetch_add(1, Relaxed);
                // Lets readers release the segments that were merged.
                self.publish();
                Duration::ZERO
            }
            Ok(CompactionStep::Progressed(_) | CompactionStep::Corrupt(_)) => Duration::ZERO,
            Ok(CompactionStep::Throttled) => THROTTLED_WAIT,
            Ok(CompactionStep::Idle) => IDLE_WAIT,
            Err(_) => {
                self.shared.counters.errors.fetch_add(1, Relaxed);
                IDLE_WAIT
            }
        };
        self.compaction.due = Instant::now() + self.compaction.wait;
    }

    /// Merges all runs that the policy chooses. Returns the size of the store afterwards, in bytes.
    fn compact_all(&mut self) -> Result<u64, WriteError> {
        self.store.sync()?;
        loop {
            match self.store.compact_step_unthrottled()? {
                CompactionStep::Idle | CompactionStep::Throttled | CompactionStep::Corrupt(_) => {
                    return Ok(self.store.size_bytes());
                }
                CompactionStep::Merged { .. } => {
                    self.shared.counters.compactions.fetch_add(1, Relaxed);
                }
                CompactionStep::Progressed(_) => {}
            }
        }
    }

    /// Publishes a snapshot of all batches received so far.
    fn publish(&self) {
        self.store.publish();
        self.shared.progress.published.store(self.received, Release);
    }
}
