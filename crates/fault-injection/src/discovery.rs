//! A model of discovery: it receives each store's changes and publishes them with a delay. It has no I/O and no clock.

use std::collections::{BTreeMap, VecDeque};

use crate::Nanos;

/// The state of a store that discovery publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The store serves requests.
    Up,
    /// The store accepts no new requests.
    Draining,
    /// The store has been removed.
    Gone,
}

/// A store in the published list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedStore {
    /// Index of the store. Its name changes when it is replaced by another store.
    pub store: usize,
    /// The published state of the store.
    pub phase: Phase,
    /// When the store last started; `None` if it had run for long before the run began.
    pub started_at: Option<Nanos>,
}

/// The list of stores that discovery publishes.
#[derive(Debug, Default)]
pub struct Discovery {
    list: BTreeMap<String, ListedStore>,
    /// Changes that are not published yet, with the times at which they will be.
    pending: VecDeque<(Nanos, String, ListedStore)>,
    lag: Nanos,
    /// Whether discovery is unresponsive; changes are published only when this ends.
    pub unresponsive: bool,
    /// Whether discovery keeps publishing stores that died.
    pub keeps_dead_stores: bool,
}

impl Discovery {
    /// Returns a model of discovery that publishes the given stores.
    pub fn new(stores: impl Iterator<Item = (String, ListedStore)>) -> Discovery {
        Discovery { list: stores.collect(), ..Discovery::default() }
    }

    /// Delays the publication of changes from now on by `by`.
    pub fn set_lag(&mut self, by: Nanos) {
        self.lag = by;
    }

    /// Records a change of a store, which discovery notices `notice` nanoseconds later.
    pub fn record_change(&mut self, now: Nanos, notice: Nanos, name: String, listed: ListedStore) {
        let due = now + notice + self.lag;
        // The changes of one store are published in their order, even if the lag has become shorter.
        let last_of_store = self.pending.iter().filter(|(_, n, _)| *n == name).map(|(at, ..)| *at).max();
        let due = due.max(last_of_store.unwrap_or(due));
        let position = self.pending.partition_point(|(at, ..)| *at <= due);
        self.pending.insert(position, (due, name, listed));
    }

    /// Drops the unpublished changes of a store that has returned before they were published.
    pub fn drop_pending(&mut self, name: &str) {
        self.pending.retain(|(_, n, _)| n != name);
    }

    /// Publishes the changes that are due and returns the list if it changed.
    pub fn round(&mut self, now: Nanos) -> Option<&BTreeMap<String, ListedStore>> {
        if self.unresponsive {
            return None;
        }
        let mut changed = false;
        while self.pending.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, name, listed) = self.pending.pop_front()?;
            if listed.phase == Phase::Gone {
                changed |= self.list.remove(&name).is_some();
            } else {
                changed |= self.list.insert(name, listed.clone()).as_ref() != Some(&listed);
            }
        }
        changed.then_some(&self.list)
    }

    /// Returns the published list.
    pub fn list(&self) -> &BTreeMap<String, ListedStore> {
        &self.list
    }

    /// Returns when the next change will be published; `None` if there is none or discovery is unresponsive.
    pub fn next_due(&self) -> Option<Nanos> {
        self.pending.front().map(|(at, ..)| *at).filter(|_| !self.unresponsive)
    }
}
