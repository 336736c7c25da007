//! The start of a front node when hundreds start at once: which list of index servers it adopts until discovery
//! responds, how far that list is trusted, when discovery may be queried, and when the health of each server may be
//! checked. The crate does no I/O and reads no clock: the host passes in the time, the lists that it found and the
//! results of its fetches, and executes the actions of [`start::Start::round`].
//!
//! [`trust`] rates a list by its age. [`fetch_schedule`] bounds the rate at which discovery is queried, whatever the
//! number of nodes. [`probe_schedule`] spreads the first health checks, so that a server does not receive those of
//! all nodes at once. [`start`] decides which list is adopted.
//!
//! ```
//! use orchidvalve_cold_start::start::{ActionSink, Offer, Source, Start};
//! use orchidvalve_cold_start::{StartSettings, Nanos};
//!
//! #[derive(Default)]
//! struct Decisions(Vec<(Source, u32)>);
//! impl ActionSink for Decisions {
//!     fn adopt(&mut self, offer: &Offer, steps: u32) { self.0.push((offer.source, steps)) }
//!     fn request_from_peers(&mut self, _: Option<Option<(i64, Nanos)>>) {}
//!     fn fetch(&mut self, _full_list: bool) {}
//!     fn discovery_timed_out(&mut self) {}
//! }
//!
//! let (hour, mut decisions) = (3_600_000_000_000, Decisions::default());
//! let mut start = Start::new(StartSettings::default(), 7, 0, 10 * hour);
//! let list = |source, seen| Offer { source, revision: 4, seen, members: 12, comparable: true };
//! start.round(10 * hour, |inbox| {
//!     inbox.offer(list(Source::Disk, 9 * hour));
//!     inbox.offer(list(Source::Configured, 2 * hour));
//! }, &mut decisions);
//! assert_eq!(decisions.0, [(Source::Disk, 4)], "the list seen last is adopted, with little trust");
//! ```

pub mod fetch_schedule;
pub mod probe_schedule;
pub mod start;
pub mod trust;

/// A point in time or a duration, in whole nanoseconds.
pub type Nanos = i64;

const SECOND: f64 = 1e9;

/// Settings of the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartSettings {
    /// The expected number of front nodes. The host's count is used if it is larger.
    pub expected: usize,
    /// First fetches, and fetches after a failed one, that discovery should receive per second from all nodes together.
    pub fetches_a_second: f64,
    /// Wait after the first failed fetch. Doubles with each further one, and is never less than the fleet's span.
    pub initial_backoff: Nanos,
    /// Upper limit of that wait.
    pub max_backoff: Nanos,
    /// A list of at most this age is trusted like a response of discovery.
    pub fresh_for: Nanos,
    /// A list older than `fresh_for` is distrusted by one step, and by one more when the age beyond `fresh_for`
    /// reaches 1, 3 and 7 times this.
    pub half_life: Nanos,
    /// A list older than this is adopted only if there is no better one within `discovery_timeout`.
    pub max_age: Nanos,
    /// How long to wait for a better list.
    pub discovery_timeout: Nanos,
    /// Health checks of unverified servers that one server should receive per second from all nodes together.
    pub probes_a_second: f64,
    /// New connections that one server should receive per second from all starting nodes together, whatever the age of
    /// their lists; `None` to open connections when shard requests need them.
    pub connects_a_second: Option<f64>,
}

impl Default for StartSettings {
    fn default() -> StartSettings {
        let second = SECOND as Nanos;
        StartSettings {
            expected: 1,
            fetches_a_second: 50.0,
            initial_backoff: second / 4,
            max_backoff: 30 * second,
            fresh_for: 30 * second,
            half_life: 300 * second,
            max_age: 86_400 * second,
            discovery_timeout: 2 * second,
            probes_a_second: 100.0,
            connects_a_second: None,
        }
    }
}

/// Returns the time that `nodes` events take at `rate` per second, at most one hour.
fn over(nodes: usize, rate: f64) -> Nanos {
    (nodes.max(1) as f64 * SECOND / rate.max(1e-6)).min(3.6e12) as Nanos
}
