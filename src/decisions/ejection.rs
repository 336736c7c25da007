//! Outlier ejection: a replica that is unresponsive, fails, or is far slower than the others gets no attempts. Health
//! checks decide when it is readmitted, at first with one shard request at a time.

use super::Aggregator;
use super::latency::{percentile, scaled};
use super::load::{FULL_BACKLOG, RATE_WINDOW};
use crate::interface::{ActionSink, Nanos, ReplicaIndex};
use crate::state::{AttemptOutcome, Replica, Sample, VerificationChange};
use crate::trace::{EjectionReason, TraceEvent};

/// Consecutive failures that eject a replica.
const CONSECUTIVE_FAILURES: usize = 2;
/// A replica is ejected if this many of its last [`UNANSWERED_AMONG`] attempts got no response.
const UNANSWERED: usize = 3;
const UNANSWERED_AMONG: usize = 6;
/// A replica is ejected if the median latency of its last [`SLOW_SAMPLES`] responses exceeds this multiple of the
/// median over all replicas.
const SLOW_MULTIPLE: f64 = 3.0;
const SLOW_SAMPLES: usize = 5;
/// Health checks that an ejected replica must answer. Doubles with each relapse, up to [`MAX_CHECKS_TO_READMIT`].
const CHECKS_TO_READMIT: usize = 1;
const MAX_CHECKS_TO_READMIT: usize = 8;
/// Shard requests that a readmitted replica must answer, one at a time, before it counts as healthy again.
pub(super) const TRIAL_REQUESTS: usize = 2;

/// Ejection state of a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaHealth {
    ejected_at: Option<Nanos>,
    readmitted_at: Nanos,
    relapses: u32,
    pub next_check_at: Nanos,
}

/// Ejection state of a replica, for hosts that keep it over a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EjectionRecord {
    /// When the replica was ejected; `None` if it is in use.
    pub ejected_at: Option<Nanos>,
    /// Ejections since the replica last answered enough shard requests to count as recovered.
    pub relapses: u32,
}

impl ReplicaHealth {
    pub const NEW: ReplicaHealth =
        ReplicaHealth { ejected_at: None, readmitted_at: Nanos::MIN, relapses: 0, next_check_at: 0 };

    /// State after a change of verification: a replica that is named only by an outdated list starts ejected.
    pub fn of_verification(change: &VerificationChange, now: Nanos) -> ReplicaHealth {
        ReplicaHealth {
            ejected_at: (change.steps > 0).then_some(now),
            relapses: change.steps,
            next_check_at: change.check_from,
            ..ReplicaHealth::NEW
        }
    }

    pub fn is_ejected(&self) -> bool {
        self.ejected_at.is_some()
    }

    pub fn record(&self) -> EjectionRecord {
        EjectionRecord { ejected_at: self.ejected_at, relapses: self.relapses }
    }

    /// The number of health checks that the replica must answer to be readmitted.
    fn checks_needed(&self) -> usize {
        (CHECKS_TO_READMIT << (self.relapses - 1).min(8)).min(MAX_CHECKS_TO_READMIT)
    }
}

impl Aggregator {
    /// Ejects a replica that is unresponsive, fails or is slow, whatever the cause; checks the health of ejected
    /// replicas; and readmits them by degrees. A passed health check may prove only that a process runs, so the first
    /// shard requests are sent one at a time.
    pub(super) fn update_ejections(&mut self, sink: &mut dyn ActionSink) {
        // Only replicas that are ejected, or held an attempt of ours since the last round, can have changed.
        let is_ejected = |ix: &usize| self.health[*ix].is_ejected();
        let mut watched: Vec<usize> = (0..self.health.len()).filter(is_ejected).collect();
        watched.extend(self.state.busy.iter().map(|ix| ix.0).filter(|ix| !is_ejected(ix)));
        for ix in watched {
            if !self.state.replicas[ix].serving {
                continue;
            }
            match self.health[ix].ejected_at {
                Some(since) => self.check_readmission(ReplicaIndex(ix), since, sink),
                None => self.check_ejection(ReplicaIndex(ix), sink),
            }
        }
    }

    fn check_readmission(&mut self, ix: ReplicaIndex, since: Nanos, sink: &mut dyn ActionSink) {
        let (now, health, replica) = (self.now(), self.health[ix.0], &self.state.replicas[ix.0]);
        let (interval, wait) = (self.health_check_interval(), self.reported_wait(replica));
        let needed = health.checks_needed();
        let answered = replica.answered_health_checks.iter().filter(|&sent_at| sent_at >= since).count();
        if answered >= needed && wait <= scaled(self.shortest_latency_target(), FULL_BACKLOG)
            || !self.settings.may_check_health && now > since + interval * needed as Nanos
        {
            self.state.record(|| TraceEvent::ReplicaReadmitted { replica: ix });
            self.health[ix.0].ejected_at = None;
            self.health[ix.0].readmitted_at = now;
            self.state.replicas[ix.0].unverified = false;
        } else if now >= health.next_check_at {
            self.check_health(ix, interval.max(wait / 2), sink);
        }
    }

    fn check_ejection(&mut self, ix: ReplicaIndex, sink: &mut dyn ActionSink) {
        let (now, health, replica) = (self.now(), self.health[ix.0], &self.state.replicas[ix.0]);
        if let Some(reason) = self.reason_to_eject(ix) {
            self.state.record(|| TraceEvent::ReplicaEjected { replica: ix, reason });
            self.health[ix.0].ejected_at = Some(now);
            self.health[ix.0].relapses = health.relapses + 1;
        } else if health.relapses > 0 && replica.answered_since(health.readmitted_at) >= SLOW_SAMPLES {
            self.health[ix.0].relapses = 0;
        } else if self.settings.queues_reported && now >= health.next_check_at {
            // A late response or a rejection may be chance, or be due to a queue that a health check reports.
            let last = replica.samples.iter().last().filter(|sample| sample.at == now);
            let may_indicate_queue = |sample: Sample| {
                sample.outcome == AttemptOutcome::Rejected || sample.took >= self.latency.response_timeout
            };
            let (interval, wait) = (self.health_check_interval(), self.reported_wait(replica));
            let full = wait > scaled(self.shortest_latency_target(), FULL_BACKLOG);
            if full || last.is_some_and(may_indicate_queue) {
                self.check_health(ix, interval.max(wait / 2), sink);
            }
        }
    }

