//! Results of requests, and waking the callers that wait for them.

use std::sync::atomic::{AtomicU32, Ordering::Acquire, Ordering::Release};
use std::sync::{Arc, OnceLock};

use crate::error::WriteError;

/// The result of a request: a sequence number, or the size of the store in bytes after compaction.
type WriteResult = Result<u64, WriteError>;

/// Wakes all callers that wait for a sync with a single call. Waking them one by one would delay the last ones. The
/// callers wait on a counter (a futex) that each call increments. With a lock that each woken caller acquired in turn
/// to read its result, 64 callers waited longer for each other than for the disk.
#[derive(Default)]
pub(super) struct Waker {
    wake_count: AtomicU32,
}

impl Waker {
    /// Wakes all waiting callers.
    pub fn wake_all(&self) {
        self.wake_count.fetch_add(1, Release);
        atomic_wait::wake_all(&self.wake_count);
    }
}

/// The writer's end of a pending write. Dropping it without a result reports [`WriteError::Stopped`].
pub(super) struct Completion {
    result: Arc<OnceLock<WriteResult>>,
    waker: Arc<Waker>,
}

impl Completion {
    /// Sets the result. Waiting callers see it once they are woken.
    pub fn complete(self, result: WriteResult) {
        let _ = self.result.set(result);
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        if self.result.set(Err(WriteError::Stopped)).is_ok() {
            self.waker.wake_all();
        }
    }
}

/// A submitted batch whose durability is not known yet.
pub struct PendingWrite {
    result: Arc<OnceLock<WriteResult>>,
    waker: Arc<Waker>,
}

impl PendingWrite {
    pub(super) fn new(waker: &Arc<Waker>) -> (Completion, PendingWrite) {
        let result = Arc::new(OnceLock::new());
        let completion = Completion { result: result.clone(), waker: waker.clone() };
        (completion, PendingWrite { result, waker: waker.clone() })
    }

    /// Returns the result without blocking, or `None` while it is not known: the last sequence number of the batch, or
    /// why the batch is not durable.
    pub fn result(&self) -> Option<Result<u64, WriteError>> {
        self.result.get().cloned()
    }

    /// Blocks until the result is known, and returns it.
    ///
    /// # Errors
    ///
    /// The batch is not durable.
    pub fn wait(self) -> Result<u64, WriteError> {
        loop {
            // Loaded before the result: a wake-up in between changes the counter, so that the wait returns at once.
            let seen = self.waker.wake_count.load(Acquire);
            if let Some(result) = self.result.get() {
                return result.clone();
            }
            atomic_wait::wait(&self.waker.wake_count, seen);
        }
    }
}
