//! Connections to one store whose protocol carries one part at a time on each: how many there may be, who waits for
//! one and for how long, and what becomes of a connection whose part is called off. No I/O and no clock: the owner
//! of the connections asks, and does what it is told.
//!
//! What each store is owed is its even share of the node's connections. Beyond that a store may borrow, as long as
//! the shares of all others stay whole: a store that accepts and never answers fills its own places and borrowed
//! ones, and takes nothing that another one is owed.
//!
//! A part called off under HTTP/1.1 leaves its answer under way. Closing the connection tells the store to stop, and
//! costs a new one; reading on costs the place until the answer is in. Closing is rationed: under a storm of calls
//! off, new connections would be what the store spends its time on.

use std::collections::{BTreeMap, VecDeque};

use orchidvalve::interface::Nanos;

/// What a pool goes by.
#[derive(Clone, Copy, Debug)]
pub struct PoolTerms {
    /// Most connections to one store, and parts that may wait for one.
    pub most: usize,
    pub waiting_most: usize,
    /// How long a part may wait.
    pub wait: Nanos,
    /// Least time between two connections closed under parts called off, on average; so many may be saved up.
    pub close_every: Nanos,
    pub closes_saved: Nanos,
    /// How long the answer of a part called off may take to come whole.
    pub read_out: Nanos,
}

/// The node's connections to stores.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Most, and those that are open.
    pub most: usize,
    pub open: usize,
    /// Stores that serve.
    pub stores: usize,
    /// What all other stores are still owed of their shares.
    pub owed: usize,
}

impl Room {
    /// A store's even share: one at least.
    pub fn share(&self) -> usize {
        (self.most / self.stores.max(1)).max(1)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State<T> {
    /// Not up yet; whether it was begun for a probe.
    Rising(bool),
    /// Since so many releases: the one released last is taken first, so that the others can fall idle and close.
    Free(u64),
    Busy(T),
    Probed,
    /// Its part was called off, and its answer is read to the end.
    ReadingOut,
}

/// Where a part goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place<K> {
    On(K),
    /// Until a connection is free, or its time to wait is over.
    Wait,
    /// Too many wait.
    Full,
}

/// Where a probe goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePlace<K> {
    On(K),
    /// On a connection that is begun for it.
    Open,
    Nowhere,
}

/// What becomes of a part's connection when the part is called off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CalledOff<K> {
    /// It waited for one, and does no more.
    Waited,
    Close(K),
    /// Its answer is read and dropped, until then at the latest.
    ReadOut(K, Nanos),
    Unknown,
}

#[derive(Debug)]
pub struct Pool<K, T> {
    terms: PoolTerms,
    links: BTreeMap<K, State<T>>,
    waiting: VecDeque<T>,
    releases: u64,
    /// Time saved up for closing, as of when.
    saved: Nanos,
    saved_at: Nanos,
}

impl<K: Copy + Ord, T: Copy + Eq> Pool<K, T> {
    pub fn new(terms: PoolTerms) -> Self {
        let (links, waiting) = (BTreeMap::new(), VecDeque::new());
        Pool { terms, links, waiting, releases: 0, saved: terms.closes_saved, saved_at: Nanos::MIN / 2 }
    }

    pub fn terms(&self) -> &PoolTerms {
        &self.terms
    }

