//! Verdicts that one front node comes to and all should know: an index server is in slow start, fails a service class,
//! drains. Each is kept by its key with the time it was seen, passed from node to node with its age: clocks of two
//! nodes are never compared, and a verdict that went round for long arrives old. The one seen last wins; each expires
//! by itself.

use std::collections::BTreeMap;

use crate::{Nanos, Peer};

/// What a verdict is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// The server has just started and bears only a share of its work.
    SlowStart = 0,
    /// The server fails shard requests of a service class, though it answers others.
    Failing = 1,
    /// The server is being taken out.
    Draining = 2,
}

impl Topic {
    /// The topic with this number on the wire.
    pub fn from_byte(byte: u8) -> Option<Topic> {
        match byte {
            0 => Some(Topic::SlowStart),
            1 => Some(Topic::Failing),
            2 => Some(Topic::Draining),
            _ => None,
        }
    }
}

/// What a verdict is about: of two with one key, one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VerdictKey {
    /// The server, as the host names it by a number that every node computes alike.
    pub subject: u64,
    /// The service class it concerns, by its index; 0 where it concerns all.
    pub service_class: u8,
    /// What it says of the server.
    pub topic: Topic,
}

/// A verdict as it travels: how long ago its origin came to it, and how long it holds from then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipedVerdict {
    /// What it is about.
    pub key: VerdictKey,
    /// Whether it holds: a verdict that it no longer does clears one that it did.
    pub holds: bool,
    /// The node that came to it.
    pub origin: Peer,
    /// The origin's own count of its verdicts: of two seen at once, the later one wins.
    pub sequence: u32,
    /// Time since its origin came to it.
    pub age: Nanos,
    /// How long it holds from then.
    pub lasts: Nanos,
}

/// A verdict as a node keeps it, in the time of its own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownVerdict {
    /// Whether it holds, or clears one that did.
    pub holds: bool,
    /// The node that came to it.
    pub origin: Peer,
    /// The origin's own count of its verdicts.
    pub sequence: u32,
    /// When it was seen at its origin, as well as this node can tell: it arrived with its age.
    pub seen: Nanos,
    /// When it expires.
    pub until: Nanos,
}

impl KnownVerdict {
    /// An order over all that a verdict carries, so that of two the same one wins wherever they meet, even two that
    /// only a damaged or replayed message could make differ.
    fn supersedes(&self, other: &KnownVerdict) -> bool {
        let rank = |verdict: &KnownVerdict| {
            (verdict.seen, verdict.origin, verdict.sequence, verdict.holds, verdict.until)
        };
        rank(self) > rank(other)
    }
}

/// The verdicts that one node knows.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// One of each key.
    pub known: BTreeMap<VerdictKey, KnownVerdict>,
    /// Most kept at once; beyond it the one that expires first goes.
    pub capacity: usize,
    sequence: u32,
}

impl Verdicts {
    /// None yet; at most `capacity` are kept.
    pub fn new(capacity: usize) -> Verdicts {
        Verdicts { known: BTreeMap::new(), capacity, sequence: 0 }
    }

    /// One of this node's own: it is seen now.
    pub fn record_own(
        &mut self,
        me: Peer,
        key: VerdictKey,
        holds: bool,
        lasts: Nanos,
        now: Nanos,
    ) -> GossipedVerdict {
        self.sequence = self.sequence.wrapping_add(1);
        let gossiped = GossipedVerdict { key, holds, origin: me, sequence: self.sequence, age: 0, lasts };
        self.merge(gossiped, now);
        gossiped
    }

    /// Merges one that came: true where it changes what is known. The merge is a join (as of a CRDT): in any order and
    /// any number of times, the same verdicts give the same state.
    pub fn merge(&mut self, gossiped: GossipedVerdict, now: Nanos) -> bool {
        if gossiped.age < 0 || gossiped.lasts <= 0 || gossiped.age >= gossiped.lasts {
            return false;
        }
        let seen = now - gossiped.age;
        let known = KnownVerdict {
            holds: gossiped.holds,
            origin: gossiped.origin,
            sequence: gossiped.sequence,
            seen,
            until: seen + gossiped.lasts,
        };
        match self.known.get(&gossiped.key) {
            Some(old) if old.until > now && !known.supersedes(old) => return false,
            _ => {}
        }
        if !self.known.contains_key(&gossiped.key) && self.known.len() >= self.capacity {
            self.expire(now);
            let first = self.known.iter().min_by_key(|(_, k)| (k.until, k.seen)).map(|(key, _)| *key);
            match first {
                Some(first) if self.known[&first].until < known.until => drop(self.known.remove(&first)),
                Some(_) => return false,
                None => {}
            }
        }
        self.known.insert(gossiped.key, known);
        true
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Nanos) {
        self.known.retain(|_, k| k.until > now);
    }

    /// Whether a verdict holds now.
    pub fn holds(&self, key: VerdictKey, now: Nanos) -> bool {
        self.known.get(&key).is_some_and(|k| k.holds && k.until > now)
    }

    /// What goes to a peer: the freshest first, at most `most`, with the age each has now.
    pub fn freshest(&self, most: usize, now: Nanos) -> Vec<GossipedVerdict> {
        let mut live: Vec<(&VerdictKey, &KnownVerdict)> =
            self.known.iter().filter(|(_, k)| k.until > now).collect();
        live.sort_by_key(|(key, k)| (std::cmp::Reverse(k.seen), **key));
        let gossiped = |(key, k): (&VerdictKey, &KnownVerdict)| GossipedVerdict {
            key: *key,
            holds: k.holds,
            origin: k.origin,
            sequence: k.sequence,
            age: (now - k.seen).max(0),
            lasts: k.until - k.seen,
        };
        live.into_iter().take(most).map(gossiped).collect()
    }
}