    fn reason_to_eject(&self, ix: ReplicaIndex) -> Option<EjectionReason> {
        let replica = &self.state.replicas[ix.0];
        let since = self.health[ix.0].readmitted_at;
        let response_timeout = self.latency.response_timeout;
        if self.is_unresponsive(replica, since, response_timeout) {
            Some(EjectionReason::Unresponsive)
        } else if is_failing(replica, since, self.is_on_trial(ix), response_timeout) {
            Some(EjectionReason::Failing)
        } else {
            is_slow(replica, since, self.latency.median).then_some(EjectionReason::Slow)
        }
    }

    fn is_unresponsive(&self, replica: &Replica, readmitted_at: Nanos, response_timeout: Nanos) -> bool {
        let since = self.now() - response_timeout;
        let is_overdue = |sent_at: Nanos| sent_at >= readmitted_at && sent_at < since;
        replica.last_answer_at < since
            && replica.counted.iter().any(|c| c.ended.is_none() && is_overdue(c.sent_at))
    }

    /// Whether the replica recently failed shard requests of this service class. Some replicas fail one class with fast
    /// errors and serve the others: the last outcome for the class holds for a while, and only shard requests of this
    /// class go elsewhere.
    pub(super) fn fails_class(&self, ix: ReplicaIndex, class: usize) -> bool {
        let since = self.now() - scaled(self.shortest_latency_target(), RATE_WINDOW);
        let answered_or_failed = |sample: &Sample| {
            sample.class == class
                && matches!(sample.outcome, AttemptOutcome::Answered | AttemptOutcome::Failed)
        };
        let replica = &self.state.replicas[ix.0];
        let last = replica.samples.iter().rev().find(answered_or_failed);
        // Reports of other front nodes count if this one has no recent outcome of its own.
        let reported_by_peers =
            replica.failing_classes >> class.min(63) & 1 == 1 && last.is_none_or(|s| s.at <= since);
        last.is_some_and(|s| s.outcome == AttemptOutcome::Failed && s.at > since) || reported_by_peers
    }

    /// Whether the replica was readmitted and has not answered [`TRIAL_REQUESTS`] shard requests since.
    pub(super) fn is_on_trial(&self, ix: ReplicaIndex) -> bool {
        let readmitted_at = self.health[ix.0].readmitted_at;
        readmitted_at > Nanos::MIN && self.state.replicas[ix.0].answered_since(readmitted_at) < TRIAL_REQUESTS
    }

    /// Whether the replica may get an attempt: it is not ejected, and not on trial with its one shard request in
    /// flight.
    pub(super) fn is_healthy(&self, ix: ReplicaIndex) -> bool {
        let health = &self.health[ix.0];
        let has_one = || self.state.replicas[ix.0].counted.iter().any(|c| c.sent_at >= health.readmitted_at);
        !(health.is_ejected() || self.is_on_trial(ix) && has_one())
    }
}

/// Whether the last attempts failed. A rejection for lack of capacity indicates a queue, not a fault; an error
/// between responses indicates a fault of one service class. An attempt that was cancelled after the response
/// time-out counts as unanswered, to detect replicas that answer some shard requests and lose others.
fn is_failing(replica: &Replica, readmitted_at: Nanos, on_trial: bool, response_timeout: Nanos) -> bool {
    let counts = |sample: &Sample| {
        (sample.outcome != AttemptOutcome::Cancelled || sample.took >= response_timeout)
            && (sample.outcome != AttemptOutcome::Failed
                || replica.last_answer_at < sample.at - response_timeout)
    };
    let since_readmission = replica.samples.iter().rev().take_while(|sample| sample.at >= readmitted_at);
    let last: Vec<AttemptOutcome> = since_readmission
        .filter(|sample| sample.at - sample.took >= readmitted_at && counts(sample))
        .filter(|sample| sample.outcome != AttemptOutcome::Rejected)
        .take(UNANSWERED_AMONG)
        .map(|sample| sample.outcome)
        .collect();
    let failed =
        |outcome: AttemptOutcome| outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Cancelled;
    let in_a_row = last.iter().take_while(|&&outcome| failed(outcome)).count();
    let unanswered = last.iter().filter(|&&outcome| outcome != AttemptOutcome::Answered).count();
    let enough = if on_trial { 1 } else { CONSECUTIVE_FAILURES };
    in_a_row >= enough
        || unanswered >= UNANSWERED
        || on_trial && unanswered > 0
        || last.first() == Some(&AttemptOutcome::ConnectFailed)
}

/// Whether the replica is far slower than the median over all replicas.
fn is_slow(replica: &Replica, readmitted_at: Nanos, median: Option<Nanos>) -> bool {
    let is_answer =
        |sample: &Sample| sample.outcome == AttemptOutcome::Answered && sample.at >= readmitted_at;
    let answers = replica.samples.iter().rev().filter(is_answer).take(SLOW_SAMPLES);
    let took: Vec<Nanos> = answers.map(|sample| sample.took).collect();
    took.len() == SLOW_SAMPLES
        && median.is_some_and(|median| percentile(took, 0.5) > scaled(median, SLOW_MULTIPLE))
}
