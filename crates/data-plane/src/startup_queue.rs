//! Requests received before this gateway has a configuration and a server table, such as after a power failure of all
//! machines.
//!
//! Both normally arrive soon, so a request is queued, but for at most three quarters of the time that its client
//! allows: the rest is enough for an attempt at another gateway.

use orchidvalve_http::Request;
use orchidvalve_protocol::time_limit::TimeLimit;

use crate::requests::ReceivedRequest;

/// Identifies a queued request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct QueuedId(u64);

/// The maximum wait of a request, in percent of the time that its client allows.
const WAIT_PERCENT: u64 = 75;
/// The maximum wait of any request, and the wait of a request that states no deadline, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// The maximum total size of the bodies of queued requests, in bytes.
const MAX_BYTES: usize = 8 << 20;

/// A queued request.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Identifies the queued request.
    pub id: QueuedId,
    /// The request.
    pub received: ReceivedRequest,
    reject_at: u64,
}

/// All queued requests, in the order of their arrival.
#[derive(Default, Debug)]
pub struct StartupQueue {
    queued: Vec<QueuedRequest>,
    bytes: usize,
    last_id: u64,
}

impl StartupQueue {
    /// Queues a request. Returns `None` if the queue is full.
    pub fn push(&mut self, received: ReceivedRequest) -> Option<QueuedId> {
        let bytes = received.request.body.len();
        if self.bytes + bytes > MAX_BYTES {
            return None;
        }
        self.last_id += 1;
        self.bytes += bytes;
        let id = QueuedId(self.last_id);
        let reject_at = received.first_byte_at.saturating_add(wait_ms(&received.request));
        self.queued.push(QueuedRequest { id, received, reject_at });
        Some(id)
    }

    /// Removes a request whose client has disconnected.
    pub fn remove(&mut self, id: QueuedId) {
        self.extract(|queued| queued.id == id);
    }

    /// Removes and returns all requests, in the order of their arrival.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        self.extract(|_| true)
    }

    /// Removes and returns the requests that have waited for too long.
    pub fn drain_expired(&mut self, now: u64) -> Vec<QueuedRequest> {
        self.extract(|queued| queued.reject_at <= now)
    }

    /// Returns when [`StartupQueue::drain_expired`] has to be called next.
    pub fn next_wakeup(&self) -> u64 {
        self.queued.iter().map(|queued| queued.reject_at).min().unwrap_or(u64::MAX)
    }

    fn extract(&mut self, predicate: impl Fn(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let (extracted, left) = std::mem::take(&mut self.queued).into_iter().partition(predicate);
        self.queued = left;
        self.bytes = self.queued.iter().map(|queued| queued.received.request.body.len()).sum();
        extracted
    }
}

fn wait_ms(request: &Request) -> u64 {
    let deadline = request.headers.number("deadline-ms").map(TimeLimit::from_millis);
    deadline.map_or(MAX_WAIT_MS, |deadline| (deadline.as_millis() * WAIT_PERCENT / 100).min(MAX_WAIT_MS))
}
