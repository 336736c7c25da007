//! The trace compared with the decisions.

use crate::host::*;
use orchidvalve::state::AttemptOutcome;
use orchidvalve::trace::TraceEvent;

/// The trace records decisions where they are made: it has each of them, in order, with a reason.
#[test]
fn the_trace_has_a_reason_for_each_decision_and_is_empty_while_off() {
    for on in [true, false] {
        let mut host = Host::new(settings(2));
        host.aggregator.set_tracing(on);
        let (mut actions, mut records) = (host.traffic(40, &[]), Vec::new());
        for n in 0..120 {
            // One replica answers nothing, and the other is overloaded from time to time.
            for _ in 0..if n % 10 == 0 { 12 } else { 1 } {
                actions.extend(host.query(0, &[n % 2]).1);
            }
            actions.extend(host.wait(40 * MS));
            actions.extend(host.end_attempts(|r| {
                (r == B).then_some(if n % 7 == 0 { AttemptOutcome::Failed } else { AttemptOutcome::Answered })
            }));
            records.extend(host.aggregator.take_trace());
        }
        for _ in 0..700 {
            actions.extend(host.wait(5 * MS));
            records.extend(host.aggregator.take_trace());
        }
        let of = |pick: &dyn Fn(TraceEvent) -> Option<Action>| -> Vec<Action> {
            records.iter().filter_map(|n| pick(n.event)).collect()
        };
        let started = of(&|event| match event {
            TraceEvent::AttemptStarted { request, replica, .. } => {
                Some(Action::StartAttempt(request, replica))
            }
            _ => None,
        });
        let ended = of(&|event| match event {
            TraceEvent::QueryAnswered { query, complete } => Some(Action::Answer(query, complete)),
            TraceEvent::QueryEnded { query, rejected: true, .. } => Some(Action::Reject(query)),
            TraceEvent::QueryEnded { query, rejected: false, .. } => Some(Action::Expire(query)),
            _ => None,
        });
        let attempts: Vec<Action> =
            actions.iter().filter(|t| matches!(t, Action::StartAttempt(..))).copied().collect();
        let ends = |t: &&Action| matches!(t, Action::Answer(..) | Action::Reject(_) | Action::Expire(_));
        let ends: Vec<Action> = actions.iter().filter(ends).copied().collect();
        if on {
            assert_eq!((started, ended), (attempts.clone(), ends.clone()));
            assert!(
                ends.iter().any(|t| matches!(t, Action::Reject(_))) && attempts.len() > 150,
                "{}",
                attempts.len()
            );
            assert!(records.iter().any(|n| matches!(n.event, TraceEvent::ReplicaEjected { replica: A, .. })));
        } else {
            assert!(records.is_empty());
        }
    }
}
