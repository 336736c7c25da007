//! Trace records and their text form.

use super::reasons::{
    AttemptReason, EjectionReason, ExclusionReason, MembershipSource, QueryEndReason, WithholdReason,
};
use crate::interface::{Nanos, QueryIndex, ReplicaIndex, ShardRequestIndex};

/// A decision, or a fact that decisions are based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceEvent {
    /// A query was received.
    QueryReceived {
        /// Number of the query.
        query: QueryIndex,
        /// Service class of the query.
        class: usize,
        /// Whether its client marked it as a retry.
        is_retry: bool,
    },
    /// A shard request of a query was received.
    ShardRequestReceived {
        /// Number of the shard request.
        request: ShardRequestIndex,
        /// The query that it belongs to.
        query: QueryIndex,
        /// The shard that it is for.
        shard: usize,
    },
    /// A query was not admitted yet.
    NotAdmitted {
        /// The query.
        query: QueryIndex,
        /// The number of its shard requests that find capacity.
        with_capacity: usize,
        /// The smallest backlog among the replicas for its other shard requests.
        least_backlog: Nanos,
    },
    /// An attempt started.
    AttemptStarted {
        /// The shard request.
        request: ShardRequestIndex,
        /// The replica that it was sent to.
        replica: ReplicaIndex,
        /// Why it started.
        reason: AttemptReason,
    },
    /// A replica got no attempt of a shard request.
    ReplicaExcluded {
        /// The shard request.
        request: ShardRequestIndex,
        /// The replica.
        replica: ReplicaIndex,
        /// Why it was excluded.
        reason: ExclusionReason,
    },
    /// A shard request that needs an attempt got none.
    AttemptWithheld {
        /// The shard request.
        request: ShardRequestIndex,
        /// Why it got none.
        reason: WithholdReason,
    },
    /// A replica was ejected.
    ReplicaEjected {
        /// The replica.
        replica: ReplicaIndex,
        /// Why it was ejected.
        reason: EjectionReason,
    },
    /// An ejected replica is in use again.
    ReplicaReadmitted {
        /// The replica.
        replica: ReplicaIndex,
    },
    /// A query got its final response, or the response of its first step.
    QueryAnswered {
        /// The query.
        query: QueryIndex,
        /// Whether the response is marked complete.
        complete: bool,
    },
    /// A query ended without a response.
    QueryEnded {
        /// The query.
        query: QueryIndex,
        /// Why it ended.
        reason: QueryEndReason,
        /// Whether it was rejected, which tells the client that a retry is harmless.
        rejected: bool,
    },
    /// A list of replicas is used from now on.
    MembershipListUsed {
        /// Where the list comes from.
        source: MembershipSource,
        /// Age of the list.
        age: Nanos,
        /// The number of replicas in the list.
        replicas: usize,
        /// Degree of distrust of its replicas; 0 if they are verified.
        unverified_steps: u32,
    },
    /// The latency estimates of the round. Recorded only if they changed considerably.
    LatenciesEstimated {
        /// Median latency of a shard request.
        median: Nanos,
        /// The latency that counts as the usual longest one.
        longest: Nanos,
        /// Time after which a replica that answers nothing is unresponsive.
        response_timeout: Nanos,
    },
}

/// An event with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceRecord {
    /// When the round began.
    pub at: Nanos,
    /// The event.
    pub event: TraceEvent,
}

