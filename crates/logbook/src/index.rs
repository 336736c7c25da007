//! Where the latest record of each key stands: a persistent map, so that a view of it costs nothing and stays as it is
//! while the store goes on. Beside it, how many bytes of which segment a later one has made useless.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;

use imbl::OrdMap;

use crate::record::Kind;
use crate::segment::{Place, Segment, read_at};

/// A key with its keyspace before it, so that a keyspace is a range.
pub type Key = Arc<[u8]>;

pub fn key(space: u16, key: &[u8]) -> Key {
    let mut whole = Vec::with_capacity(2 + key.len());
    whole.extend_from_slice(&space.to_be_bytes());
    whole.extend_from_slice(key);
    whole.into()
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub sequence: u64,
    pub segment: Arc<Segment>,
    pub place: Place,
}

/// Why a value that the index knows could not be read.
#[derive(Debug)]
pub enum ReadFault {
    /// What stands there is not what was written.
    Damaged {
        segment: u64,
        at: u64,
    },
    Io(io::Error),
}

impl std::fmt::Display for ReadFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ReadFault::Damaged { segment, at } => {
                write!(f, "{} is damaged at byte {at}", crate::segment::name(*segment))
            }
            ReadFault::Io(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for ReadFault {}

/// The store as it was at one moment. Segments that are compacted away since stay readable through it.
#[derive(Clone, Debug, Default)]
pub struct View {
    map: OrdMap<Key, Entry>,
    /// The sequence of the last batch in it; 0 before any.
    pub sequence: u64,
}

impl View {
    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub fn get(&self, space: u16, wanted: &[u8]) -> Result<Option<Vec<u8>>, ReadFault> {
        let wanted = key(space, wanted);
        self.map.get(&wanted).map(|entry| value(&wanted, entry)).transpose()
    }

    /// Keys of a keyspace, in order, with their values.
    pub fn each(&self, space: u16) -> impl Iterator<Item = (Vec<u8>, Result<Vec<u8>, ReadFault>)> + '_ {
        let from = key(space, b"");
        let of = self.map.range(from..).take_while(move |(k, _)| k[..2] == space.to_be_bytes());
        of.map(|(k, entry)| (k[2..].to_vec(), value(k, entry)))
    }

    /// All entries: keyspace, key, sequence and place.
    pub fn entries(&self) -> impl Iterator<Item = (u16, &[u8], &Entry)> {
        self.map.iter().map(|(k, entry)| (u16::from_be_bytes([k[0], k[1]]), &k[2..], entry))
    }
}

fn value(key: &[u8], entry: &Entry) -> Result<Vec<u8>, ReadFault> {
    let damaged = || ReadFault::Damaged { segment: entry.segment.head.number, at: entry.place.at };
    match read_at(&entry.segment, entry.place).map_err(ReadFault::Io)? {
        Some((Kind::Put, found, value, sequence)) if found == key[2..] && sequence == entry.sequence => {
            Ok(value)
        }
        _ => Err(damaged()),
    }
}

/// What of a segment is of no more use.
#[derive(Clone, Debug, Default)]
pub struct Waste {
    /// Bytes of the first segment whose records are superseded by those of the second.
    pub superseded: BTreeMap<(u64, u64), u64>,
    /// Bytes of tombstones.
    pub tombstones: BTreeMap<u64, u64>,
}

impl Waste {
    /// Bytes that are useless to who merges these segments, which follow one another.
    pub fn within(&self, run: &[u64], oldest: bool) -> u64 {
        let pairs = run.iter().flat_map(|a| self.superseded.range((*a, 0)..=(*a, u64::MAX)));
        let dead: u64 = pairs.filter(|((_, b), _)| run.contains(b)).map(|(_, bytes)| bytes).sum();
        let tombs = run.iter().filter_map(|s| self.tombstones.get(s)).sum::<u64>();
        dead + if oldest { tombs } else { 0 }
    }

    /// A run has become one segment.
    fn merged(&mut self, run: &[u64], into: u64, tombstones: u64) {
        let renamed = |s: u64| if run.contains(&s) { into } else { s };
        let old = std::mem::take(&mut self.superseded);
        for ((a, b), bytes) in old {
            let (a, b) = (renamed(a), renamed(b));
            if a != b {
                *self.superseded.entry((a, b)).or_default() += bytes;
            } else if !(run.contains(&a) || a == into) {
                self.superseded.insert((a, b), bytes);
            }
        }
        run.iter().for_each(|s| {
            self.tombstones.remove(s);
        });
        if tombstones > 0 {
            self.tombstones.insert(into, tombstones);
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Index {
    pub view: View,
    pub waste: Waste,
}

impl Index {
    /// Takes in a record, behind all that came before it.
    pub fn note(
        &mut self,
        kind: Kind,
        at: (u16, &[u8]),
        sequence: u64,
        segment: &Arc<Segment>,
        place: Place,
    ) {
        let key = key(at.0, at.1);
        let old = match kind {
            Kind::Put => self.view.map.insert(key, Entry { sequence, segment: segment.clone(), place }),
            Kind::Delete => {
                *self.waste.tombstones.entry(segment.head.number).or_default() += u64::from(place.length);
                self.view.map.remove(&key)
            }
        };
        if let Some(old) = old {
            let pair = (old.segment.head.number, segment.head.number);
            *self.waste.superseded.entry(pair).or_default() += u64::from(old.place.length);
        }
        self.view.sequence = sequence;
    }

    /// Points the keys of a run at the segment that it has become: those whose record is still the latest.
    pub fn moved(
        &mut self,
        run: &[u64],
        into: &Arc<Segment>,
        records: impl Iterator<Item = (u16, Vec<u8>, u64, Place)>,
        tombstones: u64,
    ) {
        for (space, of, sequence, place) in records {
            let key = key(space, &of);
            if let Some(entry) = self.view.map.get_mut(&key)
                && entry.sequence == sequence
            {
                (entry.segment, entry.place) = (into.clone(), place);
            }
        }
        self.waste.merged(run, into.head.number, tombstones);
    }
}
