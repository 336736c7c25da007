//! The ids of the requests that were recently sent on a connection.

use std::collections::VecDeque;

use orchidvalve_configuration::fingerprint;

/// The number of ids remembered per connection. A duplicate response that is delayed by more responses than this has
/// already been detected by the id of another request.
const CAPACITY: usize = 16;

/// Fingerprints of the most recent ids, oldest first.
#[derive(Default, Debug)]
pub(super) struct RecentIds(VecDeque<u64>);

impl RecentIds {
    /// Whether a request with this id was sent recently. Always false for a request without an id.
    pub(super) fn contains(&self, id: Option<&str>) -> bool {
        id.is_some_and(|id| self.0.contains(&fingerprint(id.as_bytes())))
    }

    /// Records that a request with this id is sent. The oldest id is forgotten when the capacity is exceeded.
    pub(super) fn push(&mut self, id: Option<&str>) {
        if self.0.len() == CAPACITY {
            self.0.pop_front();
        }
        self.0.extend(id.map(|id| fingerprint(id.as_bytes())));
    }
}
