//! The operators' history of the configuration, and a check that it is linearizable.
//!
//! The specification is a compare-and-set register that holds one version. A proper change with base `b` and
//! version `v > b` is accepted exactly if `b` is current, and makes `v` current. It is refused with "another version
//! is current" only if `b` is not current. An improper change is never accepted. A read returns the change
//! that produced the current version. All attempts of one request are one operation.
//!
//! # Why the check is exact
//!
//! Versions increase with every accepted change, so each version is current in one contiguous span and the accepted
//! changes form one chain from version 0. Let `t(i)` be the point at which the `i`th change of a chain takes effect.
//! Points are gaps between two recorded events; several operations may fall into one gap in any order, since nothing
//! in the record orders them. A history is linearizable if and only if there are a chain and points such that:
//!
//! - `t(1) <= t(2) <= ...`, each between the first attempt of the change and its response (or the end of time);
//! - the chain holds every change that was accepted or read, and none that was refused;
//! - a read of change `i` between `c` and `r`: `t(i) <= r` and `c <= t(i + 1)`;
//! - a refusal between `c` and `r` of a change whose base is the version of `i`: not both `t(i) < c` and
//!   `r < t(i + 1)`, which would make its base current during the whole request.
//!
//! The conditions relate only neighbours in the chain. A search along the chain therefore needs just two things about
//! its prefix: the last change and the set of points at which it may have taken effect, which is a union of spans.
//! Whether a history can be completed from a change at a point does not depend on the prefix, so each pair of change
//! and point is tried once. Every pair is tried, so the search finds a chain if there is one.
//!
//! One case goes beyond the register. An operator may base a change on a version that is not accepted yet and be
//! refused while an earlier attempt of the same request is still queued at a frozen machine; the base may become
//! current before that attempt arrives. Such a change may take effect after the refusal, but then the refusal lies
//! before its base was current: `c <= t(predecessor)`.

use std::collections::BTreeMap;
use std::fmt;

/// Index of a change among those of a history.
pub type ChangeIndex = usize;
/// Number of a recorded event, unique in a history.
pub type Stamp = u64;

const END_OF_TIME: Stamp = Stamp::MAX;

/// The clear outcome of a change, if an attempt had one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answer {
    /// No clear outcome: the change may take effect at any time, or never.
    Unknown,
    /// Response 200.
    Accepted { at: Stamp },
    /// Response 412 to an attempt that began at `since`.
    OtherVersion { since: Stamp, at: Stamp },
    /// Response 400.
    Invalid { at: Stamp },
}

/// A change of the configuration, with all of its attempts.
#[derive(Clone, Debug)]
pub struct RecordedChange {
    pub base: u64,
    pub version: u64,
    /// Whether the change is valid on top of its base.
    pub proper: bool,
    pub called: Stamp,
    pub answer: Answer,
    /// Whether another attempt of this change had no clear outcome.
    pub has_open_attempt: bool,
}

/// A read and its last attempt; `seen` is the change that produced the configuration read, `None` if there was none.
#[derive(Clone, Debug)]
pub struct RecordedRead {
    pub called: Stamp,
    pub returned: Stamp,
    pub seen: Option<ChangeIndex>,
}

/// The reason why a history is not linearizable.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Contradiction {
    ImproperAccepted(ChangeIndex),
    ProperInvalid(ChangeIndex),
    /// Two different changes that were accepted or read have the same version.
    SameVersion(ChangeIndex, ChangeIndex),
    /// No order of the changes is consistent; the longest chain found ends with the change `after`.
    NoOrder {
        after: Option<ChangeIndex>,
        version: u64,
    },
}

impl fmt::Display for Contradiction {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the operators' history is not linearizable: {self:?}")
    }
}

/// All requests of the operators and what they saw.
#[derive(Clone, Default, Debug)]
pub struct History {
    last_stamp: Stamp,
    pub changes: Vec<RecordedChange>,
    pub reads: Vec<RecordedRead>,
}

impl History {
    pub fn stamp(&mut self) -> Stamp {
        self.last_stamp += 1;
        self.last_stamp
    }

