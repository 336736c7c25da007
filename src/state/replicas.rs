//! Replicas: what discovery and the fleet report about them, and the outcomes of attempts there.

use super::AttemptOutcome;
use super::samples::{Sample, SampleLimits, SampleRing};
use crate::interface::{Nanos, ShardRequestIndex};

/// An attempt that counts as in flight at its replica. After an outcome other than a response it may still be running
/// there, so it is kept for a while.
#[derive(Clone, Copy, Debug)]
pub struct CountedAttempt {
    /// The shard request of the attempt.
    pub request: ShardRequestIndex,
    /// Number of the attempt within its shard request.
    pub attempt: usize,
    /// When it started.
    pub sent_at: Nanos,
    /// The round in which it started. Attempts of one round may share calls.
    pub round: u64,
    /// How and when it ended; `None` while it is in flight.
    pub ended: Option<AttemptEnd>,
}

/// How and when an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// When the outcome became known.
    pub at: Nanos,
}

/// Identifies an attempt that ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndingAttempt {
    pub request: ShardRequestIndex,
    /// Number of the attempt within its shard request.
    pub attempt: usize,
    pub sent_at: Nanos,
}

/// A connection that could not be established.
#[derive(Clone, Copy, Debug)]
pub struct ConnectFailure {
    /// When the failure became known.
    pub at: Nanos,
    /// Time from the start of the attempt to the failure.
    pub took: Nanos,
}

/// Queue length and rate of a replica, as reported in a health check.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// When the report was received.
    pub at: Nanos,
    /// The number of shard requests that wait at the replica.
    pub waiting: f64,
    /// The number of shard requests that the replica completes per second.
    pub rate: f64,
}

/// One replica of the shards of a cell.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its cell of the ring.
    pub cell: usize,
    /// Whether it serves, according to discovery.
    pub serving: bool,
    /// When its process started, if discovery reports that.
    pub started_at: Option<Nanos>,
    /// Whether the current membership update lists it.
    pub(super) listed: bool,
    /// Whether discovery removed it. Its slot is free once nothing refers to it.
    pub(super) removed: bool,
    /// Whether only an outdated list names it. It gets no attempt before it has answered health checks.
    pub unverified: bool,
    /// Attempts that count as in flight there, in the order of their start.
    pub counted: Vec<CountedAttempt>,
    /// Ended attempts, including those cancelled by this front node.
    pub samples: SampleRing<Sample>,
    /// Of the attempts that were answered, when the one sent last was sent.
    pub last_answered_sent_at: Nanos,
    /// When the last response was received.
    pub last_answer_at: Nanos,
    /// When the last attempts started.
    pub attempt_times: SampleRing<Nanos>,
    /// The last attempt that got no connection there.
    pub connect_failure: Option<ConnectFailure>,
    /// When the health check in flight was sent; `None` if there is none.
    pub health_check_sent_at: Option<Nanos>,
    /// When the answered health checks were sent.
    pub answered_health_checks: SampleRing<Nanos>,
    /// The last load report from a health check.
    pub load_report: Option<LoadReport>,
    /// The number of attempts per window that this front node may send while the replica warms up, as the fleet's
    /// shared budget allows; `None` if front nodes do not share one.
    pub warm_up_quota: Option<f64>,
    /// Bit set of the service classes that other front nodes recently found it failing.
    pub failing_classes: u64,
}

impl Replica {
    pub(super) fn new(cell: usize, limits: &SampleLimits) -> Replica {
        Replica {
            cell,
            serving: false,
            started_at: None,
            listed: false,
            removed: false,
            unverified: false,
            counted: Vec::new(),
            samples: SampleRing::new(limits.per_replica),
            last_answered_sent_at: Nanos::MIN,
            last_answer_at: Nanos::MIN,
            attempt_times: SampleRing::new(limits.attempt_times),
            connect_failure: None,
            health_check_sent_at: None,
            answered_health_checks: SampleRing::new(limits.health_checks),
            load_report: None,
            warm_up_quota: None,
            failing_classes: 0,
        }
    }

    /// Returns the number of attempts answered at or after `since`.
    pub fn answered_since(&self, since: Nanos) -> usize {
        let ended = self.samples.iter().rev().take_while(|sample| sample.at >= since);
        ended.filter(|sample| sample.outcome == AttemptOutcome::Answered).count()
    }

    /// Returns the number of attempts started at or after `since`, as far as they are kept.
    pub fn attempts_since(&self, since: Nanos) -> usize {
        self.attempt_times.iter().rev().take_while(|&at| at >= since).count()
    }

    pub(super) fn attempt_ended(&mut self, ending: EndingAttempt, sample: Sample) {
        let EndingAttempt { request, attempt, sent_at } = ending;
        let Sample { at: now, took, outcome, .. } = sample;
        if let Some(counted) = self.counted.iter_mut().find(|c| c.request == request && c.attempt == attempt)
        {
            counted.ended = Some(AttemptEnd { outcome, at: now });
        }
        if outcome == AttemptOutcome::Answered {
            self.last_answered_sent_at = self.last_answered_sent_at.max(sent_at);
            self.last_answer_at = now;
        }
        if outcome == AttemptOutcome::ConnectFailed {
            self.connect_failure = Some(ConnectFailure { at: now, took });
        }
        // A protocol error ends all attempts in flight on a connection. It counts as one failure: the others were not
        // at fault.
        let is_same_failure = |last: Sample| {
            outcome == AttemptOutcome::ProtocolError && (last.outcome, last.at) == (outcome, now)
        };
        if outcome != AttemptOutcome::NotSent && !self.samples.iter().last().is_some_and(is_same_failure) {
            self.samples.push(sample);
        }
    }
}