    pub fn links(&self) -> usize {
        self.links.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Connections that it lacks to its share.
    pub fn owed(&self, room: Room) -> usize {
        room.share().min(self.terms.most).saturating_sub(self.links.len())
    }

    fn rising(&self) -> usize {
        self.links.values().filter(|s| matches!(s, State::Rising(false))).count()
    }

    fn newest_free(&self) -> Option<K> {
        let free = self.links.iter().filter_map(|(&key, state)| match state {
            State::Free(since) => Some((*since, key)),
            _ => None,
        });
        free.max_by_key(|&(since, _)| since).map(|(_, key)| key)
    }

    fn may_open(&self, room: Room, most: usize) -> bool {
        let has = self.links.len();
        has < most && room.open < room.most && (has < room.share() || room.open + room.owed < room.most)
    }

    // ---- parts ----

    /// A part that waits goes behind those that do.
    pub fn ask(&mut self, part: T) -> Place<K> {
        // Nobody overtakes those that wait, even where a connection has just come free.
        if self.waiting.is_empty()
            && let Some(key) = self.newest_free()
        {
            self.links.insert(key, State::Busy(part));
            return Place::On(key);
        }
        if self.waiting.len() >= self.terms.waiting_most {
            return Place::Full;
        }
        self.waiting.push_back(part);
        Place::Wait
    }

    /// Whether another connection should be begun: each that rises is for one part that waits.
    pub fn wants(&self, room: Room) -> bool {
        self.rising() < self.waiting.len() && self.may_open(room, self.terms.most)
    }

    /// Where none is open, none may be opened and so nothing can ever come free: what waits has found none.
    pub fn stranded(&mut self, room: Room) -> Vec<T> {
        let stuck = self.links.is_empty() && !self.may_open(room, self.terms.most);
        if stuck { self.waiting.drain(..).collect() } else { Vec::new() }
    }

    pub fn begun(&mut self, key: K, for_probe: bool) {
        self.links.insert(key, State::Rising(for_probe));
    }

    /// It came up, its answer is in, or what it still owed: the part that it carries now, if one waits.
    pub fn free(&mut self, key: K) -> Option<T> {
        let state = self.links.get_mut(&key)?;
        if let Some(part) = self.waiting.pop_front() {
            *state = State::Busy(part);
            return Some(part);
        }
        self.releases += 1;
        *state = State::Free(self.releases);
        None
    }

    /// Whether it carries something, or is to.
    pub fn is_busy(&self, key: K) -> bool {
        self.links.get(&key).is_some_and(|s| !matches!(s, State::Free(_)))
    }

    pub fn reads_out(&self, key: K) -> bool {
        self.links.get(&key) == Some(&State::ReadingOut)
    }

    /// It is gone. Gives the parts that found no connection by it: where it never came up, the one that it was begun
    /// for, and where no other one is up or on its way, all that wait, as each would fare the same.
    pub fn lost(&mut self, key: K) -> Vec<T> {
        let Some(State::Rising(for_probe)) = self.links.remove(&key) else { return Vec::new() };
        let hope = self.links.values().any(|s| *s != State::Rising(true));
        match (hope, for_probe) {
            (false, _) => self.waiting.drain(..).collect(),
            (true, true) => Vec::new(),
            (true, false) => self.waiting.pop_front().into_iter().collect(),
        }
    }

    /// Its time to wait is over, or the part is; false where it does not wait.
    pub fn leave(&mut self, part: T) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|&w| w != part);
        self.waiting.len() < before
    }

    /// `begun`: whether some of its answer has come already, which then is likely to end soon.
    pub fn call_off(&mut self, now: Nanos, part: T, begun: bool) -> CalledOff<K> {
        if self.leave(part) {
            return CalledOff::Waited;
        }
        let carries = self.links.iter().find(|(_, s)| **s == State::Busy(part)).map(|(&key, _)| key);
        let Some(key) = carries else { return CalledOff::Unknown };
        if !begun && self.may_close(now) {
            return CalledOff::Close(key);
        }
        self.links.insert(key, State::ReadingOut);
        CalledOff::ReadOut(key, now + self.terms.read_out)
    }

    /// Spends what one close costs, where enough is saved.
    fn may_close(&mut self, now: Nanos) -> bool {
        let since = now.saturating_sub(self.saved_at).max(0);
        self.saved = self.saved.saturating_add(since).min(self.terms.closes_saved);
        self.saved_at = now;
        let enough = self.saved >= self.terms.close_every;
        if enough {
            self.saved -= self.terms.close_every;
        }
        enough
    }

    /// Its store drains or is gone: nothing that waits may be sent.
    pub fn drain(&mut self) -> Vec<T> {
        self.waiting.drain(..).collect()
    }

    // ---- probes ----

    /// A probe has no place behind parts: it goes on a free connection, or one more than the pool may have, as a pool
    /// that is full of unanswered parts is what it is to look into.
    pub fn probe(&mut self, room: Room) -> ProbePlace<K> {
        if let Some(key) = self.newest_free() {
            self.links.insert(key, State::Probed);
            return ProbePlace::On(key);
        }
        let probing = |s: &State<T>| matches!(s, State::Probed | State::Rising(true));
        let alone = !self.links.values().any(probing);
        if alone && self.may_open(room, self.terms.most + 1) { ProbePlace::Open } else { ProbePlace::Nowhere }
    }
}

#[cfg(test)]
mod stories {
    use super::*;

    const MS: Nanos = 1_000_000;

    fn pool(most: usize) -> Pool<u32, u32> {
        let (close_every, closes_saved) = (50 * MS, 100 * MS);
        let (wait, read_out) = (250 * MS, 500 * MS);
        Pool::new(PoolTerms { most, waiting_most: 3, wait, close_every, closes_saved, read_out })
    }

    fn room(open: usize) -> Room {
        Room { most: 8, open, stores: 4, owed: 0 }
    }