    /// Records the first attempt of a change.
    pub fn call(&mut self, base: u64, version: u64, proper: bool) -> ChangeIndex {
        let called = self.stamp();
        let answer = Answer::Unknown;
        self.changes.push(RecordedChange { base, version, proper, called, answer, has_open_attempt: false });
        self.changes.len() - 1
    }

    /// Checks that the history is linearizable.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction found.
    pub fn check(&self) -> Result<(), Contradiction> {
        Search::new(self)?.run()
    }
}

/// A range of gaps, both ends included.
type Span = (Stamp, Stamp);

/// The constraints on one change that may be in the chain.
#[derive(Debug)]
struct Candidate {
    /// Gaps in which the change may take effect.
    window: Span,
    /// First gap in which the preceding version may have become current.
    predecessor_from: Stamp,
}

struct Search<'a> {
    history: &'a History,
    /// Changes that may be in the chain, by index; [`Self::by_base`] lists them by base.
    candidates: BTreeMap<ChangeIndex, Candidate>,
    by_base: BTreeMap<u64, Vec<ChangeIndex>>,
    /// Changes that must be in the chain, by version.
    required: BTreeMap<u64, ChangeIndex>,
    /// First and last gaps of refusals, by the base that was not current.
    refusals: BTreeMap<u64, Vec<Span>>,
    /// First gap in which the version seen by a read may be superseded, by the change that the read saw.
    read_until: BTreeMap<Option<ChangeIndex>, Stamp>,
    /// For each change, the points from which the rest of the history has been found inconsistent.
    failed: BTreeMap<ChangeIndex, Vec<Span>>,
    longest: Option<ChangeIndex>,
}

