//! Verdicts that one front node reaches and all should know: an index server is in slow start, fails a service class,
//! or drains. A verdict is stored by key with the time when it was reached, and sent with its age: clocks of two
//! nodes are never compared, and a verdict that was forwarded for long arrives with its full age. Of two verdicts the
//! later one wins; each expires on its own.

use std::collections::BTreeMap;

use crate::{Nanos, Peer};

/// The subject matter of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// The server has started recently and has only a fraction of its capacity.
    SlowStart = 0,
    /// The server fails shard requests of a service class, but answers others.
    Failing = 1,
    /// The server is being taken out of service.
    Draining = 2,
}

impl Topic {
    /// Returns the topic with this number on the wire.
    pub fn from_byte(byte: u8) -> Option<Topic> {
        match byte {
            0 => Some(Topic::SlowStart),
            1 => Some(Topic::Failing),
            2 => Some(Topic::Draining),
            _ => None,
        }
    }
}

/// Identifies a verdict. Of two verdicts with the same key, one is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VerdictKey {
    /// The server, by a number that every node computes alike.
    pub subject: u64,
    /// Index of the service class that it applies to; 0 if it applies to all.
    pub service_class: u8,
    /// What it says about the server.
    pub topic: Topic,
}

/// A verdict as sent to peers, with its age instead of its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipedVerdict {
    /// What it is about.
    pub key: VerdictKey,
    /// Whether the verdict holds. One that does not hold clears an earlier one.
    pub holds: bool,
    /// The node that reached it.
    pub origin: Peer,
    /// Sequence number of the origin's verdicts. Of two verdicts of the same time, the higher one wins.
    pub sequence: u32,
    /// Time since the origin reached it.
    pub age: Nanos,
    /// How long it holds from then on.
    pub lasts: Nanos,
}

/// A verdict as stored by a node, with times by its own clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownVerdict {
    /// Whether the verdict holds, or clears an earlier one.
    pub holds: bool,
    /// The node that reached it.
    pub origin: Peer,
    /// Sequence number of the origin's verdicts.
    pub sequence: u32,
    /// When the origin reached it, estimated from the age at which it arrived.
    pub seen: Nanos,
    /// When it expires.
    pub until: Nanos,
}

impl KnownVerdict {
    /// A total order over the contents of a verdict, so that every node keeps the same one of two, even if they
    /// differ only because a message was damaged or replayed.
    fn supersedes(&self, other: &KnownVerdict) -> bool {
        let rank = |verdict: &KnownVerdict| {
            (verdict.seen, verdict.origin, verdict.sequence, verdict.holds, verdict.until)
        };
        rank(self) > rank(other)
    }
}

/// The verdicts known to one node.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// Verdicts by key.
    pub known: BTreeMap<VerdictKey, KnownVerdict>,
    /// The number of verdicts kept at once. Beyond it the one that expires first is dropped.
    pub capacity: usize,
    sequence: u32,
}

impl Verdicts {
    /// Returns an empty set that keeps at most `capacity` verdicts.
    pub fn new(capacity: usize) -> Verdicts {
        Verdicts { known: BTreeMap::new(), capacity, sequence: 0 }
    }

    /// Records a verdict of this node, reached now.
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

    /// Merges a received verdict. Returns whether it changes the known ones. The merge is a join (as of a CRDT): the
    /// same verdicts give the same state in any order and with any number of repetitions.
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

    /// Drops expired verdicts.
    pub fn expire(&mut self, now: Nanos) {
        self.known.retain(|_, k| k.until > now);
    }

    /// Whether a verdict holds now.
    pub fn holds(&self, key: VerdictKey, now: Nanos) -> bool {
        self.known.get(&key).is_some_and(|k| k.holds && k.until > now)
    }

    /// Returns the verdicts to send to a peer, with their current ages: the latest first, at most `most`.
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
