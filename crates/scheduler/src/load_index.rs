//! Servers ordered by the number of attempts that this node has in flight there, least loaded first.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

use rand::RngCore;

/// Identifies a server; small and cheap to copy.
pub trait ServerKey: Copy + Ord + Hash {}
impl<T: Copy + Ord + Hash> ServerKey for T {}

#[derive(Clone, Copy, Debug)]
struct Entry {
    in_flight: u32,
    limit: u32,
    same_zone: bool,
    tie_breaker: u32,
    /// Whether the server may be picked. A removed server stays until its attempts have ended.
    listed: bool,
}

impl Entry {
    fn has_capacity(&self) -> bool {
        self.listed && self.in_flight < self.limit
    }

    fn position<S>(&self, server: S) -> Position<S> {
        let Entry { in_flight, same_zone, tie_breaker, .. } = *self;
        Position { in_flight, other_zone: !same_zone, tie_breaker, server }
    }
}

/// Sort key of the servers with capacity: fewest in flight first, then the same zone first, the rest in random order.
/// The derived order compares the fields in their order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position<S> {
    in_flight: u32,
    other_zone: bool,
    tie_breaker: u32,
    server: S,
}

/// Servers of one service, ordered by the number of attempts in flight from this node, with a limit per server.
#[derive(Debug)]
pub struct LoadIndex<S> {
    entries: HashMap<S, Entry>,
    with_capacity: BTreeSet<Position<S>>,
    at_limit: BTreeSet<S>,
}

impl<S> Default for LoadIndex<S> {
    fn default() -> Self {
        Self { entries: HashMap::new(), with_capacity: BTreeSet::new(), at_limit: BTreeSet::new() }
    }
}

impl<S: ServerKey> LoadIndex<S> {
    /// Adds or updates a server. `limit` is the largest number of attempts that this node may have in flight there;
    /// with 0 the server gets none and does not count as able to serve. A server with `same_zone` is preferred to
    /// others with the same number in flight.
    pub fn set(&mut self, server: S, limit: u32, same_zone: bool, random: &mut impl RngCore) {
        self.unindex(server);
        let entry = self.entries.entry(server).or_insert(Entry {
            in_flight: 0,
            limit,
            same_zone,
            tie_breaker: random.next_u32(),
            listed: true,
        });
        *entry = Entry { limit, same_zone, listed: true, ..*entry };
        self.index(server);
    }

    /// Removes a server. Its attempts in flight are still counted until they end.
    pub fn remove(&mut self, server: S) {
        self.unindex(server);
        if let Some(entry) = self.entries.get_mut(&server) {
            entry.listed = false;
            if entry.in_flight == 0 {
                self.entries.remove(&server);
            }
        }
    }

    /// Records the start of an attempt at `server`.
    pub fn begin(&mut self, server: S, random: &mut impl RngCore) {
        self.change_in_flight(server, random, |count| count + 1);
    }

    /// Records the end of an attempt at `server`.
    pub fn end(&mut self, server: S, random: &mut impl RngCore) {
        self.change_in_flight(server, random, |count| count.saturating_sub(1));
        if self.entries.get(&server).is_some_and(|entry| !entry.listed && entry.in_flight == 0) {
            self.entries.remove(&server);
        }
    }

    /// Returns the number of attempts in flight at `server`.
    pub fn in_flight(&self, server: S) -> u32 {
        self.entries.get(&server).map_or(0, |entry| entry.in_flight)
    }

    /// Returns the eligible server with capacity and the fewest attempts in flight. Ties go to the same zone, then to a
    /// random server.
    pub fn pick(&self, mut eligible: impl FnMut(S) -> bool) -> Option<S> {
        self.with_capacity.iter().map(|position| position.server).find(|server| eligible(*server))
    }

    /// Returns an eligible server with capacity at which this node has nothing in flight.
    pub fn pick_idle(&self, mut eligible: impl FnMut(S) -> bool) -> Option<S> {
        let idle = self.with_capacity.iter().take_while(|position| position.in_flight == 0);
        idle.map(|position| position.server).find(|server| eligible(*server))
    }

    /// Whether there is a server with capacity at which this node has nothing in flight.
    pub fn has_idle(&self) -> bool {
        self.with_capacity.first().is_some_and(|position| position.in_flight == 0)
    }

    /// Whether any server has capacity.
    pub fn has_capacity(&self) -> bool {
        !self.with_capacity.is_empty()
    }

    /// Whether more than `count` servers are eligible, with capacity or at their limit.
    pub fn more_eligible_than(&self, count: usize, mut eligible: impl FnMut(S) -> bool) -> bool {
        let with_capacity = self.with_capacity.iter().map(|position| position.server);
        let all = with_capacity.chain(self.at_limit.iter().copied());
        all.filter(|server| eligible(*server)).nth(count).is_some()
    }

    fn change_in_flight(&mut self, server: S, random: &mut impl RngCore, change: impl Fn(u32) -> u32) {
        self.unindex(server);
        if let Some(entry) = self.entries.get_mut(&server) {
            entry.in_flight = change(entry.in_flight);
            entry.tie_breaker = random.next_u32();
        }
        self.index(server);
    }

    fn unindex(&mut self, server: S) {
        if let Some(entry) = self.entries.get(&server) {
            if entry.has_capacity() {
                self.with_capacity.remove(&entry.position(server));
            } else {
                self.at_limit.remove(&server);
            }
        }
    }

    fn index(&mut self, server: S) {
        if let Some(entry) = self.entries.get(&server) {
            if entry.has_capacity() {
                self.with_capacity.insert(entry.position(server));
            } else if entry.listed && entry.limit > 0 {
                self.at_limit.insert(server);
            }
        }
    }
}