impl<'a> Search<'a> {
    fn new(history: &'a History) -> Result<Search<'a>, Contradiction> {
        let mut search = Search {
            history,
            candidates: BTreeMap::new(),
            by_base: BTreeMap::new(),
            required: BTreeMap::new(),
            refusals: BTreeMap::new(),
            read_until: BTreeMap::new(),
            failed: BTreeMap::new(),
            longest: None,
        };
        for index in 0..history.changes.len() {
            search.add_change(index)?;
        }
        for read in &history.reads {
            search.add_read(read)?;
        }
        for refusals in search.refusals.values_mut() {
            refusals.sort_unstable();
        }
        Ok(search)
    }

    fn add_change(&mut self, index: ChangeIndex) -> Result<(), Contradiction> {
        let change = &self.history.changes[index];
        let mut window = (change.called, END_OF_TIME);
        let mut predecessor_from = 0;
        let may_have_effect = match change.answer {
            Answer::Unknown => true,
            Answer::Accepted { at } => {
                window.1 = at - 1;
                self.require(index)?;
                true
            }
            Answer::OtherVersion { since, at } => {
                self.refusals.entry(change.base).or_default().push((since, at - 1));
                predecessor_from = since;
                change.has_open_attempt
            }
            Answer::Invalid { .. } if change.proper => return Err(Contradiction::ProperInvalid(index)),
            Answer::Invalid { .. } => false,
        };
        if may_have_effect && change.proper {
            self.candidates.insert(index, Candidate { window, predecessor_from });
            self.by_base.entry(change.base).or_default().push(index);
        }
        Ok(())
    }

    fn require(&mut self, index: ChangeIndex) -> Result<(), Contradiction> {
        let change = &self.history.changes[index];
        if !change.proper {
            return Err(Contradiction::ImproperAccepted(index));
        }
        match self.required.insert(change.version, index) {
            Some(other) if other != index => Err(Contradiction::SameVersion(other, index)),
            _ => Ok(()),
        }
    }

    fn add_read(&mut self, read: &RecordedRead) -> Result<(), Contradiction> {
        let until = self.read_until.entry(read.seen).or_default();
        *until = (*until).max(read.called);
        if let Some(seen) = read.seen {
            self.require(seen)?;
            if let Some(candidate) = self.candidates.get_mut(&seen) {
                candidate.window.1 = candidate.window.1.min(read.returned - 1);
            }
        }
        Ok(())
    }

    fn run(mut self) -> Result<(), Contradiction> {
        // The empty register exists before all events.
        if self.complete(None, 0, vec![(0, 0)]) {
            return Ok(());
        }
        let version = self.longest.map_or(0, |index| self.history.changes[index].version);
        Err(Contradiction::NoOrder { after: self.longest, version })
    }

    /// Whether the rest of the history is consistent if `last`, which produced `version`, took effect within `points`.
    fn complete(&mut self, last: Option<ChangeIndex>, version: u64, points: Vec<Span>) -> bool {
        let refusals = self.refusals.get(&version).cloned().unwrap_or_default();
        let next_required =
            self.required.range(version + 1..).next().map(|(version, index)| (*version, *index));
        if next_required.is_none() {
            // No change has to follow: all refusals with this version as base may lie before it became current.
            let latest_refusal = refusals.last().map_or(0, |(from, _)| *from);
            if points.iter().any(|(_, to)| *to >= latest_refusal) {
                return true;
            }
        }
        let not_before = self.read_until.get(&last).copied().unwrap_or(0);
        for next in self.by_base.get(&version).cloned().unwrap_or_default() {
            let next_version = self.history.changes[next].version;
            if next_required.is_some_and(|(required, index)| {
                next_version > required || (next_version == required && next != index)
            }) {
                continue;
            }
            let Candidate { window: (from, to), predecessor_from } = self.candidates[&next];
            let begun = intersect(&points, (predecessor_from, END_OF_TIME));
            let reached = successors(&begun, &refusals, (from.max(not_before), to));
            let untried = subtract(&reached, self.failed.get(&next).map_or(&[], Vec::as_slice));
            if untried.is_empty() {
                continue;
            }
            if self.longest.is_none_or(|longest| self.history.changes[longest].version < next_version) {
                self.longest = Some(next);
            }
            if self.complete(Some(next), next_version, untried.clone()) {
                return true;
            }
            self.failed.entry(next).or_default().extend(untried);
        }
        false
    }
}

fn intersect(points: &[Span], window: Span) -> Vec<Span> {
    let partition = points.iter().map(|(from, to)| ((*from).max(window.0), (*to).min(window.1)));
    partition.filter(|(from, to)| from <= to).collect()
}

fn subtract(points: &[Span], removed: &[Span]) -> Vec<Span> {
    let mut left = points.to_vec();
    for (from, to) in removed {
        let before = from.checked_sub(1).map(|last| (0, last));
        let behind = to.checked_add(1).map(|first| (first, END_OF_TIME));
        let windows = before.into_iter().chain(behind);
        left = windows.flat_map(|window| intersect(&left, window)).collect();
    }
    left
}

/// Returns the points at which the next change may take effect if the current one does so within `points`: not before
/// the current one, and such that no refusal lies entirely between the two. `refusals` must be sorted.
fn successors(points: &[Span], refusals: &[Span], window: Span) -> Vec<Span> {
    let mut reached = Vec::new();
    for &(from, to) in points {
        let mut start = from;
        loop {
            // Refusals that begin after `start` must end after the next change takes effect.
            let behind = refusals.partition_point(|(refused_from, _)| *refused_from <= start);
            let end = refusals.get(behind).map_or(to, |(refused_from, _)| to.min(refused_from - 1));
            let limit = refusals[behind..].iter().map(|(_, refused_to)| *refused_to).min();
            reached.push((start, limit.unwrap_or(END_OF_TIME)));
            if end >= to {
                break;
            }
            start = end + 1;
        }
    }
    reached.retain(|(from, to)| from <= to);
    merge(intersect(&reached, window))
}

fn merge(mut spans: Vec<Span>) -> Vec<Span> {
    spans.sort_unstable();
    let mut merged: Vec<Span> = Vec::new();
    for span in spans {
        match merged.last_mut() {
            Some(last) if span.0 <= last.1.saturating_add(1) => last.1 = last.1.max(span.1),
            _ => merged.push(span),
        }
    }
    merged
}
