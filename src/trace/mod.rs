//! The trace: the reasons of the decisions, recorded where each decision is made, so that trace and decision cannot
//! differ. While the trace is off, nothing is kept.
//!
//! A record is a line of words, `AT KIND ...`, written by [`TraceRecord::line`] and parsed by [`TraceRecord::read`].
//! The host decides where the lines go. A record that only repeats the last one about the same subject is left out,
//! as a waiting query waits for the same reason in every round.

mod reasons;
mod record;

use std::collections::BTreeMap;

pub use reasons::{
    AttemptReason, EjectionReason, ExclusionReason, MembershipSource, QueryEndReason, WithholdReason,
};
pub use record::{TraceEvent, TraceRecord};

use crate::interface::{Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};

/// The subject of a record that may repeat in the next round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Admission(QueryIndex),
    Exclusion(ShardRequestIndex, ReplicaIndex),
    Withholding(ShardRequestIndex),
    Latencies,
}

impl Subject {
    fn of(event: &TraceEvent) -> Option<Subject> {
        match *event {
            TraceEvent::NotAdmitted { query, .. } => Some(Subject::Admission(query)),
            TraceEvent::ReplicaExcluded { request, replica, .. } => {
                Some(Subject::Exclusion(request, replica))
            }
            TraceEvent::AttemptWithheld { request, .. } => Some(Subject::Withholding(request)),
            TraceEvent::LatenciesEstimated { .. } => Some(Subject::Latencies),
            _ => None,
        }
    }
}

/// Collects records while it is on.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    on: bool,
    records: Vec<TraceRecord>,
    /// The last event recorded for each subject.
    last: BTreeMap<Subject, TraceEvent>,
}

impl Trace {
    /// Drops all records and turns the trace on or off.
    pub fn set_enabled(&mut self, on: bool) {
        *self = Trace { on, ..Trace::default() };
    }

    /// Records an event. `event` is called only while the trace is on.
    pub fn record(&mut self, at: Nanos, event: impl FnOnce() -> TraceEvent) {
        if !self.on {
            return;
        }
        let event = event();
        if let Some(subject) = Subject::of(&event) {
            if self.last.get(&subject).is_some_and(|before| repeats(before, &event)) {
                return;
            }
            self.last.insert(subject, event);
        }
        self.records.push(TraceRecord { at, event });
    }

    /// Returns and removes the records. Subjects before the first query and shard request that are kept are dropped.
    pub fn take(&mut self, first_query: QueryIndex, first_request: ShardRequestIndex) -> Vec<TraceRecord> {
        self.last.retain(|subject, _| match *subject {
            Subject::Admission(query) => query >= first_query,
            Subject::Exclusion(request, _) | Subject::Withholding(request) => request >= first_request,
            Subject::Latencies => true,
        });
        std::mem::take(&mut self.records)
    }
}

/// Whether the event repeats the previous one about the same subject.
fn repeats(before: &TraceEvent, event: &TraceEvent) -> bool {
    match (*before, *event) {
        // The backlog changes in every round. What matters is how many shard requests find capacity.
        (
            TraceEvent::NotAdmitted { with_capacity: before, .. },
            TraceEvent::NotAdmitted { with_capacity, .. },
        ) => before == with_capacity,
        (
            TraceEvent::LatenciesEstimated { median: a, longest: b, response_timeout: c },
            TraceEvent::LatenciesEstimated { median, longest, response_timeout },
        ) => is_similar(a, median) && is_similar(b, longest) && is_similar(c, response_timeout),
        (before, event) => before == event,
    }
}

/// Whether the two differ by at most a quarter of the larger one.
fn is_similar(before: Nanos, now: Nanos) -> bool {
    (before - now).abs() * 4 <= before.max(now)
}
