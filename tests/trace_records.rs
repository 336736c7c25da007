//! The text form of trace records, and which records are left out.

use orchidvalve::interface::*;
use orchidvalve::trace::*;

#[test]
fn every_record_parses_back() {
    let (query, request, replica) = (QueryIndex(7), ShardRequestIndex(9), ReplicaIndex(3));
    for event in [
        TraceEvent::QueryReceived { query, class: 2, is_retry: true },
        TraceEvent::ShardRequestReceived { request, query, shard: 5 },
        TraceEvent::NotAdmitted { query, with_capacity: 1, least_backlog: 40 },
        TraceEvent::AttemptStarted { request, replica, reason: AttemptReason::ReplicaEjected },
        TraceEvent::ReplicaExcluded { request, replica, reason: ExclusionReason::Backlog },
        TraceEvent::AttemptWithheld { request, reason: WithholdReason::RetryBudgetSpent },
        TraceEvent::ReplicaEjected { replica, reason: EjectionReason::Slow },
        TraceEvent::ReplicaReadmitted { replica },
        TraceEvent::QueryAnswered { query, complete: false },
        TraceEvent::QueryEnded { query, reason: QueryEndReason::NeverAdmitted, rejected: true },
        TraceEvent::LatenciesEstimated { median: 1, longest: 2, response_timeout: 3 },
        TraceEvent::MembershipListUsed {
            source: MembershipSource::Peer,
            age: 4,
            replicas: 5,
            unverified_steps: 6,
        },
    ] {
        let record = TraceRecord { at: -5, event };
        assert_eq!(TraceRecord::read(&record.line()), Some(record), "{}", record.line());
    }
    for bad in ["", "5", "5 taken", "5 taken 1 x 1", "5 over 1 2 bored", "five back 1", "5 unknown 1"] {
        assert_eq!(TraceRecord::read(bad), None, "{bad}");
    }
}

#[test]
fn repeated_records_are_left_out_and_nothing_is_kept_while_off() {
    let mut trace = Trace::default();
    let waits = |with_capacity| {
        move || TraceEvent::NotAdmitted { query: QueryIndex(1), with_capacity, least_backlog: 10 }
    };
    trace.record(0, waits(0));
    assert!(trace.take(QueryIndex(0), ShardRequestIndex(0)).is_empty());
    trace.set_enabled(true);
    for (at, with_capacity) in [(1, 0), (2, 0), (3, 1), (4, 1), (5, 0)] {
        trace.record(at, waits(with_capacity));
    }
    let at: Vec<Nanos> = trace.take(QueryIndex(0), ShardRequestIndex(0)).iter().map(|r| r.at).collect();
    assert_eq!(at, [1, 3, 5]);
    trace.record(6, waits(0));
    assert!(trace.take(QueryIndex(0), ShardRequestIndex(0)).is_empty(), "the same record was made before");
    // The query is before the first open one, so its last record is forgotten.
    trace.take(QueryIndex(2), ShardRequestIndex(0));
    trace.record(7, waits(0));
    assert_eq!(trace.take(QueryIndex(0), ShardRequestIndex(0)).len(), 1);
}