    /// A pool with so many connections, each with a part of its own number.
    fn busy(most: usize) -> Pool<u32, u32> {
        let mut pool = pool(most);
        for n in 0..most as u32 {
            assert_eq!(pool.ask(n), Place::Wait);
            assert!(pool.wants(room(0)));
            pool.begun(n, false);
            assert_eq!(pool.free(n), Some(n));
        }
        pool
    }

    #[test]
    fn parts_wait_in_their_order_and_the_last_place_released_is_taken_first() {
        let mut pool = busy(2);
        assert_eq!((pool.ask(7), pool.ask(8)), (Place::Wait, Place::Wait));
        assert!(!pool.wants(room(2)), "all that it may have are open");
        assert_eq!((pool.free(1), pool.free(0), pool.free(1)), (Some(7), Some(8), None));
        assert_eq!(pool.free(0), None);
        assert_eq!((pool.ask(9), pool.ask(10)), (Place::On(0), Place::On(1)));
    }

    #[test]
    fn a_store_that_never_answers_takes_what_is_spare_and_nothing_that_another_is_owed() {
        let pool = {
            let mut pool = busy(2);
            pool.ask(7);
            pool.terms.most = 8;
            pool
        };
        assert!(pool.wants(Room { owed: 5, ..room(2) }), "one of eight is spare");
        assert!(!pool.wants(Room { owed: 6, ..room(2) }));
        let mut late = self::pool(8);
        late.ask(1);
        assert!(late.wants(Room { owed: 4, ..room(6) }), "its own share is there for it");
        assert_eq!(late.owed(room(6)), 2);
    }

    #[test]
    fn beyond_those_that_may_wait_a_part_is_turned_away_and_one_that_left_makes_room() {
        let mut pool = busy(1);
        assert!((10..13).all(|n| pool.ask(n) == Place::Wait));
        assert_eq!(pool.ask(13), Place::Full);
        assert!(pool.leave(11) && !pool.leave(11));
        assert_eq!(
            (pool.ask(14), pool.free(0), pool.free(0), pool.free(0)),
            (Place::Wait, Some(10), Some(12), Some(14))
        );
    }

    #[test]
    fn calls_off_close_connections_no_faster_than_they_may_and_the_rest_are_read_out() {
        let mut pool = busy(4);
        assert_eq!(pool.call_off(0, 0, true), CalledOff::ReadOut(0, 500 * MS), "its answer has begun");
        assert_eq!(pool.call_off(0, 1, false), CalledOff::Close(1));
        assert!(pool.lost(1).is_empty());
        assert_eq!(pool.call_off(0, 2, false), CalledOff::Close(2));
        pool.lost(2);
        assert_eq!(pool.call_off(MS, 3, false), CalledOff::ReadOut(3, 501 * MS));
        assert!(pool.reads_out(3) && pool.ask(8) == Place::Wait);
        assert_eq!(pool.free(3), Some(8), "read to its end it carries the next");
        assert_eq!(pool.call_off(60 * MS, 8, false), CalledOff::Close(3), "time has been saved up");
        assert_eq!(pool.call_off(60 * MS, 99, false), CalledOff::Unknown);
    }

    #[test]
    fn a_refused_connection_fails_one_part_and_the_last_hope_gone_fails_all() {
        let mut pool = pool(4);
        (0..3).for_each(|n| assert_eq!(pool.ask(n), Place::Wait));
        (0..2).for_each(|key| pool.begun(key, false));
        assert_eq!(pool.lost(0), [0]);
        assert_eq!(pool.lost(1), [1, 2]);
        pool.ask(5);
        assert!(pool.stranded(Room { owed: 0, ..room(7) }).is_empty());
        assert_eq!(pool.stranded(room(8)), [5], "no descriptor is left, and nothing can come free");
    }

    #[test]
    fn what_waits_for_a_store_that_drains_is_not_sent() {
        let mut pool = busy(1);
        (10..12).for_each(|n| assert_eq!(pool.ask(n), Place::Wait));
        assert_eq!(pool.drain(), [10, 11]);
        assert_eq!(pool.free(0), None);
    }

    #[test]
    fn a_probe_looks_past_a_full_pool_and_one_at_a_time() {
        let mut pool = busy(2);
        assert_eq!(pool.probe(room(2)), ProbePlace::Open);
        pool.begun(9, true);
        assert_eq!(pool.probe(room(3)), ProbePlace::Nowhere);
        assert_eq!((pool.free(9), pool.probe(room(3))), (None, ProbePlace::On(9)));
        pool.ask(5);
        assert_eq!(pool.free(9), Some(5), "answered, it serves parts");
        assert_eq!(pool.probe(room(8)), ProbePlace::Nowhere, "no descriptor is left");
    }
}