impl TraceRecord {
    /// Returns the record as a line, without a line break.
    pub fn line(&self) -> String {
        let at = self.at;
        match self.event {
            TraceEvent::QueryReceived { query, class, is_retry } => {
                format!("{at} taken {} {class} {}", query.0, u8::from(is_retry))
            }
            TraceEvent::ShardRequestReceived { request, query, shard } => {
                format!("{at} part {} {} {shard}", request.0, query.0)
            }
            TraceEvent::NotAdmitted { query, with_capacity, least_backlog } => {
                format!("{at} waits {} {with_capacity} {least_backlog}", query.0)
            }
            TraceEvent::AttemptStarted { request, replica, reason } => {
                format!("{at} launch {} {} {}", request.0, replica.0, reason.word())
            }
            TraceEvent::ReplicaExcluded { request, replica, reason } => {
                format!("{at} over {} {} {}", request.0, replica.0, reason.word())
            }
            TraceEvent::AttemptWithheld { request, reason } => {
                format!("{at} held {} {}", request.0, reason.word())
            }
            TraceEvent::ReplicaEjected { replica, reason } => {
                format!("{at} aside {} {}", replica.0, reason.word())
            }
            TraceEvent::ReplicaReadmitted { replica } => format!("{at} back {}", replica.0),
            TraceEvent::QueryAnswered { query, complete } => {
                format!("{at} answered {} {}", query.0, u8::from(complete))
            }
            TraceEvent::QueryEnded { query, reason, rejected } => {
                format!("{at} ended {} {} {}", query.0, reason.word(), u8::from(rejected))
            }
            TraceEvent::MembershipListUsed { source, age, replicas, unverified_steps } => {
                format!("{at} list {} {age} {replicas} {unverified_steps}", source.word())
            }
            TraceEvent::LatenciesEstimated { median, longest, response_timeout } => {
                format!("{at} usual {median} {longest} {response_timeout}")
            }
        }
    }

    /// Parses a line. Returns `None` if it is no valid record.
    pub fn read(line: &str) -> Option<TraceRecord> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let (at, kind, rest) = (words.first()?.parse().ok()?, *words.get(1)?, &words[2..]);
        Some(TraceRecord { at, event: Operands(rest).event(kind)? })
    }
}

/// The words of a line after the time and the kind.
struct Operands<'a>(&'a [&'a str]);

impl Operands<'_> {
    fn event(&self, kind: &str) -> Option<TraceEvent> {
        Some(match kind {
            "taken" => TraceEvent::QueryReceived {
                query: self.query(0)?,
                class: self.number(1)?,
                is_retry: self.number(2)? == 1,
            },
            "part" => TraceEvent::ShardRequestReceived {
                request: self.request(0)?,
                query: self.query(1)?,
                shard: self.number(2)?,
            },
            "waits" => TraceEvent::NotAdmitted {
                query: self.query(0)?,
                with_capacity: self.number(1)?,
                least_backlog: self.time(2)?,
            },
            "launch" => TraceEvent::AttemptStarted {
                request: self.request(0)?,
                replica: self.replica(1)?,
                reason: AttemptReason::read(self.word(2)?)?,
            },
            "over" => TraceEvent::ReplicaExcluded {
                request: self.request(0)?,
                replica: self.replica(1)?,
                reason: ExclusionReason::read(self.word(2)?)?,
            },
            "held" => TraceEvent::AttemptWithheld {
                request: self.request(0)?,
                reason: WithholdReason::read(self.word(1)?)?,
            },
            "aside" => TraceEvent::ReplicaEjected {
                replica: self.replica(0)?,
                reason: EjectionReason::read(self.word(1)?)?,
            },
            "back" => TraceEvent::ReplicaReadmitted { replica: self.replica(0)? },
            "answered" => TraceEvent::QueryAnswered { query: self.query(0)?, complete: self.number(1)? == 1 },
            "ended" => TraceEvent::QueryEnded {
                query: self.query(0)?,
                reason: QueryEndReason::read(self.word(1)?)?,
                rejected: self.number(2)? == 1,
            },
            "list" => TraceEvent::MembershipListUsed {
                source: MembershipSource::read(self.word(0)?)?,
                age: self.time(1)?,
                replicas: self.number(2)?,
                unverified_steps: u32::try_from(self.number(3)?).ok()?,
            },
            "usual" => TraceEvent::LatenciesEstimated {
                median: self.time(0)?,
                longest: self.time(1)?,
                response_timeout: self.time(2)?,
            },
            _ => return None,
        })
    }

    fn word(&self, position: usize) -> Option<&str> {
        self.0.get(position).copied()
    }

    fn number(&self, position: usize) -> Option<usize> {
        self.word(position)?.parse().ok()
    }

    fn time(&self, position: usize) -> Option<Nanos> {
        self.word(position)?.parse().ok()
    }

    fn query(&self, position: usize) -> Option<QueryIndex> {
        self.number(position).map(QueryIndex)
    }

    fn request(&self, position: usize) -> Option<ShardRequestIndex> {
        self.number(position).map(ShardRequestIndex)
    }

    fn replica(&self, position: usize) -> Option<ReplicaIndex> {
        self.number(position).map(ReplicaIndex)
    }
}
